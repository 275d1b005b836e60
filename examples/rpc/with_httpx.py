"""httpx over the same decisions, against stand-in servers: python -m examples.rpc.with_httpx"""

import asyncio

import httpx

from brackenusher.fronts.rpc import AsyncBalancedTransport, BalancedTransport
from examples.rpc.model import Model
from examples.rpc.standins import HttpStandin

CONFIG = "examples/rpc/client.toml"
BASE = "http://turn-servers"  # names nobody: the core chooses the server
WORK = {"board-read": (20.0, 40.0), "turn-submit": (30.0, 50.0)}  # milliseconds


async def with_a_loop(addresses: list[str]) -> None:
    transport = AsyncBalancedTransport(CONFIG, members=addresses)
    async with httpx.AsyncClient(transport=transport, base_url=BASE) as client:
        answers = await asyncio.gather(*[client.get(f"/board-read?k=m{n}") for n in range(20)])
        print(sorted(answer.status_code for answer in answers))


def without_a_loop(addresses: list[str]) -> None:
    transport = BalancedTransport(CONFIG, members=addresses)
    with httpx.Client(transport=transport, base_url=BASE) as client:
        answer = client.post("/turn-submit?k=m7", content=b"move e4", headers={"Idempotency-Key": "5c0f"})
        print(answer.status_code, answer.text)
        answer = client.get("/board-read?k=m7", headers={"Req-Deadline": "5m"})  # nobody can do that
        print(answer.status_code, "come back after", answer.headers["Retry-After"], "s")


async def main() -> None:
    servers = [await HttpStandin(Model(WORK, seed=n)).start() for n in range(3)]
    addresses = [server.address for server in servers]
    await with_a_loop(addresses)
    await asyncio.to_thread(without_a_loop, addresses)  # the servers need the loop meanwhile
    for server in servers:
        await server.stop()


asyncio.run(main())
