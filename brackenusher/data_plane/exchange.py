"""State machine of one client request, from its last byte to its single final response.

`STATE_TRANSITIONS` lists the allowed transitions; only `_transition` changes the state.

WAITING     waits for the dispatcher to choose a server; no attempt is in flight
ATTEMPTING  an attempt is in flight; the client has received nothing
RELAYING    an attempt is in flight; the client has received the response head
RESUMING    the client has received the head and some events, the attempt failed, another may resume
ANSWERED    the final response is written, or the client's connection was closed by either side
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import h11

from barleybarrow.documents import Route, RouteKind
from barleybarrow.routing.actions import Outcome
from brackenusher.data_plane.attempt import Attempt
from brackenusher.data_plane.client_end import ClientEnd, EndSign
from brackenusher.data_plane.client_request import ClientRequest, ResponseWriter
from brackenusher.data_plane.event_stream import (
    EventSplitter,
    EventTooLargeError,
    StreamEvent,
    StreamPosition,
)
from brackenusher.data_plane.headers import (
    CONTENT_ENCODING,
    NOT_EXECUTED,
    REQUEST_ID,
    RESPONSE_STAMP,
    Header,
    attempt_headers,
    first_value,
    forwarded_response_headers,
    parse_nonnegative,
    states_body_end,
)
from brackenusher.data_plane.upstream_connection import UpstreamConnection

log = logging.getLogger(__name__)

# Responses up to this size are forwarded only once complete, so that an incomplete one can be retried.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
# These statuses guarantee that the request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED = 421
MAX_SEND_AFTER_CLIENT_END_S = 0.4  # for an unsafe request that waits for a connection to its server
CLIENT_HAS_ENDED = "the client's side of the connection has ended"


class State(Enum):
    """State of an exchange; see the module's docstring."""

    WAITING = "waiting"
    ATTEMPTING = "attempting"
    RELAYING = "relaying"
    RESUMING = "resuming"
    ANSWERED = "answered"


STATE_TRANSITIONS: dict[State, frozenset[State]] = {
    State.WAITING: frozenset((State.ATTEMPTING, State.ANSWERED)),
    State.ATTEMPTING: frozenset((State.WAITING, State.ATTEMPTING, State.RELAYING, State.ANSWERED)),
    State.RELAYING: frozenset((State.RESUMING, State.ANSWERED)),
    State.RESUMING: frozenset((State.RELAYING, State.ANSWERED)),
    State.ANSWERED: frozenset(),
}


class ExchangeOwner(Protocol):
    """The proxy's interface to an exchange."""

    def now_s(self) -> float:
        """Seconds on the loop's clock."""

    def attempt_not_sent(self, exchange: "Exchange", server_id: str) -> None:
        """Nothing was sent to the server."""

    def attempt_rejected(
        self, exchange: "Exchange", server_id: str, status: int, retry_after_ms: float | None
    ) -> None:
        """The server stated that it did not execute the request."""

    def event_forwarded(self, exchange: "Exchange", server_id: str, first: bool) -> None:
        """An event of the stream was forwarded to the client."""

    def response_progress(self, exchange: "Exchange", server_id: str, may_move: bool) -> None:
        """A part of the response has arrived; `may_move`: another server may still respond."""

    def attempt_finished(self, exchange: "Exchange", server_id: str, outcome: Outcome) -> None:
        """The attempt ended with this outcome."""

    def client_ended(self, exchange: "Exchange", end: ClientEnd) -> None:
        """The first sign of the end of the client's connection, before the exchange has ended."""

    def exchange_closed(self, exchange: "Exchange") -> None:
        """The exchange has ended."""

    def call_at(self, moment_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at this time of the loop's clock."""


@dataclass(slots=True)
class BufferedResponse:
    """A server's response that has not been forwarded to the client yet."""

    status: int
    headers: list[Header]
    body: list[bytes] = field(default_factory=list)
    size: int = 0


class Exchange:
    """See the module's docstring. `number` identifies it to the dispatcher."""

    def __init__(
        self,
        owner: ExchangeOwner,
        client: ResponseWriter,
        number: int,
        request: ClientRequest,
        route: Route,
        service: str,
        deadline_at: float,
    ) -> None:
        self.number = number
        self.request = request
        self.request_id = request.metadata.request_id
        self.route = route
        self.service = service
        self.deadline_at = deadline_at  # seconds on the loop's clock
        self.state = State.WAITING
        self.idempotent = route.kind == RouteKind.SAFE or (
            route.kind == RouteKind.STREAMING and route.resumable
        )
        self.sent_count = 0  # attempts that wrote bytes of the request to a server
        self._rejections = 0  # how many of those the server stated it did not execute
        self.attempt: Attempt | None = None
        self.client_end: ClientEnd | None = None
        self._owner = owner
        self._client = client
        self._response: BufferedResponse | None = None
        self._is_stream = False
        self._ends_with_connection = False  # the server's response does not state where it ends
        self._event_splitter = EventSplitter()
        self._position = StreamPosition(request.metadata.last_event_id)
        self._events_forwarded = 0
        self._paused = False
        self._may_move = True  # as reported to the owner

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have executed the request."""
        return self.sent_count > self._rejections

    @property
    def response_started(self) -> bool:
        """Whether the client has received part of the response."""
        return self.state in (State.RELAYING, State.RESUMING)

    def may_send(self) -> bool:
        """Whether another attempt is allowed: it must not execute a non-idempotent request twice, nor mix two
        responses.
        """
        if self.may_have_run and not self.idempotent:
            return False
        return not self.response_started or self._resumes()

    def _resumes(self) -> bool:
        """Whether another server can continue the response that the client has a part of."""
        return self.route.resumable and self._resume_after_id() is not None

    # Called by the proxy

    def start_attempt(self, server_id: str, priority: int | None) -> Attempt:
        """Replace the attempt in flight, if any, by a new one; the caller gets it a connection."""
        self.cancel_attempt()
        if self.state is State.RELAYING:
            self._transition(State.RESUMING)
        elif self.state is State.WAITING:
            self._transition(State.ATTEMPTING)
        self.attempt = Attempt(self, server_id, priority)
        return self.attempt

    def cancel_attempt(self) -> None:
        """Cancel the attempt in flight, if any."""
        attempt, self.attempt = self.attempt, None
        self._response = None
        self._event_splitter = EventSplitter()
        if attempt is not None:
            attempt.cancel()

    def refuse(self, status: int, reason: str, retry_after_ms: float | None) -> None:
        """End with a status that guarantees that the request was not executed; if it may have been, fail."""
        if self.may_have_run and not self.idempotent:
            self.fail(502, reason)
            return
        self._finish_with_local_reply(status, reason, retry_after_ms)

    def fail(self, status: int, reason: str) -> None:
        """End with 502 or 504, or reset the client's connection if the response has started."""
        self._finish_with_local_reply(status, reason, None)

    def send_buffered_response(self) -> None:
        """Send the server's complete response as the final one."""
        response = self._response
        assert response is not None
        self.cancel_attempt()
        self._transition(State.ANSWERED)
        if response.status in NOT_EXECUTED_STATUSES and not self.idempotent:
            self._client.send_local_reply(
                502, "the server's answer does not say that the request has not run"
            )
        else:
            headers = forwarded_response_headers(response.headers, may_continue_elsewhere=False)
            self._client.send_response(response.status, headers, b"".join(response.body))
        self._owner.exchange_closed(self)

    def has_buffered_response(self) -> bool:
        """Whether a server's complete response waits for `send_buffered_response`."""
        return self._response is not None

    def client_disconnected(self) -> None:
        """The client's connection is closed."""
        if self.state is State.ANSWERED:
            return
        self._record_client_end(EndSign.DISCONNECTED)
        self.cancel_attempt()
        self._transition(State.ANSWERED)
        self._owner.exchange_closed(self)

    def client_half_closed(self) -> None:
        """The client's input has ended, which is all that a client that closes its socket shows.

        The request ends, as nobody may be waiting any more; a client that only half-closed gets an error.
        Only an unsafe request that a server may be executing goes on: its work cannot be done again.
        """
        self._record_client_end(EndSign.HALF_CLOSED)
        if self.route.kind == RouteKind.UNSAFE and self.attempt is not None:
            self._owner.call_at(self._owner.now_s() + MAX_SEND_AFTER_CLIENT_END_S, self._end_unless_sent)
        else:
            self.refuse(503, CLIENT_HAS_ENDED, None)

    def _end_unless_sent(self) -> None:
        if not self.may_have_run:
            self.refuse(503, CLIENT_HAS_ENDED, None)

    def _record_client_end(self, sign: EndSign) -> None:
        if self.client_end is None and self.state is not State.ANSWERED:
            self.client_end = ClientEnd(sign, self._owner.now_s())
            self._owner.client_ended(self, self.client_end)

    def pause(self) -> None:
        """Stop reading from the server: the client's write buffer is full."""
        self._paused = True
        if self.attempt is not None:
            self.attempt.pause()

    def resume(self) -> None:
        """Read from the server again."""
        self._paused = False
        if self.attempt is not None:
            self.attempt.resume()

    # Called by the attempt (AttemptOwner)

    def write_request(self, attempt: Attempt, connection: UpstreamConnection) -> bool:
        """Write the request, with the time remaining until its deadline."""
        remaining_ms = (self.deadline_at - self._owner.now_s()) * 1000.0
        if remaining_ms <= 0:
            return False  # the deadline timer sends the response
        headers = attempt_headers(
            self.request.base_headers,
            attempt.server_id,
            remaining_ms,
            attempt.priority,
            self._resume_after_id(),
        )
        try:
            connection.send(self.request.method, self.request.target, headers, self.request.body, attempt)
        except h11.LocalProtocolError as error:
            log.error("request %d: cannot be forwarded: %s", self.number, error)
            self.fail(502, "the request cannot be sent on")
            return False
        self.sent_count += 1
        if self._paused:
            attempt.pause()
        return True

    def attempt_connect_failed(self, attempt: Attempt) -> None:
        """No connection could be had; nothing was sent."""
        self._end_attempt()
        self._owner.attempt_not_sent(self, attempt.server_id)

    def attempt_not_written(self, attempt: Attempt, reason: str) -> None:
        """No byte of the request was written: the server cannot have executed it."""
        log.info("request %d: server %s: nothing written: %s", self.number, attempt.server_id, reason)
        self.sent_count -= 1
        self.attempt_connect_failed(attempt)

    def attempt_head(self, attempt: Attempt, status: int, headers: list[Header]) -> None:
        """Buffer the response head; it is forwarded with the first event or body bytes."""
        self._response = BufferedResponse(status, headers)
        content_type = first_value(headers, b"content-type") or b""
        self._is_stream = status == 200 and content_type.lower().startswith(b"text/event-stream")
        self._ends_with_connection = not states_body_end(headers)
        if self._is_rejection():
            return
        error = self._response_error(status, headers)
        if error:
            self.cancel_attempt()
            self.attempt_broken(attempt, error)

    def attempt_body(self, attempt: Attempt, data: bytes) -> None:
        """Forward events as they arrive; buffers other bodies."""
        if self._is_stream:
            self._handle_stream_data(attempt, data)
            return
        if self.state is State.RELAYING:
            self._client.send_body(data)
        else:
            self._buffer_body(data)
        if not self._is_rejection():
            self._report_progress(attempt)

    def attempt_complete(self, attempt: Attempt) -> None:
        """The server's response is complete."""
        response = self._response
        self.attempt = None
        if response is not None and self._is_rejection():
            self._handle_rejection(attempt, response)
        elif response is not None and self._is_torn(response):
            self.attempt_broken(attempt, "the stream ended with its connection, inside an event")
        elif self.state in (State.RELAYING, State.RESUMING):
            self._finish_relayed(attempt)
        elif response is not None:
            if self._is_stream and self._event_splitter.remainder():
                self._buffer_body(self._event_splitter.remainder())
            failed = response.status >= 500
            self._owner.attempt_finished(
                self, attempt.server_id, Outcome.ERROR_STATUS if failed else Outcome.SERVED
            )

    def attempt_broken(self, attempt: Attempt, reason: str) -> None:
        """The response ended prematurely."""
        log.info("request %d: server %s: %s", self.number, attempt.server_id, reason)
        response = self._response
        if response is not None and self._is_rejection():
            self._handle_rejection(attempt, response)
            return
        started = self.response_started
        self._end_attempt()
        self._owner.attempt_finished(
            self, attempt.server_id, Outcome.BROKEN_STREAM if started else Outcome.BROKEN
        )

    # Internals

    def _transition(self, state: State) -> None:
        if state not in STATE_TRANSITIONS[self.state]:
            raise AssertionError(f"invalid state transition of an exchange: {self.state} to {state}")
        self.state = state

    def _end_attempt(self) -> None:
        self.cancel_attempt()
        if self.state is State.RELAYING:
            self._transition(State.RESUMING)
        elif self.state is State.ATTEMPTING:
            self._transition(State.WAITING)

    def _finish_with_local_reply(self, status: int, reason: str, retry_after_ms: float | None) -> None:
        if self.state is State.ANSWERED:
            return
        started = self.response_started
        self.cancel_attempt()
        self._transition(State.ANSWERED)
        if started:
            self._client.abort()
        else:
            self._client.send_local_reply(status, reason, retry_after_ms)
        self._owner.exchange_closed(self)

    def _resume_after_id(self) -> str | None:
        return self._position.last_id if self._events_forwarded else None

    def _is_rejection(self) -> bool:
        response = self._response
        if response is None or response.status not in NOT_EXECUTED_STATUSES:
            return False
        return response.status == MISDIRECTED or first_value(response.headers, NOT_EXECUTED) is not None

    def _response_error(self, status: int, headers: list[Header]) -> str:
        """Why a response cannot belong to this request; empty if it can."""
        if self._events_forwarded and not self._is_stream:
            return f"status {status} instead of the remainder of a stream"
        if self.request_id is not None and first_value(headers, REQUEST_ID) is None:
            return "response without the request's id"
        if 200 <= status < 300 and first_value(headers, RESPONSE_STAMP) is None:
            return "successful response without its stamp"
        return ""

    def _is_torn(self, response: BufferedResponse) -> bool:
        """Whether a stream shows that its server broke it off: only then is the end of a connection no end of
        the response.
        """
        return (
            self._is_stream
            and self._ends_with_connection
            and first_value(response.headers, CONTENT_ENCODING) is None
            and self._event_splitter.ends_inside_event()
        )

    def _handle_rejection(self, attempt: Attempt, response: BufferedResponse) -> None:
        self._end_attempt()
        self._rejections += 1
        seconds = parse_nonnegative(first_value(response.headers, b"retry-after") or b"")
        retry_after_ms = None if seconds is None else seconds * 1000.0
        self._owner.attempt_rejected(self, attempt.server_id, response.status, retry_after_ms)

    def _buffer_body(self, data: bytes) -> None:
        response = self._response
        assert response is not None
        response.body.append(data)
        response.size += len(data)
        if response.size > MAX_BUFFERED_RESPONSE_BYTES and not self._is_rejection():
            self._start_relaying(response)
            self._client.send_body(b"".join(response.body))

    def _report_progress(self, attempt: Attempt) -> None:
        self._may_move = not self.response_started or self._resumes()
        self._owner.response_progress(self, attempt.server_id, self._may_move)

    def _start_relaying(self, response: BufferedResponse) -> None:
        self._transition(State.RELAYING)
        may_continue_elsewhere = self._is_stream and self.route.resumable
        headers = forwarded_response_headers(response.headers, may_continue_elsewhere)
        self._client.send_head(response.status, headers)

    def _handle_stream_data(self, attempt: Attempt, data: bytes) -> None:
        try:
            events = self._event_splitter.feed(data)
        except EventTooLargeError:
            self.cancel_attempt()
            self.attempt_broken(attempt, "an event exceeds the size limit")
            return
        if not events:
            return
        # A resumed stream has to continue where the last attempt stopped.
        if self._events_forwarded and not attempt.events_forwarded:
            events = [event for event in events if not self._position.is_duplicate(event.id)]
            if events and self._position.is_gap(events[0].id):
                self.cancel_attempt()
                self.attempt_broken(attempt, "events are missing from the resumed stream")
                return
        self._forward_events(attempt, events)

    def _forward_events(self, attempt: Attempt, events: list[StreamEvent]) -> None:
        if not events:
            return
        if self.state is State.ATTEMPTING:
            assert self._response is not None
            self._start_relaying(self._response)
        elif self.state is State.RESUMING:
            self._transition(State.RELAYING)
        self._client.send_body(b"".join([event.data for event in events]))
        for event in events:
            self._position.advance(event.id)
            self._owner.event_forwarded(self, attempt.server_id, first=not attempt.events_forwarded)
            attempt.events_forwarded += 1
        self._events_forwarded += len(events)
        if self.idempotent and self._resumes() != self._may_move:
            self._report_progress(attempt)

    def _finish_relayed(self, attempt: Attempt) -> None:
        if self._is_stream and self._event_splitter.remainder():
            self._client.send_body(self._event_splitter.remainder())
        self.cancel_attempt()
        self._transition(State.ANSWERED)
        self._client.send_end()
        self._owner.attempt_finished(self, attempt.server_id, Outcome.SERVED)
        self._owner.exchange_closed(self)
