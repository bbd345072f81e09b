"""Socket options that reveal connections which went silent."""

import socket

from eventlet.hubs import trampoline

#: A store connection that went silent is found within 1 + 2 x 1 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Unacknowledged data ends a connection after this time; twice the longest
#: retransmission of one lost packet between regions.
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


def receive(sock, count):
    """
    Return bytes from a green socket, empty at an orderly end.

    Eventlet's own ``recv`` takes a reset for an orderly end.

    :raises OSError: when the connection was reset.
    """
    plain = getattr(sock, "fd", None)
    if plain is None:
        return sock.recv(count)
    while True:
        try:
            return plain.recv(count)
        except BlockingIOError:
            trampoline(plain, read=True)
