"""A test rig that runs a fleet of real processes on this machine and injects faults into it.

Dispatchers, runners and the store are processes. Clients, operators, links and the platform, which restarts
processes that have exited, are coroutines of this process. Signals go by process ID, and only to processes
started here.
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
from pulleyroute.lab.fleet.checker import ClientRequest, Limits, Observations, ReadinessProbe, check
from pulleyroute.lab.fleet.schedule import (
    AWAIT_OUT,
    AWAIT_RESTARTS,
    BAD_VERSIONS,
    ONCE_DRAINED,
    ONCE_OUT,
    STORE_GATHER,
    WAITS,
    Operation,
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

SECOND = 1_000_000  # in microseconds
RECOVERY_TIMEOUT_US = 90 * SECOND  # for conditions that are always met unless the program is faulty
PROBE_INTERVAL_US = 40_000  # between readiness probes of a member
PROBE_TIMEOUT_US = 400_000  # a probe that takes longer has no result
RESTART_DELAY_US = 300_000  # from the exit of a member's process to its restart by the platform
UNCOORDINATED_SPREAD_US = 5 * SECOND  # the time over which restarts are spread in a fleet without agreement
FIRST_PORT = 20_000  # the port of the store; those of the members follow
NEVER = 2**62  # a time that is not reached
PR_SET_PDEATHSIG = 1  # of prctl(2)
GROUP, RESTART_STATUS = "rig", 75
EMULATE = [sys.executable, "-m", "pulleyroute.cli", "emulate"]
CLASS_EFFECTS = {"look": "safe", "charge": "unsafe"}  # by job class

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
    """A member of the fleet: its process, its links, and the platform's state for it."""

    number: int
    port: int
    client_link: Link
    callback_link: Link
    store_link: Link
    runner_links: list[Link] = field(default_factory=list)
    process: subprocess.Popen[bytes] | None = None
    stopped_at: int | None = None  # when SIGSTOP was sent to it
    ready: bool = False
    version: str = "v1"
    restart_at: int = 0
    last_good_version: str = "v1"  # the version before, which has been ready
    has_been_ready: bool = False  # whether this process has been ready
    crash_at: int = 0  # when its version crashes this process
    failed_starts: int = 0  # consecutive processes that were never ready

    @property
    def name(self) -> str:
        """Return the name of the member in the fleet."""
        return f"d{self.number}"


def _die_with_parent() -> None:
    """Have the kernel kill this process when its parent dies, so that a killed run leaves none behind."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Rig:
    """One run. Owns all processes and links, and the observations."""

    def __init__(
        self,
        loop: Loop,
        schedule: Schedule,
        folder: Path,
        program: list[str] | None = None,
        agreement: bool = True,
    ) -> None:
        """Open the links, and start no process yet.

        `program`: the command that starts a dispatcher. Without `agreement` the dispatchers have no `fleet`
        block in their configuration.
        """
        raise_descriptor_limit()  # each member has three links here, and one for each runner
        self.loop, self.schedule, self.folder = loop, schedule, folder
        self._spec = schedule.spec
        self._program = program or [sys.executable, "-m", "pulleyroute.cli", "serve"]
        self._agreement = agreement
        self._pool = BufferPool()
        self._random = Random(schedule.seed)
        self.observed = Observations()
        self.log: list[str] = []
        self._started_at = loop.now()
        self._store_process: subprocess.Popen[bytes] | None = None
        # The address is derived from the process ID, so that runs side by side have different ones. The ports
        # lie below the ephemeral range, where the local end of a connection could take one of them.
        pid = os.getpid()
        self.host = f"127.{1 + (pid >> 16) % 250}.{(pid >> 8) % 256}.{pid % 254 + 1}"
        self._store_port = FIRST_PORT
        self._runner_processes: list[subprocess.Popen[bytes]] = []
        self._load_stopped = False
        self._drained_since: dict[str, int] = {}  # by runner: when an operator first saw it as drained
        # By runner: answers to an operator that were requested before this time do not count for it.
        self._drained_valid_from: dict[str, int] = {}
        self._pending_requests = 0  # of clients
        self._links: list[Link] = []
        self._operator_link = self._add_link(self._store_port)
        self.members = [
            Member(number, port, self._add_link(port), self._add_link(port), self._add_link(self._store_port))
            for number in range(self._spec.members)
            for port in [FIRST_PORT + 1 + number]
        ]
        client = Client(loop, self._pool, [self._operator_link.address], schedule.seed)
        self.operator = Operator(loop, client, GROUP, "operator", schedule.seed)

    def _add_link(self, port: int) -> Link:
        link = Link(self.loop, (self.host, port))
        self._links.append(link)
        return link

    def note(self, text: str) -> None:
        """Add a line with the time of the run to its log."""
        self.log.append(f"{(self.loop.now() - self._started_at) / SECOND:8.3f} s  {text}")

    # Starting

    def _spawn_process(
        self, command: list[str], log: str, capture_output: bool = False
    ) -> subprocess.Popen[bytes]:
        """Start a process with its standard error in a file, and standard output in a pipe if captured."""
        with (self.folder / log).open("ab") as err:
            return subprocess.Popen(
                command,
                stdout=subprocess.PIPE if capture_output else None,
                stderr=err,
                preexec_fn=_die_with_parent,
            )

    def _start_store(self) -> None:
        self._store_process = self._spawn_process(
            [*EMULATE, "store", f"{self.host}:{self._store_port}", "--log", str(self.folder / "store.log")],
            "store.err",
            capture_output=True,
        )

    def _start_runner(self, number: int) -> list[tuple[str, int]]:
        """Start a runner and return its addresses, one for each member."""
        command = [
            *EMULATE,
            "runner",
            f"r{number}",
            "--book",
            str(self.folder / "book"),
            "--seed",
            str(self.schedule.seed * 100 + number),
            "--mean-ms",
            str(self._spec.mean_job_ms),
        ]
        for member in self.members:
            command += ["--callback", "{}:{}".format(*member.callback_link.address)]
        process = self._spawn_process(command, "runners.err", capture_output=True)
        self._runner_processes.append(process)
        assert process.stdout is not None
        return [tuple(address) for address in json.loads(process.stdout.readline())]

    def _write_config(self, member: Member) -> Path:
        """Write the configuration of a member and return its path; bad versions get a faulty one."""
        spec, jobs_succeed = self._spec, not member.version.endswith("errs")
        addresses = [
            (link.address[0], link.address[1] if jobs_succeed else 1) for link in member.runner_links
        ]
        instances = "".join(
            f'  instance "r{i}" {{\n    address = "{host}:{port}"\n  }}\n'
            for i, (host, port) in enumerate(addresses)
        )
        fleet = (
            FLEET.format(
                store="{}:{}".format(*member.store_link.address),
                group=GROUP,
                zone=spec.zone(member.number),
                version=member.version,
                members=spec.members,
                lease=spec.lease // SECOND,
                out=spec.max_out,
                out_zone=spec.max_out_per_zone,
                least=spec.min_serving,
                status=RESTART_STATUS,
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
            members=spec.members,
            number=member.number,
            instances=instances,
            give_up=spec.give_up // 1000,
            fleet=fleet,
        )
        path.write_text("nonsense" if member.version.endswith("never") else text)
        return path

    def start_member(self, member: Member) -> None:
        """Write the configuration of a member and start its process."""
        member.has_been_ready = False
        path = self._write_config(member)
        self.observed.process_starts.append(self.loop.now())
        self._record_disturbance(member)
        member.process = self._spawn_process([*self._program, "--config", str(path)], f"{member.name}.log")

    def _record_disturbance(self, member: Member) -> None:
        self.observed.disturbed.setdefault(member.number, []).append(self.loop.now())

    # The platform

    def _run_platform(self) -> Coroutine[None]:
        """Restart the members whose processes have exited, as the platform does."""
        while True:
            now = self.loop.now()
            for member in self.members:
                process = member.process
                if process is None:
                    if member.restart_at and now >= member.restart_at:
                        member.restart_at = 0
                        self._restart_member(member)
                elif member.version.endswith("crashes") and member.has_been_ready and process.poll() is None:
                    member.crash_at = member.crash_at or now + 3 * SECOND
                    if now >= member.crash_at and member.stopped_at is None:
                        self._record_disturbance(member)
                        process.kill()
                elif process.poll() is not None:
                    member.crash_at = 0
                    status = process.returncode
                    after_fault = any(
                        at > now - 10 * SECOND for at in self.observed.disturbed.get(member.number, [])
                    ) or member.version.endswith(BAD_VERSIONS)
                    self.observed.exits.append((member.number, status, after_fault))
                    self.note(f"{member.name} as {member.version} ended with {status}")
                    if member.has_been_ready:
                        member.failed_starts = 0
                    elif status != RESTART_STATUS:
                        member.failed_starts += 1
                        if member.failed_starts >= 3:
                            # Platforms commonly roll back a version that does not start.
                            self.note(f"{member.name} is rolled back to {member.last_good_version}")
                            member.version, member.failed_starts = member.last_good_version, 0
                    version_file = self.folder / f"{member.name}.version"
                    if status == RESTART_STATUS and version_file.exists():
                        member.last_good_version, member.version = (
                            member.version,
                            version_file.read_text().strip(),
                        )
                        version_file.unlink()
                    member.process, member.restart_at = None, now + RESTART_DELAY_US
            yield Wait(until=now + PROBE_INTERVAL_US // 2)

    def _restart_member(self, member: Member) -> None:
        """Start a member again.

        The start after a planned exit belongs to the same planned outage, so it is not recorded as a
        disturbance.
        """
        disturbed = self.observed.disturbed.setdefault(member.number, [])
        before = list(disturbed)
        self.start_member(member)
        if self.observed.exits and self.observed.exits[-1][1] == (RESTART_STATUS if self._agreement else 0):
            disturbed[:] = before

    def _probe_readiness(self, member: Member) -> Coroutine[None]:
        """Probe the readiness of a member throughout the run, not through its links."""
        probes = self.observed.probes.setdefault(member.number, [])
        while True:
            sent_at, stream, ready = self.loop.now(), None, None
            address, until = (self.host, member.port), sent_at + PROBE_TIMEOUT_US
            try:
                stream = yield from connect(self.loop, self._pool, address, until)
                ready = (yield from exchange(stream, b"GET", b"/-/ready", until)).status == 200
            except ConnectionFailed:
                # A refused connection shows that the member is not ready; one that broke later shows nothing.
                ready = False if stream is None else None
            except (ConnectionLimitReached, DeadlineExceeded, Malformed):
                pass
            if ready is not None:
                probes.append(ReadinessProbe(sent_at, self.loop.now(), ready))
                member.has_been_ready = member.has_been_ready or ready
                member.ready = ready
            yield Wait(until=max(self.loop.now(), sent_at + PROBE_INTERVAL_US))

    # Clients

    def _generate_load(self) -> Coroutine[None]:
        count = 0
        while not self._load_stopped:
            yield Wait(until=self.loop.now() + int(self._random.expovariate(self._spec.rate) * SECOND))
            candidates = [member for member in self.members if member.ready] or self.members
            kind = self._random.choice(list(CLASS_EFFECTS))
            self.loop.spawn(self._send_request(f"t{count}", kind, self._random.choice(candidates)), "client")
            count += 1

    def _send_request(self, txn: str, kind: str, member: Member) -> Coroutine[None]:
        at, stream, ending, sent = self.loop.now(), None, "lost", False
        until = at + self._spec.give_up + SECOND
        self._pending_requests += 1
        try:
            stream = yield from connect(self.loop, self._pool, member.client_link.address, until)
            head = h11.Request(
                method=b"POST",
                target=f"/{kind}".encode(),
                headers=[
                    (b"Host", b"rig"),
                    (b"X-Txn", txn.encode()),
                    (b"Content-Length", b"2"),
                    (b"X-Remaining-Ms", b"%d" % (self._spec.give_up // 1000)),
                ],
            )
            yield from stream.send_request(head, b"{}", until)
            sent = True
            answer = yield from stream.response(until)
            ending = {200: "served", 429: "refused", 503: "refused"}.get(answer.status, "failed")
        except (ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, Malformed):
            # A connection that fails before the request is sent, or at once after that, has taken no job: a
            # client would try again.
            ending = "lost" if sent and self.loop.now() - at > PROBE_INTERVAL_US else "turned"
        finally:
            if stream is not None:
                stream.close()
            self._pending_requests -= 1
        self.observed.requests.append(ClientRequest(txn, kind, member.number, at, self.loop.now(), ending))

    # Operations

    def _apply(self, operation: Operation) -> None:
        self.note(str(operation))
        if operation.kind in WAITS:
            return
        if operation.kind.startswith("store-") and operation.target < 0:
            self._inject_store_fault(operation)
            return
        if operation.kind.startswith("release"):
            self.loop.spawn(self._operate_release(operation), "operator")
            return
        if operation.kind in ("kill-leader", "stop-leader"):
            self.loop.spawn(self._fault_leader(operation), "platform")
            return
        if operation.kind in ("box-drain", "box-undrain"):
            runner = f"r{operation.target}"
            self.loop.spawn(
                self._call_operator(operation, runner, lambda: self._operate_runner(operation, runner)),
                "operator",
            )
            return
        member = self.members[operation.target]
        if operation.kind == "wish" and not self._agreement:
            self._call_later(
                int(self._random.random() * UNCOORDINATED_SPREAD_US),
                lambda: self._restart_uncoordinated(member),
            )
        elif operation.kind in ("wish", "undrain"):
            call = self._call_operator(
                operation, member.name, lambda: self._request_member(operation, member)
            )
            self.loop.spawn(call, "operator")
        elif operation.kind in ("kill", "term"):
            if member.process is not None:
                self._record_disturbance(member)
                if member.stopped_at is not None:
                    self._continue_member(member)
                member.process.send_signal(signal.SIGKILL if operation.kind == "kill" else signal.SIGTERM)
        elif operation.kind == "stop":
            if member.process is not None and member.stopped_at is None:
                self._record_disturbance(member)
                member.stopped_at = self.loop.now()
                member.process.send_signal(signal.SIGSTOP)
                if operation.duration:
                    self._call_later(operation.duration, lambda: self._continue_member(member))
        elif operation.kind == "go-on":
            self._continue_member(member)
        elif operation.kind == "store-cut":
            member.store_link.cut(
                operation.argument in ("both", "up"), operation.argument in ("both", "down")
            )
            self._call_later(operation.duration, member.store_link.heal)
        elif operation.kind == "store-delay":
            member.store_link.delay = 300_000
            self._call_later(operation.duration, member.store_link.heal)
        elif operation.kind == "runner-cut":
            now = self.loop.now()
            for link in member.runner_links:
                link.cut()
                self._call_later(operation.duration, link.heal)
            self.observed.cut.setdefault(operation.target, []).append(
                (now, now + operation.duration + self._spec.give_up + SECOND)
            )
        elif operation.kind == "client-reset":
            now = self.loop.now()
            self.observed.cut.setdefault(operation.target, []).append((now - SECOND, now + SECOND))
            member.client_link.reset()

    def _restart_uncoordinated(self, member: Member) -> None:
        """Restart a member without agreement; the outage counts as planned."""
        if member.process is not None:
            member.process.send_signal(signal.SIGTERM)

    def _fault_leader(self, operation: Operation) -> Coroutine[None]:
        """Kill or stop the member that leads, if one does."""
        with contextlib.suppress(StoreUnavailable, StoreRejected):
            known, _ = yield from self.operator.read_snapshot()
            for name, token in known.tokens.items():
                if token == known.leader_token:
                    self._apply(replace(operation, kind=operation.kind[:4], target=int(name[1:])))

    def _call_later(self, delay: int, action: Callable[[], None]) -> None:
        self.loop.call_at(self.loop.now() + delay, action)

    def _continue_member(self, member: Member) -> None:
        if member.stopped_at is None:
            return
        stopped_at, member.stopped_at = member.stopped_at, None
        self.observed.stopped.setdefault(member.number, []).append((stopped_at, self.loop.now()))
        self._record_disturbance(member)
        if member.process is not None:
            member.process.send_signal(signal.SIGCONT)

    def _inject_store_fault(self, operation: Operation) -> None:
        started_at = self.loop.now()

        def record_end() -> None:
            self.observed.store_faults.append((started_at, self.loop.now()))

        process = self._store_process
        if operation.kind == "store-kill" and process is not None:
            self._store_process = None
            process.kill()
            process.wait()

            def restart() -> None:
                self._start_store()
                record_end()

            self._call_later(operation.duration, restart)
        elif operation.kind == "store-stop" and process is not None:
            process.send_signal(signal.SIGSTOP)

            def resume() -> None:
                process.send_signal(signal.SIGCONT)
                record_end()

            self._call_later(operation.duration, resume)
        elif operation.kind.startswith("store-"):
            faults_by_kind: dict[str, dict[str, Any]] = {
                "store-leaderless": {"leaderless": True},
                "store-lose": {"lose_answers": 2},
                "store-silent": {"silent_watches": True},
                "store-slow": {"slow": 300_000},
                STORE_GATHER: {"gather": self._spec.members, "gather_under": f"/pulleyroute/{GROUP}/permit/"},
            }
            faults = faults_by_kind.get(operation.kind)
            if faults is None:
                return  # the store is down: there is no process to kill or stop
            self.loop.spawn(self.set_store_faults(faults), "faults")
            if operation.duration:

                def heal() -> None:
                    self.loop.spawn(self.set_store_faults({}), "faults")
                    record_end()

                self._call_later(operation.duration, heal)

    def set_store_faults(self, faults: dict[str, Any]) -> Coroutine[None]:
        """Replace the faults that the store injects."""
        until = self.loop.now() + 2 * SECOND
        with contextlib.suppress(ConnectionFailed, ConnectionLimitReached, DeadlineExceeded, Malformed):
            stream = yield from connect(self.loop, self._pool, (self.host, self._store_port), until)
            yield from exchange(stream, b"POST", b"/faults", until, json.dumps(faults).encode())

    def _call_operator(
        self, operation: Operation, name: str, call: Callable[[], Coroutine[None]]
    ) -> Coroutine[None]:
        """Make an operator's call, and repeat it while it is lost if the schedule says so."""
        end = self.loop.now() + (RECOVERY_TIMEOUT_US if self.schedule.retry_lost_calls else 0)
        while True:
            try:
                yield from call()
                return
            except StoreUnavailable as exc:
                self.note(f"operator: {operation.kind} {name}: {exc}")
                if self.loop.now() >= end:
                    return
            except (StoreRejected, OperationRefused) as exc:
                self.note(f"operator: {operation.kind} {name}: {exc}")
                return
            yield Wait(until=self.loop.now() + PROBE_INTERVAL_US)

    def _request_member(self, operation: Operation, member: Member) -> Coroutine[None]:
        if operation.kind == "undrain":
            return self.operator.undrain(member.name, "as planned")
        if operation.argument == "restart":
            return self.operator.drain(member.name, "restart", "as planned", f"v{operation.at}")
        return self.operator.drain(member.name, "standby", "as planned")

    def _operate_runner(self, operation: Operation, runner: str) -> Coroutine[None]:
        if operation.kind == "box-undrain":
            return self._undrain_runner("boxes", runner)
        return self.operator.drain_runner("boxes", runner, "as planned")

    def _operate_release(self, operation: Operation) -> Coroutine[None]:
        plan = release.Plan(
            f"r{operation.at}",
            operation.argument,
            (CountOrShare(count=1), CountOrShare(share=0.5), CountOrShare(share=1.0)),
            at_once=2,
            soak=5 * SECOND,
            patience=self._spec.wave_timeout,
            on_failure="back",
        )
        try:
            if operation.kind == "release":
                yield from self.operator.start_release(plan)
                return
            to = {
                "release-halt": release.State.HALTED,
                "release-resume": release.State.RUNNING,
                "release-back": release.State.ROLLING_BACK,
            }[operation.kind]
            yield from self.operator.change_release_state(to, "by hand")
        except (StoreUnavailable, StoreRejected, OperationRefused) as exc:
            self.note(f"operator: {operation.kind}: {exc}")

    def _end_release(self) -> Coroutine[None]:
        """Wait until the current release has ended; takes back a halted one."""
        end = self.loop.now() + 2 * RECOVERY_TIMEOUT_US
        while self.loop.now() < end:
            with contextlib.suppress(StoreUnavailable, StoreRejected, OperationRefused):
                known, _ = yield from self.operator.read_snapshot()
                if known.release is None:
                    return
                self.observed.released, self.observed.ended = known.release.version, known.release.state
                if known.release.state in ("done", "back"):
                    return
                if known.release.state == "halted":
                    self.note(f"release halted: {known.release.why}")
                    yield from self.operator.change_release_state(release.State.ROLLING_BACK, "the run ends")
            yield Wait(until=self.loop.now() + SECOND // 2)

    def _undrain_runner(self, pool: str, runner: str) -> Coroutine[None]:
        """End the drain of a runner.

        An operator's view of the runner counts again once it is requested after this call.
        """
        self._end_drained_interval(runner)
        # An answer that a slow store delays until after the call may still show the runner as drained.
        self._drained_valid_from[runner] = NEVER
        settled = True
        try:
            yield from self.operator.undrain_runner(pool, runner, "as planned")
        except StoreUnavailable as exc:
            settled = not exc.maybe_applied  # otherwise the call may yet take effect at any time
            raise
        finally:
            if settled:
                self._drained_valid_from[runner] = self.loop.now()

    def _end_drained_interval(self, runner: str) -> None:
        since = self._drained_since.pop(runner, None)
        if since is not None:
            self.observed.drained.append((runner, since, self.loop.now()))

    def _observe_drained_runners(self) -> Coroutine[None]:
        """Record which runners an operator sees as drained, to be compared with the runners' own records."""
        while True:
            requested_at = self.loop.now()
            with contextlib.suppress(StoreUnavailable, StoreRejected):
                rows = yield from self.operator.runners()
                now = self.loop.now()
                drained = {
                    row["name"]
                    for row in rows
                    if row["state"] == "drained"
                    and requested_at >= self._drained_valid_from.get(row["name"], 0)
                }
                for runner in drained - set(self._drained_since):
                    self._drained_since[runner] = now
                for runner in set(self._drained_since) - drained:
                    self._end_drained_interval(runner)
            yield Wait(until=self.loop.now() + SECOND // 5)

    # A run

    def run(self) -> Coroutine[None]:
        """Start the fleet, apply the schedule, end all faults, and wait until all members are ready again."""
        self._start_store()
        store, spec = self._store_process, self._spec
        assert store is not None and store.stdout is not None
        store.stdout.readline()
        addresses = [self._start_runner(number) for number in range(spec.runners)]
        for member in self.members:
            for number in range(spec.runners):
                link = Link(self.loop, addresses[number][member.number])
                member.runner_links.append(link)
                self._links.append(link)
            self.start_member(member)
            self.loop.spawn(self._probe_readiness(member), "probe")
        self.loop.spawn(self._run_platform(), "platform")
        yield from self._wait_for(self._all_ready)
        if self._agreement:
            yield from self._wait_until_joined()
            self.loop.spawn(self._observe_drained_runners(), "drained runners")
        self.loop.spawn(self._generate_load(), "load")
        self._started_at = self.loop.now()
        for operation in self.schedule.operations:
            yield Wait(until=self._started_at + operation.at)
            yield from self._wait_until_due(operation)
            self._apply(operation)
        yield Wait(until=self._started_at + spec.duration)
        yield from self._heal_and_recover()

    def _heal_and_recover(self) -> Coroutine[None]:
        """End all faults and withdraw all requests, and wait for every member to return."""
        self.note("all faults ended")
        last_end = max(
            (operation.at + operation.duration for operation in self.schedule.operations), default=0
        )
        yield Wait(until=max(self.loop.now(), self._started_at + last_end + SECOND))
        for link in self._links:
            link.heal()
        if self._agreement:
            yield from self._end_release()
        end = self.loop.now() + RECOVERY_TIMEOUT_US
        while self._agreement:
            try:
                known, _ = yield from self.operator.read_snapshot()
                for name in known.member_requests:
                    with contextlib.suppress(OperationRefused):
                        yield from self.operator.undrain(name, "the run ends")
                for pool, runner in {*known.runner_requests, *known.runner_drains}:
                    with contextlib.suppress(OperationRefused):
                        yield from self._undrain_runner(pool, runner)
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
            yield from self._wait_for(self._all_ready)
        self.observed.left_out = [member.number for member in self.members if not member.ready]
        self.observed.versions = [member.version for member in self.members]
        if self._agreement:
            with contextlib.suppress(StoreUnavailable, StoreRejected):
                known, _ = yield from self.operator.read_snapshot()
                self.observed.left_out += [int(name[1:]) for name in known.permits]
        self._load_stopped = True
        with contextlib.suppress(TimeoutError):
            yield from self._wait_for(lambda: not self._pending_requests)

    def _wait_until_due(self, operation: Operation) -> Coroutine[None]:
        """Wait for the condition of an operation, so that slow and fast machines run the same scenario.

        All later operations are delayed by the same time, which keeps the intervals of the schedule.
        """
        condition = self._condition(operation)
        if condition is None:
            return
        since = self.loop.now()
        try:
            yield from self._wait_for(
                condition,
                operation.duration if operation.kind in WAITS and operation.duration else RECOVERY_TIMEOUT_US,
            )
        except TimeoutError:
            self.note(f"condition not met in time: {operation}")
        self._started_at += self.loop.now() - since

    def _condition(self, operation: Operation) -> Callable[[], bool] | None:
        if operation.argument == ONCE_OUT:
            return lambda: not self.members[operation.target].ready
        if operation.argument == ONCE_DRAINED:
            return lambda: f"r{operation.target}" in self._drained_since
        if operation.kind == AWAIT_OUT:
            return lambda: sum(not member.ready for member in self.members) >= operation.target
        if operation.kind == AWAIT_RESTARTS:
            return (
                lambda: sum(status == RESTART_STATUS for _, status, _ in self.observed.exits)
                >= operation.target
            )
        return None

    def _all_ready(self) -> bool:
        return all(member.ready and member.process is not None for member in self.members)

    def _wait_until_joined(self) -> Coroutine[None]:
        end = self.loop.now() + RECOVERY_TIMEOUT_US
        while self.loop.now() < end:
            with contextlib.suppress(StoreUnavailable, StoreRejected):
                known, _ = yield from self.operator.read_snapshot()
                if len(known.heartbeats) == self._spec.members:
                    return
            yield Wait(until=self.loop.now() + SECOND // 10)
        raise TimeoutError("not all members joined the fleet in time")

    def _wait_for(self, condition: Callable[[], bool], timeout: int = RECOVERY_TIMEOUT_US) -> Coroutine[None]:
        end = self.loop.now() + timeout
        while not condition():
            if self.loop.now() > end:
                raise TimeoutError("the condition was not met in time")
            yield Wait(until=self.loop.now() + PROBE_INTERVAL_US)

    def verdict(self) -> list[str]:
        """Return the violations that the observations show, one line each."""
        book = self.folder / "book"
        lines = [json.loads(line) for line in book.read_text().splitlines()] if book.exists() else []
        running: dict[tuple[str, str], int] = {}
        for line in lines:
            if line["what"] == "start":
                running[line["box"], line["txn"]] = line["at"]
            else:
                at = running.pop((line["box"], line["txn"]), 0)
                self.observed.ran.append((line["box"], at, line["at"], line["txn"]))
        self.observed.starts = [
            (line["at"], line["txn"], line["kind"], line["box"]) for line in lines if line["what"] == "start"
        ]
        spec = self._spec
        limits = Limits(
            spec.max_out,
            spec.max_out_per_zone,
            {i: spec.zone(i) for i in range(spec.members)},
            spec.lease,
            RESTART_STATUS,
        )
        return check(
            self.observed, limits, {kind for kind, effect in CLASS_EFFECTS.items() if effect == "unsafe"}
        )

    def close(self) -> None:
        """Kill all processes, stopped ones too, and close all links."""
        for process in [
            *self._runner_processes,
            self._store_process,
            *(member.process for member in self.members),
        ]:
            if process is not None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGCONT)
                process.kill()
                process.wait()
                if process.stdout is not None:
                    process.stdout.close()
        for link in self._links:
            link.close()
