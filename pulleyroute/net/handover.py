"""Hand-over between two processes of one dispatcher, from the old one that serves to the new one.

The processes connect through a Unix socket in `$TMPDIR`, of type SOCK_SEQPACKET: a message arrives complete
or not at all, together with the descriptor attached to it. `encode_message` and `decode_message` define the
format of the messages and do no I/O, `Link` carries them, and `Handover` implements the protocol.

| from | kind | meaning |
| --- | --- | --- |
| new | `hello` | the version and the clock of the new process |
| old | `state` | the phase, the list of instances, what is known of each; several messages, the last marked |
| new | `serving` | the new process accepts clients from now on |
| old | `connection` | one client connection, by descriptor, with the job that waits on it if there is one |
| old | `share` | the descriptors, bytes and job ids that the old process still holds |
| both | `call`, `called` | a call-back for a job that the sender does not have; whether it was delivered |

A list that does not fit into one message is sent as several `list_part` values in place of one `list`. A
process of an earlier version ignores those and fetches the list from discovery.
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
from pulleyroute.net.downstream import Downstream
from pulleyroute.net.host import Host
from pulleyroute.net.lifecycle import Phase
from pulleyroute.net.loop import READABLE, WRITABLE, Coroutine, Loop, Task, Wait
from pulleyroute.net.request_parsing import read_call
from pulleyroute.net.requests import InstanceCallback

VERSION = 1  # of the protocol; both processes must have the same
# A request body of 64 KiB and its head fit, and the message fits into the socket's send buffer.
MAX_MESSAGE_BYTES = 180 * 1024
MAX_PART_BYTES = 160 * 1024  # of a list, or of what is known of instances, which leaves room for the head
STATE_TIMEOUT_US = 1_000_000  # for the complete state of the old process
CALLBACK_TIMEOUT_US = 1_000_000  # without a confirmation by then, the instance has to call back again
CALLBACK_POLL_US = 2_000  # between two checks for the confirmation
SEND_TIMEOUT_US = 1_000_000
USAGE_INTERVAL_US = 100_000  # between two `share` messages, and at most between two attempts to send

Values = dict[str, Any]
# Handles a message: its kind, its values, its body and the socket that was attached to it, if any.
MessageHandler = Callable[[str, Values, bytes, socket.socket | None], None]


class MessageError(ValueError):
    """A message is malformed or does not fit the protocol."""


def encode_message(kind: str, values: Values, body: bytes = b"") -> bytes:
    """Return a message: its head as JSON, a newline, its body."""
    return json.dumps({**values, "kind": kind}, separators=(",", ":")).encode() + b"\n" + body


def decode_message(data: bytes) -> tuple[str, Values, bytes]:
    """Return the kind, the values and the body of a message; raises MessageError."""
    head, end, body = data.partition(b"\n")
    try:
        values = json.loads(head)
    except (ValueError, RecursionError):
        raise MessageError("the head of a message is not JSON") from None
    if not end or not isinstance(values, dict) or not isinstance(values.get("kind"), str):
        raise MessageError("a message has no kind")
    return values.pop("kind"), values, body


class Link:
    """One connection between two processes.

    Owns the socket. `on_closed` is called once, when the connection ends.
    """

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self._loop, self._sock = loop, sock
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * MAX_MESSAGE_BYTES)
        self.closed = False
        self.shift = 0  # microseconds to add to a time of the peer's clock
        self.on_message: MessageHandler = lambda kind, values, body, sock: None
        self.on_closed: Callable[[], None] = lambda: None
        self._task: Task | None = None

    def start(self) -> None:
        """Start to read messages."""
        self._task = self._loop.spawn(self._read_messages(), "hand-over")

    def handshake(self, values: Values) -> None:
        """Set `shift` from the clock of the peer; raises MessageError if its version is another."""
        if values["version"] != VERSION:
            raise MessageError(f"the other process speaks version {values['version']}, this one {VERSION}")
        self.shift = self._loop.now() - values["now"]

    def send(self, kind: str, values: Values, body: bytes = b"", fd: int | None = None) -> bool:
        """Send a message, with a descriptor if given; returns whether the kernel accepted all of it.

        A message that was accepted will reach the peer. Of one that was not, nothing is sent.
        """
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
        """Send a message, waiting until the socket has room; returns whether it was sent in time."""
        until = self._loop.now() + SEND_TIMEOUT_US
        while not self.send(kind, values):
            if self.closed or self._loop.now() >= until:
                return False
            yield Wait(self._sock.fileno(), WRITABLE, min(until, self._loop.now() + USAGE_INTERVAL_US))
        return True

    def close(self, why: str) -> None:
        """End the connection; `why` goes into the log."""
        if self.closed:
            return
        self.closed = True
        logger.bind(event="handover.ended").info("hand-over: connection to the other process ended: {}", why)
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
                self.close("closed by the other process")
                return
            sock = socket.socket(fileno=fds[0]) if fds else None
            try:
                if flags & socket.MSG_TRUNC:
                    raise MessageError(f"a message is longer than {2 * MAX_MESSAGE_BYTES} bytes")
                self.on_message(*decode_message(data), sock)
            except Exception as exc:
                # The other process may have another version or a bug. Neither process may act on half a
                # hand-over, so any error here ends the connection.
                logger.bind(event="handover.unreadable").opt(exception=exc).error(
                    "hand-over: invalid message: {}", exc
                )
                if sock is not None:
                    sock.close()
                self.close("it sent an invalid message")
                return
            if self.closed:
                return


class ResourceBudget(Protocol):
    """The descriptors and bytes that the processes of one dispatcher may hold together.

    `usage` returns those that this process holds, and `set_peer_usage` sets those that the other one holds,
    None if there is no other.
    """

    def usage(self) -> tuple[int, int]: ...
    def set_peer_usage(self, usage: tuple[int, int] | None) -> None: ...


class Handover:
    """Runs both sides of a hand-over.

    Owns the socket on which the next process connects, the link to the predecessor, which served before this
    process, and the link to the successor.
    """

    def __init__(
        self,
        loop: Loop,
        path: str,
        clients: Downstream,
        host: Host,
        discovery: DiscoveryClient,
        budget: ResourceBudget,
    ) -> None:
        """`path`: of the hand-over socket, from `handover_socket_path`."""
        self._loop, self._clients, self._host, self._discovery = loop, clients, host, discovery
        self._budget = budget
        self._path = path
        self._socket: socket.socket | None = None
        self._accepting: Task | None = None
        self._predecessor: Link | None = None
        self._successor: Link | None = None
        self._state_complete = False  # the last `state` message of the predecessor has arrived
        self._call_numbers = itertools.count()
        self._pending_calls: dict[int, bool | None] = {}  # call-backs sent to a peer, with its answer
        clients.forward_callback = self.relay_call

    # The new process

    def take_over(self, listener: socket.socket) -> Coroutine[None]:
        """Take over from the old process if there is one that answers, then serve on `listener`."""
        phase = Phase.SERVING
        sock = self._connect()
        if sock is not None:
            link = self._predecessor = Link(self._loop, sock)
            state: list[Values] = []
            link.on_message, link.on_closed = self._predecessor_handler(link, state), self._predecessor_closed
            link.start()
            until = self._loop.now() + STATE_TIMEOUT_US
            link.send("hello", {"version": VERSION, "now": self._loop.now()})
            while not (link.closed or self._state_complete) and self._loop.now() < until:
                yield Wait(until=min(until, self._loop.now() + 5_000))
            phase = self._apply_state(link, state)
        # Until the list may be used, the old process serves. If there is none, clients wait in the backlog of
        # the listener.
        self._discovery.freshness.when_usable(lambda: self._serve(listener, phase))

    def _serve(self, listener: socket.socket, phase: Phase) -> None:
        """Accept clients, in the phase of the old process."""
        if self._clients.lifecycle.phase is Phase.ENDING:
            return  # SIGTERM came first; an old process, if there is one, continues to serve
        self._clients.listener.listen_on(listener)
        self._clients.lifecycle.serve()
        if phase is Phase.STANDBY:
            self._clients.standby()
        self.open_handover_socket()
        if self._predecessor is not None:
            self._predecessor.send("serving", {})
        logger.bind(event="serving").info(
            "accepting clients{}", "" if self._predecessor is None else ", taken over from another process"
        )

    def _connect(self) -> socket.socket | None:
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            sock.setblocking(False)
            sock.connect(self._path)
            if not is_same_user(sock):
                raise OSError("the process at the socket belongs to another user")
        except OSError as exc:
            # There is no socket file, or a stale one, or its process has ended.
            logger.bind(event="handover.alone").info("hand-over: no process to take over from: {}", exc)
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
                self._clients.take_over_connection(sock, values, body, link.shift)
            elif kind == "share":
                self._budget.set_peer_usage((values["descriptors"], values["bytes"]))
                self._clients.predecessor_ids = frozenset(values["jobs"])
            else:
                self._handle_call_message(link, kind, values, body)

        return on_message

    def _apply_state(self, link: Link, state: list[Values]) -> Phase:
        """Apply the state of the old process, unless it is incomplete; returns the phase to serve in."""
        if not self._state_complete:
            # The old process may hang. The new one then starts without its state.
            link.close(f"its state did not arrive within {STATE_TIMEOUT_US // 1_000_000} s")
            return Phase.SERVING
        usable = any(values.get("usable") is True for values in state)
        try:
            for values in join_list_parts(state):
                if values.get("list") is not None:
                    # Discovery may already have given this process a newer list than the old one has.
                    recent = values["list"]["revision"] >= self._discovery.version
                    self._discovery.load_known(values["list"], confirmed=usable and recent)
                    # Watch at once, so that no change since the old process's revision is missed.
                    self._discovery.watch(True)
                for item in values.get("known", []):
                    self._host.import_state(item, link.shift)
        except Exception as exc:
            # The new process has to serve, whatever the old one has sent.
            logger.bind(event="handover.unreadable").opt(exception=exc).error(
                "hand-over: invalid state: {}", exc
            )
            link.close("it sent an invalid state")
            return Phase.SERVING
        return Phase.STANDBY if state[0].get("phase") == Phase.STANDBY.value else Phase.SERVING

    def _predecessor_closed(self) -> None:
        self._predecessor = None
        self._clients.predecessor_ids = frozenset()
        self._budget.set_peer_usage(None)

    # The old process

    def open_handover_socket(self) -> None:
        """Listen for the next process. Without this socket, the next process starts without a hand-over."""
        try:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            self._socket.setblocking(False)
            temporary = f"{self._path}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(temporary)
            self._socket.bind(temporary)
            os.chmod(temporary, 0o600)
            self._socket.listen(4)
            os.rename(temporary, self._path)  # atomic: at any moment the path is a live or a stale socket
        except OSError as exc:
            # Expected where Unix sockets are not permitted or the directory is not writable.
            logger.bind(event="handover.none").warning("hand-over: cannot listen for a successor: {}", exc)
            self._close_handover_socket()
            return
        self._accepting = self._loop.spawn(self._accept_successors(self._socket), "hand-over listener")

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
                logger.bind(event="handover.none").warning("hand-over: cannot accept a successor: {}", exc)
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
        """Send the state, in messages that fit into the socket's send buffer."""
        known = self._host.export_state()
        members = self._discovery.entries()
        usable = self._discovery.freshness.usable
        parts: list[Values] = [{"phase": self._clients.lifecycle.phase.value, "usable": usable}]
        # The list goes first: the new process applies what is known only to instances that are listed.
        parts += list_messages(self._discovery.version, members)
        parts += [{"known": part} for part in split_by_size(known)]
        for number, part in enumerate(parts):
            values = {**part, "version": VERSION, "now": self._loop.now(), "last": number == len(parts) - 1}
            if not (yield from link.deliver("state", values)):
                link.close("the state could not be sent in time")
                return

    def _hand_over(self, link: Link) -> None:
        """Move everything to the new process, which serves from now on."""
        logger.bind(event="handover.begun").info("hand-over: another process accepts the clients from now on")
        self._successor = link
        link.on_closed = self._successor_closed
        self._close_handover_socket()
        self._clients.hand_over_clients(lambda values, body, fd: link.send("connection", values, body, fd))
        self._loop.spawn(self._report_usage(link), "hand-over usage")

    def _report_usage(self, link: Link) -> Coroutine[None]:
        while not link.closed:
            descriptors, held = self._budget.usage()
            # Jobs that could not move yet: the new process must not accept their ids again.
            link.send("share", {"descriptors": descriptors, "bytes": held, "jobs": self._host.request_ids()})
            yield Wait(until=self._loop.now() + USAGE_INTERVAL_US)

    def _successor_closed(self) -> None:
        """The new process has ended: serve again, unless this process is stopping."""
        self._successor = None
        self._clients.resume()
        if self._clients.lifecycle.accepts_clients:
            self.open_handover_socket()

    # Call-backs

    def relay_call(self, call: InstanceCallback, body: bytes) -> Coroutine[bool]:
        """Deliver a call-back for a job that this process does not have.

        Returns False if the process that has the job may not have received the call-back.
        """
        for link in (self._predecessor, self._successor):
            if link is not None:
                delivered = yield from self._ask_peer(link, call.txn, body)
                if delivered is not False:
                    return delivered is True
        # No process has the job, or the job moved here in the meantime and is known by now.
        self._host.handle_callback(call)
        return True

    def _ask_peer(self, link: Link, txn: str, body: bytes) -> Coroutine[bool | None]:
        """Send a call-back to the process at the link.

        Returns True if that process delivered it, False if it does not have the job or the link is closed,
        and None if it did not answer in time.
        """
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
            if self._host.has_request(values["txn"]):
                self._host.handle_callback(read_call(body, self._clients.settings))
                link.send("called", {"number": values["number"], "heard": True})
                return
            target = self._predecessor if link is self._successor else self._successor
            if target is None:
                link.send("called", {"number": values["number"], "heard": False})
            else:  # with two upgrades in a row, the process behind the other link may have the job
                self._loop.spawn(self._forward_call(link, target, values, body), "hand-over call")
        else:
            raise MessageError(f"unknown message kind {kind}")

    def _forward_call(self, link: Link, target: Link, values: Values, body: bytes) -> Coroutine[None]:
        delivered = yield from self._ask_peer(target, values["txn"], body)
        if delivered is not None:  # without an answer, the process that asked runs into its own time-out
            link.send("called", {"number": values["number"], "heard": delivered})


def split_by_size(items: list[Any]) -> Iterator[list[Any]]:
    """Split the items, in order, into lists of at most `MAX_PART_BYTES` bytes of JSON, or of one item."""
    part: list[Any] = []
    size = 0
    for item in items:
        item_size = len(json.dumps(item, separators=(",", ":"))) + 1
        if part and size + item_size > MAX_PART_BYTES:
            yield part
            part, size = [], 0
        part.append(item)
        size += item_size
    if part:
        yield part


def list_messages(version: int, members: list[Any]) -> list[Values]:
    """Return the values of the `state` messages that carry the list of instances."""
    parts = [{"revision": version, "complete": True, "members": part} for part in split_by_size(members)]
    if len(parts) > 1:
        return [{"list_part": part} for part in parts]
    return [{"list": {"revision": version, "complete": True, "members": members}}]


def join_list_parts(state: list[Values]) -> list[Values]:
    """Return the state with the parts of a split list joined into one `list`, ahead of all other values."""
    parts = [values["list_part"] for values in state if "list_part" in values]
    if not parts:
        return state
    members = [item for part in parts for item in part["members"]]
    return [{"list": {**parts[-1], "members": members}}, *state]


def handover_socket_path(directory: str, listener: socket.socket) -> str:
    """Return the path of the hand-over socket, the same for all processes that share this listener."""
    host, port = listener.getsockname()
    return str(Path(directory) / f"pulleyroute-{host}-{port}.sock")


def is_same_user(sock: socket.socket) -> bool:
    """Whether the process at the other end runs as the same user; jobs are handed to no other."""
    _, user, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(user == os.getuid())


def inherited_listener(text: str) -> socket.socket:
    """Return the listening socket whose descriptor `$PROXY_FD` gives; raises ValueError if it is none."""
    try:
        number = int(text)
        if number < 3:
            raise ValueError
        sock = socket.socket(fileno=number)
    except (ValueError, OverflowError, OSError):
        raise ValueError(f"PROXY_FD is {text!r}, not the number of an open socket") from None
    is_listener = (
        sock.family == socket.AF_INET
        and sock.type == socket.SOCK_STREAM
        and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    )
    if not is_listener:
        sock.detach()
        raise ValueError(f"PROXY_FD is {text!r}, not a socket that listens for TCP over IPv4")
    sock.set_inheritable(False)
    return sock
