"""Goodput of proxy, gRPC channel and httpx transport on sockets, with fake servers of one model."""

import asyncio
import random
import time

import httpx
from helpers import SETTINGS, Program
from rpc_world import make_config

from brackenusher.fronts.rpc import AsyncBalancedTransport, BalancedChannel
from examples.rpc.model import Model, Trouble
from examples.rpc.standins import GrpcStandin, HttpStandin
from examples.rpc.turns import TurnsStub

WORK_MS = {"board-read": (5.0, 15.0), "turn-submit": (10.0, 20.0)}
DURATION_S, RATE_PER_S = 4.0, 80.0
# deadlines that a busy machine meets: losses come from the servers' faults, not from the machine
LONG_DEADLINES = {"classes": [c | {"slo": 1000.0, "deadline": 2500.0} for c in SETTINGS["classes"]]}


def fleet(kind):
    """Four servers: one fails for a while, one is slow for a while, and one declines calls that must wait."""
    now = time.monotonic() * 1000.0
    troubles = {
        1: [Trouble(now + 1000, now + 2500, fail=1.0)],
        2: [Trouble(now + 500, now + 3000, slow=10.0)],
    }
    return [
        kind(Model(WORK_MS, seed=n, queue=0 if n == 3 else 4, troubles=troubles.get(n, []))) for n in range(4)
    ]


async def run_load(ask):
    """Apply the same arrivals to each path; returns the share of worth that was served."""
    rng, calls, arrived_worth, served_worth = random.Random(3), [], 0.0, 0.0

    async def send_call(klass, worth):
        nonlocal served_worth
        served = await ask(klass)  # awaited before `served_worth` is read: other tasks add to it
        served_worth += worth * served

    end = time.monotonic() + DURATION_S
    while time.monotonic() < end:
        klass = rng.choice(SETTINGS["classes"])
        arrived_worth += klass["worth"]
        calls.append(asyncio.ensure_future(send_call(klass["name"], klass["worth"])))
        await asyncio.sleep(rng.expovariate(RATE_PER_S))
    await asyncio.gather(*calls)
    return served_worth / arrived_worth


def http_sender(client):
    count = 0

    async def ask(klass):
        nonlocal count
        count += 1
        headers = {"Req-Id": f"id{count}", "Req-Kind": klass, "Req-Deadline": "2500m"}
        if klass == "board-read":
            answer = await client.get("/board-read?k=1", headers=headers, timeout=15.0)
        else:
            headers["Idempotency-Key"] = f"k{count}"
            answer = await client.post("/turn-submit?k=1", content=b"m", headers=headers, timeout=15.0)
        return answer.status_code == 200

    return ask


async def run_proxy(tmp_path):
    servers = [await server.start() for server in fleet(HttpStandin)]
    for server in servers:
        server.close = lambda: None  # the helper closes its servers itself
    program = await asyncio.to_thread(Program, tmp_path, *servers, settings=LONG_DEADLINES)
    try:
        await asyncio.to_thread(program.__enter__)
        limits = httpx.Limits(max_connections=200)
        async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{program.port}", limits=limits) as client:
            return await run_load(http_sender(client))
    finally:
        program.__exit__()
        for server in servers:
            await server.stop()


async def run_channel():
    servers = [await server.start() for server in fleet(GrpcStandin)]
    async with BalancedChannel(
        make_config(**LONG_DEADLINES), members=[s.address for s in servers]
    ) as channel:
        stub = TurnsStub(channel)

        async def ask(klass):
            if klass == "board-read":
                call = stub.ReadBoard("m", timeout=2.5)
            else:
                call = stub.SubmitTurn("m", timeout=2.5, metadata=(("idempotency-key", "k"),))
            return str(await call.code()) == "StatusCode.OK"

        result = await run_load(ask)
    for server in servers:
        await server.stop()
    return result


async def run_transport():
    servers = [await server.start() for server in fleet(HttpStandin)]
    transport = AsyncBalancedTransport(make_config(**LONG_DEADLINES), members=[s.address for s in servers])
    async with httpx.AsyncClient(transport=transport, base_url="http://turn-servers") as client:
        result = await run_load(http_sender(client))
    for server in servers:
        await server.stop()
    return result


def test_proxy_channel_and_transport_have_equal_goodput_on_sockets(tmp_path):
    # one after the other, so that they do not compete for the machine
    shares = [
        asyncio.run(run_proxy(tmp_path)),
        asyncio.run(run_channel()),
        asyncio.run(run_transport()),
    ]
    assert min(shares) > 0.9 and max(shares) - min(shares) <= 0.03, shares
