"""What a process does for the one that takes its place, and for the one whose place it took.

It carries out what `descriptor_split` and `warm_state` say; the sockets are in `old` and `new`.
"""

import logging
import os
from collections.abc import Sequence
from typing import Any

from barleybarrow import warm_state
from barleybarrow.descriptor_split import split_descriptors
from brackenusher.core.transaction import Transactions
from brackenusher.fronts.listener import Listener, Room
from brackenusher.handover.messages import Kind, word, worded
from brackenusher.handover.new import New, Taken, take
from brackenusher.handover.old import Old, path_for
from brackenusher.membership.agent import Agent
from brackenusher.membership.discovery import word_host
from brackenusher.runtime.driver import Address
from brackenusher.runtime.log import say
from brackenusher.runtime.loop import Loop, clock
from brackenusher.runtime.timers import Entry
from brackenusher.upstream.pool import Pool

log = logging.getLogger(__name__)

DIVIDE = 50.0  # ms: how often descriptors are divided anew with the other process


class Replacement:
    """Both sides of one process.

    `for_clients` and `for_flows` are the descriptors that it has for each when alone, `own` those that any
    process needs beside them.
    """

    def __init__(
        self,
        loop: Loop,
        name: str,
        fronts: Sequence[tuple[Listener, Address]],
        room: Room,
        pool: Pool,
        agent: Agent,
        owner: Transactions,
        for_flows: int,
        own: int,
    ) -> None:
        self.loop, self.fronts, self.room, self.pool, self.agent = loop, fronts, room, pool, agent
        self.owner, self.for_clients, self.for_flows, self.own = owner, room.most, for_flows, own
        self.part = self.for_clients, self.for_flows  # what the process before leaves of both
        self.stopping = False  # the word to stop has come
        self.dividing: Entry | None = None  # when it is next looked how the descriptors are divided
        self.told: dict[str, Any] = {}  # what the successor was last told of them
        self.new: New | None = None  # toward the process whose place it takes
        self.old: Old | None = None  # toward one that takes its place
        self.awaited = False  # the old process has not been told yet that this one serves
        self.path = path_for(name, os.environ)
        if self.path is None:
            text = "no handover to a new process: no $TMPDIR of a usable length"
            say(log, logging.INFO, "handover_off", text)
            return
        self.old = Old(loop, self.path, self.give)
        self.old.came, self.old.went = self.came, self.alone_again

    # toward the process whose place it takes

    def take(self) -> Taken | None:
        """Ask for what the old process has; waits `new.PATIENCE` ms at most."""
        taken = take(self.path)
        self.awaited = taken is not None
        return taken

    def succeed(self, taken: Taken) -> None:
        """Go on where the old process stands; the list has been taken up."""
        learned = warm_state.import_entries(self.owner.balancer, taken.learned, clock())
        self.leave_to_old(taken.state)
        first = self.fronts[0][0]
        self.new = New(self.loop, taken.link, self.leave_to_old, first.take_over, self.old_ended)
        say(
            log,
            logging.INFO,
            "handover",
            "handover: %(hosts)d hosts, %(learned)d of %(all)d entries learned, %(listeners)d listeners",
            hosts=len(taken.hosts),
            learned=learned,
            all=len(taken.learned),
            listeners=len(taken.listeners),
        )

    def serves(self) -> None:
        """This process can serve: take the name over, and say so to the old one."""
        if self.new is not None:
            self.new.serves()
        self.awaited = False
        if self.old is not None and not self.stopping:
            self.old.listen()

    def leave_to_old(self, held: dict[str, Any]) -> None:
        """Keep to what the old process leaves of the descriptors."""
        clients, flows, stopping = int(held["clients"]), int(held["flows"]), bool(held["stopping"])
        self.part = (
            split_descriptors(self.both(self.for_clients), clients, stopping)[1],
            max(1, split_descriptors(self.both(self.for_flows), flows, False)[1]),
        )
        self.keep_to_part()

    def old_ended(self) -> None:
        assert self.new is not None
        self.part = self.for_clients, self.for_flows
        self.keep_to_part()
        text = "the old process has ended; %(passed)d clients' connections came"
        say(log, logging.INFO, "old_ended", text, passed=self.new.clients)
        self.new, self.awaited = None, False

    # toward the process that takes its place

    @property
    def handed(self) -> bool:
        """Whether another process serves in the place of this one."""
        return self.old is not None and self.old.serves

    def give(self) -> tuple[list[str], list[int], list[bytes]]:
        """What a new process gets: addresses, the sockets that listen on them, and packets."""
        addresses = [f"{host}:{port}" for _, (host, port) in self.fronts]
        fds = [front.task.fd for front, _ in self.fronts]
        packets = [
            *worded(Kind.LIST, [word_host(host) for host in self.pool.hosts]),
            *worded(Kind.LEARNED, warm_state.export_entries(self.owner.balancer)),
            word(Kind.READY, {"seq": self.agent.seq or 0, **self.holding()}),
        ]
        for front, _ in self.fronts:
            front.shared = True
        self.divide()
        return addresses, fds, packets

    def came(self) -> None:
        """A new process serves; the word to stop may have come before."""
        if self.stopping:
            self.hand_over()
        self.divide()

    def stop(self) -> None:
        """The word to stop has come."""
        self.stopping = True
        if self.handed:
            self.hand_over()
        self.divide()

    def hand_over(self) -> None:
        assert self.old is not None
        for front, _ in self.fronts:
            front.hand_over(self.old.pass_on)

    def holding(self) -> dict[str, Any]:
        return {
            "clients": self.room.held,
            "flows": self.pool.planner.connection_count,
            "stopping": self.stopping,
        }

    def divide(self) -> None:
        """Keep to this process's part of the descriptors while another has the rest, and tell it of that."""
        if self.old is None or self.old.link is None:
            return
        held = self.holding()
        self.keep_to_part()
        if held != self.told:
            self.told = held
            self.old.tell(Kind.HELD, held)
        self.loop.deadlines.remove(self.dividing)
        self.dividing = self.loop.deadlines.add(clock() + DIVIDE, self.divide)

    def keep_to_part(self) -> None:
        """Hold no more than the process before leaves, and leave the one after its own."""
        clients, flows = self.part
        if self.old is not None and self.old.link is not None:
            clients = split_descriptors(self.both(clients), self.room.held, self.stopping)[0]
            flows = split_descriptors(self.both(flows), self.pool.planner.connection_count, False)[0]
        self.room.most, self.pool.planner.capacity = clients, max(1, flows)

    def both(self, part: int) -> int:
        """What two processes have for a purpose that one has `part` for: each needs its own beside."""
        whole = self.for_clients + self.for_flows
        return max(2, int(part * (1 - self.own / whole)))

    def alone_again(self) -> None:
        """The new process has gone: serve on, in the end as well, as if it had never come."""
        assert self.old is not None
        self.loop.deadlines.remove(self.dividing)
        self.keep_to_part()
        for front, _ in self.fronts:
            front.take_back()
        if not self.stopping:
            self.old.listen()

    def close(self) -> None:
        """The process ends."""
        if self.old is not None:
            text = "%(passed)d connections passed on"
            say(log, logging.INFO, "passed_on", text, passed=self.old.passed)
            self.old.close()
