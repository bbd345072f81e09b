"""The WSGI application of an entry VM, without servers and network."""

import types

import eventlet
import pytest
from eventlet.green import socket

from lavendermast.clock import SystemClock
from lavendermast.entry import CallerHeaderNames, EntryApplication
from lavendermast.entrymodel import Account, EntryRoute, RequestKind, SplitPart
from lavendermast.exceptions import RequestError, TruncatedResponseError
from lavendermast.listeners import HttpListener
from lavendermast.memory import MemoryBudget
from lavendermast.models import Outcome, Reply

ROUTE = EntryRoute("r", "h", "/", (SplitPart("stock"),), RequestKind.DOWNLOAD, 9.0, 2.0)
NAMES = CallerHeaderNames("HTTP_REQUEST_ID", "HTTP_DEADLINE_MS", "Request-Id")
LARGE_BODY = b"x" * 20_000_000


class BrokenStream:
    """A body that breaks off after its first part."""

    def __init__(self, length=None):
        self.length = length

    def __iter__(self):
        yield b"x" * 8192
        raise TruncatedResponseError("reset")

    def close(self):
        """Do nothing; there is no connection."""


@pytest.fixture
def serve():
    listeners = []

    def start(**reply):
        node = types.SimpleNamespace(
            router=types.SimpleNamespace(
                find_route=lambda host, path: ROUTE, choose_service=lambda route: "s"
            ),
            config=types.SimpleNamespace(
                version=1,
                limits=types.SimpleNamespace(
                    max_header_bytes=9999, max_body_bytes=9999
                ),
            ),
            leaving=False,
            refusing=False,
        )
        runner = types.SimpleNamespace(
            run=lambda *_: Reply(Outcome.ANSWERED, "ok", 200, **reply)
        )
        memory = MemoryBudget(100_000_000)
        application = EntryApplication(
            NAMES,
            node,
            runner,
            memory,
            SystemClock(),
            lambda event, **fields: None,
        )
        listeners.append(HttpListener("127.0.0.1:0", application))
        listeners[-1].start()
        return application, ("127.0.0.1", listeners[-1].port)

    yield start
    for listener in listeners:
        listener.stop_accepting()


def exchange(address, version):
    """Return all bytes that the system sends to a caller of one request."""
    with eventlet.Timeout(20), socket.create_connection(address) as sock:
        sock.sendall(f"GET / HTTP/{version}\r\nHost: h\r\n\r\n".encode())
        received = b""
        while data := sock.recv(65536):
            received += data
    return received


def test_request_is_in_flight_until_its_response_is_written(serve):
    """
    Guards against a planned stop that cuts off a response while it is written.

    The caller reads slowly, and the process exits when no request is in flight.
    """
    application, address = serve(body=LARGE_BODY)
    with eventlet.Timeout(20), socket.create_connection(address) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        received = len(sock.recv(65536))
        eventlet.sleep(0.05)
        assert application.in_flight == 1
        while data := sock.recv(65536):
            received += len(data)
        assert received > len(LARGE_BODY)
        while application.in_flight:
            eventlet.sleep(0.01)


def test_request_whose_response_cannot_be_written_is_not_in_flight(serve):
    """Guards against a planned stop that waits for callers that have left."""
    application, address = serve(body=LARGE_BODY)
    with socket.create_connection(address) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        sock.recv(1)
    with eventlet.Timeout(20):
        while application.in_flight:
            eventlet.sleep(0.01)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("length", [None, 9000])
def test_stream_that_breaks_off_does_not_look_complete(serve, version, length):
    """
    Guards against an answer that breaks off halfway and is taken for a success.

    A caller of HTTP/1.0 reads a body without Content-Length until the connection ends.
    """
    _, address = serve(stream=BrokenStream(length))
    head, _, body = exchange(address, version).partition(b"\r\n\r\n")
    if version == "1.0" and length is None:
        assert head.startswith(b"HTTP/1.1 502 ")
    elif length is None:
        assert b"Transfer-Encoding: chunked" in head
        assert not body.endswith(b"0\r\n\r\n")
    else:
        assert f"Content-Length: {length}".encode() in head
        assert len(body) < length


def test_request_over_the_allowance_is_refused_without_an_attempt(serve):
    """Guards against requests that are sent or read before they are admitted."""
    application, _ = serve(body=b"x")
    asked = []
    application.allowances = types.SimpleNamespace(
        admit=lambda account, priority: asked.append(account) or 0.5
    )
    application._admit_account(None, ROUTE)
    account = Account("a", (), 0, 1.0, 1.0)
    with pytest.raises(RequestError) as caught:
        application._admit_account(account, ROUTE)
    assert asked == [account]
    assert (caught.value.status, caught.value.reason) == (429, "over-allowance")
    assert caught.value.retry_after == 0.5
