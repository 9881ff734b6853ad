"""A fleet of real processes on this machine, and the hand that hurts them.

Dispatchers, runners and the store are processes; clients, operators, links and the platform, which starts
what ends, are coroutines here. Only processes started here are signalled, by id.
"""

from __future__ import annotations

import contextlib
import ctypes
import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

import h11

from pulleyroute.emulator.exchange import exchange
from pulleyroute.emulator.link import Link
from pulleyroute.fleet import release
from pulleyroute.fleet.drains import CountOrShare
from pulleyroute.fleet.operate import Operator
from pulleyroute.fleet.records import OperationRefused
from pulleyroute.fleet.store import Client, StoreRejected, StoreUnavailable
from pulleyroute.lab.fleet.checker import Asked, Limits, Look, Saw, judge
from pulleyroute.lab.fleet.schedule import (
    AWAIT_OUT,
    AWAIT_RESTARTS,
    BAD,
    GATHER,
    ONCE_DRAINED,
    ONCE_OUT,
    WAITS,
    Deed,
    Schedule,
)
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import (
    ConnectionFailed,
    ConnectionLimitReached,
    DeadlineExceeded,
    Malformed,
    connect,
)
from pulleyroute.net.loop import Coroutine, Loop, Wait
from pulleyroute.net.process import raise_descriptor_limit

SECOND = 1_000_000
PATIENCE = 90 * SECOND  # for what only a broken program keeps waiting for
LOOK = 40_000  # between two looks at a member
LOOK_TIME = 400_000  # a look that takes longer says nothing
AGAIN = 300_000  # the platform starts what ended after so long
ALONE = 5 * SECOND  # within which each restarts where nothing is agreed
PORTS = 20_000  # the store's, then the members'
FOREVER = 2**62
PDEATHSIG = 1  # of prctl(2)
GROUP, STATUS = "rig", 75
EMULATE = [sys.executable, "-m", "pulleyroute.cli", "emulate"]
KINDS = {"look": "safe", "charge": "unsafe"}

CONFIG = """
name = "{name}"
log {{
  level  = "info"
  format = "json"
}}
listener "jobs" {{
  protocol = "jobs"
  address  = "{host}:{port}"
  pool     = "boxes"
}}
pool "boxes" {{
  protocol    = "jobs"
  dispatchers = {members}
  number      = {number}
  probes      = true
  reports     = "probes"
  cancels     = true
  connect_timeout = "500ms"
  report {{
    x0  = "free_slots"
    rif = "in_hand"
    q   = "queued"
  }}
{instances}}}
class "look" {{
  effect  = "safe"
  aim     = "1s"
  give_up = "{give_up}ms"
}}
class "charge" {{
  effect  = "unsafe"
  aim     = "1s"
  give_up = "{give_up}ms"
  worth   = 3
}}
{fleet}"""
FLEET = """fleet {{
  store          = ["{store}"]
  group          = "{group}"
  zone           = "{zone}"
  version        = "{version}"
  size           = {members}
  lease          = "{lease}s"
  out            = {out}
  out_zone       = {out_zone}
  least_serving  = {least}
  runners_out    = 1
  restart_status = {status}
  version_file   = "{version_file}"
}}
"""


@dataclass(slots=True)
class Member:
    """A dispatcher's place: its process, its links, what the platform knows of it."""

    number: int
    port: int
    clients: Link
    callbacks: Link
    store: Link
    runners: list[Link] = field(default_factory=list)
    process: subprocess.Popen[bytes] | None = None
    stopped_at: int | None = None
    ready: bool = False
    version: str = "v1"
    again_at: int = 0
    good: str = "v1"  # the version before, that was ready once
    born_ready: bool = False  # this process has been ready
    crash_at: int = 0  # when its version brings this process down
    failures: int = 0  # processes in a row that never were

    @property
    def name(self) -> str:
        return f"d{self.number}"


def _with_parent() -> None:
    """Guards the machine: whoever kills a run takes its processes with it."""
    ctypes.CDLL(None).prctl(PDEATHSIG, signal.SIGKILL)


class Rig:
    """One run; owns all processes, links and what was seen."""

    def __init__(
        self,
        loop: Loop,
        schedule: Schedule,
        folder: Path,
        program: list[str] | None = None,
        agreement: bool = True,
    ) -> None:
        """`program`: what a dispatcher is started with; `agreement` False leaves the fleet block out."""
        raise_descriptor_limit()  # each member has three links here and one more for each runner
        self.loop, self.schedule, self.folder = loop, schedule, folder
        self._shape = schedule.shape
        self._program = program or [sys.executable, "-m", "pulleyroute.cli", "serve"]
        self._agreement = agreement
        self._pool = BufferPool()
        self._random = Random(schedule.seed)
        self.saw = Saw()
        self.log: list[str] = []
        self._began = loop.now()
        self._store: subprocess.Popen[bytes] | None = None
        # Guards runs side by side, and against connections whose own ends take the ports that were chosen: an
        # address of this process alone, and ports that the system gives nobody by itself.
        pid = os.getpid()
        self.host = f"127.{1 + (pid >> 16) % 250}.{(pid >> 8) % 256}.{pid % 254 + 1}"
        self._store_port = PORTS
        self._runners: list[subprocess.Popen[bytes]] = []
        self._over = False  # the load ends
        self._drained: dict[str, int] = {}  # runners by when the operator was first told so
        self._promised_from: dict[str, int] = {}  # looks asked for before this say nothing of a runner
        self._out = 0  # requests out
        self._links: list[Link] = []
        self._hand = self._link(self._store_port)
        self.members = [
            Member(number, port, self._link(port), self._link(port), self._link(self._store_port))
            for number in range(self._shape.members)
            for port in [PORTS + 1 + number]
        ]
        client = Client(loop, self._pool, [self._hand.address], schedule.seed)
        self.operator = Operator(loop, client, GROUP, "operator", schedule.seed)

    def _link(self, port: int) -> Link:
        link = Link(self.loop, (self.host, port))
        self._links.append(link)
        return link

    def note(self, text: str) -> None:
        self.log.append(f"{(self.loop.now() - self._began) / SECOND:8.3f} s  {text}")

    # Starting

    def _process(self, command: list[str], log: str, says: bool = False) -> subprocess.Popen[bytes]:
        """A process with its errors in a file; `says`: its output is read here."""
        with (self.folder / log).open("ab") as err:
            return subprocess.Popen(
                command, stdout=subprocess.PIPE if says else None, stderr=err, preexec_fn=_with_parent
            )

    def _start_store(self) -> None:
        self._store = self._process(
            [*EMULATE, "store", f"{self.host}:{self._store_port}", "--log", str(self.folder / "store.log")],
            "store.err",
            says=True,
        )

    def _start_runner(self, number: int) -> list[tuple[str, int]]:
        command = [
            *EMULATE,
            "runner",
            f"r{number}",
            "--book",
            str(self.folder / "book"),
            "--seed",
            str(self.schedule.seed * 100 + number),
            "--mean-ms",
            str(self._shape.mean_ms),
        ]
        for member in self.members:
            command += ["--callback", "{}:{}".format(*member.callbacks.address)]
        process = self._process(command, "runners.err", says=True)
        self._runners.append(process)
        assert process.stdout is not None
        return [tuple(address) for address in json.loads(process.stdout.readline())]

    def _configure(self, member: Member) -> Path:
        shape, works = self._shape, not member.version.endswith("errs")
        places = [(link.address[0], link.address[1] if works else 1) for link in member.runners]
        instances = "".join(
            f'  instance "r{i}" {{\n    address = "{host}:{port}"\n  }}\n'
            for i, (host, port) in enumerate(places)
        )
        fleet = (
            FLEET.format(
                store="{}:{}".format(*member.store.address),
                group=GROUP,
                zone=shape.zone(member.number),
                version=member.version,
                members=shape.members,
                lease=shape.lease // SECOND,
                out=shape.out,
                out_zone=shape.out_zone,
                least=shape.least,
                status=STATUS,
                version_file=self.folder / f"{member.name}.version",
            )
            if self._agreement
            else ""
        )
        path = self.folder / f"{member.name}.hcl"
        text = CONFIG.format(
            name=member.name,
            host=self.host,
            port=member.port,
            members=shape.members,
            number=member.number,
            instances=instances,
            give_up=shape.give_up // 1000,
            fleet=fleet,
        )
        path.write_text("nonsense" if member.version.endswith("never") else text)
        return path

    def start_member(self, member: Member) -> None:
        member.born_ready = False
        path = self._configure(member)
        self.saw.born.append(self.loop.now())
        self._hurt(member)
        member.process = self._process([*self._program, "--config", str(path)], f"{member.name}.log")

    def _hurt(self, member: Member) -> None:
        self.saw.hurt.setdefault(member.number, []).append(self.loop.now())

    # The platform

    def _platform(self) -> Coroutine[None]:
        """Start again whatever has ended."""
        while True:
            now = self.loop.now()
            for member in self.members:
                process = member.process
                if process is None:
                    if member.again_at and now >= member.again_at:
                        member.again_at = 0
                        self._start_planned(member)
                elif member.version.endswith("crashes") and member.born_ready and process.poll() is None:
                    member.crash_at = member.crash_at or now + 3 * SECOND
                    if now >= member.crash_at and member.stopped_at is None:
                        self._hurt(member)
                        process.kill()
                elif process.poll() is not None:
                    member.crash_at = 0
                    status = process.returncode
                    hurt = any(
                        at > now - 10 * SECOND for at in self.saw.hurt.get(member.number, [])
                    ) or member.version.endswith(BAD)
                    self.saw.exits.append((member.number, status, hurt))
                    self.note(f"{member.name} as {member.version} ended with {status}")
                    if member.born_ready:
                        member.failures = 0
                    elif status != STATUS:
                        member.failures += 1
                        if member.failures >= 3:
                            # As platforms do: what does not come up is put back to what did.
                            self.note(f"{member.name} is put back to {member.good}")
                            member.version, member.failures = member.good, 0
                    told = self.folder / f"{member.name}.version"
                    if status == STATUS and told.exists():
                        member.good, member.version = member.version, told.read_text().strip()
                        told.unlink()
                    member.process, member.again_at = None, now + AGAIN
            yield Wait(until=now + LOOK // 2)

    def _start_planned(self, member: Member) -> None:
        """After a planned end the start is part of the same way out; only what was hurt is hurt anew."""
        hurt = self.saw.hurt.setdefault(member.number, [])
        before = list(hurt)
        self.start_member(member)
        if self.saw.exits and self.saw.exits[-1][1] == (STATUS if self._agreement else 0):
            hurt[:] = before

    def _looking(self, member: Member) -> Coroutine[None]:
        """Ask a member all the time whether it wants clients, past every link."""
        looks = self.saw.looks.setdefault(member.number, [])
        while True:
            asked, stream, ready = self.loop.now(), None, None
            place, until = (self.host, member.port), asked + LOOK_TIME
            try:
                stream = yield from connect(self.loop, self._pool, place, until)
                ready = (yield from exchange(stream, b"GET", b"/-/ready", until)).status == 200
            except ConnectionFailed:
                # Refused: nobody listens. A connection that broke later says nothing of readiness.
                ready = False if stream is None else None
            except (ConnectionLimitReached, DeadlineExceeded, Malformed):
                pass
            if ready is not None:
                looks.append(Look(asked, self.loop.now(), ready))
                member.born_ready = member.born_ready or ready
                member.ready = ready
            yield Wait(until=max(self.loop.now(), asked + LOOK))

    # Clients

    def _loading(self) -> Coroutine[None]:
        count = 0
        while not self._over:
            yield Wait(until=self.loop.now() + int(self._random.expovariate(self._shape.rate) * SECOND))
            wanted = [member for member in self.members if member.ready] or self.members
            kind = self._random.choice(list(KINDS))
            self.loop.spawn(self._asking(f"t{count}", kind, self._random.choice(wanted)), "client")
            count += 1

    def _asking(self, txn: str, kind: str, member: Member) -> Coroutine[None]:
        at, stream, ending, sent = self.loop.now(), None, "lost", False
        until = at + self._shape.give_up + SECOND
        self._out += 1
        try:
            stream = yield from connect(self.loop, self._pool, member.clients.address, until)
            head = h11.Request(
                method=b"POST",
                target=f"/{kind}".encode(),
                headers=[
                    (b"Host", b"rig"),
                    (b"X-Txn", txn.encode()),
                    (b"Content-Length", b"2"),
                    (b"X-Remaining-Ms", b"%d" % (self._shape.give_up // 1000)),
                ],
            )
            yield from stream.send(stream.frame(head, b"{}"), until)
            sent = True
            answer = yield from stream.response(until)
            ending = {200: "served", 429: "refused", 503: "refused"}.get(answer.status, "failed")
        except (ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, Malformed):
            # A connection that ends with nothing read of it is not a job taken: the client comes again.
            ending = "lost" if sent and self.loop.now() - at > LOOK else "turned"
        finally:
            if stream is not None:
                stream.close()
            self._out -= 1
        self.saw.requests.append(Asked(txn, kind, member.number, at, self.loop.now(), ending))

    # Deeds

    def _do(self, deed: Deed) -> None:
        self.note(str(deed))
        if deed.what in WAITS:
            return
        if deed.what.startswith("store-") and deed.who < 0:
            self._hurt_store(deed)
            return
        if deed.what.startswith("release"):
            self.loop.spawn(self._releasing(deed), "operator")
            return
        if deed.what in ("kill-leader", "stop-leader"):
            self.loop.spawn(self._hurting_leader(deed), "platform")
            return
        if deed.what in ("box-drain", "box-undrain"):
            box = f"r{deed.who}"
            self.loop.spawn(self._operating(deed, box, lambda: self._boxing(deed, box)), "operator")
            return
        member = self.members[deed.who]
        if deed.what == "wish" and not self._agreement:
            self._after(int(self._random.random() * ALONE), lambda: self._restart_alone(member))
        elif deed.what in ("wish", "undrain"):
            call = self._operating(deed, member.name, lambda: self._wishing(deed, member))
            self.loop.spawn(call, "operator")
        elif deed.what in ("kill", "term"):
            if member.process is not None:
                self._hurt(member)
                if member.stopped_at is not None:
                    self._go_on(member)
                member.process.send_signal(signal.SIGKILL if deed.what == "kill" else signal.SIGTERM)
        elif deed.what == "stop":
            if member.process is not None and member.stopped_at is None:
                self._hurt(member)
                member.stopped_at = self.loop.now()
                member.process.send_signal(signal.SIGSTOP)
                if deed.span:
                    self._after(deed.span, lambda: self._go_on(member))
        elif deed.what == "go-on":
            self._go_on(member)
        elif deed.what == "store-cut":
            member.store.cut(deed.more in ("both", "up"), deed.more in ("both", "down"))
            self._after(deed.span, member.store.heal)
        elif deed.what == "store-delay":
            member.store.delay = 300_000
            self._after(deed.span, member.store.heal)
        elif deed.what == "runner-cut":
            now = self.loop.now()
            for link in member.runners:
                link.cut()
                self._after(deed.span, link.heal)
            self.saw.cut.setdefault(deed.who, []).append(
                (now, now + deed.span + self._shape.give_up + SECOND)
            )
        elif deed.what == "client-reset":
            now = self.loop.now()
            self.saw.cut.setdefault(deed.who, []).append((now - SECOND, now + SECOND))
            member.clients.reset()

    def _restart_alone(self, member: Member) -> None:
        """A restart that nobody has agreed on: as planned as any."""
        if member.process is not None:
            member.process.send_signal(signal.SIGTERM)

    def _hurting_leader(self, deed: Deed) -> Coroutine[None]:
        with contextlib.suppress(StoreUnavailable, StoreRejected):
            known, _ = yield from self.operator.read_snapshot()
            for name, token in known.tokens.items():
                if token == known.leader_token:
                    self._do(replace(deed, what=deed.what[:4], who=int(name[1:])))

    def _after(self, span: int, action: Callable[[], None]) -> None:
        self.loop.call_at(self.loop.now() + span, action)

    def _go_on(self, member: Member) -> None:
        if member.stopped_at is None:
            return
        began, member.stopped_at = member.stopped_at, None
        self.saw.stopped.setdefault(member.number, []).append((began, self.loop.now()))
        self._hurt(member)
        if member.process is not None:
            member.process.send_signal(signal.SIGCONT)

    def _hurt_store(self, deed: Deed) -> None:
        began = self.loop.now()

        def over() -> None:
            self.saw.store.append((began, self.loop.now()))

        process = self._store
        if deed.what == "store-kill" and process is not None:
            self._store = None
            process.kill()
            process.wait()

            def again() -> None:
                self._start_store()
                over()

            self._after(deed.span, again)
        elif deed.what == "store-stop" and process is not None:
            process.send_signal(signal.SIGSTOP)

            def go_on() -> None:
                process.send_signal(signal.SIGCONT)
                over()

            self._after(deed.span, go_on)
        elif deed.what.startswith("store-"):
            known: dict[str, dict[str, Any]] = {
                "store-leaderless": {"leaderless": True},
                "store-lose": {"lose_answers": 2},
                "store-silent": {"silent_watches": True},
                "store-slow": {"slow": 300_000},
                GATHER: {"gather": self._shape.members, "gather_under": f"/pulleyroute/{GROUP}/permit/"},
            }
            faults = known.get(deed.what)
            if faults is None:
                return  # a kill or a stop of a store that is down
            self.loop.spawn(self.tell_store(faults), "faults")
            if deed.span:

                def heal() -> None:
                    self.loop.spawn(self.tell_store({}), "faults")
                    over()

                self._after(deed.span, heal)

    def tell_store(self, faults: dict[str, Any]) -> Coroutine[None]:
        """What the store is to do wrong from now on."""
        until = self.loop.now() + 2 * SECOND
        with contextlib.suppress(ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, Malformed):
            stream = yield from connect(self.loop, self._pool, (self.host, self._store_port), until)
            yield from exchange(stream, b"POST", b"/faults", until, json.dumps(faults).encode())

    def _operating(self, deed: Deed, name: str, call: Callable[[], Coroutine[None]]) -> Coroutine[None]:
        """One operator's call, made again while it is lost where the schedule says that operators insist."""
        end = self.loop.now() + (PATIENCE if self.schedule.insists else 0)
        while True:
            try:
                yield from call()
                return
            except StoreUnavailable as exc:
                self.note(f"operator: {deed.what} {name}: {exc}")
                if self.loop.now() >= end:
                    return
            except (StoreRejected, OperationRefused) as exc:
                self.note(f"operator: {deed.what} {name}: {exc}")
                return
            yield Wait(until=self.loop.now() + LOOK)

    def _wishing(self, deed: Deed, member: Member) -> Coroutine[None]:
        if deed.what == "undrain":
            return self.operator.undrain(member.name, "as planned")
        if deed.more == "restart":
            return self.operator.drain(member.name, "restart", "as planned", f"v{deed.at}")
        return self.operator.drain(member.name, "standby", "as planned")

    def _boxing(self, deed: Deed, box: str) -> Coroutine[None]:
        if deed.what == "box-undrain":
            return self._undrain_box("boxes", box)
        return self.operator.drain_runner("boxes", box, "as planned")

    def _releasing(self, deed: Deed) -> Coroutine[None]:
        plan = release.Plan(
            f"r{deed.at}",
            deed.more,
            (CountOrShare(count=1), CountOrShare(share=0.5), CountOrShare(share=1.0)),
            at_once=2,
            soak=5 * SECOND,
            patience=self._shape.patience,
            on_failure="back",
        )
        try:
            if deed.what == "release":
                yield from self.operator.start_release(plan)
                return
            to = {
                "release-halt": release.State.HALTED,
                "release-resume": release.State.RUNNING,
                "release-back": release.State.ROLLING_BACK,
            }[deed.what]
            yield from self.operator.change_release_state(to, "by hand")
        except (StoreUnavailable, StoreRejected, OperationRefused) as exc:
            self.note(f"operator: {deed.what}: {exc}")

    def _end_release(self) -> Coroutine[None]:
        """Wait until the release in hand has ended; a halted one is taken back."""
        end = self.loop.now() + 2 * PATIENCE
        while self.loop.now() < end:
            with contextlib.suppress(StoreUnavailable, StoreRejected, OperationRefused):
                known, _ = yield from self.operator.read_snapshot()
                if known.release is None:
                    return
                self.saw.released, self.saw.ended = known.release.version, known.release.state
                if known.release.state in ("done", "back"):
                    return
                if known.release.state == "halted":
                    self.note(f"halted: {known.release.why}")
                    yield from self.operator.change_release_state(release.State.ROLLING_BACK, "the run ends")
            yield Wait(until=self.loop.now() + SECOND // 2)

    def _undrain_box(self, pool: str, box: str) -> Coroutine[None]:
        """Take a drain back: nothing is promised until a look that is asked for after it."""
        self._undrained(box)
        # Guards the verdict against a look that a slow store answers late: it tells of the time before.
        self._promised_from[box] = FOREVER
        settled = True
        try:
            yield from self.operator.undrain_runner(pool, box, "as planned")
        except StoreUnavailable as exc:
            # Else it may be done at any time yet, and nothing is promised any more.
            settled = not exc.maybe_applied
            raise
        finally:
            if settled:
                self._promised_from[box] = self.loop.now()

    def _undrained(self, box: str) -> None:
        began = self._drained.pop(box, None)
        if began is not None:
            self.saw.drained.append((box, began, self.loop.now()))

    def _watching(self) -> Coroutine[None]:
        """What the operator is told of drained runners: a promise that the runners' book is held against."""
        while True:
            asked = self.loop.now()
            with contextlib.suppress(StoreUnavailable, StoreRejected):
                rows = yield from self.operator.runners()
                now = self.loop.now()
                drained = {
                    row["name"]
                    for row in rows
                    if row["state"] == "drained" and asked >= self._promised_from.get(row["name"], 0)
                }
                for box in drained - set(self._drained):
                    self._drained[box] = now
                for box in set(self._drained) - drained:
                    self._undrained(box)
            yield Wait(until=self.loop.now() + SECOND // 5)

    # A run

    def run(self) -> Coroutine[None]:
        """Start, play the schedule, heal everything, and wait until all members want clients again."""
        self._start_store()
        store, shape = self._store, self._shape
        assert store is not None and store.stdout is not None
        store.stdout.readline()
        addresses = [self._start_runner(number) for number in range(shape.runners)]
        for member in self.members:
            for number in range(shape.runners):
                link = Link(self.loop, addresses[number][member.number])
                member.runners.append(link)
                self._links.append(link)
            self.start_member(member)
            self.loop.spawn(self._looking(member), "look")
        self.loop.spawn(self._platform(), "platform")
        yield from self._until(self._all_ready)
        if self._agreement:
            yield from self._until_joined()
            self.loop.spawn(self._watching(), "watch")
        self.loop.spawn(self._loading(), "load")
        self._began = self.loop.now()
        for deed in self.schedule.deeds:
            yield Wait(until=self._began + deed.at)
            yield from self._until_due(deed)
            self._do(deed)
        yield Wait(until=self._began + shape.length)
        yield from self._calm()

    def _calm(self) -> Coroutine[None]:
        """All faults over and all wishes taken back: then everybody has to come back."""
        self.note("all is healed")
        last = max((deed.at + deed.span for deed in self.schedule.deeds), default=0)
        yield Wait(until=max(self.loop.now(), self._began + last + SECOND))
        for link in self._links:
            link.heal()
        if self._agreement:
            yield from self._end_release()
        end = self.loop.now() + PATIENCE
        while self._agreement:
            try:
                known, _ = yield from self.operator.read_snapshot()
                for name in known.member_requests:
                    with contextlib.suppress(OperationRefused):
                        yield from self.operator.undrain(name, "the run ends")
                for pool, box in {*known.runner_requests, *known.runner_drains}:
                    with contextlib.suppress(OperationRefused):
                        yield from self._undrain_box(pool, box)
                if self._all_ready() and not (
                    known.member_requests or known.permits or known.runner_requests or known.runner_drains
                ):
                    break
            except (StoreUnavailable, StoreRejected):
                pass
            if self.loop.now() > end:
                break
            yield Wait(until=self.loop.now() + SECOND // 4)
        with contextlib.suppress(TimeoutError):
            yield from self._until(self._all_ready)
        self.saw.left_out = [member.number for member in self.members if not member.ready]
        self.saw.versions = [member.version for member in self.members]
        if self._agreement:
            with contextlib.suppress(StoreUnavailable, StoreRejected):
                known, _ = yield from self.operator.read_snapshot()
                self.saw.left_out += [int(name[1:]) for name in known.permits]
        self._over = True
        with contextlib.suppress(TimeoutError):
            yield from self._until(lambda: not self._out)

    def _until_due(self, deed: Deed) -> Coroutine[None]:
        """Wait for what the deed is to meet, on a slow machine as on a fast one.

        The later deeds come later by as much, so that the time between two of them stays as it was drawn.
        """
        due = self._condition(deed)
        if due is None:
            return
        since = self.loop.now()
        try:
            yield from self._until(due, deed.span if deed.what in WAITS and deed.span else PATIENCE)
        except TimeoutError:
            self.note(f"did not come to be: {deed}")
        self._began += self.loop.now() - since

    def _condition(self, deed: Deed) -> Callable[[], bool] | None:
        if deed.more == ONCE_OUT:
            return lambda: not self.members[deed.who].ready
        if deed.more == ONCE_DRAINED:
            return lambda: f"r{deed.who}" in self._drained
        if deed.what == AWAIT_OUT:
            return lambda: sum(not member.ready for member in self.members) >= deed.who
        if deed.what == AWAIT_RESTARTS:
            return lambda: sum(status == STATUS for _, status, _ in self.saw.exits) >= deed.who
        return None

    def _all_ready(self) -> bool:
        return all(member.ready and member.process is not None for member in self.members)

    def _until_joined(self) -> Coroutine[None]:
        end = self.loop.now() + PATIENCE
        while self.loop.now() < end:
            with contextlib.suppress(StoreUnavailable, StoreRejected):
                known, _ = yield from self.operator.read_snapshot()
                if len(known.heartbeats) == self._shape.members:
                    return
            yield Wait(until=self.loop.now() + SECOND // 10)
        raise TimeoutError("the fleet did not come together")

    def _until(self, so: Callable[[], bool], patience: int = PATIENCE) -> Coroutine[None]:
        end = self.loop.now() + patience
        while not so():
            if self.loop.now() > end:
                raise TimeoutError("it did not come to be")
            yield Wait(until=self.loop.now() + LOOK)

    def verdict(self) -> list[str]:
        """What was broken, from what was seen from outside."""
        book = self.folder / "book"
        lines = [json.loads(line) for line in book.read_text().splitlines()] if book.exists() else []
        begun: dict[tuple[str, str], int] = {}
        for line in lines:
            if line["what"] == "start":
                begun[line["box"], line["txn"]] = line["at"]
            else:
                at = begun.pop((line["box"], line["txn"]), 0)
                self.saw.ran.append((line["box"], at, line["at"], line["txn"]))
        self.saw.starts = [
            (line["at"], line["txn"], line["kind"], line["box"]) for line in lines if line["what"] == "start"
        ]
        shape = self._shape
        limits = Limits(
            shape.out, shape.out_zone, {i: shape.zone(i) for i in range(shape.members)}, shape.lease, STATUS
        )
        return judge(self.saw, limits, {kind for kind, effect in KINDS.items() if effect == "unsafe"})

    def close(self) -> None:
        for process in [*self._runners, self._store, *(member.process for member in self.members)]:
            if process is not None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGCONT)
                process.kill()
                process.wait()
                if process.stdout is not None:
                    process.stdout.close()
        for link in self._links:
            link.close()
