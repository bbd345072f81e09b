"""Parses JSON text and records the line of every value."""

import json.decoder
import json.scanner
import math
import re

import attrs

#: Deeper nesting is rejected, so that a value cannot exhaust the stack.
MAX_DEPTH = 64
_WHITESPACE = re.compile(r"[ \t\n\r]*")
_LITERALS = {"true": True, "false": False, "null": None}


class JsonTextError(ValueError):
    """A text is not JSON; ``line`` is where parsing stopped."""

    def __init__(self, message, line):
        self.line = line
        super().__init__(message)


@attrs.frozen
class JsonText:
    """
    A JSON value with the line numbers of its parts.

    :param lines: line number by path; a path is a tuple of keys and indexes.
    :param duplicates: paths of duplicate keys, each with the line of the later one.
    """

    value: object
    lines: dict
    duplicates: tuple

    def find_line(self, path):
        """Return the line of a path, or of its nearest existing parent."""
        path = tuple(path)
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class _Parser:
    def __init__(self, text):
        self.text = text
        self.lines = {}
        self.duplicates = []
        self._line = 1
        self._line_index = 0

    def get_line(self, index):
        """
        Return the line of an index.

        Counting resumes from the previous index, so ascending indexes are cheap.
        """
        if index >= self._line_index:
            self._line += self.text.count("\n", self._line_index, index)
            self._line_index = index
            return self._line
        return self.text.count("\n", 0, index) + 1

    def fail(self, message, index):
        raise JsonTextError(message, self.get_line(index))

    def skip_whitespace(self, index):
        return _WHITESPACE.match(self.text, index).end()

    def read_string(self, index):
        try:
            return json.decoder.scanstring(self.text, index + 1, True)
        except ValueError as error:
            raise JsonTextError(
                getattr(error, "msg", str(error)), self.get_line(index)
            ) from None

    def read_value(self, index, path):
        """Return the value at an index, and the index after it."""
        index = self.skip_whitespace(index)
        self.lines.setdefault(path, self.get_line(index))
        if len(path) > MAX_DEPTH:
            self.fail(f"nesting is deeper than {MAX_DEPTH}", index)
        character = self.text[index : index + 1]
        if character == "{":
            return self.read_object(index, path)
        if character == "[":
            return self.read_array(index, path)
        if character == '"':
            return self.read_string(index)
        for word, value in _LITERALS.items():
            if self.text.startswith(word, index):
                return value, index + len(word)
        return self.read_number(index)

    def read_number(self, index):
        match = json.scanner.NUMBER_RE.match(self.text, index)
        if match is None:
            self.fail("expected a value", index)
        whole, fraction, exponent = match.groups()
        if fraction is None and exponent is None:
            if len(whole) > 400:  # int() rejects numbers of more than 4,300 digits
                self.fail("a number has too many digits", index)
            return int(whole), match.end()
        value = float(match[0])
        if not math.isfinite(value):
            self.fail("a number is too large", index)
        return value, match.end()

    def read_object(self, index, path):
        result = {}
        index = self.skip_whitespace(index + 1)
        if self.text[index : index + 1] == "}":
            return result, index + 1
        while True:
            if self.text[index : index + 1] != '"':
                self.fail("expected a key in double quotes", index)
            line = self.get_line(index)
            key, index = self.read_string(index)
            key_path = (*path, key)
            if key in result:
                self.duplicates.append((key_path, line))
            self.lines[key_path] = line
            index = self.skip_whitespace(index)
            if self.text[index : index + 1] != ":":
                self.fail("expected a colon after a key", index)
            result[key], index = self.read_value(index + 1, key_path)
            index, ended = self.read_separator(index, "}")
            if ended:
                return result, index

    def read_array(self, index, path):
        result = []
        index = self.skip_whitespace(index + 1)
        if self.text[index : index + 1] == "]":
            return result, index + 1
        while True:
            value, index = self.read_value(index, (*path, len(result)))
            result.append(value)
            index, ended = self.read_separator(index, "]")
            if ended:
                return result, index

    def read_separator(self, index, end):
        index = self.skip_whitespace(index)
        character = self.text[index : index + 1]
        if character == end:
            return index + 1, True
        if character != ",":
            self.fail(f"expected a comma or {end}", index)
        return self.skip_whitespace(index + 1), False


def parse_json(content):
    """
    Parse a JSON text.

    :param content: bytes in UTF-8, or text.
    :return: a ``JsonText`` with the line of every part; raises ``JsonTextError`` if the
        content is not JSON.

    >>> parse_json('{"a":\\n [1]}').lines[("a", 0)]
    2
    """
    if isinstance(content, bytes):
        try:
            content = content.decode()
        except UnicodeDecodeError as error:
            line = content.count(b"\n", 0, error.start) + 1
            raise JsonTextError("the text is not UTF-8", line) from None
    parser = _Parser(content)
    value, index = parser.read_value(0, ())
    index = parser.skip_whitespace(index)
    if index != len(content):
        parser.fail("unexpected text after the value", index)
    return JsonText(value, parser.lines, tuple(parser.duplicates))
