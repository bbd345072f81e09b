"""Decides when requests go to servers of other regions."""

import abc

from lavendermast.linkcapacity import MAX_LINK_MBPS


class RegionPolicy(abc.ABC):
    """When servers of other regions are compared with those of this VM's region."""

    @classmethod
    def from_settings(cls, settings):
        """Return the policy for the link that the settings name."""
        if 0 < settings.link_mbps < MAX_LINK_MBPS:
            return NearestFirst()
        return CheapestFirst()

    @abc.abstractmethod
    def needs_others(self, candidates, distance_cost):
        """
        Return whether servers of other regions are considered.

        :param candidates: servers of this region that may get the request, as
            :class:`~lavendermast.selection.Candidate`.
        :param distance_cost: lowest cost of a server of another region.
        """

    @abc.abstractmethod
    def count_bytes(self, response_bytes, request):
        """Return the bytes of a request that count for the cost of distance."""


class CheapestFirst(RegionPolicy):
    """Compares servers of all regions by cost; for fast links."""

    def needs_others(self, candidates, distance_cost):
        """Return whether no server of this region costs less than the distance."""
        return not candidates or min(c.cost for c in candidates) > distance_cost

    def count_bytes(self, response_bytes, request):
        """Return the expected size of the response."""
        return response_bytes


class NearestFirst(RegionPolicy):
    """
    Stays in the region while one of its servers has a free slot; for slow links.

    It is for demand that is uneven between regions: what does not fit one region is
    sent to the others, requests with short bodies first, and comes back when the demand
    falls.
    """

    def needs_others(self, candidates, distance_cost):
        """Return whether no server of this region is well and has a free slot."""
        return not any(c.has_free_slot and not c.is_doubtful for c in candidates)

    def count_bytes(self, response_bytes, request):
        """Return the bytes of both bodies."""
        return response_bytes + len(request.body)
