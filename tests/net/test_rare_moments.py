"""Races between two waits of a coroutine. Each test forces its order of events."""

import pytest

from pulleyroute.interface import Cancel
from tests.net.scene import INFO, MS, NACK, SECOND, TAKEN, Listener, Scene

NO_SECOND_COPIES = {"second-copies": False}
WITH_KEYED_CLASS = {
    **INFO,
    "classes": [
        *INFO["classes"],
        {
            "name": "apply",
            "effect": "idempotency_key",
            "aim": 1000000,
            "give-up": 5000000,
            "repeat-window": 900000,
        },
    ],
}


def run_after_connects(scene, action):
    """Run `action` whenever a connection to an instance is up, before anything is written to it."""
    original_open = scene.instances._open

    def open_then_run(instance):
        stream = yield from original_open(instance)
        action()
        return stream

    scene.instances._open = open_then_run


def bytes_on_new_connections(scene):
    """Return the bytes sent to instances on connections that the test had not accepted yet."""
    scene.loop.settle()
    data = b""
    for runner in scene.runners.values():
        while not runner.untouched_now():
            data += runner.accept().pull()
    return data


# A client that has left


@pytest.mark.parametrize("more", [0, 20 * 1024])
def test_a_request_whose_client_has_gone_before_it_is_read_is_not_sent_on(more):
    # The end of the client's connection arrives behind the request, or behind further bytes. An instance must
    # not run a request whose client has left.
    scene = Scene()
    client = scene.client()
    client.sock.settimeout(60)
    scene.ask(peer=client, body=b"hi")
    client.send(b"x" * more)
    client.close()
    assert bytes_on_new_connections(scene) == b""
    assert not scene.host.open_requests and not scene.host.tracked_requests


def test_a_client_that_sends_much_and_goes_while_its_job_waits_gets_no_further_attempt():
    # The end of the connection arrives behind more bytes than the dispatcher reads before it answers.
    scene = Scene(instances=2)
    client = scene.ask()
    name, runner = scene.take("t1", accept=False)
    client.sock.settimeout(60)
    client.send(b"x" * 200 * 1024)
    scene.loop.settle()
    client.close()
    for _ in range(10):
        scene.loop.settle()
        scene.loop.skip(10 * MS)
    assert not scene.host.open_requests  # within 0.1 s
    runner.send(NACK)
    scene.loop.settle()
    scene.loop.skip(2 * SECOND)
    assert bytes_on_new_connections(scene) == b"" and not scene.host.tracked_requests


@pytest.mark.parametrize("cancels", [True, False])
def test_what_has_not_begun_when_its_client_goes_does_not_begin(cancels):
    # Without cancels the decision module stops no attempt, so the check before the first byte has to.
    scene = Scene(cancelling=cancels)
    client = scene.client()
    run_after_connects(scene, client.close)
    scene.ask(peer=client)
    scene.loop.until(lambda: not scene.runners["s-0"].untouched_now())
    assert bytes_on_new_connections(scene) == b"" and not scene.host.tracked_requests


# The gate before an attempt


def test_an_instance_that_starts_anew_while_a_connection_comes_up_is_sent_nothing_meant_for_the_old_one():
    # The decision counted on the free slots of the previous process; the restarted one is cold.
    scene = Scene()
    table = scene.table("s-0", complete=False, revision=2)
    table["members"][0]["up_since_ms"] = 1
    run_after_connects(scene, lambda: scene.host.post(scene.discovery.list.apply(table, cached=False)))
    client = scene.ask()
    scene.loop.until(lambda: not scene.runners["s-0"].untouched_now())
    assert bytes_on_new_connections(scene) == b""
    scene.loop.skip(2 * SECOND)
    # It is sent as a new attempt, after a new decision.
    assert b"X-Txn: t1" in bytes_on_new_connections(scene) and not client.pull()


def test_a_kept_connection_to_a_process_before_the_listed_one_is_not_used():
    scene = Scene()
    client = scene.ask()
    _, runner = scene.take("t1")
    scene.call(**{"id": "t1", "from": "s-0", "state": "done", "result": "r"})
    assert b" 200 " in client.message()[0]
    table = scene.table("s-0", complete=False, revision=2)
    table["members"][0]["up_since_ms"] = 1
    scene.host.post(scene.discovery.list.apply(table, cached=False))
    scene.ask(txn="t2", peer=client)
    assert b"X-Txn: t2" in scene.runners["s-0"].accept().message()[0]
    assert runner.pull() == b""


@pytest.mark.parametrize(("span", "sent"), [(500 * MS, True), (900 * MS, False)])
def test_a_keyed_repeat_comes_to_its_instance_within_the_window_or_does_not_begin(span, sent):
    # The window has to include the time of the connect, which may be long: a repeat that arrives after it
    # would run twice.
    scene = Scene(instances=2, info=WITH_KEYED_CLASS)
    client = scene.ask("/apply")
    _, first = scene.take("t1", accept=False)

    def advance_clock():
        scene.loop.time += span

    run_after_connects(scene, advance_clock)
    first.close()  # it may have run
    scene.loop.settle()
    scene.loop.skip(300 * MS)
    assert (b"X-Txn: t1" in bytes_on_new_connections(scene)) is sent
    if not sent:
        scene.loop.skip(SECOND)
        assert b" 502 " in client.message()[0]


# Stopping an attempt


def test_where_no_second_copy_is_allowed_a_job_waits_until_its_instance_has_heard_that_it_is_given_up():
    # An instance that can't be reached has not been notified and goes on with the job: a push to another
    # instance would make two copies.
    scene = Scene(instances=2, **NO_SECOND_COPIES)
    client = scene.ask()
    name, runner = scene.take("t1")
    address = scene.runners[name].address
    runner.close()
    scene.runners[name].sock.close()  # the instance can't be reached
    scene.loop.settle()
    scene.host._carry_out([Cancel(1, 0)])
    scene.loop.skip(SECOND)
    other = next(r for n, r in scene.runners.items() if n != name)
    assert other.untouched() and scene.host.open_requests
    scene.runners[name] = restarted_listener = Listener(scene.loop, address)
    scene.loop.skip(SECOND)
    delete_connection = restarted_listener.accept()
    assert delete_connection.message()[0].startswith(b"DELETE /jobs/t1 ")
    delete_connection.send(b"HTTP/1.1 204 No\r\n\r\n")
    scene.loop.settle()
    scene.loop.skip(300 * MS)
    assert b"X-Txn: t1" in other.accept().message()[0]
    second_name = next(n for n in scene.runners if n != name)
    scene.call(**{"id": "t1", "from": second_name, "state": "done", "result": "r"})
    assert client.message()[1] == b"r"


@pytest.mark.parametrize(("answer", "elsewhere"), [(TAKEN, False), (NACK, True), (b"", True)])
def test_what_an_instance_has_said_already_is_heard_before_it_is_given_up(answer, elsewhere):
    # With a 202 still unread, closing the connection does not stop the accepted job; two copies would run.
    scene = Scene(instances=2, **NO_SECOND_COPIES)
    client = scene.ask()
    name, runner = scene.take("t1", accept=False)
    runner.send(answer)
    scene.host._carry_out([Cancel(1, 0)])  # before the loop runs another turn
    scene.loop.settle()
    scene.loop.skip(300 * MS)
    (other,) = (r for n, r in scene.runners.items() if n != name)
    assert other.untouched_now() is not elsewhere and not client.pull()
    if not elsewhere:
        assert runner.message()[0].startswith(b"DELETE /jobs/t1 ")


@pytest.mark.parametrize("way", ["breaks off", "never ends"])
def test_with_the_head_of_a_202_the_job_is_taken_however_that_answer_ends(way):
    # The instance has accepted the job and will send a callback: another attempt would make a second copy.
    scene = Scene(instances=2, **NO_SECOND_COPIES)
    client = scene.ask()
    name, runner = scene.take("t1", accept=False)
    runner.send(b"HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf")
    scene.loop.settle()
    if way == "breaks off":
        runner.close()
    scene.loop.settle()
    scene.loop.skip(SECOND)
    assert bytes_on_new_connections(scene) == b""
    if way == "never ends":
        scene.host._carry_out([Cancel(1, 0)])  # stopped by a DELETE, not by closing the connection
        assert scene.runners[name].accept().message()[0].startswith(b"DELETE /jobs/t1 ")
    scene.call(**{"id": "t1", "from": name, "state": "done", "result": "r"})
    assert client.message()[1] == b"r"


def test_a_second_answer_that_comes_late_is_no_answer_to_what_may_not_be_repeated():
    # A repeated answer of the instance, a nack, would be taken for the answer to the charge and send the
    # charge to another instance as well.
    scene = Scene(instances=1)
    client = scene.ask()
    _, runner = scene.take("t1")
    scene.call(**{"id": "t1", "from": "s-0", "state": "done", "result": "r"})
    assert b" 200 " in client.message()[0]
    scene.ask("/charge", txn="t2", peer=client)
    fresh = scene.runners["s-0"].accept()
    assert b"X-Txn: t2" in fresh.message()[0]
    runner.send(NACK)
    fresh.send(TAKEN)
    scene.loop.settle()
    scene.loop.skip(2 * SECOND)
    assert (
        runner.data == b"" and scene.host.open_requests == 1 and len(scene.host._by_txn["t2"].attempts) == 1
    )
