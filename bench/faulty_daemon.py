"""A daemon that drops traffic by address, for partitions on loopback.

LAVENDERMAST_FAULTS names a file with `{"drop_from": [...], "drop_to": [...]}`, lists of
`ip:port` addresses. Peer messages from `drop_from` are dropped. Peer messages, requests
to servers and calls to the store that go to `drop_to` are never delivered.
"""

import json
import os
import pathlib
import time

from lavendermast import daemon, fleet, store, upstream
from lavendermast.exceptions import PeerError, StoreError
from lavendermast.models import AttemptResult, AttemptStatus
from lavendermast.peers import PeerNetwork

REFRESH_S = 0.1
#: Time after which a blocked call to the store fails, as READ_TIMEOUT_S of the store
#: client. Watch calls, which have a longer timeout, fail after this time too.
STORE_TIMEOUT_S = 5.0


class FaultFile:
    """Blocked addresses; the file is read again when it changes."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._next_refresh_at = 0.0
        self._modified_ns = None
        self._blocked = {}

    def is_blocked(self, direction, address):
        """Return whether an address is listed in ``drop_from`` or ``drop_to``."""
        now = time.monotonic()
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + REFRESH_S
            self._refresh()
        return address in self._blocked.get(direction, ())

    def _refresh(self):
        try:
            modified_ns = self._path.stat().st_mtime_ns
            if modified_ns != self._modified_ns:
                value = json.loads(self._path.read_text())
                self._blocked = {key: frozenset(item) for key, item in value.items()}
                self._modified_ns = modified_ns
        except (OSError, ValueError):
            return


FAULT_FILE = FaultFile(os.environ.get("LAVENDERMAST_FAULTS", "/nonexistent"))


class FaultyNetwork(PeerNetwork):
    """Peer transport that drops messages by address."""

    def send(self, address, body):
        """Send a datagram unless the address is blocked."""
        if not FAULT_FILE.is_blocked("drop_to", address):
            super().send(address, body)

    def request(self, address, body, deadline):
        """Send a request; it times out if the address is blocked."""
        if FAULT_FILE.is_blocked("drop_to", address):
            self._clock.sleep(max(0.0, deadline - self._clock.monotonic()))
            raise PeerError(f"{address}: blocked")
        return super().request(address, body, deadline)

    def _handle_frame(self, frame, address):
        if FAULT_FILE.is_blocked("drop_from", address):
            return None, None
        return super()._handle_frame(frame, address)


class FaultyUpstream(upstream.Upstream):
    """Upstream whose connections to blocked addresses are never established."""

    def send(self, request, server, deadline, cancellation=None):
        """Make an attempt; to a blocked server it fails to connect at the deadline."""
        if FAULT_FILE.is_blocked("drop_to", server.address):
            self._clock.sleep(max(0.0, deadline - self._clock.monotonic()))
            return AttemptResult(server.name, AttemptStatus.CONNECT_FAILED)
        return super().send(request, server, deadline, cancellation)


class FaultyStoreClient(store.StoreClient):
    """Store client whose calls fail while the store's address is blocked."""

    def __init__(self, address, make_room):
        super().__init__(address, make_room)
        self._address = address

    def _call(self, path, timeout):
        if FAULT_FILE.is_blocked("drop_to", self._address):
            self.calls += 1
            time.sleep(STORE_TIMEOUT_S)
            raise StoreError("blocked")
        return super()._call(path, timeout)


def main():
    """Run the daemon with its network, store client and upstream replaced."""
    fleet.PeerNetwork = FaultyNetwork
    fleet.StoreClient = FaultyStoreClient
    import lavendermast.forwarding
    import lavendermast.node

    lavendermast.node.Upstream = FaultyUpstream
    lavendermast.forwarding.Upstream = FaultyUpstream
    daemon.main()


if __name__ == "__main__":
    main()
