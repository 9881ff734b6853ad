"""The methods Check and Watch of `grpc.health.v1.Health`, which the dispatcher answers itself."""

from __future__ import annotations

from collections.abc import Callable

from pulleyroute.grpc.head import status_trailers, trailers_only
from pulleyroute.grpc.messages import (
    NOT_SERVING,
    SERVICE_UNKNOWN,
    SERVING,
    decode_health_request,
    encode_health_response,
)
from pulleyroute.grpc.status import Status
from pulleyroute.net.http import Headers
from pulleyroute.net.http2 import Stream

CHECK_PATH, WATCH_PATH = b"/grpc.health.v1.Health/Check", b"/grpc.health.v1.Health/Watch"
HEALTH_PATHS = (CHECK_PATH, WATCH_PATH)
MAX_REQUEST_BYTES = 1024  # data after that is dropped
RESPONSE_HEADERS: Headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]


class Health:
    """The health of the dispatcher (the empty service name) and of the services in its routes.

    `is_known` tells whether a service has a route.
    """

    def __init__(self, is_known: Callable[[str], bool]) -> None:
        self._is_known = is_known
        self._watches: set[HealthCall] = set()
        self.serving = True

    def status(self, service: str) -> int:
        """Return the serving status of a service, a value of `HealthCheckResponse.ServingStatus`."""
        if service and not self._is_known(service):
            return SERVICE_UNKNOWN
        return SERVING if self.serving else NOT_SERVING

    def add_watch(self, call: HealthCall) -> None:
        """Notify a Watch call of each change from now on."""
        self._watches.add(call)

    def remove_watch(self, call: HealthCall) -> None:
        """Stop notifying a call; does nothing if it is not a Watch call."""
        self._watches.discard(call)

    def set_serving(self, serving: bool) -> None:
        """Set whether the dispatcher serves, and notify the Watch calls."""
        self.serving = serving
        for call in list(self._watches):
            call.send_status()


class HealthCall:
    """One call of the health service. Owns its stream, as that stream's `StreamHandler`."""

    def __init__(self, health: Health, stream: Stream, path: bytes, ended: bool) -> None:
        self._health, self._stream, self._path = health, stream, path
        self._body = b""
        self._service: str | None = None
        if ended:
            self.ended([])

    def headers(self, headers: Headers, ended: bool) -> None: ...

    def data(self, data: bytes) -> None:
        self._stream.consumed(len(data))
        if len(self._body) <= MAX_REQUEST_BYTES:
            self._body += data

    def ended(self, trailers: Headers) -> None:
        self._service = decode_health_request(self._body)
        if self._service is None:
            self._stream.send_headers(
                trailers_only(Status.INVALID_ARGUMENT, "not a HealthCheckRequest"), end=True
            )
            return
        status = self._health.status(self._service)
        if self._path == CHECK_PATH and status == SERVICE_UNKNOWN:
            self._stream.send_headers(trailers_only(Status.NOT_FOUND, "no such service"), end=True)
            return
        self._stream.send_headers(RESPONSE_HEADERS)
        self._stream.write(encode_health_response(status))
        if self._path == CHECK_PATH:
            self._stream.finish(status_trailers(Status.OK, ""))
        else:
            self._health.add_watch(self)

    def send_status(self) -> None:
        """Send the current status to a Watch call, unless an earlier message still waits to be sent."""
        if self._service is not None and self._stream.pending_bytes == 0:
            self._stream.write(encode_health_response(self._health.status(self._service)))

    def sent(self, count: int) -> None: ...

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        self._health.remove_watch(self)
