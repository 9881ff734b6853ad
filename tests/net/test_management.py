"""The admin listener, and the metrics behind it held against what scripted peers saw."""

import random
from collections import Counter

import pytest

from pulleyroute.net.management import MAX_CONNECTIONS
from pulleyroute.net.metrics import Gauges, JobOutcome, Metrics
from tests.net.scene import NACK, SECOND, TAKEN, Scene


def test_the_four_calls_move_the_service_and_twice_is_as_once():
    scene = Scene()
    assert scene.operate("GET", "/status") == (200, b"serving\n")
    for call, phase in (("/standby", b"standby\n"), ("/active", b"serving\n")):
        assert scene.operate("POST", call) == scene.operate("POST", call) == (200, phase)
        assert scene.operate("GET", "/status") == (200, phase)
    assert scene.operate("GET", "/status/metrics")[0] == 200
    scene.ask("/charge")
    scene.loop.until(lambda: scene.host.open)
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
def test_a_call_that_is_not_in_form_is_named_ends_in_bounded_time_and_does_nothing(data, status):
    scene = Scene()
    peer = scene.operator(data)
    scene.loop.settle()
    scene.loop.skip(2 * SECOND + 10_000)
    assert int(peer.message()[0].split()[1]) == status
    scene.loop.until(lambda: peer.pull() is not None and peer.ended)
    scene.loop.skip(SECOND + 10_000)
    assert scene.clients.lifecycle.ready and not scene.admin._count


def test_callers_that_say_nothing_cannot_keep_a_call_out_nor_can_clients():
    scene = Scene(most=2)
    crowd = [scene.operator(b"GET /sta" * (n % 2)) for n in range(3 * MAX_CONNECTIONS)]
    clients = [scene.client() for _ in range(9)]
    peer = scene.operator(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
    scene.loop.settle()
    for _ in range(20):  # well under the second that an answer may take
        scene.loop.skip(40_000)
        scene.loop.settle()
        assert scene.admin._count <= MAX_CONNECTIONS
    assert b" 200 " in peer.message()[0]
    for each in crowd + clients:
        each.close()


def test_a_call_is_answered_while_callers_before_it_linger():
    scene = Scene()
    stay = [scene.operator(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n") for _ in range(MAX_CONNECTIONS)]
    for peer in stay:
        assert b" 200 " in peer.message()[0]
    assert scene.operate("GET", "/status")[0] == 200  # no time has passed


def test_names_that_would_break_a_line_are_made_fit_and_a_dropped_class_keeps_its_counts():
    metrics = Metrics()
    metrics.job_ended("old", JobOutcome.ANSWERED)
    text = metrics.render(["a:b|c\n"], Gauges(1, 2, 3)).decode()
    assert "app.answered.a_b_c_:0|c\n" in text and "app.answered.old:1|c\n" in text
    assert "app.current:1|g\napp.cluster_size:2|g\napp.cluster_unhealthy:3|g\n" in text


def test_every_ending_is_counted_once_under_the_status_that_the_client_got():
    """Seeded traffic with every ending; what the scripted peers counted has to be what the metrics say."""
    rng = random.Random(5)
    scene = Scene(instances=3, **{"max-attempts": 2})
    seen: Counter[str] = Counter()

    def carry(client) -> None:
        """Play the instances' part until the job has its answer, each attempt ending in a drawn way."""
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
                how = rng.choice(["done", "failed", "returned", "lost", "nack", "reset", "error"])
                if how in ("done", "failed", "returned", "lost"):
                    connection.sendall(TAKEN)
                    scene.loop.settle()
                    scene.call(id=txn, state=how, result="r", **{"from": name})
                    scene.call(id=txn, state=how, result="r", **{"from": name})  # said twice: counted once
                elif how == "nack":
                    connection.sendall(NACK)
                elif how == "error":
                    connection.sendall(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
                scene.loop.settle()
                connection.close()
            scene.loop.skip(100_000)

    names = {"read": "answered", "charge": "answered"}
    for n in range(60):
        path = rng.choice(list(names))
        if rng.random() < 0.1:  # it stays silent until its time is over
            client = scene.ask(f"/{path}", f"t{n}", remaining=500)
            scene.loop.until(lambda: client.pull() or scene.host.open)  # noqa: B023
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
    bad.send(b"POST /read HTTP/1.1\r\nHost: x\r\n\r\n")  # no id: no job
    bad.message()
    assert scene.shown() == dict(seen) | {"cluster_size": 3} | {
        key: value for key, value in scene.shown().items() if key == "cluster_unhealthy"
    }
    assert {f"{how}.{path}" for how in ("answered", "deferred", "errored") for path in names} <= set(seen)


def test_the_gauges_are_what_their_owners_say():
    scene = Scene(instances=3)
    clients = [scene.ask("/charge", f"t{n}") for n in range(4)]
    scene.loop.until(lambda: scene.host.open == 4)
    assert scene.shown()["current"] == 4
    clients[0].close()
    scene.loop.until(lambda: scene.host.open == 3)
    assert scene.shown()["current"] == 3
    scene.discovery.load_known(scene.table("s-0", "s-1", revision=2))
    assert scene.shown()["cluster_size"] == 2
    scene.discovery.list.apply(scene.table("s-1", phase="leaving", complete=False, revision=3), cached=False)
    assert scene.shown()["cluster_size"] == 2  # it still finishes what it has
    worker = scene.host._dispatcher.workers[b"s-0"]
    assert "cluster_unhealthy" not in scene.shown()
    scene.host._dispatcher.doubt(worker)
    assert scene.shown()["cluster_unhealthy"] == 1
    scene.loop.skip(30 * SECOND)
    assert "cluster_unhealthy" not in scene.shown()
