"""The status codes of gRPC, and what each means for a call: its ending, and whether it may have run. Pure.

The codes and the mappings from HTTP and HTTP/2 are those of the gRPC documents "Status codes and their use in
gRPC", "gRPC over HTTP2" and "HTTP to gRPC Status Code Mapping".
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from urllib.parse import unquote_to_bytes

from pulleyroute.interface import Outcome
from pulleyroute.net.requests import Ending


class Status(IntEnum):
    """The status codes of gRPC."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


@dataclass(slots=True, frozen=True)
class Classification:
    """What the status in an instance's response means for the call."""

    ending: Ending
    outcome: Outcome  # reported to the decision module
    may_have_run: bool
    retryable: bool = False  # on another instance, if the call's class allows it


# A status about the request itself counts as served: the client receives it unchanged, and another instance
# would give the same. Which codes count as server errors follows OpenTelemetry's semantic conventions for
# gRPC servers.
_SERVED = Classification(Ending.SERVED, Outcome.OK, True)
_SERVER_ERROR = Classification(Ending.FAILED, Outcome.ERROR, True)
_UNAVAILABLE = Classification(Ending.FAILED, Outcome.ERROR, True, retryable=True)
CLASSIFICATIONS: dict[Status, Classification] = {
    Status.OK: _SERVED,
    Status.CANCELLED: Classification(Ending.FAILED, Outcome.CANCELLED, True),
    Status.UNKNOWN: _SERVER_ERROR,
    Status.INVALID_ARGUMENT: _SERVED,
    Status.DEADLINE_EXCEEDED: Classification(Ending.FAILED, Outcome.TIMEOUT, True),
    Status.NOT_FOUND: _SERVED,
    Status.ALREADY_EXISTS: _SERVED,
    Status.PERMISSION_DENIED: _SERVED,
    # A quota is used up or a message is too large. Another instance is no more likely to accept the call,
    # unless the instance says when to retry.
    Status.RESOURCE_EXHAUSTED: Classification(Ending.FAILED, Outcome.CANCELLED, True),
    Status.FAILED_PRECONDITION: _SERVED,
    Status.ABORTED: _SERVED,
    Status.OUT_OF_RANGE: _SERVED,
    Status.UNIMPLEMENTED: Classification(Ending.FAILED, Outcome.CANCELLED, False),
    Status.INTERNAL: _SERVER_ERROR,
    Status.UNAVAILABLE: _UNAVAILABLE,
    Status.DATA_LOSS: _SERVER_ERROR,
    Status.UNAUTHENTICATED: _SERVED,
}
# A marked nack, by which an instance rejects a call without running it: UNAVAILABLE or RESOURCE_EXHAUSTED in
# a trailers-only response that contains `x-turned-away: 1`.
NACK = Classification(Ending.REFUSED, Outcome.FULL, False, retryable=True)
NACK_STATUSES = (Status.UNAVAILABLE, Status.RESOURCE_EXHAUSTED)

_STATUS_BY_HTTP_STATUS = {
    400: Status.INTERNAL,
    401: Status.UNAUTHENTICATED,
    403: Status.PERMISSION_DENIED,
    404: Status.UNIMPLEMENTED,
    429: Status.UNAVAILABLE,
    502: Status.UNAVAILABLE,
    503: Status.UNAVAILABLE,
    504: Status.UNAVAILABLE,
}
_STATUS_BY_HTTP2_CODE = {
    0x7: Status.UNAVAILABLE,  # REFUSED_STREAM
    0x8: Status.CANCELLED,  # CANCEL
    0xB: Status.RESOURCE_EXHAUSTED,  # ENHANCE_YOUR_CALM
    0xC: Status.PERMISSION_DENIED,  # INADEQUATE_SECURITY
}


def status_from_http(code: int) -> Status:
    """Return the gRPC status for the HTTP status of a response without `grpc-status`."""
    return _STATUS_BY_HTTP_STATUS.get(code, Status.UNKNOWN)


def status_from_reset(code: int | None) -> Status:
    """Return the status for the HTTP/2 code of an RST_STREAM, or for a broken connection if it is None."""
    if code is None:
        return Status.UNAVAILABLE
    return _STATUS_BY_HTTP2_CODE.get(code, Status.INTERNAL)


def parse_status(text: bytes) -> Status:
    """Parse `grpc-status`. Anything but the 17 codes becomes UNKNOWN, as the specification requires."""
    try:
        return Status(int(text))
    except ValueError:
        return Status.UNKNOWN


def percent_encode(text: str) -> bytes:
    """Encode a status message for `grpc-message`, as percent-encoded UTF-8."""
    return b"".join(
        bytes((byte,)) if 0x20 <= byte <= 0x7E and byte != 0x25 else b"%%%02X" % byte
        for byte in text.encode(errors="replace")
    )


def percent_decode(text: bytes) -> str:
    """Decode `grpc-message`. Never raises, as the specification requires."""
    return unquote_to_bytes(text).decode(errors="replace")
