"""The admin listener under floods: `python -m benchmarks.admin_listener [--write]`. About a minute.

Starts the platform's program on loopback stand-ins with 256 descriptors, and calls its admin listener four
times a second for `/status` and `/status/metrics` while something floods the rest. What counts is the slowest
answer of each flood, beside the one at rest in the same run.
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

SECONDS = 6.0  # a flood
PAUSE = 0.25  # between two looks at it
DUE = 1.0  # seconds that an answer may take
CROWD = 40  # callers that stay
CONNECTIONS = 1500  # on the clients' side, at most


@dataclass(slots=True)
class Looks:
    took: list[float] = field(default_factory=list)  # seconds
    wrong: int = 0


def look(admin: str, path: str, want: tuple[int, ...], looks: Looks) -> None:
    """One call on a connection of its own."""
    began = time.monotonic()
    looks.wrong += call_status(admin, "GET", path) not in want
    looks.took.append(time.monotonic() - began)


def under(
    admin: str, flood: Callable[[threading.Event], None], threads: int, want: tuple[int, ...] = (200,)
) -> Looks:
    """The admin listener's answers while so many threads flood."""
    over, looks = threading.Event(), Looks()
    at_work = [threading.Thread(target=flood, args=(over,), daemon=True) for _ in range(threads)]
    for thread in at_work:
        thread.start()
    time.sleep(0.5)
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        look(admin, "/status", want, looks)
        look(admin, "/status/metrics", (200,), looks)
        time.sleep(PAUSE)
    over.set()
    for thread in at_work:
        thread.join(15)
    return looks


def holding(address: str, data: bytes, most: int, stay: float) -> Callable[[threading.Event], None]:
    """Connects again and again, sends the same, and holds each connection for a while."""

    def flood(over: threading.Event) -> None:
        held: list[tuple[float, socket.socket]] = []
        while not over.is_set():
            now = time.monotonic()
            while held and (now - held[0][0] > stay or len(held) >= most):
                held.pop(0)[1].close()
            with contextlib.suppress(OSError):
                sock = socket.create_connection(parse_address(address), timeout=1)
                sock.sendall(data)
                held.append((now, sock))
            time.sleep(0.001)
        for _, sock in held:
            sock.close()

    return flood


def asking(address: str) -> Callable[[threading.Event], None]:
    """Sends what is no job as fast as it is answered."""
    place = parse_address(address)

    def flood(over: threading.Event) -> None:
        while not over.is_set():
            with contextlib.suppress(OSError), socket.create_connection(place, timeout=5) as sock:
                while not over.is_set():
                    sock.sendall(b"POST /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" * 20)
                    if not sock.recv(65536):
                        break

    return flood


def main() -> int:
    rows: list[tuple[str, Looks]] = []
    with platform_under_load(PROGRAM, 8, 20, slots=8, mean_ms=40) as at:
        clients = at.platform.address
        program, admin = at.platform.processes[-1]
        half = b"GET /status HTT"

        def reloads(over: threading.Event) -> None:
            while not over.wait(0.05):
                program.send_signal(signal.SIGHUP)

        floods: list[tuple[str, Callable[[threading.Event], None], int]] = [
            ("at rest", lambda over: None, 0),
            (f"{CROWD} callers at the admin listener that send nothing", holding(admin, b"", CROWD, 4), 1),
            (f"{CROWD} callers at the admin listener with half a call", holding(admin, half, CROWD, 4), 1),
            (f"{CONNECTIONS} silent connections of clients", holding(clients, b"", CONNECTIONS, 4), 1),
            ("8 clients that ask for nothing at full speed", asking(clients), 8),
            ("20 reloads a second", reloads, 1),
        ]
        for name, flood, threads in floods:
            rows.append((name, under(admin, flood, threads)))
        call_status(admin, "POST", "/standby")
        rows.append(
            ("a drain, with silent connections", under(admin, holding(clients, b"", CONNECTIONS, 4), 1))
        )
    rest = max(rows[0][1].took)
    lines = [
        "| while | calls | slowest answer, ms | of that at rest | late or wrong |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {name} | {len(looks.took)} | {max(looks.took) * 1000:.0f} | {max(looks.took) / rest:.1f} "
        f"| {looks.wrong + sum(took > DUE for took in looks.took)} |"
        for name, looks in rows
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
    return 0 if not any(looks.wrong or max(looks.took) > DUE for _, looks in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
