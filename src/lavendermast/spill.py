"""Groups text lines by key in temporary files to bound the memory in use."""

import pathlib
import tempfile

import xxhash

#: A million log lines of 250 bytes make buckets of about 1 MB.
BUCKETS = 256


class Spill:
    """
    Distributes lines over temporary files, the buckets, by the hash of a key.

    A reader needs to hold only one bucket at a time in memory.
    """

    def __init__(self):
        self._directory = tempfile.TemporaryDirectory(prefix="lavendermast-")
        self._paths = [
            pathlib.Path(self._directory.name, str(number)) for number in range(BUCKETS)
        ]
        self._streams = [
            path.open("w", encoding="utf-8", errors="replace", newline="\n")
            for path in self._paths
        ]

    def write(self, key, line):
        """Add a line, which must not contain a line break."""
        bucket = xxhash.xxh32_intdigest(key.encode(errors="replace")) % BUCKETS
        self._streams[bucket].write(line + "\n")

    def finish(self):
        """Close the files for writing; call it before reading."""
        for stream in self._streams:
            stream.close()

    def iterate_buckets(self):
        """Yield an iterator over the lines of each bucket, valid until the next one."""
        for path in self._paths:
            with path.open(encoding="utf-8", newline="\n") as stream:
                yield (line[:-1] for line in stream)

    def close(self):
        """Remove the temporary files."""
        self.finish()
        self._directory.cleanup()
