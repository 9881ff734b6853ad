"""The discovery client: the list of instances, as this dispatcher was told it, and how old that is.

It keeps a watch open from the start on, and opens it anew whenever it ends or falls silent, so that what
discovery has to tell is heard in time. Where the list is asked for, one discovery serves the whole fleet, and
calls are spread by the fleet's size; where it is pushed, the address is that of an agent beside this process,
which answers at no cost. The decisions hear `FAILED` once when discovery falls silent, and the next news, be
it empty, when it speaks again.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from typing import Any

import h11
from loguru import logger

from pulleyroute.interface import ListKind, Settings, WorkerId, WorkerList
from pulleyroute.net import log
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.call_pacing import CONNECT_TIMEOUT, WATCH_TIMEOUT, CallPacing
from pulleyroute.net.http import Broken, Crowded, Late, Malformed, Stream, connect
from pulleyroute.net.instance_list import InstanceList, Member
from pulleyroute.net.json_lines import LINE_LIMIT, JsonLineSplitter
from pulleyroute.net.list_freshness import ListFreshness
from pulleyroute.net.loop import Coroutine, Loop, Task, Wait

PATH = b"/api/targets"
MOVE_TIME = 4_000_000  # after a move, calls that fail are tried again for so long before the module is told
MOVE_PAUSE = 500_000  # the longest pause between two of them
BACK_TIME = 6_000_000  # lists older than the one held are passed over for so long, then held to be the truth

_FAILURES = (Broken, Crowded, Late, Malformed, ValueError, RecursionError)


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
        self._pacing = CallPacing(settings, epoch, self._random)
        self._open_since: int | None = None  # of a watch: when its head came
        self._deaf = False  # the watch has failed, and nothing has been heard since
        self._back_since: int | None = None  # since when discovery has told of older versions only
        self._moved = False  # since the whole list was last told: the version is of another address
        self._patient_until = 0  # a failure before this is not told but tried again
        self._watch: Task | None = None
        self.list = InstanceList(settings, epoch)
        self.freshness = ListFreshness()
        self.on_update: Callable[[WorkerList], None] = lambda news: None

    def member(self, instance: WorkerId) -> Member | None:
        """What the list says of an instance; None for one that it never named."""
        return self.list.get(instance)

    def active(self, instance: WorkerId) -> bool:
        """Whether new work may go there, as the list says."""
        member = self.list.get(instance)
        return member is not None and member.active

    def incarnation(self, instance: WorkerId) -> int:
        """When the listed process of it started, as the loop's clock; 0 for long ago."""
        return self.list.incarnation(instance)

    def adopt(self, settings: Settings) -> Settings:
        """Other settings, with their zones and kinds in the list's numbers."""
        self._pacing.adopt(settings)
        return self.list.renumber(settings)

    @property
    def version(self) -> int:
        """Of the list, as discovery counts."""
        return self.list.version

    def entries(self) -> list[dict[str, Any]]:
        """The list in discovery's form."""
        return self.list.entries()

    @property
    def size(self) -> int:
        """How many instances the list names."""
        return self.list.size

    def load_known(self, known: Any, confirmed: bool = False) -> None:
        """Take a list that came otherwise than from discovery; raises ValueError if it is malformed.

        `confirmed`: the process before this one may use it, and so may this one.
        """
        news = self.list.apply(known, cached=True)
        self.freshness.replace()
        self.on_update(news)
        if confirmed:
            self.freshness.confirm()
        if self._watch is not None:
            self._open()  # from this list's version: it may be older than what the watch has told

    # Calls to discovery

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
        """A process begins: open the watch, where one discovery serves all not all of them at once.

        Until discovery has spoken, the list that this process was handed is not used: see `ListFreshness`.
        """
        self.freshness.begin(self._loop.now(), self._random.random())
        self._open(start=self._pacing.first_pause())

    def set_address(self, discovery: tuple[str, int]) -> None:
        """Discovery is at another address now: take the whole list there, then watch it."""
        if discovery == self._discovery:
            return
        self._discovery = discovery
        self._moved = True
        self._patient_until = self._loop.now() + MOVE_TIME
        self._pacing.moved()
        self._open()

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self._loop.spawn(self._fetching(), "fetch")

    def _failed(self, what: str, why: object) -> None:
        logger.bind(event="discovery.failed", call=what).warning("discovery: {} failed: {}", what, why)
        self.on_update(WorkerList(self.version, ListKind.FAILED, []))

    def _call(self, target: bytes) -> Coroutine[Stream]:
        until = self._loop.now() + CONNECT_TIMEOUT
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
            answer = yield from stream.response(self._loop.now() + self._pacing.answer_timeout, LINE_LIMIT)
            if answer.status != 200:
                raise Broken(f"status {answer.status}")
            if asked != self._discovery:
                # An old address's list and version mean nothing at the new one.
                raise Broken("discovery has moved")
            return self.list.apply(json.loads(answer.body), cached=False)
        finally:
            stream.close()

    def _fetching(self) -> Coroutine[None]:
        try:
            news = yield from self._whole()
        except _FAILURES as exc:
            self._failed("fetch", str(exc) or "no answer in time")
            return
        self._confirmed(news)

    def _watching(self, start: int) -> Coroutine[None]:
        if start:
            yield Wait(until=self._loop.now() + start)
        while True:
            called, self._open_since = self._loop.now(), None
            try:
                if self._moved:
                    # Versions of the old address mean nothing here: changes since one might leave out most.
                    news = yield from self._whole()
                    self._moved = False
                    self._back_since = None
                    self._confirmed(news)
                yield from self._read_watch()
            except _FAILURES as exc:
                why = str(exc) or "no line in time"
                if self.freshness.call_failed(self._loop.now()):
                    logger.bind(event="discovery.unreachable").warning(
                        "discovery: not reached since the start, the configuration's list is used: {}", why
                    )
                if self._loop.now() < self._patient_until:
                    # The longer pauses would pass the time limit after a move.
                    logger.info("discovery: {}:{} failed: {}", *self._discovery, why)
                    yield Wait(until=self._loop.now() + int(self._random.random() * MOVE_PAUSE))
                    continue
                yield from self._wait_before_reconnect(called, isinstance(exc, Late), why)

    def _wait_before_reconnect(self, called: int, late: bool, why: str) -> Coroutine[None]:
        """The call that began then has failed, or its watch has ended: the pause before the next one."""
        since, now = self._open_since, self._loop.now()
        if not self._deaf:
            # A discovery that is down is told of once, and once more when it speaks again.
            self._deaf = True
            self._failed("watch", why)
        if since is not None:
            pause = self._pacing.after_watch(now, now - since, late)
        else:
            pause = self._pacing.after_failure(now, now - called)
        yield Wait(until=self.freshness.next_call(now + pause))

    def _read_watch(self) -> Coroutine[None]:
        """Tell of changes until the watch breaks."""
        stream = yield from self._call(b"%s?watch=1&from=%d" % (PATH, self.version))
        try:
            answer = yield from stream.answer_head(self._loop.now() + self._pacing.answer_timeout)
            if answer.status != 200:
                raise Broken(f"status {answer.status}")
            logger.bind(event="discovery.watching").info(
                "discovery: watching {}:{} from version {}", *self._discovery, self.version
            )
            splitter, heard = JsonLineSplitter(), self._loop.now()
            self._open_since = heard
            self._pacing.opened()
            while True:
                # Each line has to be whole so long after the one before: a discovery that went silent, or one
                # that trickles, would else hold the watch for ever.
                event = yield from stream.event(heard + WATCH_TIMEOUT)
                if not isinstance(event, h11.Data):
                    raise Broken("the watch ended")
                for line in splitter.feed(bytes(event.data)):
                    heard = self._loop.now()
                    self._read_line(line)
        finally:
            stream.close()

    def _read_line(self, line: bytes) -> None:
        """One line of a watch, empty where nothing has changed; raises ValueError if it is malformed."""
        data = json.loads(line) if line else None
        if data is None:
            self._unchanged()
        elif self._older(data):
            self._news(self.list.apply(self.list.departures(data), cached=False))
        else:
            self._confirmed(self.list.apply(data, cached=False))

    def _unchanged(self) -> None:
        """Nothing has changed since the last line; the decisions hear so if they were told of a failure."""
        if self._deaf:
            self._news(WorkerList(self.version, ListKind.DELTA, []))
        self.freshness.confirm()

    def _confirmed(self, news: WorkerList) -> None:
        """The list as discovery has it now: told first, as what has waited for it is decided by it."""
        self._news(news)
        self.freshness.confirm()

    def _news(self, news: WorkerList) -> None:
        self._deaf = False
        self.on_update(news)

    def _older(self, data: Any) -> bool:
        """Whether a list is older than the one held, and so passed over.

        A discovery or agent that comes back with what it once saved would put back to work what has been told
        of as leaving. One that goes on so has lost its versions: then all of its list is taken as it stands.
        """
        version = data.get("revision") if isinstance(data, dict) else None
        if not isinstance(version, int) or version >= self.version:
            self._back_since = None
            return False
        if self._back_since is None:
            self._back_since = self._loop.now()
            logger.bind(event="discovery.older", version=version).warning(
                "discovery: version {} after {} is passed over", version, self.version
            )
        elif self._loop.now() - self._back_since >= BACK_TIME:
            self._moved = True
            raise Broken("versions have begun anew")
        return True
