"""The rule checker on small runs: allowed runs pass, and each way to break each rule is reported with its
history."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pulleyroute.lab.referee import (
    AttemptSent,
    ClassRules,
    InstanceStarted,
    Location,
    PhaseReported,
    ProvedNotRun,
    RequestAnswered,
    RequestSent,
    Rule,
    RuleChecker,
    RuleLimits,
    check_events,
)

MS, S = 1000, 1_000_000
KINDS = {
    "look": ClassRules("safe", 5 * S),
    "charge": ClassRules("unsafe", 5 * S),
    "voucher": ClassRules("keyed", 5 * S, "cell", 2 * S),
}
PLACES = {
    "a": Location("leicester", 1),
    "b": Location("leicester", 1),
    "c": Location("leicester", 2),
    "d": Location("coventry", 1),
}
COLD = RuleLimits(cold_share=0.25, ramp=8 * S, multiple=4.0, window=3 * S)


def rules(*events, **more):
    return [violation.rule for violation in check_events(list(events), KINDS, locations=PLACES, **more)]


def run(kind, *sends, answer="served", proved=()):
    """A request with attempts at these instances, half a second apart."""
    return [
        RequestSent(0, "r", kind),
        *(AttemptSent((i + 1) * S // 2, "r", i, instance) for i, instance in enumerate(sends)),
        *(ProvedNotRun((i + 1) * S // 2 + 1, "r", i) for i in proved),
        RequestAnswered(4 * S, "r", answer),
    ]


@pytest.mark.parametrize(
    "events, broken",
    [
        (run("charge", "a"), []),
        (run("look", "a", "b", "d"), []),
        (run("charge", "a", "b", proved=[0]), []),
        (run("charge", "a", "b"), [Rule.NO_REPEAT]),
        (run("charge", "a", "b", "c", proved=[1]), [Rule.NO_REPEAT] * 2),
        (run("charge", "a", answer="failed"), []),
        (run("charge", "a", answer="refused"), [Rule.NO_REPEAT]),
        (run("charge", "a", answer="refused", proved=[0]), []),
        (run("look", "a", answer="refused"), []),
        (run("voucher", "a", "b"), []),
        (run("voucher", "a", "c"), [Rule.NO_REPEAT]),
        (run("voucher", "a", "d"), [Rule.NO_REPEAT]),
        (
            [
                RequestSent(0, "r", "voucher"),
                AttemptSent(0, "r", 0, "a"),
                AttemptSent(2 * S + 60 * MS, "r", 1, "b"),
                RequestAnswered(3 * S, "r", "served"),
            ],
            [Rule.NO_REPEAT],
        ),
        # Proof that arrives after the resend comes too late for it.
        (
            [
                RequestSent(0, "r", "charge"),
                AttemptSent(1, "r", 0, "a"),
                AttemptSent(2, "r", 1, "b"),
                ProvedNotRun(3, "r", 0),
                RequestAnswered(4, "r", "served"),
            ],
            [Rule.NO_REPEAT],
        ),
    ],
)
def test_repeats(events, broken):
    assert rules(*events) == broken


def test_one_answer_in_time():
    request_sent = RequestSent(0, "r", "look")
    assert rules(request_sent, RequestAnswered(5 * S + 50 * MS, "r", "failed")) == []
    assert rules(request_sent, RequestAnswered(5 * S + 51 * MS, "r", "failed")) == [Rule.ONE_ANSWER]
    assert rules(request_sent, RequestAnswered(1, "r", "served"), RequestAnswered(2, "r", "failed")) == [
        Rule.ONE_ANSWER
    ]
    assert rules(request_sent, until=6 * S) == [Rule.ONE_ANSWER] and rules(request_sent, until=4 * S) == []


@pytest.mark.parametrize("phase", ["leaving", "left"])
def test_drains(phase):
    draining, again = PhaseReported(S, "a", phase), PhaseReported(2 * S, "a", phase)

    def sent(at, *more):
        return rules(
            RequestSent(0, "r", "look"),
            draining,
            *more,
            AttemptSent(at, "r", 0, "a"),
            RequestAnswered(at, "r", "served"),
        )

    assert sent(2 * S + 550 * MS) == [] and sent(2 * S + 551 * MS) == [Rule.DRAIN]
    assert sent(2 * S + 551 * MS, again) == [Rule.DRAIN]  # a repeated report does not extend the grace
    assert sent(4 * S, PhaseReported(3 * S, "a", "active")) == []
    assert (
        rules(
            RequestSent(0, "r", "look"),
            draining,
            AttemptSent(4 * S, "r", 0, "b"),
            RequestAnswered(4 * S, "r", "served"),
        )
        == []
    )


def test_cold_instances():
    def pushed(count, at, apart=10 * MS, work=100 * MS):
        events = [InstanceStarted(0, "a", 2.0)]  # two cores: at 0.25 the limit is 4 x 0.5 x 3 s = 6 s of work
        for i in range(count):
            when = at + i * apart
            events += [
                RequestSent(when, f"r{i}", "look"),
                AttemptSent(when, f"r{i}", 0, "a", work),
                RequestAnswered(when, f"r{i}", "served"),
            ]
        return rules(*events, limits=COLD)

    assert pushed(60, 0) == [] and pushed(80, 0) == [Rule.COLD]
    assert pushed(80, 4 * S) == []  # halfway through the ramp
    assert pushed(1000, 8 * S) == []  # after the ramp
    assert pushed(200, 0, apart=60 * MS) == []  # 50 attempts a window


def test_a_violation_has_the_whole_history():
    (violation,) = check_events(run("charge", "a", "b"), KINDS)
    assert violation.text == "r may have run at a and went to b"
    assert "+0.500" in violation.history and "RequestSent" in violation.history and "'b'" in violation.history


def test_events_out_of_order_or_of_unknown_requests_are_errors():
    checker = RuleChecker(KINDS)
    checker.process(RequestSent(5, "r", "look"))
    for wrong in (
        RequestAnswered(4, "r", "served"),
        AttemptSent(6, "x", 0, "a"),
        RequestSent(7, "r", "look"),
    ):
        with pytest.raises(ValueError):
            checker.process(wrong)


@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from("abcd"), st.booleans()), max_size=12))
def test_a_charge_is_broken_exactly_where_a_second_send_finds_one_unproved(steps):
    events, unproved, expected = [RequestSent(0, "r", "charge")], 0, 0
    for i, (_, instance, proved) in enumerate(steps):
        events.append(AttemptSent(10 * i + 1, "r", i, instance))
        expected += unproved > 0
        if proved:
            events.append(ProvedNotRun(10 * i + 2, "r", i))
        else:
            unproved += 1
    events.append(RequestAnswered(1000, "r", "failed"))
    assert len(check_events(events, KINDS)) == expected
