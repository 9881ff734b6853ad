"""Heads and metadata of gRPC calls: read, checked, passed on. Pure: bytes and numbers in, bytes and numbers
out.

Source: "gRPC over HTTP2" (PROTOCOL-HTTP2.md) and gRFC A6 for `grpc-previous-rpc-attempts` and pushback.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from pulleyroute.grpc.status import Status, quote
from pulleyroute.net.http import Headers

CONTENT_TYPE = b"application/grpc"
_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
_UNITS = {b"H": 3_600_000_000, b"M": 60_000_000, b"S": 1_000_000, b"m": 1000, b"u": 1}
_PATH = re.compile(rb"/([^/]+(?:/[^/]+)*)/([^/]+)")
# Of the connection, not of the call (RFC 9110, 7.6.1), and what is written anew for the next hop.
_HOP = frozenset(
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
_OWN = frozenset((b"grpc-timeout", b"grpc-previous-rpc-attempts"))
_SECRET = frozenset((b"authorization", b"cookie", b"proxy-authorization"))


class BadHead(Exception):
    """A request's head can't be used: `http` is the status where it is no gRPC at all, else 200."""

    def __init__(self, status: Status, text: str, http: int = 200) -> None:
        super().__init__(text)
        self.status = status
        self.http = http


@dataclass(slots=True)
class Head:
    """A call as its client asked for it. `timeout` in microseconds, None without one."""

    service: bytes
    method: bytes
    path: bytes
    authority: bytes
    timeout: int | None
    attempts: int  # tries before this one, by the client's word
    metadata: Headers  # to pass on, in order


def read_head(headers: Headers) -> Head:
    """Check a request's head; raises `BadHead`."""
    pseudo: dict[bytes, bytes] = {}
    metadata: Headers = []
    timeout: int | None = None
    attempts = 0
    kind = b""
    for name, value in headers:
        if name[:1] == b":":
            pseudo[bytes(name)] = bytes(value)
        elif name == b"content-type":
            kind = bytes(value)
            metadata.append((name, value))
        elif name == b"grpc-timeout":
            if timeout is not None:
                raise BadHead(Status.INTERNAL, "more than one grpc-timeout")
            timeout = read_timeout(value)
        elif name == b"grpc-previous-rpc-attempts":
            if not value.isdigit() or len(value) > 4:
                raise BadHead(Status.INTERNAL, "grpc-previous-rpc-attempts is no number")
            attempts = int(value)
        elif name not in _HOP:
            metadata.append((name, value))
    if pseudo.get(b":method") != b"POST":
        raise BadHead(Status.INTERNAL, "not POST", 405)
    if not (kind == CONTENT_TYPE or kind[:17] in (CONTENT_TYPE + b"+", CONTENT_TYPE + b";")):
        raise BadHead(Status.UNKNOWN, "content-type is not application/grpc", 415)
    path = pseudo.get(b":path", b"")
    match = _PATH.fullmatch(path)
    if match is None:
        raise BadHead(Status.UNIMPLEMENTED, "the path is not /service/method")
    return Head(match[1], match[2], path, pseudo.get(b":authority", b""), timeout, attempts, metadata)


def read_timeout(value: bytes) -> int:
    """`grpc-timeout` in microseconds, rounded down; raises `BadHead`."""
    match = _TIMEOUT.fullmatch(value)
    if match is None:
        raise BadHead(Status.INTERNAL, "grpc-timeout is not 1 to 8 digits and one of HMSmun")
    count = int(match[1])
    return count // 1000 if match[2] == b"n" else count * _UNITS[bytes(match[2])]


def write_timeout(span: int) -> bytes:
    """So many microseconds as `grpc-timeout`, never longer than they are, in at most eight digits."""
    span = max(span, 0)
    for unit, size in ((b"u", 1), (b"m", 1000), (b"S", 10**6), (b"M", 60 * 10**6), (b"H", 3600 * 10**6)):
        if span // size < 10**8:
            return b"%d%s" % (span // size, unit)
    return b"99999999H"


def request_headers(head: Head, scheme: bytes, left: int, attempts: int) -> Headers:
    """What an instance gets: the call's own metadata in order, its time as it is now, the tries before.

    `left` is in microseconds. `te: trailers` is due on every hop.
    """
    headers: Headers = [
        (b":method", b"POST"),
        (b":scheme", scheme),
        (b":path", head.path),
        (b":authority", head.authority),
        (b"te", b"trailers"),
        (b"grpc-timeout", write_timeout(left)),
    ]
    if attempts:
        headers.append((b"grpc-previous-rpc-attempts", b"%d" % attempts))
    headers.extend(sealed(head.metadata))
    return headers


def sealed(headers: Headers) -> Headers:
    """The same, with secrets kept out of the compression's tables (RFC 7541, 7.1.3)."""
    return [
        (name, value, True) if name in _SECRET else (name, value)  # type: ignore[misc]
        for name, value in headers
    ]


def passed(headers: Headers) -> Headers:
    """An answer's headers or trailers for the client: all but what belongs to the hop."""
    return [(name, value) for name, value in headers if name not in _HOP]


def one(headers: Headers, name: bytes) -> bytes | None:
    """The first value of a header."""
    for key, value in headers:
        if key == name:
            return bytes(value)
    return None


def failure(status: Status, text: str, advice: int | None = None) -> Headers:
    """A trailers-only answer of our own; `advice` in microseconds, when to come back (gRFC A6, pushback)."""
    return [(b":status", b"200"), (b"content-type", CONTENT_TYPE), *closing(status, text, advice)]


def closing(status: Status, text: str, advice: int | None = None) -> Headers:
    """The same as trailers, after headers have gone."""
    trailers: Headers = [(b"grpc-status", b"%d" % status)]
    if text:
        trailers.append((b"grpc-message", quote(text)))
    if advice is not None:
        trailers.append((b"grpc-retry-pushback-ms", b"%d" % max(1, -(-advice // 1000))))
    return trailers
