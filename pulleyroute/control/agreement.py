"""Single-decree agreement on the next view, by the voters of the present one. Pure.

The protocol is Paxos ("Paxos Made Simple", Lamport 2001), one instance for each view number. A promise also
seals the present view at the member that gives it: it stores and acknowledges no change there any more, so
that the state it reported with its promise stays true.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pulleyroute.control.messages import Accept, Accepted, Ballot, Prepare, Promise, Reject
from pulleyroute.control.record import Record
from pulleyroute.control.view import MemberId, View


def promise(record: Record, request: Prepare) -> tuple[Record, Promise | Reject]:
    """Return the record and the answer of a voter to a proposal for the view after its own."""
    if record.promised is not None and request.ballot < record.promised:
        return record, Reject(request.number, request.ballot, record.promised)
    answer = Promise(
        request.number, request.ballot, record.accepted_ballot, record.accepted_view, record.installed
    )
    return msgspec.structs.replace(record, promised=request.ballot), answer


def accept(record: Record, request: Accept) -> tuple[Record, Accepted | Reject]:
    """Return the record and the answer of a voter that is asked to accept a view."""
    number = request.view.number
    if record.promised is not None and request.ballot < record.promised:
        return record, Reject(number, request.ballot, record.promised)
    accepted = msgspec.structs.replace(
        record, promised=request.ballot, accepted_ballot=request.ballot, accepted_view=request.view
    )
    return accepted, Accepted(number, request.ballot)


def accepted_before(promises: Mapping[str, Promise]) -> View | None:
    """Return the view that a proposer has to propose again: that of the highest ballot accepted so far."""
    accepted = [each for each in promises.values() if each.accepted_ballot is not None]
    if not accepted:
        return None
    return max(accepted, key=lambda each: each.accepted_ballot or Ballot(0, "")).accepted_view


def choose_source(view: View, promises: Mapping[str, Promise]) -> str | None:
    """Return the member whose state the next view has to start from; None if no promise is of one.

    `promises`: by incarnation, of members that are sealed in `view`. A member of the chain that has stored
    the view's state has every change that was acknowledged in it: an acknowledgement needs the whole
    chain. If a member of the chain has not stored it, nothing was acknowledged in the view, and then every
    member of the chain just before has all that ever was. Older state is never a source.
    """
    if view.number == 0:
        return min(promises, default=None)
    in_chain = [incarnation for incarnation in view.chain if incarnation in promises]
    for incarnation in in_chain:
        if promises[incarnation].installed == view.number:
            return incarnation
    if not in_chain:
        return None
    before = [name for name, each in promises.items() if each.installed == view.number - 1]
    return min(before, default=None, key=lambda name: (name not in in_chain, name))


def next_view(
    view: View,
    promises: Mapping[str, Promise],
    wanted_chain: frozenset[str],
    voters: tuple[MemberId, ...],
    min_chain: int,
) -> View | None:
    """Return the view to propose after `view`; None while the promises allow none.

    The chain has the source first, then the wanted members that have promised, then a newcomer among
    `voters`. It has `min_chain` members or more: a shorter one could acknowledge nothing, and its loss
    would leave a view of which nobody knows whether it did.
    """
    source = choose_source(view, promises)
    known = {voter.incarnation for voter in voters}
    if source is None or source not in known:
        return None
    newcomers = known - {voter.incarnation for voter in view.voters} if view.number else set()
    others = sorted(((set(promises) & wanted_chain) | newcomers) & known - {source})
    chain = (source, *others)
    return View(view.number + 1, voters, chain) if len(chain) >= min_chain else None
