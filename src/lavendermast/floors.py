"""Limit on ejections that keeps a minimum share of a service's servers."""

import fractions
import math


class EjectionBudget:
    """
    Decides which servers of one service may be ejected.

    :param expected: number of servers in operation, listed or not.
    :param floor: share of these that must not be ejected; ``min_available`` is their
        number.

    >>> EjectionBudget(12, 0.75).count_allowed(live=12, warming_up=1)
    2
    """

    def __init__(self, expected, floor):
        # Computed from the decimal text: as floats, 0.55 * 20 is 11.000000000000002.
        self.min_available = math.ceil(fractions.Fraction(str(floor)) * expected)

    @classmethod
    def from_config(cls, service):
        """Return the budget of a service's settings."""
        return cls(service.expected_servers, service.floor)

    def count_allowed(self, live, warming_up):
        """
        Return how many servers may be ejected.

        Missing and leaving servers use up the budget because they are not live.

        :param live: listed servers that are not leaving.
        :param warming_up: live servers that are cold or in slow start, without the
            candidates for ejection.
        """
        return max(0, live - warming_up - self.min_available)

    def select(self, candidates, live, warming_up):
        """
        Return the candidates that may be ejected, the least healthy first.

        :param candidates: objects with ``score``, ``restricted_since`` and ``name``.
        """
        ranked = sorted(
            candidates, key=lambda c: (-c.score, c.restricted_since, c.name)
        )
        return ranked[: self.count_allowed(live, warming_up)]
