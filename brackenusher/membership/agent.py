"""The driver toward discovery's agent: keeps the pool up to date."""

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

SILENCE = 3500.0  # discovery sends a line every 2 s; bytes that end no line are no word of it
FIRST_WORD = 250.0  # the agent is on this machine and answers at once, if at all: what it has counts as told
SLOW_WORD, SLOW_EACH = 1500.0, 40  # one call in so many waits longer, should the agent be a slow one
ASKED_WORD = 0.5  # of what the settings allow between two calls: where it must be asked, calls wait in turn,
# and one that is given up on has been worked on for nothing
BACK_OFF = 100.0  # between two calls; with the first word it stays below the grace of a drain, 500 ms


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
        self.seq: int | None = None  # of the list that is held; none: the whole list is asked for
        settings = owner.balancer.conf
        self.must_ask = settings.must_ask  # then the module says when: its waits grow, and spread
        self.asked_word = max(SLOW_WORD, ASKED_WORD * settings.ask_within)
        self.failures = 0  # calls in a row
        self.spoke = False  # a byte has come on the present connection
        self.limit: Timer | None = None
        self.late = False  # the limit is reached, and it is looked once more
        self.retry: Timer | None = None
        self.machine: Discovery | None = None  # that of the connection which counts
        self.task: Task  # and its coroutine

    def move(self, address: Address) -> None:
        """Leave this agent for another at once; that one is asked for the whole list."""
        old, self.machine = self.machine, None
        if old is not None and not self.task.ended:
            self.task.stop()
        self.address, self.seq, self.failures = address, None, 0
        self.connect()

    def connect(self) -> None:
        """Open a connection, unless one is open."""
        if self.machine is not None and not self.task.ended:
            return
        self.loop.timers.remove(self.retry)
        try:
            sock, _ = start_connect(self.address)
        except OSError as error:
            self.again(str(error))
            return
        self.machine, self.spoke = Discovery(f"{self.address[0]}:{self.address[1]}", self.seq), False
        self.task = self.loop.spawn(self.run(sock, self.machine), sock)
        self.wait(self.patience())

    def wait(self, span: float) -> None:
        """Give the agent so many milliseconds for its next word."""
        self.loop.timers.remove(self.limit)
        self.late, self.limit = False, self.loop.timers.add(clock() + span, self.silent)

    def patience(self) -> float:
        """Milliseconds until the first word of a call.

        A call that was made while discovery was silent is never answered, and a change that comes after
        counts as told: who sits such a call out sends to servers that were drained long ago.
        """
        if self.must_ask:
            return self.asked_word
        return SLOW_WORD if self.failures % SLOW_EACH == SLOW_EACH - 1 else FIRST_WORD

    def run(self, sock: socket.socket, machine: Discovery) -> Coroutine:
        why = "ended"
        try:
            if not (yield WRITE):
                raise DiscoveryError("silent")
            rest, self.call = machine.start(), b""
            while True:
                if rest:
                    rest = write(sock, rest)
                yield READ | (WRITE if rest else 0)
                try:
                    self.buffers.receive(sock, partial(self.take, machine))
                    rest += self.call
                except BlockingIOError:
                    pass
                if self.late:
                    raise DiscoveryError("silent")
        except (OSError, DiscoveryError) as error:
            why = str(error)
        finally:
            self.loop.timers.remove(self.limit)
            if self.loop.running and machine is self.machine:
                if machine.watching and not self.must_ask:
                    self.seq = None  # the whole list is asked for, see `again`
                self.again(why)

    def take(self, machine: Discovery, data: memoryview) -> None:
        """Feed the machine, and tell the module of each list."""
        before = machine.heard if self.spoke else -1  # the first bytes show that it is there
        listings: Sequence[Listing] = ()
        try:
            listings, self.call = machine.receive(data)
        except DiscoveryError as error:
            listings = error.listings
            raise
        finally:
            for listing in listings:
                self.seq = listing.seq
                self.owner.post(self.pool.apply(listing))
        self.spoke, self.failures = True, 0
        if machine.heard > before:
            self.wait(SILENCE)

    def silent(self) -> None:
        """Its time is up; but a word of it may have come that nobody has read yet."""
        self.limit, self.late = None, True
        self.task.wake()

    def again(self, why: str) -> None:
        """Try again after a while; where the list must be asked for, when the module says.

        After a watch the whole list is asked for: a watch that goes on from what is held says nothing while
        nothing changes, and may be silent in its turn; a list comes at once, or the call has failed. Where
        asking is dear, it goes on from what is held.
        """
        self.failures += 1
        if self.must_ask or self.failures & (self.failures - 1) == 0:  # the first, second, fourth, ...
            log_event(log, logging.WARNING, "discovery_lost", "discovery: %(why)s", why=why)
        if self.must_ask:
            self.owner.post(face.ListChanged(face.ListScope.LOST, []))
            return
        wait = BACK_OFF * (0.5 + self.rng.random())
        self.loop.timers.remove(self.retry)
        self.retry = self.loop.timers.add(clock() + wait, self.connect)
