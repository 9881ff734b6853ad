"""What every dispatcher's process needs: signals as something the loop hears, and its limit of
descriptors."""

from __future__ import annotations

import resource
import signal
import socket
from collections.abc import Callable

from loguru import logger

from pulleyroute.net.loop import READABLE, Coroutine, Wait


def on_error(name: str, exc: Exception) -> None:
    """An exception ends its own connection alone."""
    logger.bind(event="task.failed", task=name).opt(exception=exc).error("{} ended by an exception", name)


def ensure_descriptors(wanted: int) -> int:
    """As many as the configuration allows, if the system lets this process have them."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    if soft != resource.RLIM_INFINITY and soft < wanted:
        logger.bind(event="descriptors.few").warning("only {} of {} descriptors may be open", soft, wanted)
        return soft
    return wanted


def raise_descriptor_limit() -> None:
    """Let this process have as many as the system lets it have; a usual start is 1,024."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def catch_signals() -> tuple[socket.socket, socket.socket]:
    """SIGTERM, SIGINT and SIGHUP as bytes to be read from the first socket; keep both."""
    source, sink = socket.socketpair()
    for end in (source, sink):
        end.setblocking(False)
    signal.set_wakeup_fd(sink.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)  # the loop hears of it through the descriptor
    return source, sink


def handle_signals(
    source: socket.socket, reload: Callable[[], None], stop: Callable[[], None]
) -> Coroutine[None]:
    """What the signals ask for; several that come at once count as one."""
    while True:
        yield Wait(source.fileno(), READABLE)
        try:
            numbers = source.recv(1024)
        except BlockingIOError:
            continue
        if signal.SIGHUP in numbers:
            try:
                reload()
            except Exception:
                # Guards every later signal: whatever a file holds, SIGTERM has to be heard.
                logger.bind(event="reload.failed").exception("the reload ended by an exception")
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            logger.bind(event="stopping").info("asked to stop")
            stop()
