"""Rate limits that servers name in their responses, kept by all VMs together."""

import collections
import math

import attrs

#: Time over which the use of a limited server is measured.
USAGE_WINDOW_S = 4.0
#: Requests that an unused server may get at once from the VMs of a region. For those of
#: its own region it is at least what the limit allows in NEAR_BURST_S.
BURST_REQUESTS = 1.0
NEAR_BURST_S = 0.5
#: A server that got more than its limit allows is not avoided longer than this.
MAX_DEBT_S = 4.0
#: Lower limits count as this one, one request in 5 s: only a response tells that a
#: limit has ended.
MIN_RATE_LIMIT = 0.2
#: Age up to which the spare rate that a region reported is used.
MAX_SPARE_AGE_S = 2.0
#: Share of a limit that all other regions use when the server's region reports nothing.
UNREPORTED_SHARE = 0.5
#: Share of a region's rate that all its inactive VMs use together. Callers' requests
#: still reach them, but no reports of the active ones do.
INACTIVE_SHARE = 0.25


@attrs.define(eq=False)
class _LimitedServer:
    """
    Limit and use of one server; times are monotonic.

    :param limit: requests per second, infinite without a limit.
    :param observed_at: time of the response that the limit is from.
    :param level: requests that may be sent now; negative after too many.
    :param starts: times of the attempts of this region in ``USAGE_WINDOW_S``.
    :param spare: requests per second that the server's region leaves to the others,
        reported at ``spare_at``.
    """

    limit: float = math.inf
    observed_at: float = -math.inf
    level: float = 0.0
    updated_at: float = 0.0
    starts: collections.deque = attrs.Factory(collections.deque)
    spare: float = 0.0
    spare_at: float = -math.inf

    @property
    def is_limited(self):
        """Whether the last known response of the server names a limit."""
        return not math.isinf(self.limit)


class RateLimits:
    """
    Decides which limited servers may get a request.

    Each VM counts the attempts of all VMs of its region, its own and the reported ones,
    against one token bucket per server. The VMs of the server's region may use the
    whole limit; those of other regions share what these leave.

    :param is_near: function from a server's name to whether it is in this VM's region.
    :param regions: number of regions of the fleet.
    :param get_share: function that returns the part of the region's rate that this VM
        may use: 1 if it gets the reports of the others, see ``INACTIVE_SHARE``.

    >>> from lavendermast.clock import ManualClock
    >>> clock = ManualClock(10.0)
    >>> limits = RateLimits(clock, lambda event, **fields: None, lambda name: True)
    >>> limits.observe("s1", 2.0, 10.0, "response")
    >>> limits.compute_delay("s1")
    0.5
    >>> clock.advance(0.5)
    >>> limits.compute_delay("s1")
    0.0
    """

    def __init__(self, clock, record_event, is_near, regions=1, get_share=lambda: 1.0):
        self._clock = clock
        self._record_event = record_event
        self._is_near = is_near
        self._regions = regions
        self._get_share = get_share
        self._servers = {}

    def observe(self, name, limit, observed_at, source):
        """
        Apply what a response of a server says of its limit.

        :param limit: requests per second, infinite if the response names none.
        :param observed_at: time of the response; earlier ones than the last are
            ignored.
        :param source: ``response``, or the VM or region that reported it.
        """
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = _LimitedServer()
        if observed_at <= server.observed_at:
            return
        server.observed_at = observed_at
        # Reports carry 32-bit floats.
        limit = round(max(limit, MIN_RATE_LIMIT), 3)
        if limit == server.limit:
            return
        now = self._clock.monotonic()
        if not server.is_limited:
            server.level, server.updated_at = 0.0, now
            server.starts.clear()
        server.limit = limit
        self._record_event(
            "server_limit",
            server=name,
            rate_limit=limit if server.is_limited else None,
            age_ms=round((now - observed_at) * 1000),
            source=source,
        )

    def remove(self, name):
        """Drop what is known of a server that was removed."""
        self._servers.pop(name, None)

    def reset(self, name):
        """End the limit of a server that has restarted; older responses are ignored."""
        self._servers[name] = _LimitedServer(observed_at=self._clock.monotonic())

    def count_start(self, name, started):
        """Count an attempt at a server, of this VM or reported by another."""
        server = self._find_limited(name)
        if server is None:
            return
        debt = max(self._refill(name, server) * MAX_DEBT_S, 1.0)
        server.level = max(server.level - 1.0, -debt)
        server.starts.append(started)

    def compute_delay(self, name):
        """Return the seconds until a server may get a request, 0 if it may now."""
        server = self._find_limited(name)
        if server is None:
            return 0.0
        rate = self._refill(name, server)
        if server.level >= 1.0:
            return 0.0
        return (1.0 - server.level) / rate if rate else math.inf

    def forecast_delay(self, name):
        """Return the seconds until any VM of the region may send a request."""
        if self._get_share() < 1.0:
            # The level of this VM says nothing about that of the others.
            rate = self.get_rate(name)
            return 1.0 / rate if rate else math.inf
        return self.compute_delay(name)

    def get_rate(self, name):
        """Return the requests per second that this region may send to a server."""
        server = self._find_limited(name)
        if server is None:
            return math.inf
        return self._compute_rate(server, self._is_near(name))

    def make_summary(self, name):
        """
        Return limit, its age in seconds and the spare rate of a server of this region.

        The limit is 0 if no response of the server is known.
        """
        server = self._servers.get(name)
        if server is None:
            return 0.0, 0.0, 0.0
        now = self._clock.monotonic()
        age = max(now - server.observed_at, 0.0)
        if not server.is_limited:
            return math.inf, age, 0.0
        self._drop_old_starts(server, now)
        used = len(server.starts) / USAGE_WINDOW_S
        return server.limit, age, max(server.limit - used, 0.0)

    def apply_spare(self, name, spare):
        """Apply the spare rate that the region of a server reports."""
        server = self._servers.get(name)
        if server is None:
            return
        if server.is_limited:
            self._refill(name, server)
        server.spare, server.spare_at = spare, self._clock.monotonic()

    def count_limited(self):
        """Return the number of servers with a limit."""
        return sum(server.is_limited for server in self._servers.values())

    def _find_limited(self, name):
        server = self._servers.get(name)
        return server if server is not None and server.is_limited else None

    def _compute_rate(self, server, near):
        if near:
            return server.limit
        if self._clock.monotonic() - server.spare_at > MAX_SPARE_AGE_S:
            return server.limit * UNREPORTED_SHARE / self._regions
        return server.spare / max(self._regions - 1, 1)

    def _refill(self, name, server):
        """Add what the time since the last call allows; return the rate."""
        now = self._clock.monotonic()
        near = self._is_near(name)
        rate = self._compute_rate(server, near) * self._get_share()
        burst = max(BURST_REQUESTS, rate * NEAR_BURST_S) if near else BURST_REQUESTS
        level = server.level + rate * (now - server.updated_at)
        server.level, server.updated_at = min(level, burst), now
        self._drop_old_starts(server, now)
        return rate

    def _drop_old_starts(self, server, now):
        starts = server.starts
        while starts and starts[0] < now - USAGE_WINDOW_S:
            starts.popleft()
