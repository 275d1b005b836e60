"""One relayed link as a machine: script, seed and the link's number say what happens to its bytes.

It knows no socket and no clock: it is told the time (milliseconds, any origin), what came on either side,
and that its next time has come, and returns what is to be done. Given the same bytes, all that hangs on
offsets, patterns or chance is the same again, however the bytes were cut up on their way in; what hangs on
time is put on record.
"""

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from testbed.relay.deeds import MOST_HELD, Close, Deed, End, Reset, Write
from testbed.relay.journal import Acted, Changed, Ended, Passed, Record
from testbed.relay.script import DOWN, ENDINGS, UP, Rule, Way

SLICE_MS = 10.0  # a throttled stream is written in pieces that take so long
MERGE_MS = 20.0  # a merge waits so long for more where its rule names no time


@dataclass(slots=True)
class Piece:
    """Bytes to be written in one go."""

    data: bytearray
    offset: int
    came_at: float  # when its last byte came
    ready_at: float
    shaped: bool
    open_until: int = 0  # a merge goes on until it holds so many bytes


@dataclass(slots=True)
class Ending:
    """The end of a direction or a link, in its place among the pieces; no rule where the sender ended it."""

    kind: str
    rule: int | None
    side: str
    ready_at: float
    came_at: float


@dataclass(slots=True)
class Shape:
    """A rule that acts on the bytes that come now."""

    rule: Rule
    number: int
    start: int  # the offset of its first byte
    left: float  # bytes


@dataclass(slots=True)
class Tally:
    """What the links of a hop share: how often each rule acted, and the record of it all."""

    seed: int
    hop: str
    rules: list[tuple[int, Rule]]  # with their number in the script
    note: Callable[[Record], None]
    acted: dict[int, int]
    watched: dict[int, int] = field(default_factory=dict)  # links on which a rule waited for its moment


class Watcher:
    """Waits in one direction of one link for the moments of a rule."""

    def __init__(self, number: int, rule: Rule, rng: random.Random) -> None:
        self.number, self.rule, self.rng = number, rule, rng
        self.pattern = rule.pattern.encode("latin-1") if rule.pattern is not None else b""
        self.tail, self.matches, self.fired = b"", 0, 0
        self.points: deque[int] = deque()  # offsets at which it acts, in order
        if rule.each_byte is not None:
            self.draw(-1)
        elif rule.pattern is None and rule.after_ms is None:
            self.points.append(rule.offset or 0)

    def draw(self, last: int) -> None:
        """The next byte that chance picks: the gap of a Bernoulli sequence is geometric."""
        share = self.rule.each_byte or 0.0
        if share > 0.0:
            gap = 1 if share >= 1.0 else 1 + int(math.log(1.0 - self.rng.random()) / math.log1p(-share))
            self.points.append(last + gap)

    def look(self, data: bytes, start: int) -> None:
        """Find the pattern in what comes at an offset; one that began earlier is found as well."""
        text, base = self.tail + data, start - len(self.tail)
        at = 0
        while (found := text.find(self.pattern, at)) >= 0:
            at = found + len(self.pattern)
            self.matches += 1
            if self.matches >= self.rule.nth:
                self.points.append(base + at + self.rule.plus)
        self.tail = text[max(at, len(text) - len(self.pattern) + 1) :]


class Lane:
    """One direction of a link."""

    def __init__(self, link: "Link", way: Way) -> None:
        self.link, self.way = link, way
        self.taken = self.passed = self.held = 0  # bytes: come in, gone out, in between
        self.queue: deque[Piece | Ending] = deque()
        self.shapes: list[Shape] = []
        self.watchers: list[Watcher] = []
        self.free_at, self.ready_at = -math.inf, -math.inf  # of the throttle; of what is last in the queue
        self.over = False  # nothing more passes
        self.ending = False  # a rule's ending is queued: what comes after it is dropped
        self.digest = blake2b(digest_size=8)

    def receive(self, now: float, data: bytes) -> None:
        for watcher in self.watchers:
            if watcher.pattern:
                watcher.look(data, self.taken)
        start, at = self.taken, 0
        while True:
            point, watcher_now = math.inf, None
            for watcher in self.watchers:
                if watcher.points and watcher.points[0] < point:
                    point, watcher_now = watcher.points[0], watcher
            if watcher_now is None or point > start + len(data):
                break
            upto = max(int(point) - start, at)
            self.take(now, data[at:upto])
            at = upto
            watcher_now.points.popleft()
            if watcher_now.rule.each_byte is not None:
                watcher_now.draw(int(point))
            self.link.fire(now, watcher_now)
        self.take(now, data[at:])

    def take(self, now: float, data: bytes) -> None:
        """Queue bytes that meet the same shapes."""
        while data:
            span = int(min([len(data), *(shape.left for shape in self.shapes)]))
            part, data = data[:span], data[span:]
            if not self.over and not self.ending:
                self.shape(now, bytearray(part))
            self.taken += span
            for shape in self.shapes:
                shape.left -= span
            self.shapes = [shape for shape in self.shapes if shape.left > 0]

    def shape(self, now: float, data: bytearray) -> None:
        offset, ready, size, gap, gather, rate = self.taken, now, 0, 0.0, 0, 0.0
        wait = MERGE_MS
        for shape in self.shapes:
            rule = shape.rule
            if rule.do == "garble":
                self.garble(shape, data, offset)
            elif rule.do == "delay":
                draw = random.Random(f"{self.link.key}/{self.way}/{shape.number}/{offset}").random()
                ready = max(ready, now + (rule.ms or 0.0) + draw * rule.jitter_ms)
            elif rule.do == "hold":
                ready = max(ready, math.inf if rule.ms is None else now + rule.ms)
            elif rule.do == "throttle":
                rate = min(rate or math.inf, rule.bytes_per_s or math.inf)
            elif rule.do == "split":
                size, gap = rule.size or 1, rule.gap_ms
            else:
                gather, wait = rule.size or 1, MERGE_MS if rule.ms is None else rule.ms
        shaped = any(shape.rule.do != "garble" for shape in self.shapes)
        self.held += len(data)
        if rate:
            most = max(1, int(rate * SLICE_MS / 1000.0))
            size, gap = min(size or most, most), gap
        if gather and not rate and not size:
            self.gather(now, data, offset, ready, gather, wait)
            return
        step = size or len(data)
        for at in range(0, len(data), step):
            part = data[at : at + step]
            ready = max(ready, self.ready_at + gap if at or gap else self.ready_at)
            if rate:
                ready = max(ready, self.free_at)
                self.free_at = ready + len(part) / rate * 1000.0
                ready = self.free_at
            self.ready_at = ready
            self.queue.append(Piece(part, offset + at, now, ready, shaped))

    def gather(self, now: float, data: bytearray, offset: int, ready: float, least: int, wait: float) -> None:
        last = self.queue[-1] if self.queue else None
        if isinstance(last, Piece) and last.open_until and last.ready_at > now:
            last.data += data
            last.came_at = now
            piece = last
        else:
            piece = Piece(data, offset, now, max(ready, self.ready_at, now + wait), True, least)
            self.queue.append(piece)
        if len(piece.data) >= least:
            piece.open_until, piece.ready_at = 0, max(ready, now)
        self.ready_at = piece.ready_at

    def garble(self, shape: Shape, data: bytearray, offset: int) -> None:
        """Put other bytes in the place of these; which ones hangs on the seed and the offset alone."""
        rule = shape.rule
        before = bytes(data)
        for at in range(len(data)):
            if rule.put is not None:
                put = rule.put.encode("latin-1")
                data[at] = put[(offset + at - shape.start) % len(put)]
            else:
                draw = random.Random(f"{self.link.key}/{self.way}/{shape.number}/{offset + at}")
                data[at] ^= draw.randrange(1, 256)
        link = self.link
        link.tally.note(Changed(link.tally.hop, link.number, self.way, offset, before.hex(), data.hex()))

    def end(self, now: float, kind: str, rule: int | None, side: str = "both") -> None:
        """Put an ending behind what is queued."""
        self.ending = self.ending or rule is not None
        self.queue.append(Ending(kind, rule, side, max(now, self.ready_at), now))

    def clear(self) -> None:
        """Drop what is held."""
        self.queue.clear()
        self.held = 0

    def next(self) -> float:
        return self.queue[0].ready_at if self.queue else math.inf

    def emit(self, now: float, piece: Piece) -> Write:
        link, data = self.link, bytes(piece.data)
        if piece.shaped:
            wait = max(0.0, now - piece.came_at)
            link.tally.note(Passed(link.tally.hop, link.number, self.way, piece.offset, len(data), wait))
        self.passed += len(data)
        self.held -= len(data)
        self.digest.update(data)
        return Write(self.way, data)


class Link:
    """One accepted connection and the one made for it, between which bytes pass or fail to."""

    def __init__(self, tally: Tally, number: int, now: float) -> None:
        self.tally, self.number, self.opened_at, self.last_at = tally, number, now, now
        self.key = f"{tally.seed}/{tally.hop}/{number}"
        self.up, self.down = Lane(self, UP), Lane(self, DOWN)
        self.deeds: list[Deed] = []
        self.timed: list[tuple[float, Watcher]] = []
        self.over = False
        for number_of_rule, rule in tally.rules:
            if rule.links is not None and not rule.links[0] <= number <= rule.links[1]:
                continue
            rng = random.Random(f"{self.key}/{number_of_rule}")
            if rng.random() >= rule.chance:
                continue
            tally.watched[number_of_rule] = tally.watched.get(number_of_rule, 0) + 1
            watcher = Watcher(number_of_rule, rule, rng)
            if rule.after_ms is not None:
                self.timed.append((now + rule.after_ms, watcher))
            else:
                self.lane(rule.watched).watchers.append(watcher)
        self.timed.sort(key=lambda entry: entry[0])

    def lane(self, way: Way) -> Lane:
        return self.up if way == UP else self.down

    # what the driver calls; each returns what is to be done

    def open(self, now: float) -> list[Deed]:
        """Both sides are connected."""
        for lane in (self.up, self.down):
            lane.receive(now, b"")
        return self.tick(now)

    def receive(self, now: float, way: Way, data: bytes) -> list[Deed]:
        """Bytes came in from the near side of a direction."""
        self.last_at = now
        if not self.over:
            self.lane(way).receive(now, data)
        return self.tick(now)

    def ended(self, now: float, way: Way) -> list[Deed]:
        """The near side of a direction sends no more."""
        if not self.over:
            self.lane(way).end(now, "end", None)
        return self.tick(now)

    def broken(self, now: float, side: str) -> list[Deed]:
        """A side was reset or lost: the other is told at once, and what was held is dropped."""
        if not self.over:
            self.finish("broken", now, None)
            self.deeds.append(Reset("server" if side == "client" else "client"))
        return self.tick(now)

    def next_at(self) -> float:
        """When something is to be done next; infinite where nothing is."""
        if self.over:
            return math.inf
        return min([self.up.next(), self.down.next(), *(at for at, _ in self.timed[:1])])

    def full(self, way: Way) -> bool:
        """Whether so much is held in a direction that its sender is not to be read."""
        return self.lane(way).held > MOST_HELD

    def tick(self, now: float) -> list[Deed]:
        """Do what is due."""
        while not self.over and self.next_at() <= now:
            if self.timed and self.timed[0][0] <= min(self.up.next(), self.down.next()):
                self.fire(now, self.timed.pop(0)[1])
                continue
            lane = min((self.up, self.down), key=Lane.next)
            item = lane.queue.popleft()
            if isinstance(item, Piece):
                self.deeds.append(lane.emit(now, item))
            else:
                self.act(now, lane, item)
        deeds, self.deeds = self.deeds, []
        return deeds

    def close(self, now: float) -> None:
        """The relay itself ends."""
        if not self.over:
            self.finish("open", now, None)

    # inside

    def fire(self, now: float, watcher: Watcher) -> None:
        """The moment of a rule is here."""
        rule, number, acted = watcher.rule, watcher.number, self.tally.acted
        if rule.times and watcher.fired >= rule.times or rule.in_all and acted[number] >= rule.in_all:
            return
        lane = self.lane(rule.way)
        at_once = rule.at_once or rule.after_ms is not None
        if lane.over or self.over or lane.ending and not at_once:
            return
        watcher.fired += 1
        acted[number] += 1
        if rule.do not in ENDINGS:
            span = rule.bytes or (1 if rule.do == "garble" else math.inf)
            lane.shapes.append(Shape(rule, number, lane.taken, span))
        elif at_once:
            lane.clear()
            self.act(now, lane, Ending(rule.do, number, rule.side, now, now))
        else:
            lane.end(now, rule.do, number, rule.side)

    def act(self, now: float, lane: Lane, ending: Ending) -> None:
        kind = ending.kind
        if kind == "cut":
            self.finish(kind, now, ending.rule)
            self.deeds.append(Close())
        elif kind == "reset":
            self.finish(f"{kind} {ending.side}", now, ending.rule)
            self.deeds.append(Reset(ending.side))
        else:
            lane.clear()
            lane.over = True
            if ending.rule is not None:
                self.record(f"{kind} {lane.way}", now, ending.rule)
            self.deeds.append(End(lane.way))
            if self.up.over and self.down.over:
                self.finish("end", now, None)
                self.deeds.append(Close())

    def record(self, kind: str, now: float, rule: int | None) -> None:
        up, down = self.up, self.down
        self.tally.note(
            Acted(
                self.tally.hop,
                self.number,
                kind,
                rule,
                (up.taken, up.passed),
                (down.taken, down.passed),
                now - self.last_at,
            )
        )

    def finish(self, kind: str, now: float, rule: int | None) -> None:
        if rule is not None:
            self.record(kind, now, rule)
        self.over = True
        lanes = [(lane.taken, lane.passed, lane.digest.hexdigest()) for lane in (self.up, self.down)]
        self.tally.note(Ended(self.tally.hop, self.number, kind, lanes[0], lanes[1], now - self.opened_at))
        for lane in (self.up, self.down):
            lane.clear()
            lane.over = True
