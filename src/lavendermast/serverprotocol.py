"""How attempts are written for backend servers and their answers read."""

import abc
import functools

from lavendermast.framing import IdentifiedResponse, ServerResponse, remove_hop_headers
from lavendermast.models import REPEATABLE_METHODS, AttemptStatus

_REPLACED_HEADERS = frozenset(
    {"host", "content-length", "expect", "x-deadline", "x-request-id"}
)
_REFUSALS = {
    "shedding": AttemptStatus.SHED,
    "draining": AttemptStatus.DRAINING,
}


class ServerProtocol(abc.ABC):
    """The headers of attempts and the meaning of answers."""

    #: Lower-case name of the header in which servers repeat the request's identifier.
    response_id_header = None

    @abc.abstractmethod
    def build_headers(self, request, server):
        """Return the headers of an attempt at one server."""

    @abc.abstractmethod
    def read_result(self, result, response):
        """Fill status and headers of a result from a response's head."""

    def make_response(self, request):
        """Return the class that reads the response to a request."""
        if self.response_id_header is None:
            return ServerResponse
        return functools.partial(
            IdentifiedResponse,
            id_header=self.response_id_header,
            request_id=request.id,
        )


class OwnServerProtocol(ServerProtocol):
    """
    HTTP with the headers that this project defines.

    :param build_headers: function of request and server that returns other headers.
    """

    def __init__(self, build_headers=None):
        self._build_headers = build_headers or build_server_headers

    def build_headers(self, request, server):
        """Return the headers of an attempt at one server."""
        return self._build_headers(request, server)

    def read_result(self, result, response):
        """Fill status and headers of a result from a response's head."""
        _interpret(result, response)


def build_server_headers(request, server):
    """Return the headers of a request to a backend server."""
    headers = [("Host", server.address)]
    for name, value in remove_hop_headers(request.headers):
        lowered = name.lower()
        if lowered in _REPLACED_HEADERS or lowered.startswith("lavendermast-"):
            continue
        if lowered == "idempotency-key" and request.key:
            continue
        headers.append((name, value))
    headers.append(("X-Deadline", str(request.deadline_unix_ms)))
    headers.append(("X-Request-Id", request.id))
    if request.key:
        headers.append(("Idempotency-Key", request.key))
    return add_length(headers, request)


def add_length(headers, request):
    """Append the length of a request's body where the method calls for one."""
    if request.body or request.method not in REPEATABLE_METHODS:
        headers.append(("Content-Length", str(len(request.body))))
    return headers


def _interpret(result, response):
    result.http_status = response.status
    result.headers = remove_hop_headers(response.headers)
    state = None
    for name, value in result.headers:
        lowered = name.lower()
        if lowered == "x-server-state":
            state = value.strip().lower()
        elif lowered == "x-server-load":
            result.load = _parse_load(value)
    if response.status == 503 and state in _REFUSALS:
        result.status = _REFUSALS[state]
    elif response.status >= 500:
        result.status = AttemptStatus.ERROR


def _parse_load(value):
    busy, _, slots = value.partition("/")
    if not (busy.strip().isdigit() and slots.strip().isdigit()) or int(slots) == 0:
        return None
    return int(busy) / int(slots)
