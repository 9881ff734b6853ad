"""The callers of the simulated core: they order and read, and send again what got no clear answer."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from random import Random

from pulleyroute.control.messages import CallAnswer
from pulleyroute.emulator.cluster.simulation import MILLISECOND, SECOND, Simulation

PATIENCE_US = 1_200 * MILLISECOND  # for an answer, before the call is made again elsewhere
FIRST_PAUSE_US, MAX_PAUSE_US = 50 * MILLISECOND, 800 * MILLISECOND
OK, INVALID, STALE = 200, 400, 412
CLEAR_STATUSES = (OK, INVALID, STALE)


@dataclass(slots=True, eq=False)
class Operation:
    """One order or read as its caller saw it.

    Times are microseconds; `ended_at` is None without a clear answer.
    """

    kind: str
    began_at: int
    base: int = 0
    version: int = 0
    document: str = ""
    statuses: list[int] = field(default_factory=list)  # of all tries that got a clear answer
    answered_version: int = 0
    answered_document: str = ""
    ended_at: int | None = None


def configuration(version: int, marker: int) -> str:
    """Return a valid configuration, unlike any other of another marker."""
    services = [{"name": "a", "maxConns": 8}]
    routes = [{"name": "r", "host": "h", "pathPrefix": "/", "timeoutMs": 1 + marker, "backend": "a"}]
    return json.dumps({"version": version, "routes": routes, "services": services})


class Operator:
    """Makes one call at a time, an order or a read, until it has a clear answer or gives up."""

    def __init__(self, simulation: Simulation, number: int, history: list[Operation]) -> None:
        self._simulation = simulation
        self._random = Random(simulation.random.getrandbits(32))
        self._number = number
        self._orders = 0
        self._history = history
        self._known_version = 0
        self.stopped = False
        self.lost_answers = 0.0  # share of answers that don't arrive

    def begin(self) -> None:
        """Begin the next operation after a pause."""
        if not self.stopped:
            self._simulation.after(self._random.randrange(20, 700) * MILLISECOND, self._operate)

    def _operate(self) -> None:
        if self._random.random() < 0.5:
            self.read()
        else:
            self.order()

    def read(self) -> Operation:
        """Read the configuration."""
        operation = Operation("read", self._simulation.now)
        self._history.append(operation)
        self._attempt(operation, 0)
        return operation

    def order(self) -> Operation:
        """Order a change of the newest version that this operator knows of."""
        self._orders += 1
        base = self._known_version
        version = base + self._random.randrange(1, 4)
        marker = self._number * 1_000_000 + self._orders
        operation = Operation("order", self._simulation.now, base, version, configuration(version, marker))
        self._history.append(operation)
        self._attempt(operation, 0)
        return operation

    def _attempt(self, operation: Operation, attempts: int) -> None:
        simulation = self._simulation
        running = [address for address, machine in simulation.machines.items() if not machine.removed]
        address = self._random.choice(running)
        answered = False

        def on_answer(answer: CallAnswer) -> None:
            nonlocal answered
            if self._random.random() >= self.lost_answers:
                late = answered
                answered = True
                self._take(operation, answer, attempts, late)

        def on_silence() -> None:
            nonlocal answered
            if not answered:
                answered = True
                self._again(operation, attempts)

        if operation.kind == "read":
            simulation.call(address, lambda member, call: member.read(call, simulation.now), on_answer)
        else:
            simulation.call(
                address,
                lambda member, call: member.order(call, operation.base, operation.document, simulation.now),
                on_answer,
            )
        simulation.after(PATIENCE_US, on_silence)

    def _take(self, operation: Operation, answer: CallAnswer, attempts: int, late: bool) -> None:
        """Note an answer; one that comes after the caller has turned elsewhere is not read."""
        if late:
            return
        if answer.status not in CLEAR_STATUSES:
            self._again(operation, attempts)
            return
        operation.statuses.append(answer.status)
        operation.answered_version = answer.version
        operation.answered_document = answer.document
        operation.ended_at = self._simulation.now
        self._known_version = max(self._known_version, answer.version)
        if operation.kind == "order" and operation.statuses[-1] == OK and self._random.random() < 0.2:
            self._repeat(operation)
        self.begin()

    def _again(self, operation: Operation, attempts: int) -> None:
        if self.stopped and attempts > 40:
            return
        pause = min(MAX_PAUSE_US, FIRST_PAUSE_US * 2**attempts)
        self._simulation.after(
            self._random.randrange(1, pause), lambda: self._attempt(operation, attempts + 1)
        )

    def _repeat(self, operation: Operation) -> None:
        """Send an acknowledged order once more, anywhere, as after a lost acknowledgement."""
        simulation = self._simulation
        address = self._random.choice(
            [address for address, machine in simulation.machines.items() if not machine.removed]
        )

        def note(answer: CallAnswer) -> None:
            if answer.status in CLEAR_STATUSES:
                operation.statuses.append(answer.status)

        def repeat() -> None:
            simulation.call(
                address,
                lambda member, call: member.order(call, operation.base, operation.document, simulation.now),
                note,
            )

        simulation.after(self._random.randrange(1, 2 * SECOND), repeat)
