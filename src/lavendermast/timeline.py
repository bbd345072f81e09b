"""Tracks fleet events over time: ejections, versions, handovers, log coverage."""

import bisect
import collections
import itertools
import math
import sys

import attrs

from .loglines import get_number

#: A longer time without lines in a VM's log is listed as a gap.
GAP_S = 10.0
_SLOT_S = GAP_S / 2
#: VM clocks differ, and a VM logs its handover before it announces it.
HANDOVER_MARGIN_S = 1.0
#: Slots whose bits are stored in one integer.
_SLOTS_PER_BLOCK = 1024
#: If a series has more steps than this, its step width doubles.
MAX_STEPS = 2_000
#: Latencies are counted in steps of 5%.
_LATENCY_BASE = math.log(1.05)


@attrs.define
class LogCoverage:
    """Records the time span of one VM's log and the gaps in it."""

    vm: str
    first: float = math.inf
    last: float = -math.inf
    lines: int = 0
    _masks: dict = attrs.Factory(dict)

    def add(self, moment):
        """Add the time of one line."""
        self.first = min(self.first, moment)
        self.last = max(self.last, moment)
        self.lines += 1
        block, bit = divmod(int(moment // _SLOT_S), _SLOTS_PER_BLOCK)
        self._masks[block] = self._masks.get(block, 0) | 1 << bit

    def covers(self, moment):
        """Return whether the log has lines around a time; ``True`` for ``None``."""
        if moment is None:
            return True
        slots = [
            divmod(int(moment // _SLOT_S) + shift, _SLOTS_PER_BLOCK)
            for shift in (-1, 0, 1)
        ]
        return any(self._masks.get(block, 0) >> bit & 1 for block, bit in slots)

    def _iterate_slots(self):
        for block in sorted(self._masks):
            for bit in range(_SLOTS_PER_BLOCK):
                if self._masks[block] >> bit & 1:
                    yield block * _SLOTS_PER_BLOCK + bit

    def find_gaps(self):
        """
        Return the gaps as (start, end), with a resolution of half of ``GAP_S``.

        >>> coverage = LogCoverage("a")
        >>> for moment in (100, 101, 190): coverage.add(moment)
        >>> coverage.find_gaps()
        [(105.0, 190.0)]
        """
        return [
            ((before + 1) * _SLOT_S, after * _SLOT_S)
            for before, after in itertools.pairwise(self._iterate_slots())
            if (after - before - 1) * _SLOT_S >= GAP_S
        ]


@attrs.frozen(order=True)
class Ejection:
    """A server that a VM excluded from the selection for a service for a time."""

    start: float
    end: float
    vm: str
    service: str
    server: str
    cause: str
    source: str
    budget_left: float | None


@attrs.frozen(order=True)
class Handover:
    """A transfer of the ledger of a stopping VM to its successor."""

    time: float
    vm: str
    successor: str
    entries: str
    accepted: bool


class Series:
    """Counts events by time step and label, with a bounded number of steps."""

    def __init__(self):
        self.width = 1.0
        self.steps = collections.defaultdict(collections.Counter)

    def add(self, moment, label):
        """Count one event; the step width doubles if there are too many steps."""
        self.steps[int(moment // self.width)][label] += 1
        while len(self.steps) > MAX_STEPS:
            self.width *= 2
            old, self.steps = self.steps, collections.defaultdict(collections.Counter)
            for step, counts in old.items():
                self.steps[step // 2].update(counts)


def get_latency_label(milliseconds):
    """Return the label of a latency; successive labels are 5% apart."""
    return math.floor(math.log(max(milliseconds, 0.01)) / _LATENCY_BASE)


def compute_percentile(counts, share):
    """
    Return a percentile of latencies counted by label, in milliseconds.

    >>> counts = collections.Counter({get_latency_label(10): 99})
    >>> 9.5 < compute_percentile(counts, 0.5) < 10.5
    True
    """
    wanted = share * sum(counts.values())
    passed = 0
    for label in sorted(counts):
        passed += counts[label]
        if passed >= wanted:
            break
    return math.exp((label + 0.5) * _LATENCY_BASE)


def convert_time(value):
    """Return a logged time in Unix seconds; values above 1e11 are milliseconds."""
    return value / 1000 if value is not None and value > 1e11 else value


class Timeline:
    """
    Collects the fleet events that do not belong to a single request.

    Its size grows with the number of these events, not with the number of requests.
    """

    def __init__(self):
        self._events = []
        self._offsets = {}
        self._ejections = collections.defaultdict(list)
        self._max_durations_s = collections.defaultdict(float)
        self.versions = collections.defaultdict(list)
        self.handovers = []
        self.members = set()
        self.findings = []

    def add(self, moment, vm, fields):
        """Add a log line that does not belong to a request."""
        if fields["event"] == "member" and fields.get("member"):
            self.members.add(fields["member"])
        if fields["event"] in _KEPT_EVENTS:
            kept = {
                key: sys.intern(fields[key]) for key in _KEPT_FIELDS if fields.get(key)
            }
            self._events.append((moment, sys.intern(vm), kept))

    def finish(self, offsets):
        """Sort the events by corrected time and build the history of each VM."""
        self._events = [
            (moment - offsets[vm].seconds, vm, fields)
            for moment, vm, fields in self._events
        ]
        self._offsets = offsets
        self._events.sort(key=lambda item: item[:2])
        open_ejections = {}
        for moment, vm, fields in self._events:
            self._handlers[fields["event"]](self, moment, vm, fields, open_ejections)
        for ejection in open_ejections.values():
            self._add_ejection(ejection)
        for ejections in self._ejections.values():
            ejections.sort()

    def _handle_ejected(self, moment, vm, fields, open_ejections):
        key = (vm, fields.get("service"), fields.get("server"))
        if key in open_ejections:
            before = open_ejections[key]
            self._add_ejection(attrs.evolve(before, end=min(moment, before.end)))
        until = convert_time(get_number(fields, "until"))
        if until is not None:
            until -= self._offsets[vm].seconds
        open_ejections[key] = Ejection(
            moment,
            max(until, moment) if until is not None else math.inf,
            vm,
            fields.get("service") or "",
            fields.get("server") or "",
            fields.get("cause") or "",
            fields.get("source") or "",
            get_number(fields, "budget_left"),
        )

    def _handle_returned(self, moment, vm, fields, open_ejections):
        key = (vm, fields.get("service"), fields.get("server"))
        ejection = open_ejections.pop(key, None)
        if ejection is not None:
            self._add_ejection(attrs.evolve(ejection, end=moment))

    def _handle_start_or_stop(self, moment, vm, fields, open_ejections):
        for key in [key for key in open_ejections if key[0] == vm]:
            ejection = open_ejections.pop(key)
            self._add_ejection(attrs.evolve(ejection, end=min(moment, ejection.end)))

    def _handle_config_accepted(self, moment, vm, fields, open_ejections):
        version = get_number(fields, "version")
        if fields.get("document") != "config" or version is None:
            return
        versions = self.versions[vm]
        if versions and version < versions[-1][1]:
            self.findings.append(
                f"{vm} reverted from configuration {versions[-1][1]} to {version:g} "
                f"at {moment:.3f}"
            )
        versions.append((moment, int(version), fields.get("digest") or ""))

    def _handle_handover(self, moment, vm, fields, open_ejections):
        successor = fields.get("successor")
        if successor:
            accepted = fields.get("accepted") == "true"
            entries = fields.get("entries") or "-"
            item = Handover(moment, vm, successor, entries, accepted)
            self.handovers.append(item)
            self.members.add(successor)

    def _add_ejection(self, ejection):
        key = (ejection.vm, ejection.service)
        self._ejections[key].append(ejection)
        if ejection.end < math.inf:
            duration_s = ejection.end - ejection.start
            self._max_durations_s[key] = max(self._max_durations_s[key], duration_s)
        else:
            self._max_durations_s[key] = math.inf

    _handlers = {
        "ejected": _handle_ejected,
        "returned": _handle_returned,
        "started": _handle_start_or_stop,
        "stopped": _handle_start_or_stop,
        "config_accepted": _handle_config_accepted,
        "handover": _handle_handover,
    }

    def find_ejections(self, vm, service, moment):
        """Return the ejections in force on a VM for a service at a time."""
        ejections = self._ejections.get((vm, service))
        if not ejections:
            return []
        stop = bisect.bisect_right(ejections, moment, key=lambda item: item.start)
        earliest = moment - self._max_durations_s[(vm, service)]
        found = []
        for ejection in reversed(ejections[:stop]):
            if ejection.start < earliest:
                break
            if ejection.end > moment:
                found.append(ejection)
        return found[::-1]

    def list_ejections(self):
        """Return all ejections, sorted by their start."""
        return sorted(item for items in self._ejections.values() for item in items)

    def find_handovers(self, vm, moment):
        """
        Return the accepted handovers that moved a VM's keys up to a time.

        Includes the handovers of successors. A VM may have handed over several
        ledgers, one for each of its processes.
        """
        found, owners = [], {vm}
        for item in self.handovers:
            in_time = item.time <= moment + HANDOVER_MARGIN_S
            if item.accepted and in_time and item.vm in owners:
                found.append(item)
                owners.add(item.successor)
        return found

    def find_version(self, vm, moment):
        """Return the configuration version in force on a VM, or ``None``."""
        versions = self.versions.get(vm, ())
        index = bisect.bisect_right(versions, moment, key=lambda item: item[0])
        return versions[index - 1][1] if index else None


_KEPT_EVENTS = frozenset(Timeline._handlers)
_KEPT_FIELDS = (
    "event",
    "service",
    "server",
    "cause",
    "source",
    "until",
    "budget_left",
    "document",
    "version",
    "digest",
    "successor",
    "entries",
    "accepted",
)
