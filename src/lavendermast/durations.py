"""Decaying histogram of the response times of a route."""

import bisect

#: Bounds of the buckets, 25% apart.
BUCKET_BOUNDS_S = tuple(0.01 * 1.25**step for step in range(36))
#: Weight of the assumed distribution, in responses, until measured ones replace it.
PRIOR_COUNT = 8.0
#: Share of the latency goal that a response is assumed to take before one was seen.
PRIOR_SHARE = 0.2
#: Counts are halved above this total, so that a change shows within seconds.
MAX_COUNT = 400.0
#: Share of the responses that take no longer than the typical work time. A request that
#: starts that long before its deadline is answered in time with this probability.
TYPICAL_SHARE = 0.9
#: Lower bound of ``compute_survival``: no duration is impossible on a healthy server,
#: because long requests have a long tail.
TAIL_SHARE = 0.02


class Durations:
    """
    The distribution of one route's response times.

    ``assumed_typical_s`` is the typical response time that is derived from the goal;
    responses do not change it.

    :param goal_s: latency goal of the route; responses within it have their full value.

    >>> durations = Durations(2.0)
    >>> for _ in range(100):
    ...     durations.add(0.2)
    >>> durations.compute_survival(0.1) > 0.9 > 0.1 > durations.compute_survival(0.9)
    True
    >>> 0.15 < durations.compute_typical_s() < 0.25
    True
    """

    def __init__(self, goal_s):
        self.assumed_typical_s = goal_s * PRIOR_SHARE
        self._counts = [0.0] * (len(BUCKET_BOUNDS_S) + 1)
        center = bisect.bisect(BUCKET_BOUNDS_S, goal_s * PRIOR_SHARE)
        for offset, share in ((-4, 0.1), (-2, 0.2), (0, 0.35), (2, 0.2), (4, 0.15)):
            self._counts[max(0, min(center + offset, len(BUCKET_BOUNDS_S)))] += (
                share * PRIOR_COUNT
            )
        self._total = PRIOR_COUNT
        self._survival = None

    def add(self, seconds):
        """Add the duration of one response."""
        self._counts[bisect.bisect(BUCKET_BOUNDS_S, seconds)] += 1.0
        self._total += 1.0
        if self._total > MAX_COUNT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        self._survival = None

    def compute_typical_s(self):
        """Return the time within which ``TYPICAL_SHARE`` of the responses arrive."""
        left = self._total * TYPICAL_SHARE
        for index, count in enumerate(self._counts):
            if left <= count:
                lower = BUCKET_BOUNDS_S[index - 1] if index else 0.0
                last = min(index, len(BUCKET_BOUNDS_S) - 1)
                return lower + (BUCKET_BOUNDS_S[last] - lower) * left / count
            left -= count
        return BUCKET_BOUNDS_S[-1]

    def compute_survival(self, seconds):
        """
        Return the share of healthy responses that take longer.

        It is at least TAIL_SHARE.
        """
        if self._survival is None:
            left, self._survival = self._total, []
            for count in self._counts:
                self._survival.append(left / self._total)
                left -= count
        index = bisect.bisect(BUCKET_BOUNDS_S, seconds)
        lower = BUCKET_BOUNDS_S[index - 1] if index else 0.0
        upper = BUCKET_BOUNDS_S[index] if index < len(BUCKET_BOUNDS_S) else lower * 1.25
        fraction = min((seconds - lower) / (upper - lower), 1.0)
        share_at_lower = self._survival[index]
        share_at_upper = (
            self._survival[index + 1] if index + 1 < len(self._survival) else 0.0
        )
        share = share_at_lower + (share_at_upper - share_at_lower) * fraction
        return TAIL_SHARE + (1 - TAIL_SHARE) * max(share, 0.0)
