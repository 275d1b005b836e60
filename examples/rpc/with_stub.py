"""A generated stub over a BalancedChannel, against stand-in servers: python -m examples.rpc.with_stub"""

import asyncio

import grpc

from brackenusher.fronts.rpc import BalancedChannel, CallRefused
from examples.rpc.model import Model
from examples.rpc.standins import GrpcStandin
from examples.rpc.turns import TurnsStub

WORK = {"board-read": (20.0, 40.0), "turn-submit": (30.0, 50.0)}  # milliseconds


async def main() -> None:
    servers = [await GrpcStandin(Model(WORK, seed=n)).start() for n in range(3)]
    addresses = [server.address for server in servers]
    async with BalancedChannel("examples/rpc/client.toml", members=addresses) as channel:
        stub = TurnsStub(channel)
        print(await stub.ReadBoard("match 7", timeout=1.0))
        print(await stub.SubmitTurn("move e4", timeout=1.5, metadata=(("idempotency-key", "5c0f6e1a"),)))
        async for move in stub.WatchBoard("match 7"):
            print(move)

        calls = [stub.ReadBoard(f"match {n}", timeout=0.25) for n in range(200)]  # more than they can do
        served = refused = failed = 0
        for call in calls:
            try:
                await call
                served += 1
            except CallRefused:  # never ran; its retry_after says when to come back, in milliseconds
                refused += 1
            except grpc.aio.AioRpcError as error:  # what a server said, or DEADLINE_EXCEEDED
                failed += 1
                print(error.code(), error.details())
        print(f"{served + refused + failed} calls: {served} served, {refused} refused, {failed} failed")
    for server in servers:
        await server.stop()


asyncio.run(main())
