"""The commands `pulleyroute release`: start, watch, halt and roll back a release."""

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

HELP = "Release a version to the fleet's members in waves; watch, halt, resume or roll back the release."
app = typer.Typer(help=HELP, no_args_is_help=True)
File = Annotated[Path, typer.Argument(help="The release plan, in HCL.")]


def _load_plan(path: Path) -> Plan:
    from pulleyroute.config import InvalidConfig
    from pulleyroute.config.plan import load_plan

    try:
        return load_plan(path)
    except InvalidConfig as exc:
        print(exc, file=sys.stderr)
        raise typer.Exit(2) from None


def _print_waves(release: Any) -> None:
    first = 0
    for number, count in enumerate(release.counts, 1):
        print(f"wave {number}: {', '.join(release.members[first:count])}")
        first = count
    previous = ", ".join(sorted(set(release.previous)))
    print(
        f"to {release.version} from {previous}; soak {release.soak / 1e6:g} s, "
        f"patience {release.patience / 1e6:g} s a wave, {release.at_once} at once, "
        f"on failure {release.on_failure}"
    )


@app.command()
def check(plan: File, config: Config) -> None:
    """Show what a plan would do now, wave by wave, without starting it."""
    from pulleyroute.fleet import release

    loaded = _load_plan(plan)

    def preview(operator: Operator) -> Coroutine[Any]:
        snapshot, _ = yield from operator.read_snapshot()
        return release.new_release(loaded, snapshot)

    _print_waves(run_operation(config, preview))


@app.command()
def start(
    plan: File,
    config: Config,
    dry_run: Annotated[bool, typer.Option("--dry-run", help="Show the waves only, like `check`.")] = False,
) -> None:
    """Start a release, which the members then carry out by themselves."""
    if dry_run:
        check(plan, config)
        return
    loaded = _load_plan(plan)
    _print_waves(run_operation(config, lambda operator: operator.start_release(loaded)))


@app.command()
def status(
    config: Config,
    as_json: AsJson = False,
    watch: Annotated[
        bool, typer.Option("--watch", help="Repeat each second until the release ends.")
    ] = False,
) -> None:
    """Show the current release, or the last one, and the version of each member."""
    while True:
        snapshot, _ = run_operation(config, lambda operator: operator.read_snapshot())
        release = snapshot.release
        if release is None:
            print("null" if as_json else "no release yet")
            return
        versions = {name: heartbeat.version for name, heartbeat in snapshot.heartbeats.items()}
        rows = [
            {
                "member": name,
                "wave": 1 + sum(1 for count in release.counts if count <= number),
                "version": versions.get(name, ""),
                "wanted": snapshot.member_requests[name].version if name in snapshot.member_requests else "",
                "permit": name in snapshot.permits,
            }
            for number, name in enumerate(release.members)
        ]
        if as_json:
            print(
                json.dumps(
                    {
                        "name": release.name,
                        "version": release.version,
                        "state": release.state,
                        "why": release.why,
                        "wave": release.wave + 1,
                        "waves": len(release.counts),
                        "members": rows,
                    }
                ),
                flush=True,
            )
        else:
            print(
                f"release {release.name} to {release.version}: {release.state}, wave {release.wave + 1} of "
                f"{len(release.counts)}{': ' + release.why if release.why else ''}"
            )
            print_table(rows, ["member", "wave", "version", "wanted", "permit"], False)
        if not watch or release.state not in ("running", "backing"):
            return
        time.sleep(1)


@app.command()
def halt(config: Config, why: Why = "") -> None:
    """Halt the release: no further member restarts, and those that are out return."""
    run_operation(config, lambda operator: operator.change_release_state(State.HALTED, why))


@app.command()
def resume(config: Config, why: Why = "") -> None:
    """Resume a halted release."""
    run_operation(config, lambda operator: operator.change_release_state(State.RUNNING, why))


@app.command()
def back(config: Config, why: Why = "") -> None:
    """Roll the release back: restore the previous versions under the same limits."""
    run_operation(config, lambda operator: operator.change_release_state(State.ROLLING_BACK, why))
