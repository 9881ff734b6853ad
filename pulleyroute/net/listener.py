"""A listening socket and the accept loop, independent of the protocol of the connections."""

from __future__ import annotations

import socket
from collections.abc import Callable

from loguru import logger

from pulleyroute.net.loop import READABLE, Coroutine, Loop, Task, Wait

BACKLOG = 1024
ACCEPT_RETRY_DELAY_US = 20_000  # after reaching the limit of descriptors or of connections
MAX_ACCEPTS_PER_TURN = 64


class Listener:
    """Owns a listening socket until `close`.

    Accepted sockets are passed to `on_accept`, non-blocking and with Nagle's algorithm disabled.
    `ensure_room` returns whether another connection is allowed, and closes one to make room if it can;
    `free_descriptor` closes one connection when the process has run out of descriptors.
    """

    def __init__(
        self,
        loop: Loop,
        name: str,
        ensure_room: Callable[[], bool],
        free_descriptor: Callable[[], bool],
        on_accept: Callable[[socket.socket], None],
    ) -> None:
        self._loop, self._name = loop, name
        self._ensure_room, self._free_descriptor, self._on_accept = ensure_room, free_descriptor, on_accept
        self.sock: socket.socket | None = None
        self.task: Task | None = None

    def listen(self, address: tuple[str, int]) -> None:
        """Bind to an address and accept connections; raises OSError if the address is not available."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        self.listen_on(sock)

    def listen_on(self, sock: socket.socket) -> None:
        """Accept connections from a socket that already listens; other processes may share it."""
        sock.setblocking(False)
        self.sock = sock
        self.resume()

    def pause(self) -> None:
        """Stop accepting; the socket stays open and new connections wait in its backlog."""
        if self.task is not None and self.sock is not None:
            self.task.cancel()
            self.task = None
            self._loop.forget(self.sock.fileno())

    def resume(self) -> None:
        """Accept connections again; does nothing if the listener is not paused."""
        if self.task is None and self.sock is not None:
            self.task = self._loop.spawn(self.accept_connections(self.sock), self._name)

    @property
    def address(self) -> tuple[str, int]:
        """The address that the socket is bound to."""
        assert self.sock is not None
        host, port = self.sock.getsockname()
        return host, port

    def close(self) -> None:
        """Stop accepting and close the socket; accepted connections stay open."""
        self.pause()
        if self.sock is not None:
            self.sock.close()

    def accept_connections(self, listener: socket.socket) -> Coroutine[None]:
        """Accept connections until the task is cancelled."""
        waiting: list[socket.socket] = []  # at most one accepted socket, for which there is no room yet
        try:
            yield from self._accept_loop(listener, waiting)
        finally:
            for sock in waiting:  # a client that has connected is served even when accepting ends
                self._pass_on(sock)

    def _accept_loop(self, listener: socket.socket, waiting: list[socket.socket]) -> Coroutine[None]:
        while True:
            for _ in range(MAX_ACCEPTS_PER_TURN):
                try:
                    # Accept before making room, so that no connection is shed without need.
                    if not waiting:
                        waiting.append(listener.accept()[0])
                except (BlockingIOError, InterruptedError):
                    break
                except ConnectionError:
                    continue
                except OSError as exc:
                    # On EMFILE the listener stays readable: without the delay the loop would spin.
                    logger.bind(event="listener.cannot_accept").error("cannot accept connections: {}", exc)
                    self._free_descriptor()
                    yield Wait(until=self._loop.now() + ACCEPT_RETRY_DELAY_US)
                    break
                if not self._ensure_room():
                    break
                self._pass_on(waiting.pop())
            if not waiting:
                yield Wait(listener.fileno(), READABLE)
            else:
                yield Wait(until=self._loop.now() + ACCEPT_RETRY_DELAY_US)

    def _pass_on(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # the client has disconnected already
            sock.close()
            return
        self._on_accept(sock)
