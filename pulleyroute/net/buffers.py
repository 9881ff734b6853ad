"""A pool of read buffers of one size, and the count of the request bytes held in memory."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

BUFFER_SIZE = 16 * 1024  # bytes
MAX_POOLED_BUFFERS = 16  # few are needed: a read borrows one only until its bytes are parsed


class BufferPool:
    """Lends buffers of `size` bytes. Owns the free ones and keeps at most `max_free` of them."""

    def __init__(self, size: int = BUFFER_SIZE, max_free: int = MAX_POOLED_BUFFERS) -> None:
        self.size = size
        self._max_free = max_free
        self._free: list[bytearray] = []

    @contextmanager
    def borrow(self) -> Iterator[bytearray]:
        """Lend a buffer for the duration of one read."""
        buffer = self._free.pop() if self._free else bytearray(self.size)
        try:
            yield buffer
        finally:
            if len(self._free) < self._max_free:
                self._free.append(buffer)


class Ledger:
    """Counts the request bytes held for accepted connections (`held`) against a limit, both in bytes."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0

    @property
    def full(self) -> bool:
        """Whether more bytes are held than the limit allows."""
        return self.held > self.limit
