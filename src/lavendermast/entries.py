"""Ledger entries and their encoding in handover messages."""

import enum
import json

import attrs
from eventlet.event import Event

from lavendermast.exceptions import ForgedTokenError
from lavendermast.messages_model import Handover, LedgerEntry
from lavendermast.tokens import read_token, split_key

#: Bytes of entries in one message; a peer message is at most 4 MB.
MAX_PART_BYTES = 1024 * 1024


class EntryState(enum.Enum):
    """State of an idempotency key."""

    RUNNING = "running"  # in flight
    STORED = "stored"  # ran, and its response can be replayed
    COMPLETED = "completed"  # ran, and its response was not kept
    UNKNOWN = "unknown"  # may have run; the result is not known
    REFUSED = "refused"  # did not run and never will


@attrs.define(eq=False)
class Entry:
    """Entry of one key; times are Unix ms of the ledger's clock."""

    key: str
    boot_id: int
    digest: bytes
    accept_until: int
    remember_until: int
    state: EntryState = EntryState.RUNNING
    status: int = 0
    headers: tuple = ()
    body: bytes = b""
    size: int = 0
    settled: Event = attrs.Factory(Event)

    def drop_response(self):
        """Drop the stored response but keep the fact that the key ran."""
        if self.state is EntryState.STORED:
            self.state = EntryState.COMPLETED
        self.status, self.headers, self.body, self.size = 0, (), b"", 0


def export_parts(entries, **fields):
    """
    Return the messages for the entries of one boot.

    :param fields: the other fields of each :class:`Handover`.
    """
    parts, size = [[]], 0
    for entry in entries:
        size += len(entry.key) + len(entry.digest) + entry.size + 64
        if size > MAX_PART_BYTES and parts[-1]:
            parts.append([])
            size = 0
        parts[-1].append(_export_entry(entry))
    return [
        Handover(entries=tuple(part), total=len(entries), **fields) for part in parts
    ]


def import_entries(handover):
    """Return the entries of a message, or ``None`` when it is malformed."""
    try:
        return [_import_entry(item, handover.boot_id) for item in handover.entries]
    except (ForgedTokenError, ValueError):
        return None


def _export_entry(entry):
    # A request that is still running here has no result to hand over.
    running = entry.state is EntryState.RUNNING
    return LedgerEntry(
        key=entry.key,
        state=(EntryState.UNKNOWN if running else entry.state).value,
        status=entry.status,
        headers=json.dumps(entry.headers),
        body=entry.body,
        remember_until=entry.remember_until,
        request_digest=entry.digest,
    )


def _import_entry(item, boot_id):
    headers = tuple((name, value) for name, value in json.loads(item.headers))
    token = read_token(split_key(item.key)[0])
    size = sum(len(name) + len(value) for name, value in headers) + len(item.body)
    entry = Entry(
        item.key,
        boot_id,
        item.request_digest,
        token.accept_until,
        item.remember_until,
        EntryState(item.state),
        item.status,
        headers,
        item.body,
        size,
    )
    entry.settled.send(entry.state)
    return entry
