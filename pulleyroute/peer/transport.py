"""Carries payloads between processes of the system: netstrings over TCP, one connection for each direction.

A payload may be lost, as when a connection breaks, but is never changed or sent twice by the transport.
Silence is noticed by the kernel (`TCP_USER_TIMEOUT`), after which the connection is opened anew.
"""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from collections.abc import Callable
from random import Random

from loguru import logger

from pulleyroute.net.backoff import Backoff
from pulleyroute.net.http import (
    ConnectionFailed,
    ConnectionLimitReached,
    DeadlineExceeded,
    dial,
    parse_address,
)
from pulleyroute.net.listener import Listener
from pulleyroute.net.loop import READABLE, WRITABLE, Coroutine, Loop, Task, Wait, WaitResult
from pulleyroute.peer.netstring import NetstringError, NetstringReader, encode

CONNECT_TIMEOUT_US = 1_000_000
SILENCE_TIMEOUT_MS = 1_500  # unacknowledged bytes after which the kernel breaks a connection
KEEPALIVE_S = 1  # between two probes of an idle connection
FIRST_PAUSE_US, MAX_PAUSE_US = 50_000, 800_000  # before a connection that failed is opened anew
MAX_WAITING_BYTES = 4 * 1024 * 1024  # for one peer; more is dropped, the oldest first
MAX_WAITING_AGE_US = 2_000_000  # an older payload says nothing any more
MAX_INCOMING = 64
READ_BYTES = 256 * 1024

PayloadHandler = Callable[[bytes], None]


def set_silence_limits(sock: socket.socket) -> None:
    """Let the kernel end a connection whose peer has fallen silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)


class OutgoingConnection:
    """The connection to one address, opened when there is something to send. Owns what waits for it."""

    def __init__(self, loop: Loop, address: str, random: Random) -> None:
        self._loop, self._address = loop, parse_address(address)
        self._backoff = Backoff(FIRST_PAUSE_US, MAX_PAUSE_US, random)
        self._waiting: deque[tuple[int, bytes]] = deque()
        self._waiting_bytes = 0
        self._task: Task | None = None

    def send(self, payload: bytes) -> None:
        """Send a payload once the connection takes it."""
        frame = encode(payload)
        self._waiting.append((self._loop.now(), frame))
        self._waiting_bytes += len(frame)
        while self._waiting_bytes > MAX_WAITING_BYTES and len(self._waiting) > 1:
            self._take()
        if self._task is None or self._task.done:
            self._task = Task(self._loop, self._run(), "peer connection")
            self._task.start()
        else:
            self._task.wake()

    def close(self) -> None:
        """Close the connection and drop what waits."""
        self._waiting.clear()
        self._waiting_bytes = 0
        if self._task is not None:
            self._task.cancel()

    def _take(self) -> bytes | None:
        """Remove the first payload that waits and is not too old; None if there is none."""
        while self._waiting:
            waited_from, frame = self._waiting.popleft()
            self._waiting_bytes -= len(frame)
            if self._loop.now() - waited_from < MAX_WAITING_AGE_US:
                return frame
        return None

    def _run(self) -> Coroutine[None]:
        """Keep the connection open for as long as there is something to send or the peer stays."""
        while self._waiting:
            try:
                sock = yield from dial(self._loop, self._address, self._loop.now() + CONNECT_TIMEOUT_US)
            except (ConnectionFailed, ConnectionLimitReached, DeadlineExceeded):
                yield from self._pause()
                continue
            try:
                set_silence_limits(sock)
                self._backoff.succeeded()
                yield from self._write(sock)
            except OSError:
                yield from self._pause()
            finally:
                self._loop.forget(sock.fileno())
                sock.close()

    def _pause(self) -> Coroutine[None]:
        until = self._loop.now() + self._backoff.failed()
        while self._loop.now() < until:
            yield Wait(until=until)

    def _write(self, sock: socket.socket) -> Coroutine[None]:
        """Write what waits until the peer closes the connection; raises OSError once it has failed."""
        while True:
            frame = self._take()
            if frame is None:
                if (yield Wait(sock.fileno(), READABLE)) is WaitResult.READY:
                    if sock.recv(1) == b"":
                        return
                    raise OSError("a peer answered on a connection that carries one direction")
                continue
            rest = memoryview(frame)
            while rest:
                try:
                    rest = rest[sock.send(rest) :]
                except BlockingIOError:
                    yield Wait(sock.fileno(), WRITABLE)


class PeerTransport:
    """Owns the listener for peers and the connections to and from them."""

    def __init__(self, loop: Loop, on_payload: PayloadHandler, random: Random) -> None:
        self._loop, self._on_payload, self._random = loop, on_payload, random
        self._outgoing: dict[str, OutgoingConnection] = {}
        self._incoming: dict[Task, socket.socket] = {}
        self.listener = Listener(loop, "peers", self._has_room, self._close_oldest, self._accept)

    def listen(self, address: tuple[str, int]) -> None:
        """Listen for peers; raises OSError if the address is not available."""
        self.listener.listen(address)

    def send(self, address: str, payload: bytes) -> None:
        """Send a payload to the process at an address."""
        if address not in self._outgoing:
            self._outgoing[address] = OutgoingConnection(self._loop, address, self._random)
        self._outgoing[address].send(payload)

    def close(self) -> None:
        """Close all connections and the listener."""
        self.listener.close()
        for connection in self._outgoing.values():
            connection.close()
        for task in list(self._incoming):
            task.cancel()

    def _has_room(self) -> bool:
        return len(self._incoming) < MAX_INCOMING or self._close_oldest()

    def _close_oldest(self) -> bool:
        oldest = next(iter(self._incoming), None)
        if oldest is None:
            return False
        oldest.cancel()
        return True

    def _accept(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            set_silence_limits(sock)
        tasks: list[Task] = []
        task = Task(self._loop, self._read(sock, tasks), "peer")
        tasks.append(task)
        self._incoming[task] = sock
        task.start()

    def _read(self, sock: socket.socket, tasks: list[Task]) -> Coroutine[None]:
        reader = NetstringReader()
        try:
            while True:
                try:
                    data = sock.recv(READ_BYTES)
                except BlockingIOError:
                    yield Wait(sock.fileno(), READABLE)
                    continue
                if not data:
                    return
                for payload in reader.feed(data):
                    self._on_payload(payload)
        except (OSError, NetstringError) as exc:
            logger.bind(event="peer.broken").info("a connection from a peer ended: {}", exc)
        finally:
            for task in tasks:
                self._incoming.pop(task, None)
            self._loop.forget(sock.fileno())
            sock.close()
