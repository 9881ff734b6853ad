"""Parses, checks and builds the headers and trailers of gRPC calls. Pure: no I/O, no clock.

Source: "gRPC over HTTP2" (PROTOCOL-HTTP2.md) and gRFC A6 for `grpc-previous-rpc-attempts` and pushback.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from pulleyroute.grpc.status import Status, percent_encode
from pulleyroute.net.http import Headers

CONTENT_TYPE = b"application/grpc"
_TIMEOUT_PATTERN = re.compile(rb"([0-9]{1,8})([HMSmun])")
_TIMEOUT_UNITS_US = {b"H": 3_600_000_000, b"M": 60_000_000, b"S": 1_000_000, b"m": 1000, b"u": 1}
_PATH_PATTERN = re.compile(rb"/([^/]+(?:/[^/]+)*)/([^/]+)")
# Headers that belong to the connection, not to the call (RFC 9110, 7.6.1), or are generated for each hop.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"upgrade",
        b"te",
        b"host",
        b"content-length",
        b"expect",
    )
)
_REWRITTEN = frozenset((b"grpc-timeout", b"grpc-previous-rpc-attempts"))
_SENSITIVE = frozenset((b"authorization", b"cookie", b"proxy-authorization"))


class InvalidRequestHead(Exception):
    """The headers of a request are invalid.

    `http_status` is the status of the response if the request is not gRPC at all, else 200.
    """

    def __init__(self, status: Status, text: str, http_status: int = 200) -> None:
        super().__init__(text)
        self.status = status
        self.http_status = http_status


@dataclass(slots=True)
class RequestHead:
    """The parsed headers of a call. `timeout_us` is None if the client set no deadline."""

    service: bytes
    method: bytes
    path: bytes
    authority: bytes
    timeout_us: int | None
    previous_attempts: int  # as stated by the client
    metadata: Headers  # to forward, in the client's order


def parse_request_head(headers: Headers) -> RequestHead:
    """Parse and check the headers of a request; raises `InvalidRequestHead`."""
    pseudo: dict[bytes, bytes] = {}
    metadata: Headers = []
    timeout_us: int | None = None
    previous_attempts = 0
    content_type = b""
    for name, value in headers:
        if name[:1] == b":":
            pseudo[bytes(name)] = bytes(value)
        elif name == b"content-type":
            content_type = bytes(value)
            metadata.append((name, value))
        elif name == b"grpc-timeout":
            if timeout_us is not None:
                raise InvalidRequestHead(Status.INTERNAL, "more than one grpc-timeout")
            timeout_us = parse_timeout(value)
        elif name == b"grpc-previous-rpc-attempts":
            if not value.isdigit() or len(value) > 4:
                raise InvalidRequestHead(Status.INTERNAL, "grpc-previous-rpc-attempts is no number")
            previous_attempts = int(value)
        elif name not in _HOP_BY_HOP:
            metadata.append((name, value))
    if pseudo.get(b":method") != b"POST":
        raise InvalidRequestHead(Status.INTERNAL, "not POST", 405)
    if not (content_type == CONTENT_TYPE or content_type[:17] in (CONTENT_TYPE + b"+", CONTENT_TYPE + b";")):
        raise InvalidRequestHead(Status.UNKNOWN, "content-type is not application/grpc", 415)
    path = pseudo.get(b":path", b"")
    match = _PATH_PATTERN.fullmatch(path)
    if match is None:
        raise InvalidRequestHead(Status.UNIMPLEMENTED, "the path is not /service/method")
    return RequestHead(
        match[1], match[2], path, pseudo.get(b":authority", b""), timeout_us, previous_attempts, metadata
    )


def parse_timeout(value: bytes) -> int:
    """Return `grpc-timeout` in microseconds, rounded down; raises `InvalidRequestHead`."""
    match = _TIMEOUT_PATTERN.fullmatch(value)
    if match is None:
        raise InvalidRequestHead(Status.INTERNAL, "grpc-timeout is not 1 to 8 digits and one of HMSmun")
    count = int(match[1])
    return count // 1000 if match[2] == b"n" else count * _TIMEOUT_UNITS_US[bytes(match[2])]


def format_timeout(time_left_us: int) -> bytes:
    """Format microseconds as `grpc-timeout`, rounded down to at most eight digits."""
    time_left_us = max(time_left_us, 0)
    for unit, size in ((b"u", 1), (b"m", 1000), (b"S", 10**6), (b"M", 60 * 10**6), (b"H", 3600 * 10**6)):
        if time_left_us // size < 10**8:
            return b"%d%s" % (time_left_us // size, unit)
    return b"99999999H"


def request_headers(head: RequestHead, scheme: bytes, time_left: int, previous_attempts: int) -> Headers:
    """Return the request headers for an instance.

    They contain the call's metadata in order, the time left (in microseconds), and the number of previous
    attempts. `te: trailers` is required on every hop.
    """
    headers: Headers = [
        (b":method", b"POST"),
        (b":scheme", scheme),
        (b":path", head.path),
        (b":authority", head.authority),
        (b"te", b"trailers"),
        (b"grpc-timeout", format_timeout(time_left)),
    ]
    if previous_attempts:
        headers.append((b"grpc-previous-rpc-attempts", b"%d" % previous_attempts))
    headers.extend(mark_sensitive(head.metadata))
    return headers


def mark_sensitive(headers: Headers) -> Headers:
    """Mark headers with secrets as never indexed, to keep them out of the HPACK tables (RFC 7541, 7.1.3)."""
    return [
        (name, value, True) if name in _SENSITIVE else (name, value)  # type: ignore[misc]
        for name, value in headers
    ]


def without_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers or trailers of a response without those that belong to the hop."""
    return [(name, value) for name, value in headers if name not in _HOP_BY_HOP]


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return bytes(value)
    return None


def trailers_only(status: Status, text: str, retry_after: int | None = None) -> Headers:
    """Return a trailers-only response with a status and a message.

    `retry_after` is the pushback (gRFC A6) in microseconds.
    """
    return [
        (b":status", b"200"),
        (b"content-type", CONTENT_TYPE),
        *status_trailers(status, text, retry_after),
    ]


def status_trailers(status: Status, text: str, retry_after: int | None = None) -> Headers:
    """Return the trailers that end a response whose headers have been sent; see `trailers_only`."""
    trailers: Headers = [(b"grpc-status", b"%d" % status)]
    if text:
        trailers.append((b"grpc-message", percent_encode(text)))
    if retry_after is not None:
        trailers.append((b"grpc-retry-pushback-ms", b"%d" % max(1, -(-retry_after // 1000))))
    return trailers
