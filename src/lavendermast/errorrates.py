"""Learns from the attempts how strongly an error response points to a sick server."""

#: Share of the requests to a healthy server that fail.
HEALTHY_FAILURE_RATE = 0.015
#: Likelihood ratio of an error response before any was followed by another attempt, and
#: the lower bound of it. Servers of many services fail silently and respond with an
#: error only now and then.
MIN_LIKELIHOOD_RATIO = 8.0
#: Upper bound on the likelihood ratio of a single attempt.
MAX_LIKELIHOOD_RATIO = 40.0
#: Attempts that started longer after the erroneous one say nothing about its cause.
MAX_GAP_S = 2.0
#: Weight of the initial ratio, in attempts.
PRIOR_COUNT = 8.0
#: Counts are halved above this total, so that a change shows.
MAX_COUNT = 200.0


class ErrorRates:
    """
    How often an attempt at a server fails with an error too if the one before it did.

    Errors of healthy servers are rare and independent of each other, while a server
    that is sick repeats them.

    >>> rates = ErrorRates()
    >>> rates.likelihood_ratio
    8.0
    >>> for _ in range(20):
    ...     rates.add_follower(repeated=True)
    >>> rates.likelihood_ratio > 30
    True
    """

    def __init__(self):
        self._followers = PRIOR_COUNT
        self._repeated = PRIOR_COUNT * MIN_LIKELIHOOD_RATIO * HEALTHY_FAILURE_RATE

    @property
    def likelihood_ratio(self):
        """Factor by which an error response changes the odds of a sick server."""
        ratio = self._repeated / self._followers / HEALTHY_FAILURE_RATE
        return min(max(ratio, MIN_LIKELIHOOD_RATIO), MAX_LIKELIHOOD_RATIO)

    def add_follower(self, *, repeated):
        """Add an attempt that followed an error response of the same server."""
        self._followers += 1.0
        self._repeated += repeated
        if self._followers > MAX_COUNT:
            self._followers /= 2
            self._repeated /= 2
