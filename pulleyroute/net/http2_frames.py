"""HTTP/2 frames before they reach h2: many small ones made into few, and none longer than was allowed. Pure.

h2 judges every frame, at some 20 microseconds each. A stream of small messages is a stream of small DATA
frames, and each has a WINDOW_UPDATE beside it. DATA of one stream may be joined, and WINDOW_UPDATEs of one
stream added up, as long as nothing else stands between: RFC 9113 gives no meaning to where DATA is cut (6.1),
sums are what windows are about (6.9), and neither depends on the other, or on other streams' (5.1, 5.2). All
else passes as it came, in order.
"""

from __future__ import annotations

from collections.abc import Callable

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, WINDOW_UPDATE = 0, 8
END_STREAM_OR_PADDED = 0x1 | 0x8
MAX_WINDOW_INCREMENT = 2**31 - 1
SMALL_DATA_BYTES = 16  # bytes of DATA


# Whole frames to be judged by h2 as they are; or a stream's number with bytes of DATA that neither end it nor
# are padded, or with the increment of its window. `encode_item` makes the frame of such a pair.
Item = bytes | tuple[int, bytes | int]


class FrameTooLong(Exception):
    """A frame's head announces more bytes than were allowed; the rest of the connection can't be read."""


class FrameMerger:
    """One direction of one connection. Holds at most one frame that has not come whole.

    `max_frame_size`: bytes of a frame's body; `preface`: the peer is a client and speaks first; `count` hears
    the kind of each frame that costs its sender nothing, as `flood_limits` names them.
    """

    __slots__ = ("_count", "_data", "_preface", "_rest", "_windows", "max_frame_size")

    def __init__(self, max_frame_size: int, preface: bool, count: Callable[[str], None]) -> None:
        self.max_frame_size = max_frame_size
        self._preface = len(PREFACE) if preface else 0
        self._rest = b""
        self._count = count
        self._data: dict[bytes, list[bytes]] = {}
        self._windows: dict[bytes, int] = {}

    def feed(self, data: bytes) -> list[Item]:
        """What has come whole, in order; raises `FrameTooLong`."""
        out: list[Item] = []
        if self._preface:
            # As it comes: h2 says at once whether it is one.
            head, data = data[: self._preface], data[self._preface :]
            self._preface -= len(head)
            out.append(head)
        if self._rest:
            data = self._rest + data
        at, size = 0, len(data)
        while size - at >= 9:
            length = data[at] << 16 | data[at + 1] << 8 | data[at + 2]
            if length > self.max_frame_size:
                # Guards the memory: h2 looks at a length only once all of it, up to 16 MiB, has come.
                raise FrameTooLong
            end = at + 9 + length
            if end > size:
                break
            kind = data[at + 3]
            if kind == DATA and length and not data[at + 4] & END_STREAM_OR_PADDED:
                if length < SMALL_DATA_BYTES:
                    self._count("small")
                stream = data[at + 5 : at + 9]
                parts = self._data.get(stream)
                if parts is None:
                    self._data[stream] = [data[at + 9 : end]]
                else:
                    parts.append(data[at + 9 : end])
            elif kind == WINDOW_UPDATE and length == 4 and any(data[at + 9 : end]):
                self._count("window")
                stream = data[at + 5 : at + 9]
                total = self._windows.get(stream, 0) + int.from_bytes(data[at + 9 : end], "big")
                if total > MAX_WINDOW_INCREMENT:
                    self._flush(out)  # too much for one frame: h2 is to see it
                    out.append(data[at:end])
                else:
                    self._windows[stream] = total
            else:
                self._name(kind, data[at + 4], length)
                if self._data or self._windows:
                    self._flush(out)
                out.append(data[at:end])
            at = end
        self._rest = data[at:]
        self._flush(out)
        return out

    def _name(self, kind: int, flags: int, length: int) -> None:
        ack = flags & 0x1 and kind in (4, 6)
        if kind == DATA and not length and not flags & 0x1:
            self._count("empty")
        elif kind in _KINDS and not ack:
            self._count(_KINDS[kind])

    def _flush(self, out: list[Item]) -> None:
        for stream, parts in self._data.items():
            body = parts[0] if len(parts) == 1 else b"".join(parts)
            number = int.from_bytes(stream, "big") & MAX_WINDOW_INCREMENT
            for at in range(0, len(body), self.max_frame_size):
                out.append((number, body[at : at + self.max_frame_size]))
        for stream, increment in self._windows.items():
            out.append((int.from_bytes(stream, "big") & MAX_WINDOW_INCREMENT, increment))
        self._data.clear()
        self._windows.clear()


def data_frame(stream: int, body: bytes) -> bytes:
    """A DATA frame without flags."""
    return len(body).to_bytes(3, "big") + b"\0\0" + stream.to_bytes(4, "big") + body


def window_frame(stream: int, increment: int) -> bytes:
    """A WINDOW_UPDATE frame."""
    return b"\0\0\4\x08\0" + stream.to_bytes(4, "big") + increment.to_bytes(4, "big")


def encode_item(stream: int, what: bytes | int) -> bytes:
    return window_frame(stream, what) if isinstance(what, int) else data_frame(stream, what)


_KINDS = {2: "priority", 4: "settings", 6: "ping", WINDOW_UPDATE: "window"}
