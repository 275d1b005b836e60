"""The relay's journal: what was done to which bytes, one JSON object a line; and a machine that does it
again.

A fault that hung on time or chance stands here as offsets and bytes, so that it can be played again on links
that carry the same bytes: the same pieces, the same changed bytes, the same ending after the same byte.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import BinaryIO

import msgspec

from testbed.relay.deeds import MOST_HELD, Close, Deed, End, Reset, Write
from testbed.relay.script import DOWN, UP, Way

VERSION = 1
MOST_BYTES = 64 * 1024 * 1024  # of a journal kept in memory; what comes after is counted and left out


class Head(msgspec.Struct, frozen=True, tag="head", array_like=True):
    """What was played."""

    version: int
    name: str
    seed: int
    hops: tuple[str, ...]
    rules: tuple[str, ...]


class Passed(msgspec.Struct, frozen=True, tag="passed", array_like=True):
    """Bytes that a rule shaped went out in one piece, so long after the last of them had come."""

    hop: str
    link: int
    way: Way
    offset: int
    size: int
    wait: float  # ms


class Changed(msgspec.Struct, frozen=True, tag="changed", array_like=True):
    """Bytes that were garbled, in hex."""

    hop: str
    link: int
    way: Way
    offset: int
    before: str
    after: str


class Acted(msgspec.Struct, frozen=True, tag="acted", array_like=True):
    """A rule ended the link or one direction of it: when so many bytes had come in and gone out, in ms
    after.
    """

    hop: str
    link: int
    kind: str  # cut; half_close up or down; reset client, server or both
    rule: int | None
    up: tuple[int, int]
    down: tuple[int, int]
    wait: float


class Ended(msgspec.Struct, frozen=True, tag="ended", array_like=True):
    """A link is over: bytes in, bytes out and digest of those, for each direction; its age in ms."""

    hop: str
    link: int
    kind: str
    up: tuple[int, int, str]
    down: tuple[int, int, str]
    age: float


Record = Passed | Changed | Acted | Ended
Line = Head | Record


class Journal:
    """Takes records, into a file or into memory."""

    def __init__(self, head: Head, file: BinaryIO | None = None) -> None:
        self.file, self.text, self.dropped = file, bytearray(), 0
        self.encoder = msgspec.json.Encoder(order="deterministic")
        self.write(head)

    def write(self, line: Line) -> None:
        data = self.encoder.encode(line) + b"\n"
        if self.file is not None:
            self.file.write(data)
        elif len(self.text) + len(data) > MOST_BYTES:
            self.dropped += 1
        else:
            self.text += data


class JournalError(ValueError):
    """The journal cannot be played."""


@dataclass(slots=True)
class LanePlan:
    """What happened in one direction of a link."""

    pieces: dict[int, tuple[int, float]] = field(default_factory=dict)
    changes: dict[int, int] = field(default_factory=dict)  # offset: the byte that went out
    end: tuple[int, int, str] | None = None


@dataclass(slots=True)
class LinkPlan:
    """What happened on one link."""

    up: LanePlan = field(default_factory=LanePlan)
    down: LanePlan = field(default_factory=LanePlan)
    acts: deque[Acted] = field(default_factory=deque)
    kind: str = ""


def read_plans(text: bytes) -> dict[tuple[str, int], LinkPlan]:
    """Read a journal into a plan for each hop's name and link's number."""
    plans: dict[tuple[str, int], LinkPlan] = {}
    decoder = msgspec.json.Decoder(Line)
    for number, row in enumerate(text.splitlines(), 1):
        try:
            line = decoder.decode(row)
        except msgspec.DecodeError as error:
            raise JournalError(f"line {number}: {error}") from error
        if isinstance(line, Head):
            if line.version != VERSION:
                raise JournalError(f"line {number}: version {line.version} is not known")
            continue
        plan = plans.setdefault((line.hop, line.link), LinkPlan())
        if isinstance(line, Ended):
            plan.kind, plan.up.end, plan.down.end = line.kind, line.up, line.down
        elif isinstance(line, Acted):
            plan.acts.append(line)
        else:
            lane = plan.up if line.way == UP else plan.down
            if isinstance(line, Passed):
                lane.pieces[line.offset] = (line.size, line.wait)
            else:
                lane.changes.update(enumerate(bytes.fromhex(line.after), line.offset))
    return plans


class PlayedLane:
    """One direction of a link that is played again."""

    def __init__(self, way: Way, plan: LanePlan, kind: str) -> None:
        self.way, self.plan = way, plan
        self.taken = self.passed = 0
        self.bytes = bytearray()  # come in, not gone out
        self.came: deque[tuple[int, float]] = deque()  # so many bytes had come at that time
        self.ended = self.over = False
        self.digest = blake2b(digest_size=8)
        self.starts = deque(sorted(plan.pieces))
        self.cap = math.inf
        if plan.end is not None and (plan.end[0] > plan.end[1] or kind == "cut" or kind.startswith("reset")):
            self.cap = plan.end[1]

    def receive(self, now: float, data: bytes) -> None:
        if not self.over:
            put = bytearray(data)
            for at in range(len(data) if self.plan.changes else 0):
                put[at] = self.plan.changes.get(self.taken + at, put[at])
            self.bytes += put
        self.taken += len(data)
        self.came.append((self.taken, now))

    def due(self) -> tuple[float, int]:
        """When the next bytes go out, and how many; infinite where none are here."""
        while self.starts and self.starts[0] < self.passed:
            self.starts.popleft()
        ready, size = 0.0, min(self.taken - self.passed, int(min(self.cap - self.passed, 1 << 40)))
        if self.starts and self.starts[0] == self.passed:
            planned, wait = self.plan.pieces[self.passed]
            if size < planned:
                return math.inf, 0
            size = planned
            while self.came and self.came[0][0] < self.passed + size:
                self.came.popleft()
            ready = self.came[0][1] + wait if self.came else 0.0
        elif self.starts:
            size = min(size, self.starts[0] - self.passed)
        return (ready, size) if size > 0 and not self.over else (math.inf, 0)

    def take(self, size: int) -> bytes:
        data = bytes(self.bytes[:size])
        del self.bytes[:size]
        self.passed += size
        self.digest.update(data)
        return data

    def same(self) -> bool:
        """Whether the very bytes went out that did when the journal was written."""
        return self.plan.end is None or self.plan.end[1:] == (self.passed, self.digest.hexdigest())


class PlayedLink:
    """A link to which happens what the journal says; in place of `machine.Link`, toward the driver the
    same.
    """

    def __init__(
        self, hop: str, number: int, plan: LinkPlan, now: float, differs: Callable[[str], None]
    ) -> None:
        self.hop, self.number, self.plan, self.differs = hop, number, plan, differs
        self.up, self.down = PlayedLane(UP, plan.up, plan.kind), PlayedLane(DOWN, plan.down, plan.kind)
        self.acts, self.act_at, self.over = deque(plan.acts), math.inf, False
        self.deeds: list[Deed] = []

    def lane(self, way: Way) -> PlayedLane:
        return self.up if way == UP else self.down

    def open(self, now: float) -> list[Deed]:
        return self.tick(now)

    def receive(self, now: float, way: Way, data: bytes) -> list[Deed]:
        if not self.over:
            self.lane(way).receive(now, data)
        return self.tick(now)

    def ended(self, now: float, way: Way) -> list[Deed]:
        self.lane(way).ended = True
        return self.tick(now)

    def broken(self, now: float, side: str) -> list[Deed]:
        if not self.over:
            self.finish()
            self.deeds.append(Reset("server" if side == "client" else "client"))
        return self.tick(now)

    def next_at(self) -> float:
        if self.over:
            return math.inf
        act_at = self.act_at if self.acts and self.gone(self.acts[0]) else math.inf
        return min(self.up.due()[0], self.down.due()[0], act_at)

    def full(self, way: Way) -> bool:
        return len(self.lane(way).bytes) > MOST_HELD

    def tick(self, now: float) -> list[Deed]:
        moved = True
        while moved and not self.over:
            moved = False
            for lane in (self.up, self.down):
                ready, size = lane.due()
                if ready <= now:
                    self.deeds.append(Write(lane.way, lane.take(size)))
                    moved = True
                elif lane.ended and not lane.over and lane.passed == lane.taken:
                    lane.over = moved = True
                    self.deeds.append(End(lane.way))
            moved = self.act(now) or moved
            if self.up.over and self.down.over and not self.over:
                self.finish()
                self.deeds.append(Close())
        deeds, self.deeds = self.deeds, []
        return deeds

    def act(self, now: float) -> bool:
        """Do the next ending once as many bytes have come and gone as had then; whether it was done."""
        if not self.acts or self.over:
            return False
        act = self.acts[0]
        if self.up.taken < act.up[0] or self.down.taken < act.down[0]:
            return False
        if self.act_at == math.inf:
            self.act_at = now + act.wait
        if now < self.act_at or not self.gone(act):
            return False
        self.acts.popleft()
        self.act_at = math.inf
        kind, _, where = act.kind.partition(" ")
        if kind == "half_close":
            lane = self.up if where == UP else self.down
            lane.over = True
            lane.bytes.clear()
            self.deeds.append(End(lane.way))
            return True
        self.finish()
        self.deeds.append(Close() if kind == "cut" else Reset(where))
        return True

    def gone(self, act: Acted) -> bool:
        """Whether as many bytes have gone out as had at an ending."""
        return self.up.passed >= act.up[1] and self.down.passed >= act.down[1]

    def close(self, now: float) -> None:
        if not self.over:
            self.finish()

    def finish(self) -> None:
        self.over = True
        for lane in (self.up, self.down):
            if not lane.same():
                self.differs(f"{self.hop} link {self.number}, {lane.way}: not the bytes of the journal")
            lane.bytes.clear()
            lane.over = True
        if self.acts:
            self.differs(f"{self.hop} link {self.number}: {self.acts[0].kind} did not come about")
