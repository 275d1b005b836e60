"""Records of connections to pool members: settings, causes of closes, and what is known of each member.

They hold what `barleybarrow.connections` decides on; all times are in milliseconds on one clock.
"""

import math
from dataclasses import dataclass
from enum import Enum
from typing import Any

# Until a learned limit, or a learned connection cap, is first tried again; it doubles with each failure.
MIN_TRIAL_INTERVAL_MS, MIN_CAP_BACKOFF_MS = 10_000.0, 1_000.0


class CloseReason(Enum):
    """Why a connection was closed; the values appear in the metrics."""

    IDLE = "idle"  # it reached its idle limit
    AGE = "age"  # it reached the configured maximum age
    REQUESTS = "requests"  # it carried the configured maximum number of requests
    ENDED = "ended"  # the member closed it between two requests
    STRAY = "stray"  # unsolicited bytes arrived
    TOLD = "told"  # a response announced the close, or could not be read to its end
    UNWRITTEN = "unwritten"  # it broke before the whole request was written: the request never ran
    RESET = "reset"  # it broke after the whole request was written
    REFUSED = "refused"  # the connect was refused or timed out
    GIVEN_UP = "given_up"  # the attempt on it timed out or was cancelled
    LEFT = "left"  # the member is draining, gone, or has restarted
    ROOM = "room"  # closed to make room for another connection
    FAULT = "fault"  # an internal error, or the end of this process


@dataclass(frozen=True)
class ConnectionSettings:
    """Settings of the operators; times in milliseconds, 0 for never or off."""

    learn: bool = True  # learn the idle timeouts and connection caps of members
    # retry a request that provably never ran on another connection to the same member
    retry_unsent: bool = True
    # delay reuse after an answer where members close connections soon after answers
    delay_reuse: bool = False
    max_age_ms: float = 0.0  # maximum age of a connection
    max_requests: int = 0  # maximum number of requests on a connection
    preconnect: bool = False  # open connections ahead of demand
    spare_connections: int = 1  # idle connections kept beyond the forecast
    peak_window_ms: float = 60_000.0  # how long a peak is remembered
    preconnects_per_s: float = 10.0  # connections opened ahead per second and member, by all proxies together
    subset_size: int = 0  # minimum number of members that a proxy sees
    subset_index: int = -1  # of this proxy; -1: as the platform's settings say
    subset_proxies: int = 0  # number of proxies; 0: as the platform's settings say


class ConnectionState(Enum):
    """Where a connection is between its connect and its close."""

    OPENING = 0
    IDLE = 1
    BUSY = 2
    DONE = 3  # after its last exchange, to be closed
    CLOSED = 4


class PooledConnection:
    """The planner's record of one connection."""

    __slots__ = (
        "server link state is_preconnect opened_at state_since idle_before_use request_count jitter on_trial "
        "lost_stale".split()
    )

    def __init__(
        self, server: "ServerConnections", link: Any, now: float, jitter: float, ahead: bool
    ) -> None:
        self.server, self.link, self.opened_at, self.jitter, self.is_preconnect = (
            server,
            link,
            now,
            jitter,
            ahead,
        )
        self.state = ConnectionState.OPENING
        self.state_since = now
        # how long it had been idle when it was last acquired; negative on its first request
        self.idle_before_use = -1.0
        self.request_count = 0
        self.on_trial = False  # it is kept beyond the learned limit, to try whether that has grown
        self.lost_stale = False  # it broke because it had been idle for too long


class ServerConnections:
    """The connections to one incarnation of one member, and what was learned about it."""

    __slots__ = (
        "name cold_until removed idle connection_count in_use preconnecting idle_limit proven_idle "
        "before_stale_loss trial_at trial_interval last_idle_close break_count last_break_at last_answer_at "
        "refused_at consecutive_refusals connection_cap cap_retry_at cap_backoff in_use_peaks acquired "
        "acquire_rate mean_use_time updated_at next_preconnect_at mean_connect_time"
    ).split()

    def __init__(self, name: str, now: float, cold_until: float) -> None:
        self.name, self.cold_until, self.removed = name, cold_until, False
        # least recently used first; an empty deque would take 760 bytes
        self.idle: list[PooledConnection] = []
        # all; in use; still connecting and opened ahead
        self.connection_count = self.in_use = self.preconnecting = 0
        # the idle time learned as too long, and the one after which reuse was proven to work
        self.idle_limit, self.proven_idle = math.inf, 0.0
        # when a stale connection was lost, and both limits before that
        self.before_stale_loss: tuple[float, float, float] | None = None
        self.trial_at, self.trial_interval = math.inf, MIN_TRIAL_INTERVAL_MS
        self.last_idle_close: tuple[float, float] | None = None  # when, and after what idle time
        self.break_count, self.last_break_at = 0, -math.inf  # connections that broke at the same time
        self.last_answer_at = -math.inf
        self.connection_cap, self.cap_retry_at, self.cap_backoff = math.inf, -math.inf, MIN_CAP_BACKOFF_MS
        self.refused_at: float | None = None  # a refused connect whose cause is not known yet
        self.consecutive_refusals = 0  # those that may indicate a cap
        self.in_use_peaks = [0]  # by window, the last one current; PEAK_WINDOWS at most
        self.acquired, self.acquire_rate = 0, 0.0  # since the last sweep; per millisecond
        self.mean_use_time = 0.0  # milliseconds, exponentially smoothed
        self.updated_at, self.next_preconnect_at = now, now
        self.mean_connect_time = 0.0  # milliseconds, exponentially smoothed
