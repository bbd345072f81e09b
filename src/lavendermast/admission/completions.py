"""Estimates how fast requests are completed."""

import collections

#: Shortest window of the completion rate; slow work uses four times its mean service
#: time, which is the time from grant to release.
MIN_RATE_WINDOW_S = 0.5
#: Weight of the newest service time in the moving average.
SERVICE_TIME_WEIGHT = 0.1


class CompletionRate:
    """
    Estimates the completions a second while the queue's capacity is in use.

    Until enough completions are counted, the estimate uses the rate expected from the
    mean service time. Its weight falls as time passes, so the estimate falls in a
    stall.
    """

    def __init__(self):
        self._times = collections.deque()
        self._mean_service_time_s = 0.0
        self._busy_since = None

    @property
    def mean_service_time_s(self):
        """Moving average of the service times, 0.0 before the first completion."""
        return self._mean_service_time_s

    def set_busy(self, now, busy):
        """Set whether all capacity is in use."""
        if not busy:
            self._busy_since = None
        elif self._busy_since is None:
            self._busy_since = now

    def record(self, now, service_time_s):
        """Count one completion."""
        self._times.append(now)
        self._mean_service_time_s += (
            SERVICE_TIME_WEIGHT if self._mean_service_time_s else 1.0
        ) * (service_time_s - self._mean_service_time_s)

    def estimate(self, now, permits):
        """Return the expected completions a second with ``permits`` in flight."""
        window = max(MIN_RATE_WINDOW_S, 4 * self._mean_service_time_s)
        while self._times and self._times[0] < now - window:
            self._times.popleft()
        since = now if self._busy_since is None else self._busy_since
        since = max(since, now - window)
        completed = len(self._times)
        if self._times and self._times[0] <= since:
            completed = sum(1 for moment in self._times if moment > since)
        service_time_s = max(self._mean_service_time_s or now - since, 0.001)
        return (completed + max(permits, 1)) / (now - since + service_time_s)
