"""A gRPC instance on grpcio with generic handlers that serves every kind of call as its metadata asks.

The behaviour of a call is set by the call's own metadata, so that one instance serves every test case:

| key | effect |
| --- | --- |
| `x-id` | the request's id in the event log |
| `x-status` | end with this status code, as a number |
| `x-details` | status message |
| `x-count` | number of answers of a server-streaming method; 3 by default |
| `x-size` | bytes of each answer; without it an answer repeats the request message |
| `x-wait-ms` | delay before the first answer |
| `x-initial` | `1`: send initial metadata |
| `x-early` | `1`: answer `early` without reading the requests (Unary and Gather) |
| `x-compress` | `1`: compress the answers with gzip |
| `x-fail-after` | number of answers before the status |
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent import futures
from typing import Any

import grpc

from pulleyroute.emulator.book import EventLog

STATUS_BY_NUMBER = {code.value[0]: code for code in grpc.StatusCode}
SERVER_OPTIONS = [
    ("grpc.max_receive_message_length", -1),
    ("grpc.max_send_message_length", -1),
    ("grpc.so_reuseport", 0),
    ("grpc.http2.max_ping_strikes", 0),
]


class GrpcInstance(grpc.GenericRpcHandler):  # type: ignore[misc]
    """One instance. The end of a method's name selects the kind of call.

    Unary, Gather (client streaming), Spread (server streaming) or Echo (bidirectional).
    """

    def __init__(
        self, name: str, event_log: EventLog, threads: int = 32, credentials: Any = None, mean_ms: float = 0.0
    ) -> None:
        """Start listening. Calls without `x-wait-ms` are delayed by `mean_ms`."""
        self.name, self._event_log, self._default_delay = name, event_log, mean_ms / 1000
        self._server = grpc.server(futures.ThreadPoolExecutor(threads), options=SERVER_OPTIONS)
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
                lambda request, context: self._answer_once(path, iter([request]), context)
            )
        if path.endswith("Gather"):
            return grpc.stream_unary_rpc_method_handler(
                lambda requests, context: self._answer_once(path, requests, context)
            )
        if path.endswith("Spread"):
            return grpc.unary_stream_rpc_method_handler(
                lambda request, context: self._answer_stream(path, iter([request]), context, False)
            )
        if path.endswith("Echo"):
            return grpc.stream_stream_rpc_method_handler(
                lambda requests, context: self._answer_stream(path, requests, context, True)
            )
        return None

    def _begin(self, path: str, context: Any) -> dict[str, Any]:
        pairs = list(context.invocation_metadata())
        metadata = dict(pairs)
        if "x-id" in metadata:
            self._event_log.record_attempt(metadata["x-id"], path.split("/")[1], self.name)
        custom = [(key, value) for key, value in pairs if key.startswith("x-")]
        context.set_trailing_metadata(
            [(f"seen-{key}", value) for key, value in custom if not key.startswith("x-id")][:20]
        )
        if metadata.get("x-initial") == "1":
            context.send_initial_metadata(
                (("x-first", "1"), ("x-first", "2"), ("x-raw-bin", b"\x00\xff\x01"))
            )
        delay = float(metadata.get("x-wait-ms", 0)) / 1000 or self._default_delay
        end = time.monotonic() + delay
        while time.monotonic() < end and context.is_active():
            time.sleep(min(0.02, max(0.0, end - time.monotonic())))
        return metadata

    def _set_status(self, metadata: dict[str, Any], context: Any) -> None:
        status = int(metadata.get("x-status", 0))
        if status:
            context.set_code(STATUS_BY_NUMBER[status])
            context.set_details(metadata.get("x-details", ""))

    def _answer_once(self, path: str, requests: Iterator[bytes], context: Any) -> bytes:
        metadata = self._begin(path, context)
        if metadata.get("x-early") == "1":
            body = b"early"
        else:
            body = b"".join(requests)
        if metadata.get("x-compress") == "1":
            context.set_compression(grpc.Compression.Gzip)
        self._set_status(metadata, context)
        return b"\x07" * int(metadata["x-size"]) if "x-size" in metadata else body

    def _answer_stream(
        self, path: str, requests: Iterator[bytes], context: Any, echo: bool
    ) -> Iterator[bytes]:
        metadata = self._begin(path, context)
        if metadata.get("x-compress") == "1":
            context.set_compression(grpc.Compression.Gzip)
        limit = int(metadata.get("x-fail-after", -1))
        source: Iterator[bytes] = (
            requests if echo else iter([next(requests)] * int(metadata.get("x-count", 3)))
        )
        for sent, message in enumerate(source):
            if sent == limit:
                break
            yield b"\x07" * int(metadata["x-size"]) if "x-size" in metadata else message
        self._set_status(metadata, context)

    def stop(self, grace: float | None = None) -> None:
        """Stop the server.

        With `grace` (seconds), clients get GOAWAY and running calls may finish; without it all are aborted.
        """
        self._server.stop(grace).wait()
