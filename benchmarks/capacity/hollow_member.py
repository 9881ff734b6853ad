"""A process of hollow members, each a `Service` without a listener with its agent, on one common loop.

    python -m benchmarks.capacity.hollow_member CONFIG FIRST END ZONES all|last|rest PART PARTS

The process runs members FIRST to END - 1: all of them, those of the last zone, or the rest; of these, every
PARTS-th from PART on. The same code builds a member and `pulleyroute serve` from the same file: decisions and
their host, discovery client, agent and store client. Without a listener a member gets no traffic.

Commands (`hollow_commands`): `start` builds all members at once; `expect` sets the state that each member
has to learn, and the time of the machine's monotonic clock from which this is timed; `report` answers with a
`Report`.
"""

from __future__ import annotations

import gc
import sys
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from loguru import logger

from benchmarks.capacity.hollow_commands import read_commands, write_answer
from benchmarks.capacity.hollow_config import POOL, for_member, hollow_config
from benchmarks.capacity.hollow_traffic import Traffic, count_traffic
from pulleyroute.config import Config
from pulleyroute.fleet.agent import Agent
from pulleyroute.interface import ListKind, WorkerList
from pulleyroute.net.lifecycle import Phase
from pulleyroute.net.loop import Coroutine, Loop, Wait
from pulleyroute.net.process import on_error
from pulleyroute.service.assembly import Service
from pulleyroute.service.joining import join

CHECK_INTERVAL_US = 20_000  # between checks of a member's state: the resolution of the times in a report
MAX_ERROR_LENGTH = 120  # characters of a log line that are compared to count equal errors


@dataclass(slots=True)
class Expectation:
    """The state that each member has to learn.

    `serving`: number of serving members; `revision`: least revision of the list; `since`: the time in
    microseconds from which members are timed.
    """

    serving: int
    revision: int
    since: int


@dataclass(slots=True)
class Report:
    """What a process of members observed. Lists contain a time in microseconds for each member that has one.

    `listed`, `registered`: from a member's start to its first list, and until its snapshot contains its own
    record as serving. `list_known`, `fleet_known`: from the expectation's time until a member met it.
    `least_serving`, `most_serving`: the fewest and the most serving members that any member knows of.
    `without_record`: members whose snapshot does not contain their own record. `longest_turn`: the longest
    time between two checks of the members by the process; checks come every 20 ms unless it is overloaded.
    """

    members: int
    calls: int
    lists: int
    listed: list[int] = field(default_factory=list)
    registered: list[int] = field(default_factory=list)
    list_known: list[int] = field(default_factory=list)
    fleet_known: list[int] = field(default_factory=list)
    least_serving: int = 0
    most_serving: int = 0
    without_record: int = 0
    longest_turn: int = 0
    traffic: dict[str, dict[str, int]] = field(default_factory=dict)
    errors: dict[str, int] = field(default_factory=dict)


class Member:
    """One hollow member, and the times at which it learned each part of the expected state; 0 until then."""

    def __init__(self, loop: Loop, config: Config) -> None:
        self._loop = loop
        self._name = config.name
        self.started = loop.now()
        self.listed = self.registered = self.list_known = self.fleet_known = 0
        self.lists = 0
        service = Service(loop, config)
        self._discovery = service.pools[POOL].discovery
        self._handle_update = self._discovery.on_update
        self._discovery.on_update = self._observe
        self.agent: Agent = join(loop, service, config)

    def _observe(self, update: WorkerList) -> None:
        self._handle_update(update)
        if update.kind is ListKind.FAILED:
            return
        self.lists += 1
        if update.entries and not self.listed:
            self.listed = self._loop.now()

    @property
    def serving(self) -> int:
        """The number of members that serve according to this member's snapshot."""
        return sum(
            1 for record in self.agent.snapshot.heartbeats.values() if record.phase == Phase.SERVING.value
        )

    @property
    def has_record(self) -> bool:
        """Whether the snapshot contains this member's heartbeat, from the incarnation that is registered."""
        known = self.agent.snapshot
        record, registration = known.heartbeats.get(self._name), known.registrations.get(self._name)
        return (
            record is not None and registration is not None and record.incarnation == registration.incarnation
        )

    def check(self, expected: Expectation | None) -> bool:
        """Record the time of what the member has learned; return whether it knows all that is expected."""
        now = self._loop.now()
        if not self.registered and self.has_record:
            self.registered = now
        if expected is None:
            return bool(self.registered and self.listed)
        if not self.list_known and self._discovery.version >= expected.revision:
            self.list_known = now
        if not self.fleet_known and self.serving == expected.serving:
            self.fleet_known = now
        return bool(self.registered and self.listed and self.list_known and self.fleet_known)


class Members:
    """Owns the members of one process and the state that is expected of them."""

    def __init__(self, loop: Loop, config: Config, numbers: list[int], zones: int, traffic: Traffic) -> None:
        self._loop, self._config, self._numbers, self._zones = loop, config, numbers, zones
        self._traffic = traffic
        self._members: list[Member] = []
        self._waiting: list[Member] = []
        self._expected: Expectation | None = None
        self._errors: Counter[str] = Counter()
        self._last_check, self._longest_gap = loop.now(), 0
        logger.remove()
        logger.add(self._note_error, level="WARNING", format="{message}")
        self._check_task = loop.spawn(self._check_members(), "look")

    def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out one command."""
        action = command.pop("do")
        if action == "start":
            self._start()
        elif action == "expect":
            self._expect(Expectation(**command))
        elif action == "report":
            return asdict(self._report())
        return {"waiting": len(self._waiting), "at": self._loop.now()}

    def _start(self) -> None:
        self._members = [
            Member(self._loop, for_member(self._config, number, self._zones)) for number in self._numbers
        ]
        self._wait_for_all()

    def _expect(self, expected: Expectation) -> None:
        self._expected = expected
        self._longest_gap = 0
        for member in self._members:
            member.list_known = member.fleet_known = 0
        self._wait_for_all()

    def _wait_for_all(self) -> None:
        self._waiting = list(self._members)
        self._last_check = self._loop.now()
        self._check_task.wake()

    def _check_members(self) -> Coroutine[None]:
        while True:
            now = self._loop.now()
            self._longest_gap = max(self._longest_gap, now - self._last_check)
            self._last_check = now
            self._waiting = [member for member in self._waiting if not member.check(self._expected)]
            # The cost of checks counts as the members' own, so they stop when no member is waited for.
            yield Wait(until=self._loop.now() + CHECK_INTERVAL_US) if self._waiting else Wait()

    def _note_error(self, message: str) -> None:
        self._errors[message.strip()[:MAX_ERROR_LENGTH]] += 1

    def _report(self) -> Report:
        members = self._members
        since = self._expected.since if self._expected is not None else 0
        serving = [member.serving for member in members]
        return Report(
            members=len(members),
            calls=sum(member.agent.client.calls for member in members),
            lists=sum(member.lists for member in members),
            listed=[each.listed - each.started for each in members if each.listed],
            registered=[each.registered - each.started for each in members if each.registered],
            list_known=[each.list_known - since for each in members if each.list_known],
            fleet_known=[each.fleet_known - since for each in members if each.fleet_known],
            least_serving=min(serving, default=0),
            most_serving=max(serving, default=0),
            without_record=sum(1 for member in members if not member.has_record),
            longest_turn=self._longest_gap,
            traffic={str(port): asdict(count) for port, count in self._traffic.peers.items()},
            errors=dict(self._errors.most_common(10)),
        )


def select(numbers: range, zones: int, which: str) -> list[int]:
    """Return `all` of these members, those of the `last` zone, or the `rest`."""
    last = zones - 1
    if which == "all":
        return list(numbers)
    return [number for number in numbers if (number % zones == last) == (which == "last")]


def main() -> None:
    """Run members until the end of the standard input."""
    first, end, zones = map(int, sys.argv[2:5])
    part, parts = map(int, sys.argv[6:8])
    numbers = select(range(first, end), zones, sys.argv[5])[part::parts]
    traffic = count_traffic()
    config = hollow_config(Path(sys.argv[1]))
    loop = Loop(on_error)
    members = Members(loop, config, numbers, zones, traffic)
    gc.freeze()
    gc.set_threshold(5_000, 5, 5)  # as `pulleyroute serve` does
    loop.spawn(read_commands(loop, members.handle), "commands")
    write_answer({"ready": len(numbers)})
    loop.run()


if __name__ == "__main__":
    main()
