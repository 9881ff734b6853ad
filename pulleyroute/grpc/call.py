"""One call: the client's stream on one side, its attempts' streams on the other, and the bytes between.

A `Call` is the client's stream's owner and has exactly one ending; an `Upstream` is one attempt's stream's
owner. Flow control runs through: bytes count against their sender's window until the other side's kernel has
them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from pulleyroute.grpc.decide import Replay, Word, judge_break, judge_trailers
from pulleyroute.grpc.head import Head, closing, failure, one, passed
from pulleyroute.grpc.meter import Meter
from pulleyroute.grpc.status import Status
from pulleyroute.net.buffers import Ledger
from pulleyroute.net.host import Host
from pulleyroute.net.http import Headers
from pulleyroute.net.http2 import Code, Stream
from pulleyroute.net.instance import Attempt
from pulleyroute.net.requests import Answer, Ending, Job

GRACE = 5_000_000  # a call that has ended may take so long to reach a client that reads slowly


class Finish(Protocol):
    """What a back does with an attempt's end."""

    def __call__(self, upstream: Upstream, word: Word, trailers: Headers) -> None: ...


@dataclass(slots=True)
class Said:
    """The last word of an instance on a call that is still open."""

    status: Status
    headers: Headers = field(default_factory=list)  # a trailers-only head, to be passed on as it is
    trailers: Headers = field(default_factory=list)
    text: str = ""


class Call:
    """A call as its client sees it. Owns the client's stream, what is kept of the request, and the one
    ending."""

    def __init__(
        self,
        host: Host,
        stream: Stream,
        head: Head,
        replay: int,
        ledger: Ledger,
        message_bytes: int,
        over: Callable[[Call, Status], None],
    ) -> None:
        self.host = host
        self.stream = stream
        self.head = head
        self.replay = Replay(replay)
        self.job: Job | None = None
        self.upstream: Upstream | None = None  # the attempt that is out
        self.said: Said | None = None
        self.done = False
        self.status: Status | None = None
        self.refused = False  # its ending says that it never ran
        self.gone = False  # its client left before its ending
        self._ledger = ledger
        self._over = over
        self._credited = 0  # of the request's bytes: given back to the client's window
        self._begun = False  # headers went to the client
        self._meter = Meter(message_bytes)

    # The client's stream

    def headers(self, headers: Headers, ended: bool) -> None:
        """A server's stream hears of no headers but the first, which made the call."""

    def data(self, data: bytes) -> None:
        if self.done:
            self.stream.consumed(len(data))
            return
        if not self._meter.feed(data):
            self.fail(Status.RESOURCE_EXHAUSTED, "a message is larger than the dispatcher takes")
            return
        self.replay.add(data)
        self._ledger.held += len(data)
        if self.upstream is not None:
            self.upstream.feed()
        self._bound_memory()

    def ended(self, trailers: Headers) -> None:
        self.replay.ended = True
        if self.upstream is not None:
            self.upstream.feed()

    def sent(self, count: int) -> None:
        if self.upstream is not None:
            self.upstream.stream_consumed(count)

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        """The client has cancelled, or is gone: its instance hears of it too."""
        self.gone = True
        if not self.done:
            self._conclude(Status.CANCELLED)
            if self.job is not None:
                self.host.abandon(self.job, stop=True)

    # The request on its way

    def attach(self, upstream: Upstream) -> None:
        """An attempt is out now and gets the request from its beginning."""
        self.upstream = upstream
        upstream.feed()
        self._bound_memory()

    def detach(self, upstream: Upstream) -> None:
        if self.upstream is upstream:
            self.upstream = None

    def forwarded(self, offset: int) -> None:
        """So many of the request's bytes have gone to an instance: the client may send as many more."""
        if offset > self._credited:
            self.stream.consumed(offset - self._credited)
            self._credited = offset
        if not self.replay.whole and self.upstream is not None:
            self._let_go(self.upstream.position)

    def _bound_memory(self) -> None:
        """Commit once the request no longer fits: what is out is then its last attempt (gRFC A6)."""
        if self.upstream is None or self.done:
            return
        if (self.replay.over or self._ledger.full) and self.replay.whole and self.job is not None:
            self.job.replay_dropped = True
        if self.job is not None and (self.job.replay_dropped or self._begun):
            self._let_go(self.upstream.position)

    def _let_go(self, offset: int) -> None:
        before = self.replay.held
        self.replay.let_go(offset)
        self._ledger.held -= before - self.replay.held

    # The answer

    def begin(self, headers: Headers) -> None:
        """The answer's headers go out: no other attempt from here on."""
        self._begun = True
        self.stream.send_headers(passed(headers))
        self._bound_memory()

    def reply(self, answer: Answer) -> None:
        """The host's one answer."""
        if self.done:
            return
        said = self.said
        if answer.ending is not Ending.SERVED and answer.late:
            # Guards what the client's own clock will say anyway, and a reader that takes nothing any more.
            self.fail(Status.DEADLINE_EXCEEDED, "the deadline is over", cut=True)
        elif said is not None and (said.headers or said.trailers) and answer.ending is not Ending.REFUSED:
            self._deliver(said)
        elif answer.ending is Ending.REFUSED:
            self.refused = True
            self.fail(
                Status.UNAVAILABLE, "refused: it has not run, come back later", advice=answer.retry_after
            )
        elif said is not None:
            self.fail(said.status, f"failed and may have run: {said.text}")
        else:
            self.fail(Status.UNAVAILABLE, "failed: it may have run")

    def _deliver(self, said: Said) -> None:
        """An instance's own ending, as it is."""
        self._conclude(said.status)
        if self._begun:
            self.stream.finish(said.trailers)
        elif said.headers:
            self.stream.send_headers(passed(said.headers), end=True)
        else:
            self.stream.send_headers(
                [(b":status", b"200"), (b"content-type", b"application/grpc"), *said.trailers], end=True
            )

    def fail(self, status: Status, text: str, advice: int | None = None, cut: bool = False) -> None:
        """An ending of our own. `cut`: do not wait until what is on its way has been read."""
        if self.done:
            return
        self._conclude(status)
        if self._begun:
            if cut:
                self.stream.discard_pending()
            self.stream.finish(closing(status, text, advice or None))
        else:
            self.stream.send_headers(failure(status, text, advice or None), end=True)
        if self.job is not None:
            self.host.abandon(self.job, stop=True)

    def _conclude(self, status: Status) -> None:
        self.done = True
        self.status = status
        self._ledger.held -= self.replay.held
        self.replay.clear()
        self._over(self, status)


class Upstream:
    """One attempt's stream, and what of the request has gone there."""

    def __init__(self, call: Call, attempt: Attempt, finish: Finish, message_bytes: int) -> None:
        self.call = call
        self.attempt = attempt
        self.stream: Stream | None = None
        self.position = 0  # of the request: handed to the stream
        self.gone = 0  # of it: with the kernel
        self._finish = finish
        self._http = 0
        self._head: Headers | None = None  # a head that is the whole answer
        self._bound = False
        self._over = False
        self._ended = False  # our side, as far as it was asked for
        self._meter = Meter(message_bytes)

    def feed(self) -> None:
        """Hand on what the client has sent since."""
        if self.stream is None or self._over or self._ended:
            return
        for chunk in self.call.replay.after(self.position):
            self.stream.write(chunk)
            self.position += len(chunk)
        if self.call.replay.ended:
            self._ended = True
            self.stream.finish()

    def stream_consumed(self, count: int) -> None:
        if self.stream is not None:
            self.stream.consumed(count)

    def headers(self, headers: Headers, ended: bool) -> None:
        if self._over or self._bound:
            return
        self._http = int(one(headers, b":status") or b"0")
        kind = one(headers, b"content-type") or b""
        if ended or self._http != 200 or not kind.startswith(b"application/grpc"):
            self._head = headers
            if not ended:  # no gRPC at all, with a body that nobody reads
                self._conclude(one(headers, b"grpc-status") is not None)
            return
        if not self.call.host.begin_answer(self.attempt):
            self._over = True
            if self.stream is not None:
                self.stream.reset()
            return
        self._bound = True
        self.call.begin(headers)

    def data(self, data: bytes) -> None:
        if not self._bound or self.call.done:
            self.stream_consumed(len(data))
        elif not self._meter.feed(data):
            self.call.fail(
                Status.RESOURCE_EXHAUSTED, "an answer's message is larger than the dispatcher takes"
            )
        else:
            self.call.stream.write(data)

    def ended(self, trailers: Headers) -> None:
        if self._over:
            return
        if self._head is not None:
            self._conclude(True)
            return
        self._over = True
        word = self._judge(trailers)
        self.call.said = Said(
            word.status, trailers=passed(trailers) or closing(word.status, "no status came")
        )
        self._finish(self, word, trailers)

    def _conclude(self, is_grpc: bool) -> None:
        """The answer was a head alone."""
        head = self._head or []
        self._over = True
        word = self._judge(head)
        if is_grpc and one(head, b"grpc-status") is not None:
            self.call.said = Said(word.status, headers=head)
        else:
            self.call.said = Said(
                word.status,
                trailers=closing(
                    word.status, f"an instance answered HTTP status {self._http} without a gRPC status"
                ),
            )
        self._finish(self, word, head)

    def _judge(self, trailers: Headers) -> Word:
        host, attempt = self.call.host, self.attempt
        left = attempt.timeout_at - host.now()
        return judge_trailers(
            self._http or 200,
            trailers,
            self._bound,
            left,
            attempt.unsafe,
            attempt.index + 1 >= host.max_attempts,
        )

    def sent(self, count: int) -> None:
        self.gone += count
        self.call.forwarded(self.gone)

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        if self._over:
            return
        self._over = True
        word = judge_break(code, never_ran and not self._bound)
        self.call.said = Said(word.status, text=why)
        self._finish(self, word, [])

    def give_up(self) -> None:
        """Stop it: the instance sees RST_STREAM with CANCEL."""
        self._over = True
        if self.stream is not None:
            self.stream.reset(Code.CANCEL)
