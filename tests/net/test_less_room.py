"""Messages split at any byte, silent peers and clients that leave: nothing is lost and nothing leaks."""

import json

import pytest

from tests.net.scene import SECOND, TAKEN, Scene, callback


def send_in_two(scene, peer, data, at):
    """Send the data in two pieces, the second one after the first has been read."""
    peer.send(data[:at])
    for _ in range(3):
        scene.loop.turn(0.0005)
    peer.send(data[at:])


def request(txn, body=b"hello"):
    return (
        b"POST /read?k=7f HTTP/1.1\r\nHost: api\r\nX-Txn: %s\r\nX-Remaining-Ms: 4000\r\n"
        b"Content-Length: %d\r\n\r\n" % (txn.encode(), len(body))
    ) + body


def chunked(txn):
    return (
        b"POST /read HTTP/1.1\r\nHost: api\r\nX-Txn: %s\r\nX-Remaining-Ms: 4000\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n" % txn.encode()
    )


@pytest.mark.parametrize("form", [request, chunked])
def test_a_job_its_202_and_its_call_back_may_be_cut_at_any_byte(form):
    scene = Scene(instances=1)
    client, callbacks, runner = scene.client(), scene.client(), None
    length = len(form("t000"))
    for at in range(1, length):
        txn = f"t{at:03}"
        send_in_two(scene, client, form(txn), at)
        runner = runner or scene.runners["s-0"].accept()
        head, body = runner.message()
        assert txn.encode() in head and body == b"hello"
        send_in_two(scene, runner, TAKEN, at % len(TAKEN))
        call = json.dumps({"id": txn, "from": "s-0", "state": "done", "result": "r"}).encode()
        call = callback(call)
        send_in_two(scene, callbacks, call, at % len(call))
        assert b" 204 " in callbacks.message()[0] and client.message()[1] == b"r"
    assert scene.nonzero_metrics() == {"answered.read": length - 1, "sends": length - 1, "cluster_size": 1}
    assert not scene.host.tracked_requests and not scene.loop.errors


def test_an_operators_call_may_be_cut_at_any_byte():
    scene = Scene()
    data = b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n"
    for at in range(1, len(data)):
        peer = scene.operator()
        send_in_two(scene, peer, data, at)
        assert b" 200 " in peer.message()[0]


def test_the_list_and_its_changes_may_be_cut_at_any_byte():
    scene = Scene(instances=2)
    scene.discovery.watch(True)
    watch = scene.discovery_peer.accept()
    watch.message()
    watch.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for at in range(1, 60):
        line = (
            json.dumps(
                scene.table("s-1", phase="leaving" if at % 2 else "active", complete=False, revision=10 + at)
            ).encode()
            + b"\n"
        )
        send_in_two(scene, watch, b"%x\r\n%s\r\n" % (len(line), line), at % (len(line) + 3) or 1)
        scene.loop.until(lambda at=at: scene.discovery.version == 10 + at)
        assert scene.discovery.active(b"s-1") is (at % 2 == 0)


STAGES = ["connected", "half a head", "half a body", "sent", "taken", "started", "answered"]


@pytest.mark.parametrize("stage", STAGES)
@pytest.mark.parametrize("how", ["walks off", "falls quiet"])
def test_whoever_leaves_or_falls_quiet_at_any_stage_leaves_nothing_behind(stage, how):
    scene = Scene(instances=1)
    connections = scene.clients.count
    data = request("t1")
    client = scene.client()
    client.send({"connected": b"", "half a head": data[:30], "half a body": data[:-2]}.get(stage, data))
    scene.loop.settle()
    runner = None
    if STAGES.index(stage) >= STAGES.index("sent"):
        runner = scene.runners["s-0"].accept()
        runner.message()
    if STAGES.index(stage) >= STAGES.index("taken"):
        runner.send(TAKEN)
        scene.loop.settle()
    if STAGES.index(stage) >= STAGES.index("started"):
        scene.call(**{"id": "t1", "from": "s-0", "state": "started"})
    if stage == "answered":
        scene.call(**{"id": "t1", "from": "s-0", "state": "done", "result": "r"})
    if how == "walks off":
        client.close()
        scene.loop.settle()
        assert not scene.host.open_requests and scene.clients.count == connections
        if stage in ("taken", "started"):  # an attempt whose client has left is cancelled
            listener = scene.runners["s-0"]
            head = runner.pull() or listener.accept().message()[0]
            assert b"DELETE /jobs/t1" in head
    # Known clients may be idle for 90 s; nothing is kept for longer, whichever peer is silent.
    for _ in range(30):
        scene.loop.skip(4 * SECOND)
    assert not scene.host.tracked_requests and not scene.host.open_requests and not scene.ledger.held
    assert scene.clients.count == connections and scene.instances.count == 0
    client.close()
