"""Cuts, delays and resets of a link; and a runner stand-in that takes jobs, runs them and calls back."""

import json
import socket
import time

import pytest

from pulleyroute.emulator.link import Link
from pulleyroute.emulator.runner import Runner
from tests.net.scene import SECOND, ManualClockLoop, Peer


@pytest.fixture
def loop():
    return ManualClockLoop()


def pair(loop):
    """Return a link, its client, the server behind it, and a function that accepts a connection there."""
    server = socket.create_server(("127.0.0.1", 0))
    server.setblocking(False)
    link = Link(loop, server.getsockname())
    client = Peer(loop, socket.create_connection(link.address))

    def accepted():
        try:
            return server.accept()[0]
        except BlockingIOError:
            return None

    return link, client, server, lambda: Peer(loop, loop.until(accepted))


def test_a_cut_of_one_direction_delays_its_bytes_until_it_ends(loop):
    link, client, server, accept = pair(loop)
    upstream = accept()
    client.send(b"up")
    loop.until(lambda: upstream.pull() == b"up")
    link.cut(up=True, down=False)
    client.send(b" again")
    upstream.send(b"down")
    loop.until(lambda: client.pull() == b"down")
    loop.skip(SECOND)
    assert upstream.pull() == b"up"
    link.heal()
    loop.skip(SECOND)
    loop.until(lambda: upstream.pull() == b"up again")
    link.close()
    server.close()


def test_a_connection_made_during_a_cut_carries_nothing_until_the_cut_ends(loop):
    link, client, server, accept = pair(loop)
    accept()
    link.cut()
    late = Peer(loop, socket.create_connection(link.address))
    late.send(b"hello")
    loop.skip(SECOND)
    with pytest.raises(BlockingIOError):
        server.accept()
    link.heal()
    loop.skip(SECOND)
    upstream = accept()
    loop.until(lambda: upstream.pull() == b"hello")
    link.close()
    server.close()


def test_a_delay_holds_back_bytes_and_a_reset_ends_both_connections(loop):
    link, client, server, accept = pair(loop)
    upstream = accept()
    link.delay = SECOND
    client.send(b"slow")
    loop.settle()
    assert not upstream.pull()
    loop.skip(2 * SECOND)
    loop.until(lambda: upstream.pull() == b"slow")
    link.reset()
    loop.until(lambda: client.pull() is not None and client.ended)
    loop.until(lambda: upstream.pull() is not None and upstream.ended)
    server.close()


def test_the_end_of_a_stream_is_passed_on_after_all_its_bytes(loop):
    link, client, server, accept = pair(loop)
    upstream = accept()
    client.send(b"last")
    client.sock.shutdown(socket.SHUT_WR)
    loop.until(lambda: upstream.pull() == b"last" and upstream.ended)
    upstream.send(b"answer")
    loop.until(lambda: client.pull() == b"answer")
    link.close()
    server.close()


def test_a_runner_runs_jobs_in_order_calls_back_and_logs_them(loop, tmp_path):
    callback_server = socket.create_server(("127.0.0.1", 0))
    callback_server.setblocking(False)
    runner = Runner(
        loop, "r", [callback_server.getsockname()], slots=1, mean_us=SECOND, event_log=tmp_path / "book"
    )
    client = Peer(loop, socket.create_connection(runner.addresses[0]))
    for txn, answer in ((b"t1", b"202"), (b"t2", b"202"), (b"t3", b"202"), (b"t4", b"202"), (b"t5", b"503")):
        client.send(b"POST /look HTTP/1.1\r\nHost: r\r\nX-Txn: %s\r\nContent-Length: 0\r\n\r\n" % txn)
        head, _ = client.message()
        assert head.startswith(b"HTTP/1.1 " + answer), txn
    client.send(b"DELETE /jobs/t2 HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n")
    client.message()
    finished = []
    end = time.monotonic() + 60
    while len(finished) < 3:
        assert time.monotonic() < end
        loop.skip(SECOND // 10)
        try:
            peer = Peer(loop, callback_server.accept()[0])
        except BlockingIOError:
            continue
        head, body = peer.message()
        finished.append(json.loads(body)["id"])
        peer.send(b"HTTP/1.1 204 OK\r\n\r\n")
    lines = [json.loads(line) for line in (tmp_path / "book").read_text().splitlines()]
    assert finished == ["t1", "t3", "t4"]  # t2 was cancelled, and is dropped when its turn comes
    assert [(line["what"], line["txn"]) for line in lines][:2] == [("start", "t1"), ("end", "t1")]
    assert not loop.errors
