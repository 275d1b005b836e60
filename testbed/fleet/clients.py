"""Clients of a fleet on loopback: each sends one request after the other, through any proxy."""

import asyncio
import itertools
import random
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from statistics import median

from testbed.fleet.http_calls import ANSWER_FAILURES, HttpCall, call
from testbed.fleet.layout import Machine
from testbed.fleet.operator import HOST, TENANTS, key_of

DEADLINE_MS = 8000
PAUSE_S = 0.05  # of a client between two requests
PLAIN_SHARE = 0.2  # of requests that are no streams
SUBJECTS = 12  # first parts of prompts, shared by requests
SUBJECT_TOKENS, OWN_TOKENS, OUTPUT_TOKENS = 2000, 300, 200
KEPT_TIMES = 2000  # for the quantiles


@dataclass(slots=True)
class ClientFigures:
    """What clients have seen since the start."""

    sent: int = 0
    streams: int = 0
    events: int = 0
    statuses: Counter[int] = field(default_factory=Counter)  # 0: no whole answer
    first_event_ms: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT_TIMES))

    def quantiles(self) -> tuple[float, float]:
        """Median and 99th percentile of the time to the first event of late, in milliseconds."""
        times = sorted(self.first_event_ms)
        if not times:
            return 0.0, 0.0
        return median(times), times[min(len(times) - 1, int(len(times) * 0.99))]


def chat(number: int, subject: int, tenant: str) -> HttpCall:
    """A request for a stream."""
    parts = f"5{subject:07x}:{SUBJECT_TOKENS},9{number:015x}:{OWN_TOKENS}"
    counts = f"{SUBJECT_TOKENS + OWN_TOKENS},{OUTPUT_TOKENS}"
    extra = {"X-Brackenusher-Prompt-Prefix": parts, "X-Brackenusher-Token-Counts": counts}
    return client_call("/chat/turn", number, key_of(tenant), extra)


def client_call(path: str, number: int, key: str, extra: dict[str, str] | None = None) -> HttpCall:
    """A request as clients send it; an empty key is left out."""
    headers = {
        "Host": HOST,
        "X-Brackenusher-Request-Id": f"{number:016x}",
        "X-Brackenusher-Model": "m",
        "X-Brackenusher-Deadline-Ms": str(DEADLINE_MS),
        **(extra or {}),
    }
    if key:
        headers["Api-Key"] = key
    return HttpCall("POST", path, headers, b"{}")


class Clients:
    """A number of clients that send until they are told to end."""

    def __init__(self, machines: list[Machine], count: int, seed: int) -> None:
        self.figures = ClientFigures()
        self._machines = machines
        self._count = count
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._ending = False

    def end(self) -> None:
        """Send no more; `run` returns when the last answers are there."""
        self._ending = True

    async def run(self) -> None:
        """Send and count."""
        await asyncio.gather(*(self._keep_sending() for _ in range(self._count)))

    async def _keep_sending(self) -> None:
        while not self._ending:
            number = next(self._numbers)
            tenant = self._rng.choice(TENANTS)
            machine = self._rng.choice(self._machines)
            if self._rng.random() < PLAIN_SHARE:
                await self._send(machine, client_call("/lookup/one", number, key_of(tenant)))
            else:
                await self._send_stream(machine, chat(number, self._rng.randrange(SUBJECTS), tenant))
            await asyncio.sleep(PAUSE_S)

    async def _send(self, machine: Machine, request: HttpCall) -> None:
        self.figures.sent += 1
        try:
            status = (await call(machine.front, request, DEADLINE_MS / 1000.0)).status
        except ANSWER_FAILURES:
            status = 0
        self.figures.statuses[status] += 1

    async def _send_stream(self, machine: Machine, request: HttpCall) -> None:
        began = time.monotonic()
        first: list[float] = []

        def take(data: bytes) -> None:
            if not first:
                first.append((time.monotonic() - began) * 1000.0)
            self.figures.events += data.count(b"\n\n")

        self.figures.streams += 1
        await self._send(
            machine, HttpCall(request.method, request.target, request.headers, request.body, take)
        )
        self.figures.first_event_ms.extend(first)
