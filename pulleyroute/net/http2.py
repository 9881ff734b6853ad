"""HTTP/2 on a non-blocking socket: h2 frames and keeps the states, one coroutine a connection reads and
writes.

Both roles. A stream's owner hears of it through `Owner`; bytes of DATA that an owner was given count against
the stream's window until `Stream.consumed`, so whoever reads slowly holds back the sender. The connection's
own window is given back at once: one stalled stream must not stall the others. So a connection holds at most
its streams' windows.
"""

from __future__ import annotations

import contextlib
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
from hyperframe.frame import (
    DataFrame,
    Frame,
    GoAwayFrame,
    PingFrame,
    PriorityFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)

from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.floods import Floods
from pulleyroute.net.http import Broken, Headers
from pulleyroute.net.loop import READABLE, WRITABLE, Coroutine, Loop, Task, Wait, Woken
from pulleyroute.net.tls import Tls

Code = h2.errors.ErrorCodes

CONNECTION_WINDOW = 2**30  # given back at once, so its size bounds nothing
WINDOW_BACK = 1 / 2  # of a stream's window, consumed, before it is told
READS_A_TURN = 4
OUTBOX_DATA = 64 * 1024  # with more waiting for the kernel no more DATA is framed
OUTBOX_FULL = 256 * 1024  # and with this much nothing more is read: the peer asks and does not listen
LAST_ID = 2**31 - 1
HANDSHAKE_TIME = 5_000_000
STUCK_TIME = 10_000_000  # a peer that takes nothing for so long is gone
STEP = 500_000  # between the two GOAWAYs of a drain
SMALL = 16  # bytes of DATA

_KINDS: dict[type[Frame], str] = {
    RstStreamFrame: "reset", PingFrame: "ping", SettingsFrame: "settings", PriorityFrame: "priority",
    WindowUpdateFrame: "window",
}


@dataclass(slots=True, frozen=True)
class Limits:
    """What one connection may take; sizes in bytes, times in microseconds."""

    streams: int = 1000  # at once, opened by the peer
    window: int = 65_535  # of a stream: DATA that waits for its owner
    header_bytes: int = 16 * 1024
    idle: int = 300_000_000  # without a stream, then a connection ends; 0 for never
    ping_after: int = 20_000_000  # of silence while streams are open, by the client's role; 0 for never
    ping_patience: int = 10_000_000


class Owner(Protocol):
    """Who a stream belongs to. `broke` is the last word on it; none comes after both sides ended well."""

    def headers(self, headers: Headers, ended: bool) -> None: ...
    def data(self, data: bytes) -> None: ...
    def ended(self, trailers: Headers) -> None: ...
    def sent(self, count: int) -> None: ...
    def broke(self, code: int | None, never_ran: bool, why: str) -> None: ...


class GracefulConnection(h2.connection.H2Connection):
    """h2's connection, with three of its habits changed."""

    def __init__(self, config: h2.config.H2Configuration, seen: Callable[[Frame], None]) -> None:
        super().__init__(config=config)
        self._seen = seen

    def _receive_frame(self, frame: Frame) -> list[h2.events.Event]:
        self._seen(frame)  # guards against floods of frames that make no event
        return super()._receive_frame(frame)

    def receive_data(self, data: bytes) -> list[h2.events.Event]:  # type: ignore[override]
        events = super().receive_data(data)
        rest = self.incoming_buffer._data
        if len(rest) >= 9 and int.from_bytes(rest[:3], "big") > self.max_inbound_frame_size:
            # Guards the memory: h2 looks at a frame's length only once all of it, up to 16 MiB, has come.
            self._terminate_connection(Code.FRAME_SIZE_ERROR)
            raise h2.exceptions.FrameTooLargeError("a frame is longer than was allowed")
        return events

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

    __slots__ = ("_credit", "_fin", "_pending", "_size", "_trailers", "connection", "ended_here",
                 "ended_there",
                 "id", "owner")

    def __init__(self, connection: Http2, number: int, owner: Owner) -> None:
        self.connection = connection
        self.id = number
        self.owner = owner
        self._pending: deque[bytes] = deque()
        self._size = 0
        self._fin = False
        self._trailers: Headers | None = None
        self._credit = 0  # consumed and not yet told
        self.ended_here = False
        self.ended_there = False

    @property
    def open(self) -> bool:
        return self.connection.has(self)

    def send_headers(self, headers: Headers, end: bool = False) -> None:
        self.connection.head(self, headers, end)

    def write(self, data: bytes) -> None:
        """Send when the windows allow; `Owner.sent` tells how much has gone."""
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
        if self._credit >= self.connection.limits.window * WINDOW_BACK and not self.ended_there:
            self.connection.give_back(self, self._credit)
            self._credit = 0

    def reset(self, code: Code = Code.CANCEL) -> None:
        self._pending.clear()
        self._size = 0
        self.connection.reset(self, code)

    def cut(self) -> None:
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
    def waiting(self) -> int:
        """Bytes not yet sent."""
        return self._size

    @property
    def closing(self) -> tuple[bool, Headers | None]:
        return self._fin and not self.ended_here, self._trailers


Opened = Callable[[Stream, Headers, bool], Owner]


class Http2:
    """One connection, in either role. Owns its socket, its TLS, its h2 state and its streams."""

    def __init__(self, loop: Loop, pool: BufferPool, sock: socket.socket, server: bool, limits: Limits,
                 tls: Tls | None = None, opened: Opened | None = None,
                 gone: Callable[[Http2, str], None] | None = None) -> None:
        self._loop, self._pool, self._sock, self._tls = loop, pool, sock, tls
        self.limits = limits
        self._server = server
        self._opened = opened
        self._gone = gone
        self._floods = Floods()
        self._h2 = GracefulConnection(h2.config.H2Configuration(
            client_side=not server, header_encoding=None, validate_outbound_headers=False,
            normalize_outbound_headers=False), self._seen)
        self._h2.local_settings = h2.settings.Settings(client=not server, initial_values={
            h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: limits.streams,
            h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: limits.window,
            h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: limits.header_bytes,
            h2.settings.SettingCodes.ENABLE_PUSH: 0,
            h2.settings.SettingCodes.ENABLE_CONNECT_PROTOCOL: 0,
        })
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
        self.served = 0  # streams so far
        self.task: Task | None = None

    # Streams

    def __len__(self) -> int:
        return len(self._streams)

    @property
    def streams(self) -> list[Stream]:
        return list(self._streams.values())

    def forget(self, stream: Stream) -> None:
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
    def room(self) -> bool:
        """Whether another stream may be opened from here."""
        return (not self.closed and not self.draining and not self._ending
                and len(self._streams) < self._h2.remote_settings.max_concurrent_streams)

    def request(self, headers: Headers, owner: Owner, end: bool = False) -> Stream:
        """Open a stream; raises Broken if the connection has no room for one."""
        if not self.room:
            raise Broken("no room for a stream")
        try:
            stream = Stream(self, self._h2.get_next_available_stream_id(), owner)
            self._h2.send_headers(stream.id, headers, end)
        except h2.exceptions.H2Error as exc:
            raise Broken(str(exc)) from None
        self._streams[stream.id] = stream
        self.served += 1
        stream.ended_here = end
        self._stir()
        return stream

    def head(self, stream: Stream, headers: Headers, end: bool) -> None:
        if not self.has(stream):
            return
        with contextlib.suppress(h2.exceptions.H2Error):
            self._h2.send_headers(stream.id, headers, end)
        if end:
            stream.ended_here = True
            self._settle(stream)
        self._stir()

    def stir(self, stream: Stream) -> None:
        self._stirred[stream] = None
        self._stir()

    def _stir(self) -> None:
        if not self._inside and self.task is not None:
            self.task.nudge()

    def give_back(self, stream: Stream, count: int) -> None:
        if self.has(stream):
            with contextlib.suppress(h2.exceptions.H2Error, ValueError):
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
        self._streams.pop(stream.id, None)
        self._stirred.pop(stream, None)
        self._starved.pop(stream, None)
        if not self._streams:
            self._idle_since = self._loop.now()

    def _settle(self, stream: Stream) -> None:
        if stream.ended_here and stream.ended_there:
            self._drop(stream)
        elif stream.ended_here and self._server:
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
        self._loop.forget(self._sock.fileno())
        self._sock.close()
        for stream in streams:
            stream.owner.broke(None, False, why)
        if self._gone is not None:
            self._gone(self, why)
        if self.task is not None and not self._inside:
            self.task.cancel()

    # The coroutine

    def start(self) -> None:
        self.task = Task(self._loop, self._running(), "http2 connection")
        self.task.start()

    def _running(self) -> Coroutine[None]:
        why = "closed"
        try:
            if self._tls is not None and not self._server:
                self._tls.start()
            self._h2.initiate_connection()
            self._h2.increment_flow_control_window(CONNECTION_WINDOW)
            while True:
                self._inside = True
                self._read()
                self._pump()
                self._write()
                self._inside = False
                now = self._loop.now()
                if self.closed:
                    return
                if not self.ready and now - self._began >= HANDSHAKE_TIME:
                    raise Broken("no settings in time")
                if self._outbox and self._stuck_since and now - self._stuck_since >= STUCK_TIME:
                    raise Broken("the peer takes nothing")
                if not self._streams and not self._outbox and (self._ending or (
                        self.draining and self._last < LAST_ID)):
                    return
                if not self._streams and self.limits.idle and now - self._idle_since > self.limits.idle:
                    self.close("idle")
                    return
                self._ask(now)
                mask = READABLE if len(self._outbox) < OUTBOX_FULL else 0
                if self._outbox:
                    mask |= WRITABLE
                yield Wait(self._sock.fileno(), mask, self._until(now))
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

    def _until(self, now: int) -> int | None:
        """When to look again though nothing came."""
        if not self.ready:
            return self._began + HANDSHAKE_TIME
        if self._outbox:
            return (self._stuck_since or now) + STUCK_TIME
        if not self._streams:
            return self._idle_since + self.limits.idle + 1000 if self.limits.idle else None
        if not self._server and self.limits.ping_after:
            if self._pinged:
                return self._pinged + self.limits.ping_patience + 1000
            return max(now, self._heard + self.limits.ping_after) + 1000
        return None

    def _ask(self, now: int) -> None:
        """Guards streams against a machine that vanished: TCP does not notice, a PING without answer does."""
        if self._server or not self.limits.ping_after or not self._streams:
            self._pinged = 0
        elif self._pinged and now - self._pinged > self.limits.ping_patience:
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

    def _seen(self, frame: Frame) -> None:
        kind = _KINDS.get(type(frame))
        if kind is None and isinstance(frame, DataFrame) and len(frame.data) < SMALL:
            if not frame.data and "END_STREAM" not in frame.flags:
                kind = "empty"
            else:
                kind = "small"
        if kind is not None and "ACK" not in frame.flags and self._server and (
                not self._floods.take(kind, self._loop.now())):
            raise Calm(f"too many frames: {kind}")

    def _take(self, data: bytes) -> None:
        for event in self._h2.receive_data(data):
            handler = _HANDLERS.get(type(event))
            if handler is not None:
                handler(self, event)
            if self.closed:
                return

    def _on_request(self, event: h2.events.RequestReceived) -> None:
        number = event.stream_id
        if number > self._last or self._opened is None:
            # Guards a stream that crossed our GOAWAY: refused, so its sender knows that it never ran.
            with contextlib.suppress(h2.exceptions.H2Error):
                self._h2.reset_stream(number, Code.REFUSED_STREAM)
            return
        self._highest = max(self._highest, number)
        self.served += 1
        stream = Stream(self, number, _NOBODY)
        stream.ended_there = event.stream_ended is not None
        self._streams[number] = stream
        stream.owner = self._opened(stream, event.headers, stream.ended_there)

    def _on_response(self, event: h2.events.ResponseReceived) -> None:
        stream = self._streams.get(event.stream_id)
        if stream is not None:
            stream.owner.headers(event.headers, event.stream_ended is not None)

    def _on_data(self, event: h2.events.DataReceived) -> None:
        length = event.flow_controlled_length or 0
        self._owed += length
        if self._owed > CONNECTION_WINDOW // 1024:
            self._h2.increment_flow_control_window(self._owed)
            self._owed = 0
        stream = self._streams.get(event.stream_id)
        if stream is None:
            return
        data = event.data or b""
        if length > len(data):
            stream.consumed(length - len(data))  # padding
        if data:
            stream.owner.data(data)

    def _on_trailers(self, event: h2.events.TrailersReceived) -> None:
        self._over(event.stream_id, event.headers)

    def _on_ended(self, event: h2.events.StreamEnded) -> None:
        self._over(event.stream_id, [])

    def _over(self, number: int, trailers: Headers) -> None:
        stream = self._streams.get(number)
        if stream is not None and (trailers or not stream.ended_there):
            stream.ended_there = True
            stream.owner.ended(trailers)
            self._settle(stream)

    def _on_reset(self, event: h2.events.StreamReset) -> None:
        stream = self._streams.get(event.stream_id)
        if stream is not None:
            self._drop(stream)
            code = int(event.error_code)
            stream.owner.broke(code, code == Code.REFUSED_STREAM, f"reset with code {code}")

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
            stream.owner.broke(None, True, "above the last stream of a GOAWAY")
        self._ending = True

    # Writing

    def _pump(self) -> None:
        """Frame what the windows and the outbox let go."""
        self._absorb()
        while self._stirred and len(self._outbox) < OUTBOX_DATA and not self.closed:
            stream = next(iter(self._stirred))
            del self._stirred[stream]
            if self._streams.get(stream.id) is not stream or stream.ended_here:
                continue
            try:
                self._advance(stream)
            except h2.exceptions.H2Error:
                self._drop(stream)
                stream.owner.broke(None, False, "the stream was closed")
            self._absorb()

    def _advance(self, stream: Stream) -> None:
        closing, trailers = stream.closing
        if stream.waiting:
            most = min(self._h2.local_flow_control_window(stream.id), self._h2.max_outbound_frame_size)
            if most <= 0:
                self._starved[stream] = None
                return
            data = stream.take(most)
            end = closing and not stream.waiting and trailers is None
            self._h2.send_data(stream.id, data, end)
            if end:
                stream.ended_here = True
            elif stream.waiting or closing:
                self._stirred[stream] = None  # behind the others: none holds the line
            stream.owner.sent(len(data))
        elif closing:
            if trailers is not None:
                self._h2.send_headers(stream.id, trailers, True)
            else:
                self._h2.end_stream(stream.id)
            stream.ended_here = True
        if stream.ended_here:
            self._settle(stream)

    def _absorb(self) -> None:
        data = self._h2.data_to_send()
        if data:
            self._give(data)

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


class _Nobody:
    """Owns a stream until its owner is known."""

    def headers(self, headers: Headers, ended: bool) -> None: ...
    def data(self, data: bytes) -> None: ...
    def ended(self, trailers: Headers) -> None: ...
    def sent(self, count: int) -> None: ...
    def broke(self, code: int | None, never_ran: bool, why: str) -> None: ...


_NOBODY = _Nobody()
_HANDLERS: dict[type, Callable[[Http2, Any], None]] = {
    h2.events.RequestReceived: Http2._on_request,
    h2.events.ResponseReceived: Http2._on_response,
    h2.events.DataReceived: Http2._on_data,
    h2.events.TrailersReceived: Http2._on_trailers,
    h2.events.StreamEnded: Http2._on_ended,
    h2.events.StreamReset: Http2._on_reset,
    h2.events.WindowUpdated: Http2._on_window,
    h2.events.RemoteSettingsChanged: Http2._on_settings,
    h2.events.ConnectionTerminated: Http2._on_goaway,
}


def dial(loop: Loop, address: tuple[str, int], until: int) -> Coroutine[socket.socket]:
    """A connected socket; raises Broken. The wait ends at `until`, in the loop's microseconds."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error = sock.connect_ex(address)
        while error in _PENDING:
            if (yield Wait(sock.fileno(), WRITABLE, until)) is Woken.LATE:
                raise Broken("not up in time")
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error == 0:
                try:
                    sock.getpeername()
                except OSError:
                    error = _PENDING[0]  # woken too early
        if error:
            raise Broken(f"connect: error {error}")
    except BaseException:
        loop.forget(sock.fileno())
        sock.close()
        raise
    loop.forget(sock.fileno())
    return sock


_PENDING = (115, 11)  # EINPROGRESS, EAGAIN
