"""Settings of a deployment that allow something or say what is reported, on sockets with scripted peers.

Each case fails if its setting is ignored or misread, so that no deployment works by luck alone.
"""

import pytest

from tests.net.scene import INFO, MS, SECOND, TAKEN, Scene


def settings(caps=None, load=None, family=None, **top):
    """Return the default settings of a scene with other values in these sections."""
    sections = {"caps": caps, "load-report": load, "family-info": family}
    return {**INFO, **{key: {**INFO[key], **(each or {})} for key, each in sections.items()}, **top}


REPORTS_IN_ANSWERS = {"via": "piggyback", "fields": ["busy", "q", "rate", "x0"]}
KEYED_CLASSES = [
    {
        "name": "read",
        "effect": "idempotency_key",
        "key-scope": "all",
        "repeat-window": 2000000,
        "aim": 1000000,
        "give-up": 5000000,
    }
]


def worker(scene, name):
    return scene.host._dispatcher.workers[name.encode()]


def test_reports_in_answers_are_learnt_from_an_objects_load():
    scene = Scene(info=settings(load=REPORTS_IN_ANSWERS))
    client = scene.ask()
    scene.take("t1")
    scene.call(
        **{
            "id": "t1",
            "from": "s-0",
            "state": "done",
            "result": "r",
            "load": {"util": 0.5, "queue": 0, "qps": 8, "x0": 3},
        }
    )
    assert b" 200 " in client.message()[0] and worker(scene, "s-0").free_slots == 3


def test_reports_in_answers_are_learnt_from_an_answers_header():
    scene = Scene(info=settings(load=REPORTS_IN_ANSWERS))
    client = scene.ask()
    _, peer = scene.take("t1", accept=False)
    assert client.sock and not worker(scene, "s-0").last_report
    peer.send(
        b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nX-Pressure: util=0.9,queue=2,qps=8,x0=0.25\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    scene.loop.until(lambda: worker(scene, "s-0").last_report)
    assert worker(scene, "s-0").last_report.queued == 2


@pytest.mark.parametrize("spoilt", [b"util=,x0=", b"x0=nan", b"x0=-3", b"{", b"\xff\xfe", b"x0=1e400", b""])
def test_a_spoilt_report_in_an_answer_is_told_and_harms_nothing(spoilt, logged):
    scene = Scene(info=settings(load=REPORTS_IN_ANSWERS))
    client = scene.ask()
    _, peer = scene.take("t1", accept=False)
    peer.send(
        b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nX-Pressure: " + spoilt + b"\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    scene.loop.until(lambda: scene.host._by_txn["t1"].attempts[0].nacked)
    assert worker(scene, "s-0").capacity == 0 and not scene.host.faults and not scene.loop.errors
    assert len([line for line in logged if "s-0: ignoring an invalid load report" in line]) == 1
    assert not client.pull()  # it is tried again


@pytest.mark.parametrize("probes", [True, False])
def test_instances_are_probed_only_where_probes_are_allowed(probes):
    scene = Scene(info=settings(caps={"probes": probes}))
    scene.loop.skip(2 * SECOND)  # without a job, the instance receives only probes
    runner, heads = scene.runners["s-0"], []
    while not runner.untouched():
        heads.append(runner.accept().message()[0])
    assert bool(heads) is probes and all(head.startswith(b"GET /-/load ") for head in heads)


@pytest.mark.parametrize("tells", [True, False])
def test_a_job_is_moved_for_not_starting_only_where_starts_are_told(tells):
    scene = Scene(instances=2, info=settings(family={"tells-start": tells}))
    client = scene.ask()
    first, peer = scene.take("t1")
    other = next(name for name in scene.runners if name != first)
    worker(scene, other).free_slots = worker(scene, other).capacity = 8.0
    worker(scene, other).report_at = scene.loop.time
    scene.loop.skip(1200 * MS)
    assert (len(scene.host._by_txn["t1"].attempts) > 1) is tells and client.sock and peer.sock


@pytest.mark.parametrize("copies", [True, False])
def test_no_second_copy_goes_out_before_the_first_is_given_up_where_none_are_allowed(copies):
    # Failure: the push to the next instance overtook the DELETE to the previous one, and both ran the job.
    scene = Scene(instances=2, info=settings(caps={"second-copies": copies, "dial-timeout": 60 * SECOND}))
    client = scene.ask()
    first, peer = scene.take("t1")
    other = next(name for name in scene.runners if name != first)
    worker(scene, other).free_slots = worker(scene, other).capacity = 8.0
    worker(scene, other).report_at = scene.loop.time
    attempts = scene.host._by_txn["t1"].attempts
    scene.loop.skip(1200 * MS)
    scene.loop.settle()
    assert (len(attempts) > 1) is copies
    assert peer.message()[0].startswith(b"DELETE /jobs/t1 ")
    peer.send(b"HTTP/1.1 204 Gone\r\nContent-Length: 0\r\n\r\n")
    scene.loop.until(lambda: attempts[0].over)
    scene.loop.skip(1200 * MS)
    assert len(attempts) > 1 and client.sock


@pytest.mark.parametrize("cancels", [True, False])
def test_what_runs_for_a_client_that_has_gone_is_called_off_only_where_cancels_are_allowed(cancels):
    scene = Scene(info=settings(caps={"cancelling": cancels}))
    client = scene.ask()
    _, peer = scene.take("t1")
    client.close()
    scene.loop.until(lambda: not scene.host.open_requests)
    scene.loop.settle()
    assert peer.pull().startswith(b"DELETE /jobs/t1 ") is cancels  # on the kept connection


@pytest.mark.parametrize(("waited", "again"), [(0, True), (3 * SECOND, False)])
def test_a_keyed_job_goes_to_any_instance_again_within_the_time_that_repeats_are_dropped(waited, again):
    scene = Scene(instances=3, info=settings(classes=KEYED_CLASSES))
    client = scene.ask()
    _, peer = scene.take("t1", accept=False)
    if waited:
        peer.send(TAKEN)
        scene.loop.until(lambda: scene.host._by_txn["t1"].attempts[0].accepted)
        scene.loop.skip(waited)
        scene.call(
            **{"id": "t1", "from": scene.host._by_txn["t1"].attempts[0].instance.decode(), "state": "lost"}
        )
    else:
        peer.close()
        scene.loop.until(lambda: scene.host._by_txn["t1"].attempts[0].over)
    if again:
        scene.loop.skip(SECOND)
        assert len(scene.host._by_txn["t1"].attempts) == 2
    else:
        assert b" 502 " in client.message()[0]


@pytest.mark.parametrize("most", [2, 5])
def test_a_job_has_as_many_attempts_as_the_settings_allow(most):
    scene = Scene(instances=6, info=settings(caps={"max-attempts": most}))
    for runner in scene.runners.values():
        runner.sock.close()  # connections are refused, so the job never runs
    client = scene.ask()
    scene.loop.until(lambda: scene.host.has_request("t1"))
    tried = scene.host._by_txn["t1"].attempts
    while scene.host.open_requests:
        scene.loop.settle()
        scene.loop.skip(100 * MS)
    assert b" 503 " in client.message()[0] and len(tried) == most
