"""Probability that a backend server is sick, from the attempts of many VMs."""

import collections
import enum
import math

import attrs

#: A server that nobody has asked for long is sick with this probability.
SICK_SHARE = 0.3
#: Time in which knowledge about a server loses 63% of its weight, in seconds: gray
#: failures last 5 to 10 s.
MEMORY_S = 8.0
#: Attempts that began earlier say nothing about a server's state now.
HORIZON_S = 16.0
#: Reports of other regions that are older say nothing of what is in flight or lost now.
REPORT_AGE_S = 2.0
#: Attempts at one server that are kept at most.
MAX_ATTEMPTS = 24
#: Share of the requests that a sick server fails.
SICK_FAILS = 0.7
#: Share of the requests that a healthy server fails by itself.
HEALTHY_FAILS = 0.015
#: Factor on the odds after a server's own error. Healthy servers answer 1 to 2% of the
#: requests so, and sick ones mostly do not answer.
ERROR_FACTOR = 8.0
#: Bound on what one attempt can say, as a factor on the odds.
MAX_FACTOR = 40.0
#: Probabilities are kept inside these bounds, so that new evidence always counts.
MIN_PROBABILITY = 0.004
MAX_PROBABILITY = 0.985
#: A probability is reused for this time; ages change little within it.
CACHE_S = 0.04

_SUCCESS_FACTOR = (1 - SICK_FAILS) / (1 - HEALTHY_FAILS)
_FAILURE_FACTOR = min(SICK_FAILS / HEALTHY_FAILS, MAX_FACTOR)


class Ending(enum.Enum):
    """How an attempt ended; the values are the phases of reports."""

    SUCCEEDED = "succeeded"
    ERROR = "error"  # the server answered that it failed
    FAILED = "failed"  # there was no connection or no whole answer
    ABANDONED = "abandoned"  # nobody waited any longer


@attrs.define(eq=False)
class Attempt:
    """
    One attempt as this VM knows it; times are monotonic.

    :param durations: the answer times of its route, to judge its age.
    :param repeatable: whether a second attempt may follow a lost one.
    :param ended: time of its end, ``None`` while it is pending.
    :param ending: how it ended, ``None`` while it is pending.
    """

    started: float
    durations: object
    repeatable: bool = True
    ended: float | None = None
    ending: Ending | None = None


class ServerEvidence:
    """
    The recent attempts at one server.

    The server is taken as a hidden state that changes between healthy and sick; each
    attempt tells about the state at its start.
    """

    def __init__(self):
        self.attempts = collections.deque()
        self.pending = 0
        self.last_started = 0.0
        self.busy_until = 0.0
        self.reported_at = 0.0
        self.reported_sickness = SICK_SHARE
        self.reported_pending = 0
        self._cached = (0.0, SICK_SHARE)

    def start(self, now, durations, repeatable=True):
        """Count an attempt that begins now and return it."""
        attempt = Attempt(now, durations, repeatable)
        attempts = self.attempts
        # Reports of other VMs arrive late; the deque is kept in order of the starts.
        index = len(attempts)
        while index and attempts[index - 1].started > now:
            index -= 1
        attempts.insert(index, attempt)
        if len(attempts) > MAX_ATTEMPTS:
            self._drop_oldest(now)
        self.pending += 1
        self.last_started = max(self.last_started, now)
        self._cached = (0.0, 0.0)
        return attempt

    def finish(self, attempt, now, ending):
        """Count the end of an attempt."""
        if attempt.ended is None:
            self.pending -= 1
        attempt.ended = now
        attempt.ending = ending
        self._cached = (0.0, 0.0)

    def note_report(self, now, sickness, pending):
        """Take in what the server's own region believes of it."""
        self.reported_at = now
        self.reported_sickness = min(max(sickness, MIN_PROBABILITY), MAX_PROBABILITY)
        self.reported_pending = pending
        self._cached = (0.0, 0.0)

    def count_pending(self, now):
        """Return the attempts in flight, with those that other regions reported."""
        if now - self.reported_at > REPORT_AGE_S:
            return self.pending
        return self.pending + self.reported_pending

    def compute_sickness(self, now):
        """Return the probability that the server is sick now."""
        moment, value = self._cached
        if now - moment < CACHE_S:
            return value
        value = self._filter(now)
        self._cached = (now, value)
        return value

    def _filter(self, now):
        attempts = self.attempts
        while attempts and attempts[0].started < now - HORIZON_S:
            self._drop_oldest(now)
        sick, moment = SICK_SHARE, None
        if now - self.reported_at < HORIZON_S:
            sick, moment = self.reported_sickness, self.reported_at
        for attempt in attempts:
            if attempt.started < self.reported_at - attempt.durations.typical:
                continue
            if moment is not None:
                sick = relax(sick, max(attempt.started - moment, 0.0))
            moment = max(attempt.started, moment or 0.0)
            odds = sick / (1 - sick) * compute_factor(attempt, now)
            sick = min(max(odds / (1 + odds), MIN_PROBABILITY), MAX_PROBABILITY)
        return relax(sick, now - moment) if moment is not None else sick

    def _drop_oldest(self, now):
        old = self.attempts.popleft()
        if old.ended is None:
            self.pending -= 1
            old.ended = now


def relax(sick, seconds):
    """
    Return a probability some time after it was known.

    >>> [round(relax(0.9, seconds), 3) for seconds in (0.0, 8.0, 80.0)]
    [0.9, 0.521, 0.3]
    """
    return SICK_SHARE + (sick - SICK_SHARE) * math.exp(-seconds / MEMORY_S)


def compute_factor(attempt, now):
    """Return by which factor an attempt changes the odds that its server is sick."""
    if attempt.ending is Ending.SUCCEEDED:
        duration = attempt.ended - attempt.started
        # An answer that took unusually long is no sign of health.
        survival = attempt.durations.compute_survival(duration)
        return _SUCCESS_FACTOR if survival > 0.1 else 1.0
    if attempt.ending is Ending.ERROR:
        return ERROR_FACTOR
    if attempt.ending is Ending.FAILED:
        return _FAILURE_FACTOR
    age = (now if attempt.ended is None else attempt.ended) - attempt.started
    survival = attempt.durations.compute_survival(age)
    return min((SICK_FAILS + (1 - SICK_FAILS) * survival) / survival, MAX_FACTOR)


def compute_lost_probability(sick, survival):
    """
    Return the probability that an attempt will never be answered.

    :param sick: probability that its server was sick.
    :param survival: share of healthy answers that take longer than its age.
    """
    lost = sick * SICK_FAILS
    return lost / (lost + (1 - lost) * survival)
