"""Inputs and actions of the dispatcher, as plain data types.

All times are milliseconds of one monotonic clock; token counts are integers.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from barleybarrow.documents import Route

RequestId = int  # assigned by the proxy, unique within the process


class Outcome(StrEnum):
    """How an attempt ended."""

    SERVED = "served"  # a complete response with a status below 500
    ERROR_STATUS = "error_status"  # a complete response with a status of 500 or more: the request has run
    BROKEN = "broken"  # the connection ended before the first event: the request may have run
    BROKEN_STREAM = "broken_stream"  # the connection ended between the first event and the end
    TIMED_OUT = "timed_out"  # the server sent nothing until the proxy ended the attempt
    CANCELLED = "cancelled"  # the proxy ended the attempt itself: says nothing about the server


class ServerState(StrEnum):
    """State that a server reports."""

    READY = "ready"
    DRAINING = "draining"


class RefusalReason(StrEnum):
    """Why the dispatcher refuses a request, for logs and counters."""

    NO_SERVER = "no_server"  # no server is listed, or all are draining
    ALL_EJECTED = "all_ejected"  # all servers are ejected after failures
    OVERLOADED = "overloaded"  # all servers report overload or exceed the expected latency
    ATTEMPTS_SPENT = "attempts_spent"  # no further server may be tried; no server ran the request
    DEADLINE = "deadline"  # no time is left; no server ran the request


class FailureReason(StrEnum):
    """Why the dispatcher ends a request that may have run."""

    CONNECTION_BROKEN = "connection_broken"
    STREAM_BROKEN = "stream_broken"
    SERVER_SILENT = "server_silent"


@dataclass(slots=True)
class DispatchSettings:
    """Settings of the dispatcher."""

    zone: str = ""
    proxies: int = 1  # number of proxies assumed to send to the same servers; at least 1
    # Repeating the prefill of a shared segment on another server within this time has a cost.
    recompute_window_ms: float = 3000.0


@dataclass(slots=True)
class ServerInfo:
    """One server as listed for its service."""

    id: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = ServerState.READY
    cold_remaining_ms: float = 0.0
    models: tuple[str, ...] = ()


@dataclass(slots=True)
class DispatchRequest:
    """One client request to be routed."""

    id: RequestId
    route: Route
    service: str
    tenant: str
    priority: int  # 0 is the highest; of the tenant if it has one, else of the route
    arrived_at: float
    deadline_at: float
    prompt_tokens: int = 0
    output_tokens: int = 0  # maximum to be generated
    # (id, tokens) in prompt order; the last is unique to the request.
    prompt_segments: tuple[tuple[str, int], ...] = ()
    model: str = ""
    resumed_after: str | None = None  # Last-Event-Id of a client that resumes a stream


@dataclass(slots=True)
class Send:
    """Send the request to this server now.

    An active attempt at another server is cancelled first, and no further event of it is reported. A stream
    that has begun is resumed on the new server after the last event that reached the client.
    """

    request_id: RequestId
    server_id: str
    priority: int | None = None  # X-Brackenusher-Priority, 0 to 9; None omits the header


@dataclass(slots=True)
class Refuse:
    """Respond with 503 or 429: the request has not run and never will."""

    request_id: RequestId
    status: int
    retry_after_ms: float
    reason: str


@dataclass(slots=True)
class Fail:
    """Respond with 502 or 504, or end the stream as incomplete: the request may have run."""

    request_id: RequestId
    status: int
    reason: str


@dataclass(slots=True)
class Probe:
    """Probe a server for its load report or its health; `path` is the request target."""

    server_id: str
    path: str


Action = Send | Refuse | Fail | Probe


@dataclass(slots=True)
class Counters:
    """Event counts since the start, by name, for logs and status pages."""

    counts: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, amount: int = 1) -> None:
        """Increase the count of a name."""
        self.counts[name] = self.counts.get(name, 0) + amount
