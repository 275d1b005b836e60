"""Shared knowledge of backends as values: first-hand evidence, how copies merge, what it is worth later.

It does no I/O, is told the time in milliseconds, and changes no decision of the policy: it gives the policy
peer estimates, which can only lower a backend's rank.

- Evidence is about one incarnation of one backend and comes from one proxy, its origin, which alone creates
  new versions of it. Copies carry their origin's name and the age of the evidence, so a copy of a copy adds
  nothing.
- Merging takes the greater version, which is a join of a semilattice (Shapiro et al., "Conflict-free
  Replicated Data Types", SSS 2011): order and repetition make no difference.
- The weight of evidence decays exponentially with the time since it was seen.
- Speeds are relative to the median of the origin's own backends. A mix of classes or a bad link that slows
  everything an origin sees cancels out, and so does a statement about all backends alike.
- Among several origins the weighted lower median counts: a minority of the weight lowers no backend.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from heapq import nsmallest
from itertools import islice
from math import exp, inf, isfinite, log
from statistics import median
from typing import Protocol

from barleybarrow.interface import Outcome

DECAY_PER_S = 0.08  # decay per second: four times the policy's MEAN_DECAY_PER_S, a half-life of 9 s
HALVING_ANSWERS = 2.0  # own answers of a proxy after which peer estimates count half
MAX_BELIEVED_SLOWER = log(8.0)  # enough to rank a backend behind all others
BACKENDS_PER_PASS = 256  # backends handled in one pass, which takes about 3 ms
MIN_MEASURED_BACKENDS = 3  # with fewer there is no meaningful median
FULL_WEIGHT_ANSWERS = 4  # with fewer, the mean still depends largely on that of the backend's kind
MAX_FAILURE_SHARE = 0.9  # limits the cost factor of failures to ten
MAX_EVIDENCE_AGE_MS = 120_000.0  # milliseconds: older evidence is dropped, as it has decayed by e^-9.6
MAX_EVIDENCE = 16_384  # evidence of eight origins on 2,000 backends, about 6 MB
MAX_NAME_LENGTH = 128  # characters
MAX_ABS_SLOWER = 10.0  # larger values are invalid: 22,000 times the median
MAX_COUNT = 2**53  # larger integers are not exact in every decoder
MIN_SPEED_CHANGE = log(1.3)  # smallest change worth publishing: well above the noise left after smoothing
MIN_FAILURE_SHARE_CHANGE = 0.2  # smallest change worth publishing
NOTABLE_SLOWER = log(1.2)  # smaller differences are ties for the policy and are not published again
REFRESH_INTERVAL_MS = 5_000.0  # after which notable evidence is published again if it is newer
NEVER = -1.0  # for a lag: it has not happened


class InvalidEvidenceError(ValueError):
    """Evidence with an impossible value."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """What one proxy observed of one incarnation of one backend. Times are in milliseconds."""

    backend: str
    born: float  # Unix time at which the incarnation started, as reported by discovery; 0 for long ago
    origin: str  # the proxy that observed it
    epoch: int  # incarnation of that proxy: Unix time of its start by its own clock
    serial: int  # counts the versions that the origin has published
    at: float  # time of the newest observation, on the clock of this proxy
    slower: float = 0.0  # log of its cost relative to the origin's median backend, failures included
    weight: float = 1.0  # 0 to 1: share of the smoothing window that is backed by answers
    failing: float = 0.0  # 0 to 1: recent share of failed attempts
    limit: float = 1.0  # learned concurrency limit of the origin
    warm: float = 1.0  # 0 to 1: the origin's estimate
    answered: float = NEVER  # lag of the last answer behind `at`, or NEVER
    failed: float = NEVER  # the same for the last failure
    silent: float = NEVER  # the same for the last attempt without an answer

    @property
    def key(self) -> tuple[float, str]:
        return self.born, self.origin

    def check(self, now: float) -> None:
        """Raise InvalidEvidenceError if a field is out of range or its time is in the future."""
        for name, text in (("backend", self.backend), ("origin", self.origin)):
            if not 0 < len(text) <= MAX_NAME_LENGTH or not text.isprintable():
                raise InvalidEvidenceError(name)
        for name, value, low, high in (
            ("born", self.born, 0.0, 1e15),
            ("epoch", self.epoch, 0, MAX_COUNT),
            ("serial", self.serial, 0, MAX_COUNT),
            ("at", self.at, now - 1e12, now),
            ("slower", self.slower, -MAX_ABS_SLOWER, MAX_ABS_SLOWER),
            ("weight", self.weight, 0.0, 1.0),
            ("failing", self.failing, 0.0, 1.0),
            ("limit", self.limit, 0.0, 1e6),
            ("warm", self.warm, 0.0, 1.0),
            ("answered", self.answered, NEVER, 1e12),
            ("failed", self.failed, NEVER, 1e12),
            ("silent", self.silent, NEVER, 1e12),
        ):
            if not isfinite(value) or not low <= value <= high:
                raise InvalidEvidenceError(name)

    def remaining_weight(self, now: float) -> float:
        """The weight left after decay."""
        return self.weight * exp(-DECAY_PER_S * max(0.0, now - self.at) / 1000.0)


def version_order(e: Evidence) -> tuple[float, ...]:
    """A total order of the versions of one key; the fields after the age only make it deterministic."""
    content = (e.slower, e.weight, e.failing, e.limit, e.warm, e.answered, e.failed, e.silent)
    return e.epoch, e.serial, -e.at, *content


def newer_version(one: Evidence, other: Evidence) -> Evidence:
    """The version that counts; of equal versions the older copy: copying never makes evidence younger."""
    return max(one, other, key=version_order)


def latency_factor(slower: float, weight: float, own: float, seen: int) -> float:
    """The factor, from 1 to 8, by which a peer estimate multiplies an expected latency.

    `own` is this proxy's own estimate and `seen` the number of answers behind it. Both speeds are logs of
    multiples of the usual latency of the fleet, as seen by the respective proxy. The result is their weighted
    geometric mean where that is above `own`.
    """
    trust = min(max(weight, 0.0), 1.0) * HALVING_ANSWERS / (HALVING_ANSWERS + seen)
    return min(exp(max(0.0, trust * (min(slower, MAX_BELIEVED_SLOWER) - own))), exp(MAX_BELIEVED_SLOWER))


class EvidenceStore:
    """Bounded store of evidence by backend, and for each by incarnation and origin."""

    def __init__(self, capacity: int = MAX_EVIDENCE) -> None:
        self.by_backend: dict[str, dict[tuple[float, str], Evidence]] = {}
        self.capacity, self.size = capacity, 0
        self.invalid = self.dropped = 0  # rejected as invalid; not stored for lack of room
        # backends with new evidence since they were last processed
        self.changed_backends: dict[str, None] = {}

    def all_evidence(self) -> Iterator[Evidence]:
        for of_backend in self.by_backend.values():
            yield from of_backend.values()

    def merge(self, evidence: Evidence, now: float) -> bool:
        """Merge evidence; returns whether it is a new version. Invalid or expired evidence is not stored."""
        try:
            evidence.check(now)
        except InvalidEvidenceError:
            self.invalid += 1
            return False
        if now - evidence.at > MAX_EVIDENCE_AGE_MS:
            return False
        current = self.by_backend.get(evidence.backend, {}).get(evidence.key)
        if current is None:
            if self.size >= self.capacity and not self.evict_oldest(evidence):
                self.dropped += 1
                return False
            self.size += 1
            best = evidence
        else:
            best = newer_version(current, evidence)
        self.by_backend.setdefault(evidence.backend, {})[evidence.key] = best
        is_new = current is None or (best.epoch, best.serial) > (current.epoch, current.serial)
        if is_new:
            self.changed_backends[evidence.backend] = None
        return is_new

    def remove(self, evidence: Evidence) -> None:
        of_backend = self.by_backend[evidence.backend]
        del of_backend[evidence.key]
        self.size -= 1
        if not of_backend:
            del self.by_backend[evidence.backend]

    def evict_oldest(self, evidence: Evidence) -> bool:
        """Evict the oldest eighth, unless `evidence` is older than all of it."""
        oldest = nsmallest(max(1, self.size // 8), self.all_evidence(), key=lambda e: e.at)
        if evidence.at <= oldest[-1].at:
            return False
        for e in oldest:
            self.remove(e)
        self.dropped += len(oldest)
        return True

    def prune(self, now: float) -> None:
        """Remove expired evidence."""
        for e in [e for e in self.all_evidence() if now - e.at > MAX_EVIDENCE_AGE_MS]:
            self.remove(e)

    def peer_estimates(
        self, now: float, born_at: Mapping[str, float], excluded_origin: tuple[str, int]
    ) -> dict[str, tuple[float, float]]:
        """Peer estimates for these incarnations (Unix start time by name): speed and weight by name.

        Evidence of `excluded_origin` (name and epoch) is left out: it is this proxy's own.
        """
        result = {}
        for name, born in born_at.items():
            of_backend = self.by_backend.get(name, {}).values()
            estimates = [
                (e.slower, e.remaining_weight(now))
                for e in of_backend
                if e.born == born and (e.origin, e.epoch) != excluded_origin
            ]
            if estimates:
                result[name] = weighted_lower_median(estimates)
        return result


def weighted_lower_median(estimates: Iterable[tuple[float, float]]) -> tuple[float, float]:
    """The weighted lower median of (speed, weight) pairs, and their total weight, capped at 1."""
    ordered = sorted(estimates)
    total, cumulative = sum(weight for _, weight in ordered), 0.0
    for speed, weight in ordered:
        cumulative += weight
        if 2 * cumulative >= total:
            return speed, min(1.0, total)
    return 0.0, 0.0


class BackendStats(Protocol):
    """The part of the policy's record of a backend that is read here."""

    name: str
    started: float
    mean: float
    seen: int
    limit: float
    warmth: float
    failing: list[float]
    lost: list[float]


class AttemptOutcomes:
    """When each backend last answered, failed, or left an attempt unanswered, in milliseconds."""

    def __init__(self) -> None:
        self.last_seen: dict[str, list[float]] = {}
        self.changed: dict[str, None] = {}  # backends with outcomes since they were last processed

    def on_attempt_end(self, now: float, backend: str, outcome: Outcome) -> None:
        """Record the end of an attempt."""
        if outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return
        index = 0 if outcome is Outcome.SERVED else 2 if outcome is Outcome.TIMEOUT else 1
        self.last_seen.setdefault(backend, [-inf, -inf, -inf])[index] = now
        self.changed[backend] = None

    def retain(self, names: Mapping[str, object]) -> None:
        """Remove all other backends, as the set of names is unbounded over time."""
        self.last_seen = {name: times for name, times in self.last_seen.items() if name in names}
        self.changed = {name: None for name in self.changed if name in names}

    def take_changed(self, limit: int) -> list[str]:
        """Take up to `limit` changed backends; they then count as processed."""
        found = list(islice(self.changed, limit))
        for name in found:
            del self.changed[name]
        return found


def failure_share(b: BackendStats) -> float:
    """Recent share of failed attempts: the largest of errors in all classes, breaks and time-outs."""
    shares = b.failing[:-1]
    found = max(sum(shares) / len(shares), b.failing[-1], sum(b.lost) / len(b.lost))
    return min(max(found, 0.0), 1.0)


def log_cost(b: BackendStats, failing: float) -> float:
    """Log of the usual latency per successful answer."""
    return b.mean - log(1 - min(failing, MAX_FAILURE_SHARE))


def first_hand_evidence(
    backends: Mapping[str, BackendStats],
    outcomes: AttemptOutcomes,
    born_at: Mapping[str, float],
    origin: str,
    epoch: int,
) -> list[Evidence]:
    """What this proxy itself has observed of these incarnations since the last call, each with serial 0.

    The policy's estimates contain only its own answers, never those of peers. The number of backends
    handled in one call is bounded, and the median is taken over an evenly spaced sample of as many, so that a
    large fleet does not block the event loop.
    """
    outcomes.retain(backends)
    step = len(outcomes.last_seen) // BACKENDS_PER_PASS + 1
    drawn = (backends[name] for name in islice(outcomes.last_seen, 0, None, step))
    costs = [log_cost(b, failure_share(b)) for b in drawn if b.seen]
    median_cost = median(costs) if len(costs) >= MIN_MEASURED_BACKENDS else None
    found = []
    for name in outcomes.take_changed(BACKENDS_PER_PASS):
        b, times = backends[name], outcomes.last_seen[name]
        if name not in born_at:
            continue
        at, failing = max(times), failure_share(b)
        slower = log_cost(b, failing) - median_cost if median_cost is not None and b.seen else 0.0
        lags = [at - t if t > -inf else NEVER for t in times]
        found.append(
            Evidence(
                backend=b.name,
                born=born_at[b.name],
                origin=origin,
                epoch=epoch,
                serial=0,
                at=at,
                slower=min(max(slower, -MAX_ABS_SLOWER), MAX_ABS_SLOWER),
                weight=min(1.0, b.seen / FULL_WEIGHT_ANSWERS) if median_cost is not None else 0.0,
                failing=failing,
                limit=b.limit,
                warm=b.warmth,
                answered=lags[0],
                failed=lags[1],
                silent=lags[2],
            )
        )
    return found


class EvidencePublisher:
    """Decides which first-hand evidence is worth publishing as a new version, and numbers it."""

    def __init__(self) -> None:
        self.last_serial = 0
        self.published: dict[str, tuple[float, Evidence]] = {}

    def take_updates(self, evidence: Sequence[Evidence], now: float) -> list[Evidence]:
        """The evidence worth publishing, with serials."""
        updates = []
        for e in evidence:
            last = self.published.get(e.backend)
            if last is None or self.is_worth_publishing(*last, e, now):
                self.last_serial += 1
                e = replace(e, serial=self.last_serial)
                self.published[e.backend] = now, e
                updates.append(e)
        return updates

    def retain(self, names: Mapping[str, object]) -> None:
        """Remove all other backends."""
        self.published = {name: last for name, last in self.published.items() if name in names}

    @staticmethod
    def is_worth_publishing(when: float, old: Evidence, new: Evidence, now: float) -> bool:
        if old.born != new.born or abs(new.failing - old.failing) > MIN_FAILURE_SHARE_CHANGE:
            return True
        if abs(new.slower - old.slower) > MIN_SPEED_CHANGE or old.weight < 0.5 <= new.weight:
            return True
        notable = max(abs(new.slower), abs(old.slower)) > NOTABLE_SLOWER
        return notable and new.at > old.at and now - when >= REFRESH_INTERVAL_MS
