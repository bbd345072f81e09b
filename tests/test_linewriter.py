"""Tests of the log writer: a stalled or closed reader must not stop the daemon."""

import time

from eventlet import patcher

from lavendermast import linewriter
from lavendermast.linewriter import LineWriter

os = patcher.original("os")


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while part := os.read(descriptor, 65536):
            data += part
    except BlockingIOError:
        pass
    return data


def test_stalled_reader_never_blocks_and_gets_count_of_dropped_lines(monkeypatch):
    """
    Guards against a request that blocks on the reader of the log.

    A full pipe makes a blocking write wait until the reader continues.
    """
    monkeypatch.setattr(linewriter, "MAX_PENDING_BYTES", 10_000)
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    started = time.monotonic()
    for number in range(20_000):
        writer.write(f"event=attempt number={number}\n")
        writer.flush()
    assert time.monotonic() - started < 10
    assert writer.dropped > 0
    text = read_all(reader)
    writer.flush()
    text += read_all(reader)
    lines = text.decode().splitlines()
    assert f"event=log_dropped lines={writer.dropped}" in lines
    assert lines[-1] == "event=attempt number=19999"
    assert all(line.startswith("event=") for line in lines)


def test_closed_reader_is_no_error():
    """Guards against a daemon that exits when the reader of its log exits."""
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = LineWriter(descriptor)
    writer.write("event=attempt\n")
    writer.flush()
