"""The host over real sockets: each request gets exactly one answer, whatever instances and clients do."""

import pytest

from pulleyroute.interface import AttemptEnded, JobExpired, Outcome, Refuse
from tests.net.scene import MS, NACK, SECOND, TAKEN, Peer, Scene


def read_status(peer):
    head, body = peer.message()
    return int(head.split()[1]), body


def accept_request(scene, name="s-0"):
    """Accept a connection at an instance and read the request on it."""
    peer = scene.runners[name].accept()
    return peer, peer.message()


def accept_request_anywhere(scene):
    """Accept the request at whichever instance receives it; return the instance's name too."""

    def try_accept():
        for name, runner in scene.runners.items():
            try:
                return name, runner.sock.accept()[0]
            except BlockingIOError:
                continue
        return None

    name, sock = scene.loop.until(try_accept)
    peer = Peer(scene.loop, sock)
    return name, peer, peer.message()


def test_a_request_passes_on_and_its_result_comes_back_byte_exact():
    scene = Scene()
    client = scene.ask("/read/x?k=7f&z=%41", body=b"\x00\xffbody")
    runner, (head, body) = accept_request(scene)
    assert head.startswith(b"POST /read/x?k=7f&z=%41 HTTP/1.1\r\n") and body == b"\x00\xffbody"
    assert b"X-Txn: t1" in head and b"X-Remaining-Ms: 39" in head  # 4000 ms less the margin
    runner.send(TAKEN)
    assert b" 204 " in scene.call(**{"id": "t1", "from": "s-0", "state": "started"})
    assert b" 204 " in scene.call(**{"id": "t1", "from": "s-0", "state": "done", "result": 'é\n\0"x'})
    assert read_status(client) == (200, 'é\n\0"x'.encode())
    assert not scene.host.open_requests and not scene.loop.errors


def test_done_may_come_before_the_202_and_the_connection_is_used_again():
    scene = Scene()
    client = scene.ask()
    runner, _ = accept_request(scene)
    scene.call(**{"id": "t1", "from": "s-0", "state": "done", "result": "r"})
    assert read_status(client) == (200, b"r")
    runner.send(TAKEN)
    scene.loop.settle()
    scene.ask(txn="t2", peer=client)
    assert b"X-Txn: t2" in runner.message()[0] and scene.runners["s-0"].untouched()


def test_a_request_that_an_instance_cannot_use_goes_nowhere_else_and_blames_no_instance():
    # A client's invalid request must not count as an error of a healthy instance.
    scene = Scene(instances=2)
    client = scene.ask()
    name, runner, _ = accept_request_anywhere(scene)
    runner.send(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
    assert read_status(client)[0] == 400
    scene.loop.skip(SECOND)
    assert not scene.host.tracked_requests and not any(
        w.error_score for w in scene.host._dispatcher.workers.values()
    )
    assert scene.runners["s-1" if name == "s-0" else "s-0"].untouched()


def test_repeated_stale_and_unknown_calls_change_nothing():
    scene = Scene()
    seen = []
    post, scene.host.post = scene.host.post, lambda event: (seen.append(event), post(event))
    client = scene.ask()
    runner, _ = accept_request(scene)
    runner.send(TAKEN)
    calls = [
        ("t1", "s-9", "done"),
        ("t9", "s-0", "lost"),
        ("t1", "s-0", "done"),
        ("t1", "s-0", "done"),
        ("t1", "s-0", "lost"),
        ("t1", "s-0", "started"),
    ]
    for txn, name, state in calls:
        assert b" 204 " in scene.call(**{"id": txn, "from": name, "state": state, "result": "r"})
    assert read_status(client) == (200, b"r")
    assert [e.outcome for e in seen if isinstance(e, AttemptEnded)] == [Outcome.OK]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"\xff",
        b'{"id":"t1","from":"s-0"}',
        b'{"id":1,"from":"s-0","state":"lost"}',
        b'{"id":"t1","from":"s-0","state":"done"}',
        b'{"id":"t1","from":"s-0","state":"running","share":"x"}',
    ],
)
def test_malformed_calls_get_400_and_end_nothing(body):
    scene = Scene()
    client = scene.ask()
    runner, _ = accept_request(scene)
    runner.send(TAKEN)
    assert b" 400 " in scene.call_raw(body)
    assert scene.host.open_requests == 1 and not client.pull()


@pytest.mark.parametrize("path", ["/read", "/charge"])
def test_a_marked_nack_goes_elsewhere_whatever_the_class(path):
    scene = Scene(instances=2)
    client = scene.ask(path)
    first, runner, _ = accept_request_anywhere(scene)
    runner.send(NACK)
    scene.loop.settle()
    scene.loop.skip(SECOND)
    second, runner, _ = accept_request_anywhere(scene)
    assert second != first
    scene.call(**{"id": "t1", "from": second, "state": "done", "result": "r"})
    assert read_status(client) == (200, b"r")


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",  # not marked as a nack: it may have run
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        b"",
        b"HTTP/1.1 2",
        b"garbage\r\n\r\n",
    ],
)
def test_what_may_have_run_is_not_sent_again_and_not_refused(answer):
    scene = Scene(instances=2)
    client = scene.ask("/charge")
    _, runner, _ = accept_request_anywhere(scene)
    runner.send(answer)
    runner.close()
    assert read_status(client)[0] == 502
    scene.loop.skip(2 * SECOND)
    assert all(r.untouched() for r in scene.runners.values())


def test_a_connection_refused_never_ran_and_is_refused_in_the_end():
    scene = Scene()
    scene.runners["s-0"].sock.close()
    client = scene.ask("/charge")
    scene.loop.settle()
    scene.loop.skip(5 * SECOND)
    assert read_status(client)[0] == 503


def test_a_time_out_is_given_up_at_the_instance_and_answered_before_the_client_leaves():
    scene = Scene()
    client = scene.ask("/charge")
    runner, _ = accept_request(scene)
    runner.send(TAKEN)
    scene.loop.settle()
    scene.loop.skip(3990 * MS)
    assert read_status(client)[0] == 502
    runner, (head, _) = accept_request(scene)  # on a new connection: the first one was idle for too long
    assert head.startswith(b"DELETE /jobs/t1 HTTP/1.1")
    assert b" 204 " in scene.call(**{"id": "t1", "from": "s-0", "state": "done", "result": "late"})
    assert not client.pull() and not scene.host.has_request("t1")


def test_a_time_out_leaves_the_client_no_time_to_come_again():
    # With a wider margin the client would send a retry that has no chance and costs an attempt.
    scene = Scene()
    client = scene.ask()
    accept_request(scene)
    scene.loop.skip(3960 * MS)
    assert not client.pull() and scene.host.open_requests
    scene.loop.skip(30 * MS)
    assert read_status(client)[0] == 502


def test_a_time_out_before_the_202_closes_the_connection():
    scene = Scene()
    client = scene.ask("/charge")
    runner, _ = accept_request(scene)
    scene.loop.skip(3990 * MS)
    assert read_status(client)[0] == 502
    scene.loop.until(lambda: runner.pull() is not None and runner.ended)


def test_a_client_that_leaves_expires_its_job_alone():
    scene = Scene()
    seen = []
    post, scene.host.post = scene.host.post, lambda event: (seen.append(event), post(event))
    client = scene.ask()
    other = scene.ask(txn="t2")
    scene.loop.until(lambda: scene.host.open_requests == 2)
    client.close()
    scene.loop.until(lambda: scene.host.open_requests == 1)
    assert [type(e) for e in seen if isinstance(e, JobExpired)] == [JobExpired]
    left, stayed = (scene.runners["s-0"].accept() for _ in range(2))
    assert b"t2" in stayed.message()[0]
    assert left.pull() == b""  # its client has left, so an attempt that has not begun is not sent
    scene.call(**{"id": "t2", "from": "s-0", "state": "done", "result": "r"})
    assert read_status(other) == (200, b"r")


def test_nothing_goes_to_an_instance_that_left_while_its_connection_came_up():
    # The list is checked before the first byte, not only at the push: an instance that begins to drain while
    # the connection is being set up must get no new work.
    scene = Scene()
    table = scene.table("s-0", phase="leaving", complete=False, revision=2)
    active, scene.discovery.active = (
        scene.discovery.active,
        lambda name: (scene.discovery.list.apply(table, cached=False), active(name))[1],
    )
    scene.ask("/charge")
    runner = scene.runners["s-0"].accept()
    scene.loop.settle()
    assert runner.pull() == b""


def test_a_request_is_never_twice_at_one_instance_unless_the_first_proved_unrun():
    # A callback does not name its attempt: with two at one instance, a callback for the earlier one would be
    # taken for the later one's.
    scene = Scene()
    client = scene.ask("/read")
    runner, _ = accept_request(scene)
    runner.send(TAKEN)
    scene.loop.settle()
    scene.call(**{"id": "t1", "from": "s-0", "state": "failed"})
    scene.loop.skip(4 * SECOND)
    assert read_status(client)[0] in (502, 503) and runner.pull() == b""


def test_a_fault_of_the_module_is_noticed_and_the_request_still_answered():
    scene = Scene()

    def fault(event):
        raise IndexError("out of range")

    scene.host._dispatcher.on_job = fault
    scene.host._dispatcher.handlers = {k: fault for k in scene.host._dispatcher.handlers}
    client = scene.ask()
    scene.loop.until(lambda: scene.host.faults)
    scene.loop.skip(4 * SECOND)
    assert read_status(client)[0] == 502 and not scene.host.open_requests


def test_a_client_that_claims_to_wait_for_days_does_not_make_all_others_late():
    scene = Scene()
    first = scene.ask(remaining=10**11)
    accept_request(scene)
    second = scene.ask(txn="t2", remaining=5000)
    _, (head, _) = accept_request(scene)
    assert b"X-Txn: t2" in head
    scene.loop.skip(5 * SECOND)
    assert read_status(first)[0] == read_status(second)[0] == 502  # at the limit of the class


def test_a_refusal_of_what_may_have_run_becomes_a_failure():
    scene = Scene()
    client = scene.ask("/charge")
    accept_request(scene)
    scene.host._refuse(Refuse(1))
    assert read_status(client)[0] == 502


def test_a_refusal_tells_when_to_come_back():
    scene = Scene()
    client = scene.ask("/charge")
    scene.loop.until(lambda: scene.host.open_requests)
    job = scene.host._jobs[1]
    job.attempts.clear()
    scene.host._refuse(Refuse(1, retry_after=9 * SECOND))
    head, _ = client.message()
    assert b" 503 " in head and b"Retry-After: 2.000" in head  # the longest delay that clients follow
