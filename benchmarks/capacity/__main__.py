"""Measure the cost of each part by size, and compute the target: `python -m benchmarks.capacity --help`."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from benchmarks.capacity.series import FOLDER, SeriesError, write
from benchmarks.capacity.slope import Run, SlopeError
from benchmarks.capacity.slopes import MODULES, slope

QUICK_FOLDER = Path("build/capacity")  # quick runs do not overwrite the figures of the page
MAX_SIZE = 2_000_000  # for --size
ALL, REPORTS = "all", ("fits", "charts", "target", "subsets")


def _size(text: str) -> int:
    try:
        size = int(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r} is not a whole number") from None
    if not 1 <= size <= MAX_SIZE:
        raise argparse.ArgumentTypeError(f"{size} is not between 1 and {MAX_SIZE}")
    return size


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.capacity",
        description="Measure slopes into JSON, or make tables and charts from what is there.",
    )
    parser.add_argument(
        "name",
        choices=[ALL, *MODULES, *REPORTS],
        help="a slope; all of them with their reports; or one report: fits, charts, target, subsets",
    )
    parser.add_argument("--quick", action="store_true", help=f"small sizes once, into {QUICK_FOLDER}")
    parser.add_argument("--out", type=Path, help="the folder of the JSON files, tables and charts")
    parser.add_argument(
        "--size", type=_size, action="append", help="measure this size instead, and only print it"
    )
    return parser


def _measure(name: str, run: Run, folder: Path) -> None:
    found = run.series(slope(name))
    if not run.sizes:
        write(folder / f"{name}.json", found)


def _report(name: str, folder: Path, quick: bool) -> None:
    from benchmarks.capacity import charts, subsets, tables, target

    if name == "fits":
        tables.fits(folder)
    elif name == "charts":
        charts.draw(folder, quick)
    elif name == "target":
        target.report(folder)
    else:
        subsets.report(folder, subsets.QUICK_SEEDS if quick else subsets.SEEDS)


def main(arguments: list[str] | None = None) -> int:
    """Run the command; returns 1 if a point or a report failed, and exits with 2 for invalid arguments."""
    parser = _parser()
    options = parser.parse_args(arguments)
    if options.size and options.name not in MODULES:
        parser.error("--size goes with one slope")
    folder = options.out or (QUICK_FOLDER if options.quick else FOLDER)
    run = Run(options.quick, tuple(options.size or ()), 0, lambda line: print(line, flush=True))
    try:
        for name in MODULES if options.name == ALL else [options.name]:
            if name in MODULES:
                _measure(name, run, folder)
        for name in REPORTS if options.name == ALL else [options.name]:
            if name in REPORTS:
                _report(name, folder, options.quick)
    except (SlopeError, SeriesError, OSError) as exc:
        print(f"capacity: {exc}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
