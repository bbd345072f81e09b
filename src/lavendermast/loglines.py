"""Reads decision logs and callers' logs."""

import json
import pathlib
import re
import sys

import attrs

from .exceptions import LogError

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ "]*)(?: |$)')
_TIME = re.compile(r"\d{1,12}(\.\d{1,9})?")
#: Start of a line that was appended to a torn one. The end of a torn line is missing
#: because its process was killed.
_LINE_START = re.compile(r"(?<!^)ts=\d{1,12}\.\d{6} event=")
_REQUIRED = ("ts", "event", "vm", "zone")
#: Events that belong to one request, with their sort order among lines with the same
#: time.
REQUEST_EVENTS = {
    "forwarded": 0,
    "duplicate": 1,
    "waiting": 2,
    "decision": 3,
    "attempt": 4,
    "attempt_denied": 5,
    "request": 6,
    "answer_cut": 7,
}
PROGRESS_INTERVAL_LINES = 50_000
#: Upper bound of numbers in fields; Unix times in milliseconds are below it.
MAX_NUMBER = 1e15


def parse_line(line):
    """
    Return the fields of one log line as text, or ``None`` if the line is damaged.

    :param line: a line of key=value pairs without its line break.
    :return: a dict; an empty value (``-``) is ``None``.

    >>> line = 'ts=17.5 event=attempt vm=a zone=z detail="two words" server=-'
    >>> fields = parse_line(line)
    >>> fields["detail"], fields["server"]
    ('two words', None)
    """
    if '"' not in line:
        try:
            pairs = [pair.split("=", 1) for pair in line.split(" ")]
            fields = dict(pairs)
        except ValueError:
            return None
    else:
        pairs = _parse_quoted(line)
        if pairs is None:
            return None
        fields = dict(pairs)
    if len(fields) != len(pairs):
        return None  # a repeated key shows that two lines were joined
    if tuple(fields)[:4] != _REQUIRED:
        return None
    if not _TIME.fullmatch(fields["ts"]):
        return None
    if "=-" in line:
        fields = {key: None if v == "-" else v for key, v in fields.items()}
    return fields


def skip_torn(line):
    """
    Return the complete line that follows a torn one, or an empty string.

    A killed process leaves a line without its end, and the next process on the same
    VM appends its first line to it.

    >>> skip_torn("ts=1.500000 event=request bytes=2ts=2.500000 event=started vm=a")
    'ts=2.500000 event=started vm=a'
    """
    starts = [match.start() for match in _LINE_START.finditer(line)]
    return line[starts[-1] :] if starts else ""


def _parse_quoted(line):
    pairs = _PAIR.findall(line)
    # The line is damaged if there is text between the pairs.
    if sum(len(key) + len(value) + 2 for key, value in pairs) != len(line) + 1:
        return None
    try:
        return [
            (key, json.loads(value) if value[:1] == '"' else value)
            for key, value in pairs
        ]
    except ValueError:
        return None


def get_number(fields, key):
    """
    Return a field as a number, or ``None`` if it is absent or not a usable number.

    >>> get_number({"latency_ms": "2.5"}, "latency_ms")
    2.5
    """
    try:
        value = float(fields[key])
    except (KeyError, TypeError, ValueError):
        return None
    return value if abs(value) < MAX_NUMBER else None  # also rejects nan


@attrs.define
class ReadCounts:
    """Counts of the lines read and of those that could not be used."""

    lines: int = 0
    damaged: int = 0
    torn: int = 0


class Progress:
    """Shows the progress of long steps if the stream is a terminal."""

    def __init__(self, stream=None):
        self._stream = stream or sys.stderr
        self._enabled = self._stream.isatty()

    def show(self, text):
        """Replace the progress line."""
        if self._enabled:
            self._stream.write(f"\r\x1b[K{text}")
            self._stream.flush()

    def clear(self):
        """Remove the progress line."""
        self.show("")


def iterate_lines(paths, counts, progress):
    """
    Yield the complete lines of files, without their line breaks.

    :param paths: file names; ``-`` is standard input. A last line without a line
        break counts as torn and is skipped.
    """
    for path in paths:
        for line in _read_lines(path):
            counts.lines += 1
            if counts.lines % PROGRESS_INTERVAL_LINES == 0:
                progress.show(f"reading {path}: {counts.lines} lines")
            if not line.endswith("\n"):
                counts.torn += 1
                continue
            line = line[:-1]
            if line:
                yield line
    progress.clear()


def _read_lines(path):
    if path == "-":
        yield from sys.stdin
        return
    try:
        with pathlib.Path(path).open(errors="replace", newline="\n") as stream:
            yield from stream
    except OSError as error:
        raise LogError(f"cannot read {path}: {error.strerror}") from None


@attrs.frozen
class CallerRecord:
    """
    What a caller observed of one request.

    :param request: request id of the response; empty if there was none.
    :param outcome: outcome in the response; empty if no complete response was received.
    """

    request: str
    sent_at: float | None = None
    outcome: str = ""
    status: int | None = None
    body_digest: str = ""
    bytes: int | None = None
    key: str = ""
    vm: str = ""

    @classmethod
    def from_json(cls, text):
        """
        Return the record in one line, or ``None`` if it is damaged.

        >>> CallerRecord.from_json('{"request": "r1", "status": 200}').status
        200
        """
        try:
            data = json.loads(text)
            return cls(
                request=str(data.get("request") or ""),
                sent_at=_convert_optional(float, data.get("sent_at")),
                outcome=str(data.get("outcome") or ""),
                status=_convert_optional(int, data.get("status")),
                body_digest=str(data.get("body_digest") or ""),
                bytes=_convert_optional(int, data.get("bytes")),
                key=str(data.get("key") or ""),
                vm=str(data.get("vm") or ""),
            )
        except (ValueError, TypeError, AttributeError, RecursionError, OverflowError):
            return None


def _convert_optional(kind, value):
    return None if value is None else kind(value)
