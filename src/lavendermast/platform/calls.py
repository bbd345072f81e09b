"""HTTP headers and bodies between callers, entry VMs and backend servers."""

import json
import math
import re

from lavendermast.framing import remove_hop_by_hop_headers
from lavendermast.models import AttemptStatus
from lavendermast.serverprotocol import ServerProtocol, add_content_length

READY_PATH = "/readyz"
DIRECTORY_PATH = "/resolve"
#: WSGI names of the headers that a caller sends.
REQUEST_ID_VARIABLE = "HTTP_REQUEST_ID"
TIME_LEFT_VARIABLE = "HTTP_DEADLINE_MS"
REQUEST_ID_HEADER = "Request-Id"
_SIGNATURE_HEADER = "server-signature"
#: Requests per second that a server accepts from all VMs together.
_RATE_LIMIT_HEADER = "server-limit"
#: Seconds for which a server that turns a request away wants none of this VM.
_PAUSE_HEADER = "retry-after"
#: Has the value 1 in all responses of a server that is leaving.
_LEAVING_HEADER = "server-leaving"
#: WSGI name of the header with the key of a caller's account.
KEY_VARIABLE = "HTTP_CREDENTIAL"
#: Name of the account in requests to servers.
_ACCOUNT_HEADER = "Tenant"
#: Headers that are never passed on from callers while accounts are in force.
ACCOUNT_HEADERS = frozenset({"credential", _ACCOUNT_HEADER.lower()})
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_REPLACED_HEADERS = frozenset(
    {"deadline-ms", "expect-instance", "content-length", "expect"}
)
#: Statuses of responses that may come from another server.
_FOREIGN_STATUSES = frozenset({AttemptStatus.CUT, AttemptStatus.MISDIRECTED})


class PlatformServerProtocol(ServerProtocol):
    """The HTTP conventions of the platform's backend servers."""

    response_id_header = "request-id"

    def __init__(self, clock):
        self._clock = clock

    def build_headers(self, request, server):
        """Return the request headers for an attempt at one server."""
        left_ms = int((request.deadline - self._clock.monotonic()) * 1000)
        headers = [
            pair
            for pair in remove_hop_by_hop_headers(request.headers)
            if pair[0].lower() not in _REPLACED_HEADERS
        ]
        headers.append(("Deadline-Ms", str(max(left_ms, 1))))
        headers.append(("Expect-Instance", server.name))
        if request.account is not None:
            headers.append((_ACCOUNT_HEADER, request.account.name))
        return add_content_length(headers, request)

    def fill_result(self, result, response):
        """Set the status and headers of a result from the head of a response."""
        result.http_status = response.status
        result.headers = remove_hop_by_hop_headers(response.headers)
        names = {name.lower(): value for name, value in result.headers}
        if "not-executed" in names or response.status == 421:
            result.status = AttemptStatus.SHED
            if response.status == 421:
                result.status = AttemptStatus.MISDIRECTED
        elif _SIGNATURE_HEADER not in names or "content-encoding" in names:
            result.status = AttemptStatus.CUT
        elif response.status >= 500:
            result.status = AttemptStatus.ERROR
        if result.status not in _FOREIGN_STATUSES:
            _read_notices(result, names)


def _read_notices(result, names):
    """Set what a server says of itself in the headers of its response."""
    rate_limit = names.get(_RATE_LIMIT_HEADER)
    result.rate_limit = math.inf
    if rate_limit is not None:
        result.rate_limit = _read_decimal(rate_limit, "rate limit", result)
    pause = names.get(_PAUSE_HEADER)
    if result.http_status == 503 and pause is not None:
        result.pause_s = _read_decimal(pause, "pause", result) or 0.0
    result.is_leaving = names.get(_LEAVING_HEADER, "").strip() == "1"


def _read_decimal(text, meaning, result):
    """Return the number in a header, or ``None`` and the reason in the result."""
    if _DECIMAL.fullmatch(text):
        return float(text)
    result.detail = f"malformed {meaning} {text!r}"
    return None


def encode_directory_body(addresses, ttl_s):
    """Return the body with the addresses to use and their time to live."""
    return json.dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()


def read_directory_query(query):
    """Return the caller's region and zone from a directory query."""
    return query.get("region", ""), query.get("zone", "")
