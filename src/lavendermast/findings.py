"""Findings: reasons to reject settings, each with its file, path and line."""

import json
import re

import attrs

from .jsontext import JsonText

_UNQUOTED_KEY = re.compile(r"[A-Za-z0-9_*-]+")


@attrs.frozen
class Finding:
    """
    One reason to reject settings.

    :param file: file name, or ``config`` for a value from the store.
    :param path: JSON path, such as ``services.stock.floor``.
    :param line: line in the file, from 1; 0 if the finding is about the whole file.
    :param message: what is wrong and how to correct it.

    >>> print(Finding("base.json", "retries.share", 7, "wrong type"))
    base.json:7: retries.share: wrong type
    """

    file: str
    path: str
    line: int
    message: str

    def __str__(self):
        location = f"{self.file}:{self.line}" if self.line else self.file
        parts = (
            [location, self.path, self.message]
            if self.path
            else [location, self.message]
        )
        # Keys may contain control characters or lone surrogates.
        text = ": ".join(parts).encode("unicode_escape").decode()
        return text.replace("\\\\", "\\")


def format_path(path):
    """
    Return a JSON path as text.

    >>> format_path(("routes", "a b", "path")), format_path(("fleet_keys", 0))
    ('routes["a b"].path', 'fleet_keys[0]')
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        elif _UNQUOTED_KEY.fullmatch(part):
            text += f".{part}" if text else part
        else:
            text += f"[{json.dumps(part)}]"
    return text


@attrs.frozen
class Source:
    """
    A JSON text, or a part of one, that gives findings their file, path and line.

    :param prefix: path of the part within the text.
    """

    file: str
    text: JsonText
    prefix: tuple = ()

    @property
    def value(self):
        """The value of the part."""
        value = self.text.value
        for key in self.prefix:
            value = value[key]
        return value

    def locate(self, path, message):
        """Return a finding for a path within the part, with its line."""
        line = self.text.find_line((*self.prefix, *path))
        return Finding(self.file, format_path((*self.prefix, *path)), line, message)

    def find_duplicates(self):
        """Return a finding for each duplicate key."""
        return [
            Finding(
                self.file,
                format_path(path),
                line,
                "duplicate key; keep one of the two values",
            )
            for path, line in self.text.duplicates
        ]
