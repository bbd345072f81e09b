"""Socket options that reveal connections which went silent."""

import socket

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
