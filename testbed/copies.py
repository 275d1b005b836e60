"""Copies of the replicated state in virtual time: disks, crashes, cuts, pauses, old and empty disks, writes.

The machines are those that ship (`barleybarrow.replica`). A disk keeps what was stored; what was not stored
yet is lost with a crash. What was written, and which of it was acknowledged, is noted for the oracle.
"""

import copy
import random

from barleybarrow.replica import Ready, Replica, Stage, StoredReplica
from barleybarrow.version_vectors import Dot, Entry, Vector
from testbed import oracle_replica as oracle
from testbed.cluster import PERIOD, Machines
from testbed.schedule import Schedule

SYNC = (0.5, 8.0)  # milliseconds that a disk takes


class Disk:
    """What a keeper has stored."""

    def __init__(self) -> None:
        self.kept = StoredReplica()
        self.slots: dict[str, list[Entry]] = {}

    def keep(self, ready: Ready) -> None:
        for key, slot in ready.entries_by_key.items():
            if slot:
                self.slots[key] = slot
            else:
                self.slots.pop(key, None)
        if ready.metadata is not None:
            self.kept = ready.metadata

    def load(self) -> StoredReplica:
        kept = copy.deepcopy(self.kept)
        kept.entries = [e for slot in self.slots.values() for e in slot]
        return kept

    def copied(self) -> "Disk":
        found = Disk()
        found.kept, found.slots = copy.deepcopy(self.kept), dict(self.slots)
        return found


class Copies(Machines):
    """Members 0 to size - 1, the first of them keepers; times in milliseconds."""

    def __init__(self, size: int, keepers: int, seed: int, room: int | None = None) -> None:
        super().__init__(size, seed)
        self.room = room
        self.keepers = [f"n{i}" for i in range(keepers)]
        self.busy: list[list[Ready]] = [[] for _ in range(size)]
        self.disks = [Disk() for _ in range(size)]
        self.disks_fail = 0.0  # share of restarts of a keeper that find an empty disk
        self.most_removed = self.rng.choice([0, 2, 5000])
        self.members: list[Replica] = [self.machine(i) for i in range(size)]
        self.tokens = 0
        self.written: dict[int, Entry] = {}  # by token
        self.knew: dict[Dot, Vector] = {}  # by dot: how far its writer had heard
        self.acked: dict[int, float] = {}  # by token: when it was said to be acknowledged
        self.found: list[str] = []
        self.seen_ready: set[tuple[int, int, int]] = set()
        for i in range(size):
            self.start(i)

    def machine(self, i: int) -> Replica:
        name, rng = f"n{i}", random.Random(self.rng.random())
        kept = self.disks[i].load() if name in self.keepers else None
        found = Replica(name, self.keepers, rng, self.clock(i), kept, self.room)
        found.reachable = [f"n{j}" for j in range(self.size) if j != i]
        found.max_tombstones = self.most_removed
        return found

    def begin(self, i: int) -> None:
        self.busy[i], self.members[i] = [], self.machine(i)

    def carry(self, i: int) -> None:
        member = self.members[i]
        urgent, member.immediate_messages = member.immediate_messages, []
        for to, message in urgent:
            self.send(i, int(to[1:]), message)
        ready = member.take_ready()
        if member.stage is Stage.CAUGHT_UP:
            self.judge_ready(i)
        if ready is not None:
            self.busy[i].append(ready)
            if len(self.busy[i]) == 1:
                self.sync(i)

    def sync(self, i: int) -> None:
        ready = self.busy[i][0]
        span = self.rng.uniform(*SYNC) if ready.entries_by_key or ready.metadata else 0.0
        self.at(self.now + span, self.synced, (i, self.life[i], ready))

    def synced(self, what: tuple[int, int, Ready]) -> None:
        if not self.lives(what, self.synced):
            return
        i, _, ready = what
        self.disks[i].keep(ready)
        for to, message in ready.messages:
            self.send(i, int(to[1:]), message)
        for token, good in ready.write_results:
            if good:
                self.acked[token] = self.now
        self.busy[i].pop(0)
        if self.busy[i]:
            self.sync(i)
        self.carry(i)

    # What is done

    def write(self, i: int, key: str, value: bytes | None) -> int:
        """Have one write; its token, or 0 where it does not."""
        member = self.members[i]
        if not self.runs(i) or member.write_refusal():
            return 0
        self.tokens += 1
        knew = dict(member.state.vector)
        if not member.write(self.clock(i), self.tokens, key, value):
            return 0
        entry = self.written[self.tokens] = member.state.slots[key][0]
        self.knew[entry.dot] = knew
        self.carry(i)
        return self.tokens

    def by_chance(self, _: object) -> None:
        i = self.rng.randrange(len(self.keepers))
        value = None if self.rng.random() < 0.4 else b"%d" % self.tokens
        self.write(i, f"server s{self.rng.randrange(6)}", value)

    def play(self, schedule: Schedule, every: float = 4.0, disks: float = 0.0) -> None:
        """Play a schedule while writes come by chance; with `disks` some starts find an empty one."""
        end, at = self.plan(schedule), self.now
        self.disks_fail = disks
        while (at := at + self.rng.expovariate(1.0 / (every * PERIOD))) < end:
            self.at(at, self.by_chance, None)
        self.run(end)
        self.faults = []

    def back(self, i: int) -> None:
        if self.up[i]:
            return
        lost = i < len(self.keepers) and self.rng.random() < self.disks_fail
        if lost and not any(self.poor(j) for j in range(len(self.keepers)) if j != i):
            self.disks[i] = Disk()  # never two that are not whole again: a majority's disks live
        self.start(i)

    def poor(self, i: int) -> bool:
        """Whether a keeper's disk does not hold what was acknowledged through it."""
        return not self.disks[i].kept.complete

    # What is seen

    def judge_ready(self, i: int) -> None:
        """One that says that it has caught up holds what was acknowledged before it started."""
        key = (i, self.life[i], self.members[i].catch_up_round)
        if key in self.seen_ready:
            return
        self.seen_ready.add(key)
        before = [self.written[t] for t, at in self.acked.items() if at < self.started[i]]
        missing = oracle.missing(self.members[i].state, before, self.written.values())
        self.found += [f"caught_up: n{i} lacks {e.dot} of {e.key}" for e in missing]

    def unlike(self) -> list[str]:
        """What differs among those that are up, after quiet."""
        up = [m for i, m in enumerate(self.members) if self.up[i]]
        return oracle.unlike({m.name: m.state for m in up})

    def quiet(self) -> bool:
        """Whether all that are up have heard the same, removals as well."""
        vectors = [m.state.vector for i, m in enumerate(self.members) if self.up[i]]
        return all(v == vectors[0] for v in vectors) and not self.unlike()

    def breaches(self) -> list[str]:
        acked = [self.written[t] for t in self.acked]
        found = list(self.found)
        for i, m in enumerate(self.members):
            beaten = oracle.beaten(m.state, self.knew) if self.up[i] else ()
            found += [f"by_cause: n{i} holds {e.dot} of {e.key} beside what knew of it" for e in beaten]
            if self.up[i] and m.stage is Stage.CAUGHT_UP:
                missing = oracle.missing(m.state, acked, self.written.values())
                found += [f"acknowledged: n{i} lacks {e.dot} of {e.key}" for e in missing]
                risen = oracle.risen(m.state, acked)
                found += [f"risen: n{i} holds {e.dot} of {e.key}" for e in risen]
        return found
