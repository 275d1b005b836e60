"""State of the routing policy: records of backends, requests and classes, and a ranking. No decisions."""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from heapq import heappop, heappush
from math import exp, inf
from typing import Generic, TypeVar

from barleybarrow.interface import Arrived, Entry, Hearsay, RequestClass

QueueItem = TypeVar("QueueItem", bound="Backend | Request")

PEER_DECAY_FACTOR = 4.0  # other proxies' estimates decay this many times as fast as own measurements
PEER_DECAY_PER_ANSWER = 0.7  # share of its log that an own answer leaves: two halve it


class Estimate:
    """Moving average of the log latency (ms) of a request of mean work, and a concurrency limit."""

    __slots__ = (
        "mean",
        "best",
        "limit",
        "cut_at",
        "seen",
    )

    def __init__(self, mean: float, limit: float = 1.0) -> None:
        self.mean = self.best = mean
        self.limit, self.cut_at, self.seen = limit, 0.0, 0  # seen: answers behind the mean

    @property
    def latency(self) -> float:
        """Expected latency of a request of mean work, in milliseconds."""
        return exp(self.mean)

    def add_sample(self, sample: float, weight: float) -> None:
        self.seen += 1
        self.mean += weight * (sample - self.mean)

    def shift(self, delta: float) -> None:
        """Add a difference to the mean and the best."""
        self.mean, self.best = self.mean + delta, self.best + delta


class Backend(Estimate):
    """What this proxy knows of one incarnation of a backend; times and durations are in milliseconds."""

    __slots__ = (
        "serial",
        "name",
        "started",
        "cell",
        "zone",
        "kind",
        "zone_price",
        "others",
        "inflight",
        "opened",
        "sent_alone",
        "pending",
        "held",
        "stuck",
        "warm_from",
        "lost",
        "reported_at",
        "probe_pending",
        "busy_until",
        "rests",
        "class_backoff",
        "failing",
        "answered_at",
        "breaks",
        "broke_at",
        "budget",
        "budget_at",
        "served",
        "warmth",
        "aged_at",
        "position",
        "rank_due_at",
        "rank_values",
        "peer_factor",
    )

    def __init__(
        self,
        serial: int,
        entry: Entry,
        kind: Estimate,
        zone_price: float,
        limit: float,
        classes: int,
        now: float,
    ) -> None:
        super().__init__(kind.mean, limit)
        self.serial = serial  # distinguishes incarnations, and orders backends of equal value
        self.name, self.started, self.cell, self.zone = entry.backend, entry.started, entry.cell, entry.zone
        self.kind, self.zone_price, self.others = kind, zone_price, 0.0
        self.inflight, self.opened, self.sent_alone = 0, False, False  # opened: likely connected
        self.pending: dict[tuple[int, int], float] = {}  # attempts in flight, oldest first: when sent
        self.held = True  # stays in a queue of due items
        self.stuck = 0  # attempts that later ones overtook by far: not counted in flight
        self.warm_from, self.lost = entry.started, [0.0] * classes  # lost: share unanswered, by class
        self.reported_at, self.probe_pending = -inf, False  # of the last load report
        self.busy_until, self.rests = 0.0, [0.0] * classes  # ends of the back-off: of all classes, of each
        self.class_backoff = False  # some class may be backed off
        self.failing = [0.0] * (classes + 1)  # recent share of failures by class; last, of broken connections
        self.answered_at = [-inf] * classes
        self.breaks, self.broke_at = 0, -inf  # connections broken in a row; when the last broke
        self.budget, self.budget_at = 0.0, now  # work that a cold backend may be sent, in milliseconds
        self.served, self.warmth, self.aged_at = 0.0, 1.0, now  # recent work served; share warm, 1 if fully
        self.position, self.rank_due_at = -1, inf  # in the live list, -1 once removed
        self.rank_values: Sequence[float | None] = ()  # values in the ranking, by class
        self.peer_factor = 1.0  # factor on its expected latency, from other proxies' estimates

    def decay(self, best_share: float, mean_share: float, served_share: float) -> None:
        """Move what was learned by these shares toward the usual values; keep a share of the served work."""
        if self.peer_factor > 1.0:
            self.peer_factor **= max(0.0, 1.0 - PEER_DECAY_FACTOR * mean_share)
        if self.seen:
            self.best += (self.mean - self.best) * best_share
            self.mean += (self.kind.mean - self.mean) * mean_share
            self.lost = [x * (1 - mean_share) for x in self.lost]
            self.failing = [x * (1 - mean_share) for x in self.failing]
        self.served *= served_share

    def add_sample(self, sample: float, weight: float) -> None:
        """Learn from an own answer; it displaces other proxies' estimates, which never enter the mean."""
        super().add_sample(sample, weight)
        if self.peer_factor > 1.0:
            self.peer_factor **= PEER_DECAY_PER_ANSWER

    def apply_estimate(self, estimate: Hearsay, fleet_mean: float) -> None:
        """Let other proxies' estimate lower its rank; `fleet_mean`: log of the fleet's usual latency."""
        from barleybarrow.knowledge import latency_factor  # an optional feature

        own = self.mean if self.seen else self.kind.mean
        self.peer_factor = latency_factor(estimate.slower, estimate.weight, own - fleet_mean, self.seen)

    def add_attempt(self, request: int, attempt: int, sent_at: float) -> None:
        self.sent_alone = not self.inflight
        self.inflight += 1
        self.pending[request, attempt] = sent_at

    def remove_attempt(self, request: int, attempt: int) -> bool:
        """Remove an attempt that ended; return whether it still counted as in flight."""
        counted = self.pending.pop((request, attempt), None) is not None
        self.inflight -= counted
        self.stuck -= not counted
        return counted

    def mark_stuck(self, since: float) -> list[tuple[int, int]]:
        """Mark the attempts sent before a time as stuck, and return them."""
        stuck = []
        for key, sent_at in self.pending.items():
            if sent_at >= since:
                break
            stuck.append(key)
        for key in stuck:
            del self.pending[key]
        self.inflight -= len(stuck)
        self.stuck += len(stuck)
        return stuck


class BackendPool:
    """The listed backends, with sums over them that are kept up to date without a scan."""

    def __init__(self) -> None:
        self.by_name: dict[str, Backend] = {}
        self.live: list[Backend] = []  # unordered: the last one replaces a removed one
        self.total, self.limit_sum, self.served, self.warm_count = 0, 0.0, 0.0, 0

    def add(self, b: Backend, position: int) -> None:
        """Insert at a position up to their number; the backend there moves to the end."""
        self.live.append(b)
        moved, b.position = self.live[position], position
        self.live[-1], moved.position = moved, len(self.live) - 1
        self.live[position], b.position = b, position
        self.by_name[b.name] = b
        self.limit_sum += b.limit
        self.warm_count += 1

    def remove(self, b: Backend, served: float) -> None:
        """Remove a backend; `served` is its remaining part of the sum."""
        last = self.live.pop()
        if last is not b:
            self.live[b.position], last.position = last, b.position
        b.position = -1
        del self.by_name[b.name]
        self.total -= b.inflight
        self.limit_sum -= b.limit
        self.warm_count -= b.warmth == 1
        self.served -= served

    def set_limit(self, estimate: Estimate, limit: float) -> None:
        """Set a concurrency limit; only those of listed backends count in the sum."""
        if isinstance(estimate, Backend) and estimate.position >= 0:
            self.limit_sum += limit - estimate.limit
        estimate.limit = limit

    def set_warmth(self, b: Backend, warmth: float) -> None:
        """Set the share that is warm; the work of a cold backend does not count in the sum."""
        self.warm_count += (warmth == 1) - (b.warmth == 1)
        b.warmth = warmth
        if warmth < 1:
            self.served, b.served = self.served - b.served, 0.0

    def add_served(self, b: Backend, work: float) -> None:
        """Count served work, unless the backend is cold or removed."""
        if b.position >= 0 and b.warmth == 1:
            b.served += work
            self.served += work


class Request:
    """A request, until it is answered and no attempt is in flight."""

    __slots__ = (
        "id",
        "klass",
        "deadline",
        "arrived_at",
        "attempts",
        "inflight",
        "repeated",
        "closed",
        "held",
        "may_have_run",
        "bound",
        "window_end",
    )

    def __init__(self, event: Arrived, now: float, backends: Mapping[str, Backend]) -> None:
        self.id, self.klass, self.deadline, self.arrived_at = event.request, event.klass, event.deadline, now
        self.attempts: list[tuple[Backend, float | None]] = []  # when each was sent, None once it has ended
        self.inflight, self.repeated = 0, event.repeated
        self.closed = self.held = self.may_have_run = False
        self.bound: Backend | None = None  # the first backend that may have run it
        self.window_end = 0.0  # until then its backend, or group, drops a repeat
        if event.bound is not None:  # reported by another proxy; sent nowhere if that backend is not listed
            self.may_have_run, self.bound = True, backends.get(event.bound)
            self.window_end = event.window_end if self.bound is not None else 0.0


class ClassState:
    """A request class: what was learned of it, and its held requests."""

    def __init__(self, conf: RequestClass, log: float, cost: float) -> None:
        self.conf, self.log, self.cost = (
            conf,
            log,
            cost,
        )  # log of its work relative to the mean; usual latency
        self.count, self.asked, self.won, self.gain = 0, 1.0, 1.0, 0.0
        self.max_wait, self.penalty = conf.aim / 2, 0.0  # penalty: weight of a lost answer in a ranking
        self.fresh: deque[Request] = deque()
        self.late: deque[Request] = deque()
        self.inflight, self.ready_at = 0, 0.0
        self.at_or_above: list[ClassState] = [self]  # the classes that rank no lower, itself included


class DueQueue(Generic[QueueItem]):
    """Items in the order in which they fall due, those of one time first in, first out."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, QueueItem]] = []
        self.serial = 0

    def add(self, at: float, item: QueueItem) -> None:
        self.serial += 1
        heappush(self.heap, (at, self.serial, item))

    def pop_due(self, now: float) -> Iterator[QueueItem]:
        """Remove and yield the items that are due."""
        while self.heap and self.heap[0][0] <= now:
            yield heappop(self.heap)[2]

    def next_due(self) -> float:
        """Time at which the next held item falls due; drops the items before it."""
        heap = self.heap
        while heap and not heap[0][2].held:
            heappop(heap)
        return heap[0][0] if heap else inf


class Ranking:
    """Idle backends sorted by value, the lowest first, with one order per request class.

    Plain lists: moving the tail of ten thousand entries takes a microsecond or two, less than a tree's steps.
    """

    def __init__(self, classes: int) -> None:
        self.orders: list[list[tuple[float, int, Backend]]] = [[] for _ in range(classes)]

    def update(self, backend: Backend, values: Sequence[float | None]) -> None:
        """Rank a backend by one value per class, None where the class may not go there."""
        old_values = backend.rank_values
        if old_values == values:
            return
        backend.rank_values, serial = values, backend.serial
        for index, order in enumerate(self.orders):
            old_value, new_value = (
                old_values[index] if old_values else None,
                values[index] if values else None,
            )
            if old_value == new_value:
                continue
            if old_value is not None:
                del order[bisect_left(order, (old_value, serial))]
            if new_value is not None:
                insort(order, (new_value, serial, backend))

    def remove(self, backend: Backend) -> None:
        if backend.rank_values:
            self.update(backend, ())
