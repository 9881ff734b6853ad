"""Watches of the store whose events are discarded, to add the load of recorded members' watches.

    python -m benchmarks.capacity.hollow_watches STORE_PORT COUNT

Each watch is opened as an agent opens its own; its events are read and discarded. Any command
(`hollow_commands`) is answered with the numbers of open and of lost watches, and the bytes read.
"""

from __future__ import annotations

import json
import sys
from base64 import b64encode

import h11

from benchmarks.capacity.hollow_commands import read_commands, write_answer
from benchmarks.capacity.hollow_config import GROUP
from pulleyroute.fleet.records import Keys
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, connect
from pulleyroute.net.loop import READABLE, Coroutine, Loop, Wait
from pulleyroute.net.process import on_error

CONNECT_TIMEOUT_US = 10_000_000
OPEN_INTERVAL_US = 1_000  # between the openings of two watches


class Watches:
    """Owns the connections of the watches, and counts them."""

    def __init__(self, loop: Loop, port: int, count: int) -> None:
        self._loop, self._pool, self._address = loop, BufferPool(), ("127.0.0.1", port)
        self.open_count = self.lost = self.received = 0
        loop.spawn(self._open(count), "open")

    def _open(self, count: int) -> Coroutine[None]:
        for _ in range(count):
            self._loop.spawn(self._watch(), "watch")
            yield Wait(until=self._loop.now() + OPEN_INTERVAL_US)

    def _watch(self) -> Coroutine[None]:
        try:
            stream = yield from connect(
                self._loop, self._pool, self._address, self._loop.now() + CONNECT_TIMEOUT_US
            )
        except (ConnectionFailed, ConnectionLimitReached, DeadlineExceeded):
            self.lost += 1
            return
        self.open_count += 1
        try:
            body = _request()
            head = h11.Request(
                method=b"POST",
                target=b"/v3/watch",
                headers=[(b"Host", b"store"), (b"Content-Length", b"%d" % len(body))],
            )
            yield from stream.send(stream.frame(head, body), None)
            while (count := stream.discard_available()) != 0:
                self.received += count or 0
                if count is None:
                    yield Wait(stream.fileno(), READABLE)
        except ConnectionFailed:
            pass
        self.open_count -= 1
        self.lost += 1
        stream.close()


def _request() -> bytes:
    keys = Keys(GROUP)
    start, end = b64encode(keys.prefix).decode(), b64encode(keys.end).decode()
    return json.dumps({"create_request": {"key": start, "range_end": end}}).encode()


def main() -> None:
    """Keep the watches open until the end of the standard input."""
    loop = Loop(on_error)
    watches = Watches(loop, int(sys.argv[1]), int(sys.argv[2]))

    def report(_: object) -> dict[str, int]:
        return {"standing": watches.open_count, "lost": watches.lost, "received": watches.received}

    loop.spawn(read_commands(loop, report), "commands")
    write_answer(report(None))
    loop.run()


if __name__ == "__main__":
    main()
