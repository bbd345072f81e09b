"""Writes log lines to a descriptor without ever waiting for its reader."""

import collections

from eventlet import patcher

#: The patched module's ``write`` would wait for the reader.
os = patcher.original("os")

#: Bytes kept while the reader is behind; the oldest lines are dropped beyond them.
MAX_PENDING_BYTES = 1024 * 1024
#: Lines per write; a pipe takes 64 KB at once.
MAX_WRITE_BYTES = 32 * 1024


class LineWriter:
    """
    A text stream over a non-blocking descriptor.

    Lines that the reader does not take are dropped, oldest first, and a line with their
    number follows as soon as it reads again.

    :param descriptor: open file descriptor; it is made non-blocking.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._lines = collections.deque()
        self._size = 0
        self._unreported = 0
        self._rest = b""
        self.dropped = 0

    def write(self, text):
        """Queue one line."""
        line = text.encode(errors="backslashreplace")
        self._lines.append(line)
        self._size += len(line)
        while self._size > MAX_PENDING_BYTES:
            self._size -= len(self._lines.popleft())
            self.dropped += 1
            self._unreported += 1

    def flush(self):
        """Write what the reader takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._take()
            try:
                count = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can be told that the reader is gone.
                self._lines.clear()
                self._size = 0
                self._rest = b""
                return
            self._rest = self._rest[count:]

    def _take(self):
        parts, size = [], 0
        if self._unreported:
            parts.append(f"event=log_dropped lines={self._unreported}\n".encode())
            self._unreported = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            size += len(line)
            parts.append(line)
        self._size -= size
        return b"".join(parts)
