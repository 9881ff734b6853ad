"""What an instance's word on a call means, and how much of a request is kept for a resend. Pure: no I/O, no
clock.

Which instance gets a call, whether it goes out again and when is `rules.py`'s; this module tells it what
happened. Source: gRFC A6, "gRPC Retry Design": commit points, pushback, transparent retries.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from pulleyroute.grpc.head import one
from pulleyroute.grpc.status import MAY_NACK, NACK, TABLE, Status, Verdict, from_http, from_reset, read_status
from pulleyroute.interface import Outcome
from pulleyroute.net.http import Headers
from pulleyroute.net.requests import Ending


@dataclass(slots=True, frozen=True)
class Word:
    """What one attempt came to.

    `ending` is set where the call ends with it whatever the class; `hold` is how many microseconds the
    instance asked to be left alone before the decisions may hear of it; `status` is what the client is told
    if it ends here.
    """

    outcome: Outcome
    status: Status
    ending: Ending | None = None
    hold: int = 0
    nacked: bool = False


def read_pushback(trailers: Headers) -> int | None:
    """`grpc-retry-pushback-ms` in microseconds: None where absent, -1 for "do not retry" or anything
    unreadable."""
    value = one(trailers, b"grpc-retry-pushback-ms")
    if value is None:
        return None
    return int(value) * 1000 if value.isdigit() and len(value) <= 10 else -1


def judge_trailers(
    http: int, trailers: Headers, committed: bool, left: int, unsafe: bool, last: bool
) -> Word:
    """An attempt that ended with trailers, or with a head alone.

    `committed`: the client has had headers of it; `left`: microseconds until the call's deadline; `unsafe`:
    its class must never run twice; `last`: no attempt is left.
    """
    text = one(trailers, b"grpc-status")
    status = read_status(text) if text is not None else from_http(http)
    if text is None and http == 200:
        status = Status.INTERNAL  # "gRPC over HTTP2": the trailers must carry a status
    marked = not committed and status in MAY_NACK and one(trailers, b"x-turned-away") == b"1"
    verdict: Verdict = NACK if marked else TABLE[status]
    pushback = read_pushback(trailers)
    again = verdict.again or (status in MAY_NACK and pushback is not None and pushback >= 0)
    if committed or not again:
        return Word(verdict.outcome, status, verdict.ending)
    if last or (unsafe and not marked):
        return Word(verdict.outcome, status, nacked=marked)  # it goes out no more: nothing to wait for
    if pushback is not None and (pushback < 0 or pushback >= left):
        # gRFC A6: a negative value forbids the retry; one past the deadline does so in effect, and whoever
        # has been given up is answered at once.
        return Word(verdict.outcome, status, verdict.ending, nacked=marked)
    return Word(verdict.outcome, status, hold=pushback or 0, nacked=marked)


def judge_break(code: int | None, never_ran: bool) -> Word:
    """An attempt whose stream was reset with an HTTP/2 code, or whose connection broke (None)."""
    status = from_reset(code)
    if never_ran:
        # gRFC A6, transparent retries: REFUSED_STREAM, or above a GOAWAY's last id, which says nothing of
        # load.
        return Word(Outcome.MOOT if code is None else Outcome.FULL, status, nacked=True)
    return Word(Outcome.RESET if code is None else Outcome.ERROR, status)


class Replay:
    """A request's bytes: those that a resend would need, and those not yet handed to the one attempt left.

    `most` bounds what is kept for a resend, in bytes. Offsets count from the request's first byte.
    """

    __slots__ = ("_chunks", "ended", "kept_from", "most", "size")

    def __init__(self, most: int) -> None:
        self.most = most
        self._chunks: deque[bytes] = deque()
        self.kept_from = 0  # bytes before it are gone: committed
        self.size = 0  # bytes so far, kept or not
        self.ended = False

    @property
    def held(self) -> int:
        return self.size - self.kept_from

    @property
    def whole(self) -> bool:
        return self.kept_from == 0

    @property
    def over(self) -> bool:
        """More than may be kept for a resend."""
        return self.held > self.most

    def add(self, data: bytes) -> None:
        self._chunks.append(data)
        self.size += len(data)

    def after(self, offset: int) -> list[bytes]:
        """What comes after an offset; raises ValueError if some of it is gone."""
        if offset < self.kept_from:
            raise ValueError("the beginning is gone")
        if offset == self.size:
            return []
        out: list[bytes] = []
        at = self.size
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

    def let_go(self, offset: int) -> None:
        """Forget what comes before an offset: no resend from here on."""
        while self._chunks and self.kept_from + len(self._chunks[0]) <= offset:
            self.kept_from += len(self._chunks.popleft())

    def clear(self) -> None:
        self._chunks.clear()
        self.kept_from = self.size
