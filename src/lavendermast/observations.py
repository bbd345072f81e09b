"""Attempts of this VM at one service's servers, as evidence for and against them."""

import collections

import attrs

from .messages_model import EvidenceEntry
from .models import AttemptStatus
from .samples import (
    CUT,
    ERRORS,
    KINDS,
    OK,
    SLOW,
    TIMEOUTS,
    RouteLatencies,
    SlidingCounts,
    find_cause,
    is_beyond_chance,
)

#: One VM sees a server about once a second, so its own evidence spans more windows
#: than the judges', who see the fleet's.
OWN_WINDOWS = 5
#: References change little within a fraction of the window.
REFRESHES_PER_WINDOW = 8
#: From this share of bad attempts on, good ones are reported as promptly. Otherwise,
#: in a common slowdown, each server would look worse than the service.
TROUBLED_SHARE = 0.1

_KIND_BY_STATUS = {
    AttemptStatus.OK: OK,
    AttemptStatus.ERROR: ERRORS,
    AttemptStatus.TIMEOUT: TIMEOUTS,
    AttemptStatus.CONNECT_FAILED: TIMEOUTS,
    AttemptStatus.CUT: CUT,
}


@attrs.define(eq=False)
class Attempt:
    """
    An attempt in flight.

    :param counted: whether it was counted as slow before it ended.
    :param void: whether it spans a pause of this VM and says nothing.
    """

    server_name: str
    route_name: str
    started: float
    counted: bool = False
    void: bool = False


@attrs.define(eq=False)
class _Observed:
    server: object
    counts: SlidingCounts
    unreported: list = attrs.Factory(lambda: [0] * len(KINDS))


class Observations:
    """
    Counts of attempts by server.

    Shed and draining answers, expired and cancelled attempts are not counted.

    :param name: the service.
    :param detection: its thresholds.

    ``suspects`` names the servers with any bad attempt; there are few, and only they
    need a look at every step.
    """

    def __init__(self, name, detection):
        self._name = name
        self._detection = detection
        self._window_s = detection.window_ms / 1000
        self.suspects = set()
        self._servers = {}
        self._routes = {}
        self._in_flight = {}
        self._totals = (-1.0, {})
        self._recent = SlidingCounts(self._window_s)
        self._next_refresh = 0.0

    def add_server(self, server):
        """Observe a server, or note that its address or state changed."""
        observed = self._servers.get(server.name)
        if observed is None:
            counts = SlidingCounts(self._window_s * OWN_WINDOWS)
            self._servers[server.name] = _Observed(server, counts)
        else:
            observed.server = server

    def remove_server(self, server_name):
        """Stop observing a server."""
        self._servers.pop(server_name, None)
        self.suspects.discard(server_name)

    def start(self, server_name, route_name, now):
        """Return a handle for an attempt that is being sent now."""
        attempt = Attempt(server_name, route_name, now)
        self._in_flight[id(attempt)] = attempt
        return attempt

    def finish(self, attempt, result, now):
        """Count a finished attempt."""
        self._in_flight.pop(id(attempt), None)
        observed = self._servers.get(attempt.server_name)
        kind = _KIND_BY_STATUS.get(result.status)
        if observed is None or kind is None or attempt.void:
            return
        if kind == OK:
            latency = result.latency or now - attempt.started
            route = self._get_route(attempt.route_name)
            slow = latency > route.get_limit(observed.server)
            route.add(now, observed.server, latency)
            if attempt.counted:
                return
            kind = SLOW if slow else OK
        self._count(observed, kind, now)

    def advance(self, now):
        """Drop old attempts and count those in flight for too long as slow."""
        self._recent.expire(now)
        if now >= self._next_refresh:
            self._next_refresh = now + self._window_s / REFRESHES_PER_WINDOW
            for route in self._routes.values():
                route.refresh(now)
        for attempt in self._in_flight.values():
            observed = self._servers.get(attempt.server_name)
            if attempt.counted or attempt.void or observed is None:
                continue
            route = self._get_route(attempt.route_name)
            if now - attempt.started > route.get_limit(observed.server):
                attempt.counted = True
                self._count(observed, SLOW, now)

    def find_cause(self, server_name, now):
        """Return the ``Finding`` against a server, or ``None``."""
        counts = self._servers[server_name].counts
        counts.expire(now)
        own = counts.totals
        bad = sum(own) - own[OK]
        # Failed attempts are counted, not all: two failures of five by chance are
        # likely somewhere among the fleet's many pairs of VM and server.
        if not bad:
            self.suspects.discard(server_name)
        if bad < self._detection.min_samples:
            return None
        finding = self._compare(own, bad, None, now)
        if not finding or finding.cause != "slow":
            return finding
        # A common slowdown passes the limit first where the link is short.
        region = self._servers[server_name].server.region
        in_region = self._compare(own, bad, region, now)
        return in_region if sum(self._sum_counts(now)[region]) > sum(own) else finding

    def _compare(self, own, bad, region, now):
        totals = self._sum_counts(now)[region]
        others = [max(0, a - b) for a, b in zip(totals, own, strict=True)]
        if not is_beyond_chance(bad, sum(own), others):
            return None
        return find_cause(own, others, self._detection)

    def _sum_counts(self, now):
        """Return the counts by region, and of all under ``None``."""
        moment, totals = self._totals
        if moment != now:
            totals = collections.defaultdict(lambda: [0] * len(KINDS))
            for observed in self._servers.values():
                observed.counts.expire(now)
                for region in (observed.server.region, None):
                    for kind, count in enumerate(observed.counts.totals):
                        totals[region][kind] += count
            self._totals = (now, totals)
        return totals

    def clear_server(self, server_name):
        """Drop the evidence on one server; the judges still receive it."""
        self._servers[server_name].counts.clear()
        self.suspects.discard(server_name)

    def void(self):
        """Drop all evidence, attempts in flight included, after a pause."""
        for attempt in self._in_flight.values():
            attempt.void = True
        self._recent.clear()
        self._routes = {}
        self.suspects.clear()
        for observed in self._servers.values():
            observed.counts.clear()
            observed.unreported = [0] * len(KINDS)

    def collect(self, include_quiet):
        """
        Return unreported attempts as ``EvidenceEntry`` objects.

        :param include_quiet: whether servers without a failure are included.
        """
        recent = self._recent.totals
        if sum(recent) - recent[OK] >= TROUBLED_SHARE * sum(recent):
            include_quiet = True
        entries = []
        for name, observed in self._servers.items():
            counts = observed.unreported
            total = sum(counts)
            if total and (include_quiet or total > counts[OK]):
                entries.append(self._build_entry(name, counts))
                observed.unreported = [0] * len(KINDS)
        if entries:
            entries.append(self._build_entry("", self._recent.totals))
        return entries

    def _build_entry(self, server_name, counts):
        fields = dict(zip(KINDS, counts, strict=True))
        return EvidenceEntry(service=self._name, server=server_name, **fields)

    def _get_route(self, name):
        route = self._routes.get(name)
        if route is None:
            route = RouteLatencies(self._window_s, self._detection)
            self._routes[name] = route
        return route

    def _count(self, observed, kind, now):
        if kind != OK:
            self.suspects.add(observed.server.name)
        observed.counts.add(kind, now)
        observed.unreported[kind] += 1
        self._recent.add(kind, now)
