"""A search of how a change of policy takes hold: all ways from rest, each state once.

The machines are those that ship (`policy_gate`): one voter, which leads, and learners; `consensus`
searches the log that several voters agree on. A way is links that deliver what is on them, in any order, time
that passes, proposals, and so many faults: links that lose or repeat, crashes. A process that has crashed may
start at any time. After each act it is judged who admits whom, as clients would see it.
"""

import copy
import pickle
import random
from collections import deque
from dataclasses import dataclass, replace
from typing import Any

from msgspec import msgpack

from barleybarrow.agreement_messages import AppendEntries, AppendResponse, Message
from barleybarrow.policy_gate import FollowerReport, PolicyGate
from barleybarrow.rollout import IN_FORCE, Propose
from testbed.consensus import Disk
from testbed.policy_group import TENANTS, document

PASS = 310.0  # milliseconds that go by in one act: some questions are put, and one silence becomes a proof
WITHIN = 900.0  # until a change is withdrawn: three of them, as many as a proof that one is down takes

Path = tuple[str, ...]  # acts, from the first state on


class Steps:
    """All machines, what is on its way between them, and what clients have seen so far."""

    def __init__(self, size: int) -> None:
        self.now = 1000.0
        self.names = [f"n{i}" for i in range(size)]
        self.disk = Disk()
        self.machines = {name: self.machine(name) for name in self.names}
        self.up = dict.fromkeys(self.names, True)
        self.on_way: list[tuple[str, str, Message]] = []
        self.latest = 0  # version of the newest rules under which anybody was served
        self.proposed = 0
        self.found: list[str] = []

    def machine(self, name: str) -> PolicyGate:
        d = self.disk
        kept = (d.term, d.vote, d.snapshot, list(d.entries)) if name == self.names[0] else ()
        return PolicyGate(name, self.names[:1], random.Random(1), self.now, False, WITHIN, *kept)

    def rest(self) -> None:
        """Have all caught up and a first version in force."""
        for turn in range(40):
            if turn == 10:
                self.propose(self.names[0])
            self.go_by()
            while self.on_way:
                self.deliver(self.on_way[0][:2])
        assert all(
            m.rollout_state.force == 1 and not m.admission_refusal(self.now) for m in self.machines.values()
        )

    # What may happen

    def carry(self, name: str) -> None:
        """What is due, then store, send, apply what one wants; judge."""
        m = self.machines[name]
        if m.next_wakeup() <= self.now:
            m.tick(self.now)
        while (ready := m.take_ready()) is not None:
            if name == self.names[0]:
                self.disk.keep(ready)
            m.on_stored(self.now, ready)
            for to, message in ready.messages:
                if self.says_nothing(to, name, message):
                    self.machines[to].receive(self.now, name, message)
                    self.carry(to)
                else:
                    self.on_way.append((name, to, message))
        self.judge()

    def says_nothing(self, to: str, sender: str, message: Message) -> bool:
        """A bare beat and its answer change nothing but that one was heard: they arrive at once."""
        m = self.machines[to]
        if not self.up[to] or any(each[:2] == (sender, to) for each in self.on_way):
            return False
        if isinstance(message, AppendEntries):
            a = m.raft
            return (
                not message.entries
                and message.prev_index == a.last_index
                and message.commit_index <= a.commit_index
            )
        if isinstance(message, AppendResponse) and message.success and sender in m.reports:
            told = msgpack.decode(message.note, type=FollowerReport) if message.note else None
            return told is not None and told.applied <= m.reports[sender].applied
        return False

    def go_by(self) -> None:
        """Time passes for all; the leader tries the addresses of who is silent."""
        self.now += PASS
        for name in self.names:
            if self.up[name]:
                m = self.machines[name]
                m.tick(self.now)
                for other in m.probe_targets:
                    if not self.up[other]:
                        m.on_connection_refused(self.now, other, self.now)
                self.carry(name)

    def deliver(self, link: tuple[str, str], keep: bool = False) -> None:
        """All that is on a link arrives, in order."""
        arrived = [each for each in self.on_way if each[:2] == link]
        if not keep:
            self.lose(link)
        for sender, to, message in arrived:
            if self.up[to]:
                self.machines[to].receive(self.now, sender, message)
        if self.up[link[1]]:
            self.carry(link[1])

    def repeat(self, link: tuple[str, str]) -> None:
        self.deliver(link, keep=True)

    def lose(self, link: tuple[str, str]) -> None:
        self.on_way = [each for each in self.on_way if each[:2] != link]

    def crash(self, name: str) -> None:
        self.up[name] = False

    def start(self, name: str) -> None:
        self.up[name] = True
        self.machines[name] = self.machine(name)
        self.carry(name)

    def propose(self, name: str) -> None:
        self.proposed += 1
        text = document(self.proposed)
        self.machines[name].submit(self.now, Propose(f"p{self.proposed}", "", "", 0.0, text))
        self.carry(name)

    def judge(self) -> None:
        """Each version lets one tenant in, another with each number: whoever is served shows its version."""
        forced = [
            v
            for m in self.machines.values()
            for v in m.rollout_state.versions.values()
            if v.phase == IN_FORCE
        ]
        known = max((v.number for v in forced), default=0)
        for name, m in self.machines.items():
            if not self.up[name] or m.admission_refusal(self.now) or m.rules is None:
                continue
            for number, tenant in ((n, TENANTS[n % 3]) for n in range(1, self.proposed + 1)):
                limit = m.rules.tenants.get(tenant)
                if limit is not None and limit.rate <= 0 or not known:
                    continue
                if number < self.latest:
                    self.found.append(f"everywhere_or_nowhere: {name} serves by {number} after {self.latest}")
                elif number > known:
                    self.found.append(f"decided_first: {name} serves by {number}, in force is {known}")
                self.latest = max(self.latest, number)

    # What tells two of them apart

    def state(self) -> int:
        parts: list[Any] = []
        for name, m in self.machines.items():
            b, c = m.rollout_state, m.rollout_driver
            phases = [(v.number, v.phase) for v in b.versions.values()]
            told = sorted((n, w.applied) for n, w in m.reports.items())
            since = (self.now - c.phase_started_at) // PASS if c.number else 0
            down = sorted(name for name in c.down_at)
            parts.append((self.up[name], b.applied, phases, list(b.roster), m.caught_up, m.resuming, told))
            parts.append((c.number, c.phase, down, since, m.raft.commit_index, len(m.read_sent_at)))
        on_way = sorted(f"{s} {t} {worded(m)}" for s, t, m in self.on_way)
        return hash(repr((parts, on_way, self.latest, self.proposed)))


def worded(message: Message) -> str:
    """What a message says, but for counts that only ever grow."""
    facts = {n: getattr(message, n) for n in message.__struct_fields__ if n not in ("round", "token")}
    return f"{type(message).__name__} {facts}"


@dataclass(frozen=True)
class Left:
    """What may still happen on a way."""

    faults: int
    proposals: int
    passes: int

    def without(self, act: str) -> "Left":
        if act in ("crash", "lose", "repeat"):
            return replace(self, faults=self.faults - 1)
        if act == "propose":
            return replace(self, proposals=self.proposals - 1)
        return replace(self, passes=self.passes - 1) if act == "go_by" else self


def ways(table: Steps, left: Left) -> list[tuple[str, Any]]:
    links = list(dict.fromkeys(each[:2] for each in table.on_way))
    found: list[tuple[str, Any]] = [("deliver", link) for link in links]
    found += [("start", n) for n, up in table.up.items() if not up]
    if left.passes:
        found.append(("go_by", None))
    if left.proposals and table.up[table.names[0]]:
        found.append(("propose", table.names[0]))
    if left.faults:
        found += [(act, link) for act in ("lose", "repeat") for link in links]
        found += [("crash", n) for n, up in table.up.items() if up]
    return found


def search(size: int, most: int, faults: int, proposals: int, passes: int) -> tuple[int, int, list[str]]:
    """How many states, how deep, and what was found: the breach, and the way to it.

    Where that is fewer states than `most`, it was all of them.
    """
    first = Steps(size)
    first.rest()
    queue: deque[tuple[Steps, Left, Path]] = deque([(first, Left(faults, proposals, passes), ())])
    seen, deepest = {(first.state(), queue[0][1])}, 0
    while queue and len(seen) < most:
        table, left, way = queue.popleft()
        deepest = max(deepest, len(way))
        frozen = pickle.dumps(table.__dict__)
        for act, argument in ways(table, left):
            after, rest = copy.copy(table), left.without(act)
            after.__dict__ = pickle.loads(frozen)
            getattr(after, act)(*(() if argument is None else (argument,)))
            gone = (*way, f"{act} {'' if argument is None else argument}".strip())
            if after.found:
                return len(seen), len(gone), [*after.found, " -> ".join(gone)]
            key = after.state(), rest
            if key not in seen:
                seen.add(key)
                queue.append((after, rest, gone))
    return len(seen), deepest, []
