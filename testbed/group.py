"""A group of membership machines in virtual time: loss, delay, pauses, crashes, cuts, clocks that differ.

It plays datagrams between the daemon's own `Swim` machines, which know no socket. Chance comes from a seed.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from barleybarrow.views import ALIVE, DEAD, SUSPECT, View
from brackenusher.membership.swim import Swim
from brackenusher.membership.swim_messages import Address
from testbed import oracle_views as oracle
from testbed.event_queue import EventQueue
from testbed.schedule import Act, LinkFault, Schedule

KEYS = {"k1": b"testbed-testbed!"}
PERIOD = 1000.0  # milliseconds
DELAY = (0.2, 2.0)  # milliseconds one way, drawn evenly
CLOCKS = 300_000.0  # milliseconds by which clocks differ at most, both ways
START = 3_600_000.0  # on a clock without an offset, when the run begins
UNIX = 1_764_547_200_000
LEAST_TURN = 1.0  # milliseconds between two turns of one machine, as in the driver
SOCKET_ROOM = 200  # datagrams that wait at a process that stands still; the kernel drops more


def address(i: int) -> Address:
    return f"10.0.{i >> 8}.{i & 255}", 7000


@dataclass(slots=True)
class Change:
    """One member's view of another has changed."""

    at: float
    seen_by: int
    of: str
    state: int


@dataclass(slots=True)
class Held:
    """A process has come to hold a view; None where its life in the group is over."""

    at: float
    by: int
    life: int
    view: View | None


class Group(EventQueue):
    """Members by number; times are milliseconds of virtual time."""

    def __init__(self, size: int, seed: int, loss: float = 0.0, seeds: int = 3) -> None:
        super().__init__()
        self.rng, self.loss = random.Random(seed), loss
        self.datagrams = 0
        self.first = tuple(address(i) for i in range(min(seeds, size)))
        self.numbers = {address(i): i for i in range(size)}
        self.addresses = [address(i) for i in range(size)]
        self.offsets = [START + self.rng.uniform(-CLOCKS, CLOCKS) for _ in range(size)]
        self.sent = [0] * size  # bytes
        self.longest = 0
        self.due: list[float | None] = [None] * size
        self.up, self.paused_until = [False] * size, [0.0] * size
        self.queues: list[list[tuple[bytes, Address]]] = [[] for _ in range(size)]
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.faults: list[LinkFault] = []
        self.origin = 0.0
        self.changes: list[Change] = []
        self.views: list[Held] = []
        self.swims: list[Swim] = []
        for i in range(size):
            self.swims.append(self.machine(i))
            self.at(self.rng.uniform(0.0, PERIOD), self.start, i)

    def machine(self, i: int, name: str | None = None) -> Swim:
        epoch = int(UNIX + self.clock(i))
        rng = random.Random(self.rng.random())
        who = (name or f"p{i}", address(i), epoch, KEYS, "k1", self.first)
        return Swim(*who, PERIOD, rng, self.clock(i))

    def clock(self, i: int) -> float:
        return self.offsets[i] + self.now

    def start(self, i: int) -> None:
        self.up[i] = True
        self.turn(i)

    def crash(self, i: int) -> None:
        self.up[i] = False

    def restart(self, i: int) -> None:
        """A new process at the same address, under the same name."""
        self.queues[i], self.paused_until[i] = [], 0.0
        self.swims[i] = self.machine(i)
        self.start(i)

    def pause(self, i: int, span: float) -> None:
        """The process stands still; what comes meanwhile waits in its socket."""
        self.paused_until[i] = self.now + span
        self.at(self.paused_until[i], self.wake, i)

    def wake(self, i: int) -> None:
        waiting, self.queues[i] = self.queues[i], []
        for data, source in waiting:
            self.take(i, data, source)
        self.turn(i)

    def turn(self, i: int) -> None:
        """Let a machine do what is due, and come back for the next."""
        if self.up[i] and self.now >= self.paused_until[i]:
            self.carry(i, self.swims[i].tick(self.clock(i)))
            self.plan(i)

    def turned(self, what: tuple[int, float]) -> None:
        i, when = what
        if self.due[i] == when:
            self.due[i] = None
            self.turn(i)

    def plan(self, i: int) -> None:
        when = max(self.swims[i].next() - self.offsets[i], self.now + LEAST_TURN)
        due = self.due[i]
        if due is None or when < due or due < self.now:
            self.due[i] = when
            self.at(when, self.turned, (i, when))

    def carry(self, i: int, out: list[tuple[bytes, Address]]) -> None:
        """Note what a machine has learned, and send what it sends."""
        swim = self.swims[i]
        for name, state in swim.changes:
            self.changes.append(Change(self.now, i, name, state))
        swim.changes.clear()
        for life, view in swim.views:
            self.views.append(Held(self.now, i, life, view))
        swim.views.clear()
        for data, to in out:
            self.sent[i] += len(data)
            self.datagrams += 1
            self.longest = max(self.longest, len(data))
            j = self.numbers.get(to)
            if j is not None and not self.cut(i, j) and self.rng.random() >= self.loss:
                for delay in self.fate(i, j):
                    self.at(self.now + delay, self.arrive, (j, data, self.addresses[i]))

    def fate(self, i: int, j: int) -> list[float]:
        """How long a datagram takes, for each time it arrives; none where it is lost."""
        delays = [self.rng.uniform(*DELAY)]
        for fault in self.faults:
            if fault.carries == "stream" or not fault.concerns((self.now - self.origin) / PERIOD, i, j):
                continue
            if fault.lost and self.rng.random() < fault.lost:
                return []
            if fault.doubled and self.rng.random() < fault.doubled:
                delays.append(self.rng.uniform(*DELAY) + self.rng.uniform(0.0, PERIOD))
            late = fault.late and self.rng.random() < fault.late
            more = (fault.delay + (fault.late_by if late else 0.0)) * PERIOD
            delays = [delay + more for delay in delays]
        return delays

    def play(self, schedule: Schedule) -> None:
        """Play a schedule from now on, to its end."""
        self.origin, self.faults = self.now, list(schedule.links)
        for act in schedule.acts:
            for n, i in enumerate(act.who):
                when = self.origin + (act.at + act.spread * n / len(act.who)) * PERIOD
                self.at(when, self.do, (act, i))
                if act.do in ("kill", "leave") and act.lasts:
                    self.at(when + act.lasts * PERIOD, self.back, i)
        self.run(self.origin + schedule.periods * PERIOD)
        self.faults = []

    def do(self, what: tuple[Act, int]) -> None:
        act, i = what
        if not self.up[i]:
            if act.do == "start":
                self.restart(i)
        elif act.do == "pause":
            self.pause(i, act.lasts * PERIOD)
        elif act.do == "kill":
            self.crash(i)
        elif act.do == "leave":
            self.carry(i, self.swims[i].leave())
            self.crash(i)

    def back(self, i: int) -> None:
        if not self.up[i]:
            self.restart(i)

    def arrive(self, what: tuple[int, bytes, Address]) -> None:
        j, data, source = what
        if not self.up[j]:
            return
        if self.now < self.paused_until[j]:
            if len(self.queues[j]) < SOCKET_ROOM:
                self.queues[j].append((data, source))
            return
        self.take(j, data, source)
        self.plan(j)

    def take(self, j: int, data: bytes, source: Address) -> None:
        self.carry(j, self.swims[j].receive(self.clock(j), data, source))

    # What came of it

    def known(self, i: int) -> int:
        """How many others a member takes for alive or suspect."""
        return len(self.swims[i].alive())

    def joined(self) -> bool:
        size = sum(self.up)
        return all(self.known(i) == size - 1 for i in range(len(self.swims)) if self.up[i])

    def history(self) -> list[oracle.Held]:
        """What processes came to hold, for the oracle."""
        found = []
        for h in self.views:
            by = self.swims[h.by].name, h.life
            v = h.view
            members = frozenset((m.name, m.epoch) for m in v.members) if v is not None else frozenset()
            numbers = (v.group, v.number) if v is not None else (0, 0)
            found.append(oracle.Held(h.at / PERIOD, by, *numbers, members))
        return found

    def unsettled(self) -> str:
        """Why those that are up do not hold one view of just themselves; empty where they do."""
        holds, alive = {}, set[oracle.Member]()
        for i, swim in enumerate(self.swims):
            if self.up[i]:
                v, me = swim.agreement.view, (swim.name, swim.epoch)
                alive.add(me)
                held = (v.group, v.number, frozenset((m.name, m.epoch) for m in v.members)) if v else None
                holds[me] = held
        return oracle.settled(holds, alive)

    def hopeless(self) -> bool:
        """Whether no view can follow, by what is promised: half of the last, or of the seeds, is gone."""
        held = [(h.view.number, h.at, h.view) for h in self.views if h.view is not None]
        if not held or self.agreed():
            return False
        if 2 * sum(self.up[self.numbers[seed]] for seed in self.first) <= len(self.first):
            return True
        last = max(held, key=lambda h: h[:2])[2]  # who lags behind may come to an older one later
        down = {s.name for i, s in enumerate(self.swims) if not self.up[i]}
        return len(last.members) - sum(m.name in down for m in last.members) < last.majority

    def agreed(self) -> bool:
        return not self.unsettled()

    def told(self, of: int, state: int, since: float, by: set[int]) -> list[float]:
        """When each of these members first saw another in a state, since a time."""
        first: dict[int, float] = {}
        for change in self.changes:
            if change.of == f"p{of}" and change.state == state and change.at >= since:
                first.setdefault(change.seen_by, change.at)
        return [first[i] for i in by if i in first]

    def alarms(self, but: set[int], since: float) -> tuple[int, int]:
        """Suspicions and deaths that somebody saw of members other than these."""
        names = {f"p{i}" for i in but}
        found = [c.state for c in self.changes if c.of not in names and c.at >= since]
        return found.count(SUSPECT), found.count(DEAD)


__all__ = ["ALIVE", "DEAD", "SUSPECT", "Change", "Group"]
