"""Forwarding and submissions: one hop, whose failures have the outcome unknown."""

import eventlet
import pytest
from eventlet.event import Event

from lavendermast.clock import ManualClock, SystemClock
from lavendermast.exceptions import RequestError
from lavendermast.forwarding import FORWARDED_HEADER, Forwarder
from lavendermast.ledger import Ledger
from lavendermast.models import AttemptResult, AttemptStatus, CallerRequest, Outcome
from lavendermast.settings_model import Config
from lavendermast.submissions import Submissions
from lavendermast.tokens import TokenIssuer, TokenVerifier

KEY = b"0123456789abcdef"
TOKEN = TokenIssuer("vm-1", 1, 60_000, 1, KEY).issue(1_700_000_000_000)


class FixedUpstream:
    def __init__(self, result):
        self.result = result

    def send(self, request, server, deadline, cancellation=None):
        self.address = server.address
        return self.result


def make_request(headers=(), key=TOKEN + ".u", body=b""):
    return CallerRequest(
        "r", "POST", "/orders", "", list(headers), body, "c", 5.0, 1, 0.0, key
    )


def make_submissions(boot_id=1, upstream=None, address="127.0.0.1:1"):
    ledger = Ledger(ManualClock(), boot_id, 10, 900_000)
    forwarder = Forwarder(upstream, lambda token: address)
    return Submissions(ledger, TokenVerifier({1: KEY}), forwarder)


def make_result(status=AttemptStatus.OK, http_status=200, outcome="answered", **fields):
    headers = [("Lavendermast-Outcome", outcome)] if outcome else []
    return AttemptResult("s", status, 0, http_status, headers, **fields)


@pytest.mark.parametrize("status", list(AttemptStatus))
def test_every_failure_of_the_hop_is_unknown(status):
    """
    Guards against a wrong ``not-run`` (R3).

    The owner may have run an earlier copy of the request.
    """
    upstream = FixedUpstream(AttemptResult("vm-1", status))
    reply = make_submissions(2, upstream).submit(make_request(), None)
    assert (reply.outcome, reply.status) == (Outcome.UNKNOWN, 504)


def test_reply_without_an_outcome_is_unknown():
    upstream = FixedUpstream(make_result(outcome=""))
    reply = make_submissions(2, upstream).submit(make_request(), None)
    assert reply.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("outcome", list(Outcome))
def test_outcome_of_the_owner_is_returned(outcome):
    result = make_result(http_status=201, outcome=outcome.value, body=b"x")
    upstream = FixedUpstream(result)
    reply = make_submissions(2, upstream).submit(make_request(), None)
    assert (reply.outcome, reply.status, reply.body) == (outcome, 201, b"x")
    assert (reply.headers, upstream.address) == ([], "127.0.0.1:1")


def test_second_hop_and_missing_owner_are_unknown():
    """
    Guards against two VMs that forward a request to each other forever.

    A request whose owner is not found has the outcome unknown too.
    """
    request = make_request([(FORWARDED_HEADER.lower(), "vm-3")])
    assert make_submissions(2).submit(request, None).reason == "not-owner"
    reply = make_submissions(2, address=None).submit(make_request(), None)
    assert (reply.outcome, reply.reason) == (Outcome.UNKNOWN, "owner-unknown")


def test_invalid_key_is_not_run_and_key_under_unknown_fleet_key_is_unknown():
    submissions = make_submissions()
    for key, outcome, status in (
        ("x.y", Outcome.NOT_RUN, 400),
        (TOKEN, Outcome.NOT_RUN, 400),
        (
            TokenIssuer("vm-1", 1, 60_000, 9, KEY).issue(0) + ".u",
            Outcome.UNKNOWN,
            504,
        ),
    ):
        reply = submissions.submit(make_request(key=key), None)
        assert (reply.outcome, reply.status) == (outcome, status)


def refuse():
    raise RequestError(503, "queue-full")


@pytest.mark.parametrize(
    ("run", "first", "second"),
    [
        (make_result, Outcome.ANSWERED, "replayed"),
        (lambda: make_result(stream=Event()), Outcome.ANSWERED, "completed-before"),
        (
            lambda: AttemptResult("s", AttemptStatus.CUT),
            Outcome.UNKNOWN,
            "may-have-run",
        ),
        (
            lambda: AttemptResult("s", AttemptStatus.SHED, 0, 503),
            Outcome.NOT_RUN,
            "refused-before",
        ),
        (refuse, Outcome.NOT_RUN, "refused-before"),
    ],
)
def test_repeat_never_runs_again(run, first, second):
    """Guards against a second run (R4), however the first submission ends."""
    submissions = make_submissions()
    assert submissions.submit(make_request(), run).outcome is first
    assert submissions.submit(make_request(), None).reason == second
    assert submissions.submit(make_request(body=b"2"), None).status == 422


def test_error_inside_the_run_leaves_the_key_unknown():
    """
    Guards against a second run (R4).

    A killed task must not leave the key free or in flight forever.
    """
    submissions = make_submissions()
    with pytest.raises(KeyboardInterrupt):
        submissions.submit(make_request(), interrupt)
    assert submissions.submit(make_request(), None).reason == "may-have-run"


def interrupt():
    raise KeyboardInterrupt


def test_forwarded_request_names_its_key_and_sender_on_the_wire():
    """Guards against a lost key: the owner would run the request without one."""
    received = []
    listener = eventlet.listen(("127.0.0.1", 0))

    def serve():
        sock, _ = listener.accept()
        received.append(sock.recv(65536))
        sock.sendall(
            b"HTTP/1.1 503 No\r\nLavendermast-Outcome: not-run\r\n"
            b"Content-Length: 0\r\n\r\n"
        )

    eventlet.spawn(serve)
    clock = SystemClock()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    config = Config.from_config({"services": {}, "routes": {}})
    forwarder = Forwarder.from_config(config, clock, "vm-2", lambda token: address)
    request = make_request([("Lavendermast-Key", "other"), ("Accept", "a")], body=b"1")
    token = TokenVerifier({1: KEY}).verify(TOKEN)
    reply = forwarder.forward(request, token, clock.monotonic() + 5)
    assert reply.outcome is Outcome.NOT_RUN
    lines = received[0].decode().split("\r\n")
    assert f"Lavendermast-Key: {TOKEN}.u" in lines
    assert "Lavendermast-Key: other" not in lines
    assert {"Lavendermast-Forwarded: vm-2", "Accept: a"} <= set(lines)
