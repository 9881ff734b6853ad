"""Runs of the simulated core under drawn faults, judged; a broken run is shrunk to the faults it needs."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from random import Random

from pulleyroute.control.member import Member
from pulleyroute.control.storage import RecordStorage
from pulleyroute.emulator.cluster.faults import Fault, FaultInjector, draw_faults
from pulleyroute.emulator.cluster.judge import broken_rules
from pulleyroute.emulator.cluster.operators import OK, Operation, Operator
from pulleyroute.emulator.cluster.simulation import (
    SECOND,
    MemberFactory,
    Simulation,
    StorageFactory,
)

SETTLING_US = 6 * SECOND  # before the first fault
FAULTS_US = 24 * SECOND
RECOVERY_US = 12 * SECOND  # after the last fault, until the last reads and orders
LAST_CALLS_US = 8 * SECOND
MACHINE_COUNTS = (3, 3, 5)
MAX_FAULTS = 9
OPERATORS = 4


@dataclass(slots=True)
class Run:
    """A run that has ended. `broken`: one line for each rule; `history`: what the callers saw."""

    seed: int
    faults: list[Fault]
    broken: list[str] = field(default_factory=list)
    history: list[Operation] = field(default_factory=list)

    @property
    def acknowledged(self) -> int:
        """The number of orders that were acknowledged."""
        return sum(1 for each in self.history if each.kind == "order" and OK in each.statuses)

    @property
    def reads(self) -> int:
        """The number of reads that were answered."""
        return sum(1 for each in self.history if each.kind == "read" and each.ended_at is not None)


def draw(seed: int) -> tuple[int, list[Fault]]:
    """Return the number of machines and the faults of a seed."""
    random = Random(f"faults {seed}")
    machines = random.choice(MACHINE_COUNTS)
    count = random.randrange(1, MAX_FAULTS + 1)
    return machines, draw_faults(random, SETTLING_US, SETTLING_US + FAULTS_US, count)


def run(
    seed: int,
    faults: list[Fault] | None = None,
    member_factory: MemberFactory = Member,
    storage_factory: StorageFactory = RecordStorage,
    simulation_type: type[Simulation] = Simulation,
) -> Run:
    """Play a seed, with other faults if they are given, and judge it."""
    machines, drawn = draw(seed)
    result = Run(seed, drawn if faults is None else faults)
    tolerate = (machines - 1) // 2
    simulation = simulation_type(seed, machines, tolerate, member_factory, storage_factory)
    operators = [Operator(simulation, number, result.history) for number in range(OPERATORS)]
    for operator in operators:
        operator.lost_answers = simulation.random.choice([0.0, 0.0, 0.3])
        operator.begin()
    FaultInjector(simulation).schedule(result.faults)
    last_fault = max((fault.at + fault.lasts for fault in result.faults), default=SETTLING_US)
    simulation.run_until(last_fault + RECOVERY_US)
    for operator in operators:
        operator.stopped = True
        operator.lost_answers = 0.0
    began = simulation.now
    last = [operators[0].read(), operators[1].order(), operators[2].read()]
    simulation.run_until(began + LAST_CALLS_US)
    result.broken = broken_rules(result.history)
    for operation in last:
        if operation.ended_at is None:
            result.broken.append(f"the last {operation.kind} got no clear answer after the recovery")
    return result


def run_campaign(seed: int, runs: int, jobs: int) -> Iterator[Run]:
    """Play the seeds from `seed` on, so many at a time, and yield each run in their order."""
    seeds = range(seed, seed + runs)
    if jobs == 1:
        yield from map(run, seeds)
        return
    with ProcessPoolExecutor(jobs) as executor:
        yield from executor.map(run, seeds, chunksize=4)


def shrink(
    broken: Run,
    member_factory: MemberFactory = Member,
    storage_factory: StorageFactory = RecordStorage,
) -> Run:
    """Return a broken run of the same seed with as few of its faults as break it."""
    smallest = broken
    for fault in broken.faults:
        fewer = [each for each in smallest.faults if each is not fault]
        again = run(broken.seed, fewer, member_factory, storage_factory)
        if again.broken:
            smallest = again
    return smallest
