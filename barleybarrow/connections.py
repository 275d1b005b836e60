"""Which connections to pool members to hold, use next, open ahead of need and retire, and when.

Told the time (milliseconds on one clock) and what happened; does no I/O and keeps no request waiting.
docs/design/connections.md weighs the ways. What is held stays within `Planner.room`; the rest is a few
numbers for each member.
"""

import math
import random
from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

IDLE_SHARE = (
    0.6  # of the idle time in the settings: a member may close earlier than it says, and clocks differ
)
SPREAD = 0.1  # of an idle limit, by which each connection's own may be shorter: those of one moment part
SPREAD_AHEAD = 0.5  # the same where those retired are opened again ahead of need: they come back at a pace
AGE_SPREAD = 0.25  # the same for age and for number of requests, where nothing is lost by being early
EARLY = 100.0  # milliseconds after an answer: closes up to then are a habit, later ones an idle limit
EARLY_KEPT, EARLY_SPAN = 64, 30_000.0  # early closes remembered, and for how many milliseconds
REST_MARGIN = 1.25  # of the latest early close seen: the next may be later, and has a way to go
EARLY_LEAST, EARLY_SHARE = 4, 0.002  # fewer, or a smaller share of the answers, are no habit
QUICK = 50.0  # milliseconds from a write to a reset: a dead connection tells at once
AT_ONCE = 100.0  # milliseconds within which closes of one member have one cause: its process went
AGREE = 0.2  # two closes at ages that differ by this share or less show a limit
MARGIN = 0.8  # of an idle limit that was seen: the close must not cross a request on its way
LEAST_LIMIT = 20.0  # milliseconds: a limit is learned no lower, below it nothing could be used again
TRIAL, TRIAL_MOST = (
    10_000.0,
    640_000.0,
)  # milliseconds until a learned limit is tried again; it doubles with each failure
SHARED, SHARED_SPAN = (
    9,
    300_000.0,
)  # limits learned lately, whose median holds for members that have shown none
CAP_WAIT, CAP_MOST = 1_000.0, 30_000.0  # until a learned cap is tried again; it doubles with each failure
CAP_SIGNS = 2  # refusals in a row that show a cap: one connect may fail for reasons of its own
WINDOWS = 6  # parts of the time for which a peak of connections in use is remembered
RATE_SPAN = 1_000.0  # milliseconds over which the pace of lends is smoothed
SPAN_WEIGHT = 1 / 16  # of a new time in use in their mean
DOUBT = 2.0  # standard deviations of a Poisson count that are held on top of its mean
AHEAD_ROOM = 0.75  # of the room, beyond which nothing is opened ahead: requests come first
SWEEP, SWEEP_AHEAD = 250.0, 50.0  # milliseconds between sweeps, without and with openings ahead
OPENED_AT_ONCE = 6  # ahead in one sweep: some 0.3 ms of this program's work each, while requests wait
CLOSED_AT_ONCE = (
    16  # in one sweep, or a quarter of what is due: nobody waits for it, and what is due is not used
)
AGE_PACE = 1 / 16  # of the idle connections that one sweep may retire by age
LOST_PROCESS = 3  # connections of a member broken at once: its process went, and comes back cold


class Cause(Enum):
    """Why a connection ended; the values are the words in figures."""

    IDLE = "idle"  # it stood idle for its time
    AGE = "age"  # lived for as long as operators allow
    REQUESTS = "requests"  # carried as many requests as operators allow
    ENDED = "ended"  # the member closed it between two requests
    STRAY = "stray"  # bytes came that nobody had asked for
    TOLD = "told"  # an answer said that it ends, or could not be read to its end
    UNWRITTEN = "unwritten"  # it broke before a request was written whole: that one never ran
    RESET = "reset"  # it broke under a request that was written whole
    REFUSED = "refused"  # the connect was refused, or did not come up in time
    GIVEN_UP = "given_up"  # the attempt on it timed out or was cancelled
    LEFT = "left"  # the member drains, is gone, or has begun a new life
    ROOM = "room"  # closed to make room for another
    FAULT = "fault"  # a fault of the program, or its end


@dataclass(frozen=True)
class ConnectionSettings:
    """What operators may set; milliseconds, 0 for never or off."""

    learn: bool = True  # idle limits and caps
    rescue: bool = True  # a request that provably never ran goes to another connection of the same member
    rest: bool = False  # where members close soon after answers, others are used or opened meanwhile
    age: float = 0.0
    requests: int = 0
    ahead: bool = False
    spare: int = 1  # idle connections held beyond the forecast
    hold: float = 60_000.0  # how long a peak is remembered
    pace: float = 10.0  # openings ahead, a second and member, by all proxies together
    subset: int = 0  # least number of members that a proxy sees
    subset_index: int = -1  # of this proxy, -1 for what the platform says
    subset_proxies: int = 0  # how many there are, 0 for what the platform says


class State(Enum):
    OPENING = 0
    IDLE = 1
    BUSY = 2
    DONE = 3  # its last exchange is over, and it is to be closed
    CLOSED = 4


class Held:
    """One connection, as the planner knows it."""

    __slots__ = "line link state ahead born since age requests luck trial stale".split()

    def __init__(self, line: "Line", link: Any, now: float, luck: float, ahead: bool) -> None:
        self.line, self.link, self.born, self.luck, self.ahead = line, link, now, luck, ahead
        self.state = State.OPENING
        self.since = now  # when its state began
        self.age = -1.0  # how long it had been idle when it was lent; below 0 on its first request
        self.requests = 0
        self.trial = False  # it may outlive the learned limit
        self.stale = False  # it was lost as one that had stood idle for too long


class Line:
    """What is held toward one life of one member, and what was learned of it."""

    __slots__ = (
        "name cold_until left idle held used opening limit good undo trial_at trial_wait seen broken "
        "broken_at heard refusal refusals cap cap_until cap_wait peaks lends rate span tended ahead_at "
        "handshake"
    ).split()

    def __init__(self, name: str, now: float, cold_until: float) -> None:
        self.name, self.cold_until, self.left = name, cold_until, False
        self.idle: list[Held] = []  # in the order of their return; a list: an empty deque takes 760 bytes
        self.held = self.used = self.opening = 0  # all; with a request; not yet up and opened ahead
        self.limit, self.good = math.inf, 0.0  # idle age learned as too old, and proven as young enough
        self.undo: tuple[float, float, float] | None = None  # when a surprise came, limit and good before it
        self.trial_at, self.trial_wait = math.inf, TRIAL
        self.seen: tuple[float, float] | None = None  # when it closed an idle one, and at what age
        self.broken, self.broken_at = 0, -math.inf  # connections that broke at once
        self.heard = -math.inf  # when it answered last
        self.cap, self.cap_until, self.cap_wait = math.inf, -math.inf, CAP_WAIT
        self.refusal: float | None = None  # when a connect was refused, until it is known what that shows
        self.refusals = 0  # in a row that may show a cap
        self.peaks = [0]  # WINDOWS at most: most in use, by window; the last is the present one
        self.lends, self.rate = 0, 0.0  # since the last sweep, and a millisecond
        self.span = 0.0  # milliseconds that one is in use, smoothed
        self.tended, self.ahead_at = now, now
        self.handshake = 0.0  # milliseconds that a connect took, smoothed


class Planner:
    """Decides on all connections to pool members. The driver does as it says and tells what came of it."""

    def __init__(
        self,
        settings: ConnectionSettings,
        room: int,
        seed: int = 0,
        conn_idle: float = 0.0,
        cold: float = 0.0,
        proxies: int = 1,
    ) -> None:
        """`room`: connections that may be held; `conn_idle`, `cold`: idle and warming time, 0 for none."""
        self.settings, self.room, self.cold = settings, room, cold
        self.base = conn_idle * IDLE_SHARE if conn_idle else math.inf
        self.pace = 1000.0 * max(proxies, 1) / settings.pace  # milliseconds between openings ahead
        self.rng = random.Random(seed)
        self.total = 0
        self.active: dict[Line, None] = {}  # those that hold or lately used something, in a fixed order
        self.shared: deque[tuple[float, float, Line]] = deque(
            maxlen=SHARED
        )  # when, what was learned, of whom
        self.common = math.inf  # the limit of members that have shown none
        # when, at what age, after how many answers, whose
        self.early: deque[tuple[float, float, int, str]] = deque(maxlen=EARLY_KEPT)
        self.answers, self.rest = 0, 0.0
        self.outlived, self.outlived_before = 0.0, 0.0  # longest idle age good in this span and the last
        self.outlived_at = -math.inf  # when this span began
        self.swept = -math.inf
        self.closes: Counter[Cause] = Counter()
        self.opened = self.opened_ahead = self.reused = self.rescued = self.full = 0

    # what the driver asks

    def join(self, name: str, now: float, started: float = 0.0) -> Line:
        """A member, or a new life of one; `started` is its start, 0 for long ago."""
        return Line(name, now, started + self.cold if started else -math.inf)

    def leave(self, line: Line) -> list[Held]:
        """A member drains, is gone, or lives anew: nothing more is kept. Returns what is to be closed now."""
        line.left = True
        return list(line.idle)

    def lend(self, line: Line, now: float, safe: bool) -> Held | None:
        """The idle connection to use next; None where a new one is to be opened.

        `safe`: the request may be repeated whatever happens, so it may try one beyond the learned limit.
        """
        idle = line.idle
        if not idle or line.left:
            return None
        limit, rest = self.limit(line), self.resting(line)
        latest = now - rest
        chosen = None
        if self.settings.ahead and now - idle[0].since > limit / 4 and line.held <= self.need(line):
            if self.usable(idle[0], now, limit, safe):
                chosen = idle[0]  # what the forecast wants is kept young by use
        if chosen is None:
            for held in reversed(idle):
                if held.since <= latest:
                    if self.usable(held, now, limit, safe):
                        chosen = held
                    break  # those before it are older still
            if chosen is None and not (rest and self.may_rest(line, now)):
                chosen = next((held for held in idle if self.usable(held, now, limit, safe)), None)
        if chosen is not None:
            self.use(chosen, now)
        return chosen

    def may_open(self, line: Line, now: float) -> bool:
        """Whether a new connection may be opened now: not where the member is known to be full."""
        if not self.settings.learn or line.held < line.cap or now >= line.cap_until:
            return True
        self.full += 1
        return False

    def spare(self) -> Held | None:
        """The idle connection that may be closed to make room, if there is one."""
        line = max(self.active, key=lambda line: len(line.idle), default=None)
        return line.idle[0] if line is not None and line.idle else None

    def opening(self, line: Line, link: Any, now: float, ahead: bool = False) -> Held:
        """A connect has begun; there must be room."""
        assert self.total < self.room and not line.left
        held = Held(line, link, now, self.rng.random(), ahead)
        self.total += 1
        line.held += 1
        self.opened += 1
        self.active[line] = None
        if ahead:
            line.opening += 1
            self.opened_ahead += 1
            line.ahead_at = now + self.pace * (0.5 + self.rng.random())
        else:
            self.count_use(line)
        return held

    def up(self, held: Held, now: float) -> bool:
        """A connect is done; whether the connection stays, which one opened ahead may not."""
        line = held.line
        took = now - held.since
        line.handshake += (took - line.handshake) * (SPAN_WEIGHT if line.handshake else 1.0)
        line.refusals = 0
        if line.held > line.cap:
            line.cap, line.cap_wait = line.held, CAP_WAIT
        if line.cold_until == math.inf:  # its process had gone: this is a new one
            line.cold_until = now + self.cold
        if not held.ahead:
            held.state, held.since = State.BUSY, now
            return True
        line.opening -= 1
        held.state, held.since, held.ahead = State.DONE, now, False
        if line.left:
            return False
        held.state = State.IDLE
        line.idle.append(held)
        return True

    def not_opened(self, line: Line, now: float) -> None:
        """A connect was refused before there was anything to hold."""
        self.closes[Cause.REFUSED] += 1
        if self.settings.learn:
            self.refused(line, now)
            self.broke(line, now, gone=not line.held)

    def answered(self, held: Held, now: float) -> None:
        """The first byte of an answer is here: the connection was alive."""
        line = held.line
        line.heard, line.broken = now, 0
        if line.refusal is not None:
            self.capped(line, now, held)
        self.answers += 1
        if held.age > line.good:
            line.good = held.age
            if held.age > line.limit:  # a trial that went well
                self.learned(line, now, held.age)
        if held.age > self.outlived:
            self.outlived = held.age

    def done(self, held: Held, now: float) -> Cause | None:
        """An exchange has ended well; None where the connection is kept, else why it is to be closed."""
        line, settings = held.line, self.settings
        self.count_end(held, now)
        held.state = State.DONE
        if line.left:
            return Cause.LEFT
        own = 1 - AGE_SPREAD * held.luck
        if settings.requests and held.requests >= settings.requests * own:
            return Cause.REQUESTS
        if settings.age and now - held.born >= settings.age * own:
            return Cause.AGE
        held.state, held.since = State.IDLE, now
        line.idle.append(held)
        return None

    def closed(self, held: Held, now: float, cause: Cause) -> None:
        """A connection has ended; each is told once, and what is told again is left aside."""
        if held.state is State.CLOSED:
            return
        line, state = held.line, held.state
        if held.ahead:
            line.opening -= 1
        elif state is State.OPENING:
            line.used -= 1
        elif state is State.BUSY:
            self.count_end(held, now)
        elif state is State.IDLE:
            line.idle.remove(held)
        held.state = State.CLOSED
        line.held -= 1
        self.total -= 1
        self.closes[cause] += 1
        if not self.settings.learn:
            return
        if cause is Cause.ENDED:
            self.ended(held, now)
        elif cause is Cause.REFUSED:
            self.refused(line, now)
        if cause in (Cause.RESET, Cause.REFUSED, Cause.UNWRITTEN):
            self.broke(line, now, held.stale, cause is Cause.REFUSED and not line.held)

    def lost(self, held: Held, now: float, wrote: float, reset: bool) -> None:
        """A request written whole at `wrote` has met a reset, or else silence, and not one byte came."""
        line, age = held.line, held.age
        if age <= EARLY or not self.settings.learn:
            return  # new or nearly so: it did not stand too long
        if now - wrote > QUICK if reset else line.heard <= wrote:
            return  # the process may have broken it, or may answer nobody at present
        if now - line.broken_at <= AT_ONCE:
            return  # others broke that were not old: the process went
        held.stale = True
        if line.undo is None or now - line.undo[0] > AT_ONCE:
            line.undo = now, line.limit, line.good
        if age <= line.good:
            line.good /= 2  # one that stood longer was good: more of these will count
        else:
            self.shorten(line, now, max(age / 2, line.good * MARGIN))

    def promised(self, held: Held, limit: float) -> None:
        """The member says in an answer for how long it keeps an idle connection."""
        if self.settings.learn:
            held.line.limit = max(LEAST_LIMIT, min(held.line.limit, limit * MARGIN))

    def sweep(self, now: float) -> tuple[list[tuple[Held, Cause]], list[Line]]:
        """What is to be closed, and toward whom one each is to be opened ahead; due each `every`."""
        due: list[tuple[Held, Cause]] = []
        wanted: list[Line] = []
        self.forget(now)
        late, self.swept = now - self.swept > 1.5 * self.every, now
        oldest = max(1, int(AGE_PACE * sum(len(line.idle) for line in self.active)))  # that may go by age now
        for line in list(self.active):
            oldest = self.tend(line, now, due, oldest)
            if self.settings.ahead and self.wants(line, now):
                wanted.append(line)
            if not line.held and (line.left or not self.settings.ahead or not any(line.peaks)):
                del self.active[line]
        most = min(OPENED_AT_ONCE, int(self.room * AHEAD_ROOM) - self.total)
        if late or most <= 0:
            wanted = []  # whoever is late has no time for what is not needed yet
        elif len(wanted) > most:
            wanted = self.rng.sample(wanted, most)
        return due[: max(CLOSED_AT_ONCE, len(due) // 4)], wanted

    def summary(self) -> str:
        """What was opened and why it was closed, in one line for the log."""
        causes = ", ".join(f"{cause.value} {count}" for cause, count in sorted(self.closes.items(), key=str))
        return (
            f"{self.opened} opened, {self.opened_ahead} of them ahead, {self.reused} times used again, "
            f"{self.rescued} requests moved, {self.full} not opened; closed: {causes or 'none'}"
        )

    @property
    def every(self) -> float:
        """Milliseconds from one sweep to the next."""
        return SWEEP_AHEAD if self.settings.ahead else SWEEP

    # use

    def usable(self, held: Held, now: float, limit: float, safe: bool) -> bool:
        """Whether a request may be put on an idle connection."""
        age = now - held.since
        return age < self.own(limit, held) or (safe and held.trial and age < 2 * limit)

    def use(self, held: Held, now: float) -> None:
        line = held.line
        if line.idle[-1] is held:
            line.idle.pop()
        else:
            line.idle.remove(held)
        held.state, held.age, held.since, held.trial = State.BUSY, now - held.since, now, False
        self.reused += 1
        self.count_use(line)

    def count_use(self, line: Line) -> None:
        line.used += 1
        line.lends += 1
        if line.used > line.peaks[-1]:
            line.peaks[-1] = line.used

    def count_end(self, held: Held, now: float) -> None:
        line = held.line
        line.used -= 1
        held.requests += 1
        took = now - held.since
        line.span += (took - line.span) * (SPAN_WEIGHT if line.span else 1.0)

    # limits

    def limit(self, line: Line) -> float:
        """The idle age beyond which a connection to a member is not used, for the one with the most luck."""
        if line.limit < math.inf:
            return min(line.limit, self.base)
        return min(max(self.common, line.good, MARGIN * self.longest), self.base)

    @property
    def longest(self) -> float:
        """The longest idle time after which a connection was good lately, to whomever it led."""
        return max(self.outlived, self.outlived_before)

    def least(self, limit: float) -> float:
        """The shortest that a connection's own limit may be."""
        return limit * (1 - (SPREAD_AHEAD if self.settings.ahead else SPREAD))

    def own(self, limit: float, held: Held) -> float:
        """The idle limit of one connection."""
        least = self.least(limit)
        return limit - (limit - least) * held.luck if limit < math.inf else limit

    def shorten(self, line: Line, now: float, limit: float) -> None:
        """A connection was dead at an age that was held to be good: the next trial waits twice as long."""
        if line.limit < math.inf:
            line.trial_wait = min(2 * line.trial_wait, TRIAL_MOST)
        self.learned(line, now, min(limit, self.limit(line)))

    def learned(self, line: Line, now: float, limit: float) -> None:
        line.limit = max(LEAST_LIMIT, min(limit, self.base))
        line.trial_at = now + line.trial_wait
        self.shared.append((now, line.limit, line))
        self.settle_common()

    def settle_common(self) -> None:
        """What two members have shown holds for those that have shown nothing."""
        limits = sorted(limit for _, limit, _ in self.shared)
        several = len({line for *_, line in self.shared}) > 1
        self.common = limits[len(limits) // 2] if several else math.inf

    def forget(self, now: float) -> None:
        """Let go what was learned of all members long ago."""
        if self.early and now - self.early[0][0] > EARLY_SPAN:
            self.early.popleft()
            self.settle_rest()
        while self.shared and now - self.shared[0][0] > SHARED_SPAN:
            self.shared.popleft()
            self.settle_common()
        if now - self.outlived_at > EARLY_SPAN / 2:
            self.outlived, self.outlived_before, self.outlived_at = 0.0, self.outlived, now

    def ended(self, held: Held, now: float) -> None:
        """A member has closed an idle connection: at what age may tell how long it keeps them."""
        line, age = held.line, now - held.since
        if held.requests and age <= EARLY:
            self.note_early(line, now, age)
            return
        seen, line.seen = line.seen, (now, age)
        if seen is None or now - seen[0] <= AT_ONCE or line.heard <= seen[0]:
            return  # the first one, or its process went
        if abs(age - seen[1]) > AGREE * max(age, seen[1]):
            return
        limit = min(age, seen[1]) * MARGIN
        if line.limit < math.inf or limit < self.base:  # it may be longer than what was learned before
            line.good = min(line.good, limit)
            self.learned(line, now, limit)

    def broke(self, line: Line, now: float, stale: bool = False, gone: bool = False) -> None:
        """Several that break at once tell of a process that went, not of limits; it comes back cold."""
        if not stale and line.undo is not None and now - line.undo[0] <= AT_ONCE:
            since, line.limit, line.good = line.undo
            line.undo = None
            mine = [entry for entry in self.shared if entry[2] is line and entry[0] >= since]
            for entry in mine:
                self.shared.remove(entry)
            self.settle_common()
        if not stale:
            line.broken = line.broken + 1 if now - line.broken_at <= AT_ONCE else 1
            line.broken_at = now
        if gone or line.broken >= LOST_PROCESS:
            line.cold_until, line.seen, line.cap, line.refusal = math.inf, None, math.inf, None

    def refused(self, line: Line, now: float) -> None:
        """A refused connect shows a cap only if the member goes on answering: one that ends refuses too."""
        if line.refusal is None or now - line.refusal > CAP_WAIT:
            line.refusal = now if line.held else None

    def capped(self, line: Line, now: float, held: Held) -> None:
        """The member has answered after it refused a connect: does that show a cap?"""
        if line.refusal is None or now - line.refusal < AT_ONCE:
            return  # what it had sent before its end may be read up to now
        if held.born < line.refusal and now - line.refusal <= CAP_WAIT:
            line.refusals += 1
        if line.refusals >= CAP_SIGNS:
            line.cap = line.held
            line.cap_until = now + line.cap_wait
            line.cap_wait = min(2 * line.cap_wait, CAP_MOST)
        line.refusal = None

    # rest: members that close soon after an answer

    def note_early(self, line: Line, now: float, age: float) -> None:
        self.early.append((now, age, self.answers, line.name))
        self.settle_rest()

    def settle_rest(self) -> None:
        """How long a connection is to rest after an answer: as long as nearly all early closes take."""
        self.rest = 0.0
        if not self.settings.rest or len(self.early) < EARLY_LEAST:
            return
        answers = self.answers - self.early[0][2] + 1
        if len(self.early) < EARLY_SHARE * answers or len({whose for *_, whose in self.early}) < min(
            3, len(self.active)
        ):
            return
        self.rest = REST_MARGIN * max(age for _, age, *_ in self.early)

    def resting(self, line: Line) -> float:
        """Milliseconds that a connection is left alone after an answer; none where all close so early."""
        return self.rest if self.rest and self.longest > self.rest else 0.0

    def may_rest(self, line: Line, now: float) -> bool:
        """Whether a new connection may be opened rather than use one that has not rested."""
        return (
            now >= line.cold_until
            and self.total < self.room * AHEAD_ROOM
            and len(line.idle) <= line.used + 4
            and (line.held < line.cap or now >= line.cap_until)
        )

    # sweeping

    def tend(self, line: Line, now: float, due: list[tuple[Held, Cause]], oldest: int) -> int:
        """Note what of a line is due; returns how many more may go by age."""
        limit, age = self.limit(line), self.settings.age
        trial, least = now >= line.trial_at, self.least(limit)
        for position, held in enumerate(line.idle):
            idle = now - held.since
            if idle < least and not age:
                break  # those behind it are younger
            if idle >= self.own(limit, held):
                if trial and not position and idle < min(2 * limit, self.base):
                    held.trial = True
                    continue
                due.append((held, Cause.IDLE))
            elif age and oldest > 0 and now - held.born >= age * (1 - AGE_SPREAD * held.luck):
                due.append((held, Cause.AGE))
                oldest -= 1
        span = now - line.tended
        window = self.settings.hold / WINDOWS
        if span > 0:
            weight = min(1.0, span / RATE_SPAN)
            line.rate += (line.lends / span - line.rate) * weight
            line.lends = 0
            if now // window != line.tended // window:
                for _ in range(min(WINDOWS, int(now // window - line.tended // window))):
                    line.peaks.append(line.used)
                    del line.peaks[:-WINDOWS]
            line.tended = now
        return oldest

    def need(self, line: Line) -> int:
        """How many connections the forecast wants held toward a member."""
        peak = max(line.peaks)
        if not peak:
            return 0
        mean = line.rate * line.span
        return max(peak, math.ceil(mean + DOUBT * math.sqrt(mean))) + self.settings.spare

    def wants(self, line: Line, now: float) -> bool:
        """Whether one is to be opened ahead toward a member: one at a time, none where it may be cold."""
        return (
            not line.left
            and not line.opening
            and now >= max(line.ahead_at, line.cold_until)
            and line.held < min(self.need(line), line.cap)
        )
