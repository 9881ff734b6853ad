"""The discovery client: the list of instances, as this dispatcher was told it, and how old that is.

It keeps a watch open from the start on, and opens it anew whenever it ends or falls silent, so that what
discovery has to tell is heard in time. Where the list is asked for, one discovery serves the whole fleet, and
calls are spread by the fleet's size; where it is pushed, the address is that of an agent beside this process,
which answers at no cost. The decisions hear `FAILED` once when discovery falls silent, and the next news, be
it empty, when it speaks again.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import h11
from loguru import logger

from pulleyroute.interface import Entry, ListKind, Settings, WorkerId, WorkerList, WorkerState
from pulleyroute.net import log
from pulleyroute.net.backoff import Backoff
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import Broken, Crowded, Late, Malformed, Stream, connect, parse_address
from pulleyroute.net.loop import Coroutine, Loop, Task, Wait

PATH = b"/api/targets"
# What discovery has to tell counts as told so long after it could tell it, whether it came or not. Each bound
# on the way is a part of this: a watch falls silent, the pause before the next call, its connect, its answer.
TOLD = 6_000_000
SILENCE = 2_500_000  # a watch says something every 2 s; this long without a whole word and it is broken
FIRST_PAUSE = 500_000  # before the first call after a watch has ended, at most
CONNECT_TIME = 600_000
# To the head of a watch, or the whole list: discovery works through its calls in turn, and one that is given
# up before it is answered or turned away is work for nobody, and keeps others waiting.
FIRST_ANSWER, ANSWER = 2_400_000, 3_400_000  # after a silence, and else
LONGEST_PAUSE = 2_000_000  # between two calls while discovery is away, and before the first of a process
CROWDED = 700_000  # a call that fails after so long has waited for its turn: discovery has too many callers
# Of the pauses, for each dispatcher that calls the same discovery.
FIRST_SHARE, LONGEST_SHARE = 25_000, 50_000
LEAST_LONGEST = 250_000  # for a discovery that is away, however small the fleet
MOVE_TIME = 4_000_000  # after a move, calls that fail are tried again for so long before the module is told
MOVE_PAUSE = 500_000  # the longest pause between two of them
BACK_TIME = 6_000_000  # lists older than the one held are passed over for so long, then held to be the truth
# A pushed list's watch is tried again within this part of the drain grace at first, and of it later: what was
# told in between is not to be missed.
PUSHED_FIRST, PUSHED_LONGEST = 16, 2
LINE_LIMIT = 4 * 1024 * 1024  # bytes of a list: 1,024 entries of 4 KiB; what is held grows with what comes

_FAILURES = (Broken, Crowded, Late, Malformed, ValueError, RecursionError)
_PHASES = {"active": WorkerState.READY, "leaving": WorkerState.DRAINING, "left": WorkerState.GONE}


@dataclass(slots=True)
class Member:
    """One instance in the discovery client."""

    address: tuple[str, int]
    active: bool
    listed: bool = True  # not one that left
    started: int = 0  # the loop's clock at its last start
    entry: dict[str, Any] | None = None  # as discovery told it


_TEXT = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')


class Words:
    """Cuts what a watch brings into words: an empty line, or a JSON object, which may be indented. No I/O."""

    def __init__(self) -> None:
        self._rest = bytearray()  # of a line
        self._held = bytearray()  # of an object that has begun: its lines, each with its end
        self._depth = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The words that are whole now; raises Broken where one is too long."""
        self._rest += data  # in place: a long line would else be copied with each part of it
        lines: list[bytes] = []
        if b"\n" in data:
            *lines, rest = bytes(self._rest).split(b"\n")
            self._rest = bytearray(rest)
        for line in lines:
            bare = _TEXT.sub(b"", line)
            self._depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
            self._held += line + b"\n"
            if self._depth <= 0 or len(self._held) > LINE_LIMIT:
                word, self._depth = bytes(self._held).strip(), 0
                self._held.clear()
                yield word
        if len(self._rest) + len(self._held) > LINE_LIMIT:
            raise Broken("a word is too long")


class DiscoveryClient:
    """Owns the list, its version and the calls to discovery; tells each change as a `WorkerList`."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        discovery: tuple[str, int],
        settings: Settings,
        epoch: int,
        seed: int = 0,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._discovery = discovery
        self._random = Random(seed)
        self._settings = settings
        self._pause = self._backoff(settings)
        self._crowded = self._crowd(settings)
        self._answer_time = ANSWER
        self._open_since: int | None = None  # of a watch: when its head came
        self._deaf = False  # the watch has failed, and nothing has been heard since
        self._back_since: int | None = None  # since when discovery has told of older versions only
        self._zones = {name: i for i, name in enumerate(settings.zones)}
        self._kinds = {name: i for i, name in enumerate(settings.kinds)}
        self._epoch = epoch  # Unix time, in microseconds, when the loop's clock was at 0
        self._members: dict[WorkerId, Member] = {}  # with those that left: an instance stays known
        self._version = 0
        self._moved = False  # since the whole list was last told: the version is of another address
        self._patient_until = 0  # a failure before this is not told but tried again
        self._watch: Task | None = None
        self.tell: Callable[[WorkerList], None] = lambda news: None

    def member(self, instance: WorkerId) -> Member | None:
        return self._members.get(instance)

    def active(self, instance: WorkerId) -> bool:
        """Whether new work may go there."""
        member = self._members.get(instance)
        return member is not None and member.active

    def incarnation(self, instance: WorkerId) -> int:
        """When the listed process of it started, as the loop's clock; 0 for long ago."""
        member = self._members.get(instance)
        return 0 if member is None else member.started

    def adopt(self, settings: Settings) -> Settings:
        """Other settings, with their zones and kinds in this table's numbers: a name keeps its number.

        Guards the decisions: what they know of an instance says where it stands and what it is by number.
        """
        zone, kinds = settings.zone, settings.kinds
        if zone < len(settings.zones):
            zone = _number(self._zones, settings.zones[zone])
        classes = [
            replace(cls, kind=_number(self._kinds, kinds[cls.kind])) if 0 <= cls.kind < len(kinds) else cls
            for cls in settings.classes
        ]
        self._settings = settings
        self._pause = self._backoff(settings)
        self._crowded = self._crowd(settings)
        return replace(settings, zone=zone, classes=classes)

    @property
    def version(self) -> int:
        """Of the list, as discovery counts."""
        return self._version

    def entries(self) -> list[dict[str, Any]]:
        """The list in discovery's form."""
        return [member.entry for member in self._members.values() if member.listed and member.entry]

    @property
    def size(self) -> int:
        """How many instances the list names."""
        return sum(1 for member in self._members.values() if member.listed)

    def load_known(self, known: Any) -> None:
        """Take a list that came otherwise than from discovery; raises ValueError if it is malformed."""
        self.tell(self._take(known, cached=True))
        if self._watch is not None:
            self._open()  # from this list's version: it may be older than what the watch has told

    # Calls to discovery

    def _backoff(self, settings: Settings) -> Backoff:
        if settings.list_on_request:
            # Guards one discovery against all at once: the larger the fleet, the wider its calls are spread.
            first = min(FIRST_PAUSE, settings.dispatchers * FIRST_SHARE)
            longest = max(LEAST_LONGEST, _spread(settings))
        else:
            grace = max(1, settings.drain_grace)
            first, longest = grace // PUSHED_FIRST, grace // PUSHED_LONGEST
        return Backoff(max(1, first), max(1, longest), self._random)

    def _crowd(self, settings: Settings) -> Backoff:
        """The pauses while discovery has too many callers.

        Guards it against staying so: what waited too long is work as well, so that calls have to become fewer
        than it can work through. The settings say how long not asking is excused.
        """
        cap = max(self._pause.cap, settings.ask_every)
        return Backoff(2 * self._pause.cap, cap, self._random)

    def watch(self, on: bool) -> None:
        """Keep a watch open from now on, or cease. One that is open, or is being opened, goes on as it is."""
        if not on or self._watch is None:
            self._open(on)

    def _open(self, on: bool = True, start: int = 0) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if on:
            # Kept before it runs: it may fail, and report, at once.
            self._watch = Task(self._loop, self._watching(start), "watch")
            self._watch.start()

    def begin(self) -> None:
        """A process begins: open the watch, where one discovery serves all not all of them at once."""
        spread = _spread(self._settings) if self._settings.list_on_request else 0
        self._open(start=int(self._random.random() * spread))

    def move(self, discovery: tuple[str, int]) -> None:
        """Discovery is at another address now: take the whole list there, then watch it."""
        if discovery == self._discovery:
            return
        self._discovery = discovery
        self._moved = True
        self._patient_until = self._loop.now() + MOVE_TIME
        self._pause.succeeded()
        self._open()

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self._loop.spawn(self._fetching(), "fetch")

    def _failed(self, what: str, why: object) -> None:
        logger.bind(event="discovery.failed", call=what).warning("discovery: {} failed: {}", what, why)
        self.tell(WorkerList(self._version, ListKind.FAILED, []))

    def _call(self, target: bytes) -> Coroutine[Stream]:
        until = self._loop.now() + CONNECT_TIME
        if log.debugging:
            log.event("list", call="watch" if b"?" in target else "whole")
        stream = yield from connect(self._loop, self._pool, self._discovery, until)
        try:
            host = "{}:{}".format(*self._discovery).encode()
            head = h11.Request(method=b"GET", target=target, headers=[(b"Host", host)])
            yield from stream.send(stream.frame(head, b""), until)
        except BaseException:
            stream.close()
            raise
        return stream

    def _whole(self) -> Coroutine[WorkerList]:
        """Ask for the whole list and take it."""
        asked = self._discovery
        stream = yield from self._call(PATH)
        try:
            answer = yield from stream.response(self._loop.now() + self._answer_time, LINE_LIMIT)
            if answer.status != 200:
                raise Broken(f"status {answer.status}")
            if asked != self._discovery:
                # Guards against an old address's word: its list and version mean nothing at the new one.
                raise Broken("discovery has moved")
            return self._take(json.loads(answer.body), cached=False)
        finally:
            stream.close()

    def _fetching(self) -> Coroutine[None]:
        try:
            news = yield from self._whole()
        except _FAILURES as exc:
            self._failed("fetch", str(exc) or "no answer in time")
            return
        self.tell(news)

    def _watching(self, start: int) -> Coroutine[None]:
        if start:
            yield Wait(until=self._loop.now() + start)
        while True:
            called, self._open_since = self._loop.now(), None
            try:
                if self._moved:
                    # Guards against versions that mean nothing here: changes since one might leave out most.
                    news = yield from self._whole()
                    self._moved = False
                    self._back_since = None
                    self._news(news)
                yield from self._following()
            except _FAILURES as exc:
                why = str(exc) or "no line in time"
                if self._loop.now() < self._patient_until:
                    # Guards the time limit after a move, which the module's longer pauses would pass.
                    logger.info("discovery: {}:{} failed: {}", *self._discovery, why)
                    yield Wait(until=self._loop.now() + int(self._random.random() * MOVE_PAUSE))
                    continue
                yield from self._resting(called, isinstance(exc, Late), why)

    def _resting(self, called: int, late: bool, why: str) -> Coroutine[None]:
        """The watch has ended: the pause before it is opened anew."""
        since = self._open_since
        self._answer_time = FIRST_ANSWER if late and since is not None else ANSWER
        if not self._deaf:
            # Guards the log: a discovery that is down is told of once, and once more when it speaks again.
            self._deaf = True
            self._failed("watch", why)
        if since is not None and self._loop.now() - since >= self._pause.cap:
            # Guards the drain rule: a watch that stood is opened anew at once, as there may be more to tell.
            # One that breaks as soon as it is open is not, as it would be so again; nor is a call that waited
            # for long and was turned away, or a discovery with too many callers would have ever more.
            self._pause.succeeded()
            if not self._settings.list_on_request:
                return
        crowded = self._settings.list_on_request and since is None and self._loop.now() - called >= CROWDED
        pause = self._crowded if crowded else self._pause
        yield Wait(until=self._loop.now() + pause.failed())

    def _following(self) -> Coroutine[None]:
        """Tell of changes until the watch breaks."""
        stream = yield from self._call(b"%s?watch=1&from=%d" % (PATH, self._version))
        try:
            answer = yield from stream.answer_head(self._loop.now() + self._answer_time)
            if answer.status != 200:
                raise Broken(f"status {answer.status}")
            logger.bind(event="discovery.watching").info(
                "discovery: watching {}:{} from version {}", *self._discovery, self._version
            )
            words, heard = Words(), self._loop.now()
            self._open_since = heard
            self._crowded.succeeded()
            while True:
                # Guards against a discovery that went silent, and one whose word never ends: each has to be
                # whole so long after the one before.
                event = yield from stream.event(heard + SILENCE)
                if not isinstance(event, h11.Data):
                    raise Broken("the watch ended")
                for word in words.feed(bytes(event.data)):
                    heard = self._loop.now()
                    self._word(word)
        finally:
            stream.close()

    def _word(self, word: bytes) -> None:
        """One word of a watch, empty where nothing has changed; raises ValueError if it is malformed."""
        data = json.loads(word) if word else None
        if data is not None:
            self._news(self._take(self._still_true(data) if self._older(data) else data, cached=False))
        elif self._deaf:
            self._news(WorkerList(self._version, ListKind.DELTA, []))  # nothing has changed meanwhile

    def _news(self, news: WorkerList) -> None:
        self._deaf = False
        self.tell(news)

    def _older(self, data: Any) -> bool:
        """Whether a list is older than the one held, and so passed over.

        Guards the drain rule: a discovery or agent that comes back with what it once saved would put back to
        work what has been told of as leaving. One that goes on so has lost its versions: then all of its list
        is taken as it stands.
        """
        version = data.get("revision") if isinstance(data, dict) else None
        if not isinstance(version, int) or version >= self._version:
            self._back_since = None
            return False
        if self._back_since is None:
            self._back_since = self._loop.now()
            logger.bind(event="discovery.older", version=version).warning(
                "discovery: version {} after {} is passed over", version, self._version
            )
        elif self._loop.now() - self._back_since >= BACK_TIME:
            self._moved = True
            raise Broken("versions have begun anew")
        return True

    def _still_true(self, data: Any) -> Any:
        """What an older list tells that holds whatever came after it: who leaves, of the listed processes.

        Guards the drain rule: what is written counts as told, and versions that began anew look older.
        """

        def holds(item: Any) -> bool:
            entry, _ = self._entry(item)
            return entry.state is not WorkerState.READY and entry.started == self.incarnation(entry.worker)

        members = data.get("members")
        if isinstance(members, list):
            members = [item for item in members if holds(item)]
        return {"revision": self._version, "complete": False, "members": members}

    # The list

    def _take(self, data: Any, cached: bool) -> WorkerList:
        """Check one object whole, then make it part of the list."""
        if not isinstance(data, dict) or not isinstance(data.get("members"), list):
            raise ValueError("not an object with members")
        version, complete = data.get("revision"), data.get("complete")
        if isinstance(version, bool) or not isinstance(version, int) or not isinstance(complete, bool):
            raise ValueError("revision or complete is missing")
        read = [self._entry(item) for item in data["members"]]
        kind = ListKind.CACHED if cached else ListKind.FULL if complete else ListKind.DELTA
        if kind is not ListKind.DELTA:
            for member in self._members.values():
                member.active = member.listed = False
        for (entry, address), item in zip(read, data["members"], strict=True):
            self._members[entry.worker] = Member(
                address,
                entry.state is WorkerState.READY,
                entry.state is not WorkerState.GONE,
                entry.started,
                item,
            )
        self._version = version
        changes = ", ".join(f"{e.worker.decode()} {e.state.name.lower()}" for e, _ in read[:8])
        logger.bind(event="discovery.changed", version=version).info(
            "discovery: version {} {}, {} entries: {}", version, kind.name.lower(), len(read), changes
        )
        return WorkerList(version, kind, [entry for entry, _ in read])

    def _entry(self, item: Any) -> tuple[Entry, tuple[str, int]]:
        if not isinstance(item, dict):
            raise ValueError("a member is not an object")
        name, phase = item.get("id"), item.get("phase")
        # Guards the watch: a phase that is a list or an object can't be looked up, and would end it for good.
        if not isinstance(name, str) or not name or not isinstance(phase, str) or phase not in _PHASES:
            raise ValueError(f"member {name!r} with phase {phase!r}")
        size, started, cell = item.get("size", 1.0), item.get("up_since_ms", 0), item.get("cell", 0)
        for value in (size, started, cell):
            if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
                raise ValueError(f"member {name!r} with {value!r} for a number")
        entry = Entry(
            name.encode(),
            _PHASES[phase],
            started=self._started(started),
            size=float(size),
            cell=int(cell),
            kind=_number(self._kinds, item.get("flavor")),
            zone=_number(self._zones, item.get("locality")),
        )
        return entry, parse_address(str(item.get("host_port")))

    def _started(self, unix_ms: float) -> int:
        """The loop's clock at that Unix time. 0 means long ago and stays 0, and nothing else becomes 0."""
        return (int(unix_ms * 1000) - self._epoch or 1) if unix_ms else 0


def _spread(settings: Settings) -> int:
    """Over how long the calls of all dispatchers of one discovery are spread."""
    return min(LONGEST_PAUSE, settings.dispatchers * LONGEST_SHARE)


def _number(names: dict[str, int], name: object) -> int:
    """The place of a name in the settings; names that they do not have get places after them."""
    return names.setdefault(str(name), len(names))
