"""Graceful shutdown: its phases, their timing, and the time left for requests after the stop signal.

It is told the time and does no I/O. All times are in milliseconds on one monotonic clock. No answer may be
planned for later than `answered_by`, which is before the earliest SIGKILL.

Phases only move forward:

    SERVING    as usual, but the time allowed to late requests is cut, or they are refused at once
    DRAINING   each answer closes its connection, idle connections are closed, new ones are still accepted
    CLOSING    all requests are answered; the accept queue is emptied and refused, then the listeners close;
               it is left out only without clients, however late a stalled process gets here
    ENDED      no client is left, or only clients that do not read their answers
"""

from enum import IntEnum

MAX_DEADLINE_MS = 3000.0  # the platform caps the longest deadline at this for the kill
KILL_GRACE_MS = 700.0  # the kill comes no earlier than this after the longest deadline
MIN_ACCEPT_MS = 200.0  # after the stop signal; later new connections may no longer come
# New connections may come for 400 ms after the stop signal, as the platform says, plus time for transit.
MAX_ACCEPT_MS = 450.0
CFS_PERIOD_MS = 100.0  # the kernel's default: a process that has used up its CPU share stalls until its end
FINAL_WORK_MS = 50.0  # for the last turn of the event loop, the last answers, and 30 ms for the exit
ANSWER_COST_MS = 0.5  # milliseconds of CPU time to abort one request, answer it and close its connection
# Share of the connections, at least two, to keep free: so many requests may come in one turn of the loop.
FREE_CONNECTION_SHARE = 1 / 8
MIN_CONNECTIONS_TO_SPARE = 8  # with fewer, each connection may belong to a different client
DURATION_EWMA_WEIGHT = 1 / 16  # of a new answer in the usual duration
# From the kill until a new process serves: 300 ms, plus margin for a busy machine.
RESTART_MS = 500.0


class Phase(IntEnum):
    """A phase of the shutdown, see above."""

    SERVING = 0
    DRAINING = 1
    CLOSING = 2
    ENDED = 3


class GracefulShutdown:
    """Schedule of one shutdown, made when the stop signal arrives and tightened when stalls are observed.

    `requested_at` is when the stop signal was noticed, `max_deadline` the longest deadline in the settings,
    `cpu_share` the share of a core that the process may use (over 0; 1 or more for a whole core), and
    `min_useful_time` the shortest time with which a request is started instead of refused. `only_proxy`:
    clients have no other proxy to turn to.
    """

    def __init__(
        self,
        requested_at: float,
        max_deadline: float,
        cpu_share: float,
        min_useful_time: float,
        only_proxy: bool,
    ) -> None:
        self.requested_at, self.min_useful_time, self.only_proxy, self.usual_duration = (
            requested_at,
            min_useful_time,
            only_proxy,
            0.0,
        )
        # the earliest SIGKILL
        self.kill_at = requested_at + min(max_deadline, MAX_DEADLINE_MS) + KILL_GRACE_MS
        # the longest expected stall of the process
        self.max_stall = CFS_PERIOD_MS * (1.0 - min(cpu_share, 1.0))
        self.phase = Phase.SERVING

    @property
    def answered_by(self) -> float:
        """When all is answered: allows for a stall before the signal was noticed and one at the end."""
        return self.kill_at - FINAL_WORK_MS - 2 * self.max_stall

    @property
    def draining_from(self) -> float:
        """The time from which no request is worth starting."""
        return max(self.answered_by - self.min_time_left, self.requested_at + MAX_ACCEPT_MS)

    @property
    def ends_by(self) -> float:
        """When the process ends even if clients do not read their answers, with time left for its exit."""
        return self.answered_by + (self.kill_at - self.answered_by) / 3

    @property
    def min_time_left(self) -> float:
        """The least time left for starting a request: half of the usual duration suffices for some."""
        return max(self.min_useful_time, self.usual_duration / 2)

    def record_duration(self, elapsed: float) -> None:
        """Record the duration of a served request."""
        self.usual_duration += (
            DURATION_EWMA_WEIGHT * (elapsed - self.usual_duration) if self.usual_duration else elapsed
        )

    def is_short_of_connections(self, now: float, free: int, in_flight: int) -> bool:
        """Whether to refuse a new request so that clients keep free connections for the next ones.

        They can no longer open connections, and a front proxy that finds none free assumes that the process
        is gone. `free`: idle connections; `in_flight`: requests besides the new one.
        """
        connections = free + in_flight + 1
        if (
            not self.only_proxy
            or connections < MIN_CONNECTIONS_TO_SPARE
            or now < self.requested_at + MIN_ACCEPT_MS
        ):
            return False
        return free < max(2.0, FREE_CONNECTION_SHARE * connections)

    def time_allowed(self, now: float, span: float, in_flight: int) -> float:
        """The time that a request may take of its `span`, or 0 if it is to be refused at once.

        The more requests are in flight, the earlier the newest must end, as answering them takes CPU time.
        """
        time_left = self.answered_by - ANSWER_COST_MS * in_flight - now
        if span <= time_left:
            return span
        return time_left if time_left >= self.min_time_left else 0.0

    def retry_after(self, now: float, max_wait: float) -> float:
        """After how long a refused client may find a new process, at most `max_wait`."""
        return min(max(self.kill_at - now, 0.0) + RESTART_MS, max_wait)

    def update(self, now: float, delay: float, clients: int, listeners_closed: bool) -> Phase:
        """Return the current phase.

        Called every few milliseconds. `delay`: how late the call was; `clients`: count of client connections;
        `listeners_closed`: whether all listeners are closed.
        """
        self.max_stall = max(self.max_stall, delay)
        due = self.due_phase(now, clients, listeners_closed)
        if due is Phase.ENDED and clients and self.phase < Phase.CLOSING:
            due = Phase.CLOSING
        self.phase = max(self.phase, due)
        return self.phase

    def due_phase(self, now: float, clients: int, listeners_closed: bool) -> Phase:
        if now >= self.ends_by or listeners_closed and not clients:
            return Phase.ENDED
        if now >= self.answered_by or now >= self.requested_at + MAX_ACCEPT_MS and not clients:
            return Phase.CLOSING
        return Phase.DRAINING if now >= self.draining_from else Phase.SERVING
