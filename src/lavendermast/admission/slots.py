"""How many requests this VM may start at the servers of a service, and how fast."""

import math

from lavendermast.admission.completions import CompletionRate
from lavendermast.admission.rankqueue import Capacity
from lavendermast.admission.shares import AttemptShare

#: Time until VMs see each other's attempts. Reports are sent every 50 to 100 ms.
REPORT_DELAY_S = 0.1
#: Share of the slots freed by this VM that it fills itself at once. All VMs share the
#: others, so that a VM with new demand gets slots while all are in use.
KEPT_SHARE = 0.75
#: A server gets one request beyond its slots if at least this many of its slots are
#: freed, on average, before that is known here. Otherwise slots would stay idle.
MIN_UNSEEN_COMPLETIONS = 0.5
#: Share of the free slots of other regions that are used when this region has none:
#: the VMs of all regions see these, in summaries that are up to 0.5 s old.
FAR_SHARE = 0.25


class SlotCapacity(Capacity):
    """
    Slots of one service that this VM may fill.

    Designed for regions of 2 to 60 VMs that choose servers concurrently and see each
    other's attempts up to ``REPORT_DELAY_S`` late. If each VM filled all slots that it
    sees free, servers would get a multiple of what they can start. So each VM fills
    its share of them per ``REPORT_DELAY_S``, and most of those that its own requests
    have freed.

    :param survey: function from an allowance, the requests that a server may have
        beyond its slots, to the :class:`~lavendermast.selection.FreeSlots`.
    :param get_demand_share: function that returns this VM's share of the requests that
        arrive in the region, or ``None`` if it is not known. Attempts alone do not
        show it: in the model of the tests, VMs that had more slots by chance kept them,
        up to four times what others had with the same arrivals.
    :param get_max_share: function that returns the part of the region's free slots that
        this VM may use at most; below 1 if it gets no reports.
    """

    def __init__(
        self,
        survey,
        clock,
        get_demand_share=lambda: None,
        get_max_share=lambda: 1.0,
    ):
        self._survey = survey
        self._clock = clock
        self._get_demand_share = get_demand_share
        self._get_max_share = get_max_share
        self._share = AttemptShare()
        self._region_rate = CompletionRate()
        self._own_rate = CompletionRate()
        self._credit = 1.0
        self._refilled_at = clock.monotonic()
        self._slots = None

    def add_start(self, sender):
        """Count an attempt; ``sender`` is empty for one of this VM."""
        self._share.add(sender, self._clock.monotonic())

    def add_end(self, sender, seconds, was_refused):
        """Count the end of an attempt that took some seconds."""
        now = self._clock.monotonic()
        if not sender:
            self._credit += KEPT_SHARE
        if was_refused:
            return
        self._region_rate.record(now, seconds)
        if not sender:
            self._own_rate.record(now, seconds)

    @property
    def allowance(self):
        """Number of requests that a server may have beyond its slots."""
        mean = self._region_rate.mean_service_time_s
        slots = self._slots.slots_per_server if self._slots else 1.0
        return int(slots * REPORT_DELAY_S >= MIN_UNSEEN_COMPLETIONS * mean)

    @property
    def has_servers(self):
        """Whether a server is listed that is not leaving."""
        return self._slots is not None and self._slots.servers > 0

    @property
    def has_free_slot(self):
        """Whether a server of any region has a free slot."""
        return self._count_free() > 0

    def count_startable(self, reserved):
        """
        Return how many further requests may start now.

        There is no bound while no server is listed: nothing is gained by a wait for
        slots then.

        :param reserved: requests that were granted a slot and have not started.
        """
        now = self._clock.monotonic()
        self._slots = self._survey(self.allowance)
        if not self._slots.servers:
            return math.inf
        free = self._count_free() - reserved
        share = self._get_share(now)
        limit = max(free * share, 1.0)
        gained = max(free, 0) * share * (now - self._refilled_at) / REPORT_DELAY_S
        self._credit = min(self._credit + gained, limit)
        self._refilled_at = now
        if share >= 1.0:
            return int(max(free, 0))
        return int(max(min(free, self._credit), 0))

    def take(self):
        """Use a slot."""
        self._credit = max(self._credit - 1.0, 0.0)

    def set_busy(self, busy):
        """Set whether requests wait."""
        now = self._clock.monotonic()
        self._region_rate.set_busy(now, busy)
        self._own_rate.set_busy(now, busy)

    def estimate_rate(self, own_in_flight):
        """Return the requests per second that this VM may expect to start."""
        now = self._clock.monotonic()
        in_flight = self._slots.in_flight if self._slots else 0
        rate = max(
            self._region_rate.estimate(now, in_flight) * self._estimate_share(now),
            self._own_rate.estimate(now, own_in_flight),
            self._count_free() * self._get_share(now) / REPORT_DELAY_S,
        )
        limit = self._slots.max_rate if self._slots else rate
        return max(min(rate, limit), 0.01)

    @property
    def delay_s(self):
        """Seconds until the first server has room, by rate limits and pauses."""
        return self._slots.delay_s if self._slots else 0.0

    def _count_free(self):
        if self._slots is None:
            return 0
        return self._slots.near or self._slots.far * FAR_SHARE

    def _get_share(self, now):
        return min(self._estimate_share(now), self._get_max_share())

    def _estimate_share(self, now):
        share = self._share.get(now)
        demand_share = self._get_demand_share()
        if demand_share is None or share >= 1.0:
            return share
        return (share + demand_share) / 2
