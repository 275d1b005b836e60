"""Request counts for the control address: each request is counted once, by the response its client got.

A report does not iterate over requests, and over servers at most once per refresh interval.
"""

from collections.abc import Callable
from functools import partial

import ujson

from barleybarrow import interface as face
from brackenusher.core.admission import Request
from brackenusher.core.pipe import PipeEnd
from brackenusher.core.transaction import Answer, Failed, Refused, Served, Transaction

HOST_COUNT_TTL_MS = 250.0  # how long a count of servers is cached


class RequestCounts:
    """Counts since the start of the process.

    `count_hosts` returns the number of servers listed and of those that get no new requests, `count_accepted`
    the number of accepted requests, `count_attempts` the number of attempts written in full.
    """

    def __init__(
        self,
        settings: face.Settings,
        clock: Callable[[], float],
        count_hosts: Callable[[float], tuple[int, int]],
        count_accepted: Callable[[], int],
        count_attempts: Callable[[], int],
    ) -> None:
        self.clock, self.count_hosts, self.count_accepted, self.count_attempts = (
            clock,
            count_hosts,
            count_accepted,
            count_attempts,
        )
        self.classes = [c.name for c in settings.classes]
        zeros = [0] * len(self.classes)
        self.success, self.busy, self.failure, self.abandoned = zeros[:], zeros[:], zeros[:], zeros[:]
        self.ended_count = 0  # of the accepted requests
        self.hosts_counted_at, self.host_counts = -HOST_COUNT_TTL_MS, (0, 0)

    @property
    def inflight(self) -> int:
        """Requests accepted and not ended."""
        return self.count_accepted() - self.ended_count

    def on_answer(self, transaction: Transaction, answer: Answer | None) -> None:
        """A request has its final response, or None if its client left without one."""
        if isinstance(answer, Served) and answer.content.body_pipe is not None:
            answer.content.body_pipe.on_end.append(
                partial(self.stream_ended, transaction.class_index, answer)
            )
        else:
            self.count_result(transaction.class_index, answer)

    def stream_ended(self, klass: int, answer: Answer, end: PipeEnd) -> None:
        """A streamed response has ended."""
        self.count_result(
            klass, answer if end is PipeEnd.WHOLE else Failed() if end is PipeEnd.BROKEN else None
        )

    def count_result(self, klass: int, answer: Answer | None) -> None:
        self.ended_count += 1
        kind = type(answer)
        if kind is Served:
            self.success[klass] += 1
        elif kind is Refused:
            self.busy[klass] += 1
        elif answer is None:
            self.abandoned[klass] += 1
        else:
            self.failure[klass] += 1

    def on_denial(self, request: Request, verdict: str) -> None:
        """A well-formed request was rejected."""
        (self.busy if verdict.endswith(" refused") else self.failure)[request.class_index] += 1

    def to_json(self) -> bytes:
        """The counts as a JSON object."""
        now = self.clock()
        if now >= self.hosts_counted_at + HOST_COUNT_TTL_MS:
            self.hosts_counted_at, self.host_counts = now, self.count_hosts(now)
        listed, down = self.host_counts
        calls = {
            name: {"success": self.success[i], "busy": self.busy[i], "failure": self.failure[i]}
            for i, name in enumerate(self.classes)
        }
        report = {
            "calls": calls,
            "inflight": self.inflight,
            "backend_calls": self.count_attempts(),
            "hosts_listed": listed,
            "hosts_down": down,
            "abandoned": sum(self.abandoned),
        }
        return ujson.dumps(report, escape_forward_slashes=False).encode() + b"\n"
