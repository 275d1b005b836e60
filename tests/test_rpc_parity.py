"""Daemon, gRPC channel and httpx transport on sockets, before stand-ins with one model of behaviour."""

import asyncio
import random
import time

import httpx
from helpers import SETTINGS, Program
from rpc_world import config

from brackenusher.fronts.rpc import AsyncBalancedTransport, BalancedChannel
from examples.rpc.model import Model, Trouble
from examples.rpc.standins import GrpcStandin, HttpStandin
from examples.rpc.turns import TurnsStub

WORK = {"board-read": (5.0, 15.0), "turn-submit": (10.0, 20.0)}
SECONDS, RATE = 4.0, 80.0
# aims that a busy machine keeps: what is lost is lost to the servers' troubles, not to the machine
PATIENT = {"classes": [c | {"slo": 1000.0, "deadline": 2500.0} for c in SETTINGS["classes"]]}


def fleet(kind):
    """Four servers, of which one fails for a while, one is slow, and one turns away what must wait."""
    now = time.monotonic() * 1000.0
    troubles = {
        1: [Trouble(now + 1000, now + 2500, fail=1.0)],
        2: [Trouble(now + 500, now + 3000, slow=10.0)],
    }
    return [
        kind(Model(WORK, seed=n, queue=0 if n == 3 else 4, troubles=troubles.get(n, []))) for n in range(4)
    ]


async def load(ask):
    """The same arrivals for each; the share of worth that is answered within its aim."""
    rng, calls, asked, won = random.Random(3), [], 0.0, 0.0

    async def one(klass, worth):
        nonlocal won
        served = await ask(klass)  # before `won` is read: others add to it meanwhile
        won += worth * served

    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        klass = rng.choice(SETTINGS["classes"])
        asked += klass["worth"]
        calls.append(asyncio.ensure_future(one(klass["name"], klass["worth"])))
        await asyncio.sleep(rng.expovariate(RATE))
    await asyncio.gather(*calls)
    return won / asked


def asker(client):
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


async def through_daemon(tmp_path):
    servers = [await server.start() for server in fleet(HttpStandin)]
    for server in servers:
        server.close = lambda: None  # as the program's helper ends its servers
    program = await asyncio.to_thread(Program, tmp_path, *servers, settings=PATIENT)
    try:
        await asyncio.to_thread(program.__enter__)
        limits = httpx.Limits(max_connections=200)
        async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{program.port}", limits=limits) as client:
            return await load(asker(client))
    finally:
        program.__exit__()
        for server in servers:
            await server.stop()


async def through_channel():
    servers = [await server.start() for server in fleet(GrpcStandin)]
    async with BalancedChannel(config(**PATIENT), members=[s.address for s in servers]) as channel:
        stub = TurnsStub(channel)

        async def ask(klass):
            if klass == "board-read":
                call = stub.ReadBoard("m", timeout=2.5)
            else:
                call = stub.SubmitTurn("m", timeout=2.5, metadata=(("idempotency-key", "k"),))
            return str(await call.code()) == "StatusCode.OK"

        result = await load(ask)
    for server in servers:
        await server.stop()
    return result


async def through_transport():
    servers = [await server.start() for server in fleet(HttpStandin)]
    transport = AsyncBalancedTransport(config(**PATIENT), members=[s.address for s in servers])
    async with httpx.AsyncClient(transport=transport, base_url="http://turn-servers") as client:
        result = await load(asker(client))
    for server in servers:
        await server.stop()
    return result


def test_goodput_on_sockets_is_within_three_hundredths_through_all_three(tmp_path):
    # one after the other, and each with the machine to itself
    shares = [
        asyncio.run(through_daemon(tmp_path)),
        asyncio.run(through_channel()),
        asyncio.run(through_transport()),
    ]
    assert min(shares) > 0.9 and max(shares) - min(shares) <= 0.03, shares
