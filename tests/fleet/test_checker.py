"""The checker of the test rig reports each violation, and none where the observations prove nothing."""

import pytest

from pulleyroute.lab.fleet.checker import ClientRequest, Limits, Observations, ReadinessProbe, check
from pulleyroute.lab.fleet.schedule import FleetSpec, draw_drains

MS, SECOND = 1000, 1_000_000
LIMITS = Limits(2, 1, {0: "z0", 1: "z1", 2: "z2", 3: "z0"}, 2 * SECOND, 75)


def probes(*outages, until=30 * SECOND, interval=50 * MS):
    """Return the probes of a member that is not ready during these outages."""
    return [
        ReadinessProbe(at, at + MS, not any(start <= at < end for start, end in outages))
        for at in range(0, until, interval)
    ]


def observe(**outages):
    """Return the observations of four members, with the outages `m0` to `m3`."""
    return Observations(probes={member: probes(*outages.get(f"m{member}", ())) for member in range(4)})


def violations(observed):
    return check(observed, LIMITS, {"charge"})


def test_planned_outages_up_to_the_limits_are_no_violation():
    assert not violations(observe(m0=[(5 * SECOND, 9 * SECOND)], m1=[(6 * SECOND, 8 * SECOND)]))


def test_one_outage_too_many_exceeds_the_limit_of_the_fleet_or_of_the_zone():
    out = [(5 * SECOND, 9 * SECOND)]
    assert "in the fleet, whose limit is 2" in violations(observe(m0=out, m1=out, m2=out))[0]
    assert "in z0, whose limit is 1" in violations(observe(m0=out, m3=out))[0]


def test_a_crashed_member_counts_once_its_lease_has_ended_and_not_before():
    observed = observe(
        m0=[(2 * SECOND, 20 * SECOND)], m1=[(4 * SECOND, 20 * SECOND)], m2=[(5 * SECOND, 6 * SECOND)]
    )
    observed.disturbed = {0: [2 * SECOND], 1: [4 * SECOND]}
    assert not violations(observed)
    observed.probes[2] = probes((15 * SECOND, 16 * SECOND))
    assert violations(observed)
    observed.store_faults = [(3 * SECOND, 13 * SECOND)]  # delays the end of the leases
    assert not violations(observed)


def test_an_outage_that_a_fault_explains_is_not_planned():
    observed = observe(
        m0=[(5 * SECOND, 9 * SECOND)], m1=[(5 * SECOND, 9 * SECOND)], m2=[(5 * SECOND, 9 * SECOND)]
    )
    observed.disturbed = {2: [5 * SECOND - 10 * MS]}
    assert not violations(observed)


def test_a_gap_between_two_probes_proves_no_outage():
    out = [(5 * SECOND, 9 * SECOND)]
    observed = observe(m0=out, m1=out, m2=[(5 * SECOND, 5200 * MS)])
    observed.probes[2] = [
        probe for probe in observed.probes[2] if probe.ready or probe.sent_at < 5 * SECOND + 10 * MS
    ]
    assert not violations(observed)  # a single probe shows no duration


@pytest.mark.parametrize(("kind", "count"), [("charge", 1), ("look", 0)])
def test_a_job_that_ran_twice_is_reported_if_its_class_forbids_it(kind, count):
    observed = observe()
    observed.starts = [(1, "t1", kind, "r0"), (2, "t1", kind, "r1")]
    assert len(violations(observed)) == count


def test_a_lost_job_is_reported_unless_a_fault_explains_it():
    observed = observe()
    observed.requests = [ClientRequest("t1", "charge", 1, 10 * SECOND, 11 * SECOND, "lost")]
    assert "t1 to member 1" in violations(observed)[0]
    observed.disturbed = {1: [10 * SECOND + MS]}
    assert not violations(observed)
    observed.disturbed, observed.stopped = {}, {1: [(9 * SECOND, 10 * SECOND + MS)]}
    assert not violations(observed)


def test_an_unexplained_crash_and_a_member_that_does_not_return_are_reported():
    observed = observe()
    observed.exits = [(0, 1, False), (1, 75, False), (2, -9, True)]
    observed.left_out = [3]
    assert violations(observed) == [
        "member 0 ended with status 1",
        "member 3 did not return after the last fault",
    ]


def test_a_seed_draws_the_same_schedule_each_time_with_faults():
    first = draw_drains(7)
    assert first == draw_drains(7) and first != draw_drains(8) and first.faults > 0
    assert all(
        0 <= operation.target < FleetSpec().members or operation.kind.startswith("store-")
        for operation in first.operations
    )
