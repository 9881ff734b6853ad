"""gRPC boxes that misbehave as a script says: one `Act` an attempt, drawn from a seed by whoever runs
them."""

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

HEAD: Headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]


@dataclass(slots=True, frozen=True)
class ScriptedResponse:
    """What a box does with one attempt. `never_ran`: it proves so by how it ends. Times in microseconds.

    `ending`: "status" (trailers), "only" (trailers-only), "nack", "reset", "refuse", "goaway", "cut",
    "silent". `messages` come before it; `code` is the status, or the HTTP/2 code of a reset.
    """

    ending: str
    code: int = 0
    messages: int = 0
    wait: int = 0
    early: bool = False  # without waiting for the request's end
    pushback: bytes = b""

    @property
    def never_ran(self) -> bool:
        return self.ending in ("nack", "refuse", "goaway")


@dataclass(slots=True)
class ReceivedAttempt:
    """One attempt as its box saw it."""

    request: str
    box: str
    act: ScriptedResponse
    at: int
    attempts: int  # tries before, by the dispatcher's word
    timeout: int  # microseconds that it was given
    body: bytes = b""
    whole: bool = False  # the request's end came
    ending_sent: bool = False  # it has ended in the box's own way
    given_up: int | None = None  # the code by which the dispatcher ended it
    dropped: bool = False  # above the last id of a GOAWAY: never looked at

    @property
    def never_ran(self) -> bool:
        """Proved so, by what went over the wire."""
        return self.dropped or (self.act.never_ran and self.ending_sent)


@dataclass(slots=True)
class FaultyInstance:
    """A listener with its connections; `script` says what to do with each attempt."""

    loop: Loop
    name: str
    script: Callable[[str, int], ScriptedResponse]
    taken: list[ReceivedAttempt] = field(default_factory=list)
    connections: set[Http2Connection] = field(default_factory=set)
    up: bool = False
    address: tuple[str, int] = ("127.0.0.1", 0)
    _listener: socket.socket | None = None
    _buffers: BufferPool = field(default_factory=BufferPool)

    def start(self) -> None:
        """Listen; after a crash at the same address."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(128)
        listener.setblocking(False)
        self.address = listener.getsockname()
        self._listener, self.up = listener, True
        self.loop.spawn(self._accepting(listener), f"box {self.name}")

    def crash(self) -> None:
        """The process dies: every connection is reset, new ones are refused."""
        self.up = False
        if self._listener is not None:
            self.loop.forget(self._listener.fileno())
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.close("crash")

    def _accepting(self, listener: socket.socket) -> Coroutine[None]:
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
                    self._opened,
                    lambda which, why: self.connections.discard(which),
                )
                self.connections.add(connection)
                connection.start()

    def _opened(self, stream: Stream, headers: Headers, ended: bool) -> StreamHandler:
        seen = {bytes(name): bytes(value) for name, value in headers}
        request = seen.get(b"x-id", b"").decode()
        attempts = int(seen.get(b"grpc-previous-rpc-attempts", b"0"))
        text = seen.get(b"grpc-timeout", b"0u")
        scale = {b"u": 1, b"m": 1000, b"S": 10**6, b"M": 60 * 10**6, b"H": 3600 * 10**6}
        taken = ReceivedAttempt(
            request,
            self.name,
            self.script(request, attempts),
            self.loop.now(),
            attempts,
            int(text[:-1]) * scale[text[-1:]],
        )
        self.taken.append(taken)
        return _Attempt(self, stream, taken, ended)


class _Attempt:
    """Owns one stream and plays its act."""

    def __init__(self, box: FaultyInstance, stream: Stream, taken: ReceivedAttempt, ended: bool) -> None:
        self._box, self._stream, self._taken = box, stream, taken
        self._begun = False
        if ended:
            self.ended([])
        elif taken.act.early or taken.act.never_ran:
            self._later()

    def headers(self, headers: Headers, ended: bool) -> None: ...

    def data(self, data: bytes) -> None:
        self._taken.body += data
        self._stream.consumed(len(data))

    def ended(self, trailers: Headers) -> None:
        self._taken.whole = True
        self._later()

    def sent(self, count: int) -> None: ...

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        if not self._taken.ending_sent:
            self._taken.given_up = -1 if code is None else code

    def _later(self) -> None:
        if not self._begun:
            self._begun = True
            self._box.loop.call_at(self._box.loop.now() + self._taken.act.wait, self._play)

    def _play(self) -> None:
        act, stream = self._taken.act, self._stream
        if self._taken.given_up is not None or not stream.open:
            return
        if act.messages:
            stream.send_headers(HEAD)
            for i in range(act.messages):
                stream.write(b"\0\0\0\0\1%c" % (i % 256))
            # What goes before the fault is to arrive before it.
            self._box.loop.call_at(self._box.loop.now() + 1000, self._end)
        else:
            self._end()

    def _end(self) -> None:
        act, stream = self._taken.act, self._stream
        if self._taken.given_up is not None or not stream.open or act.ending == "silent":
            return
        self._taken.ending_sent = True
        status = [(b"grpc-status", b"%d" % act.code), (b"x-box", self._box.name.encode())]
        if act.pushback:
            status.append((b"grpc-retry-pushback-ms", act.pushback))
        if act.ending == "status":
            if not act.messages:
                stream.send_headers(HEAD)
            stream.finish(status)
        elif act.ending == "only":
            stream.send_headers([*HEAD, *status], end=True)
        elif act.ending == "nack":
            stream.send_headers([*HEAD, (b"grpc-status", b"14"), (b"x-turned-away", b"1")], end=True)
        elif act.ending == "reset":
            stream.reset(Code(act.code))
        elif act.ending == "refuse":
            stream.reset(Code.REFUSED_STREAM)
        elif act.ending == "goaway":
            self._goaway()
        else:
            stream.connection.close("cut")

    def _goaway(self) -> None:
        """This stream and what came after it were never looked at; what came before goes on."""
        connection, last = self._stream.connection, max(0, self._stream.id - 2)
        for taken, stream in [
            (each._taken, each._stream) for each in _attempts(connection) if each._stream.id > last
        ]:
            taken.ending_sent = taken.dropped = True
            connection.abandon(stream)
        with contextlib.suppress(OSError):
            connection.inject(GoAwayFrame(0, last_stream_id=last, error_code=0).serialize())


def _attempts(connection: Http2Connection) -> list[_Attempt]:
    return [stream.handler for stream in connection.streams if isinstance(stream.handler, _Attempt)]


def draw(rng: random.Random) -> ScriptedResponse:
    """One act at random: seven in ten go well, the others fail in every way that a box can."""
    kind = rng.random()
    wait = int(rng.expovariate(1 / 20_000))
    if kind < 0.70:
        return ScriptedResponse("status", 0, rng.randrange(1, 6), wait, rng.random() < 0.1)
    if kind < 0.76:
        return ScriptedResponse("only", rng.randrange(1, 17), 0, wait)
    if kind < 0.82:
        return ScriptedResponse("status", rng.randrange(0, 17), rng.randrange(0, 4), wait)
    if kind < 0.84:
        return ScriptedResponse("nack", wait=wait)
    if kind < 0.88:
        return ScriptedResponse("reset", rng.choice((0, 1, 2, 5, 8, 11, 12, 13)), rng.randrange(0, 3), wait)
    if kind < 0.90:
        return ScriptedResponse("refuse", wait=wait)
    if kind < 0.915:
        return ScriptedResponse("goaway", wait=wait)
    if kind < 0.925:
        return ScriptedResponse("cut", 0, rng.randrange(0, 3), wait)
    if kind < 0.95:
        return ScriptedResponse("silent", 0, rng.randrange(0, 3), wait)
    if kind < 0.98:
        return ScriptedResponse(
            "only", 14, 0, wait, pushback=rng.choice((b"0", b"50", b"400", b"-1", b"junk", b"99999999"))
        )
    return ScriptedResponse("status", 0, 2, rng.randrange(500_000, 3_000_000))
