"""HTTP/1.1 on a non-blocking socket: h11 parses and frames, coroutines wait. Both sides, with limits."""

from __future__ import annotations

import contextlib
import os
import re
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import h11

from pulleyroute.net.buffers import BufferPool, Ledger
from pulleyroute.net.loop import READABLE, WRITABLE, Coroutine, Loop, Wait, Woken

HEAD_LIMIT_BYTES = 16 * 1024
BODY_LIMIT_BYTES = 64 * 1024
LINGER = 1_000_000  # how long a connection that ends on an error is read empty
LINGER_BYTES = 4 * BODY_LIMIT_BYTES

# The header lines that say where a request's body ends.
_FRAMING = re.compile(rb"^(?:content-length|transfer-encoding)[ \t]*:([^\r\n]*)", re.I | re.M)
_FOLDED = re.compile(rb"\n[ \t]")
_HEAD_END = re.compile(rb"\n\r?\n")

Headers = list[tuple[bytes, bytes]]


class ConnectionFailed(Exception):
    """The connection ended or broke."""


class ConnectionLimitReached(Exception):
    """There is no descriptor for another connection; nothing was sent."""


class DeadlineExceeded(Exception):
    """The time for it is over."""


class Malformed(Exception):
    """What the peer sent is not as it should be; `status` is what a server answers."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A whole request or answer; header names are in lower case."""

    headers: Headers
    body: bytes
    method: bytes = b""
    target: bytes = b""
    status: int = 0

    def single_header(self, name: bytes) -> bytes | None:
        """The value of a header that may come once at most."""
        values = [value for key, value in self.headers if key == name]
        if len(values) > 1:
            raise Malformed(400, f"more than one {name.decode()} header")
        return values[0] if values else None


class Stream:
    """One connection, in either role. Owns its socket and its parser."""

    def __init__(
        self, loop: Loop, pool: BufferPool, sock: socket.socket, server: bool, ledger: Ledger | None = None
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._sock = sock
        self._h11 = h11.Connection(
            h11.SERVER if server else h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )
        self.closed = False
        self.fresh = True  # not a byte of the next message has come
        self.skipped = False  # bytes have been dropped: where the next message begins is not known
        self._head_only = False  # the request was HEAD: its answer has no body
        self._ledger = ledger
        self._claimed = 0  # bytes read here that count in the ledger
        self._raw = b""  # what the head of the next request was read from

    def fileno(self) -> int:
        return self._sock.fileno()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._claim(-self._claimed)
            self._loop.forget(self._sock.fileno())
            self._sock.close()

    def read_available(self) -> int | None:
        """Read what is there: the count of bytes, 0 at the end, None if nothing is there yet."""
        with self._pool.borrow() as buffer:
            count = self._receive(buffer)
            if count is None:
                return None
            if count:
                self.fresh = False
                self._claim(count)
            try:
                self._h11.receive_data(bytes(memoryview(buffer)[:count]))
            except RuntimeError:  # the end was read twice
                raise ConnectionFailed("read after the end") from None
            return count

    def discard_available(self) -> int | None:
        """Read and drop what has arrived; the result is that of `read_available`.

        The position of the next message is lost: the connection can carry no further one.
        """
        self.skipped = True
        with self._pool.borrow() as buffer:
            return self._receive(buffer)

    def _receive(self, buffer: bytearray) -> int | None:
        try:
            return self._sock.recv_into(buffer)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as exc:
            raise ConnectionFailed(str(exc)) from None

    def _claim(self, count: int) -> None:
        self._claimed += count
        if self._ledger is not None:
            self._ledger.held += count

    def unread(self) -> bool:
        """Whether something has come, or the end, that nobody has read yet."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def gone(self) -> bool:
        """Whether the peer has ended or broken the connection, also where bytes before that are unread."""
        poll = select.poll()
        poll.register(self._sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def farewell(self, data: bytes) -> None:
        """Send a last word, as far as it goes without waiting."""
        with contextlib.suppress(OSError):
            self._sock.send(data)

    def trailing(self) -> int:
        """How many bytes have come that no message has claimed yet."""
        return len(self._h11.trailing_data[0])

    def reusable(self) -> bool:
        """Whether a kept connection is still there, silent and between messages."""
        if self.closed or self._h11.states != {h11.CLIENT: h11.IDLE, h11.SERVER: h11.IDLE}:
            return False
        return not self.unread()  # neither its end nor bytes that nobody asked for

    def send(self, data: bytes, until: int | None) -> Coroutine[None]:
        """Hand every byte to the kernel; when this returns, the last byte is written."""
        rest = memoryview(data)
        while True:
            try:
                rest = rest[self._sock.send(rest) :]
            except (BlockingIOError, InterruptedError):
                pass
            except OSError as exc:
                raise ConnectionFailed(str(exc)) from None
            if not rest:
                return
            if (yield Wait(self.fileno(), WRITABLE, until)) is Woken.LATE:
                raise DeadlineExceeded

    def frame(self, head: h11.Request | h11.Response, body: bytes) -> bytes:
        """The bytes of a whole message."""
        parts = [self._h11.send(head)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def event(self, until: int | None) -> Coroutine[Any]:
        """The parser's next event."""
        while True:
            if self._h11.our_role is h11.SERVER and self._h11.their_state is h11.IDLE:
                self._raw = self._h11.trailing_data[0]
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise Malformed(exc.error_status_hint, str(exc)) from None
            if event is not h11.NEED_DATA:
                return event
            if self._ledger is not None and self._ledger.full:
                raise Malformed(503, "no memory for more")  # guards the process: over its limit it is killed
            if self._h11.they_are_waiting_for_100_continue:
                head = self._h11.send(h11.InformationalResponse(status_code=100, headers=[]))
                yield from self.send(head or b"", until)
            if self.read_available() is None and (yield Wait(self.fileno(), READABLE, until)) is Woken.LATE:
                raise DeadlineExceeded

    def body(self, until: int | None, limit: int = BODY_LIMIT_BYTES) -> Coroutine[bytes]:
        """The rest of a message whose head has come."""
        parts: list[bytes] = []
        size = 0
        while True:
            event = yield from self.event(until)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limit:
                    raise Malformed(413, "the body is too large")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise ConnectionFailed("the message was cut off")

    # The server's side

    def request(self, until: int | None, limit: int = BODY_LIMIT_BYTES) -> Coroutine[Message | None]:
        """The next request; None if the client ended the connection between requests."""
        event = yield from self.event(until)
        if not isinstance(event, h11.Request):
            return None
        head = _HEAD_END.split(self._raw, 1)[0]
        self._raw = b""
        ends = _FRAMING.findall(head)
        if len(ends) > 1 or any(b"," in end for end in ends) or _FOLDED.search(head):
            # Guards against a request hidden in another's body: the parser lets chunks win over a length,
            # makes one of equal lengths and unfolds lines, but the sender may mean another end of the body.
            raise Malformed(400, "the end of the body is named twice, or a line is folded")
        self._head_only = event.method == b"HEAD"
        message = Message(list(event.headers), b"", event.method, event.target)
        size = len(event.target) + sum(len(name) + len(value) + 4 for name, value in event.headers)
        if (
            size > HEAD_LIMIT_BYTES
        ):  # the parser limits only what is incomplete: how it is cut must not matter
            raise Malformed(431, "the head is too large")
        length = message.single_header(b"content-length")
        if length is not None and (len(length) > 9 or int(length) > limit):
            raise Malformed(413, "the body is too large")
        message.body = yield from self.body(until, limit)
        return message

    def pending(self) -> dict[str, Any]:
        """Of a connection whose request waits for its answer, what another process needs to give it."""
        # The parser knows whether the request was the connection's last: it must close then.
        last = self._h11.their_state is h11.MUST_CLOSE
        return {"last": last, "rest": self._h11.trailing_data[0].decode("latin-1")}

    def resume(self, values: dict[str, Any], held: int) -> None:
        """Stand where `pending` was told: a request, with `held` bytes of body, waits for its answer."""
        head = b"POST / HTTP/1.1\r\nHost: -\r\n%sContent-Length: 0\r\n\r\n" % (
            b"Connection: close\r\n" if values["last"] else b""
        )
        self._h11.receive_data(head + values["rest"].encode("latin-1"))
        while not isinstance(self._h11.next_event(), h11.EndOfMessage):
            pass
        self.fresh = False
        self._claim(held + self.trailing())

    def answer(
        self, status: int, body: bytes, headers: Headers, close: bool, until: int | None
    ) -> Coroutine[bool]:
        """Send a whole answer; whether the connection can carry another request."""
        if status != 204:
            headers = [(b"Content-Length", b"%d" % len(body)), *headers]
        if close:
            headers = [*headers, (b"Connection", b"close")]
        head = h11.Response(status_code=status, headers=headers, reason=HTTPStatus(status).phrase.encode())
        yield from self.send(self.frame(head, b"" if self._head_only else body), until)
        if self._h11.our_state is h11.MUST_CLOSE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self.fresh = not self.trailing()
        self._claim(self.trailing() - self._claimed)
        return True

    def linger(self) -> Coroutine[None]:
        """Say that nothing more comes and read what the peer still sends.

        Guards the last answer: closing a socket with unread bytes resets it, and the answer may be lost.
        """
        until = self._loop.now() + LINGER
        seen = 0
        try:
            self._sock.shutdown(socket.SHUT_WR)
            while seen < LINGER_BYTES:
                count = self.discard_available()
                if count == 0:
                    return
                seen += count or 0
                if count is None and (yield Wait(self.fileno(), READABLE, until)) is Woken.LATE:
                    return
        except (ConnectionFailed, OSError):
            return

    # The client's side

    def response_head(self, until: int | None) -> Coroutine[Message]:
        """The head of the answer to what was sent."""
        while True:
            event = yield from self.event(until)
            if isinstance(event, h11.Response):
                return Message(list(event.headers), b"", status=event.status_code)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionFailed("the connection ended before the answer")

    def response(
        self,
        until: int | None,
        limit: int = BODY_LIMIT_BYTES,
        begun: Callable[[int], None] = lambda status: None,
    ) -> Coroutine[Message]:
        """The whole answer; then the connection is ready for another request, or `reusable` says no.

        `begun` hears its status as soon as its head has come.
        """
        message = yield from self.response_head(until)
        begun(message.status)
        message.body = yield from self.body(until, limit)
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        return message


def dial(loop: Loop, address: tuple[str, int], until: int) -> Coroutine[socket.socket]:
    """Return a connected socket without Nagle's delay.

    Raises ConnectionLimitReached, ConnectionFailed, or DeadlineExceeded once `until` has passed.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    except OSError as exc:
        # Guards against blaming a peer for what is this process's own want: it has run out of descriptors.
        raise ConnectionLimitReached(str(exc)) from None
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            sock.connect(address)
        except BlockingIOError:
            while True:
                if (yield Wait(sock.fileno(), WRITABLE, until)) is Woken.LATE:
                    raise DeadlineExceeded from None
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    raise ConnectionFailed(os.strerror(error)) from None
                try:
                    sock.getpeername()
                    break
                except OSError:
                    continue  # woken too early: a descriptor's number may have a past within one turn
    except BaseException as exc:
        loop.forget(sock.fileno())
        sock.close()
        if isinstance(exc, OSError):
            raise ConnectionFailed(str(exc)) from None
        raise
    return sock


def connect(loop: Loop, pool: BufferPool, address: tuple[str, int], until: int) -> Coroutine[Stream]:
    """A new connection as a client; raises as `dial` does."""
    return Stream(loop, pool, (yield from dial(loop, address, until)), server=False)


def parse_address(text: str) -> tuple[str, int]:
    """`HOST:PORT` with a numeric host."""
    host, colon, port = text.rpartition(":")
    try:
        socket.inet_aton(host)
        number = int(port)
    except (OSError, ValueError):
        raise ValueError(f"{text!r} is not HOST:PORT") from None
    if not colon or not host or not 0 < number < 65536:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, number
