"""Socket options that detect dead connections, and reads that report resets."""

import socket

from eventlet.hubs import trampoline

#: Keep-alive detects a dead connection to the store within 1 + 2 x 1 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: A connection is closed when sent data stays unacknowledged for this long: twice the
#: longest retransmission of one lost packet between regions.
USER_TIMEOUT_MS = 1_500

_TCP = socket.IPPROTO_TCP
SERVER_SOCKET_OPTIONS = (
    (_TCP, socket.TCP_NODELAY, 1),
    (_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)
STORE_SOCKET_OPTIONS = (
    *SERVER_SOCKET_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


def set_options(sock, options):
    """Set socket options, each a triple of level, name and value."""
    for option in options:
        sock.setsockopt(*option)


def peek(sock):
    """
    Return what waits at a green socket, without reading it and without blocking.

    :return: the first byte, empty if the connection has ended, ``None`` if nothing
        waits.
    """
    try:
        return sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except (OSError, ValueError):
        return b""


def receive(sock, count):
    """
    Read up to ``count`` bytes from a green socket; no bytes mean an orderly close.

    Eventlet's own ``recv`` reports a reset as an orderly close, so that a truncated
    response would look complete.

    :raises OSError: when the connection was reset.
    """
    raw_socket = getattr(sock, "fd", None)
    if raw_socket is None:
        return sock.recv(count)
    while True:
        try:
            return raw_socket.recv(count)
        except BlockingIOError:
            trampoline(raw_socket, read=True)
