"""This VM's attempts at the servers of one service, counted as evidence."""

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
    is_significant,
)

#: Windows over which local evidence is counted. One VM sends a server about one request
#: a second, so it needs more windows than the judges, which receive the whole fleet's.
LOCAL_WINDOWS = 5
#: Updates of the reference latencies in a window; they change little in between.
REFRESHES_PER_WINDOW = 8
#: Share of bad attempts from which servers without a failure are reported as promptly
#: as others. Otherwise, in a common slowdown, each server would look worse than the
#: service.
ELEVATED_FAILURE_SHARE = 0.1

_KIND_BY_STATUS = {
    AttemptStatus.OK: OK,
    AttemptStatus.ERROR: ERRORS,
    AttemptStatus.TIMEOUT: TIMEOUTS,
    AttemptStatus.CONNECT_FAILED: TIMEOUTS,
    AttemptStatus.CUT: CUT,
}


@attrs.define(eq=False)
class InFlightAttempt:
    """
    An attempt in flight.

    :param counted_slow: whether it was counted as slow before it ended.
    :param spans_pause: whether it spans a pause of this VM and must not be counted.
    """

    server_name: str
    route_name: str
    started: float
    counted_slow: bool = False
    spans_pause: bool = False


@attrs.define(eq=False)
class _ObservedServer:
    server: object
    counts: SlidingCounts
    unreported: list = attrs.Factory(lambda: [0] * len(KINDS))


class Observations:
    """
    Counts of attempts by server.

    Shed and draining responses and expired or cancelled attempts are not counted.

    :param name: the service.
    :param detection: its thresholds.

    ``servers_to_check`` names the few servers with any bad attempt; only these need an
    evaluation at every step.
    """

    def __init__(self, name, detection):
        self._name = name
        self._detection = detection
        self._window_s = detection.window_ms / 1000
        self.servers_to_check = set()
        self._servers = {}
        self._routes = {}
        self._in_flight = {}
        self._totals = (-1.0, {})
        self._recent = SlidingCounts(self._window_s)
        self._next_refresh = 0.0

    def add_server(self, server):
        """Add a server, or update its address and state."""
        observed = self._servers.get(server.name)
        if observed is None:
            counts = SlidingCounts(self._window_s * LOCAL_WINDOWS)
            self._servers[server.name] = _ObservedServer(server, counts)
        else:
            observed.server = server

    def remove_server(self, server_name):
        """Remove a server."""
        self._servers.pop(server_name, None)
        self.servers_to_check.discard(server_name)

    def start(self, server_name, route_name, now):
        """Record an attempt that is being sent now, and return its handle."""
        attempt = InFlightAttempt(server_name, route_name, now)
        self._in_flight[id(attempt)] = attempt
        return attempt

    def finish(self, attempt, result, now):
        """Count a finished attempt."""
        self._in_flight.pop(id(attempt), None)
        observed = self._servers.get(attempt.server_name)
        kind = _KIND_BY_STATUS.get(result.status)
        if observed is None or kind is None or attempt.spans_pause:
            return
        if kind == OK:
            latency = result.latency or now - attempt.started
            route = self._get_route(attempt.route_name)
            slow = latency > route.get_slow_threshold(observed.server)
            route.add(now, observed.server, latency)
            if attempt.counted_slow:
                return
            kind = SLOW if slow else OK
        self._count(observed, kind, now)

    def advance(self, now):
        """Expire old attempts; count those in flight beyond the threshold as slow."""
        self._recent.expire(now)
        if now >= self._next_refresh:
            self._next_refresh = now + self._window_s / REFRESHES_PER_WINDOW
            for route in self._routes.values():
                route.refresh(now)
        for attempt in self._in_flight.values():
            observed = self._servers.get(attempt.server_name)
            if attempt.counted_slow or attempt.spans_pause or observed is None:
                continue
            route = self._get_route(attempt.route_name)
            if now - attempt.started > route.get_slow_threshold(observed.server):
                attempt.counted_slow = True
                self._count(observed, SLOW, now)

    def find_cause(self, server_name, now):
        """Return the ``Finding`` against a server, or ``None``."""
        counts = self._servers[server_name].counts
        counts.expire(now)
        own = counts.totals
        bad = sum(own) - own[OK]
        # min_samples applies to bad attempts rather than to all: among the fleet's many
        # pairs of VM and server, two chance failures of five attempts are likely.
        if not bad:
            self.servers_to_check.discard(server_name)
        if bad < self._detection.min_samples:
            return None
        finding = self._compare(own, bad, None, now)
        if not finding or finding.cause != "slow":
            return finding
        # In a common slowdown, the servers behind the shortest links pass the threshold
        # first. A slow server is therefore compared with others of its own region.
        region = self._servers[server_name].server.region
        region_finding = self._compare(own, bad, region, now)
        return (
            region_finding if sum(self._sum_counts(now)[region]) > sum(own) else finding
        )

    def _compare(self, own, bad, region, now):
        totals = self._sum_counts(now)[region]
        others = [max(0, a - b) for a, b in zip(totals, own, strict=True)]
        if not is_significant(bad, sum(own), others):
            return None
        return find_cause(own, others, self._detection)

    def _sum_counts(self, now):
        """Return the counts by region; ``None`` holds those of all regions."""
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
        """Drop the local evidence on one server; it is still reported to the judges."""
        self._servers[server_name].counts.clear()
        self.servers_to_check.discard(server_name)

    def clear_all(self):
        """Drop all evidence after a pause, also that of attempts in flight."""
        for attempt in self._in_flight.values():
            attempt.spans_pause = True
        self._recent.clear()
        self._routes = {}
        self.servers_to_check.clear()
        for observed in self._servers.values():
            observed.counts.clear()
            observed.unreported = [0] * len(KINDS)

    def collect(self, include_failure_free):
        """
        Return unreported attempts as ``EvidenceEntry`` objects.

        :param include_failure_free: whether servers without a failure are included.
        """
        recent = self._recent.totals
        if sum(recent) - recent[OK] >= ELEVATED_FAILURE_SHARE * sum(recent):
            include_failure_free = True
        entries = []
        for name, observed in self._servers.items():
            counts = observed.unreported
            total = sum(counts)
            if total and (include_failure_free or total > counts[OK]):
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
            self.servers_to_check.add(observed.server.name)
        observed.counts.add(kind, now)
        observed.unreported[kind] += 1
        self._recent.add(kind, now)
