"""What the second address reports: each request counted once, by what its client was given.

It looks on and changes nothing. A call costs no walk over servers or requests; the servers that are avoided
are counted anew at most every `STALE` milliseconds.
"""

from collections.abc import Callable
from functools import partial

import ujson

from barleybarrow import interface as face
from brackenusher.core.admission import Request
from brackenusher.core.pipe import End
from brackenusher.core.transaction import Answer, Failed, Refused, Served, Transaction

STALE = 250.0  # ms: a count of servers is used again so long


class Tally:
    """Counts from 0 at the start of the process.

    `hosts` says how many servers are listed and how many of them get nothing new now, `taken` how many
    requests were taken, `attempts` how many attempts were written whole.
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
        self.ended = 0  # of the requests that were taken
        self.counted_at, self.count = -STALE, (0, 0)

    @property
    def inflight(self) -> int:
        """Requests taken and not ended."""
        return self.taken() - self.ended

    def answered(self, transaction: Transaction, answer: Answer | None) -> None:
        """A request has its final answer; None where its client left without one."""
        if isinstance(answer, Served) and answer.content.rest is not None:
            answer.content.rest.tell.append(partial(self.passed, transaction.klass, answer))
        else:
            self.end(transaction.klass, answer)

    def passed(self, klass: int, answer: Answer, end: End) -> None:
        """An answer that was passed on in pieces has come to its end, one way or another."""
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
        """A request that could be read is not taken."""
        (self.busy if verdict.endswith(" refused") else self.failure)[request.klass] += 1

    def worded(self) -> bytes:
        """The figures as one JSON object."""
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
