"""Splits a stream of JSON objects, each on one line or indented over several, into objects. No I/O."""

from __future__ import annotations

import re
from collections.abc import Iterator

from pulleyroute.net.http import ConnectionFailed

# Maximum size of an object in bytes: 1,024 entries of 4 KiB. The buffer grows only as data arrives.
LINE_LIMIT = 4 * 1024 * 1024

_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')


class JsonLineSplitter:
    """Splits the data of a watch into empty lines and JSON objects, which may span several lines."""

    def __init__(self) -> None:
        self._partial_line = bytearray()
        self._partial_object = bytearray()  # complete lines of an unfinished object, with their line ends
        self._depth = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the objects and empty lines in `data`; raises ConnectionFailed if one is too long."""
        self._partial_line += data  # in place: otherwise a long line would be copied with each part of it
        lines: list[bytes] = []
        if b"\n" in data:
            *lines, rest = bytes(self._partial_line).split(b"\n")
            self._partial_line = bytearray(rest)
        for line in lines:
            self._depth += _nesting(line)
            self._partial_object += line + b"\n"
            if self._depth <= 0 or len(self._partial_object) > LINE_LIMIT:
                yield self._take_object()
        if len(self._partial_line) + len(self._partial_object) > LINE_LIMIT:
            raise ConnectionFailed(f"a JSON object exceeds {LINE_LIMIT} bytes")

    def _take_object(self) -> bytes:
        whole = bytes(self._partial_object).strip()
        self._partial_object.clear()
        self._depth = 0
        return whole


def _nesting(line: bytes) -> int:
    """Return how many more brackets a line opens than it closes, not counting those in strings."""
    unquoted = _STRING.sub(b"", line)
    return unquoted.count(b"{") + unquoted.count(b"[") - unquoted.count(b"}") - unquoted.count(b"]")
