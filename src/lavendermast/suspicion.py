"""
Estimates the sick probability of backend servers from the attempts of all VMs.

It is the probability that a server is sick, that is slow or failing.
"""

import collections
import enum
import itertools
import math

import attrs

from lavendermast.errorrates import (
    HEALTHY_FAILURE_RATE,
    MAX_GAP_S,
    MAX_LIKELIHOOD_RATIO,
    ErrorRates,
)

#: Probability that a server without recent attempts is sick.
PRIOR_SICK_PROBABILITY = 0.3
#: Time constant with which evidence decays: it loses 63% of its weight in this time.
#: Gray failures last 5 to 10 s.
DECAY_TIME_S = 8.0
#: Older evidence says nothing about a server's current state.
MAX_EVIDENCE_AGE_S = 16.0
#: Older reports from other regions do not reflect the requests that are in flight or
#: lost now.
MAX_REPORT_AGE_S = 2.0
#: Maximum number of attempts kept for each server.
MAX_STORED_ATTEMPTS = 24
#: Share of the requests to a sick server that fail.
SICK_FAILURE_RATE = 0.7
#: Probabilities are kept within these bounds, so that new evidence still changes them.
MIN_PROBABILITY = 0.004
MAX_PROBABILITY = 0.985
#: A computed probability is reused for this time, in which the ages of attempts change
#: little.
CACHE_S = 0.04

_SUCCESS_LIKELIHOOD_RATIO = (1 - SICK_FAILURE_RATE) / (1 - HEALTHY_FAILURE_RATE)
_FAILURE_LIKELIHOOD_RATIO = min(
    SICK_FAILURE_RATE / HEALTHY_FAILURE_RATE, MAX_LIKELIHOOD_RATIO
)


class AttemptOutcome(enum.Enum):
    """How an attempt ended; the values are written as the phase of a report."""

    SUCCEEDED = "succeeded"
    ERROR = "error"  # the server responded with an error
    FAILED = "failed"  # no connection or no complete response
    ABANDONED = "abandoned"  # cancelled or timed out before a result


@attrs.define(eq=False)
class Attempt:
    """
    One attempt, of this VM or reported by another; times are monotonic.

    :param durations: the response times of its route, to assess its age.
    :param retryable: whether the request may be retried if this attempt is lost.
    :param ended: time of its end, ``None`` while it is pending.
    :param outcome: how it ended, ``None`` while it is pending.
    """

    started: float
    durations: object
    retryable: bool = True
    ended: float | None = None
    outcome: AttemptOutcome | None = None


class ServerEvidence:
    """
    The recent attempts at one server.

    The server is modelled as a hidden state that changes between healthy and sick. Each
    attempt is evidence of the state at its start.

    :param error_rates: the :class:`~lavendermast.errorrates.ErrorRates` of all servers.
    """

    def __init__(self, error_rates=None):
        self._error_rates = error_rates or ErrorRates()
        self.attempts = collections.deque()
        self.pending = 0
        self.last_started = 0.0
        self.busy_until = 0.0
        self.full_until = 0.0  # a server that shed a request has no free slot
        self.reported_at = 0.0
        self.reported_pending = 0
        self._cached = (0.0, PRIOR_SICK_PROBABILITY)
        # The probability after the evidence that was dropped, and after the attempts
        # before the first pending one, which add the same evidence each time. Each with
        # the time that it is from, ``None`` for the prior.
        self._base = (PRIOR_SICK_PROBABILITY, None)
        self._settled = self._base
        self._settled_count = 0

    def start(self, now, durations, retryable=True):
        """Add an attempt that starts at ``now`` and return it."""
        attempt = Attempt(now, durations, retryable)
        attempts = self.attempts
        # Reports of other VMs arrive late; the deque is kept in order of start times.
        index = len(attempts)
        while index and attempts[index - 1].started > now:
            index -= 1
        attempts.insert(index, attempt)
        if index < self._settled_count:
            self._unsettle()
        if len(attempts) > MAX_STORED_ATTEMPTS:
            self._drop_oldest(now)
        self.pending += 1
        self.last_started = max(self.last_started, now)
        self._cached = (0.0, 0.0)
        return attempt

    def finish(self, attempt, now, outcome):
        """Record the outcome of an attempt."""
        if attempt.ended is None:
            self.pending -= 1
        attempt.ended = now
        attempt.outcome = outcome
        self._cached = (0.0, 0.0)
        if outcome is not AttemptOutcome.ABANDONED and self._follows_error(attempt):
            self._error_rates.add_follower(repeated=outcome is AttemptOutcome.ERROR)

    def _follows_error(self, attempt):
        """Return whether the attempt before this one had an error response."""
        previous = None
        for other in self.attempts:
            if other is attempt:
                break
            previous = other
        return (
            previous is not None
            and previous.outcome is AttemptOutcome.ERROR
            and attempt.started - previous.started <= MAX_GAP_S
        )

    def discard(self, attempt):
        """Remove an attempt that says nothing about the server."""
        if attempt in self.attempts:
            self.attempts.remove(attempt)
            self._unsettle()
            self._cached = (0.0, 0.0)

    def apply_summary(self, now, sick_probability, pending):
        """Apply a summary of the server from the region that it belongs to."""
        self.reported_at = now
        self.reported_pending = pending
        self._base = (min(max(sick_probability, MIN_PROBABILITY), MAX_PROBABILITY), now)
        self._unsettle()
        self._cached = (0.0, 0.0)

    def count_pending(self, now):
        """Return the number of attempts in flight, including recently reported ones."""
        if now - self.reported_at > MAX_REPORT_AGE_S:
            return self.pending
        return self.pending + self.reported_pending

    def compute_sick_probability(self, now):
        """Return the probability that the server is sick now."""
        moment, value = self._cached
        if now - moment < CACHE_S:
            return value
        value = self._compute_posterior(now)
        self._cached = (now, value)
        return value

    def _compute_posterior(self, now):
        attempts = self.attempts
        while attempts and attempts[0].started < now - MAX_EVIDENCE_AGE_S:
            self._drop_oldest(now)
        if self._base[1] is not None and self._base[1] < now - MAX_EVIDENCE_AGE_S:
            self._base = (PRIOR_SICK_PROBABILITY, None)
        if not self._settled_count:
            self._settled = self._base
        state, settled = self._settled, True
        for attempt in itertools.islice(attempts, self._settled_count, None):
            state = self._add(state, attempt, now)
            settled = settled and attempt.ended is not None
            if settled:
                self._settled_count += 1
                self._settled = state
        sick_probability, moment = state
        return (
            decay_to_prior(sick_probability, now - moment)
            if moment is not None
            else sick_probability
        )

    def _add(self, state, attempt, now):
        """Return the probability after an attempt, and the time that it is from."""
        sick_probability, moment = state
        if attempt.started < self.reported_at - attempt.durations.assumed_typical_s:
            return state
        if moment is not None:
            sick_probability = decay_to_prior(
                sick_probability, max(attempt.started - moment, 0.0)
            )
        odds = (
            sick_probability
            / (1 - sick_probability)
            * compute_likelihood_ratio(attempt, now, self._error_rates.likelihood_ratio)
        )
        sick_probability = min(max(odds / (1 + odds), MIN_PROBABILITY), MAX_PROBABILITY)
        return sick_probability, max(attempt.started, moment or 0.0)

    def _unsettle(self):
        self._settled_count = 0

    def _drop_oldest(self, now):
        old = self.attempts.popleft()
        if old.ended is None:
            self.pending -= 1
            old.ended = now
        self._base = self._add(self._base, old, now)
        if self._settled_count:
            self._settled_count -= 1


def decay_to_prior(sick_probability, seconds):
    """
    Return a probability of being sick after it decayed towards the prior.

    >>> [round(decay_to_prior(0.9, seconds), 3) for seconds in (0.0, 8.0, 80.0)]
    [0.9, 0.521, 0.3]
    """
    return PRIOR_SICK_PROBABILITY + (
        sick_probability - PRIOR_SICK_PROBABILITY
    ) * math.exp(-seconds / DECAY_TIME_S)


def compute_likelihood_ratio(attempt, now, error_ratio):
    """
    Return the factor by which an attempt changes the odds of a sick server.

    :param error_ratio: the factor of an error response.
    """
    if attempt.outcome is AttemptOutcome.SUCCEEDED:
        duration = attempt.ended - attempt.started
        # A response that took unusually long is no evidence of health.
        survival = attempt.durations.compute_survival(duration)
        return _SUCCESS_LIKELIHOOD_RATIO if survival > 0.1 else 1.0
    if attempt.outcome is AttemptOutcome.ERROR:
        return error_ratio
    if attempt.outcome is AttemptOutcome.FAILED:
        return _FAILURE_LIKELIHOOD_RATIO
    age = (now if attempt.ended is None else attempt.ended) - attempt.started
    survival = attempt.durations.compute_survival(age)
    return min(
        (SICK_FAILURE_RATE + (1 - SICK_FAILURE_RATE) * survival) / survival,
        MAX_LIKELIHOOD_RATIO,
    )


def compute_lost_probability(sick_probability, survival):
    """
    Return the probability that an attempt will never get a response.

    :param sick_probability: probability that its server was sick.
    :param survival: share of healthy responses that take longer than its age.
    """
    lost = sick_probability * SICK_FAILURE_RATE
    return lost / (lost + (1 - lost) * survival)
