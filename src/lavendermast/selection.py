"""Choice of the backend server for an attempt of an entry VM."""

import attrs

from lavendermast.models import ServerState

#: Costs are in shares of a request's worth. A sick server fails 0.7 of its requests.
SICKNESS_COST = 0.7
#: Filling a server to its slots slows it; beyond them requests queue.
FILL_COST = 0.10
QUEUE_COST = 0.25
#: Worth of one request against that of the bytes which it moves between zones and
#: regions, by the prices of the users' networks for an answer of 90 KB.
REGION_COST = 0.03
ZONE_COST = 0.004
REGION_COST_PER_BYTE = 2.0 / 90_000
ZONE_COST_PER_BYTE = 0.4 / 90_000
#: A server that was not asked for this long gets a request to show what it is worth,
#: so that no healthy one is left out.
UNASKED_S = 1.4
UNASKED_BONUS = 0.12
#: A server that is believed sick is not asked again before this probability.
RETURN_SICKNESS = 0.45
WARM_UP_COST = 0.15
JITTER = 0.01


@attrs.define(eq=False)
class Candidate:
    """A server with what decides about it."""

    listed: object
    cost: float
    sickness: float
    pending: int
    evidence_age_ms: int | None


class ServerSelector:
    """
    Chooses servers by the risk of failure, their load and their distance.

    :param catalog: the listed servers.
    :param evidence: function from a server's name to its ``ServerEvidence``.
    """

    def __init__(self, catalog, evidence, zone, region, clock, random):
        self._catalog = catalog
        self._evidence = evidence
        self._zone = zone
        self._region = region
        self._clock = clock
        self._random = random

    def choose(self, service, answer_bytes, excluded=()):
        """
        Return the best ``Candidate``, or ``None`` when no server is listed.

        :param answer_bytes: expected size of the answer.
        :param excluded: names of servers not to use.
        """
        now = self._clock.monotonic()
        best = None
        for listed in self._catalog.get_servers(service):
            server = listed.server
            if server.state is not ServerState.LIVE or server.name in excluded:
                continue
            candidate = self._assess(listed, answer_bytes, now)
            if best is None or candidate.cost < best.cost:
                best = candidate
        return best

    def _assess(self, listed, answer_bytes, now):
        evidence = self._evidence(listed.server.name)
        sickness = evidence.compute_sickness(now)
        pending = evidence.pending
        cost = SICKNESS_COST * sickness
        cost += FILL_COST * min(pending / listed.slots, 1.0)
        if pending >= listed.slots:
            cost += QUEUE_COST * (pending - listed.slots + 1) / listed.slots
        if now < evidence.busy_until:
            cost += QUEUE_COST
        if now < listed.warm_until:
            cost += WARM_UP_COST * (1 + pending)
        cost += self._compute_distance_cost(listed.server, answer_bytes)
        same_region = listed.server.region == self._region
        if same_region and sickness < RETURN_SICKNESS and not pending:
            idle = now - max(evidence.last_started, listed.listed_at)
            if idle > UNASKED_S:
                cost -= UNASKED_BONUS
        cost += self._random.random() * JITTER
        age = None
        if evidence.last_started:
            age = round((now - evidence.last_started) * 1000)
        return Candidate(listed, cost, sickness, pending, age)

    def _compute_distance_cost(self, server, answer_bytes):
        if server.zone == self._zone:
            return 0.0
        if server.region == self._region:
            return ZONE_COST + ZONE_COST_PER_BYTE * answer_bytes
        return REGION_COST + REGION_COST_PER_BYTE * answer_bytes
