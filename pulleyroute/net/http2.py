"""HTTP/2 on a non-blocking socket: h2 frames and keeps the states, one coroutine a connection reads and
writes.

Both roles. A stream's owner hears of it through `StreamHandler`; bytes of DATA that an owner was given count
against the stream's window until `Stream.consumed`, so whoever reads slowly holds back the sender. The
connection's own window is given back at once: one stalled stream must not stall the others. So a connection
holds at most its streams' windows.
"""

from __future__ import annotations

import contextlib
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
import h2.stream
from hyperframe.frame import Frame, GoAwayFrame, RstStreamFrame

from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.flood_limits import FloodLimits
from pulleyroute.net.header_encoding import PlainEncoder
from pulleyroute.net.http import Broken, Headers
from pulleyroute.net.http2_frames import (
    MAX_WINDOW_INCREMENT,
    FrameMerger,
    FrameTooLong,
    data_frame,
    encode_item,
)
from pulleyroute.net.loop import READABLE, WRITABLE, Coroutine, Loop, Task, Timer, Wait, Woken
from pulleyroute.net.tls import Tls

Code = h2.errors.ErrorCodes
_State = h2.stream.StreamState
_SEND_HEADERS = h2.connection.ConnectionInputs.SEND_HEADERS
_STREAM_SEND_HEADERS = h2.stream.StreamInputs.SEND_HEADERS
_STREAM_END = h2.stream.StreamInputs.SEND_END_STREAM
_NAME = re.compile(rb"[!#-'*+.^-z|~0-9-]+")  # of a header, RFC 9110, 5.6.2, in lower case (RFC 9113, 8.2.1)
_VALUE = re.compile(rb"(?:[^\0\r\n \t](?:[^\0\r\n]*[^\0\r\n \t])?)?")  # no controls, no blanks at the ends
_REQUEST = frozenset((b":method", b":scheme", b":path", b":authority"))
_ANSWER, _TRAILERS = frozenset((b":status",)), frozenset[bytes]()
_ODD = h2.connection.AllowedStreamIDs.ODD  # the client's
_TAKES_DATA = (_State.OPEN, _State.HALF_CLOSED_LOCAL)
_SENDS_DATA = (_State.OPEN, _State.HALF_CLOSED_REMOTE)

CONNECTION_WINDOW = 2**30  # given back at once, so its size bounds nothing
WINDOW_BACK = 1 / 2  # of a stream's window, consumed, before it is told
READS_A_TURN = 4
OUTBOX_DATA = 64 * 1024  # with more waiting for the kernel no more DATA is framed
OUTBOX_FULL = 256 * 1024  # and with this much nothing more is read: the peer asks and does not listen
LAST_ID = 2**31 - 1
HANDSHAKE_TIMEOUT_US = 5_000_000
STUCK_TIME = 10_000_000  # a peer that takes nothing for so long is gone
STEP = 500_000  # between the two GOAWAYs of a drain
LOOKS = 64
FLOOD_REASON = "too many frames"  # how the reason begins by which a flooding peer's connection ended


@dataclass(slots=True, frozen=True)
class Limits:
    """What one connection may take; sizes in bytes, times in microseconds."""

    streams: int = 1000  # at once, opened by the peer
    window: int = 65_535  # of a stream: DATA that waits for its owner
    header_bytes: int = 16 * 1024
    idle: int = 300_000_000  # without a stream, then a connection ends; 0 for never
    ping_after: int = 20_000_000  # of silence while streams are open, by the client's role; 0 for never
    ping_timeout: int = 10_000_000


class StreamHandler(Protocol):
    """Who a stream belongs to. `aborted` is the last word on it; none comes after both sides ended well."""

    def headers(self, headers: Headers, ended: bool) -> None: ...
    def data(self, data: bytes) -> None: ...
    def ended(self, trailers: Headers) -> None: ...
    def sent(self, count: int) -> None: ...
    def aborted(self, code: int | None, never_ran: bool, why: str) -> None: ...


class GracefulConnection(h2.connection.H2Connection):
    """h2's connection, with three of its habits changed: trace texts, counting streams one by one, GOAWAY."""

    def __init__(self, config: h2.config.H2Configuration) -> None:
        super().__init__(config=config)
        self.encoder = PlainEncoder()
        self._looks = 0

    def _receive_frame(self, frame: Frame) -> list[h2.events.Event]:
        # h2 makes a text of every frame for a trace that nobody reads; and it ends the connection on a frame
        # for a stream that was reset long ago, where RFC 9113, 5.1 asks for no more than RST_STREAM.
        try:
            frames, events = self._frame_dispatch_table[frame.__class__](frame)
        except h2.exceptions.StreamClosedError as exc:  # StreamIDTooLowError is none: it ends the connection
            if not self._stream_is_closed_by_reset(exc.stream_id):
                raise
            reset = RstStreamFrame(exc.stream_id)
            reset.error_code = exc.error_code
            self._prepare_for_sending([reset])
            return list(exc._events)
        except h2.exceptions.StreamIDTooLowError as exc:
            if not self._stream_is_closed_by_reset(exc.stream_id):
                raise
            reset = RstStreamFrame(exc.stream_id)
            reset.error_code = Code.STREAM_CLOSED
            self._prepare_for_sending([reset])
            return []
        self._prepare_for_sending(frames)
        return list(events)

    def _open_streams(self, remainder: int) -> int:
        # h2 counts by a look at every stream, for every new one. A closed stream may stay for some looks.
        self._looks += 1
        if self._looks % LOOKS == 0 or len(self.streams) > self.local_settings.max_concurrent_streams // 2:
            return super()._open_streams(remainder)
        return len(self.streams)

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list[Frame], list[h2.events.Event]]:
        # Guards streams that go on after a graceful GOAWAY (RFC 9113, 6.8): h2 would take the connection as
        # over.
        event = h2.events.ConnectionTerminated()
        event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        event.additional_data = frame.additional_data or None
        return [], [event]


class Calm(Exception):
    """The peer floods this connection."""


class Stream:
    """One stream. Owns what waits to be sent on it."""

    __slots__ = (
        "_credit",
        "_fin",
        "_pending",
        "_size",
        "_trailers",
        "answered",
        "connection",
        "local_closed",
        "remote_closed",
        "id",
        "handler",
    )

    def __init__(self, connection: Http2Connection, number: int, handler: StreamHandler) -> None:
        self.connection = connection
        self.id = number
        self.handler = handler
        self._pending: deque[bytes] = deque()
        self._size = 0
        self._fin = False
        self._trailers: Headers | None = None
        self._credit = 0  # consumed and not yet told
        self.answered = False
        self.local_closed = False
        self.remote_closed = False

    @property
    def open(self) -> bool:
        return self.connection.has(self)

    def send_headers(self, headers: Headers, end: bool = False) -> None:
        self.connection.head(self, headers, end)

    def write(self, data: bytes) -> None:
        """Send when the windows allow; `StreamHandler.sent` tells how much has gone."""
        if data and self.open and not self._fin:
            self._pending.append(data)
            self._size += len(data)
            self.connection.stir(self)

    def finish(self, trailers: Headers | None = None) -> None:
        """End this side once all is sent, with trailers if there are any."""
        if self.open and not self._fin:
            self._fin, self._trailers = True, trailers
            self.connection.stir(self)

    def consumed(self, count: int) -> None:
        """The owner has let go of so many bytes."""
        self._credit += count
        if self._credit >= self.connection.limits.window * WINDOW_BACK and not self.remote_closed:
            self.connection.give_back(self, self._credit)
            self._credit = 0

    def reset(self, code: Code = Code.CANCEL) -> None:
        self._pending.clear()
        self._size = 0
        self.connection.reset(self, code)

    def discard_pending(self) -> None:
        """Drop what waits to be sent; only an ending can follow."""
        self._pending.clear()
        self._size = 0

    def take(self, most: int) -> bytes:
        """The next bytes to go, joined: many small messages make one frame."""
        if self._size <= most:
            data = self._pending[0] if len(self._pending) == 1 else b"".join(self._pending)
            self._pending.clear()
        else:
            parts, left = [], most
            while left:
                part = self._pending.popleft()
                if len(part) > left:
                    self._pending.appendleft(part[left:])
                    part = part[:left]
                parts.append(part)
                left -= len(part)
            data = b"".join(parts)
        self._size -= len(data)
        return data

    @property
    def pending_bytes(self) -> int:
        """Bytes not yet sent."""
        return self._size

    @property
    def closing(self) -> tuple[bool, Headers | None]:
        return self._fin and not self.local_closed, self._trailers


Opened = Callable[[Stream, Headers, bool], StreamHandler]


class Http2Connection:
    """One connection, in either role. Owns its socket, its TLS, its h2 state and its streams."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        sock: socket.socket,
        server: bool,
        limits: Limits,
        tls: Tls | None = None,
        on_stream: Opened | None = None,
        on_closed: Callable[[Http2Connection, str], None] | None = None,
    ) -> None:
        self._loop, self._pool, self._sock, self._tls = loop, pool, sock, tls
        self.limits = limits
        self._server = server
        self._on_stream = on_stream
        self._on_closed = on_closed
        self._flood_limits = FloodLimits()
        self._h2 = GracefulConnection(
            h2.config.H2Configuration(
                client_side=not server,
                header_encoding=None,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
                normalize_inbound_headers=False,
                validate_inbound_headers=False,
            )
        )
        self._merger = FrameMerger(self._h2.max_inbound_frame_size, server, self._count)
        self._h2.local_settings = h2.settings.Settings(
            client=not server,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: limits.streams,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: limits.window,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: limits.header_bytes,
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
                h2.settings.SettingCodes.ENABLE_CONNECT_PROTOCOL: 0,
            },
        )
        self._h2.decoder.max_header_list_size = 4 * limits.header_bytes
        self._streams: dict[int, Stream] = {}
        self._stirred: dict[Stream, None] = {}  # they have something to send
        self._starved: dict[Stream, None] = {}  # the windows do not let them
        self._outbox = bytearray()
        self._owed = 0  # of the connection's window
        self._inside = False
        self.closed = False
        self.ready = False  # the peer's settings have come
        self.draining = False  # no new stream here, for either side
        self._last = LAST_ID  # streams above it are refused
        self._highest = 0  # the peer's newest stream
        self._ending = False  # leave once all is sent
        self._heard = loop.now()
        self._idle_since = self._began = loop.now()
        self._pinged = 0
        self._stuck_since = 0
        self._alarm: Timer | None = None
        self.task: Task | None = None

    # Streams

    def __len__(self) -> int:
        return len(self._streams)

    @property
    def streams(self) -> list[Stream]:
        return list(self._streams.values())

    def abandon(self, stream: Stream) -> None:
        """Say nothing more on a stream: a stand-in's way to have never looked at it."""
        self._drop(stream)

    def inject(self, frame: bytes) -> None:
        """Send a whole frame past h2, where h2 cannot send it or would take the connection as over."""
        self._absorb()
        self._give(frame)
        self._stir()

    def has(self, stream: Stream) -> bool:
        return not self.closed and self._streams.get(stream.id) is stream

    @property
    def has_capacity(self) -> bool:
        """Whether another stream may be opened from here."""
        return (
            not self.closed
            and not self.draining
            and not self._ending
            and len(self._streams) < self._h2.remote_settings.max_concurrent_streams
        )

    def request(self, headers: Headers, handler: StreamHandler, end: bool = False) -> Stream:
        """Open a stream; raises Broken if the connection has no room for one."""
        if not self.has_capacity:
            raise Broken("no room for a stream")
        try:
            stream = Stream(self, self._h2.get_next_available_stream_id(), handler)
            # h2 forgets closed streams when it counts the open ones, and only then: guards the memory, where
            # each call left one behind.
            self._h2._open_streams(1)
            self._h2._get_or_create_stream(stream.id, _ODD)
            self._send_head(stream.id, headers, end)
        except h2.exceptions.H2Error as exc:
            raise Broken(str(exc)) from None
        self._streams[stream.id] = stream
        stream.local_closed = end
        self._stir()
        return stream

    def head(self, stream: Stream, headers: Headers, end: bool) -> None:
        if not self.has(stream):
            return
        stream.answered = True
        with contextlib.suppress(h2.exceptions.H2Error):
            self._send_head(stream.id, headers, end)
        if end:
            stream.local_closed = True
            self._settle(stream)
        self._stir()

    def _send_head(self, number: int, headers: Headers, end: bool) -> None:
        """A head or trailers on a stream that exists; raises H2Error where the states do not allow it.

        h2's own states are asked and moved; its copies and checks of headers that we have made are left out.
        """
        inner = self._h2.streams.get(number)
        if inner is None:
            raise h2.exceptions.NoSuchStreamError(number)
        block = self._h2.encoder.encode(headers)
        if len(block) > self._h2.max_outbound_frame_size:
            self._h2.send_headers(number, headers, end)
            return
        self._h2.state_machine.process_input(_SEND_HEADERS)
        inner.state_machine.process_input(_STREAM_SEND_HEADERS)
        if end:
            inner.state_machine.process_input(_STREAM_END)
        self._absorb()
        flags = b"\x05" if end else b"\x04"  # END_HEADERS, and END_STREAM
        self._give(len(block).to_bytes(3, "big") + b"\x01" + flags + number.to_bytes(4, "big") + block)

    def stir(self, stream: Stream) -> None:
        self._stirred[stream] = None
        self._stir()

    def _stir(self) -> None:
        if not self._inside and self.task is not None:
            self.task.nudge()

    def give_back(self, stream: Stream, count: int) -> None:
        if self.has(stream):
            with contextlib.suppress(h2.exceptions.H2Error, ValueError, KeyError):
                self._h2.increment_flow_control_window(count, stream.id)
            self._stir()

    def reset(self, stream: Stream, code: Code) -> None:
        if not self.has(stream):
            return
        self._drop(stream)
        with contextlib.suppress(h2.exceptions.H2Error):
            self._h2.reset_stream(stream.id, code)
        self._stir()

    def _drop(self, stream: Stream) -> None:
        # Guards the memory: whoever still knows the stream would keep what waited to be sent on it.
        stream.discard_pending()
        self._streams.pop(stream.id, None)
        self._stirred.pop(stream, None)
        self._starved.pop(stream, None)
        if not self._streams:
            self._idle_since = self._loop.now()

    def _settle(self, stream: Stream) -> None:
        if stream.local_closed and stream.remote_closed:
            self._drop(stream)
        elif stream.local_closed and self._server:
            # An answer before the request's end: whole, and the rest is not wanted (RFC 9113, 8.1).
            self._drop(stream)
            with contextlib.suppress(h2.exceptions.H2Error):
                self._h2.reset_stream(stream.id, Code.NO_ERROR)

    # Ending

    def drain(self) -> None:
        """GOAWAY in two steps (RFC 9113, 6.8): warn, let arrive what is on its way, name the last stream."""
        if self.draining or self.closed:
            return
        self.draining = True
        self._goaway(LAST_ID, Code.NO_ERROR)
        self._loop.call_at(self._loop.now() + STEP, self._name_last)
        self._stir()

    def _name_last(self) -> None:
        if not self.closed:
            self._last = self._highest
            self._goaway(self._last, Code.NO_ERROR)
            self._stir()

    def _goaway(self, last: int, code: Code, text: bytes = b"") -> None:
        # Written past h2, which would take no frame of any stream from here on.
        self.inject(GoAwayFrame(0, last_stream_id=last, error_code=code, additional_data=text).serialize())

    def close(self, why: str = "closed", code: Code = Code.NO_ERROR) -> None:
        """End it now: say goodbye as far as that goes without waiting, and tell every stream's owner."""
        if self.closed:
            return
        self._goaway(self._highest if self._server else 0, code, why.encode() if code else b"")
        with contextlib.suppress(OSError, Broken):
            self._pump()  # endings that are framed but not yet written go first
            self._write()
        self._end(why)

    def _end(self, why: str) -> None:
        if self.closed:
            return
        self.closed = True
        streams, self._streams = list(self._streams.values()), {}
        self._stirred.clear()
        self._starved.clear()
        if self._alarm is not None:
            self._alarm.cancel()
        self._loop.forget(self._sock.fileno())
        self._sock.close()
        for stream in streams:
            stream.discard_pending()
            stream.handler.aborted(None, False, why)
        if self._on_closed is not None:
            self._on_closed(self, why)
        if self.task is not None and not self._inside:
            self.task.cancel()

    # The coroutine

    def start(self) -> None:
        self.task = Task(self._loop, self._running(), "http2 connection")
        self.task.start()

    def _running(self) -> Coroutine[None]:
        why = "closed"
        woken = Woken.READY
        fd = self._sock.fileno()
        reading, writing, both = Wait(fd, READABLE), Wait(fd, WRITABLE), Wait(fd, READABLE | WRITABLE)
        try:
            if self._tls is not None and not self._server:
                self._tls.start()
            self._h2.initiate_connection()
            self._h2.increment_flow_control_window(CONNECTION_WINDOW)
            while True:
                self._inside = True
                if woken is not Woken.NUDGED:  # whoever nudges has something to send
                    self._read()
                self._pump()
                self._write()
                self._inside = False
                now = self._loop.now()
                if self.closed:
                    return
                if not self.ready and now - self._began >= HANDSHAKE_TIMEOUT_US:
                    raise Broken("no settings in time")
                if self._outbox and self._stuck_since and now - self._stuck_since >= STUCK_TIME:
                    raise Broken("the peer takes nothing")
                if (
                    not self._streams
                    and not self._outbox
                    and (self._ending or (self.draining and self._last < LAST_ID))
                ):
                    return
                if not self._streams and self.limits.idle and now - self._idle_since > self.limits.idle:
                    self.close("idle")
                    return
                if not self._server:
                    self._ask(now)
                self._arm(now)
                if not self._outbox:
                    woken = yield reading
                else:
                    woken = yield writing if len(self._outbox) >= OUTBOX_FULL else both
        except Calm as exc:
            why = str(exc)
            self.close(why, Code.ENHANCE_YOUR_CALM)
        except h2.exceptions.ProtocolError as exc:
            why = f"not HTTP/2 as agreed: {exc}"
            with contextlib.suppress(OSError, Broken):
                self._write()  # h2 has made the GOAWAY that says so
        except (Broken, OSError) as exc:
            why = str(exc)
        finally:
            self._inside = True
            self._end(why)

    def _arm(self, now: int) -> None:
        """See to it that the coroutine looks again in time. One timer serves many waits: it may come too
        early."""
        until = self._until(now)
        if until is None or (self._alarm is not None and self._alarm.when <= until):
            return
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm = self._loop.call_at(until, self._ring)

    def _ring(self) -> None:
        self._alarm = None
        if self.task is not None:
            self.task.nudge()

    def _until(self, now: int) -> int | None:
        """When to look again though nothing came."""
        if not self.ready:
            return self._began + HANDSHAKE_TIMEOUT_US
        if self._outbox:
            return (self._stuck_since or now) + STUCK_TIME
        if not self._streams:
            return self._idle_since + self.limits.idle + 1000 if self.limits.idle else None
        if not self._server and self.limits.ping_after:
            if self._pinged:
                return self._pinged + self.limits.ping_timeout + 1000
            return max(now, self._heard + self.limits.ping_after) + 1000
        return None

    def _ask(self, now: int) -> None:
        """Guards streams against a machine that vanished: TCP does not notice, a PING without answer does."""
        if self._server or not self.limits.ping_after or not self._streams:
            self._pinged = 0
        elif self._pinged and now - self._pinged > self.limits.ping_timeout:
            raise Broken("no answer to a ping")
        elif not self._pinged and now - self._heard > self.limits.ping_after:
            self._pinged = now
            self._h2.ping(b"pulleyrt")
            self._write()

    # Reading

    def _read(self) -> None:
        for _ in range(READS_A_TURN):
            if len(self._outbox) >= OUTBOX_FULL or self.closed:
                return
            with self._pool.borrow() as buffer:
                try:
                    count = self._sock.recv_into(buffer)
                except (BlockingIOError, InterruptedError):
                    return
                if not count:
                    raise Broken("the connection ended")
                data = bytes(memoryview(buffer)[:count])
            self._heard, self._pinged = self._loop.now(), 0
            if self._tls is not None:
                data = self._tls.receive(data)
            if data:
                self._take(data)
            if count < self._pool.size:
                return

    def _count(self, kind: str) -> None:
        if self._server and not self._flood_limits.take(kind, self._loop.now()):
            raise Calm(f"{FLOOD_REASON}: {kind}")

    def _take(self, data: bytes) -> None:
        try:
            items = self._merger.feed(data)
        except FrameTooLong:
            self.close("a frame is longer than was allowed", Code.FRAME_SIZE_ERROR)
            return
        plain = len(data) < self._pool.size // 2
        for item in items:
            if isinstance(item, tuple):
                number, what = item
                if isinstance(what, int):
                    if self._plain_window(number, what):
                        continue
                elif self._plain_data(number, what):
                    continue
            plain = False
            if isinstance(item, tuple):
                item = encode_item(number, what)
            for event in self._h2.receive_data(item):
                handler = _HANDLERS.get(type(event))
                if handler is not None:
                    handler(self, event)
                if self.closed:
                    return
        self._loop.wakeup_pacing.note(plain)

    def _plain_data(self, number: int, body: bytes) -> bool:
        """DATA on a stream that surely may get it, past h2's frames and events; False leaves it to h2.

        h2's own windows are kept, so that it judges whatever comes next as if it had seen this.
        """
        stream, inner = self._streams.get(number), self._h2.streams.get(number)
        if stream is None or inner is None:
            return False
        machine, size = inner.state_machine, len(body)
        whole, part = self._h2._inbound_flow_control_window_manager, inner._inbound_window_manager
        if (
            machine.state not in _TAKES_DATA
            or not machine.headers_received
            or machine.trailers_received
            or inner._expected_content_length is not None
            or size > whole.current_window_size
            or size > part.current_window_size
        ):
            return False
        whole.window_consumed(size)
        part.window_consumed(size)
        self._owe(size)
        stream.handler.data(body)
        return True

    def _plain_window(self, number: int, increment: int) -> bool:
        """A window that surely may grow by so much; False leaves it to h2."""
        if number == 0:
            if self._h2.outbound_flow_control_window + increment > MAX_WINDOW_INCREMENT:
                return False
            self._h2.outbound_flow_control_window += increment
            self._feed()
            return True
        stream, inner = self._streams.get(number), self._h2.streams.get(number)
        if (
            stream is None
            or inner is None
            or inner.state_machine.state not in _SENDS_DATA
            or (inner.outbound_flow_control_window + increment > MAX_WINDOW_INCREMENT)
        ):
            return False
        inner.outbound_flow_control_window += increment
        if stream in self._starved:
            del self._starved[stream]
            self._stirred[stream] = None
        return True

    def _owe(self, count: int) -> None:
        """Give the connection's window back at once, a piece at a time."""
        self._owed += count
        if self._owed > CONNECTION_WINDOW // 1024:
            self._h2.increment_flow_control_window(self._owed)
            self._owed = 0

    def _on_request(self, event: h2.events.RequestReceived) -> None:
        number = event.stream_id
        if not sound(event.headers, _REQUEST):
            with contextlib.suppress(h2.exceptions.H2Error):
                self._h2.reset_stream(number, Code.PROTOCOL_ERROR)
            return
        if number > self._last or self._on_stream is None:
            # Guards a stream that crossed our GOAWAY: refused, so its sender knows that it never ran.
            with contextlib.suppress(h2.exceptions.H2Error):
                self._h2.reset_stream(number, Code.REFUSED_STREAM)
            return
        self._highest = max(self._highest, number)
        stream = Stream(self, number, _NOBODY)
        stream.remote_closed = event.stream_ended is not None
        self._streams[number] = stream
        stream.handler = self._on_stream(stream, event.headers, stream.remote_closed)

    def _on_response(self, event: h2.events.ResponseReceived) -> None:
        stream = self._streams.get(event.stream_id)
        if stream is not None and self._sound(stream, event.headers, _ANSWER):
            stream.handler.headers(event.headers, event.stream_ended is not None)

    def _on_data(self, event: h2.events.DataReceived) -> None:
        length = event.flow_controlled_length or 0
        self._owe(length)
        stream = self._streams.get(event.stream_id)
        if stream is None:
            return
        data = event.data or b""
        if length > len(data):
            stream.consumed(length - len(data))  # padding
        if data:
            stream.handler.data(data)

    def _on_trailers(self, event: h2.events.TrailersReceived) -> None:
        stream = self._streams.get(event.stream_id)
        if stream is not None and self._sound(stream, event.headers, _TRAILERS):
            self._over(event.stream_id, event.headers)

    def _sound(self, stream: Stream, headers: Headers, pseudo: frozenset[bytes]) -> bool:
        """Whether a head may be passed on; if not, its stream ends."""
        if sound(headers, pseudo):
            return True
        self.reset(stream, Code.PROTOCOL_ERROR)
        stream.handler.aborted(int(Code.PROTOCOL_ERROR), False, "a header out of form")
        return False

    def _on_ended(self, event: h2.events.StreamEnded) -> None:
        self._over(event.stream_id, [])

    def _over(self, number: int, trailers: Headers) -> None:
        stream = self._streams.get(number)
        if stream is not None and (trailers or not stream.remote_closed):
            stream.remote_closed = True
            stream.handler.ended(trailers)
            self._settle(stream)

    def _on_reset(self, event: h2.events.StreamReset) -> None:
        stream = self._streams.get(event.stream_id)
        if stream is not None:
            if not stream.answered:
                self._count("reset")
            self._drop(stream)
            code = int(event.error_code)
            stream.handler.aborted(code, code == Code.REFUSED_STREAM, f"reset with code {code}")

    def _on_window(self, event: h2.events.WindowUpdated) -> None:
        if event.stream_id:
            stream = self._streams.get(event.stream_id)
            if stream is not None and stream in self._starved:
                del self._starved[stream]
                self._stirred[stream] = None
        else:
            self._feed()

    def _feed(self) -> None:
        self._stirred.update(self._starved)
        self._starved.clear()

    def _on_settings(self, event: h2.events.RemoteSettingsChanged) -> None:
        self.ready = True
        self._feed()
        if self.on_ready is not None:
            self.on_ready()

    on_ready: Callable[[], None] | None = None

    def _on_goaway(self, event: h2.events.ConnectionTerminated) -> None:
        self.draining = True
        last = event.last_stream_id or 0
        if self._server:
            self._ending = True
            return
        for stream in [s for s in self._streams.values() if s.id > last]:
            self._drop(stream)  # above the last id: the peer says that it never saw it
            stream.handler.aborted(None, True, "above the last stream of a GOAWAY")
        self._ending = True

    # Writing

    def _pump(self) -> None:
        """Frame what the windows and the outbox let go."""
        self._absorb()
        while self._stirred and len(self._outbox) < OUTBOX_DATA and not self.closed:
            stream = next(iter(self._stirred))
            del self._stirred[stream]
            if self._streams.get(stream.id) is not stream or stream.local_closed:
                continue
            try:
                self._advance(stream)
            except h2.exceptions.H2Error:
                self._drop(stream)
                stream.handler.aborted(None, False, "the stream was closed")
            self._absorb()

    def _advance(self, stream: Stream) -> None:
        closing, trailers = stream.closing
        if stream.pending_bytes:
            inner = self._h2.streams.get(stream.id)
            if inner is None:
                raise h2.exceptions.NoSuchStreamError(stream.id)
            most = min(
                self._h2.outbound_flow_control_window,
                inner.outbound_flow_control_window,
                self._h2.max_outbound_frame_size,
            )
            if most <= 0:
                self._starved[stream] = None
                return
            data = stream.take(most)
            end = closing and not stream.pending_bytes and trailers is None
            if end or inner.state_machine.state not in _SENDS_DATA:
                self._h2.send_data(stream.id, data, end)
            else:
                # What h2 would do for a frame that ends nothing, without its objects; its windows are kept.
                self._h2.outbound_flow_control_window -= len(data)
                inner.outbound_flow_control_window -= len(data)
                self._absorb()
                self._give(data_frame(stream.id, data))
            if end:
                stream.local_closed = True
            elif stream.pending_bytes or closing:
                self._stirred[stream] = None  # behind the others: none holds the line
            stream.handler.sent(len(data))
        elif closing:
            if trailers is not None:
                self._send_head(stream.id, trailers, True)
            else:
                self._h2.end_stream(stream.id)
            stream.local_closed = True
        if stream.local_closed:
            self._settle(stream)

    def _absorb(self) -> None:
        if self._h2._data_to_send:
            self._give(self._h2.data_to_send())

    def _give(self, data: bytes) -> None:
        if self._tls is not None:
            self._tls.send(data)
            data = self._tls.take()
        self._outbox += data

    def _write(self) -> None:
        """Hand to the kernel what it takes."""
        while True:
            self._absorb()
            if self._tls is not None:
                self._outbox += self._tls.take()
            if not self._outbox:
                self._stuck_since = 0
                return
            try:
                count = self._sock.send(self._outbox)
            except (BlockingIOError, InterruptedError):
                self._stuck_since = self._stuck_since or self._loop.now()
                return
            del self._outbox[:count]
            self._stuck_since = 0
            if not self._outbox and self._stirred:
                self._pump()


def sound(headers: Headers, pseudo: frozenset[bytes]) -> bool:
    """Whether a head is in form: RFC 9113, 8.2.1 and 8.3, in one pass.

    Guards the next hop against names and values that would mean something else there: controls, upper case,
    pseudo headers that are unknown, come twice or come late.
    """
    seen: set[bytes] = set()
    regular = False
    for name, value in headers:
        if name in pseudo:
            if regular or name in seen:
                return False
            seen.add(name)
        elif _NAME.fullmatch(name) is None:
            return False
        else:
            regular = True
        if _VALUE.fullmatch(value) is None:
            return False
    return True


class _Nobody:
    """Owns a stream until its owner is known."""

    def headers(self, headers: Headers, ended: bool) -> None: ...
    def data(self, data: bytes) -> None: ...
    def ended(self, trailers: Headers) -> None: ...
    def sent(self, count: int) -> None: ...
    def aborted(self, code: int | None, never_ran: bool, why: str) -> None: ...


_NOBODY = _Nobody()
_HANDLERS: dict[type, Callable[[Http2Connection, Any], None]] = {
    h2.events.RequestReceived: Http2Connection._on_request,
    h2.events.ResponseReceived: Http2Connection._on_response,
    h2.events.DataReceived: Http2Connection._on_data,
    h2.events.TrailersReceived: Http2Connection._on_trailers,
    h2.events.StreamEnded: Http2Connection._on_ended,
    h2.events.StreamReset: Http2Connection._on_reset,
    h2.events.WindowUpdated: Http2Connection._on_window,
    h2.events.RemoteSettingsChanged: Http2Connection._on_settings,
    h2.events.ConnectionTerminated: Http2Connection._on_goaway,
}
