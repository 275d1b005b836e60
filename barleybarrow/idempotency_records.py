"""Fates of keyed requests, told among proxies: where one may have run, and its answer where it is small.

A machine without I/O. It must never say that a key may go to a server while it may have run at another, nor
after the server's memory of it may be over. Each proxy numbers what it says of a key; a later word of its own
takes the place of the earlier, words of several stand beside each other. Best effort: what has not been heard
yet, within DELAY of its sending and the way of one message, binds nobody.

No clock is compared. A word carries its age; it cannot be older than the last question of ours that its
sender had answered by then, as words and answers come in one order.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from math import inf
from typing import Annotated

from msgspec import Meta, Struct

DELAY = 20.0  # milliseconds that words wait for others
ECHO = 500.0  # between two questions
DRIFT = 1.05  # two monotonic clocks do not differ by more over a window
KEPT = 2.0  # times its window that a fate is kept
MOST_FATES = 20_000
MOST_BYTES = 8 * 1024 * 1024  # of answers
LONGEST_ANSWER = 2048
LONGEST_KEY = 32  # bytes: whoever drives this gives a digest
MOST_TOLD = 200  # words in one message
MOST_WAITING = 5000  # words that wait to be told
MOST_GROUP = 10  # proxies; in a larger group nothing is told, as each would have to hear of every move
MOST_ORIGINS = 64

Number = Annotated[int, Meta(ge=0, le=2**53)]


class Answer(Struct, array_like=True, frozen=True):
    """What the server answered."""

    body: Annotated[bytes, Meta(max_length=LONGEST_ANSWER)]
    kind: bytes | None = None
    coding: bytes | None = None


class Said(Struct, array_like=True, frozen=True):
    """One proxy's word of a key. Without servers and answer it has run nowhere."""

    key: Annotated[bytes, Meta(min_length=1, max_length=LONGEST_KEY)]
    number: Number
    age: Annotated[float, Meta(ge=0.0)]  # milliseconds since the first attempt was sent
    window: Annotated[float, Meta(ge=0.0, le=1e7)]
    servers: Annotated[list[str], Meta(max_length=8)]
    answer: Answer | None = None


class Ask(Struct, array_like=True, frozen=True, tag=1):
    token: Number


class Told(Struct, array_like=True, frozen=True, tag=2):
    """Words, and the last question that was heard before them, 0 for none."""

    token: Number
    said: Annotated[list[Said], Meta(max_length=MOST_TOLD)]


Message = Ask | Told


@dataclass(slots=True)
class Word:
    """One proxy's word as it is held; the end of the server's memory is on this proxy's clock."""

    number: int
    servers: frozenset[str]
    until: float


@dataclass(slots=True)
class Fate:
    words: dict[str, Word] = field(default_factory=dict)  # by proxy
    answer: Answer | None = None
    kept_until: float = 0.0


@dataclass(slots=True)
class Open:
    """A keyed request of this proxy's own that is not over."""

    key: bytes
    window: float
    began: float = inf  # when its first attempt was sent
    out: dict[int, str] = field(default_factory=dict)  # attempts that are out
    sent: int = 0  # attempts so far
    ran: set[str] = field(default_factory=set)  # where it may have run


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is known of a key: its answer; or the one server it may go to, until when; or that it may not."""

    answer: Answer | None = None
    server: str = ""
    until: float = 0.0


class IdempotencyRecords:
    """One proxy's part. Times are milliseconds on its own monotonic clock."""

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.fates: OrderedDict[bytes, Fate] = OrderedDict()
        self.open: dict[int, Open] = {}
        self.number = 0
        self.bytes = 0
        self.waiting: OrderedDict[bytes, Said] = OrderedDict()
        self.waits_from: dict[bytes, float] = {}
        self.tell_at = inf
        self.ask_at = now
        self.token = 0
        self.asked: dict[int, float] = {}  # questions, and when each was put
        self.heard: dict[str, int] = {}  # by proxy: the last question of its that was heard
        self.reach: list[str] = []
        self.out: list[tuple[str, Message]] = []
        self.counts: Counter[str] = Counter()

    # What is known

    def ask(self, key: bytes, now: float, shared: bool) -> Verdict | None:
        """What is known of a key that comes again; None where it may go anywhere.

        `shared`: all servers drop a repeat of what one of them has run, so that several are as good as one.
        """
        fate = self.fates.get(key)
        if fate is None or now >= fate.kept_until:
            return None
        if fate.answer is not None:
            return Verdict(answer=fate.answer)
        servers = {server for word in fate.words.values() for server in word.servers}
        if not servers:
            return None
        until = min(word.until for word in fate.words.values() if word.servers)
        if len(servers) > 1 and not shared:
            return Verdict()
        return Verdict(server=min(servers), until=until)

    # This proxy's own

    def arrived(self, request: int, key: bytes, window: float) -> None:
        self.open[request] = Open(key, window)

    def sent(self, now: float, request: int, server: str) -> None:
        """An attempt is on its way; called before it is."""
        r = self.open.get(request)
        if r is None:
            return
        r.began = min(r.began, now)
        r.out[r.sent] = server
        r.sent += 1
        self.say(now, r)

    def ended(self, now: float, request: int, attempt: int, proven: bool) -> None:
        """An attempt has ended; `proven`: it has not run."""
        r = self.open.get(request)
        if r is None or attempt not in r.out:
            return
        server = r.out.pop(attempt)
        if not proven:
            r.ran.add(server)
        self.say(now, r)

    def over(self, now: float, request: int, answer: Answer | None) -> None:
        """The request has its final answer, or its client has left; what is out still may run."""
        r = self.open.pop(request, None)
        if r is not None and r.sent:
            r.ran.update(r.out.values())
            self.say(now, r, answer)

    def say(self, now: float, r: Open, answer: Answer | None = None) -> None:
        self.number += 1
        servers = sorted({*r.ran, *r.out.values()})[:8]
        said = Said(r.key, self.number, now - r.began, r.window, servers, answer)
        self.hold(self.name, said, now, now - r.began)
        if len(self.reach) >= MOST_GROUP:
            self.counts["group"] += 1
            return
        if r.key not in self.waiting and len(self.waiting) >= MOST_WAITING:
            self.waits_from.pop(self.waiting.popitem(last=False)[0], None)
            self.counts["waiting"] += 1
        self.waiting[r.key] = said
        self.waits_from[r.key] = now
        self.tell_at = min(self.tell_at, now + DELAY)

    # Tables

    def hold(self, origin: str, said: Said, now: float, age: float) -> None:
        """Take a proxy's word; `age`: how long ago, at most, its first attempt was sent."""
        fate = self.fates.get(said.key)
        if fate is None or now >= fate.kept_until:
            self.drop(said.key)
            fate = self.fates[said.key] = Fate()
            while len(self.fates) > MOST_FATES:
                self.drop(next(iter(self.fates)))
                self.counts["fates"] += 1
        before = fate.words.get(origin)
        if before is not None and said.number <= before.number:
            return
        if before is None and len(fate.words) >= MOST_ORIGINS:
            self.counts["origins"] += 1
            return
        fate.words[origin] = Word(said.number, frozenset(said.servers), now - age + said.window / DRIFT)
        fate.kept_until = max(fate.kept_until, now + KEPT * said.window)
        if said.answer is not None and fate.answer is None:
            fate.answer = said.answer
            self.bytes += len(said.answer.body)
            while self.bytes > MOST_BYTES:
                self.forget_an_answer()

    def drop(self, key: bytes) -> None:
        fate = self.fates.pop(key, None)
        if fate is not None and fate.answer is not None:
            self.bytes -= len(fate.answer.body)

    def forget_an_answer(self) -> None:
        """The oldest answer makes way; where its key may have run is still known."""
        fate = next(f for f in self.fates.values() if f.answer is not None)
        assert fate.answer is not None
        self.bytes -= len(fate.answer.body)
        fate.answer = None
        self.counts["answers"] += 1

    # Others

    def next(self) -> float:
        return min(self.tell_at, self.ask_at)

    def tick(self, now: float) -> None:
        if now >= self.tell_at:
            self.tell(now)
        if now >= self.ask_at:
            self.ask_at = now + ECHO
            if len(self.reach) < MOST_GROUP:
                self.token += 1
                self.asked[self.token] = now
                while len(self.asked) > 64:
                    del self.asked[next(iter(self.asked))]
                self.out += [(name, Ask(self.token)) for name in self.reach]
            while self.fates and now >= next(iter(self.fates.values())).kept_until:
                self.drop(next(iter(self.fates)))

    def tell(self, now: float) -> None:
        self.tell_at = inf
        part: list[Said] = []
        while self.waiting:
            key, said = self.waiting.popitem(last=False)
            age = said.age + now - self.waits_from.pop(key)
            part.append(Said(key, said.number, age, said.window, said.servers, said.answer))
            if len(part) == MOST_TOLD or not self.waiting:
                self.out += [(name, Told(self.heard.get(name, 0), part)) for name in self.reach]
                part = []

    def receive(self, now: float, sender: str, m: Message) -> None:
        if isinstance(m, Ask):
            self.heard[sender] = m.token
            while len(self.heard) > 4 * MOST_GROUP:
                del self.heard[next(iter(self.heard))]
            self.out.append((sender, Told(m.token, [])))
            return
        at = self.asked.get(m.token, -inf)  # what it says was said after that question was put
        for said in m.said:
            self.hold(sender, said, now, now - at + said.age)
