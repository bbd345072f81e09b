"""Counts of attempts over a sliding window, and latencies compared by route."""

import bisect
import collections
import math
import statistics

import attrs

OK, ERRORS, TIMEOUTS, CUT, SLOW = range(5)
KINDS = ("ok", "errors", "timeouts", "cut", "slow")

#: A server is slow when this share of its attempts is, so that its median is.
SLOW_SHARE = 0.5
#: Nothing is found against a server when the others do at least half as badly.
TOGETHER_SHARE = 0.5
#: See ``is_beyond_chance``.
CHANCE_DEVIATIONS = 4
#: The same for slow answers, stricter: in a common slowdown the references lag, and
#: servers pass their limits at slightly different times.
SLOW_TOGETHER_SHARE = 1 / 3
#: Time slices per window; an attempt leaves the window at most one slice early.
SLICES = 8
#: Peers needed for a latency reference; one peer may itself be unhealthy.
MIN_PEERS = 2
#: Bounds the cost of a reference for a busy route.
MAX_LATENCIES = 512
#: A route with few requests is compared over this many windows.
OLDER_SPANS = 5
#: Excess over the reference that timer jitter and the next zone can explain.
MIN_EXCESS_S = 0.010
#: Added when the peers are in other regions (20 ms links, both ways, jitter).
REGION_EXCESS_S = 0.060


@attrs.frozen
class Finding:
    """
    What the counts say against a server.

    :param cause: the kind of attempt that prevails.
    :param score: how unhealthy, from 0 to 1; a failure weighs twice a slow answer.
    """

    cause: str
    score: float

    @property
    def may_be_link(self):
        """Whether a bad link between VM and server would look the same."""
        return self.cause != "errors"


def find_cause(own, others, detection):
    """
    Compare a server's attempts with those at the service's other servers.

    :param own: attempts at the server, by kind.
    :param others: attempts at the other servers, by kind.
    :param detection: thresholds of the service.
    :return: a ``Finding``, or ``None`` when nothing sets the server apart.

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
    if failed >= detection.error_share and others_failed < TOGETHER_SHARE * failed:
        if own[ERRORS] >= detection.error_share * total:
            return Finding("errors", score)
        return Finding("cut" if own[CUT] > own[TIMEOUTS] else "timeouts", score)
    if bad >= SLOW_SHARE and others_bad < SLOW_TOGETHER_SHARE * bad:
        return Finding("slow", score)
    return None


def is_beyond_chance(bad, total, others):
    """
    Return whether a server's bad attempts exceed what the others' share explains.

    Four standard deviations, because the fleet looks at hundreds of pairs of VM and
    server several times a second.

    >>> is_beyond_chance(5, 10, [85, 0, 0, 0, 15])
    False
    >>> is_beyond_chance(5, 10, [99, 0, 0, 0, 1])
    True
    """
    share = 1 - others[OK] / sum(others) if sum(others) else 0.0
    deviation = math.sqrt(total * share * (1 - share) + 1)
    return bad > total * share + CHANCE_DEVIATIONS * deviation


def _compute_shares(counts):
    total = sum(counts)
    if not total:
        return 0.0, 0.0
    failed = counts[ERRORS] + counts[TIMEOUTS] + counts[CUT]
    return failed / total, (failed + counts[SLOW]) / total


class SlidingCounts:
    """
    Attempts by kind over the last ``span`` seconds.

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
        """Count attempts of one kind that ended now."""
        index = int(now / self._slice_s)
        if not self._slices or self._slices[-1][0] != index:
            self.expire(now)
            self._slices.append((index, [0] * len(KINDS)))
        self._slices[-1][1][kind] += count
        self.totals[kind] += count

    def expire(self, now):
        """Drop attempts that have left the window."""
        oldest = int(now / self._slice_s) - SLICES
        while self._slices and self._slices[0][0] <= oldest:
            for kind, count in enumerate(self._slices.popleft()[1]):
                self.totals[kind] -= count

    def clear(self):
        """Drop all attempts."""
        self._slices.clear()
        self.totals = [0] * len(KINDS)


class RouteLatencies:
    """
    Recent latencies of one route, and from which latency a server is slow.

    A server is compared with the others of its region, because from one VM these
    share a link; with other regions only when its own has too few.

    :param span: seconds for which a latency is compared.
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
        """Recompute the references."""
        while (
            self._latencies and self._latencies[0][0] < now - self._span * OLDER_SPANS
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

    def get_limit(self, server):
        """
        Return the latency in seconds beyond which an attempt is slow.

        :return: infinity when too few peers were seen.
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
