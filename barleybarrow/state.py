"""What the decision module keeps in mind: plain records, and the ranking of idle backends. Nothing here decides."""

from collections import deque
from collections.abc import Sequence
from math import exp, inf

from sortedcontainers import SortedList

from barleybarrow.interface import Arrived, Entry, RequestClass


class Gauge:
    """Smoothed log of the latency of usual work, in log milliseconds, and the threshold learned from it."""

    def __init__(self, mean: float, limit: float = 1.0) -> None:
        self.mean = self.best = mean
        self.usual, self.seen = exp(mean), 0  # exp(mean), and how many answers it stands on
        self.limit, self.cut_at = limit, 0.0

    def take(self, sample: float, weight: float) -> None:
        self.seen += 1
        self.mean += weight * (sample - self.mean)
        self.usual = exp(self.mean)


class Backend(Gauge):
    """What this proxy knows of one life of one backend; clock times and spans are in milliseconds."""

    def __init__(
        self, serial: int, entry: Entry, kind: Gauge, far: float, limit: float, classes: int, now: float
    ) -> None:
        super().__init__(kind.mean, limit)
        self.serial = serial  # tells lives apart, and orders those of one value
        self.name, self.started, self.cell, self.zone = entry.backend, entry.started, entry.cell, entry.zone
        self.kind, self.far, self.others = kind, far, 0.0
        self.inflight, self.open, self.alone = 0, False, False  # a connection is likely; one attempt at a time
        self.warm_from, self.lost = entry.started, [0.0] * classes  # share unanswered, by class
        self.heard_at, self.asked = -inf, False  # when a probe told what others have there; one is out
        self.busy_until, self.failing = 0.0, 0.0  # back-off after failures; their share of late
        self.breaks, self.broke_at = 0, -inf  # connections broken in a row, and when the last one was
        self.pace, self.paced_at = 0.0, now  # cold budget
        self.served, self.cold, self.aged_at = 0.0, 1.0, now  # work served lately; share warm
        self.position, self.due = -1, inf  # in the list of those live, -1 for gone; when it is placed anew
        self.ranks: Sequence[float | None] = ()  # its values in the ranking, by class


class Request:
    """A request that this proxy has taken, until it is answered and no attempt is out."""

    def __init__(self, event: Arrived, now: float) -> None:
        self.id, self.klass, self.deadline, self.arrived = event.request, event.klass, event.deadline, now
        self.attempts: list[tuple[Backend, float | None]] = []  # when each was sent, None once it has ended
        self.out, self.repeated = 0, event.repeated
        self.closed = self.held = self.may_run = False
        self.bound: Backend | None = None  # the first backend that may have run it
        self.window_end = 0.0  # end of its memory


class Class:
    """A request class with what was learned of it and those of it that are held."""

    def __init__(self, conf: RequestClass, log: float, cost: float) -> None:
        self.conf, self.log, self.cost = conf, log, cost  # log of its work, in usual works; its usual latency
        self.count, self.asked, self.won = 0, 1.0, 1.0
        self.patience, self.penalty = conf.aim / 2, 0.0  # penalty: what an answer lost weighs in a ranking
        self.fresh: deque[Request] = deque()
        self.late: deque[Request] = deque()
        self.out, self.ready_at = 0, 0.0
        self.above: list[Class] = [self]  # what ranks before it, and itself


class Ranking:
    """Idle backends by value, least first, with an order of its own for each class."""

    def __init__(self, classes: int) -> None:
        self.orders: list[SortedList] = [SortedList() for _ in range(classes)]

    def put(self, backend: Backend, values: Sequence[float | None]) -> None:
        """Rank a backend by these values, one a class; None where the class may not go there."""
        old = backend.ranks
        if old == values:
            return
        backend.ranks, serial = values, backend.serial
        for k, order in enumerate(self.orders):
            before, value = old[k] if old else None, values[k] if values else None
            if before == value:
                continue
            if before is not None:
                order.remove((before, serial, backend))
            if value is not None:
                order.add((value, serial, backend))

    def drop(self, backend: Backend) -> None:
        """Rank a backend no longer."""
        if backend.ranks:
            self.put(backend, ())
