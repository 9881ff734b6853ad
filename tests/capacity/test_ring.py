"""The ring of positions: bounds on the owners of a part for any set of present positions."""

from hypothesis import given
from hypothesis import strategies as st

from benchmarks.capacity.ring import Ring, lognormal_rates, part_loads, parts_by_position, random_owner_counts

RING = Ring(positions=40, replicas=8, min_replicas=5)
ALL = set(range(40))


def test_with_all_present_every_part_has_eight_owners_and_every_position_eight_parts() -> None:
    owners = RING.owners(ALL)
    assert {len(positions) for positions in owners} == {8}
    assert {len(parts) for parts in parts_by_position(owners).values()} == {8}


@given(st.sets(st.integers(0, 39), min_size=1))
def test_every_part_has_the_minimum_of_owners_if_enough_are_present(present: set[int]) -> None:
    for positions in RING.owners(present):
        assert min(RING.min_replicas, len(present)) <= len(positions) <= RING.replicas
        assert len(set(positions)) == len(positions) and set(positions) <= present


@given(st.integers(0, 39))
def test_a_position_that_leaves_changes_no_other_subset(gone: int) -> None:
    before, after = parts_by_position(RING.owners(ALL)), parts_by_position(RING.owners(ALL - {gone}))
    assert all(after[position] == before[position] for position in ALL - {gone})


def test_the_loads_of_all_parts_add_up_to_the_rates_of_all_dispatchers() -> None:
    present = ALL - {3, 4, 17}
    rates = lognormal_rates(present, seed=1, sigma=0.5)
    assert abs(sum(part_loads(RING.owners(present), rates)) - sum(rates.values())) < 1e-9


def test_random_subsets_leave_some_destination_without_an_owner() -> None:
    counts = random_owner_counts(destinations=20_000, dispatchers=40, size=2_000, seed=1)
    assert counts.sum() == 40 * 2_000 and counts.min() == 0
