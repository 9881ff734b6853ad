"""The `pulleyroute version` command."""

from __future__ import annotations

import json
import platform
from typing import Annotated

import typer

from pulleyroute import __version__

HELP = "Print the version."


def run(as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False) -> None:
    """Print the version of the program and of Python."""
    if as_json:
        print(json.dumps({"version": __version__, "python": platform.python_version()}))
    else:
        print(f"pulleyroute {__version__}, Python {platform.python_version()}")
