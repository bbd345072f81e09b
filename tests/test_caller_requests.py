"""Requests of callers, as bytes on a connection."""

import eventlet
import pytest
from eventlet.green import socket

from lavendermast.listeners import HttpListener


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
