"""How long the simulated core takes to acknowledge after a cut, and a member to catch up after a loss.

Times are those of the simulated network and disks, not of a machine. `python -m benchmarks.core_recovery`.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable

from pulleyroute.control.member import Member, Output
from pulleyroute.control.messages import CallAnswer
from pulleyroute.emulator.cluster.operators import configuration
from pulleyroute.emulator.cluster.simulation import MILLISECOND, SECOND, Simulation

SETTLING_US = 6 * SECOND
LIMIT_US = 20 * SECOND
RETRY_US = 50 * MILLISECOND
STEP_US = 10 * MILLISECOND
POSITIONS = ("head", "middle", "tail")
CHANGES = 500
CHANGES_BETWEEN_LOSSES = 20
DOWN_US = 500 * MILLISECOND
CATCH_UP_US = 4_200 * MILLISECOND


def order_until_taken(simulation: Simulation, address: str, base: int, version: int) -> Callable[[], bool]:
    """Order a version at a machine until it is acknowledged; return a function that tells whether it is."""
    taken: list[int] = []
    document = configuration(version, version)

    def make(member: Member, call: str) -> Output:
        return member.order(call, base, document, simulation.now)

    def on_answer(answer: CallAnswer) -> None:
        if answer.status == 200:
            taken.append(simulation.now)
        elif not taken:
            simulation.after(RETRY_US, attempt)

    def attempt() -> None:
        simulation.call(address, make, on_answer)

    attempt()
    return lambda: bool(taken)


def wait_until(simulation: Simulation, condition: Callable[[], bool]) -> int:
    """Run until a condition holds, at most for the limit; return how long that took in microseconds."""
    began = simulation.now
    while not condition() and simulation.now - began < LIMIT_US:
        simulation.run_until(simulation.now + STEP_US)
    return simulation.now - began


def time_after_cut(seed: int, position: int) -> int:
    """Return the time from the cut of a member of the chain to the next acknowledgement, in microseconds."""
    simulation = Simulation(seed)
    simulation.run_until(SETTLING_US)
    member = next(iter(simulation.machines.values())).member
    assert member is not None
    victim = member.view.address(member.view.chain[position]) or ""
    others = [address for address in simulation.machines if address != victim]
    simulation.cuts |= {(victim, other) for other in others} | {(other, victim) for other in others}
    return wait_until(simulation, order_until_taken(simulation, others[0], 0, 1))


def catch_up_times(seed: int) -> tuple[list[int], list[int]]:
    """Return the catch-up times of members that were killed or wiped, and the bytes on each disk."""
    simulation = Simulation(seed)
    simulation.run_until(SETTLING_US)
    addresses = list(simulation.machines)
    times: list[int] = []
    for version in range(1, CHANGES + 1):
        lost = simulation.random.choice(addresses)
        other = next(address for address in addresses if address != lost)
        is_acknowledged = order_until_taken(simulation, other, version - 1, version)
        if version % CHANGES_BETWEEN_LOSSES == 0:
            (simulation.wipe if simulation.random.random() < 0.5 else simulation.stop)(lost)
            simulation.run_until(simulation.now + DOWN_US)
            wait_until(simulation, is_acknowledged)
            simulation.start(lost)
            times.append(wait_until(simulation, lambda at=lost, newest=version: _has(simulation, at, newest)))
            simulation.run_until(simulation.now + CATCH_UP_US)
        wait_until(simulation, is_acknowledged)
    folders = [machine.folder for machine in simulation.machines.values()]
    return times, [sum(len(folder.read(name)) for name in folder.names()) for folder in folders]


def _has(simulation: Simulation, address: str, version: int) -> bool:
    """Whether a member takes part in the newest view with this version or a newer one."""
    member = simulation.machines[address].member
    return member is not None and member.is_active and member.record.register.version >= version


def percentile(times: list[int], share: float) -> float:
    """Return a percentile in seconds."""
    return sorted(times)[min(len(times) - 1, int(share * len(times)))] / SECOND


def main() -> None:
    """Print both tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1000)
    parser.add_argument("--runs", type=int, default=200)
    options = parser.parse_args()
    print("| cut off | p50 s | p99 s | most s |\n| --- | --- | --- | --- |")
    for position, name in enumerate(POSITIONS):
        times = [time_after_cut(options.seed + run, position) for run in range(options.runs)]
        figures = [percentile(times, share) for share in (0.5, 0.99, 1.0)]
        print(f"| {name} | " + " | ".join(f"{figure:.2f}" for figure in figures) + " |")
    times, sizes = catch_up_times(options.seed)
    middle, most = percentile(times, 0.5), percentile(times, 1.0)
    print(f"{CHANGES} changes, {len(times)} losses: caught up after p50 {middle:.2f} s, most {most:.2f} s")
    print(f"bytes on the disks: {sizes}")


if __name__ == "__main__":
    main()
