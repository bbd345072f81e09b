"""The log's writer: a reader that stops must not stop the daemon."""

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


def test_stopped_reader_never_blocks_and_is_told_of_lost_lines(monkeypatch):
    """Guards against a request that waits for the log's reader."""
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
    """Guards against a daemon that ends with its log's reader."""
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = LineWriter(descriptor)
    writer.write("event=attempt\n")
    writer.flush()
