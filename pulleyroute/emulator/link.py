"""A link between two processes that can be cut, delayed and reset, each way for itself.

Bytes that meet a cut wait for its end, as TCP sends them again; a connection that is made meanwhile seems to
come up and carries nothing. `reset` ends every connection at once.
"""

from __future__ import annotations

import contextlib
import socket
import struct

from pulleyroute.net.http import ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, dial
from pulleyroute.net.loop import READABLE, WRITABLE, Coroutine, Loop, Task, Wait

LOOK = 10_000  # us between two looks whether a cut is over
DIAL_TIME = 2_000_000
CHUNK = 65_536
_HARD = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets


class Link:
    """Listens at `address` for one end and connects to the other for each connection.

    `delay`: us that bytes take longer, each way. `up_cut`: what the connecting end sends stops; `down_cut`:
    what comes back does.
    """

    def __init__(self, loop: Loop, target: tuple[str, int] | None = None) -> None:
        self._loop = loop
        self.target = target  # None: nobody is there yet
        self.delay = 0
        self.up_cut = self.down_cut = False
        self._ends: set[socket.socket] = set()
        self._tasks: list[Task] = []
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()
        self._accept = loop.spawn(self._accepting(), "link")

    def cut(self, up: bool = True, down: bool = True) -> None:
        self.up_cut, self.down_cut = up, down

    def heal(self) -> None:
        """As if nothing had been done to it."""
        self.up_cut = self.down_cut = False
        self.delay = 0

    def reset(self) -> None:
        """End every connection with a reset at both ends."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        for end in list(self._ends):
            self._drop(end, hard=True)

    def close(self) -> None:
        self._accept.cancel()
        self.reset()
        self._loop.forget(self._sock.fileno())
        self._sock.close()

    def _drop(self, end: socket.socket, hard: bool = False) -> None:
        if end not in self._ends:
            return
        self._ends.discard(end)
        with contextlib.suppress(OSError):
            if hard:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _HARD)
        self._loop.forget(end.fileno())
        end.close()

    def _accepting(self) -> Coroutine[None]:
        while True:
            try:
                near, _ = self._sock.accept()
            except OSError:
                yield Wait(self._sock.fileno(), READABLE)
                continue
            near.setblocking(False)
            near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._ends.add(near)
            self._tasks = [task for task in self._tasks if not task.done]
            self._tasks.append(self._loop.spawn(self._joining(near), "link connection"))

    def _joining(self, near: socket.socket) -> Coroutine[None]:
        while self.up_cut or self.down_cut:
            yield Wait(until=self._loop.now() + LOOK)
        try:
            if self.target is None:
                raise ConnectionFailed("nobody is there")
            far = yield from dial(self._loop, self.target, self._loop.now() + DIAL_TIME)
        except (ConnectionFailed, ConnectionLimitReached, DeadlineExceeded):
            self._drop(near, hard=True)
            return
        # Of each end one descriptor reads and another writes: the loop knows one task a descriptor.
        ends = [near, far, near.dup(), far.dup()]
        self._ends.update(ends)
        self._tasks.append(self._loop.spawn(self._pumping(near, ends[3], True), "link up"))
        self._tasks.append(self._loop.spawn(self._pumping(far, ends[2], False), "link down"))

    def _pumping(self, source: socket.socket, sink: socket.socket, up: bool) -> Coroutine[None]:
        """Carry bytes one way; the end of one side is the end of the other's reading, a reset is both's."""
        hard = False
        try:
            while True:
                try:
                    data = source.recv(CHUNK)
                except (BlockingIOError, InterruptedError):
                    yield Wait(source.fileno(), READABLE)
                    continue
                if self.delay:
                    yield Wait(until=self._loop.now() + self.delay)
                while self.up_cut if up else self.down_cut:
                    yield Wait(until=self._loop.now() + LOOK)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                rest = memoryview(data)
                while rest:
                    try:
                        rest = rest[sink.send(rest) :]
                    except (BlockingIOError, InterruptedError):
                        yield Wait(sink.fileno(), WRITABLE)
        except OSError:
            hard = True
        finally:
            self._drop(source, hard)
            self._drop(sink, hard)
