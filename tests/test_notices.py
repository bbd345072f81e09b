"""Tests for what servers say of themselves in the headers of their responses."""

import types

import pytest
from hypothesis import given, strategies

from lavendermast.clock import ManualClock
from lavendermast.models import AttemptResult, AttemptStatus
from lavendermast.platform.calls import PlatformServerProtocol


def read(status, *headers):
    """Return the result of an attempt whose response has these headers."""
    result = AttemptResult("s1", AttemptStatus.OK)
    response = types.SimpleNamespace(status=status, headers=list(headers))
    PlatformServerProtocol(ManualClock()).fill_result(result, response)
    return result


REFUSED = ("Not-Executed", "1")
SIGNED = ("Server-Signature", "s1.1")


@pytest.mark.parametrize(
    ("status", "headers", "pause_s", "detail"),
    [
        (503, [REFUSED, ("Retry-After", "2.5")], 2.5, ""),
        (503, [SIGNED, ("retry-after", "3")], 3.0, ""),
        (503, [REFUSED], 0.0, ""),
        (429, [REFUSED, ("Retry-After", "3")], 0.0, ""),
        (200, [SIGNED, ("Retry-After", "3")], 0.0, ""),
        (503, [("Retry-After", "3")], 0.0, ""),
        (421, [REFUSED, ("Retry-After", "3")], 0.0, ""),
        (503, [REFUSED, ("Retry-After", "-3")], 0.0, "malformed pause '-3'"),
        (503, [REFUSED, ("Retry-After", "1e9")], 0.0, "malformed pause '1e9'"),
    ],
)
def test_pause_is_read_from_a_servers_refusal_only(status, headers, pause_s, detail):
    """Guards against a pause that the expected server did not ask for."""
    result = read(status, *headers)
    assert (result.pause_s, result.detail) == (pause_s, detail)


@given(strategies.text(max_size=40))
def test_any_header_value_is_read(text):
    """Guards against a header of a server that fails each of its responses."""
    result = read(503, REFUSED, ("Retry-After", text), ("Server-Leaving", text))
    assert 0.0 <= result.pause_s < 1e9
    assert result.is_leaving == (text.strip() == "1")


@pytest.mark.parametrize(
    ("headers", "status", "expected"),
    [
        ([SIGNED], 200, True),
        ([REFUSED], 503, True),
        ([SIGNED], 500, True),
        ([], 200, False),
        ([REFUSED], 421, False),
    ],
)
def test_notice_of_leaving_is_that_of_the_expected_server(headers, status, expected):
    """Guards against a server that is avoided for what another one says."""
    assert read(status, *headers, ("Server-Leaving", "1")).is_leaving is expected
