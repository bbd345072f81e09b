"""Choice of the backend server for an attempt of an entry VM."""

import math
import operator

import attrs

from lavendermast.hashing import rank_members
from lavendermast.losstracker import (
    FLOOR_IDLE_S,
    FLOOR_MARGIN,
    HEALTHY_FLOOR_MARGIN,
)
from lavendermast.models import ServerState
from lavendermast.regions import CheapestFirst

#: Costs are fractions of the value of one request. A sick server fails 70% of its
#: requests.
SICK_SERVER_COST = 0.7
#: A server slows down as its slots fill up; beyond them requests queue.
LOAD_COST = 0.2
QUEUE_COST = 0.25
#: Cost of traffic between zones and regions, relative to the value of one request. The
#: costs per byte follow the network prices for a response of 90 KB.
REGION_COST = 0.03
ZONE_COST = 0.004
REGION_COST_PER_BYTE = 2.0 / 90_000
ZONE_COST_PER_BYTE = 0.4 / 90_000
#: Cost of a new connection to a server, relative to the value of one request.
CONNECT_COST = 0.04
#: Maximum share of the requests that are trials.
TRIAL_SHARE = 1 / 12
#: Cost of a server that is warming up, for this request and each one in flight.
WARM_UP_COST = 0.15
#: Maximum random cost, so that servers of equal cost share the requests.
MAX_RANDOM_COST = 0.01

#: Among servers with free slots, those that cost up to this much more than the
#: cheapest one are used too, the cheaper one of two random ones each time. VMs see each
#: other's attempts 50 to 100 ms late and would all choose the cheapest one: the busiest
#: server got 2.3 times the mean. It covers a server with half of its slots in use, but
#: not traffic between zones for downloads.
SPREAD_COST = 0.05

#: While limited servers take no more requests, others take them only up to this many
#: requests in flight per slot, and if they are not doubtful. A caller that returns
#: later is better served than one that waits in a queue.
MAX_OVERFLOW_FILL = 3.0
#: Servers that are sick with a higher probability neither relieve limited ones nor get
#: requests only because they are idle, unless many requests are lost.
DOUBTFUL_SICK_PROBABILITY = 0.45

#: Callers that return after a pause are spread as if a server took this many requests
#: per second and slot.
RETURN_RATE_PER_SLOT = 1.0

#: A server that is sick with at least this probability is suspect. One response is
#: enough to bring a server below it.
MIN_SUSPECT_SICK_PROBABILITY = 0.2
#: A server that is sick with a lower probability than this counts as healthy and takes
#: any number of requests; two responses bring it there. While the best server is
#: neither healthy nor suspect and has MAX_UNCONFIRMED_PENDING requests in flight, a
#: first, non-idempotent attempt waits (AttemptRunner._should_wait), because sick
#: servers respond to some requests too. Other attempts are sent anyway.
MAX_HEALTHY_SICK_PROBABILITY = 0.08
MAX_UNCONFIRMED_PENDING = 2
#: A first, non-idempotent attempt waits while the best server is suspect and at least
#: this share of the region's servers has requests in flight; other attempts are sent
#: anyway. A third of the servers carries normal load. The share is divided by the
#: number of VMs, because VMs get no reports from each other right after the fleet
#: starts.
MAX_UNCONFIRMED_SHARE = 1 / 3

get_cost = operator.attrgetter("cost")


@attrs.frozen
class TrialRule:
    """
    Condition for sending a request to an idle server to test its health.

    :param idle_s: seconds without a request after which a server is tried.
    :param max_sick_probability: a server that is sick with a higher probability is not
        tried.
    """

    idle_s: float
    max_sick_probability: float = 1.0


#: Each server of the region gets an occasional request, so that a recovered server is
#: used again.
IDEMPOTENT_TRIAL = TrialRule(1.5)
#: A server gets a non-idempotent request as a trial only after a longer time, when a
#: sick phase, which lasts 5 to 10 s, is probably over. Without the bound on the sick
#: probability, 29% of these trials were lost.
NON_IDEMPOTENT_TRIAL = TrialRule(5.0, 0.45)

#: In this time after the first request of a service, servers that had none yet get one
#: until as many are in use as the floor requires. Which requests are lost is known only
#: after a second, when it is too late to keep the floor of the first seconds.
START_SPREAD_FROM_S = 0.6
START_SPREAD_UNTIL_S = 1.6
#: Servers that other regions report as sick are not used for that.
MAX_START_SICK_PROBABILITY = 0.45


def is_doubtful(sick_probability):
    """Return whether a server is too likely to be sick to be used without need."""
    return sick_probability > DOUBTFUL_SICK_PROBABILITY


@attrs.define(eq=False)
class Candidate:
    """
    A server with the inputs of its selection.

    :param reason: ``trial``, ``floor`` or ``spread`` when it was not chosen for its
        cost.
    :param awaits_evidence: whether the best server is not known to be healthy, and
        requests in flight will soon give more evidence.
    """

    listed: object
    cost: float
    sick_probability: float
    pending: int
    evidence_age_ms: int | None
    reason: str = ""
    awaits_evidence: bool = False

    @property
    def is_doubtful(self):
        """Whether the server is too likely to be sick to be used without need."""
        return is_doubtful(self.sick_probability)

    @property
    def has_free_slot(self):
        """Whether the server can begin a request at once, as far as is known here."""
        return self.pending < self.listed.slots

    @property
    def fill(self):
        """Requests in flight per slot."""
        return self.pending / max(self.listed.slots, 1)


@attrs.frozen
class RoomForecast:
    """
    When the limited servers of a service may get requests again.

    :param delay_s: seconds until the first of them may get one.
    :param interval_s: seconds between the requests that this VM may send them.
    """

    delay_s: float
    interval_s: float


@attrs.frozen
class FreeSlots:
    """
    Slots of a service's servers, by the probability that these are healthy.

    :param near: free slots of this region.
    :param far: free slots of the other regions.
    :param servers: listed servers of all regions that are not leaving.
    :param in_flight: attempts in flight in this region.
    :param slots_per_server: mean number of slots of a server.
    :param delay_s: seconds until a server may get a request by its rate limit or pause,
        0.0 if one may now.
    :param max_rate: requests per second that this VM may send by the rate limits;
        infinite if a server has none.
    """

    near: float
    far: float
    servers: int
    in_flight: int
    slots_per_server: float
    delay_s: float = 0.0
    max_rate: float = math.inf


def _choose_by_key(candidates, key):
    """Return the candidate that a key selects among those that are not doubtful."""
    by_name = {c.listed.server.name: c for c in candidates if not c.is_doubtful}
    by_name = by_name or {c.listed.server.name: c for c in candidates}
    if not by_name:
        return None
    chosen = by_name[rank_members(key, by_name)[0]]
    chosen.reason = "spread"
    return chosen


class ServerSelector:
    """
    Chooses servers by their probability of failure, load and distance.

    :param catalog: the listed servers.
    :param get_evidence: function from a server's name to its ``ServerEvidence``.
    :param loss_tracker: a :class:`~lavendermast.losstracker.LossTracker`.
    :param has_connection: function of a server and of whether the request is
        retryable; returns whether an open connection can be reused.
    :param rate_limits: the :class:`~lavendermast.ratelimits.RateLimits` of servers.
    :param notices: the :class:`~lavendermast.notices.ServerNotices`.
    :param vms: number of VMs of the region that choose servers concurrently.
    :param region_policy: a :class:`~lavendermast.regions.RegionPolicy`; by default
        servers of all regions are compared by cost.
    """

    def __init__(
        self,
        catalog,
        get_evidence,
        zone,
        region,
        clock,
        random,
        loss_tracker,
        has_connection,
        rate_limits,
        notices,
        vms=1,
        region_policy=None,
    ):
        self._catalog = catalog
        self._get_evidence = get_evidence
        self._zone = zone
        self._region = region
        self._clock = clock
        self._random = random
        self._trial_credit = 0.0
        self._max_unconfirmed_share = MAX_UNCONFIRMED_SHARE / vms
        self._first_choice_at = {}
        self._loss_tracker = loss_tracker
        self._has_connection = has_connection
        self._rate_limits = rate_limits
        self._notices = notices
        self._vms = vms
        self.region_policy = region_policy or CheapestFirst()

    def choose(
        self,
        service,
        response_bytes,
        excluded=(),
        trial=None,
        is_first=False,
        retryable=True,
        spread_key="",
        allowance=None,
    ):
        """
        Return the best ``Candidate``, or ``None`` if no live server may get a request.

        :param response_bytes: expected bytes that count for the distance to a server
            (see :class:`~lavendermast.regions.RegionPolicy`).
        :param excluded: names of servers not to use.
        :param trial: a :class:`TrialRule`, ``None`` for no trial.
        :param is_first: whether the attempt is the request's first; only first attempts
            are sent to idle servers to keep the floor (see ``LossTracker``).
        :param retryable: whether the request may run twice.
        :param spread_key: if not empty, the server is chosen by it and not by cost, so
            that requests with different keys go to different servers.
        :param allowance: if not ``None``, only servers with fewer requests in flight
            than their slots and this number are used, and of those that cost about the
            same one with less load, but not always the one with least.
        """
        now = self._clock.monotonic()
        first_choice_at = self._first_choice_at.setdefault(service, now)
        near, far = [], []
        for listed in self._catalog.get_servers(service):
            server = listed.server
            if self._is_live(listed) and server.name not in excluded:
                (near if server.region == self._region else far).append(listed)

        def assess(listed):
            return self._assess(listed, response_bytes, retryable, now)

        in_region = [assess(listed) for listed in near]
        usable = self._find_usable(in_region, far, response_bytes, assess)
        if spread_key:
            return _choose_by_key(usable, spread_key)
        if is_first:
            floor_server = self._find_floor_server(
                service, in_region, now, first_choice_at
            )
            if floor_server is not None:
                return floor_server
        if trial is not None:
            due = self._find_trial(in_region, now, first_choice_at, trial)
            if due is not None:
                return due
        chosen = self._choose_by_cost(usable, allowance, now)
        if chosen is None:
            return None
        chosen.awaits_evidence = self._awaits_evidence(chosen, in_region)
        return chosen

    def _find_usable(self, in_region, far, response_bytes, assess):
        """Return the candidates of all regions that may get a request."""
        usable, at_limit = self._split_by_room(in_region)
        # A server of another region costs at least its distance.
        distance = REGION_COST + REGION_COST_PER_BYTE * response_bytes
        if self.region_policy.needs_others(usable, distance):
            remote, remote_at_limit = self._split_by_room(map(assess, far))
            usable += remote
            at_limit += remote_at_limit
        if all(c.is_doubtful for c in at_limit):
            return usable
        return [c for c in usable if c.fill < MAX_OVERFLOW_FILL and not c.is_doubtful]

    def _choose_by_cost(self, usable, allowance, now):
        if allowance is None:
            return min(usable, key=get_cost, default=None)
        usable = [
            c for c in usable if self._count_free(c.listed, c.pending, allowance, now)
        ]
        if not usable:
            return None
        limit = min(map(get_cost, usable)) + SPREAD_COST
        cheap = [c for c in usable if c.cost <= limit]
        return min(self._random.sample(cheap, min(len(cheap), 2)), key=get_cost)

    def count_free_slots(self, service, allowance):
        """
        Return the ``FreeSlots`` of a service.

        :param allowance: requests that a server may have in flight beyond its slots.
        """
        now = self._clock.monotonic()
        live = [s for s in self._catalog.get_servers(service) if self._is_live(s)]
        weights = {s.server.name: self._compute_weight(s, now) for s in live}
        if all(weight < 1.0 for weight in weights.values()):
            weights = dict.fromkeys(weights, 1.0)
        with_room = [s for s in live if self._has_room(s)]
        delay_s, max_rate = 0.0, math.inf
        forecast = None if with_room else self.forecast_room(service)
        if forecast is not None:
            delay_s, max_rate = forecast.delay_s, 1.0 / forecast.interval_s
        pending = {
            s.server.name: self._get_evidence(s.server.name).count_pending(now)
            for s in live
        }
        free = {True: 0, False: 0}
        for listed in with_room:
            name, is_near = listed.server.name, listed.server.region == self._region
            count = self._count_free(listed, pending[name], allowance, now)
            free[is_near] += count * weights[name]
        in_flight = sum(
            pending[s.server.name]
            for s in live
            if s.server.region == self._region and weights[s.server.name] == 1.0
        )
        slots = sum(s.slots for s in live) / max(len(live), 1)
        return FreeSlots(
            free[True], free[False], len(live), in_flight, slots, delay_s, max_rate
        )

    def _compute_weight(self, listed, now):
        """
        Return the part of a server's slots that counts as capacity.

        A doubtful server counts by the probability that it is healthy: without any part
        it would get no requests that show its recovery while the others are full.
        """
        evidence = self._get_evidence(listed.server.name)
        sick_probability = evidence.compute_sick_probability(now)
        return 1.0 - sick_probability if is_doubtful(sick_probability) else 1.0

    def _count_free(self, listed, pending, allowance, now):
        """Return how many requests a server with some in flight may get now."""
        name = listed.server.name
        if now < self._get_evidence(name).full_until:
            return 0
        free = max(listed.slots + allowance - pending, 0)
        is_limited = not math.isinf(self._rate_limits.get_rate(name))
        return min(free, 1) if is_limited else free

    def _split_by_room(self, candidates):
        """Return the candidates below their rate limits, and the others."""
        usable, at_limit = [], []
        for candidate in candidates:
            has_room = self._has_room(candidate.listed)
            (usable if has_room else at_limit).append(candidate)
        return usable, at_limit

    def forecast_room(self, service):
        """
        Return when a server may get a request that is well but at its rate limit.

        The VMs of the region share what limited servers take, here in equal parts.

        :return: a ``RoomForecast``, or ``None`` if there is no such server.
        """
        now = self._clock.monotonic()
        delays, rate = [], 0.0
        for listed in self._catalog.get_servers(service):
            name = listed.server.name
            if not self._is_live(listed) or self._has_room(listed):
                continue
            sick_probability = self._get_evidence(name).compute_sick_probability(now)
            if not is_doubtful(sick_probability):
                pause = self._notices.compute_pause(listed)
                delays.append(max(self._rate_limits.forecast_delay(name), pause))
                limit = self._rate_limits.get_rate(name)
                unlimited = RETURN_RATE_PER_SLOT * listed.slots
                rate += unlimited if math.isinf(limit) else limit
        if not delays:
            return None
        return RoomForecast(min(delays), self._vms / rate if rate else math.inf)

    def _is_live(self, listed):
        """Return whether neither its entry nor its responses say that it leaves."""
        is_live = listed.server.state is ServerState.LIVE
        return is_live and not self._notices.is_leaving(listed)

    def _has_room(self, listed):
        """Return whether a server's rate limit and pause allow another request."""
        if self._notices.compute_pause(listed):
            return False
        return self._rate_limits.compute_delay(listed.server.name) == 0.0

    def _awaits_evidence(self, chosen, in_region):
        if chosen.sick_probability < MAX_HEALTHY_SICK_PROBABILITY:
            return False
        if chosen.sick_probability < MIN_SUSPECT_SICK_PROBABILITY:
            return chosen.pending >= MAX_UNCONFIRMED_PENDING
        servers_in_use = sum(candidate.pending > 0 for candidate in in_region)
        return (
            servers_in_use > 0
            and servers_in_use >= self._max_unconfirmed_share * len(in_region)
        )

    def _find_floor_server(self, service, in_region, now, first_choice_at):
        """Return an idle server to use so that the floor is kept, or ``None``."""
        if START_SPREAD_FROM_S <= now - first_choice_at <= START_SPREAD_UNTIL_S:
            idle = [c for c in in_region if self._is_unused(c.listed, first_choice_at)]
            return self._choose_for_floor(in_region, idle, MAX_START_SICK_PROBABILITY)
        idle = [
            c
            for c in in_region
            if self._is_idle(c.listed, now, first_choice_at, FLOOR_IDLE_S)
        ]
        # Requests may turn out to be lost later, as when VMs fail while they are in
        # flight. So servers that are probably healthy are used at all times.
        chosen = self._choose_for_floor(
            [c for c in in_region if not c.is_doubtful],
            [c for c in idle if not c.is_doubtful],
            margin=HEALTHY_FLOOR_MARGIN,
        )
        if chosen is not None:
            return chosen
        # A generator: read only when the lost requests have to be counted again.
        names = (candidate.listed.server.name for candidate in in_region)
        max_sick_probability = self._loss_tracker.find_max_sick_probability(
            service, names, now
        )
        if max_sick_probability is None:
            return None
        return self._choose_for_floor(in_region, idle, max_sick_probability)

    def _choose_for_floor(
        self, servers, idle, max_sick_probability=1.0, margin=FLOOR_MARGIN
    ):
        """Return the best idle server if too few of the servers are in use."""
        if not self._loss_tracker.is_below_floor(
            len(servers) - len(idle), len(servers), margin
        ):
            return None
        chosen = min(
            (c for c in idle if self._has_room(c.listed)), key=get_cost, default=None
        )
        if chosen is None or chosen.sick_probability > max_sick_probability:
            return None
        chosen.reason = "floor"
        return chosen

    def _is_unused(self, listed, first_choice_at):
        """Return whether a server had no request since the first of its service."""
        return self._get_evidence(listed.server.name).last_started < first_choice_at

    def _find_trial(self, in_region, now, first_choice_at, rule):
        """Return a server that is due for a trial, or ``None``."""
        if not self._add_trial_credit():
            return None
        due = [
            c for c in in_region if self._is_trial_due(c, now, first_choice_at, rule)
        ]
        if not due:
            return None
        self._trial_credit -= 1.0
        chosen = min(due, key=get_cost)
        chosen.reason = "trial"
        return chosen

    def _add_trial_credit(self):
        self._trial_credit = min(self._trial_credit + TRIAL_SHARE, 1.0)
        return self._trial_credit >= 1.0

    def _is_trial_due(self, candidate, now, first_choice_at, rule):
        if candidate.pending or candidate.sick_probability > rule.max_sick_probability:
            return False
        if not self._has_room(candidate.listed):
            return False
        return self._is_idle(candidate.listed, now, first_choice_at, rule.idle_s)

    def _is_idle(self, listed, now, first_choice_at, idle_s):
        """
        Return whether a server had no request for ``idle_s`` seconds.

        Time before the server was listed, or before the service's first request, does
        not count.
        """
        evidence = self._get_evidence(listed.server.name)
        return (
            now - max(evidence.last_started, listed.listed_at, first_choice_at) > idle_s
        )

    def _assess(self, listed, response_bytes, retryable, now):
        evidence = self._get_evidence(listed.server.name)
        sick_probability = evidence.compute_sick_probability(now)
        pending = evidence.count_pending(now)
        cost = SICK_SERVER_COST * sick_probability
        cost += LOAD_COST * min(pending / listed.slots, 1.0) ** 2
        if pending >= listed.slots:
            cost += QUEUE_COST * (pending - listed.slots + 1) / listed.slots
        if now < evidence.busy_until:
            cost += QUEUE_COST
        if now < listed.warm_until:
            cost += WARM_UP_COST * (1 + pending)
        if not self._has_connection(listed.server, retryable):
            cost += CONNECT_COST
        cost += self._compute_distance_cost(listed.server, response_bytes)
        cost += self._random.random() * MAX_RANDOM_COST
        age = None
        if evidence.last_started:
            age = round((now - evidence.last_started) * 1000)
        return Candidate(listed, cost, sick_probability, pending, age)

    def _compute_distance_cost(self, server, response_bytes):
        if server.zone == self._zone:
            return 0.0
        if server.region == self._region:
            return ZONE_COST + ZONE_COST_PER_BYTE * response_bytes
        return REGION_COST + REGION_COST_PER_BYTE * response_bytes
