"""The `pulleyroute check` command."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from pulleyroute.config import InvalidConfig, load

HELP = "Check a configuration without starting anything; all mistakes are reported at once."
EXAMPLES = "Examples:\n\n`pulleyroute check site.hcl`\n\n`pulleyroute check --json site.hcl`"


def run(
    file: Annotated[Path, typer.Argument(help="The configuration, in HCL.")],
    as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False,
) -> None:
    """Check a configuration; exits with status 2 if it has mistakes."""
    try:
        config = load(file)
    except InvalidConfig as exc:
        if as_json:
            problems = [
                {name: getattr(each, name) for name in ("file", "line", "key", "expected", "found", "near")}
                for each in exc.problems
            ]
            print(json.dumps({"ok": False, "problems": problems}))
        else:
            print(exc, file=sys.stderr)
        raise typer.Exit(2) from None
    if as_json:
        print(json.dumps({"ok": True, "config": msgspec.to_builtins(config)}))
    else:
        print(
            f"{file}: {len(config.listener)} listeners, {len(config.pool)} pools, "
            f"{len(config.job_class)} classes, {len(config.route)} routes: can be used"
        )
