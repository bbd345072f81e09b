"""Finds out when too few servers of a service get requests while requests fail."""

import collections

import attrs

from lavendermast.suspicion import REPORT_AGE_S, SICK_FAILS, Ending

#: What is kept above the floor, since a VM does not know which servers are sound.
MARGIN = 0.05
#: The floor counts requests of two seconds; reports and a choice take some of it.
IDLE_S = 1.5
#: Share of lost requests from which on the floor is kept; the users' bound is a tenth.
FAILING_SHARE = 0.085
#: Servers that are sick with a higher probability get no requests for the floor until
#: the share of lost requests is clearly over the bound.
MAX_SICKNESS = 0.45
CLEARLY_FAILING_SHARE = 0.12
#: With fewer requests a single lost one would be over the share.
MIN_REQUESTS = 12
#: An attempt that is older than all but this share of the answers counts as lost.
OVERDUE_SHARE = 0.05
#: The share is taken over the attempts that began within this time.
RECENT_S = 3.0
#: Younger attempts have no results yet.
YOUNG_S = 0.3
#: A count is reused for this time, because it takes a look at all attempts.
CACHE_S = 0.25


@attrs.frozen
class Losses:
    """
    Recent requests of a service in one region and how many of them were lost.

    :param until: monotonic time until which the counts are used.
    """

    requests: float
    lost: float
    until: float


class Coverage:
    """
    Watches the share of lost requests by service.

    :param evidence: function from a server's name to its ``ServerEvidence``.
    :param floor_share: share of the sound servers that have to get requests while many
        requests fail.
    """

    def __init__(self, evidence, floor_share):
        self._evidence = evidence
        self.floor_share = floor_share
        self._own = {}
        self._reported = collections.defaultdict(dict)

    def is_short(self, covered, listed):
        """
        Return whether too few of the listed servers have had requests of late.

        >>> [Coverage(None, 0.7).is_short(covered, 10) for covered in (7, 8)]
        [True, False]
        """
        return covered < min(self.floor_share + MARGIN, 1.0) * listed

    def find_max_sickness(self, service, names, now):
        """
        Return up to which probability of sickness servers may be sent requests for it.

        :param names: servers of the service whose attempts are known here.
        :return: ``None`` while few requests fail.
        """
        share = self._compute_lost_share(service, names, now)
        if share < FAILING_SHARE:
            return None
        return MAX_SICKNESS if share < CLEARLY_FAILING_SHARE else 1.0

    def note_losses(self, region, service, requests, lost, now):
        """Take in what another region counted."""
        losses = Losses(requests, lost, now + REPORT_AGE_S)
        self._reported[service][region] = losses

    def count_losses(self, service, names, now):
        """Return the ``Losses`` among the attempts that are known here."""
        losses = self._own.get(service)
        if losses is None or now >= losses.until:
            losses = self._own[service] = self._count(names, now)
        return losses

    def _compute_lost_share(self, service, names, now):
        counted = [self.count_losses(service, names, now)]
        reported = self._reported[service].values()
        counted += [losses for losses in reported if now < losses.until]
        requests = sum(losses.requests for losses in counted)
        if requests < MIN_REQUESTS:
            return 0.0
        return sum(losses.lost for losses in counted) / requests

    def _count(self, names, now):
        once = repeatable = 0
        lost_once = lost_repeatable = 0.0
        for name in names:
            evidence = self._evidence(name)
            sickness = evidence.compute_sickness(now)
            for attempt in evidence.attempts:
                if not YOUNG_S <= now - attempt.started <= RECENT_S:
                    continue
                lost = compute_attempt_lost(attempt, sickness, now)
                if attempt.repeatable:
                    repeatable += 1
                    lost_repeatable += lost
                else:
                    once += 1
                    lost_once += lost
        # A request that may be repeated is lost when its second attempt is too.
        if repeatable:
            lost_once += lost_repeatable**2 / repeatable
        return Losses(once + repeatable, lost_once, now + CACHE_S)


def compute_attempt_lost(attempt, sickness, now):
    """Return the probability that an attempt was or will be lost."""
    if attempt.ending is Ending.SUCCEEDED:
        return 0.0
    if attempt.ending in (Ending.ERROR, Ending.FAILED):
        return 1.0
    age = (attempt.ended or now) - attempt.started
    survival = attempt.durations.compute_survival(age)
    if survival <= OVERDUE_SHARE:
        return 1.0
    # The sickness includes what the attempt's age says of its server.
    return sickness * SICK_FAILS / (SICK_FAILS + (1 - SICK_FAILS) * survival)
