"""Evidence from the VMs and the verdicts that judges draw from it."""

import collections

import attrs

from .hashing import rank_members
from .messages_model import Evidence, Verdict
from .samples import KINDS, OK, TIMEOUTS, SlidingCounts
from .witnesses import Witness, group_by_zone, merge_zones

JUDGES_PER_SERVER = 3
REPORT_INTERVAL_S = 0.25
#: Reports without a failure only feed the shares, so they wait and share a datagram;
#: otherwise a VM would send 4 a second to almost every judge.
QUIET_INTERVAL_S = 1.0
#: A VM with 700 servers has 550 judges; with a report to each every second it would
#: send 40 KB/s. The interval grows with the number of reports to keep to this rate.
QUIET_REPORTS_PER_S = 100
#: Beyond this a judge would get counts of which most are older than its window.
MAX_QUIET_INTERVAL_S = 5.0
#: Older evidence comes from a paused VM or a stalled link.
MAX_AGE_MS = 5000
SICK_VALID_MS = 5000
#: Three probe intervals, so that one lost verdict or probe ends no cold state.
STATE_VALID_MS = 15_000
#: A standing finding is repeated, as a verdict's datagrams may all be lost.
REPEAT_S = 1.0
#: Bounds a judge's work while 44 VMs each report failures 4 times a second.
EVALUATE_INTERVAL_S = 0.05
#: Share of the window for which a slow finding must stand: when load rises, servers
#: slow down at slightly different times.
SLOW_STANDING_SHARE = 0.25
#: ``advance`` comes every 100 ms; a longer gap means that the process was paused.
GAP_S = 1.0
#: Failed probes in a row that count as evidence, since one may be lost by the link.
FAILED_PROBES = 2
#: A health endpoint lags, so one that said draining must say otherwise this long.
QUIET_AFTER_DRAIN_S = 30.0
#: The return from draining is repeated for this long, as datagrams are lost.
RECOVERING_S = 60.0


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
    Sends changes in this VM's evidence to the judges, at most 4 times a second.

    :param trackers: ``HealthTracker`` by service name; may change in place.
    """

    def __init__(self, trackers, clock):
        self._trackers = trackers
        self._clock = clock
        self._members = {}
        self._judges = {}
        self._next_report = 0.0
        self._next_quiet = 0.0

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
        include_quiet = now >= self._next_quiet
        reports = collections.defaultdict(list)
        for name, tracker in self._trackers.items():
            self._add_entries(name, tracker.collect_evidence(include_quiet), reports)
        if include_quiet:
            interval = max(QUIET_INTERVAL_S, len(reports) / QUIET_REPORTS_PER_S)
            self._next_quiet = now + min(interval, MAX_QUIET_INTERVAL_S)
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
class _ServiceView:
    """What a judge knows of a service; ``totals`` holds (time, counts, gap) by VM."""

    settings: object
    servers: dict
    zones: set
    totals: dict = attrs.Factory(dict)
    failed_probes: dict = attrs.Factory(dict)

    def get_fresh_totals(self, now):
        """Return the service's counts by VM, without those from past windows."""
        # Quiet reports come up to an interval late.
        oldest = now - self.settings.detection.window_ms / 1000
        items = self.totals.items()
        self.totals = {vm: item for vm, item in items if sum(item[::2]) >= oldest}
        return {vm: counts for vm, (_, counts, _) in self.totals.items()}

    def set_totals(self, vm, counts, now):
        """Take over a VM's counts, with the time since its previous report."""
        gap = max(now - self.totals.get(vm, (now,))[0], QUIET_INTERVAL_S)
        self.totals[vm] = (now, counts, min(gap, MAX_QUIET_INTERVAL_S))


@attrs.define(eq=False)
class _Case:
    """What a judge knows of a server."""

    counts: SlidingCounts
    witnesses: dict = attrs.Factory(dict)
    dirty: bool = False
    evaluated: float = float("-inf")
    issued: float = float("-inf")
    slow_since: float | None = None
    cold: bool = False
    drained: float | None = None


class Judge:
    """
    Draws fleet-wide verdicts on servers from the evidence of several zones.

    A zone's evidence counts when the server does worse than the service's other
    servers as seen from that zone. Two such zones are needed (two VMs if the fleet
    has one zone). Unless the server itself sent errors, a well-served zone at the
    server's own place shows that the links are to blame, and there is no verdict.

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
        self._cases = {}
        self._last_advance = clock.monotonic()

    def replace_service(self, name, settings, servers, members):
        """
        Set a service's settings, listed servers and the VMs that serve it.

        :param members: objects with ``vm`` and ``zone``.
        """
        view = _ServiceView(
            settings, {s.name: s for s in servers}, {m.zone for m in members}
        )
        known = self._services.get(name)
        if known and known.settings == settings:
            view.totals, view.failed_probes = known.totals, known.failed_probes
        self._services[name] = view
        for service, server in list(self._cases):
            if service == name and server not in view.servers:
                del self._cases[service, server]

    def receive(self, zone, vm, evidence):
        """
        Take in one VM's evidence.

        :return: verdicts to send to the service's VMs.
        """
        now = self._clock.monotonic()
        self._check_gap(now)
        if evidence.window_end < self._clock.get_unix_ms() - MAX_AGE_MS:
            return []
        changed = []
        for entry in evidence.entries:
            view = self._services.get(entry.service)
            if view is None:
                continue
            counts = [getattr(entry, kind) for kind in KINDS]
            if not entry.server:
                view.set_totals(vm, counts, now)
            elif entry.server in view.servers:
                key = (entry.service, entry.server)
                self._add_counts(key, zone, vm, counts, now)
                changed.append(key)
        return self._evaluate_due(changed, now)

    def advance(self):
        """Return verdicts that became due; to be called about every 100 ms."""
        now = self._clock.monotonic()
        self._check_gap(now)
        self._last_advance = now
        return self._evaluate_due(list(self._cases), now)

    def receive_probe(self, result):
        """
        Take in a ``ProbeResult`` of this VM.

        :return: verdicts to send to the service's VMs.
        """
        now = self._clock.monotonic()
        view = self._services.get(result.service)
        if view is None or result.server not in view.servers:
            return []
        key = (result.service, result.server)
        if result.state == "dead":
            return self._note_failed_probe(view, key, now)
        view.failed_probes[result.server] = 0
        case = self._get_case(key)
        if result.state == "draining":
            case.drained = now
            return [self._issue(key, "draining", STATE_VALID_MS)]
        verdicts = self._end_draining(case, key, now)
        if result.state == "cold":
            case.cold = True
            verdicts.append(self._issue(key, "cold", STATE_VALID_MS))
        elif case.cold:
            case.cold = False
            verdicts.append(self._issue(key, "healthy", STATE_VALID_MS))
        return verdicts

    def note_leaving(self, service, server):
        """Note that a server said, in a response or by gossip, that it is leaving."""
        view = self._services.get(service)
        if view and server in view.servers:
            self._get_case((service, server)).drained = self._clock.monotonic()

    def _end_draining(self, case, key, now):
        if case.drained is None or now - case.drained < QUIET_AFTER_DRAIN_S:
            return []
        if now - case.drained > QUIET_AFTER_DRAIN_S + RECOVERING_S:
            case.drained = None
            return []
        return [self._issue(key, "recovering", STATE_VALID_MS)]

    def _note_failed_probe(self, view, key, now):
        failed = view.failed_probes.get(key[1], 0) + 1
        view.failed_probes[key[1]] = failed
        if failed < FAILED_PROBES:
            return []
        prober = f"{self._vm}/probe"
        failing = sum(1 for n in view.failed_probes.values() if n)
        totals = [len(view.failed_probes) - failing, 0, failing, 0, 0]
        view.totals[prober] = (now, totals, QUIET_INTERVAL_S)
        counts = [0] * len(KINDS)
        counts[TIMEOUTS] = 1
        self._add_counts(key, self._zone, prober, counts, now)
        return self._evaluate_due([key], now)

    def _add_counts(self, key, zone, vm, counts, now):
        case = self._get_case(key)
        witness = case.witnesses.get(vm)
        if witness is None or witness.zone != zone:
            witness = Witness(zone, SlidingCounts(self._get_window_s(key)))
            case.witnesses[vm] = witness
        for kind, count in enumerate(counts):
            if count:
                case.counts.add(kind, now, count)
                witness.counts.add(kind, now, count)
                case.dirty = case.dirty or kind != OK

    def _get_case(self, key):
        case = self._cases.get(key)
        if case is None:
            case = _Case(SlidingCounts(self._get_window_s(key)))
            self._cases[key] = case
        return case

    def _get_window_s(self, key):
        return self._services[key[0]].settings.detection.window_ms / 1000

    def _check_gap(self, now):
        if now - self._last_advance > GAP_S:
            self._last_advance = now
            for case in self._cases.values():
                case.witnesses.clear()
                case.counts.clear()
                case.dirty = False
            for view in self._services.values():
                view.totals.clear()
                view.failed_probes.clear()

    def _evaluate_due(self, keys, now):
        verdicts = []
        for key in keys:
            case = self._cases[key]
            if not case.dirty or now - case.evaluated < EVALUATE_INTERVAL_S:
                continue
            case.evaluated = now
            finding, zones, witnesses = self._find_cause(key, case, now)
            standing = self._is_standing(key, case, finding, now)
            if not standing or now - case.issued < REPEAT_S:
                continue
            case.issued = now
            verdict = self._issue(
                key, "sick", SICK_VALID_MS, finding.score, witnesses, zones
            )
            verdicts.append(verdict)
        return verdicts

    def _is_standing(self, key, case, finding, now):
        if not finding or finding.cause != "slow":
            case.slow_since = None
            return bool(finding)
        if case.slow_since is None:
            case.slow_since = now
        return now - case.slow_since >= self._get_window_s(key) * SLOW_STANDING_SHARE

    def _find_cause(self, key, case, now):
        view = self._services[key[0]]
        detection = view.settings.detection
        case.counts.expire(now)
        counts = case.counts.totals
        if sum(counts) - counts[OK] < detection.min_samples:
            case.dirty = False
            return None, 0, 0
        totals = view.get_fresh_totals(now)
        zones = group_by_zone(case.witnesses, totals, detection.error_share, now)
        case.dirty = any(zone.bad for zone in zones.values())
        sick = {}
        for name, zone in zones.items():
            finding = zone.find_cause(detection)
            if finding:
                sick[name] = finding
        witnesses = sum(zones[name].bad_vms for name in sick)
        wanted = min(2, len(view.zones))
        if len(sick) < wanted or witnesses < 2:
            return None, 0, 0
        # Two of several zones are bad by chance more often than all together.
        merged = merge_zones(zones.values())
        if not merged.find_certain_cause(detection):
            return None, 0, 0
        finding = max(sick.values(), key=lambda f: (not f.may_be_link, f.score))
        own_zone = zones.get(view.servers[key[1]].zone)
        if finding.may_be_link and own_zone and own_zone.contradicts(merged):
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
