"""Count the connections and payload bytes that a process exchanges with each peer.

The counters are in `net.http.Stream`, which the store's client and the discovery client share, so that the
same code counts for a hollow member and for a `pulleyroute serve` process. Bytes are those written to and
read from the socket: HTTP heads and bodies, without TCP and IP headers.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass, field

from pulleyroute.net import http
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.loop import Loop


@dataclass(slots=True)
class Count:
    """Traffic with one peer: connections opened, payload bytes sent and received."""

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
    """The counts of one process by peer port."""

    peers: dict[int, Count] = field(default_factory=dict)

    def count_of(self, port: int) -> Count:
        """Return the count of one peer; it is created at the first connection."""
        return self.peers.setdefault(port, Count())


def count_traffic() -> Traffic:
    """Count all connections that this process opens after this call."""
    traffic = Traffic()

    class CountedStream(http.Stream):
        """A stream that adds its bytes to the count of its peer."""

        def __init__(self, loop: Loop, pool: BufferPool, sock: socket.socket, server: bool) -> None:
            super().__init__(loop, pool, sock, server)
            self._count = traffic.count_of(sock.getpeername()[1])
            self._count.connections += 1

        def read_available(self) -> int | None:
            count = super().read_available()
            self._count.received += count or 0
            return count

        def _send_part(self, data: memoryview) -> memoryview:
            rest = super()._send_part(data)
            self._count.sent += len(data) - len(rest)
            return rest

    http.Stream = CountedStream  # type: ignore[misc, assignment]  # `net.http.connect` looks it up at each connection
    return traffic
