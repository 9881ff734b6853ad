"""Judges a run by what its callers saw: one register, and no acknowledgement is taken back."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from pulleyroute.emulator.cluster.operators import OK, Operation


def broken_rules(history: Sequence[Operation]) -> list[str]:
    """Return what was broken, as one line each; nothing if all rules held.

    The rules: of two orders on top of one version one is acknowledged; a version is of one document; a read
    shows no older version than an order acknowledged, or a read answered, before it began; an order that
    was taken is never refused; what is read was ordered, and was not refused.
    """
    return [
        *_acknowledged_twice(history),
        *_older_reads(history),
        *_taken_and_refused(history),
        *_never_ordered(history),
    ]


def _acknowledged(history: Sequence[Operation]) -> list[Operation]:
    return [each for each in history if each.kind == "order" and OK in each.statuses]


def _answered_reads(history: Sequence[Operation]) -> list[Operation]:
    return [each for each in history if each.kind == "read" and each.ended_at is not None]


def _acknowledged_twice(history: Sequence[Operation]) -> Iterator[str]:
    by_base: dict[int, str] = {}
    by_version: dict[int, str] = {}
    for order in _acknowledged(history):
        if by_base.setdefault(order.base, order.document) != order.document:
            yield f"two orders on top of version {order.base} were acknowledged"
        if by_version.setdefault(order.version, order.document) != order.document:
            yield f"two orders of version {order.version} were acknowledged"


def _older_reads(history: Sequence[Operation]) -> Iterator[str]:
    reads = _answered_reads(history)
    seen = [(order.ended_at, order.version) for order in _acknowledged(history)]
    seen += [(read.ended_at, read.answered_version) for read in reads]
    for read in reads:
        before = [version for at, version in seen if at is not None and at < read.began_at]
        newest = max(before, default=0)
        if read.answered_version < newest:
            yield f"a read begun at {read.began_at} us shows version {read.answered_version}, not {newest}"


def _taken_and_refused(history: Sequence[Operation]) -> Iterator[str]:
    shown = {read.answered_document for read in _answered_reads(history)}
    for order in history:
        if order.kind != "order":
            continue
        refused = [status for status in order.statuses if status != OK]
        if refused and (OK in order.statuses or order.document in shown):
            yield f"the order of version {order.version} was taken, and refused with {refused[0]}"


def _never_ordered(history: Sequence[Operation]) -> Iterator[str]:
    ordered = {(each.version, each.document) for each in history if each.kind == "order"}
    for read in _answered_reads(history):
        shown = (read.answered_version, read.answered_document)
        if shown != (0, "") and shown not in ordered:
            yield f"a read shows version {read.answered_version} with a document that nobody ordered"
