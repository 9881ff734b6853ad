"""Upgrades under load on loopback stand-ins: the platform, clients that keep their connections, a verdict.

The platform holds the clients' listening socket and starts the real program beside itself, again and again;
the old process gets SIGTERM when the new one says yes at its admin listener. The referee sees one dispatcher.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from pulleyroute.emulator import Discovery, EventLog, ThreadedRunner
from pulleyroute.lab.demo import free_port
from pulleyroute.lab.referee import ENDINGS, Breach, Kind
from pulleyroute.lab.verdict import verdict
from pulleyroute.net.http import parse_address

GIVE_UP = 60  # seconds: far more than a run takes, so that only what is lost is late
PATIENCE = 60.0  # for anything that only a broken program keeps waiting for
EFFECTS = {"balance-check": "safe", "card-charge": "unsafe"}
NAMES = {"safe": "read_like", "unsafe": "non_idempotent"}  # as the settings call them
PROGRAM = [sys.executable, "-m", "pulleyroute"]
SOCKETS, MEMORY_MB = 256, 80


@dataclass(slots=True)
class Held:
    """What the processes of the dispatcher held together at one moment."""

    processes: int
    memory_mb: float
    descriptors: int


@dataclass(slots=True)
class Result:
    """`endings` by kind and ending; `unheard`: requests whose end a dispatcher has said to have heard from a
    box, and whose client was not served all the same."""

    endings: Counter[tuple[str, str]]
    broken: list[Breach]
    unheard: list[str]
    exits: list[int]  # of the processes, in their order
    held: list[Held] = field(default_factory=list)


def config(discovery: Discovery, listen: str, give_up: int) -> dict[str, object]:
    """The platform's configuration of a dispatcher in front of such boxes, which it knows from the start."""
    classes = [
        {"name": name, "effect": NAMES[effect], "aim": 20_000_000, "give-up": give_up * 1_000_000}
        for name, effect in EFFECTS.items()
    ]
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery.address,
        "seed": "1",
        "known": json.loads(discovery.snapshot()),
        "limits": {"memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": {
            "balancers": 1,
            "me": 0,
            "membership-mode": "on_request",
            "areas": ["a"],
            "flavors": ["kit"],
            "caps": {
                "max-attempts": 4,
                "probes": True,
                "cancelling": True,
                "dial-timeout": 1_000_000,
                "keepalive": 5_000_000,
                "retry-after": True,
                "max-retry-after": 2_000_000,
            },
            "classes": classes,
            "family-info": {"report-x0": "free slots"},
            "load-report": {"fields": ["q", "rif", "x0"], "via": "pull"},
            "obligations": {
                "ask-every": 1_000_000,
                "drain-grace": 1_500_000,
                "fall": 3_000_000,
                "cold-share": 1.0,
                "ramp-time": 0,
                "tip-multiple": 4.0,
            },
        },
    }


class Platform:
    """Owns the clients' socket, the folder and the processes."""

    def __init__(self, folder: Path, program: list[str]) -> None:
        self._folder, self._program = folder, program
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "{}:{}".format(*self.sock.getsockname())
        self._config = folder / "config.json"
        self.processes: list[tuple[subprocess.Popen[bytes], str]] = []

    def configure(self, discovery: Discovery, give_up: int) -> None:
        """Write the configuration that the next process reads."""
        self._config.write_text(json.dumps(config(discovery, self.address, give_up)))

    def start(self) -> None:
        """One more process; returns once it says yes at its admin listener."""
        admin = f"127.0.0.1:{free_port()}"
        number = self.sock.fileno()
        env = {
            **os.environ,
            "PROXY_CONFIG": str(self._config),
            "PROXY_FD": str(number),
            "PROXY_MANAGEMENT": admin,
            "TMPDIR": str(self._folder),
        }
        with (self._folder / "log").open("ab") as log:
            process = subprocess.Popen(self._program, env=env, stderr=log, pass_fds=[number])
        self.processes.append((process, admin))
        end = time.monotonic() + PATIENCE
        while call(admin, "GET", "/status") != 200:
            if process.poll() is not None or time.monotonic() > end:
                raise RuntimeError(f"it did not start: {(self._folder / 'log').read_text()[-800:]}")
            time.sleep(0.02)

    def upgrade(self) -> None:
        """One more process, and the end of the one before it."""
        old, _ = self.processes[-1]
        self.start()
        old.send_signal(signal.SIGTERM)
        old.wait(PATIENCE)

    def held(self) -> Held:
        """Memory (resident, in MiB) and descriptors of all that run."""
        memory = descriptors = processes = 0
        for process, _ in self.processes:
            with contextlib.suppress(OSError, ValueError):
                pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
                descriptors += len(os.listdir(f"/proc/{process.pid}/fd"))
                memory += pages * os.sysconf("SC_PAGE_SIZE")
                processes += 1
        return Held(processes, memory / 2**20, descriptors)

    def close(self) -> None:
        for process, _ in self.processes:
            process.kill()
            process.wait()
        self.sock.close()


def call(address: str, method: str, path: str) -> int:
    """The status of a call without a body; 0 where nobody answers."""
    connection = http.client.HTTPConnection(*parse_address(address), timeout=PATIENCE)
    try:
        connection.request(method, path)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


class Client(threading.Thread):
    """Asks again and again on the connection that it keeps."""

    def __init__(self, name: str, address: str, book: EventLog, over: threading.Event, give_up: int) -> None:
        super().__init__(daemon=True)
        self._mark, self._address, self._book, self._over = name, address, book, over
        self._give_up = give_up
        self._random = random.Random(name)

    def run(self) -> None:
        connection = http.client.HTTPConnection(*parse_address(self._address), timeout=self._give_up + 10)
        count = 0
        while not self._over.is_set():
            kind, request = self._random.choice(list(EFFECTS)), f"{self._mark}-{count}"
            count += 1
            self._book.record_request(request, kind)
            try:
                connection.request(
                    "POST", f"/{kind}", b"{}", {"X-Txn": request, "X-Remaining-Ms": str(self._give_up * 1000)}
                )
                answer = connection.getresponse()
                answer.read()
                ending = ENDINGS.get(answer.status, "failed")
            except (OSError, http.client.HTTPException):
                ending = "lost"
                connection.close()
            self._book.record_answer(request, ending)
            time.sleep(self._random.random() * 0.02)
        connection.close()


@dataclass(slots=True)
class World:
    """A platform with the program on it, and its clients, which ask until `over` is set."""

    platform: Platform
    book: EventLog
    load: list[Client]
    over: threading.Event


@contextlib.contextmanager
def world(
    program: list[str], clients: int, give_up: int, slots: int = 6, mean_ms: float = 60, hasty: float = 0.0
) -> Iterator[World]:
    """The program in front of three boxes, under load; all of it is ended whatever happens."""
    book, over, discovery = EventLog(), threading.Event(), Discovery()
    with tempfile.TemporaryDirectory() as folder:
        platform = Platform(Path(folder), program)
        boxes = [
            ThreadedRunner(f"box-{i}", book, platform.address, slots, mean_ms, seed=i, hasty=hasty)
            for i in range(3)
        ]
        load = [Client(f"c{i}", platform.address, book, over, give_up) for i in range(clients)]
        try:
            for box in boxes:
                discovery.put(box.name, box.address)
            platform.configure(discovery, give_up)
            platform.start()
            for client in load:
                client.start()
            yield World(platform, book, load, over)
        finally:
            over.set()
            platform.close()
            for box in boxes:
                box.close()
            discovery.close()


def play(
    upgrades: int = 2,
    clients: int = 16,
    hasty: float = 0.0,
    program: list[str] | None = None,
    between: float = 0.5,
    give_up: int = GIVE_UP,
) -> Result:
    """Load, and so many upgrades in a row under it, `between` seconds apart."""
    held: list[Held] = []
    with world(program or PROGRAM, clients, give_up, hasty=hasty) as at:
        platform, book = at.platform, at.book
        threading.Thread(target=_watch, args=(platform, held, at.over), daemon=True).start()
        for _ in range(upgrades):
            time.sleep(between)
            platform.upgrade()
        time.sleep(between)
        at.over.set()
        for client in at.load:
            client.join(give_up + 20)
        last, _ = platform.processes[-1]
        last.send_signal(signal.SIGTERM)
        last.wait(PATIENCE)
        exits = [process.returncode for process, _ in platform.processes]
    kinds = {request: kind for request, (kind, _) in book.requests.items()}
    endings = Counter((kinds[request], ending) for request, ending, _ in book.answers)
    judged = {name: Kind(effect, give_up * 1_000_000) for name, effect in EFFECTS.items()}
    served = {request for request, ending, _ in book.answers if ending == "served"}
    return Result(endings, verdict(book, judged), sorted(book.acknowledged - served), exits, held)


def _watch(platform: Platform, held: list[Held], over: threading.Event) -> None:
    while not over.wait(0.02):
        held.append(platform.held())
