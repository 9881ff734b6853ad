"""The `pulleyroute campaign` commands."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

HELP = "Inject schedules of faults into a fleet of real processes on this machine, and check it from outside."
app = typer.Typer(help=HELP, no_args_is_help=True)


Seed = Annotated[int, typer.Option(min=0, help="Seed of the first run; each further run adds 1.")]
Runs = Annotated[int, typer.Option(min=1, max=100_000)]
Jobs = Annotated[int, typer.Option(min=1, max=64, help="Runs at the same time.")]
Out = Annotated[Path | None, typer.Option(help="Keep the logs of all processes in this folder.")]


def _run_campaign(kind: str, seed: int, runs: int, jobs: int, out: Path | None) -> None:
    from pulleyroute.lab.fleet.campaign import Outcome, run_campaign
    from pulleyroute.lab.fleet.schedule import GENERATORS

    def print_outcome(outcome: Outcome) -> None:
        endings_text = ", ".join(f"{count} {ending}" for ending, count in sorted(outcome.endings.items()))
        release = f" release {outcome.ended};" if outcome.ended else ""
        print(
            f"seed {outcome.seed}: faults {outcome.faults}, planned out {outcome.out}, most at once "
            f"{outcome.most_out}, runners drained {outcome.drained};{release} {endings_text}; "
            f"broken {len(outcome.broken)}",
            flush=True,
        )
        if outcome.broken:
            for line in [
                *outcome.broken,
                "scheduled actions:",
                *map(str, GENERATORS[kind](outcome.seed).operations),
                "observed:",
                *outcome.log,
            ]:
                print(f"  {line}")
            print(
                f"  repeat with: pulleyroute campaign {kind} --seed {outcome.seed} --runs 1 --out FOLDER",
                flush=True,
            )

    ended = run_campaign(kind, seed, runs, jobs, print_outcome, out)
    broken = sum(1 for outcome in ended if outcome.broken)
    print(f"campaign {kind}: runs {len(ended)}, faults {sum(each.faults for each in ended)}, broken {broken}")
    if broken:
        sys.exit(1)


@app.command(epilog="Example:\n\n`pulleyroute campaign drains --seed 1 --runs 4 --out /tmp/drains`")
def drains(seed: Seed = 1, runs: Runs = 1, jobs: Jobs = 1, out: Out = None) -> None:
    """Drain and restart dispatchers, and drain runners, during faults of all of them and of the store.

    Exit status 1 if any rule was broken. A run takes about half a minute.
    """
    _run_campaign("drains", seed, runs, jobs, out)


@app.command(epilog="Example:\n\n`pulleyroute campaign releases --seed 1 --runs 4 --jobs 4`")
def releases(seed: Seed = 1, runs: Runs = 1, jobs: Jobs = 1, out: Out = None) -> None:
    """Release good and bad versions during faults of the members and the store.

    Exit status 1 if any rule was broken. A run takes about a minute.
    """
    _run_campaign("releases", seed, runs, jobs, out)


@app.command(epilog="Example:\n\n`pulleyroute campaign control --seed 1 --runs 2000 --jobs 4`")
def control(seed: Seed = 1, runs: Runs = 1, jobs: Jobs = 1) -> None:
    """Simulate the core members under faults of machines, disks and links, and judge what callers saw.

    No process is started and no time passes: a run takes about a quarter of a second. Exit status 1 if any
    rule was broken; such a run is shrunk to the faults that it needs.
    """
    from pulleyroute.emulator.cluster.campaign import run_campaign, shrink

    orders = reads = broken = 0
    for ended in run_campaign(seed, runs, jobs):
        orders += ended.acknowledged
        reads += ended.reads
        if ended.broken:
            broken += 1
            smallest = shrink(ended)
            for line in (*smallest.broken, "faults:", *map(str, smallest.faults)):
                print(f"  {line}")
            print(f"  repeat with: pulleyroute campaign control --seed {ended.seed} --runs 1", flush=True)
    print(f"campaign control: runs {runs}, orders acknowledged {orders}, reads {reads}, broken {broken}")
    if broken:
        sys.exit(1)
