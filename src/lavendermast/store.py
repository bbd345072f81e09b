"""Read-only client of the configuration service: reads and watches values."""

import attrs
import eventlet
import urllib3

from lavendermast.descriptors import is_shortage
from lavendermast.exceptions import StoreError, StoreShortageError
from lavendermast.hashing import rank_members
from lavendermast.tasks import limit_time
from lavendermast.utils import parse_address

MAX_VALUE_BYTES = 1024 * 1024
WATCH_WAIT_S = 10.0
READ_TIMEOUT_S = 5.0
#: A response that still arrives this long after the time for its first bytes is given
#: up.
MAX_TRANSFER_S = 5.0
RETRY_INTERVAL_S = 2.0
READERS_PER_ZONE = 2


@attrs.frozen
class RevisionedValue:
    """A value of the configuration service with its revision in that service."""

    revision: int
    content: bytes


class StoreClient:
    """
    Reads and watches values.

    :param address: ``ip:port`` of the configuration service.
    :param make_room: called when this process lacks descriptors for a call.
    """

    def __init__(self, address, make_room):
        self._make_room = make_room
        self._pool = urllib3.HTTPConnectionPool(*parse_address(address), maxsize=4)
        self.calls = 0

    @classmethod
    def from_settings(cls, settings, budget):
        """Return a client for the store address of the process settings."""
        return cls(settings.store_address, budget.make_room)

    def read(self, name):
        """Return the current value, or ``None`` when there is none."""
        return self._call(f"/v1/values/{name}", READ_TIMEOUT_S)

    def watch(self, name, revision):
        """Return the next value after a revision, or ``None`` if none came in time."""
        path = f"/v1/values/{name}?after={revision}&wait={WATCH_WAIT_S}"
        return self._call(path, WATCH_WAIT_S + READ_TIMEOUT_S)

    def _call(self, path, timeout):
        self.calls += 1
        endless = StoreError(f"the response at {path} does not end")
        try:
            with limit_time(timeout + MAX_TRANSFER_S, endless):
                response = self._pool.request(
                    "GET", path, timeout=timeout, retries=False, preload_content=False
                )
                content = response.read(MAX_VALUE_BYTES + 1)
                if len(content) > MAX_VALUE_BYTES:
                    response.close()
                response.release_conn()
        except urllib3.exceptions.HTTPError as error:
            if is_shortage(error):
                self._make_room()
                raise StoreShortageError(
                    f"no descriptor for a call of the configuration service: {error}"
                ) from error
            raise StoreError(
                f"request to the configuration service failed: {error}"
            ) from error
        if response.status in (304, 404):
            return None
        if response.status != 200:
            raise StoreError(f"configuration service returned status {response.status}")
        if len(content) > MAX_VALUE_BYTES:
            raise StoreError(f"value at {path} is larger than {MAX_VALUE_BYTES} bytes")
        return RevisionedValue(int(response.headers.get("X-Revision", 0)), content)


class StoreReader:
    """
    Watches one value while this VM is one of its zone's readers.

    :param is_reader: callable that returns whether this VM is a reader now.
    :param offer: callable that receives the content of each value seen.
    """

    def __init__(self, name, client, is_reader, offer, record_event):
        self._name = name
        self._client = client
        self._is_reader = is_reader
        self._offer = offer
        self._record_event = record_event
        self._revision = -1
        self._failing = False

    def run(self):
        """Watch until the task is killed."""
        while True:
            if not self._is_reader():
                self._revision = -1
                eventlet.sleep(RETRY_INTERVAL_S)
                continue
            try:
                value = self._watch_once()
            except StoreError as error:
                self._report_failure(str(error))
                eventlet.sleep(RETRY_INTERVAL_S)
                continue
            self._failing = False
            if value is None:
                continue
            self._revision = value.revision
            self._offer(value.content)

    def _watch_once(self):
        if self._revision < 0:
            value = self._client.read(self._name)
            if value is None:
                eventlet.sleep(RETRY_INTERVAL_S)
            return value
        return self._client.watch(self._name, self._revision)

    def _report_failure(self, detail):
        if not self._failing:
            self._record_event("store_failed", document=self._name, detail=detail)
        self._failing = True


def is_store_reader(name, vm, zone, members):
    """
    Return whether a VM is one of its zone's readers of a value.

    :param members: live members, objects with ``vm`` and ``zone``.
    """
    candidates = {member.vm for member in members if member.zone == zone} | {vm}
    return vm in rank_members(f"reader/{name}/{zone}", candidates)[:READERS_PER_ZONE]
