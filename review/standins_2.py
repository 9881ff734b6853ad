"""Stand-ins of the second review: a record, discovery, runners, clients, a delaying proxy, the programs.

They use the standard library alone, loopback addresses and the real clock. Each case imports what it needs.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case can't run; the text says why."""


class Record:
    """What was sent, answered and run: one line each, in order, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115

    def now(self):
        return time.monotonic() - self.began

    def add(self, *words):
        self.file.write(f"{self.now():9.4f} {' '.join(str(word) for word in words)}\n")
        self.file.flush()

    def verdict(self, text, code):
        self.add("verdict:", text)
        print(text)
        return code


def free_port(host="127.0.0.1"):
    with socket.create_server((host, 0)) as probe:
        return probe.getsockname()[1]


async def read_message(reader, strict=False):
    """Return the start line, the headers and the body of the next message; None at the end of the stream.

    A reset counts as an end too, unless `strict`: then it raises ConnectionError.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    except ConnectionError:
        if strict:
            raise
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return first, headers, body
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def answer(status, body=b"", **headers):
    """Return the bytes of an answer; an underscore in a header's name stands for a dash."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A listener on a loopback address whose connections are served by `serve`."""

    def __init__(self, host="127.0.0.1", port=0):
        self.host, self.port = host, port
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Discovery(Server):
    """The list of runners: whole, and as a watch with an empty line each 2 s."""

    def __init__(self, record, members):
        super().__init__()
        self.record, self.revision, self.members = record, 1, {each["id"]: each for each in members}
        self.watches = set()

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def change(self, member):
        """Change one entry, and tell all watches."""
        self.revision += 1
        if member["phase"] == "left":
            self.members.pop(member["id"], None)
        else:
            self.members[member["id"]] = member
        told = {"revision": self.revision, "complete": False, "members": [member]}
        self.record.add("discovery tells", json.dumps(told))
        for writer in list(self.watches):
            self._chunk(writer, told)

    def _chunk(self, writer, value=None):
        line = (json.dumps(value) if value is not None else "").encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            target = message[0].split()[1]
            if "watch=1" not in target:
                writer.write(answer(200, json.dumps(self.whole()).encode()))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(writer, self.whole())
            self.watches.add(writer)
            try:
                while not writer.is_closing():
                    await asyncio.sleep(2)
                    self._chunk(writer)
                    await writer.drain()
            finally:
                self.watches.discard(writer)


class Attempt:
    """One attempt as its runner sees it."""

    def __init__(self, txn, runner, peer_port, now):
        self.txn, self.runner, self.peer_port = txn, runner, peer_port
        self.taken_at = now  # the 202 is written at this moment
        self.open = True  # taken, and neither ended nor given up
        self.task = None


class Book:
    """Every attempt that a runner has taken, by the id of its request, and those that overlap."""

    def __init__(self, record):
        self.record, self.attempts, self.overlaps = record, {}, []

    def begins(self, attempt):
        others = self.attempts.setdefault(attempt.txn, [])
        for other in others:
            if other.open:
                self.overlaps.append((other, attempt))
                self.record.add("OVERLAP", attempt.txn, "at", attempt.runner, "while out at", other.runner)
        others.append(attempt)


class Runner(Server):
    """A runner of jobs: it takes as many as it has slots, turns the others away, and calls back.

    `on_answer` may be replaced to send an answer in another way.
    """

    def __init__(self, record, name, slots, run_s, callback_port, book):
        super().__init__()
        self.reader_of = {}
        self.record, self.name, self.slots, self.run_s = record, name, slots, run_s
        self.callback_port, self.book = callback_port, book
        self.running = {}
        self.taken_at = []
        self.kept = []  # connections for calls

    def load(self):
        held = len(self.running)
        return {"queue": 0, "inflight": held, "x0": max(0, self.slots - held)}

    async def on_answer(self, writer, data, kind):
        writer.write(data)

    async def serve(self, reader, writer):
        self.reader_of[writer] = reader
        try:
            await self.serve_messages(reader, writer)
        finally:
            del self.reader_of[writer]

    async def serve_messages(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            first, headers, _ = message
            method, target, _ = first.split(" ", 2)
            if method == "GET":
                await self.on_answer(writer, answer(200, json.dumps(self.load()).encode()), "load")
            elif method == "DELETE":
                self.give_up(target.rpartition("/")[2])
                await self.on_answer(writer, answer(200), "delete")
            else:
                await self.take(headers["x-txn"], writer)

    async def take(self, txn, writer):
        if self.reader_of[writer].at_eof():
            self.record.add(self.name, "finds the connection closed before its 202 to", txn)
            return
        if len(self.running) >= self.slots:
            self.record.add(self.name, "turns away", txn)
            await self.on_answer(writer, answer(503, X_Turned_Away="1"), "nack")
            return
        attempt = Attempt(txn, self.name, writer.get_extra_info("peername")[1], self.record.now())
        self.book.begins(attempt)
        self.taken_at.append(self.record.now())
        self.running[txn] = attempt
        self.record.add(self.name, "runs", txn)
        attempt.task = asyncio.ensure_future(self.run(attempt))
        await self.on_answer(writer, answer(202), "taken")

    async def run(self, attempt):
        await self.call(attempt, "started")
        await asyncio.sleep(self.run_s)
        self.running.pop(attempt.txn, None)
        attempt.open = False
        self.record.add(self.name, "done", attempt.txn)
        await self.call(attempt, "done", result=f"{self.name} {attempt.txn}", load=self.load())

    def give_up(self, txn):
        self.record.add(self.name, "is told to give up", txn)
        attempt = self.running.pop(txn, None)
        if attempt is not None:
            attempt.open = False
            attempt.task.cancel()

    def stop(self):
        super().stop()
        for attempt in self.running.values():
            attempt.task.cancel()

    async def call(self, attempt, state, **values):
        """Tell the dispatcher, ten times at most."""
        body = json.dumps({"id": attempt.txn, "from": self.name, "state": state, **values}).encode()
        for _ in range(10):
            with contextlib.suppress(OSError, TimeoutError):
                if await asyncio.wait_for(self.call_once(body), 2) in (200, 204):
                    return
            await asyncio.sleep(0.2)

    async def call_once(self, body):
        """Send one call on a kept connection, or a new one; return the status, 0 for a broken connection."""
        reader, writer = self.kept.pop() if self.kept else await connect(self.callback_port)
        writer.write(request("/callback", body))
        self.writers.add(writer)
        message = await read_message(reader)
        if message is None or message[1].get("connection") == "close":
            self.writers.discard(writer)
            writer.close()
        else:
            self.kept.append((reader, writer))
        return 0 if message is None else int(message[0].split()[1])


async def connect(port):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return reader, writer


def request(target, body=b"", **headers):
    """Return the bytes of a POST; an underscore in a header's name stands for a dash."""
    lines = [f"POST {target} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def post(port, target, body=b"", **headers):
    """Send a request on a new connection; return status and body, status 0 for a broken connection."""
    reader, writer = await connect(port)
    try:
        writer.write(request(target, body, **headers))
        message = await read_message(reader)
    finally:
        writer.close()
    return (0, b"") if message is None else (int(message[0].split()[1]), message[2])


async def get_status(port, target):
    """Return the status of a GET; 0 if nobody answers."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        message = await asyncio.wait_for(read_message(reader), 2)
        writer.close()
    except (OSError, TimeoutError):
        return 0
    return 0 if message is None else int(message[0].split()[1])


async def clients(record, port, job_class_name, per_s, seconds, give_up_ms=5000):
    """Send requests of one class, each on a connection of its own; return how many got which status."""
    tasks = []

    async def client(number):
        txn = f"t{number}"
        record.add("client sends", txn)
        status, body = await post(
            port, f"/{job_class_name}", b"x", X_Txn=txn, X_Remaining_Ms=give_up_ms, Idempotency_Key=txn
        )
        record.add("client gets", txn, status, body.decode(errors="replace").strip())
        return status

    for number in range(int(per_s * seconds)):
        tasks.append(asyncio.ensure_future(client(number)))
        await asyncio.sleep(random.expovariate(per_s))
    statuses = await asyncio.gather(*tasks)
    return {status: statuses.count(status) for status in sorted(set(statuses))}


class Proxy(Server):
    """The way between two halls: carries bytes to an address, each `delay` seconds later.

    `closed_at`: when the near side closed a connection, by the port that the far side sees as its peer's.
    """

    def __init__(self, record, port, delay):
        super().__init__()
        self.record, self.target, self.delay = record, port, delay
        self.closed_at = {}

    async def serve(self, reader, writer):
        await asyncio.sleep(self.delay)
        far_reader, far_writer = await connect(self.target)
        self.writers.add(far_writer)
        own_port = far_writer.get_extra_info("sockname")[1]
        try:
            await asyncio.gather(self._carry(reader, far_writer, own_port), self._carry(far_reader, writer))
            await asyncio.sleep(2 * self.delay)
        finally:
            self.writers.discard(far_writer)

    async def _carry(self, reader, writer, port=None):
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                data = b""
            loop.call_later(self.delay, self._pass_on, writer, data)
            if not data:
                if port is not None:
                    self.closed_at[port] = self.record.now()
                return

    def _pass_on(self, writer, data):
        if data:
            writer.write(data)
        else:
            writer.close()


class Program:
    """A process of the project, started by a command of a shell."""

    def __init__(self, record, name, command, folder, environment, pass_fds=()):
        self.record, self.name = record, name
        self.log = open(Path(folder) / f"{name}.log", "ab")  # noqa: SIM115
        (Path(folder) / "tmp").mkdir(exist_ok=True)
        base = {
            key: value for key, value in os.environ.items() if not key.startswith(("PROXY_", "PULLEYROUTE"))
        }
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env={**base, "TMPDIR": str(Path(folder) / "tmp"), **environment},
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            pass_fds=pass_fds,
        )
        record.add("started", name)

    def signal(self, number):
        self.record.add("signal", number, "to", self.name)
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


def run_command():
    """Return the command `run` of the deploy file."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)["run"]


async def until_ready(port, target="/-/ready", seconds=20):
    end = time.monotonic() + seconds
    while await get_status(port, target) != 200:
        if time.monotonic() > end:
            raise NotRun(f"nothing is ready at port {port}")
        await asyncio.sleep(0.1)


def member(name, address, **values):
    """Return an entry of discovery's list."""
    entry = {"id": name, "host_port": address, "locality": "hall-a", "flavor": "big", "cell": 0}
    return {**entry, "phase": "active", "size": 1.0, "up_since_ms": 0, **values}


def job_class(name, effect, aim_ms, give_up_ms, **values):
    """Return a class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "aim": aim_ms * 1000,
        "give-up": give_up_ms * 1000,
        "gain": 2.0,
        **values,
    }


def settings(classes, second_copies, mode="on_request", **caps):
    """Return the settings of a small deployment."""
    return {
        "balancers": 1,
        "me": 0,
        "my-zone": 0,
        "areas": ["hall-a", "hall-b"],
        "flavors": ["big", "mid"],
        "membership-mode": mode,
        "caps": {
            "cancelling": True,
            "dial-timeout": 250000,
            "keepalive": 5000000,
            "max-attempts": 4,
            "max-retry-after": 2000000,
            "probes": True,
            "retry-after": True,
            "second-copies": second_copies,
            **caps,
        },
        "classes": classes,
        "family-info": {
            "class-stretch": [2.0] * len(classes),
            "report-x0": "free slots",
            "tells-start": True,
        },
        "load-report": {"fields": ["q", "rif", "x0"], "via": "piggyback"},
        "obligations": {
            "ask-every": 10000000,
            "cold-share": 0.33,
            "drain-grace": 1500000,
            "fall": 3000000,
            "ramp-time": 8100000,
            "tip-multiple": 4.0,
        },
        "prices": {"cross-zone": 0.0, "probe": 0.002},
    }


def configuration(folder, port, discovery, own_settings, management=None):
    """Write a configuration of the dispatcher, and return its path."""
    values = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": discovery,
        "seed": f"{random.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": own_settings,
    }
    if management is not None:
        values["management"] = f"127.0.0.1:{management}"
    path = Path(folder) / "config.json"
    path.write_text(json.dumps(values))
    return path


def trouble():
    """Whether the disruption is played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder, seconds=100):
    """Run a case, end all that it started, and exit with its verdict.

    `case(record, folder, started)` returns the exit code; `folder` is temporary, and what is put into the
    list `started` is ended.
    """
    import tempfile

    record = Record(folder)
    started = []

    async def play():
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                return await asyncio.wait_for(case(record, temporary, started), seconds)
            except (NotRun, OSError, TimeoutError) as exc:
                return record.verdict(f"the case couldn't run: {exc or 'it took too long'}", NOT_RUN)
            finally:
                for each in reversed(started):
                    (each.end if isinstance(each, Program) else each.stop)()

    sys.exit(asyncio.run(play()))
