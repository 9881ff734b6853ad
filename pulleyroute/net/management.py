"""The admin listener: HTTP/1.1 with one call a connection, on an address and descriptors of its own."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from loguru import logger

from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import Broken, Late, Malformed, Message, Stream
from pulleyroute.net.lifecycle import ACCEPTING_PHASES, Phase
from pulleyroute.net.listener import Listener
from pulleyroute.net.loop import Coroutine, Loop, Task
from pulleyroute.net.metrics import Gauges, Metrics

MAX_CONNECTIONS = 24  # connections at once
RESERVED_DESCRIPTORS = (
    MAX_CONNECTIONS + 2
)  # to be set aside: those, the listener, and one that waits for room
CALL_TIME = 2_000_000  # from connecting to a whole call
GROWN = 150_000  # a caller is not shed before: its call may be on the way
ANSWER_TIME = 1_000_000
BODY_LIMIT = 4096  # no call has a body that matters

AdminHandler = Callable[[], tuple[int, bytes]]  # what a call does: its status and its body
AdminRoutes = Mapping[bytes, Mapping[bytes, AdminHandler]]  # by path, then by method


class AdminListener:
    """Owns the admin listener and its callers' connections."""

    def __init__(self, loop: Loop, pool: BufferPool, verbs: AdminRoutes) -> None:
        self._loop, self._pool, self._verbs = loop, pool, verbs
        self._callers: dict[Stream, tuple[int, Task]] = {}  # that have made no whole call yet, oldest first
        self._lingering: dict[Stream, Task] = {}  # that have their answer
        self._count = 0
        self.listener = Listener(loop, "management", self._room, self._shed, self._welcome)

    def listen(self, address: tuple[str, int]) -> None:
        """Open the listener; raises OSError where the address can't be had."""
        self.listener.listen(address)

    def _room(self) -> bool:
        return self._count < MAX_CONNECTIONS or self._shed()

    def _shed(self) -> bool:
        """Give the place of the caller that has kept its call back for longest to the one that has come.

        Guards the operators' calls against dozens that send nothing, or half a call, and stay.
        """
        for task in self._lingering.values():
            task.cancel()
            return True
        for since, task in self._callers.values():
            if self._loop.now() - since < GROWN:
                return False
            task.cancel()
            return True
        return False

    def _welcome(self, sock: socket.socket) -> None:
        stream = Stream(self._loop, self._pool, sock, server=True)
        task = Task(self._loop, self._serving(stream), "operator's call")
        self._callers[stream] = self._loop.now(), task
        self._count += 1
        task.start()

    def _serving(self, stream: Stream) -> Coroutine[None]:
        try:
            try:
                message = yield from stream.request(self._loop.now() + CALL_TIME, BODY_LIMIT)
                if message is None:
                    return
                status, body, headers = self._answer(message)
            except Malformed as exc:
                status, body, headers = exc.status, f"{exc}\n".encode(), []
            except Late:
                status, body, headers = 408, b"the call did not come in time\n", []
            _, task = self._callers.pop(stream)
            kind = (b"Content-Type", b"text/plain; charset=utf-8")
            yield from stream.answer(status, body, [kind, *headers], True, self._loop.now() + ANSWER_TIME)
            self._lingering[stream] = task
            yield from stream.linger()
        except (Broken, Late):
            return
        finally:
            self._callers.pop(stream, None)
            self._lingering.pop(stream, None)
            self._count -= 1
            stream.close()

    def _answer(self, message: Message) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
        verbs = self._verbs.get(message.target.partition(b"?")[0])
        if verbs is None:
            return 404, b"no such call\n", []
        verb = verbs.get(message.method)
        if verb is None:
            return 405, b"not with this method\n", [(b"Allow", b", ".join(verbs))]
        return *verb(), []


class AdminTarget(Protocol):
    """What the operators run, of whatever parts."""

    metrics: Metrics

    @property
    def phase(self) -> Phase: ...
    def classes(self) -> Iterable[str]: ...
    def gauges(self) -> Gauges: ...
    def standby(self) -> None: ...
    def active(self) -> None: ...


def admin_routes(operated: AdminTarget) -> AdminRoutes:
    """The operators' calls. Those that move the service say no once it ends, and change nothing twice."""

    def status() -> tuple[int, bytes]:
        return 200 if operated.phase in ACCEPTING_PHASES else 503, f"{operated.phase.value}\n".encode()

    def metrics() -> tuple[int, bytes]:
        return 200, operated.metrics.render(operated.classes(), operated.gauges())

    def moving(name: str, move: Callable[[], None]) -> AdminHandler:
        def verb() -> tuple[int, bytes]:
            move()
            phase = operated.phase
            logger.bind(event=f"operators.{name}").info("operators: {}, and now {}", name, phase.value)
            return 200 if phase in ACCEPTING_PHASES else 409, f"{phase.value}\n".encode()

        return verb

    return {
        b"/status": {b"GET": status},
        b"/status/metrics": {b"GET": metrics},
        b"/standby": {b"POST": moving("standby", operated.standby)},
        b"/active": {b"POST": moving("active", operated.active)},
    }
