"""The same release of a whole fleet with agreement and without: most members out at once, and service.

    python -m benchmarks.fleet_drains [--seeds N]

Every member is asked to restart at the same moment. Without agreement each restarts within 5 s on its own.
"""

from __future__ import annotations

import argparse
from collections import Counter

from pulleyroute.lab.fleet.campaign import Outcome, run_schedule
from pulleyroute.lab.fleet.schedule import FleetSpec, Operation, Schedule

SECOND = 1_000_000
SHAPE = FleetSpec(members=6, runners=3, duration=25 * SECOND, rate=60.0)


def release(seed: int) -> Schedule:
    """Return a schedule in which all members are asked to restart after one second."""
    return Schedule(
        seed, SHAPE, [Operation(SECOND, "wish", who, 0, "restart") for who in range(SHAPE.members)]
    )


ENDINGS = ("served", "refused", "failed", "lost", "turned")


def row(name: str, outcomes: list[Outcome]) -> str:
    """Return one line of the table."""
    endings: Counter[str] = Counter()
    for outcome in outcomes:
        endings.update(outcome.endings)
    count = sum(endings.values())
    shares = " | ".join(f"{endings[each] / count:.4f}" for each in ENDINGS)
    most = [outcome.most_out for outcome in outcomes]
    return f"| {name} | {max(most)} | {sum(most) / len(most):.1f} | {count} | {shares} |"


def main() -> None:
    parser = argparse.ArgumentParser(description="A release agreed on, and each for itself.")
    parser.add_argument("--seeds", type=int, default=10)
    seeds = range(1, parser.parse_args().seeds + 1)
    outcomes_by_mode: dict[str, list[Outcome]] = {"agreed": [], "each alone": []}
    for seed in seeds:
        for name, outcomes in outcomes_by_mode.items():
            outcomes.append(run_schedule(release(seed), agreement=name == "agreed"))
    print(f"members {SHAPE.members}, limit {SHAPE.max_out}, {len(seeds)} releases each")
    print("| restarts | most out at once | on the mean | requests | " + " | ".join(ENDINGS) + " |")
    print("|" + " --- |" * (4 + len(ENDINGS)))
    for name, outcomes in outcomes_by_mode.items():
        print(row(name, outcomes))


if __name__ == "__main__":
    main()
