"""Reads JSON text and keeps the line of every value."""

import json.decoder
import json.scanner
import math
import re

import attrs

#: Deeper nesting is refused, so that a value cannot exhaust the stack.
MAX_DEPTH = 64
_SPACE = re.compile(r"[ \t\n\r]*")
_LITERALS = {"true": True, "false": False, "null": None}


class JsonTextError(ValueError):
    """Text is not JSON; ``line`` is where reading stopped."""

    def __init__(self, message, line):
        self.line = line
        super().__init__(message)


@attrs.frozen
class JsonText:
    """
    A JSON value with the places of its parts.

    :param lines: line by path; a path is a tuple of keys and indexes.
    :param duplicates: paths of repeated keys with the line of the repetition.
    """

    value: object
    lines: dict
    duplicates: tuple

    def find_line(self, path):
        """Return the line of a path, or of its nearest parent that exists."""
        path = tuple(path)
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class _Reader:
    def __init__(self, text):
        self.text = text
        self.lines = {}
        self.duplicates = []
        self._line = 1
        self._counted = 0

    def get_line(self, index):
        """Return the line of an index; indexes only grow between calls."""
        if index >= self._counted:
            self._line += self.text.count("\n", self._counted, index)
            self._counted = index
            return self._line
        return self.text.count("\n", 0, index) + 1

    def fail(self, message, index):
        raise JsonTextError(message, self.get_line(index))

    def skip(self, index):
        return _SPACE.match(self.text, index).end()

    def read_string(self, index):
        try:
            return json.decoder.scanstring(self.text, index + 1, True)
        except ValueError as error:
            raise JsonTextError(
                getattr(error, "msg", str(error)), self.get_line(index)
            ) from None

    def read_value(self, index, path):
        """Return the value at an index, and the index behind it."""
        index = self.skip(index)
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
            self.fail("a value is missing or misspelt", index)
        whole, fraction, exponent = match.groups()
        if fraction is None and exponent is None:
            if len(whole) > 400:  # int() refuses longer numbers than 4,300 digits
                self.fail("a number has too many digits", index)
            return int(whole), match.end()
        value = float(match[0])
        if not math.isfinite(value):
            self.fail("a number is too large", index)
        return value, match.end()

    def read_object(self, index, path):
        result = {}
        index = self.skip(index + 1)
        if self.text[index : index + 1] == "}":
            return result, index + 1
        while True:
            if self.text[index : index + 1] != '"':
                self.fail("a key in double quotes is missing", index)
            line = self.get_line(index)
            key, index = self.read_string(index)
            place = (*path, key)
            if key in result:
                self.duplicates.append((place, line))
            self.lines[place] = line
            index = self.skip(index)
            if self.text[index : index + 1] != ":":
                self.fail("a colon is missing behind a key", index)
            result[key], index = self.read_value(index + 1, place)
            index, ended = self.read_separator(index, "}")
            if ended:
                return result, index

    def read_array(self, index, path):
        result = []
        index = self.skip(index + 1)
        if self.text[index : index + 1] == "]":
            return result, index + 1
        while True:
            value, index = self.read_value(index, (*path, len(result)))
            result.append(value)
            index, ended = self.read_separator(index, "]")
            if ended:
                return result, index

    def read_separator(self, index, end):
        index = self.skip(index)
        character = self.text[index : index + 1]
        if character == end:
            return index + 1, True
        if character != ",":
            self.fail(f"a comma or {end} is missing", index)
        return self.skip(index + 1), False


def parse_json(content):
    """
    Return a JSON text's value with the line of every part.

    :param content: bytes in UTF-8, or text.
    :return: a ``JsonText``; raises ``JsonTextError`` when it is not JSON.

    >>> parse_json('{"a":\\n [1]}').lines[("a", 0)]
    2
    """
    if isinstance(content, bytes):
        try:
            content = content.decode()
        except UnicodeDecodeError as error:
            line = content.count(b"\n", 0, error.start) + 1
            raise JsonTextError("the text is not UTF-8", line) from None
    reader = _Reader(content)
    value, index = reader.read_value(0, ())
    index = reader.skip(index)
    if index != len(content):
        reader.fail("there is text behind the end of the value", index)
    return JsonText(value, reader.lines, tuple(reader.duplicates))
