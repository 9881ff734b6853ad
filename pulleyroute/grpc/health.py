"""`grpc.health.v1.Health`, answered by the dispatcher itself: Check and Watch."""

from __future__ import annotations

from collections.abc import Callable

from pulleyroute.grpc.head import closing, failure
from pulleyroute.grpc.messages import NOT_SERVING, SERVICE_UNKNOWN, SERVING, health_answer, health_service
from pulleyroute.grpc.status import Status
from pulleyroute.net.http import Headers
from pulleyroute.net.http2 import Stream

CHECK, WATCH = b"/grpc.health.v1.Health/Check", b"/grpc.health.v1.Health/Watch"
PATHS = (CHECK, WATCH)
LARGEST = 1024  # bytes of a request
HEAD: Headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]


class Health:
    """What is served: the empty name for the whole dispatcher, and every service that a route names."""

    def __init__(self, services: Callable[[str], bool]) -> None:
        self._services = services
        self._watches: set[HealthCall] = set()
        self.serving = True

    def status(self, service: str) -> int:
        if service and not self._services(service):
            return SERVICE_UNKNOWN
        return SERVING if self.serving else NOT_SERVING

    def watch(self, call: HealthCall) -> None:
        self._watches.add(call)

    def forget(self, call: HealthCall) -> None:
        self._watches.discard(call)

    def set_serving(self, serving: bool) -> None:
        """Tell those who watch."""
        self.serving = serving
        for call in list(self._watches):
            call.tell()


class HealthCall:
    """One call of the health service; owns its stream."""

    def __init__(self, health: Health, stream: Stream, path: bytes, ended: bool) -> None:
        self._health, self._stream, self._path = health, stream, path
        self._body = b""
        self._service: str | None = None
        if ended:
            self.ended([])

    def headers(self, headers: Headers, ended: bool) -> None: ...

    def data(self, data: bytes) -> None:
        self._stream.consumed(len(data))
        if len(self._body) <= LARGEST:
            self._body += data

    def ended(self, trailers: Headers) -> None:
        self._service = health_service(self._body)
        if self._service is None:
            self._stream.send_headers(failure(Status.INVALID_ARGUMENT, "not a HealthCheckRequest"), end=True)
            return
        status = self._health.status(self._service)
        if self._path == CHECK and status == SERVICE_UNKNOWN:
            self._stream.send_headers(failure(Status.NOT_FOUND, "no such service"), end=True)
            return
        self._stream.send_headers(HEAD)
        self._stream.write(health_answer(status))
        if self._path == CHECK:
            self._stream.finish(closing(Status.OK, ""))
        else:
            self._health.watch(self)

    def tell(self) -> None:
        """The state has changed."""
        if self._service is not None and self._stream.pending_bytes == 0:
            self._stream.write(health_answer(self._health.status(self._service)))

    def sent(self, count: int) -> None: ...

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        self._health.forget(self)
