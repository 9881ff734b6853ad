"""HTTP/2 connections on non-blocking sockets, in both roles.

h2 parses and builds frames and keeps the protocol states; one coroutine for each connection reads and writes.
The events of a stream go to its `StreamHandler`. DATA that a handler was given counts against the stream's
flow-control window until `Stream.consumed`, so that a slow reader slows its sender down. The window of the
connection is returned at once, since one stalled stream must not stall the others. A connection therefore
buffers at most the windows of its streams.
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
from pulleyroute.net.header_encoding import StatelessEncoder
from pulleyroute.net.http import ConnectionFailed, Headers
from pulleyroute.net.http2_frames import (
    MAX_WINDOW_INCREMENT,
    FrameMerger,
    FrameTooLong,
    data_frame,
    encode_item,
)
from pulleyroute.net.loop import READABLE, WRITABLE, Coroutine, Loop, Task, Timer, Wait, WaitResult
from pulleyroute.net.tls import Tls

Code = h2.errors.ErrorCodes
_State = h2.stream.StreamState
_SEND_HEADERS = h2.connection.ConnectionInputs.SEND_HEADERS
_STREAM_SEND_HEADERS = h2.stream.StreamInputs.SEND_HEADERS
_STREAM_END = h2.stream.StreamInputs.SEND_END_STREAM
_NAME = re.compile(rb"[!#-'*+.^-z|~0-9-]+")  # of a field, RFC 9110, 5.6.2, in lower case (RFC 9113, 8.2.1)
_VALUE = re.compile(rb"(?:[^\0\r\n \t](?:[^\0\r\n]*[^\0\r\n \t])?)?")  # no controls, no blanks at the ends
_REQUEST = frozenset((b":method", b":scheme", b":path", b":authority"))
_RESPONSE, _TRAILERS = frozenset((b":status",)), frozenset[bytes]()
_ODD = h2.connection.AllowedStreamIDs.ODD  # stream identifiers of the client
_TAKES_DATA = (_State.OPEN, _State.HALF_CLOSED_LOCAL)
_SENDS_DATA = (_State.OPEN, _State.HALF_CLOSED_REMOTE)

CONNECTION_WINDOW = 2**30  # bytes; returned at once, so it never holds a peer back
WINDOW_UPDATE_SHARE = 1 / 2  # of a stream's window, consumed before a WINDOW_UPDATE is sent
READS_PER_WAKEUP = 4
OUTBOX_DATA_BYTES = 64 * 1024  # no DATA is framed while this much waits for the kernel
OUTBOX_FULL_BYTES = 256 * 1024  # nothing is read: the peer sends requests but reads no responses
MAX_STREAM_ID = 2**31 - 1
HANDSHAKE_TIMEOUT_US = 5_000_000
WRITE_TIMEOUT_US = 10_000_000  # a peer that reads nothing for this long is considered gone
DRAIN_STEP_US = 500_000  # between the two GOAWAYs of a drain
COUNTS_PER_CLEANUP = 64  # one count of open streams in so many visits every stream, and drops closed ones
FLOOD_REASON = "too many frames"  # prefix of the reason for which the connection of a flooding peer is closed


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits of one connection; sizes in bytes, times in microseconds."""

    streams: int = 1000  # open at once that the peer may have opened
    window: int = 65_535  # of a stream: DATA that its handler has not consumed
    header_bytes: int = 16 * 1024
    idle: int = 300_000_000  # a connection without streams closes after this; 0 for never
    ping_after: int = 20_000_000  # of silence with open streams, in the client's role; 0 for never
    ping_timeout: int = 10_000_000


class StreamHandler(Protocol):
    """Receives the events of one stream.

    `headers`, `data` and `ended` report what the peer sends, and `sent` how many bytes of DATA have been
    framed. `aborted` is the last event of a stream that fails: `code` is that of the RST_STREAM, if there was
    one, and `never_ran` is True if the peer has surely not processed the request. No event follows once both
    sides have ended the stream.
    """

    def headers(self, headers: Headers, ended: bool) -> None: ...
    def data(self, data: bytes) -> None: ...
    def ended(self, trailers: Headers) -> None: ...
    def sent(self, count: int) -> None: ...
    def aborted(self, code: int | None, never_ran: bool, why: str) -> None: ...


class GracefulConnection(h2.connection.H2Connection):
    """h2's connection with changes for speed and for graceful shutdown.

    It formats no trace messages, counts open streams cheaply, tolerates frames for streams that were reset,
    and continues after a GOAWAY.
    """

    def __init__(self, config: h2.config.H2Configuration) -> None:
        super().__init__(config=config)
        self.encoder = StatelessEncoder()
        self._counts = 0

    def _receive_frame(self, frame: Frame) -> list[h2.events.Event]:
        # h2 formats a trace message for every frame, which is not used here. It also ends the connection on a
        # frame for a stream that was reset long ago, where RFC 9113, 5.1 requires no more than RST_STREAM.
        try:
            frames, events = self._frame_dispatch_table[frame.__class__](frame)
        except h2.exceptions.StreamClosedError as exc:  # not a base of StreamIDTooLowError, handled below
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
        # h2 visits every stream for each new one, which also drops the closed ones. Here closed streams may
        # stay for some counts.
        self._counts += 1
        if (
            self._counts % COUNTS_PER_CLEANUP == 0
            or len(self.streams) > self.local_settings.max_concurrent_streams // 2
        ):
            return super()._open_streams(remainder)
        return len(self.streams)

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list[Frame], list[h2.events.Event]]:
        # Streams continue after a graceful GOAWAY (RFC 9113, 6.8). h2 itself would close the connection.
        event = h2.events.ConnectionTerminated()
        event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        event.additional_data = frame.additional_data or None
        return [], [event]


class FloodError(Exception):
    """The peer exceeds the flood limits of this connection."""


class Stream:
    """One stream. Owns the data that waits to be sent on it."""

    __slots__ = (
        "_end_requested",
        "_pending",
        "_pending_size",
        "_trailers",
        "_unreturned",
        "connection",
        "handler",
        "headers_sent",
        "id",
        "local_closed",
        "remote_closed",
    )

    def __init__(self, connection: Http2Connection, number: int, handler: StreamHandler) -> None:
        self.connection = connection
        self.id = number
        self.handler = handler
        self._pending: deque[bytes] = deque()
        self._pending_size = 0
        self._end_requested = False
        self._trailers: Headers | None = None
        self._unreturned = 0  # bytes consumed since the last WINDOW_UPDATE
        self.headers_sent = False
        self.local_closed = False
        self.remote_closed = False

    @property
    def open(self) -> bool:
        """Whether the connection still has the stream."""
        return self.connection.has(self)

    def send_headers(self, headers: Headers, end: bool = False) -> None:
        """Send a header section, which with `end` also ends this side of the stream."""
        self.connection.send_headers(self, headers, end)

    def write(self, data: bytes) -> None:
        """Queue data, to be sent as the windows allow; `StreamHandler.sent` reports the progress."""
        if data and self.open and not self._end_requested:
            self._pending.append(data)
            self._pending_size += len(data)
            self.connection.schedule(self)

    def finish(self, trailers: Headers | None = None) -> None:
        """End this side once all queued data is sent, with trailers if given."""
        if self.open and not self._end_requested:
            self._end_requested, self._trailers = True, trailers
            self.connection.schedule(self)

    def consumed(self, count: int) -> None:
        """Report bytes that the handler has consumed, so that the peer may send as many more."""
        self._unreturned += count
        if self._unreturned >= self.connection.limits.window * WINDOW_UPDATE_SHARE and not self.remote_closed:
            self.connection.return_window(self, self._unreturned)
            self._unreturned = 0

    def reset(self, code: Code = Code.CANCEL) -> None:
        """Discard what is queued and send RST_STREAM."""
        self._pending.clear()
        self._pending_size = 0
        self.connection.reset(self, code)

    def discard_pending(self) -> None:
        """Discard the queued data; only the end of the stream may follow."""
        self._pending.clear()
        self._pending_size = 0

    def take_pending(self, most: int) -> bytes:
        """Return and remove at most this many bytes; many small messages are joined into one frame."""
        if self._pending_size <= most:
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
        self._pending_size -= len(data)
        return data

    @property
    def pending_bytes(self) -> int:
        """Bytes that are queued and not yet framed."""
        return self._pending_size

    @property
    def closing(self) -> tuple[bool, Headers | None]:
        """Whether this side is to end after the queued data, and the trailers."""
        return self._end_requested and not self.local_closed, self._trailers


StreamOpened = Callable[[Stream, Headers, bool], StreamHandler]


class Http2Connection:
    """One connection, in either role. Owns its socket, its TLS state, its h2 state and its streams.

    `on_stream` is called for each stream that the peer opens and returns its handler. `on_closed` is called
    once when the connection has ended, with the reason.
    """

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        sock: socket.socket,
        server: bool,
        limits: Limits,
        tls: Tls | None = None,
        on_stream: StreamOpened | None = None,
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
        self._merger = FrameMerger(self._h2.max_inbound_frame_size, server, self._count_frame)
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
        self._sendable: dict[Stream, None] = {}  # may have something to send
        self._blocked: dict[Stream, None] = {}  # blocked by flow control
        self._outbox = bytearray()
        self._unreturned = 0  # bytes of the connection's window
        self._in_step = False
        self.closed = False
        self.ready = False  # the SETTINGS of the peer have arrived
        self.draining = False  # neither side opens a new stream
        self._last_accepted = MAX_STREAM_ID  # identifier above which streams are refused
        self._highest_received = 0  # identifier of the peer's newest stream
        self._ending = False  # close once all streams have ended and the outbox is empty
        self._last_read_at = loop.now()
        self._idle_since = self._started_at = loop.now()
        self._ping_sent_at = 0
        self._write_blocked_since = 0
        self._timer: Timer | None = None
        self.task: Task | None = None

    # Streams

    def __len__(self) -> int:
        return len(self._streams)

    @property
    def streams(self) -> list[Stream]:
        """The open streams."""
        return list(self._streams.values())

    def abandon(self, stream: Stream) -> None:
        """Drop a stream without a frame to the peer, as a stand-in does that never processes it."""
        self._drop(stream)

    def inject(self, frame: bytes) -> None:
        """Send a complete frame past h2, where h2 cannot send it or would close the connection."""
        self._collect_output()
        self._enqueue(frame)
        self._wake()

    def has(self, stream: Stream) -> bool:
        """Whether the connection is open and the stream belongs to it."""
        return not self.closed and self._streams.get(stream.id) is stream

    @property
    def has_capacity(self) -> bool:
        """Whether this side may open another stream."""
        return (
            not self.closed
            and not self.draining
            and not self._ending
            and len(self._streams) < self._h2.remote_settings.max_concurrent_streams
        )

    def request(self, headers: Headers, handler: StreamHandler, end: bool = False) -> Stream:
        """Open a stream; raises ConnectionFailed if the connection has no room for one."""
        if not self.has_capacity:
            raise ConnectionFailed("no room for a stream")
        try:
            stream = Stream(self, self._h2.get_next_available_stream_id(), handler)
            # h2 drops closed streams only when it counts the open ones. Without this call, each request would
            # leave one in memory.
            self._h2._open_streams(1)
            self._h2._get_or_create_stream(stream.id, _ODD)
            self._send_header_block(stream.id, headers, end)
        except h2.exceptions.H2Error as exc:
            raise ConnectionFailed(str(exc)) from None
        self._streams[stream.id] = stream
        stream.local_closed = end
        self._wake()
        return stream

    def send_headers(self, stream: Stream, headers: Headers, end: bool) -> None:
        """Send a header section on a stream of this connection."""
        if not self.has(stream):
            return
        stream.headers_sent = True
        with contextlib.suppress(h2.exceptions.H2Error):
            self._send_header_block(stream.id, headers, end)
        if end:
            stream.local_closed = True
            self._drop_if_ended(stream)
        self._wake()

    def _send_header_block(self, number: int, headers: Headers, end: bool) -> None:
        """Send headers or trailers on an existing stream; raises H2Error if its state does not allow it.

        This updates the states of h2 but skips its copies and checks of the headers, which are valid already.
        """
        h2_stream = self._h2.streams.get(number)
        if h2_stream is None:
            raise h2.exceptions.NoSuchStreamError(number)
        block = self._h2.encoder.encode(headers)
        if len(block) > self._h2.max_outbound_frame_size:
            self._h2.send_headers(number, headers, end)
            return
        self._h2.state_machine.process_input(_SEND_HEADERS)
        h2_stream.state_machine.process_input(_STREAM_SEND_HEADERS)
        if end:
            h2_stream.state_machine.process_input(_STREAM_END)
        self._collect_output()
        flags = b"\x05" if end else b"\x04"  # END_HEADERS, with or without END_STREAM
        self._enqueue(len(block).to_bytes(3, "big") + b"\x01" + flags + number.to_bytes(4, "big") + block)

    def schedule(self, stream: Stream) -> None:
        """Note that a stream has something to send, and wake the coroutine."""
        self._sendable[stream] = None
        self._wake()

    def _wake(self) -> None:
        if not self._in_step and self.task is not None:
            self.task.wake()

    def return_window(self, stream: Stream, count: int) -> None:
        """Send a WINDOW_UPDATE for bytes that the handler of a stream has consumed."""
        if self.has(stream):
            with contextlib.suppress(h2.exceptions.H2Error, ValueError, KeyError):
                self._h2.increment_flow_control_window(count, stream.id)
            self._wake()

    def reset(self, stream: Stream, code: Code) -> None:
        """Drop a stream and send RST_STREAM."""
        if not self.has(stream):
            return
        self._drop(stream)
        with contextlib.suppress(h2.exceptions.H2Error):
            self._h2.reset_stream(stream.id, code)
        self._wake()

    def _drop(self, stream: Stream) -> None:
        # Other objects may still refer to the stream, and would keep its queued data in memory.
        stream.discard_pending()
        self._streams.pop(stream.id, None)
        self._sendable.pop(stream, None)
        self._blocked.pop(stream, None)
        if not self._streams:
            self._idle_since = self._loop.now()

    def _drop_if_ended(self, stream: Stream) -> None:
        if stream.local_closed and stream.remote_closed:
            self._drop(stream)
        elif stream.local_closed and self._server:
            # The response ended before the request, whose rest is not needed (RFC 9113, 8.1).
            self._drop(stream)
            with contextlib.suppress(h2.exceptions.H2Error):
                self._h2.reset_stream(stream.id, Code.NO_ERROR)

    # Ending

    def drain(self) -> None:
        """Shut down gracefully, with two GOAWAY frames (RFC 9113, 6.8).

        The first announces the shutdown; the second, `DRAIN_STEP_US` later, names the last stream, so that
        requests in transit are still accepted.
        """
        if self.draining or self.closed:
            return
        self.draining = True
        self._send_goaway(MAX_STREAM_ID, Code.NO_ERROR)
        self._loop.call_at(self._loop.now() + DRAIN_STEP_US, self._send_final_goaway)
        self._wake()

    def _send_final_goaway(self) -> None:
        if not self.closed:
            self._last_accepted = self._highest_received
            self._send_goaway(self._last_accepted, Code.NO_ERROR)
            self._wake()

    def _send_goaway(self, last: int, code: Code, text: bytes = b"") -> None:
        # Sent past h2, which would accept no frame of any stream after it.
        self.inject(GoAwayFrame(0, last_stream_id=last, error_code=code, additional_data=text).serialize())

    def close(self, why: str = "closed", code: Code = Code.NO_ERROR) -> None:
        """Close at once: send GOAWAY if the socket takes it, and abort every stream."""
        if self.closed:
            return
        self._send_goaway(self._highest_received if self._server else 0, code, why.encode() if code else b"")
        with contextlib.suppress(OSError, ConnectionFailed):
            self._frame_pending()  # ends of streams that are queued or framed go first
            self._write()
        self._end(why)

    def _end(self, why: str) -> None:
        if self.closed:
            return
        self.closed = True
        streams, self._streams = list(self._streams.values()), {}
        self._sendable.clear()
        self._blocked.clear()
        if self._timer is not None:
            self._timer.cancel()
        self._loop.forget(self._sock.fileno())
        self._sock.close()
        for stream in streams:
            stream.discard_pending()
            stream.handler.aborted(None, False, why)
        if self._on_closed is not None:
            self._on_closed(self, why)
        if self.task is not None and not self._in_step:
            self.task.cancel()

    # The coroutine

    def start(self) -> None:
        """Start the coroutine that reads and writes."""
        self.task = Task(self._loop, self._run(), "http2 connection")
        self.task.start()

    def _run(self) -> Coroutine[None]:
        why = "closed"
        woken = WaitResult.READY
        fd = self._sock.fileno()
        reading, writing, both = Wait(fd, READABLE), Wait(fd, WRITABLE), Wait(fd, READABLE | WRITABLE)
        try:
            if self._tls is not None and not self._server:
                self._tls.start()
            self._h2.initiate_connection()
            self._h2.increment_flow_control_window(CONNECTION_WINDOW)
            while True:
                self._in_step = True
                if woken is not WaitResult.WOKEN:  # a wake-up means that there is something to send
                    self._read()
                self._frame_pending()
                self._write()
                self._in_step = False
                now = self._loop.now()
                if self.closed:
                    return
                if not self.ready and now - self._started_at >= HANDSHAKE_TIMEOUT_US:
                    raise ConnectionFailed("no settings in time")
                if (
                    self._outbox
                    and self._write_blocked_since
                    and now - self._write_blocked_since >= WRITE_TIMEOUT_US
                ):
                    raise ConnectionFailed("the peer takes nothing")
                if (
                    not self._streams
                    and not self._outbox
                    and (self._ending or (self.draining and self._last_accepted < MAX_STREAM_ID))
                ):
                    return
                if not self._streams and self.limits.idle and now - self._idle_since > self.limits.idle:
                    self.close("idle")
                    return
                if not self._server:
                    self._check_ping(now)
                self._set_timer(now)
                if not self._outbox:
                    woken = yield reading
                else:
                    woken = yield writing if len(self._outbox) >= OUTBOX_FULL_BYTES else both
        except FloodError as exc:
            why = str(exc)
            self.close(why, Code.ENHANCE_YOUR_CALM)
        except h2.exceptions.ProtocolError as exc:
            why = f"not HTTP/2 as agreed: {exc}"
            with contextlib.suppress(OSError, ConnectionFailed):
                self._write()  # h2 has built the GOAWAY with the error code
        except (ConnectionFailed, OSError) as exc:
            why = str(exc)
        finally:
            self._in_step = True
            self._end(why)

    def _set_timer(self, now: int) -> None:
        """Set the timer that wakes the coroutine for its next deadline.

        A timer that is set for an earlier time is kept, so the coroutine may wake too early.
        """
        deadline = self._next_deadline(now)
        if deadline is None or (self._timer is not None and self._timer.when <= deadline):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(deadline, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self.task is not None:
            self.task.wake()

    def _next_deadline(self, now: int) -> int | None:
        """Return the next deadline of the connection, if there is one."""
        if not self.ready:
            return self._started_at + HANDSHAKE_TIMEOUT_US
        if self._outbox:
            return (self._write_blocked_since or now) + WRITE_TIMEOUT_US
        if not self._streams:
            return self._idle_since + self.limits.idle + 1000 if self.limits.idle else None
        if not self._server and self.limits.ping_after:
            if self._ping_sent_at:
                return self._ping_sent_at + self.limits.ping_timeout + 1000
            return max(now, self._last_read_at + self.limits.ping_after) + 1000
        return None

    def _check_ping(self, now: int) -> None:
        """Send a PING after silence; raises ConnectionFailed if the last one was not answered in time.

        If the machine of the peer vanishes, TCP alone does not notice, and its streams would never end.
        """
        if self._server or not self.limits.ping_after or not self._streams:
            self._ping_sent_at = 0
        elif self._ping_sent_at and now - self._ping_sent_at > self.limits.ping_timeout:
            raise ConnectionFailed("no answer to a ping")
        elif not self._ping_sent_at and now - self._last_read_at > self.limits.ping_after:
            self._ping_sent_at = now
            self._h2.ping(b"pulleyrt")
            self._write()

    # Reading

    def _read(self) -> None:
        for _ in range(READS_PER_WAKEUP):
            if len(self._outbox) >= OUTBOX_FULL_BYTES or self.closed:
                return
            with self._pool.borrow() as buffer:
                try:
                    count = self._sock.recv_into(buffer)
                except (BlockingIOError, InterruptedError):
                    return
                if not count:
                    raise ConnectionFailed("the connection ended")
                data = bytes(memoryview(buffer)[:count])
            self._last_read_at, self._ping_sent_at = self._loop.now(), 0
            if self._tls is not None:
                data = self._tls.receive(data)
            if data:
                self._receive(data)
            if count < self._pool.size:
                return

    def _count_frame(self, kind: str) -> None:
        if self._server and not self._flood_limits.take(kind, self._loop.now()):
            raise FloodError(f"{FLOOD_REASON}: {kind}")

    def _receive(self, data: bytes) -> None:
        try:
            items = self._merger.feed(data)
        except FrameTooLong:
            self.close("a frame is longer than was allowed", Code.FRAME_SIZE_ERROR)
            return
        plain = len(data) < self._pool.size // 2
        for item in items:
            if isinstance(item, tuple):
                number, content = item
                if isinstance(content, int):
                    if self._fast_window_update(number, content):
                        continue
                elif self._fast_data(number, content):
                    continue
            plain = False
            if isinstance(item, tuple):
                item = encode_item(number, content)
            for event in self._h2.receive_data(item):
                handler = _HANDLERS.get(type(event))
                if handler is not None:
                    handler(self, event)
                if self.closed:
                    return
        self._loop.wakeup_pacing.record_read(plain)

    def _fast_data(self, number: int, body: bytes) -> bool:
        """Handle DATA without h2's frames and events, if it is surely valid; otherwise returns False.

        The windows of h2 are updated, so that it checks the next frame as if it had handled this one.
        """
        stream, h2_stream = self._streams.get(number), self._h2.streams.get(number)
        if stream is None or h2_stream is None:
            return False
        state_machine, size = h2_stream.state_machine, len(body)
        connection_window, stream_window = (
            self._h2._inbound_flow_control_window_manager,
            h2_stream._inbound_window_manager,
        )
        if (
            state_machine.state not in _TAKES_DATA
            or not state_machine.headers_received
            or state_machine.trailers_received
            or h2_stream._expected_content_length is not None
            or size > connection_window.current_window_size
            or size > stream_window.current_window_size
        ):
            return False
        connection_window.window_consumed(size)
        stream_window.window_consumed(size)
        self._return_connection_window(size)
        stream.handler.data(body)
        return True

    def _fast_window_update(self, number: int, increment: int) -> bool:
        """Handle a WINDOW_UPDATE without h2 if it is surely valid; otherwise returns False."""
        if number == 0:
            if self._h2.outbound_flow_control_window + increment > MAX_WINDOW_INCREMENT:
                return False
            self._h2.outbound_flow_control_window += increment
            self._unblock_streams()
            return True
        stream, h2_stream = self._streams.get(number), self._h2.streams.get(number)
        if (
            stream is None
            or h2_stream is None
            or h2_stream.state_machine.state not in _SENDS_DATA
            or (h2_stream.outbound_flow_control_window + increment > MAX_WINDOW_INCREMENT)
        ):
            return False
        h2_stream.outbound_flow_control_window += increment
        if stream in self._blocked:
            del self._blocked[stream]
            self._sendable[stream] = None
        return True

    def _return_connection_window(self, count: int) -> None:
        """Return bytes of the connection's window, with one WINDOW_UPDATE for each 1/1024 of it."""
        self._unreturned += count
        if self._unreturned > CONNECTION_WINDOW // 1024:
            self._h2.increment_flow_control_window(self._unreturned)
            self._unreturned = 0

    def _on_request(self, event: h2.events.RequestReceived) -> None:
        number = event.stream_id
        if not valid_headers(event.headers, _REQUEST):
            with contextlib.suppress(h2.exceptions.H2Error):
                self._h2.reset_stream(number, Code.PROTOCOL_ERROR)
            return
        if number > self._last_accepted or self._on_stream is None:
            # The stream was opened before our GOAWAY arrived. REFUSED_STREAM tells the peer that it was not
            # processed and may be retried (RFC 9113, 8.7).
            with contextlib.suppress(h2.exceptions.H2Error):
                self._h2.reset_stream(number, Code.REFUSED_STREAM)
            return
        self._highest_received = max(self._highest_received, number)
        stream = Stream(self, number, _UNASSIGNED)
        stream.remote_closed = event.stream_ended is not None
        self._streams[number] = stream
        stream.handler = self._on_stream(stream, event.headers, stream.remote_closed)

    def _on_response(self, event: h2.events.ResponseReceived) -> None:
        stream = self._streams.get(event.stream_id)
        if stream is not None and self._check_headers(stream, event.headers, _RESPONSE):
            stream.handler.headers(event.headers, event.stream_ended is not None)

    def _on_data(self, event: h2.events.DataReceived) -> None:
        length = event.flow_controlled_length or 0
        self._return_connection_window(length)
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
        if stream is not None and self._check_headers(stream, event.headers, _TRAILERS):
            self._on_remote_end(event.stream_id, event.headers)

    def _check_headers(self, stream: Stream, headers: Headers, pseudo: frozenset[bytes]) -> bool:
        """Whether a header section is valid; if not, the stream is reset."""
        if valid_headers(headers, pseudo):
            return True
        self.reset(stream, Code.PROTOCOL_ERROR)
        stream.handler.aborted(int(Code.PROTOCOL_ERROR), False, "a header out of form")
        return False

    def _on_ended(self, event: h2.events.StreamEnded) -> None:
        self._on_remote_end(event.stream_id, [])

    def _on_remote_end(self, number: int, trailers: Headers) -> None:
        stream = self._streams.get(number)
        if stream is not None and (trailers or not stream.remote_closed):
            stream.remote_closed = True
            stream.handler.ended(trailers)
            self._drop_if_ended(stream)

    def _on_reset(self, event: h2.events.StreamReset) -> None:
        stream = self._streams.get(event.stream_id)
        if stream is not None:
            if not stream.headers_sent:
                self._count_frame("reset")
            self._drop(stream)
            code = int(event.error_code)
            stream.handler.aborted(code, code == Code.REFUSED_STREAM, f"reset with code {code}")

    def _on_window(self, event: h2.events.WindowUpdated) -> None:
        if event.stream_id:
            stream = self._streams.get(event.stream_id)
            if stream is not None and stream in self._blocked:
                del self._blocked[stream]
                self._sendable[stream] = None
        else:
            self._unblock_streams()

    def _unblock_streams(self) -> None:
        self._sendable.update(self._blocked)
        self._blocked.clear()

    def _on_settings(self, event: h2.events.RemoteSettingsChanged) -> None:
        self.ready = True
        self._unblock_streams()
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
            self._drop(stream)  # above the last identifier: the peer has not processed it
            stream.handler.aborted(None, True, "above the last stream of a GOAWAY")
        self._ending = True

    # Writing

    def _frame_pending(self) -> None:
        """Frame queued data as far as the windows and the outbox have room."""
        self._collect_output()
        while self._sendable and len(self._outbox) < OUTBOX_DATA_BYTES and not self.closed:
            stream = next(iter(self._sendable))
            del self._sendable[stream]
            if self._streams.get(stream.id) is not stream or stream.local_closed:
                continue
            try:
                self._send_pending(stream)
            except h2.exceptions.H2Error:
                self._drop(stream)
                stream.handler.aborted(None, False, "the stream was closed")
            self._collect_output()

    def _send_pending(self, stream: Stream) -> None:
        closing, trailers = stream.closing
        if stream.pending_bytes:
            h2_stream = self._h2.streams.get(stream.id)
            if h2_stream is None:
                raise h2.exceptions.NoSuchStreamError(stream.id)
            most = min(
                self._h2.outbound_flow_control_window,
                h2_stream.outbound_flow_control_window,
                self._h2.max_outbound_frame_size,
            )
            if most <= 0:
                self._blocked[stream] = None
                return
            data = stream.take_pending(most)
            end = closing and not stream.pending_bytes and trailers is None
            if end or h2_stream.state_machine.state not in _SENDS_DATA:
                self._h2.send_data(stream.id, data, end)
            else:
                # As h2 does for a frame without END_STREAM, but without its objects. Its windows are updated.
                self._h2.outbound_flow_control_window -= len(data)
                h2_stream.outbound_flow_control_window -= len(data)
                self._collect_output()
                self._enqueue(data_frame(stream.id, data))
            if end:
                stream.local_closed = True
            elif stream.pending_bytes or closing:
                self._sendable[stream] = None  # at the end of the queue, so that all streams get their turn
            stream.handler.sent(len(data))
        elif closing:
            if trailers is not None:
                self._send_header_block(stream.id, trailers, True)
            else:
                self._h2.end_stream(stream.id)
            stream.local_closed = True
        if stream.local_closed:
            self._drop_if_ended(stream)

    def _collect_output(self) -> None:
        if self._h2._data_to_send:
            self._enqueue(self._h2.data_to_send())

    def _enqueue(self, data: bytes) -> None:
        if self._tls is not None:
            self._tls.send(data)
            data = self._tls.take()
        self._outbox += data

    def _write(self) -> None:
        """Write as much as the kernel accepts."""
        while True:
            self._collect_output()
            if self._tls is not None:
                self._outbox += self._tls.take()
            if not self._outbox:
                self._write_blocked_since = 0
                return
            try:
                count = self._sock.send(self._outbox)
            except (BlockingIOError, InterruptedError):
                self._write_blocked_since = self._write_blocked_since or self._loop.now()
                return
            del self._outbox[:count]
            self._write_blocked_since = 0
            if not self._outbox and self._sendable:
                self._frame_pending()


def valid_headers(headers: Headers, pseudo: frozenset[bytes]) -> bool:
    """Whether a header section is valid by RFC 9113, 8.2.1 and 8.3.

    The next hop could read malformed fields in another way: control characters, upper case, and pseudo-header
    fields that are unknown, repeated or placed after a regular field.
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


class _UnassignedHandler:
    """The handler of a stream until `on_stream` has returned the real one."""

    def headers(self, headers: Headers, ended: bool) -> None: ...
    def data(self, data: bytes) -> None: ...
    def ended(self, trailers: Headers) -> None: ...
    def sent(self, count: int) -> None: ...
    def aborted(self, code: int | None, never_ran: bool, why: str) -> None: ...


_UNASSIGNED = _UnassignedHandler()
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
