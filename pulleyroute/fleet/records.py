"""The records that processes exchange through the store: keys, values, and a parsed snapshot. No I/O.

Keys start with `/pulleyroute/GROUP/`. A value is a JSON object. Fields that this version doesn't know are
ignored, and a record that can't be parsed is reported by its key and skipped, so that it blocks nothing else.

    seat/NAME                registration of a member, without a lease
    word/NAME                heartbeat of the member's process, under its lease
    permit/NAME              permission for the member to be out of service, without a lease
    wish/NAME                standby or restart requested of the member by an operator or a release
    want/POOL/RUNNER         drain of a runner requested by an operator
    mark/POOL/RUNNER         drain of a runner in effect: no member gives it new work
    ack/POOL/RUNNER/MEMBER   the member has no work left at the drained runner; under the member's lease
    lead                     the process that leads the group's release, under its lease
    release                  the current release, or the last one
    health/NAME              numbers of jobs that a member has ended and served, under its lease
    history/AT-X             what was done, by whom and why
    roll                     generation: written with every change of registrations and permits, so that a
                             transaction which compares its revision is based on current counts
    roll-runners             the same for drains of runners

Names are percent-encoded.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Literal
from urllib.parse import quote, unquote

from pulleyroute.fleet.members import Heartbeat, Registration

RequestedAction = Literal["standby", "restart"]


class OperationRefused(Exception):
    """An operator's command can't be carried out; the text states the reason in one line."""


@dataclass(slots=True, frozen=True)
class MemberRequest:
    """A request that a member go on standby or restart.

    `do`: the requested action. `incarnation`: the process that is to leave service; a restart is complete
    once a newer one has registered. `version`: the version to start, for a restart; empty to keep the current
    one. `by`, `why`: author and reason. The names of the fields are the keys of the record.
    """

    name: str
    do: RequestedAction
    incarnation: int
    version: str = ""
    by: str = ""
    why: str = ""

    def record_values(self) -> dict[str, Any]:
        """Return the values of the record; the name is part of the key."""
        return {name: getattr(self, name) for name in self.__slots__ if name != "name"}


@dataclass(slots=True, frozen=True)
class Event:
    """An entry of the history. `at`: Unix time in milliseconds, for display only."""

    at: int
    by: str
    what: str
    why: str = ""


@dataclass(slots=True, frozen=True)
class Health:
    """Job counts of a process since its start. `good`: jobs served, out of `ended`."""

    incarnation: int
    good: int
    ended: int


@dataclass(slots=True, frozen=True)
class Release:
    """The record of a release; see `release.py`. The names of the fields are the keys of the record.

    `state`: a value of `release.State`. `why`: the reason of the last change of state. `wave`: the current
    one, from 0. `counts`: how many of `members`, in their order, have the version after each wave.
    `previous`: the version that each member had. `at_once`: how many may be requested to restart at the same
    time. `soak` and `patience`: microseconds. `on_failure`: "halt" or "back". `before`: the share of jobs
    served before the release; -1 until it is known, -2 if too few jobs had ended.
    """

    name: str
    version: str
    state: str
    why: str
    wave: int
    counts: tuple[int, ...]
    members: tuple[str, ...]
    previous: tuple[str, ...]
    at_once: int
    soak: int
    patience: int
    on_failure: str
    before: float


RunnerKey = tuple[str, str]  # name of a pool, name of a runner


@dataclass(slots=True, frozen=True)
class RunnerDrain:
    """A drain of a runner, requested or in effect. `token`: unique to this record."""

    token: str
    by: str = ""
    why: str = ""


@dataclass(slots=True)
class Snapshot:
    """The parsed records of a group, as of one revision of the store."""

    registrations: dict[str, Registration] = field(default_factory=dict)
    tokens: dict[str, str] = field(default_factory=dict)  # of the registered processes, by member
    heartbeats: dict[str, Heartbeat] = field(default_factory=dict)
    permits: dict[str, int] = field(default_factory=dict)  # incarnation of the process that got it, by member
    member_requests: dict[str, MemberRequest] = field(default_factory=dict)
    runner_requests: dict[RunnerKey, RunnerDrain] = field(default_factory=dict)
    runner_drains: dict[RunnerKey, RunnerDrain] = field(default_factory=dict)
    # By pool, runner and member: the member's incarnation, and the token of the drain that it acknowledged.
    acks: dict[tuple[str, str, str], tuple[int, str]] = field(default_factory=dict)
    leader_token: str = ""  # of the process that leads the group's release
    release: Release | None = None
    health: dict[str, Health] = field(default_factory=dict)
    history: list[Event] = field(default_factory=list)
    unreadable: list[str] = field(default_factory=list)  # keys of records that can't be parsed


class Keys:
    """The keys of a group's records."""

    def __init__(self, group: str) -> None:
        self.prefix = f"/pulleyroute/{group}/".encode()
        self.end = self.prefix[:-1] + b"0"  # the byte after "/"
        self.generation = self.prefix + b"roll"
        self.runner_generation = self.prefix + b"roll-runners"
        self.leader, self.release = self.prefix + b"lead", self.prefix + b"release"

    def of(self, kind: str, *names: str) -> bytes:
        """Return the key of the record of a kind with these names."""
        return self.prefix + "/".join([kind, *(quote(name, safe="") for name in names)]).encode()

    def below(self, kind: str, *names: str) -> tuple[bytes, bytes]:
        """Return the range, first key and end, of the keys of a kind that start with these names."""
        first = self.of(kind, *names, "")
        return first, first[:-1] + b"0"


def encode(**values: Any) -> bytes:
    """Return the value of a record."""
    return json.dumps(values, separators=(",", ":"), sort_keys=True).encode()


def decode(value: bytes) -> dict[str, Any]:
    """Return the object in a record's value; raises ValueError."""
    try:
        fields = json.loads(value)
    except RecursionError:
        raise ValueError("JSON is nested too deeply") from None
    if not isinstance(fields, dict):
        raise ValueError("not a JSON object")
    return fields


def history_entry(keys: Keys, at: int, by: str, what: str, why: str, suffix: int) -> tuple[bytes, bytes]:
    """Return an entry of the history as key and value.

    `suffix` tells entries of the same millisecond apart.
    """
    return keys.of("history", f"{at:013d}-{suffix:08x}"), encode(at=at, by=by, what=what, why=why)


def parse_snapshot(keys: Keys, values: Iterable[tuple[bytes, bytes | None]]) -> Snapshot:
    """Parse the records, given as key and value; the value of a deleted record is None."""
    snapshot = Snapshot()
    for key, value in values:
        if value is None or not key.startswith(keys.prefix):
            continue
        kind, *names = (unquote(each) for each in key[len(keys.prefix) :].decode(errors="replace").split("/"))
        try:
            _parse_record(snapshot, kind, names, value)
        except (ValueError, KeyError, TypeError):
            # A single bad record must not keep the members from reading all others: it is skipped and
            # reported.
            snapshot.unreadable.append("/".join([kind, *names]))
    snapshot.history.sort(key=lambda event: event.at)
    return snapshot


def _parse_record(snapshot: Snapshot, kind: str, names: list[str], value: bytes) -> None:
    if kind not in (
        "seat",
        "word",
        "permit",
        "wish",
        "want",
        "mark",
        "ack",
        "history",
        "lead",
        "release",
        "health",
    ):
        return  # a kind of a later version, or a generation key
    fields = decode(value)
    if kind == "history":
        snapshot.history.append(
            Event(
                _parse_count(fields["at"]),
                str(fields["by"]),
                str(fields["what"]),
                str(fields.get("why", "")),
            )
        )
        return
    if kind == "lead":
        snapshot.leader_token = str(fields["token"])
        return
    if kind == "release":
        snapshot.release = _parse_release(fields)
        return
    if kind in ("want", "mark"):
        pool, runner = names
        drain = RunnerDrain(str(fields["mark"]), str(fields.get("by", "")), str(fields.get("why", "")))
        (snapshot.runner_requests if kind == "want" else snapshot.runner_drains)[pool, runner] = drain
        return
    if kind == "ack":
        pool, runner, member = names
        snapshot.acks[pool, runner, member] = _parse_count(fields["incarnation"]), str(fields["of"])
        return
    (name,) = names
    incarnation = _parse_count(fields["incarnation"])
    if kind == "health":
        snapshot.health[name] = Health(
            incarnation, _parse_count(fields["good"]), _parse_count(fields["ended"])
        )
        return
    if kind == "seat":
        snapshot.tokens[name] = str(fields["token"])
        snapshot.registrations[name] = Registration(
            name, incarnation, str(fields.get("zone", "")), str(fields.get("region", ""))
        )
    elif kind == "word":
        snapshot.heartbeats[name] = Heartbeat(
            name, incarnation, str(fields["phase"]), str(fields.get("version", ""))
        )
    elif kind == "permit":
        snapshot.permits[name] = incarnation
    else:
        do = fields["do"]
        if do not in ("standby", "restart"):
            raise ValueError(f"unknown requested action {do!r}")
        snapshot.member_requests[name] = MemberRequest(
            name,
            do,
            incarnation,
            str(fields.get("version", "")),
            str(fields.get("by", "")),
            str(fields.get("why", "")),
        )


def _parse_release(fields: dict[str, Any]) -> Release:
    release = Release(
        str(fields["name"]),
        str(fields["version"]),
        str(fields["state"]),
        str(fields["why"]),
        _parse_count(fields["wave"]),
        tuple(_parse_count(each) for each in fields["counts"]),
        tuple(str(each) for each in fields["members"]),
        tuple(str(each) for each in fields["previous"]),
        _parse_count(fields["at_once"]),
        _parse_count(fields["soak"]),
        _parse_count(fields["patience"]),
        str(fields["on_failure"]),
        float(fields["before"]),
    )
    if len(release.members) != len(release.previous) or not release.wave < len(release.counts):
        raise ValueError("the release's members, versions and waves don't match in number")
    return release


def release_values(release: Release) -> dict[str, Any]:
    """Return the values of a release's record."""
    return {name: getattr(release, name) for name in Release.__slots__}


def _parse_count(value: Any) -> int:
    if isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 2**53:
        return value
    raise ValueError(f"{value!r} is not a count")
