"""Counts what a fleet of dispatchers did, from their logs at PULLEYROUTE_LOG=DEBUG.

    python -m benchmarks.fleet_log DIRECTORY [--seconds]

The directory holds one log for each dispatcher, `NAME.log`, whose lines begin with the time in seconds.
Prints for the whole fleet: calls by kind with the peak second, the pushes that cross halls, what pushes find
by the age of the load report that they are based on, the spread over instances and dispatchers, and the
fullest windows of cold instances; with `--seconds` also one line for each second.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

K = TypeVar("K", bound=Hashable)

EVENTS = ("push", "started", "ended", "probe", "connect", "list", "answer")
_LINE = re.compile(r"([0-9.]+) \S+ DEBUG (\w+) (\w+=.*)")
_VALUE = re.compile(r"(\w+)=(\S+)")
# Microseconds. A push within a hall that starts in this time found a free slot; across halls it takes longer.
PROMPT_START_US = 20_000
REPORT_AGES_US = (
    (0, "none"),
    (500_000, "< 0.5 s"),
    (1_000_000, "< 1 s"),
    (2_000_000, "< 2 s"),
    (2**62, "older"),
)
COLD_US = 8_100_000  # since its start, for which an instance counts as cold
WINDOW_S = 3.0


@dataclass(slots=True)
class Event:
    """One logged event of a dispatcher, with the fields of its line."""

    at: float  # seconds
    dispatcher: str
    name: str
    values: dict[str, str]

    @property
    def cold(self) -> bool:
        """Whether a push goes to an instance that has started recently."""
        return 0 <= int(self.values["up"]) < COLD_US


@dataclass(slots=True)
class Fleet:
    """The events of all dispatchers, in the order of their times."""

    events: list[Event]

    def named(self, name: str) -> list[Event]:
        """Return the events with a name."""
        return [event for event in self.events if event.name == name]


def read(dispatcher: str, lines: Iterable[str]) -> Iterator[Event]:
    """Yield the events in one dispatcher's log; other lines are skipped."""
    for line in lines:
        match = _LINE.match(line)
        if match and match[2] in EVENTS:
            yield Event(float(match[1]), dispatcher, match[2], dict(_VALUE.findall(match[3])))


def load(directory: Path) -> Fleet:
    """Read all logs of a directory. Raises SystemExit with a message if none has events."""
    events: list[Event] = []
    for path in sorted(directory.glob("*.log")):
        with path.open(errors="replace") as lines:
            events += read(path.stem, lines)
    if not events:
        raise SystemExit(f"fleet_log: {directory}: no log with events; run with PULLEYROUTE_LOG=DEBUG")
    return Fleet(sorted(events, key=lambda event: event.at))


def calls(fleet: Fleet) -> dict[str, tuple[int, int, int]]:
    """Return by kind: the total, the count in the peak second, and that of the dispatcher with the most."""
    kinds: dict[str, list[Event]] = defaultdict(list)
    for event in fleet.events:
        if event.name == "push":
            kinds["first pushes" if event.values["index"] == "0" else "resubmissions"].append(event)
            if event.cold:
                kinds["pushes to cold"].append(event)
        elif event.name == "probe":
            kinds["probes" if event.values["outcome"] == "ok" else "failed probes"].append(event)
        elif event.name in ("connect", "list"):
            kinds["new connections" if event.name == "connect" else "list calls"].append(event)
    return {
        kind: (
            len(events),
            max(Counter(int(e.at) for e in events).values()),
            max(Counter(e.dispatcher for e in events).values()),
        )
        for kind, events in kinds.items()
    }


def tally(items: Iterable[tuple[K, bool]]) -> dict[K, tuple[int, int]]:
    """Return by key: the number of items, and of those that are true."""
    counts: dict[K, tuple[int, int]] = {}
    for key, is_true in items:
        count, true_count = counts.get(key, (0, 0))
        counts[key] = count + 1, true_count + is_true
    return counts


def crossings(fleet: Fleet) -> dict[tuple[str, str], tuple[int, int]]:
    """Return by class and first or repeated push: the number of pushes, and of those that cross halls."""
    pushes = [event.values for event in fleet.named("push")]
    return tally(
        ((push["cls"], "first" if push["index"] == "0" else "again"), push["zone"] != push["to"])
        for push in pushes
    )


def found_by_report(fleet: Fleet) -> dict[tuple[str, str], tuple[int, int]]:
    """Count pushes within a hall by the age of their load report and by whether it showed free slots.

    The second number counts those that started at once.
    """
    started = {(e.values["txn"], e.values["index"]): int(e.values["took"]) for e in fleet.named("started")}
    pushes = []
    for push in (event.values for event in fleet.named("push")):
        if push["zone"] == push["to"]:
            age = next(name for limit, name in REPORT_AGES_US if int(push["age"]) < limit)
            room = "no reading" if push["free"] == "-" else "room" if float(push["free"]) > 0.5 else "full"
            pushes.append(
                ((room, age), started.get((push["txn"], push["index"]), PROMPT_START_US) < PROMPT_START_US)
            )
    return tally(pushes)


def spread(fleet: Fleet) -> dict[str, tuple[int, float, int]]:
    """Return by instance: pushes, their ratio to the mean of the hall, and the number of dispatchers."""
    pushes: dict[str, list[Event]] = defaultdict(list)
    halls: dict[str, set[str]] = defaultdict(set)
    for event in fleet.named("push"):
        pushes[event.values["instance"]].append(event)
        halls[event.values["to"]].add(event.values["instance"])
    table = {}
    for names in halls.values():
        mean = sum(len(pushes[name]) for name in names) / len(names)
        for name in names:
            table[name] = (
                len(pushes[name]),
                len(pushes[name]) / mean,
                len({event.dispatcher for event in pushes[name]}),
            )
    return table


def cold_windows(fleet: Fleet) -> dict[str, int]:
    """Return by cold instance: the most pushes in any window of 3 s."""
    times: dict[str, list[float]] = defaultdict(list)
    for event in fleet.named("push"):
        if event.cold:
            times[event.values["instance"]].append(event.at)
    return {
        name: max(sum(1 for other in at if first <= other < first + WINDOW_S) for first in at)
        for name, at in times.items()
    }


def seconds(fleet: Fleet) -> list[str]:
    """Return one line for each second with the number of events of each kind."""
    counts = Counter((int(event.at), event.name) for event in fleet.events)
    last = int(fleet.events[-1].at)
    lines = ["second " + " ".join(f"{name:>8}" for name in EVENTS)]
    lines += [f"{at:6d} " + " ".join(f"{counts[at, name]:8d}" for name in EVENTS) for at in range(last + 1)]
    return lines


def report(fleet: Fleet) -> list[str]:
    """Return the tables as lines of Markdown."""
    lines = ["| calls | in all | peak second | most of one dispatcher |", "| --- | --- | --- | --- |"]
    lines += [
        f"| {kind} | {count} | {peak} | {most} |"
        for kind, (count, peak, most) in sorted(calls(fleet).items())
    ]
    lines += ["", "| pushes | in all | crossing |", "| --- | --- | --- |"]
    lines += [
        f"| {cls} {which} | {count} | {crossing} |"
        for (cls, which), (count, crossing) in sorted(crossings(fleet).items())
    ]
    lines += ["", "| home pushes by reading | in all | started at once |", "| --- | --- | --- |"]
    lines += [
        f"| {room}, {age} | {count} | {prompt / count:.2f} |"
        for (room, age), (count, prompt) in sorted(found_by_report(fleet).items())
    ]
    table, cold = spread(fleet).values(), sorted(cold_windows(fleet).values())
    lines += [
        "",
        f"fullest instance against the mean of its hall {max(ratio for _, ratio, _ in table):.2f}, "
        f"most dispatchers at one {max(users for _, _, users in table)}",
    ]
    if cold:
        lines.append(
            f"cold instances {len(cold)}, pushes in their fullest {WINDOW_S:.0f} s: "
            f"median {cold[len(cold) // 2]}, most {cold[-1]}"
        )
    return lines


def main() -> None:
    parser = argparse.ArgumentParser(prog="fleet_log")
    parser.add_argument("directory", type=Path)
    parser.add_argument("--seconds", action="store_true", help="one line a second as well")
    args = parser.parse_args()
    fleet = load(args.directory)
    sys.stdout.write("\n".join(report(fleet) + (["", *seconds(fleet)] if args.seconds else [])) + "\n")


if __name__ == "__main__":
    main()
