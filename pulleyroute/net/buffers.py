"""Read buffers of one size, used again from a pool, and the count of what was read and is still held."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

BUFFER_SIZE = 16 * 1024
KEPT = 16  # buffers that stay with the pool; a read holds one only until its bytes are parsed


class BufferPool:
    """Lends buffers. Owns those that nobody has borrowed."""

    def __init__(self, size: int = BUFFER_SIZE, kept: int = KEPT) -> None:
        self.size = size
        self._kept = kept
        self._free: list[bytearray] = []

    @contextmanager
    def borrow(self) -> Iterator[bytearray]:
        """A buffer for the length of one read."""
        buffer = self._free.pop() if self._free else bytearray(self.size)
        try:
            yield buffer
        finally:
            if len(self._free) < self._kept:
                self._free.append(buffer)


class Ledger:
    """Counts the bytes of requests that accepted connections hold, against what memory allows."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0

    @property
    def full(self) -> bool:
        return self.held > self.limit
