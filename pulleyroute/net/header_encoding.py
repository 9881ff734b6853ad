"""HPACK for heads that we send: no dynamic table, so that a header's bytes are the same on every connection.

Most of what a head says is said in every call. Without references to a table that changes with each head (RFC
7541, 2.3.2) the bytes of a header can be kept and used again, on any connection. It costs some bytes on the
wire.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, ClassVar

import hpack.hpack
import hpack.table
from hpack import Encoder

MAX_CACHED_HEADERS = 4096  # headers whose bytes are kept, for the whole process
MAX_CACHED_VALUE_BYTES = 200  # bytes of a value that is kept
UNCACHED_NAMES = frozenset((b"authorization", b"cookie", b"proxy-authorization", b"grpc-timeout"))


class _Silent:
    """In place of hpack's logs, which are asked some ten times a header for lines that nobody reads."""

    def debug(self, *arguments: object) -> None: ...


hpack.hpack.log = hpack.table.log = _Silent()  # type: ignore[assignment]


class StatelessEncoder(Encoder):
    """Takes the place of h2's encoder. Names and values are bytes."""

    _cache: ClassVar[dict[tuple[bytes, bytes], bytes]] = {}

    def encode(self, headers: Iterable[Any], huffman: bool = False) -> bytes:
        out: list[bytes] = []
        if self.header_table.resized:
            out.append(self._encode_table_size_change())
            self.header_table.resized = False
        kept = self._cache
        for header in headers:
            key = (header[0], header[1])
            block = kept.get(key)
            if block is None:
                block = self.add(key, True)
                if len(key[1]) <= MAX_CACHED_VALUE_BYTES and key[0] not in UNCACHED_NAMES:
                    if len(kept) >= MAX_CACHED_HEADERS:
                        kept.clear()
                    kept[key] = block
            out.append(block)
        return b"".join(out)
