"""Requests that wait for servers at their rate limits."""

import math

from lavendermast.admission import MAX_RETRY_AFTER_S, RoomQueue
from lavendermast.clock import ManualClock
from lavendermast.selection import RoomForecast


def test_request_is_refused_at_once_when_no_rate_is_left():
    """Guards against holding a request until its deadline without any prospect."""
    clock = ManualClock(10.0)
    queue = RoomQueue(clock)
    forecast = RoomForecast(math.inf, math.inf)
    assert not queue.wait(forecast, goal_s=2.0, waited=0.0, left=8.0)
    assert clock.monotonic() == 10.0
    assert queue.plan_return(forecast) == MAX_RETRY_AFTER_S
