"""Runs the fault campaign from seeds, and checks its judge.

Mutants of the dispatcher, and changed observations, show that the judge finds violations.
"""

import pytest
from loguru import logger

from pulleyroute.emulator.faulty import ReceivedAttempt, ScriptedResponse
from pulleyroute.grpc import back, call, decide
from pulleyroute.grpc.status import Status
from pulleyroute.interface import Outcome
from pulleyroute.lab.campaign import Campaign, ClientCall, check_call
from pulleyroute.net.host import Host


@pytest.fixture(autouse=True)
def quiet():
    logger.remove()


def play(seed=7, calls=300):
    return Campaign(seed, calls).run()


def test_no_rule_is_broken_and_a_seed_plays_the_same_again():
    first, second = play(), play()
    assert first.broken == []
    assert first.attempts > 200 and first.statuses[0] > 150 and len(first.endings_played) == 8
    assert (first.statuses, first.endings_played) == (second.statuses, second.endings_played)


def test_a_dispatcher_that_takes_a_reset_as_proof_of_not_run_is_caught(monkeypatch):
    monkeypatch.setattr(
        call,
        "classify_abort",
        lambda code, never: decide.AttemptResult(Outcome.FULL, Status.UNAVAILABLE, nacked=True),
    )
    assert any("must never run twice" in line for line in play().broken)


def test_a_dispatcher_that_resends_what_has_begun_is_caught(monkeypatch):
    begin = Host.begin_answer

    def forgetful(self, attempt):
        went = begin(self, attempt)
        self._by_txn[attempt.txn].answering_attempt = None
        return went

    monkeypatch.setattr(Host, "begin_answer", forgetful)
    assert any("answer had begun" in line or "endings" in line for line in play().broken)


def test_a_dispatcher_that_does_not_cancel_at_the_instance_is_caught(monkeypatch):
    monkeypatch.setattr(call.Upstream, "give_up", lambda self: None)
    assert any("was not told" in line for line in play().broken)


def test_a_dispatcher_that_forgets_the_drain_is_caught(monkeypatch):
    from pulleyroute.net.discovery import DiscoveryClient

    monkeypatch.setattr(DiscoveryClient, "active", lambda self, instance: True)
    monkeypatch.setattr(
        Campaign,
        "_publish_members",
        lambda self, real=Campaign._publish_members: None if self.drained else real(self),
    )
    assert any("after its drain" in line for line in play(seed=3, calls=600).broken)


def test_a_dispatcher_that_swallows_an_ending_is_caught(monkeypatch):
    reply = call.Call.reply
    monkeypatch.setattr(call.Call, "reply", lambda self, answer: None if answer.late else reply(self, answer))
    assert play().broken


def test_a_dispatcher_that_avoids_an_instance_after_one_nack_serves_fewer_calls(monkeypatch):
    """With a nack, `GrpcTransport` reports a load without free slots.

    Otherwise the decision module would take the instance for one that is leaving.
    """
    good = play().statuses[0]
    monkeypatch.setattr(back, "NACK_QUEUE_LENGTH", -1e9)
    assert play().statuses[0] < 0.7 * good


@pytest.mark.parametrize(
    "change, expected",
    [
        ({"endings": []}, "endings"),
        ({"endings": ["status", "status"]}, "endings"),
        ({"endings": ["lost"]}, "endings"),
        ({"status": 13}, "status 13"),
        ({"messages": b""}, "messages differ"),
        ({"ended_at": 2_000_001}, "after its deadline"),
    ],
)
def test_each_thing_that_the_judge_looks_at_can_fail(change, expected):
    fine = {
        "id": "c",
        "unsafe": True,
        "timeout": 1_000_000,
        "began": 1_000_000,
        "endings": ["status"],
        "status": 0,
        "messages": b"\0\0\0\0\1\0",
        "ended_at": 1_100_000,
    }
    runs = [ReceivedAttempt("c", "b", ScriptedResponse("status", 0, 1), 1_000_000, 0, 1, ending_sent=True)]
    assert check_call(ClientCall(**fine), runs) == []
    assert any(expected in line for line in check_call(ClientCall(**(fine | change)), runs))
