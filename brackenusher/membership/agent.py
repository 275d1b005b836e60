"""The driver toward discovery's agent: keeps the pool up to date."""

import logging
import random
import socket
from functools import partial

from barleybarrow import interface as face
from brackenusher.core.transaction import Transactions
from brackenusher.membership.discovery import Broken, Discovery
from brackenusher.runtime.buffers import Buffers
from brackenusher.runtime.driver import Address, open_socket, write
from brackenusher.runtime.log import say
from brackenusher.runtime.loop import READ, WRITE, Coroutine, Loop, Task, clock
from brackenusher.runtime.timers import Entry
from brackenusher.upstream.pool import Pool

log = logging.getLogger(__name__)

SILENCE = 3500.0  # discovery sends a line every 2 s
FIRST_WORD = 1500.0  # the agent is on this machine and answers at once, if at all
ASKED_WORD = 0.5  # of what the settings allow between two calls: where it must be asked, calls wait in turn,
# and one that is given up on has been worked on for nothing
BACK_OFF, LONGEST_BACK_OFF = 100.0, 1000.0


class Agent:
    """Keeps the pool up to date from discovery's agent."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        pool: Pool,
        owner: Transactions,
        buffers: Buffers,
        rng: random.Random,
    ) -> None:
        self.loop, self.address, self.pool, self.owner, self.buffers = loop, address, pool, owner, buffers
        self.rng = rng
        self.seq: int | None = None  # of the list that is held; none: the whole list is asked for
        settings = owner.balancer.conf
        self.must_ask = settings.must_ask  # then the module says when: its waits grow, and spread
        self.first_word = max(FIRST_WORD, ASKED_WORD * settings.ask_within) if self.must_ask else FIRST_WORD
        self.back_off = BACK_OFF
        self.limit: Entry | None = None
        self.retry: Entry | None = None
        self.machine: Discovery | None = None  # that of the connection which counts
        self.task: Task  # and its coroutine

    def move(self, address: Address) -> None:
        """Leave this agent for another at once; that one is asked for the whole list."""
        old, self.machine = self.machine, None
        if old is not None and not self.task.ended:
            self.task.stop()
        self.address, self.seq, self.back_off = address, None, BACK_OFF
        self.connect()

    def connect(self) -> None:
        """Open a connection, unless one is open."""
        if self.machine is not None and not self.task.ended:
            return
        self.loop.deadlines.remove(self.retry)
        try:
            sock, _ = open_socket(self.address)
        except OSError as error:
            self.again(str(error))
            return
        self.machine = Discovery(f"{self.address[0]}:{self.address[1]}", self.seq)
        self.task = self.loop.spawn(self.run(sock, self.machine), sock)
        self.limit = self.loop.deadlines.add(clock() + self.first_word, self.silent)

    def run(self, sock: socket.socket, machine: Discovery) -> Coroutine:
        why = "ended"
        try:
            yield WRITE
            rest, self.call = machine.start(), b""
            while True:
                if rest:
                    rest = write(sock, rest)
                yield READ | (WRITE if rest else 0)
                try:
                    self.buffers.receive(sock, partial(self.take, machine))
                except BlockingIOError:
                    continue
                rest += self.call
        except (OSError, Broken) as error:
            why = str(error)
        except GeneratorExit:
            why = "silent"
            raise
        finally:
            self.loop.deadlines.remove(self.limit)
            if self.loop.running and machine is self.machine:
                self.again(why)

    def take(self, machine: Discovery, data: memoryview) -> None:
        """Feed the machine, and tell the module of each list."""
        self.loop.deadlines.remove(self.limit)
        self.limit = self.loop.deadlines.add(clock() + SILENCE, self.silent)
        listings, self.call = machine.receive(data)
        self.back_off = BACK_OFF
        for listing in listings:
            self.seq = listing.seq
            self.owner.post(self.pool.take(listing))

    def silent(self) -> None:
        self.task.stop()

    def again(self, why: str) -> None:
        """Try again after a while that doubles; where the list must be asked for, when the module says."""
        say(log, logging.WARNING, "discovery_lost", "discovery: %(why)s", why=why)
        if self.must_ask:
            self.owner.post(face.ListChanged(face.ListScope.LOST, []))
            return
        wait = self.back_off * (0.5 + self.rng.random())
        self.back_off = min(2 * self.back_off, LONGEST_BACK_OFF)
        self.loop.deadlines.remove(self.retry)
        self.retry = self.loop.deadlines.add(clock() + wait, self.connect)
