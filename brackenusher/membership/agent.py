"""Client of the local discovery agent: connections, time-outs and retries."""

import logging
import random
import socket
from collections.abc import Sequence
from functools import partial

from barleybarrow import interface as face
from brackenusher.core.transaction import Transactions
from brackenusher.membership.discovery import Discovery, DiscoveryError
from brackenusher.runtime.buffers import BufferPool
from brackenusher.runtime.driver import Address, start_connect, write
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, WRITE, Coroutine, EventLoop, Task, clock
from brackenusher.runtime.timers import Timer
from brackenusher.upstream.listing import Listing
from brackenusher.upstream.pool import Pool

log = logging.getLogger(__name__)

SILENCE = 3500.0  # milliseconds; discovery sends a line every 2 s, and an incomplete line counts as silence
FIRST_WORD = 250.0  # milliseconds; the agent is local and answers at once, if at all
# One call in SLOW_RESPONSE_EVERY waits longer, in case the agent is slow.
SLOW_RESPONSE_TIMEOUT_MS, SLOW_RESPONSE_EVERY = 1500.0, 40
# Share of the permitted interval between two calls. On demand, the agent queues calls, and its work for one
# that timed out is wasted.
ON_DEMAND_TIMEOUT_SHARE = 0.5
BACK_OFF = 100.0  # milliseconds between calls; with FIRST_WORD below the grace period of a drain, 500 ms


class Agent:
    """Keeps the pool up to date from discovery's agent."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        pool: Pool,
        owner: Transactions,
        buffers: BufferPool,
        rng: random.Random,
    ) -> None:
        self.loop, self.address, self.pool, self.owner, self.buffers = loop, address, pool, owner, buffers
        self.rng = rng
        self.seq: int | None = None  # of the current list; None requests the full list
        settings = owner.balancer.conf
        self.on_demand = settings.must_ask  # the policy schedules the calls, with back-off and jitter
        self.on_demand_timeout_ms = max(
            SLOW_RESPONSE_TIMEOUT_MS, ON_DEMAND_TIMEOUT_SHARE * settings.ask_within
        )
        self.failures = 0  # consecutive failed calls
        self.responded = False  # data has arrived on the current connection
        self.response_timer: Timer | None = None
        self.timed_out = False  # the timer has expired; buffered input is still read once
        self.retry_timer: Timer | None = None
        self.protocol: Discovery | None = None  # of the current connection
        self.task: Task  # coroutine of the current connection

    def move(self, address: Address) -> None:
        """Switch to another agent at once and request the full list from it."""
        old, self.protocol = self.protocol, None
        if old is not None and not self.task.ended:
            self.task.stop()
        self.address, self.seq, self.failures = address, None, 0
        self.connect()

    def connect(self) -> None:
        """Open a connection unless one is already open."""
        if self.protocol is not None and not self.task.ended:
            return
        self.loop.timers.remove(self.retry_timer)
        try:
            sock, _ = start_connect(self.address)
        except OSError as error:
            self.schedule_retry(str(error))
            return
        self.protocol, self.responded = Discovery(f"{self.address[0]}:{self.address[1]}", self.seq), False
        self.task = self.loop.spawn(self.run(sock, self.protocol), sock)
        self.set_timeout(self.first_response_timeout())

    def set_timeout(self, duration_ms: float) -> None:
        """Restart the timer for the next message of the agent."""
        self.loop.timers.remove(self.response_timer)
        self.timed_out, self.response_timer = (
            False,
            self.loop.timers.add(clock() + duration_ms, self.silent),
        )

    def first_response_timeout(self) -> float:
        """Time-out in milliseconds for the first response to a call.

        A call made while discovery was silent is never answered, and the agent considers later changes
        delivered. Waiting for such a call would keep traffic on servers that were drained long ago.
        """
        if self.on_demand:
            return self.on_demand_timeout_ms
        return (
            SLOW_RESPONSE_TIMEOUT_MS
            if self.failures % SLOW_RESPONSE_EVERY == SLOW_RESPONSE_EVERY - 1
            else FIRST_WORD
        )

    def run(self, sock: socket.socket, protocol: Discovery) -> Coroutine:
        reason = "ended"
        try:
            if not (yield WRITE):
                raise DiscoveryError("silent")
            unsent, self.to_send = protocol.start(), b""
            while True:
                if unsent:
                    unsent = write(sock, unsent)
                yield READ | (WRITE if unsent else 0)
                try:
                    self.buffers.receive(sock, partial(self.on_bytes, protocol))
                    unsent += self.to_send
                except BlockingIOError:
                    pass
                if self.timed_out:
                    raise DiscoveryError("silent")
        except (OSError, DiscoveryError) as error:
            reason = str(error)
        finally:
            self.loop.timers.remove(self.response_timer)
            if self.loop.running and protocol is self.protocol:
                if protocol.watching and not self.on_demand:
                    self.seq = None  # request the full list, see `schedule_retry`
                self.schedule_retry(reason)

    def on_bytes(self, protocol: Discovery, data: memoryview) -> None:
        """Parse received data and pass each list to the policy."""
        # any first data shows that the agent is up
        received_before = protocol.messages_received if self.responded else -1
        listings: Sequence[Listing] = ()
        try:
            listings, self.to_send = protocol.receive(data)
        except DiscoveryError as error:
            listings = error.listings
            raise
        finally:
            for listing in listings:
                self.seq = listing.seq
                self.owner.post(self.pool.apply(listing))
        self.responded, self.failures = True, 0
        if protocol.messages_received > received_before:
            self.set_timeout(SILENCE)

    def silent(self) -> None:
        """Time out, but first read what may already be in the socket buffer."""
        self.response_timer, self.timed_out = None, True
        self.task.wake()

    def schedule_retry(self, reason: str) -> None:
        """Retry after a back-off; on demand, when the policy asks for it.

        After a lost watch the full list is requested: a resumed watch sends nothing while nothing changes, so
        it can't be told from a hung one, whereas a list arrives at once or the call has failed. On demand,
        where calls are expensive, the watch is resumed from the current list.
        """
        self.failures += 1
        if self.on_demand or self.failures & (self.failures - 1) == 0:  # the first, second, fourth, ...
            log_event(log, logging.WARNING, "discovery_lost", "discovery: %(why)s", why=reason)
        if self.on_demand:
            self.owner.post(face.ListChanged(face.ListScope.LOST, []))
            return
        delay_ms = BACK_OFF * (0.5 + self.rng.random())
        self.loop.timers.remove(self.retry_timer)
        self.retry_timer = self.loop.timers.add(clock() + delay_ms, self.connect)
