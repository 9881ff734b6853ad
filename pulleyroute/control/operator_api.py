"""The operators' HTTP interface of a core member: orders and reads of the configuration.

An answer that can't be given for sure is a 503, after which the caller asks again, here or elsewhere.
"""

from __future__ import annotations

import json
import re
import socket
from collections.abc import Callable

from pulleyroute.control.driver import CoreDriver
from pulleyroute.control.messages import CallAnswer
from pulleyroute.net.buffers import BufferPool
from pulleyroute.net.http import ConnectionFailed, DeadlineExceeded, Headers, Malformed, Message, Stream
from pulleyroute.net.listener import Listener
from pulleyroute.net.loop import PEER_CLOSED, Coroutine, Loop, Task, Wait, WaitResult

CONFIG_PATH = b"/v1/config"
MAX_BODY_BYTES = 1024 * 1024
MAX_CONNECTIONS = 256
# Times are in microseconds.
IDLE_TIMEOUT = 30_000_000
ANSWER_TIMEOUT = 3_000_000  # for the answer of the core
WRITE_TIMEOUT = 5_000_000

UNAVAILABLE = 503
_VERSION = re.compile(rb'"?([0-9]{1,15})"?')
_Response = tuple[int, bytes, Headers]


class OperatorApi:
    """Owns the listener for operators and its connections."""

    def __init__(self, loop: Loop, pool: BufferPool, core: CoreDriver) -> None:
        self._loop, self._pool, self._core = loop, pool, core
        self._connections: dict[Stream, Task] = {}
        self.listener = Listener(loop, "operators", self._has_room, self._close_oldest, self._accept)

    def listen(self, address: tuple[str, int]) -> None:
        """Listen for operators; raises OSError if the address is not available."""
        self.listener.listen(address)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.listener.close()
        for task in list(self._connections.values()):
            task.cancel()

    def _has_room(self) -> bool:
        return len(self._connections) < MAX_CONNECTIONS or self._close_oldest()

    def _close_oldest(self) -> bool:
        for task in self._connections.values():
            task.cancel()
            return True
        return False

    def _accept(self, sock: socket.socket) -> None:
        stream = Stream(self._loop, self._pool, sock, server=True)
        task = Task(self._loop, self._serve(stream), "operator")
        self._connections[stream] = task
        task.start()

    def _serve(self, stream: Stream) -> Coroutine[None]:
        task = self._connections[stream]
        try:
            going = True
            while going:
                try:
                    message = yield from stream.request(self._loop.now() + IDLE_TIMEOUT, MAX_BODY_BYTES)
                    if message is None:
                        return
                    status, body, headers = yield from self._respond(stream, task, message)
                    close = False
                except Malformed as exc:
                    status, body, headers, close = exc.status, _error(str(exc)), [], True
                content_type = (b"Content-Type", b"application/json")
                going = yield from stream.answer(
                    status, body, [content_type, *headers], close, self._loop.now() + WRITE_TIMEOUT
                )
            yield from stream.linger()
        except (ConnectionFailed, DeadlineExceeded):
            return
        finally:
            self._connections.pop(stream, None)
            stream.close()

    def _respond(self, stream: Stream, task: Task, message: Message) -> Coroutine[_Response]:
        """Return the answer to a request."""
        path = message.target.partition(b"?")[0]
        if path != CONFIG_PATH:
            return 404, _error("no such call"), []
        if message.method == b"GET":
            answer = yield from self._wait_for_core(stream, task, self._core.read)
            if answer is None or answer.status != 200:
                return UNAVAILABLE, _error("the newest configuration is not known for sure"), []
            if answer.version == 0:
                return 404, _error("there is no configuration yet"), []
            return 200, answer.document.encode(), [(b"ETag", b"%d" % answer.version)]
        if message.method != b"PUT":
            return 405, _error("not with this method"), [(b"Allow", b"GET, PUT")]
        return (yield from self._order(stream, task, message))

    def _order(self, stream: Stream, task: Task, message: Message) -> Coroutine[_Response]:
        base = _VERSION.fullmatch(message.single_header(b"if-match") or b"")
        if base is None:
            return 400, _error("If-Match: expected the version that the configuration builds on"), []
        try:
            document = message.body.decode()
        except UnicodeDecodeError:
            return 400, _error("the body is not UTF-8"), []
        version = int(base[1])
        answer = yield from self._wait_for_core(
            stream, task, lambda on_answer: self._core.order(version, document, on_answer)
        )
        if answer is None or answer.status == UNAVAILABLE:
            return UNAVAILABLE, _error("the order may be taken or not; send it again"), []
        if answer.status == 200:
            return 200, json.dumps({"version": answer.version}).encode(), []
        reason = answer.document or f"version {answer.version} is in force"
        return answer.status, _error(reason), []

    def _wait_for_core(
        self, stream: Stream, task: Task, make: Callable[[Callable[[CallAnswer], None]], str]
    ) -> Coroutine[CallAnswer | None]:
        """Make a call and return its answer; None if there is none in time. Raises if the caller leaves."""
        answers: list[CallAnswer] = []

        def on_answer(answer: CallAnswer) -> None:
            answers.append(answer)
            task.wake()

        until = self._loop.now() + ANSWER_TIMEOUT
        call = make(on_answer)
        try:
            while not answers:
                result = yield Wait(stream.fileno(), PEER_CLOSED, until)
                if result is WaitResult.TIMED_OUT:
                    return None
                if result is WaitResult.READY and stream.peer_closed():
                    raise ConnectionFailed("the operator closed the connection")
        finally:
            self._core.forget(call)
        return answers[0]


def _error(text: str) -> bytes:
    return json.dumps({"error": text}).encode()
