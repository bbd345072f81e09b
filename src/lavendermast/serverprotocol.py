"""Protocols of backend servers: request headers and meaning of responses."""

import abc
import functools

from lavendermast.framing import (
    IdentifiedResponse,
    ServerResponse,
    remove_hop_by_hop_headers,
)
from lavendermast.models import SAFE_METHODS, AttemptStatus

_REPLACED_HEADERS = frozenset(
    {"host", "content-length", "expect", "x-deadline", "x-request-id"}
)
_REFUSAL_STATUSES = {
    "shedding": AttemptStatus.SHED,
    "draining": AttemptStatus.DRAINING,
}


class ServerProtocol(abc.ABC):
    """Builds the headers of attempts and interprets responses."""

    #: Lower-case name of the header in which servers return the request identifier;
    #: ``None`` when they do not.
    response_id_header = None

    @abc.abstractmethod
    def build_headers(self, request, server):
        """Return the headers of an attempt at one server."""

    @abc.abstractmethod
    def fill_result(self, result, response):
        """Set status and headers of a result from the head of a response."""

    def get_response_class(self, request):
        """Return the ``response_class`` for the response to a request."""
        if self.response_id_header is None:
            return ServerResponse
        return functools.partial(
            IdentifiedResponse,
            id_header=self.response_id_header,
            request_id=request.id,
        )


class DefaultServerProtocol(ServerProtocol):
    """
    HTTP with the headers that this project defines.

    :param build_headers: function ``(request, server) -> headers`` that replaces
        :func:`build_server_headers`, or ``None``.
    """

    def __init__(self, build_headers=None):
        self._build_headers = build_headers or build_server_headers

    def build_headers(self, request, server):
        """Return the headers of an attempt at one server."""
        return self._build_headers(request, server)

    def fill_result(self, result, response):
        """Set status and headers of a result from the head of a response."""
        _fill_result(result, response)


def build_server_headers(request, server):
    """Return the headers of a request to a backend server."""
    headers = [("Host", server.address)]
    for name, value in remove_hop_by_hop_headers(request.headers):
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
    return add_content_length(headers, request)


def add_content_length(headers, request):
    """Append Content-Length if the request has a body or its method expects one."""
    if request.body or request.method not in SAFE_METHODS:
        headers.append(("Content-Length", str(len(request.body))))
    return headers


def _fill_result(result, response):
    result.http_status = response.status
    result.headers = remove_hop_by_hop_headers(response.headers)
    state = None
    for name, value in result.headers:
        lowered = name.lower()
        if lowered == "x-server-state":
            state = value.strip().lower()
        elif lowered == "x-server-load":
            result.load = _parse_load(value)
    if response.status == 503 and state in _REFUSAL_STATUSES:
        result.status = _REFUSAL_STATUSES[state]
    elif response.status >= 500:
        result.status = AttemptStatus.ERROR


def _parse_load(value):
    busy, _, slots = value.partition("/")
    if not (busy.strip().isdigit() and slots.strip().isdigit()) or int(slots) == 0:
        return None
    return int(busy) / int(slots)
