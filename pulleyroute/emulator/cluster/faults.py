"""Faults of the simulated core, drawn from a seed and applied to a simulation.

At most one disk is lost at a time: between two losses of disks lies a calm span in which the first is made
good. All other faults may come at any time, together, and more than once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from random import Random

from pulleyroute.emulator.cluster.simulation import (
    MILLISECOND,
    SECOND,
    SYNC_US,
    USUAL_LOSS,
    Simulation,
)

CATCH_UP_US = 4_200 * MILLISECOND
MIN_FAULT_US, MAX_FAULT_US = 200 * MILLISECOND, 5 * SECOND
SLOW_SYNC_US = 300 * MILLISECOND
HIGH_LOSS = 0.2  # share of messages


class Kind(Enum):
    """What happens to a machine, to the links of one, or to all."""

    KILL = "kill"
    POWER = "power"
    WIPE = "wipe"
    REPLACE = "replace"
    FREEZE = "freeze"
    CUT = "cut"
    CUT_OUT = "cut_out"
    CUT_IN = "cut_in"
    CUT_PAIR = "cut_pair"
    SPLIT = "split"
    DISK_STALL = "disk_stall"
    DISK_SLOW = "disk_slow"
    DISK_FULL = "disk_full"
    KILL_ALL = "kill_all"
    POWER_ALL = "power_all"
    LOSS = "loss"


DISK_LOSSES = (Kind.WIPE, Kind.REPLACE)


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault. `machine`: its number among those in the system at the time; times are microseconds."""

    kind: Kind
    at: int
    lasts: int
    machine: int

    def __str__(self) -> str:
        return (
            f"{self.kind.value} of {self.machine} at {self.at / SECOND:.3f} s for {self.lasts / SECOND:.3f} s"
        )


def draw_faults(random: Random, begin: int, end: int, count: int) -> list[Fault]:
    """Return so many faults between two times, with calm before each but the first loss of a disk."""
    faults: list[Fault] = []
    calm_from, disk_lost = begin, False
    kinds = list(Kind)
    at = begin
    while len(faults) < count and at < end:
        kind = random.choice(kinds)
        lasts = random.randrange(MIN_FAULT_US, MAX_FAULT_US)
        if kind in DISK_LOSSES:
            if disk_lost:
                at = max(at, calm_from + CATCH_UP_US)
            disk_lost = True
        if at >= end:
            break
        faults.append(Fault(kind, at, lasts, random.randrange(9)))
        calm_from = max(calm_from, at + lasts)
        at += random.choice([0, 5 * MILLISECOND, random.randrange(SECOND), random.randrange(4 * SECOND)])
    return faults


class FaultInjector:
    """Applies faults to a simulation, and ends them."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._replacements = 0

    def schedule(self, faults: list[Fault]) -> None:
        """Let all faults come at their times."""
        for fault in faults:
            self._simulation.after(fault.at - self._simulation.now, partial(self._begin, fault))

    def _begin(self, fault: Fault) -> None:
        simulation = self._simulation
        present = [address for address, machine in simulation.machines.items() if not machine.removed]
        address = present[fault.machine % len(present)]
        others = [each for each in present if each != address]
        if fault.kind in (Kind.CUT, Kind.CUT_OUT, Kind.CUT_IN, Kind.CUT_PAIR, Kind.SPLIT):
            self._cut(fault, address, others)
            return
        end = self._machine_fault(fault, address, present)
        simulation.after(fault.lasts, end)

    def _cut(self, fault: Fault, address: str, others: list[str]) -> None:
        one_side = {address}
        if fault.kind is Kind.SPLIT:
            one_side.update(others[: len(others) // 2 - 1])
        elif fault.kind is Kind.CUT_PAIR:
            others = others[:1]
        outward = {(a, b) for a in one_side for b in others if b not in one_side}
        inward = {(b, a) for a, b in outward}
        cuts = {Kind.CUT_OUT: outward, Kind.CUT_IN: inward}.get(fault.kind, outward | inward)
        self._simulation.cuts |= cuts
        self._simulation.after(fault.lasts, lambda: self._simulation.cuts.difference_update(cuts))

    def _machine_fault(self, fault: Fault, address: str, present: list[str]) -> Callable[[], None]:
        """Begin a fault that is no cut, and return what ends it."""
        simulation = self._simulation
        machine = simulation.machines[address]
        if fault.kind is Kind.FREEZE:
            simulation.freeze(address)
            return lambda: simulation.thaw(address)
        if fault.kind is Kind.DISK_STALL:
            machine.disk_stalled = True
            return lambda: simulation.release_disk(machine)
        if fault.kind is Kind.DISK_SLOW:
            machine.disk_delay_us = SLOW_SYNC_US
            return lambda: setattr(machine, "disk_delay_us", SYNC_US)
        if fault.kind is Kind.DISK_FULL:
            folder = machine.folder
            folder.full = True
            return lambda: setattr(folder, "full", False)
        if fault.kind is Kind.LOSS:
            simulation.loss = HIGH_LOSS
            return lambda: setattr(simulation, "loss", USUAL_LOSS)
        if fault.kind is Kind.REPLACE:
            self._replacements += 1
            simulation.remove_machine(address)
            successor = f"10.0.1.{self._replacements}:7000"
            return lambda: simulation.add_machine(successor)
        if fault.kind is Kind.WIPE:
            simulation.wipe(address)
            return lambda: simulation.start(address)
        stopped = present if fault.kind in (Kind.KILL_ALL, Kind.POWER_ALL) else [address]
        for each in stopped:
            simulation.stop(each, power=fault.kind in (Kind.POWER, Kind.POWER_ALL))
        return partial(self._start_all, stopped)

    def _start_all(self, addresses: list[str]) -> None:
        for address in addresses:
            self._simulation.start(address)
