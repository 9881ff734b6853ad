"""Which members count as out, and that no sequence of events takes more members out than the limits allow."""

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

REGISTRATIONS = [Registration(f"d{i}", 1, f"z{i % 2}", f"r{i // 3}") for i in range(6)]


def heartbeats(*out, phase="serving"):
    return {
        registration.name: Heartbeat(registration.name, 1, phase)
        for registration in REGISTRATIONS
        if registration.name not in out
    }


def statuses_with(*out, permits=()):
    return member_statuses(REGISTRATIONS, heartbeats(*out), permits)


@pytest.mark.parametrize(
    ("heartbeat", "permitted", "status"),
    [
        (Heartbeat("d0", 4, "serving"), False, MemberStatus.SERVING),
        (Heartbeat("d0", 4, "serving"), True, MemberStatus.PERMITTED),  # may leave service at any moment
        (None, True, MemberStatus.PERMITTED),  # the end of the lease does not return the permit
        (None, False, MemberStatus.SILENT),
        (Heartbeat("d0", 3, "serving"), False, MemberStatus.STALE),
        (Heartbeat("d0", 4, "starting"), False, MemberStatus.STARTING),
        (Heartbeat("d0", 4, "standby"), False, MemberStatus.STANDBY),
        (Heartbeat("d0", 4, "ending"), False, MemberStatus.ENDING),
        (Heartbeat("d0", 4, "a phase of a later version"), False, MemberStatus.ENDING),
    ],
)
def test_only_a_member_proved_to_be_serving_is_not_out(heartbeat, permitted, status):
    assert member_status(Registration("d0", 4, "z", "r"), heartbeat, permitted) is status


def test_the_newer_incarnation_holds_a_name():
    registration = Registration("d0", 4, "z", "r")
    claims = [may_claim(registration, number) for number in (3, 4, 5)]
    assert claims == [False, True, True] and may_claim(None, 1)


@pytest.mark.parametrize(
    ("limits", "out", "reason"),
    [
        (Limits(fleet=1), (), None),
        (Limits(fleet=1), ("d5",), "members out in the fleet: 1; limit: 1"),
        (Limits(zone=1), ("d4",), None),  # a zone of the same name in another region is another zone
        (Limits(zone=1), ("d2",), "members out in zone z0: 1; limit: 1"),
        (Limits(region=1), ("d5",), None),
        (Limits(region=1), ("d1",), "members out in region r0: 1; limit: 1"),
        (Limits(least_serving=5), ("d5",), "members serving: 5; minimum: 5"),
        (Limits(fleet=0), (), "members out in the fleet: 0; limit: 0"),
        (Limits(fleet=0), ("d0",), None),  # the member is out already
    ],
)
def test_limits_count_crashed_members_with_those_on_a_permit(limits, out, reason):
    assert refusal(REGISTRATIONS, statuses_with(*out), limits, "d0") == reason
    assert refusal(REGISTRATIONS, statuses_with(permits=out), limits, "d0") == reason
    assert refusal(REGISTRATIONS, statuses_with(), limits, "nobody") == "nobody is not registered"


@given(
    st.lists(st.tuples(st.sampled_from("apcb"), st.integers(0, 5)), max_size=40),
    st.integers(0, 4),
    st.integers(0, 3),
)
def test_whatever_crashes_and_returns_no_permit_takes_more_out_than_the_limit(steps, most, least):
    """Steps: a: a member asks for a permit; p: it returns the permit; c: it crashes; b: it has recovered."""
    crashed, permits = set(), set()
    for step, number in steps:
        name = f"d{number}"
        statuses = statuses_with(*crashed, permits=permits)
        if step == "a":
            out = {each for each, status in statuses.items() if status is not MemberStatus.SERVING}
            allowed = refusal(REGISTRATIONS, statuses, Limits(fleet=most, least_serving=least), name) is None
            if allowed and name not in permits:
                permits.add(name)
                assert name in out or (len(out) + 1 <= most and len(REGISTRATIONS) - len(out) - 1 >= least)
        elif step == "p":
            permits.discard(name)
        elif step == "c":
            crashed.add(name)
        else:
            crashed.discard(name)


@pytest.mark.parametrize(
    ("share", "total", "number"), [(0.5, 3, 1), (0.34, 3, 1), (0.1, 30, 3), (0, 9, 0), (1, 9, 9)]
)
def test_a_share_never_allows_more_than_it_says(share, total, number):
    assert members_in_share(share, total) == number
