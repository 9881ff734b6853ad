"""What processes say to each other through the store: the keys, their values, and a mirror of them. Pure.

Keys stand under `/pulleyroute/GROUP/`. A value is a JSON object; keys in it that are not known here are
passed over, and a record that can't be read is set aside with its key, so that it stops nothing else.

    seat/NAME     a place in the fleet, without a lease
    word/NAME     what its process says of itself, under its lease
    permit/NAME   that it may be out, without a lease
    wish/NAME     what an operator or a release wants of it
    want/POOL/RUNNER         that an operator wants a runner drained
    mark/POOL/RUNNER         that it is: nobody gives it new work
    ack/POOL/RUNNER/MEMBER   that a member has nothing there any more, under its lease
    lead          who leads the group's release, under its lease
    release       the release in hand, or the last one
    health/NAME   how many jobs a member has ended and how many of them served, under its lease
    history/AT-X  what was done, by whom and why
    roll          put with every change of seats and permits: its revision guards whoever counted
    roll-runners  the same for marks

Names are percent-encoded.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Literal
from urllib.parse import quote, unquote

from pulleyroute.fleet.members import Heartbeat, Registration

Do = Literal["standby", "restart"]


class OperationRefused(Exception):
    """What an operator wants can't be done; the text is one plain line."""


@dataclass(slots=True, frozen=True)
class MemberRequest:
    """What is wanted of a member. `incarnation`: of the process that is to go; a newer one has gone."""

    name: str
    do: Do
    incarnation: int
    version: str = ""  # that is to come, for a restart; empty for the same
    by: str = ""
    why: str = ""

    def values(self) -> dict[str, Any]:
        """Its record's values; the name is in the key."""
        return {name: getattr(self, name) for name in self.__slots__ if name != "name"}


@dataclass(slots=True, frozen=True)
class Event:
    """A line of the history. `at`: Unix time in milliseconds, for people alone."""

    at: int
    by: str
    what: str
    why: str = ""


@dataclass(slots=True, frozen=True)
class Health:
    """Jobs that a process has ended since its start, and how many of them were served."""

    incarnation: int
    good: int
    ended: int


@dataclass(slots=True, frozen=True)
class Release:
    """A release in hand; see `release.py`. Times in microseconds.

    `counts`: how many of `members`, in their order, have the version after each wave; `previous`: what each
    had; `before`: the share of jobs served before it, -1 until it is known, -2 if too few had ended.
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


RunnerKey = tuple[str, str]  # a pool's name and a runner's


@dataclass(slots=True, frozen=True)
class RunnerDrain:
    """That a runner is drained, or wanted so. `token`: unlike any other's."""

    token: str
    by: str = ""
    why: str = ""


@dataclass(slots=True)
class Snapshot:
    """The records of a group as they stood at a revision."""

    registrations: dict[str, Registration] = field(default_factory=dict)
    tokens: dict[str, str] = field(default_factory=dict)  # of the processes that have the seats
    heartbeats: dict[str, Heartbeat] = field(default_factory=dict)
    permits: dict[str, int] = field(default_factory=dict)  # the incarnation that took it
    member_requests: dict[str, MemberRequest] = field(default_factory=dict)
    runner_requests: dict[RunnerKey, RunnerDrain] = field(default_factory=dict)
    runner_drains: dict[RunnerKey, RunnerDrain] = field(default_factory=dict)
    # By pool, runner and member: the incarnation that said so, and of which mark.
    acks: dict[tuple[str, str, str], tuple[int, str]] = field(default_factory=dict)
    leader_token: str = ""  # the token of the process that leads
    release: Release | None = None
    health: dict[str, Health] = field(default_factory=dict)
    history: list[Event] = field(default_factory=list)
    unreadable: list[str] = field(default_factory=list)  # keys


class Keys:
    """The keys of a group."""

    def __init__(self, group: str) -> None:
        self.prefix = f"/pulleyroute/{group}/".encode()
        self.end = self.prefix[:-1] + b"0"  # the byte after "/"
        self.generation = self.prefix + b"roll"
        self.runner_generation = self.prefix + b"roll-runners"
        self.leader, self.release = self.prefix + b"lead", self.prefix + b"release"

    def of(self, kind: str, *names: str) -> bytes:
        return self.prefix + "/".join([kind, *(quote(name, safe="") for name in names)]).encode()

    def below(self, kind: str, *names: str) -> tuple[bytes, bytes]:
        """The range of all keys of a kind that have one more name than these, and begin with them."""
        first = self.of(kind, *names, "")
        return first, first[:-1] + b"0"


def encode(**values: Any) -> bytes:
    """A record's value."""
    return json.dumps(values, separators=(",", ":"), sort_keys=True).encode()


def decode(value: bytes) -> dict[str, Any]:
    """A record's object; raises ValueError."""
    try:
        read = json.loads(value)
    except RecursionError:
        raise ValueError("nested too deep") from None
    if not isinstance(read, dict):
        raise ValueError("not an object")
    return read


def line(keys: Keys, at: int, by: str, what: str, why: str, mark: int) -> tuple[bytes, bytes]:
    """A line of the history, as key and value. `mark`: unlike those of others at the same time."""
    return keys.of("history", f"{at:013d}-{mark:08x}"), encode(at=at, by=by, what=what, why=why)


def parse_snapshot(keys: Keys, values: Iterable[tuple[bytes, bytes | None]]) -> Snapshot:
    """What the records say, by key and value; None for a value that is gone."""
    out = Snapshot()
    for key, value in values:
        if value is None or not key.startswith(keys.prefix):
            continue
        kind, *names = (unquote(each) for each in key[len(keys.prefix) :].decode(errors="replace").split("/"))
        try:
            _read(out, kind, names, value)
        except (ValueError, KeyError, TypeError):
            # Guards everybody else: one poisoned record is set aside and told of, and stops nothing.
            out.unreadable.append("/".join([kind, *names]))
    out.history.sort(key=lambda event: event.at)
    return out


def _read(out: Snapshot, kind: str, names: list[str], value: bytes) -> None:
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
        return  # of a later version, or a roll
    read = decode(value)
    if kind == "history":
        out.history.append(
            Event(_whole(read["at"]), str(read["by"]), str(read["what"]), str(read.get("why", "")))
        )
        return
    if kind == "lead":
        out.leader_token = str(read["token"])
        return
    if kind == "release":
        out.release = _release(read)
        return
    if kind in ("want", "mark"):
        pool, runner = names
        mark = RunnerDrain(str(read["mark"]), str(read.get("by", "")), str(read.get("why", "")))
        (out.runner_requests if kind == "want" else out.runner_drains)[pool, runner] = mark
        return
    if kind == "ack":
        pool, runner, member = names
        out.acks[pool, runner, member] = _whole(read["incarnation"]), str(read["of"])
        return
    (name,) = names
    number = _whole(read["incarnation"])
    if kind == "health":
        out.health[name] = Health(number, _whole(read["good"]), _whole(read["ended"]))
        return
    if kind == "seat":
        out.tokens[name] = str(read["token"])
        out.registrations[name] = Registration(
            name, number, str(read.get("zone", "")), str(read.get("region", ""))
        )
    elif kind == "word":
        out.heartbeats[name] = Heartbeat(name, number, str(read["phase"]), str(read.get("version", "")))
    elif kind == "permit":
        out.permits[name] = number
    else:
        do = read["do"]
        if do not in ("standby", "restart"):
            raise ValueError(f"a wish for {do!r}")
        out.member_requests[name] = MemberRequest(
            name, do, number, str(read.get("version", "")), str(read.get("by", "")), str(read.get("why", ""))
        )


def _release(read: dict[str, Any]) -> Release:
    release = Release(
        str(read["name"]),
        str(read["version"]),
        str(read["state"]),
        str(read["why"]),
        _whole(read["wave"]),
        tuple(_whole(each) for each in read["counts"]),
        tuple(str(each) for each in read["members"]),
        tuple(str(each) for each in read["previous"]),
        _whole(read["at_once"]),
        _whole(read["soak"]),
        _whole(read["patience"]),
        str(read["on_failure"]),
        float(read["before"]),
    )
    if len(release.members) != len(release.previous) or not release.wave < len(release.counts):
        raise ValueError("a release that does not fit together")
    return release


def release_values(release: Release) -> dict[str, Any]:
    """A release as its record's values."""
    return {name: getattr(release, name) for name in Release.__slots__}


def _whole(value: Any) -> int:
    if isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 2**53:
        return value
    raise ValueError(f"{value!r} is not a count")
