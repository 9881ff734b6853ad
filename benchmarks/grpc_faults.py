"""Calls under random faults: `python -m benchmarks.grpc_faults [--seed N] [--calls N] [--write]`.

Prints the seed; the same seed and number of calls repeat the campaign. The exit status is 1 if a rule was
broken.
"""

from __future__ import annotations

import random
import sys
from pathlib import Path

from loguru import logger

from benchmarks.fixture import machine
from pulleyroute.grpc import Status
from pulleyroute.lab.campaign import Campaign, Outcome


def option(name: str, default: int) -> int:
    """Return the number that follows an option on the command line, or `default`."""
    return int(sys.argv[sys.argv.index(name) + 1]) if name in sys.argv else default


def table(outcomes: list[Outcome]) -> list[str]:
    """Return a Markdown table with one row for each campaign."""
    lines = [
        "| seed | calls | attempts | rules broken | OK | other statuses |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for each in outcomes:
        others = ", ".join(
            f"{Status(code).name} {count}" for code, count in sorted(each.statuses.items()) if code > 0
        )
        lines.append(
            f"| {each.seed} | {each.calls} | {each.attempts} | {len(each.broken)} "
            f"| {each.statuses[0]} | {others} |"
        )
    return lines


def main() -> int:
    logger.remove()
    calls = option("--calls", 2000)
    seeds = (
        [option("--seed", 0)]
        if "--seed" in sys.argv
        else ([1, 2, 3] if "--write" in sys.argv else [random.randrange(10**6)])
    )
    outcomes = []
    for seed in seeds:
        again = f"python -m benchmarks.grpc_faults --seed {seed} --calls {calls}"
        print(f"seed {seed}, {calls} calls; again with: {again}")
        outcome = Campaign(seed, calls).run()
        outcomes.append(outcome)
        for line in outcome.broken[:20]:
            print("BROKEN", line)
        print("\n".join(table([outcome])))
    if "--write" in sys.argv:
        ending_rows = "\n".join(
            f"| {ending} | {count} |"
            for ending, count in sorted(
                sum((each.endings_played for each in outcomes[1:]), outcomes[0].endings_played).items()
            )
        )
        Path("docs/measured/grpc-faults.md").write_text(
            "\n".join(
                [
                    "# gRPC calls under random faults",
                    "",
                    "Command: `python -m benchmarks.grpc_faults --write`; one seed again: `--seed N",
                    "--calls 2000`.",
                    f"Run on: {machine()}.",
                    "Virtual clock, real sockets; four boxes that crash, drain and return; half of",
                    "the calls must",
                    "never run twice. A judge that knows what boxes and clients saw finds the broken rules.",
                    "",
                    *table(outcomes),
                    "",
                    "What the boxes did with the attempts:",
                    "",
                    "| ending | attempts |",
                    "| --- | --- |",
                    ending_rows,
                    "",
                ]
            )
        )
    return 1 if any(each.broken for each in outcomes) else 0


if __name__ == "__main__":
    sys.exit(main())
