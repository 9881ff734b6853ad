"""One member of the core: joins views, chain, orders and reads. No I/O, no clock.

Each call returns an `Output`. The driver stores its record first, if there is one, then sends its messages
and gives its answers; if the record can't be stored, it drops the output and starts the member anew from
the disk. Times are microseconds of a steady clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from pulleyroute.control import agreement, messages
from pulleyroute.control.contact import ContactRounds
from pulleyroute.control.errors import InvalidConfiguration
from pulleyroute.control.failure_detector import FailureDetector
from pulleyroute.control.messages import (
    Accept,
    Accepted,
    CallAnswer,
    Confirm,
    Confirmed,
    Copy,
    Envelope,
    Join,
    Learn,
    Message,
    OrderCall,
    Prepare,
    Probe,
    ProbeAck,
    Promise,
    ReadCall,
    Reject,
    Replicate,
    Replicated,
)
from pulleyroute.control.orders import HeadOrders
from pulleyroute.control.proposer import DesiredView, Proposer, next_voters
from pulleyroute.control.record import Record
from pulleyroute.control.register import Verdict, read_order
from pulleyroute.control.view import MemberId, View

CALL_TIMEOUT_US = 2_500_000  # for a call that was passed on to the head or the tail
REPLICATE_RETRY_US = 250_000
JOIN_INTERVAL_US = 300_000
JOIN_VALIDITY_US = 1_000_000  # since a newcomer has last asked
GENESIS_PATIENCE_US = 3_000_000  # for the last of the seeds; after that a majority of them is enough
DEAD_AFTER_US = 1_500_000  # without a sign of life, before a newcomer takes a voter's place
SEALED_PATIENCE_US = 800_000  # in which the proposer of a sealed view should have had it chosen

OK, INVALID, UNAVAILABLE = 200, 400, 503

Reply = Callable[[CallAnswer], None]


@dataclass(slots=True)
class Output:
    """What a driver has to do, in this order.

    `sends`: addresses and envelopes; `answers`: to calls made here.
    """

    record: Record | None = None
    sends: list[tuple[str, Envelope]] = field(default_factory=list)
    answers: list[CallAnswer] = field(default_factory=list)


@dataclass(slots=True)
class Newcomer:
    """A member that asks to be taken in."""

    member: MemberId
    asked_at: int
    copied: int


class Member:
    """The core's part of one process. Owns the record and all that is under way."""

    def __init__(self, address: str, life: str, record: Record, tolerate: int, random: Random) -> None:
        """`life`: drawn at each start of the process; `tolerate`: disks that may be lost at once."""
        self.id = MemberId(record.incarnation, address)
        self.life = life
        self.record = record
        self._tolerate = tolerate
        self._detector = FailureDetector(record.incarnation)
        self._proposer = Proposer(record.incarnation, tolerate + 1, random)
        self._contact = ContactRounds()
        self._orders = HeadOrders()
        self._output = Output()
        self._inbox: deque[tuple[MemberId, Message]] = deque()  # messages to itself
        self._now = 0
        self._started_at: int | None = None
        self._sealed_at: int | None = None
        self._probe_nonce = 0
        self._replicate_again_at = 0
        self._join_again_at = 0
        self._newcomers: dict[str, Newcomer] = {}
        self._calls: dict[str, int] = {}  # passed on and not answered: by id, when each ends
        self._handlers: dict[type, Callable[[MemberId, messages.Message], None]] = {
            Probe: self._on_probe,
            ProbeAck: self._on_probe_ack,
            Prepare: self._on_prepare,
            Promise: self._on_promise,
            Reject: self._on_reject,
            Accept: self._on_accept,
            Accepted: self._on_accepted,
            Learn: self._on_learn,
            Replicate: self._on_replicate,
            Replicated: self._on_replicated,
            Confirm: self._on_confirm,
            Confirmed: self._on_confirmed,
            Join: self._on_join,
            Copy: self._on_copy,
            OrderCall: self._on_order,
            ReadCall: self._on_read,
            CallAnswer: self._on_answer,
        }

    # Entry points

    def receive(self, envelope: Envelope, now: int) -> Output:
        """Handle a message of another member."""
        self._begin(now)
        if envelope.to in ("", self.id.incarnation):
            self._dispatch(envelope.sender, envelope.message)
        return self._finish()

    def tick(self, now: int) -> Output:
        """Do what is due at this time; to be called every few tens of milliseconds."""
        self._begin(now)
        self._send_probes()
        self._join()
        self._proposer.check_timeout(now)
        self._consider_proposal()
        self._continue_proposal()
        self._replicate_again()
        self._ask_for_confirmations()
        self._orders.expire(now)
        self._expire_calls()
        return self._finish()

    def order(self, call: str, base: int, document: str, now: int) -> Output:
        """Handle an operator's order to replace version `base`; `call` is unique in this life."""
        self._begin(now)
        try:
            read_order(base, document)
        except InvalidConfiguration as exc:
            self._output.answers.append(CallAnswer(call, INVALID, 0, str(exc)))
            return self._finish()
        self._pass_on(call, self.record.view.head, OrderCall(call, base, document))
        return self._finish()

    def read(self, call: str, now: int) -> Output:
        """Handle an operator's read of the configuration; `call` is unique in this life."""
        self._begin(now)
        self._pass_on(call, self.record.view.tail, ReadCall(call))
        return self._finish()

    def _begin(self, now: int) -> None:
        self._now = now
        if self._started_at is None:
            self._started_at = now
        self._output = Output()

    def _finish(self) -> Output:
        while self._inbox:
            self._dispatch(*self._inbox.popleft())
        return self._output

    def _dispatch(self, sender: MemberId, message: Message) -> None:
        self._handlers[type(message)](sender, message)

    # Record and messages

    @property
    def view(self) -> View:
        """The newest view that this member knows."""
        return self.record.view

    @property
    def can_vote(self) -> bool:
        """Whether this member is a voter of its view."""
        if self.view.number == 0 and not self.record.born_with_system:
            return False
        return self.view.voter_id(self.id) is not None

    @property
    def is_active(self) -> bool:
        """Whether this member takes part in its view: it has stored the view's state and is not sealed."""
        installed = self.view.number > 0 and self.record.installed == self.view.number
        return installed and not self.record.sealed

    @property
    def may_answer(self) -> bool:
        """Whether its view's chain has enough disks for answers to rest on them."""
        return self.is_active and len(self.view.chain) > self._tolerate

    def _store(self, record: Record) -> None:
        if record is not self.record:
            self.record = self._output.record = record

    def _send(self, to: MemberId, message: Message) -> None:
        if to.incarnation == self.id.incarnation or (not to.incarnation and to.address == self.id.address):
            self._inbox.append((self.id, message))
            return
        envelope = Envelope(self.id, self.life, to.incarnation, message)
        self._output.sends.append((to.address, envelope))

    def _send_to_voters(self, message: Message) -> None:
        for voter in self.view.voters:
            self._send(voter, message)

    def _voter(self, incarnation: str | None) -> MemberId | None:
        return next((voter for voter in self.view.voters if voter.incarnation == incarnation), None)

    # Probes

    def _send_probes(self) -> None:
        nonce = self._detector.probe_due(self._now)
        if nonce is None:
            return
        self._probe_nonce = nonce
        message = Probe(nonce, self.view.number, self._detector.reachable(self._now))
        for member in sorted({*self.view.voters, *(each.member for each in self._newcomers.values())}):
            if member.address != self.id.address:
                self._send(member, message)

    def _on_probe(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Probe)
        self._detector.reported(sender.incarnation, message.reachable, self._now)
        reachable = self._detector.reachable(self._now)
        self._send(sender, ProbeAck(message.nonce, self.view.number, reachable))
        self._tell_newer_view(sender, message.view)

    def _on_probe_ack(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, ProbeAck)
        if self._probe_nonce - message.nonce <= 2:  # a late one says nothing about the present
            self._detector.acknowledged(sender.incarnation, self._now)
        self._detector.reported(sender.incarnation, message.reachable, self._now)
        self._tell_newer_view(sender, message.view)

    def _tell_newer_view(self, sender: MemberId, number: int) -> None:
        if number < self.view.number:
            self._send(sender, Learn(self.view))

    # Choice of the next view

    def _consider_proposal(self) -> None:
        if not self.can_vote:
            return
        if self.record.sealed and self._sealed_at is None:
            self._sealed_at = self._now
        connected = self._connected_voters()
        self._proposer.desire(self._desired_view(connected), self._now)
        preferred = min(connected, default="") == self.id.incarnation
        if self._proposer.is_due(preferred, self._now):
            prepare = self._proposer.begin(self.view.number + 1, self.record.promised, self._now)
            self._send_to_voters(prepare)

    def _connected_voters(self) -> frozenset[str]:
        if self.view.number == 0:
            return frozenset((self.id.incarnation, *self._detector.reachable(self._now)))
        return self._detector.connected([voter.incarnation for voter in self.view.voters], self._now)

    def _desired_view(self, connected: frozenset[str]) -> DesiredView | None:
        """Return what the next view should be, None if the present one should stay."""
        view = self.view
        assert self._started_at is not None
        if view.number == 0:
            patient = self._now - self._started_at < GENESIS_PATIENCE_US
            enough = len(view.voters) if patient else view.majority
            return DesiredView(frozenset(), ()) if len(connected) >= enough else None
        if len(connected) < view.majority or self.id.incarnation not in connected:
            return None
        voters = self._desired_voters()
        stuck = self._sealed_at is not None and self._now - self._sealed_at > SEALED_PATIENCE_US
        if connected != frozenset(view.chain) or voters != view.voters or stuck:
            return DesiredView(connected, voters)
        return None

    def _desired_voters(self) -> tuple[MemberId, ...]:
        """Return the voters of the next view: one change at most, and only for a newcomer with a copy."""
        view, now = self.view, self._now
        since = self._started_at or 0
        dead = frozenset(
            voter.incarnation
            for voter in view.voters
            if voter.incarnation != self.id.incarnation
            and self._detector.unheard_for(voter.incarnation, now, since) > DEAD_AFTER_US
        )
        ready = [
            each.member
            for each in self._newcomers.values()
            if each.copied == view.number and now - each.asked_at <= JOIN_VALIDITY_US
        ]
        all_reached = all(self._detector.reaches(voter.incarnation, now) for voter in view.voters)
        least = 2 * self._tolerate + 1
        return next_voters(view, min(ready, default=None), dead, all_reached, least)

    def _continue_proposal(self) -> None:
        accept = self._proposer.propose(self.view, self._now)
        if accept is not None:
            self._send_to_voters(accept)

    def _on_prepare(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Prepare)
        if not self._votes_on(sender, message.number):
            return
        record, answer = agreement.promise(self.record, message)
        self._seal(record)
        self._send(sender, answer)

    def _on_accept(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Accept)
        if not self._votes_on(sender, message.view.number):
            return
        record, answer = agreement.accept(self.record, message)
        self._seal(record)
        self._send(sender, answer)

    def _votes_on(self, sender: MemberId, number: int) -> bool:
        """Whether this member has a vote on the view of this number."""
        if number <= self.view.number:
            self._send(sender, Learn(self.view))
        return number == self.view.number + 1 and self.can_vote

    def _seal(self, record: Record) -> None:
        """Store a promise; from now on the member takes part in no change of its view."""
        if not self.record.sealed:
            self._drop_what_waits()
            self._sealed_at = self._now
        self._store(record)

    def _on_promise(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Promise)
        voter = self.view.voter_id(sender)
        if voter is not None and message.number == self.view.number + 1:
            self._proposer.on_promise(voter, sender, message)
            self._continue_proposal()

    def _on_reject(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Reject)
        if message.number == self.view.number + 1 and message.ballot == self._proposer.ballot:
            self._proposer.rejected(message.promised, self._now)

    def _on_accepted(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Accepted)
        voter = self.view.voter_id(sender)
        if voter is None or message.number != self.view.number + 1:
            return
        chosen = self._proposer.on_accepted(voter, message, self.view.majority)
        if chosen is not None:
            before = self.view.voters
            self._adopt(chosen)
            for member in sorted({*before, *chosen.voters}):
                self._send(member, Learn(chosen))

    def _on_learn(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Learn)
        if message.view.number > self.view.number:
            self._adopt(message.view)
        else:
            self._tell_newer_view(sender, message.view.number)

    def _adopt(self, view: View) -> None:
        self._drop_what_waits()
        self._store(self.record.adopt(view))
        self._sealed_at = None
        self._proposer.reset(self._now)
        self._fail_calls(list(self._calls))  # the head and the tail of the former view answer them no more
        self._newcomers = {name: each for name, each in self._newcomers.items() if self._voter(name) is None}
        self._replicate()

    def _drop_what_waits(self) -> None:
        self._contact.clear()
        self._orders.clear()

    # The chain

    def _replicate(self) -> None:
        """Send the register down the chain, if this member is its head."""
        if self.view.head != self.id.incarnation or not self.is_active:
            return
        self._replicate_again_at = self._now + REPLICATE_RETRY_US
        self._pass_down()

    def _replicate_again(self) -> None:
        if self._orders.replicated != self.record.register.sequence and self._now >= self._replicate_again_at:
            self._replicate()

    def _pass_down(self) -> None:
        """Pass the stored register to the next member of the chain; the tail informs the head instead."""
        successor = self._voter(self.view.successor(self.id.incarnation))
        if successor is not None:
            self._send(successor, Replicate(self.view.number, self.record.register))
            return
        head = self._voter(self.view.head)
        if head is not None:
            self._send(head, Replicated(self.view.number, self.record.register.sequence))

    def _on_replicate(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Replicate)
        view, record = self.view, self.record
        if message.view != view.number:
            self._tell_newer_view(sender, message.view)
            return
        if record.sealed or view.successor(sender.incarnation) != self.id.incarnation:
            return
        if record.installed < view.number or message.register.sequence > record.register.sequence:
            self._store(record.install(view.number, message.register))
        elif message.register.sequence < record.register.sequence:
            return
        self._pass_down()

    def _on_replicated(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Replicated)
        register = self.record.register
        if (
            message.view == self.view.number
            and self.is_active
            and self.view.head == self.id.incarnation
            and message.sequence == register.sequence
            and self._orders.replicated != register.sequence
        ):
            self._orders.stored_by_all(register)
            self._take_orders()

    def _take_orders(self) -> None:
        register = self._orders.next_register(self.record.register)
        if register is not None:
            self._store(self.record.install(self.view.number, register))
            self._replicate()
        self._ask_for_confirmations()

    # Contact with a majority

    def _ask_for_confirmations(self) -> None:
        nonce = self._contact.begin(self.view.majority, self._now)
        if nonce is None:
            nonce = self._contact.retry(self._now)
        if nonce is not None:
            self._send_to_voters(Confirm(self.view.number, nonce))

    def _on_confirm(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Confirm)
        if message.view == self.view.number and self.can_vote and not self.record.sealed:
            self._send(sender, Confirmed(message.view, message.nonce))
        else:
            self._tell_newer_view(sender, message.view)

    def _on_confirmed(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Confirmed)
        voter = self.view.voter_id(sender)
        if voter is not None and message.view == self.view.number:
            self._contact.confirmed(voter, message.nonce)
            self._ask_for_confirmations()

    def _answer_after_contact(self, to: MemberId, answer: CallAnswer) -> None:
        self._contact.add(lambda: self._send(to, answer))

    # Newcomers

    def _join(self) -> None:
        """Ask to be taken in, if this member has no vote."""
        if self.can_vote or self._now < self._join_again_at:
            return
        self._join_again_at = self._now + JOIN_INTERVAL_US
        addresses = {*self.record.seeds, *(voter.address for voter in self.view.voters)} - {self.id.address}
        for address in sorted(addresses):
            self._send(MemberId("", address), Join(self.record.copied))

    def _on_join(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, Join)
        if not self.can_vote or self.view.number == 0 or self._voter(sender.incarnation) is not None:
            self._tell_newer_view(sender, 0)
            return
        self._newcomers[sender.incarnation] = Newcomer(sender, self._now, message.copied)
        is_whole = self.is_active and self.view.head == self.id.incarnation
        if message.copied != self.view.number and is_whole:
            self._send(sender, Copy(self.view, self.record.register))

    def _on_copy(self, sender: MemberId, message: Message) -> None:
        """Store a copy of the state; it makes this member a candidate, never a source of a view's state."""
        assert isinstance(message, Copy)
        if message.view.number < self.view.number or message.view.voter_id(self.id) is not None:
            return
        if message.view.number > self.view.number:
            self._adopt(message.view)
        copied = msgspec.structs.replace(
            self.record, copied=message.view.number, installed=0, register=message.register
        )
        self._store(copied)
        self._send(sender, Join(copied.copied))

    # Calls of operators

    def _pass_on(self, call: str, incarnation: str | None, message: Message) -> None:
        to = self._voter(incarnation)
        if to is None:
            self._output.answers.append(CallAnswer(call, UNAVAILABLE))
            return
        self._calls[call] = self._now + CALL_TIMEOUT_US
        self._send(to, message)

    def _expire_calls(self) -> None:
        self._fail_calls([call for call, until in self._calls.items() if until <= self._now])

    def _fail_calls(self, calls: list[str]) -> None:
        """Give calls that were passed on no clear answer."""
        for call in calls:
            del self._calls[call]
            self._output.answers.append(CallAnswer(call, UNAVAILABLE))

    def _on_answer(self, sender: MemberId, message: Message) -> None:
        """Give an answer to the call made here; of a call that has ended or was never made it is dropped."""
        assert isinstance(message, CallAnswer)
        if self._calls.pop(message.call, None) is not None:
            self._output.answers.append(message)

    def _on_order(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, OrderCall)
        if not (self.may_answer and self.view.head == self.id.incarnation):
            self._send(sender, CallAnswer(message.call, UNAVAILABLE))
            return
        try:
            order = read_order(message.base, message.document)
        except InvalidConfiguration as exc:
            self._send(sender, CallAnswer(message.call, INVALID, 0, str(exc)))
            return

        def answer(verdict: Verdict | None, version: int) -> None:
            if verdict is None:
                self._send(sender, CallAnswer(message.call, UNAVAILABLE))
            else:
                self._answer_after_contact(sender, CallAnswer(message.call, verdict.value, version))

        self._orders.add(order, answer, self._now)
        self._take_orders()

    def _on_read(self, sender: MemberId, message: Message) -> None:
        assert isinstance(message, ReadCall)
        if not (self.may_answer and self.view.tail == self.id.incarnation):
            self._send(sender, CallAnswer(message.call, UNAVAILABLE))
            return
        register = self.record.register
        self._answer_after_contact(sender, CallAnswer(message.call, OK, register.version, register.document))
        self._ask_for_confirmations()
