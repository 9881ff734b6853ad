"""Counts the messages in a stream of bytes without keeping or copying any. Pure.

Source: "gRPC over HTTP2", Length-Prefixed-Message: a flag byte, four bytes of length, then the message.
"""

from __future__ import annotations


class MessageMeter:
    """One direction of one call. `most`: bytes that a message may have; 0 for no limit."""

    __slots__ = ("_max_bytes", "_prefix", "_remaining", "message_count")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._remaining = 0  # of the message that has begun
        self._prefix = b""
        self.message_count = 0  # messages begun

    def feed(self, data: bytes) -> bool:
        """Take the next bytes; False once a message is larger than it may be."""
        position, size = 0, len(data)
        while True:
            if self._remaining:
                step = min(self._remaining, size - position)
                self._remaining -= step
                position += step
            if position >= size:
                return True
            if self._prefix or size - position < 5:
                need = 5 - len(self._prefix)
                self._prefix += data[position : position + need]
                position += need
                if len(self._prefix) < 5:
                    return True
                length = int.from_bytes(self._prefix[1:], "big")
                self._prefix = b""
            else:
                length = int.from_bytes(data[position + 1 : position + 5], "big")
                position += 5
            if self._max_bytes and length > self._max_bytes:
                return False
            self._remaining = length
            self.message_count += 1

    @property
    def at_boundary(self) -> bool:
        """Whether the bytes so far end with a whole message."""
        return not self._remaining and not self._prefix
