"""A demonstration: the program in a process of its own serves jobs and gRPC calls of embedded stand-ins.

During the load a runner drains and a gRPC instance is killed; then the rule checker reads the event log.
"""

from __future__ import annotations

import contextlib
import http.client
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import grpc
from hdrh.histogram import HdrHistogram

from pulleyroute.emulator import Discovery, EventLog, GrpcInstance, ThreadedRunner
from pulleyroute.lab.referee import ENDINGS, ClassRules
from pulleyroute.lab.verdict import find_violations

CLIENT_TIMEOUT_S = 5
KINDS = {
    name: ClassRules(effect, CLIENT_TIMEOUT_S * 1_000_000)
    for name, effect in (
        ("balance-check", "safe"),
        ("card-charge", "unsafe"),
        ("shop.Look", "safe"),
        ("shop.Charges", "unsafe"),
    )
}
CONFIG = """
name       = "demo"
management = "{admin}"
listener "jobs"  {{
  protocol = "jobs"
  address  = "{jobs}"
  pool     = "boxes"
}}
listener "calls" {{
  protocol = "grpc"
  address  = "{calls}"
}}
pool "boxes" {{
  protocol  = "jobs"
  discovery = "{discovery}"
  probes    = true
  reports   = "probes"
  report {{
    x0  = "free_slots"
    rif = "in_hand"
    q   = "queued"
  }}
}}
pool "apps" {{
  protocol = "grpc"
  slots    = 16
{instances}}}
class "balance-check" {{
  effect  = "safe"
  aim     = "1s"
  give_up = "5s"
}}
class "card-charge" {{
  effect  = "unsafe"
  aim     = "1500ms"
  give_up = "25s"
  worth   = 3
}}
route "look" {{
  service = "shop.Look"
  pool    = "apps"
  class   = "balance-check"
}}
route "charges" {{
  service = "shop.Charges"
  pool    = "apps"
  class   = "card-charge"
}}
"""


@dataclass(slots=True)
class Row:
    """Results of one kind of request. The histogram holds times in microseconds."""

    asked: int = 0
    endings: Counter[str] = field(default_factory=Counter)
    took: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))


@dataclass(slots=True)
class Result:
    """Results of a run. `broken` has one line for each broken rule; `attempts` is by kind of request."""

    rows: dict[str, Row]
    attempts: Counter[str]
    broken: list[str]
    seconds: float
    metrics: dict[str, int] = field(default_factory=dict)  # from the admin listener, at the end


def metrics(admin: str) -> dict[str, int]:
    """Read the metrics of an admin listener, by name."""
    with urllib.request.urlopen(f"http://{admin}/status/metrics", timeout=10) as answer:
        lines = [line.split("|")[0].split(":") for line in answer.read().decode().splitlines()]
    return {name: int(value) for name, value in lines}


def free_port() -> int:
    """Return a free port of loopback, below the range from which the system assigns ports by itself.

    A port from that range could be taken as the local end of another connection before the caller listens at
    it.
    """
    rng = random.SystemRandom()
    while True:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", rng.randrange(10_000, 30_000)))
            return int(sock.getsockname()[1])


class Demo:
    """One run, which owns the stand-ins, the program's process and the load.

    `rate` is in requests a second.
    """

    def __init__(self, rate: float = 60.0, seconds: float = 6.0, seed: int = 1) -> None:
        self.rate, self.seconds, self.random = rate, seconds, random.Random(seed)
        self.event_log = EventLog()
        self.rows = {name: Row() for name in ("balance-check", "card-charge", "shop.Look", "shop.Charges")}
        self.kinds: dict[str, str] = {}
        self._lock = threading.Lock()
        self._out = 0

    def run(self, tick: Callable[[float, int], None] = lambda share, done: None) -> Result:
        """Run the demonstration.

        `tick` is called with the share of the time that has passed and the number of requests answered.
        """
        jobs, calls, admin = (f"127.0.0.1:{free_port()}" for _ in range(3))
        discovery = Discovery()
        runners = [ThreadedRunner(f"box-{i}", self.event_log, jobs, seed=i) for i in range(4)]
        apps = [GrpcInstance(f"app-{i}", self.event_log, mean_ms=15) for i in range(3)]
        for runner in runners:
            discovery.put(runner.name, runner.address)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "demo.hcl"
            instances = "".join(
                f'  instance "{app.name}" {{\n    address = "{app.address}"\n  }}\n' for app in apps
            )
            path.write_text(
                CONFIG.format(
                    jobs=jobs, calls=calls, discovery=discovery.address, admin=admin, instances=instances
                )
            )
            log = (Path(folder) / "log").open("wb")
            program = subprocess.Popen(
                [sys.executable, "-m", "pulleyroute.cli", "serve", "--config", str(path)], stderr=log
            )
            try:
                self._await_ready(program, jobs, Path(folder) / "log")
                result = self._run_load(jobs, calls, discovery, runners, apps, tick)
                result.metrics = metrics(admin)
                program.send_signal(signal.SIGTERM)
                with contextlib.suppress(subprocess.TimeoutExpired):
                    program.wait(10)
                if program.returncode != 0:
                    result.broken.append(f"the program ended with {program.returncode}")
                return result
            finally:
                program.kill()
                program.wait()
                log.close()
                for app in apps:
                    app.stop()
                for runner in runners:
                    runner.close()
                discovery.close()

    def _await_ready(self, program: subprocess.Popen[bytes], jobs: str, log: Path) -> None:
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if program.poll() is not None:
                raise RuntimeError(f"the program did not start: {log.read_text()[-500:]}")
            with contextlib.suppress(OSError, http.client.HTTPException):
                host, port = jobs.rsplit(":", 1)
                connection = http.client.HTTPConnection(host, int(port), timeout=1)
                connection.request("GET", "/-/ready")
                if connection.getresponse().status == 200:
                    time.sleep(0.3)  # for the first watch of discovery
                    return
            time.sleep(0.05)
        raise RuntimeError("the program did not become ready")

    def _run_load(
        self,
        jobs: str,
        calls: str,
        discovery: Discovery,
        runners: list[ThreadedRunner],
        apps: list[GrpcInstance],
        tick: Callable[[float, int], None],
    ) -> Result:
        channel = grpc.insecure_channel(calls)
        began = time.monotonic()
        count = int(self.rate * self.seconds)
        threads: list[threading.Thread] = []
        drained = crashed = False
        for i in range(count):
            due = began + i / self.rate
            while (now := time.monotonic()) < due:
                time.sleep(min(0.02, due - now))
                tick((now - began) / self.seconds, len(self.event_log.answers))
            if not drained and i > count / 3:
                drained = True
                discovery.put(runners[0].name, runners[0].address, "leaving")
                self.event_log.drained_at[runners[0].name] = time.monotonic()
            if not crashed and i > count / 2:
                crashed = True  # one instance is stopped, which aborts its calls
                threading.Thread(target=apps[0].stop, daemon=True).start()
            kind = self.random.choice(list(self.rows))
            request = f"r{i}"
            self.kinds[request] = kind
            self.event_log.record_request(request, kind)
            self.rows[kind].asked += 1
            send = self._send_call if kind.startswith("shop.") else self._send_job
            thread = threading.Thread(
                target=send, args=(channel if send == self._send_call else jobs, request, kind), daemon=True
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join(30)
        channel.close()
        seconds = time.monotonic() - began
        tick(1.0, len(self.event_log.answers))
        attempts = Counter(self.kinds[run.request] for run in self.event_log.attempts)
        return Result(
            self.rows,
            attempts,
            [f"{each.rule.value}: {each.text}" for each in find_violations(self.event_log, KINDS)],
            seconds,
        )

    def _record_result(self, request: str, kind: str, ending: str, began: float) -> None:
        self.event_log.record_answer(request, ending)
        with self._lock:
            row = self.rows[kind]
            row.endings[ending] += 1
            row.took.record_value(max(1, int((time.monotonic() - began) * 1e6)))

    def _send_job(self, address: str, request: str, kind: str) -> None:
        began = time.monotonic()
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        ending = "failed"
        try:
            connection.request(
                "POST", f"/{kind}", b"{}", {"X-Txn": request, "X-Remaining-Ms": str(CLIENT_TIMEOUT_S * 1000)}
            )
            status = connection.getresponse().status
            ending = ENDINGS.get(status, "failed")
        except (OSError, http.client.HTTPException):
            ending = "lost"
        finally:
            connection.close()
        self._record_result(request, kind, ending, began)

    def _send_call(self, channel: grpc.Channel, request: str, kind: str) -> None:
        began = time.monotonic()
        try:
            if self.random.random() < 0.5:
                channel.unary_unary(f"/{kind}/Unary")(
                    b"hello", timeout=CLIENT_TIMEOUT_S, metadata=(("x-id", request),)
                )
            else:
                spread = channel.unary_stream(f"/{kind}/Spread")
                list(
                    spread(
                        b"hello", timeout=CLIENT_TIMEOUT_S, metadata=(("x-id", request), ("x-count", "20"))
                    )
                )
            ending = "served"
        except grpc.RpcError as exc:
            refused = any(key == "grpc-retry-pushback-ms" for key, _ in exc.trailing_metadata() or ())
            ending = "refused" if refused else "failed"
        self._record_result(request, kind, ending, began)
