"""Client: cached addresses, idempotency keys across retries, and outcomes."""

import json

import pytest

from lavendermast.client import ADDRESSES_PATH, Client
from lavendermast.clock import ManualClock
from lavendermast.models import AttemptResult, AttemptStatus, Outcome

ADDRESS_RESPONSE = {
    "addresses": [{"vm": "a", "address": "127.0.0.1:1"}],
    "use_until": 1_700_000_030_000,
    "token": "tok",
    "token_accept_until": 1_700_000_060_000,
}


def reply(outcome, reason="", status=503):
    headers = [("Lavendermast-Outcome", outcome), ("Lavendermast-Reason", reason)]
    return AttemptResult("a", AttemptStatus.OK, 0, status, headers)


ANSWERED = reply("answered", status=201)
NOT_RUN = reply("not-run", "refused-before")
UNKNOWN = reply("unknown", "owner-timeout", 504)
CUT = AttemptResult("a", AttemptStatus.CUT)
REFUSED = AttemptResult("a", AttemptStatus.CONNECT_FAILED)


class ScriptedTransport:
    """
    Responds to address requests; other requests get the next scripted result.

    The last result is repeated.
    """

    def __init__(self, clock, *script):
        self.clock, self.script = clock, list(script)
        self.keys, self.address_requests, self.silent = [], [], ()

    def send(self, request, server, deadline):
        if request.path == ADDRESSES_PATH:
            self.address_requests.append(server.address)
            if server.address in self.silent:
                return AttemptResult("a", AttemptStatus.TIMEOUT)
            now = self.clock.get_unix_ms()
            times = {"use_until": now + 30_000, "token_accept_until": now + 60_000}
            body = json.dumps(ADDRESS_RESPONSE | times).encode()
            return AttemptResult("a", AttemptStatus.OK, 0, 200, [], body)
        self.keys.append(request.key)
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]


def submit(*script, seconds=20):
    clock = ManualClock()
    transport = ScriptedTransport(clock, *script)
    client = Client(["127.0.0.1:9"], "c", clock, transport)
    deadline = clock.monotonic() + seconds
    return client.submit("orders", "POST", "/orders", deadline), transport.keys


@pytest.mark.parametrize("first", [UNKNOWN, CUT])
def test_key_is_kept_after_an_attempt_that_may_have_run(first):
    """
    Guards against running a submission twice (R4).

    A retry with a new key would run again what the first attempt may have run.
    """
    result, keys = submit(first, ANSWERED)
    assert (result.outcome, result.status) == (Outcome.ANSWERED, 201)
    assert keys[0] == keys[1]
    assert keys[0].startswith("tok.")


@pytest.mark.parametrize("last", [NOT_RUN, REFUSED])
def test_not_run_is_never_reported_after_an_attempt_that_may_have_run(last):
    """
    Guards against a wrong ``not-run`` (R3).

    The first attempt may have run although the last one was rejected.
    """
    result, keys = submit(CUT, last)
    assert result.outcome is Outcome.UNKNOWN
    assert len(set(keys)) == 1


@pytest.mark.parametrize("first", [NOT_RUN, REFUSED])
def test_not_run_is_retried_with_a_new_key(first):
    """
    Guards against retries that can never succeed.

    The fleet never runs a request whose key it reported as not-run.
    """
    result, keys = submit(first, ANSWERED)
    assert result.outcome is Outcome.ANSWERED
    assert len(set(keys)) == 2


def test_not_run_is_reported_when_all_attempts_are_refused():
    result, keys = submit(NOT_RUN)
    assert result.outcome is Outcome.NOT_RUN
    assert len(set(keys)) == len(keys) > 1


@pytest.mark.parametrize(
    "final", [reply("unknown", "may-have-run", 504), reply("not-run", "no-route", 404)]
)
def test_final_reply_is_not_retried(final):
    result, keys = submit(final, ANSWERED)
    assert result.outcome is not Outcome.ANSWERED
    assert len(keys) == 1


def test_addresses_are_cached_until_use_until_and_failed_vms_are_skipped():
    clock = ManualClock()
    transport = ScriptedTransport(clock, ANSWERED)
    transport.silent = ("127.0.0.1:8",)
    client = Client(["127.0.0.1:8", "127.0.0.1:9"], "c", clock, transport)
    request_counts = []
    for step in (0, 29, 2):
        clock.advance(step)
        client.fetch("stock", "GET", "/stock", clock.monotonic() + 5)
        request_counts.append(len(transport.address_requests))
    assert request_counts == [2, 2, 3]
    assert transport.address_requests[-1] == "127.0.0.1:1"


def test_call_without_addresses_is_not_run():
    clock = ManualClock()
    transport = ScriptedTransport(clock, ANSWERED)
    transport.silent = ("127.0.0.1:9",)
    client = Client(["127.0.0.1:9"], "c", clock, transport)
    result = client.submit("orders", "POST", "/orders", clock.monotonic() + 1)
    assert (result.outcome, transport.keys) == (Outcome.NOT_RUN, [])
