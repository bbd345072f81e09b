"""Groups text lines by key on disk, so that memory stays bounded."""

import pathlib
import tempfile

import xxhash

#: A million log lines of 250 bytes make buckets of about 1 MB.
BUCKETS = 256


class Spill:
    """
    Temporary files into which lines are spread by the hash of a key.

    Only one bucket at a time is held in memory when reading.
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
        """Add a line that holds no line break."""
        bucket = xxhash.xxh32_intdigest(key.encode(errors="replace")) % BUCKETS
        self._streams[bucket].write(line + "\n")

    def finish(self):
        """End writing."""
        for stream in self._streams:
            stream.close()

    def iterate_buckets(self):
        """Yield the lines of one bucket after the other, as iterators."""
        for path in self._paths:
            with path.open(encoding="utf-8", newline="\n") as stream:
                yield (line[:-1] for line in stream)

    def close(self):
        """Remove the files."""
        self.finish()
        self._directory.cleanup()
