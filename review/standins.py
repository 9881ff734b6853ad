"""Stand-ins for the review's cases: clients, runners, discovery and the platform, on loopback addresses.

One process plays all of them on asyncio, with the standard library alone. The dispatcher is started with the
commands of `deploy/balancer.toml`, as separate processes. Everything that is sent, answered and run goes into
the case's record. Times in the record are seconds since its start.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 115.0  # of one run of a case
PORTS_GIVEN: set[int] = set()
SILENT_LINE_S = 2.0  # a watch sends an empty line this often


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what happened to a file, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._entries: list[dict[str, Any]] = []
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, what: str, **values: Any) -> float:
        at = self.now()
        entry = {"at": round(at, 4), "what": what, **values}
        self._entries.append(entry)
        self._file.write(json.dumps(entry) + "\n")
        return at

    def of(self, what: str) -> list[dict[str, Any]]:
        """Return the entries of one kind."""
        return [entry for entry in self._entries if entry["what"] == what]


# HTTP/1.1


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.split(":", 1) for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, value in headers.items()}


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return *head, body


def message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


TURNED_AWAY = message("HTTP/1.1 503 Service Unavailable", {"X-Turned-Away": "1"})


# Runners


@dataclass(eq=False)
class Work:
    """One accepted attempt at a runner."""

    txn: str
    cls: str
    key: str
    seconds: float
    reply_to: tuple[str, int]
    task: asyncio.Task[None] | None = None
    applied: bool = False  # its effect has been applied


class Runner:
    """One runner. It listens on one port for each dispatcher, so that it knows whom to call back."""

    def __init__(self, record: Record, name: str, cell: int, slots: int = 2, queue: int = 10) -> None:
        self.record, self.name, self.cell, self.slots, self.queue_limit = record, name, cell, slots, queue
        self.ports: list[int] = []
        self.up_since_ms = 0
        self.running: dict[str, Work] = {}
        self.waiting: deque[Work] = deque()
        self.dead = False
        self.draining = False
        self.reported = (0, 0, slots)
        self.report_age_s = (0.32, 0.6)  # how old a load report is when it can be read
        self.second_answers = 0.0  # share of the rejections that are answered a second time
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def listen(self, dispatchers: list[tuple[str, int]]) -> None:
        for address in dispatchers:
            serve = self._serving(address)
            server = await asyncio.start_server(serve, HOST, 0)
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])
        self._spawn(self._refresh())

    def _spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _refresh(self) -> None:
        """Refresh the load report, which is some time old when it can be read."""
        while True:
            held = len(self.running) + len(self.waiting)
            seen = len(self.waiting), held, max(0, self.slots - len(self.running))
            await asyncio.sleep(random.uniform(*self.report_age_s))
            self.reported = seen

    def _serving(self, address: tuple[str, int]) -> Callable[..., Any]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._writers.add(writer)
            try:
                while (got := await read_message(reader)) is not None:
                    answer = self._answer(address, *got)
                    if answer == TURNED_AWAY and random.random() < self.second_answers:
                        self._answer_twice(writer, got[1]["x-txn"])
                    else:
                        writer.write(answer)
                    await writer.drain()
            except (ConnectionError, ValueError, asyncio.CancelledError):
                pass
            finally:
                self._writers.discard(writer)
                writer.close()

        return serve

    def _answer(self, address: tuple[str, int], first: str, headers: dict[str, str], body: bytes) -> bytes:
        method, target, _ = first.split(" ")
        if target == "/-/load":
            text = "queue={},inflight={},x0={}".format(*self.reported)
            return message("HTTP/1.1 200 OK", {}, text.encode())
        if method == "DELETE":
            self._give_up(target.rsplit("/", 1)[1])
            return message("HTTP/1.1 200 OK", {})
        txn = headers.get("x-txn")
        if method != "POST" or txn is None:
            return message("HTTP/1.1 404 Not Found", {})
        cls = target.split("?")[0].strip("/").split("/")[0]
        full = len(self.running) >= self.slots and len(self.waiting) >= self.queue_limit
        taken = not (full or self.draining)
        self.record.write(
            "attempt", txn=txn, cls=cls, runner=self.name, cell=self.cell, taken=taken, dispatcher=address[1]
        )
        if not taken:
            return TURNED_AWAY
        work = Work(txn, cls, headers.get("idempotency-key", ""), float(body or b"0.2"), address)
        self.waiting.append(work)
        asyncio.get_running_loop().call_soon(self._start_waiting)
        return message("HTTP/1.1 202 Accepted", {})

    def _answer_twice(self, writer: asyncio.StreamWriter, txn: str) -> None:
        """Spoil an answer: the same comes a second time, at once or some milliseconds late."""
        late_s = random.choice((0.0, random.uniform(0.001, 0.005)))
        self.record.write("second answer", txn=txn, runner=self.name, late_ms=round(late_s * 1000, 1))
        if late_s:
            writer.write(TURNED_AWAY)
            asyncio.get_running_loop().call_later(late_s, writer.write, TURNED_AWAY)
        else:
            writer.write(TURNED_AWAY + TURNED_AWAY)

    def _start_waiting(self) -> None:
        while not self.dead and self.waiting and len(self.running) < self.slots:
            work = self.waiting.popleft()
            self.running[work.txn] = work
            work.task = self._spawn(self._run(work))

    async def _run(self, work: Work) -> None:
        self.record.write("started", txn=work.txn, runner=self.name)
        self._spawn(self.call_back(work, {"state": "started"}))
        await asyncio.sleep(work.seconds / 2)
        work.applied = True
        self.record.write("applied", txn=work.txn, key=work.key, runner=self.name, cell=self.cell)
        await asyncio.sleep(work.seconds / 2)
        self.running.pop(work.txn, None)
        self._start_waiting()
        result = f"{work.txn} by {self.name}"
        self._spawn(self.call_back(work, {"state": "done", "result": result}))

    def _give_up(self, txn: str) -> None:
        """Work stops when its request is cancelled."""
        work = self.running.pop(txn, None)
        if work is not None and work.task is not None:
            work.task.cancel()
        self.waiting = deque(each for each in self.waiting if each.txn != txn)
        self.record.write("given up", txn=txn, runner=self.name)
        self._start_waiting()

    async def call_back(self, work: Work, values: dict[str, Any]) -> None:
        """Tell the dispatcher, and try until the call is answered, ten times at most."""
        body = json.dumps({"id": work.txn, "from": self.name, **values}).encode()
        for wait in (0.05, 0.1, 0.2, 0.4, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5):
            with contextlib.suppress(ConnectionError, OSError, asyncio.TimeoutError):
                if await asyncio.wait_for(self._call_once(work.reply_to, body), 1.0):
                    return
            await asyncio.sleep(wait)
        self.record.write("call-back never answered", txn=work.txn, runner=self.name, state=values["state"])

    async def _call_once(self, address: tuple[str, int], body: bytes) -> bool:
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(message("POST /callback HTTP/1.1", {"Host": "d", "Connection": "close"}, body))
            got = await read_message(reader)
            return got is not None and got[0].split(" ")[1] in ("200", "204")
        finally:
            writer.close()

    def die(self) -> list[Work]:
        """Die as a process does: its connections are reset, new ones refused. Returns the work it held."""
        self.dead = True
        held = [*self.running.values(), *self.waiting]
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        self.record.write("runner died", runner=self.name, held=[work.txn for work in held])
        self.running.clear()
        self.waiting.clear()
        return held


# Discovery


class Discovery:
    """Discovery as one dispatcher sees it, at an address of its own."""

    def __init__(self, record: Record, index: int, runners: list[Runner]) -> None:
        self.record, self.index = record, index
        self.oldest = self.revision = 100  # it knows the changes from here on
        self.phases: dict[Runner, str] = dict.fromkeys(runners, "active")
        self.changed: dict[Runner, int] = dict.fromkeys(runners, self.revision)
        self.answers_after_s = 0.0  # calls are worked through in turn: how long one waits for its answer
        self._silenced: set[asyncio.StreamWriter] = set()  # open watches that say nothing any more
        self.told: dict[str, float] = {}  # when a runner's departure was written to the dispatcher
        self.port = 0
        self._watches: dict[asyncio.StreamWriter, int] = {}

    async def listen(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def change(self, runner: Runner, phase: str) -> None:
        self.revision += 1
        self.phases[runner], self.changed[runner] = phase, self.revision
        self.record.write("list", dispatcher=self.index, runner=runner.name, phase=phase)
        for writer, since in list(self._watches.items()):
            self._write_line(writer, self._changes(since))

    def fall_silent(self) -> float:
        """Send each open watch a last empty line, and nothing from then on. Returns when."""
        for writer in list(self._watches):
            self._write_line(writer, None)
            self._silenced.add(writer)
        self._watches.clear()
        return self.record.write("watches fall silent", dispatcher=self.index)

    def entry(self, runner: Runner) -> dict[str, Any]:
        return {
            "id": runner.name,
            "host_port": f"{HOST}:{runner.ports[self.index]}",
            "locality": "leicester",
            "flavor": "new-kit",
            "cell": runner.cell,
            "phase": self.phases[runner],
            "size": 1.0,
            "up_since_ms": runner.up_since_ms,
        }

    def whole(self) -> dict[str, Any]:
        members = [self.entry(r) for r, phase in self.phases.items() if phase != "left"]
        return {"revision": self.revision, "complete": True, "members": members}

    def known(self) -> dict[str, Any]:
        """The list as a dispatcher held it when its configuration was written, some time ago."""
        return {**self.whole(), "revision": 41}

    def _changes(self, since: int) -> dict[str, Any]:
        members = [self.entry(r) for r, revision in self.changed.items() if revision > since]
        return {"revision": self.revision, "complete": False, "members": members}

    def _write_line(self, writer: asyncio.StreamWriter, data: dict[str, Any] | None) -> None:
        line = b"\n" if data is None else json.dumps(data).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        if data is not None:
            self._watches[writer] = self.revision
            self._note_told()

    def _note_told(self) -> None:
        for runner, phase in self.phases.items():
            if phase != "active" and runner.name not in self.told:
                self.told[runner.name] = self.record.write(
                    "told", dispatcher=self.index, runner=runner.name, phase=phase
                )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (got := await read_message(reader)) is not None:
                target = got[0].split(" ")[1]
                self.record.write("call", dispatcher=self.index, call=target)
                if self.answers_after_s:
                    ended = asyncio.ensure_future(reader.read(1))
                    await asyncio.wait([ended], timeout=self.answers_after_s)
                    if ended.done():
                        self.record.write("call given up", dispatcher=self.index, call=target)
                        return
                    ended.cancel()
                if "watch=1" not in target:
                    writer.write(message("HTTP/1.1 200 OK", {}, json.dumps(self.whole()).encode()))
                    self._note_told()
                    continue
                self.record.write("watch opened", dispatcher=self.index)
                since = int(target.rsplit("from=", 1)[1])
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._write_line(writer, self._changes(since) if since >= self.oldest else self.whole())
                while not writer.is_closing():
                    await asyncio.sleep(SILENT_LINE_S)
                    if writer not in self._silenced:
                        self._write_line(writer, None)
                        await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._watches.pop(writer, None)
            writer.close()


# The platform


def free_port() -> int:
    """Return a port that nobody listens on, below those that the system gives to outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(15000, 32000)
        if port in PORTS_GIVEN:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            PORTS_GIVEN.add(port)
            return port


def listener_as_descriptor_3() -> tuple[str, int]:
    """Hold the clients' listening socket as descriptor 3, which every process of the dispatcher inherits.

    Call it before anything else is opened.
    """
    with contextlib.suppress(OSError):
        os.close(3)
    sock = socket.socket()
    sock.bind((HOST, 0))
    sock.listen(1024)
    address = sock.getsockname()
    if sock.fileno() != 3:
        os.dup2(sock.fileno(), 3, inheritable=True)
        sock.close()
    else:
        sock.detach()
        os.set_inheritable(3, True)
    return address


CLASSES = [
    {
        "name": "balance-check", "effect": "read_like", "key-scope": "all", "aim": 250000,
        "give-up": 5000000, "gain": 2.0, "repeat-window": 5000000,
    },
    {
        "name": "voucher-apply", "effect": "idempotency_key", "key-scope": "cell", "aim": 300000,
        "give-up": 7500000, "gain": 2.0, "repeat-window": 12000000,
    },
    {
        "name": "card-charge", "effect": "non_idempotent", "key-scope": "all", "aim": 1500000,
        "give-up": 25000000, "gain": 3.0, "repeat-window": 5000000,
    },
]  # fmt: skip
SHARES = {"balance-check": 0.57, "voucher-apply": 0.28, "card-charge": 0.15}
SECONDS = {"balance-check": (0.23, 0.44), "voucher-apply": (0.45, 0.87), "card-charge": (1.4, 2.6)}
GIVE_UP_S = {"balance-check": 5.0, "voucher-apply": 7.5, "card-charge": 25.0}


def settings(dispatchers: int, me: int) -> dict[str, Any]:
    return {
        "balancers": dispatchers, "me": me, "my-zone": 0, "areas": ["leicester"],
        "flavors": ["new-kit", "old-kit"], "membership-mode": "on_request",
        "caps": {
            "cancelling": True, "dial-timeout": 250000, "keepalive": 5000000, "max-attempts": 4,
            "max-retry-after": 2000000, "probes": True, "retry-after": True, "second-copies": True,
        },
        "classes": CLASSES,
        "family-info": {"class-stretch": [1.75, 2.5, 2.0], "report-x0": "free slots", "tells-start": True},
        "load-report": {"fields": ["q", "rif", "x0"], "via": "pull"},
        "obligations": {
            "ask-every": 10000000, "cold-share": 0.33, "drain-grace": 1500000, "fall": 3000000,
            "ramp-time": 8100000, "tip-multiple": 4.0,
        },
        "prices": {"cross-zone": 0.2, "probe": 0.0025},
    }  # fmt: skip


@dataclass
class Process:
    """One process of a dispatcher."""

    popen: subprocess.Popen[bytes]
    management: tuple[str, int]


@dataclass
class Dispatcher:
    """One dispatcher: its configuration, its folder and its processes."""

    name: str
    address: tuple[str, int]
    folder: Path
    log: Path
    inherits_listener: bool = False
    processes: list[Process] = field(default_factory=list)

    def write_config(self, **values: Any) -> None:
        path = self.folder / "config.json"
        path.write_text(json.dumps(values))

    def start(self) -> Process:
        """Run the deploy file's command, by `/bin/sh -c` from the root."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        management = (HOST, free_port())
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environ = {
            **{name: value for name, value in os.environ.items() if not name.startswith("PROXY_")},
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"{self.address[0]}:{self.address[1]}",
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "PROXY_MANAGEMENT": f"{management[0]}:{management[1]}",
            "TMPDIR": str(temporary),
        }
        if self.inherits_listener:
            environ["PROXY_FD"] = "3"
        with self.log.open("ab") as log:
            popen = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, pass_fds=(3,) if self.inherits_listener else (),
            )  # fmt: skip
        process = Process(popen, management)
        self.processes.append(process)
        return process


async def ask(address: tuple[str, int], call: str) -> int:
    """Make one call without a body and return the status, 0 for none."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return 0
    try:
        writer.write(f"{call} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 2.0)
        return int(head[0].split(" ")[1]) if head else 0
    except (TimeoutError, ConnectionError):
        return 0
    finally:
        writer.close()


async def until_yes(address: tuple[str, int], call: str, limit_s: float) -> None:
    end = time.monotonic() + limit_s
    while await ask(address, call) != 200:
        if time.monotonic() > end:
            raise CannotRun(f"{call} was not answered 200 within {limit_s} s")
        await asyncio.sleep(0.05)


# Clients


@dataclass(eq=False)
class Call:
    """One request of a client, and what became of it."""

    txn: str
    cls: str
    left_s: float
    sent_at: float = 0.0  # its last byte was written
    ended_at: float | None = None
    status: int = 0
    result: bytes = b""
    closed: bool = False  # the dispatcher ended the connection without an answer
    new_connection: bool = True


class Clients:
    """Clients of one dispatcher. They keep connections, and open more when all are busy."""

    def __init__(self, record: Record, address: tuple[str, int], seed: int) -> None:
        self.record, self.address = record, address
        self.random = random.Random(seed)
        self.calls: list[Call] = []
        self.most_waiting = 0  # requests, each on a connection of its own
        self._kept: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def load(self, rate: float, seconds: float) -> None:
        """Send requests of all classes at random times, `rate` a second."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            cls = self.random.choices(list(SHARES), list(SHARES.values()))[0]
            self.send(cls)
            await asyncio.sleep(self.random.expovariate(rate))

    def send(self, cls: str) -> Call:
        call = Call(f"{self.random.getrandbits(64):016x}", cls, GIVE_UP_S[cls])
        self.calls.append(call)
        task = asyncio.ensure_future(self._send(call))
        self._tasks.add(task)
        self.most_waiting = max(self.most_waiting, len(self._tasks))
        task.add_done_callback(self._tasks.discard)
        return call

    async def finish(self) -> None:
        while self._tasks:
            await asyncio.wait(self._tasks)

    def request(self, call: Call) -> bytes:
        headers = {"Host": "api", "X-Txn": call.txn, "X-Remaining-Ms": str(int(call.left_s * 1000))}
        if call.cls == "voucher-apply":
            headers["Idempotency-Key"] = f"{self.random.getrandbits(128):032x}"
        seconds = self.random.uniform(*SECONDS[call.cls])
        return message(f"POST /{call.cls} HTTP/1.1", headers, f"{seconds:.3f}".encode())

    async def _connection(self, call: Call) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self._kept:
            reader, writer = self._kept.pop()
            if not reader.at_eof() and not writer.is_closing():
                call.new_connection = False
                return reader, writer
            writer.close()
        call.new_connection = True
        return await asyncio.open_connection(*self.address)

    async def _send(self, call: Call) -> None:
        data = self.request(call)
        for _ in range(2):  # once more on a new connection, if a close crosses the request
            try:
                reader, writer = await self._connection(call)
            except OSError:
                self.record.write("client not let in", txn=call.txn)
                call.closed = True
                return
            writer.write(data)
            call.sent_at = self.record.write("sent", txn=call.txn, cls=call.cls, new=call.new_connection)
            try:
                got = await asyncio.wait_for(read_message(reader), call.left_s + 3.0)
            except TimeoutError:
                self.record.write("no answer", txn=call.txn, cls=call.cls)
                writer.close()
                return
            if got is None:
                writer.close()
                self.record.write("closed without an answer", txn=call.txn, new=call.new_connection)
                if call.new_connection:
                    call.closed = True
                    return
                while self._kept:
                    self._kept.pop()[1].close()
                continue
            call.status, call.result = int(got[0].split(" ")[1]), got[2]
            call.ended_at = self.record.write("answered", txn=call.txn, cls=call.cls, status=call.status)
            if got[1].get("connection", "").lower() == "close":
                writer.close()
            else:
                self._kept.append((reader, writer))
            return
        call.closed = True


# A case


class Scene:
    """Plays one case, and ends every process that it started."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record(folder / "record.txt")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.dispatchers: list[Dispatcher] = []
        self.listener: tuple[str, int] | None = None
        self.tasks: list[asyncio.Task[Any]] = []  # of the case itself

    def dispatcher(self, name: str, address: tuple[str, int], inherits_listener: bool = False) -> Dispatcher:
        folder = self.temporary / name
        folder.mkdir()
        made = Dispatcher(name, address, folder, folder / "log.txt", inherits_listener)
        self.dispatchers.append(made)
        return made

    def close(self) -> None:
        for dispatcher in self.dispatchers:
            for process in dispatcher.processes:
                if process.popen.poll() is None:
                    process.popen.send_signal(signal.SIGKILL)
                process.popen.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)


def run(folder: Path, play: Callable[[Scene], Any], holds_listener: bool = False) -> int:
    """Play a case; returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    With `holds_listener` the platform holds the clients' listening socket.
    """
    listener = listener_as_descriptor_3() if holds_listener else None
    scene = Scene(folder)
    scene.listener = listener
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the processes are ended then, too
    try:
        faults = asyncio.run(asyncio.wait_for(play(scene), LIMIT_S))
    except Exception as exc:
        scene.record.write("could not run", why=repr(exc))
        print(f"could not run: {exc!r}")
        return 2
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for each in scene.dispatchers:
                shutil.copy(each.log, f"{keep}-{each.name}.log")
        scene.close()
    for fault in faults:
        scene.record.write("rule broken", fault=fault)
    print("\n".join(faults[:10]) or "the rule held")
    scene.record.write("verdict", broken=len(faults))
    return 1 if faults else 0
