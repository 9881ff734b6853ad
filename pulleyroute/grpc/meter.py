"""Counts the messages in a byte stream and checks their sizes, without buffering or copying them. Pure.

Source: "gRPC over HTTP2", Length-Prefixed-Message: a flag byte, four bytes of length, then the message.
"""

from __future__ import annotations


class MessageMeter:
    """Meters one direction of one call. `max_bytes` limits the size of a message; 0 for no limit."""

    __slots__ = ("_max_bytes", "_prefix", "_remaining", "message_count")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._remaining = 0  # bytes missing from the current message
        self._prefix = b""  # the incomplete prefix of the next message
        self.message_count = 0  # messages whose prefix has been read

    def feed(self, data: bytes) -> bool:
        """Count the messages in the next bytes. Returns False if a message exceeds the limit."""
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
        """Whether the bytes so far end at the boundary between two messages."""
        return not self._remaining and not self._prefix
