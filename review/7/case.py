"""Case 7: of the core, one machine misses a deregistration, one that has it is dark, the other one empty."""

import asyncio
import os
import random
import shutil
import signal
import time
from pathlib import Path

from review.harness.fleet import Fleet, Machine, wait_ready
from review.harness.http import call
from review.harness.world import ROSTER, Client, Record, Server, document, main, order

DRAIN_S, CONTACT_S = 2.0, 3.0
FREEZE_S = 2.3  # node_freeze: 2.1 to 4.0 s in the site files, 5 by `kinds`
DARK_S = 5.0  # node_kill, how power: 5 by `kinds`
RESTART_S = 0.3
WATCH_S = 6.0
REQUESTS_PER_S = 20.6  # roster-fetch on the sheet


async def keep_sending(machine: Machine, sent: list[tuple[str, int]], record: Record, until: float) -> None:
    """Requests for one machine, as long as it calls itself ready."""
    rng = random.Random(machine.number)
    client = Client(f"at-{machine.number}", machine, record)
    while time.monotonic() < until:
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
        if (await call(machine.ready, "GET", "/-/readiness", {}, b"", 0.5)).status != 200:
            continue
        answer = await client.ask("/pule252/2f", 1500)
        if answer is not None:
            sent.append((answer.request_id, machine.number))


async def play(trouble: bool, record: Record) -> int:
    fleet = Fleet()
    servers: list[Server] = []
    behind, dark, empty = fleet.machines
    try:
        fleet.start_all()
        first = await order(fleet.controls(), "Replace", document(2, 1500), 0, 30.0)
        if first.status != 200:
            raise RuntimeError(f"the first configuration got {first.status}")
        servers = [Server(fleet, ROSTER, record, slots=6) for _ in range(3)]
        for server in servers:
            await server.start()
        for server in servers:
            await asyncio.wait_for(server.acknowledged.wait(), 20)
        await wait_ready(fleet)
        await asyncio.sleep(4.0)

        if trouble:
            record.say(f"node_freeze: machine {behind.number}")
            for role in ("control", "proxy"):
                fleet.signal(behind, role, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        leaving = servers[0]
        await leaving.end_beats()
        until = time.monotonic() + 3.0
        while not await leaving.tell("Deregister", b"{}", [dark.control, empty.control]):
            if time.monotonic() > until:
                raise RuntimeError("the deregistration was not acknowledged")
        acknowledged_at = time.monotonic()
        record.say(f"deregistration of {leaving.id} acknowledged; it serves on")
        settled_at = acknowledged_at
        if trouble:
            record.say(f"{empty.number} loses its disk, {dark.number} its power, {behind.number} wakes")
            for machine in (dark, empty):
                for role in ("control", "proxy"):
                    fleet.signal(machine, role, signal.SIGKILL)
                    fleet.running[role, machine.number].wait(5)
            shutil.rmtree(fleet.folder / f"disk-{empty.number}")
            for role in ("control", "proxy"):
                fleet.signal(behind, role, signal.SIGCONT)
            await asyncio.sleep(RESTART_S)
            fleet.start(empty, "control")
            fleet.start(empty, "proxy")
            settled_at = time.monotonic()
            record.say(f"machine {empty.number} starts again, empty")
        back_at = acknowledged_at + DARK_S
        sent: list[tuple[str, int]] = []
        end = acknowledged_at + WATCH_S
        clients = [asyncio.create_task(keep_sending(m, sent, record, end)) for m in (behind, empty)]
        await asyncio.sleep(back_at - time.monotonic())
        if trouble:
            record.say(f"machine {dark.number} is back")
            fleet.start(dark, "control")
            fleet.start(dark, "proxy")
        await asyncio.gather(*clients)
        in_touch = settled_at + CONTACT_S, back_at if trouble else end
        here = [request_id for request_id, number in sent if number == behind.number]
        return judge(leaving, here, record, acknowledged_at + DRAIN_S, in_touch)
    finally:
        await asyncio.gather(*(server.stop() for server in servers))
        fleet.stop()


def judge(
    server: Server, sent: list[str], record: Record, late_from: float, in_touch: tuple[float, float]
) -> int:
    """DRAIN: later than DrainMs after the acknowledgement a request reaches the server, sent on in touch.

    `sent`: by the machine that was behind. In touch: ContactMs after the core's last event, until the next.
    """
    late = sorted(record.run_at[i] for i in sent if i in server.ran and record.run_at[i] > late_from)
    counted = [at for at in late if in_touch[0] <= at < in_touch[1]]
    times = [round(at - late_from, 2) for at in counted]
    record.say(
        f"{len(sent)} requests there; {len(late)} reached the deregistered server over DrainMs after"
        f" the acknowledgement, {len(counted)} of these in touch, {times} s after that"
    )
    return int(bool(counted))


main(play, Path(__file__).parent, os.environ.get("TROUBLE", "1") != "0")
