"""gRPC instances with scripted faults: a script maps each attempt to the `ScriptedResponse` that it gets.

The scripts draw the responses from a seed, so that a run can be repeated.
"""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from hyperframe.frame import GoAwayFrame

from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import Headers
from pulleyroute.net.http2 import Code, Http2Connection, Limits, Stream, StreamHandler
from pulleyroute.net.loop import READABLE, Coroutine, Loop, Wait

RESPONSE_HEADERS: Headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]


@dataclass(slots=True, frozen=True)
class ScriptedResponse:
    """How an instance responds to one attempt.

    `ending` is one of "status" (trailers), "only" (trailers-only), "nack", "reset", "refuse", "goaway", "cut"
    (connection closed) and "silent" (no ending at all). `messages` messages are sent before it. `code` is the
    gRPC status, or the HTTP/2 error code of a reset. `delay` is in microseconds.
    """

    ending: str
    code: int = 0
    messages: int = 0
    delay: int = 0
    early: bool = False  # respond without waiting for the end of the request
    pushback: bytes = b""

    @property
    def never_ran(self) -> bool:
        """Whether the ending proves to the dispatcher that the attempt did not run."""
        return self.ending in ("nack", "refuse", "goaway")


@dataclass(slots=True)
class ReceivedAttempt:
    """One attempt as the instance observed it. Times are in microseconds of the loop's clock."""

    request: str
    instance: str
    response: ScriptedResponse
    at: int
    previous_attempts: int  # as the dispatcher states in `grpc-previous-rpc-attempts`
    timeout: int  # from `grpc-timeout`, in microseconds
    body: bytes = b""
    request_complete: bool = False  # the end of the request has arrived
    ending_sent: bool = False  # the scripted ending has been sent
    abort_code: int | None = None  # HTTP/2 code of the dispatcher's reset; -1 if the connection was lost
    dropped: bool = False  # not processed, as its stream id is above the last one of a GOAWAY

    @property
    def never_ran(self) -> bool:
        """Whether the frames sent prove to the dispatcher that the attempt did not run."""
        return self.dropped or (self.response.never_ran and self.ending_sent)


@dataclass(slots=True)
class FaultyInstance:
    """A gRPC server on the loop that responds to each attempt as `script` decides.

    `script` gets the request's id and the number of previous attempts.
    """

    loop: Loop
    name: str
    script: Callable[[str, int], ScriptedResponse]
    received: list[ReceivedAttempt] = field(default_factory=list)
    connections: set[Http2Connection] = field(default_factory=set)
    up: bool = False
    address: tuple[str, int] = ("127.0.0.1", 0)
    _listener: socket.socket | None = None
    _buffers: BufferPool = field(default_factory=BufferPool)

    def start(self) -> None:
        """Start listening; after a crash, at the same address as before."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(128)
        listener.setblocking(False)
        self.address = listener.getsockname()
        self._listener, self.up = listener, True
        self.loop.spawn(self._accept_connections(listener), f"instance {self.name}")

    def crash(self) -> None:
        """Simulate the death of the process: close every connection and refuse new ones."""
        self.up = False
        if self._listener is not None:
            self.loop.forget(self._listener.fileno())
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.close("crash")

    def _accept_connections(self, listener: socket.socket) -> Coroutine[None]:
        while self._listener is listener:
            yield Wait(listener.fileno(), READABLE)
            while self._listener is listener:
                try:
                    sock = listener.accept()[0]
                except OSError:
                    break
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection = Http2Connection(
                    self.loop,
                    self._buffers,
                    sock,
                    True,
                    Limits(streams=10_000, idle=0),
                    None,
                    self._on_stream_opened,
                    lambda which, why: self.connections.discard(which),
                )
                self.connections.add(connection)
                connection.start()

    def _on_stream_opened(self, stream: Stream, headers: Headers, ended: bool) -> StreamHandler:
        values = {bytes(name): bytes(value) for name, value in headers}
        request = values.get(b"x-id", b"").decode()
        previous_attempts = int(values.get(b"grpc-previous-rpc-attempts", b"0"))
        timeout = values.get(b"grpc-timeout", b"0u")
        scale = {b"u": 1, b"m": 1000, b"S": 10**6, b"M": 60 * 10**6, b"H": 3600 * 10**6}
        attempt = ReceivedAttempt(
            request,
            self.name,
            self.script(request, previous_attempts),
            self.loop.now(),
            previous_attempts,
            int(timeout[:-1]) * scale[timeout[-1:]],
        )
        self.received.append(attempt)
        return _ScriptedAttempt(self, stream, attempt, ended)


class _ScriptedAttempt:
    """Handles one stream and sends its scripted response."""

    def __init__(
        self, instance: FaultyInstance, stream: Stream, attempt: ReceivedAttempt, ended: bool
    ) -> None:
        self._instance, self._stream, self._attempt = instance, stream, attempt
        self._scheduled = False
        if ended:
            self.ended([])
        elif attempt.response.early or attempt.response.never_ran:
            self._schedule()

    def headers(self, headers: Headers, ended: bool) -> None: ...

    def data(self, data: bytes) -> None:
        self._attempt.body += data
        self._stream.consumed(len(data))

    def ended(self, trailers: Headers) -> None:
        self._attempt.request_complete = True
        self._schedule()

    def sent(self, count: int) -> None: ...

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        if not self._attempt.ending_sent:
            self._attempt.abort_code = -1 if code is None else code

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._instance.loop.call_at(
                self._instance.loop.now() + self._attempt.response.delay, self._send_messages
            )

    def _send_messages(self) -> None:
        response, stream = self._attempt.response, self._stream
        if self._attempt.abort_code is not None or not stream.open:
            return
        if response.messages:
            stream.send_headers(RESPONSE_HEADERS)
            for i in range(response.messages):
                stream.write(b"\0\0\0\0\1%c" % (i % 256))
            # The delay of 1 ms lets the messages arrive before the fault that follows them.
            self._instance.loop.call_at(self._instance.loop.now() + 1000, self._send_ending)
        else:
            self._send_ending()

    def _send_ending(self) -> None:
        response, stream = self._attempt.response, self._stream
        if self._attempt.abort_code is not None or not stream.open or response.ending == "silent":
            return
        self._attempt.ending_sent = True
        status = [(b"grpc-status", b"%d" % response.code), (b"x-box", self._instance.name.encode())]
        if response.pushback:
            status.append((b"grpc-retry-pushback-ms", response.pushback))
        if response.ending == "status":
            if not response.messages:
                stream.send_headers(RESPONSE_HEADERS)
            stream.finish(status)
        elif response.ending == "only":
            stream.send_headers([*RESPONSE_HEADERS, *status], end=True)
        elif response.ending == "nack":
            stream.send_headers(
                [*RESPONSE_HEADERS, (b"grpc-status", b"14"), (b"x-turned-away", b"1")], end=True
            )
        elif response.ending == "reset":
            stream.reset(Code(response.code))
        elif response.ending == "refuse":
            stream.reset(Code.REFUSED_STREAM)
        elif response.ending == "goaway":
            self._send_goaway()
        else:
            stream.connection.close("cut")

    def _send_goaway(self) -> None:
        """Send GOAWAY, which drops this stream and all later ones; earlier streams go on."""
        connection, last = self._stream.connection, max(0, self._stream.id - 2)
        for attempt, stream in [
            (each._attempt, each._stream) for each in _scripted_attempts(connection) if each._stream.id > last
        ]:
            attempt.ending_sent = attempt.dropped = True
            connection.abandon(stream)
        with contextlib.suppress(OSError):
            connection.inject(GoAwayFrame(0, last_stream_id=last, error_code=0).serialize())


def _scripted_attempts(connection: Http2Connection) -> list[_ScriptedAttempt]:
    return [stream.handler for stream in connection.streams if isinstance(stream.handler, _ScriptedAttempt)]


def draw_response(rng: random.Random) -> ScriptedResponse:
    """Draw a response: 70 % succeed at once, the others cover every kind of fault."""
    share = rng.random()
    delay = int(rng.expovariate(1 / 20_000))
    if share < 0.70:
        return ScriptedResponse("status", 0, rng.randrange(1, 6), delay, rng.random() < 0.1)
    if share < 0.76:
        return ScriptedResponse("only", rng.randrange(1, 17), 0, delay)
    if share < 0.82:
        return ScriptedResponse("status", rng.randrange(0, 17), rng.randrange(0, 4), delay)
    if share < 0.84:
        return ScriptedResponse("nack", delay=delay)
    if share < 0.88:
        return ScriptedResponse("reset", rng.choice((0, 1, 2, 5, 8, 11, 12, 13)), rng.randrange(0, 3), delay)
    if share < 0.90:
        return ScriptedResponse("refuse", delay=delay)
    if share < 0.915:
        return ScriptedResponse("goaway", delay=delay)
    if share < 0.925:
        return ScriptedResponse("cut", 0, rng.randrange(0, 3), delay)
    if share < 0.95:
        return ScriptedResponse("silent", 0, rng.randrange(0, 3), delay)
    if share < 0.98:
        return ScriptedResponse(
            "only", 14, 0, delay, pushback=rng.choice((b"0", b"50", b"400", b"-1", b"junk", b"99999999"))
        )
    return ScriptedResponse("status", 0, 2, rng.randrange(500_000, 3_000_000))
