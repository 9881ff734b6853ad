"""Logging with loguru to standard error, non-blocking and rate-limited."""

from __future__ import annotations

import json
import os
import select
import sys
import time
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

LINE_LIMIT = select.PIPE_BUF  # bytes that a writable pipe accepts without blocking
RATE = 20.0  # sustained lines per second
DEBUG_RATE = 500.0  # with debug lines, of which each push and each probe has its own
BURST = 200.0  # lines
FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}"


def shortened(line: bytes) -> bytes:
    """Shorten a JSON line that is too long for one write, keeping it valid JSON."""
    try:
        record = json.loads(line)["record"]
        short = {
            "text": record["message"][:1000],
            "cut": True,
            "level": record["level"]["name"],
            "extra": {key: str(value)[:100] for key, value in list(record["extra"].items())[:10]},
        }
        return json.dumps(short).encode() + b"\n"
    except (ValueError, KeyError, TypeError):
        return b'{"cut": true}\n'


class Sink:
    """Writes log lines to a descriptor, and counts the lines that it has to drop."""

    def __init__(self, fd: int, structured: bool = False, rate: float = RATE) -> None:
        self._fd = fd
        self._rate = rate
        self._structured = structured
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._tokens = BURST
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def __call__(self, message: Message) -> None:
        now = time.monotonic()
        self._tokens = min(BURST, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self._tokens < 1:  # rate limit reached
            self._dropped += 1
            return
        text = str(message).encode(errors="replace")
        if len(text) > LINE_LIMIT - 64:
            text = shortened(text) if self._structured else text[: LINE_LIMIT - 64] + b"\n"
        if self._dropped:
            notice = b'{"left_out": %d}\n' if self._structured else b"(%d lines left out)\n"
            text = notice % self._dropped + text
        try:
            # A write to a full pipe, whose reader has stopped, would block the whole dispatcher.
            if not self._poll.poll(0):
                self._dropped += 1
                return
            os.write(self._fd, text)
        except OSError:
            return
        self._tokens -= 1
        self._dropped = 0


def event(name: str, **values: object) -> None:
    """Log a debug line, `name key=value ...`, with the same values as fields of a JSON line.

    Callers check `debugging` first, because the line is formatted immediately.
    """
    text = " ".join([name, *(f"{key}={value}" for key, value in values.items())])
    logger.bind(event=name, **values).debug("{}", text)


debugging = True  # whether debug lines are logged; checked where building one is expensive


def set_up(level: str = "INFO", structured: bool = False) -> None:
    """Log to standard error from `level` on, as text or, if `structured`, as JSON lines."""
    global debugging
    debugging = level.upper() in ("DEBUG", "TRACE")
    logger.remove()
    rate = DEBUG_RATE if debugging else RATE
    logger.add(
        Sink(sys.stderr.fileno(), structured, rate),
        format="{message}" if structured else FORMAT,
        level=level.upper(),
        colorize=False,
        backtrace=False,
        diagnose=False,
        catch=True,
        serialize=structured,
    )
