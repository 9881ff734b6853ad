"""Two processes, one dispatcher: how a new one takes over from an old one that still serves.

They meet at a Unix socket in `$TMPDIR`, of kind SEQPACKET: a message arrives whole or not at all, and so does
the descriptor that goes with it. `encode_message` and `decode_message` are the messages' form, without
I/O, `Link` carries them, and `Handover` says what follows from each.

| from | kind | what it says |
| --- | --- | --- |
| new | `hello` | here is another process, of this version, at this time of its clock |
| old | `state` | its phase, the list, what is known of each instance; several, the last one marked |
| new | `serving` | it takes the clients from here on |
| old | `connection` | one of its connections, by descriptor, with the job that waits there if there is one |
| old | `share` | how many descriptors and bytes it still holds |
| both | `call`, `called` | a call-back for a job that is not here; whether it has been heard |

A list that one message can't take goes as several of `list_part` in place of one `list`. A process of an
earlier version passes those over, and asks discovery for the list.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import socket
import struct
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Protocol

from loguru import logger

from pulleyroute.net.discovery import DiscoveryClient
from pulleyroute.net.downstream import Downstream, read_call
from pulleyroute.net.host import Host
from pulleyroute.net.lifecycle import Phase
from pulleyroute.net.loop import READABLE, WRITABLE, Coroutine, Loop, Task, Wait
from pulleyroute.net.requests import Call

VERSION = 1
# A request body of 64 KiB and its head fit, and the message fits into the socket's send buffer.
MAX_MESSAGE_BYTES = 180 * 1024
MAX_PART_BYTES = 160 * 1024  # of a list in one message; the rest of the message needs room too
STATE_TIMEOUT_US = 1_000_000  # for all of the old process's state
CALLBACK_TIMEOUT_US = 1_000_000  # without a confirmation by then, the instance has to call back again
CALLBACK_POLL_US = 2_000  # between two looks whether it has come
SEND_TIMEOUT_US = 1_000_000
USAGE_INTERVAL_US = 100_000

Values = dict[str, Any]
# What is done with a message: its kind, its values, its body and the socket that came with it.
MessageHandler = Callable[[str, Values, bytes, socket.socket | None], None]


class MessageError(ValueError):
    """A message is not in form."""


def encode_message(kind: str, values: Values, body: bytes = b"") -> bytes:
    """A message: its head as JSON, a line's end, its body."""
    return json.dumps({**values, "kind": kind}, separators=(",", ":")).encode() + b"\n" + body


def decode_message(data: bytes) -> tuple[str, Values, bytes]:
    """Its kind, its values and its body; raises MessageError."""
    head, end, body = data.partition(b"\n")
    try:
        values = json.loads(head)
    except (ValueError, RecursionError):
        raise MessageError("a message's head is not JSON") from None
    if not end or not isinstance(values, dict) or not isinstance(values.get("kind"), str):
        raise MessageError("a message has no kind")
    return values.pop("kind"), values, body


class Link:
    """One connection between two processes. Owns the socket; `gone` is called once when it ends."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self._loop, self._sock = loop, sock
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * MAX_MESSAGE_BYTES)
        self.closed = False
        self.shift = 0  # from the other's clock to this one's
        self.on_message: MessageHandler = lambda kind, values, body, sock: None
        self.on_closed: Callable[[], None] = lambda: None
        self._task: Task | None = None

    def start(self) -> None:
        """Begin to read."""
        self._task = self._loop.spawn(self._read_messages(), "hand-over")

    def handshake(self, values: Values) -> None:
        """Take the other's version, which has to be this one's, and its clock."""
        if values["version"] != VERSION:
            raise MessageError(f"it speaks version {values['version']}, this process {VERSION}")
        self.shift = self._loop.now() - values["now"]

    def send(self, kind: str, values: Values, body: bytes = b"", fd: int | None = None) -> bool:
        """Whether it is with the kernel, and so the other's; nothing of it is where not."""
        if self.closed:
            return False
        data = encode_message(kind, values, body)
        try:
            if fd is None:
                self._sock.send(data)
            else:
                socket.send_fds(self._sock, [data], [fd])
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as exc:
            if len(data) <= MAX_MESSAGE_BYTES:
                self.close(str(exc))
            return False
        return True

    def deliver(self, kind: str, values: Values) -> Coroutine[bool]:
        """Send, waiting for room where there is none; whether it went."""
        until = self._loop.now() + SEND_TIMEOUT_US
        while not self.send(kind, values):
            if self.closed or self._loop.now() >= until:
                return False
            yield Wait(self._sock.fileno(), WRITABLE, min(until, self._loop.now() + USAGE_INTERVAL_US))
        return True

    def close(self, why: str) -> None:
        if self.closed:
            return
        self.closed = True
        logger.bind(event="handover.ended").info("hand-over: the other process is gone: {}", why)
        if self._task is not None:
            self._task.cancel()
        self._loop.forget(self._sock.fileno())
        self._sock.close()
        self.on_closed()

    def _read_messages(self) -> Coroutine[None]:
        while True:
            try:
                data, fds, flags, _ = socket.recv_fds(self._sock, 2 * MAX_MESSAGE_BYTES, 1)
            except (BlockingIOError, InterruptedError):
                yield Wait(self._sock.fileno(), READABLE)
                continue
            except OSError as exc:
                self.close(str(exc))
                return
            if not data:
                self.close("it has closed the connection")
                return
            sock = socket.socket(fileno=fds[0]) if fds else None
            try:
                if flags & socket.MSG_TRUNC:
                    raise MessageError("a message is too long")
                self.on_message(*decode_message(data), sock)
            except Exception as exc:
                # Guards against another version, or a mistake, that both would go on with.
                logger.bind(event="handover.unreadable").opt(exception=exc).error(
                    "hand-over: a message can't be used: {}", exc
                )
                if sock is not None:
                    sock.close()
                self.close("a message can't be used")
                return
            if self.closed:
                return


class ResourceBudget(Protocol):
    """What the process may hold; `other` is what another process of the dispatcher holds of it."""

    def usage(self) -> tuple[int, int]: ...
    def set_peer_usage(self, other: tuple[int, int] | None) -> None: ...


class Handover:
    """Owns the meeting place and the links: to the process before this one, and to the one after it."""

    def __init__(
        self,
        loop: Loop,
        path: str,
        clients: Downstream,
        host: Host,
        discovery: DiscoveryClient,
        budget: ResourceBudget,
    ) -> None:
        """`path`: the meeting place, from `handover_socket_path`."""
        self._loop, self._clients, self._host, self._discovery = loop, clients, host, discovery
        self._budget = budget
        self._path = path
        self._socket: socket.socket | None = None
        self._accepting: Task | None = None
        self._predecessor: Link | None = None
        self._successor: Link | None = None
        self._state_complete = False  # the state has come, all of it
        self._call_numbers = itertools.count()
        self._pending_calls: dict[int, bool | None] = {}  # call-backs on the way, and what was answered
        clients.elsewhere = self.relay_call

    # The new process

    def take_over(self, listener: socket.socket) -> Coroutine[None]:
        """Take what an old process hands over, if there is one that answers, and then serve."""
        phase = Phase.SERVING
        sock = self._connect()
        if sock is not None:
            link = self._predecessor = Link(self._loop, sock)
            state: list[Values] = []
            link.on_message, link.on_closed = (
                self._predecessor_handler(link, state),
                self._on_predecessor_closed,
            )
            link.start()
            until = self._loop.now() + STATE_TIMEOUT_US
            link.send("hello", {"version": VERSION, "now": self._loop.now()})
            while not (link.closed or self._state_complete) and self._loop.now() < until:
                yield Wait(until=min(until, self._loop.now() + 5_000))
            phase = self._apply_state(link, state)
        # The old process goes on until then; without one, clients wait in the listener's queue.
        self._discovery.freshness.when_usable(lambda: self._serve(listener, phase))

    def _serve(self, listener: socket.socket, phase: Phase) -> None:
        """Take the clients, in the phase that the old process was in."""
        if self._clients.lifecycle.phase is Phase.ENDING:
            return  # SIGTERM came first: the old process, if there is one, goes on
        self._clients.listener.listen_on(listener)
        self._clients.lifecycle.serve()
        if phase is Phase.STANDBY:
            self._clients.standby()
        self.open_handover_socket()
        if self._predecessor is not None:
            self._predecessor.send("serving", {})
        logger.bind(event="serving").info(
            "taking clients{}", "" if self._predecessor is None else ", taken over"
        )

    def _connect(self) -> socket.socket | None:
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            sock.setblocking(False)
            sock.connect(self._path)
            if not is_same_user(sock):
                raise OSError("another user's process is there")
        except OSError as exc:
            # No file, a stale one, a process that has hung up: there is nobody to take over from.
            logger.bind(event="handover.alone").info("hand-over: nobody to take over from: {}", exc)
            if sock is not None:
                sock.close()
            return None
        return sock

    def _predecessor_handler(self, link: Link, state: list[Values]) -> MessageHandler:
        def on_message(kind: str, values: Values, body: bytes, sock: socket.socket | None) -> None:
            if kind == "state":
                link.handshake(values)
                state.append(values)
                self._state_complete = values["last"]
            elif kind == "connection" and sock is not None:
                self._clients.receive(sock, values, body, link.shift)
            elif kind == "share":
                self._budget.set_peer_usage((values["descriptors"], values["bytes"]))
                self._clients.theirs = frozenset(values["jobs"])
            else:
                self._handle_call_message(link, kind, values, body)

        return on_message

    def _apply_state(self, link: Link, state: list[Values]) -> Phase:
        """Put the old process's state in force; what has not come whole is left alone."""
        if not self._state_complete:
            # Guards the start against an old process that hangs: the new one does without it.
            link.close("it did not tell its state in time")
            return Phase.SERVING
        usable = any(values.get("usable") is True for values in state)
        try:
            for values in join_list_parts(state):
                if values.get("list") is not None:
                    # Discovery may have told this process more already than the old one knew.
                    recent = values["list"]["revision"] >= self._discovery.version
                    self._discovery.load_known(values["list"], confirmed=usable and recent)
                    # At once: what discovery has told the old one since is not to be missed.
                    self._discovery.watch(True)
                for item in values.get("known", []):
                    self._host.learn(item, link.shift)
        except Exception as exc:
            # Guards the start: whatever the old process says, the new one has to serve.
            logger.bind(event="handover.unreadable").opt(exception=exc).error(
                "hand-over: the state can't be used: {}", exc
            )
            link.close("its state can't be used")
            return Phase.SERVING
        return Phase.STANDBY if state[0].get("phase") == Phase.STANDBY.value else Phase.SERVING

    def _on_predecessor_closed(self) -> None:
        self._predecessor = None
        self._clients.theirs = frozenset()
        self._budget.set_peer_usage(None)

    # The old process

    def open_handover_socket(self) -> None:
        """Be found by the next process; without it one that comes starts alone."""
        try:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            self._socket.setblocking(False)
            fresh = f"{self._path}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(fresh)
            self._socket.bind(fresh)
            os.chmod(fresh, 0o600)
            self._socket.listen(4)
            os.rename(fresh, self._path)  # in one step: there is always somebody, or a stale file
        except OSError as exc:
            # Normal where Unix sockets are refused or the folder is not writable.
            logger.bind(event="handover.none").warning("hand-over: no meeting place: {}", exc)
            self._close_handover_socket()
            return
        self._accepting = self._loop.spawn(self._accept_successors(self._socket), "hand-over door")

    def _close_handover_socket(self) -> None:
        if self._accepting is not None:
            self._accepting.cancel()
            self._accepting = None
        if self._socket is not None:
            self._loop.forget(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _accept_successors(self, listening: socket.socket) -> Coroutine[None]:
        while True:
            try:
                sock, _ = listening.accept()
            except (BlockingIOError, InterruptedError):
                yield Wait(listening.fileno(), READABLE)
                continue
            except OSError as exc:
                logger.bind(event="handover.none").warning("hand-over: cannot be met: {}", exc)
                return
            if not is_same_user(sock):
                sock.close()
                continue
            link = Link(self._loop, sock)
            link.on_message = self._successor_handler(link)
            link.start()

    def _successor_handler(self, link: Link) -> MessageHandler:
        def on_message(kind: str, values: Values, body: bytes, sock: socket.socket | None) -> None:
            if kind == "hello":
                link.handshake(values)
                self._loop.spawn(self._send_state(link), "hand-over state")
            elif kind == "serving":
                self._hand_over(link)
            else:
                self._handle_call_message(link, kind, values, body)

        return on_message

    def _send_state(self, link: Link) -> Coroutine[None]:
        """Tell the state, in parts that a socket takes."""
        known = self._host.knowledge()
        members = self._discovery.entries()
        usable = self._discovery.freshness.usable
        parts: list[Values] = [{"phase": self._clients.lifecycle.phase.value, "usable": usable}]
        # The list first: what is known of an instance goes to one that is listed.
        parts += list_messages(self._discovery.version, members)
        parts += [{"known": part} for part in split_by_size(known)]
        for number, part in enumerate(parts):
            values = {**part, "version": VERSION, "now": self._loop.now(), "last": number == len(parts) - 1}
            if not (yield from link.deliver("state", values)):
                link.close("it takes no state")
                return

    def _hand_over(self, link: Link) -> None:
        """The new process serves: move everything there."""
        logger.bind(event="handover.begun").info("hand-over: another process takes the clients")
        self._successor = link
        link.on_closed = self._on_successor_closed
        self._close_handover_socket()
        self._clients.hand(lambda values, body, fd: link.send("connection", values, body, fd))
        self._loop.spawn(self._report_usage(link), "hand-over shares")

    def _report_usage(self, link: Link) -> Coroutine[None]:
        while not link.closed:
            descriptors, held = self._budget.usage()
            # Those that could not move yet: their ids are taken for both processes.
            link.send("share", {"descriptors": descriptors, "bytes": held, "jobs": self._host.ids()})
            yield Wait(until=self._loop.now() + USAGE_INTERVAL_US)

    def _on_successor_closed(self) -> None:
        """The new process is gone: unless this one was told to end, it goes on as before."""
        self._successor = None
        self._clients.resume()
        if self._clients.lifecycle.takes_clients:
            self.open_handover_socket()

    # Call-backs

    def relay_call(self, call: Call, body: bytes) -> Coroutine[bool]:
        """A call-back for a job that is not here; False if the holder may not have heard it."""
        for link in (self._predecessor, self._successor):
            if link is not None:
                heard = yield from self._ask_peer(link, call.txn, body)
                if heard is not False:
                    return heard is True
        # Nobody has it, or it moved here while its call-back was asked about: then it is known by now.
        self._host.call(call)
        return True

    def _ask_peer(self, link: Link, txn: str, body: bytes) -> Coroutine[bool | None]:
        """Whether the process at the link has the job and has heard the call; None if it does not say."""
        number, until = next(self._call_numbers), self._loop.now() + CALLBACK_TIMEOUT_US
        self._pending_calls[number] = None
        try:
            sent = False
            while not link.closed and self._loop.now() < until and self._pending_calls[number] is None:
                sent = sent or link.send("call", {"number": number, "txn": txn}, body)
                yield Wait(until=min(until, self._loop.now() + CALLBACK_POLL_US))
            return False if link.closed else self._pending_calls[number]
        finally:
            del self._pending_calls[number]

    def _handle_call_message(self, link: Link, kind: str, values: Values, body: bytes) -> None:
        if kind == "called":
            if values["number"] in self._pending_calls:
                self._pending_calls[values["number"]] = bool(values["heard"])
        elif kind == "call":
            if self._host.knows(values["txn"]):
                self._host.call(read_call(body, self._clients.settings))
                link.send("called", {"number": values["number"], "heard": True})
                return
            on = self._predecessor if link is self._successor else self._successor
            if on is None:
                link.send("called", {"number": values["number"], "heard": False})
            else:  # guards two upgrades in a row: the one beyond may have it
                self._loop.spawn(self._forward_call(link, on, values, body), "hand-over call")
        else:
            raise MessageError(f"a message of kind {kind}")

    def _forward_call(self, link: Link, on: Link, values: Values, body: bytes) -> Coroutine[None]:
        heard = yield from self._ask_peer(on, values["txn"], body)
        if heard is not None:  # else the one that asks is left to its own time
            link.send("called", {"number": values["number"], "heard": heard})


def split_by_size(items: list[Any]) -> Iterator[list[Any]]:
    """The items in their order, in lists of at most `MAX_PART_BYTES` bytes of JSON each, or of one item."""
    part: list[Any] = []
    size = 0
    for item in items:
        more = len(json.dumps(item, separators=(",", ":"))) + 1
        if part and size + more > MAX_PART_BYTES:
            yield part
            part, size = [], 0
        part.append(item)
        size += more
    if part:
        yield part


def list_messages(version: int, members: list[Any]) -> list[Values]:
    """The list of instances as values of `state` messages."""
    parts = [{"revision": version, "complete": True, "members": part} for part in split_by_size(members)]
    if len(parts) > 1:
        return [{"list_part": part} for part in parts]
    return [{"list": {"revision": version, "complete": True, "members": members}}]


def join_list_parts(state: list[Values]) -> list[Values]:
    """The state with a list that came in parts as one `list`, ahead of what is known of its instances."""
    parts = [values["list_part"] for values in state if "list_part" in values]
    if not parts:
        return state
    members = [item for part in parts for item in part["members"]]
    return [{"list": {**parts[-1], "members": members}}, *state]


def handover_socket_path(folder: str, listener: socket.socket) -> str:
    """Where the processes that share this listener meet, and nobody else who uses the folder."""
    host, port = listener.getsockname()
    return str(Path(folder) / f"pulleyroute-{host}-{port}.sock")


def is_same_user(sock: socket.socket) -> bool:
    """Whether the process at the other end is of the same user: jobs are handed to nobody else."""
    _, user, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(user == os.getuid())


def inherited_listener(text: str) -> socket.socket:
    """The listening socket that `$PROXY_FD` names; raises ValueError if it names none."""
    try:
        number = int(text)
        if number < 3:
            raise ValueError
        sock = socket.socket(fileno=number)
    except (ValueError, OverflowError, OSError):
        raise ValueError(f"PROXY_FD is {text!r}, not the number of an open socket") from None
    listens = (
        sock.family == socket.AF_INET
        and sock.type == socket.SOCK_STREAM
        and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    )
    if not listens:
        sock.detach()
        raise ValueError(f"PROXY_FD is {text!r}, not a socket that listens for TCP over IPv4")
    sock.set_inheritable(False)
    return sock
