"""Upgrades under load, on loopback stand-ins: `python -m benchmarks.upgrade [--write]`.

Runs for about 20 seconds. Reports memory and descriptors of both processes together, how the jobs ended, and
the broken rules.
"""

from __future__ import annotations

import sys
from pathlib import Path

from benchmarks.fixture import machine
from pulleyroute.lab.upgrade import MEMORY_LIMIT_MB, SOCKET_LIMIT, run_upgrades

UPGRADES = 6


def main() -> int:
    rows, bad = [], 0
    for name, early_share in (
        ("usual boxes", 0.0),
        ("half the jobs' ends come before their 202", 0.5),
    ):
        result = run_upgrades(upgrades=UPGRADES, clients=24, early_callback_share=early_share, interval=1.0)
        one = [each for each in result.resource_usage if each.processes == 1]
        two = [each for each in result.resource_usage if each.processes == 2]
        served = sum(n for (_, ending), n in result.endings.items() if ending == "served")
        other = sum(result.endings.values()) - served
        bad += len(result.broken) + len(result.lost_results) + sum(map(abs, result.exits))
        rows.append(
            (
                name,
                UPGRADES,
                served,
                other,
                len(result.broken),
                len(result.lost_results),
                *(f"{max(each.memory_mb for each in usage):.0f}" for usage in (one, two)),
                *(max(each.descriptors for each in usage) for usage in (one, two)),
            )
        )
    names = (
        "boxes",
        "upgrades",
        "served",
        "otherwise",
        "rules broken",
        "call-backs lost",
        "MiB, one process",
        "MiB, two",
        "descriptors, one",
        "descriptors, two",
    )
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    lines += ["| " + " | ".join(map(str, row)) + " |" for row in rows]
    print("\n".join(lines))
    if "--write" in sys.argv:
        Path("docs/measured/upgrade.md").write_text(
            "\n".join(
                [
                    "# Upgrades under load",
                    "",
                    f"Command: `python -m benchmarks.upgrade --write`. Limits: {MEMORY_LIMIT_MB} MB, "
                    f"{SOCKET_LIMIT}",
                    "descriptors. Memory is resident, pages that both processes share counted",
                    "twice. The most of",
                    "looks every 20 ms.",
                    "",
                    f"Run on: {machine()}.",
                    "",
                    *lines,
                    "",
                ]
            )
        )
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
