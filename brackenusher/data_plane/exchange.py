"""One request of a client, from its last byte to its one final answer.

The states, and what each may be followed by, are the table `NEXT_STATES`; nothing else changes the state.

WAITING     the dispatcher has not named a server (any more); no attempt is out
ATTEMPTING  an attempt is out; the client has received nothing
RELAYING    the client has received the head, an attempt is out
RESUMING    the client has received the head and some events; the attempt broke; another may go on
ANSWERED    the final answer is written, or the client's connection was cut, or the client left
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
from brackenusher.data_plane.event_stream import (
    EventSplitter,
    EventTooLargeError,
    StreamEvent,
    StreamPosition,
)
from brackenusher.data_plane.headers import (
    NOT_EXECUTED,
    REQUEST_ID,
    RESPONSE_STAMP,
    Header,
    RequestFacts,
    end_to_end,
    first_value,
    read_number,
    send_headers,
)
from brackenusher.data_plane.upstream_connection import UpstreamConnection

log = logging.getLogger(__name__)

HELD_ANSWER_BYTES = (
    64 * 1024
)  # an answer up to this size is passed on whole, so that a broken one can be repeated
PROMISES = frozenset(
    (408, 421, 429, 503)
)  # statuses that promise that the request has not run and never will
MISDIRECTED = 421
# Clients give a stream up after a silence of the longest of these three.
PATIENCE_MS = 2000.0
PATIENCE_MARGIN_MS = 100.0  # the last event reaches the client later than it leaves here
PATIENCE_AIMS = 4  # times the latency objective of the route
PATIENCE_GAPS = 8  # times the longest pause that the route allows between events


class State(Enum):
    """Where an exchange stands."""

    WAITING = "waiting"
    ATTEMPTING = "attempting"
    RELAYING = "relaying"
    RESUMING = "resuming"
    ANSWERED = "answered"


NEXT_STATES: dict[State, frozenset[State]] = {
    State.WAITING: frozenset((State.ATTEMPTING, State.ANSWERED)),
    State.ATTEMPTING: frozenset((State.WAITING, State.ATTEMPTING, State.RELAYING, State.ANSWERED)),
    State.RELAYING: frozenset((State.RESUMING, State.ANSWERED)),
    State.RESUMING: frozenset((State.RELAYING, State.ANSWERED)),
    State.ANSWERED: frozenset(),
}


@dataclass(slots=True)
class ClientRequest:
    """A request as it was read, whole, from its client."""

    method: bytes
    target: bytes
    facts: RequestFacts
    base_headers: list[Header]  # what goes on to every server
    body: bytes
    arrived_at: float  # seconds on the loop's clock: when the head was read


class ClientSide(Protocol):
    """The client's connection, as an exchange sees it."""

    def send_head(self, status: int, headers: list[Header]) -> None:
        """The head of an answer whose body follows."""

    def send_body(self, data: bytes) -> None:
        """Bytes of the body."""

    def send_end(self) -> None:
        """The answer is whole."""

    def send_whole(self, status: int, headers: list[Header], body: bytes) -> None:
        """A whole answer at once."""

    def send_own(self, status: int, reason: str, retry_after_ms: float | None = None) -> None:
        """A whole answer of the proxy's own."""

    def abort(self) -> None:
        """Cut the connection: what was sent is not a whole answer."""


class ExchangeOwner(Protocol):
    """The proxy, as an exchange sees it."""

    def now_s(self) -> float:
        """Seconds on the loop's clock."""

    def not_sent(self, exchange: "Exchange", server_id: str) -> None:
        """No connection: nothing was sent to the server."""

    def rejected(
        self, exchange: "Exchange", server_id: str, status: int, retry_after_ms: float | None
    ) -> None:
        """The server said that it did not run the request."""

    def event_passed(self, exchange: "Exchange", server_id: str, first: bool) -> None:
        """An event of the stream was passed on."""

    def attempt_over(self, exchange: "Exchange", server_id: str, outcome: Outcome) -> None:
        """The attempt ended in this way."""

    def closed(self, exchange: "Exchange") -> None:
        """The exchange has had its final answer."""

    def call_at(self, moment_s: float, callback: Callable[[], None]) -> None:
        """Call back at this moment of the loop's clock."""


@dataclass(slots=True)
class HeldAnswer:
    """A server's answer that the client has not received yet."""

    status: int
    headers: list[Header]
    body: list[bytes] = field(default_factory=list)
    size: int = 0


class Exchange:
    """See the module's docstring. `number` is its name towards the dispatcher."""

    def __init__(
        self,
        owner: ExchangeOwner,
        client: ClientSide,
        number: int,
        request: ClientRequest,
        route: Route,
        service: str,
        deadline_at: float,
    ) -> None:
        self.number = number
        self.request = request
        self.request_id = request.facts.request_id
        self.route = route
        self.service = service
        self.deadline_at = deadline_at  # seconds on the loop's clock
        self.state = State.WAITING
        self.idempotent = route.kind == RouteKind.SAFE or (
            route.kind == RouteKind.STREAMING and route.resumable
        )
        self.sends = 0  # how often bytes of the request were written to a server
        self._rejections = 0  # how many of those the server did not run, by its own word
        self.attempt: Attempt | None = None
        self._owner = owner
        self._client = client
        self._held: HeldAnswer | None = None
        self._is_stream = False
        self._splitter = EventSplitter()
        self._position = StreamPosition(request.facts.last_event_id)
        self._events_passed = 0
        self._paused = False
        self._progress_at = request.arrived_at  # seconds on the loop's clock: of the last event

    @property
    def may_have_run(self) -> bool:
        """Whether some server may have run the request."""
        return self.sends > self._rejections

    @property
    def begun(self) -> bool:
        """Whether the client has received a part of the answer."""
        return self.state in (State.RELAYING, State.RESUMING)

    def may_send(self) -> bool:
        """Whether a further send breaks no promise: nothing runs twice, no answer is mixed of two."""
        if self.may_have_run and not self.idempotent:
            return False
        return not self.begun or (self.route.resumable and self._resume_after() is not None)

    # What the proxy does with it

    def start_attempt(self, server_id: str, priority: int | None) -> Attempt:
        """A new attempt takes the place of the one that is out, if any; the caller gets it a connection."""
        self.drop_attempt()
        if self.state is State.RELAYING:
            self._move(State.RESUMING)
        elif self.state is State.WAITING:
            self._move(State.ATTEMPTING)
        self.attempt = Attempt(self, server_id, priority)
        return self.attempt

    def drop_attempt(self) -> None:
        """Give up the attempt that is out, if any."""
        attempt, self.attempt = self.attempt, None
        self._held = None
        self._splitter = EventSplitter()
        if attempt is not None:
            attempt.cancel()

    def refuse(self, status: int, reason: str, retry_after_ms: float) -> None:
        """End with a promise that the request has not run; where it may have run, end it as failed."""
        if self.may_have_run and not self.idempotent:
            self.fail(502, reason)
            return
        self._end_with_own(status, reason, retry_after_ms)

    def fail(self, status: int, reason: str) -> None:
        """End with 502 or 504, or cut a stream that has begun."""
        self._end_with_own(status, reason, None)

    def pass_held_answer(self) -> None:
        """The server's whole answer becomes the final one."""
        held = self._held
        assert held is not None
        self.drop_attempt()
        self._move(State.ANSWERED)
        if held.status in PROMISES and not self.idempotent:
            self._client.send_own(502, "the server's answer does not say that the request has not run")
        else:
            self._client.send_whole(held.status, end_to_end(held.headers), b"".join(held.body))
        self._owner.closed(self)

    def has_held_answer(self) -> bool:
        """Whether a server's whole answer waits for `pass_held_answer`."""
        return self._held is not None

    def leave(self) -> None:
        """The client is gone."""
        if self.state is State.ANSWERED:
            return
        self.drop_attempt()
        self._move(State.ANSWERED)
        self._owner.closed(self)

    def client_ended(self) -> None:
        """The client sends no more; after the silence at which clients give a stream up it is gone."""
        if self.route.kind == RouteKind.STREAMING and self.state is not State.ANSWERED:
            self._owner.call_at(self._progress_at + self._patience_s(), self._client_gave_up)

    def _patience_s(self) -> float:
        route = self.route
        silence_ms = max(
            PATIENCE_MS, PATIENCE_AIMS * route.target_latency_ms, PATIENCE_GAPS * route.gap_aim_ms
        )
        return (silence_ms + PATIENCE_MARGIN_MS) / 1000.0

    def _client_gave_up(self) -> None:
        if self.state is State.ANSWERED:
            return
        if self._owner.now_s() < self._progress_at + self._patience_s():
            self.client_ended()  # events have come meanwhile
            return
        self.leave()
        self._client.abort()

    def pause(self) -> None:
        """The client reads too slowly."""
        self._paused = True
        if self.attempt is not None:
            self.attempt.pause()

    def resume(self) -> None:
        """The client has caught up."""
        self._paused = False
        if self.attempt is not None:
            self.attempt.resume()

    # What its attempt tells it

    def write_request(self, attempt: Attempt, connection: UpstreamConnection) -> bool:
        """Send the request, with what is left of its time."""
        left_ms = (self.deadline_at - self._owner.now_s()) * 1000.0
        if left_ms <= 0:
            return False  # the deadline's own timer answers
        headers = send_headers(
            self.request.base_headers, attempt.server_id, left_ms, attempt.priority, self._resume_after()
        )
        try:
            connection.send(self.request.method, self.request.target, headers, self.request.body, attempt)
        except h11.LocalProtocolError as error:
            log.error("request %d cannot be sent on: %s", self.number, error)
            self.fail(502, "the request cannot be sent on")
            return False
        self.sends += 1
        if self._paused:
            attempt.pause()
        return True

    def attempt_not_sent(self, attempt: Attempt) -> None:
        """Nothing was sent."""
        self._attempt_gone()
        self._owner.not_sent(self, attempt.server_id)

    def attempt_unsent(self, attempt: Attempt, reason: str) -> None:
        """Not one byte of the request was written: it cannot have run."""
        log.info("request %d: server %s: not sent: %s", self.number, attempt.server_id, reason)
        self.sends -= 1
        self.attempt_not_sent(attempt)

    def attempt_head(self, attempt: Attempt, status: int, headers: list[Header]) -> None:
        """Hold the head until it is known what to do with it."""
        self._held = HeldAnswer(status, headers)
        content_type = first_value(headers, b"content-type") or b""
        self._is_stream = status == 200 and content_type.lower().startswith(b"text/event-stream")
        if self._is_rejection():
            return
        fault = self._fault(status, headers)
        if fault:
            self.drop_attempt()
            self.attempt_broken(attempt, fault)

    def attempt_body(self, attempt: Attempt, data: bytes) -> None:
        """Pass events on as they come; hold other bodies."""
        if self._is_stream:
            self._take_stream(attempt, data)
        elif self.state is State.RELAYING:
            self._client.send_body(data)
        else:
            self._hold(data)

    def attempt_end(self, attempt: Attempt) -> None:
        """The server's answer is whole."""
        held = self._held
        self.attempt = None
        if held is not None and self._is_rejection():
            self._take_rejection(attempt, held)
        elif self.state in (State.RELAYING, State.RESUMING):
            self._end_relayed(attempt)
        elif held is not None:
            if self._is_stream and self._splitter.rest():
                self._hold(self._splitter.rest())
            failed = held.status >= 500
            self._owner.attempt_over(
                self, attempt.server_id, Outcome.ERROR_STATUS if failed else Outcome.SERVED
            )

    def attempt_broken(self, attempt: Attempt, reason: str) -> None:
        """The answer is not whole."""
        log.info("request %d: server %s: %s", self.number, attempt.server_id, reason)
        held = self._held
        if held is not None and self._is_rejection():
            self._take_rejection(attempt, held)
            return
        began = self.begun
        self._attempt_gone()
        self._owner.attempt_over(self, attempt.server_id, Outcome.BROKEN_STREAM if began else Outcome.BROKEN)

    # Inner steps

    def _move(self, state: State) -> None:
        if state not in NEXT_STATES[self.state]:
            raise AssertionError(f"an exchange goes from {self.state} to {state}")
        self.state = state

    def _attempt_gone(self) -> None:
        self.drop_attempt()
        if self.state is State.RELAYING:
            self._move(State.RESUMING)
        elif self.state is State.ATTEMPTING:
            self._move(State.WAITING)

    def _end_with_own(self, status: int, reason: str, retry_after_ms: float | None) -> None:
        if self.state is State.ANSWERED:
            return
        begun = self.begun
        self.drop_attempt()
        self._move(State.ANSWERED)
        if begun:
            self._client.abort()
        else:
            self._client.send_own(status, reason, retry_after_ms)
        self._owner.closed(self)

    def _resume_after(self) -> str | None:
        return self._position.last_id if self._events_passed else None

    def _is_rejection(self) -> bool:
        held = self._held
        if held is None or held.status not in PROMISES:
            return False
        return held.status == MISDIRECTED or first_value(held.headers, NOT_EXECUTED) is not None

    def _fault(self, status: int, headers: list[Header]) -> str:
        """Why an answer cannot be this request's; empty if it can."""
        if self._events_passed and not self._is_stream:
            return f"status {status} in place of the rest of a stream"
        if self.request_id is not None and first_value(headers, REQUEST_ID) is None:
            return "an answer without the request's id"
        if 200 <= status < 300 and first_value(headers, RESPONSE_STAMP) is None:
            return "a success without its stamp"
        return ""

    def _take_rejection(self, attempt: Attempt, held: HeldAnswer) -> None:
        self._attempt_gone()
        self._rejections += 1
        seconds = read_number(first_value(held.headers, b"retry-after") or b"")
        retry_after_ms = None if seconds is None else seconds * 1000.0
        self._owner.rejected(self, attempt.server_id, held.status, retry_after_ms)

    def _hold(self, data: bytes) -> None:
        held = self._held
        assert held is not None
        held.body.append(data)
        held.size += len(data)
        if held.size > HELD_ANSWER_BYTES and not self._is_rejection():
            self._begin_relaying(held)
            self._client.send_body(b"".join(held.body))

    def _begin_relaying(self, held: HeldAnswer) -> None:
        self._move(State.RELAYING)
        self._client.send_head(held.status, end_to_end(held.headers))

    def _take_stream(self, attempt: Attempt, data: bytes) -> None:
        try:
            events = self._splitter.feed(data)
        except EventTooLargeError:
            self.drop_attempt()
            self.attempt_broken(attempt, "an event without end")
            return
        if not events:
            return
        if (
            self._events_passed and not attempt.events
        ):  # a further run: it has to go on where the last one broke
            events = [event for event in events if not self._position.is_repeat(event.id)]
            if events and self._position.is_gap(events[0].id):
                self.drop_attempt()
                self.attempt_broken(attempt, "events are missing")
                return
        self._pass_events(attempt, events)

    def _pass_events(self, attempt: Attempt, events: list[StreamEvent]) -> None:
        if not events:
            return
        if self.state is State.ATTEMPTING:
            assert self._held is not None
            self._begin_relaying(self._held)
        elif self.state is State.RESUMING:
            self._move(State.RELAYING)
        self._client.send_body(b"".join([event.data for event in events]))
        for event in events:
            self._position.advance(event.id)
            self._owner.event_passed(self, attempt.server_id, first=not attempt.events)
            attempt.events += 1
        self._events_passed += len(events)
        self._progress_at = self._owner.now_s()

    def _end_relayed(self, attempt: Attempt) -> None:
        if self._is_stream and self._splitter.rest():
            self._client.send_body(self._splitter.rest())
        self.drop_attempt()
        self._move(State.ANSWERED)
        self._client.send_end()
        self._owner.attempt_over(self, attempt.server_id, Outcome.SERVED)
        self._owner.closed(self)
