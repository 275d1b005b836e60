"""Proxies under an agreed policy in virtual time: disks, crashes, cuts, pauses, proposals, and clients.

The machines are those that ship (`barleybarrow.policy_gate`). A disk keeps what was stored; what was not
stored yet is lost with a crash. Who admits what is noted as clients would see it, for the oracle.
"""

import random
from functools import partial
from math import inf
from typing import Any

from barleybarrow.agreement_messages import Entry, Ready
from barleybarrow.policy_gate import PolicyGate
from barleybarrow.rollout import IN_FORCE, Electorate, Propose
from testbed import oracle_policy as oracle
from testbed.cluster import PERIOD, Machines
from testbed.consensus import Disk
from testbed.linearizability import one_order
from testbed.schedule import Schedule

SYNC = (0.5, 8.0)  # milliseconds that a disk takes
TENANTS = ("a", "b", "c")


def document(number: int) -> str:
    """Lets one tenant in, another with each number: whoever is served shows which version let it pass."""
    return "".join(f"[door.tenants.{t}]\nrate = 0\n" for i, t in enumerate(TENANTS) if i != number % 3)


class PolicyGroup(Machines):
    """Members 0 to size - 1, the first of them voters; times in milliseconds."""

    def __init__(
        self, size: int, voters: int, seed: int, fence: bool = False, within: float = 30_000.0
    ) -> None:
        super().__init__(size, seed)
        self.fence, self.within = fence, within
        self.voters = [f"n{i}" for i in range(voters)]
        self.busy: list[list[Ready]] = [[] for _ in range(size)]
        self.disks = [Disk() for _ in range(size)]
        self.keeps = [i < voters for i in range(size)]  # whether there is a store
        self.members: list[PolicyGate] = []
        self.proposed = 0
        self.proposals: dict[str, tuple[float, int, float]] = {}  # by id: begun, by whom, seen there
        self.asks: list[oracle.Asked] = []
        self.forces: dict[int, float] = {}  # when each version was first in force anywhere
        self.leaders: dict[int, set[str]] = {}
        self.log: dict[int, tuple[int, bytes]] = {}  # what anybody applied, by index
        self.found: list[str] = []
        for i in range(size):
            self.members.append(self.machine(i))
        for i in range(size):
            self.start(i)

    def machine(self, i: int) -> PolicyGate:
        disk = self.disks[i]
        if not self.keeps[i]:
            disk = Disk()  # learners keep nothing
        rng = random.Random(self.rng.random())
        kept = disk.term, disk.vote, disk.snapshot, list(disk.entries)
        machine = partial(PolicyGate, f"n{i}", self.voters, rng, self.clock(i), self.fence, self.within)
        return machine(*kept, quarantined=False, durable=self.keeps[i])

    def begin(self, i: int) -> None:
        self.busy[i], self.members[i] = [], self.machine(i)

    def act(self, i: int) -> None:
        self.members[i].tick(self.clock(i))
        self.look(i)
        self.carry(i)

    def look(self, i: int) -> None:
        """The leader tries the addresses of those that are silent."""
        member = self.members[i]
        for name in member.probe_targets:
            j = int(name[1:])
            if not self.up[j] and not self.cut(i, j) and not self.cut(j, i):
                member.on_connection_refused(self.clock(i), name, self.clock(i))

    def carry(self, i: int) -> None:
        """Hand what is wanted to the disk; one after the other."""
        member = self.members[i]
        self.note(i)
        ready = member.take_ready()
        if ready is not None:
            self.busy[i].append(ready)
            if len(self.busy[i]) == 1:
                self.sync(i)

    def sync(self, i: int) -> None:
        ready = self.busy[i][0]
        needs = ready.hard_state is not None or ready.entries or ready.snapshot is not None
        span = self.rng.uniform(*SYNC) if needs and self.keeps[i] else 0.0
        self.at(self.now + span, self.synced, (i, self.life[i], ready))

    def synced(self, what: tuple[int, int, Ready]) -> None:
        if not self.lives(what, self.synced):
            return
        i, _, ready = what
        self.disks[i].keep(ready)
        for to, message in ready.messages:
            self.send(i, int(to[1:]), message)
        for index, entry in ready.committed_entries:
            self.agreed(i, index, entry)
        made = self.members[i].on_stored(self.clock(i), ready)
        if made is not None and self.keeps[i]:
            self.disks[i].compact(made)
        self.busy[i].pop(0)
        if not self.keeps[i] and f"n{i}" in self.members[i].rollout_state.electorate:
            self.keeps[i] = True
            self.disks[i].keep(self.members[i].raft.full_state())
            self.at(self.now + self.rng.uniform(*SYNC), self.able, (i, self.life[i]))
        if self.busy[i]:
            self.sync(i)
        self.carry(i)

    def able(self, what: tuple[int, int]) -> None:
        if self.lives(what, self.able):
            self.members[what[0]].on_store_ready(self.clock(what[0]))

    # What is done

    def play(self, schedule: Schedule, every: float = 15.0, elections: float = 0.0) -> None:
        """Play a schedule while proposals, and other voters, come by chance: every so many periods."""
        end, at = self.plan(schedule), self.now
        while elections and (at := at + self.rng.expovariate(1.0 / (elections * PERIOD))) < end:
            self.at(at, self.elect, self.rng.randrange(self.size))
        at = self.now
        while (at := at + self.rng.expovariate(1.0 / (every * PERIOD))) < end:
            self.at(at, self.propose, self.rng.randrange(self.size))
        self.run(end)
        self.faults = []

    def propose(self, i: int) -> None:
        if self.runs(i):
            self.proposed += 1
            member = self.members[i]
            latest = max(member.rollout_state.versions, default=0)
            text = document(latest + 1) if self.rng.random() < 0.9 else "[what]\n"
            command = Propose(f"id{self.proposed}", f"n{i}", f"after {latest}", self.now, text)
            self.proposals[command.id] = (self.now, i, inf)
            member.submit(self.clock(i), command)
            if self.rng.random() < 0.3:
                member.submit(self.clock(i), command)
            if self.rng.random() < 0.2 and member.rollout_state.pending:
                member.withdraw(self.clock(i), member.rollout_state.pending, "chance")
            self.carry(i)

    def elect(self, i: int) -> None:
        """Staff name other voters, by chance."""
        if self.runs(i):
            count = self.rng.randint(1, min(5, self.size))
            names = [f"n{j}" for j in self.rng.sample(range(self.size), count)]
            self.members[i].submit(self.clock(i), Electorate(names, "chance"))
            self.carry(i)

    def first(self) -> None:
        """Have a first version in force, so that whatever is served shows under which."""
        while not self.forces:
            self.run(self.now + 500.0)
            lead = self.leader()
            if lead is not None and not lead.rollout_state.pending:
                self.proposed += 1
                text = document(max(lead.rollout_state.versions, default=0) + 1)
                lead.submit(self.clock(int(lead.name[1:])), Propose(f"id{self.proposed}", "", "", 0.0, text))
        self.run(self.now + 500.0)

    def clients(self, span: float = 7.0) -> None:
        """Have clients ask all, each some times a second, from now on."""

        def ask(_: Any) -> None:
            for i in range(self.size):
                if self.runs(i):
                    member = self.members[i]
                    closed = member.admission_refusal(self.clock(i))
                    for tenant in TENANTS:
                        rules = member.rules
                        limit = rules.tenants.get(tenant) if rules is not None else None
                        served = not closed and (limit is None or limit.rate > 0)
                        if served:
                            self.asks.append(oracle.Asked(self.now, self.now, i, tenant))
            self.at(self.now + span, ask, None)

        self.at(self.now, ask, None)

    # What is seen

    def note(self, i: int) -> None:
        """Note what an oracle wants to know of one."""
        a = self.members[i].raft
        if a.role.value == "leader":
            self.leaders.setdefault(a.term, set()).add(a.name)

    def agreed(self, i: int, index: int, entry: Entry) -> None:
        held = self.log.setdefault(index, (entry.term, entry.data))
        if held != (entry.term, entry.data):
            self.found.append(f"one_log: n{i} applied another entry at {index}")
        book = self.members[i].rollout_state
        self.at(self.now, self.forced, (i, book))

    def forced(self, what: tuple[int, Any]) -> None:
        i, book = what
        for id, (began, by, seen) in self.proposals.items():
            if by == i and seen == inf and id in book.by_id:
                self.proposals[id] = (began, by, self.now)
        if book.force and book.force not in self.forces:
            self.forces[book.force] = self.now

    def breaches(self) -> list[str]:
        found = list(self.found)
        for term, names in self.leaders.items():
            if len(names) > 1:
                found.append(f"one_leader: {sorted(names)} in term {term}")
        texts: dict[int, str] = {}
        ends: dict[int, str] = {}
        for i, member in enumerate(self.members):
            for v in member.rollout_state.versions.values():
                if texts.setdefault(v.number, v.id) != v.id:
                    found.append(
                        f"one_word: version {v.number} is {v.id} at n{i}, {texts[v.number]} elsewhere"
                    )
                if v.phase in (IN_FORCE, "withdrawn") and ends.setdefault(v.number, v.phase) != v.phase:
                    found.append(f"one_word: version {v.number} is {v.phase} at n{i}")
        versions = []
        held = {v.number: v for m in self.members for v in m.rollout_state.versions.values()}
        for number, at in sorted(self.forces.items()):
            stopped = {t for t in TENANTS if number in held and f"tenants.{t}]" in held[number].text}
            versions.append(oracle.Version(number, at, frozenset(stopped)))
        numbers = {v.id: v.number for v in held.values()}
        made = {id: (began, seen) for id, (began, _, seen) in self.proposals.items()}
        return found + oracle.breaches(versions, self.asks) + one_order(made, numbers)

    def leader(self) -> PolicyGate | None:
        up = [m for i, m in enumerate(self.members) if self.up[i] and m.raft.role.value == "leader"]
        return max(up, key=lambda m: m.raft.term) if up else None

    def settled(self) -> bool:
        """Whether all that are up admit, and have applied the same."""
        up = [m for i, m in enumerate(self.members) if self.up[i]]
        same = {(m.rollout_state.force, m.rollout_state.pending) for m in up}
        return len(same) == 1 and all(not m.admission_refusal(self.clock(int(m.name[1:]))) for m in up)
