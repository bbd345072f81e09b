"""The attempts of one request: retries, hedges, refusals and final replies."""

import random
import types

import eventlet
import pytest

from lavendermast.admission import Admission
from lavendermast.attempts import AttemptRunner
from lavendermast.attemptstate import classify_attempt
from lavendermast.catalog import ListedServer
from lavendermast.clock import SystemClock
from lavendermast.crashes import CrashTracker, ServerRun
from lavendermast.crashsharing import CrashSharing
from lavendermast.denials import RETRY_AFTER_S, DenialRules
from lavendermast.entrymodel import EntryRoute, RequestKind, ServerRecord, SplitPart
from lavendermast.evidenceregistry import EvidenceRegistry
from lavendermast.losstracker import LossTracker
from lavendermast.models import (
    AttemptResult,
    AttemptStatus,
    CallerRequest,
    Outcome,
    Server,
)
from lavendermast.notices import ServerNotices
from lavendermast.ratelimits import RateLimits
from lavendermast.retries import WindowedRetryBudget
from lavendermast.selection import ServerSelector
from lavendermast.suspicion import AttemptOutcome
from lavendermast.upstream import Cancellation

OK, SHED = AttemptStatus.OK, AttemptStatus.SHED
CUT, ERROR = AttemptStatus.CUT, AttemptStatus.ERROR
CONNECT_FAILED = AttemptStatus.CONNECT_FAILED


class FixedCatalog:
    """Lists the same servers for every service."""

    def __init__(self, names):
        record = [ServerRecord(Server(n, "stock", "r", "a", n), 6) for n in names]
        self._servers = [ListedServer(item, 0.0, 0.0) for item in record]

    def get_servers(self, service):
        return self._servers


class ScriptedUpstream:
    """
    Returns the results of a list of ``(delay, status)``, one for each attempt.

    With the status ``CONNECT_FAILED`` no byte of the request is ever sent.
    """

    def __init__(self, script):
        self.script = list(script)
        self.sent = []
        self.cancelled = []

    def send(self, request, server, deadline, cancellation=None):
        self.sent.append(server.name)
        delay, status = self.script.pop(0)
        cancellation.unsent = status is CONNECT_FAILED
        for _ in range(int(delay / 0.01)):
            if cancellation.requested:
                self.cancelled.append(server.name)
                return AttemptResult(server.name, AttemptStatus.CANCELLED)
            if SystemClock().monotonic() >= deadline:
                unsent = cancellation.unsent
                late = CONNECT_FAILED if unsent else AttemptStatus.TIMEOUT
                return AttemptResult(server.name, late)
            eventlet.sleep(0.01)
        code = {OK: 200, ERROR: 500, SHED: 503}.get(status, 0)
        return AttemptResult(server.name, status, http_status=code, body=b"whole")


def make_route(kind=RequestKind.IDEMPOTENT, max_attempts=2):
    parts = (SplitPart("stock"),)
    return EntryRoute("r", "h", "/", parts, kind, 1.0, 0.25, max_attempts)


def run(
    script,
    route,
    timeout_s=1.0,
    servers=("s1", "s2", "s3"),
    slack=10,
    prepare=lambda registry: None,
    crashes_before=0,
    is_refusing=False,
    has_admission=False,
    is_authorized=lambda request: True,
):
    """
    Run a request; return the reply, the upstream, the logged events and the seconds.

    :param slack: slack of the retry budget; 0 also sets the budget's share to 0, which
        leaves a single retry.
    :param prepare: called with the ``EvidenceRegistry`` before the request.
    :param crashes_before: crashes of servers in which the request was in flight before.
    :param is_refusing: whether the VM is about to stop.
    :param has_admission: whether requests are admitted by rank.
    :param is_authorized: tells whether the request's key is in force.
    """
    clock = SystemClock()
    events = []
    rate_limits = RateLimits(clock, lambda event, **fields: None, lambda name: True)
    registry = EvidenceRegistry(clock, lambda name: route, rate_limits)
    prepare(registry)
    catalog, loss_tracker = FixedCatalog(servers), LossTracker(registry.get, 0.7)
    notices = ServerNotices(lambda name: None, clock, lambda event, **fields: None)

    def has_connection(server, retryable):
        return True

    selector = ServerSelector(
        catalog,
        registry.get,
        "a",
        "r",
        clock,
        random.Random(1),
        loss_tracker,
        has_connection,
        rate_limits,
        notices,
    )
    upstream = ScriptedUpstream(script)
    tracker = CrashTracker(clock, lambda event, **fields: None)
    network = types.SimpleNamespace(vm="vm-1", register=lambda *args: None)
    network.broadcast = lambda addresses, body: None
    sharing = types.SimpleNamespace(
        get_region_addresses=list, get_representative_addresses=list
    )
    crashes = CrashSharing(tracker, sharing, upstream, network, clock, None)
    budget = WindowedRetryBudget(0.2 if slack else 0.0, slack, 10.0, clock)

    def record_event(event, **fields):
        events.append((event, fields))

    admission = Admission(
        lambda: has_admission,
        selector,
        registry,
        lambda name: "stock",
        clock,
        record_event,
    )
    runner = AttemptRunner(
        upstream,
        selector,
        registry,
        notices,
        crashes,
        DenialRules(crashes, lambda: is_refusing, is_authorized),
        lambda service: budget,
        clock,
        record_event,
        admission.open,
    )
    upstream.counted = []
    runner.count_attempt = upstream.counted.append
    now = clock.monotonic()
    request = CallerRequest(
        "id-1",
        "GET",
        "/x",
        "",
        [],
        b"",
        "",
        now + timeout_s,
        0,
        now,
        idempotent=route.idempotent,
    )
    for number in range(crashes_before):
        run_of_server = ServerRun(f"s{number}", 0)
        tracker.add_crash(run_of_server, request.fingerprint, "vm-2")
    reply = runner.run(request, route, "stock", Cancellation())
    return reply, upstream, events, clock.monotonic() - now


def test_idempotent_request_gets_a_second_server_before_the_first_fails():
    """Guards against waiting for the timeout of a server that never responds."""
    reply, upstream, _, seconds = run([(5.0, OK), (0.02, OK)], make_route())
    assert (reply.status, reply.attempts) == (200, 2)
    assert len(set(upstream.sent)) == 2
    assert seconds < 0.9
    eventlet.sleep(0.05)
    assert upstream.cancelled == upstream.sent[:1]


def test_non_idempotent_request_is_sent_once_when_it_may_have_run():
    """Guards against a non-idempotent request that runs twice after a reset."""
    route = make_route(RequestKind.NON_IDEMPOTENT, 3)
    reply, upstream, _, _ = run([(0.02, CUT), (0.0, OK)], route)
    assert (reply.status, reply.outcome) == (502, Outcome.UNKNOWN)
    assert len(upstream.sent) == 1


@pytest.mark.parametrize(
    ("status", "code", "left", "outcome"),
    [
        (OK, 200, 0.02, AttemptOutcome.SUCCEEDED),
        (ERROR, 500, 0.02, AttemptOutcome.ERROR),
        (ERROR, 504, 0.5, AttemptOutcome.ERROR),
        (ERROR, 504, 0.002, AttemptOutcome.ABANDONED),
        (ERROR, 504, -0.001, AttemptOutcome.ABANDONED),
        (AttemptStatus.CONNECT_FAILED, 0, 0.5, AttemptOutcome.FAILED),
        (AttemptStatus.TIMEOUT, 0, 0.0, AttemptOutcome.ABANDONED),
    ],
)
def test_timeout_at_the_deadline_is_no_evidence_against_a_server(
    status, code, left, outcome
):
    """
    Guards against healthy servers that count as sick.

    If a route's timeout is too short, attempts at healthy servers reach the deadline
    too.
    """
    result = AttemptResult("s1", status, http_status=code)
    assert classify_attempt(result, left) is outcome


def test_non_idempotent_request_is_never_hedged():
    """Guards against running a request on two servers because the first is slow."""
    route = make_route(RequestKind.NON_IDEMPOTENT, 3)
    reply, upstream, _, _ = run([(5.0, OK), (0.0, OK)], route, timeout_s=0.6)
    assert (reply.status, reply.outcome) == (504, Outcome.UNKNOWN)
    assert len(upstream.sent) == 1


def run_with_pending_attempts(route, response_s, *results):
    """
    Run a request while attempts of others at two servers are in flight.

    :param response_s: seconds until the first server responds to its attempt.
    """

    def prepare(registry):
        pending = {name: registry.start(name, route) for name in ("s1", "s2")}
        success = AttemptResult("s1", OK, body=b"x")
        eventlet.spawn_after(
            response_s,
            registry.finish,
            "s1",
            route,
            pending["s1"],
            success,
            AttemptOutcome.SUCCEEDED,
        )

    script = results or [(0.02, OK)]
    names = ("s1", "s2", "s3", "s4", "s5")
    return run(script, route, servers=names, prepare=prepare)


def test_non_idempotent_request_waits_for_a_healthy_server():
    """Guards against requests lost to sick servers right after the fleet starts."""
    route = make_route(RequestKind.NON_IDEMPOTENT)
    reply, upstream, events, _ = run_with_pending_attempts(route, 0.03)
    assert reply.status == 200
    assert upstream.sent == ["s1"]
    assert [event for event, _ in events][:2] == ["waiting", "decision"]


def test_non_idempotent_request_is_sent_in_time_without_evidence():
    """Guards against an endless wait while no server is known to be healthy."""
    route = make_route(RequestKind.NON_IDEMPOTENT)
    reply, _, events, seconds = run_with_pending_attempts(route, 5.0)
    assert reply.status == 200
    assert seconds < route.goal_s * 0.25 + 0.2
    assert [event for event, _ in events].count("waiting") == 1


def test_only_first_attempts_of_non_idempotent_requests_wait():
    """
    Guards against idempotent requests that wait until a server is known to be healthy.

    Also guards against a non-idempotent request that is not retried when its first
    attempt, sent after this wait, is refused.
    """
    reply, _, events, _ = run_with_pending_attempts(make_route(), 5.0)
    assert (reply.status, events[0][0]) == (200, "decision")
    route = make_route(RequestKind.NON_IDEMPOTENT, 3)
    reply, upstream, _, _ = run_with_pending_attempts(
        route, 5.0, (0.0, SHED), (0.0, OK)
    )
    assert (reply.status, len(upstream.sent)) == (200, 2)


@pytest.mark.parametrize("kind", list(RequestKind))
def test_refused_request_goes_to_another_server(kind):
    """Guards against refusing a caller while another server has capacity."""
    reply, upstream, _, _ = run([(0.0, SHED), (0.0, OK)], make_route(kind))
    assert reply.status == 200
    assert len(set(upstream.sent)) == 2


def test_refusal_is_reported_as_not_run_with_retry_after():
    """Guards against a refusal reported as ``unknown``, and against a late refusal."""
    route = make_route(RequestKind.NON_IDEMPOTENT)
    reply, _, _, seconds = run([(0.0, SHED)] * 6, route)
    assert (reply.status, reply.outcome) == (503, Outcome.NOT_RUN)
    assert reply.retry_after > 0
    assert seconds < 0.5


def test_503_is_never_returned_once_an_attempt_may_have_run():
    """
    Guards against reporting a request as not run although it may have run.

    The first attempt is cut, so it may have run; the second one is refused.
    """
    script = [(0.02, CUT)] + [(0.0, SHED)] * 6
    reply, _, _, _ = run(script, make_route(max_attempts=2))
    assert reply.status != 503
    assert reply.outcome is Outcome.UNKNOWN


def test_server_error_is_returned_for_a_non_idempotent_request():
    """Guards against replacing a server's error response, and against a retry."""
    route = make_route(RequestKind.NON_IDEMPOTENT, 3)
    reply, upstream, _, _ = run([(0.0, ERROR), (0.0, OK)], route)
    assert (reply.status, reply.body) == (500, b"whole")
    assert len(upstream.sent) == 1


def test_server_error_is_returned_when_the_hedge_fails_later():
    """Guards against an error response that is dropped because a hedge still runs."""
    reply, upstream, _, _ = run([(0.5, ERROR), (0.6, CUT)], make_route())
    assert len(upstream.sent) == 2
    assert (reply.status, reply.body) == (500, b"whole")


@pytest.mark.parametrize(("slack", "sent"), [(0, 1), (2, 2)])
def test_exhausted_budget_stops_retries(slack, sent):
    """
    Guards against a retry storm, and against a denied retry that is not logged.

    Half of the slack is there at the start.
    """
    reply, upstream, events, _ = run(
        [(0.02, CUT), (0.02, CUT), (0.0, OK)], make_route(max_attempts=3), slack=slack
    )
    assert reply.status == 502
    assert len(upstream.sent) == sent
    denied = [fields for event, fields in events if event == "attempt_denied"]
    assert [(item["reason"], item["cause"]) for item in denied] == [("retry", "budget")]


@pytest.mark.parametrize("kind", RequestKind)
def test_request_that_reached_no_server_needs_no_budget(kind):
    """
    Guards against a refusal while other servers are free.

    An attempt whose connection failed repeats nothing at the servers.
    """
    script = [(0, CONNECT_FAILED)] * 3 + [(0, OK)]
    reply, upstream, _, _ = run(
        script,
        make_route(kind, max_attempts=4),
        servers=("s1", "s2", "s3", "s4"),
        slack=0,
    )
    assert reply.outcome is Outcome.ANSWERED
    assert len(set(upstream.sent)) == 4


def test_request_without_a_listed_server_is_refused_at_once():
    """Guards against holding a request until its deadline without any attempt."""
    reply, upstream, _, seconds = run([], make_route(), timeout_s=3.0, servers=())
    assert (reply.status, reply.outcome) == (503, Outcome.NOT_RUN)
    assert reply.retry_after > 0
    assert upstream.sent == []
    assert seconds < 0.3


def test_every_attempt_has_a_decision_with_its_inputs():
    """Guards against a failure that the log cannot explain."""
    _, _, events, _ = run([(0.0, SHED), (0.0, OK)], make_route())
    names = [event for event, _ in events]
    assert names == ["decision", "attempt", "decision", "attempt"]
    assert {"sickness", "pending", "evidence_age_ms", "reason"} <= events[0][1].keys()
    assert all(fields["request"] == "id-1" for _, fields in events)


@pytest.mark.parametrize(
    ("crashes_before", "script", "status", "attempts"),
    [
        (1, [(0.0, CUT), (0.0, OK)], 200, 2),
        (2, [(0.0, CUT)], 502, 1),
        (2, [(0.7, OK)], 200, 1),
        (2, [(0.0, CONNECT_FAILED), (0.0, OK)], 200, 2),
        (3, [], 503, 0),
    ],
)
def test_request_that_crashed_servers_is_not_repeated(
    crashes_before, script, status, attempts
):
    """
    Guards against retries and hedges that crash the next server.

    A refusal is true: 503 only if no server got the request.
    """
    reply, upstream, events, _ = run(
        script, make_route(), crashes_before=crashes_before
    )
    assert (reply.status, len(upstream.sent)) == (status, attempts)
    if attempts == 0:
        assert (reply.outcome, reply.reason) == (Outcome.NOT_RUN, "crashes-servers")
        assert reply.retry_after > RETRY_AFTER_S


@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT])
def test_waiting_request_is_not_passed_on_by_a_stopping_vm(kind):
    """Guards against work that is cut off at the end of a planned stop (LOST)."""
    reply, upstream, *_ = run([], make_route(kind), is_refusing=True)
    assert (reply.status, reply.outcome) == (503, Outcome.NOT_RUN)
    assert (reply.reason, upstream.sent) == ("stopping", [])


@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT])
@pytest.mark.parametrize(
    "script",
    [
        [(5.0, CONNECT_FAILED)] * 4,
        [(0.0, SHED)] + [(5.0, CONNECT_FAILED)] * 4,
    ],
)
def test_request_that_was_not_sent_by_its_deadline_is_reported_as_not_run(kind, script):
    """
    Guards against a 504 for a request that no server has run.

    Its last attempt is still connecting at the deadline, so it is never sent.
    """
    reply, upstream, *_ = run(script, make_route(kind, 3), timeout_s=0.2)
    assert (reply.status, reply.outcome) == (503, Outcome.NOT_RUN)
    assert reply.retry_after > 0
    eventlet.sleep(0.05)
    assert upstream.cancelled


def test_unsent_hedge_does_not_hide_an_attempt_that_was_sent():
    """Guards against a 503 although the first of two attempts may have run."""
    script = [(5.0, OK), (5.0, CONNECT_FAILED)]
    reply, upstream, *_ = run(script, make_route(), timeout_s=0.8)
    assert len(upstream.sent) == 2
    assert (reply.status, reply.outcome) == (504, Outcome.UNKNOWN)


def test_request_that_arrives_after_its_deadline_is_not_run():
    """Guards against a 504 for a request whose attempt has not even begun."""
    reply, upstream, *_ = run([(0.0, OK)], make_route(), timeout_s=-0.01)
    assert (reply.status, reply.outcome) == (503, Outcome.NOT_RUN)
    eventlet.sleep(0.05)
    assert upstream.sent == []


def run_on_full_servers(script, response_s, **kwargs):
    """Run a request while all slots are in use; one gets free after a time."""

    def prepare(registry):
        route = make_route()
        attempts = [registry.start(n, route) for n in ("s1", "s2") for _ in range(7)]
        eventlet.spawn_after(
            response_s,
            registry.finish,
            "s1",
            route,
            attempts[0],
            AttemptResult("s1", OK),
            AttemptOutcome.SUCCEEDED,
        )

    return run(
        script,
        make_route(),
        servers=("s1", "s2"),
        prepare=prepare,
        has_admission=True,
        **kwargs,
    )


def test_request_waits_for_a_slot_in_the_vm():
    """Guards against requests that queue or are shed at full servers."""
    reply, upstream, events, _ = run_on_full_servers([(0.0, OK)], 0.05)
    assert (reply.status, upstream.sent) == (200, ["s1"])
    assert [event for event, _ in events][:2] == ["admission", "decision"]
    assert events[0][1]["decision"] == "granted"


def test_request_that_gets_no_slot_in_time_is_refused():
    """Guards against a wait until the deadline, and a late ``Retry-After``."""
    reply, upstream, events, seconds = run_on_full_servers([], 5.0)
    assert (reply.status, reply.reason) == (503, "no-capacity")
    assert (upstream.sent, events[0][1]["decision"]) == ([], "refused")
    assert 0.05 <= reply.retry_after <= (1.0 - seconds) / 3


@pytest.mark.parametrize(("slack", "status", "sent"), [(10, 200, 2), (0, 503, 1)])
def test_shed_request_goes_to_another_server_while_budget_lasts(slack, status, sent):
    """Guards against shed requests that are held, or sent again beyond the budget."""
    script = [(0.0, SHED), (0.0, OK)]
    reply, upstream, *_ = run(script, make_route(), slack=slack, has_admission=True)
    assert (reply.status, len(upstream.sent)) == (status, sent)
    if status == 503:
        assert (reply.outcome, reply.reason) == (Outcome.NOT_RUN, "shed")


def test_request_without_listed_servers_does_not_wait_for_slots():
    """Guards against a wait for slots of servers that do not exist."""
    reply, *_ = run([], make_route(), servers=(), has_admission=True)
    assert (reply.status, reply.reason) == (503, "no-server")


@pytest.mark.parametrize(
    ("script", "allowed", "sent"),
    [
        ([(0.0, OK)], 0, 0),
        ([(0.0, SHED), (0.0, OK)], 1, 1),
        ([(0.0, AttemptStatus.DENIED), (0.0, OK)], 2, 1),
    ],
)
def test_request_whose_key_was_removed_gets_no_attempt(script, allowed, sent):
    """Guards against first attempts and retries with a key that is not in force."""
    answers = iter([True] * allowed)
    reply, upstream, _, _ = run(
        script, make_route(), is_authorized=lambda request: next(answers, False)
    )
    assert (reply.status, reply.outcome) == (503, Outcome.NOT_RUN)
    assert (reply.reason, reply.retry_after) == ("keys-unconfirmed", RETRY_AFTER_S)
    assert len(upstream.sent) == sent


def test_hedge_is_not_sent_with_a_key_that_was_removed():
    """Guards against a hedge with a removed key, and against a lost first answer."""
    answers = iter([True])
    reply, upstream, _, _ = run(
        [(0.8, OK), (0.0, OK)],
        make_route(),
        is_authorized=lambda request: next(answers, False),
    )
    assert (reply.status, len(upstream.sent)) == (200, 1)


def test_only_attempts_that_reach_a_further_server_count_for_the_account():
    """Guards against retries that the allowance of an account misses."""
    script = [(0.0, CONNECT_FAILED), (0.0, SHED), (0.0, OK)]
    reply, upstream, _, _ = run(script, make_route())
    assert (reply.status, reply.attempts) == (200, 3)
    assert upstream.counted == [None]
