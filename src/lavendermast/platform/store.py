"""Client for the platform's metadata store."""

import base64
import json
import re

import urllib3
from urllib3.util import Timeout

from lavendermast.catalogsync import DocumentSource
from lavendermast.descriptors import is_shortage
from lavendermast.exceptions import HistoryLostError, StoreError, StoreShortageError
from lavendermast.messages_model import StoredChange, StoredChanges
from lavendermast.sockets import STORE_SOCKET_OPTIONS
from lavendermast.tasks import limit_time
from lavendermast.utils import parse_address

from .documents import is_needed

CONNECT_TIMEOUT_S = 0.5
#: Longer than a slow store takes (60 times its usual 4 ms); a later response
#: is ignored and the call fails.
READ_TIMEOUT_S = 1.5
#: Calls in a row that may fail after the time of a probe.
MAX_SHORT_PROBES = 3
#: A response that is longer, or still arrives this long after the time for its first
#: bytes, is given up: the store sends pages of about 1 MB.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_TRANSFER_S = 5.0
#: Rises by one each time the store is restored from a copy.
_ERA_HEADER = "Store-Era"
_ERA = re.compile(r"[0-9]{1,18}")


class MetadataStore(DocumentSource):
    """
    Reads and watches all documents in the store.

    :param address: ``ip:port`` of the store.
    :param read_timeout_s: seconds without a byte after which a call has failed.
    :param probe_timeout_s: the same for a call that does not wait for news, but not for
        each fourth one after failures, since the store may be slow.
    """

    def __init__(
        self, address, read_timeout_s=READ_TIMEOUT_S, probe_timeout_s=READ_TIMEOUT_S
    ):
        self._pool = urllib3.HTTPConnectionPool(
            *parse_address(address), maxsize=2, socket_options=STORE_SOCKET_OPTIONS
        )
        self._read_timeout_s = read_timeout_s
        self._probe_timeout_s = probe_timeout_s
        self._failed_probes = 0
        self.calls = 0
        self.era = 0

    def read_all(self):
        """
        Return all documents as :class:`StoredChanges`.

        The pages may be of different revisions. The result has the oldest of them, so
        that a watch from there delivers what the earlier pages missed. No response may
        be stale: one from before a restore could name the era after it.
        """
        changes, after, oldest, era = [], "", None, None
        while True:
            page, page_era = self._call("/kv-range", {"prefix": "", "after": after})
            if era not in (None, page_era):
                raise StoreError(f"restored while it was read: era {era} to {page_era}")
            era = page_era
            changes += self._read_items(page["items"])
            revision = page["at_rev"]
            oldest = revision if oldest is None else min(oldest, revision)
            if not page.get("has_more") or not page["items"]:
                return StoredChanges(0, oldest, True, tuple(changes), era)
            after = page["items"][-1]["key"]

    def watch(self, revision, wait_s):
        """Return the changes after a revision; blocks for up to ``wait_s`` seconds."""
        query = {"prefix": "", "after": revision, "wait_ms": int(wait_s * 1000)}
        page, era = self._call("/kv-watch", query, self._choose_timeout(wait_s))
        self._failed_probes = 0
        changes = self._read_items(page["events"])
        return StoredChanges(revision, page["at_rev"], False, tuple(changes), era)

    def _choose_timeout(self, wait_s):
        """Return the time without a byte after which a watch has failed."""
        if wait_s:
            return wait_s + self._read_timeout_s
        self._failed_probes += 1
        is_long = self._failed_probes % (MAX_SHORT_PROBES + 1) == 0
        return self._read_timeout_s if is_long else self._probe_timeout_s

    def _call(self, path, query, read_timeout_s=None):
        """Return the content and the era of a response."""
        self.calls += 1
        fields = {name: str(value) for name, value in query.items() if value != ""}
        read_timeout_s = read_timeout_s or self._read_timeout_s
        endless = StoreError(f"{path}: the response does not end")
        try:
            with limit_time(read_timeout_s + MAX_TRANSFER_S, endless):
                response = self._pool.request(
                    "GET",
                    path,
                    fields=fields,
                    retries=False,
                    preload_content=False,
                    timeout=Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
                )
                data = _read_body(response)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            if is_shortage(error):
                raise StoreShortageError(f"{path}: {error}") from error
            raise StoreError(f"{path}: {error}") from error
        era = _read_era(response.headers)
        self.era = max(self.era, era)
        if response.status == 410:
            raise HistoryLostError(
                f"{path}: the store no longer has the requested history"
            )
        if response.status != 200:
            raise StoreError(f"{path}: unexpected status {response.status}")
        try:
            return json.loads(data), era
        except ValueError as error:
            raise StoreError(f"{path}: {error}") from error

    def _read_items(self, items):
        try:
            return [
                StoredChange(
                    item["key"],
                    item["rev"],
                    bool(item.get("deleted")),
                    _decode_value(item.get("value")),
                )
                for item in items
                if is_needed(item["key"])
            ]
        except (KeyError, TypeError) as error:
            raise StoreError(f"malformed item: {error}") from error


def _read_body(response):
    """Return the body of a response and release its connection."""
    try:
        data = response.read(MAX_RESPONSE_BYTES + 1)
        if len(data) > MAX_RESPONSE_BYTES:
            raise StoreError("the response is too long")
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return data


def _read_era(headers):
    """Return the era of a response plus one; 0 stands for an unknown era."""
    text = headers.get(_ERA_HEADER, "")
    return int(text) + 1 if _ERA.fullmatch(text) else 0


def _decode_value(text):
    """Decode a value; other writers may store values that are not valid base64."""
    try:
        return base64.b64decode(text or "", validate=True)
    except (TypeError, ValueError):
        return b""
