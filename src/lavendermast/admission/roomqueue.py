"""Requests and callers that wait until servers at their rate limits take more."""

from lavendermast.admission.returns import ReturnPlan

#: A request waits only if a server will take it within this share of the route's
#: latency goal.
ROOM_WAIT_SHARE = 0.25
#: Shortest wait for a server's rate limit, which another request may use up first.
MIN_WAIT_S = 0.01
#: Longest ``Retry-After``: rate limits change, so a later forecast is not reliable.
MAX_RETRY_AFTER_S = 5.0


class RoomQueue:
    """
    This VM's requests of one service that wait for limited servers.

    >>> from lavendermast.clock import ManualClock
    >>> from lavendermast.selection import RoomForecast
    >>> queue = RoomQueue(ManualClock(10.0))
    >>> forecast = RoomForecast(delay_s=0.4, interval_s=1.0)
    >>> queue.wait(forecast, goal_s=2.0, waited=0.0, left=3.0)
    True
    >>> queue.wait(forecast, goal_s=1.0, waited=0.0, left=3.0)
    False
    >>> [queue.plan_return(forecast) for _ in range(3)]
    [0.4, 1.4, 2.4]
    """

    def __init__(self, clock):
        self._clock = clock
        self._waiting = 0
        self._returns = ReturnPlan(clock, MIN_WAIT_S, MAX_RETRY_AFTER_S)

    def wait(self, forecast, goal_s, waited, left):
        """
        Wait until a limited server may take a request.

        :param forecast: a :class:`~lavendermast.selection.RoomForecast`.
        :param goal_s: latency goal of the request's route.
        :param waited: seconds for which the request has waited.
        :param left: seconds until its deadline.
        :return: ``False`` at once if the wait would be too long.
        """
        delay = forecast.delay_s
        if self._waiting:  # 0 times an infinite interval is NaN.
            delay += self._waiting * forecast.interval_s
        if delay > goal_s * ROOM_WAIT_SHARE - waited:
            return False
        self._waiting += 1
        try:
            self._clock.sleep(min(max(forecast.delay_s, MIN_WAIT_S), left))
        finally:
            self._waiting -= 1
        return True

    def plan_return(self, forecast):
        """
        Return the seconds after which a caller that is refused now should return.

        Refused callers are spread over the times at which servers take requests.
        """
        return self._returns.add(forecast.delay_s, forecast.interval_s)
