"""Case 5: servers spoil some answers with two lengths that don't fit; their requests are never answered."""

import asyncio
import os
import random
from collections import Counter
from pathlib import Path

from review.harness.fleet import Fleet, wait_ready
from review.harness.http import Answer
from review.harness.world import (
    MODELS,
    ROSTER,
    Client,
    Record,
    Request,
    Server,
    body_of,
    chunk,
    document,
    event,
    head_bytes,
    main,
    order,
    pick,
)

TIMEOUT_MS = 2000  # of both routes: that of turn-verdict
DEADLINE_MS = 4000  # clients wait longer than the route's TimeoutMs
VERDICTS_PER_S, ROSTERS_PER_S = 73.0, 20.6  # the sheet of adwenpa-usher
SPOIL_SERVERS, SPOIL_EACH, SPOIL_S = 0.6, 34, 5.0  # garble in adwenpa-usher.toml: share .6, x .03, 5 s
EPISODES = 5
LATE_MS = 500  # after TimeoutMs
MIN_HELD = 8


def spoil(server: Server, answered: Counter[str], spoilt: list[str]) -> None:
    """From now on the server spoils a share of its answers: both a length and chunks, which don't fit."""

    async def behave(request: Request, writer: asyncio.StreamWriter) -> bool:
        answered[server.id] += 1
        if answered[server.id] % SPOIL_EACH:
            return False
        spoilt.append(request.id)
        await asyncio.sleep(server.work_s)
        server.record.write(f"spoilt id={request.id} server={server.id}")
        body = event(1) + event(2) if request.streams else body_of(request.id)
        head = {
            "X-Brackenusher-Response-Stamp": f"{server.id}.{len(server.ran)}",
            "Content-Type": "text/event-stream" if request.streams else "application/octet-stream",
            "Content-Length": str(len(body) + 100),
            "Transfer-Encoding": "chunked",
        }
        writer.write(head_bytes(200, request.id, head) + chunk(body) + b"0\r\n\r\n")
        return True

    server.behave = behave


def some_of(servers: list[Server], service: str, rng: random.Random) -> list[Server]:
    """The servers of one service that spoil answers: no more than the share of it."""
    own = [server for server in servers if server.service == service]
    return rng.sample(own, int(SPOIL_SERVERS * len(own)))


async def send_at_rate(
    path: str, per_s: float, clients: list[Client], answers: list[Answer], until: float
) -> None:
    """Each client sends at its share of the rate, one request after the other."""

    async def keep_sending(client: Client, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(rng.expovariate(per_s / len(clients)))
            answer = await client.ask(path, DEADLINE_MS)
            if answer is not None:
                answers.append(answer)

    await asyncio.gather(*(keep_sending(client, random.Random(client.name)) for client in clients))


async def play(trouble: bool, record: Record) -> int:
    fleet = Fleet()
    servers: list[Server] = []
    rng = random.Random(81)
    answered, spoilt = Counter[str](), list[str]()  # while servers spoil answers
    try:
        fleet.start_all()
        first = await order(fleet.controls(), "Replace", document(2, TIMEOUT_MS), 0, 30.0)
        if first.status != 200:
            raise RuntimeError(f"the first configuration got {first.status}")
        servers = [Server(fleet, MODELS, record) for _ in range(6)]
        servers += [Server(fleet, ROSTER, record, work_s=0.03, slots=6) for _ in range(3)]
        for server in servers:
            await server.start()
        for server in servers:
            await asyncio.wait_for(server.acknowledged.wait(), 20)
        await wait_ready(fleet)
        loop = asyncio.get_running_loop()
        answers: list[Answer] = []
        until = loop.time() + 3.0 + EPISODES * (SPOIL_S + 5.0)
        kinds = (("/lohu930/2f", VERDICTS_PER_S, 40), ("/pule252/2f", ROSTERS_PER_S, 16))
        sending = [
            asyncio.create_task(
                send_at_rate(
                    path, per_s,
                    [Client(f"{path}{n}", pick(fleet.machines, f"{path}{n}"), record) for n in range(count)],
                    answers, until,
                )
            )
            for path, per_s, count in kinds
        ]  # fmt: skip
        await asyncio.sleep(3.0)
        for _ in range(EPISODES):
            chosen = [s for name in (MODELS, ROSTER) for s in some_of(servers, name, rng)]
            if trouble:
                record.say(
                    f"{len(chosen)} of {len(servers)} servers spoil each {SPOIL_EACH}th of their answers"
                )
                for server in chosen:
                    spoil(server, answered, spoilt)
            await asyncio.sleep(SPOIL_S)
            for server in chosen:
                server.behave = None
            await asyncio.sleep(5.0)
        await asyncio.gather(*sending)
        held = {a.request_id for a in answers if a.ended_at - a.sent_at > (TIMEOUT_MS + LATE_MS) / 1000.0}
        record.say(
            f"{len(spoilt)} of {sum(answered.values())} answers spoilt by servers that spoil,"
            f" {len(held & {*spoilt})} of their requests held"
        )
        return judge(answers, record)
    finally:
        await asyncio.gather(*(server.stop() for server in servers))
        fleet.stop()


def judge(answers: list[Answer], record: Record) -> int:
    """CONFIG: of the requests unanswered at TimeoutMs, more than half have no answer half a second later."""
    took = [(answer.ended_at - answer.sent_at) * 1000.0 for answer in answers]
    longer = [ms for ms in took if ms > TIMEOUT_MS]
    held = [ms for ms in longer if ms > TIMEOUT_MS + LATE_MS]
    served = sum(answer.status == 200 and answer.whole for answer in answers)
    record.say(
        f"{len(answers)} requests, {served} served; unanswered at TimeoutMs: {len(longer)},"
        f" of these with no answer {LATE_MS} ms later: {len(held)}"
    )
    return int(len(held) >= MIN_HELD and len(held) > len(longer) / 2)


main(play, Path(__file__).parent, os.environ.get("TROUBLE", "1") != "0")
