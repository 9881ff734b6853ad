"""One call: the client's stream on one side, its attempts' streams on the other, and the bytes between.

A `Call` is the client's stream's owner and has exactly one ending; an `Upstream` is one attempt's stream's
owner. Flow control runs through: bytes count against their sender's window until the other side's kernel has
them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from pulleyroute.grpc.decide import AttemptResult, ReplayBuffer, classify_abort, classify_trailers
from pulleyroute.grpc.head import RequestHead, first_value, status_trailers, trailers_only, without_hop_by_hop
from pulleyroute.grpc.meter import MessageMeter
from pulleyroute.grpc.status import Status
from pulleyroute.net.buffers import Ledger
from pulleyroute.net.host import Host
from pulleyroute.net.http import Headers
from pulleyroute.net.http2 import Code, Stream
from pulleyroute.net.instance import Attempt
from pulleyroute.net.requests import Answer, Ending, Job

SLOW_READER_GRACE_US = 5_000_000  # a call that has ended may take so long to reach a client that reads slowly


class AttemptFinished(Protocol):
    """What a back does with an attempt's end."""

    def __call__(self, upstream: Upstream, result: AttemptResult, trailers: Headers) -> None: ...


@dataclass(slots=True)
class FinalResponse:
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
        head: RequestHead,
        replay_limit: int,
        ledger: Ledger,
        message_bytes: int,
        on_ended: Callable[[Call, Status], None],
    ) -> None:
        self.host = host
        self.stream = stream
        self.head = head
        self.replay = ReplayBuffer(replay_limit)
        self.job: Job | None = None
        self.upstream: Upstream | None = None  # the attempt that is out
        self.final_response: FinalResponse | None = None
        self.done = False
        self.status: Status | None = None
        self.refused = False  # its ending says that it never ran
        self.client_gone = False  # its client left before its ending
        self._ledger = ledger
        self._on_ended = on_ended
        self._credited_bytes = 0  # of the request's bytes: given back to the client's window
        self._headers_sent = False  # headers went to the client
        self._meter = MessageMeter(message_bytes)

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
        self.replay.append(data)
        self._ledger.held += len(data)
        if self.upstream is not None:
            self.upstream.forward_request()
        self._bound_memory()

    def ended(self, trailers: Headers) -> None:
        self.replay.ended = True
        if self.upstream is not None:
            self.upstream.forward_request()

    def sent(self, count: int) -> None:
        if self.upstream is not None:
            self.upstream.stream_consumed(count)

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        """The client has cancelled, or is gone: its instance hears of it too."""
        self.client_gone = True
        if not self.done:
            self._conclude(Status.CANCELLED)
            if self.job is not None:
                self.host.abandon(self.job, stop=True)

    # The request on its way

    def attach(self, upstream: Upstream) -> None:
        """An attempt is out now and gets the request from its beginning."""
        self.upstream = upstream
        upstream.forward_request()
        self._bound_memory()

    def detach(self, upstream: Upstream) -> None:
        if self.upstream is upstream:
            self.upstream = None

    def forwarded(self, offset: int) -> None:
        """So many of the request's bytes have gone to an instance: the client may send as many more."""
        if offset > self._credited_bytes:
            self.stream.consumed(offset - self._credited_bytes)
            self._credited_bytes = offset
        if not self.replay.complete and self.upstream is not None:
            self._discard_replay(self.upstream.position)

    def _bound_memory(self) -> None:
        """Commit once the request no longer fits: what is out is then its last attempt (gRFC A6)."""
        if self.upstream is None or self.done:
            return
        if (self.replay.over_limit or self._ledger.full) and self.replay.complete and self.job is not None:
            self.job.replay_dropped = True
        if self.job is not None and (self.job.replay_dropped or self._headers_sent):
            self._discard_replay(self.upstream.position)

    def _discard_replay(self, offset: int) -> None:
        before = self.replay.buffered_bytes
        self.replay.discard_before(offset)
        self._ledger.held -= before - self.replay.buffered_bytes

    # The answer

    def begin_response(self, headers: Headers) -> None:
        """The answer's headers go out: no other attempt from here on."""
        self._headers_sent = True
        self.stream.send_headers(without_hop_by_hop(headers))
        self._bound_memory()

    def reply(self, answer: Answer) -> None:
        """The host's one answer."""
        if self.done:
            return
        final_response = self.final_response
        if answer.ending is not Ending.SERVED and answer.late:
            # Guards what the client's own clock will say anyway, and a reader that takes nothing any more.
            self.fail(Status.DEADLINE_EXCEEDED, "the deadline is over", discard_pending=True)
        elif (
            final_response is not None
            and (final_response.headers or final_response.trailers)
            and answer.ending is not Ending.REFUSED
        ):
            self._deliver(final_response)
        elif answer.ending is Ending.REFUSED:
            self.refused = True
            self.fail(
                Status.UNAVAILABLE, "refused: it has not run, come back later", retry_after=answer.retry_after
            )
        elif final_response is not None:
            self.fail(final_response.status, f"failed and may have run: {final_response.text}")
        else:
            self.fail(Status.UNAVAILABLE, "failed: it may have run")

    def _deliver(self, final_response: FinalResponse) -> None:
        """An instance's own ending, as it is."""
        self._conclude(final_response.status)
        if self._headers_sent:
            self.stream.finish(final_response.trailers)
        elif final_response.headers:
            self.stream.send_headers(without_hop_by_hop(final_response.headers), end=True)
        else:
            self.stream.send_headers(
                [(b":status", b"200"), (b"content-type", b"application/grpc"), *final_response.trailers],
                end=True,
            )

    def fail(
        self, status: Status, text: str, retry_after: int | None = None, discard_pending: bool = False
    ) -> None:
        """An ending of our own. `cut`: do not wait until what is on its way has been read."""
        if self.done:
            return
        self._conclude(status)
        if self._headers_sent:
            if discard_pending:
                self.stream.discard_pending()
            self.stream.finish(status_trailers(status, text, retry_after or None))
        else:
            self.stream.send_headers(trailers_only(status, text, retry_after or None), end=True)
        if self.job is not None:
            self.host.abandon(self.job, stop=True)

    def _conclude(self, status: Status) -> None:
        self.done = True
        self.status = status
        self._ledger.held -= self.replay.buffered_bytes
        self.replay.clear()
        self._on_ended(self, status)


class Upstream:
    """One attempt's stream, and what of the request has gone there."""

    def __init__(
        self, call: Call, attempt: Attempt, on_finished: AttemptFinished, message_bytes: int
    ) -> None:
        self.call = call
        self.attempt = attempt
        self.stream: Stream | None = None
        self.position = 0  # of the request: handed to the stream
        self.sent_bytes = 0  # of it: with the kernel
        self._on_finished = on_finished
        self._http_status = 0
        self._final_headers: Headers | None = None  # a head that is the whole answer
        self._committed = False
        self._finished = False
        self._request_ended = False  # our side, as far as it was asked for
        self._meter = MessageMeter(message_bytes)

    def forward_request(self) -> None:
        """Hand on what the client has sent since."""
        if self.stream is None or self._finished or self._request_ended:
            return
        for chunk in self.call.replay.chunks_from(self.position):
            self.stream.write(chunk)
            self.position += len(chunk)
        if self.call.replay.ended:
            self._request_ended = True
            self.stream.finish()

    def stream_consumed(self, count: int) -> None:
        if self.stream is not None:
            self.stream.consumed(count)

    def headers(self, headers: Headers, ended: bool) -> None:
        if self._finished or self._committed:
            return
        self._http_status = int(first_value(headers, b":status") or b"0")
        content_type = first_value(headers, b"content-type") or b""
        if ended or self._http_status != 200 or not content_type.startswith(b"application/grpc"):
            self._final_headers = headers
            if not ended:  # no gRPC at all, with a body that nobody reads
                self._conclude(first_value(headers, b"grpc-status") is not None)
            return
        if not self.call.host.begin_answer(self.attempt):
            self._finished = True
            if self.stream is not None:
                self.stream.reset()
            return
        self._committed = True
        self.call.begin_response(headers)

    def data(self, data: bytes) -> None:
        if not self._committed or self.call.done:
            self.stream_consumed(len(data))
        elif not self._meter.feed(data):
            self.call.fail(
                Status.RESOURCE_EXHAUSTED, "an answer's message is larger than the dispatcher takes"
            )
        else:
            self.call.stream.write(data)

    def ended(self, trailers: Headers) -> None:
        if self._finished:
            return
        if self._final_headers is not None:
            self._conclude(True)
            return
        self._finished = True
        result = self._classify(trailers)
        self.call.final_response = FinalResponse(
            result.status,
            trailers=without_hop_by_hop(trailers) or status_trailers(result.status, "no status came"),
        )
        self._on_finished(self, result, trailers)

    def _conclude(self, is_grpc: bool) -> None:
        """The answer was a head alone."""
        head = self._final_headers or []
        self._finished = True
        result = self._classify(head)
        if is_grpc and first_value(head, b"grpc-status") is not None:
            self.call.final_response = FinalResponse(result.status, headers=head)
        else:
            self.call.final_response = FinalResponse(
                result.status,
                trailers=status_trailers(
                    result.status,
                    f"an instance answered HTTP status {self._http_status} without a gRPC status",
                ),
            )
        self._on_finished(self, result, head)

    def _classify(self, trailers: Headers) -> AttemptResult:
        host, attempt = self.call.host, self.attempt
        time_left = attempt.timeout_at - host.now()
        return classify_trailers(
            self._http_status or 200,
            trailers,
            self._committed,
            time_left,
            attempt.unsafe,
            attempt.index + 1 >= host.max_attempts,
        )

    def sent(self, count: int) -> None:
        self.sent_bytes += count
        self.call.forwarded(self.sent_bytes)

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        if self._finished:
            return
        self._finished = True
        result = classify_abort(code, never_ran and not self._committed)
        self.call.final_response = FinalResponse(result.status, text=why)
        self._on_finished(self, result, [])

    def give_up(self) -> None:
        """Stop it: the instance sees RST_STREAM with CANCEL."""
        self._finished = True
        if self.stream is not None:
            self.stream.reset(Code.CANCEL)
