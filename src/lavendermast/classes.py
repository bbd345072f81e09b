"""Checks the work class of each route against its observed latencies."""

import collections
import statistics

#: Latest latencies kept for each route.
SAMPLES_PER_ROUTE = 50
#: A short route this many times slower than the fastest other short one is reported;
#: so is a long route that is faster than the fastest short one.
LONG_FACTOR = 8.0
CHECK_INTERVAL_S = 60.0


class WorkClassCheck:
    """
    Compares the median latencies of one service's routes and reports mismatches.

    :param record_event: called as ``record_event(event, **fields)``.

    >>> from lavendermast.clock import ManualClock
    >>> clock, found = ManualClock(), []
    >>> check = WorkClassCheck(
    ...     clock, lambda event, **fields: found.append(fields["route"])
    ... )
    >>> for _ in range(50):
    ...     check.record("look-up", "short", 0.02)
    ...     check.record("bundle", "short", 0.9)
    >>> clock.advance(60)
    >>> check.record("look-up", "short", 0.02)
    >>> found
    ['bundle']
    """

    def __init__(self, clock, record_event):
        self._clock = clock
        self._record_event = record_event
        self._latencies = {}
        self._next_check = clock.monotonic() + CHECK_INTERVAL_S

    def record(self, route_name, work, seconds):
        """Add the latency of a complete response."""
        latencies = self._latencies.get((route_name, work))
        if latencies is None:
            latencies = self._latencies[route_name, work] = collections.deque(
                maxlen=SAMPLES_PER_ROUTE
            )
        latencies.append(seconds)
        now = self._clock.monotonic()
        if now >= self._next_check:
            self._next_check = now + CHECK_INTERVAL_S
            self._check()

    def _check(self):
        medians = {
            key: statistics.median(latencies)
            for key, latencies in self._latencies.items()
            if len(latencies) == SAMPLES_PER_ROUTE
        }
        short = {name: m for (name, work), m in medians.items() if work == "short"}
        for (name, work), median in medians.items():
            others = [value for key, value in short.items() if key != name]
            if others and self._is_mismatch(work, median, min(others)):
                self._record_event(
                    "class_mismatch",
                    route=name,
                    work=work,
                    observed_ms=round(median * 1000, 1),
                    median_ms=round(min(others) * 1000, 1),
                )

    @staticmethod
    def _is_mismatch(work, median, short_median):
        if work == "short":
            return median > LONG_FACTOR * short_median
        return median < short_median
