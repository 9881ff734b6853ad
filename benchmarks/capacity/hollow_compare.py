"""Compare the cost at rest of hollow members and real `pulleyroute serve` processes in one fleet."""

from __future__ import annotations

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from benchmarks.capacity.hollow_fleet import Fleet, Size, peer_count
from benchmarks.capacity.hollow_member import Report
from benchmarks.capacity.hollow_process import NoAnswer, Process
from benchmarks.capacity.hollow_results import Comparison, Ratio, ratio
from benchmarks.capacity.hollow_traffic import Count

WINDOWS = 3
POLL_INTERVAL_S = 0.2  # between checks whether all members know of each other
JOIN_TIMEOUT_S = 60.0  # for all members to learn of each other
SETTLE_TIME_S = 5.0


@dataclass(slots=True, frozen=True)
class _Sample:
    """Resources and traffic of one process since its start. `cpu` in seconds, `memory` in bytes."""

    cpu: float
    memory: int
    store: Count
    discovery: Count


def compare(hollow: int, real: int, window: float) -> Comparison:
    """Measure both over `WINDOWS` windows of `window` seconds; raises `NoAnswer` if a process is silent."""
    size = Size(hollow, real, instances=90)
    with tempfile.TemporaryDirectory(prefix="hollow-") as folder, Fleet(size, Path(folder)) as fleet:
        members = fleet.prepare("all")
        empty = members.usage().memory
        fleet.start_real(range(hollow, hollow + real))
        members.ask({"do": "start"})
        members.ask({"do": "expect", "serving": size.fleet, "revision": 1, "since": 0})
        _wait_for_members(members)
        time.sleep(SETTLE_TIME_S)
        samples = [_sample(fleet, members)]
        started = [time.monotonic()]
        for _ in range(WINDOWS):
            time.sleep(window)
            started.append(time.monotonic())
            samples.append(_sample(fleet, members))
    return _compare_samples(size, samples, started, empty, window)


def _wait_for_members(members: Process) -> None:
    until = time.monotonic() + JOIN_TIMEOUT_S
    while members.ask({"do": "look"})["waiting"]:
        if time.monotonic() > until:
            raise NoAnswer(f"hollow and real members did not come together in {JOIN_TIMEOUT_S:.0f} s")
        time.sleep(POLL_INTERVAL_S)


def _sample(fleet: Fleet, members: Process) -> list[_Sample]:
    """Return the sample of the hollow members' process, followed by those of the real ones."""
    used = members.usage()
    report = Report(**members.ask({"do": "report"}))
    samples = [
        _Sample(
            used.cpu,
            used.memory,
            peer_count(report.traffic, fleet.store_port),
            peer_count(report.traffic, fleet.discovery_port),
        )
    ]
    for process in fleet.real:
        used = process.usage()
        samples.append(
            _Sample(
                used.cpu,
                used.memory,
                fleet.real_count(process, fleet.store_port),
                fleet.real_count(process, fleet.discovery_port),
            )
        )
    return samples


def _compare_samples(
    size: Size, samples: list[list[_Sample]], started: list[float], empty: int, window: float
) -> Comparison:
    last = samples[-1]

    def by_window(value: str) -> Ratio:
        hollow, real = [], []
        for number in range(len(samples) - 1):
            seconds = started[number + 1] - started[number]
            spent = [
                (_value(after, value) - _value(before, value)) / seconds
                for before, after in zip(samples[number], samples[number + 1], strict=True)
            ]
            hollow.append(spent[0] / size.members)
            real.append(spent[1:])
        return ratio(hollow, real)

    return Comparison(
        hollow=size.members,
        real=size.recorded,
        window=window,
        cpu=by_window("cpu"),
        calls=by_window("calls"),
        store_bytes=by_window("store_bytes"),
        discovery_bytes=by_window("discovery_bytes"),
        hollow_memory=(last[0].memory - empty) / size.members,
        real_memory=sum(each.memory for each in last[1:]) / size.recorded,
    )


def _value(sample: _Sample, name: str) -> float:
    if name == "cpu":
        return sample.cpu
    if name == "calls":
        return sample.store.connections
    count = sample.store if name == "store_bytes" else sample.discovery
    return count.sent + count.received
