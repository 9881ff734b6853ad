"""The rig's judge: it tells each broken promise, and takes in the program's favour what nobody saw."""

import pytest

from pulleyroute.lab.fleet.checker import Asked, Limits, Look, Saw, judge
from pulleyroute.lab.fleet.schedule import FleetSpec, draw

MS, SECOND = 1000, 1_000_000
LIMITS = Limits(2, 1, {0: "z0", 1: "z1", 2: "z2", 3: "z0"}, 2 * SECOND, 75)


def looks(*spans, until=30 * SECOND, every=50 * MS):
    """Looks at a member that is not ready within these spans."""
    return [
        Look(at, at + MS, not any(start <= at < end for start, end in spans)) for at in range(0, until, every)
    ]


def saw(**out):
    return Saw(looks={member: looks(*out.get(f"m{member}", ())) for member in range(4)})


def broken(seen):
    return judge(seen, LIMITS, {"charge"})


def test_so_many_planned_out_as_may_be_break_nothing():
    assert not broken(saw(m0=[(5 * SECOND, 9 * SECOND)], m1=[(6 * SECOND, 8 * SECOND)]))


def test_one_more_breaks_the_fleets_limit_and_two_of_a_zone_its_zones():
    out = [(5 * SECOND, 9 * SECOND)]
    assert "in the fleet, where 2 may be" in broken(saw(m0=out, m1=out, m2=out))[0]
    assert "in z0, where 1 may be" in broken(saw(m0=out, m3=out))[0]


def test_a_crash_counts_once_its_lease_is_over_and_not_before():
    seen = saw(m0=[(2 * SECOND, 20 * SECOND)], m1=[(4 * SECOND, 20 * SECOND)], m2=[(5 * SECOND, 6 * SECOND)])
    seen.hurt = {0: [2 * SECOND], 1: [4 * SECOND]}
    assert not broken(seen)
    seen.looks[2] = looks((15 * SECOND, 16 * SECOND))
    assert broken(seen)
    seen.store = [(3 * SECOND, 13 * SECOND)]  # which put the end of the leases off
    assert not broken(seen)


def test_what_was_hurt_from_outside_is_not_planned():
    seen = saw(m0=[(5 * SECOND, 9 * SECOND)], m1=[(5 * SECOND, 9 * SECOND)], m2=[(5 * SECOND, 9 * SECOND)])
    seen.hurt = {2: [5 * SECOND - 10 * MS]}
    assert not broken(seen)


def test_a_gap_between_two_looks_proves_nothing():
    out = [(5 * SECOND, 9 * SECOND)]
    seen = saw(m0=out, m1=out, m2=[(5 * SECOND, 5200 * MS)])
    seen.looks[2] = [look for look in seen.looks[2] if look.ready or look.asked < 5 * SECOND + 10 * MS]
    assert not broken(seen)  # one look alone: nothing lasted


@pytest.mark.parametrize(("kind", "count"), [("charge", 1), ("look", 0)])
def test_what_ran_twice_is_told_where_its_class_forbids_it(kind, count):
    seen = saw()
    seen.starts = [(1, "t1", kind, "r0"), (2, "t1", kind, "r1")]
    assert len(broken(seen)) == count


def test_a_lost_job_is_told_unless_something_outside_explains_it():
    seen = saw()
    seen.requests = [Asked("t1", "charge", 1, 10 * SECOND, 11 * SECOND, "lost")]
    assert "t1 to member 1" in broken(seen)[0]
    seen.hurt = {1: [10 * SECOND + MS]}
    assert not broken(seen)
    seen.hurt, seen.stopped = {}, {1: [(9 * SECOND, 10 * SECOND + MS)]}
    assert not broken(seen)


def test_a_crash_of_its_own_and_who_never_comes_back_are_told():
    seen = saw()
    seen.exits = [(0, 1, False), (1, 75, False), (2, -9, True)]
    seen.left_out = [3]
    assert broken(seen) == ["member 0 ended with status 1", "member 3 was left out for ever"]


def test_a_schedule_is_the_same_from_its_seed_and_has_faults():
    first = draw(7)
    assert first == draw(7) and first != draw(8) and first.faults > 0
    assert all(
        0 <= deed.who < FleetSpec().members or deed.what.startswith("store-") for deed in first.operations
    )
