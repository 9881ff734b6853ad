"""Tests the admin listener, and compares its metrics with what scripted peers observed."""

import random
from collections import Counter

import pytest

from pulleyroute.net.management import MAX_CONNECTIONS
from pulleyroute.net.metrics import Gauges, JobOutcome, Metrics
from tests.net.scene import NACK, SECOND, TAKEN, Scene


def test_the_four_requests_control_the_service_and_are_idempotent():
    scene = Scene()
    assert scene.operate("GET", "/status") == (200, b"serving\n")
    for call, phase in (("/standby", b"standby\n"), ("/active", b"serving\n")):
        assert scene.operate("POST", call) == scene.operate("POST", call) == (200, phase)
        assert scene.operate("GET", "/status") == (200, phase)
    assert scene.operate("GET", "/status/metrics")[0] == 200
    scene.ask("/charge")
    scene.loop.until(lambda: scene.host.open_requests)
    scene.clients.stop()
    assert scene.operate("GET", "/status")[0] == 503 and scene.operate("POST", "/active")[0] == 409


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /else HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET /standby HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /status HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20000 + b"\r\n\r\n", 431),
        (b"POST /active HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n", 413),
        (b"POST /standby HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf", 408),
        (b"", 408),
    ],
)
def test_a_malformed_request_is_rejected_in_bounded_time_and_has_no_effect(data, status):
    scene = Scene()
    peer = scene.operator(data)
    scene.loop.settle()
    scene.loop.skip(2 * SECOND + 10_000)
    assert int(peer.message()[0].split()[1]) == status
    scene.loop.until(lambda: peer.pull() is not None and peer.ended)
    scene.loop.skip(SECOND + 10_000)
    assert scene.clients.lifecycle.ready and not scene.admin._count


def test_neither_silent_connections_nor_clients_can_block_a_request():
    scene = Scene(most=2)
    silent = [scene.operator(b"GET /sta" * (n % 2)) for n in range(3 * MAX_CONNECTIONS)]
    clients = [scene.client() for _ in range(9)]
    peer = scene.operator(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
    scene.loop.settle()
    for _ in range(20):  # well under the 1 s that an answer may take
        scene.loop.skip(40_000)
        scene.loop.settle()
        assert scene.admin._count <= MAX_CONNECTIONS
    assert b" 200 " in peer.message()[0]
    for each in silent + clients:
        each.close()


def test_a_request_is_answered_while_earlier_connections_linger():
    scene = Scene()
    lingering = [scene.operator(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n") for _ in range(MAX_CONNECTIONS)]
    for peer in lingering:
        assert b" 200 " in peer.message()[0]
    assert scene.operate("GET", "/status")[0] == 200  # no time has passed


def test_invalid_characters_in_names_are_replaced_and_a_removed_class_keeps_its_counters():
    metrics = Metrics()
    metrics.job_ended("old", JobOutcome.ANSWERED)
    text = metrics.render(["a:b|c\n"], Gauges(1, 2, 3)).decode()
    assert "app.answered.a_b_c_:0|c\n" in text and "app.answered.old:1|c\n" in text
    assert "app.current:1|g\napp.cluster_size:2|g\napp.cluster_unhealthy:3|g\n" in text


def test_every_outcome_is_counted_once_by_the_status_that_the_client_received():
    """Seeded traffic with every outcome; the metrics must equal the counts of the scripted peers."""
    rng = random.Random(5)
    scene = Scene(instances=3, **{"max-attempts": 2})
    seen: Counter[str] = Counter()

    def carry(client) -> None:
        """Act as the instances until the job is answered; each attempt gets a randomly drawn outcome."""
        while not client.pull():
            scene.loop.settle()
            for name, listener in scene.runners.items():
                try:
                    connection = listener.sock.accept()[0]
                except BlockingIOError:
                    continue
                connection.settimeout(30)
                request = b""
                while b"\r\n\r\nhi" not in request:
                    request += connection.recv(65536)
                txn = request.split(b"X-Txn: ")[1].split(b"\r\n")[0].decode()
                seen["sends"] += 1
                outcome = rng.choice(["done", "failed", "returned", "lost", "nack", "reset", "error"])
                if outcome in ("done", "failed", "returned", "lost"):
                    connection.sendall(TAKEN)
                    scene.loop.settle()
                    scene.call(id=txn, state=outcome, result="r", **{"from": name})
                    # A repeated call-back is counted once.
                    scene.call(id=txn, state=outcome, result="r", **{"from": name})
                elif outcome == "nack":
                    connection.sendall(NACK)
                elif outcome == "error":
                    connection.sendall(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
                scene.loop.settle()
                connection.close()
            scene.loop.skip(100_000)

    names = {"read": "answered", "charge": "answered"}
    for n in range(60):
        path = rng.choice(list(names))
        if rng.random() < 0.1:  # the instance does not answer before the deadline
            client = scene.ask(f"/{path}", f"t{n}", remaining=500)
            scene.loop.until(lambda: client.pull() or scene.host.open_requests)  # noqa: B023
            scene.loop.settle()
            scene.loop.skip(600_000)
            scene.loop.settle()
            for listener in scene.runners.values():
                try:
                    connection = listener.sock.accept()[0]
                except BlockingIOError:
                    continue
                seen["sends"] += 1
                connection.close()
        else:
            client = scene.ask(f"/{path}", f"t{n}")
            carry(client)
        status = int(client.message()[0].split()[1])
        how = "answered" if status == 200 else "deferred" if status == 503 else "errored"
        seen[f"{how}.{path}"] += 1
        client.close()
    bad = scene.client()
    bad.send(b"POST /read HTTP/1.1\r\nHost: x\r\n\r\n")  # without an id there is no job
    bad.message()
    assert scene.nonzero_metrics() == dict(seen) | {"cluster_size": 3} | {
        key: value for key, value in scene.nonzero_metrics().items() if key == "cluster_unhealthy"
    }
    assert {f"{how}.{path}" for how in ("answered", "deferred", "errored") for path in names} <= set(seen)


def test_the_gauges_show_the_current_values():
    scene = Scene(instances=3)
    clients = [scene.ask("/charge", f"t{n}") for n in range(4)]
    scene.loop.until(lambda: scene.host.open_requests == 4)
    assert scene.nonzero_metrics()["current"] == 4
    clients[0].close()
    scene.loop.until(lambda: scene.host.open_requests == 3)
    assert scene.nonzero_metrics()["current"] == 3
    scene.discovery.load_known(scene.table("s-0", "s-1", revision=2))
    assert scene.nonzero_metrics()["cluster_size"] == 2
    scene.discovery.list.apply(scene.table("s-1", phase="leaving", complete=False, revision=3), cached=False)
    assert scene.nonzero_metrics()["cluster_size"] == 2  # a leaving instance still finishes its jobs
    worker = scene.host._dispatcher.workers[b"s-0"]
    assert "cluster_unhealthy" not in scene.nonzero_metrics()
    scene.host._dispatcher.eject(worker)
    assert scene.nonzero_metrics()["cluster_unhealthy"] == 1
    scene.loop.skip(30 * SECOND)
    assert "cluster_unhealthy" not in scene.nonzero_metrics()
