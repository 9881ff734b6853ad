"""What comes between two lines at which a coroutine waits: each order is forced, none is hoped for."""

import pytest

from pulleyroute.interface import Cancel
from tests.net.scene import INFO, MS, NACK, SECOND, TAKEN, Listener, Scene

ALONE = {"second-copies": False}
KEYED = {
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


def late_connects(scene, between):
    """Each connection to an instance is up, and before anything is written `between` happens."""
    opening = scene.instances._open

    def opened(instance):
        stream = yield from opening(instance)
        between()
        return stream

    scene.instances._open = opened


def written(scene):
    """What the instances have been sent on connections that nobody has looked at yet."""
    scene.loop.settle()
    data = b""
    for runner in scene.runners.values():
        while not runner.untouched_now():
            data += runner.accept().pull()
    return data


# A client that has gone


@pytest.mark.parametrize("more", [0, 20 * 1024])
def test_a_request_whose_client_has_gone_before_it_is_read_is_not_sent_on(more):
    # Guards the instances against work for nobody: the end stands behind the request, and what follows it.
    scene = Scene()
    client = scene.client()
    client.sock.settimeout(60)
    scene.ask(peer=client, body=b"hi")
    client.send(b"x" * more)
    client.close()
    assert written(scene) == b""
    assert not scene.host.open and not scene.host.held


def test_a_client_that_sends_much_and_goes_while_its_job_waits_gets_no_further_attempt():
    # Guards against an end that stands behind more bytes than are read ahead of an answer.
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
    assert not scene.host.open  # within 0.1 s
    runner.send(NACK)
    scene.loop.settle()
    scene.loop.skip(2 * SECOND)
    assert written(scene) == b"" and not scene.host.held


@pytest.mark.parametrize("cancels", [True, False])
def test_what_has_not_begun_when_its_client_goes_does_not_begin(cancels):
    # Guards deployments without cancels too: there the decisions call nothing off.
    scene = Scene(cancelling=cancels)
    client = scene.client()
    late_connects(scene, client.close)
    scene.ask(peer=client)
    scene.loop.until(lambda: not scene.runners["s-0"].untouched_now())
    assert written(scene) == b"" and not scene.host.held


# The gate before an attempt


def test_an_instance_that_starts_anew_while_a_connection_comes_up_is_sent_nothing_meant_for_the_old_one():
    # Guards a cold instance: what the decisions counted was the room of the process before.
    scene = Scene()
    table = scene.table("s-0", complete=False, revision=2)
    table["members"][0]["up_since_ms"] = 1
    late_connects(scene, lambda: scene.host.post(scene.discovery.list.apply(table, cached=False)))
    client = scene.ask()
    scene.loop.until(lambda: not scene.runners["s-0"].untouched_now())
    assert written(scene) == b""
    scene.loop.skip(2 * SECOND)
    assert b"X-Txn: t1" in written(scene) and not client.pull()  # as a new attempt, reckoned anew


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
    # Guards the window: it is counted to when the repeat arrives, after a connect that may take long.
    scene = Scene(instances=2, info=KEYED)
    client = scene.ask("/apply")
    _, first = scene.take("t1", accept=False)

    def passes():
        scene.loop.time += span

    late_connects(scene, passes)
    first.close()  # it may have run
    scene.loop.settle()
    scene.loop.skip(300 * MS)
    assert (b"X-Txn: t1" in written(scene)) is sent
    if not sent:
        scene.loop.skip(SECOND)
        assert b" 502 " in client.message()[0]


# Giving up


def test_where_no_second_copy_is_allowed_a_job_waits_until_its_instance_has_heard_that_it_is_given_up():
    # Guards against two copies at once: an instance that is cut off has not heard, and works on.
    scene = Scene(instances=2, **ALONE)
    client = scene.ask()
    name, runner = scene.take("t1")
    address = scene.runners[name].address
    runner.close()
    scene.runners[name].sock.close()  # nothing reaches it
    scene.loop.settle()
    scene.host._carry_out([Cancel(1, 0)])
    scene.loop.skip(SECOND)
    other = next(r for n, r in scene.runners.items() if n != name)
    assert other.untouched() and scene.host.open
    scene.runners[name] = back = Listener(scene.loop, address)
    scene.loop.skip(SECOND)
    heard = back.accept()
    assert heard.message()[0].startswith(b"DELETE /jobs/t1 ")
    heard.send(b"HTTP/1.1 204 No\r\n\r\n")
    scene.loop.settle()
    scene.loop.skip(300 * MS)
    assert b"X-Txn: t1" in other.accept().message()[0]
    elsewhere = next(n for n in scene.runners if n != name)
    scene.call(**{"id": "t1", "from": elsewhere, "state": "done", "result": "r"})
    assert client.message()[1] == b"r"


@pytest.mark.parametrize(("answer", "elsewhere"), [(TAKEN, False), (NACK, True), (b"", True)])
def test_what_an_instance_has_said_already_is_heard_before_it_is_given_up(answer, elsewhere):
    # Guards against a second copy: a 202 stands unread at the moment of a close, which then gives up nothing.
    scene = Scene(instances=2, **ALONE)
    client = scene.ask()
    name, runner = scene.take("t1", accept=False)
    runner.send(answer)
    scene.host._carry_out([Cancel(1, 0)])  # with no turn of the loop between
    scene.loop.settle()
    scene.loop.skip(300 * MS)
    (other,) = (r for n, r in scene.runners.items() if n != name)
    assert other.untouched_now() is not elsewhere and not client.pull()
    if not elsewhere:
        assert runner.message()[0].startswith(b"DELETE /jobs/t1 ")


@pytest.mark.parametrize("way", ["breaks off", "never ends"])
def test_with_the_head_of_a_202_the_job_is_taken_however_that_answer_ends(way):
    # Guards against a second copy: the instance works on it, and calls back.
    scene = Scene(instances=2, **ALONE)
    client = scene.ask()
    name, runner = scene.take("t1", accept=False)
    runner.send(b"HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf")
    scene.loop.settle()
    if way == "breaks off":
        runner.close()
    scene.loop.settle()
    scene.loop.skip(SECOND)
    assert written(scene) == b""
    if way == "never ends":
        scene.host._carry_out([Cancel(1, 0)])  # and it is given up by a DELETE, not by a close
        assert scene.runners[name].accept().message()[0].startswith(b"DELETE /jobs/t1 ")
    scene.call(**{"id": "t1", "from": name, "state": "done", "result": "r"})
    assert client.message()[1] == b"r"


def test_a_second_answer_that_comes_late_is_no_answer_to_what_may_not_be_repeated():
    # Guards a charge: taken for its own, a nack that the instance said twice would send it elsewhere as well.
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
    assert runner.data == b"" and scene.host.open == 1 and len(scene.host._by_txn["t2"].attempts) == 1
