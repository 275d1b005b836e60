"""Shared knowledge as values: what each proxy saw at first hand, how copies merge, what it is worth later.

It does no I/O, is told the time in milliseconds, and changes nothing that the module decided: it hands the
module hearsay, which can only lower a backend's rank.

- Evidence is about one life of one backend and comes from one proxy, its origin, which alone makes new
  versions of it. Copies travel with their origin's name and the age of the evidence: a copy of a copy adds
  nothing.
- Merging takes the greater version, which is a join of a semilattice (Shapiro et al., "Conflict-free
  Replicated Data Types", SSS 2011): order and repetition make no difference.
- Evidence is worth its weight times e^(-FADE t), t seconds after it was seen.
- Speeds are relative to the median of the origin's own backends. A class mix, or a bad link, that slows all
  that a proxy sees cancels; so does what is said of all backends alike.
- Where several origins speak, their weighted lower median counts: less than half of the weight lowers nobody.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from heapq import nsmallest
from itertools import islice
from math import exp, inf, isfinite, log
from statistics import median
from typing import Protocol

from barleybarrow.interface import Outcome

FADE = 0.08  # a second takes this share off: four times MEAN_DECAY_PER_S of the module, a half-life of 9 s
OWN = 2.0  # answers of its own after which a proxy halves what it hears
MOST_SLOWER = log(8.0)  # more is not believed: ranked behind all others a backend is already
SOME = 256  # backends looked at in one go: some 3 ms
LEAST = 3  # measured backends below which there is no median to compare with
FULL_WEIGHT = 4  # answers from which on the mean weighs in full: until then it leans on its kind's anyway
MOST_FAILING = 0.9  # a share of failures above it counts as this: tenfold cost is enough
OLDEST = 120_000.0  # milliseconds: worth e^-9.6 then, so it is dropped
MOST_HELD = 16_384  # pieces of evidence: eight origins' word on 2,000 backends, some 6 MB
MOST_NAME = 128  # characters
BEYOND = 10.0  # |slower| above it is absurd: 22,000 times the median
MOST_COUNT = 2**53  # whole numbers beyond are not exact in every reader
CHANGED = log(1.3)  # a change of speed worth telling: well beyond the spread after smoothing
FAILS_OTHERWISE = 0.2  # a change in the share that fails worth telling
NOTABLE = log(1.2)  # within the module's tie nothing has to be told again
REFRESH = 5_000.0  # milliseconds after which what is notable and newer is told again
NEVER = -1.0  # for a lag: it has not happened


class InvalidEvidenceError(ValueError):
    """Evidence that cannot be true."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """What one proxy saw of one life of one backend. Spans and clock times are in milliseconds."""

    backend: str
    born: float  # Unix time at which this life began, as discovery tells it to all; 0 for long ago
    origin: str  # the proxy that saw it
    epoch: int  # the life of that proxy: Unix milliseconds on its own clock when it started
    serial: int  # the origin counts what it says
    at: float  # on this proxy's clock: when the newest of it was seen
    slower: float = 0.0  # log of how many times the origin's median backend it costs, failures counted in
    weight: float = 1.0  # 0 to 1: answers behind it, of those that smoothing remembers
    failing: float = 0.0  # 0 to 1: share of attempts that failed of late
    limit: float = 1.0  # threshold learned: attempts of the origin at once
    warm: float = 1.0  # 0 to 1, as the origin guessed it
    answered: float = NEVER  # so long before `at` it last answered; NEVER where it did not
    failed: float = NEVER  # the same for a failure
    silent: float = NEVER  # the same for an attempt without any answer

    @property
    def key(self) -> tuple[float, str]:
        return self.born, self.origin

    def check(self, now: float) -> None:
        """Raise InvalidEvidenceError where a field is out of its range, or its time has not come yet."""
        for name, text in (("backend", self.backend), ("origin", self.origin)):
            if not 0 < len(text) <= MOST_NAME or not text.isprintable():
                raise InvalidEvidenceError(name)
        for name, value, least, most in (
            ("born", self.born, 0.0, 1e15),
            ("epoch", self.epoch, 0, MOST_COUNT),
            ("serial", self.serial, 0, MOST_COUNT),
            ("at", self.at, now - 1e12, now),
            ("slower", self.slower, -BEYOND, BEYOND),
            ("weight", self.weight, 0.0, 1.0),
            ("failing", self.failing, 0.0, 1.0),
            ("limit", self.limit, 0.0, 1e6),
            ("warm", self.warm, 0.0, 1.0),
            ("answered", self.answered, NEVER, 1e12),
            ("failed", self.failed, NEVER, 1e12),
            ("silent", self.silent, NEVER, 1e12),
        ):
            if not isfinite(value) or not least <= value <= most:
                raise InvalidEvidenceError(name)

    def worth(self, now: float) -> float:
        """What is left of its weight."""
        return self.weight * exp(-FADE * max(0.0, now - self.at) / 1000.0)


def rank(e: Evidence) -> tuple[float, ...]:
    """An order of all versions of one key; the rest after the age only keeps it free of chance."""
    content = (e.slower, e.weight, e.failing, e.limit, e.warm, e.answered, e.failed, e.silent)
    return e.epoch, e.serial, -e.at, *content


def greater(one: Evidence, other: Evidence) -> Evidence:
    """The version that counts. Of one version the copy that says it is older does: no copy makes it young."""
    return max(one, other, key=rank)


def lowering(slower: float, weight: float, own: float, seen: int) -> float:
    """By how much hearsay multiplies an expected latency, 1 at least and 8 at most.

    `own` is what this proxy itself expects, `seen` the answers that stands on; both speeds are logs of
    multiples of the fleet's usual latency, each of its own proxy's fleet. Taken is their geometric mean by
    weight, where it is above `own`.
    """
    doubt = min(max(weight, 0.0), 1.0) * OWN / (OWN + seen)
    return min(exp(max(0.0, doubt * (min(slower, MOST_SLOWER) - own))), exp(MOST_SLOWER))


class Book:
    """All evidence that is held, by backend, and there by life and origin."""

    def __init__(self, room: int = MOST_HELD) -> None:
        self.held: dict[str, dict[tuple[float, str], Evidence]] = {}
        self.room, self.size = room, 0
        self.absurd = self.dropped = 0  # rejected; not kept for want of room
        self.changed: dict[
            str, None
        ] = {}  # backends of which something new was said since they were looked at

    def all(self) -> Iterator[Evidence]:
        for of_backend in self.held.values():
            yield from of_backend.values()

    def merge(self, evidence: Evidence, now: float) -> bool:
        """Take up a piece of evidence; whether it was news. What is absurd or too old is not kept."""
        try:
            evidence.check(now)
        except InvalidEvidenceError:
            self.absurd += 1
            return False
        if now - evidence.at > OLDEST:
            return False
        old = self.held.get(evidence.backend, {}).get(evidence.key)
        if old is None:
            if self.size >= self.room and not self.make_room(evidence):
                self.dropped += 1
                return False
            self.size += 1
            best = evidence
        else:
            best = greater(old, evidence)
        self.held.setdefault(evidence.backend, {})[evidence.key] = best
        news = old is None or (best.epoch, best.serial) > (old.epoch, old.serial)
        if news:
            self.changed[evidence.backend] = None
        return news

    def drop(self, evidence: Evidence) -> None:
        of_backend = self.held[evidence.backend]
        del of_backend[evidence.key]
        self.size -= 1
        if not of_backend:
            del self.held[evidence.backend]

    def make_room(self, evidence: Evidence) -> bool:
        """Drop an eighth, the oldest, unless this one is older than they are."""
        oldest = nsmallest(max(1, self.size // 8), self.all(), key=lambda e: e.at)
        if evidence.at <= oldest[-1].at:
            return False
        for e in oldest:
            self.drop(e)
        self.dropped += len(oldest)
        return True

    def prune(self, now: float) -> None:
        """Forget what is too old to count."""
        for e in [e for e in self.all() if now - e.at > OLDEST]:
            self.drop(e)

    def hearsay(
        self, now: float, lives: Mapping[str, float], but: tuple[str, int]
    ) -> dict[str, tuple[float, float]]:
        """What others say of these lives (name and Unix time of birth): speed and weight by name.

        What the origin `but` (name and epoch) says is left out: a proxy does not hear itself.
        """
        found = {}
        for name, born in lives.items():
            of_backend = self.held.get(name, {}).values()
            said = [
                (e.slower, e.worth(now)) for e in of_backend if e.born == born and (e.origin, e.epoch) != but
            ]
            if said:
                found[name] = agreed(said)
        return found


def agreed(words: Iterable[tuple[float, float]]) -> tuple[float, float]:
    """The weighted lower median of (speed, weight), and the weight of all, 1 at most."""
    ordered = sorted(words)
    total, upto = sum(weight for _, weight in ordered), 0.0
    for speed, weight in ordered:
        upto += weight
        if 2 * upto >= total:
            return speed, min(1.0, total)
    return 0.0, 0.0


class Known(Protocol):
    """What is read of the module's record of a backend."""

    name: str
    started: float
    mean: float
    seen: int
    limit: float
    warmth: float
    failing: list[float]
    lost: list[float]


class Sightings:
    """When each backend last answered, failed, or left an attempt unanswered, in clock milliseconds."""

    def __init__(self) -> None:
        self.times: dict[str, list[float]] = {}
        self.fresh: dict[str, None] = {}  # those of which something was seen since they were looked at

    def ended(self, now: float, backend: str, outcome: Outcome) -> None:
        """Note the end of an attempt there."""
        if outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return
        place = 0 if outcome is Outcome.SERVED else 2 if outcome is Outcome.TIMEOUT else 1
        self.times.setdefault(backend, [-inf, -inf, -inf])[place] = now
        self.fresh[backend] = None

    def keep(self, names: Mapping[str, object]) -> None:
        """Forget all other backends: their names come and go without end."""
        self.times = {name: times for name, times in self.times.items() if name in names}
        self.fresh = {name: None for name in self.fresh if name in names}

    def some(self, most: int) -> list[str]:
        """So many of the fresh ones, which count as looked at then."""
        found = list(islice(self.fresh, most))
        for name in found:
            del self.fresh[name]
        return found


def share_failing(b: Known) -> float:
    """Share of attempts that fail there of late, over all classes, or by breaks, or by silence."""
    shares = b.failing[:-1]
    found = max(sum(shares) / len(shares), b.failing[-1], sum(b.lost) / len(b.lost))
    return min(max(found, 0.0), 1.0)


def cost_of(b: Known, failing: float) -> float:
    """Log of the usual latency for each answer that comes."""
    return b.mean - log(1 - min(failing, MOST_FAILING))


def first_hand(
    backends: Mapping[str, Known], sightings: Sightings, lives: Mapping[str, float], origin: str, epoch: int
) -> list[Evidence]:
    """What this proxy itself has seen of these lives since the last time, each with serial 0.

    The module's estimates hold its own answers alone, as hearsay never enters them. SOME are looked at in one
    go at most, and the median is that of as many, evenly drawn: a large fleet must not hold up the loop.
    """
    sightings.keep(backends)
    step = len(sightings.times) // SOME + 1
    drawn = (backends[name] for name in islice(sightings.times, 0, None, step))
    costs = [cost_of(b, share_failing(b)) for b in drawn if b.seen]
    middle = median(costs) if len(costs) >= LEAST else None
    found = []
    for name in sightings.some(SOME):
        b, times = backends[name], sightings.times[name]
        if name not in lives:
            continue
        at, failing = max(times), share_failing(b)
        slower = cost_of(b, failing) - middle if middle is not None and b.seen else 0.0
        lags = [at - t if t > -inf else NEVER for t in times]
        found.append(
            Evidence(
                backend=b.name,
                born=lives[b.name],
                origin=origin,
                epoch=epoch,
                serial=0,
                at=at,
                slower=min(max(slower, -BEYOND), BEYOND),
                weight=min(1.0, b.seen / FULL_WEIGHT) if middle is not None else 0.0,
                failing=failing,
                limit=b.limit,
                warm=b.warmth,
                answered=lags[0],
                failed=lags[1],
                silent=lags[2],
            )
        )
    return found


class Teller:
    """Decides what of a proxy's own evidence is worth a new version, and numbers it."""

    def __init__(self) -> None:
        self.serial = 0
        self.told: dict[str, tuple[float, Evidence]] = {}

    def news(self, seen: Sequence[Evidence], now: float) -> list[Evidence]:
        """The pieces worth telling, numbered."""
        found = []
        for e in seen:
            last = self.told.get(e.backend)
            if last is None or self.worth_telling(*last, e, now):
                self.serial += 1
                e = replace(e, serial=self.serial)
                self.told[e.backend] = now, e
                found.append(e)
        return found

    def keep(self, names: Mapping[str, object]) -> None:
        """Forget all other backends."""
        self.told = {name: last for name, last in self.told.items() if name in names}

    @staticmethod
    def worth_telling(when: float, old: Evidence, new: Evidence, now: float) -> bool:
        if old.born != new.born or abs(new.failing - old.failing) > FAILS_OTHERWISE:
            return True
        if abs(new.slower - old.slower) > CHANGED or old.weight < 0.5 <= new.weight:
            return True
        notable = max(abs(new.slower), abs(old.slower)) > NOTABLE
        return notable and new.at > old.at and now - when >= REFRESH
