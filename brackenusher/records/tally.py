"""Request counts for the control address: each request is counted once, by the response its client got.

A report does not iterate over requests, and over servers at most once per refresh interval.
"""

from collections.abc import Callable
from functools import partial

import ujson

from barleybarrow import interface as face
from brackenusher.core.admission import Request
from brackenusher.core.pipe import End
from brackenusher.core.transaction import Answer, Failed, Refused, Served, Transaction

STALE = 250.0  # milliseconds: how long a count of servers is cached


class Tally:
    """Counts since the start of the process.

    `hosts` returns the number of servers listed and of those that get no new requests, `taken` the number of
    accepted requests, `attempts` the number of attempts written in full.
    """

    def __init__(
        self,
        settings: face.Settings,
        clock: Callable[[], float],
        hosts: Callable[[float], tuple[int, int]],
        taken: Callable[[], int],
        attempts: Callable[[], int],
    ) -> None:
        self.clock, self.hosts, self.taken, self.attempts = clock, hosts, taken, attempts
        self.classes = [c.name for c in settings.classes]
        none = [0] * len(self.classes)
        self.success, self.busy, self.failure, self.abandoned = none[:], none[:], none[:], none[:]
        self.ended = 0  # of the accepted requests
        self.counted_at, self.count = -STALE, (0, 0)

    @property
    def inflight(self) -> int:
        """Requests accepted and not ended."""
        return self.taken() - self.ended

    def answered(self, transaction: Transaction, answer: Answer | None) -> None:
        """A request has its final response, or None if its client left without one."""
        if isinstance(answer, Served) and answer.content.rest is not None:
            answer.content.rest.tell.append(partial(self.passed, transaction.klass, answer))
        else:
            self.end(transaction.klass, answer)

    def passed(self, klass: int, answer: Answer, end: End) -> None:
        """A streamed response has ended."""
        self.end(klass, answer if end is End.WHOLE else Failed() if end is End.BROKEN else None)

    def end(self, klass: int, answer: Answer | None) -> None:
        self.ended += 1
        kind = type(answer)
        if kind is Served:
            self.success[klass] += 1
        elif kind is Refused:
            self.busy[klass] += 1
        elif answer is None:
            self.abandoned[klass] += 1
        else:
            self.failure[klass] += 1

    def turned_away(self, request: Request, verdict: str) -> None:
        """A well-formed request was rejected."""
        (self.busy if verdict.endswith(" refused") else self.failure)[request.klass] += 1

    def worded(self) -> bytes:
        """The counts as a JSON object."""
        now = self.clock()
        if now >= self.counted_at + STALE:
            self.counted_at, self.count = now, self.hosts(now)
        listed, down = self.count
        calls = {
            name: {"success": self.success[i], "busy": self.busy[i], "failure": self.failure[i]}
            for i, name in enumerate(self.classes)
        }
        figures = {
            "calls": calls,
            "inflight": self.inflight,
            "backend_calls": self.attempts(),
            "hosts_listed": listed,
            "hosts_down": down,
            "abandoned": sum(self.abandoned),
        }
        return ujson.dumps(figures, escape_forward_slashes=False).encode() + b"\n"
