"""Drives a core member in a process: its disk, its peers, its timer, and the calls of operators.

The order within a step is the member's: its record is stored, then its messages and answers go out. If the
record can't be stored, the output is dropped and the member starts anew from the disk.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec
from loguru import logger

from pulleyroute.control.errors import StorageError
from pulleyroute.control.member import UNAVAILABLE, Member, Output
from pulleyroute.control.messages import CallAnswer, decode, encode
from pulleyroute.control.record import Record, first_record
from pulleyroute.control.storage import RecordStorage
from pulleyroute.net.loop import Loop
from pulleyroute.peer.transport import PeerTransport

TICK_US = 50_000
RESTART_PAUSE_US = 500_000  # after a record that could not be stored
ID_BITS = 64

AnswerHandler = Callable[[CallAnswer], None]


class CoreDriver:
    """Owns the member, its storage, and the calls that wait for an answer."""

    def __init__(
        self,
        loop: Loop,
        address: str,
        seeds: tuple[str, ...],
        bootstrap: bool,
        tolerate: int,
        storage: RecordStorage,
        random: Random,
    ) -> None:
        """`address`: of this member for its peers; `random`: a source that differs between processes."""
        self._loop, self._address, self._seeds = loop, address, seeds
        self._bootstrap, self._tolerate, self._storage, self._random = bootstrap, tolerate, storage, random
        self._calls: dict[str, AnswerHandler] = {}
        self._call_number = 0
        self.member: Member | None = None
        self.transport = PeerTransport(loop, self._receive, random)
        self.stopped = False

    def start(self) -> None:
        """Read the record, or make a first one, and take part from now on."""
        if self.stopped:
            return
        try:
            record = self._load()
        except StorageError as exc:
            self._restart_later(exc)
            return
        life = f"{self._random.getrandbits(ID_BITS):016x}"
        self.member = Member(self._address, life, record, self._tolerate, self._random)
        logger.bind(event="core.started", incarnation=record.incarnation, view=record.view.number).info(
            "core member {} at view {}", record.incarnation, record.view.number
        )
        self._tick(self.member)

    def stop(self) -> None:
        """End the member and its connections."""
        self.stopped = True
        self.member = None
        self.transport.close()

    def _load(self) -> Record:
        record = self._storage.load()
        if record is None:
            incarnation = f"{self._random.getrandbits(ID_BITS):016x}"
            record = first_record(incarnation, self._bootstrap, self._seeds)
            self._storage.save(record)
        return record

    def _restart_later(self, exc: StorageError) -> None:
        logger.bind(event="core.disk").error("{}; starting again from the disk", exc)
        self.member = None
        self._loop.call_at(self._loop.now() + RESTART_PAUSE_US, self.start)

    def _tick(self, member: Member) -> None:
        if member is self.member:
            self._carry_out(member.tick(self._loop.now()))
            self._loop.call_at(self._loop.now() + TICK_US, lambda: self._tick(member))

    def _receive(self, payload: bytes) -> None:
        try:
            envelope = decode(payload)
        except msgspec.MsgspecError as exc:
            logger.bind(event="peer.unreadable").warning("a message of a peer can't be read: {}", exc)
            return
        if self.member is not None:
            self._carry_out(self.member.receive(envelope, self._loop.now()))

    def _carry_out(self, output: Output) -> None:
        if output.record is not None:
            try:
                self._storage.save(output.record)
            except StorageError as exc:
                self._restart_later(exc)
                return
        for address, envelope in output.sends:
            self.transport.send(address, encode(envelope))
        for answer in output.answers:
            handler = self._calls.pop(answer.call, None)
            if handler is not None:
                handler(answer)

    # Calls of operators

    def order(self, base: int, document: str, on_answer: AnswerHandler) -> str:
        """Order a configuration on top of version `base`; returns the id by which to `forget` the call."""
        return self._call(
            lambda member, call: member.order(call, base, document, self._loop.now()), on_answer
        )

    def read(self, on_answer: AnswerHandler) -> str:
        """Read the configuration; returns the id by which to `forget` the call."""
        return self._call(lambda member, call: member.read(call, self._loop.now()), on_answer)

    def forget(self, call: str) -> None:
        """Give up a call whose caller waits no longer; its answer is dropped."""
        self._calls.pop(call, None)

    def _call(self, make: Callable[[Member, str], Output], on_answer: AnswerHandler) -> str:
        if self.member is None:
            on_answer(CallAnswer("", UNAVAILABLE))
            return ""
        self._call_number += 1
        call = f"{self.member.life}-{self._call_number}"
        self._calls[call] = on_answer
        self._carry_out(make(self.member, call))
        return call
