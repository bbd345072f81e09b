"""What responses of backend servers on the platform say."""

import math
import types

import pytest

from lavendermast.clock import ManualClock
from lavendermast.models import AttemptResult, AttemptStatus
from lavendermast.platform.calls import PlatformServerProtocol


def read(status=200, **headers):
    result = AttemptResult("s1", AttemptStatus.OK)
    pairs = [(name.replace("_", "-"), value) for name, value in headers.items()]
    response = types.SimpleNamespace(status=status, headers=pairs)
    PlatformServerProtocol(ManualClock()).fill_result(result, response)
    return result


@pytest.mark.parametrize("status", [200, 500, 503])
def test_rate_limit_of_a_response_is_read(status):
    """Guards against missing the limit of a server that rejects or fails a request."""
    headers = {"Not_Executed": "1"} if status == 503 else {"Server_Signature": "s"}
    assert read(status, Server_Limit="2.5", **headers).rate_limit == 2.5
    assert read(status, **headers).rate_limit == math.inf


def test_response_of_another_server_says_nothing_about_the_limit():
    """Guards against ending a limit by a response that the server did not send."""
    assert read(421, Not_Executed="1").rate_limit is None
    assert read(200).rate_limit is None


@pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "1e3", "\u00b2", "1,5"])
def test_malformed_rate_limit_is_logged_and_ignored(text):
    """Guards against a rate limit that is not a decimal number."""
    result = read(Server_Signature="s", Server_Limit=text)
    assert result.rate_limit is None
    assert repr(text) in result.detail
