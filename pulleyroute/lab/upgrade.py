"""Upgrades of the dispatcher under load, on loopback stand-ins, checked against the dispatcher's rules.

The platform owns the clients' listening socket and starts one process of the dispatcher after another, each
beside the one before it. The old process gets SIGTERM once the admin listener of the new one answers 200. The
rule checker treats all processes as one dispatcher.
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
from pulleyroute.lab.referee import ENDINGS, ClassRules, Violation
from pulleyroute.lab.verdict import find_violations
from pulleyroute.net.http import parse_address

GIVE_UP_S = 60  # far more than a run takes, so that only lost requests exceed it
TIMEOUT_S = 60.0  # for starts, stops and calls of a process; only a broken program reaches it
EFFECTS = {"balance-check": "safe", "card-charge": "unsafe"}
EFFECT_NAMES = {"safe": "read_like", "unsafe": "non_idempotent"}  # effect in the settings
PROGRAM = [sys.executable, "-m", "pulleyroute"]
SOCKET_LIMIT, MEMORY_LIMIT_MB = 256, 80


@dataclass(slots=True)
class ResourceUsage:
    """Resources that all processes of the dispatcher use together at one moment."""

    processes: int
    memory_mb: float
    descriptors: int


@dataclass(slots=True)
class Result:
    """Result of a run.

    `endings` counts requests by kind and ending. `lost_results` has the requests whose call-back a dispatcher
    acknowledged to a runner, but whose client was not served.
    """

    endings: Counter[tuple[str, str]]
    broken: list[Violation]
    lost_results: list[str]
    exits: list[int]  # exit statuses of the processes, in the order of their starts
    resource_usage: list[ResourceUsage] = field(default_factory=list)


def dispatcher_config(discovery: Discovery, listen: str, give_up: int) -> dict[str, object]:
    """Return the configuration of a dispatcher that knows the instances of `discovery` from its start."""
    classes = [
        {"name": name, "effect": EFFECT_NAMES[effect], "aim": 20_000_000, "give-up": give_up * 1_000_000}
        for name, effect in EFFECTS.items()
    ]
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery.address,
        "seed": "1",
        "known": json.loads(discovery.snapshot()),
        "limits": {"memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
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
    """Owns the clients' listening socket, the folder of the configuration and the dispatcher's processes."""

    def __init__(self, folder: Path, program: list[str]) -> None:
        self._folder, self._program = folder, program
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "{}:{}".format(*self.sock.getsockname())
        self._config = folder / "config.json"
        self.processes: list[tuple[subprocess.Popen[bytes], str]] = []

    def configure(self, discovery: Discovery, give_up: int) -> None:
        """Write the configuration that the next process reads; `give_up` is in seconds."""
        self._config.write_text(json.dumps(dispatcher_config(discovery, self.address, give_up)))

    def start(self) -> None:
        """Start one more process and wait until its admin listener answers 200."""
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
        end = time.monotonic() + TIMEOUT_S
        while call_status(admin, "GET", "/status") != 200:
            if process.poll() is not None or time.monotonic() > end:
                raise RuntimeError(f"the program did not start: {(self._folder / 'log').read_text()[-800:]}")
            time.sleep(0.02)

    def upgrade(self) -> None:
        """Start one more process, and stop the one before it."""
        old, _ = self.processes[-1]
        self.start()
        old.send_signal(signal.SIGTERM)
        old.wait(TIMEOUT_S)

    def resource_usage(self) -> ResourceUsage:
        """Return the resident memory and the descriptors of all running processes."""
        memory = descriptors = processes = 0
        for process, _ in self.processes:
            with contextlib.suppress(OSError, ValueError):
                pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
                descriptors += len(os.listdir(f"/proc/{process.pid}/fd"))
                memory += pages * os.sysconf("SC_PAGE_SIZE")
                processes += 1
        return ResourceUsage(processes, memory / 2**20, descriptors)

    def close(self) -> None:
        """Kill all processes and close the socket."""
        for process, _ in self.processes:
            process.kill()
            process.wait()
        self.sock.close()


def call_status(address: str, method: str, path: str) -> int:
    """Make a call without a body and return its HTTP status, or 0 if there is no answer."""
    connection = http.client.HTTPConnection(*parse_address(address), timeout=TIMEOUT_S)
    try:
        connection.request(method, path)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


class Client(threading.Thread):
    """Sends one request after another on a kept connection until `stop_requested` is set."""

    def __init__(
        self, name: str, address: str, event_log: EventLog, stop_requested: threading.Event, give_up: int
    ) -> None:
        super().__init__(daemon=True)
        self._id_prefix, self._address, self._event_log, self._stop_requested = (
            name,
            address,
            event_log,
            stop_requested,
        )
        self._give_up = give_up
        self._random = random.Random(name)

    def run(self) -> None:
        connection = http.client.HTTPConnection(*parse_address(self._address), timeout=self._give_up + 10)
        count = 0
        while not self._stop_requested.is_set():
            kind, request = self._random.choice(list(EFFECTS)), f"{self._id_prefix}-{count}"
            count += 1
            self._event_log.record_request(request, kind)
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
            self._event_log.record_answer(request, ending)
            time.sleep(self._random.random() * 0.02)
        connection.close()


@dataclass(slots=True)
class LoadedPlatform:
    """A platform with a running dispatcher, and its clients, which send until `stop_requested` is set."""

    platform: Platform
    event_log: EventLog
    load_clients: list[Client]
    stop_requested: threading.Event


@contextlib.contextmanager
def platform_under_load(
    program: list[str],
    clients: int,
    give_up: int,
    slots: int = 6,
    mean_ms: float = 60,
    early_callback_share: float = 0.0,
) -> Iterator[LoadedPlatform]:
    """Run the program under load in front of three runners, and stop everything at the end or after an error.

    `give_up` is in seconds.
    """
    event_log, stop_requested, discovery = EventLog(), threading.Event(), Discovery()
    with tempfile.TemporaryDirectory() as folder:
        platform = Platform(Path(folder), program)
        runners = [
            ThreadedRunner(
                f"box-{i}",
                event_log,
                platform.address,
                slots,
                mean_ms,
                seed=i,
                early_callback_share=early_callback_share,
            )
            for i in range(3)
        ]
        load_clients = [
            Client(f"c{i}", platform.address, event_log, stop_requested, give_up) for i in range(clients)
        ]
        try:
            for runner in runners:
                discovery.put(runner.name, runner.address)
            platform.configure(discovery, give_up)
            platform.start()
            for client in load_clients:
                client.start()
            yield LoadedPlatform(platform, event_log, load_clients, stop_requested)
        finally:
            stop_requested.set()
            platform.close()
            for runner in runners:
                runner.close()
            discovery.close()


def run_upgrades(
    upgrades: int = 2,
    clients: int = 16,
    early_callback_share: float = 0.0,
    program: list[str] | None = None,
    interval: float = 0.5,
    give_up: int = GIVE_UP_S,
) -> Result:
    """Run a load and `upgrades` upgrades in a row under it, `interval` seconds apart."""
    resource_usage: list[ResourceUsage] = []
    with platform_under_load(
        program or PROGRAM, clients, give_up, early_callback_share=early_callback_share
    ) as environment:
        platform, event_log = environment.platform, environment.event_log
        threading.Thread(
            target=_sample_usage, args=(platform, resource_usage, environment.stop_requested), daemon=True
        ).start()
        for _ in range(upgrades):
            time.sleep(interval)
            platform.upgrade()
        time.sleep(interval)
        environment.stop_requested.set()
        for client in environment.load_clients:
            client.join(give_up + 20)
        last, _ = platform.processes[-1]
        last.send_signal(signal.SIGTERM)
        last.wait(TIMEOUT_S)
        exits = [process.returncode for process, _ in platform.processes]
    kinds = {request: kind for request, (kind, _) in event_log.requests.items()}
    endings = Counter((kinds[request], ending) for request, ending, _ in event_log.answers)
    rule_kinds = {name: ClassRules(effect, give_up * 1_000_000) for name, effect in EFFECTS.items()}
    served = {request for request, ending, _ in event_log.answers if ending == "served"}
    return Result(
        endings,
        find_violations(event_log, rule_kinds),
        sorted(event_log.acknowledged - served),
        exits,
        resource_usage,
    )


def _sample_usage(
    platform: Platform, resource_usage: list[ResourceUsage], stop_requested: threading.Event
) -> None:
    while not stop_requested.wait(0.02):
        resource_usage.append(platform.resource_usage())
