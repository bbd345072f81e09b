"""Fleet events over time: ejections, configuration versions, log coverage."""

import bisect
import collections
import itertools
import math
import sys

import attrs

from .loglines import get_number

#: A longer silence in a VM's log is listed as a gap.
GAP_S = 10.0
_SLOT_S = GAP_S / 2
#: Clocks differ, and the handover is logged before its announcement.
HANDOVER_MARGIN_S = 1.0
#: Slots whose presence is kept as the bits of one integer.
_BLOCK = 1024
MAX_POINTS = 2_000
_LATENCY_BASE = math.log(1.05)


@attrs.define
class Coverage:
    """The span of one VM's log and the gaps in it."""

    vm: str
    first: float = math.inf
    last: float = -math.inf
    lines: int = 0
    _masks: dict = attrs.Factory(dict)

    def add(self, moment):
        """Take the time of one line."""
        self.first = min(self.first, moment)
        self.last = max(self.last, moment)
        self.lines += 1
        block, bit = divmod(int(moment // _SLOT_S), _BLOCK)
        self._masks[block] = self._masks.get(block, 0) | 1 << bit

    def covers(self, moment):
        """Return whether the log has lines around a time, if it is known."""
        if moment is None:
            return True
        slots = [divmod(int(moment // _SLOT_S) + near, _BLOCK) for near in (-1, 0, 1)]
        return any(self._masks.get(block, 0) >> bit & 1 for block, bit in slots)

    def _iterate_slots(self):
        for block in sorted(self._masks):
            for bit in range(_BLOCK):
                if self._masks[block] >> bit & 1:
                    yield block * _BLOCK + bit

    def find_gaps(self):
        """
        Return the gaps as (start, end), to half of ``GAP_S``.

        >>> coverage = Coverage("a")
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
    """A server that a VM kept out of a service for a time."""

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
    """A ledger that a leaving VM passed to its successor."""

    time: float
    vm: str
    successor: str
    entries: str
    accepted: bool


class Series:
    """Counts by time and label in a bounded number of equal steps."""

    def __init__(self):
        self.width = 1.0
        self.steps = collections.defaultdict(collections.Counter)

    def add(self, moment, label):
        """Count one event; the step doubles when there are too many steps."""
        self.steps[int(moment // self.width)][label] += 1
        while len(self.steps) > MAX_POINTS:
            self.width *= 2
            old, self.steps = self.steps, collections.defaultdict(collections.Counter)
            for step, counts in old.items():
                self.steps[step // 2].update(counts)


def get_latency_label(milliseconds):
    """Return the label under which a latency is counted, in steps of 5%."""
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
    """Return a log's time in Unix seconds; larger values are milliseconds."""
    return value / 1000 if value is not None and value > 1e11 else value


class Timeline:
    """
    Collects the events of the fleet that are not about one request.

    Its size follows the number of such events, not the number of requests.
    """

    def __init__(self):
        self._events = []
        self._offsets = {}
        self._ejections = collections.defaultdict(list)
        self._longest = collections.defaultdict(float)
        self.versions = collections.defaultdict(list)
        self.handovers = []
        self.members = set()
        self.findings = []

    def add(self, moment, vm, fields):
        """Take one line that is not about a request."""
        if fields["event"] == "member" and fields.get("member"):
            self.members.add(fields["member"])
        if fields["event"] in _KEPT_EVENTS:
            kept = {
                key: sys.intern(fields[key]) for key in _KEPT_FIELDS if fields.get(key)
            }
            self._events.append((moment, sys.intern(vm), kept))

    def finish(self, offsets):
        """Sort the events by corrected time and compute what was in force when."""
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
            self._keep(ejection)
        for ejections in self._ejections.values():
            ejections.sort()

    def _eject(self, moment, vm, fields, open_ejections):
        key = (vm, fields.get("service"), fields.get("server"))
        if key in open_ejections:
            before = open_ejections[key]
            self._keep(attrs.evolve(before, end=min(moment, before.end)))
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

    def _return(self, moment, vm, fields, open_ejections):
        key = (vm, fields.get("service"), fields.get("server"))
        ejection = open_ejections.pop(key, None)
        if ejection is not None:
            self._keep(attrs.evolve(ejection, end=moment))

    def _stop(self, moment, vm, fields, open_ejections):
        for key in [key for key in open_ejections if key[0] == vm]:
            ejection = open_ejections.pop(key)
            self._keep(attrs.evolve(ejection, end=min(moment, ejection.end)))

    def _accept(self, moment, vm, fields, open_ejections):
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

    def _hand_over(self, moment, vm, fields, open_ejections):
        successor = fields.get("successor")
        if successor:
            accepted = fields.get("accepted") == "true"
            entries = fields.get("entries") or "-"
            item = Handover(moment, vm, successor, entries, accepted)
            self.handovers.append(item)
            self.members.add(successor)

    def _keep(self, ejection):
        key = (ejection.vm, ejection.service)
        self._ejections[key].append(ejection)
        if ejection.end < math.inf:
            length = ejection.end - ejection.start
            self._longest[key] = max(self._longest[key], length)
        else:
            self._longest[key] = math.inf

    _handlers = {
        "ejected": _eject,
        "returned": _return,
        "started": _stop,
        "stopped": _stop,
        "config_accepted": _accept,
        "handover": _hand_over,
    }

    def find_ejections(self, vm, service, moment):
        """Return the ejections in force on a VM for a service at a time."""
        ejections = self._ejections.get((vm, service))
        if not ejections:
            return []
        stop = bisect.bisect_right(ejections, moment, key=lambda item: item.start)
        earliest = moment - self._longest[(vm, service)]
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
        Return the accepted handovers by which a VM's keys moved on until a time.

        A VM may have handed over several ledgers, one for each of its processes.
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
