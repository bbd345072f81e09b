"""Reports attempt counts to the judges, which issue verdicts on servers."""

import collections

import attrs

from .hashing import rank_members
from .messages_model import Evidence, Verdict
from .samples import KINDS, OK, TIMEOUTS, SlidingCounts
from .witnesses import Witness, group_by_zone, merge_zones

JUDGES_PER_SERVER = 3
REPORT_INTERVAL_S = 0.25
#: Reports without a failure only update the failure shares, so they are sent less often
#: and share datagrams. Otherwise a VM would send 4 a second to almost every judge.
FAILURE_FREE_INTERVAL_S = 1.0
#: Upper bound on failure-free reports; the interval grows with the number of judges.
#: A VM with 700 servers has 550 judges, and one report a second to each is 40 KB/s.
FAILURE_FREE_REPORTS_PER_S = 100
#: With a longer interval, most of the reported counts would be older than the window.
MAX_FAILURE_FREE_INTERVAL_S = 5.0
#: Older evidence comes from a paused VM or a stalled link and is ignored.
MAX_EVIDENCE_AGE_MS = 5000
SICK_VALID_MS = 5000
#: Three probe intervals, so that losing one verdict or probe does not end a cold state.
PROBE_STATE_VALID_MS = 15_000
#: A verdict is repeated while its finding persists, since datagrams may be lost.
VERDICT_REPEAT_INTERVAL_S = 1.0
#: Least time between evaluations of a server, which bounds a judge's work while 44 VMs
#: each report failures 4 times a second.
EVALUATE_INTERVAL_S = 0.05
#: Share of the window for which a slow finding must persist before a verdict. When load
#: rises, servers slow down at slightly different times.
SLOW_MIN_DURATION_SHARE = 0.25
#: ``advance`` is called every 100 ms; a longer gap means that the process was paused.
MAX_ADVANCE_GAP_S = 1.0
#: Consecutive failed probes that count as evidence; the network may lose a single one.
MIN_FAILED_PROBES = 2
#: Time without a draining report after which draining counts as over, since health
#: endpoints report state changes late.
DRAIN_END_DELAY_S = 30.0
#: Time for which the end of draining is announced repeatedly, since datagrams may be
#: lost.
RECOVERING_REPEAT_S = 60.0


def choose_judges(service, server, members):
    """
    Return the names of the VMs that judge a server, from different zones if possible.

    :param members: objects with ``vm`` and ``zone``.

    >>> Member = collections.namedtuple("Member", "vm zone")
    >>> members = [Member(f"v{n}", f"z{n % 2}") for n in range(6)]
    >>> judges = choose_judges("stock", "s1", members)
    >>> len(judges), len({int(name[1:]) % 2 for name in judges[:2]})
    (3, 2)
    """
    zones = {member.vm: member.zone for member in members}
    ranked = rank_members(f"{service}/{server}", zones)
    chosen = {}
    for vm in ranked:
        chosen.setdefault(zones[vm], vm)
    first = list(chosen.values())[:JUDGES_PER_SERVER]
    rest = [vm for vm in ranked if vm not in first]
    return first + rest[: JUDGES_PER_SERVER - len(first)]


class EvidenceReporter:
    """
    Reports this VM's new attempt counts to the judges, at most 4 times a second.

    :param trackers: ``HealthTracker`` by service name; the caller may change it.
    """

    def __init__(self, trackers, clock):
        self._trackers = trackers
        self._clock = clock
        self._members = {}
        self._judges = {}
        self._next_report = 0.0
        self._next_failure_free = 0.0

    def replace_members(self, service, members):
        """Set the VMs that serve a service: objects with ``vm`` and ``zone``."""
        self._members[service] = list(members)
        self._judges.clear()

    def collect(self):
        """Return the reports that are due, as pairs of VM name and ``Evidence``."""
        now = self._clock.monotonic()
        if now < self._next_report:
            return []
        self._next_report = now + REPORT_INTERVAL_S
        include_failure_free = now >= self._next_failure_free
        reports = collections.defaultdict(list)
        for name, tracker in self._trackers.items():
            self._add_entries(
                name, tracker.collect_evidence(include_failure_free), reports
            )
        if include_failure_free:
            interval = max(
                FAILURE_FREE_INTERVAL_S, len(reports) / FAILURE_FREE_REPORTS_PER_S
            )
            self._next_failure_free = now + min(interval, MAX_FAILURE_FREE_INTERVAL_S)
        end = self._clock.get_unix_ms()
        return [
            (vm, Evidence(entries=tuple(entries), window_end=end))
            for vm, entries in reports.items()
        ]

    def _add_entries(self, service, entries, reports):
        if not entries:
            return
        *entries, total = entries
        judges = set()
        for entry in entries:
            for vm in self._get_judges(service, entry.server):
                reports[vm].append(entry)
                judges.add(vm)
        for vm in judges:
            reports[vm].append(total)

    def _get_judges(self, service, server):
        judges = self._judges.get((service, server))
        if judges is None:
            members = self._members.get(service, ())
            judges = choose_judges(service, server, members)
            self._judges[service, server] = judges
        return judges


@attrs.define(eq=False)
class _ServiceState:
    """A judge's state of a service; ``totals`` holds (time, counts, interval) by VM."""

    settings: object
    servers: dict
    zones: set
    totals: dict = attrs.Factory(dict)
    failed_probes: dict = attrs.Factory(dict)

    def get_fresh_totals(self, now):
        """Return the service's counts by VM, without those older than the window."""
        # ``item[::2]`` is the time of the report and the expected interval to the next
        # one: failure-free reports may arrive up to one interval late.
        oldest = now - self.settings.detection.window_ms / 1000
        items = self.totals.items()
        self.totals = {vm: item for vm, item in items if sum(item[::2]) >= oldest}
        return {vm: counts for vm, (_, counts, _) in self.totals.items()}

    def set_totals(self, vm, counts, now):
        """Replace a VM's counts and record the time since its previous report."""
        gap = max(now - self.totals.get(vm, (now,))[0], FAILURE_FREE_INTERVAL_S)
        self.totals[vm] = (now, counts, min(gap, MAX_FAILURE_FREE_INTERVAL_S))


@attrs.define(eq=False)
class _ServerRecord:
    """A judge's state of one server; times are monotonic."""

    counts: SlidingCounts
    witnesses: dict = attrs.Factory(dict)
    needs_evaluation: bool = False
    evaluated_at: float = float("-inf")
    issued_at: float = float("-inf")
    slow_since: float | None = None
    cold: bool = False
    last_draining_at: float | None = None


class Judge:
    """
    Issues fleet-wide verdicts on servers from the evidence of several zones.

    A zone's evidence counts when the server performs worse than the service's other
    servers as seen from that zone. Two such zones are required, or one if all VMs
    of the service are in one zone; in both cases at least two VMs, where this VM's
    probes count as one more. Unless the server itself sent errors, good results in the
    server's own zone indicate a link fault, and no verdict is issued.

    :param zone: zone of this VM.
    :param vm: name of this VM.
    :param record_event: called as ``record_event(event, **fields)``.
    """

    def __init__(self, zone, vm, clock, record_event):
        self._zone = zone
        self._vm = vm
        self._clock = clock
        self._record_event = record_event
        self._services = {}
        self._records = {}
        self._last_advance = clock.monotonic()

    def replace_service(self, name, settings, servers, members):
        """
        Set a service's settings, listed servers and the VMs that serve it.

        :param members: objects with ``vm`` and ``zone``.
        """
        service_state = _ServiceState(
            settings, {s.name: s for s in servers}, {m.zone for m in members}
        )
        previous = self._services.get(name)
        if previous and previous.settings == settings:
            service_state.totals, service_state.failed_probes = (
                previous.totals,
                previous.failed_probes,
            )
        self._services[name] = service_state
        for service, server in list(self._records):
            if service == name and server not in service_state.servers:
                del self._records[service, server]

    def receive(self, zone, vm, evidence):
        """
        Apply one VM's evidence.

        :return: verdicts to send to the service's VMs.
        """
        now = self._clock.monotonic()
        self._drop_evidence_after_pause(now)
        if evidence.window_end < self._clock.get_unix_ms() - MAX_EVIDENCE_AGE_MS:
            return []
        changed = []
        for entry in evidence.entries:
            service_state = self._services.get(entry.service)
            if service_state is None:
                continue
            counts = [getattr(entry, kind) for kind in KINDS]
            if not entry.server:
                service_state.set_totals(vm, counts, now)
            elif entry.server in service_state.servers:
                key = (entry.service, entry.server)
                self._add_counts(key, zone, vm, counts, now)
                changed.append(key)
        return self._evaluate_due(changed, now)

    def advance(self):
        """Return the verdicts that are due; called about every 100 ms."""
        now = self._clock.monotonic()
        self._drop_evidence_after_pause(now)
        self._last_advance = now
        return self._evaluate_due(list(self._records), now)

    def receive_probe(self, result):
        """
        Apply a ``ProbeResult`` of this VM.

        :return: verdicts to send to the service's VMs.
        """
        now = self._clock.monotonic()
        service_state = self._services.get(result.service)
        if service_state is None or result.server not in service_state.servers:
            return []
        key = (result.service, result.server)
        if result.state == "dead":
            return self._count_failed_probe(service_state, key, now)
        service_state.failed_probes[result.server] = 0
        record = self._get_record(key)
        if result.state == "draining":
            record.last_draining_at = now
            return [self._issue(key, "draining", PROBE_STATE_VALID_MS)]
        verdicts = self._check_draining_end(record, key, now)
        if result.state == "cold":
            record.cold = True
            verdicts.append(self._issue(key, "cold", PROBE_STATE_VALID_MS))
        elif record.cold:
            record.cold = False
            verdicts.append(self._issue(key, "healthy", PROBE_STATE_VALID_MS))
        return verdicts

    def mark_leaving(self, service, server):
        """Record that a server is leaving, according to a response or gossip."""
        service_state = self._services.get(service)
        if service_state and server in service_state.servers:
            self._get_record(
                (service, server)
            ).last_draining_at = self._clock.monotonic()

    def _check_draining_end(self, record, key, now):
        if (
            record.last_draining_at is None
            or now - record.last_draining_at < DRAIN_END_DELAY_S
        ):
            return []
        if now - record.last_draining_at > DRAIN_END_DELAY_S + RECOVERING_REPEAT_S:
            record.last_draining_at = None
            return []
        return [self._issue(key, "recovering", PROBE_STATE_VALID_MS)]

    def _count_failed_probe(self, service_state, key, now):
        failed = service_state.failed_probes.get(key[1], 0) + 1
        service_state.failed_probes[key[1]] = failed
        if failed < MIN_FAILED_PROBES:
            return []
        prober = f"{self._vm}/probe"
        failing = sum(1 for n in service_state.failed_probes.values() if n)
        totals = [len(service_state.failed_probes) - failing, 0, failing, 0, 0]
        service_state.totals[prober] = (now, totals, FAILURE_FREE_INTERVAL_S)
        counts = [0] * len(KINDS)
        counts[TIMEOUTS] = 1
        self._add_counts(key, self._zone, prober, counts, now)
        return self._evaluate_due([key], now)

    def _add_counts(self, key, zone, vm, counts, now):
        record = self._get_record(key)
        witness = record.witnesses.get(vm)
        if witness is None or witness.zone != zone:
            witness = Witness(zone, SlidingCounts(self._get_window_s(key)))
            record.witnesses[vm] = witness
        for kind, count in enumerate(counts):
            if count:
                record.counts.add(kind, now, count)
                witness.counts.add(kind, now, count)
                record.needs_evaluation = record.needs_evaluation or kind != OK

    def _get_record(self, key):
        record = self._records.get(key)
        if record is None:
            record = _ServerRecord(SlidingCounts(self._get_window_s(key)))
            self._records[key] = record
        return record

    def _get_window_s(self, key):
        return self._services[key[0]].settings.detection.window_ms / 1000

    def _drop_evidence_after_pause(self, now):
        if now - self._last_advance > MAX_ADVANCE_GAP_S:
            self._last_advance = now
            for record in self._records.values():
                record.witnesses.clear()
                record.counts.clear()
                record.needs_evaluation = False
            for service_state in self._services.values():
                service_state.totals.clear()
                service_state.failed_probes.clear()

    def _evaluate_due(self, keys, now):
        verdicts = []
        for key in keys:
            record = self._records[key]
            if (
                not record.needs_evaluation
                or now - record.evaluated_at < EVALUATE_INTERVAL_S
            ):
                continue
            record.evaluated_at = now
            finding, zones, witnesses = self._find_cause(key, record, now)
            persistent = self._is_persistent(key, record, finding, now)
            if not persistent or now - record.issued_at < VERDICT_REPEAT_INTERVAL_S:
                continue
            record.issued_at = now
            verdict = self._issue(
                key, "sick", SICK_VALID_MS, finding.score, witnesses, zones
            )
            verdicts.append(verdict)
        return verdicts

    def _is_persistent(self, key, record, finding, now):
        if not finding or finding.cause != "slow":
            record.slow_since = None
            return bool(finding)
        if record.slow_since is None:
            record.slow_since = now
        return (
            now - record.slow_since >= self._get_window_s(key) * SLOW_MIN_DURATION_SHARE
        )

    def _find_cause(self, key, record, now):
        service_state = self._services[key[0]]
        detection = service_state.settings.detection
        record.counts.expire(now)
        counts = record.counts.totals
        if sum(counts) - counts[OK] < detection.min_samples:
            record.needs_evaluation = False
            return None, 0, 0
        totals = service_state.get_fresh_totals(now)
        zones = group_by_zone(record.witnesses, totals, detection.error_share, now)
        record.needs_evaluation = any(zone.bad for zone in zones.values())
        sick = {}
        for name, zone in zones.items():
            finding = zone.find_cause(detection)
            if finding:
                sick[name] = finding
        witnesses = sum(zones[name].bad_vms for name in sick)
        required_zones = min(2, len(service_state.zones))
        if len(sick) < required_zones or witnesses < 2:
            return None, 0, 0
        # Two of several zones exceed the threshold by chance more often than the sum of
        # all zones does.
        merged = merge_zones(zones.values())
        if not merged.find_significant_cause(detection):
            return None, 0, 0
        finding = max(sick.values(), key=lambda f: (not f.may_be_link_fault, f.score))
        server_zone = zones.get(service_state.servers[key[1]].zone)
        if (
            finding.may_be_link_fault
            and server_zone
            and server_zone.is_clearly_better_than(merged)
        ):
            return None, 0, 0
        return finding, len(sick), witnesses

    def _issue(self, key, health, valid_ms, score=0.0, witnesses=1, zones=1):
        issued = self._clock.get_unix_ms()
        service, server = key
        self._record_event(
            "verdict",
            service=service,
            server=server,
            health=health,
            score=score,
            witnesses=witnesses,
            zones=zones,
            valid_until=issued + valid_ms,
        )
        return Verdict(
            service=service,
            server=server,
            health=health,
            score=score,
            judge=self._vm,
            issued_at=issued,
            valid_until=issued + valid_ms,
        )
