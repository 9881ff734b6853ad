"""Process-wide facilities: signals delivered through the event loop, and the limit of file descriptors."""

from __future__ import annotations

import resource
import signal
import socket
from collections.abc import Callable

from loguru import logger

from pulleyroute.net.loop import READABLE, Coroutine, Wait


def on_error(name: str, exc: Exception) -> None:
    """Log an exception that ended a task; the other tasks continue."""
    logger.bind(event="task.failed", task=name).opt(exception=exc).error(
        "task {} failed with an exception", name
    )


def ensure_descriptors(wanted: int) -> int:
    """Raise the soft limit of descriptors to `wanted` if necessary, and return how many may be open.

    The result is less than `wanted` if the hard limit is lower; a warning is logged in that case.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    if soft != resource.RLIM_INFINITY and soft < wanted:
        logger.bind(event="descriptors.few").warning(
            "limit of open files: only {} of {} descriptors are available", soft, wanted
        )
        return soft
    return wanted


def raise_descriptor_limit() -> None:
    """Raise the soft limit of descriptors, commonly 1,024, to the hard limit."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def catch_signals() -> tuple[socket.socket, socket.socket]:
    """Deliver SIGTERM, SIGINT and SIGHUP as bytes to be read from the first socket.

    The caller must keep a reference to both sockets.
    """
    source, sink = socket.socketpair()
    for end in (source, sink):
        end.setblocking(False)
    signal.set_wakeup_fd(sink.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)  # the loop is woken through the descriptor
    return source, sink


def handle_signals(
    source: socket.socket, reload: Callable[[], None], stop: Callable[[], None]
) -> Coroutine[None]:
    """Call `reload` on SIGHUP, and `stop` on SIGTERM and SIGINT.

    Several signals that arrive together cause one call.
    """
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
                # An exception from a reload, whatever the file contains, must not stop the handling of
                # SIGTERM.
                logger.bind(event="reload.failed").exception("the reload failed with an exception")
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            logger.bind(event="stopping").info("received a signal to stop")
            stop()
