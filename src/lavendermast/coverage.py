"""Finds out when too few servers of a service get requests while requests fail."""

from lavendermast.suspicion import compute_lost_probability

#: What is kept above the floor, since a VM does not know which servers are sound.
MARGIN = 0.05
#: The floor counts requests of two seconds; reports and a choice take some of it.
IDLE_S = 1.5
#: Share of lost requests from which on the floor is kept; the users' bound is a tenth.
FAILING_SHARE = 0.085
#: The share is taken over the attempts that began within this time.
RECENT_S = 3.0
#: Younger attempts have no results yet.
YOUNG_S = 0.3
#: A share is reused for this time, because it takes a look at all attempts.
CACHE_S = 0.25


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
        self._shares = {}

    def is_short(self, covered, listed):
        """
        Return whether too few of the listed servers have had requests of late.

        >>> [Coverage(None, 0.7).is_short(covered, 10) for covered in (7, 8)]
        [True, False]
        """
        return covered < min(self.floor_share + MARGIN, 1.0) * listed

    def is_failing(self, service, names, now):
        """
        Return whether so many requests fail that the floor has to be kept.

        :param names: servers of the service whose attempts are known here.
        """
        until, share = self._shares.get(service, (0.0, 0.0))
        if now >= until:
            share = self._compute_lost_share(names, now)
            self._shares[service] = (now + CACHE_S, share)
        return share >= FAILING_SHARE

    def _compute_lost_share(self, names, now):
        count, lost = 0, 0.0
        for name in names:
            evidence = self._evidence(name)
            for attempt in evidence.attempts:
                if not YOUNG_S <= now - attempt.started <= RECENT_S:
                    continue
                count += 1
                if attempt.succeeded is False:
                    lost += 1
                elif attempt.ended is None:
                    survival = attempt.durations.compute_survival(now - attempt.started)
                    sickness = evidence.compute_sickness(now)
                    lost += compute_lost_probability(sickness, survival)
        return lost / count if count else 0.0
