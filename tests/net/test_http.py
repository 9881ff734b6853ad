"""HTTP framing with randomly split messages and garbage, limits, and the event loop."""

import os
import socket
from itertools import pairwise

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import ConnectionFailed, DeadlineExceeded, Malformed, Stream, connect, parse_address
from pulleyroute.net.log import Sink
from pulleyroute.net.loop import Wait, WaitResult
from tests.net.scene import SECOND, ManualClockLoop

FIXED = settings(derandomize=True, max_examples=100, deadline=None)
REQUEST = b"POST /read?k=1 HTTP/1.1\r\nHost: x\r\nX-Txn: t\r\nContent-Length: 5\r\n\r\nab\r\nc"
CHUNKED = (
    b"POST /read?k=1 HTTP/1.1\r\nHost: x\r\nX-Txn: t\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nab\r\n3;x=y\r\n\r\nc\r\n0\r\n\r\n"
)
RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok"
SPLITS = st.lists(st.integers(1, 120), max_size=12)


def parse(server, pieces, end=False):
    """Return the messages or errors of a stream that reads the pieces one by one."""
    loop = ManualClockLoop()
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    stream = Stream(loop, BufferPool(), ours, server)
    if not server:
        stream.frame(h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"x")]), b"")
    result = []

    def reading():
        try:
            message = yield from (stream.request if server else stream.response)(None)
            result.append(message)
        except (ConnectionFailed, Malformed) as exc:
            result.append(exc)

    loop.spawn(reading(), "reading")
    for piece in pieces:
        if not result:
            theirs.sendall(piece)
            loop.turn(0.05)
    if end:
        theirs.close()
        loop.until(lambda: result)
    assert not loop.errors
    theirs.close()
    stream.close()
    return result


def split(data, positions):
    at = sorted({p % len(data) for p in positions} | {0, len(data)})
    return [data[a:b] for a, b in pairwise(at)]


@FIXED
@given(st.sampled_from([REQUEST, CHUNKED]), SPLITS)
def test_a_request_is_the_same_however_it_is_cut(data, positions):
    (message,) = parse(True, split(data, positions))
    assert (message.method, message.target, message.body) == (b"POST", b"/read?k=1", b"ab\r\nc")
    assert message.single_header(b"x-txn") == b"t"


@FIXED
@given(SPLITS)
def test_an_answer_is_the_same_however_it_is_cut(positions):
    (message,) = parse(False, split(RESPONSE, positions))
    assert (message.status, message.body) == (202, b"ok")


@FIXED
@given(st.booleans(), st.binary(min_size=1, max_size=200), st.integers(0, len(REQUEST) - 1))
def test_garbage_is_an_error_or_an_end_and_nothing_else(server, garbage, at):
    for data in (garbage, (REQUEST if server else RESPONSE)[:at] + garbage):
        (result,) = parse(server, [data], end=True)
        assert result is None or isinstance(result, ConnectionFailed | Malformed) or result.body is not None


def test_a_partial_write_waits_and_only_the_last_byte_ends_it():
    loop = ManualClockLoop()
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    stream = Stream(loop, BufferPool(), ours, server=True)
    done = []

    def sending():
        yield from stream.send(b"x" * 500_000, None)
        done.append(1)

    loop.spawn(sending(), "sending")
    loop.turn(0)
    assert not done
    got = 0
    while got < 500_000:
        got += len(theirs.recv(65536))
        loop.turn(0)
    loop.until(lambda: done)


def test_writing_to_a_closed_peer_and_connecting_to_a_closed_port_fail():
    loop = ManualClockLoop()
    ours, theirs = socket.socketpair()
    theirs.close()
    seen = []

    def trying(coroutine):
        try:
            yield from coroutine
        except (ConnectionFailed, DeadlineExceeded) as exc:
            seen.append(type(exc))

    loop.spawn(trying(Stream(loop, BufferPool(), ours, True).send(b"x", None)), "send")
    server = socket.create_server(("127.0.0.1", 0))
    address = server.getsockname()
    server.close()
    loop.spawn(trying(connect(loop, BufferPool(), address, loop.now() + SECOND)), "connect")
    loop.until(lambda: len(seen) == 2)
    assert seen == [ConnectionFailed, ConnectionFailed]


@pytest.mark.parametrize("text", ["", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:70000", "host:80", ":80", "1.2.3.4:x"])
def test_an_address_is_a_numeric_host_and_a_port(text):
    with pytest.raises(ValueError, match="HOST:PORT"):
        parse_address(text)


def test_timers_come_in_order_once_and_not_when_cancelled():
    loop = ManualClockLoop()
    seen = []
    timers = [loop.call_at(loop.now() + when, lambda when=when: seen.append(when)) for when in (30, 10, 20)]
    timers[2].cancel()
    many = [loop.call_at(loop.now() + SECOND, lambda: seen.append("never")) for _ in range(1000)]
    for timer in many:
        timer.cancel()
    assert len(loop._timers) < 600  # cancelled timers are removed from the heap
    loop.skip(2 * SECOND)
    assert seen == [10, 30]


def test_an_exception_ends_its_own_task_alone_and_a_nudge_is_never_lost():
    loop = ManualClockLoop()
    seen = []

    def failing():
        yield Wait(until=loop.now() + 10)
        raise KeyError("x")

    def waiting():
        while True:
            seen.append((yield Wait(until=loop.now() + SECOND)))

    loop.spawn(failing(), "failing")
    task = loop.spawn(waiting(), "waiting")
    loop.skip(100)
    assert [type(e) for e in loop.errors] == [KeyError] and not seen
    task.wake()
    task.wake()
    loop.turn(0)
    loop.skip(SECOND)
    assert seen == [WaitResult.WOKEN, WaitResult.TIMED_OUT]
    task.cancel()
    task.wake()
    loop.skip(2 * SECOND)
    assert len(seen) == 2


def test_the_log_neither_blocks_on_a_full_pipe_nor_floods():
    # A stalled reader of the log must not stall the dispatcher.
    source, sink = os.pipe()
    write = Sink(sink)
    for _ in range(1000):
        write("x" * 1000 + "\n")
    assert write._dropped > 0
    os.set_blocking(source, False)
    assert os.read(source, 10**6).count(b"\n") <= 201
    write._tokens = 10
    write("again\n")
    assert b"lines left out)\nagain" in os.read(source, 10**6)
