"""Counts the messages in a stream of bytes without keeping or copying any. Pure.

Source: "gRPC over HTTP2", Length-Prefixed-Message: a flag byte, four bytes of length, then the message.
"""

from __future__ import annotations


class Meter:
    """One direction of one call. `most`: bytes that a message may have; 0 for no limit."""

    __slots__ = ("_left", "_most", "_prefix", "count")

    def __init__(self, most: int) -> None:
        self._most = most
        self._left = 0  # of the message that has begun
        self._prefix = b""
        self.count = 0  # messages begun

    def feed(self, data: bytes) -> bool:
        """Take the next bytes; False once a message is larger than it may be."""
        at, size = 0, len(data)
        while True:
            if self._left:
                step = min(self._left, size - at)
                self._left -= step
                at += step
            if at >= size:
                return True
            if self._prefix or size - at < 5:
                need = 5 - len(self._prefix)
                self._prefix += data[at : at + need]
                at += need
                if len(self._prefix) < 5:
                    return True
                length = int.from_bytes(self._prefix[1:], "big")
                self._prefix = b""
            else:
                length = int.from_bytes(data[at + 1 : at + 5], "big")
                at += 5
            if self._most and length > self._most:
                return False
            self._left = length
            self.count += 1

    @property
    def between(self) -> bool:
        """Whether the bytes so far end with a whole message."""
        return not self._left and not self._prefix
