"""Processes that are machines, in virtual time: links with faults, crashes, pauses, clocks that differ.

Whoever derives from it says what a machine is, what is done in a turn, and what becomes of a message.
"""

import random
from typing import Any

from testbed.event_queue import EventQueue
from testbed.schedule import Act, LinkFault, Schedule

PERIOD = 200.0  # milliseconds: the schedules' unit
DELAY = (0.2, 3.0)  # milliseconds one way
TURN = 10.0  # milliseconds between two turns of a machine that waits for nothing
MOST_WAITING = 200  # messages for one that stands still


class Cluster(EventQueue):
    """Members 0 to size - 1, known as n0 and so on; times in milliseconds."""

    def __init__(self, size: int, seed: int) -> None:
        super().__init__()
        self.size, self.rng = size, random.Random(seed)
        self.faults: list[LinkFault] = []
        self.origin = 0.0
        self.up = [False] * size
        self.life = [0] * size
        self.started = [0.0] * size
        self.paused_until = [0.0] * size
        self.waiting: list[list[tuple[str, Any]]] = [[] for _ in range(size)]
        self.skew = [self.rng.uniform(-1e6, 1e6) for _ in range(size)]
        self.sent = 0

    def clock(self, i: int) -> float:
        return self.now + self.skew[i]

    # What a kind of process is

    def begin(self, i: int) -> None:
        """Make the machine of a process that starts."""
        raise NotImplementedError

    def hear(self, i: int, sender: str, message: Any) -> None:
        raise NotImplementedError

    def arrived(self, i: int) -> None:
        """A message was heard between two turns."""

    def act(self, i: int) -> None:
        """One turn."""
        raise NotImplementedError

    # Processes

    def start(self, i: int) -> None:
        self.up[i] = True
        self.life[i] += 1
        self.waiting[i], self.paused_until[i], self.started[i] = [], 0.0, self.now
        self.begin(i)
        self.at(self.now + self.rng.uniform(0.0, TURN), self.turn, (i, self.life[i]))

    def crash(self, i: int) -> None:
        self.up[i] = False

    def runs(self, i: int) -> bool:
        return self.up[i] and self.now >= self.paused_until[i]

    def lives(self, what: tuple[Any, ...], again: Any) -> bool:
        """Whether what was planned for one life of a process may happen now; later, if it stands still."""
        i, life = what[:2]
        if not self.up[i] or life != self.life[i]:
            return False
        if self.now < self.paused_until[i]:
            self.at(self.paused_until[i], again, what)
            return False
        return True

    def turn(self, what: tuple[int, int]) -> None:
        if not self.lives(what, self.turn):
            return
        i = what[0]
        waiting, self.waiting[i] = self.waiting[i], []
        for sender, message in waiting:
            self.hear(i, sender, message)
        self.act(i)
        self.at(self.now + TURN, self.turn, what)

    # Links

    def cut(self, i: int, j: int) -> bool:
        at = (self.now - self.origin) / PERIOD
        return any(f.lost >= 1.0 and f.concerns(at, i, j) for f in self.faults)

    def send(self, i: int, j: int, message: Any) -> None:
        self.sent += 1
        delays, at = [self.rng.uniform(*DELAY)], (self.now - self.origin) / PERIOD
        for fault in self.faults:
            if not fault.concerns(at, i, j):
                continue
            if fault.lost and self.rng.random() < fault.lost:
                return
            if fault.doubled and self.rng.random() < fault.doubled:
                delays.append(self.rng.uniform(0.0, 5 * PERIOD))
            if fault.late and self.rng.random() < fault.late:
                delays = [d + fault.late_by * PERIOD for d in delays]
            delays = [d + fault.delay * PERIOD for d in delays]
        for delay in delays:
            self.at(self.now + delay, self.arrive, (i, j, message))

    def arrive(self, what: tuple[int, int, Any]) -> None:
        i, j, message = what
        if not self.up[j]:
            return
        if self.now < self.paused_until[j]:
            if len(self.waiting[j]) < MOST_WAITING:
                self.waiting[j].append((f"n{i}", message))
            return
        self.hear(j, f"n{i}", message)
        self.arrived(j)

    # What is done to them

    def plan(self, schedule: Schedule) -> float:
        """Have a schedule happen from now on; when it ends."""
        self.origin, self.faults = self.now, list(schedule.links)
        for act in schedule.acts:
            for n, i in enumerate(act.who):
                when = self.origin + (act.at + act.spread * n / len(act.who)) * PERIOD
                self.at(when, self.do, (act, i))
                if act.do in ("kill", "leave") and act.lasts:
                    self.at(when + act.lasts * PERIOD, self.back, i)
        return self.origin + schedule.periods * PERIOD

    def do(self, what: tuple[Act, int]) -> None:
        act, i = what
        if act.do == "pause":
            self.paused_until[i] = self.now + act.lasts * PERIOD
        elif act.do in ("kill", "leave"):
            self.crash(i)
        else:
            self.back(i)

    def back(self, i: int) -> None:
        if not self.up[i]:
            self.start(i)


class Machines(Cluster):
    """Processes that are one machine each: told messages and the time, and carried after each."""

    members: Any

    def machine(self, i: int) -> Any:
        raise NotImplementedError

    def carry(self, i: int) -> None:
        """Do what the machine wants done."""
        raise NotImplementedError

    def begin(self, i: int) -> None:
        self.members[i] = self.machine(i)

    def hear(self, i: int, sender: str, message: Any) -> None:
        self.members[i].receive(self.clock(i), sender, message)

    def arrived(self, i: int) -> None:
        self.carry(i)

    def act(self, i: int) -> None:
        self.members[i].tick(self.clock(i))
        self.carry(i)
