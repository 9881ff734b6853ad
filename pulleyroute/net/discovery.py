"""The discovery client: fetches and watches the list of instances, and tracks how current the list is.

The client opens a watch when the process starts and reopens it whenever it ends or stops delivering lines, so
that changes arrive within the protocol's time limit. With a list on request, one discovery service serves the
whole fleet, and calls to it are spread according to the number of dispatchers. With a pushed list, the
address is that of an agent beside this process, and calls to it cost next to nothing. When discovery stops
answering, the decision logic receives `FAILED` once; when discovery answers again, it receives the next
update, even if that is empty.
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
from pulleyroute.net.http import (
    ConnectionFailed,
    ConnectionLimitReached,
    DeadlineExceeded,
    Malformed,
    Stream,
    connect,
)
from pulleyroute.net.instance_list import InstanceList, Member
from pulleyroute.net.json_lines import LINE_LIMIT, JsonLineSplitter
from pulleyroute.net.list_freshness import ListFreshness
from pulleyroute.net.loop import Coroutine, Loop, Task, Wait

PATH = b"/api/targets"
# Times are in microseconds.
ADDRESS_CHANGE_GRACE = 4_000_000  # failures this soon after a change of address are retried, not reported
ADDRESS_CHANGE_PAUSE = 500_000  # upper limit of the pause between these retries
OLDER_VERSION_GRACE = 6_000_000  # older versions are ignored for this long, then taken for a new numbering

_FAILURES = (
    ConnectionFailed,
    ConnectionLimitReached,
    DeadlineExceeded,
    Malformed,
    ValueError,
    RecursionError,
)


class DiscoveryClient:
    """Owns the list, its version and the calls to discovery; reports each change as a `WorkerList`."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        discovery: tuple[str, int],
        settings: Settings,
        epoch: int,
        seed: int = 0,
    ) -> None:
        """`epoch`: Unix time in microseconds when the loop's clock was at 0."""
        self._loop = loop
        self._pool = pool
        self._discovery = discovery
        self._random = Random(seed)
        self._pacing = CallPacing(settings, epoch, self._random)
        self._watch_opened_at: int | None = None  # when the response head of the current watch arrived
        self._failure_reported = False  # the watch has failed, and discovery has sent nothing since
        self._older_since: int | None = None  # since when discovery has sent only older versions
        self._needs_full_list = False  # the current version is from another address or an earlier numbering
        self._retry_silently_until = 0  # failures before this time are retried without a report
        self._watch: Task | None = None
        self.list = InstanceList(settings, epoch)
        self.freshness = ListFreshness()
        self.on_update: Callable[[WorkerList], None] = lambda update: None

    def member(self, instance: WorkerId) -> Member | None:
        """Return the list's entry for an instance, or None if the list has never named it."""
        return self.list.get(instance)

    def active(self, instance: WorkerId) -> bool:
        """Whether the list allows new work to be sent to the instance."""
        member = self.list.get(instance)
        return member is not None and member.active

    def incarnation(self, instance: WorkerId) -> int:
        """Return the start time of the listed process, on the loop's clock; 0 for long ago or unknown."""
        return self.list.incarnation(instance)

    def adopt(self, settings: Settings) -> Settings:
        """Apply new settings; return them with zones and kinds replaced by the list's own numbers."""
        self._pacing.adopt(settings)
        return self.list.renumber(settings)

    @property
    def version(self) -> int:
        """The list's version as numbered by discovery."""
        return self.list.version

    def entries(self) -> list[dict[str, Any]]:
        """Return the list in discovery's form."""
        return self.list.entries()

    @property
    def size(self) -> int:
        """The number of instances in the list."""
        return self.list.size

    def load_known(self, known: Any, confirmed: bool = False) -> None:
        """Load a list from a source other than discovery; raises ValueError if it is malformed.

        `confirmed`: the previous process was allowed to use this list, so this process may use it as well.
        """
        update = self.list.apply(known, cached=True)
        self.freshness.replace()
        self.on_update(update)
        if confirmed:
            self.freshness.confirm()
        if self._watch is not None:
            self._restart_watch()  # from this list's version, which may be older than the watch's last one

    # Calls to discovery

    def watch(self, on: bool) -> None:
        """Keep a watch open from now on, or close it. A watch that is open or being opened stays as it is."""
        if not on or self._watch is None:
            self._restart_watch(on)

    def _restart_watch(self, on: bool = True, delay: int = 0) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if on:
            # The task is stored before it starts, because it may fail and report the failure immediately.
            self._watch = Task(self._loop, self._run_watch(delay), "watch")
            self._watch.start()

    def begin(self) -> None:
        """Open the watch of a new process, delayed at random where the whole fleet shares one discovery.

        Until discovery answers, the process does not use the list that it was given: see `ListFreshness`.
        """
        self.freshness.begin(self._loop.now(), self._random.random())
        self._restart_watch(delay=self._pacing.first_pause())

    def set_address(self, discovery: tuple[str, int]) -> None:
        """Switch to another discovery address: fetch the full list there, then watch it."""
        if discovery == self._discovery:
            return
        self._discovery = discovery
        self._needs_full_list = True
        self._retry_silently_until = self._loop.now() + ADDRESS_CHANGE_GRACE
        self._pacing.address_changed()
        self._restart_watch()

    def fetch(self) -> None:
        """Fetch the full list once."""
        self._loop.spawn(self._run_fetch(), "fetch")

    def _report_failure(self, operation: str, reason: object) -> None:
        logger.bind(event="discovery.failed", call=operation).warning(
            "discovery: {} failed: {}", operation, reason
        )
        self.on_update(WorkerList(self.version, ListKind.FAILED, []))

    def _call(self, target: bytes) -> Coroutine[Stream]:
        until = self._loop.now() + CONNECT_TIMEOUT
        if log.debugging:
            log.event("list", call="watch" if b"?" in target else "whole")
        stream = yield from connect(self._loop, self._pool, self._discovery, until)
        try:
            host = "{}:{}".format(*self._discovery).encode()
            head = h11.Request(method=b"GET", target=target, headers=[(b"Host", host)])
            yield from stream.send_request(head, b"", until)
        except BaseException:
            stream.close()
            raise
        return stream

    def _fetch_full_list(self) -> Coroutine[WorkerList]:
        """Fetch the full list and apply it."""
        address, until = self._discovery, self._loop.now() + self._pacing.call_timeout
        stream = yield from self._call(PATH)
        try:
            answer = yield from stream.response(until, LINE_LIMIT)
            if answer.status != 200:
                raise ConnectionFailed(f"status {answer.status}")
            if address != self._discovery:
                # The list and version of the previous address are not valid at the new one.
                raise ConnectionFailed("discovery's address changed during the call")
            return self.list.apply(json.loads(answer.body), cached=False)
        finally:
            stream.close()

    def _run_fetch(self) -> Coroutine[None]:
        try:
            update = yield from self._fetch_full_list()
        except _FAILURES as exc:
            self._report_failure("fetch", str(exc) or "no answer within the time limit")
            return
        self._confirm(update)

    def _run_watch(self, delay: int) -> Coroutine[None]:
        if delay:
            yield Wait(until=self._loop.now() + delay)
        while True:
            called_at, self._watch_opened_at = self._loop.now(), None
            try:
                if self._needs_full_list:
                    # Versions are not comparable across addresses: the changes since the previous address's
                    # version could omit most of the list.
                    update = yield from self._fetch_full_list()
                    self._needs_full_list = False
                    self._older_since = None
                    self._confirm(update)
                yield from self._read_watch()
            except _FAILURES as exc:
                reason = str(exc) or "no line within the time limit"
                if self.freshness.call_failed(self._loop.now()):
                    logger.bind(event="discovery.unreachable").warning(
                        "discovery: unreachable since the start, using the configured list: {}", reason
                    )
                if self._loop.now() < self._retry_silently_until:
                    # The regular pauses would exceed the time allowed for a change of address.
                    logger.info("discovery: {}:{} failed: {}", *self._discovery, reason)
                    yield Wait(until=self._loop.now() + int(self._random.random() * ADDRESS_CHANGE_PAUSE))
                    continue
                yield from self._wait_before_reconnect(called_at, isinstance(exc, DeadlineExceeded), reason)

    def _wait_before_reconnect(self, called_at: int, timed_out: bool, reason: str) -> Coroutine[None]:
        """Report the failed call, or the watch that ended, and pause before the next call."""
        opened_at, now = self._watch_opened_at, self._loop.now()
        if not self._failure_reported:
            # An outage is reported once when it begins; the next update reports its end.
            self._failure_reported = True
            self._report_failure("watch", reason)
        if opened_at is not None:
            pause = self._pacing.after_watch(now, now - opened_at, timed_out)
        else:
            pause = self._pacing.after_failure(now, now - called_at)
        yield Wait(until=self.freshness.next_call(now + pause))

    def _read_watch(self) -> Coroutine[None]:
        """Open a watch and apply its lines until it breaks."""
        until = self._loop.now() + self._pacing.call_timeout
        stream = yield from self._call(b"%s?watch=1&from=%d" % (PATH, self.version))
        try:
            answer = yield from stream.response_head(until)
            if answer.status != 200:
                raise ConnectionFailed(f"status {answer.status}")
            logger.bind(event="discovery.watching").info(
                "discovery: watching {}:{} from version {}", *self._discovery, self.version
            )
            splitter, last_line_at = JsonLineSplitter(), self._loop.now()
            self._watch_opened_at = last_line_at
            self._pacing.opened()
            while True:
                # The time limit applies from one complete line to the next. Without it, a discovery that
                # falls silent, or sends a few bytes at a time, would keep the watch open for ever.
                event = yield from stream.event(last_line_at + WATCH_TIMEOUT)
                if not isinstance(event, h11.Data):
                    raise ConnectionFailed("discovery closed the watch")
                for line in splitter.feed(bytes(event.data)):
                    last_line_at = self._loop.now()
                    self._read_line(line)
        finally:
            stream.close()

    def _read_line(self, line: bytes) -> None:
        """Apply one line of a watch, empty if nothing has changed; raises ValueError if it is malformed."""
        data = json.loads(line) if line else None
        if data is None:
            self._confirm_unchanged()
        elif self._is_older(data):
            self._notify(self.list.apply(self.list.departures(data), cached=False))
        else:
            self._confirm(self.list.apply(data, cached=False))

    def _confirm_unchanged(self) -> None:
        """Note that nothing has changed; after a reported failure, send an empty update to report its end."""
        if self._failure_reported:
            self._notify(WorkerList(self.version, ListKind.DELTA, []))
        self.freshness.confirm()

    def _confirm(self, update: WorkerList) -> None:
        """Report an update from discovery, then confirm the list.

        In this order, because requests that wait for the confirmation are decided by the updated list.
        """
        self._notify(update)
        self.freshness.confirm()

    def _notify(self, update: WorkerList) -> None:
        self._failure_reported = False
        self.on_update(update)

    def _is_older(self, data: Any) -> bool:
        """Whether a list is older than the current one and is therefore ignored.

        A discovery or agent that restarts from saved data would reactivate instances already reported as
        leaving. If it continues to send older versions, it has lost its version numbers, and its full list is
        then accepted as it is.
        """
        version = data.get("revision") if isinstance(data, dict) else None
        if not isinstance(version, int) or version >= self.version:
            self._older_since = None
            return False
        if self._older_since is None:
            self._older_since = self._loop.now()
            logger.bind(event="discovery.older", version=version).warning(
                "discovery: ignoring version {}, which is older than version {}", version, self.version
            )
        elif self._loop.now() - self._older_since >= OLDER_VERSION_GRACE:
            self._needs_full_list = True
            raise ConnectionFailed("discovery has restarted its version numbers")
        return True
