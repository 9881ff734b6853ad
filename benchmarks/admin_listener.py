"""Answer times of the admin listener under floods: `python -m benchmarks.admin_listener [--write]`.

Runs for about a minute. Starts the platform's program on loopback stand-ins with 256 descriptors, and calls
`/status` and `/status/metrics` of its admin listener four times a second while something floods the program.
The result is the slowest answer during each flood, beside the slowest one at rest in the same run.
"""

from __future__ import annotations

import contextlib
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.fixture import machine
from pulleyroute.lab.upgrade import PROGRAM, call_status, platform_under_load
from pulleyroute.net.http import parse_address

FLOOD_S = 6.0
CALL_INTERVAL_S = 0.25
MAX_ANSWER_S = 1.0
ADMIN_CONNECTIONS = 40  # kept open at the admin listener
CLIENT_CONNECTIONS = 1500  # kept open at the clients' listener, at most


@dataclass(slots=True)
class Answers:
    """Answer times in seconds, and the number of answers with an unexpected status."""

    took: list[float] = field(default_factory=list)
    wrong: int = 0


def call_admin(admin: str, path: str, want: tuple[int, ...], answers: Answers) -> None:
    """Make one call on a connection of its own, and record its answer."""
    began = time.monotonic()
    answers.wrong += call_status(admin, "GET", path) not in want
    answers.took.append(time.monotonic() - began)


def measure_under_flood(
    admin: str, flood: Callable[[threading.Event], None], threads: int, want: tuple[int, ...] = (200,)
) -> Answers:
    """Call the admin listener while `threads` threads run `flood`."""
    stop_requested, answers = threading.Event(), Answers()
    flooders = [threading.Thread(target=flood, args=(stop_requested,), daemon=True) for _ in range(threads)]
    for thread in flooders:
        thread.start()
    time.sleep(0.5)
    end = time.monotonic() + FLOOD_S
    while time.monotonic() < end:
        call_admin(admin, "/status", want, answers)
        call_admin(admin, "/status/metrics", (200,), answers)
        time.sleep(CALL_INTERVAL_S)
    stop_requested.set()
    for thread in flooders:
        thread.join(15)
    return answers


def hold_connections(
    address: str, data: bytes, max_open: int, hold_s: float
) -> Callable[[threading.Event], None]:
    """Return a flood that opens connections, sends `data` on each and keeps them open.

    It closes the oldest one after `hold_s` seconds, or when `max_open` are open.
    """

    def flood(stop_requested: threading.Event) -> None:
        open_connections: list[tuple[float, socket.socket]] = []
        while not stop_requested.is_set():
            now = time.monotonic()
            while open_connections and (
                now - open_connections[0][0] > hold_s or len(open_connections) >= max_open
            ):
                open_connections.pop(0)[1].close()
            with contextlib.suppress(OSError):
                sock = socket.create_connection(parse_address(address), timeout=1)
                sock.sendall(data)
                open_connections.append((now, sock))
            time.sleep(0.001)
        for _, sock in open_connections:
            sock.close()

    return flood


def send_invalid_jobs(address: str) -> Callable[[threading.Event], None]:
    """Return a flood that sends requests without a job as fast as they are answered."""
    host_port = parse_address(address)

    def flood(stop_requested: threading.Event) -> None:
        while not stop_requested.is_set():
            with contextlib.suppress(OSError), socket.create_connection(host_port, timeout=5) as sock:
                while not stop_requested.is_set():
                    sock.sendall(b"POST /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" * 20)
                    if not sock.recv(65536):
                        break

    return flood


def main() -> int:
    rows: list[tuple[str, Answers]] = []
    with platform_under_load(PROGRAM, 8, 20, slots=8, mean_ms=40) as environment:
        clients = environment.platform.address
        program, admin = environment.platform.processes[-1]
        half = b"GET /status HTT"

        def reloads(stop_requested: threading.Event) -> None:
            while not stop_requested.wait(0.05):
                program.send_signal(signal.SIGHUP)

        floods: list[tuple[str, Callable[[threading.Event], None], int]] = [
            ("at rest", lambda stop_requested: None, 0),
            (
                f"{ADMIN_CONNECTIONS} callers at the admin listener that send nothing",
                hold_connections(admin, b"", ADMIN_CONNECTIONS, 4),
                1,
            ),
            (
                f"{ADMIN_CONNECTIONS} callers at the admin listener with half a call",
                hold_connections(admin, half, ADMIN_CONNECTIONS, 4),
                1,
            ),
            (
                f"{CLIENT_CONNECTIONS} silent connections of clients",
                hold_connections(clients, b"", CLIENT_CONNECTIONS, 4),
                1,
            ),
            ("8 clients that ask for nothing at full speed", send_invalid_jobs(clients), 8),
            ("20 reloads a second", reloads, 1),
        ]
        for name, flood, threads in floods:
            rows.append((name, measure_under_flood(admin, flood, threads)))
        call_status(admin, "POST", "/standby")
        rows.append(
            (
                "a drain, with silent connections",
                measure_under_flood(admin, hold_connections(clients, b"", CLIENT_CONNECTIONS, 4), 1),
            )
        )
    rest = max(rows[0][1].took)
    lines = [
        "| while | calls | slowest answer, ms | of that at rest | late or wrong |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {name} | {len(answers.took)} | {max(answers.took) * 1000:.0f} | {max(answers.took) / rest:.1f} "
        f"| {answers.wrong + sum(took > MAX_ANSWER_S for took in answers.took)} |"
        for name, answers in rows
    ]
    print("\n".join(lines))
    if "--write" in sys.argv:
        Path("docs/measured/admin_listener.md").write_text(
            "\n".join(
                [
                    "# The admin listener under floods",
                    "",
                    "Command: `python -m benchmarks.admin_listener --write`. 256 descriptors; 8 clients with",
                    "jobs go on all",
                    "the while. An answer is due within 1000 ms.",
                    "",
                    f"Run on: {machine()}.",
                    "",
                    *lines,
                    "",
                ]
            )
        )
    return 0 if not any(answers.wrong or max(answers.took) > MAX_ANSWER_S for _, answers in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
