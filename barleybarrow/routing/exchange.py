"""State of one request in the dispatcher: its current server, the estimates for it and its attempts."""

from dataclasses import dataclass, field
from typing import NamedTuple

from barleybarrow.routing.actions import DispatchRequest
from barleybarrow.routing.pool import ServerRecord


class Choice(NamedTuple):
    """The server selected for a request and the estimates for it."""

    server: ServerRecord
    prefill_tokens: int
    prefill_ms: float  # to prefill the tokens that are probably not cached
    backlog_ms: float  # to prefill what this proxy sent there before
    expected_first_event_ms: float


@dataclass(slots=True)
class RequestState:
    """State of one request until its response ends."""

    request: DispatchRequest
    server: ServerRecord | None = None
    tried: list[str] = field(default_factory=list)
    attempts: int = 0  # excluding failures to connect
    failed_connections: int = 0  # number of failures to connect
    may_have_run: bool = False
    may_move: bool = True  # False: the client has a part of the response that no other server can complete
    is_long_stream: bool = False  # counted as a long stream on its server
    sent_at: float = 0.0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    prefill_tokens: int = 0
    prefill_ms: float = 0.0
    backlog_ms: float = 0.0
    expected_first_event_ms: float = 0.0
    uncorrected_prefill_until: float = 0.0  # value of the server at sending

    def start(self, now: float, choice: Choice) -> None:
        """Record the start of an attempt."""
        self.server = choice.server
        self.tried.append(choice.server.info.id)
        self.attempts += 1
        self.sent_at = self.last_event_at = now
        self.first_event_at = None
        self.prefill_tokens, self.prefill_ms = choice.prefill_tokens, choice.prefill_ms
        self.backlog_ms, self.expected_first_event_ms = choice.backlog_ms, choice.expected_first_event_ms
