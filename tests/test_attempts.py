"""The attempts of one request: second tries, refusals and final answers."""

import random

import eventlet
import pytest

from lavendermast.attempts import AttemptRunner, judge_attempt
from lavendermast.catalog import ListedServer
from lavendermast.clock import SystemClock
from lavendermast.coverage import Coverage
from lavendermast.entrymodel import EntryRoute, RequestKind, ServerRecord, SplitPart
from lavendermast.evidencebook import EvidenceBook
from lavendermast.models import (
    AttemptResult,
    AttemptStatus,
    CallerRequest,
    Outcome,
    Server,
)
from lavendermast.retries import WindowedRetryBudget
from lavendermast.selection import ServerSelector
from lavendermast.suspicion import Ending
from lavendermast.upstream import Cancellation

OK, SHED = AttemptStatus.OK, AttemptStatus.SHED
CUT, ERROR = AttemptStatus.CUT, AttemptStatus.ERROR


class FixedCatalog:
    """Lists the same servers for every service."""

    def __init__(self, names):
        record = [ServerRecord(Server(n, "stock", "r", "a", n), 6) for n in names]
        self._servers = [ListedServer(item, 0.0, 0.0) for item in record]

    def get_servers(self, service):
        return self._servers


class ScriptedUpstream:
    """Answers attempts in order from a list of ``(delay, status)``."""

    def __init__(self, script):
        self.script = list(script)
        self.sent = []
        self.cancelled = []

    def send(self, request, server, deadline, cancelled=None):
        self.sent.append(server.name)
        delay, status = self.script.pop(0)
        for _ in range(int(delay / 0.01)):
            if cancelled.requested:
                self.cancelled.append(server.name)
                return AttemptResult(server.name, AttemptStatus.CANCELLED)
            if SystemClock().monotonic() >= deadline:
                return AttemptResult(server.name, AttemptStatus.TIMEOUT)
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
    reserve=10,
    prepare=lambda book: None,
):
    """
    Return the reply, the upstream, the logged events and the seconds taken.

    :param prepare: called with the evidence before the request.
    """
    clock = SystemClock()
    events = []
    book = EvidenceBook(clock, lambda name: route)
    prepare(book)
    catalog, coverage = FixedCatalog(servers), Coverage(book.get, 0.7)

    def has_connection(server, repeatable):
        return True

    selector = ServerSelector(
        catalog, book.get, "a", "r", clock, random.Random(1), coverage, has_connection
    )
    upstream = ScriptedUpstream(script)
    budget = WindowedRetryBudget(0.2 if reserve else 0.0, reserve, 10.0, clock)
    runner = AttemptRunner(
        upstream,
        selector,
        book,
        lambda service: budget,
        clock,
        lambda event, **fields: events.append((event, fields)),
    )
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
    reply = runner.run(request, route, "stock", Cancellation())
    return reply, upstream, events, clock.monotonic() - now


def test_idempotent_request_gets_a_second_server_before_the_first_fails():
    """Guards against waiting for the timeout of a server that never answers."""
    reply, upstream, _, seconds = run([(5.0, OK), (0.02, OK)], make_route())
    assert (reply.status, reply.attempts) == (200, 2)
    assert len(set(upstream.sent)) == 2
    assert seconds < 0.9
    eventlet.sleep(0.05)
    assert upstream.cancelled == upstream.sent[:1]


def test_non_idempotent_request_is_sent_once_when_it_may_have_run():
    """Guards against a booking that runs twice after a reset."""
    route = make_route(RequestKind.NON_IDEMPOTENT, 3)
    reply, upstream, _, _ = run([(0.02, CUT), (0.0, OK)], route)
    assert (reply.status, reply.outcome) == (502, Outcome.UNKNOWN)
    assert len(upstream.sent) == 1


@pytest.mark.parametrize(
    ("status", "code", "left", "ending"),
    [
        (OK, 200, 0.02, Ending.SUCCEEDED),
        (ERROR, 500, 0.02, Ending.ERROR),
        (ERROR, 504, 0.5, Ending.ERROR),
        (ERROR, 504, 0.002, Ending.ABANDONED),
        (ERROR, 504, -0.001, Ending.ABANDONED),
        (AttemptStatus.CONNECT_FAILED, 0, 0.5, Ending.FAILED),
        (AttemptStatus.TIMEOUT, 0, 0.0, Ending.ABANDONED),
    ],
)
def test_end_at_the_deadline_accuses_no_server(status, code, left, ending):
    """Guards against servers that look sick because a route's timeout is too short."""
    result = AttemptResult("s1", status, http_status=code)
    assert judge_attempt(result, left) is ending


def test_non_idempotent_request_is_never_hedged():
    """Guards against a booking that runs at two servers because one is slow."""
    route = make_route(RequestKind.NON_IDEMPOTENT, 3)
    reply, upstream, _, _ = run([(5.0, OK), (0.0, OK)], route, timeout_s=0.6)
    assert (reply.status, reply.outcome) == (504, Outcome.UNKNOWN)
    assert len(upstream.sent) == 1


def run_beside(route, answer_s, *results):
    """
    Return the events of a request while other attempts are in flight.

    :param answer_s: seconds until the first server answers another request.
    """

    def prepare(book):
        scouts = {name: book.start(name, route) for name in ("s1", "s2")}
        well = AttemptResult("s1", OK, body=b"x")
        eventlet.spawn_after(
            answer_s, book.finish, "s1", route, scouts["s1"], well, Ending.SUCCEEDED
        )

    script = results or [(0.02, OK)]
    names = ("s1", "s2", "s3", "s4", "s5")
    return run(script, route, servers=names, prepare=prepare)


def test_booking_waits_for_a_server_that_is_known_to_be_well():
    """Guards against bookings lost to sick servers after a start of the fleet."""
    route = make_route(RequestKind.NON_IDEMPOTENT)
    reply, upstream, events, _ = run_beside(route, 0.03)
    assert reply.status == 200
    assert upstream.sent == ["s1"]
    assert [event for event, _ in events][:2] == ["waiting", "decision"]


def test_booking_is_sent_in_time_without_evidence():
    """Guards against a booking that waits for ever while all servers are doubtful."""
    route = make_route(RequestKind.NON_IDEMPOTENT)
    reply, _, events, seconds = run_beside(route, 5.0)
    assert reply.status == 200
    assert seconds < route.goal_s * 0.25 + 0.2
    assert [event for event, _ in events].count("waiting") == 1


def test_only_first_attempts_of_bookings_wait():
    """Guards against reads that wait, and refusals instead of another attempt."""
    reply, _, events, _ = run_beside(make_route(), 5.0)
    assert (reply.status, events[0][0]) == (200, "decision")
    route = make_route(RequestKind.NON_IDEMPOTENT, 3)
    reply, upstream, _, _ = run_beside(route, 5.0, (0.0, SHED), (0.0, OK))
    assert (reply.status, len(upstream.sent)) == (200, 2)


@pytest.mark.parametrize("kind", list(RequestKind))
def test_refused_request_goes_to_another_server(kind):
    """Guards against a refusal to a caller while another server has room."""
    reply, upstream, _, _ = run([(0.0, SHED), (0.0, OK)], make_route(kind))
    assert reply.status == 200
    assert len(set(upstream.sent)) == 2


def test_refusal_is_told_as_not_run_with_a_time_to_come_back():
    """Guards against a promise that is not true, and against an answer that waits."""
    route = make_route(RequestKind.NON_IDEMPOTENT)
    reply, _, _, seconds = run([(0.0, SHED)] * 6, route)
    assert (reply.status, reply.outcome) == (503, Outcome.NOT_RUN)
    assert reply.retry_after > 0
    assert seconds < 0.5


def test_503_is_never_said_once_an_attempt_may_have_run():
    """Guards against a false promise after an unknown attempt and a refusal."""
    script = [(0.02, CUT)] + [(0.0, SHED)] * 6
    reply, _, _, _ = run(script, make_route(max_attempts=2))
    assert reply.status != 503
    assert reply.outcome is Outcome.UNKNOWN


def test_own_error_of_a_server_passes_to_the_caller_of_a_booking():
    """Guards against replacing a server's answer."""
    route = make_route(RequestKind.NON_IDEMPOTENT, 3)
    reply, upstream, _, _ = run([(0.0, ERROR), (0.0, OK)], route)
    assert (reply.status, reply.body) == (500, b"whole")
    assert len(upstream.sent) == 1


def test_empty_budget_stops_second_tries():
    """Guards against a retry storm, and a second try that is missing without a word."""
    reply, upstream, events, _ = run(
        [(0.02, CUT), (0.02, CUT), (0.0, OK)], make_route(max_attempts=3), reserve=0
    )
    assert reply.status == 502
    assert len(upstream.sent) == 2
    denied = [fields for event, fields in events if event == "attempt_denied"]
    assert [(item["reason"], item["cause"]) for item in denied] == [("retry", "budget")]


def test_request_without_a_listed_server_is_refused_at_once():
    """Guards against holding a request until its deadline without offering it."""
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
