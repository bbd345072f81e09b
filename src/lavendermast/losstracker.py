"""
Detects when too few servers of a service get requests, and when many requests fail.

The floor is the share of the healthy servers that have to get requests in that case.
"""

import collections

import attrs

from lavendermast.suspicion import MAX_REPORT_AGE_S, SICK_FAILURE_RATE, AttemptOutcome

#: Margin above the floor, since a VM does not know for sure which servers are healthy.
FLOOR_MARGIN = 0.05
#: Margin among the servers that are probably healthy. The floor may count only a few of
#: them, and just those may be idle.
HEALTHY_FLOOR_MARGIN = 0.3
#: Time without a request after which a server does not count for the floor. The floor
#: is measured over the requests of 2 s; the remaining 0.5 s are for reports and
#: selection.
FLOOR_IDLE_S = 1.5
#: The floor is kept while at least this share of the requests is lost. It is below the
#: share from which the floor is required, a tenth.
FLOOR_LOSS_SHARE = 0.085
#: Servers that are sick with a higher probability are not used for the floor, unless
#: the share of lost requests is at least ``HIGH_LOSS_SHARE``.
MAX_SICK_PROBABILITY = 0.45
HIGH_LOSS_SHARE = 0.12
#: With fewer requests a single lost one would exceed the share.
MIN_REQUESTS = 12
#: An attempt counts as lost when at most this share of the responses takes longer than
#: the attempt's age.
OVERDUE_SHARE = 0.05
#: Only attempts that started within this time count for the share of lost requests.
LOSS_WINDOW_S = 3.0
#: Younger attempts have no result yet.
MIN_ATTEMPT_AGE_S = 0.3
#: A count is reused for this time, because counting visits all attempts.
CACHE_S = 0.25


@attrs.frozen
class Losses:
    """
    Number of recent requests of a service in one region, and of the lost ones.

    :param until: monotonic time until which the counts are used.
    """

    requests: float
    lost: float
    until: float


class LossTracker:
    """
    Tracks the share of lost requests of each service.

    :param get_evidence: function from a server's name to its ``ServerEvidence``.
    :param floor_share: share of the healthy servers that have to get requests while
        many requests fail.
    """

    def __init__(self, get_evidence, floor_share):
        self._get_evidence = get_evidence
        self.floor_share = floor_share
        self._local_losses = {}
        self._reported_losses = collections.defaultdict(dict)

    def is_below_floor(self, used, servers, margin=FLOOR_MARGIN):
        """
        Return whether too few of the servers had a recent request.

        >>> [LossTracker(None, 0.7).is_below_floor(used, 10) for used in (7, 8)]
        [True, False]
        """
        return used < min(self.floor_share + margin, 1.0) * servers

    def find_max_sick_probability(self, service, names, now):
        """
        Return the maximum probability of being sick for servers used for the floor.

        :param names: servers of the service whose attempts are known here.
        :return: the maximum, or ``None`` while few requests fail.
        """
        share = self._compute_lost_share(service, names, now)
        if share < FLOOR_LOSS_SHARE:
            return None
        return MAX_SICK_PROBABILITY if share < HIGH_LOSS_SHARE else 1.0

    def apply_losses(self, region, service, requests, lost, now):
        """Apply the counts of another region."""
        losses = Losses(requests, lost, now + MAX_REPORT_AGE_S)
        self._reported_losses[service][region] = losses

    def count_losses(self, service, names, now):
        """Return the ``Losses`` among the attempts that are known here."""
        losses = self._local_losses.get(service)
        if losses is None or now >= losses.until:
            losses = self._local_losses[service] = self._count(names, now)
        return losses

    def _compute_lost_share(self, service, names, now):
        counted = [self.count_losses(service, names, now)]
        reported = self._reported_losses[service].values()
        counted += [losses for losses in reported if now < losses.until]
        requests = sum(losses.requests for losses in counted)
        if requests < MIN_REQUESTS:
            return 0.0
        return sum(losses.lost for losses in counted) / requests

    def _count(self, names, now):
        non_retryable = retryable = 0
        lost_requests = lost_retryable = 0.0
        for name in names:
            evidence = self._get_evidence(name)
            sick_probability = evidence.compute_sick_probability(now)
            for attempt in evidence.attempts:
                if not MIN_ATTEMPT_AGE_S <= now - attempt.started <= LOSS_WINDOW_S:
                    continue
                lost = compute_attempt_loss(attempt, sick_probability, now)
                if attempt.retryable:
                    retryable += 1
                    lost_retryable += lost
                else:
                    non_retryable += 1
                    lost_requests += lost
        # A retryable request is lost only when its second attempt is lost too.
        if retryable:
            lost_requests += lost_retryable**2 / retryable
        return Losses(non_retryable + retryable, lost_requests, now + CACHE_S)


def compute_attempt_loss(attempt, sick_probability, now):
    """Return the probability that an attempt was or will be lost."""
    if attempt.outcome is AttemptOutcome.SUCCEEDED:
        return 0.0
    if attempt.outcome in (AttemptOutcome.ERROR, AttemptOutcome.FAILED):
        return 1.0
    age = (attempt.ended or now) - attempt.started
    survival = attempt.durations.compute_survival(age)
    if survival <= OVERDUE_SHARE:
        return 1.0
    # The sick probability already includes the attempt's age as evidence.
    return (
        sick_probability
        * SICK_FAILURE_RATE
        / (SICK_FAILURE_RATE + (1 - SICK_FAILURE_RATE) * survival)
    )
