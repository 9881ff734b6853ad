"""The messages between core members, and their encoding as JSON.

Every message carries its sender's identity in the envelope. A message that belongs to a view names the view's
number; a receiver with another view drops it, and sends its own (`Learn`) to a sender with an older one.
"""

from __future__ import annotations

import msgspec

from pulleyroute.control.register import Register
from pulleyroute.control.view import MemberId, View


class Ballot(msgspec.Struct, frozen=True, order=True):
    """The rank of a proposal. Of two proposals with one round the proposer's name decides."""

    round: int
    proposer: str


class Probe(msgspec.Struct, frozen=True, tag=True):
    """Asks for a sign of life. `reachable`: members whose acknowledgements the sender had lately."""

    nonce: int
    view: int
    reachable: tuple[str, ...]


class ProbeAck(msgspec.Struct, frozen=True, tag=True):
    """Answers a probe."""

    nonce: int
    view: int
    reachable: tuple[str, ...]


class Prepare(msgspec.Struct, frozen=True, tag=True):
    """Asks the voters of the view before for a promise to accept no lower ballot for this view."""

    number: int
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, tag=True):
    """Promises, and seals the view before: its sender stores and acknowledges no change in it any more.

    `installed`: the newest view whose state the sender has stored; see `agreement.choose_source`.
    """

    number: int
    ballot: Ballot
    accepted_ballot: Ballot | None
    accepted_view: View | None
    installed: int


class Reject(msgspec.Struct, frozen=True, tag=True):
    """Answers a proposal whose ballot is too low with the ballot that was promised."""

    number: int
    ballot: Ballot
    promised: Ballot


class Accept(msgspec.Struct, frozen=True, tag=True):
    """Asks the voters of the view before to accept a view."""

    ballot: Ballot
    view: View


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """Reports that the sender has accepted the view of a ballot."""

    number: int
    ballot: Ballot


class Learn(msgspec.Struct, frozen=True, tag=True):
    """Announces a view that was chosen."""

    view: View


class Replicate(msgspec.Struct, frozen=True, tag=True):
    """Carries the whole register down the chain of a view."""

    view: int
    register: Register


class Replicated(msgspec.Struct, frozen=True, tag=True):
    """Reports to the head that the tail, and so the whole chain, has stored the register of this sequence."""

    view: int
    sequence: int


class Confirm(msgspec.Struct, frozen=True, tag=True):
    """Asks a voter whether this view is still the newest one that it knows, and not sealed."""

    view: int
    nonce: int


class Confirmed(msgspec.Struct, frozen=True, tag=True):
    """Answers that it is."""

    view: int
    nonce: int


class Join(msgspec.Struct, frozen=True, tag=True):
    """A member that has no vote asks to be taken in."""

    copied: int
    """The newest view whose copy it has stored."""


class Copy(msgspec.Struct, frozen=True, tag=True):
    """Gives a member that asks to be taken in the state of a view, to be stored before it may count."""

    view: View
    register: Register


class OrderCall(msgspec.Struct, frozen=True, tag=True):
    """An operator's order, on its way from the member that was asked to the head."""

    call: str
    base: int
    document: str


class ReadCall(msgspec.Struct, frozen=True, tag=True):
    """A read of the configuration, on its way from the member that was asked to the tail."""

    call: str


class CallAnswer(msgspec.Struct, frozen=True, tag=True):
    """The answer to a call: a status of HTTP, the version that it is about, and the document of a read."""

    call: str
    status: int
    version: int = 0
    document: str = ""


Message = (
    Probe
    | ProbeAck
    | Prepare
    | Promise
    | Reject
    | Accept
    | Accepted
    | Learn
    | Replicate
    | Replicated
    | Confirm
    | Confirmed
    | Join
    | Copy
    | OrderCall
    | ReadCall
    | CallAnswer
)


class Envelope(msgspec.Struct, frozen=True):
    """A message with its sender, the life of the sender's process, and the incarnation that it is for.

    `to` is empty where the sender knows only an address. A message for an earlier incarnation of an address
    is dropped by the present one.
    """

    sender: MemberId
    life: str
    to: str
    message: Message


_decoder: msgspec.json.Decoder[Envelope] = msgspec.json.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return an envelope as JSON."""
    return msgspec.json.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Return the envelope in a JSON text; raises msgspec.DecodeError or msgspec.ValidationError."""
    return _decoder.decode(data)
