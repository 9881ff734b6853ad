"""The log: loguru to standard error, in a way that neither blocks nor floods."""

from __future__ import annotations

import os
import select
import sys
import time
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

LINE_LIMIT = select.PIPE_BUF  # a pipe that is writable takes this much without blocking
RATE = 20.0  # lines a second in the long run
BURST = 200.0
FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}"


class Sink:
    """Writes lines to a descriptor; counts those that it had to leave out."""

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._credit = BURST
        self._at = time.monotonic()
        self._missed = 0

    def __call__(self, message: Message) -> None:
        now = time.monotonic()
        self._credit = min(BURST, self._credit + (now - self._at) * RATE)
        self._at = now
        if self._credit < 1:  # guards against floods
            self._missed += 1
            return
        text = str(message).encode(errors="replace")
        if self._missed:
            text = b"(%d lines left out)\n" % self._missed + text
        if len(text) > LINE_LIMIT:
            text = text[:LINE_LIMIT - 1] + b"\n"
        try:
            # Guards against a reader that stands still: a full pipe would stop the whole dispatcher.
            if not self._poll.poll(0):
                self._missed += 1
                return
            os.write(self._fd, text)
        except OSError:
            return
        self._credit -= 1
        self._missed = 0


def set_up(level: str = "INFO") -> None:
    logger.remove()
    logger.add(Sink(sys.stderr.fileno()), format=FORMAT, level=level, colorize=False, backtrace=False,
               diagnose=False, catch=True)
