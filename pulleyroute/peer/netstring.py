"""Netstrings: `<length>:<bytes>,` with the length in decimal. No I/O.

Source: https://cr.yp.to/proto/netstrings.txt. A length has no leading zero, and at most `limit` bytes follow.
"""

from __future__ import annotations

from collections.abc import Iterator

DEFAULT_LIMIT_BYTES = 4 * 1024 * 1024


class NetstringError(ValueError):
    """The bytes are no netstring, or one that is longer than allowed; the connection has to be closed."""


def encode(payload: bytes) -> bytes:
    """Return the payload as a netstring."""
    return b"%d:%s," % (len(payload), payload)


class NetstringReader:
    """Splits a stream of bytes, fed in any pieces, into payloads."""

    def __init__(self, limit: int = DEFAULT_LIMIT_BYTES) -> None:
        """`limit`: bytes of the longest payload."""
        self._limit = limit
        self._max_digits = len(str(limit))
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield each payload that `data` completes; raises NetstringError."""
        self._buffer += data
        while (payload := self._take()) is not None:
            yield payload

    def _take(self) -> bytes | None:
        """Remove the first payload from the buffer and return it; None if it is not complete."""
        colon = self._buffer.find(b":", 0, self._max_digits + 1)
        if colon < 0:
            self._check_length(bytes(self._buffer[: self._max_digits + 1]))
            return None
        self._check_length(bytes(self._buffer[:colon]))
        if colon == 0:
            raise NetstringError("a netstring has no length")
        length = int(self._buffer[:colon])
        if length > self._limit:
            raise NetstringError(f"a netstring of {length} bytes is longer than {self._limit}")
        end = colon + 1 + length
        if len(self._buffer) <= end:
            return None
        if self._buffer[end] != ord(","):
            raise NetstringError("a netstring does not end with a comma")
        payload = bytes(self._buffer[colon + 1 : end])
        del self._buffer[: end + 1]
        return payload

    def _check_length(self, digits: bytes) -> None:
        """Raise NetstringError unless the bytes can be the beginning of a length."""
        if digits and not digits.isdigit():
            raise NetstringError(f"{digits[:12]!r} is not the length of a netstring")
        if len(digits) > 1 and digits.startswith(b"0"):
            raise NetstringError("the length of a netstring begins with 0")
        if len(digits) > self._max_digits:
            raise NetstringError(f"a netstring is longer than {self._limit} bytes")
