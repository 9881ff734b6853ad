"""Commands to a process of the hollow fleet: one JSON object per line on its standard input.

A process exits at the end of its input, so that it does not outlive its parent.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from typing import Any

from pulleyroute.net.loop import READABLE, Coroutine, Loop, Wait

STDIN_FD = 0
READ_SIZE = 65_536  # bytes


def read_commands(loop: Loop, handle: Callable[[dict[str, Any]], dict[str, Any]]) -> Coroutine[None]:
    """Pass each command to `handle` and write its result as one line; stop the loop at the end of input."""
    os.set_blocking(STDIN_FD, False)
    incomplete = b""
    while True:
        try:
            data = os.read(STDIN_FD, READ_SIZE)
        except BlockingIOError:
            yield Wait(STDIN_FD, READABLE)
            continue
        if not data:
            loop.stop()
            return
        *lines, incomplete = (incomplete + data).split(b"\n")
        for line in lines:
            write_answer(handle(json.loads(line)))


def write_answer(value: dict[str, Any]) -> None:
    """Write one JSON line to the parent process."""
    sys.stdout.write(json.dumps(value) + "\n")
    sys.stdout.flush()
