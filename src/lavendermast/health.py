"""Health of one service's servers from this VM's view, and their weights."""

import attrs

from .floors import EjectionBudget
from .messages_model import Verdict
from .models import AttemptStatus, Server, ServerState
from .observations import Observations

EJECTED_WEIGHT = 0.0
#: Weight of an unhealthy server that is not ejected: with 12 servers it receives 0.5%
#: of the requests, below the target of 2%.
REDUCED_WEIGHT = 0.05
#: Initial weight of slow start.
RAMP_START_WEIGHT = 0.1
#: ``advance`` is called every 100 ms; a longer gap means that the process was paused.
MAX_ADVANCE_GAP_S = 1.0
#: Upper bound on the time for which one cold verdict reduces a server's weight.
MAX_COLD_S = 60.0


@attrs.define(eq=False)
class ServerHealth:
    """
    State of one server; times are monotonic unless named ``unix_ms``.

    A restricted server is ejected or at reduced weight until ``restricted_until``.
    """

    server: Server
    listed: bool = True
    unlisted_since: float = 0.0
    leaving_source: str = ""
    leaving_unix_ms: int = 0
    cold_until: float = 0.0
    restricted_since: float = 0.0
    restricted_until: float = 0.0
    confirmed: bool = False
    score: float = 0.0
    cause: str = ""
    source: str = ""
    restriction_count: int = 0
    returned_at: float = 0.0
    returned_unix_ms: int = 0
    ramp_until: float = 0.0
    ejected: bool = False
    denial_logged: bool = False

    @property
    def name(self):
        """The server's name."""
        return self.server.name

    def is_warming_up(self, now):
        """Return whether the server is cold or in slow start."""
        return now < self.cold_until or now < self.ramp_until


class HealthTracker:
    """
    Sets the servers' weights from this VM's attempts and the judges' verdicts.

    A server is ejected on a verdict, or on error responses that only this VM receives,
    since link faults cannot produce these. Timeouts, truncated and slow responses that
    only this VM receives may be caused by its link, so they only reduce the weight.

    >>> from lavendermast.clock import ManualClock
    >>> from lavendermast.settings_model import Service
    >>> service = Service.from_config({"expected_servers": 1, "floor": 1})
    >>> tracker = HealthTracker.from_config(
    ...     "stock", service, ManualClock(), lambda event, **fields: None
    ... )
    >>> tracker.replace_servers([Server("s1", "stock", "r", "r-a", "127.0.0.1:1")])
    >>> tracker.get_weight("s1")
    1.0
    """

    def __init__(self, name, service, clock, record_event):
        self.name = name
        self._clock = clock
        self._record_event = record_event
        self._detection = None
        self._records = {}
        self._weights = {}
        self._draining_verdicts = []
        self._all_at_full_weight = False
        self._last_advance = clock.monotonic()
        self.replace_service(service)

    @classmethod
    def from_config(cls, name, service, clock, record_event):
        """
        Return a tracker for one service.

        :param service: its settings, a ``settings_model.Service``.
        :param record_event: called as ``record_event(event, **fields)``.
        """
        return cls(name, service, clock, record_event)

    def replace_service(self, service):
        """Apply settings; changed thresholds drop the evidence collected so far."""
        self._budget = EjectionBudget.from_config(service)
        if service.detection != self._detection:
            self._replace_detection(service.detection)
        self._refresh_weights(self._clock.monotonic())

    def _replace_detection(self, detection):
        self._detection = detection
        self._observations = Observations(self.name, detection)
        for record in self._records.values():
            self._observations.add_server(record.server)

    def replace_servers(self, servers):
        """
        Apply a new list of this service's servers.

        A server that joins after the first list gets a slow start. A server that left
        the list keeps its state for the longest ejection time, since the list is
        updated late and may flap.
        """
        now = self._clock.monotonic()
        first = not self._records
        names = {server.name for server in servers}
        for record in self._records.values():
            if record.listed and record.name not in names:
                record.listed = False
                record.unlisted_since = now
        for server in servers:
            record = self._records.get(server.name)
            if record is None:
                record = self._records[server.name] = ServerHealth(server)
                if not first:
                    self._start_ramp(record, now)
            self._update_listed(record, server, now)
        self._refresh_weights(now)

    def _update_listed(self, record, server, now):
        replaced = server.address != record.server.address or not record.listed
        listed_live = server.state is ServerState.LIVE
        was_leaving = record.server.state is ServerState.LEAVING
        record.server = server
        record.listed = True
        self._observations.add_server(server)
        if not listed_live:
            self._set_leaving(record, "list")
        elif record.leaving_source and (replaced or was_leaving):
            self._end_leaving(record, now)

    def start_attempt(self, server_name, route_name):
        """Record an attempt that is being sent now, and return its handle."""
        now = self._clock.monotonic()
        return self._observations.start(server_name, route_name, now)

    def finish_attempt(self, attempt, result):
        """
        Count a finished attempt.

        :param attempt: the handle from ``start_attempt``.
        :param result: its ``AttemptResult``.
        """
        now = self._clock.monotonic()
        self._drop_evidence_after_pause(now)
        self._observations.finish(attempt, result, now)
        if result.status is AttemptStatus.DRAINING:
            self.mark_leaving(attempt.server_name, "response")

    def get_weight(self, server_name):
        """Return the server's weight, from 0.0 (no new requests) to 1.0."""
        return self._weights.get(server_name, EJECTED_WEIGHT)

    def count_ejected(self):
        """Return the number of servers that are ejected now."""
        return sum(1 for record in self._records.values() if record.ejected)

    def advance(self):
        """Re-evaluate all servers; called about every 100 ms."""
        now = self._clock.monotonic()
        self._drop_evidence_after_pause(now)
        self._last_advance = now
        self._observations.advance(now)
        for server_name in list(self._observations.servers_to_check):
            self._evaluate(self._records[server_name], now)
        if self._all_at_full_weight:
            return
        for record in list(self._records.values()):
            self._advance_record(record, now)
        self._refresh_weights(now)

    def apply_verdict(self, verdict):
        """Apply a judge's verdict unless it expired or is for another service."""
        record = self._records.get(verdict.server)
        now_ms = self._clock.get_unix_ms()
        if verdict.service != self.name or not record or verdict.valid_until <= now_ms:
            return
        now = self._clock.monotonic()
        if verdict.health == "sick":
            # Verdicts from before the server's return use evidence already acted on.
            if verdict.issued_at > record.returned_unix_ms:
                self._restrict(record, verdict.score, "verdict", "verdict", True, now)
        elif verdict.health == "draining":
            # Gossip may still deliver verdicts from before the server returned.
            if verdict.issued_at > record.returned_unix_ms:
                self.mark_leaving(verdict.server, "health")
        elif verdict.health == "cold":
            until = now + (verdict.valid_until - now_ms) / 1000
            record.cold_until = min(until, now + MAX_COLD_S)
        elif verdict.health == "recovering":
            listed_live = record.server.state is ServerState.LIVE
            if listed_live and verdict.issued_at > record.leaving_unix_ms:
                self._end_leaving(record, now)
        elif now < record.cold_until:
            self._start_ramp(record, now)
        self._refresh_weights(now)

    def mark_leaving(self, server_name, source):
        """
        Mark a server as leaving; it gets no new requests.

        :param source: ``response``, ``health``, ``list`` or ``gossip``.
        :return: whether the server was not marked before.
        """
        record = self._records.get(server_name)
        if record is None:
            return False
        already_leaving = bool(record.leaving_source)
        self._set_leaving(record, source)
        self._refresh_weights(self._clock.monotonic())
        return not already_leaving

    def collect_draining_verdicts(self):
        """Return draining verdicts to gossip, from responses of draining servers."""
        draining_verdicts, self._draining_verdicts = self._draining_verdicts, []
        return draining_verdicts

    def collect_evidence(self, include_failure_free=True):
        """
        Return the attempts counted since the last call, for the judges.

        :param include_failure_free: whether servers without a failure are included.
        :return: an ``EvidenceEntry`` for each server with new attempts, then one
            with an empty server name: the whole service in the current window.
        """
        return self._observations.collect(include_failure_free)

    def _drop_evidence_after_pause(self, now):
        """Drop evidence gathered across a pause of this process."""
        if now - self._last_advance <= MAX_ADVANCE_GAP_S:
            return
        self._last_advance = now
        self._observations.clear_all()

    def _advance_record(self, record, now):
        if record.restricted_until:
            if now >= record.restricted_until:
                self._release(record, now)
            return
        if record.cold_until and now >= record.cold_until:
            self._start_ramp(record, now)
        if not record.listed and now - record.unlisted_since > self._max_restriction_s:
            del self._records[record.name], self._weights[record.name]
            self._observations.remove_server(record.name)

    def _evaluate(self, record, now):
        finding = self._observations.find_cause(record.name, now)
        if finding:
            confirmed = not finding.may_be_link_fault
            self._restrict(
                record, finding.score, finding.cause, "local", confirmed, now
            )
            self._all_at_full_weight = False

    @property
    def _max_restriction_s(self):
        return self._detection.max_ejection_ms / 1000

    def _restrict(self, record, score, cause, source, confirmed, now):
        """Eject a server if confirmed, or reduce its weight, for a limited time."""
        if record.restricted_until and (record.confirmed or not confirmed):
            return
        if not record.restricted_until:
            if now - record.returned_at > self._max_restriction_s:
                record.restriction_count = 0
            # The exponent is bounded because the power is computed before the minimum.
            restriction_ms = self._detection.ejection_ms * 2 ** min(
                record.restriction_count, 20
            )
            record.restriction_count += 1
            record.restricted_until = now + min(
                restriction_ms / 1000, self._max_restriction_s
            )
            record.restricted_since = now
        record.ramp_until = 0.0
        record.confirmed = confirmed
        record.score, record.cause, record.source = score, cause, source
        record.denial_logged = False
        self._observations.clear_server(record.name)
        if not confirmed:
            self._record_ejection_event("ejection_denied", record, 0)

    def _release(self, record, now):
        record.restricted_until = 0.0
        record.confirmed = record.ejected = False
        self._observations.clear_server(record.name)
        record.returned_at = now
        record.returned_unix_ms = self._clock.get_unix_ms()
        self._start_ramp(record, now)
        self._record_event(
            "returned",
            service=self.name,
            server=record.name,
            weight=self._compute_weight(record, now),
            ramp_until=self._convert_to_unix_ms(record.ramp_until, now),
        )

    def _start_ramp(self, record, now):
        record.cold_until = 0.0
        record.ramp_until = now + self._detection.ramp_ms / 1000

    def _set_leaving(self, record, source):
        if not record.leaving_source:
            self._record_event(
                "server_leaving", service=self.name, server=record.name, source=source
            )
            record.leaving_source = source
            if source == "response":
                self._draining_verdicts.append(
                    self._build_draining_verdict(record.name)
                )
        record.leaving_unix_ms = self._clock.get_unix_ms()

    def _build_draining_verdict(self, server_name):
        issued = self._clock.get_unix_ms()
        return Verdict(
            service=self.name,
            server=server_name,
            health="draining",
            issued_at=issued,
            valid_until=issued + 30_000,
        )

    def _end_leaving(self, record, now):
        if record.leaving_source:
            record.leaving_source = ""
            record.returned_unix_ms = self._clock.get_unix_ms()
            self._observations.clear_server(record.name)
            self._start_ramp(record, now)

    def _refresh_weights(self, now):
        live = [r for r in self._records.values() if r.listed and not r.leaving_source]
        confirmed_records = [r for r in live if r.confirmed]
        warming_up = sum(1 for r in live if not r.confirmed and r.is_warming_up(now))
        allowed = self._budget.count_allowed(len(live), warming_up)
        ejected = (
            set(self._budget.select(confirmed_records, len(live), warming_up))
            if confirmed_records
            else ()
        )
        for record in confirmed_records:
            self._set_ejected(record, record in ejected, allowed - len(ejected))
        for record in self._records.values():
            self._weights[record.name] = self._compute_weight(record, now)
        self._all_at_full_weight = all(
            weight == 1.0 for weight in self._weights.values()
        )

    def _set_ejected(self, record, ejected, budget_left):
        if ejected and not record.ejected:
            self._record_ejection_event("ejected", record, budget_left)
        elif not ejected and not record.denial_logged:
            record.denial_logged = True
            self._record_ejection_event("ejection_denied", record, budget_left)
        record.ejected = ejected

    def _record_ejection_event(self, event, record, budget_left):
        now = self._clock.monotonic()
        self._record_event(
            event,
            service=self.name,
            server=record.name,
            cause=record.cause if record.confirmed else f"{record.cause}-unconfirmed",
            source=record.source,
            score=record.score,
            until=self._convert_to_unix_ms(record.restricted_until, now),
            budget_left=budget_left,
        )

    def _convert_to_unix_ms(self, moment, now):
        return self._clock.get_unix_ms() + round((moment - now) * 1000)

    def _compute_weight(self, record, now):
        if record.leaving_source or not record.listed or record.ejected:
            return EJECTED_WEIGHT
        if record.restricted_until:
            return REDUCED_WEIGHT
        if now < record.cold_until:
            return RAMP_START_WEIGHT
        if now < record.ramp_until:
            left = (record.ramp_until - now) * 1000 / self._detection.ramp_ms
            return RAMP_START_WEIGHT + (1.0 - RAMP_START_WEIGHT) * (1.0 - left)
        return 1.0
