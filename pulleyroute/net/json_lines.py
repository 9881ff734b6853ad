"""Splits a stream of JSON objects, one a line or indented over several, into whole ones. No I/O."""

from __future__ import annotations

import re
from collections.abc import Iterator

from pulleyroute.net.http import ConnectionFailed

LINE_LIMIT = 4 * 1024 * 1024  # bytes of an object: 1,024 entries of 4 KiB; what is held grows with what comes

_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')


class JsonLineSplitter:
    """Cuts what a watch brings into whole lines: empty ones, or JSON objects, which may be indented."""

    def __init__(self) -> None:
        self._rest = bytearray()  # of a line that has not ended
        self._held = bytearray()  # of an object that has begun: its lines, each with its end
        self._depth = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The objects and empty lines that are whole now; raises ConnectionFailed where one is too long."""
        self._rest += data  # in place: a long line would else be copied with each part of it
        lines: list[bytes] = []
        if b"\n" in data:
            *lines, rest = bytes(self._rest).split(b"\n")
            self._rest = bytearray(rest)
        for line in lines:
            self._depth += _nesting(line)
            self._held += line + b"\n"
            if self._depth <= 0 or len(self._held) > LINE_LIMIT:
                yield self._take()
        if len(self._rest) + len(self._held) > LINE_LIMIT:
            raise ConnectionFailed("an object is too long")

    def _take(self) -> bytes:
        whole = bytes(self._held).strip()
        self._held.clear()
        self._depth = 0
        return whole


def _nesting(line: bytes) -> int:
    """By how many brackets a line opens more than it closes, strings aside."""
    bare = _STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
