"""The WSGI application that callers connect to."""

import hashlib
import http.client
import json
import urllib.parse

from lavendermast.addresses import ADDRESSES_PATH
from lavendermast.answers import (
    ResponseBody,
    accepts_chunks,
    reject_unknown_length,
)
from lavendermast.exceptions import LavendermastError, RequestError
from lavendermast.logs import DIGEST_CHARACTERS, digest_bytes
from lavendermast.models import Outcome, Reply
from lavendermast.requests import KEY_VARIABLE, REQUEST_HEADER, RequestReader

OUTCOME_HEADER = "Lavendermast-Outcome"
REASON_HEADER = "Lavendermast-Reason"
VM_HEADER = "Lavendermast-Vm"


def get_status_line(status):
    """
    Return a status code with its reason phrase.

    >>> get_status_line(421)
    '421 Misdirected Request'
    """
    return f"{status} {http.client.responses.get(status, 'Unknown')}"


def get_content_length(reply, environ):
    """
    Return the Content-Length of a buffered response.

    For HEAD it is the value that the server sent, if any.
    """
    if environ["REQUEST_METHOD"] == "HEAD":
        for name, value in reply.headers:
            if name.lower() == "content-length":
                return value
    return str(len(reply.body))


class Gateway:
    """
    Handles HTTP requests of callers.

    :param policy: object with the current ``config``, ``router`` and ``ready`` flag.
    :param run_request: callable ``(request, route_name, route, environ) -> Reply``.
    :param address_book: the :class:`~lavendermast.addresses.AddressBook` that lists
        the VMs for callers.
    :param memory: a :class:`~lavendermast.memory.MemoryBudget` for bodies.
    """

    def __init__(
        self, policy, run_request, address_book, identity, memory, clock, record_event
    ):
        self._policy = policy
        self._run_request = run_request
        self._address_book = address_book
        self._vm = identity.vm
        self._memory = memory
        self._reader = RequestReader(identity.vm, identity.boot_id, clock)
        self._clock = clock
        self._record_event = record_event
        self.in_flight = {}
        self.outcomes = {}
        self.close_connections = False

    def __call__(self, environ, start_response):
        reservation = self._memory.open()
        try:
            parts = self._handle(environ, start_response, reservation)
        except BaseException:
            reservation.release()
            raise
        return ResponseBody(parts, reservation.release)

    def _handle(self, environ, start_response, reservation):
        """Return the parts of the response's body."""
        started = self._clock.monotonic()
        request_id = self._reader.get_request_id(environ)
        self.in_flight[request_id] = started
        request, route_name, route = None, None, None
        try:
            if environ["PATH_INFO"] == ADDRESSES_PATH:
                return self._send_addresses(environ, start_response, request_id)
            route_name, route = self._find_route(environ)
            request = self._reader.read(
                environ, request_id, route, self._policy.config.limits, reservation
            )
            reply = self._run_request(request, route_name, route, environ)
        except RequestError as error:
            reply = self._make_error_reply(error, environ, route)
        finally:
            self.in_flight.pop(request_id, None)
        context = (environ, request_id, request, route_name, route, started)
        return self._send(reply, context, start_response)

    def _find_route(self, environ):
        if not self._policy.ready:
            raise RequestError(503, "not-ready", "this VM has no configuration yet")
        found = self._policy.router.find_route(
            environ["REQUEST_METHOD"], environ["PATH_INFO"]
        )
        if found is None:
            raise RequestError(404, "no-route", "no route matches")
        return found

    def _make_error_reply(self, error, environ, route):
        outcome = error.outcome
        if route is None or not route.idempotent:
            # The key was not checked, so an earlier submission with it may have run.
            may_have_run = environ.get(KEY_VARIABLE) and error.reason != "bad-key"
            outcome = Outcome.UNKNOWN if may_have_run else outcome
        headers = [("Content-Type", "application/json"), *error.headers]
        return Reply(
            outcome,
            error.reason,
            error.status,
            headers,
            error.make_body(),
            retry_after=error.retry_after,
        )

    def _send(self, reply, context, start_response):
        environ, request_id = context[0], context[1]
        has_length = any(name == "Content-Length" for name, _ in reply.headers)
        if reply.stream is not None and not (has_length or accepts_chunks(environ)):
            reply = reject_unknown_length(reply)
        headers = [item for item in reply.headers if item[0] != "Content-Length"]
        headers += [
            (REQUEST_HEADER, request_id),
            (OUTCOME_HEADER, reply.outcome.value),
            (REASON_HEADER, reply.reason),
            (VM_HEADER, self._vm),
        ]
        if reply.retry_after:
            headers.append(("Retry-After", str(reply.retry_after)))
        if self.close_connections:
            headers.append(("Connection", "close"))
        if reply.stream is not None:
            return self._stream(reply, context, headers, start_response)
        headers.append(("Content-Length", get_content_length(reply, environ)))
        start_response(get_status_line(reply.status), headers)
        self._log_request(reply, context, len(reply.body), digest_bytes(reply.body))
        return [reply.body]

    def _stream(self, reply, context, headers, start_response):
        headers += [item for item in reply.headers if item[0] == "Content-Length"]
        start_response(get_status_line(reply.status), headers)
        digest = hashlib.sha256()
        size = 0
        complete = False
        try:
            for part in reply.stream:
                digest.update(part)
                size += len(part)
                yield part
            complete = True
        except LavendermastError as error:
            # Raising closes the caller's connection before the end of the body, so that
            # a truncated body cannot look complete.
            raise ConnectionAbortedError(str(error)) from error
        finally:
            reply.stream.close()
            if not complete:
                reply.outcome, reply.reason = Outcome.UNKNOWN, "answer-cut"
            text = digest.hexdigest()[:DIGEST_CHARACTERS]
            self._log_request(reply, context, size, text)

    def _send_addresses(self, environ, start_response, request_id):
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        caller = query.get("caller") or environ.get("REMOTE_ADDR", "")
        addresses = self._address_book.get_addresses(
            query.get("service", ""), query.get("zone", ""), caller
        )
        body = json.dumps(addresses).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Cache-Control", "no-store"),
            (REQUEST_HEADER, request_id),
        ]
        if self.close_connections:
            headers.append(("Connection", "close"))
        start_response("200 OK", headers)
        return [body]

    def _log_request(self, reply, context, size, body_digest):
        environ, request_id, request, route_name, route, started = context
        key = environ.get(KEY_VARIABLE)
        label = (reply.outcome.value, reply.reason)
        self.outcomes[label] = self.outcomes.get(label, 0) + 1
        self._record_event(
            "request",
            request=request_id,
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            route=route_name,
            service=route.service if route else None,
            customer=request.customer if request else None,
            # Idempotent routes ignore the key; such requests may run more than once.
            key=digest_bytes(key.encode())
            if key and not (route and route.idempotent)
            else None,
            outcome=reply.outcome.value,
            reason=reply.reason,
            status=reply.status,
            attempts=reply.attempts,
            server=reply.server or None,
            latency_ms=round((self._clock.monotonic() - started) * 1000, 3),
            bytes=size,
            body_digest=body_digest,
            deadline=request.deadline_unix_ms if request else None,
        )
