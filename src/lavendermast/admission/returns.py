"""Plans the times at which refused callers return."""


class ReturnPlan:
    """
    Spreads refused callers over time, in the order in which they were refused.

    :param min_s: shortest ``Retry-After``.
    :param max_s: longest one; later forecasts are not reliable.

    >>> from lavendermast.clock import ManualClock
    >>> plan = ReturnPlan(ManualClock(10.0), 0.01, 5.0)
    >>> [plan.add(0.4, 1.0) for _ in range(3)]
    [0.4, 1.4, 2.4]
    """

    def __init__(self, clock, min_s, max_s):
        self._clock = clock
        self._min_s = min_s
        self._max_s = max_s
        self._last_at = 0.0

    def add(self, delay_s, interval_s):
        """
        Return the seconds after which a caller that is refused now should return.

        :param delay_s: seconds until there is capacity.
        :param interval_s: seconds between two callers that find capacity.
        """
        now = self._clock.monotonic()
        return_at = max(now + delay_s, self._last_at + interval_s)
        self._last_at = min(return_at, now + self._max_s)
        return max(round(self._last_at - now, 3), self._min_s)
