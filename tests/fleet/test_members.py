"""Who counts as out, and that the limits hold whatever the members do."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pulleyroute.fleet.members import (
    Heartbeat,
    Limits,
    MemberStatus,
    Registration,
    may_claim,
    member_status,
    member_statuses,
    members_in_share,
    refusal,
)

SEATS = [Registration(f"d{i}", 1, f"z{i % 2}", f"r{i // 3}") for i in range(6)]


def heartbeats(*out, phase="serving"):
    return {
        registration.name: Heartbeat(registration.name, 1, phase)
        for registration in SEATS
        if registration.name not in out
    }


def statuses_with(*out, permits=()):
    return member_statuses(SEATS, heartbeats(*out), permits)


@pytest.mark.parametrize(
    ("heartbeat", "permitted", "how"),
    [
        (Heartbeat("d0", 4, "serving"), False, MemberStatus.SERVING),
        (Heartbeat("d0", 4, "serving"), True, MemberStatus.PERMITTED),  # it may go at any moment
        (None, True, MemberStatus.PERMITTED),  # its lease has run out, and that returns nothing
        (None, False, MemberStatus.SILENT),
        (Heartbeat("d0", 3, "serving"), False, MemberStatus.STALE),
        (Heartbeat("d0", 4, "starting"), False, MemberStatus.STARTING),
        (Heartbeat("d0", 4, "standby"), False, MemberStatus.STANDBY),
        (Heartbeat("d0", 4, "ending"), False, MemberStatus.ENDING),
        (Heartbeat("d0", 4, "a phase of a later version"), False, MemberStatus.ENDING),
    ],
)
def test_only_a_member_proved_to_be_serving_is_not_out(heartbeat, permitted, how):
    assert member_status(Registration("d0", 4, "z", "r"), heartbeat, permitted) is how


def test_the_newer_incarnation_holds_a_name():
    registration = Registration("d0", 4, "z", "r")
    assert [may_claim(registration, number) for number in (3, 4, 5)] == [False, True, True] and may_claim(
        None, 1
    )


@pytest.mark.parametrize(
    ("limits", "out", "why"),
    [
        (Limits(fleet=1), (), None),
        (Limits(fleet=1), ("d5",), "1 of the fleet are out, and 1 may be"),
        (Limits(zone=1), ("d4",), None),  # the same zone's name in another region is another zone
        (Limits(zone=1), ("d2",), "1 of zone z0 are out, and 1 may be"),
        (Limits(region=1), ("d5",), None),
        (Limits(region=1), ("d1",), "1 of region r0 are out, and 1 may be"),
        (Limits(least_serving=5), ("d5",), "5 serve, and 5 have to"),
        (Limits(fleet=0), (), "0 of the fleet are out, and 0 may be"),
        (Limits(fleet=0), ("d0",), None),  # it is out already
    ],
)
def test_limits_count_crashed_members_with_those_on_a_permit(limits, out, why):
    assert refusal(SEATS, statuses_with(*out), limits, "d0") == why
    assert refusal(SEATS, statuses_with(permits=out), limits, "d0") == why
    assert refusal(SEATS, statuses_with(), limits, "nobody") == "nobody has no seat"


@given(
    st.lists(st.tuples(st.sampled_from("apcb"), st.integers(0, 5)), max_size=40),
    st.integers(0, 4),
    st.integers(0, 3),
)
def test_whatever_crashes_and_returns_no_permit_takes_more_out_than_the_limit(steps, most, least):
    """a: asks and goes if it may; p: gives its permit back; c: crashes; b: is back."""
    crashed, permits = set(), set()
    for step, number in steps:
        name = f"d{number}"
        how = statuses_with(*crashed, permits=permits)
        if step == "a":
            out = {each for each, at in how.items() if at is not MemberStatus.SERVING}
            may = refusal(SEATS, how, Limits(fleet=most, least_serving=least), name) is None
            if may and name not in permits:
                permits.add(name)
                assert name in out or (len(out) + 1 <= most and len(SEATS) - len(out) - 1 >= least)
        elif step == "p":
            permits.discard(name)
        elif step == "c":
            crashed.add(name)
        else:
            crashed.discard(name)


@pytest.mark.parametrize(
    ("part", "of", "number"), [(0.5, 3, 1), (0.34, 3, 1), (0.1, 30, 3), (0, 9, 0), (1, 9, 9)]
)
def test_a_share_never_allows_more_than_it_says(part, of, number):
    assert members_in_share(part, of) == number
