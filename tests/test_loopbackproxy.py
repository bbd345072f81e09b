"""Tests of the proxy that the soak puts in front of the store and the servers."""

import subprocess
import sys

import eventlet
import pytest

from standins.loopbackproxy import LoopbackProxy


@pytest.fixture
def server():
    """Return a listening socket whose connections echo what they receive."""

    def echo(sock, _address):
        while data := sock.recv(100):
            sock.sendall(data)

    listener = eventlet.listen(("127.0.0.1", 0))
    task = eventlet.spawn(eventlet.serve, listener, echo)
    yield listener
    task.kill()


def connect_all(server, count):
    proxy = LoopbackProxy("{}:{}".format(*server.getsockname()))
    proxy.start()
    host, _, port = proxy.address.rpartition(":")
    callers = [eventlet.connect((host, int(port))) for _ in range(count)]
    for caller in callers:
        caller.sendall(b"ping")
        assert caller.recv(100) == b"ping"
    return proxy, callers


def test_reset_is_seen_by_callers(server):
    """Guards against a reset that reaches the caller as a regular close."""
    proxy, callers = connect_all(server, 3)
    proxy.reset_all()
    eventlet.sleep(0.05)
    for caller in callers:
        # Eventlet's recv returns b"" for a reset as for a regular close, so the test
        # sends: after a regular close the first send succeeds, after a reset it fails.
        with pytest.raises(ConnectionError):
            caller.sendall(b"ping")


def test_end_of_one_direction_leaves_the_other(server):
    """Guards against a proxy that drops the response when the caller half-closes."""
    _, (caller,) = connect_all(server, 1)
    caller.sendall(b"last")
    caller.shutdown(1)
    assert caller.recv(100) == b"last"
    assert caller.recv(100) == b""


def test_reset_frees_the_descriptors_at_the_hub(server):
    """
    Guards against closed descriptors that stay registered at eventlet's hub.

    A process started later gets a pipe with the same descriptor number, and the start
    fails with a second reader of that descriptor.
    """
    proxy, callers = connect_all(server, 5)
    for caller in callers:
        caller.close()
    proxy.reset_all()
    starts = [
        eventlet.spawn(subprocess.run, [sys.executable, "-c", ""], check=True)
        for _ in range(5)
    ]
    for start in starts:
        start.wait()
