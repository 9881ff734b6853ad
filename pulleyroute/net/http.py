"""HTTP/1.1 over a non-blocking socket, as server and as client, with limits on sizes and times.

h11 parses and frames the messages; coroutines of the event loop wait for the socket.
"""

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

from pulleyroute.net.arrival_times import ArrivalTimes
from pulleyroute.net.buffers import BufferPool, Ledger
from pulleyroute.net.loop import READABLE, WRITABLE, Coroutine, Loop, Wait, WaitResult

HEAD_LIMIT_BYTES = 16 * 1024
BODY_LIMIT_BYTES = 64 * 1024
LINGER_TIMEOUT_US = 1_000_000  # for reading what the peer still sends after the last response
LINGER_LIMIT_BYTES = 4 * BODY_LIMIT_BYTES

# The header lines that determine where the body of a message ends.
_BODY_LENGTH_HEADER = re.compile(rb"^(?:content-length|transfer-encoding)[ \t]*:([^\r\n]*)", re.I | re.M)
_FOLDED_LINE = re.compile(rb"\n[ \t]")
_HEAD_END = re.compile(rb"\n\r?\n")

STATUSES_WITHOUT_BODY = (204, 304)

Headers = list[tuple[bytes, bytes]]


class ConnectionFailed(Exception):
    """The connection could not be opened, was closed by the peer, or failed."""


class ConnectionLimitReached(Exception):
    """The limit of connections or of file descriptors is reached; nothing was sent."""


class DeadlineExceeded(Exception):
    """The operation did not complete before its deadline."""


class Malformed(Exception):
    """The peer sent an invalid message; `status` is the HTTP status with which a server answers it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A complete request or response; header names are in lower case."""

    headers: Headers
    body: bytes
    method: bytes = b""
    target: bytes = b""
    status: int = 0

    def single_header(self, name: bytes) -> bytes | None:
        """Return the value of a header, None if it is absent; raises Malformed if it is repeated."""
        values = [value for key, value in self.headers if key == name]
        if len(values) > 1:
            raise Malformed(400, f"more than one {name.decode()} header")
        return values[0] if values else None


class Stream:
    """One HTTP/1.1 connection in the role of server or client. Owns its socket and its parser."""

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
        self.at_message_start = True  # no byte of the next message has been read
        self.bytes_discarded = False  # if so, the start of the next message is unknown
        # As a client: bytes were there as soon as the request was written, so they may not answer it.
        self.answer_in_doubt = False
        self._end_in_doubt = False  # as a client: the response does not say clearly where it ends
        self._answers_head_request = False  # the response has no body
        self._arrivals = ArrivalTimes()
        self._ledger = ledger
        self._accounted_bytes = 0  # bytes of this connection that are counted in the ledger
        self._raw_head = b""  # the bytes that the head of the next message was parsed from

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self._sock.fileno()

    def close(self) -> None:
        """Close the socket and release the bytes counted for it; does nothing when already closed."""
        if not self.closed:
            self.closed = True
            self._account(-self._accounted_bytes)
            self._loop.forget(self._sock.fileno())
            self._sock.close()

    def read_available(self) -> int | None:
        """Read the bytes that have arrived into the parser.

        Returns their count, 0 at the end of the stream, None if none have arrived yet.
        """
        with self._pool.borrow() as buffer:
            count = self._receive(buffer)
            if count is None:
                return None
            if count:
                self.at_message_start = False
                self._account(count)
                self._arrivals.received(count, self._loop.now())
            try:
                self._h11.receive_data(bytes(memoryview(buffer)[:count]))
            except RuntimeError:  # the end of the stream was read twice
                raise ConnectionFailed("read after the end of the stream") from None
            return count

    def discard_available(self) -> int | None:
        """Read the bytes that have arrived and drop them; returns the same as `read_available`.

        The start of the next message is unknown afterwards, so the connection can carry no further one.
        """
        self.bytes_discarded = True
        with self._pool.borrow() as buffer:
            return self._receive(buffer)

    def _receive(self, buffer: bytearray) -> int | None:
        try:
            return self._sock.recv_into(buffer)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as exc:
            raise ConnectionFailed(str(exc)) from None

    def _account(self, count: int) -> None:
        self._accounted_bytes += count
        if self._ledger is not None:
            self._ledger.held += count

    def has_unread_data(self) -> bool:
        """Whether bytes, the end of the stream or an error wait to be read from the socket."""
        return self._peek() is not None

    def _peek(self) -> bytes | None:
        """Return the next unread byte, b"" at the end of the stream or after an error, None for none yet."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return b""

    def peer_closed(self) -> bool:
        """Whether the peer has closed or reset the connection, even if earlier bytes are still unread."""
        poll = select.poll()
        poll.register(self._sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def send_best_effort(self, data: bytes) -> None:
        """Send as much of `data` as the socket takes at once; errors are ignored."""
        with contextlib.suppress(OSError):
            self._sock.send(data)

    def unparsed_bytes(self) -> int:
        """Return how many received bytes belong to no parsed message yet."""
        return len(self._h11.trailing_data[0])

    def message_arrived_at(self) -> int:
        """Return when the last byte of the message that was just parsed arrived; now if that is not known."""
        arrived_at = self._arrivals.last_parsed(self.unparsed_bytes())
        return self._loop.now() if arrived_at is None else arrived_at

    def next_message_arrived_at(self) -> int:
        """Return when the first byte of the next message arrived; now if none has."""
        arrived_at = self._arrivals.first_unparsed(self.unparsed_bytes())
        return self._loop.now() if arrived_at is None else arrived_at

    def reusable(self) -> bool:
        """Whether an idle client connection is still open, between messages, and has received nothing.

        What follows a response answers no request: a second response, or what the peer took for a body.
        """
        if self.closed or self._h11.states != {h11.CLIENT: h11.IDLE, h11.SERVER: h11.IDLE}:
            return False
        return not (self._end_in_doubt or self.unparsed_bytes() or self.has_unread_data())

    def send(self, data: bytes, until: int | None) -> Coroutine[None]:
        """Write all of `data` to the socket; returns once the kernel has accepted the last byte."""
        yield from self._send_rest(self._send_part(memoryview(data)), until)

    def _send_part(self, data: memoryview) -> memoryview:
        """Write what the socket takes at once, and return the rest."""
        try:
            return data[self._sock.send(data) :]
        except (BlockingIOError, InterruptedError):
            return data
        except OSError as exc:
            raise ConnectionFailed(str(exc)) from None

    def _send_rest(self, rest: memoryview, until: int | None) -> Coroutine[None]:
        while rest:
            if (yield Wait(self.fileno(), WRITABLE, until)) is WaitResult.TIMED_OUT:
                raise DeadlineExceeded
            rest = self._send_part(rest)

    def frame(self, head: h11.Request | h11.Response, body: bytes) -> bytes:
        """Return the bytes of a complete message."""
        parts = [self._h11.send(head)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def event(self, until: int | None) -> Coroutine[Any]:
        """Return the next event of the parser, reading from the socket as needed."""
        while True:
            if self._h11.their_state in (h11.IDLE, h11.SEND_RESPONSE):
                self._raw_head = self._h11.trailing_data[0]
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise Malformed(exc.error_status_hint, str(exc)) from None
            if event is not h11.NEED_DATA:
                return event
            if self._ledger is not None and self._ledger.full:
                # The process is killed if it exceeds its memory limit.
                raise Malformed(503, "no memory for more")
            if self._h11.they_are_waiting_for_100_continue:
                head = self._h11.send(h11.InformationalResponse(status_code=100, headers=[]))
                yield from self.send(head or b"", until)
            if (
                self.read_available() is None
                and (yield Wait(self.fileno(), READABLE, until)) is WaitResult.TIMED_OUT
            ):
                raise DeadlineExceeded

    def body(self, until: int | None, limit: int = BODY_LIMIT_BYTES) -> Coroutine[bytes]:
        """Return the body of a message whose head has been parsed; raises Malformed beyond `limit` bytes."""
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
                raise ConnectionFailed("the connection was closed in the middle of a message")

    # As a server

    def request(self, until: int | None, limit: int = BODY_LIMIT_BYTES) -> Coroutine[Message | None]:
        """Return the next request; None if the client closed the connection between requests."""
        event = yield from self.event(until)
        if not isinstance(event, h11.Request):
            return None
        if self._length_is_ambiguous():
            # Prevents request smuggling: h11 prefers chunked coding to a Content-Length, merges equal lengths
            # and unfolds lines, while the sender may have meant another end of the body.
            raise Malformed(400, "the end of the body is named twice, or a line is folded")
        self._answers_head_request = event.method == b"HEAD"
        message = Message(list(event.headers), b"", event.method, event.target)
        size = len(event.target) + sum(len(name) + len(value) + 4 for name, value in event.headers)
        # h11 limits only incomplete heads: without this check the limit would depend on the segmentation.
        if size > HEAD_LIMIT_BYTES:
            raise Malformed(431, "the head is too large")
        length = message.single_header(b"content-length")
        if length is not None and (len(length) > 9 or int(length) > limit):
            raise Malformed(413, "the body is too large")
        message.body = yield from self.body(until, limit)
        return message

    def _length_is_ambiguous(self) -> bool:
        """Whether the head that was just parsed names the end of its body twice, or folds a line."""
        head = _HEAD_END.split(self._raw_head, 1)[0]
        self._raw_head = b""
        lengths = _BODY_LENGTH_HEADER.findall(head)
        folded = _FOLDED_LINE.search(head) is not None
        return len(lengths) > 1 or any(b"," in value for value in lengths) or folded

    def transfer_state(self) -> dict[str, Any]:
        """Return what another process needs to answer the pending request of this connection.

        `restore_transfer_state` of that process takes the values.
        """
        # After the last request of a connection h11 requires it to be closed.
        last = self._h11.their_state is h11.MUST_CLOSE
        return {"last": last, "rest": self._h11.trailing_data[0].decode("latin-1")}

    def restore_transfer_state(self, values: dict[str, Any], body_bytes: int) -> None:
        """Continue from `transfer_state`: a request with `body_bytes` of body waits for its answer."""
        head = b"POST / HTTP/1.1\r\nHost: -\r\n%sContent-Length: 0\r\n\r\n" % (
            b"Connection: close\r\n" if values["last"] else b""
        )
        self._h11.receive_data(head + values["rest"].encode("latin-1"))
        while not isinstance(self._h11.next_event(), h11.EndOfMessage):
            pass
        self.at_message_start = False
        self._arrivals.received(self.unparsed_bytes(), self._loop.now())
        self._account(body_bytes + self.unparsed_bytes())

    def answer(
        self, status: int, body: bytes, headers: Headers, close: bool, until: int | None
    ) -> Coroutine[bool]:
        """Send a complete response; returns whether the connection can carry another request."""
        if status != 204:
            headers = [(b"Content-Length", b"%d" % len(body)), *headers]
        if close:
            headers = [*headers, (b"Connection", b"close")]
        head = h11.Response(status_code=status, headers=headers, reason=HTTPStatus(status).phrase.encode())
        yield from self.send(self.frame(head, b"" if self._answers_head_request else body), until)
        if self._h11.our_state is h11.MUST_CLOSE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self.at_message_start = not self.unparsed_bytes()
        self._account(self.unparsed_bytes() - self._accounted_bytes)
        return True

    def linger(self) -> Coroutine[None]:
        """Shut down the sending side, then read and drop what the peer still sends.

        Closing a socket with unread bytes resets the connection, and the peer may lose the last response.
        """
        until = self._loop.now() + LINGER_TIMEOUT_US
        seen = 0
        try:
            self._sock.shutdown(socket.SHUT_WR)
            while seen < LINGER_LIMIT_BYTES:
                count = self.discard_available()
                if count == 0:
                    return
                seen += count or 0
                if count is None and (yield Wait(self.fileno(), READABLE, until)) is WaitResult.TIMED_OUT:
                    return
        except (ConnectionFailed, OSError):
            return

    # As a client

    def send_request(self, head: h11.Request, body: bytes, until: int | None) -> Coroutine[None]:
        """Write a request; returns once the kernel has accepted the last byte.

        Raises ConnectionFailed, with nothing written, if bytes have come before: they can't answer it. Bytes
        that come between that check and the write are noticed by `answer_in_doubt`.
        """
        data = self.frame(head, body)
        if self.unparsed_bytes() or self._peek():
            raise ConnectionFailed("bytes came before the request")
        rest = self._send_part(memoryview(data))
        self.answer_in_doubt = bool(self._peek())
        yield from self._send_rest(rest, until)

    def response_head(self, until: int | None) -> Coroutine[Message]:
        """Return the head of the response to the request that was sent."""
        while True:
            event = yield from self.event(until)
            if isinstance(event, h11.Response):
                message = Message(list(event.headers), b"", status=event.status_code)
                unexpected_body = event.status_code in STATUSES_WITHOUT_BODY and any(
                    name == b"transfer-encoding" or (name == b"content-length" and value != b"0")
                    for name, value in message.headers
                )
                self._end_in_doubt = self._length_is_ambiguous() or unexpected_body
                return message
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionFailed("the connection was closed before the response")

    def response(
        self,
        until: int | None,
        limit: int = BODY_LIMIT_BYTES,
        on_head: Callable[[int], None] = lambda status: None,
    ) -> Coroutine[Message]:
        """Return the complete response; `reusable` tells whether the connection can carry another request.

        `on_head` is called with the status as soon as the head of the response has been read.
        """
        message = yield from self.response_head(until)
        on_head(message.status)
        message.body = yield from self.body(until, limit)
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        return message


def dial(loop: Loop, address: tuple[str, int], until: int) -> Coroutine[socket.socket]:
    """Return a connected socket with Nagle's algorithm disabled.

    Raises ConnectionLimitReached, ConnectionFailed, or DeadlineExceeded once `until` has passed.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    except OSError as exc:
        # This process has run out of descriptors, which must not count as a failure of the peer.
        raise ConnectionLimitReached(str(exc)) from None
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            sock.connect(address)
        except BlockingIOError:
            while True:
                if (yield Wait(sock.fileno(), WRITABLE, until)) is WaitResult.TIMED_OUT:
                    raise DeadlineExceeded from None
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    raise ConnectionFailed(os.strerror(error)) from None
                try:
                    sock.getpeername()
                    break
                except OSError:
                    # A stale event of this turn, for an earlier socket with the same descriptor number.
                    continue
    except BaseException as exc:
        loop.forget(sock.fileno())
        sock.close()
        if isinstance(exc, OSError):
            raise ConnectionFailed(str(exc)) from None
        raise
    return sock


def connect(loop: Loop, pool: BufferPool, address: tuple[str, int], until: int) -> Coroutine[Stream]:
    """Return a new client connection; raises the same errors as `dial`."""
    return Stream(loop, pool, (yield from dial(loop, address, until)), server=False)


def parse_address(text: str) -> tuple[str, int]:
    """Parse `HOST:PORT` with a numeric IPv4 host; raises ValueError for any other text."""
    host, colon, port = text.rpartition(":")
    try:
        socket.inet_aton(host)
        number = int(port)
    except (OSError, ValueError):
        raise ValueError(f"{text!r} is not HOST:PORT") from None
    if not colon or not host or not 0 < number < 65536:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, number
