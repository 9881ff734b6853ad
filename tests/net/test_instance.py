"""Load reports, and attempts at scripted instances on loopback."""

import socket

import pytest

from pulleyroute.interface import LoadReport
from pulleyroute.net.instance import read_report
from tests.net.scene import MS, SECOND, TAKEN, Scene

NAMES = {"q": "queued", "rif": "in_hand", "x0": "free_slots", "busy": "busy", "rate": "rate"}


@pytest.mark.parametrize(
    ("values", "report"),
    [
        ({"queue": 2, "inflight": 3.5, "x0": 0}, LoadReport(free_slots=0, in_hand=3.5, queued=2)),
        ({"q": 2, "rif": 3, "x0": 1, "new": 9}, LoadReport(free_slots=1, in_hand=3, queued=2)),
        ({"x0": float("nan"), "inflight": True}, LoadReport()),
        ({"x0": -3, "queue": 1}, LoadReport(queued=1)),
        # Nothing is measured yet: taken for a report, this would make the instance seem full.
        ({"queue": 0, "inflight": 0, "x0": 0}, None),
        ({"util": 0, "queue": 0, "qps": 0, "x0": 0}, None),  # likewise without the jobs in hand
        ({"util": 0.9, "queue": 0, "qps": 0, "x0": 0}, LoadReport(free_slots=0, queued=0, busy=0.9, rate=0)),
        ([], None),
    ],
)
def test_load_reports_under_the_names_of_the_sockets(values, report):
    assert read_report(values, NAMES, "r") == report


def finish(scene, client, txn="t1"):
    scene.call(**{"id": txn, "from": "s-0", "state": "done", "result": "r"})
    assert b" 200 " in client.message()[0]
    scene.loop.settle()
    scene.loop.skip(60 * MS)  # non-repeatable requests wait until a kept connection has been silent


def served_once(scene):
    client = scene.ask()
    runner = scene.runners["s-0"].accept()
    runner.message()
    runner.send(TAKEN)
    finish(scene, client)
    return client, runner


@pytest.mark.parametrize("state", ["closed", "idle for long", "unsolicited response"])
def test_a_kept_connection_that_may_break_is_not_used_again(state):
    # A request on a connection that its instance has closed ends as a reset, and it may have run.
    scene = Scene()
    client, runner = served_once(scene)
    if state == "closed":
        runner.close()
    elif state == "unsolicited response":
        runner.send(b"HTTP/1.1 408 Late\r\n\r\n")
    else:
        scene.loop.skip(3600 * MS)  # the instance may close it after 5 s
    scene.loop.settle()
    scene.ask(txn="t2", peer=client)
    fresh = scene.runners["s-0"].accept()
    assert b"X-Txn: t2" in fresh.message()[0] and b"X-Txn" not in runner.data
    finish(scene, client, "t2")


def test_a_kept_connection_breaking_after_the_request_is_a_reset_and_not_resent():
    scene = Scene()
    client, runner = served_once(scene)
    scene.ask("/charge", txn="t2", peer=client)
    runner.message()
    runner.close()
    assert b" 502 " in client.message()[0]
    scene.loop.skip(SECOND)
    assert scene.runners["s-0"].untouched()


def test_after_a_kept_connection_failed_charges_use_new_ones_and_the_instance_is_not_suspected():
    # Instances may close idle connections early: requests must not fail on them, nor live instances be
    # suspected for it.
    scene = Scene()
    client, runner = served_once(scene)
    scene.ask("/charge", txn="t2", peer=client)
    runner.message()
    runner.close()
    assert b" 502 " in client.message()[0]
    (worker,) = scene.host._dispatcher.workers.values()
    assert not worker.ejections and not worker.ejected_until
    for txn in ("t3", "t4"):
        scene.ask("/charge", txn=txn, peer=client)
        fresh = scene.runners["s-0"].accept()  # a new connection for each
        assert f"X-Txn: {txn}".encode() in fresh.message()[0]
        fresh.send(TAKEN)
        finish(scene, client, txn)
    scene.loop.skip(11 * SECOND)
    for txn in ("t5", "t6"):  # kept connections are used again
        scene.ask("/charge", txn=txn, peer=client)
        runner = scene.runners["s-0"].accept() if txn == "t5" else runner
        assert f"X-Txn: {txn}".encode() in runner.message()[0]
        runner.send(TAKEN)
        finish(scene, client, txn)


def test_without_a_descriptor_nothing_is_sent_and_no_instance_is_blamed(monkeypatch):
    scene = Scene()
    client = scene.client()
    scene.loop.settle()

    def no_descriptor(*args):
        raise OSError(24, "Too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(socket, "socket", no_descriptor)
        scene.ask("/charge", peer=client)
        scene.loop.until(lambda: scene.host.open_requests)
        scene.loop.settle()
    worker = scene.host._dispatcher.workers[b"s-0"]
    assert not worker.ejections and scene.host.open_requests
    scene.loop.skip(SECOND)
    assert b"X-Txn: t1" in scene.runners["s-0"].accept().message()[0]


def test_the_connection_limit_is_kept_and_idle_connections_are_closed_for_new_ones():
    scene = Scene(instances=2)
    scene.instances._max_connections = 1
    open_at, seen = {}, []
    for n in range(4):
        txn = f"t{n}"
        client = scene.ask(txn=txn)
        scene.loop.until(lambda txn=txn: scene.host.has_request(txn))
        name = scene.host._by_txn[txn].attempts[0].instance.decode()
        if not seen or seen[-1] != name:
            open_at = {name: scene.runners[name].accept()}
        open_at[name].message()
        open_at[name].send(TAKEN)
        scene.loop.settle()
        scene.call(**{"id": txn, "from": name, "state": "done", "result": "r"})
        assert b" 200 " in client.message()[0] and scene.instances._count == 1
        seen.append(name)
    assert len(set(seen)) == 2
