"""Campaigns: runs of the test rig by seed, several at a time, and the violations found in them."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from pulleyroute.lab.fleet.checker import all_outages
from pulleyroute.lab.fleet.rig import Rig
from pulleyroute.lab.fleet.schedule import GENERATORS, Schedule
from pulleyroute.net.loop import Coroutine, Loop


@dataclass(slots=True)
class Outcome:
    """The result of one run. Its fields are the keys of the JSON object that the process of a run prints."""

    seed: int
    faults: int
    broken: list[str]  # the violations, one line each
    out: int = 0  # planned outages observed
    most_out: int = 0  # the most planned outages at the same time
    drained: int = 0  # times that an operator saw a runner as drained
    ended: str = ""  # of a release: its version and its final state
    endings: dict[str, int] = field(default_factory=dict)  # number of client requests by ending
    log: list[str] = field(default_factory=list)


def run_schedule(
    schedule: Schedule, program: list[str] | None = None, agreement: bool = True, keep: Path | None = None
) -> Outcome:
    """Run a schedule in this process.

    `keep`: a folder for the logs of all processes, which is not removed; by default a temporary one.
    """
    errors: list[str] = []
    loop = Loop(lambda name, exc: errors.append(f"error in the test rig: {name}: {exc!r}"))
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        rig = Rig(loop, schedule, folder, program, agreement)

        def run_and_stop() -> Coroutine[None]:
            try:
                yield from rig.run()
            except Exception as exc:
                errors.append(f"error in the test rig: {exc!r}")
            finally:
                loop.stop()

        try:
            loop.spawn(run_and_stop(), "run")
            loop.run()
            broken = rig.verdict() + errors
        finally:
            rig.close()
    return _outcome(rig, schedule, broken)


def _outcome(rig: Rig, schedule: Schedule, broken: list[str]) -> Outcome:
    observed = rig.observed
    planned = [outage for outage in all_outages(observed) if outage.planned]
    most_out = max(
        (sum(1 for other in planned if other.start <= outage.start <= other.end) for outage in planned),
        default=0,
    )
    endings = dict(Counter(request.ending for request in observed.requests))
    return Outcome(
        schedule.seed,
        schedule.faults,
        broken,
        len(planned),
        most_out,
        len(observed.drained),
        f"{observed.released} {observed.ended}".strip(),
        endings,
        rig.log,
    )


def run_campaign(
    kind: str, seed: int, runs: int, jobs: int, report: Callable[[Outcome], None], out: Path | None = None
) -> list[Outcome]:
    """Run `runs` seeds from `seed` on, `jobs` of them at a time, each in a process of its own."""
    pending = list(range(seed, seed + runs))
    running: list[tuple[int, subprocess.Popen[bytes]]] = []
    outcomes: list[Outcome] = []
    while pending or running:
        while pending and len(running) < jobs:
            next_seed = pending.pop(0)
            running.append(
                (
                    next_seed,
                    subprocess.Popen(
                        [
                            sys.executable,
                            "-m",
                            "pulleyroute.lab.fleet.campaign",
                            kind,
                            str(next_seed),
                            *([str(out / f"run-{next_seed}")] if out is not None else []),
                        ],
                        stdout=subprocess.PIPE,
                    ),
                )
            )
        run_seed, process = running.pop(0)
        data, _ = process.communicate()
        try:
            outcome = Outcome(**json.loads(data))
        except (ValueError, TypeError):
            outcome = Outcome(
                run_seed,
                0,
                [f"the process of the run exited with status {process.returncode}: {data[-300:]!r}"],
            )
        outcomes.append(outcome)
        report(outcome)
    return outcomes


def main() -> None:
    """Run one seed of a campaign and print its outcome as JSON.

    The arguments are the kind of the campaign, the seed, and optionally a folder for the logs.
    """
    # Exits through SystemExit, so that `run_schedule` ends the processes of the run.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    kind, seed = sys.argv[1], int(sys.argv[2])
    keep = Path(sys.argv[3]) if len(sys.argv) > 3 else None
    outcome = run_schedule(GENERATORS[kind](seed), keep=keep)
    print(json.dumps({name: getattr(outcome, name) for name in Outcome.__slots__}))


if __name__ == "__main__":
    main()
