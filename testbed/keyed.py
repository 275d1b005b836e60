"""Keyed moves through proxies that tell each other their fates, in virtual time: crashes, cuts, lost answers.

The machines are those that ship (`idempotency_records`). Servers remember a key for the class's window from
when its attempt came; clients whose proxy is silent ask another one again, with the same key. What ran where
is noted as the servers saw it, for the oracle (`breaches`): it knows nothing of what was told.
"""

from dataclasses import dataclass
from functools import partial
from typing import Any

from barleybarrow.idempotency_records import BATCH_DELAY_MS, IdempotencyRecords, SavedResponse
from testbed.cluster import DELAY as WAY
from testbed.cluster import PERIOD, TURN, Machines
from testbed.schedule import Schedule

WINDOW = 3000.0  # milliseconds that a server remembers a key
WORK = (2.0, 400.0)  # until an attempt is answered
LIMIT = 250.0  # after which a proxy gives an attempt up
LOST = 0.2  # of answers
SERVERS = 6
TELLS = BATCH_DELAY_MS + 2 * TURN + WAY[1] + 1.0  # by when a word has come over a link that works
MOVES = 120.0  # milliseconds between two new keys, on the mean


@dataclass(frozen=True)
class Attempt:
    key: bytes
    server: int
    at: float  # when it was sent
    by: int  # proxy
    bound: bool  # as an earlier one was told of


@dataclass
class Move:
    key: bytes
    tries: int = 0
    done: bool = False


class Keyed(Machines):
    """Proxies 0 to size - 1; times in milliseconds."""

    def __init__(self, size: int, seed: int) -> None:
        super().__init__(size, seed)
        self.members: list[IdempotencyRecords] = [self.machine(i) for i in range(size)]
        self.attempts: list[Attempt] = []
        self.moves: list[Move] = []
        self.requests = 0
        self.links: Schedule | None = None
        self.known = 0  # repeats that were answered or bound
        self.due: dict[tuple[int, int, int, int], float] = {}  # by link and lives: when its last word comes
        for i in range(size):
            self.start(i)

    def machine(self, i: int) -> IdempotencyRecords:
        found = IdempotencyRecords(f"n{i}", self.clock(i))
        found.reachable = [f"n{j}" for j in range(self.size) if j != i]
        return found

    def carry(self, i: int) -> None:
        out, self.members[i].outgoing = self.members[i].outgoing, []
        for to, message in out:
            self.send(i, int(to[1:]), message)

    # Streams keep their order: what a fault holds back holds back what comes after it, and nothing is lost

    def send(self, i: int, j: int, message: Any) -> None:
        self.sent += 1
        link = (i, j, self.life[i], self.life[j])
        due = max(self.due.get(link, 0.0), self.now + self.rng.uniform(*WAY))
        self.due[link] = due
        self.at(due, self.come, (*link, message))

    def come(self, what: tuple[int, int, int, int, Any]) -> None:
        i, j, life, other, message = what
        if (life, other) != (self.life[i], self.life[j]):
            return  # a stream ends with its processes
        if self.cut(i, j):
            self.at(self.now + TURN, self.come, what)
            return
        self.arrive((i, j, message))

    # Clients and servers

    def move(self, _: object) -> None:
        move = Move(b"k%d" % len(self.moves))
        self.moves.append(move)
        self.ask(move)
        self.at(self.now + self.rng.expovariate(1.0 / MOVES), self.move, None)

    def ask(self, move: Move) -> None:
        """A client asks some proxy, and another one later where it gets no answer."""
        if move.done or move.tries >= 4:
            return
        move.tries += 1
        i = self.rng.randrange(self.size)
        if self.runs(i):
            self.requests += 1
            self.take(i, move, self.requests)
        wait = self.rng.choice([50.0, LIMIT, 1000.0, 2.0 * WINDOW]) + self.rng.uniform(0.0, 50.0)
        self.at(self.now + wait, self.ask, move)

    def take(self, i: int, move: Move, request: int) -> None:
        fates, now = self.members[i], self.clock(i)
        verdict = fates.lookup(move.key, now, False)
        self.known += verdict is not None
        if verdict is not None and verdict.response is not None:
            move.done = True
            return
        if verdict is not None and (not verdict.server or now >= verdict.until):
            return  # given up at once: it may run nowhere else
        server = int(verdict.server) if verdict is not None else self.rng.randrange(SERVERS)
        fates.on_request(request, move.key, WINDOW)
        fates.on_attempt_sent(now, request, str(server))
        self.attempts.append(Attempt(move.key, server, self.now, i, verdict is not None))
        span, life = self.rng.uniform(*WORK), self.life[i]
        lost = self.rng.random() < LOST or span > LIMIT
        self.at(self.now + min(span, LIMIT), partial(self.ended, i, life, move, request), lost)

    def ended(self, i: int, life: int, move: Move, request: int, lost: bool) -> None:
        if self.life[i] != life or not self.runs(i):
            return
        fates, now = self.members[i], self.clock(i)
        fates.on_attempt_ended(now, request, 0, False)
        fates.on_request_done(now, request, None if lost else SavedResponse(b"done"))
        move.done = move.done or not lost
        self.carry(i)

    # What is done

    def play(self, schedule: Schedule) -> None:
        end = self.plan(schedule)
        self.links = schedule
        self.at(self.now, self.move, None)
        self.run(end)

    def crash(self, i: int) -> None:
        super().crash(i)
        self.life[i] += 1  # what it has open is gone with it

    def told(self, first: Attempt, then: Attempt) -> bool:
        """Whether the second's proxy must have heard of the first attempt: nothing was in the way."""
        if then.by == first.by or then.at < first.at + TELLS:
            return False
        assert self.links is not None
        ends = range(int((first.at - self.origin) / PERIOD) - 1, int((then.at - self.origin) / PERIOD) + 2)
        cuts = [f for f in self.links.links if f.lost >= 1.0]
        troubled = any(f.concerns(float(p), first.by, then.by) for f in cuts for p in ends)
        acts = [a for a in self.links.acts if {first.by, then.by} & {*a.who}]
        span = (first.at - self.origin) / PERIOD, (then.at - self.origin) / PERIOD
        for a in acts:
            last = a.at + a.spread + a.lasts if a.lasts else float("inf")
            troubled |= a.at - 1.0 <= span[1] and last + 1.0 >= span[0]
        return not troubled

    def breaches(self) -> list[str]:
        """Keys that ran at two servers though that was told, and repeats that came when it was forgotten."""
        found, by_key = [], dict[bytes, list[Attempt]]()
        for attempt in self.attempts:
            before = by_key.setdefault(attempt.key, [])
            for first in before:
                inside = attempt.at < first.at + WINDOW
                if inside and first.server != attempt.server and self.told(first, attempt):
                    found.append(f"fates: {attempt} though {first} was told")
            same = [b.at for b in before if b.server == attempt.server]
            if attempt.bound and same and attempt.at > max(same) + WINDOW:
                found.append(f"window: {attempt} came when its server had forgotten")
            before.append(attempt)
        return found


def storm(seed: int, size: int, schedule: Schedule) -> Keyed:
    """One play from a seed."""
    k = Keyed(size, seed)
    k.run(1000.0)
    k.play(schedule)
    return k
