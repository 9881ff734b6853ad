"""One run of a hollow fleet: all members start at once, rest, lose a zone, and get it back."""

from __future__ import annotations

import os
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path

from benchmarks.capacity.hollow_fleet import Fleet, Size, peer_count
from benchmarks.capacity.hollow_member import Report
from benchmarks.capacity.hollow_process import NoAnswer, Usage, monotonic_us
from benchmarks.capacity.hollow_results import FleetRun, Quantiles, RestCost, Stage, quantiles
from benchmarks.capacity.hollow_traffic import Count

POLL_INTERVAL_S = 0.2  # between checks whether all members know
MEMORY_SHARE = 0.5  # of the machine's memory, for all processes of a run
# The stages in their order, each with the times of a `Report` that it measures.
STAGE_TIMES: dict[str, tuple[str, ...]] = {
    "start": ("listed", "registered", "fleet_known"),
    "rest": (),
    "zone lost": ("list_known", "fleet_known"),
    "zone back": ("list_known", "fleet_known"),
}


class StageFailed(Exception):
    """A stage did not complete; the text says what was missing."""


@dataclass(slots=True, frozen=True)
class Times:
    """Seconds: the time-out of each stage, the pause before the window at rest, and the window.

    A window is a multiple of 10 s, after which an agent reopens a watch without events (`fleet/agent.py`,
    WATCH_TIMEOUT_US).
    """

    timeout: float = 40.0
    settle: float = 5.0
    window: float = 20.0


QUICK = Times(timeout=20.0, settle=1.0, window=10.0)


@dataclass(slots=True, frozen=True)
class _Baseline:
    """Resources and traffic up to a time, from which a stage is measured."""

    time_us: int
    usages: dict[str, Usage]
    calls: int
    store: Count
    discovery: Count
    errors: Counter[str]


class _FleetRunner:
    """Runs the stages and stores their measurements."""

    def __init__(self, fleet: Fleet, times: Times, result: FleetRun) -> None:
        self._fleet, self._times, self._result = fleet, times, result
        self._size = fleet.size

    def run(self) -> None:
        """Run all stages in order; raises `StageFailed` or `NoAnswer` at the first that fails."""
        fleet = self._fleet
        if self._size.recorded:
            fleet.record_members()
        if self._size.watched:
            fleet.open_watches()
        fleet.prepare_all()
        empty = {process.name: process.usage().memory for process in fleet.members}
        self._start()
        self._measure_rest(empty)
        if fleet.last_zone is None:
            return
        self._lose_zone()
        self._return_zone()

    # Stages

    def _start(self) -> None:
        baseline = self._take_baseline()
        for process in self._fleet.members:
            process.send({"do": "start"})
            process.send(
                {"do": "expect", "serving": self._size.fleet, "revision": 1, "since": baseline.time_us}
            )
        for process in self._fleet.members:
            process.read()
            process.read()
        self._finish("start", baseline, self._wait_for_members(), self._size.members)

    def _measure_rest(self, empty: dict[str, int]) -> None:
        time.sleep(self._times.settle)
        baseline = self._take_baseline()
        time.sleep(self._times.window)
        stage = self._finish("rest", baseline, True, self._size.members)
        members, seconds = stage.members, stage.seconds
        member_cpu = sum(stage.cpu[process.name] for process in self._fleet.members)
        memory = sum(stage.memory[name] - before for name, before in empty.items())
        store = stage.store.sent + stage.store.received
        self._result.rest = RestCost(
            window=seconds,
            calls=stage.calls / members / seconds,
            store_bytes=store / members / seconds,
            discovery_bytes=(stage.discovery.sent + stage.discovery.received) / members / seconds,
            member_cpu=member_cpu / members / seconds,
            member_memory=memory / members,
            store_calls=stage.calls / seconds,
            store_total_bytes=store / seconds,
            store_cpu=stage.cpu["store"] / seconds,
            store_memory=stage.memory["store"],
            range_bytes=self._fleet.range_bytes(),
        )
        if stage.without_record or stage.least_serving < self._size.fleet:
            raise StageFailed(
                f"at rest members lost their leases: {stage.without_record} without a record, "
                f"{stage.least_serving} known to serve of {self._size.fleet}"
            )

    def _lose_zone(self) -> None:
        fleet = self._fleet
        left = self._size.members - self._size.live_in_last_zone
        lost_at = monotonic_us()
        fleet.lose_zone()
        baseline = replace(self._take_baseline(), time_us=lost_at)
        revision = fleet.change_instances("left")
        serving = self._size.fleet - self._size.in_last_zone
        for process in fleet.members:
            process.ask({"do": "expect", "serving": serving, "revision": revision, "since": baseline.time_us})
        self._finish("zone lost", baseline, self._wait_for_members(), left)

    def _return_zone(self) -> None:
        fleet = self._fleet
        fleet.last_zone = fleet.prepare("last")
        baseline = self._take_baseline()
        fleet.last_zone.send({"do": "start"})
        fleet.record_zone(self._size.zones - 1)
        revision = fleet.change_instances("active")
        expected = {
            "do": "expect",
            "serving": self._size.fleet,
            "revision": revision,
            "since": baseline.time_us,
        }
        for process in self._fleet.members:
            process.send(expected)
        fleet.last_zone.read()
        for process in self._fleet.members:
            process.read()
        self._finish("zone back", baseline, self._wait_for_members(), self._size.members)

    # Measuring

    def _wait_for_members(self) -> bool:
        until = time.monotonic() + self._times.timeout
        while time.monotonic() < until:
            if not any(process.ask({"do": "look"})["waiting"] for process in self._fleet.members):
                return True
            _check_memory(self._fleet)
            time.sleep(POLL_INTERVAL_S)
        return False

    def _reports(self) -> list[Report]:
        return [Report(**process.ask({"do": "report"})) for process in self._fleet.members]

    def _take_baseline(self) -> _Baseline:
        reports = self._reports()
        calls, store, discovery = self._exchanged(reports)
        return _Baseline(monotonic_us(), self._fleet.usages(), calls, store, discovery, _errors(reports))

    def _exchanged(self, reports: list[Report]) -> tuple[int, Count, Count]:
        fleet = self._fleet
        store, discovery = Count(), Count()
        for report in reports:
            store += peer_count(report.traffic, fleet.store_port)
            discovery += peer_count(report.traffic, fleet.discovery_port)
        return sum(report.calls for report in reports), store, discovery

    def _finish(self, name: str, baseline: _Baseline, complete: bool, members: int) -> Stage:
        """Take the measurements of a stage; raises `StageFailed` if it did not complete."""
        after = self._fleet.usages()
        ended = monotonic_us()
        reports = self._reports()
        calls, store, discovery = self._exchanged(reports)
        stage = Stage(
            name=name,
            complete=complete,
            seconds=(ended - baseline.time_us) / 1e6,
            members=members,
            calls=calls - baseline.calls,
            store=store - baseline.store,
            discovery=discovery - baseline.discovery,
            cpu={key: used.cpu - _before(baseline, key) for key, used in after.items()},
            memory={key: used.memory for key, used in after.items()},
            times=_times(reports, members, STAGE_TIMES[name]),
            least_serving=min(report.least_serving for report in reports),
            most_serving=max(report.most_serving for report in reports),
            without_record=sum(report.without_record for report in reports),
            longest_turn=max(report.longest_turn for report in reports) / 1e6,
            errors=dict(_errors(reports) - baseline.errors),
        )
        self._result.stages.append(stage)
        if not complete:
            raise StageFailed(_missing(stage, self._times.timeout))
        return stage


def _errors(reports: list[Report]) -> Counter[str]:
    """Return how often members have logged each error."""
    totals: Counter[str] = Counter()
    for report in reports:
        totals.update(report.errors)
    return totals


def _before(baseline: _Baseline, name: str) -> float:
    used = baseline.usages.get(name)
    return used.cpu if used is not None else 0.0


def _times(reports: list[Report], members: int, names: tuple[str, ...]) -> dict[str, Quantiles]:
    return {
        name: quantiles([each for report in reports for each in getattr(report, name)], members)
        for name in names
    }


def _missing(stage: Stage, timeout: float) -> str:
    counts = ", ".join(f"{name} {each.count}" for name, each in stage.times.items())
    busy = ", ".join(f"{name} {spent / stage.seconds:.2f}" for name, spent in stage.cpu.items())
    return f"{stage.name}: not within {timeout:.0f} s; of {stage.members}: {counts}; cores used: {busy}"


def _check_memory(fleet: Fleet) -> None:
    """Raise `StageFailed` if the run exceeds its share of memory, before the machine runs out."""
    used_memory = sum(used.memory for used in fleet.usages().values())
    limit = MEMORY_SHARE * os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    if used_memory > limit:
        raise StageFailed(f"the play holds {used_memory / 2**20:.0f} MB of {limit / 2**20:.0f}")


def run_fleet(size: Size, times: Times) -> FleetRun:
    """Run all stages at one size; a failure is part of the result and not raised."""
    result = FleetRun(size.members, size.recorded, size.instances, size.watched)
    with tempfile.TemporaryDirectory(prefix="hollow-") as folder, Fleet(size, Path(folder)) as fleet:
        try:
            _FleetRunner(fleet, times, result).run()
            if fleet.watches is not None:
                result.watches_lost = int(fleet.watches.ask({})["lost"])
        except (StageFailed, NoAnswer, OSError) as exc:
            result.ended_by = str(exc)
    result.load = os.getloadavg()[0]
    done = {stage.name for stage in result.stages}
    result.not_run = [
        name for name in STAGE_TIMES if name not in done and not (size.zones < 2 and "zone" in name)
    ]
    return result
