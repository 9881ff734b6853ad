"""The referee on small runs: what is allowed passes, and each way to break each rule is told with its
history."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pulleyroute.lab.referee import (
    Answered,
    Asked,
    Booted,
    Figures,
    Kind,
    Place,
    Proved,
    Referee,
    Rule,
    Sent,
    Told,
    judge,
)

MS, S = 1000, 1_000_000
KINDS = {
    "look": Kind("safe", 5 * S),
    "charge": Kind("unsafe", 5 * S),
    "voucher": Kind("keyed", 5 * S, "cell", 2 * S),
}
PLACES = {
    "a": Place("leicester", 1),
    "b": Place("leicester", 1),
    "c": Place("leicester", 2),
    "d": Place("coventry", 1),
}
COLD = Figures(cold_share=0.25, ramp=8 * S, multiple=4.0, window=3 * S)


def rules(*events, **more):
    return [breach.rule for breach in judge(list(events), KINDS, places=PLACES, **more)]


def run(kind, *sends, answer="served", proved=()):
    """A request that went to these boxes a second apart."""
    return [
        Asked(0, "r", kind),
        *(Sent((i + 1) * S // 2, "r", i, box) for i, box in enumerate(sends)),
        *(Proved((i + 1) * S // 2 + 1, "r", i) for i in proved),
        Answered(4 * S, "r", answer),
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
                Asked(0, "r", "voucher"),
                Sent(0, "r", 0, "a"),
                Sent(2 * S + 60 * MS, "r", 1, "b"),
                Answered(3 * S, "r", "served"),
            ],
            [Rule.NO_REPEAT],
        ),
        # Proof that comes after the resend was not there when it was needed.
        (
            [
                Asked(0, "r", "charge"),
                Sent(1, "r", 0, "a"),
                Sent(2, "r", 1, "b"),
                Proved(3, "r", 0),
                Answered(4, "r", "served"),
            ],
            [Rule.NO_REPEAT],
        ),
    ],
)
def test_repeats(events, broken):
    assert rules(*events) == broken


def test_one_answer_in_time():
    asked = Asked(0, "r", "look")
    assert rules(asked, Answered(5 * S + 50 * MS, "r", "failed")) == []
    assert rules(asked, Answered(5 * S + 51 * MS, "r", "failed")) == [Rule.ONE_ANSWER]
    assert rules(asked, Answered(1, "r", "served"), Answered(2, "r", "failed")) == [Rule.ONE_ANSWER]
    assert rules(asked, until=6 * S) == [Rule.ONE_ANSWER] and rules(asked, until=4 * S) == []


@pytest.mark.parametrize("phase", ["leaving", "left"])
def test_drains(phase):
    told, again = Told(S, "a", phase), Told(2 * S, "a", phase)

    def sent(at, *more):
        return rules(Asked(0, "r", "look"), told, *more, Sent(at, "r", 0, "a"), Answered(at, "r", "served"))

    assert sent(2 * S + 550 * MS) == [] and sent(2 * S + 551 * MS) == [Rule.DRAIN]
    assert sent(2 * S + 551 * MS, again) == [Rule.DRAIN]  # told again is no new grace
    assert sent(4 * S, Told(3 * S, "a", "active")) == []
    assert rules(Asked(0, "r", "look"), told, Sent(4 * S, "r", 0, "b"), Answered(4 * S, "r", "served")) == []


def test_cold_boxes():
    def pushed(count, at, apart=10 * MS, work=100 * MS):
        events = [Booted(0, "a", 2.0)]  # two cores: at 0.25 it falls at 4 x 0.5 x 3 s = 6 s of work
        for i in range(count):
            when = at + i * apart
            events += [
                Asked(when, f"r{i}", "look"),
                Sent(when, f"r{i}", 0, "a", work),
                Answered(when, f"r{i}", "served"),
            ]
        return rules(*events, figures=COLD)

    assert pushed(60, 0) == [] and pushed(80, 0) == [Rule.COLD]
    assert pushed(80, 4 * S) == []  # warmer
    assert pushed(1000, 8 * S) == []  # warm
    assert pushed(200, 0, apart=60 * MS) == []  # 50 a window


def test_a_breach_tells_the_whole_history():
    (breach,) = judge(run("charge", "a", "b"), KINDS)
    assert breach.text == "r may have run at a and went to b"
    assert "+0.500" in breach.history and "Asked" in breach.history and "'b'" in breach.history


def test_events_out_of_order_or_of_nobody_are_no_run():
    referee = Referee(KINDS)
    referee.hear(Asked(5, "r", "look"))
    for wrong in (Answered(4, "r", "served"), Sent(6, "x", 0, "a"), Asked(7, "r", "look")):
        with pytest.raises(ValueError):
            referee.hear(wrong)


@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from("abcd"), st.booleans()), max_size=12))
def test_a_charge_is_broken_exactly_where_a_second_send_finds_one_unproved(steps):
    events, unproved, expected = [Asked(0, "r", "charge")], 0, 0
    for i, (_, box, proved) in enumerate(steps):
        events.append(Sent(10 * i + 1, "r", i, box))
        expected += unproved > 0
        if proved:
            events.append(Proved(10 * i + 2, "r", i))
        else:
            unproved += 1
    events.append(Answered(1000, "r", "failed"))
    assert len(judge(events, KINDS)) == expected
