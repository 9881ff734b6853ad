"""Heads and metadata of gRPC calls: read, checked, passed on. Pure: bytes and numbers in, bytes and numbers
out.

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
# Of the connection, not of the call (RFC 9110, 7.6.1), and what is written anew for the next hop.
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
    """A request's head can't be used: `http` is the status where it is no gRPC at all, else 200."""

    def __init__(self, status: Status, text: str, http_status: int = 200) -> None:
        super().__init__(text)
        self.status = status
        self.http_status = http_status


@dataclass(slots=True)
class RequestHead:
    """A call as its client asked for it. `timeout` in microseconds, None without one."""

    service: bytes
    method: bytes
    path: bytes
    authority: bytes
    timeout_us: int | None
    previous_attempts: int  # tries before this one, by the client's word
    metadata: Headers  # to pass on, in order


def parse_request_head(headers: Headers) -> RequestHead:
    """Check a request's head; raises `BadHead`."""
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
    """`grpc-timeout` in microseconds, rounded down; raises `BadHead`."""
    match = _TIMEOUT_PATTERN.fullmatch(value)
    if match is None:
        raise InvalidRequestHead(Status.INTERNAL, "grpc-timeout is not 1 to 8 digits and one of HMSmun")
    count = int(match[1])
    return count // 1000 if match[2] == b"n" else count * _TIMEOUT_UNITS_US[bytes(match[2])]


def format_timeout(time_left_us: int) -> bytes:
    """So many microseconds as `grpc-timeout`, never longer than they are, in at most eight digits."""
    time_left_us = max(time_left_us, 0)
    for unit, size in ((b"u", 1), (b"m", 1000), (b"S", 10**6), (b"M", 60 * 10**6), (b"H", 3600 * 10**6)):
        if time_left_us // size < 10**8:
            return b"%d%s" % (time_left_us // size, unit)
    return b"99999999H"


def request_headers(head: RequestHead, scheme: bytes, time_left: int, previous_attempts: int) -> Headers:
    """What an instance gets: the call's own metadata in order, its time as it is now, the tries before.

    `left` is in microseconds. `te: trailers` is due on every hop.
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
    """The same, with secrets kept out of the compression's tables (RFC 7541, 7.1.3)."""
    return [
        (name, value, True) if name in _SENSITIVE else (name, value)  # type: ignore[misc]
        for name, value in headers
    ]


def without_hop_by_hop(headers: Headers) -> Headers:
    """An answer's headers or trailers for the client: all but what belongs to the hop."""
    return [(name, value) for name, value in headers if name not in _HOP_BY_HOP]


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """The first value of a header."""
    for key, value in headers:
        if key == name:
            return bytes(value)
    return None


def trailers_only(status: Status, text: str, retry_after: int | None = None) -> Headers:
    """A trailers-only answer of our own; `advice` in microseconds, when to come back (gRFC A6, pushback)."""
    return [
        (b":status", b"200"),
        (b"content-type", CONTENT_TYPE),
        *status_trailers(status, text, retry_after),
    ]


def status_trailers(status: Status, text: str, retry_after: int | None = None) -> Headers:
    """The same as trailers, after headers have gone."""
    trailers: Headers = [(b"grpc-status", b"%d" % status)]
    if text:
        trailers.append((b"grpc-message", percent_encode(text)))
    if retry_after is not None:
        trailers.append((b"grpc-retry-pushback-ms", b"%d" % max(1, -(-retry_after // 1000))))
    return trailers
