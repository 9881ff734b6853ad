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

INPUT = 0
CHUNK = 65_536


def take_commands(loop: Loop, handle: Callable[[dict[str, Any]], dict[str, Any]]) -> Coroutine[None]:
    """Hand each command to `handle`, and write what it returns as one line; stop the loop at the end."""
    os.set_blocking(INPUT, False)
    rest = b""
    while True:
        try:
            data = os.read(INPUT, CHUNK)
        except BlockingIOError:
            yield Wait(INPUT, READABLE)
            continue
        if not data:
            loop.stop()
            return
        *lines, rest = (rest + data).split(b"\n")
        for line in lines:
            answer(handle(json.loads(line)))


def answer(value: dict[str, Any]) -> None:
    """Write one line to whoever started this process."""
    sys.stdout.write(json.dumps(value) + "\n")
    sys.stdout.flush()
