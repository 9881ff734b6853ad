"""A stand-in for discovery: a list of instances in zones, one of which can be lost and restored.

    python -m benchmarks.capacity.hollow_discovery INSTANCES ZONES

Serves `GET /api/targets` over loopback as a full list or a watch, as `net/discovery.py` requests it. Prints
its port, then reads commands (`hollow_commands`): `{"zone": "z8", "phase": "left"}` changes all instances of
a zone and answers with the revision of that change; `{"phase": ""}` changes nothing.
"""

from __future__ import annotations

import json
import socket
import sys
import time
from dataclasses import dataclass
from typing import Any

from benchmarks.capacity.hollow_commands import read_commands, write_answer
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import ConnectionFailed, DeadlineExceeded, Malformed, Stream
from pulleyroute.net.loop import READABLE, Coroutine, Loop, Task, Wait
from pulleyroute.net.process import on_error

BACKLOG = 4096  # connections; the whole fleet may connect at once
HEARTBEAT_INTERVAL_US = 2_000_000  # between empty lines of a watch; specified by the protocol
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(slots=True)
class Instance:
    """One entry of the list. `started` is a Unix time in milliseconds."""

    name: str
    zone: str
    phase: str = "active"
    started: int = 1

    def entry(self) -> dict[str, Any]:
        """Return the entry in the form of the protocol."""
        return {
            "id": self.name,
            "host_port": "127.0.0.1:1",
            "phase": self.phase,
            "up_since_ms": self.started,
            "size": 1.0,
            "cell": 0,
            "flavor": "box",
            "locality": self.zone,
        }


class Discovery:
    """Serves the list; owns its revision and the watches."""

    def __init__(self, loop: Loop, instances: list[Instance]) -> None:
        self._loop, self._pool = loop, BufferPool()
        self._instances = instances
        self._revision = 1
        self._changes: list[bytes] = []  # the first one led to revision 2
        self._watches: list[Task] = []
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self._socket.setblocking(False)
        self.port: int = self._socket.getsockname()[1]
        loop.spawn(self._accept(), "accept")

    def change(self, zone: str, phase: str) -> int:
        """Set the phase of all instances of a zone; returns the list's revision after the change."""
        changed = [each for each in self._instances if each.zone == zone and phase]
        for each in changed:
            each.phase = phase
            each.started += 1
        if changed:
            self._revision += 1
            self._changes.append(self._list(changed, complete=False))
            self._watches = [each for each in self._watches if not each.done]
            for watch in self._watches:
                watch.wake()
        return self._revision

    def _list(self, instances: list[Instance], complete: bool) -> bytes:
        members = [each.entry() for each in instances]
        return json.dumps({"revision": self._revision, "complete": complete, "members": members}).encode()

    def _full_list(self) -> bytes:
        return self._list([each for each in self._instances if each.phase != "left"], complete=True)

    def _accept(self) -> Coroutine[None]:
        while True:
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                yield Wait(self._socket.fileno(), READABLE)
                continue
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = Task(self._loop, self._serve(connection), "call")
            self._watches.append(task)
            task.start()

    def _serve(self, connection: socket.socket) -> Coroutine[None]:
        stream = Stream(self._loop, self._pool, connection, server=True)
        try:
            message = yield from stream.request(None)
            if message is None:
                return
            if b"watch=1" in message.target:
                yield from self._watch(stream, int(message.target.rpartition(b"=")[2]))
            else:
                yield from stream.answer(200, self._full_list(), [], True, None)
        except (ConnectionFailed, DeadlineExceeded, Malformed):
            pass
        finally:
            stream.close()

    def _watch(self, stream: Stream, known: int) -> Coroutine[None]:
        yield from stream.send(WATCH_HEAD, None)
        if known < 1 or known > self._revision:
            yield from stream.send(_chunk(self._full_list()), None)
            known = self._revision
        while True:
            while known < self._revision:
                change = self._changes[known - 1]
                known += 1
                yield from stream.send(_chunk(change), None)
            yield Wait(until=self._loop.now() + HEARTBEAT_INTERVAL_US)
            if known == self._revision:
                yield from stream.send(_chunk(b""), None)


def _chunk(line: bytes) -> bytes:
    return b"%x\r\n%s\n\r\n" % (len(line) + 1, line)


def main() -> None:
    """Serve until the end of the standard input."""
    instances, zones = int(sys.argv[1]), int(sys.argv[2])
    now = time.time_ns() // 1_000_000
    loop = Loop(on_error)
    discovery = Discovery(
        loop, [Instance(f"instance-{i:07d}", f"z{i % zones}", started=now) for i in range(instances)]
    )
    write_answer({"port": discovery.port})
    loop.spawn(
        read_commands(
            loop, lambda command: {"revision": discovery.change(command.get("zone", ""), command["phase"])}
        ),
        "commands",
    )
    loop.run()


if __name__ == "__main__":
    main()
