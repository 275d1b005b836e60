"""The log's agreement by itself, as hard as it may come: any order, loss, copies, crashes; and a search.

`storm` draws one way at random from a seed; `search` walks all ways to a depth, breadth first, each state
once. Both judge alike: one leader a term, one entry an index, nothing applied lost, no answer older than its
question.
"""

import copy
import pickle
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from barleybarrow.agreement import ELECTION_TIMEOUT_MS, RaftNode, Role
from barleybarrow.agreement_messages import Entry, Message, Ready, Snapshot

MOST_ON_WAY = 40


class Even:
    """Chance without any, so that states can be compared."""

    def uniform(self, least: float, most: float) -> float:
        return least

    def getrandbits(self, count: int) -> int:
        return 0


@dataclass
class Disk:
    """What outlives a process."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)

    def keep(self, ready: Ready) -> None:
        if ready.hard_state is not None:
            self.term, self.vote = ready.hard_state
        if ready.snapshot is not None:
            self.snapshot, self.entries = ready.snapshot, []
        if ready.entries:
            base = self.snapshot.index if self.snapshot is not None else 0
            del self.entries[ready.first_index - base - 1 :]
            self.entries += ready.entries

    def compact(self, snapshot: Snapshot) -> None:
        base = self.snapshot.index if self.snapshot is not None else 0
        del self.entries[: snapshot.index - base]
        self.snapshot = snapshot


@dataclass
class Machine:
    """One process, its disk, and what it wants stored and has not yet."""

    agreement: RaftNode
    disk: Disk = field(default_factory=Disk)
    waiting: list[Ready] = field(default_factory=list)


class Table:
    """All machines, what is on its way between them, and what has been seen."""

    def __init__(self, size: int, rng: Any) -> None:
        self.names = [f"n{i}" for i in range(size)]
        self.rng = rng
        self.now = 0.0
        self.machines = {n: Machine(self.machine(n)) for n in self.names}
        self.on_way: list[tuple[str, str, Message]] = []
        self.leaders: dict[int, str] = {}
        self.log: dict[int, tuple[int, bytes]] = {}
        self.questions: dict[int, int] = {}  # by token, how much was applied anywhere when it was put
        self.found: list[str] = []
        self.proposed = self.token = 0

    def machine(self, name: str, *kept: Any) -> RaftNode:
        return RaftNode(name, list(self.names), self.rng, self.now, *kept)

    # What may happen

    def timeout(self, name: str) -> None:
        """A long silence for one."""
        a = self.machines[name].agreement
        self.now += ELECTION_TIMEOUT_MS
        a.leader_heard_at = min(a.leader_heard_at, self.now - 2 * ELECTION_TIMEOUT_MS)
        a.election_due_at = self.now
        a.tick(self.now)
        self.want(name)

    def beat(self, name: str) -> None:
        self.machines[name].agreement.tick(self.now)
        self.want(name)

    def want(self, name: str) -> None:
        m = self.machines[name]
        if m.agreement.role is Role.LEADER:
            held = self.leaders.setdefault(m.agreement.term, name)
            if held != name:
                self.found.append(f"one_leader: {held} and {name} in term {m.agreement.term}")
        for token, index in m.agreement.answered_reads:
            if index < self.questions.get(token, 0):
                self.found.append(f"fresh_reads: {name} was told {index} of {self.questions[token]}")
        m.agreement.answered_reads.clear()
        ready = m.agreement.take_ready()
        if ready is not None:
            m.waiting.append(ready)

    def store(self, name: str) -> None:
        """What it wanted stored first is on disk: send, apply."""
        m = self.machines[name]
        if not m.waiting:
            return
        ready = m.waiting.pop(0)
        m.disk.keep(ready)
        self.carry(name, ready)
        for index, entry in ready.committed_entries:
            held = self.log.setdefault(index, (entry.term, entry.data))
            if held != (entry.term, entry.data):
                self.found.append(f"one_log: {name} applied another entry at {index}")
        m.agreement.on_stored(self.now, ready)
        self.want(name)

    def carry(self, name: str, ready: Ready) -> None:
        self.on_way += [(name, to, message) for to, message in ready.messages if to in self.machines]
        del self.on_way[:-MOST_ON_WAY]

    def deliver(self, at: int, keep: bool = False) -> None:
        sender, to, message = self.on_way[at] if keep else self.on_way.pop(at)
        self.machines[to].agreement.receive(self.now, sender, message)
        self.want(to)

    def lose(self, at: int) -> None:
        self.on_way.pop(at)

    def crash(self, name: str) -> None:
        """It loses what was not stored, and starts anew."""
        m = self.machines[name]
        kept = (m.disk.term, m.disk.vote, m.disk.snapshot, list(m.disk.entries))
        m.waiting.clear()
        m.agreement = self.machine(name, *kept)

    def propose(self, name: str) -> None:
        self.proposed += 1
        self.machines[name].agreement.propose(self.now, b"%d" % self.proposed)
        self.want(name)

    def change(self, name: str) -> None:
        """Have one more vote, or one less, where this one leads."""
        a = self.machines[name].agreement
        other = self.rng.choice(self.names)
        wanted = [n for n in a.voters if n != other] if other in a.voters else [*a.voters, other]
        a.change_voters(self.now, wanted)
        self.want(name)

    def read(self, name: str) -> None:
        self.token += 1
        self.questions[self.token] = max(self.log, default=0)
        self.machines[name].agreement.request_read(self.now, self.token)
        self.want(name)

    def compact(self, name: str) -> None:
        m = self.machines[name]
        made = m.agreement.compact(m.agreement.applied_index, b"")
        if made is not None and not m.waiting:
            m.disk.compact(made)


def storm(seed: int, size: int = 3, steps: int = 400, changes: float = 0.0) -> Table:
    """One way by chance; with so many changes of voters a step."""
    rng = random.Random(seed)
    table = Table(size, rng)
    names = table.names
    for _ in range(steps):
        draw, name = rng.random(), rng.choice(names)
        table.now += rng.uniform(0.0, 20.0)
        if changes and rng.random() < changes:
            table.change(name)
        if draw < 0.30 and table.on_way:
            table.deliver(rng.randrange(len(table.on_way)), rng.random() < 0.1)
        elif draw < 0.62:
            table.store(name)
        elif draw < 0.66 and table.on_way:
            table.on_way.pop(rng.randrange(len(table.on_way)))
        elif draw < 0.72:
            table.timeout(name)
        elif draw < 0.76:
            table.crash(name)
        elif draw < 0.80:
            table.propose(name)
        elif draw < 0.83:
            table.read(name)
        elif draw < 0.84 and not table.machines[name].waiting:
            table.compact(name)
        elif table.on_way:
            table.deliver(0)
        else:
            table.beat(name)
        if table.found:
            break
    return table


def search(size: int, most: int, crashes: int = 1, proposals: int = 2) -> tuple[int, int, list[str]]:
    """All ways from the start, each state once: how many, how deep, and what was found.

    A way is silences, deliveries in any order, losses, crashes and proposals, so many of the last two.
    """
    first = Table(size, Even())
    queue = deque([(first, 0, 0)])
    seen = {state(first)}
    deepest = 0
    while queue and len(seen) < most:
        table, depth, crashed = queue.popleft()
        deepest = max(deepest, depth)
        for act, argument in ways(table, crashed < crashes, table.proposed < proposals):
            after = copy.copy(table)
            after.__dict__ = pickle.loads(pickle.dumps(table.__dict__))
            getattr(after, act)(argument)
            for name in after.names:
                while after.machines[name].waiting:
                    after.store(name)
            if after.found:
                return len(seen), depth + 1, after.found
            key = state(after)
            if key not in seen:
                seen.add(key)
                queue.append((after, depth + 1, crashed + (act == "crash")))
    return len(seen), deepest, []


def ways(table: Table, crash: bool, propose: bool) -> list[tuple[str, Any]]:
    found: list[tuple[str, Any]] = [
        ("timeout", n) for n in table.names if table.machines[n].agreement.term < 3
    ]
    found += [("deliver", i) for i in range(len(table.on_way))]
    found += [("lose", i) for i in range(min(1, len(table.on_way)))]
    if crash:
        found += [("crash", n) for n in table.names]
    if propose:
        leads = [n for n in table.names if table.machines[n].agreement.role is Role.LEADER]
        found += [("propose", n) for n in leads]
    return found


def state(table: Table) -> int:
    """What tells two tables apart, but for the time."""
    parts = []
    for name in table.names:
        a, m = table.machines[name].agreement, table.machines[name]
        votes, entries = sorted(a.votes), [(e.term, e.data) for e in a.entries]
        progress = sorted((n, p.next_index, p.match_index) for n, p in a.progress.items())
        parts.append(
            (
                a.role,
                a.term,
                a.vote,
                a.leader,
                entries,
                a.commit_index,
                votes,
                progress,
                m.disk.term,
                m.disk.vote,
            )
        )
    on_way = sorted((s, t, repr(m)) for s, t, m in table.on_way)
    return hash(repr((parts, on_way, table.proposed)))
