"""Responses that return the request identifier, on reused connections."""

import socket
import struct

import eventlet
import pytest
from eventlet.green import socket as green_socket
from hypothesis import given, strategies as st

from lavendermast.exceptions import FramingError, TruncatedResponseError
from lavendermast.framing import IdentifiedResponse


class PieceSocket:
    """Returns one piece of data per ``recv``, then an orderly close."""

    def __init__(self, *pieces):
        self._pieces = list(pieces)

    def recv(self, count):
        return self._pieces.pop(0) if self._pieces else b""


def make_answer(request_id, body, extra=b""):
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body + extra


def read(*pieces, request_id="mine"):
    response = IdentifiedResponse(
        PieceSocket(*pieces), id_header="request-id", request_id=request_id
    )
    response.begin()
    body = b""
    while piece := response.read_piece():
        body += piece
    return response, body


def test_late_answer_to_another_request_is_skipped():
    """
    Guards against a caller that gets the response to another request.

    The response to an earlier request arrives late on the reused connection.
    """
    response, body = read(make_answer("old", b"old"), make_answer("mine", b"new"))
    assert body == b"new"
    assert response.reusable


def test_bytes_after_the_response_prevent_reuse():
    """
    Guards against reuse of a connection with unread bytes.

    The next request would read them as its response. This response is complete.
    """
    response, body = read(make_answer("mine", b"new", b"HTTP/1.1 200 OK\r\n"))
    assert body == b"new"
    assert not response.reusable


def test_only_responses_to_other_requests_are_an_error():
    """
    Guards against an endless read.

    The server keeps sending responses to another request.
    """
    with pytest.raises(FramingError):
        read(*[make_answer("old", b"x")] * 3)


def test_response_without_length_ends_when_the_connection_closes():
    """
    Guards against rejecting a complete response.

    Without a length, the body ends when the server closes the connection.
    """
    response, body = read(b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\nab", b"cd")
    assert body == b"abcd"
    assert not response.reusable


def test_early_end_of_a_response_is_an_error():
    """
    Guards against a truncated response that looks complete.

    The connection closes before Content-Length bytes were received.
    """
    with pytest.raises(TruncatedResponseError):
        read(make_answer("mine", b"whole")[:-2])


def test_reset_of_a_response_without_length_is_an_error():
    """
    Guards against a truncated response that looks complete.

    Eventlet's ``recv`` reports a reset as an orderly close, which would end the body.
    """
    listener = eventlet.listen(("127.0.0.1", 0))

    def serve():
        peer, _ = listener.accept()
        peer.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\npart")
        eventlet.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        peer.close()

    eventlet.spawn(serve)
    sock = green_socket.create_connection(listener.getsockname())
    response = IdentifiedResponse(sock, id_header="request-id", request_id="mine")
    response.begin()
    with pytest.raises(ConnectionResetError):
        while response.read_piece():
            pass


REFUSAL = b"HTTP/1.1 503 -\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def test_response_without_an_identifier_is_not_that_of_the_request():
    """
    Guards against "not run" for a request that the server runs.

    A faulty server sends a refusal without the identifier before its response.
    """
    response, body = read(REFUSAL, make_answer("mine", b"new"))
    assert (response.status, body) == (200, b"new")
    with pytest.raises(TruncatedResponseError):
        read(REFUSAL)


def test_request_without_an_identifier_accepts_a_response_without_one():
    """Guards against rejecting the response to a caller that sends no identifier."""
    response, _ = read(REFUSAL, request_id="")
    assert response.status == 503


@pytest.mark.parametrize(
    "endless",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 -\r\nLink: a\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"400\r\n" * 2
        + b"x" * 1024,
        b"x",
        b"HTTP/1.1 200 OK\r\nx-a: " + b"x" * 1000,
        b"HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 99999999999\r\n\r\n",
    ],
)
def test_bytes_that_are_no_response_are_bounded(endless):
    """Guards against a server that sends bytes without end in place of a response."""

    class EndlessSocket:
        received = 0

        def recv(self, count):
            self.received += len(endless)
            assert self.received < 4 * 1024 * 1024
            return endless if self.received < 2**20 else b"x" * 65536

    response = IdentifiedResponse(
        EndlessSocket(), id_header="request-id", request_id="mine"
    )
    with pytest.raises(FramingError):
        response.begin()


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\nRequest-Id: mine\r\n\r\n",
    ],
)
def test_reading_yields_while_data_keeps_coming(data):
    """
    Guards against an attempt whose deadline never ends it.

    A read that finds data does not yield, so the timer of the deadline cannot run.
    """

    class BusySocket:
        pieces = 0

        def recv(self, count):
            self.pieces += 1
            assert self.pieces < 100_000, "the timer never ran"
            if self.pieces == 1:
                return data
            return b"14\r\n" + b"y" * 20 + b"\r\n" if b"chunked" in data else b"y" * 9

    response = IdentifiedResponse(BusySocket(), id_header="none", request_id="")
    response.begin()
    # Due at once, so that how fast this machine reads does not matter.
    with pytest.raises(eventlet.Timeout), eventlet.Timeout(0):
        while response.read_piece():
            pass


CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class ChunkSocket:
    """A server that sends the same chunks without end, as much as a read takes."""

    def __init__(self, chunk):
        self.chunks = chunk * (65536 // len(chunk) + 1)
        self.received = 0

    def recv(self, count):
        if not self.received:
            self.received = len(CHUNKED_HEAD)
            return CHUNKED_HEAD
        self.received += len(self.chunks)
        return self.chunks


@pytest.mark.parametrize(
    "chunk",
    [b"1\r\ny\r\n", b"2\r\nyy\r\n", b"1;" + b"x" * 4000 + b"\r\ny\r\n"],
)
def test_short_chunks_without_end_are_given_up(chunk):
    """
    Guards against a server whose short chunks take the processor from all requests.

    A chunk of one byte takes as much processor time as a long one.
    """
    sock = ChunkSocket(chunk)
    response = IdentifiedResponse(sock, id_header="request-id", request_id="mine")
    response.begin()
    with pytest.raises(FramingError):
        while response.read_piece():
            assert sock.received < 4 * 65536


def test_short_chunks_are_returned_together():
    """Guards against an object for each chunk, which takes 50 times its memory."""
    sock = ChunkSocket(b"14\r\n" + b"y" * 20 + b"\r\n")
    response = IdentifiedResponse(sock, id_header="request-id", request_id="mine")
    response.begin()
    pieces = [response.read_piece() for _ in range(50)]
    assert sum(map(len, pieces)) / len(pieces) > 5000


def split(wire, ends):
    """Return the packets of some bytes that end at the given positions."""
    ends = [*sorted(end for end in ends if end < len(wire)), len(wire)]
    return [wire[a:b] for a, b in zip([0, *ends], ends, strict=False)]


responses = st.builds(
    lambda request_id, body, chunked: (
        (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        + b"".join(b"1\r\n%c\r\n" % byte for byte in body)
        + b"0\r\n\r\n"
        if chunked
        else make_answer(request_id, body)
    ),
    st.just("mine"),
    st.binary(max_size=30),
    st.booleans(),
)
PREFIXES = [b"", REFUSAL, make_answer("old", b"old"), b"HTTP/1.1 100 -\r\n\r\n"]


@given(st.sampled_from(PREFIXES), responses, st.sets(st.integers(1, 200)), st.data())
def test_response_that_breaks_off_never_looks_complete(prefix, wire, ends, data):
    """
    Guards against a broken-off response that a caller takes for a whole one.

    The server closes anywhere in the head or the body.
    """
    end = data.draw(st.integers(0, len(wire) - 1))
    with pytest.raises((TruncatedResponseError, FramingError)):
        read(*split(prefix + wire[:end], ends))


@given(responses, st.binary(max_size=40), st.sets(st.integers(1, 200)))
def test_extra_bytes_are_never_part_of_a_response(wire, extra, ends):
    """Guards against bytes after a response that reach its caller or the next one."""
    whole, body = read(wire)
    packets = split(wire + extra, ends)
    response, read_body = read(*packets)
    assert read_body == body
    assert whole.reusable
    assert response.reusable == (not extra or len(wire) in ends)
