"""BalancedChannel against grpcio's own round_robin and pick_first, in one run, on loopback.

    python -m benchmarks.rpc [--quick]

Each policy has a client process and a server process of its own with the same servers, the same troubles at
the same times and the same arrivals; all run at once, so that the machine's noise meets all alike. Prints
goodput (worth answered within its aim), the 99th percentile of what was served, and attempts a call, as the
servers count them. Then what a call costs over a bare channel. Exits with 1 where the channel misses an aim.
"""

import argparse
import asyncio
import json
import multiprocessing
import random
import resource
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

SERVERS, CORES, QUEUE = 8, 2, 2
WORK = {"board-read": (15.0, 25.0), "turn-submit": (20.0, 30.0)}  # milliseconds
CLASSES: list[dict[str, Any]] = [
    {"name": "board-read", "slo": 200.0, "deadline": 800.0, "worth": 2.0, "repeat": "free"},
    {"name": "turn-submit", "slo": 250.0, "deadline": 1000.0, "worth": 8.0, "repeat": "guarded"}
    | {"group": "all", "window": 6000.0},
]
SETTINGS = {
    "classes": CLASSES,
    "tick": 5.0,
    "instances": 1,
    "limits": {
        "attemptsCap": 4,
        "cancelling": True,
        "parallelTries": True,
        "connectTimeout": 200.0,
        "maxRetryAfter": 600.0,
        "retryAfter": True,
        "mostHeld": 2000,
    },
    "rules": {"stopSendingWithin": 500.0, "cold": 2000.0, "coldFrom": 0.5, "tipAfter": 1000.0},
}
RATE = 0.3  # calls a millisecond: some 45% of what the servers can do
POLICIES = ("balanced", "round_robin", "pick_first")
SCENARIOS = ("slow quarter", "hang", "rolling release")
LEAST_GAIN = -0.01  # of goodput over the better rival in each scenario: not worse by more than noise
LEAST_OVERALL = 0.02  # and better than either rival on the mean of the three
MOST_CPU, MOST_LATENCY = 500.0, 1000.0  # microseconds a call over a bare channel


def troubles(scenario: str, n: int, begin: float, span: float) -> list[Any]:
    """What is wrong with a server during the middle half of a scenario."""
    from examples.rpc.model import Trouble

    middle = begin + span / 4, begin + 3 * span / 4
    if scenario == "slow quarter" and n < SERVERS // 4:
        return [Trouble(*middle, slow=8.0)]
    if scenario == "hang" and n < SERVERS // 8 + 1:
        return [Trouble(*middle, silent=True)]
    return []


async def serve(scenario: str, begin: float, span: float, pipe: Any) -> None:
    """The servers of one policy; a rolling release stops and starts each in turn."""
    from examples.rpc.model import Model
    from examples.rpc.standins import GrpcStandin

    def server(n: int) -> Any:
        model = Model(WORK, seed=n, cores=CORES, queue=QUEUE, troubles=troubles(scenario, n, begin, span))
        return GrpcStandin(model)

    servers = [await server(n).start() for n in range(SERVERS)]
    pipe.send([s.port for s in servers])
    seen = 0
    if scenario == "rolling release":
        each = span / SERVERS / 1000.0
        await asyncio.sleep(max(0.0, begin / 1000.0 - time.monotonic()))
        for n, old in enumerate(servers):
            await asyncio.sleep(each * 0.2)
            await old.stop(grace=each * 0.2)  # GOAWAY, then what is in hand
            await asyncio.sleep(each * 0.3)  # the new process comes up
            seen += len(old.seen)
            servers[n] = await server(n).start(old.port)
            await asyncio.sleep(each * 0.3)
    while not pipe.poll():
        await asyncio.sleep(0.02)
    for standin in servers:
        await standin.stop()
    pipe.send(seen + sum(len(s.seen) for s in servers))


def run_servers(scenario: str, begin: float, span: float, pipe: Any) -> None:
    asyncio.run(serve(scenario, begin, span, pipe))


def service_config(policy: str) -> str:
    """The library's policy, with its retry policy where a repeat is harmless: both classes are."""
    retry = {
        "maxAttempts": 4,
        "initialBackoff": "0.02s",
        "maxBackoff": "0.2s",
        "backoffMultiplier": 2,
        "retryableStatusCodes": ["UNAVAILABLE", "INTERNAL"],
    }
    entry = {"name": [{"service": "examples.Turns"}], "retryPolicy": retry}
    return json.dumps({"loadBalancingConfig": [{policy: {}}], "methodConfig": [entry]})


def channel_for(policy: str, ports: list[int]) -> Any:
    import grpc.aio

    from brackenusher.fronts.rpc import BalancedChannel

    addresses = [f"127.0.0.1:{port}" for port in ports]
    if policy == "balanced":
        methods = {"/examples.Turns/SubmitTurn": "turn-submit", "*": "board-read"}
        document = {"target": "turns", "seed": "7", "settings": SETTINGS, "methods": methods}
        return BalancedChannel(document, members=addresses)
    options = [
        ("grpc.service_config", service_config(policy)),
        ("grpc.initial_reconnect_backoff_ms", 100),
        ("grpc.max_reconnect_backoff_ms", 1000),
    ]
    return grpc.aio.insecure_channel("ipv4:" + ",".join(addresses), options)


async def drive(policy: str, ports: list[int], begin: float, span: float) -> dict[str, Any]:
    """The arrivals of a scenario through one policy."""
    from examples.rpc.turns import TurnsStub

    rng, spans = random.Random(11), list[float]()
    calls: list[asyncio.Future[None]] = []
    asked = won = 0.0
    count = 0

    async def one(klass: dict[str, Any], number: int) -> None:
        nonlocal won
        began = time.monotonic()
        timeout = klass["deadline"] / 1000.0
        if klass["name"] == "board-read":
            call = stub.ReadBoard("m", timeout=timeout)
        else:
            call = stub.SubmitTurn("m", timeout=timeout, metadata=(("idempotency-key", str(number)),))
        code = await call.code()
        took = (time.monotonic() - began) * 1000.0
        if str(code) == "StatusCode.OK":
            spans.append(took)
            won += klass["worth"] * (took <= klass["slo"])

    async with channel_for(policy, ports) as channel:
        stub = TurnsStub(channel)
        await channel.channel_ready()
        now = begin
        while (now := now + rng.expovariate(RATE)) < begin + span:
            await asyncio.sleep(max(0.0, now / 1000.0 - time.monotonic()))
            klass = CLASSES[rng.random() < 0.44]
            asked += klass["worth"]
            count += 1
            calls.append(asyncio.ensure_future(one(klass, count)))
        await asyncio.gather(*calls)
    spans.sort()
    return {"goodput": won / asked, "p99": spans[int(0.99 * len(spans))] if spans else 0.0, "calls": count}


def run_client(policy: str, ports: list[int], begin: float, span: float, pipe: Any) -> None:
    pipe.send(asyncio.run(drive(policy, ports, begin, span)))


def scenario(name: str, span: float) -> dict[str, dict[str, Any]]:
    """All policies through one scenario, at the same time."""
    context = multiprocessing.get_context("spawn")
    begin = time.monotonic() * 1000.0 + 4000.0  # by then all processes are up
    running = {}
    for policy in POLICIES:
        ours, theirs = context.Pipe()
        server = context.Process(target=run_servers, args=(name, begin, span, theirs), daemon=True)
        server.start()
        running[policy] = server, ours
    clients = {}
    for policy, (_, pipe) in running.items():
        ours, theirs = context.Pipe()
        client = context.Process(
            target=run_client, args=(policy, pipe.recv(), begin, span, theirs), daemon=True
        )
        client.start()
        clients[policy] = client, ours
    results = {}
    for policy, (client, pipe) in clients.items():
        results[policy] = pipe.recv()
        client.join()
    for policy, (server, pipe) in running.items():
        pipe.send("done")
        results[policy]["attempts"] = pipe.recv() / results[policy]["calls"]
        server.join()
    return results


async def echo(port_out: Any) -> None:
    from examples.rpc.model import Model
    from examples.rpc.standins import GrpcStandin

    nothing = {"board-read": (0.0, 0.0), "turn-submit": (0.0, 0.0)}
    server = await GrpcStandin(Model(nothing, cores=64, queue=10_000)).start()
    port_out.send([server.port])
    while not port_out.poll():
        await asyncio.sleep(0.05)
    await server.stop()


def run_echo(pipe: Any) -> None:
    asyncio.run(echo(pipe))


async def cost(kind: str, ports: list[int], calls: int) -> tuple[float, float]:
    """Microseconds of CPU and of latency (median) a call, one after the other."""
    import grpc.aio

    from examples.rpc.turns import TurnsStub

    bare = grpc.aio.insecure_channel(f"127.0.0.1:{ports[0]}")
    async with bare if kind == "bare" else channel_for("balanced", ports) as channel:
        stub = TurnsStub(channel)
        for _ in range(200):
            await stub.ReadBoard("m", timeout=0.8)
        used, spans = resource.getrusage(resource.RUSAGE_SELF), []
        for _ in range(calls):
            began = time.perf_counter()
            await stub.ReadBoard("m", timeout=0.8)
            spans.append(time.perf_counter() - began)
        after = resource.getrusage(resource.RUSAGE_SELF)
    cpu = after.ru_utime + after.ru_stime - used.ru_utime - used.ru_stime
    return cpu / calls * 1e6, sorted(spans)[calls // 2] * 1e6


def overhead(calls: int) -> dict[str, float]:
    """What a call costs over a bare channel: the least of several pairs, as noise only adds."""
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    server = context.Process(target=run_echo, args=(theirs,), daemon=True)
    server.start()
    ports = ours.recv()
    rounds: dict[str, list[tuple[float, float]]] = {"bare": [], "balanced": []}
    for _ in range(4):
        for kind, results in rounds.items():
            results.append(asyncio.run(cost(kind, ports, calls)))
    ours.send("done")
    server.join()
    least = {kind: [min(r[i] for r in results) for i in (0, 1)] for kind, results in rounds.items()}
    return {
        "bare_cpu": least["bare"][0],
        "bare_latency": least["bare"][1],
        "cpu": least["balanced"][0] - least["bare"][0],
        "latency": least["balanced"][1] - least["bare"][1],
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="some 30 s in all")
    quick = parser.parse_args().quick
    misses, sums = [], dict.fromkeys(POLICIES, 0.0)
    print(f"{'scenario':16} {'policy':12} {'goodput':>8} {'p99 ms':>8} {'attempts':>9} {'calls':>6}")
    for name in SCENARIOS:
        results = scenario(name, 6000.0 if quick else 20_000.0)
        for policy, r in results.items():
            sums[policy] += r["goodput"] / len(SCENARIOS)
            figures = f"{r['goodput']:8.3f} {r['p99']:8.0f} {r['attempts']:9.3f} {r['calls']:6}"
            print(f"{name:16} {policy:12} {figures}", flush=True)
        rival = max(r["goodput"] for policy, r in results.items() if policy != "balanced")
        if results["balanced"]["goodput"] < rival + LEAST_GAIN:
            misses.append(f"{name}: goodput {results['balanced']['goodput']:.3f}, a rival has {rival:.3f}")
    rival = max(value for policy, value in sums.items() if policy != "balanced")
    print(f"{'mean':16} " + ", ".join(f"{policy} {value:.3f}" for policy, value in sums.items()))
    if sums["balanced"] < rival + LEAST_OVERALL:
        misses.append(f"mean goodput {sums['balanced']:.3f}, a rival has {rival:.3f}")
    over = overhead(1000 if quick else 3000)
    print(
        f"a bare call: {over['bare_cpu']:.0f} us of CPU, {over['bare_latency']:.0f} us; "
        f"the channel adds {over['cpu']:.0f} us of CPU and {over['latency']:.0f} us"
    )
    if over["cpu"] > MOST_CPU or over["latency"] > MOST_LATENCY:
        misses.append(f"overhead above {MOST_CPU:.0f} us of CPU or {MOST_LATENCY:.0f} us")
    for miss in misses:
        print(f"missed: {miss}")
    return 1 if misses else 0


if __name__ == "__main__":
    sys.exit(main())
