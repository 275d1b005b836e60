"""Decides which connections to pool members to keep, reuse, open ahead of demand and close, and when.

It is told the time (milliseconds on one clock) and the events; it does no I/O and queues no requests.
docs/design/connections.md compares the alternatives. The number of connections has a fixed bound; apart
from them, a few numbers are kept for each member.
"""

import math
import random
from collections import Counter, deque
from typing import Any

from barleybarrow.connection_records import (
    MIN_CAP_BACKOFF_MS,
    CloseReason,
    ConnectionSettings,
    ConnectionState,
    PooledConnection,
    ServerConnections,
)

# Share of the configured idle timeout: a member may close earlier than configured, and clocks differ.
IDLE_TIMEOUT_SHARE = 0.6
# Each connection's idle limit is shortened by a random share up to this, so that connections opened together
# are not closed together.
IDLE_LIMIT_SPREAD = 0.1
# The same with preconnecting, which opens closed connections again: a wider spread paces the handshakes.
PRECONNECT_IDLE_LIMIT_SPREAD = 0.5
LIFETIME_SPREAD = 0.25  # the same for age and for number of requests, where closing early costs nothing
# After an answer: earlier closes are a habit of the member, later ones its idle timeout.
EARLY_CLOSE_MS = 100.0
MAX_EARLY_CLOSES, EARLY_CLOSE_WINDOW_MS = 64, 30_000.0
REUSE_DELAY_MARGIN = 1.25  # of the latest early close seen: another may be later, and has to travel
MIN_EARLY_CLOSES, MIN_EARLY_CLOSE_SHARE = 4, 0.002  # fewer, or a smaller share of the answers, are no habit
IMMEDIATE_RESET_MS = 50.0  # from write to reset: a connection that was already dead resets at once
SIMULTANEOUS_CLOSE_MS = 100.0  # closes of one member within this have one cause: its process ended
LIMIT_AGREEMENT = 0.2  # two closes at ages that differ by at most this share indicate an idle timeout
IDLE_LIMIT_MARGIN = 0.8  # of an observed idle timeout: the close must not cross a request on its way
MIN_IDLE_LIMIT_MS = 20.0  # no learned limit is shorter: no connection could be reused below it
MAX_TRIAL_INTERVAL_MS = 640_000.0  # until a learned limit is tried again
# Recently learned limits, whose median applies to members that have shown none.
MAX_SHARED_LIMITS, SHARED_LIMIT_TTL_MS = 9, 300_000.0
MAX_CAP_BACKOFF_MS = 30_000.0  # until a learned connection cap is tried again
MIN_CAP_REFUSALS = 2  # consecutive refusals that indicate a cap: a single connect may fail for other reasons
PEAK_WINDOWS = 6  # windows in which the peak number of connections in use is remembered
RATE_SMOOTHING_MS = 1_000.0
EWMA_WEIGHT = 1 / 16  # of a new sample in the mean time in use and the mean connect time
DEMAND_STD_DEVS = 2.0  # standard deviations of a Poisson distribution that are held above its mean
# Share of the capacity beyond which nothing is preconnected: requests take precedence.
MAX_PRECONNECT_CAPACITY_SHARE = 0.75
SWEEP_INTERVAL_MS, PRECONNECT_SWEEP_INTERVAL_MS = 250.0, 50.0
MAX_PRECONNECTS_PER_SWEEP = 6  # each takes about 0.3 ms of CPU time while requests wait
# Closes in one sweep, unless a quarter of those due is more. They can wait: a due connection is not reused.
CLOSES_PER_SWEEP = 16
MAX_AGE_CLOSE_SHARE = 1 / 16  # of the idle connections that one sweep may close for their age
MIN_PROCESS_LOSS_BREAKS = 3  # simultaneous breaks that show that the member's process ended


class Planner:
    """Decides on all connections to pool members; the driver carries out its decisions and reports events."""

    def __init__(
        self,
        settings: ConnectionSettings,
        capacity: int,
        seed: int = 0,
        idle_timeout: float = 0.0,
        cold_start: float = 0.0,
        proxies: int = 1,
    ) -> None:
        """`capacity`: maximum number of connections; `cold_start`: its length; times may be 0 for none."""
        self.settings, self.capacity, self.cold_start = settings, capacity, cold_start
        self.base_idle_limit = idle_timeout * IDLE_TIMEOUT_SHARE if idle_timeout else math.inf
        self.preconnect_interval = 1000.0 * max(proxies, 1) / settings.preconnects_per_s  # ms
        self.rng = random.Random(seed)
        self.connection_count = 0
        # those with connections or recent use, in insertion order
        self.active_servers: dict[ServerConnections, None] = {}
        self.shared_limits: deque[tuple[float, float, ServerConnections]] = deque(
            maxlen=MAX_SHARED_LIMITS
        )  # time, limit, server
        self.common_idle_limit = math.inf  # applies to members without a limit of their own
        # time, idle time, number of answers so far, member
        self.early_closes: deque[tuple[float, float, int, str]] = deque(maxlen=MAX_EARLY_CLOSES)
        self.answer_count, self.reuse_delay = 0, 0.0
        # longest idle time after which reuse worked, in the current and in the previous window
        self.max_idle_reused, self.previous_max_idle_reused = 0.0, 0.0
        self.reuse_window_start = -math.inf
        self.last_sweep_at = -math.inf
        self.closed_by_cause: Counter[CloseReason] = Counter()
        self.opened = self.preconnected = self.reused = self.moved_requests = self.blocked_by_cap = 0

    # interface for the driver

    def add_server(self, name: str, now: float, started: float = 0.0) -> ServerConnections:
        """Add a member, or a new incarnation of one; `started` is its start time, 0 for long ago."""
        return ServerConnections(name, now, started + self.cold_start if started else -math.inf)

    def remove_server(self, server: ServerConnections) -> list[PooledConnection]:
        """A member is draining, gone or restarted: no connection is kept. Returns those to close now."""
        server.removed = True
        return list(server.idle)

    def acquire(self, server: ServerConnections, now: float, safe: bool) -> PooledConnection | None:
        """Take the idle connection to use next; None if a new one is to be opened.

        `safe`: the request is safe to retry, so it may try a connection beyond the learned idle limit.
        """
        idle = server.idle
        if not idle or server.removed:
            return None
        limit, delay = self.idle_limit_of(server), self.reuse_delay_of(server)
        reusable_since = now - delay
        chosen = None
        if (
            self.settings.preconnect
            and now - idle[0].state_since > limit / 4
            and server.connection_count <= self.target_count(server)
        ):
            if self.is_usable(idle[0], now, limit, safe):
                chosen = idle[0]  # use keeps alive the connections that the forecast calls for
        if chosen is None:
            for connection in reversed(idle):
                if connection.state_since <= reusable_since:
                    if self.is_usable(connection, now, limit, safe):
                        chosen = connection
                    break  # the ones before it have been idle for longer
            if chosen is None and not (delay and self.may_open_instead(server, now)):
                chosen = next(
                    (connection for connection in idle if self.is_usable(connection, now, limit, safe)), None
                )
        if chosen is not None:
            self.mark_in_use(chosen, now)
        return chosen

    def may_open(self, server: ServerConnections, now: float) -> bool:
        """Whether a new connection may be opened now: not while the member is known to be at its cap."""
        if (
            not self.settings.learn
            or server.connection_count < server.connection_cap
            or now >= server.cap_retry_at
        ):
            return True
        self.blocked_by_cap += 1
        return False

    def eviction_candidate(self) -> PooledConnection | None:
        """The idle connection to close if room is needed, if there is one."""
        server = max(self.active_servers, key=lambda server: len(server.idle), default=None)
        return server.idle[0] if server is not None and server.idle else None

    def begin_connect(
        self, server: ServerConnections, link: Any, now: float, preconnect: bool = False
    ) -> PooledConnection:
        """A connect has begun; the caller has checked that there is room."""
        assert self.connection_count < self.capacity and not server.removed
        connection = PooledConnection(server, link, now, self.rng.random(), preconnect)
        self.connection_count += 1
        server.connection_count += 1
        self.opened += 1
        self.active_servers[server] = None
        if preconnect:
            server.preconnecting += 1
            self.preconnected += 1
            server.next_preconnect_at = now + self.preconnect_interval * (0.5 + self.rng.random())
        else:
            self.record_use(server)
        return connection

    def on_connected(self, connection: PooledConnection, now: float) -> bool:
        """A connect has succeeded. Returns whether to keep the connection: its member may have left."""
        server = connection.server
        elapsed = now - connection.state_since
        server.mean_connect_time += (elapsed - server.mean_connect_time) * (
            EWMA_WEIGHT if server.mean_connect_time else 1.0
        )
        server.consecutive_refusals = 0
        if server.connection_count > server.connection_cap:
            server.connection_cap, server.cap_backoff = server.connection_count, MIN_CAP_BACKOFF_MS
        if server.cold_until == math.inf:  # its process had ended: this is a new one
            server.cold_until = now + self.cold_start
        if not connection.is_preconnect:
            connection.state, connection.state_since = ConnectionState.BUSY, now
            return True
        server.preconnecting -= 1
        connection.state, connection.state_since, connection.is_preconnect = ConnectionState.DONE, now, False
        if server.removed:
            return False
        connection.state = ConnectionState.IDLE
        server.idle.append(connection)
        return True

    def on_connect_refused(self, server: ServerConnections, now: float) -> None:
        """A connect was refused immediately, before there was a connection to record."""
        self.closed_by_cause[CloseReason.REFUSED] += 1
        if self.settings.learn:
            self.on_refused(server, now)
            self.on_break(server, now, gone=not server.connection_count)

    def on_answer(self, connection: PooledConnection, now: float) -> None:
        """The first byte of an answer has arrived: the connection was alive."""
        server = connection.server
        server.last_answer_at, server.break_count = now, 0
        if server.refused_at is not None:
            self.on_answer_after_refusal(server, now, connection)
        self.answer_count += 1
        if connection.idle_before_use > server.proven_idle:
            server.proven_idle = connection.idle_before_use
            if connection.idle_before_use > server.idle_limit:  # a successful trial
                self.set_limit(server, now, connection.idle_before_use)
        if connection.idle_before_use > self.max_idle_reused:
            self.max_idle_reused = connection.idle_before_use

    def release(self, connection: PooledConnection, now: float) -> CloseReason | None:
        """An exchange has succeeded. Returns None if the connection is kept, else why it is to be closed."""
        server, settings = connection.server, self.settings
        self.record_use_end(connection, now)
        connection.state = ConnectionState.DONE
        if server.removed:
            return CloseReason.LEFT
        lifetime_share = 1 - LIFETIME_SPREAD * connection.jitter
        if settings.max_requests and connection.request_count >= settings.max_requests * lifetime_share:
            return CloseReason.REQUESTS
        if settings.max_age_ms and now - connection.opened_at >= settings.max_age_ms * lifetime_share:
            return CloseReason.AGE
        connection.state, connection.state_since = ConnectionState.IDLE, now
        server.idle.append(connection)
        return None

    def on_closed(self, connection: PooledConnection, now: float, cause: CloseReason) -> None:
        """A connection was closed. Repeated calls are ignored."""
        if connection.state is ConnectionState.CLOSED:
            return
        server, state = connection.server, connection.state
        if connection.is_preconnect:
            server.preconnecting -= 1
        elif state is ConnectionState.OPENING:
            server.in_use -= 1
        elif state is ConnectionState.BUSY:
            self.record_use_end(connection, now)
        elif state is ConnectionState.IDLE:
            server.idle.remove(connection)
        connection.state = ConnectionState.CLOSED
        server.connection_count -= 1
        self.connection_count -= 1
        self.closed_by_cause[cause] += 1
        if not self.settings.learn:
            return
        if cause is CloseReason.ENDED:
            self.on_idle_close(connection, now)
        elif cause is CloseReason.REFUSED:
            self.on_refused(server, now)
        if cause in (CloseReason.RESET, CloseReason.REFUSED, CloseReason.UNWRITTEN):
            self.on_break(
                server,
                now,
                connection.lost_stale,
                cause is CloseReason.REFUSED and not server.connection_count,
            )

    def on_request_lost(self, connection: PooledConnection, now: float, wrote: float, reset: bool) -> None:
        """A request written completely at `wrote` got no byte of an answer, but a reset or a timeout."""
        server, age = connection.server, connection.idle_before_use
        if age <= EARLY_CLOSE_MS or not self.settings.learn:
            return  # new, or idle only briefly: not stale
        if now - wrote > IMMEDIATE_RESET_MS if reset else server.last_answer_at <= wrote:
            return  # the process may have reset it, or may be answering nobody at present
        if now - server.last_break_at <= SIMULTANEOUS_CLOSE_MS:
            return  # others that were not stale broke too: the process ended
        connection.lost_stale = True
        if server.before_stale_loss is None or now - server.before_stale_loss[0] > SIMULTANEOUS_CLOSE_MS:
            server.before_stale_loss = now, server.idle_limit, server.proven_idle
        if age <= server.proven_idle:
            server.proven_idle /= 2  # a longer idle time has worked: only repeated losses count
        else:
            self.shorten_limit(server, now, max(age / 2, server.proven_idle * IDLE_LIMIT_MARGIN))

    def on_idle_timeout_announced(self, connection: PooledConnection, limit: float) -> None:
        """An answer stated the member's idle timeout."""
        if self.settings.learn:
            connection.server.idle_limit = max(
                MIN_IDLE_LIMIT_MS, min(connection.server.idle_limit, limit * IDLE_LIMIT_MARGIN)
            )

    def sweep(self, now: float) -> tuple[list[tuple[PooledConnection, CloseReason]], list[ServerConnections]]:
        """What to close, and the members to which one connection each is to be opened."""
        due: list[tuple[PooledConnection, CloseReason]] = []
        to_preconnect: list[ServerConnections] = []
        self.expire_samples(now)
        overloaded, self.last_sweep_at = now - self.last_sweep_at > 1.5 * self.sweep_interval_ms, now
        age_closes_left = max(
            1, int(MAX_AGE_CLOSE_SHARE * sum(len(server.idle) for server in self.active_servers))
        )
        for server in list(self.active_servers):
            age_closes_left = self.update_server(server, now, due, age_closes_left)
            if self.settings.preconnect and self.should_preconnect(server, now):
                to_preconnect.append(server)
            if not server.connection_count and (
                server.removed or not self.settings.preconnect or not any(server.in_use_peaks)
            ):
                del self.active_servers[server]
        allowed = min(
            MAX_PRECONNECTS_PER_SWEEP,
            int(self.capacity * MAX_PRECONNECT_CAPACITY_SHARE) - self.connection_count,
        )
        if overloaded or allowed <= 0:
            to_preconnect = []  # no work that is not needed yet
        elif len(to_preconnect) > allowed:
            to_preconnect = self.rng.sample(to_preconnect, allowed)
        return due[: max(CLOSES_PER_SWEEP, len(due) // 4)], to_preconnect

    def summary(self) -> str:
        """One line for the log: connections opened, and closed by cause."""
        causes = ", ".join(
            f"{cause.value} {count}" for cause, count in sorted(self.closed_by_cause.items(), key=str)
        )
        return (
            f"{self.opened} opened, {self.preconnected} of them ahead, {self.reused} times used again, "
            f"{self.moved_requests} requests moved, {self.blocked_by_cap} not opened; "
            f"closed: {causes or 'none'}"
        )

    @property
    def sweep_interval_ms(self) -> float:
        """Milliseconds from one sweep to the next."""
        return PRECONNECT_SWEEP_INTERVAL_MS if self.settings.preconnect else SWEEP_INTERVAL_MS

    # use of connections

    def is_usable(self, connection: PooledConnection, now: float, limit: float, safe: bool) -> bool:
        """Whether a request may be sent on an idle connection."""
        if self.is_worn_out(connection):
            return False
        age = now - connection.state_since
        return age < self.own_idle_limit(limit, connection) or (
            safe and connection.on_trial and age < 2 * limit
        )

    def is_worn_out(self, connection: PooledConnection) -> bool:
        """Whether a connection has carried all requests that the limit in force allows."""
        return 0 < self.settings.max_requests <= connection.request_count

    def mark_in_use(self, connection: PooledConnection, now: float) -> None:
        server = connection.server
        if server.idle[-1] is connection:
            server.idle.pop()
        else:
            server.idle.remove(connection)
        connection.state, connection.idle_before_use, connection.state_since, connection.on_trial = (
            ConnectionState.BUSY,
            now - connection.state_since,
            now,
            False,
        )
        self.reused += 1
        self.record_use(server)

    def record_use(self, server: ServerConnections) -> None:
        server.in_use += 1
        server.acquired += 1
        if server.in_use > server.in_use_peaks[-1]:
            server.in_use_peaks[-1] = server.in_use

    def record_use_end(self, connection: PooledConnection, now: float) -> None:
        server = connection.server
        server.in_use -= 1
        connection.request_count += 1
        elapsed = now - connection.state_since
        server.mean_use_time += (elapsed - server.mean_use_time) * (
            EWMA_WEIGHT if server.mean_use_time else 1.0
        )

    # idle limits and caps

    def idle_limit_of(self, server: ServerConnections) -> float:
        """The idle time beyond which no connection to a member is used, before jitter shortens it."""
        if server.idle_limit < math.inf:
            return min(server.idle_limit, self.base_idle_limit)
        return min(
            max(self.common_idle_limit, server.proven_idle, IDLE_LIMIT_MARGIN * self.longest_idle_reused),
            self.base_idle_limit,
        )

    @property
    def longest_idle_reused(self) -> float:
        """The longest idle time after which reuse of a connection to any member worked recently."""
        return max(self.max_idle_reused, self.previous_max_idle_reused)

    def shortest_idle_limit(self, limit: float) -> float:
        """The shortest idle limit that jitter can give a connection."""
        return limit * (1 - (PRECONNECT_IDLE_LIMIT_SPREAD if self.settings.preconnect else IDLE_LIMIT_SPREAD))

    def own_idle_limit(self, limit: float, connection: PooledConnection) -> float:
        """The idle limit of one connection, with its jitter."""
        shortest = self.shortest_idle_limit(limit)
        return limit - (limit - shortest) * connection.jitter if limit < math.inf else limit

    def shorten_limit(self, server: ServerConnections, now: float, limit: float) -> None:
        """A connection was dead after an idle time thought safe: the interval to the next trial doubles."""
        if server.idle_limit < math.inf:
            server.trial_interval = min(2 * server.trial_interval, MAX_TRIAL_INTERVAL_MS)
        self.set_limit(server, now, min(limit, self.idle_limit_of(server)))

    def set_limit(self, server: ServerConnections, now: float, limit: float) -> None:
        server.idle_limit = max(MIN_IDLE_LIMIT_MS, min(limit, self.base_idle_limit))
        server.trial_at = now + server.trial_interval
        self.shared_limits.append((now, server.idle_limit, server))
        self.update_common_limit()

    def update_common_limit(self) -> None:
        """Once two members have shown limits, their median applies to members that have shown none."""
        limits = sorted(limit for _, limit, _ in self.shared_limits)
        from_several = len({server for *_, server in self.shared_limits}) > 1
        self.common_idle_limit = limits[len(limits) // 2] if from_several else math.inf

    def expire_samples(self, now: float) -> None:
        """Drop expired samples from all members."""
        if self.early_closes and now - self.early_closes[0][0] > EARLY_CLOSE_WINDOW_MS:
            self.early_closes.popleft()
            self.update_reuse_delay()
        while self.shared_limits and now - self.shared_limits[0][0] > SHARED_LIMIT_TTL_MS:
            self.shared_limits.popleft()
            self.update_common_limit()
        if now - self.reuse_window_start > EARLY_CLOSE_WINDOW_MS / 2:
            self.max_idle_reused, self.previous_max_idle_reused, self.reuse_window_start = (
                0.0,
                self.max_idle_reused,
                now,
            )

    def on_idle_close(self, connection: PooledConnection, now: float) -> None:
        """A member has closed an idle connection: the idle time may indicate its idle timeout."""
        server, age = connection.server, now - connection.state_since
        if connection.request_count and age <= EARLY_CLOSE_MS:
            self.record_early_close(server, now, age)
            return
        previous, server.last_idle_close = server.last_idle_close, (now, age)
        if (
            previous is None
            or now - previous[0] <= SIMULTANEOUS_CLOSE_MS
            or server.last_answer_at <= previous[0]
        ):
            return  # the first close, or its process ended
        if abs(age - previous[1]) > LIMIT_AGREEMENT * max(age, previous[1]):
            return
        limit = min(age, previous[1]) * IDLE_LIMIT_MARGIN
        if server.idle_limit < math.inf or limit < self.base_idle_limit:  # may raise a learned limit
            server.proven_idle = min(server.proven_idle, limit)
            self.set_limit(server, now, limit)

    def on_break(
        self, server: ServerConnections, now: float, stale: bool = False, gone: bool = False
    ) -> None:
        """Several simultaneous breaks mean that the process ended, not that limits were exceeded.

        A limit learned from the first of them is undone, and the member is taken to restart cold.
        """
        if (
            not stale
            and server.before_stale_loss is not None
            and now - server.before_stale_loss[0] <= SIMULTANEOUS_CLOSE_MS
        ):
            since, server.idle_limit, server.proven_idle = server.before_stale_loss
            server.before_stale_loss = None
            undone = [entry for entry in self.shared_limits if entry[2] is server and entry[0] >= since]
            for entry in undone:
                self.shared_limits.remove(entry)
            self.update_common_limit()
        if not stale:
            server.break_count = (
                server.break_count + 1 if now - server.last_break_at <= SIMULTANEOUS_CLOSE_MS else 1
            )
            server.last_break_at = now
        if gone or server.break_count >= MIN_PROCESS_LOSS_BREAKS:
            server.cold_until, server.last_idle_close, server.connection_cap, server.refused_at = (
                math.inf,
                None,
                math.inf,
                None,
            )

    def on_refused(self, server: ServerConnections, now: float) -> None:
        """A refused connect indicates a cap only if the member keeps answering: an ending one refuses too."""
        if server.refused_at is None or now - server.refused_at > MIN_CAP_BACKOFF_MS:
            server.refused_at = now if server.connection_count else None

    def on_answer_after_refusal(
        self, server: ServerConnections, now: float, connection: PooledConnection
    ) -> None:
        """An answer after a refused connect: decide whether the member has a connection cap."""
        if server.refused_at is None or now - server.refused_at < SIMULTANEOUS_CLOSE_MS:
            return  # an answer sent before the process ended may still arrive
        if connection.opened_at < server.refused_at and now - server.refused_at <= MIN_CAP_BACKOFF_MS:
            server.consecutive_refusals += 1
        if server.consecutive_refusals >= MIN_CAP_REFUSALS:
            server.connection_cap = server.connection_count
            server.cap_retry_at = now + server.cap_backoff
            server.cap_backoff = min(2 * server.cap_backoff, MAX_CAP_BACKOFF_MS)
        server.refused_at = None

    # reuse delay, for members that close connections soon after an answer

    def record_early_close(self, server: ServerConnections, now: float, age: float) -> None:
        self.early_closes.append((now, age, self.answer_count, server.name))
        self.update_reuse_delay()

    def update_reuse_delay(self) -> None:
        """Set the delay of reuse after an answer: longer than the latest early close seen."""
        self.reuse_delay = 0.0
        if not self.settings.delay_reuse or len(self.early_closes) < MIN_EARLY_CLOSES:
            return
        answers = self.answer_count - self.early_closes[0][2] + 1
        if len(self.early_closes) < MIN_EARLY_CLOSE_SHARE * answers or len(
            {member for *_, member in self.early_closes}
        ) < min(3, len(self.active_servers)):
            return
        self.reuse_delay = REUSE_DELAY_MARGIN * max(age for _, age, *_ in self.early_closes)

    def reuse_delay_of(self, server: ServerConnections) -> float:
        """Milliseconds after an answer in which a connection is not reused; 0 if none outlives the delay."""
        return self.reuse_delay if self.reuse_delay and self.longest_idle_reused > self.reuse_delay else 0.0

    def may_open_instead(self, server: ServerConnections, now: float) -> bool:
        """Whether a new connection may be opened rather than reuse one before its delay is over."""
        return (
            now >= server.cold_until
            and self.connection_count < self.capacity * MAX_PRECONNECT_CAPACITY_SHARE
            and len(server.idle) <= server.in_use + 4
            and (server.connection_count < server.connection_cap or now >= server.cap_retry_at)
        )

    # sweeping

    def update_server(
        self,
        server: ServerConnections,
        now: float,
        due: list[tuple[PooledConnection, CloseReason]],
        age_closes_left: int,
    ) -> int:
        """Append to `due` what is to be closed, and update the forecast; returns the age closes left."""
        limit, age = self.idle_limit_of(server), self.settings.max_age_ms
        trial_due, shortest = now >= server.trial_at, self.shortest_idle_limit(limit)
        for position, connection in enumerate(server.idle):
            idle_time = now - connection.state_since
            if idle_time < shortest and not age and not self.settings.max_requests:
                break  # those after it have been idle for less time
            if self.is_worn_out(connection):
                due.append((connection, CloseReason.REQUESTS))
            elif idle_time >= self.own_idle_limit(limit, connection):
                if trial_due and not position and idle_time < min(2 * limit, self.base_idle_limit):
                    connection.on_trial = True
                    continue
                due.append((connection, CloseReason.IDLE))
            elif (
                age
                and age_closes_left > 0
                and now - connection.opened_at >= age * (1 - LIFETIME_SPREAD * connection.jitter)
            ):
                due.append((connection, CloseReason.AGE))
                age_closes_left -= 1
        elapsed = now - server.updated_at
        window = self.settings.peak_window_ms / PEAK_WINDOWS
        if elapsed > 0:
            weight = min(1.0, elapsed / RATE_SMOOTHING_MS)
            server.acquire_rate += (server.acquired / elapsed - server.acquire_rate) * weight
            server.acquired = 0
            if now // window != server.updated_at // window:
                for _ in range(min(PEAK_WINDOWS, int(now // window - server.updated_at // window))):
                    server.in_use_peaks.append(server.in_use)
                    del server.in_use_peaks[:-PEAK_WINDOWS]
            server.updated_at = now
        return age_closes_left

    def target_count(self, server: ServerConnections) -> int:
        """How many connections to a member the forecast calls for."""
        peak = max(server.in_use_peaks)
        if not peak:
            return 0
        mean = server.acquire_rate * server.mean_use_time
        return (
            max(peak, math.ceil(mean + DEMAND_STD_DEVS * math.sqrt(mean))) + self.settings.spare_connections
        )

    def should_preconnect(self, server: ServerConnections, now: float) -> bool:
        """Whether to open a connection ahead of demand: one at a time, none while the member may be cold."""
        return (
            not server.removed
            and not server.preconnecting
            and now >= max(server.next_preconnect_at, server.cold_until)
            and server.connection_count < min(self.target_count(server), server.connection_cap)
        )
