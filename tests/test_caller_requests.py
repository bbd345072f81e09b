"""Requests of callers, as bytes on a connection."""

import eventlet
import pytest
from eventlet.green import socket

from lavendermast.clock import SystemClock
from lavendermast.exceptions import RequestError
from lavendermast.listeners import HttpListener
from lavendermast.memory import MemoryBudget
from lavendermast.models import AttemptStatus, CallerRequest, Server
from lavendermast.requests import read_body
from lavendermast.upstream import Upstream


@pytest.fixture
def listener():
    """A listener whose application records what it runs."""
    runs = []

    def application(environ, start_response):
        runs.append((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    listener = HttpListener("127.0.0.1:0", application)
    listener.runs = runs
    listener.start()
    yield listener
    listener.stop_accepting()


def exchange(listener, data):
    """Send bytes, close the sending side and return all bytes that come back."""
    address = ("127.0.0.1", listener.port)
    with eventlet.Timeout(5), socket.create_connection(address) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while part := sock.recv(65536):
            received += part
    return received


HEAD = b"POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: i\r\nContent-Length: 3\r\n\r\n"


@pytest.mark.parametrize("end", range(1, len(HEAD), 5))
def test_part_of_a_head_is_never_run(listener, end):
    """Guards against a request that runs without the rest of its head and its body."""
    assert not exchange(listener, HEAD[:end]).startswith(b"HTTP/1.1 200")
    assert listener.runs == []


class Stream:
    """A request body that arrives in the given pieces."""

    def __init__(self, *pieces):
        self._pieces = list(pieces)

    def read(self, count):
        piece = self._pieces.pop(0) if self._pieces else b""
        assert len(piece) <= count
        return piece


@pytest.mark.parametrize("chunked", [False, True])
def test_bodies_share_the_memory_of_the_process(chunked):
    """
    Guards against uploads, each within its limit, that exceed the memory together.

    What does not fit is refused at once, and fits once another request has ended.
    """
    budget = MemoryBudget(100)
    environ = {"HTTP_TRANSFER_ENCODING": "chunked"}
    if not chunked:
        environ = {"CONTENT_LENGTH": "60"}

    def read(reservation):
        environ["wsgi.input"] = Stream(b"x" * 60)
        return read_body(environ, 80, reservation)

    first, second = budget.open(), budget.open()
    assert read(first) == b"x" * 60
    with pytest.raises(RequestError) as caught:
        read(second)
    assert (caught.value.status, caught.value.retry_after > 0) == (503, True)
    first.release()
    second.release()
    assert read(budget.open()) == b"x" * 60
    assert budget.used_bytes == 60


def test_response_that_does_not_fit_in_memory_is_streamed(listener):
    """Guards against responses that are buffered although no memory is left."""
    budget = MemoryBudget(1)
    deadline = SystemClock().monotonic() + 9
    request = CallerRequest("i", "GET", "/", "", [], b"", "", deadline, 0, 0.0)
    request.reservation = budget.open()
    server = Server("s", "stock", "north", "a", f"127.0.0.1:{listener.port}")
    result = Upstream(SystemClock(), 1000, {}).send(request, server, deadline)
    assert (result.status, b"".join(result.stream)) == (AttemptStatus.OK, b"ok")
    assert budget.refusals == 1


def test_memory_is_returned_once_whatever_an_attempt_does_later():
    """Guards against memory that a cancelled attempt takes after its request ended."""
    budget = MemoryBudget(100)
    reservation = budget.open()
    reservation.grow(40)
    reservation.release()
    assert not reservation.grow(10)
    reservation.release()
    assert budget.used_bytes == 0
