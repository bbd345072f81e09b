"""Checks of a soak run against what callers and servers observed."""

import collections
import contextlib
import time

import attrs

from standins.instance import DEADLY

#: A VM counts as out of contact until this long after an outage ends, the contact
#: timeout (contact_ms) that the users require.
CONTACT_TIMEOUT_S = 3.0
#: Time after its entry changed to draining in which a server may still get requests.
DRAIN_PROPAGATION_S = 2.5
#: Time after a configuration change in which requests may follow the previous version.
CONFIG_PROPAGATION_S = 2.5
#: Settings of the VMs: a removed key is out of use after this time, and a key that was
#: added is known after CONFIG_LAG_S.
KEY_REMOVAL_S = 5.0
CONFIG_LAG_S = 3.0
#: A request without a response counts as hanging this long after its deadline.
HANG_TOLERANCE_S = 1.0
#: Grace period of a stopping process; at its end, requests may be aborted.
GRACE_S = 6.0
#: Tolerance for the time at which the grace period ends.
GRACE_MARGIN_S = 1.0
#: A server gets at most RATE_FACTOR times the requests that its limit allows in
#: RATE_WINDOW_S, plus RATE_SLACK, from the VMs that returned a response with the limit
#: RATE_NOTICE_S before or earlier.
RATE_WINDOW_S = 4.0
RATE_FACTOR = 1.5
RATE_SLACK = 5
RATE_NOTICE_S = 0.5
#: A server gets at most MAX_REQUESTS_IN_PAUSE requests of a VM from PAUSE_NOTICE_S
#: after it has refused one of them with a pause until the end of the pause.
PAUSE_NOTICE_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
#: A request that has crashed this many servers reaches servers at most
#: MAX_RETRIES_WHEN_HELD times more once CONTACT_TIMEOUT_S have passed.
CRASHES_TO_HOLD = 3
MAX_RETRIES_WHEN_HELD = 3
#: Statuses which state that no server ran the request.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.define
class Call:
    """
    A caller's request.

    Times are monotonic. ``status`` is ``None`` without a complete response;
    ``detail`` then holds the cause. ``server`` is the one that answered.
    """

    id: str
    vm: str
    path: str
    method: str
    started: float
    ended: float = 0.0
    status: int | None = None
    detail: str = ""
    server: str = ""
    key: str = ""


@attrs.define
class Account:
    """
    Record of the requests, faults and observations of a run.

    :param calls: the callers' requests by id.
    :param invalid_responses: responses with status 200 that are not the complete
        response of one server to that request.
    :param faults: start, end, name and detail of each injected fault.
    :param outages: intervals by VM in which it was out of contact; ``""`` stands for
        all VMs.
    :param stops: times of SIGTERM by VM.
    :param restarts: times by VM at which its process was started or paused.
    :param departures: intervals by server in which its responses said that it is
        leaving. A restart of the server ends them.
    :param crashes: times at which the deadly request crashed a server.
    :param drains: time by server at which its entry changed to draining.
    :param moves: pairs of time and service for each change of the movable route.
    :param keys: time by key at which it was added and, once that was acknowledged,
        removed.
    :param overdue_stops: processes that did not exit within the grace period.
    :param rate_limits: server, limit and interval of each rate limit that was named.
    """

    calls: dict = attrs.Factory(dict)
    invalid_responses: list = attrs.Factory(list)
    faults: list = attrs.Factory(list)
    outages: dict = attrs.Factory(lambda: collections.defaultdict(list))
    stops: dict = attrs.Factory(lambda: collections.defaultdict(list))
    restarts: dict = attrs.Factory(lambda: collections.defaultdict(list))
    departures: dict = attrs.Factory(lambda: collections.defaultdict(list))
    crashes: list = attrs.Factory(list)
    drains: dict = attrs.Factory(dict)
    moves: list = attrs.Factory(list)
    keys: dict = attrs.Factory(dict)
    overdue_stops: list = attrs.Factory(list)
    rate_limits: list = attrs.Factory(list)

    @contextlib.contextmanager
    def record_rate_limit(self, server, limit):
        """Record that a server names a rate limit, in requests per second."""
        server.rate_limit = limit
        interval = [time.monotonic(), float("inf")]
        self.rate_limits.append((server, limit, interval))
        try:
            yield
        finally:
            interval[1] = time.monotonic()
            server.rate_limit = None

    @contextlib.contextmanager
    def record_outage(self, vm):
        """Record an outage of a VM, or of all VMs if the name is empty."""
        interval = [time.monotonic(), float("inf")]
        self.outages[vm].append(interval)
        try:
            yield
        finally:
            interval[1] = time.monotonic()

    def begin_departure(self, server):
        """Record that a server's responses say from now on that it is leaving."""
        self.departures[server].append([time.monotonic(), float("inf")])

    def end_departure(self, server):
        """Record that a server has restarted."""
        for interval in self.departures[server]:
            interval[1] = min(interval[1], time.monotonic())

    def has_restarted(self, vm, start, end):
        """Return whether a VM's process was started or paused in a time."""
        return any(start <= moment <= end for moment in self.restarts[vm])

    def is_in_contact(self, vm, start, end):
        """Return whether a VM was in contact during an interval."""
        # Outages count from 0.1 s before their recorded start, as a tolerance.
        return not any(
            first - 0.1 <= end and last + CONTACT_TIMEOUT_S >= start
            for name in (vm, "")
            for first, last in self.outages[name]
        )


def check_account(account, world):
    """Return the findings of a finished run."""
    runs = collections.defaultdict(list)
    servers = [*world.servers.values(), *world.removed_servers]
    for server in servers:
        for request_id, _, moment in server.runs:
            runs[request_id].append((server, moment))
    findings = [f"MIXED: {detail}" for detail in account.invalid_responses]
    findings += [f"STOP: {detail}" for detail in account.overdue_stops]
    for call in account.calls.values():
        findings += _check_call(call, runs[call.id], account)
        findings += _check_key(call, runs[call.id], account)
        for server, moment in runs[call.id]:
            findings += _check_run(call, server, moment, account)
    for server, limit, interval in account.rate_limits:
        findings += _check_rate_limit(server, limit, interval, account)
    for server in servers:
        for interval in account.departures[server.name]:
            findings += _check_departure(server, interval, account)
        findings += _check_pauses(server, account)
    findings += _check_deadly_request(servers, account)
    for request_id in runs.keys() - account.calls.keys():
        findings.append(f"UNASKED: {request_id} ran but no caller sent it")
    return findings


def _check_call(call, runs, account):
    request = f"{call.method} {call.path} {call.id} at {call.vm}, {call.started:.2f} s"
    if call.method == "POST" and len(runs) > 1:
        names = ", ".join(server.name for server, _ in runs)
        yield f"TWICE: {request} ran on {names}"
    if call.status in _NOT_RUN_STATUSES and runs:
        yield f"REFUSED: {request} got {call.status} but ran on {runs[0][0].name}"
    in_contact = account.is_in_contact(call.vm, call.started, call.ended)
    if call.detail == "timeout" and in_contact and not _is_stopping(call, account):
        yield f"HANG: {request} had no response {HANG_TOLERANCE_S} s after its deadline"
    cut = call.status is None and call.detail != "timeout"
    if cut and runs and in_contact and not _is_at_end_of_grace(call, account):
        yield f"LOST: {request} ran and ended without a response: {call.detail}"


def _check_key(call, runs, account):
    if not call.key:
        return
    added_at, removed_at = account.keys[call.key]
    if runs and call.started > removed_at + KEY_REMOVAL_S:
        late_s = call.started - removed_at
        yield f"KEYS: {call.id} at {call.vm} ran with a key removed {late_s:.2f} s ago"
    is_known = call.started > added_at + CONFIG_LAG_S and call.ended < removed_at
    if call.status == 401 and is_known:
        yield f"KEYS: {call.id} at {call.vm} got 401 with a key in force"
    if call.status == 401 and runs:
        yield f"KEYS: {call.id} at {call.vm} got 401 but ran on {runs[0][0].name}"


def _is_stopping(call, account):
    return any(
        call.ended >= stop and call.started <= stop + GRACE_S + GRACE_MARGIN_S
        for stop in account.stops[call.vm]
    )


def _is_at_end_of_grace(call, account):
    """Return whether a request ended at the end of a grace period of its VM."""
    return any(
        abs(call.ended - stop - GRACE_S) <= GRACE_MARGIN_S
        for stop in account.stops[call.vm]
    )


def _check_run(call, server, moment, account):
    drain_at = account.drains.get(server.name)
    if (
        drain_at is not None
        and moment > drain_at + DRAIN_PROPAGATION_S
        and account.is_in_contact(call.vm, drain_at, moment)
    ):
        yield f"DRAIN: {call.id} reached {server.name} {moment - drain_at:.2f} s after"
    if not call.path.startswith("/move/"):
        return
    allowed = set()
    for number, (start, service) in enumerate(account.moves):
        later = account.moves[number + 1 :]
        end = later[0][0] if later else moment
        if start <= moment and end + CONFIG_PROPAGATION_S >= call.started:
            allowed.add(service)
    last_move = max(start for start, _ in account.moves if start <= moment)
    if server.service not in allowed and account.is_in_contact(
        call.vm, last_move, moment
    ):
        yield f"CONFIG: {call.id} ran on {server.service} after the route had moved"


def _check_rate_limit(server, limit, interval, account):
    start, end = interval
    arrivals = _get_arrivals(server, account)
    calls = [(moment, call) for moment, call in arrivals if start <= moment <= end]
    told_at = _find_told_at(call for _, call in calls)
    counted = [
        moment
        for moment, call in calls
        if moment >= start + CONTACT_TIMEOUT_S
        and moment >= told_at.get(call.vm, float("inf")) + RATE_NOTICE_S
        and account.is_in_contact(call.vm, moment, moment)
    ]
    allowed = RATE_FACTOR * limit * RATE_WINDOW_S + RATE_SLACK
    for first, moment in enumerate(counted):
        window = [item for item in counted[first:] if item < moment + RATE_WINDOW_S]
        if len(window) > allowed:
            yield (
                f"LIMIT: {server.name} with a limit of {limit:g} requests/s got "
                f"{len(window)} in {RATE_WINDOW_S:g} s from {moment:.2f} s, "
                f"allowed {allowed:g}"
            )
            return


def _get_arrivals(server, account):
    """Return time and call of each request of a caller that reached a server."""
    return [
        (moment, account.calls[request_id])
        for request_id, moment in server.arrivals
        if request_id in account.calls
    ]


def _find_told_at(calls):
    """Return by VM when it first passed on an answer to one of the calls."""
    told_at = {}
    for call in calls:
        if call.status == 200:
            told_at[call.vm] = min(call.ended, told_at.get(call.vm, call.ended))
    return told_at


def _check_departure(server, interval, account):
    leaving_at, until = interval
    arrivals = [
        (moment, call)
        for moment, call in _get_arrivals(server, account)
        if moment < until
    ]
    told_at = _find_told_at(
        call
        for moment, call in arrivals
        if moment >= leaving_at and call.server == server.name
    )
    for moment, call in arrivals:
        told = told_at.get(call.vm, float("inf"))
        late = call.started > told + DRAIN_PROPAGATION_S
        if late and not account.has_restarted(call.vm, told, moment):
            yield (
                f"DRAIN: {call.id} reached {server.name} {call.started - told:.2f} s "
                f"after {call.vm} had heard that it is leaving"
            )


def _check_pauses(server, account):
    arrivals = _get_arrivals(server, account)
    for request_id, refused_at, pause_s in server.pauses:
        if request_id not in account.calls:
            continue
        vm = account.calls[request_id].vm
        if account.has_restarted(vm, refused_at, refused_at + pause_s):
            continue
        start, end = refused_at + PAUSE_NOTICE_S, refused_at + pause_s
        late = [m for m, call in arrivals if call.vm == vm and start < m < end]
        if len(late) > MAX_REQUESTS_IN_PAUSE:
            yield (
                f"BUDGET: {len(late)} requests of {vm} reached {server.name} in a "
                f"pause of {pause_s:.1f} s from {refused_at:.2f} s"
            )


def _check_deadly_request(servers, account):
    if len(account.crashes) < CRASHES_TO_HOLD:
        return
    known_at = sorted(account.crashes)[CRASHES_TO_HOLD - 1] + CONTACT_TIMEOUT_S
    late = [
        call.id
        for server in servers
        for moment, call in _get_arrivals(server, account)
        if DEADLY in call.path
        and moment > known_at
        and account.is_in_contact(call.vm, known_at - CONTACT_TIMEOUT_S, moment)
    ]
    if len(late) > MAX_RETRIES_WHEN_HELD:
        yield f"BUDGET: the deadly request reached servers {len(late)} times when known"
