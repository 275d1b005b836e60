"""What the dispatcher is told and what it answers: typed values without behaviour, no I/O.

All times are milliseconds of one monotonic clock; token counts are whole numbers.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from barleybarrow.documents import Route

RequestId = int  # the proxy's own number of an exchange, never used twice in one process


class Outcome(StrEnum):
    """How an attempt ended."""

    SERVED = "served"  # a whole answer, also one with a status under 500
    ERROR_STATUS = "error_status"  # a whole answer with a status of 500 or more: the request has run
    BROKEN = "broken"  # the connection ended before the answer's first event: the request may have run
    BROKEN_STREAM = "broken_stream"  # the connection ended after the first event and before the end
    TIMED_OUT = "timed_out"  # the server kept silent until the proxy gave the attempt up
    CANCELLED = "cancelled"  # the proxy ended the attempt itself: no word on the server


class ServerState(StrEnum):
    """What a server says of itself."""

    READY = "ready"
    DRAINING = "draining"


class RefusalReason(StrEnum):
    """Why the dispatcher refuses a request, for logs and counters."""

    NO_SERVER = "no_server"  # none is listed, or all are draining
    ALL_EJECTED = "all_ejected"  # all are left alone after failures
    OVERLOADED = "overloaded"  # all are full by their own word or by learned latency
    ATTEMPTS_SPENT = "attempts_spent"  # no further server may be tried; no server ran the request
    DEADLINE = "deadline"  # no time is left; no server ran the request


class FailureReason(StrEnum):
    """Why the dispatcher ends a request that may have run."""

    CONNECTION_BROKEN = "connection_broken"
    STREAM_BROKEN = "stream_broken"
    SERVER_SILENT = "server_silent"


@dataclass(slots=True)
class DispatchSettings:
    """What the dispatcher is told once."""

    zone: str = ""
    proxies: int = 1  # how many proxies are believed to send to the same servers; at least 1
    again_ms: float = 3000.0  # within which a shared part had better not be read again elsewhere


@dataclass(slots=True)
class ServerInfo:
    """One server as the list of its service has it."""

    id: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = ServerState.READY
    cold_remaining_ms: float = 0.0
    models: tuple[str, ...] = ()


@dataclass(slots=True)
class DispatchRequest:
    """One client request whose server is to be chosen."""

    id: RequestId
    route: Route
    service: str
    tenant: str
    priority: int  # 0 is foremost: the tenant's if it has one, else the route's
    arrived_at: float
    deadline_at: float
    prompt_tokens: int = 0
    output_tokens: int = 0  # the most it generates
    prompt_parts: tuple[tuple[str, int], ...] = ()  # (id, tokens), in order; the last is the request's own
    model: str = ""
    resumed_after: str | None = None  # Last-Event-Id of a client that continues a stream


@dataclass(slots=True)
class Send:
    """Send the request to this server now.

    An attempt that is still out elsewhere is given up first; no event of it is told any more. A stream that
    has begun goes on at the new server after the last event that reached the client.
    """

    request_id: RequestId
    server_id: str
    priority: int | None = None  # X-Brackenusher-Priority, 0 to 9; None: leave it out


@dataclass(slots=True)
class Refuse:
    """Answer 503 or 429: the request has not run and never will."""

    request_id: RequestId
    status: int
    retry_after_ms: float
    reason: str


@dataclass(slots=True)
class Fail:
    """Answer 502 or 504, or end the stream as incomplete: the request may have run."""

    request_id: RequestId
    status: int
    reason: str


@dataclass(slots=True)
class Probe:
    """Ask a server for its report or its health; `path` is the request's target."""

    server_id: str
    path: str


Action = Send | Refuse | Fail | Probe


@dataclass(slots=True)
class Counters:
    """Counts by name since the start, for logs and status pages."""

    counts: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, by: int = 1) -> None:
        """Add to the count of a name."""
        self.counts[name] = self.counts.get(name, 0) + by
