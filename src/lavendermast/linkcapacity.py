"""Requests per second that the link of an entry VM carries."""

import math

#: Part of the link that requests may use on average; peaks of load within a second and
#: the messages between VMs need the rest.
LINK_SHARE = 0.5
#: Links of at least this bandwidth carry more than the cores of a VM can forward. On
#: slower ones bytes count: a response of 540 KB takes 0.4 s of a link of 11 Mbit/s.
MAX_LINK_MBPS = 1_000
BYTES_PER_S_AND_MBPS = 125_000
#: Time constant of the mean size of a request, which single downloads must not change
#: much.
SIZE_TIME_CONSTANT_S = 20.0
#: Requests in the mean before it is used.
MIN_REQUESTS = 20.0
#: A capacity is announced when it differs from the last one by this factor, so that VMs
#: of similar capacity keep their order and callers do not move back and forth.
MIN_CHANGE_FACTOR = 1.2
#: Time constant of the used share of the link, and the shares from which it counts as
#: full and as free again.
USE_TIME_CONSTANT_S = 3.0
FULL_SHARE = 0.85
FREE_SHARE = 0.6


class LinkCapacity:
    """
    Computes the capacity of a link from the measured bytes per request.

    Each byte of a request or response that a server sends or receives also passes the
    link in the other direction, from or to the caller. So the bytes exchanged with
    servers, in both directions, are what each direction of the link carries.

    Designed for links of 5 to 200 Mbit/s with 1 to 600 KB per request.

    :param link_mbps: bandwidth of the link, 0 if it is not known.
    """

    def __init__(self, link_mbps, record_event):
        self.link_bytes_per_s = math.inf
        if 0 < link_mbps < MAX_LINK_MBPS:
            self.link_bytes_per_s = link_mbps * BYTES_PER_S_AND_MBPS
        self._record_event = record_event
        self._last_counts = (0, 0)
        self._mean_requests = self._mean_bytes = 0.0
        self._announced = math.inf
        self.used_share = 0.0
        self.is_full = False

    def observe(self, requests, total_bytes, seconds):
        """
        Add what was counted since the last call.

        :param requests: requests since the start of the process.
        :param total_bytes: bytes exchanged with servers since then.
        :param seconds: time since the last call.
        """
        new_requests = requests - self._last_counts[0]
        new_bytes = total_bytes - self._last_counts[1]
        self._last_counts = (requests, total_bytes)
        # The sums fade only with new requests, so an idle VM keeps its mean.
        if new_requests:
            kept = math.exp(-seconds / SIZE_TIME_CONSTANT_S)
            self._mean_requests = self._mean_requests * kept + new_requests
            self._mean_bytes = self._mean_bytes * kept
        self._mean_bytes += new_bytes
        share = new_bytes / seconds / self.link_bytes_per_s
        weight = 1 - math.exp(-seconds / USE_TIME_CONSTANT_S)
        self.used_share += (share - self.used_share) * weight
        self._record_fullness()

    def compute_capacity(self):
        """Return the requests per second that the link carries, infinite if unknown."""
        if self._mean_requests < MIN_REQUESTS or not self._mean_bytes:
            return self._announced
        bytes_per_request = self._mean_bytes / self._mean_requests
        capacity = LINK_SHARE * self.link_bytes_per_s / bytes_per_request
        smaller, larger = sorted((capacity, self._announced))
        if larger >= MIN_CHANGE_FACTOR * smaller:
            self._announced = capacity
        return self._announced

    def _record_fullness(self):
        is_full = self.used_share >= (FREE_SHARE if self.is_full else FULL_SHARE)
        if is_full == self.is_full:
            return
        self.is_full = is_full
        self._record_event(
            "link_full" if is_full else "link_free",
            used_share=round(self.used_share, 2),
        )
