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
#: Has the value 1 in all responses of a server that is leaving.
_LEAVING_HEADER = "server-leaving"
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
            result.rate_limit = _read_rate_limit(names.get(_RATE_LIMIT_HEADER), result)
            if response.status == 503:
                result.pause_s = _read_pause(names.get("retry-after"), result)
            result.is_leaving = names.get(_LEAVING_HEADER, "").strip() == "1"


def _read_rate_limit(text, result):
    if text is None:
        return math.inf
    if not _DECIMAL.fullmatch(text):
        result.detail = f"malformed rate limit {text!r}"
        return None
    return float(text)


def _read_pause(text, result):
    """Return the seconds of a ``Retry-After`` header, 0 if it names none."""
    if text is None:
        return 0.0
    if not _DECIMAL.fullmatch(text.strip()):
        result.detail = f"malformed pause {text!r}"
        return 0.0
    return float(text)


def encode_directory_body(addresses, ttl_s):
    """Return the body with the addresses to use and their time to live."""
    return json.dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()


def read_directory_query(query):
    """Return the caller's region and zone from a directory query."""
    return query.get("region", ""), query.get("zone", "")
