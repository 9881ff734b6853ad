"""`pulleyroute release`."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from pulleyroute.cli.fleet import AsJson, Config, Why, print_table, run_operation
from pulleyroute.fleet.operate import Operator
from pulleyroute.fleet.release import Plan, State
from pulleyroute.net.loop import Coroutine

HELP = "Bring another version to the fleet's members in waves, watch it, halt it, take it back."
app = typer.Typer(help=HELP, no_args_is_help=True)
File = Annotated[Path, typer.Argument(help="The plan, in HCL.")]


def _plan(path: Path) -> Plan:
    from pulleyroute.config import InvalidConfig
    from pulleyroute.config.plan import load_plan

    try:
        return load_plan(path)
    except InvalidConfig as exc:
        print(exc, file=sys.stderr)
        raise typer.Exit(2) from None


def _waves(told: Any) -> None:
    begin = 0
    for number, count in enumerate(told.counts, 1):
        print(f"wave {number}: {', '.join(told.members[begin:count])}")
        begin = count
    was = ", ".join(sorted(set(told.previous)))
    print(
        f"to {told.version} from {was}; soak {told.soak / 1e6:g} s, patience {told.patience / 1e6:g} s "
        f"a wave, {told.at_once} at once, on failure {told.on_failure}"
    )


@app.command()
def check(plan: File, config: Config) -> None:
    """What a plan would do now, wave by wave; nothing is done."""
    from pulleyroute.fleet import release

    meant = _plan(plan)

    def what(operator: Operator) -> Coroutine[Any]:
        snapshot, _ = yield from operator.read_snapshot()
        return release.new_release(meant, snapshot)

    _waves(run_operation(config, what))


@app.command()
def start(
    plan: File,
    config: Config,
    dry_run: Annotated[bool, typer.Option("--dry-run", help="As `check`.")] = False,
) -> None:
    """Start a release; the members carry it out by themselves."""
    if dry_run:
        check(plan, config)
        return
    meant = _plan(plan)
    _waves(run_operation(config, lambda operator: operator.start_release(meant)))


@app.command()
def status(
    config: Config,
    as_json: AsJson = False,
    watch: Annotated[bool, typer.Option("--watch", help="Again each second, until it ends.")] = False,
) -> None:
    """The release in hand, or the last one, and who stands where."""
    while True:
        snapshot, _ = run_operation(config, lambda operator: operator.read_snapshot())
        told = snapshot.release
        if told is None:
            print("null" if as_json else "no release yet")
            return
        versions = {name: heartbeat.version for name, heartbeat in snapshot.heartbeats.items()}
        rows = [
            {
                "member": name,
                "wave": 1 + sum(1 for count in told.counts if count <= number),
                "version": versions.get(name, ""),
                "wanted": snapshot.member_requests[name].version if name in snapshot.member_requests else "",
                "permit": name in snapshot.permits,
            }
            for number, name in enumerate(told.members)
        ]
        if as_json:
            print(
                json.dumps(
                    {
                        "name": told.name,
                        "version": told.version,
                        "state": told.state,
                        "why": told.why,
                        "wave": told.wave + 1,
                        "waves": len(told.counts),
                        "members": rows,
                    }
                ),
                flush=True,
            )
        else:
            print(
                f"release {told.name} to {told.version}: {told.state}, wave {told.wave + 1} of "
                f"{len(told.counts)}{': ' + told.why if told.why else ''}"
            )
            print_table(rows, ["member", "wave", "version", "wanted", "permit"], False)
        if not watch or told.state not in ("running", "backing"):
            return
        time.sleep(1)


@app.command()
def halt(config: Config, why: Why = "") -> None:
    """Nothing newly goes out for it; who is out comes back."""
    run_operation(config, lambda operator: operator.change_release_state(State.HALTED, why))


@app.command()
def resume(config: Config, why: Why = "") -> None:
    """Go on with a halted release."""
    run_operation(config, lambda operator: operator.change_release_state(State.RUNNING, why))


@app.command()
def back(config: Config, why: Why = "") -> None:
    """Take it back: the versions before, under the same limits."""
    run_operation(config, lambda operator: operator.change_release_state(State.ROLLING_BACK, why))
