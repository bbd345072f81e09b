"""Decides when a starting VM may serve, and detects pauses of its process."""

import attrs

#: A timer that is late by more than this shows that the process was paused.
MIN_PAUSE_S = 2.0
#: Peers that must respond before a starting VM serves.
MIN_START_PEERS = 3
#: Peers pinged at once by a starting VM; more would cause a burst when all restart.
MAX_CONTACTS = 8


class PauseDetector:
    """
    Detects from the delays of a periodic timer that the process did not run.

    :param interval: seconds between two calls of :meth:`check`.
    """

    def __init__(self, clock, interval, record_event):
        self._clock = clock
        self._interval = interval
        self._record_event = record_event
        self._expected = None
        self.on_pause = []

    def check(self):
        """
        Return the seconds by which this call is late; call it at each timer tick.

        A pause is recorded and passed to the ``on_pause`` callbacks.
        """
        now = self._clock.monotonic()
        delay = max(0.0, now - self._expected) if self._expected is not None else 0.0
        self._expected = now + self._interval
        if delay > MIN_PAUSE_S:
            self._record_event("paused", seconds=round(delay, 3))
            for callback in self.on_pause:
                callback(delay)
        return delay


@attrs.frozen
class StartDecision:
    """Whether a starting VM may serve, and why."""

    ready: bool
    reason: str


class ReadinessCheck:
    """
    Decides when a starting VM may serve.

    Enough peers must have responded, from more than one zone if the list of peers has
    several, and none of them may have a newer document. Enough are
    :data:`MIN_START_PEERS`, or as many as are listed if that is less; without listed
    peers the seeds are counted. If no serving peer responded, or the list is empty and
    there are no seeds, the store must have been read. A configuration is always needed.
    A VM that has neither a VM list nor seeds does not serve.

    :param documents: the :class:`~lavendermast.documents.DocumentStore`.
    """

    def __init__(self, membership, gossip, detector, documents, transport, random):
        self._membership = membership
        self._gossip = gossip
        self._detector = detector
        self._documents = documents
        self._transport = transport
        self._random = random
        self._listed = None
        self._store_read = False
        self._responses = {}
        detector.on_ack.append(self.record_response)

    def set_listed(self, peers):
        """
        Replace the listed peers.

        :param peers: mapping of VM name to (peer address, zone).
        """
        local_name = self._membership.local_member.vm
        self._listed = {vm: peer for vm, peer in peers.items() if vm != local_name}
        self._membership.set_listed({vm: peer[0] for vm, peer in self._listed.items()})

    def record_store_read(self):
        """Record that the configuration was read from the store."""
        self._store_read = True

    def record_response(self, vm, versions):
        """Record that a peer responded with its document versions."""
        if self._membership.local_member.state == "starting":
            self._responses[vm] = versions

    def contact_peers(self):
        """Ping peers that have not responded; call it every 0.5 s until ready."""
        missing = [
            address
            for vm, (address, _) in (self._listed or {}).items()
            if vm not in self._responses
        ]
        missing += [seed for seed in self._membership.seeds if seed not in missing]
        self._random.shuffle(missing)
        for address in missing[:MAX_CONTACTS]:
            self._detector.contact(address)
        if missing and self._membership.size == 1:
            self._transport.spawn(self._gossip.sync, missing[0])

    def evaluate(self):
        """Return the current :class:`StartDecision`."""
        if not self._listed and not self._membership.seeds:
            return self._evaluate_without_peers()
        members = [self._membership.get_member(vm) for vm in self._responses]
        members = [member for member in members if member is not None]
        needed = min(MIN_START_PEERS, self._count_listed())
        if len(members) < needed:
            return StartDecision(False, f"responses {len(members)} of {needed}")
        if len(self._get_listed_zones()) > 1 and len({m.zone for m in members}) < 2:
            return StartDecision(False, "responses from one zone")
        for vm, versions in self._responses.items():
            if any(self._documents.is_wanted(version, vm) for version in versions):
                return StartDecision(False, f"newer version at {vm}")
        if all(member.state == "starting" for member in members):
            return self._evaluate_store("all peers starting")
        return self._decide("version of peers")

    def _evaluate_without_peers(self):
        if self._listed is None:
            return StartDecision(False, "no VM list")
        return self._evaluate_store("no peer listed")

    def _evaluate_store(self, reason):
        if not self._store_read:
            return StartDecision(False, f"{reason}, store not read")
        return self._decide(f"{reason}, version of store")

    def _decide(self, reason):
        if self._documents.get("config") is None:
            return StartDecision(False, "no config")
        return StartDecision(True, reason)

    def _count_listed(self):
        return len(self._listed or self._membership.seeds)

    def _get_listed_zones(self):
        return {zone for _, zone in (self._listed or {}).values()}
