"""Forwards one call between the client's stream and the streams of its attempts.

A `Call` owns the client's stream and ends exactly once; an `Upstream` owns the stream of one attempt. Flow
control is end to end: bytes count against their sender's window until they have been framed on the other
connection.
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

SLOW_READER_GRACE_US = 5_000_000  # time after the deadline in which a slow client may read its response


class AttemptFinished(Protocol):
    """Called by an `Upstream` once, when its attempt ends without having been given up."""

    def __call__(self, upstream: Upstream, result: AttemptResult, trailers: Headers) -> None: ...


@dataclass(slots=True)
class FinalResponse:
    """The end of an instance's response, kept until the host decides whether the call ends with it.

    A trailers-only response is kept in `headers`, any other end in `trailers`. Both are empty if the stream
    was aborted; `text` then gives the reason.
    """

    status: Status
    headers: Headers = field(default_factory=list)  # of a trailers-only response
    trailers: Headers = field(default_factory=list)
    text: str = ""


class Call:
    """A client's call. Owns the client's stream and the buffered request, and ends exactly once.

    `replay_limit` is the most bytes of the request kept for a retry, `message_bytes` the limit for each
    message, 0 for no limit. `on_ended` is called when the call ends.
    """

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
        self.upstream: Upstream | None = None  # the current attempt
        self.final_response: FinalResponse | None = None
        self.done = False
        self.status: Status | None = None
        self.refused = False  # ended as refused: the call never ran
        self.client_gone = False  # the client cancelled or disconnected before the end
        self._ledger = ledger
        self._on_ended = on_ended
        self._credited_bytes = 0  # request bytes returned to the client's flow-control window
        self._headers_sent = False  # the response headers have been sent to the client
        self._meter = MessageMeter(message_bytes)

    # Events of the client's stream (`StreamHandler`)

    def headers(self, headers: Headers, ended: bool) -> None:
        """Do nothing: the only headers that a client sends are those with which the call was created."""

    def data(self, data: bytes) -> None:
        """Buffer and forward data of the request."""
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
        """Forward the end of the request."""
        self.replay.ended = True
        if self.upstream is not None:
            self.upstream.forward_request()

    def sent(self, count: int) -> None:
        """Let the instance send as many bytes as have been sent to the client."""
        if self.upstream is not None:
            self.upstream.stream_consumed(count)

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        """End the call because the client cancelled or disconnected, and cancel it at the instance."""
        self.client_gone = True
        if not self.done:
            self._conclude(Status.CANCELLED)
            if self.job is not None:
                self.host.abandon(self.job, stop=True)

    # The request

    def attach(self, upstream: Upstream) -> None:
        """Make an attempt the current one, and forward the request to it from the beginning."""
        self.upstream = upstream
        upstream.forward_request()
        self._bound_memory()

    def detach(self, upstream: Upstream) -> None:
        """Forward no more to an attempt that has ended."""
        if self.upstream is upstream:
            self.upstream = None

    def forwarded(self, offset: int) -> None:
        """Let the client send more, after the request up to `offset` has been sent to an instance."""
        if offset > self._credited_bytes:
            self.stream.consumed(offset - self._credited_bytes)
            self._credited_bytes = offset
        if not self.replay.complete and self.upstream is not None:
            self._discard_replay(self.upstream.position)

    def _bound_memory(self) -> None:
        """Commit the call to the current attempt once the request exceeds its buffer (gRFC A6)."""
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

    # The response

    def begin_response(self, headers: Headers) -> None:
        """Send the response headers to the client, which commits the call to the current attempt."""
        self._headers_sent = True
        self.stream.send_headers(without_hop_by_hop(headers))
        self._bound_memory()

    def reply(self, answer: Answer) -> None:
        """End the call with the host's answer."""
        if self.done:
            return
        final_response = self.final_response
        if answer.ending is not Ending.SERVED and answer.late:
            # The client's own deadline ends the call with this status anyway. Pending data is discarded,
            # because a client that no longer reads would delay the end.
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
        """Forward the end of an instance's response to the client."""
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
        """End the call with a status of the dispatcher, and cancel its attempt.

        `retry_after` is the pushback in microseconds, None or 0 for none. `discard_pending` discards the data
        of the response that the client has not read yet, so that the status is not delayed.
        """
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
    """The stream of one attempt, and how much of the request has been sent on it."""

    def __init__(
        self, call: Call, attempt: Attempt, on_finished: AttemptFinished, message_bytes: int
    ) -> None:
        self.call = call
        self.attempt = attempt
        self.stream: Stream | None = None
        self.position = 0  # offset in the request up to which the stream has been given it
        self.sent_bytes = 0  # bytes of the request that have been framed, as `StreamHandler.sent` reports
        self._on_finished = on_finished
        self._http_status = 0
        self._final_headers: Headers | None = None  # of a response that is trailers-only or not gRPC
        self._committed = False  # the response headers have been forwarded
        self._finished = False
        self._request_ended = False  # the stream has been asked to end the request
        self._meter = MessageMeter(message_bytes)

    def forward_request(self) -> None:
        """Forward what the client has sent since the last time."""
        if self.stream is None or self._finished or self._request_ended:
            return
        for chunk in self.call.replay.chunks_from(self.position):
            self.stream.write(chunk)
            self.position += len(chunk)
        if self.call.replay.ended:
            self._request_ended = True
            self.stream.finish()

    def stream_consumed(self, count: int) -> None:
        """Let the instance send `count` more bytes."""
        if self.stream is not None:
            self.stream.consumed(count)

    def headers(self, headers: Headers, ended: bool) -> None:
        """Forward the response headers, or conclude a response that is trailers-only or not gRPC."""
        if self._finished or self._committed:
            return
        self._http_status = int(first_value(headers, b":status") or b"0")
        content_type = first_value(headers, b"content-type") or b""
        if ended or self._http_status != 200 or not content_type.startswith(b"application/grpc"):
            self._final_headers = headers
            if not ended:  # not a gRPC response: its body is not read
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
        """Forward data of the response, or drop it if the client can't receive it."""
        if not self._committed or self.call.done:
            self.stream_consumed(len(data))
        elif not self._meter.feed(data):
            self.call.fail(
                Status.RESOURCE_EXHAUSTED, "an answer's message is larger than the dispatcher takes"
            )
        else:
            self.call.stream.write(data)

    def ended(self, trailers: Headers) -> None:
        """Report the result of a response that has ended."""
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
        """Report the result of a response that is trailers-only or not gRPC."""
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
        """Count the request bytes that have been sent to the instance."""
        self.sent_bytes += count
        self.call.forwarded(self.sent_bytes)

    def aborted(self, code: int | None, never_ran: bool, why: str) -> None:
        """Report the result of a stream that was reset, or whose connection broke."""
        if self._finished:
            return
        self._finished = True
        result = classify_abort(code, never_ran and not self._committed)
        self.call.final_response = FinalResponse(result.status, text=why)
        self._on_finished(self, result, [])

    def give_up(self) -> None:
        """Cancel the attempt: send RST_STREAM with CANCEL to the instance."""
        self._finished = True
        if self.stream is not None:
            self.stream.reset(Code.CANCEL)
