"""What an instance's word on a call means, and how much of a request is kept for a resend. Pure: no I/O, no
clock.

Which instance gets a call, whether it goes out again and when is `rules.py`'s; this module tells it what
happened. Source: gRFC A6, "gRPC Retry Design": commit points, pushback, transparent retries.
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
    """What one attempt came to.

    `ending` is set where the call ends with it whatever the class; `hold` is how many microseconds the
    instance asked to be left alone before the decisions may hear of it; `status` is what the client is told
    if it ends here.
    """

    outcome: Outcome
    status: Status
    ending: Ending | None = None
    delay_us: int = 0
    nacked: bool = False


def parse_pushback(trailers: Headers) -> int | None:
    """`grpc-retry-pushback-ms` in microseconds: None where absent, -1 for "do not retry" or anything
    unreadable."""
    value = first_value(trailers, b"grpc-retry-pushback-ms")
    if value is None:
        return None
    return int(value) * 1000 if value.isdigit() and len(value) <= 10 else -1


def classify_trailers(
    http_status: int, trailers: Headers, committed: bool, time_left: int, unsafe: bool, last_attempt: bool
) -> AttemptResult:
    """An attempt that ended with trailers, or with a head alone.

    `committed`: the client has had headers of it; `left`: microseconds until the call's deadline; `unsafe`:
    its class must never run twice; `last`: no attempt is left.
    """
    text = first_value(trailers, b"grpc-status")
    status = parse_status(text) if text is not None else status_from_http(http_status)
    if text is None and http_status == 200:
        status = Status.INTERNAL  # "gRPC over HTTP2": the trailers must carry a status
    marked = not committed and status in NACK_STATUSES and first_value(trailers, b"x-turned-away") == b"1"
    classification: Classification = NACK if marked else CLASSIFICATIONS[status]
    pushback = parse_pushback(trailers)
    retryable = classification.retryable or (
        status in NACK_STATUSES and pushback is not None and pushback >= 0
    )
    if committed or not retryable:
        return AttemptResult(classification.outcome, status, classification.ending)
    if last_attempt or (unsafe and not marked):
        return AttemptResult(
            classification.outcome, status, nacked=marked
        )  # it goes out no more: nothing to wait for
    if pushback is not None and (pushback < 0 or pushback >= time_left):
        # gRFC A6: a negative value forbids the retry; one past the deadline does so in effect, and whoever
        # has been given up is answered at once.
        return AttemptResult(classification.outcome, status, classification.ending, nacked=marked)
    return AttemptResult(classification.outcome, status, delay_us=pushback or 0, nacked=marked)


def classify_abort(code: int | None, never_ran: bool) -> AttemptResult:
    """An attempt whose stream was reset with an HTTP/2 code, or whose connection broke (None)."""
    status = status_from_reset(code)
    if never_ran:
        # gRFC A6, transparent retries: REFUSED_STREAM, or above a GOAWAY's last id, which says nothing of
        # load.
        return AttemptResult(Outcome.MOOT if code is None else Outcome.FULL, status, nacked=True)
    return AttemptResult(Outcome.RESET if code is None else Outcome.ERROR, status)


class ReplayBuffer:
    """A request's bytes: those that a resend would need, and those not yet handed to the one attempt left.

    `most` bounds what is kept for a resend, in bytes. Offsets count from the request's first byte.
    """

    __slots__ = ("_chunks", "ended", "max_bytes", "start_offset", "total_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._chunks: deque[bytes] = deque()
        self.start_offset = 0  # bytes before it are gone: committed
        self.total_bytes = 0  # bytes so far, kept or not
        self.ended = False

    @property
    def buffered_bytes(self) -> int:
        return self.total_bytes - self.start_offset

    @property
    def complete(self) -> bool:
        return self.start_offset == 0

    @property
    def over_limit(self) -> bool:
        """More than may be kept for a resend."""
        return self.buffered_bytes > self.max_bytes

    def append(self, data: bytes) -> None:
        self._chunks.append(data)
        self.total_bytes += len(data)

    def chunks_from(self, offset: int) -> list[bytes]:
        """What comes after an offset; raises ValueError if some of it is gone."""
        if offset < self.start_offset:
            raise ValueError("the beginning is gone")
        if offset == self.total_bytes:
            return []
        out: list[bytes] = []
        at = self.total_bytes
        for chunk in reversed(self._chunks):
            at -= len(chunk)
            if at >= offset:
                out.append(chunk)
            else:
                if at + len(chunk) > offset:
                    out.append(chunk[offset - at :])
                break
        out.reverse()
        return out

    def discard_before(self, offset: int) -> None:
        """Forget what comes before an offset: no resend from here on."""
        while self._chunks and self.start_offset + len(self._chunks[0]) <= offset:
            self.start_offset += len(self._chunks.popleft())

    def clear(self) -> None:
        self._chunks.clear()
        self.start_offset = self.total_bytes
