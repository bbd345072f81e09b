"""Attempt counts over a sliding window, and latency thresholds by route."""

import bisect
import collections
import math
import statistics

import attrs

OK, ERRORS, TIMEOUTS, CUT, SLOW = range(5)
KINDS = ("ok", "errors", "timeouts", "cut", "slow")

#: Share of slow attempts from which a server is slow, so that its median is slow too.
SLOW_SHARE = 0.5
#: A server is unhealthy only if the failure share of the other servers is below this
#: multiple of its own.
MAX_PEER_FAILURE_RATIO = 0.5
#: Standard deviations that count as significant; see ``is_significant``.
SIGNIFICANCE_DEVIATIONS = 4
#: Like MAX_PEER_FAILURE_RATIO for slow responses, but stricter: in a common slowdown
#: the reference latencies lag and servers pass their thresholds at different times.
MAX_PEER_SLOW_RATIO = 1 / 3
#: Time slices per window; an attempt leaves the window at most one slice early.
SLICES = 8
#: Least peers for a reference latency; a single peer may itself be unhealthy.
MIN_PEERS = 2
#: Most latencies kept for a route, which bounds the cost of its reference.
MAX_LATENCIES = 512
#: Windows over which a route with few requests is compared.
FALLBACK_WINDOWS = 5
#: Least excess over the reference; timer jitter and zone links may add this much.
MIN_EXCESS_S = 0.010
#: Least excess over peers in other regions (20 ms links, both ways, and jitter).
REGION_EXCESS_S = 0.060


@attrs.frozen
class Finding:
    """
    Reason to consider a server unhealthy.

    :param cause: the prevailing kind of failure.
    :param score: severity from 0 to 1; a failure weighs twice as much as slowness.
    """

    cause: str
    score: float

    @property
    def may_be_link_fault(self):
        """Whether a bad link between VM and server would have the same effect."""
        return self.cause != "errors"


def find_cause(own, others, detection):
    """
    Compare a server's attempts with those at the service's other servers.

    :param own: attempts at the server, by kind.
    :param others: attempts at the other servers, by kind.
    :param detection: thresholds of the service.
    :return: a ``Finding``, or ``None`` when the server is not worse than the others.

    >>> from lavendermast.settings_model import Detection
    >>> find_cause([1, 9, 0, 0, 0], [90, 1, 0, 0, 0], Detection.from_config({}))
    Finding(cause='errors', score=0.9)
    >>> find_cause([1, 9, 0, 0, 0], [9, 80, 0, 0, 0], Detection.from_config({}))
    """
    total = sum(own)
    if not total or not sum(others):
        return None
    failed, bad = _compute_shares(own)
    others_failed, others_bad = _compute_shares(others)
    score = failed + (bad - failed) / 2
    if (
        failed >= detection.error_share
        and others_failed < MAX_PEER_FAILURE_RATIO * failed
    ):
        if own[ERRORS] >= detection.error_share * total:
            return Finding("errors", score)
        return Finding("cut" if own[CUT] > own[TIMEOUTS] else "timeouts", score)
    if bad >= SLOW_SHARE and others_bad < MAX_PEER_SLOW_RATIO * bad:
        return Finding("slow", score)
    return None


def is_significant(bad, total, others):
    """
    Return whether a server's share of bad attempts is significantly above the others'.

    Bad attempts are failed or slow ones. The threshold is four standard deviations,
    because the fleet tests hundreds of pairs of VM and server several times a second.

    >>> is_significant(5, 10, [85, 0, 0, 0, 15])
    False
    >>> is_significant(5, 10, [99, 0, 0, 0, 1])
    True
    """
    share = 1 - others[OK] / sum(others) if sum(others) else 0.0
    deviation = math.sqrt(total * share * (1 - share) + 1)
    return bad > total * share + SIGNIFICANCE_DEVIATIONS * deviation


def _compute_shares(counts):
    total = sum(counts)
    if not total:
        return 0.0, 0.0
    failed = counts[ERRORS] + counts[TIMEOUTS] + counts[CUT]
    return failed / total, (failed + counts[SLOW]) / total


class SlidingCounts:
    """
    Counts of attempts by kind over the last ``span`` seconds.

    >>> counts = SlidingCounts(2.0)
    >>> counts.add(ERRORS, 10.0)
    >>> counts.expire(11.0), counts.totals[ERRORS]
    (None, 1)
    >>> counts.expire(12.5), counts.totals[ERRORS]
    (None, 0)
    """

    __slots__ = ("totals", "_slice_s", "_slices")

    def __init__(self, span):
        self.totals = [0] * len(KINDS)
        self._slice_s = span / SLICES
        self._slices = collections.deque()

    def add(self, kind, now, count=1):
        """Add attempts of one kind that ended at ``now``."""
        index = int(now / self._slice_s)
        if not self._slices or self._slices[-1][0] != index:
            self.expire(now)
            self._slices.append((index, [0] * len(KINDS)))
        self._slices[-1][1][kind] += count
        self.totals[kind] += count

    def expire(self, now):
        """Remove attempts that have left the window."""
        oldest = int(now / self._slice_s) - SLICES
        while self._slices and self._slices[0][0] <= oldest:
            for kind, count in enumerate(self._slices.popleft()[1]):
                self.totals[kind] -= count

    def clear(self):
        """Remove all attempts."""
        self._slices.clear()
        self.totals = [0] * len(KINDS)


class RouteLatencies:
    """
    Recent latencies of one route and the thresholds beyond which attempts are slow.

    A server is compared with the other servers of its region, because all of them are
    reached over the same link. Other regions are used only if its own has too few.

    :param span: window of the comparison in seconds.
    """

    def __init__(self, span, detection):
        self._span = span
        self._detection = detection
        self._latencies = collections.deque(maxlen=MAX_LATENCIES)
        self._medians = {}
        self._sorted = {}

    def add(self, now, server, latency):
        """Add the latency of a finished attempt."""
        self._latencies.append((now, server, latency))

    def refresh(self, now):
        """Recompute the reference latencies."""
        while (
            self._latencies
            and self._latencies[0][0] < now - self._span * FALLBACK_WINDOWS
        ):
            self._latencies.popleft()
        self._medians, self._sorted = {}, {}
        latest = [item for item in self._latencies if item[0] >= now - self._span]
        if len(latest) < self._detection.min_samples:
            latest = self._latencies
        if len(latest) < self._detection.min_samples:
            return
        by_server = {}
        for _, server, latency in latest:
            by_server.setdefault(server.name, (server, []))[1].append(latency)
        for name, (server, latencies) in by_server.items():
            median = self._medians[name] = statistics.median_low(latencies)
            for region in (server.region, None):
                self._sorted.setdefault(region, []).append(median)
        for medians in self._sorted.values():
            medians.sort()

    def get_slow_threshold(self, server):
        """
        Return the latency in seconds beyond which an attempt is slow.

        :return: infinity when too few peers have latencies.
        """
        own = self._medians.get(server.name)
        factor = self._detection.slow_factor - 1
        for region, excess in ((server.region, MIN_EXCESS_S), (None, REGION_EXCESS_S)):
            median = _find_median_without(self._sorted.get(region, ()), own)
            if median is not None:
                return median + max(factor * median, excess)
        return float("inf")


def _find_median_without(medians, own):
    count = len(medians) if own is None else len(medians) - 1
    if count < MIN_PEERS:
        return None
    index = (count - 1) // 2
    if own is not None and index >= bisect.bisect_left(medians, own):
        index += 1
    return medians[index]
