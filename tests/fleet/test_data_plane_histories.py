"""Random simulations with the real dispatcher: many requests to faulty servers, checked by their history."""

import asyncio
import random
from collections import Counter

from barleybarrow.limits.bounds import LimitBounds
from barleybarrow.limits.limits import Limits
from barleybarrow.routing.actions import DispatchSettings
from barleybarrow.routing.dispatcher import Dispatcher
from brackenusher.data_plane.proxy import Proxy
from brackenusher.data_plane.server import DataPlaneServer
from tests.fleet.data_plane_support import (
    ClientResponse,
    DataPlaneTest,
    ReceivedRequest,
    chunk,
    event,
    not_executed_response,
    request_bytes,
    response,
    stream_head,
)

REQUESTS = 250
CLIENTS = 10
EVENTS = 6
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
PATHS = ("safe", "unsafe", "stream", "resume")


class FaultyServer:
    """Serves, rejects, truncates, duplicates or garbles at random; records the requests that it executed."""

    def __init__(self, name: str, rng: random.Random, runs: list[tuple[str, str]]) -> None:
        self.name = name
        self.rng = rng
        self.runs = runs

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        luck = self.rng.random()
        if luck < 0.1:
            writer.write(not_executed_response())
            return
        request_id = request.headers["x-brackenusher-request-id"]
        self.runs.append((request_id, self.name))
        whole = self._complete_response(request, request_id)
        if luck < 0.2:
            writer.write(whole[: self.rng.randrange(len(whole))])
            writer.close()
        elif luck < 0.25:
            writer.write(b"\x16\x03\x01 nonsense")
            writer.close()
        elif luck < 0.3:
            writer.write(whole + whole)
        else:
            writer.write(whole)

    def _complete_response(self, request: ReceivedRequest, request_id: str) -> bytes:
        kind = request.line.split("/")[1]
        if kind in ("safe", "unsafe"):
            return response(request, request_id.encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        events = b"".join(chunk(event(number, request_id)) for number in range(first, EVENTS + 1))
        return stream_head(request) + events + chunk(b"")


class RandomHistories(DataPlaneTest):
    async def _run_simulation(self, seed: int) -> tuple[dict[str, ClientResponse], list[tuple[str, str]]]:
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        now = loop.time() * 1000.0
        limits = Limits("proxy", [], rng, now, LimitBounds())
        dispatcher = Dispatcher(DispatchSettings(), rng, now, lambda service: True)
        self.server.close()
        self.proxy = Proxy(loop, dispatcher, limits, memory_mb=64)
        self.server = DataPlaneServer(self.proxy, max_fds=1024, feed_ready=lambda: True)
        await self.server.start("127.0.0.1:0")
        runs: list[tuple[str, str]] = []
        await self.start_servers(*[FaultyServer(f"s{number}", rng, runs) for number in range(4)])
        numbers = list(range(REQUESTS))
        replies: dict[str, ClientResponse] = {}

        async def client() -> None:
            while numbers:
                request_id = f"{seed}-{numbers.pop()}"
                path = PATHS[hash_of(request_id) % len(PATHS)]
                replies[f"{path}/{request_id}"] = await self.fetch(request_bytes(f"/{path}/x", request_id))

        await asyncio.gather(*(client() for _ in range(CLIENTS)))
        return replies, runs

    async def test_histories_keep_the_guarantees(self) -> None:
        for seed in (1, 2, 3):
            replies, runs = await self._run_simulation(seed)
            self.assertEqual(len(replies), REQUESTS)
            ran = Counter(request_id for request_id, _ in runs)
            for name, reply in replies.items():
                path, _, request_id = name.partition("/")
                self._check_response(path, request_id, reply, ran[request_id])
            served = sum(reply.status == 200 and reply.complete for reply in replies.values())
            self.assertGreater(served, REQUESTS // 2)
            self.assertEqual(self.proxy.in_flight(), 0)

    def _check_response(self, path: str, request_id: str, reply: ClientResponse, ran: int) -> None:
        if path in ("unsafe", "stream"):
            self.assertLessEqual(ran, 1, f"TWICE: {path} {request_id}")
            if reply.status in NOT_EXECUTED_STATUSES:
                self.assertEqual(ran, 0, f"REFUSED: {path} {request_id}")
        if reply.status != 200:
            self.assertIn(reply.status, (502, 503, 504), request_id)
            return
        self.assertEqual(reply.headers["x-brackenusher-response-stamp"], "stamp-1", request_id)
        if path in ("safe", "unsafe"):
            expected = request_id.encode()
        else:
            expected = b"".join(event(number, request_id) for number in range(1, EVENTS + 1))
        if reply.complete:
            self.assertEqual(reply.body, expected, f"MIXED or ORDER: {path} {request_id}")
        else:
            self.assertTrue(expected.startswith(reply.body), f"MIXED or ORDER: {path} {request_id}")


def hash_of(text: str) -> int:
    """A hash that is the same in every run."""
    return sum(text.encode())
