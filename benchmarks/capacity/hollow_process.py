"""Child processes of a hollow fleet: their output lines, processor time and memory."""

from __future__ import annotations

import contextlib
import json
import os
import select
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # bytes
ANSWER_TIMEOUT_S = 60.0  # for one line; a process answers late while all its members start or reconnect
TERMINATION_TIMEOUT_S = 5.0  # between SIGTERM and SIGKILL


class NoAnswer(Exception):
    """A process has exited, or did not answer in time; the text says which."""


@dataclass(slots=True, frozen=True)
class Usage:
    """Processor time in seconds since the start of the process, and resident memory in bytes."""

    cpu: float
    memory: int


class Process:
    """One child process. Owns its pipes; `stop` ends it."""

    def __init__(self, name: str, command: list[str], folder: Path) -> None:
        self.name = name
        with (folder / f"{name}.err").open("ab") as errors:
            self._process = subprocess.Popen(
                [sys.executable, *command], stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors
            )
        assert self._process.stdout is not None
        self._output = self._process.stdout.fileno()
        self._unread = b""

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def read_line(self, timeout: float = ANSWER_TIMEOUT_S) -> str:
        """Return the next line that the process prints; raises `NoAnswer`."""
        until = time.monotonic() + timeout
        while b"\n" not in self._unread:
            ready, _, _ = select.select([self._output], [], [], max(0.0, until - time.monotonic()))
            if not ready:
                raise NoAnswer(f"{self.name}: no answer in {timeout:.0f} s")
            data = os.read(self._output, 65_536)
            if not data:
                raise NoAnswer(f"{self.name}: ended with {self._process.wait()}")
            self._unread += data
        line, self._unread = self._unread.split(b"\n", 1)
        return line.decode()

    def read(self, timeout: float = ANSWER_TIMEOUT_S) -> dict[str, Any]:
        """Return the JSON object on the next line; raises `NoAnswer`."""
        value: dict[str, Any] = json.loads(self.read_line(timeout))
        return value

    def send(self, command: dict[str, Any]) -> None:
        """Send a command without waiting for its answer; raises `NoAnswer`."""
        assert self._process.stdin is not None
        try:
            self._process.stdin.write(json.dumps(command).encode() + b"\n")
            self._process.stdin.flush()
        except BrokenPipeError:
            raise NoAnswer(f"{self.name}: ended with {self._process.wait()}") from None

    def ask(self, command: dict[str, Any], timeout: float = ANSWER_TIMEOUT_S) -> dict[str, Any]:
        """Send a command and return its answer; raises `NoAnswer`."""
        self.send(command)
        return self.read(timeout)

    def signal(self, number: int) -> None:
        """Send a signal to this process only."""
        self._process.send_signal(number)

    def usage(self) -> Usage:
        """Return the usage from `/proc/PID/schedstat` and `statm`; processor time of the main thread."""
        folder = Path(f"/proc/{self.pid}")
        try:
            nanoseconds = int((folder / "schedstat").read_text().split()[0])
            pages = int((folder / "statm").read_text().split()[1])
        except (OSError, IndexError):
            raise NoAnswer(f"{self.name}: ended with {self._process.poll()}") from None
        return Usage(nanoseconds / 1e9, pages * PAGE_SIZE)

    def kill(self) -> None:
        """End the process with SIGKILL, without a clean shutdown, as if its machine were lost."""
        self._process.kill()
        self._close()

    def stop(self) -> None:
        """End the process with SIGTERM, then with SIGKILL if it has not exited in time."""
        self._process.terminate()
        try:
            self._process.wait(TERMINATION_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
        self._close()

    def _close(self) -> None:
        self._process.wait()
        for pipe in (self._process.stdin, self._process.stdout):
            if pipe is not None and not pipe.closed:
                with contextlib.suppress(BrokenPipeError):
                    pipe.close()


def monotonic_us() -> int:
    """Return the machine's monotonic clock in microseconds, which all processes of a run share."""
    return time.monotonic_ns() // 1000
