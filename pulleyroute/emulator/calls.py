"""A gRPC box on grpcio with generic handlers: every kind of call, any status, any metadata, as the call asks
for.

What it does is said by the call's metadata, so that one box serves every case:

| key | what it asks for |
| --- | --- |
| `x-status` | end with this code, in numbers |
| `x-details` | its message |
| `x-count` | answers of a streaming method that is not an echo |
| `x-size` | bytes of each answer; without it an answer repeats what came |
| `x-wait-ms` | before the first answer |
| `x-initial` | `1`: send initial metadata |
| `x-fail-after` | answers before the status |
| `x-nack` | `1`: turn away as a marked nack, if it is not `x-ok` that names this box |
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent import futures
from typing import Any

import grpc

from pulleyroute.emulator.book import EventLog

CODES = {code.value[0]: code for code in grpc.StatusCode}
OPTIONS = [
    ("grpc.max_receive_message_length", -1),
    ("grpc.max_send_message_length", -1),
    ("grpc.so_reuseport", 0),
    ("grpc.http2.max_ping_strikes", 0),
]


class GrpcInstance(grpc.GenericRpcHandler):  # type: ignore[misc]
    """One box. Methods end in Unary, Gather (client streams), Spread (server streams) or Echo (both)."""

    def __init__(
        self, name: str, book: EventLog, threads: int = 32, credentials: Any = None, mean_ms: float = 0.0
    ) -> None:
        self.name, self._book, self._mean = name, book, mean_ms / 1000
        self._server = grpc.server(futures.ThreadPoolExecutor(threads), options=OPTIONS)
        self._server.add_generic_rpc_handlers((self,))
        if credentials is not None:
            port = self._server.add_secure_port("127.0.0.1:0", credentials)
        else:
            port = self._server.add_insecure_port("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        self._server.start()

    def service(self, details: Any) -> Any:
        path = details.method
        if path.endswith("Unary"):
            return grpc.unary_unary_rpc_method_handler(
                lambda request, context: self._one(path, iter([request]), context)
            )
        if path.endswith("Gather"):
            return grpc.stream_unary_rpc_method_handler(
                lambda requests, context: self._one(path, requests, context)
            )
        if path.endswith("Spread"):
            return grpc.unary_stream_rpc_method_handler(
                lambda request, context: self._many(path, iter([request]), context, False)
            )
        if path.endswith("Echo"):
            return grpc.stream_stream_rpc_method_handler(
                lambda requests, context: self._many(path, requests, context, True)
            )
        return None

    def _begin(self, path: str, context: Any) -> dict[str, Any]:
        pairs = list(context.invocation_metadata())
        asked = dict(pairs)
        if "x-id" in asked:
            self._book.record_attempt(asked["x-id"], path.split("/")[1], self.name)
        seen = [(key, value) for key, value in pairs if key.startswith("x-")]
        context.set_trailing_metadata(
            [(f"seen-{key}", value) for key, value in seen if not key.startswith("x-id")][:20]
        )
        if asked.get("x-initial") == "1":
            context.send_initial_metadata(
                (("x-first", "1"), ("x-first", "2"), ("x-raw-bin", b"\x00\xff\x01"))
            )
        wait = float(asked.get("x-wait-ms", 0)) / 1000 or self._mean
        end = time.monotonic() + wait
        while time.monotonic() < end and context.is_active():
            time.sleep(min(0.02, max(0.0, end - time.monotonic())))
        return asked

    def _end(self, asked: dict[str, Any], context: Any) -> None:
        status = int(asked.get("x-status", 0))
        if status:
            context.set_code(CODES[status])
            context.set_details(asked.get("x-details", ""))

    def _one(self, path: str, requests: Iterator[bytes], context: Any) -> bytes:
        asked = self._begin(path, context)
        if asked.get("x-early") == "1":
            body = b"early"
        else:
            body = b"".join(requests)
        if asked.get("x-compress") == "1":
            context.set_compression(grpc.Compression.Gzip)
        self._end(asked, context)
        return b"\x07" * int(asked["x-size"]) if "x-size" in asked else body

    def _many(self, path: str, requests: Iterator[bytes], context: Any, echo: bool) -> Iterator[bytes]:
        asked = self._begin(path, context)
        if asked.get("x-compress") == "1":
            context.set_compression(grpc.Compression.Gzip)
        limit = int(asked.get("x-fail-after", -1))
        source: Iterator[bytes] = requests if echo else iter([next(requests)] * int(asked.get("x-count", 3)))
        for sent, message in enumerate(source):
            if sent == limit:
                break
            yield b"\x07" * int(asked["x-size"]) if "x-size" in asked else message
        self._end(asked, context)

    def stop(self, grace: float | None = None) -> None:
        """With a grace, GOAWAY and the calls that run finish; without, all are cut."""
        self._server.stop(grace).wait()
