"""Counts of connections and payload bytes that a process exchanges with each peer.

The counters stand in `net.http.Stream`, which the store's client and the discovery client share, so that a
hollow member and a `pulleyroute serve` process are counted by the same code. Bytes are those handed to and
taken from the socket: HTTP heads and bodies, without the headers of TCP and IP.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass, field

from pulleyroute.net import http
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.loop import Coroutine, Loop


@dataclass(slots=True)
class Count:
    """What was exchanged with one peer: connections made, payload bytes sent and received."""

    connections: int = 0
    sent: int = 0
    received: int = 0

    def __sub__(self, other: Count) -> Count:
        return Count(
            self.connections - other.connections, self.sent - other.sent, self.received - other.received
        )

    def __add__(self, other: Count) -> Count:
        return Count(
            self.connections + other.connections, self.sent + other.sent, self.received + other.received
        )


@dataclass(slots=True)
class Traffic:
    """The counts of one process, by the peer's port."""

    peers: dict[int, Count] = field(default_factory=dict)

    def count_of(self, port: int) -> Count:
        """The count of one peer, made at its first connection."""
        return self.peers.setdefault(port, Count())


def count_traffic() -> Traffic:
    """Count all connections that this process makes from here on."""
    traffic = Traffic()

    class CountedStream(http.Stream):
        """A stream whose bytes are added to its peer's count."""

        def __init__(self, loop: Loop, pool: BufferPool, sock: socket.socket, server: bool) -> None:
            super().__init__(loop, pool, sock, server)
            self._count = traffic.count_of(sock.getpeername()[1])
            self._count.connections += 1

        def read_available(self) -> int | None:
            count = super().read_available()
            self._count.received += count or 0
            return count

        def send(self, data: bytes, until: int | None) -> Coroutine[None]:
            yield from super().send(data, until)
            self._count.sent += len(data)

    http.Stream = CountedStream  # type: ignore[misc, assignment]  # `net.http.connect` looks it up at each connection
    return traffic
