"""Responses that return the request identifier, on reused connections."""

import socket
import struct

import eventlet
import pytest
from eventlet.green import socket as green_socket

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
