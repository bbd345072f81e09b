"""Choice of a backend server for each attempt."""

import abc
import math

import attrs

from .hashing import rank_members
from .limits import ConcurrencyLimit
from .models import AttemptStatus, Choice, ServerState

#: Time constant in which a load hint loses 63% of its effect. A VM gets responses from
#: each of 12 servers a few times a second. With 0.25 s, a spike of 1.5 times the
#: capacity filled 71% of the slots instead of 85% (docs/admission.md).
HINT_DECAY_S = 1.0
#: Hinted share of busy slots from which a server in another region is preferred to a
#: near one. With 6 slots it is reached when 5 are busy.
MAX_NEAR_LOAD = 0.8
#: Suffix of the reason when the chosen server's load is MAX_NEAR_LOAD or above. Short
#: requests overflow to the long group when all other servers are that loaded or
#: unavailable.
LOADED_SUFFIX = "-loaded"
#: Random draws by weight before all servers of a tier are scanned.
MAX_DRAWS = 6
#: Time for which a draining server gets no requests here. Within 3 s the health tracker
#: and the VM list exclude it as well.
DRAIN_PAUSE_S = 5.0
#: Time for which the sum of the servers' limits is cached, which bounds its cost at 500
#: servers to about 2% of a core.
CAPACITY_CACHE_S = 0.005


@attrs.define(eq=False)
class _ServerLoad:
    """
    Load of one server.

    ``short`` and ``long`` count the attempts in flight by class of work.
    """

    server: object
    limit: ConcurrencyLimit
    short: int = 0
    long: int = 0
    load: float = 0.0
    load_at: float = 0.0
    listed: bool = True

    @property
    def in_flight(self):
        return self.short + self.long

    def get_load(self, now):
        """Return the decayed load hint."""
        if self.load == 0.0:
            return 0.0
        return self.load * math.exp((self.load_at - now) / HINT_DECAY_S)


class Balancer(abc.ABC):
    """Chooses the server for an attempt and counts the attempts in flight."""

    @abc.abstractmethod
    def choose(self, route, excluded=()):
        """
        Choose a server without starting an attempt.

        :param route: settings of the request's route.
        :param excluded: names of servers that the request has already tried.
        :return: a ``Choice``, or ``None`` when no server is available.
        """

    @abc.abstractmethod
    def replace_servers(self, servers):
        """Apply a new list of servers; attempts in flight stay counted."""

    @abc.abstractmethod
    def start(self, server_name, work):
        """Count an attempt that is about to be sent."""

    @abc.abstractmethod
    def finish(self, server_name, work, result):
        """Count an attempt as ended and apply its result to load and limit."""

    @abc.abstractmethod
    def get_capacity(self, work):
        """Return how many requests of a class this VM may have in flight now."""


class TwoChoiceBalancer(Balancer):
    """
    Power of two choices by weight.

    Servers of this region come first; long requests use a separate group of servers.

    >>> import random
    >>> from lavendermast.clock import ManualClock
    >>> from lavendermast.models import Server
    >>> from lavendermast.settings_model import Route, Service
    >>> service = Service.from_config({"expected_servers": 1, "floor": 0.5})
    >>> balancer = TwoChoiceBalancer.from_config(
    ...     "stock", service, ManualClock(), random.Random(1), lambda name: 1, "r"
    ... )
    >>> balancer.replace_servers([Server("s1", "stock", "r", "a", "127.0.0.1:80")])
    >>> route = Route.from_config(
    ...     {"method": "GET", "path": "/", "service": "stock", "idempotent": True}
    ... )
    >>> balancer.choose(route).server.name
    's1'
    """

    def __init__(self, service, clock, random, get_weight, local_region):
        self._service = service
        self._clock = clock
        self._random = random
        self._get_weight = get_weight
        self._local_region = local_region
        self._long_count = 0
        self._service_name = ""
        self._states = {}
        self._long_tiers = ()
        self._other_tiers = ()
        self._capacity = {}

    @classmethod
    def from_config(
        cls,
        service_name,
        service,
        clock,
        random,
        get_weight,
        local_region,
        has_long_routes=True,
    ):
        """
        Return a balancer without servers.

        :param service_name: key of the rendezvous hash for the long group.
        :param service: settings of the service.
        :param clock: source of time.
        :param random: ``random.Random`` for draws.
        :param get_weight: function from a server's name to its weight, 0 to 1.
        :param local_region: region of this VM.
        :param has_long_routes: whether a route of the service has long work.
        :return: the balancer.
        """
        balancer = cls(service, clock, random, get_weight, local_region)
        balancer._service_name = service_name
        if has_long_routes:
            # Rounded because a floating-point error in a product such as 0.25 * 12
            # would otherwise raise the count to 4.
            share = round(service.long_share * service.expected_servers, 9)
            balancer._long_count = math.ceil(share)
        return balancer

    def replace_servers(self, servers):
        """See ``Balancer.replace_servers``."""
        for state in self._states.values():
            state.listed = False
        for server in servers:
            if server.state is not ServerState.LIVE:
                continue
            state = self._states.get(server.name)
            if state is None:
                limit = ConcurrencyLimit.from_config(
                    self._service, self._clock, self._random
                )
                self._states[server.name] = _ServerLoad(server, limit)
            else:
                state.server = server
                state.listed = True
        self._states = {
            name: state
            for name, state in self._states.items()
            if state.listed or state.in_flight
        }
        listed = {name: state for name, state in self._states.items() if state.listed}
        group = set(rank_members(self._service_name, listed)[: self._long_count])
        self._long_tiers = self._make_tiers(
            state for name, state in listed.items() if name in group
        )
        self._other_tiers = self._make_tiers(
            state for name, state in listed.items() if name not in group
        )
        self._capacity.clear()

    @property
    def long_group(self):
        """Names of the servers for long requests; empty without a group."""
        return {state.server.name for tier in self._long_tiers for state in tier[1]}

    def get_in_flight(self, server_name, work):
        """Return the attempts of a class in flight at a server."""
        state = self._states.get(server_name)
        return getattr(state, work) if state else 0

    def choose(self, route, excluded=()):
        """See ``Balancer.choose``."""
        now = self._clock.monotonic()
        if route.work == "long" and self._long_count:
            return self._choose_from_tiers(
                self._long_tiers, now, excluded, "long-group"
            )
        choice = self._choose_from_tiers(self._other_tiers, now, excluded, "")
        if not self._long_count or not self._is_overloaded(choice, now):
            return choice
        long_choice = self._choose_from_tiers(
            self._long_tiers, now, excluded, "overflow"
        )
        if choice is None or (
            long_choice and not long_choice.reason.endswith(LOADED_SUFFIX)
        ):
            return long_choice
        return choice

    def start(self, server_name, work):
        """See ``Balancer.start``."""
        state = self._states[server_name]
        if work == "long":
            state.long += 1
        else:
            state.short += 1

    def finish(self, server_name, work, result):
        """See ``Balancer.finish``."""
        state = self._states.get(server_name)
        if state is None:
            return
        now = self._clock.monotonic()
        state.limit.record(result, state.in_flight)
        if state.limit.busy_until > now:
            # A busy server's capacity is only what it has in flight.
            self._capacity.clear()
        if work == "long":
            state.long = max(0, state.long - 1)
        else:
            state.short = max(0, state.short - 1)
        if result.load is not None:
            state.load = result.load
            state.load_at = now
        if result.status is AttemptStatus.SHED:
            state.load = 1.0
            state.load_at = now
            self._capacity.clear()
        elif result.status is AttemptStatus.DRAINING:
            state.limit.busy_until = now + DRAIN_PAUSE_S
            self._capacity.clear()
        if not state.listed and not state.in_flight:
            del self._states[server_name]

    def get_capacity(self, work):
        """See ``Balancer.get_capacity``."""
        now = self._clock.monotonic()
        cached = self._capacity.get(work)
        if cached is not None and cached[0] > now:
            return cached[1]
        if work == "long" and self._long_count:
            total = self._sum_capacity(self._long_tiers, now, "short")
        else:
            total = self._sum_capacity(self._other_tiers, now, None)
            total += self._sum_capacity(self._long_tiers, now, "long")
        self._capacity[work] = (now + CAPACITY_CACHE_S, total)
        return total

    def _sum_capacity(self, tiers, now, other_work):
        """
        Return the capacity of the servers.

        The attempts of class ``other_work`` in flight are subtracted.
        """
        total = 0
        for _, states in tiers:
            for state in states:
                if self._get_weight(state.server.name) <= 0.0:
                    continue
                if state.limit.busy_until > now:
                    capacity = state.in_flight
                else:
                    capacity = max(state.limit.allowed, state.in_flight)
                if other_work:
                    capacity -= getattr(state, other_work)
                total += capacity
        return total

    def _make_tiers(self, states):
        # All zones of the region are one tier. A server that only VMs of its own zone
        # used would have no witness in a second zone, so no verdict would be possible.
        tiers = {"region": [], "far": []}
        for state in states:
            near = state.server.region == self._local_region
            tiers["region" if near else "far"].append(state)
        return tuple((name, tier) for name, tier in tiers.items() if tier)

    def _is_overloaded(self, choice, now):
        """
        Return whether the servers outside the long group have no room for a request.

        This holds without a choice. It also holds when the choice is loaded and so are
        all other available servers, including those that the request already tried.
        """
        if choice is None:
            return True
        if not choice.reason.endswith(LOADED_SUFFIX):
            return False
        return not any(
            self._is_available(state, now, ())
            and state.get_load(now) < MAX_NEAR_LOAD
            and self._get_weight(state.server.name) > 0.0
            for _, states in self._other_tiers
            for state in states
        )

    def _choose_from_tiers(self, tiers, now, excluded, prefix):
        fallback = None
        for name, states in tiers:
            pair = self._draw(states, now, excluded)
            if not pair:
                continue
            state = min(pair, key=lambda item: self._compute_score(item, now))
            if state.get_load(now) < MAX_NEAR_LOAD:
                return self._make_choice(state, pair, now, prefix, name)
            if fallback is None or self._compute_score(
                state, now
            ) < self._compute_score(fallback[0], now):
                fallback = (state, pair, now, prefix, name + LOADED_SUFFIX)
        return self._make_choice(*fallback) if fallback else None

    def _compute_score(self, state, now):
        return state.in_flight + state.get_load(now) * self._service.slots

    def _make_choice(self, state, pair, now, prefix, tier):
        reason = f"{prefix}-{tier}" if prefix else tier
        candidates = ",".join(
            f"{item.server.name}:{item.in_flight}:{item.get_load(now):.2f}"
            for item in pair
        )
        return Choice(state.server, reason, candidates)

    def _is_available(self, state, now, excluded):
        return (
            state.limit.busy_until <= now
            and state.limit.has_room(state.in_flight)
            and state.server.name not in excluded
        )

    def _draw(self, states, now, excluded):
        """Return up to two available servers, drawn by weight."""
        count = len(states)
        draw = self._random.random
        first = None
        # Rejection sampling by weight needs no sum over the servers.
        for _ in range(MAX_DRAWS):
            state = states[int(draw() * count)]
            if state is first or not self._is_available(state, now, excluded):
                continue
            if draw() >= self._get_weight(state.server.name):
                continue
            if first is not None:
                return (first, state)
            first = state
            if count == 1:
                break
        if first is not None:
            return (first,)
        return self._scan(states, now, excluded)

    def _scan(self, states, now, excluded):
        """Return up to two servers drawn by weight from all available ones."""
        usable, weights = [], []
        for state in states:
            if not self._is_available(state, now, excluded):
                continue
            weight = self._get_weight(state.server.name)
            if weight > 0.0:
                usable.append(state)
                weights.append(weight)
        if len(usable) < 2:
            return tuple(usable)
        pair = self._random.choices(usable, weights, k=2)
        return (pair[0],) if pair[0] is pair[1] else tuple(pair)
