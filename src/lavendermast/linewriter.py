"""Writes log lines to a file descriptor without blocking on its reader."""

import collections

from eventlet import patcher

#: The original module: the ``os.write`` that eventlet patches in waits for the reader.
os = patcher.original("os")

#: Bytes queued while the reader is behind; beyond that the oldest lines are dropped.
MAX_PENDING_BYTES = 1024 * 1024
#: Bytes after which a write gets no further line; a pipe takes 64 KB at once.
MAX_WRITE_BYTES = 32 * 1024


class LineWriter:
    """
    A text stream over a non-blocking descriptor.

    When the reader falls too far behind, the oldest lines are dropped. A line with the
    number of dropped lines is written once the reader catches up.

    :param descriptor: open file descriptor; it is made non-blocking.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._lines = collections.deque()
        self._pending_bytes = 0
        self._unreported_drops = 0
        self._unsent = b""
        self.dropped = 0

    def write(self, text):
        """Queue one line."""
        line = text.encode(errors="backslashreplace")
        self._lines.append(line)
        self._pending_bytes += len(line)
        while self._pending_bytes > MAX_PENDING_BYTES:
            self._pending_bytes -= len(self._lines.popleft())
            self.dropped += 1
            self._unreported_drops += 1

    def flush(self):
        """Write as much as the reader accepts without blocking."""
        while self._unsent or self._lines:
            if not self._unsent:
                self._unsent = self._pop_chunk()
            try:
                count = os.write(self._descriptor, self._unsent)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed its end, and there is no other place to report it.
                self._lines.clear()
                self._pending_bytes = 0
                self._unsent = b""
                return
            self._unsent = self._unsent[count:]

    def _pop_chunk(self):
        parts, size = [], 0
        if self._unreported_drops:
            parts.append(f"event=log_dropped lines={self._unreported_drops}\n".encode())
            self._unreported_drops = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            size += len(line)
            parts.append(line)
        self._pending_bytes -= size
        return b"".join(parts)
