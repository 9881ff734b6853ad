"""A TCP proxy between two processes that injects network faults: cuts, delays and resets.

Cuts apply to each direction separately. Bytes sent during a cut are delivered after it, as if TCP had sent
them again; a connection made during a cut is accepted and carries nothing until the cut ends. `reset` ends
every connection at once.
"""

from __future__ import annotations

import contextlib
import socket
import struct

from pulleyroute.net.http import ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, dial
from pulleyroute.net.loop import READABLE, WRITABLE, Coroutine, Loop, Task, Wait

POLL_INTERVAL_US = 10_000  # between checks whether a cut has ended
CONNECT_TIMEOUT_US = 2_000_000
CHUNK_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of zero


class Link:
    """Listens at `address` and opens one connection to `target` for each connection that it accepts.

    `delay`: the added delay in microseconds, in each direction. `up_cut`: bytes from the connecting side are
    held back; `down_cut`: bytes to it are.
    """

    def __init__(self, loop: Loop, target: tuple[str, int] | None = None) -> None:
        self._loop = loop
        self.target = target  # None: connections are reset
        self.delay = 0
        self.up_cut = self.down_cut = False
        self._sockets: set[socket.socket] = set()
        self._tasks: list[Task] = []
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()
        self._accept_task = loop.spawn(self._accept_connections(), "link")

    def cut(self, up: bool = True, down: bool = True) -> None:
        """Cut the given directions, and restore the others."""
        self.up_cut, self.down_cut = up, down

    def heal(self) -> None:
        """End all cuts and the delay."""
        self.up_cut = self.down_cut = False
        self.delay = 0

    def reset(self) -> None:
        """Reset every connection at both ends."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        for sock in list(self._sockets):
            self._close_socket(sock, reset=True)

    def close(self) -> None:
        """Stop listening and reset every connection."""
        self._accept_task.cancel()
        self.reset()
        self._loop.forget(self._sock.fileno())
        self._sock.close()

    def _close_socket(self, sock: socket.socket, reset: bool = False) -> None:
        if sock not in self._sockets:
            return
        self._sockets.discard(sock)
        with contextlib.suppress(OSError):
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._loop.forget(sock.fileno())
        sock.close()

    def _accept_connections(self) -> Coroutine[None]:
        while True:
            try:
                downstream, _ = self._sock.accept()
            except OSError:
                yield Wait(self._sock.fileno(), READABLE)
                continue
            downstream.setblocking(False)
            downstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(downstream)
            self._tasks = [task for task in self._tasks if not task.done]
            self._tasks.append(self._loop.spawn(self._connect_through(downstream), "link connection"))

    def _connect_through(self, downstream: socket.socket) -> Coroutine[None]:
        while self.up_cut or self.down_cut:
            yield Wait(until=self._loop.now() + POLL_INTERVAL_US)
        try:
            if self.target is None:
                raise ConnectionFailed("the link has no target")
            upstream = yield from dial(self._loop, self.target, self._loop.now() + CONNECT_TIMEOUT_US)
        except (ConnectionFailed, ConnectionLimitReached, DeadlineExceeded):
            self._close_socket(downstream, reset=True)
            return
        # The loop allows one waiting task per descriptor, so each socket is read and written through two.
        sockets = [downstream, upstream, downstream.dup(), upstream.dup()]
        self._sockets.update(sockets)
        self._tasks.append(self._loop.spawn(self._forward(downstream, sockets[3], True), "link up"))
        self._tasks.append(self._loop.spawn(self._forward(upstream, sockets[2], False), "link down"))

    def _forward(self, source: socket.socket, sink: socket.socket, up: bool) -> Coroutine[None]:
        """Forward bytes in one direction; an end of stream is passed on, an error resets both sockets."""
        failed = False
        try:
            while True:
                try:
                    data = source.recv(CHUNK_BYTES)
                except (BlockingIOError, InterruptedError):
                    yield Wait(source.fileno(), READABLE)
                    continue
                if self.delay:
                    yield Wait(until=self._loop.now() + self.delay)
                while self.up_cut if up else self.down_cut:
                    yield Wait(until=self._loop.now() + POLL_INTERVAL_US)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                remaining = memoryview(data)
                while remaining:
                    try:
                        remaining = remaining[sink.send(remaining) :]
                    except (BlockingIOError, InterruptedError):
                        yield Wait(sink.fileno(), WRITABLE)
        except OSError:
            failed = True
        finally:
            self._close_socket(source, failed)
            self._close_socket(sink, failed)
