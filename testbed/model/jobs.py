"""What a server is made of, and what it works on: its sizes, requests, and the memory of what has run."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

LONGEST_MEMORY = 100_000  # operations that a ledger holds: some minutes of a busy fleet


@dataclass(frozen=True, slots=True)
class Spec:
    """What a server is. Times are in microseconds, work in microseconds of a standard core."""

    cores: int = 2
    speed: float = 1.0  # standard microseconds of work per microsecond and core
    slots: int = 12  # requests in work at once
    queue: int = 2  # waiting room; beyond it requests are turned away unseen
    thrash: float = 0.0  # share of the capacity that is lost when slots and waiting room are full
    thrash_at: float = 1.5  # requests held per core from which on capacity is lost, evenly up to that
    cold_from: float = 1.0  # share of the capacity that a start begins with
    cold: int = 0  # and how long it takes at most to reach the whole
    warm_by_work: bool = False  # work done warms it too: as much as a full server does in that time
    error_rate: float = 0.0  # share of answers that are errors, after the request has run
    cancel: str = (
        "none"  # what a cancel stops: "none", what waits ("queued"), or also what is in work ("all")
    )
    drops_expired: bool = False  # what has waited past its deadline is turned away unseen
    connections: int = 1_000_000  # held at once
    handshake: int = 0  # work that a new connection costs
    full_tax: float = 0.0  # share of the capacity that a full table of connections takes
    idle: int = 0  # a connection that stood idle for so long is closed; 0 for never
    affinity_gain: float = 0.0  # share of the work that a key served lately saves
    affinity: int = 0  # how long a key is remembered
    affinity_keys: int = 0  # and how many of them
    tip_multiple: float = 0.0  # a cold server sent more than this multiple of its present capacity; 0: never
    tip_after: int = 0  # in any window of this length falls over
    usual_work: float = 0.0  # of a request, for the slack that is left to chance

    def efficiency(self, held: int) -> float:
        """Share of the capacity that is left when so many requests are held."""
        crowd = held / self.cores - self.thrash_at
        if crowd <= 0.0:
            return 1.0
        full = (self.slots + self.queue) / self.cores - self.thrash_at
        return 1.0 - self.thrash * min(1.0, crowd / full if full > 0.0 else 1.0)


class Operation:
    """What one client wants done once, whatever number of requests it takes; counts what really ran."""

    __slots__ = ("effects", "dropped", "records")

    def __init__(self) -> None:
        self.effects = self.dropped = 0
        self.records: dict[int, Record] | None = None  # by group of servers that know of each other's


class Record:
    """What one group of servers knows of an operation."""

    __slots__ = ("first", "ran")

    def __init__(self, first: int) -> None:
        self.first, self.ran = first, False


class Ledger:
    """Operations by key, for servers that are reached over sockets; the oldest are forgotten."""

    def __init__(self, most: int = LONGEST_MEMORY) -> None:
        self.operations: OrderedDict[Any, Operation] = OrderedDict()
        self.most, self.forgotten = most, 0

    def find(self, key: Any) -> Operation:
        """The operation of that key, a new one if it is not known."""
        operation = self.operations.get(key)
        if operation is None:
            operation = self.operations[key] = Operation()
            if len(self.operations) > self.most:
                self.operations.popitem(last=False)
                self.forgotten += 1
        return operation


class Job:
    """One request that has reached a server."""

    __slots__ = (
        "ticket",
        "work",
        "key",
        "operation",
        "record",
        "window",
        "group",
        "sent",
        "deadline",
        "finish",
        "state",
        "outcome",
        "counted",
    )

    def __init__(
        self,
        ticket: Any,
        work: float,
        key: Any = None,
        operation: Operation | None = None,
        window: int = 0,
        group: int = 0,
        sent: int = 0,
        deadline: int = 0,
    ) -> None:
        self.ticket = ticket  # the caller's own
        self.work, self.key = work, key
        self.operation, self.window, self.group = operation, window, group  # None: safe to repeat
        self.record: Record | None = None
        self.sent = (
            sent  # when it was sent, from which windows are reckoned; its arrival where that is unknown
        )
        self.deadline = deadline
        self.finish, self.state, self.outcome = 0.0, NEW, SERVED
        self.counted = False  # it took effect


NEW, WAITING, WORKING, OVER = range(4)  # states of a job
SERVED, ERROR, DECLINED, CANCELLED = range(4)  # outcomes of a job: the first two may have run


@dataclass(slots=True)
class Tally:
    """What a server did, for those who look on."""

    work: float = 0.0  # done, in standard microseconds
    served: int = 0
    errors: int = 0
    declined: int = 0
    starts: int = 0
    fallen: int = 0  # times that it was pushed over while cold
