"""Clients of a fleet on loopback: each sends one request after the other, through any proxy.

A request that is refused is sent again when the answer says, with an id of its own, as clients do.
"""

import asyncio
import itertools
import random
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from statistics import median

from testbed.fleet.http_calls import ANSWER_FAILURES, HttpAnswer, HttpCall, call
from testbed.fleet.layout import Machine
from testbed.fleet.operator import HOST, TENANTS, key_of

DEADLINE_MS = 8000
PAUSE_S = 0.05  # of a client between two requests
PLAIN_SHARE = 0.2  # of requests that are no streams
SUBJECTS = 12  # first parts of prompts, shared by requests
SUBJECT_TOKENS, OWN_TOKENS, OUTPUT_TOKENS = 2000, 300, 200
MOST_TRIES = 4
DEFAULT_RETRY_S = 0.2  # where a refusal does not say when to come back
PROMISES = frozenset({429, 503})  # the request has not run and never will
KEPT_TIMES = 2000  # for the quantiles


@dataclass(slots=True)
class ClientFigures:
    """What clients have seen since the start."""

    sent: int = 0  # requests, each counted once
    retried: int = 0  # further tries of them
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
            self.figures.sent += 1
            self.figures.statuses[await self._send()] += 1
            await asyncio.sleep(PAUSE_S)

    async def _send(self) -> int:
        """Send one request until it is answered or tried often enough; its last status, 0: no answer."""
        tenant = self._rng.choice(TENANTS)
        plain, subject = self._rng.random() < PLAIN_SHARE, self._rng.randrange(SUBJECTS)
        self.figures.streams += not plain
        answer = HttpAnswer(0)
        for turn in range(MOST_TRIES):
            self.figures.retried += turn > 0
            number = next(self._numbers)
            request = client_call("/lookup/one", number, key_of(tenant))
            if not plain:
                request = self._timed(chat(number, subject, tenant))
            try:
                answer = await call(self._rng.choice(self._machines).front, request, DEADLINE_MS / 1000.0)
            except ANSWER_FAILURES:
                return 0
            if answer.status not in PROMISES:
                break
            await asyncio.sleep(float(answer.headers.get("retry-after", DEFAULT_RETRY_S)))
        return answer.status

    def _timed(self, request: HttpCall) -> HttpCall:
        """The request, with its events counted and the time to the first one noted."""
        began = time.monotonic()
        first: list[float] = []

        def take(data: bytes) -> None:
            if not first and data:
                first.append((time.monotonic() - began) * 1000.0)
                self.figures.first_event_ms.extend(first)
            self.figures.events += data.count(b"\n\n")

        return HttpCall(request.method, request.target, request.headers, request.body, take)
