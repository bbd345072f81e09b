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


SMUGGLED = b"POST /smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(SMUGGLED)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(SMUGGLED), SMUGGLED)


def frame(framing, body):
    return b"POST /book/1 HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n" + body


@pytest.mark.parametrize(
    ("framing", "body", "status"),
    [
        (b"Transfer-Encoding: gzip, chunked\r\n", CHUNKS, 501),
        (b"Transfer-Encoding: identity\r\n", SMUGGLED, 501),
        (b"Transfer-Encoding: xchunked\r\n", CHUNKS, 501),
        (CHUNKED + CHUNKED, CHUNKS, 400),
        (CHUNKED + LENGTH, CHUNKS, 400),
        (b"Content-Length: 0\r\n" + LENGTH, SMUGGLED, 400),
        (LENGTH + LENGTH, SMUGGLED, 400),
        (LENGTH.replace(b": ", b": +"), SMUGGLED, 400),
        (LENGTH.replace(b":", b" :"), SMUGGLED, 400),
        (b"No colon\r\n" + LENGTH, SMUGGLED, 400),
        (b"A: b\r\n " + LENGTH, SMUGGLED, 400),
        (b"A: b\rc\r\n" + LENGTH, SMUGGLED, 400),
    ],
)
def test_request_with_unclear_framing_is_refused(listener, framing, body, status):
    """
    Guards against a body that is lost, or run as a request that nobody sent (UNASKED).
    """
    received = exchange(listener, frame(framing, body))
    assert listener.runs == []
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert received.count(b"HTTP/1.1") == 1


@pytest.mark.parametrize("framing", [LENGTH, CHUNKED, CHUNKED.lower()])
def test_request_with_clear_framing_is_run_once(listener, framing):
    """Guards against a refusal of sound framing."""
    body = SMUGGLED if framing is LENGTH else CHUNKS
    received = exchange(listener, frame(framing, body) + frame(b"", b""))
    assert listener.runs == [("POST", "/book/1")] * 2
    assert received.count(b"HTTP/1.1 200") == 2


@pytest.mark.parametrize(
    "body",
    [
        b"+3\r\nabc\r\n0\r\n\r\n",
        b"-3\r\nabc\r\n0\r\n\r\n",
        b"0x3\r\nabc\r\n0\r\n\r\n",
        b"3\r\nabcXX\r\n0\r\n\r\n",
        b"3\nabc\r\n0\r\n\r\n",
        b"3\r\nabc\r\n\r\n0\r\n\r\n",
        b"3\r\nabc\r\n0\r\nA: b\n\r\n",
        b"3\r\nab",
        b"",
    ],
)
def test_malformed_chunks_are_never_a_body(body):
    """Guards against chunks that the library reads in another way than the caller."""
    bodies = []

    def application(environ, start_response):
        try:
            bodies.append(read_body(environ, 100))
        except RequestError as error:
            start_response(f"{error.status} -", [("Content-Length", "0")])
            return [b""]
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    strict = HttpListener("127.0.0.1:0", application)
    strict.start()
    received = exchange(strict, frame(CHUNKED, body) + frame(b"", b""))
    strict.stop_accepting()
    assert bodies == []
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1") == 1


REFUSALS = ["401 -", "404 -", "413 -", "429 -", "503 -"]


@pytest.fixture(params=[None, *REFUSALS])
def answering(request):
    """A listener that reads bodies, or refuses requests without reading their body."""
    bodies = []

    def application(environ, start_response):
        if request.param is None:
            try:
                bodies.append(len(read_body(environ, 10**7)))
            except RequestError as error:
                start_response(f"{error.status} -", [("Content-Length", "0")])
                return [b""]
        else:
            bodies.append(0)
        start_response(request.param or "200 OK", [("Content-Length", "0")])
        return [b""]

    listener = HttpListener("127.0.0.1:0", application)
    listener.bodies, listener.reads = bodies, request.param is None
    listener.start()
    yield listener
    listener.stop_accepting()


EXTENSION = b";chunk-signature=" + b"0" * 64
TRAILER = b"".join(b"X-%d: %s\r\n" % (n, b"t" * 150) for n in range(90))


def test_body_with_usual_extensions_and_trailers_is_read(answering):
    """Guards against bounds that callers within the limits of a request meet."""
    chunk = b"1000%s\r\n%s\r\n" % (EXTENSION, b"x" * 4096)
    body = chunk * 500 + b"0%s\r\n%s\r\n" % (EXTENSION, TRAILER)
    received = exchange(answering, frame(CHUNKED, body) + frame(b"", b""))
    assert received.count(b"HTTP/1.1") == 2
    assert answering.bodies == [500 * 4096 if answering.reads else 0, 0]


@pytest.mark.parametrize(
    "body",
    [
        b"0\r\n" + b"X-A: b\r\n" * 101 + b"\r\n",
        b"0\r\nX-A: " + b"b" * 16_384 + b"\r\n\r\n",
        b"0\r\n" + b"X-A: %s\r\n" % (b"b" * 1000) * 17 + b"\r\n",
        b"0;" + b"a" * 4096 + b"\r\n\r\n",
        b"0" * 4096 + b"\r\n\r\n",
        b"1;%s\r\nx\r\n" % (b"a" * 4000) * 17 + b"0\r\n\r\n",
    ],
)
def test_lines_beyond_their_bounds_end_the_connection(answering, body):
    """Guards against lines without end, read or discarded, that take all memory."""
    received = exchange(answering, frame(CHUNKED, body) + frame(b"", b""))
    assert received.count(b"HTTP/1.1") == 1
    assert answering.bodies == ([] if answering.reads else [0])
