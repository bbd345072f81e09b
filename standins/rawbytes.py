"""Stand-in for a backend server that answers with given bytes."""

import eventlet

from standins.instance import InstanceStandIn

READ_BYTES = 65536


class RawStandIn(InstanceStandIn):
    """
    A server that answers each request with the same bytes and then ends the connection.

    :param answer: text in which ``{id}`` stands for the identifier of the request.
    """

    def __init__(self, name, service, zone, answer):
        super().__init__(name, service, zone)
        self._answer = answer
        self.answered = 0

    def start(self):
        """Serve until the process ends."""
        eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self._socket.accept()
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock):
        head = b""
        try:
            while b"\r\n\r\n" not in head:
                data = sock.recv(READ_BYTES)
                if not data:
                    return
                head += data
            self.answered += 1
            sock.sendall(self._answer.format(id=find_request_id(head)).encode())
            self._send_rest(sock)
        except OSError:
            pass
        finally:
            sock.close()

    def _send_rest(self, sock):
        """Send what follows the answer: nothing."""


def find_request_id(head):
    """Return the request identifier of the platform in the head of a request."""
    for line in head.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "request-id":
            return value.strip()
    return ""
