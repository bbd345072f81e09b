"""Structured logs: each event is one line of key=value pairs."""

import collections
import hashlib
import json
import pathlib
import re
import sys

import eliot
from eventlet import hubs

from lavendermast.linewriter import LineWriter

#: Events queued while the writer is behind; beyond that the oldest are dropped and
#: counted.
MAX_PENDING_EVENTS = 100_000
#: Seconds from the first queued event to the write. At 119 requests/s a batch then
#: has four lines, which delay other requests by 0.1 ms.
FLUSH_DELAY_S = 0.01
#: Bounds the time for which one batch delays other requests to about 0.4 ms.
MAX_BATCH_EVENTS = 16
#: Seconds between the batches of a burst, in which other requests are served.
BATCH_DELAY_S = 0.001
DIGEST_CHARACTERS = 16
_match_unquoted = re.compile(r"[A-Za-z0-9_.:/,*@+-]+").fullmatch
_ELIOT_FIELDS = frozenset(
    {"task_uuid", "task_level", "timestamp", "message_type", "action_type"}
)


def format_value(value):
    """
    Return a value as it is written after the equals sign.

    >>> format_value("two words"), format_value(0.25), format_value("plain")
    ('"two words"', '0.25', 'plain')
    """
    if type(value) is str:
        return value if _match_unquoted(value) else json.dumps(value)
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}" if abs(value) < 1e6 else f"{value:.3f}"
    text = str(value)
    return text if _match_unquoted(text) else json.dumps(text)


def format_event(fields):
    """
    Return one event as a line of key=value pairs.

    >>> format_event({"event": "stop", "vm": "a", "cut": 0})
    'event=stop vm=a cut=0'
    """
    return " ".join(f"{key}={format_value(value)}" for key, value in fields.items())


def digest_bytes(data):
    """Return the start of the hexadecimal SHA-256 of bytes, for the decision log."""
    return hashlib.sha256(data).hexdigest()[:DIGEST_CHARACTERS]


class EventLog:
    """
    Queues events while requests are served and writes them shortly after, in batches.

    :param stream: text stream that receives the lines.
    :param context: fields added to every line, such as the name of the VM.
    """

    def __init__(self, stream, context, clock):
        self._stream = stream
        self._context = context
        self._clock = clock
        self._pending = collections.deque()
        self._scheduled = False
        self.dropped = 0
        eliot.add_destinations(self._write_message)
        # All lines share one action: for a line outside an action eliot creates a UUID,
        # which takes 10 us.
        self._action = eliot.start_task(action_type="log_opened")

    @classmethod
    def from_settings(cls, settings, clock):
        """Return the log configured in the process settings."""
        if getattr(settings, "log_path", "-") == "-":
            stream = LineWriter(sys.stdout.fileno())
        else:
            stream = pathlib.Path(settings.log_path).open("a")
        context = {"vm": settings.vm, "zone": settings.zone}
        return cls(stream, context, clock)

    def record(self, event, **fields):
        """
        Queue one event.

        :param event: name of the event, such as ``attempt``.
        :param fields: fields of the event, written in the given order.
        """
        if len(self._pending) >= MAX_PENDING_EVENTS:
            self._pending.popleft()
            self.dropped += 1
        self._pending.append((self._clock.time(), event, fields))
        if not self._scheduled:
            self._schedule(FLUSH_DELAY_S)

    def count_dropped(self):
        """Return the number of lines dropped before they were written."""
        return self.dropped + getattr(self._stream, "dropped", 0)

    def flush(self):
        """Write all queued events."""
        while self._pending:
            self._write_batch()

    def _schedule(self, delay):
        self._scheduled = True
        hubs.get_hub().schedule_call_global(delay, self._write_scheduled)

    def _write_scheduled(self):
        self._scheduled = False
        self._write_batch()
        if self._pending:
            self._schedule(BATCH_DELAY_S)

    def _write_batch(self):
        for _ in range(min(len(self._pending), MAX_BATCH_EVENTS)):
            recorded_at, event, fields = self._pending.popleft()
            message = {
                "ts": f"{recorded_at:.6f}",
                "event": event,
                **self._context,
                **fields,
            }
            self._action.log(event, line=message, log=id(self))
        self._stream.flush()

    def close(self):
        """Write all queued events and detach from eliot."""
        self.flush()
        eliot.remove_destination(self._write_message)

    def _write_message(self, message):
        # eliot passes every message to the destinations of all logs in the process.
        if message.get("log", id(self)) != id(self):
            return
        line = message.get("line")
        if line is None:
            event = message.get("message_type") or message.get("action_type")
            line = {"ts": f"{message['timestamp']:.6f}", "event": event}
            line.update(self._context)
            line.update((k, v) for k, v in message.items() if k not in _ELIOT_FIELDS)
        self._stream.write(format_event(line) + "\n")
