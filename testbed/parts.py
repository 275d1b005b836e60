"""What a world is made of: places and the servers that run there, and what clients want of them."""

from bisect import bisect_left
from collections import deque
from collections.abc import Callable, Iterable
from math import inf
from typing import Any, Protocol

from barleybarrow.interface import Outcome
from brackenusher.core.transaction import Answer, Attempt, Transaction
from testbed import scenario as config
from testbed.model import jobs
from testbed.model import server as model
from testbed.model.arrivals import Asked
from testbed.model.network import Network


class Place:
    """Where a server runs; processes come and go there."""

    __slots__ = ("index", "zone", "kind", "cell", "address", "host", "late", "lost", "resets")

    def __init__(self, index: int, zone: int, kind: int, cell: int) -> None:
        self.index, self.zone, self.kind, self.cell = index, zone, kind, cell
        self.address = (f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}", 9000)
        self.host: Host
        self.late: list[float] = []  # sizes of the faults that act on what it answers
        self.lost: list[float] = []
        self.resets: list[float] = []


class Host:
    """A server under one id, over all lives of its process."""

    __slots__ = (
        "name",
        "place",
        "zone",
        "cell",
        "server",
        "life",
        "links",
        "wake",
        "health",
        "listed_at",
        "told_born_at",
        "plain",
        "slows",
        "hangs",
        "errors",
        "leaves",
        "careful_until",
        "recent",
    )

    def __init__(self, name: str, place: Place, server: model.Server) -> None:
        self.name, self.place, self.server = name, place, server
        self.zone, self.cell = place.zone, place.cell
        self.life = 0
        self.links: dict[Any, None] = {}  # the proxies' connections to it
        self.wake: int | None = None  # when the loop next looks at its server
        self.health = "ready"  # as discovery knows it
        self.listed_at = self.told_born_at = 0  # the versions that told of this life, and when it began
        self.plain = True  # nothing has ever been told of it but the first list
        self.slows: list[float] = []
        self.errors: list[float] = []
        self.hangs = 0
        self.recent: deque[tuple[int, int]] | None = None  # held at arrival, and how long it took
        self.leaves = 0  # drains that were begun: the process ends with the last one
        self.careful_until = 0  # until when proxies must take it for cold, whatever it is

    def group(self, how: str) -> int:
        """The group of servers that drop each other's repeats."""
        return -1 if how == "all" else self.zone if how == "zone" else self.cell

    def idle(self, now: int) -> bool:
        """Whether it has nothing to do, and would work on a request at once and at full speed.

        One that started lately is not idle before the rules' time is over: it may only be used with care.
        """
        server, place = self.server, self.place
        return (
            server.up
            and not server.working
            and self.health == "ready"
            and not (server.hung or server.draining or server.quick_errors)
            and now >= self.careful_until
            and server.slow == 1.0
            and not (place.late or place.lost or place.resets)
            and server.connections < server.spec.connections
        )


class Op:
    """What a client wants done, over all its tries."""

    __slots__ = (
        "asked",
        "sent",
        "due",
        "klass",
        "tenant",
        "key",
        "operation",
        "tries",
        "worth",
        "attempts",
        "effects_seen",
    )

    def __init__(self, asked: Asked, due: int, operation: jobs.Operation | None, worth: float) -> None:
        self.asked, self.sent, self.due = asked, asked.sent, due
        self.klass, self.tenant, self.key = asked.klass, asked.tenant, asked.key
        self.operation, self.worth = operation, worth
        self.tries, self.attempts, self.effects_seen = 0, 0, 1


class Try:
    """One request of a client, under an id of its own, at one proxy."""

    __slots__ = (
        "op",
        "number",
        "number_of_op",
        "name",
        "proxy",
        "sent",
        "due",
        "transaction",
        "carries",
        "out",
        "held_since",
        "answers",
        "refused",
        "excused",
        "reported",
        "over",
    )

    def __init__(self, op: Op, number: int, proxy: "Front", sent: int, due: int, now: int) -> None:
        self.op, self.number, self.number_of_op, self.proxy = op, number, op.tries, proxy
        self.name = b"%d" % number
        self.sent, self.due = sent, due
        self.transaction: Transaction | None = None
        self.carries: list[Carry] = []
        self.out, self.held_since, self.answers = 0, now, 0
        self.refused = self.excused = self.reported = False
        self.over = False  # the client has an answer, or has gone

    def reply(self, answer: Answer) -> None:
        """The proxy's final answer."""
        self.proxy.world.answered(self, answer)


class Told:
    """What one life of a proxy was told of the list: versions and when."""

    __slots__ = ("seqs", "times")

    def __init__(self) -> None:
        self.seqs: list[int] = []
        self.times: list[int] = []

    def when(self, seq: int) -> float:
        """When it was told of a version; infinity if it was not."""
        i = bisect_left(self.seqs, seq)
        return self.times[i] if i < len(self.seqs) else inf

    def knows(self, host: Host) -> bool:
        """Whether it was told of a server, and not that it leaves."""
        known = self.seqs[-1] if self.seqs else 0
        return host.listed_at <= known and host.health == "ready"


class Around(Protocol):
    """The world, as what is in it sees it."""

    scenario: config.Scenario
    seed: int
    now: int
    network: Network
    oracle: Any
    trace: bytearray
    names: dict[str, Host]
    indices: dict[str, int]
    addresses: dict[tuple[str, int], Host]
    places: list[Place]
    cuts: dict[int, dict[int, int]]
    clocks: list[tuple[float, float]]
    away: dict[str, list[tuple[int, str]]]

    def at(self, when: int, call: Callable[[Any], None], what: Any) -> None: ...

    def cut(self, proxy: Any, host: Host) -> bool: ...

    def sight(self, proxy: Any) -> Any: ...

    def watch(self, proxy: Any) -> None: ...

    def probe(self, proxy: Any, backend: str) -> None: ...

    def end_proxy(self, proxy: Any) -> None: ...

    def count_attempt(self, t: Try) -> None: ...

    def reach(self, carry: Any) -> None: ...

    def given_up(self, carry: Any) -> None: ...

    def outcome_of(self, carry: Any) -> Outcome: ...

    def answered(self, t: Try, answer: Answer) -> None: ...


class Front(Protocol):
    """One life of a proxy, as the oracle and a request see it."""

    number: int
    zone: int
    told: Told
    idle_since: int | None

    @property
    def world(self) -> Around: ...

    def spared(self, since: int) -> Iterable[Host]: ...

    def left(self, t: Try) -> None: ...


class Carry(Protocol):
    """One attempt on its way, as the oracle sees it."""

    started: int

    @property
    def proxy(self) -> Front: ...

    @property
    def attempt(self) -> Attempt: ...

    @property
    def t(self) -> Try: ...

    @property
    def host(self) -> Host | None: ...

    @property
    def job(self) -> jobs.Job | None: ...
