"""Core members in virtual time: their network, their disks, and the ends and starts of their processes.

The members are `pulleyroute.control.member.Member`, driven as a real process drives them: the record of a
step is stored, which takes a while, and then its messages and answers go out. Messages are encoded and
decoded. They may be late, out of order, lost or doubled, more than a real connection would let them.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from pulleyroute.control.errors import StorageError
from pulleyroute.control.member import Member, Output
from pulleyroute.control.messages import CallAnswer, decode, encode
from pulleyroute.control.record import Record, first_record
from pulleyroute.control.storage import RecordStorage
from pulleyroute.emulator.cluster.disk import SimulatedFolder

MILLISECOND = 1_000
SECOND = 1_000_000
TICK_US = 50 * MILLISECOND
SYNC_US = 2 * MILLISECOND
USUAL_LOSS = 0.002  # share of messages
MIN_DELAY_US, MAX_DELAY_US = 200, 15 * MILLISECOND
MAX_START_SPREAD_US = 300 * MILLISECOND

Handler = Callable[[Member], Output]
MemberFactory = Callable[[str, str, Record, int, Random], Member]
StorageFactory = Callable[[SimulatedFolder], RecordStorage]


@dataclass(slots=True, eq=False)
class Machine:
    """One machine of the core, with its disk and its process, if that runs."""

    address: str
    folder: SimulatedFolder
    bootstrap: bool
    member: Member | None = None
    storage: RecordStorage | None = None
    life: int = 0
    frozen: bool = False
    writing: bool = False
    removed: bool = False
    disk_delay_us: int = SYNC_US
    disk_stalled: bool = False
    events: deque[Handler] = field(default_factory=deque)
    unsent: list[Callable[[], None]] = field(default_factory=list)  # held back by a freeze
    stalled_write: Callable[[], None] | None = None

    @property
    def runs(self) -> bool:
        """Whether its process exists; it may be frozen."""
        return self.member is not None


class Simulation:
    """Owns the clock, the machines and what is on its way between them."""

    def __init__(
        self,
        seed: int,
        machines: int = 3,
        tolerate: int = 1,
        member_factory: MemberFactory = Member,
        storage_factory: StorageFactory = RecordStorage,
    ) -> None:
        self.random = Random(seed)
        self.now = 0
        self.tolerate = tolerate
        self._member_factory = member_factory
        self._storage_factory = storage_factory
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_number = 0
        self.cuts: set[tuple[str, str]] = set()  # from, to
        self.loss = USUAL_LOSS
        self.doubling = 0.01
        self._answer_handlers: dict[str, Callable[[CallAnswer], None]] = {}
        self._call_number = 0
        self.machines: dict[str, Machine] = {}
        addresses = [f"10.0.0.{number}:7000" for number in range(1, machines + 1)]
        self.seeds = tuple(addresses[:3])
        for address in addresses:
            self.machines[address] = Machine(address, SimulatedFolder(self.random), bootstrap=True)
            self.after(self.random.randrange(MAX_START_SPREAD_US), partial(self.start, address))

    # Time

    def after(self, delay: int, action: Callable[[], None]) -> None:
        """Run an action after a delay in microseconds."""
        self._event_number += 1
        heapq.heappush(self._events, (self.now + delay, self._event_number, action))

    def run_until(self, end: int) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    # Processes

    def start(self, address: str) -> None:
        """Start the process of a machine, from what is on its disk."""
        machine = self.machines[address]
        if machine.runs or machine.removed:
            return
        machine.life += 1
        machine.storage = self._storage_factory(machine.folder)
        try:
            record = machine.storage.load()
            if record is None:
                record = first_record(self.new_incarnation(address), machine.bootstrap, self.seeds)
                machine.storage.save(record)
        except StorageError:
            self.after(SECOND // 2, lambda: self.start(address))
            return
        life = f"{address}/{machine.life}"
        machine.member = self._member_factory(
            address, life, record, self.tolerate, Random(self.random.getrandbits(32))
        )
        machine.bootstrap = False
        self._tick(address, machine.life)

    def new_incarnation(self, address: str) -> str:
        """Return the incarnation of a new data folder at an address."""
        return f"{self.random.getrandbits(48):012x}"

    def stop(self, address: str, power: bool = False) -> None:
        """End the process of a machine; with `power`, what was not synced may be lost."""
        machine = self.machines[address]
        machine.member = None
        machine.frozen = machine.writing = False
        machine.events.clear()
        machine.unsent.clear()
        machine.stalled_write = None
        if power:
            machine.folder.lose_power()

    def wipe(self, address: str) -> None:
        """End the process of a machine, and give it an empty disk."""
        self.stop(address)
        self.machines[address].folder = SimulatedFolder(self.random)
        self.machines[address].bootstrap = False

    def add_machine(self, address: str) -> None:
        """Add an empty machine, and start it."""
        self.machines[address] = Machine(address, SimulatedFolder(self.random), bootstrap=False)
        self.start(address)

    def remove_machine(self, address: str) -> None:
        """End a machine for good."""
        self.stop(address)
        self.machines[address].removed = True

    def freeze(self, address: str) -> None:
        """Stop the process of a machine where it is."""
        self.machines[address].frozen = True

    def thaw(self, address: str) -> None:
        """Let a frozen process go on with what it was doing, then with what has come meanwhile."""
        machine = self.machines[address]
        machine.frozen = False
        unsent, machine.unsent = machine.unsent, []
        for send in unsent:
            send()
        self._work(machine)

    def _tick(self, address: str, life: int) -> None:
        machine = self.machines[address]
        if machine.life != life or not machine.runs:
            return
        self.give(machine, lambda member: member.tick(self.now))
        self.after(TICK_US, lambda: self._tick(address, life))

    # Work of one process: one event at a time, stored before anything goes out

    def give(self, machine: Machine, handler: Handler) -> None:
        """Give a running process an event."""
        if machine.runs:
            machine.events.append(handler)
            self._work(machine)

    def _work(self, machine: Machine) -> None:
        while machine.events and machine.member is not None and not (machine.frozen or machine.writing):
            output = machine.events.popleft()(machine.member)
            if output.record is None:
                self._send_output(machine, output)
            else:
                self._store(machine, output)

    def _store(self, machine: Machine, output: Output) -> None:
        machine.writing = True
        life = machine.life

        def finish() -> None:
            if machine.life != life or machine.member is None:
                return
            if machine.disk_stalled:
                machine.stalled_write = finish
                return
            assert machine.storage is not None and output.record is not None
            try:
                machine.storage.save(output.record)
            except StorageError:
                self.stop(machine.address)  # nothing of this step was sent; the next life reads the disk
                self.after(SECOND // 2, lambda: self.start(machine.address))
                return
            machine.writing = False
            if machine.frozen:
                machine.unsent.append(lambda: self._send_output(machine, output))
            else:
                self._send_output(machine, output)
                self._work(machine)

        self.after(machine.disk_delay_us, finish)

    def release_disk(self, machine: Machine) -> None:
        """End the stall of a disk."""
        machine.disk_stalled = False
        write, machine.stalled_write = machine.stalled_write, None
        if write is not None:
            write()

    def _send_output(self, machine: Machine, output: Output) -> None:
        for address, envelope in output.sends:
            self._send(machine.address, address, encode(envelope))
        for answer in output.answers:
            handler = self._answer_handlers.pop(answer.call, None)
            if handler is not None:
                handler(answer)

    # Network

    def _send(self, sender: str, receiver: str, data: bytes) -> None:
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.doubling else 1
        for _ in range(copies):
            delay = self.random.randrange(MIN_DELAY_US, MAX_DELAY_US)
            self.after(delay, lambda: self._deliver(sender, receiver, data))

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        machine = self.machines.get(receiver)
        if machine is not None and (sender, receiver) not in self.cuts:
            self.give(machine, lambda member: member.receive(decode(data), self.now))

    # Calls of operators, who reach every machine

    def call(
        self,
        address: str,
        make: Callable[[Member, str], Output],
        on_answer: Callable[[CallAnswer], None],
    ) -> None:
        """Make a call at a machine; `on_answer` is called at most once."""
        machine = self.machines[address]
        self._call_number += 1
        call = f"{machine.life}-{self._call_number}"
        self._answer_handlers[call] = on_answer
        delay = self.random.randrange(MIN_DELAY_US, MAX_DELAY_US)
        self.after(delay, lambda: self.give(machine, lambda member: make(member, call)))
