"""What a world is made of: places and the servers that run there, and what clients want of them."""

from collections import deque
from typing import TYPE_CHECKING

from brackenusher.core.transaction import Answer, Transaction
from testbed.model import server as model
from testbed.model.arrivals import Asked

if TYPE_CHECKING:
    from testbed.proxy import Carry, Link, Proxy


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
        self.links: dict[Link, None] = {}
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

    def __init__(self, asked: Asked, due: int, operation: model.Operation | None, worth: float) -> None:
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

    def __init__(self, op: Op, number: int, proxy: "Proxy", sent: int, due: int, now: int) -> None:
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
