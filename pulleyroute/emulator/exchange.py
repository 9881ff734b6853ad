"""One HTTP call of a stand-in or a rig, on a connection of its own."""

from __future__ import annotations

import h11

from pulleyroute.net.http import Message, Stream
from pulleyroute.net.loop import Coroutine


def exchange(
    stream: Stream, method: bytes, target: bytes, until: int, body: bytes = b""
) -> Coroutine[Message]:
    """The answer to one call; the connection ends with it. Raises what `Stream.send` and `response` do."""
    try:
        head = h11.Request(
            method=method,
            target=target,
            headers=[(b"Host", b"stand-in"), (b"Content-Length", b"%d" % len(body))],
        )
        yield from stream.send(stream.frame(head, body), until)
        return (yield from stream.response(until))
    finally:
        stream.close()
