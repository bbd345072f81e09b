"""Choice of the backend server for an attempt of an entry VM."""

import operator

import attrs

from lavendermast.coverage import IDLE_S
from lavendermast.models import ServerState

#: Costs are in shares of a request's worth. A sick server fails 0.7 of its requests.
SICKNESS_COST = 0.7
#: Filling a server to its slots slows it; beyond them requests queue.
FILL_COST = 0.2
QUEUE_COST = 0.25
#: Worth of one request against that of the bytes which it moves between zones and
#: regions, by the prices of the users' networks for an answer of 90 KB.
REGION_COST = 0.03
ZONE_COST = 0.004
REGION_COST_PER_BYTE = 2.0 / 90_000
ZONE_COST_PER_BYTE = 0.4 / 90_000
#: Worth of one request against the price of a new connection to a server.
CONNECT_COST = 0.04
#: At most this share of the requests are trials.
TRIAL_SHARE = 1 / 12
WARM_UP_COST = 0.15
JITTER = 0.01

#: Servers that are sick with a lower probability are not doubtful; one answer suffices.
DOUBTFUL_SICKNESS = 0.2
#: Servers that are sick with a lower probability, after two answers, take any number of
#: requests. Others get few at once, because sick servers answer some requests too.
PROVEN_SICKNESS = 0.08
MAX_UNPROVEN_PENDING = 2
#: Share of a region's servers that get requests at once while none is known to be well;
#: a third carries usual load. Each VM has its part of it, because VMs do not hear of
#: each other yet after a start of the fleet.
SCOUTED_SHARE = 1 / 3

get_cost = operator.attrgetter("cost")


@attrs.frozen
class TrialRule:
    """
    When a request may go to a server to show how that one is.

    :param idle_s: seconds without a request after which a server is tried.
    :param max_sickness: probability of sickness above which it is not.
    """

    idle_s: float
    max_sickness: float = 1.0


#: A server of the region gets one request now and then, so that none is left out.
TRIAL = TrialRule(1.5)
#: Work that cannot be sent again waits longer, and until a sick phase, which lasts 5 to
#: 10 s, is likely to be over: 29% of the trials without this bound were lost.
TRIAL_ONCE = TrialRule(5.0, 0.45)


@attrs.define(eq=False)
class Candidate:
    """
    A server with what decides about it.

    :param reason: ``trial`` or ``floor`` when it was not chosen for its cost.
    :param awaits_evidence: whether nothing better than a doubtful server is known and
        requests that are in flight will soon tell more.
    """

    listed: object
    cost: float
    sickness: float
    pending: int
    evidence_age_ms: int | None
    reason: str = ""
    awaits_evidence: bool = False


class ServerSelector:
    """
    Chooses servers by the risk of failure, their load and their distance.

    :param catalog: the listed servers.
    :param evidence: function from a server's name to its ``ServerEvidence``.
    :param coverage: a :class:`~lavendermast.coverage.Coverage`.
    :param has_connection: function of a server and of whether the request is repeatable
        that returns whether it would go over a connection that is open.
    :param vms: number of VMs of the region that choose servers at the same time.
    """

    def __init__(
        self,
        catalog,
        evidence,
        zone,
        region,
        clock,
        random,
        coverage,
        has_connection,
        vms=1,
    ):
        self._catalog = catalog
        self._evidence = evidence
        self._zone = zone
        self._region = region
        self._clock = clock
        self._random = random
        self._trial_credit = 0.0
        self._scouted_share = SCOUTED_SHARE / vms
        self._first_chosen = {}
        self._coverage = coverage
        self._has_connection = has_connection

    def choose(
        self,
        service,
        answer_bytes,
        excluded=(),
        trial=None,
        is_first=False,
        repeatable=True,
    ):
        """
        Return the best ``Candidate``, or ``None`` when no server is listed.

        :param answer_bytes: expected size of the answer.
        :param excluded: names of servers not to use.
        :param trial: a :class:`TrialRule`, ``None`` for no trial.
        :param is_first: whether the attempt is the request's first; only these are used
            to keep the floor.
        :param repeatable: whether the request may run twice.
        """
        now = self._clock.monotonic()
        since = self._first_chosen.setdefault(service, now)
        near, far = [], []
        for listed in self._catalog.get_servers(service):
            server = listed.server
            if server.state is ServerState.LIVE and server.name not in excluded:
                (near if server.region == self._region else far).append(listed)

        def assess(listed):
            return self._assess(listed, answer_bytes, repeatable, now)

        candidates = [assess(listed) for listed in near]
        # No far server is cheaper than its distance, so most requests look at few.
        distance = REGION_COST + REGION_COST_PER_BYTE * answer_bytes
        if not candidates or min(map(get_cost, candidates)) > distance:
            candidates += [assess(listed) for listed in far]
        if not candidates:
            return None
        local = candidates[: len(near)]
        if is_first:
            uncovered = self._find_uncovered(service, local, now, since)
            if uncovered is not None:
                return uncovered
        if trial is not None:
            due = self._find_trial(local, now, since, trial)
            if due is not None:
                return due
        chosen = min(candidates, key=get_cost)
        chosen.awaits_evidence = self._awaits_evidence(chosen, local)
        return chosen

    def _awaits_evidence(self, chosen, local):
        if chosen.sickness < PROVEN_SICKNESS:
            return False
        if chosen.sickness < DOUBTFUL_SICKNESS:
            return chosen.pending >= MAX_UNPROVEN_PENDING
        scouted = sum(candidate.pending > 0 for candidate in local)
        return scouted > 0 and scouted >= self._scouted_share * len(local)

    def _find_uncovered(self, service, local, now, since):
        """Return a server that needs a request to keep the floor, or ``None``."""
        # Only read when the share of lost requests is due to be counted again.
        names = (candidate.listed.server.name for candidate in local)
        bound = self._coverage.find_max_sickness(service, names, now)
        if bound is None:
            return None
        idle = [c for c in local if self._is_idle(c.listed, now, since, IDLE_S)]
        if not self._coverage.is_short(len(local) - len(idle), len(local)):
            return None
        chosen = min(idle, key=get_cost)
        if chosen.sickness > bound:
            return None
        chosen.reason = "floor"
        return chosen

    def _find_trial(self, local, now, since, rule):
        """Return a server that is due for a trial, if there may be one now."""
        if not self._add_trial_credit():
            return None
        due = [c for c in local if self._is_trial_due(c, now, since, rule)]
        if not due:
            return None
        self._trial_credit -= 1.0
        chosen = min(due, key=get_cost)
        chosen.reason = "trial"
        return chosen

    def _add_trial_credit(self):
        self._trial_credit = min(self._trial_credit + TRIAL_SHARE, 1.0)
        return self._trial_credit >= 1.0

    def _is_trial_due(self, candidate, now, since, rule):
        if candidate.pending or candidate.sickness > rule.max_sickness:
            return False
        return self._is_idle(candidate.listed, now, since, rule.idle_s)

    def _is_idle(self, listed, now, since, idle_s):
        """Return whether a server was left out for a time in which others were not."""
        evidence = self._evidence(listed.server.name)
        return now - max(evidence.last_started, listed.listed_at, since) > idle_s

    def _assess(self, listed, answer_bytes, repeatable, now):
        evidence = self._evidence(listed.server.name)
        sickness = evidence.compute_sickness(now)
        pending = evidence.count_pending(now)
        cost = SICKNESS_COST * sickness
        cost += FILL_COST * min(pending / listed.slots, 1.0) ** 2
        if pending >= listed.slots:
            cost += QUEUE_COST * (pending - listed.slots + 1) / listed.slots
        if now < evidence.busy_until:
            cost += QUEUE_COST
        if now < listed.warm_until:
            cost += WARM_UP_COST * (1 + pending)
        if not self._has_connection(listed.server, repeatable):
            cost += CONNECT_COST
        cost += self._compute_distance_cost(listed.server, answer_bytes)
        cost += self._random.random() * JITTER
        age = None
        if evidence.last_started:
            age = round((now - evidence.last_started) * 1000)
        return Candidate(listed, cost, sickness, pending, age)

    def _compute_distance_cost(self, server, answer_bytes):
        if server.zone == self._zone:
            return 0.0
        if server.region == self._region:
            return ZONE_COST + ZONE_COST_PER_BYTE * answer_bytes
        return REGION_COST + REGION_COST_PER_BYTE * answer_bytes
