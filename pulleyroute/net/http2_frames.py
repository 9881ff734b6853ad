"""Merges small HTTP/2 frames before they reach h2, and rejects frames that are too long. Does no I/O.

h2 takes about 20 microseconds for each frame. A stream of small messages arrives as many small DATA frames,
each accompanied by a WINDOW_UPDATE. The DATA frames of one stream may be joined, and the WINDOW_UPDATEs of
one stream added up, as long as no frame of another type is between them: the boundaries of DATA frames have
no meaning (RFC 9113, 6.1), window increments are cumulative (6.9), and the two types affect neither each
other nor other streams (5.1, 5.2). All other frames pass unchanged and in order.
"""

from __future__ import annotations

from collections.abc import Callable

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, WINDOW_UPDATE = 0, 8
END_STREAM_OR_PADDED = 0x1 | 0x8
MAX_WINDOW_INCREMENT = 2**31 - 1
SMALL_DATA_BYTES = 16  # DATA frames with fewer bytes count as small for the flood limits


# Either complete frames for h2, unchanged; or a stream identifier with the bytes of DATA that neither end the
# stream nor are padded, or with the increment of its window. `encode_item` makes the frame of such a pair.
Item = bytes | tuple[int, bytes | int]


class FrameTooLong(Exception):
    """A frame header announces more bytes than allowed. The rest of the connection cannot be parsed."""


class FrameMerger:
    """Splits one direction of one connection into items. Keeps at most one incomplete frame.

    `max_frame_size`: of a payload, in bytes; `preface`: whether the peer is a client, which sends the
    connection preface first; `count`: called with the kind of each frame that costs its sender nothing, by
    the names of `flood_limits`.
    """

    __slots__ = ("_count", "_data", "_incomplete", "_preface", "_windows", "max_frame_size")

    def __init__(self, max_frame_size: int, preface: bool, count: Callable[[str], None]) -> None:
        self.max_frame_size = max_frame_size
        self._preface = len(PREFACE) if preface else 0
        self._incomplete = b""
        self._count = count
        self._data: dict[bytes, list[bytes]] = {}
        self._windows: dict[bytes, int] = {}

    def feed(self, data: bytes) -> list[Item]:
        """Return the items that are complete by now, in order; raises FrameTooLong."""
        items: list[Item] = []
        if self._preface:
            # The preface goes to h2 as it arrives, so that h2 rejects a wrong one at once.
            head, data = data[: self._preface], data[self._preface :]
            self._preface -= len(head)
            items.append(head)
        if self._incomplete:
            data = self._incomplete + data
        position, size = 0, len(data)
        while size - position >= 9:
            length = data[position] << 16 | data[position + 1] << 8 | data[position + 2]
            if length > self.max_frame_size:
                # h2 checks the length only after the complete frame, up to 16 MiB, has been buffered.
                raise FrameTooLong
            end = position + 9 + length
            if end > size:
                break
            frame_type = data[position + 3]
            if frame_type == DATA and length and not data[position + 4] & END_STREAM_OR_PADDED:
                if length < SMALL_DATA_BYTES:
                    self._count("small")
                stream = data[position + 5 : position + 9]
                chunks = self._data.get(stream)
                if chunks is None:
                    self._data[stream] = [data[position + 9 : end]]
                else:
                    chunks.append(data[position + 9 : end])
            elif frame_type == WINDOW_UPDATE and length == 4 and any(data[position + 9 : end]):
                self._count("window")
                stream = data[position + 5 : position + 9]
                total = self._windows.get(stream, 0) + int.from_bytes(data[position + 9 : end], "big")
                if total > MAX_WINDOW_INCREMENT:
                    self._flush(items)  # the sum does not fit into one frame; h2 handles the overflow
                    items.append(data[position:end])
                else:
                    self._windows[stream] = total
            else:
                self._count_frame(frame_type, data[position + 4], length)
                if self._data or self._windows:
                    self._flush(items)
                items.append(data[position:end])
            position = end
        self._incomplete = data[position:]
        self._flush(items)
        return items

    def _count_frame(self, frame_type: int, flags: int, length: int) -> None:
        ack = flags & 0x1 and frame_type in (4, 6)
        if frame_type == DATA and not length and not flags & 0x1:
            self._count("empty")
        elif frame_type in _COUNTED_TYPES and not ack:
            self._count(_COUNTED_TYPES[frame_type])

    def _flush(self, items: list[Item]) -> None:
        for stream, chunks in self._data.items():
            payload = chunks[0] if len(chunks) == 1 else b"".join(chunks)
            number = int.from_bytes(stream, "big") & MAX_WINDOW_INCREMENT
            for position in range(0, len(payload), self.max_frame_size):
                items.append((number, payload[position : position + self.max_frame_size]))
        for stream, increment in self._windows.items():
            items.append((int.from_bytes(stream, "big") & MAX_WINDOW_INCREMENT, increment))
        self._data.clear()
        self._windows.clear()


def data_frame(stream: int, payload: bytes) -> bytes:
    """Return a DATA frame without flags."""
    return len(payload).to_bytes(3, "big") + b"\0\0" + stream.to_bytes(4, "big") + payload


def window_frame(stream: int, increment: int) -> bytes:
    """Return a WINDOW_UPDATE frame."""
    return b"\0\0\4\x08\0" + stream.to_bytes(4, "big") + increment.to_bytes(4, "big")


def encode_item(stream: int, content: bytes | int) -> bytes:
    """Return the frame of an item: DATA for bytes, WINDOW_UPDATE for an increment."""
    return window_frame(stream, content) if isinstance(content, int) else data_frame(stream, content)


_COUNTED_TYPES = {2: "priority", 4: "settings", 6: "ping", WINDOW_UPDATE: "window"}
