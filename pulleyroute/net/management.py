"""The admin listener: HTTP/1.1 with one request per connection, on its own address and file descriptors."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from loguru import logger

from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import ConnectionFailed, DeadlineExceeded, Malformed, Message, Stream
from pulleyroute.net.lifecycle import ACCEPTING_PHASES, Phase
from pulleyroute.net.listener import Listener
from pulleyroute.net.loop import Coroutine, Loop, Task
from pulleyroute.net.metrics import Gauges, Metrics

MAX_CONNECTIONS = 24
ADMIN_DESCRIPTORS = MAX_CONNECTIONS + 2  # for the listener, and for one connection that waits for room
# Times are in microseconds.
REQUEST_TIMEOUT = 2_000_000  # from the connection to the complete request
SHED_MIN_AGE = 150_000  # a younger connection is not shed, as its request may still be on the way
RESPONSE_TIMEOUT = 1_000_000
BODY_LIMIT = 4096  # bytes; no request has a body that is used

# Performs a request and returns the status and body of the answer.
AdminHandler = Callable[[], tuple[int, bytes]]
# By path, then by method.
AdminRoutes = Mapping[bytes, Mapping[bytes, AdminHandler]]


class AdminListener:
    """Owns the admin listener and its connections."""

    def __init__(self, loop: Loop, pool: BufferPool, routes: AdminRoutes) -> None:
        self._loop, self._pool, self._routes = loop, pool, routes
        # Connections without a complete request, with the time of connection, oldest first.
        self._awaiting_request: dict[Stream, tuple[int, Task]] = {}
        self._lingering: dict[Stream, Task] = {}  # connections that have been answered
        self._count = 0
        self.listener = Listener(loop, "management", self._has_room, self._shed, self._accept)

    def listen(self, address: tuple[str, int]) -> None:
        """Start to listen; raises OSError if the address is not available."""
        self.listener.listen(address)

    def _has_room(self) -> bool:
        return self._count < MAX_CONNECTIONS or self._shed()

    def _shed(self) -> bool:
        """Close one connection to make room for a new one; return whether there was one to close.

        An answered connection goes first, then the one that has waited longest for its request. Dozens of
        connections that stay open and send nothing, or half a request, cannot block the operators' requests.
        """
        for task in self._lingering.values():
            task.cancel()
            return True
        for connected_at, task in self._awaiting_request.values():
            if self._loop.now() - connected_at < SHED_MIN_AGE:
                return False
            task.cancel()
            return True
        return False

    def _accept(self, sock: socket.socket) -> None:
        stream = Stream(self._loop, self._pool, sock, server=True)
        task = Task(self._loop, self._serve(stream), "admin request")
        self._awaiting_request[stream] = self._loop.now(), task
        self._count += 1
        task.start()

    def _serve(self, stream: Stream) -> Coroutine[None]:
        try:
            try:
                message = yield from stream.request(self._loop.now() + REQUEST_TIMEOUT, BODY_LIMIT)
                if message is None:
                    return
                status, body, headers = self._answer(message)
            except Malformed as exc:
                status, body, headers = exc.status, f"{exc}\n".encode(), []
            except DeadlineExceeded:
                status, body, headers = 408, b"the call did not come in time\n", []
            _, task = self._awaiting_request.pop(stream)
            content_type = (b"Content-Type", b"text/plain; charset=utf-8")
            yield from stream.answer(
                status, body, [content_type, *headers], True, self._loop.now() + RESPONSE_TIMEOUT
            )
            self._lingering[stream] = task
            yield from stream.linger()
        except (ConnectionFailed, DeadlineExceeded):
            return
        finally:
            self._awaiting_request.pop(stream, None)
            self._lingering.pop(stream, None)
            self._count -= 1
            stream.close()

    def _answer(self, message: Message) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
        handlers = self._routes.get(message.target.partition(b"?")[0])
        if handlers is None:
            return 404, b"no such call\n", []
        handler = handlers.get(message.method)
        if handler is None:
            return 405, b"not with this method\n", [(b"Allow", b", ".join(handlers))]
        return *handler(), []


class AdminTarget(Protocol):
    """The service that the admin listener controls, whatever its parts."""

    metrics: Metrics

    @property
    def phase(self) -> Phase: ...
    def classes(self) -> Iterable[str]: ...
    def gauges(self) -> Gauges: ...
    def standby(self) -> None: ...
    def active(self) -> None: ...


def admin_routes(target: AdminTarget) -> AdminRoutes:
    """Return the admin listener's routes.

    The requests that change the phase are idempotent, and are rejected with 409 once the service is ending.
    """

    def status() -> tuple[int, bytes]:
        return 200 if target.phase in ACCEPTING_PHASES else 503, f"{target.phase.value}\n".encode()

    def metrics() -> tuple[int, bytes]:
        return 200, target.metrics.render(target.classes(), target.gauges())

    def transition(name: str, action: Callable[[], None]) -> AdminHandler:
        def handler() -> tuple[int, bytes]:
            action()
            phase = target.phase
            logger.bind(event=f"operators.{name}").info(
                "admin request {}: phase is now {}", name, phase.value
            )
            return 200 if phase in ACCEPTING_PHASES else 409, f"{phase.value}\n".encode()

        return handler

    return {
        b"/status": {b"GET": status},
        b"/status/metrics": {b"GET": metrics},
        b"/standby": {b"POST": transition("standby", target.standby)},
        b"/active": {b"POST": transition("active", target.active)},
    }
