"""State of the use of an account by the VMs of a fleet."""

import collections
import math

import attrs

#: Time constant of the moving average of an account's demand.
DEMAND_TIME_S = 0.5
#: Time constant of the average that sets the shares of silent VMs. Those of accounts
#: with few requests at each VM need a long one.
MEAN_TIME_S = 10.0


@attrs.define(eq=False)
class SourceUse:
    """
    Last report of one source on one account.

    :param origin: VM and process that counts.
    :param applied: admitted requests of the source that this VM has counted.
    """

    origin: tuple
    admitted: int
    demand: float
    heard_at: float
    applied: int = 0
    mean: float = 0.0
    since: float = 0.0
    past_mean: float = 0.0
    recent_mean: float = 0.0

    def update(self, demand, now):
        """Apply a reported demand."""
        self.mean = self.compute_mean(now)
        self.demand, self.heard_at = demand, now

    def compute_mean(self, now):
        """Return the average of the demand until a time."""
        seconds = max(now - self.heard_at, 0.0)
        return average_demand(
            self.mean, decay_demand(self.demand, seconds), seconds, now - self.since
        )


@attrs.define(eq=False)
class AccountState:
    """
    Use of one account; times are monotonic.

    :param level: requests that the fleet may admit now, as far as this VM knows.
    :param credit: requests that this VM may admit by pace, at most one.
    :param sure: whether the level is that of the fleet, not one from a start.
    :param admitted: requests of this VM since its start.
    :param in_region: requests of the region that this VM knows of.
    :param confirmed: the last report that all other VMs know: time, admitted, demand.
    :param sent: later reports.
    :param settled: admitted and demand that the other VMs know, as far as they were
        heard since.
    :param unheard: part of the VMs that was not heard since the latest report. They
        may have used their part of the level.
    :param silent_share: part of the limit that is kept for silent VMs.
    :param reserved: requests that were set aside for silent VMs.
    :param past_level: level before the time in which a VM is found to be silent, as
        ``past_mean`` is the mean demand then.
    :param late: sources that were silent, and until when their reports are of that
        time.
    :param share: part of the level that this VM may use before the others know.
    :param waiting: requests that wait until the share is settled.
    :param refunds: times until which counted requests that did not run may be replaced
        by others.
    """

    key: int
    rate: float
    cap: float
    level: float
    updated_at: float
    sure: bool
    admitted: int = 0
    in_region: int = 0
    demand: float = 0.0
    mean: float = 0.0
    since: float = 0.0
    credit: float = 0.0
    confirmed: tuple = (-math.inf, 0, 0.0)
    settled: tuple = (0.0, 0.0)
    unheard: float = 0.0
    sent: collections.deque = attrs.Factory(collections.deque)
    entries: dict = attrs.Factory(dict)
    others_demand: float = 0.0
    silent_share: float = 0.0
    reserved: float = 0.0
    past_level: float = 0.0
    recent_level: float = 0.0
    past_mean: float = 0.0
    recent_mean: float = 0.0
    recent_at: float = -math.inf
    healed_at: float = -math.inf
    silent_sources: frozenset = frozenset()
    late: dict = attrs.Factory(dict)
    share: float = 0.0
    shares_at: float = -math.inf
    used_at: float = 0.0
    refused_at: float = -math.inf
    return_at: float = 0.0
    waiting: int = 0
    refunds: collections.deque = attrs.Factory(collections.deque)
    exceeded: bool = False
    logged_at: float = -math.inf
    reported: int = 0
    reported_demand: float = 0.0
    reported_at: float = -math.inf
    region_reported: int = 0
    region_reported_at: float = -math.inf
    region_reported_demand: float = 0.0


def average_demand(mean, value, seconds, age_s):
    """
    Return a moving average after its value was the same for some seconds.

    :param age_s: age of the average, over which it weighs all times equally.
    """
    time_s = min(max(age_s, DEMAND_TIME_S), MEAN_TIME_S)
    return value + (mean - value) * math.exp(-seconds / time_s)


def decay_demand(demand, age_s):
    """Return what is left of a reported demand; it is repeated after a second."""
    return demand * math.exp(-max(age_s - 1.0, 0.0) / DEMAND_TIME_S)


def clamp_number(value, low, high):
    """Return a number of a report within bounds; NaN becomes the lower one."""
    return min(max(value, low), high) if value == value else low
