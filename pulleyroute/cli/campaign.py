"""`pulleyroute campaign`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

HELP = "Play schedules of faults on a fleet of real processes on this machine, and judge them from outside."
app = typer.Typer(help=HELP, no_args_is_help=True)


Seed = Annotated[int, typer.Option(min=0, help="Of the first run; the others count on from it.")]
Runs = Annotated[int, typer.Option(min=1, max=100_000)]
Jobs = Annotated[int, typer.Option(min=1, max=64, help="Runs side by side.")]
Out = Annotated[Path | None, typer.Option(help="Keep the logs of all processes in this folder.")]


def _play(kind: str, seed: int, runs: int, jobs: int, out: Path | None) -> None:
    from pulleyroute.lab.fleet.campaign import Outcome, run_campaign
    from pulleyroute.lab.fleet.schedule import GENERATORS

    def tell(outcome: Outcome) -> None:
        ends = ", ".join(f"{count} {ending}" for ending, count in sorted(outcome.endings.items()))
        release = f" release {outcome.ended};" if outcome.ended else ""
        print(
            f"seed {outcome.seed}: faults {outcome.faults}, planned out {outcome.out}, most at once "
            f"{outcome.most_out}, runners drained {outcome.drained};{release} {ends}; "
            f"broken {len(outcome.broken)}",
            flush=True,
        )
        if outcome.broken:
            for line in [
                *outcome.broken,
                "what was done:",
                *map(str, GENERATORS[kind](outcome.seed).operations),
                "what was seen:",
                *outcome.log,
            ]:
                print(f"  {line}")
            print(
                f"  again: pulleyroute campaign {kind} --seed {outcome.seed} --runs 1 --out FOLDER",
                flush=True,
            )

    ended = run_campaign(kind, seed, runs, jobs, tell, out)
    broken = sum(1 for outcome in ended if outcome.broken)
    print(f"campaign {kind}: runs {len(ended)}, faults {sum(each.faults for each in ended)}, broken {broken}")
    if broken:
        sys.exit(1)


@app.command(epilog="Example:\n\n`pulleyroute campaign drains --seed 1 --runs 4 --out /tmp/drains`")
def drains(seed: Seed = 1, runs: Runs = 1, jobs: Jobs = 1, out: Out = None) -> None:
    """Dispatchers drained and restarted, and runners drained, while all of them and their store are hurt.

    Exit status 1 if anything was broken. A run takes about half a minute.
    """
    _play("drains", seed, runs, jobs, out)


@app.command(epilog="Example:\n\n`pulleyroute campaign releases --seed 1 --runs 4 --jobs 4`")
def releases(seed: Seed = 1, runs: Runs = 1, jobs: Jobs = 1, out: Out = None) -> None:
    """Releases of good and bad versions while members and store are hurt.

    Exit status 1 if anything was broken. A run takes about a minute.
    """
    _play("releases", seed, runs, jobs, out)
