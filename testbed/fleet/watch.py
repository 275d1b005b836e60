"""Looks at a fleet from outside: readiness, figures, status; and waits for conditions with a bound."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

from testbed.fleet.http_calls import ANSWER_FAILURES, HttpAnswer, HttpCall, call
from testbed.fleet.layout import Machine

LOOK_S = 1.0  # the most that one look takes
POLL_S = 0.05  # between two looks
VERSION_FIGURE = "brackenusher_configuration_version"


async def look(address: str, target: str) -> HttpAnswer:
    """A GET; status 0 where nobody answers."""
    try:
        return await call(address, HttpCall("GET", target), LOOK_S)
    except ANSWER_FAILURES:
        return HttpAnswer(0)


async def is_ready(machine: Machine) -> bool:
    """Whether the proxy of a machine calls itself ready."""
    return (await look(machine.ready, "/-/readiness")).status == 200


async def figures(address: str) -> dict[str, float]:
    """The figures at an address, by name with labels; empty where nobody answers."""
    text = (await look(address, "/-/metrics")).body.decode()
    found = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        if name and not line.startswith("#"):
            found[name] = float(value)
    return found


async def version_in_force(machine: Machine) -> int:
    """The version that the proxy of a machine has in force; 0: none."""
    return int((await figures(machine.ready)).get(VERSION_FIGURE, 0.0))


async def status(control: str, topic: str) -> Any:
    """A topic of the status of a control process; None where it doesn't answer."""
    answer = await look(control, f"/-/status/{topic}")
    return json.loads(answer.body) if answer.status == 200 else None


async def wait_until(what: str, check: Callable[[], Awaitable[bool]], timeout_s: float) -> float:
    """Look until a condition holds; the seconds it took. Raises TimeoutError that names the condition."""
    began = time.monotonic()
    while not await check():
        if time.monotonic() - began > timeout_s:
            raise TimeoutError(f"{what}: not within {timeout_s:.0f} s")
        await asyncio.sleep(POLL_S)
    return time.monotonic() - began


async def all_ready(machines: list[Machine]) -> bool:
    """Whether each of these proxies is ready."""
    return all(await asyncio.gather(*(is_ready(machine) for machine in machines)))


async def all_at(machines: list[Machine], version: int) -> bool:
    """Whether each of these proxies has a version, or a later one, in force."""
    found = await asyncio.gather(*(version_in_force(machine) for machine in machines))
    return min(found) >= version
