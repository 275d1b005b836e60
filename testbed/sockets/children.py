"""The processes of a run beside its parent: the fleet's and the load's, which talk to it over pipes."""

import asyncio
import ctypes
import signal
import time
from collections.abc import Callable
from multiprocessing.connection import Connection
from typing import Any

from testbed import scenario as config
from testbed.sockets.fleet import Fleet
from testbed.sockets.load import Load

PR_SET_PDEATHSIG = 1


def die_with_parent() -> None:
    """Have the kernel end this process when its parent ends, however it ends."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def new_loop() -> asyncio.AbstractEventLoop:
    """An event loop of uvloop where it is installed: twice the requests a second for the load."""
    try:
        import uvloop
    except ImportError:
        return asyncio.new_event_loop()
    loop: asyncio.AbstractEventLoop = uvloop.new_event_loop()
    return loop


def child(work: Callable[..., Any], pipe: Connection, *arguments: Any) -> None:
    """What a process of the testbed runs; Ctrl-C is its parent's business."""
    die_with_parent()
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    with asyncio.Runner(loop_factory=new_loop) as runner:
        try:
            runner.run(work(pipe, *arguments))
        except (EOFError, BrokenPipeError):
            pass  # the parent went, or wants nothing more


async def receive(pipe: Connection) -> Any:
    """The parent's next word; a thread waits for it, as the pipe must stay a blocking one."""
    return await asyncio.get_running_loop().run_in_executor(None, pipe.recv)


async def run_fleet(pipe: Connection, scenario: config.Scenario, seed: int) -> None:
    """The fleet's process: listens, tells where, begins at a word, sums up at the next."""
    fleet = Fleet(scenario, seed)
    await fleet.listen()
    pipe.send(fleet.addresses())
    fleet.begin(await receive(pipe))
    last = time.process_time(), time.monotonic()

    async def tell() -> None:
        nonlocal last
        while True:
            await asyncio.sleep(1.0)
            fleet.tidy()
            now = time.process_time(), time.monotonic()
            busy = (now[0] - last[0]) / (now[1] - last[1])
            last = now
            pipe.send(("fleet", fleet.sight(), list(fleet.events), busy))

    telling = asyncio.ensure_future(tell())
    await receive(pipe)
    telling.cancel()
    pipe.send(("sum", fleet.summary()))


async def run_load(pipe: Connection, scenario: config.Scenario, seed: int, ports: list[int]) -> None:
    """The load's process."""
    load = Load(scenario, seed, ports)
    pipe.send("ready")
    origin = await receive(pipe)
    last = time.process_time(), time.monotonic()

    async def tell() -> None:
        nonlocal last
        while True:
            await asyncio.sleep(1.0)
            now = time.process_time(), time.monotonic()
            busy = (now[0] - last[0]) / (now[1] - last[1])
            last = now
            pipe.send(("load", load.sight(), busy))

    telling = asyncio.ensure_future(tell())
    await load.run(origin)
    telling.cancel()
    pipe.send(("sum", load.summary()))
    await receive(pipe)
