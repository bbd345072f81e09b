"""Finds out when too few servers of a service get requests while requests fail."""

from lavendermast.suspicion import compute_lost_probability

#: The users' floor: below this share of the sound servers with requests within two
#: seconds, while a tenth of the requests fail, the others count as starved.
FLOOR_SHARE = 0.7
#: Kept above the floor, since a VM does not know which servers are sound, and earlier
#: than two seconds, since reports take time and a choice takes effect later.
KEPT_SHARE = FLOOR_SHARE + 0.05
IDLE_S = 1.5
#: Share of lost requests from which on the floor is kept; the users' bound is a tenth.
#: At 0.06 the requests sent to doubtful servers kept the share above it.
FAILING_SHARE = 0.085
#: Attempts that began in this span tell the share that is lost; younger ones than
#: its second bound have no results yet.
RECENT_S = 3.0
YOUNG_S = 0.3
#: A share is reused for this time, because it takes a look at all attempts.
CACHE_S = 0.25


class Coverage:
    """
    Watches the share of lost requests by service.

    :param evidence: function from a server's name to its ``ServerEvidence``.
    """

    def __init__(self, evidence):
        self._evidence = evidence
        self._shares = {}

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


def is_short(covered, listed):
    """
    Return whether too few of the listed servers have had requests of late.

    >>> [is_short(covered, 10) for covered in (7, 8)]
    [True, False]
    """
    return covered < KEPT_SHARE * listed
