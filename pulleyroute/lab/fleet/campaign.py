"""Runs of the rig by seed, one after another or several side by side, and what broke in them."""

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

from pulleyroute.lab.fleet.checker import every_outage
from pulleyroute.lab.fleet.rig import Rig
from pulleyroute.lab.fleet.schedule import GENERATORS, Schedule
from pulleyroute.net.loop import Coroutine, Loop


@dataclass(slots=True)
class Outcome:
    """What became of one run. `out`: planned ways out that were seen; `endings`: of the clients' requests."""

    seed: int
    faults: int
    broken: list[str]
    out: int = 0
    most_out: int = 0
    drained: int = 0  # times that an operator was told that a runner is drained
    ended: str = ""  # of a release: its version and how it ended
    endings: dict[str, int] = field(default_factory=dict)
    log: list[str] = field(default_factory=list)


def run_schedule(
    schedule: Schedule, program: list[str] | None = None, agreement: bool = True, keep: Path | None = None
) -> Outcome:
    """One run in this process. `keep`: a folder that stays, with the logs of all processes."""
    errors: list[str] = []
    loop = Loop(lambda name, exc: errors.append(f"the rig itself: {name}: {exc!r}"))
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        rig = Rig(loop, schedule, folder, program, agreement)

        def whole() -> Coroutine[None]:
            try:
                yield from rig.run()
            except Exception as exc:
                errors.append(f"the rig itself: {exc!r}")
            finally:
                loop.stop()

        try:
            loop.spawn(whole(), "run")
            loop.run()
            broken = rig.verdict() + errors
        finally:
            rig.close()
    return _outcome(rig, schedule, broken)


def _outcome(rig: Rig, schedule: Schedule, broken: list[str]) -> Outcome:
    saw = rig.saw
    planned = [each for each in every_outage(saw) if each.planned]
    most = max(
        (sum(1 for other in planned if other.start <= each.start <= other.end) for each in planned), default=0
    )
    endings = dict(Counter(request.ending for request in saw.requests))
    return Outcome(
        schedule.seed,
        schedule.faults,
        broken,
        len(planned),
        most,
        len(saw.drained),
        f"{saw.released} {saw.ended}".strip(),
        endings,
        rig.log,
    )


def run_campaign(
    kind: str, seed: int, runs: int, jobs: int, tell: Callable[[Outcome], None], out: Path | None = None
) -> list[Outcome]:
    """So many runs from a seed on, `jobs` of them side by side, each in a process of its own."""
    waiting = list(range(seed, seed + runs))
    going: list[tuple[int, subprocess.Popen[bytes]]] = []
    ended: list[Outcome] = []
    while waiting or going:
        while waiting and len(going) < jobs:
            each = waiting.pop(0)
            going.append(
                (
                    each,
                    subprocess.Popen(
                        [
                            sys.executable,
                            "-m",
                            "pulleyroute.lab.fleet.campaign",
                            kind,
                            str(each),
                            *([str(out / f"run-{each}")] if out is not None else []),
                        ],
                        stdout=subprocess.PIPE,
                    ),
                )
            )
        number, process = going.pop(0)
        data, _ = process.communicate()
        try:
            outcome = Outcome(**json.loads(data))
        except (ValueError, TypeError):
            outcome = Outcome(number, 0, [f"the run ended with {process.returncode}: {data[-300:]!r}"])
        ended.append(outcome)
        tell(outcome)
    return ended


def main() -> None:
    # Guards the machine: a run that is told to end takes its processes with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    kind, seed = sys.argv[1], int(sys.argv[2])
    keep = Path(sys.argv[3]) if len(sys.argv) > 3 else None
    outcome = run_schedule(GENERATORS[kind](seed), keep=keep)
    print(json.dumps({name: getattr(outcome, name) for name in Outcome.__slots__}))


if __name__ == "__main__":
    main()
