"""Hand-over between two processes on one loop: moved connections, relayed call-backs, a process that dies."""

import json
import os
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pulleyroute import snapshot
from pulleyroute.net.downstream import Downstream
from pulleyroute.net.handover import (
    STATE_TIMEOUT_US,
    Handover,
    Link,
    MessageError,
    decode_message,
    encode_message,
    handover_socket_path,
    inherited_listener,
)
from pulleyroute.net.lifecycle import Phase
from pulleyroute.net.loop import Task
from tests.net.scene import READY, SECOND, TAKEN, Scene, callback


class FakeBudget:
    """A `ResourceBudget` with a fixed usage of its own."""

    def __init__(self):
        self.peer_usage = None

    def usage(self):
        return 7, 700

    def set_peer_usage(self, usage):
        self.peer_usage = usage


class Process(Scene):
    """One process of a dispatcher whose listening socket is inherited from the platform."""

    def __init__(self, folder, platform, **more):
        self.folder, self.platform = str(folder), platform
        super().__init__(**more)

    def serve(self):
        self.budget = FakeBudget()
        listener = inherited_listener(str(os.dup(self.platform.fileno())))
        self.handover = Handover(
            self.loop,
            handover_socket_path(self.folder, listener),
            self.clients,
            self.host,
            self.discovery,
            self.budget,
        )
        self.starting = Task(self.loop, self.handover.take_over(listener), "start")
        self.starting.start()
        advance_until(self, lambda: self.starting.done)

    def next(self, listens=True):
        return Process(self.folder, self.platform, beside=self, listens=listens)

    def die(self):
        """End as on SIGKILL: the kernel closes all descriptors, and no message is sent."""
        self.clients.listener.pause()
        self.clients._move = None
        self.handover._close_handover_socket()
        self.starting.cancel()
        self.host.abandon = lambda job: None
        for connection in list(self.clients._connections):
            connection.task.cancel()
        self.host.open_requests = 0
        for link in (self.handover._predecessor, self.handover._successor):
            if link is not None:
                link.on_closed = lambda: None
                link.close("killed")


def advance_until(scene, condition):
    """Run the loop until the condition is true, 10 ms of its time a turn, as a hand-over polls."""

    def advance():
        scene.loop.skip(10_000)
        return condition()

    return scene.loop.until(advance)


@pytest.fixture
def old(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as platform:
        yield Process(tmp_path, platform, instances=3)


def open_job(scene, path, txn, accept=True):
    """Send a job; returns its client, its instance and the instance's end of the attempt's connection."""
    return scene.ask(path, txn), *scene.take(txn, accept)


def send_callback(scene, txn, instance, state="done"):
    """Send a call-back and return the head of its answer. Time advances, as the call-back may be relayed."""
    body = json.dumps({"id": txn, "state": state, "result": f"of {txn}", "from": instance}).encode()
    peer = scene.client()
    peer.send(callback(body))
    advance_until(scene, peer.pull)
    head = peer.message()[0]
    peer.close()
    return head


def test_connections_and_jobs_move_unnoticed_by_their_clients(old):
    idle, silent = old.known_client(), old.client()
    client, instance, _ = open_job(old, "/charge", "t1")
    waiting, late, peer = open_job(old, "/read", "t2", accept=False)
    client.send(b"GET /-/re")  # pipelined: the bytes are read already, and move with the job
    old.loop.settle()
    new = old.next()
    advance_until(old, lambda: new.host.has_request("t1"))
    assert not old.host.has_request("t1") and old.host.has_request("t2") and new.clients.count == 3
    assert b" 204 " in send_callback(new, "t1", instance)
    head, body = client.message()
    assert b" 200 " in head and body == b"of t1" and b"close" not in head.lower()
    client.send(b"ady HTTP/1.1\r\nHost: x\r\n\r\n")
    assert b" 200 " in client.message()[0]
    idle.send(READY)
    assert b" 200 " in idle.message()[0]
    new.ask("/read", "t3", peer=silent)
    new.loop.until(lambda: new.host.has_request("t3"))
    peer.send(TAKEN)  # once its instance has accepted the job, it moves too
    advance_until(old, lambda: new.host.has_request("t2"))
    send_callback(new, "t2", late)
    assert waiting.message()[1] == b"of t2"
    assert not old.host.open_requests and not old.clients.count and not old.loop.errors
    assert new.nonzero_metrics() == {
        "answered.charge": 1,
        "answered.read": 1,
        "current": 1,
        "sends": 1,
        "cluster_size": 3,
    }
    old.clients.stop()
    advance_until(old, lambda: old.loop.stopped)


@pytest.mark.parametrize(("path", "again"), [("/charge", False), ("/read", True)])
def test_what_becomes_of_a_job_that_moved_is_as_if_it_had_been_taken_there(old, path, again):
    client, instance, _ = open_job(old, path, "t1")
    new = old.next()
    advance_until(old, lambda: new.host.has_request("t1"))
    send_callback(new, "t1", instance, "lost")
    new.loop.skip(SECOND)
    if not again:  # it may have run, and must not run twice, whichever process sends it
        assert b" 502 " in client.message()[0]
        return
    assert len(new.host._by_txn["t1"].attempts) == 2
    second, _ = new.take("t1")
    assert second != instance
    send_callback(new, "t1", second)
    assert client.message()[1] == b"of t1"


def test_a_job_that_moved_ends_in_time_and_is_given_up_where_it_runs(old):
    client, instance, _ = open_job(old, "/charge", "t1")
    new = old.next()
    advance_until(old, lambda: new.host.has_request("t1"))
    old.die()
    new.loop.skip(4 * SECOND)
    assert b" 502 " in client.message()[0]
    assert b"DELETE /jobs/t1" in new.runners[instance].accept().message()[0]


def test_a_call_back_that_nobody_confirms_is_asked_for_again(old):
    # After a 204, the instance would not repeat the call-back, and the job's result would be lost.
    open_job(old, "/charge", "t1", accept=False)
    new = old.next()
    advance_until(old, lambda: old.clients.lifecycle.phase is Phase.HANDED)
    old.handover._successor._task.cancel()  # the new process hangs
    assert b" 503 " in send_callback(new, "t1", "s-0")


def test_an_id_that_the_old_process_works_on_is_no_new_job_of_the_new_one(old):
    # A job that has no accepted attempt cannot move yet. If another client sends its id to the new process
    # meanwhile, that is a repeat and must be rejected.
    client, instance, peer = open_job(old, "/charge", "t1", accept=False)
    new = old.next()
    advance_until(old, lambda: new.clients.predecessor_ids)
    assert b" 409 " in new.ask("/charge", "t1").message()[0]
    peer.send(TAKEN)
    advance_until(old, lambda: new.host.has_request("t1"))
    assert b" 409 " in new.ask("/charge", "t1").message()[0]
    send_callback(new, "t1", instance)
    assert client.message()[1] == b"of t1"


def test_a_job_that_is_there_twice_has_one_attempt_and_each_client_an_answer(old):
    client, instance, _ = open_job(old, "/charge", "t1")
    new = old.next(listens=False)
    receive = Downstream.take_over_connection

    def late(clients, *more):  # another client uses the id just before the job arrives
        other.append(new.ask("/charge", "t1"))
        new.loop.until(lambda: new.host.has_request("t1"))
        receive(clients, *more)

    other = []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Downstream, "take_over_connection", late)
        new.serve()
        advance_until(old, lambda: other)
        assert b" 502 " in client.message()[0]
    other[0].close()


def test_what_is_too_large_to_move_does_not_keep_the_others_back(old, monkeypatch):
    jobs = [open_job(old, "/read", f"t{n}") for n in range(3)]
    send, huge = Link.send, "t1"

    def limited(link, kind, values, body=b"", fd=None):
        job = values.get("job")
        return not (job and job["txn"] == huge) and send(link, kind, values, body, fd)

    monkeypatch.setattr(Link, "send", limited)
    new = old.next()
    advance_until(old, lambda: new.host.has_request("t0") and new.host.has_request("t2"))
    assert old.host.has_request("t1")
    for n, (client, instance, _) in enumerate(jobs):
        send_callback(new, f"t{n}", instance)
        assert client.message()[1] == f"of t{n}".encode()


@pytest.mark.parametrize("upgrades", [1, 2])
@pytest.mark.parametrize("state", ["done", "failed", "unknown"])
def test_a_call_back_reaches_the_process_that_has_the_job_also_through_the_one_between(old, state, upgrades):
    client, instance, _ = open_job(old, "/charge", "t1", accept=False)
    new = old
    for _ in range(upgrades):
        before, new = new, new.next()
        advance_until(old, lambda p=before: p.clients.lifecycle.phase is Phase.HANDED)
    if state == "unknown":
        assert b" 204 " in send_callback(new, "nobody", instance)
        return
    assert b" 204 " in send_callback(new, "t1", instance, state)
    assert (b" 200 " if state == "done" else b" 502 ") in client.message()[0]


def test_what_was_learnt_goes_over_and_the_budgets_of_cold_instances_count_once(old):
    rules = old.host._dispatcher
    entry = old.table("s-2", phase="active", complete=False, revision=4)
    entry["members"][0]["up_since_ms"] = (old.loop.now() - SECOND) // 1000
    old.discovery.on_update(old.discovery.list.apply(entry, cached=False))
    leaving = old.table("s-1", phase="leaving", complete=False, revision=5)
    old.discovery.on_update(old.discovery.list.apply(leaving, cached=False))
    rules.eject(rules.workers[b"s-0"])
    until = rules.workers[b"s-0"].ejected_until
    cold = rules.workers[b"s-2"]
    cold.budget, cold.budget_at = 0.75, old.loop.now()
    rules.class_run_times["read"] = 4321.0
    rules.mean_busy_slots = 1.75
    new = old.next()
    new_rules = new.host._dispatcher
    assert new.discovery.version == 5 and not new.discovery.active(b"s-1") and new.discovery.size == 3
    assert abs(new_rules.workers[b"s-0"].ejected_until - until) <= 20_000 and new.host.avoided == 1
    assert new_rules.workers[b"s-2"].budget == 0.75 and cold.budget == 0.0
    assert new_rules.class_run_times == {"read": 4321.0} and new_rules.mean_busy_slots == 1.75
    earlier = {**snapshot.pack_estimates(rules), "load": 3.5}
    del earlier["busy"]  # as an earlier version sends it, which had no such mean
    snapshot.restore_estimates(new_rules, earlier)
    assert new_rules.load == 3.5 and new_rules.mean_busy_slots == 1.75
    assert b"watch=1&from=5" in new.discovery_peer.accept().message()[0]


# The messages of the test below: hello, three parts of the state, serving, a connection and two jobs.
MESSAGES = ["hello", "state", "state", "state", "serving", "connection", "connection", "connection"]


@pytest.mark.parametrize("victim", ["old", "new"])
@pytest.mark.parametrize("number", range(len(MESSAGES)))
def test_killed_before_any_message_no_job_is_with_both_or_sent_twice(old, monkeypatch, victim, number):
    """The surviving process answers its jobs; clients of the dead process lose their connection."""
    idle = old.known_client()
    jobs = {txn: open_job(old, "/charge", txn, accept=txn != "t3") for txn in ("t1", "t2", "t3")}
    processes, seen, links, send = {"old": old}, [], {"old": [], "new": []}, Link.send

    def die():
        for link in links[victim]:
            link.on_closed = lambda: None
            link.close("killed")
        processes[victim].die()

    def send_until_death(link, kind, *more):
        sender = "new" if kind in ("hello", "serving") else "old"
        links[sender].append(link)
        if kind != "share":
            if len(seen) == number:
                old.loop.call_at(old.loop.now(), die)
            seen.append(kind)
        return (len(seen) <= number or sender != victim) and send(link, kind, *more)

    monkeypatch.setattr(Link, "send", send_until_death)
    processes["new"] = new = old.next(listens=False)
    new.serve()
    old.loop.skip(1_500_000)
    assert seen[: number + 1] == MESSAGES[: number + 1]
    survivor = processes["new" if victim == "old" else "old"]
    advance_until(old, lambda: survivor.clients.lifecycle.ready)
    for txn, (client, instance, peer) in jobs.items():
        assert not (old.host.has_request(txn) and new.host.has_request(txn))
        if not survivor.host.has_request(txn):
            survivor.wait_until_closed(client)
            continue
        (attempt,) = survivor.host._by_txn[txn].attempts
        if not attempt.accepted:
            peer.send(TAKEN)
            survivor.loop.until(lambda e=attempt: e.accepted)
        assert b" 204 " in send_callback(survivor, txn, instance)
        assert client.message()[1] == f"of {txn}".encode()
    assert survivor.known_client()
    monkeypatch.undo()
    if victim == "new":
        assert old.next().clients.lifecycle.ready  # the old process accepts a new successor
    idle.close()


def test_another_users_process_at_the_socket_is_ignored_and_sigterm_before_the_start_ends_it(
    old, monkeypatch
):
    with monkeypatch.context() as patch:
        patch.setattr(os, "getuid", lambda: 77777)
        stranger = old.next()
    old.loop.skip(100_000)
    assert stranger.clients.lifecycle.ready and old.clients.lifecycle.phase is Phase.SERVING
    new = old.next(listens=False)
    with monkeypatch.context() as patch:
        patch.setattr(Handover, "_apply_state", lambda handover, *_: new.clients.stop() or Phase.SERVING)
        new.serve()
    assert new.clients.listener.sock is None and new.clients.lifecycle.phase is Phase.ENDING


def test_a_standby_goes_over(old):
    old.clients.standby()
    new = old.next()
    assert new.clients.lifecycle.phase is Phase.STANDBY
    new.clients.active()
    assert new.known_client()


def test_both_keep_within_one_limit_until_the_old_one_is_gone(old):
    new = old.next()
    advance_until(old, lambda: new.budget.peer_usage == (7, 700))
    old.die()
    advance_until(old, lambda: new.budget.peer_usage is None)


@pytest.mark.parametrize("how", ["stale", "silent", "version", "garbage", "half", "no folder", "nonsense"])
def test_whatever_is_at_the_socket_the_new_process_serves_in_time(tmp_path, how):
    platform = socket.create_server(("127.0.0.1", 0))
    occupant = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    occupant.bind(handover_socket_path(str(tmp_path), platform))
    if how == "stale":
        occupant.close()
    else:
        occupant.listen()
    with platform:
        answer = {
            "version": encode_message("state", {"version": 99, "now": 1, "last": True}),
            "garbage": b"\xff{",
            "half": encode_message("state", {"version": 1, "now": 1, "last": False, "phase": "standby"}),
            "nonsense": encode_message("state", {"version": 1, "now": 1, "last": True, "known": [{"id": 5}]}),
        }.get(how)
        if answer is not None:
            # The answer is sent as soon as the new process connects, and waits in the socket until it reads.
            import threading

            threading.Thread(target=lambda: occupant.accept()[0].send(answer), daemon=True).start()
        folder = tmp_path / "none" if how == "no folder" else tmp_path
        new = Process(folder, platform)
        assert new.loop.time <= 1_000 * SECOND + STATE_TIMEOUT_US + SECOND // 10
        assert new.known_client() and new.clients.lifecycle.ready
    occupant.close()


@pytest.mark.parametrize("value", ["", "x", "-1", "2", "999", "1e1", str(10**30), "a file", "not listening"])
def test_a_descriptor_that_is_no_listener_is_one_plain_line(tmp_path, value):
    with open(tmp_path / "file", "w") as file, socket.socket() as plain:
        number = {"a file": str(file.fileno()), "not listening": str(plain.fileno())}.get(value, value)
        with pytest.raises(ValueError, match="PROXY_FD is"):
            inherited_listener(number)
        plain.getsockname()  # the descriptor is still open


@given(st.binary(max_size=80) | st.text(max_size=40).map(lambda text: text.encode() + b"\nbody"))
def test_a_message_is_read_or_unreadable(data):
    try:
        kind, values, _ = decode_message(data)
    except MessageError:
        return
    assert isinstance(kind, str) and isinstance(values, dict)
