"""How long the requests of a route take, as a decaying histogram."""

import bisect

#: Bucket bounds in seconds, 25% apart.
BOUNDS = tuple(0.01 * 1.25**step for step in range(36))
#: Requests that the assumed distribution counts for until real ones replace it.
PRIOR_COUNT = 8.0
#: Share of the goal that an answer is assumed to take before one was seen.
PRIOR_SHARE = 0.2
#: Counts are halved when there are this many, so that a change shows within seconds.
MAX_COUNT = 400.0
#: No duration is ever impossible on a healthy server: long work has a tail.
TAIL_SHARE = 0.02


class Durations:
    """
    The distribution of one route's answer times.

    :param goal_s: time within which the route's answers have their full worth.

    >>> durations = Durations(2.0)
    >>> for _ in range(100):
    ...     durations.add(0.2)
    >>> durations.compute_survival(0.1) > 0.9 > 0.1 > durations.compute_survival(0.9)
    True
    """

    def __init__(self, goal_s):
        self.typical = goal_s * PRIOR_SHARE
        self._counts = [0.0] * (len(BOUNDS) + 1)
        center = bisect.bisect(BOUNDS, goal_s * PRIOR_SHARE)
        for offset, share in ((-4, 0.1), (-2, 0.2), (0, 0.35), (2, 0.2), (4, 0.15)):
            self._counts[max(0, min(center + offset, len(BOUNDS)))] += (
                share * PRIOR_COUNT
            )
        self._total = PRIOR_COUNT
        self._survival = None

    def add(self, seconds):
        """Count one answer."""
        self._counts[bisect.bisect(BOUNDS, seconds)] += 1.0
        self._total += 1.0
        if self._total > MAX_COUNT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        self._survival = None

    def compute_survival(self, seconds):
        """Return the share of healthy answers that take longer, at least the tail."""
        if self._survival is None:
            left, self._survival = self._total, []
            for count in self._counts:
                self._survival.append(left / self._total)
                left -= count
        index = bisect.bisect(BOUNDS, seconds)
        lower = BOUNDS[index - 1] if index else 0.0
        upper = BOUNDS[index] if index < len(BOUNDS) else lower * 1.25
        part = min((seconds - lower) / (upper - lower), 1.0)
        here = self._survival[index]
        after = self._survival[index + 1] if index + 1 < len(self._survival) else 0.0
        share = here + (after - here) * part
        return TAIL_SHARE + (1 - TAIL_SHARE) * max(share, 0.0)
