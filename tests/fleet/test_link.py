"""A link that is cut, delayed and reset; and a runner that takes, runs, tells and writes down."""

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
    far = socket.create_server(("127.0.0.1", 0))
    far.setblocking(False)
    link = Link(loop, far.getsockname())
    near = Peer(loop, socket.create_connection(link.address))

    def accepted():
        try:
            return far.accept()[0]
        except BlockingIOError:
            return None

    return link, near, far, lambda: Peer(loop, loop.until(accepted))


def test_bytes_pass_both_ways_and_a_cut_holds_one_way_back_until_it_is_over(loop):
    link, near, far, accept = pair(loop)
    other = accept()
    near.send(b"up")
    loop.until(lambda: other.pull() == b"up")
    link.cut(up=True, down=False)
    near.send(b" again")
    other.send(b"down")
    loop.until(lambda: near.pull() == b"down")
    loop.skip(SECOND)
    assert other.pull() == b"up"
    link.heal()
    loop.skip(SECOND)
    loop.until(lambda: other.pull() == b"up again")
    link.close()
    far.close()


def test_a_connection_made_during_a_cut_carries_nothing_until_it_is_over(loop):
    link, near, far, accept = pair(loop)
    accept()
    link.cut()
    late = Peer(loop, socket.create_connection(link.address))
    late.send(b"hello")
    loop.skip(SECOND)
    with pytest.raises(BlockingIOError):
        far.accept()
    link.heal()
    loop.skip(SECOND)
    other = accept()
    loop.until(lambda: other.pull() == b"hello")
    link.close()
    far.close()


def test_a_delay_holds_bytes_and_a_reset_ends_both_ends(loop):
    link, near, far, accept = pair(loop)
    other = accept()
    link.delay = SECOND
    near.send(b"slow")
    loop.settle()
    assert not other.pull()
    loop.skip(2 * SECOND)
    loop.until(lambda: other.pull() == b"slow")
    link.reset()
    loop.until(lambda: near.pull() is not None and near.ended)
    loop.until(lambda: other.pull() is not None and other.ended)
    far.close()


def test_the_end_of_one_side_reaches_the_other_after_all_its_bytes(loop):
    link, near, far, accept = pair(loop)
    other = accept()
    near.send(b"last")
    near.sock.shutdown(socket.SHUT_WR)
    loop.until(lambda: other.pull() == b"last" and other.ended)
    other.send(b"answer")
    loop.until(lambda: near.pull() == b"answer")
    link.close()
    far.close()


def test_a_runner_takes_runs_in_order_calls_back_and_writes_down(loop, tmp_path):
    back = socket.create_server(("127.0.0.1", 0))
    back.setblocking(False)
    box = Runner(loop, "r", [back.getsockname()], slots=1, mean_us=SECOND, event_log=tmp_path / "book")
    client = Peer(loop, socket.create_connection(box.addresses[0]))
    for txn, answer in ((b"t1", b"202"), (b"t2", b"202"), (b"t3", b"202"), (b"t4", b"202"), (b"t5", b"503")):
        client.send(b"POST /look HTTP/1.1\r\nHost: r\r\nX-Txn: %s\r\nContent-Length: 0\r\n\r\n" % txn)
        head, _ = client.message()
        assert head.startswith(b"HTTP/1.1 " + answer), txn
    client.send(b"DELETE /jobs/t2 HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n")
    client.message()
    told = []
    end = time.monotonic() + 60
    while len(told) < 3:
        assert time.monotonic() < end
        loop.skip(SECOND // 10)
        try:
            peer = Peer(loop, back.accept()[0])
        except BlockingIOError:
            continue
        head, body = peer.message()
        told.append(json.loads(body)["id"])
        peer.send(b"HTTP/1.1 204 OK\r\n\r\n")
    lines = [json.loads(line) for line in (tmp_path / "book").read_text().splitlines()]
    assert told == ["t1", "t3", "t4"]  # t2 was dropped as its turn came
    assert [(line["what"], line["txn"]) for line in lines][:2] == [("start", "t1"), ("end", "t1")]
    assert not loop.errors
