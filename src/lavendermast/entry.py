"""WSGI applications of an entry VM: proxy, readiness check and address directory."""

import math
import urllib.parse

import attrs

from lavendermast.answers import (
    ResponseBody,
    accepts_chunks,
    reject_unknown_length,
    send_response,
)
from lavendermast.callers import DisconnectWatcher
from lavendermast.denials import RETRY_AFTER_S, STOPPING_RETRY_S
from lavendermast.exceptions import LavendermastError, RequestError
from lavendermast.gateway import get_status_line
from lavendermast.models import CallerRequest, Outcome, Reply
from lavendermast.requests import (
    check_header_size,
    get_raw_path,
    read_body,
    read_headers,
)
from lavendermast.upstream import Cancellation

#: Retry-After of a VM that has no configuration yet.
STARTING_RETRY_S = 0.3
#: Part of a caller's timeout that is reserved for the response to travel back.
RETURN_MARGIN_S = 0.03


@attrs.frozen
class CallerHeaderNames:
    """
    Names of headers in callers' requests, as the platform defines them.

    :param request_id_variable: WSGI name of the header with the request ID.
    :param time_left_variable: WSGI name of the header with the remaining
        milliseconds of the caller's timeout.
    :param request_id_header: name of the request ID header in responses.
    :param key_variable: WSGI name of the header with the key of an account.
    :param account_headers: lower-case names of the headers that are removed while
        accounts are in force: the key, and the account that servers are told.
    """

    request_id_variable: str
    time_left_variable: str
    request_id_header: str
    key_variable: str = ""
    account_headers: frozenset = frozenset()


class EntryApplication:
    """
    Forwards callers' requests to backend servers.

    :param header_names: a :class:`CallerHeaderNames`.
    :param node: object with ``router``, ``config``, ``leaving`` and ``refusing``.
    :param runner: an :class:`~lavendermast.attempts.AttemptRunner`.
    :param memory: a :class:`~lavendermast.memory.MemoryBudget` for bodies.

    ``in_flight`` counts the requests whose response is not written yet; beyond
    ``max_in_flight`` requests are refused. ``allowances`` limits the requests of
    accounts, ``None`` sets no limit.
    """

    def __init__(self, header_names, node, runner, memory, clock, record_event):
        self._header_names = header_names
        self._node = node
        self._runner = runner
        self._memory = memory
        self._clock = clock
        self._record_event = record_event
        self.in_flight = 0
        self.max_in_flight = math.inf
        #: An :class:`~lavendermast.accounts.Authorizer`; ``None`` without accounts.
        self.authorizer = None
        self.started_requests = 0
        self.outcomes = {}
        self.latencies = None
        self.allowances = None

    def __call__(self, environ, start_response):
        arrived_at = self._clock.monotonic()
        self.in_flight += 1
        self.started_requests += 1
        reservation = self._memory.open()

        def end_request():
            self.in_flight -= 1
            reservation.release()

        try:
            route, reply = self._make_reply(environ, arrived_at, reservation)
            parts = self._send(reply, route, environ, arrived_at, start_response)
        except BaseException:
            end_request()
            raise
        return ResponseBody(parts, end_request)

    def _make_reply(self, environ, arrived_at, reservation):
        """Return the route, ``None`` if there is none, and the reply."""
        route = None
        try:
            route = self._find_route(environ)
            request = self._read_request(environ, route, arrived_at, reservation)
            service = self._node.router.choose_service(route)
            caller_cancellation = Cancellation()
            with DisconnectWatcher(
                environ["eventlet.input"].get_socket(), caller_cancellation
            ):
                reply = self._runner.run(request, route, service, caller_cancellation)
            self._refund(request.account, reply)
        except RequestError as error:
            reply = make_refusal(error)
        return route, reply

    def _find_route(self, environ):
        if self._node.refusing:
            raise RequestError(
                503, "stopping", "ask another VM", retry_after=STOPPING_RETRY_S
            )
        if self._node.config is None:
            raise RequestError(
                503, "not-ready", "no configuration yet", retry_after=STARTING_RETRY_S
            )
        if self.in_flight > self.max_in_flight:
            raise RequestError(
                503, "overloaded", "too many requests", retry_after=RETRY_AFTER_S
            )
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        route = self._node.router.find_route(host, get_raw_path(environ))
        if route is None:
            raise RequestError(404, "no-route", "no route matches")
        return route

    def _admit_account(self, account, route):
        """Refuse a request beyond the allowance of its account."""
        if self.allowances is None or account is None:
            return
        retry_after = self.allowances.admit(account, route.priority)
        if retry_after:
            raise RequestError(
                429,
                "over-allowance",
                "the account is over its allowance",
                retry_after=retry_after,
            )

    def _refund(self, account, reply):
        """Charge nothing to the allowance of an account if its request did not run."""
        has_allowance = self.allowances is not None and account is not None
        if has_allowance and reply.outcome is Outcome.NOT_RUN:
            self.allowances.refund(account)

    def _read_request(self, environ, route, arrived_at, reservation):
        limits = self._node.config.limits
        check_header_size(environ, limits.max_header_bytes)
        account, credential = self._authorize(environ, route)
        self._admit_account(account, route)
        left_s = route.timeout_s
        text = environ.get(self._header_names.time_left_variable, "")
        if text.isdigit():
            left_s = min(left_s, int(text) / 1000 - RETURN_MARGIN_S)
        return CallerRequest(
            id=environ.get(self._header_names.request_id_variable, ""),
            method=environ["REQUEST_METHOD"],
            path=get_raw_path(environ),
            query=environ.get("QUERY_STRING", ""),
            headers=self._read_headers(environ, credential),
            body=read_body(environ, limits.max_body_bytes, reservation),
            customer="",
            deadline=arrived_at + left_s,
            deadline_unix_ms=0,
            arrived_at=arrived_at,
            idempotent=route.idempotent,
            reservation=reservation,
            account=account,
            credential=credential,
        )

    def _authorize(self, environ, route):
        """Return the account of a request, and what is needed to check it again."""
        if self.authorizer is None:
            return None, None
        key = environ.get(self._header_names.key_variable, "")
        account = self.authorizer.authorize(key, route)
        return account, self.authorizer.make_credential(key, account)

    def _read_headers(self, environ, credential):
        """Return the header fields for the server, without those of accounts."""
        headers = read_headers(environ)
        if credential is None:
            return headers
        removed = self._header_names.account_headers
        return [pair for pair in headers if pair[0].lower() not in removed]

    def _send(self, reply, route, environ, arrived_at, start_response):
        request_id = environ.get(self._header_names.request_id_variable, "")
        stream = reply.stream
        if stream is not None and stream.length is None and not accepts_chunks(environ):
            reply = reject_unknown_length(reply)
        headers = [
            pair
            for pair in reply.headers
            if pair[0].lower() not in ("content-length", "date")
        ]
        if not any(
            name.lower() == self._header_names.request_id_header.lower()
            for name, _ in headers
        ):
            headers.append((self._header_names.request_id_header, request_id))
        if reply.retry_after:
            headers.append(("Retry-After", f"{reply.retry_after:g}"))
        if self._node.leaving:
            headers.append(("Connection", "close"))
        self._record_reply(reply, route, request_id, arrived_at)
        if reply.stream is not None:
            if reply.stream.length is not None:
                headers.append(("Content-Length", str(reply.stream.length)))
            start_response(get_status_line(reply.status), headers)
            return self._stream(reply, request_id)
        headers.append(("Content-Length", str(len(reply.body))))
        start_response(get_status_line(reply.status), headers)
        return [reply.body]

    def _stream(self, reply, request_id):
        try:
            yield from reply.stream
        except LavendermastError as error:
            self._record_event("answer_cut", request=request_id, detail=str(error))
            # Raising closes the connection before the end of the body.
            raise ConnectionAbortedError(str(error)) from error
        finally:
            reply.stream.close()

    def _record_reply(self, reply, route, request_id, arrived_at):
        key = (reply.outcome.value, reply.reason)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
        seconds = self._clock.monotonic() - arrived_at
        if self.latencies is not None and route is not None:
            self.latencies.observe(route.name, seconds)
        self._record_event(
            "request",
            request=request_id,
            route=route.name if route else None,
            config_version=self._node.config.version if self._node.config else 0,
            outcome=reply.outcome.value,
            reason=reply.reason,
            status=reply.status,
            attempts=reply.attempts,
            server=reply.server or None,
            latency_ms=round(seconds * 1000, 1),
        )


def make_refusal(error):
    """Return the reply to a request that is refused before the first attempt."""
    headers = [("Content-Type", "application/json")]
    return Reply(
        Outcome.NOT_RUN,
        error.reason,
        error.status,
        headers,
        error.make_body(),
        retry_after=error.retry_after,
    )


class ReadyApplication:
    """Readiness check: tells the platform whether this VM accepts callers."""

    def __init__(self, path, is_ready):
        self._path = path
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        ready = environ["PATH_INFO"] == self._path and self._is_ready()
        status = "200 OK" if ready else "503 Service Unavailable"
        return send_response(start_response, status)


class DirectoryApplication:
    """
    Tells callers which entry VMs to use.

    :param path: path of the request.
    :param make_body: callable ``query -> body``; returns ``None`` when no VM is known.
    """

    def __init__(self, path, make_body):
        self._path = path
        self._make_body = make_body

    def __call__(self, environ, start_response):
        body = None
        if environ["PATH_INFO"] == self._path:
            query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
            body = self._make_body(query)
        if body is None:
            return send_response(start_response, "503 Service Unavailable")
        return send_response(start_response, "200 OK", body, "application/json")
