"""Tests of the decision log: order, batches and bounded memory."""

import io

import eventlet

from lavendermast import logs
from lavendermast.clock import ManualClock
from lavendermast.logs import EventLog


def read_numbers(stream):
    lines = [line for line in stream.getvalue().splitlines() if "event=step" in line]
    return [int(line.split("number=")[1].split()[0]) for line in lines]


def test_burst_is_written_in_order_without_a_flush():
    """Guards against events of a burst that stay queued after the first batch."""
    stream = io.StringIO()
    log = EventLog(stream, {"vm": "a"}, ManualClock())
    for number in range(100):
        log.record("step", number=number)
    with eventlet.Timeout(10):
        while len(read_numbers(stream)) < 100:
            eventlet.sleep(0.01)
    assert read_numbers(stream) == list(range(100))
    log.close()


def test_events_dropped_from_full_queue_are_counted(monkeypatch):
    """
    Guards against unbounded memory use while the writer is behind.

    The oldest events are dropped, and their number must be reported.
    """
    monkeypatch.setattr(logs, "MAX_PENDING_EVENTS", 5)
    stream = io.StringIO()
    log = EventLog(stream, {"vm": "a"}, ManualClock())
    for number in range(8):
        log.record("step", number=number)
    log.close()
    assert log.dropped == 3
    assert read_numbers(stream) == [3, 4, 5, 6, 7]


def test_write_error_does_not_stop_later_lines():
    """Guards against a full disk or a closed pipe that ends logging permanently."""

    class FailingStream(io.StringIO):
        fails = True

        def write(self, text):
            if self.fails:
                raise OSError("no space left")
            return super().write(text)

    stream = FailingStream()
    log = EventLog(stream, {"vm": "a"}, ManualClock())
    log.record("step", number=1)
    eventlet.sleep(0.05)
    stream.fails = False
    log.record("step", number=2)
    with eventlet.Timeout(10):
        while read_numbers(stream) != [2]:
            eventlet.sleep(0.01)
    log.close()
