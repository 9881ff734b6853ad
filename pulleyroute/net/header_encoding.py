"""An HPACK encoder without the dynamic table, so that a header has the same encoding on every connection.

Most headers repeat from call to call. Without references to the dynamic table, which changes with each header
block (RFC 7541, 2.3.2), the encoding of a header can be cached and reused on any connection. This costs some
bytes on the wire.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, ClassVar

import hpack.hpack
import hpack.table
from hpack import Encoder

MAX_CACHED_HEADERS = 4096  # in the whole process
MAX_CACHED_VALUE_BYTES = 200  # headers with longer values are not cached
UNCACHED_NAMES = frozenset((b"authorization", b"cookie", b"proxy-authorization", b"grpc-timeout"))


class _NullLogger:
    """Replaces the loggers of hpack, which are called about ten times per header for unused debug lines."""

    def debug(self, *arguments: object) -> None: ...


hpack.hpack.log = hpack.table.log = _NullLogger()  # type: ignore[assignment]


class StatelessEncoder(Encoder):
    """Replaces the encoder of an h2 connection. Names and values of headers are bytes."""

    _cache: ClassVar[dict[tuple[bytes, bytes], bytes]] = {}

    def encode(self, headers: Iterable[Any], huffman: bool = False) -> bytes:
        """Encode headers as literals that stay out of the dynamic table, or as entries of the static table.

        Huffman coding is not used: `huffman` is ignored.
        """
        blocks: list[bytes] = []
        if self.header_table.resized:
            blocks.append(self._encode_table_size_change())
            self.header_table.resized = False
        cache = self._cache
        for header in headers:
            key = (header[0], header[1])
            block = cache.get(key)
            if block is None:
                block = self.add(key, True)
                if len(key[1]) <= MAX_CACHED_VALUE_BYTES and key[0] not in UNCACHED_NAMES:
                    if len(cache) >= MAX_CACHED_HEADERS:
                        cache.clear()
                    cache[key] = block
            blocks.append(block)
        return b"".join(blocks)
