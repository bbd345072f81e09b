"""Idempotency keys seen by this process and the outcome of each."""

import enum
import heapq

import attrs

from lavendermast.entries import Entry, EntryState, export_parts, import_entries
from lavendermast.exceptions import LedgerError
from lavendermast.models import Outcome

#: Longest stored response body; a longer one is not replayed.
MAX_STORED_BODY_BYTES = 65536
#: Bound on all stored bodies and headers: a quarter of the 128 MB of memory for the
#: control plane.
MAX_STORED_BYTES = 32 * 1024 * 1024
#: An entry that is still running when it expires is checked again after this time.
RUNNING_RECHECK_MS = 60_000


class Action(enum.Enum):
    """What the caller of :meth:`Ledger.begin` must do."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    REFUSE = "refuse"


@attrs.frozen
class KeyDecision:
    """
    The decision on one submission of a key.

    :param status: HTTP status of a refusal or of the stored response.
    :param entry: the key's entry; ``None`` when a key without one is refused.
    """

    action: Action
    outcome: Outcome | None = None
    reason: str = ""
    status: int = 0
    headers: tuple = ()
    body: bytes = b""
    entry: Entry | None = None


@attrs.define
class _OwnedBoot:
    """
    A boot whose keys this ledger is responsible for.

    A boot is one run of the process of a VM, named by its boot id.

    :param refused_until: keys without an entry never run if their ``accept_until`` is
        at most this.
    :param forgotten_until: keys without an entry may have run if their
        ``accept_until`` is at most this.
    """

    refused_until: int = 0
    forgotten_until: int = 0


def _refuse(outcome, reason, status):
    return KeyDecision(Action.REFUSE, outcome, reason, status)


class Ledger:
    """
    Admits each key at most once; returns the recorded outcome for repeated submissions.

    A key that did not run stays refused: a delayed copy of the request must not run
    after its caller received ``not-run``.

    :param boot_id: the process whose tokens this ledger accepts.
    """

    def __init__(self, clock, boot_id, capacity, remember_ms):
        self._clock = clock
        self.boot_id = boot_id
        self._capacity = capacity
        self._remember_ms = remember_ms
        self._entries = {}
        self._expiry = []
        self._owned_boots = {boot_id: _OwnedBoot()}
        self._partial_handovers = {}
        self._stored_bytes = 0
        self._successor = None
        self._handovers = None
        # Wall time may step back. The ledger's time must not, or a key that was refused
        # as too old would be accepted again.
        self._epoch = clock.time() - clock.monotonic()

    @classmethod
    def from_config(cls, config, clock, boot_id):
        """Return an empty ledger with the limits of an accepted configuration."""
        limits, tokens = config.limits, config.tokens
        return cls(clock, boot_id, limits.ledger_entries, tokens.remember_ms)

    def apply_config(self, config):
        """Use the limits of another configuration for later keys."""
        self._capacity = config.limits.ledger_entries
        self._remember_ms = config.tokens.remember_ms

    def __len__(self):
        return len(self._entries)

    @property
    def frozen(self):
        """Whether the ledger accepts no new keys because of a handover."""
        return self._successor is not None

    def get_unix_ms(self):
        """Return the ledger's time, by which tokens are issued."""
        return int((self._epoch + self._clock.monotonic()) * 1000)

    def owns(self, boot_id):
        """Return whether this ledger is responsible for the keys of a boot."""
        return boot_id in self._owned_boots

    def begin(self, key, request_digest, token):
        """
        Decide on one submission of a key.

        :param request_digest: digest of method, path, query and body.
        :param token: the verified token of the key.
        :return: a :class:`KeyDecision`; after ``RUN`` one of ``finish``,
            ``mark_not_run`` and ``mark_unknown`` must follow, after ``JOIN`` call
            ``join``.
        """
        self.evict_expired()
        entry = self._entries.get(key)
        if entry is not None:
            return attrs.evolve(_decide_repeat(entry, request_digest), entry=entry)
        owned = self._owned_boots.get(token.boot_id)
        if owned is None:
            return _refuse(Outcome.UNKNOWN, "other-boot", 504)
        return self._decide_new(key, request_digest, token, owned)

    def join(self, key, request_digest, token, deadline):
        """
        Wait for the request in flight with the same key.

        :param deadline: monotonic time at which waiting ends.
        :return: the final :class:`KeyDecision`, never ``JOIN``.
        """
        while True:
            decision = self.begin(key, request_digest, token)
            if decision.action is not Action.JOIN:
                return decision
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                refusal = _refuse(Outcome.UNKNOWN, "in-flight", 504)
                return attrs.evolve(refusal, entry=decision.entry)
            decision.entry.settled.wait(timeout=remaining)

    def finish(self, key, status, headers, body):
        """
        Record the response of a key that ran.

        :param body: the whole body, or ``None`` when it was streamed.
        """
        entry = self._get_running(key)
        headers = tuple((name, value) for name, value in headers)
        size = sum(len(name) + len(value) for name, value in headers)
        size += len(body or b"")
        if (
            body is None
            or len(body) > MAX_STORED_BODY_BYTES
            or self._stored_bytes + size > MAX_STORED_BYTES
        ):
            self._settle(entry, EntryState.COMPLETED)
            return
        entry.status, entry.headers, entry.body = status, headers, body
        entry.size = size
        self._stored_bytes += size
        self._settle(entry, EntryState.STORED)

    def mark_not_run(self, key):
        """Record that a key certainly did not run; it never will."""
        self._settle(self._get_running(key), EntryState.REFUSED)

    def mark_unknown(self, key):
        """Record that a key may have run."""
        self._settle(self._get_running(key), EntryState.UNKNOWN)

    def evict_expired(self):
        """Evict expired entries that are not running."""
        now = self.get_unix_ms()
        while self._expiry and self._expiry[0][0] <= now:
            _, key = heapq.heappop(self._expiry)
            entry = self._entries[key]
            if entry.state is EntryState.RUNNING:
                heapq.heappush(self._expiry, (now + RUNNING_RECHECK_MS, key))
                continue
            del self._entries[key]
            self._stored_bytes -= entry.size
            owned = self._owned_boots[entry.boot_id]
            if entry.state is not EntryState.REFUSED:
                owned.forgotten_until = max(owned.forgotten_until, entry.accept_until)
            owned.refused_until = max(owned.refused_until, entry.accept_until)

    def freeze(self, successor_boot_id):
        """
        Stop accepting new keys permanently.

        :param successor_boot_id: the only process that may take over.
        """
        if self._successor not in (None, successor_boot_id):
            raise LedgerError("the ledger is already frozen for another successor")
        self._successor = successor_boot_id

    def export_handovers(self):
        """
        Return the handover messages for every boot that this ledger is responsible for.

        The successor must accept each of them before its ownership is announced.
        """
        if self._successor is None:
            raise LedgerError("the ledger is not frozen")
        # The snapshot is made once: messages of two snapshots could together miss an
        # entry.
        if self._handovers is None:
            self._handovers = self._export()
        return self._handovers

    def _export(self):
        self.evict_expired()
        now = self.get_unix_ms()
        return [
            part
            for boot_id, owned in self._owned_boots.items()
            for part in export_parts(
                [item for item in self._entries.values() if item.boot_id == boot_id],
                boot_id=boot_id,
                successor_boot_id=self._successor,
                # The successor's clock may be behind. It must not accept a key that was
                # already refused here as too old.
                refused_until=max(owned.refused_until, now - 1),
                forgotten_until=owned.forgotten_until,
            )
        ]

    def import_handover(self, handover):
        """
        Apply one handover message; ownership passes once all of them have arrived.

        :return: whether the message was accepted.
        """
        if handover.successor_boot_id != self.boot_id:
            return False
        if self.owns(handover.boot_id):
            return True
        received = self._partial_handovers.setdefault(handover.boot_id, {})
        entries = import_entries(handover)
        room = self._capacity - len(self._entries)
        if self.frozen or entries is None or handover.total > room:
            return False
        received.update((entry.key, entry) for entry in entries)
        if len(received) == handover.total:
            self._take_ownership(handover, received.values())
        return True

    def _take_ownership(self, handover, entries):
        del self._partial_handovers[handover.boot_id]
        self._owned_boots[handover.boot_id] = _OwnedBoot(
            handover.refused_until, handover.forgotten_until
        )
        for entry in entries:
            if self._stored_bytes + entry.size > MAX_STORED_BYTES:
                entry.drop_response()
            self._stored_bytes += entry.size
            self._add(entry)

    def _decide_new(self, key, digest, token, owned):
        now = self.get_unix_ms()
        accept_until = token.accept_until
        if (
            accept_until <= owned.forgotten_until
            or now > accept_until + self._remember_ms
        ):
            return _refuse(Outcome.UNKNOWN, "forgotten", 504)
        if self.frozen:
            return _refuse(Outcome.UNKNOWN, "handed-over", 504)
        if now > accept_until or accept_until <= owned.refused_until:
            return _refuse(Outcome.NOT_RUN, "key-expired", 428)
        if len(self._entries) >= self._capacity:
            # Refuses every new key of this boot with the same or an earlier
            # accept_until, without an entry for each. A late copy of this request is
            # therefore still refused when there is room again.
            owned.refused_until = accept_until
            return _refuse(Outcome.NOT_RUN, "ledger-full", 503)
        remember_until = accept_until + self._remember_ms
        entry = Entry(key, token.boot_id, digest, accept_until, remember_until)
        self._add(entry)
        return KeyDecision(Action.RUN, entry=entry)

    def _add(self, entry):
        self._entries[entry.key] = entry
        heapq.heappush(self._expiry, (entry.remember_until, entry.key))

    def _get_running(self, key):
        entry = self._entries.get(key)
        if entry is None or entry.state is not EntryState.RUNNING:
            raise LedgerError("the key is not in flight")
        return entry

    def _settle(self, entry, state):
        entry.state = state
        entry.settled.send(state)


def _decide_repeat(entry, digest):
    if entry.digest != digest:
        may_have_run = entry.state is not EntryState.REFUSED
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        return _refuse(outcome, "key-reused", 422)
    if entry.state is EntryState.RUNNING:
        return KeyDecision(Action.JOIN, entry=entry)
    if entry.state is EntryState.STORED:
        return KeyDecision(
            Action.REPLAY,
            Outcome.ANSWERED,
            "replayed",
            entry.status,
            entry.headers,
            entry.body,
        )
    if entry.state is EntryState.COMPLETED:
        return _refuse(Outcome.UNKNOWN, "completed-before", 504)
    if entry.state is EntryState.UNKNOWN:
        return _refuse(Outcome.UNKNOWN, "may-have-run", 504)
    return _refuse(Outcome.NOT_RUN, "refused-before", 503)
