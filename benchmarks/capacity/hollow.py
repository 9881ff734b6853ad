"""Measure, by fleet size, what control costs a member, the store and discovery, and what fails first.

    python -m benchmarks.capacity.hollow [--members N ...] [--recorded N ...] [--quick] [--out FILE]

A hollow member consists of what `pulleyroute serve` builds, except for the listener: decisions, discovery
client, agent and store client. Many members share a process and talk over loopback to stand-ins of the store
and of discovery.

`--members` runs fleets in which all members are live. `--recorded` runs fleets with nine live members, one in
each zone; the other members exist only as records in the store. Such a run measures the cost of a member in a
fleet of that size, and the size of the store's answers, without the load of the other members. With
`--watched` the store also serves the watches of the recorded members. With `--live 1` the only live member
has a core to itself, but no zone is lost.

The command prints a table, and writes all measurements as JSON to `--out`.
"""

from __future__ import annotations

import argparse
import resource
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from loguru import logger

from benchmarks.capacity.hollow_compare import compare
from benchmarks.capacity.hollow_fleet import ZONES, Size
from benchmarks.capacity.hollow_play import QUICK, Times, run_fleet
from benchmarks.capacity.hollow_process import NoAnswer
from benchmarks.capacity.hollow_results import Comparison, FleetRun, Results, read_results, write_results
from benchmarks.capacity.hollow_series import INSTANCES, series
from benchmarks.capacity.slope import machine

MEMBERS, RECORDED = [10, 30, 100], [1000, 5700]
QUICK_MEMBERS, QUICK_RECORDED = [10], [300]
MAX_MEMBERS, MAX_RECORDED, MAX_INSTANCES = 5700, 20_000, 100_000
COMPARED, MAX_COMPARED = 5, 50  # real dispatchers, compared with as many hollow members
DESCRIPTORS_PER_MEMBER = 3  # two watches and a call to the store
RESERVED_DESCRIPTORS = 100  # descriptors of a process other than those of its members


def integer_between(minimum: int, maximum: int) -> Callable[[str], int]:
    """Return an argument type that accepts whole numbers from `minimum` to `maximum`."""

    def read(text: str) -> int:
        try:
            number = int(text)
        except ValueError:
            number = minimum - 1
        if not minimum <= number <= maximum:
            raise argparse.ArgumentTypeError(
                f"expected a whole number from {minimum} to {maximum}, found {text!r}"
            )
        return number

    return read


def parse(arguments: list[str]) -> argparse.Namespace:
    """Parse the arguments; exits with status 2 and a one-line error if they are invalid."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.capacity.hollow",
        description="Run fleets of hollow members against stand-ins, and measure what control costs.",
    )
    parser.add_argument("--members", type=integer_between(1, MAX_MEMBERS), nargs="*", metavar="N")
    parser.add_argument("--recorded", type=integer_between(ZONES + 1, MAX_RECORDED), nargs="*", metavar="N")
    parser.add_argument("--instances", type=integer_between(1, MAX_INSTANCES), default=INSTANCES, metavar="N")
    parser.add_argument(
        "--compare", type=integer_between(1, MAX_COMPARED), metavar="N", help="real dispatchers"
    )
    parser.add_argument(
        "--live",
        type=integer_between(1, ZONES),
        default=ZONES,
        metavar="N",
        help="live members of --recorded",
    )
    parser.add_argument("--watched", action="store_true", help="open the recorded members' watches too")
    parser.add_argument("--quick", action="store_true", help="small sizes and short windows")
    parser.add_argument(
        "--out", type=Path, metavar="FILE", help="JSON; runs of other sizes in the file are kept"
    )
    options = parser.parse_args(arguments)
    chosen = options.members is not None or options.recorded is not None or options.compare is not None
    if not chosen:
        options.members, options.recorded = (
            (QUICK_MEMBERS, QUICK_RECORDED) if options.quick else (MEMBERS, RECORDED)
        )
        options.compare = None if options.quick else COMPARED
    _check_descriptors(parser, options)
    if options.out is not None and not options.out.parent.is_dir():
        parser.error(f"--out: there is no directory {options.out.parent}")
    if options.out is not None:
        try:
            read_results(options.out)
        except ValueError as exc:
            parser.error(f"--out: {options.out}: not a file of this command: {exc}")
    return options


def _check_descriptors(parser: argparse.ArgumentParser, options: argparse.Namespace) -> None:
    """Exit with an error if one process would need more descriptors than its limit allows."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    members = max(options.members or [0])
    watches = max(options.recorded or [0]) if options.watched else 0
    for option, count, each in (
        ("--members", members, DESCRIPTORS_PER_MEMBER),
        ("--recorded", watches, 1),
    ):
        needed = count * each + RESERVED_DESCRIPTORS
        if needed > limit:
            parser.error(f"{option}: {count} need {needed} descriptors, the limit is {limit}")


def sizes(options: argparse.Namespace) -> list[Size]:
    """Return the fleet sizes to run."""
    live_sizes = [Size(members, 0, options.instances) for members in options.members or []]
    recorded_sizes = [
        Size(options.live, fleet - options.live, options.instances, options.watched)
        for fleet in options.recorded or []
    ]
    return live_sizes + recorded_sizes


def main(arguments: list[str]) -> int:
    """Run the requested fleets; return 1 if the comparison failed."""
    options = parse(arguments)
    logger.remove()
    times = QUICK if options.quick else Times()
    results = read_results(options.out) if options.out is not None else Results()
    results.machine = machine()
    print(table_line(COLUMNS))
    print(table_line(["---"] * len(COLUMNS)))
    for size in sizes(options):
        run = run_fleet(size, times)
        print(table_row(run), flush=True)
        results.add(run)
        _save(results, options.out)
    if options.compare is None:
        return 0
    try:
        results.comparison = compare(options.compare, options.compare, times.window)
    except NoAnswer as exc:
        print(f"hollow: the comparison was not made: {exc}", file=sys.stderr)
        return 1
    print(comparison_text(results.comparison))
    _save(results, options.out)
    return 0


def _save(results: Results, out: Path | None) -> None:
    results.series = series(results.plays, results.machine)
    if out is not None:
        write_results(results, out)


COLUMNS = (
    "members",
    "of them recorded",
    "registered, p50 / p99 s",
    "calls/s",
    "bytes/s",
    "core",
    "memory, KB",
    "store's core",
    "zone lost, s",
    "zone back, s",
    "ended by",
)


def table_line(cells: Sequence[str]) -> str:
    """Format cells as a row of the table."""
    return "| " + " | ".join(cells) + " |"


def table_row(run: FleetRun) -> str:
    """Format one run as a row of the table; the figures at rest are per live member."""
    stages = {stage.name: stage for stage in run.stages}

    def time_to_know(name: str) -> str:
        stage = stages.get(name)
        return f"{stage.times['fleet_known'].longest:.2f}" if stage is not None and stage.complete else "-"

    start = stages.get("start")
    registered = start.times["registered"] if start is not None else None
    rest = run.rest
    cells = [
        str(run.members + run.recorded),
        str(run.recorded),
        f"{registered.p50:.2f} / {registered.p99:.2f}" if registered is not None else "-",
        *(
            [
                f"{rest.calls:.2f}",
                f"{rest.store_bytes + rest.discovery_bytes:.0f}",
                f"{rest.member_cpu:.5f}",
                f"{rest.member_memory / 1000:.0f}",
                f"{rest.store_cpu:.3f}",
            ]
            if rest is not None
            else ["-"] * 5
        ),
        time_to_know("zone lost"),
        time_to_know("zone back"),
        run.ended_by or "-",
    ]
    return table_line(cells)


def comparison_text(comparison: Comparison) -> str:
    """Format the ratios of a hollow member's cost to a real one's, one for each window."""
    lines = []
    for name in ("cpu", "calls", "store_bytes", "discovery_bytes"):
        each = getattr(comparison, name)
        ratios = ", ".join(f"{value:.2f}" for value in each.ratios)
        spread = f"{each.real_least:.2f} to {each.real_most:.2f}"
        lines.append(f"{name}: hollow over real {ratios}; single real ones over their mean {spread}")
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
