"""A listening socket, and the accepting of connections in good order, whatever they speak."""

from __future__ import annotations

import socket
from collections.abc import Callable

from loguru import logger

from pulleyroute.net.loop import READABLE, Coroutine, Loop, Task, Wait

BACKLOG = 1024
ACCEPT_PAUSE = 20_000  # after running out of descriptors, or of room
ACCEPTS_A_TURN = 64


class Listener:
    """Owns the socket until `close`. What it accepts goes to `welcome`, non-blocking and without Nagle's
    delay.

    `room` says whether another connection may come and makes room if it can; `shed` gives one descriptor
    back.
    """

    def __init__(
        self,
        loop: Loop,
        name: str,
        room: Callable[[], bool],
        shed: Callable[[], bool],
        welcome: Callable[[socket.socket], None],
    ) -> None:
        self._loop, self._name = loop, name
        self._room, self._shed, self._welcome = room, shed, welcome
        self.sock: socket.socket | None = None
        self.task: Task | None = None

    def listen(self, address: tuple[str, int]) -> None:
        """Begin; raises OSError where the address can't be had."""
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
        """Begin on a socket that listens already; whoever else holds it may accept from it too."""
        sock.setblocking(False)
        self.sock = sock
        self.resume()

    def pause(self) -> None:
        """Accept no more for now; the socket stays, and what connects waits in its queue."""
        if self.task is not None and self.sock is not None:
            self.task.cancel()
            self.task = None
            self._loop.forget(self.sock.fileno())

    def resume(self) -> None:
        """Accept again."""
        if self.task is None and self.sock is not None:
            self.task = self._loop.spawn(self.accept_connections(self.sock), self._name)

    @property
    def address(self) -> tuple[str, int]:
        assert self.sock is not None
        host, port = self.sock.getsockname()
        return host, port

    def close(self) -> None:
        """No more connections; those that are accepted stay."""
        self.pause()
        if self.sock is not None:
            self.sock.close()

    def accept_connections(self, listener: socket.socket) -> Coroutine[None]:
        waiting: list[socket.socket] = []  # accepted, and waiting for room: one at most
        try:
            yield from self._accept_loop(listener, waiting)
        finally:
            for sock in waiting:  # guards who has connected already against the end of the accepting
                self._greet(sock)

    def _accept_loop(self, listener: socket.socket, waiting: list[socket.socket]) -> Coroutine[None]:
        while True:
            for _ in range(ACCEPTS_A_TURN):
                try:
                    # Guards the others: nobody is shed before a connection is there that needs the room.
                    if not waiting:
                        waiting.append(listener.accept()[0])
                except (BlockingIOError, InterruptedError):
                    break
                except ConnectionError:
                    continue
                except OSError as exc:
                    # Guards against EMFILE: the listener stays readable, and the loop would spin.
                    logger.bind(event="listener.cannot_accept").error("cannot accept: {}", exc)
                    self._shed()
                    yield Wait(until=self._loop.now() + ACCEPT_PAUSE)
                    break
                if not self._room():
                    break
                self._greet(waiting.pop())
            if not waiting:
                yield Wait(listener.fileno(), READABLE)
            else:
                yield Wait(until=self._loop.now() + ACCEPT_PAUSE)

    def _greet(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # it has gone already
            sock.close()
            return
        self._welcome(sock)
