"""Commands to a process of the hollow fleet: one JSON object a line on its standard input.

The end of the input ends the process, so that none outlives whoever started it.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from typing import Any

from pulleyroute.net.loop import READABLE, Coroutine, Loop, Wait

STDIN_FD = 0
READ_SIZE = 65_536


def read_commands(loop: Loop, handle: Callable[[dict[str, Any]], dict[str, Any]]) -> Coroutine[None]:
    """Hand each command to `handle`, and write what it returns as one line; stop the loop at the end."""
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
    """Write one line to whoever started this process."""
    sys.stdout.write(json.dumps(value) + "\n")
    sys.stdout.flush()
