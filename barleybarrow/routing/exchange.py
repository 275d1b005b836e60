"""One request in the dispatcher's hands: where it is out, what was expected of it, what it has used up."""

from dataclasses import dataclass, field
from typing import NamedTuple

from barleybarrow.routing.actions import DispatchRequest
from barleybarrow.routing.pool import ServerRecord


class Choice(NamedTuple):
    """A server picked for a request and what is expected there, in milliseconds."""

    server: ServerRecord
    tokens_to_read: int
    reading_ms: float  # to read the tokens that are not believed kept
    backlog_ms: float  # to read first what this proxy sent there before
    expected_ms: float  # to the first event


@dataclass(slots=True)
class Exchange:
    """State of one request until its answer has ended."""

    request: DispatchRequest
    server: ServerRecord | None = None
    tried: list[str] = field(default_factory=list)
    attempts: int = 0  # servers it was sent to
    unreached: int = 0  # servers to which no connection could be opened
    may_have_run: bool = False
    is_stream: bool = False  # counted as a long stream at its server
    sent_at: float = 0.0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    tokens_to_read: int = 0
    reading_ms: float = 0.0
    backlog_ms: float = 0.0
    expected_ms: float = 0.0
    read_until: float = 0.0  # `unshifted_until` of its server once it was sent

    def start(self, now: float, choice: Choice) -> None:
        """Note that it goes out to a server now."""
        self.server = choice.server
        self.tried.append(choice.server.info.id)
        self.attempts += 1
        self.sent_at = self.last_event_at = now
        self.first_event_at = None
        self.tokens_to_read, self.reading_ms = choice.tokens_to_read, choice.reading_ms
        self.backlog_ms, self.expected_ms = choice.backlog_ms, choice.expected_ms
