"""The share of a service's servers that ejection never goes below."""

import fractions
import math


class EjectionBudget:
    """
    Decides which servers of one service may be ejected now.

    :param expected: servers that the operators run, listed or not.
    :param floor: share of these that stays above the ejected level.

    >>> EjectionBudget(12, 0.75).count_allowed(live=12, slowed=1)
    2
    """

    def __init__(self, expected, floor):
        # The decimal as written: 0.55 * 20 is 11.000000000000002 as a float.
        self.keep = math.ceil(fractions.Fraction(str(floor)) * expected)

    @classmethod
    def from_config(cls, service):
        """Return the budget of a service's settings."""
        return cls(service.expected_servers, service.floor)

    def count_allowed(self, live, slowed):
        """
        Return how many servers may be ejected.

        Missing and leaving servers use up the budget because they aren't live.

        :param live: listed servers that are not leaving.
        :param slowed: those among them that are cold or in slow start, without the
            candidates for ejection.
        """
        return max(0, live - slowed - self.keep)

    def select(self, candidates, live, slowed):
        """
        Return the candidates that may be ejected, the least healthy first.

        :param candidates: objects with ``score``, ``held_since`` and ``name``.
        """
        ranked = sorted(candidates, key=lambda c: (-c.score, c.held_since, c.name))
        return ranked[: self.count_allowed(live, slowed)]
