"""The `pulleyroute` command. Exit status: 0 done, 2 usage or configuration, 1 anything else."""

from __future__ import annotations

import sys


def main() -> None:
    """Run the command; the entry point of the console script."""
    try:
        from pulleyroute.cli.app import app
    except ImportError as exc:
        print(f"pulleyroute: {exc.name} is missing: install the extra `serve`", file=sys.stderr)
        sys.exit(1)
    app()
