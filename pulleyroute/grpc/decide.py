"""Interprets how an attempt ended, and buffers a request for retries. Pure: no I/O, no clock.

`rules.py` decides which instance gets a call, and whether and when the call is retried; this module provides
the outcome on which it decides. Source: gRFC A6, "gRPC Retry Design": commit points, pushback, transparent
retries.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from pulleyroute.grpc.head import first_value
from pulleyroute.grpc.status import (
    CLASSIFICATIONS,
    NACK,
    NACK_STATUSES,
    Classification,
    Status,
    parse_status,
    status_from_http,
    status_from_reset,
)
from pulleyroute.interface import Outcome
from pulleyroute.net.http import Headers
from pulleyroute.net.requests import Ending


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """The result of one attempt.

    `ending` is set if the call ends with this attempt, whatever its class allows. `delay_us` is the pushback
    that the instance asked for, in microseconds: the outcome must not reach the decision module before.
    `status` is the client's status if the call ends with this attempt. `nacked` is True if the instance has
    surely not run the call.
    """

    outcome: Outcome
    status: Status
    ending: Ending | None = None
    delay_us: int = 0
    nacked: bool = False


def parse_pushback(trailers: Headers) -> int | None:
    """Return `grpc-retry-pushback-ms` in microseconds, or None if it is absent.

    Returns -1 for a negative value, which means "do not retry", and for anything unreadable.
    """
    value = first_value(trailers, b"grpc-retry-pushback-ms")
    if value is None:
        return None
    return int(value) * 1000 if value.isdigit() and len(value) <= 10 else -1


def classify_trailers(
    http_status: int, trailers: Headers, committed: bool, time_left: int, unsafe: bool, last_attempt: bool
) -> AttemptResult:
    """Classify an attempt that ended with trailers, or with a trailers-only response.

    `committed`: the client has received this attempt's headers; `time_left`: microseconds until the
    attempt's deadline; `unsafe`: the call's class must never run twice; `last_attempt`: no further attempt is
    allowed.
    """
    text = first_value(trailers, b"grpc-status")
    status = parse_status(text) if text is not None else status_from_http(http_status)
    if text is None and http_status == 200:
        status = Status.INTERNAL  # "gRPC over HTTP2": the trailers must contain a status
    marked = not committed and status in NACK_STATUSES and first_value(trailers, b"x-turned-away") == b"1"
    classification: Classification = NACK if marked else CLASSIFICATIONS[status]
    pushback = parse_pushback(trailers)
    retryable = classification.retryable or (
        status in NACK_STATUSES and pushback is not None and pushback >= 0
    )
    if committed or not retryable:
        return AttemptResult(classification.outcome, status, classification.ending)
    if last_attempt or (unsafe and not marked):
        # The call is not sent again, so a pushback delay has no purpose.
        return AttemptResult(classification.outcome, status, nacked=marked)
    if pushback is not None and (pushback < 0 or pushback >= time_left):
        # gRFC A6: a negative value forbids the retry. A value past the deadline has the same effect, so the
        # client is answered at once.
        return AttemptResult(classification.outcome, status, classification.ending, nacked=marked)
    return AttemptResult(classification.outcome, status, delay_us=pushback or 0, nacked=marked)


def classify_abort(code: int | None, never_ran: bool) -> AttemptResult:
    """Classify an attempt whose stream was reset with an HTTP/2 code, or whose connection broke (None)."""
    status = status_from_reset(code)
    if never_ran:
        # gRFC A6, transparent retries: the stream was refused with REFUSED_STREAM, or its id is above the
        # last stream id of a GOAWAY. The latter says nothing about the instance's load.
        return AttemptResult(Outcome.MOOT if code is None else Outcome.FULL, status, nacked=True)
    return AttemptResult(Outcome.RESET if code is None else Outcome.ERROR, status)


class ReplayBuffer:
    """The buffered bytes of a request: those that a retry needs, and those not yet sent by the last attempt.

    `max_bytes` limits the bytes kept for a retry. Offsets count from the request's first byte.
    """

    __slots__ = ("_chunks", "ended", "max_bytes", "start_offset", "total_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._chunks: deque[bytes] = deque()
        self.start_offset = 0  # the bytes before it have been discarded; above 0 the request is committed
        self.total_bytes = 0  # received so far, including those discarded
        self.ended = False  # whether the client has ended the request

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes in the buffer."""
        return self.total_bytes - self.start_offset

    @property
    def complete(self) -> bool:
        """Whether no byte has been discarded, so that the request can be retried."""
        return self.start_offset == 0

    @property
    def over_limit(self) -> bool:
        """Whether the buffer holds more bytes than may be kept for a retry."""
        return self.buffered_bytes > self.max_bytes

    def append(self, data: bytes) -> None:
        """Add the next bytes of the request."""
        self._chunks.append(data)
        self.total_bytes += len(data)

    def chunks_from(self, offset: int) -> list[bytes]:
        """Return the bytes from an offset on; raises ValueError if some of them have been discarded."""
        if offset < self.start_offset:
            raise ValueError("some of the requested bytes have been discarded")
        if offset == self.total_bytes:
            return []
        chunks: list[bytes] = []
        position = self.total_bytes
        for chunk in reversed(self._chunks):
            position -= len(chunk)
            if position >= offset:
                chunks.append(chunk)
            else:
                if position + len(chunk) > offset:
                    chunks.append(chunk[offset - position :])
                break
        chunks.reverse()
        return chunks

    def discard_before(self, offset: int) -> None:
        """Discard the chunks that end before an offset; the request can't be retried from then on."""
        while self._chunks and self.start_offset + len(self._chunks[0]) <= offset:
            self.start_offset += len(self._chunks.popleft())

    def clear(self) -> None:
        """Discard every byte."""
        self._chunks.clear()
        self.start_offset = self.total_bytes
