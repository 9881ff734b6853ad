"""One HTTP call of a stand-in or a test rig, on a connection of its own."""

from __future__ import annotations

import h11

from pulleyroute.net.http import Message, Stream
from pulleyroute.net.loop import Coroutine


def exchange(
    stream: Stream, method: bytes, target: bytes, until: int, body: bytes = b""
) -> Coroutine[Message]:
    """Send one request, return its answer and close the connection.

    `until` is the deadline in microseconds of the loop's clock. Raises what `Stream.send_request` and
    `Stream.response` raise.
    """
    try:
        head = h11.Request(
            method=method,
            target=target,
            headers=[(b"Host", b"stand-in"), (b"Content-Length", b"%d" % len(body))],
        )
        yield from stream.send_request(head, body, until)
        return (yield from stream.response(until))
    finally:
        stream.close()
