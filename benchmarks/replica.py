"""Replicated state: what one lacks, by size; catch-up; a limit over all; what a request pays; schedules.

    python benchmarks/replica.py [--quick] [--schedules N] [--first SEED] [--catch-up]

Two copies speak by the bytes that they would send; a turn is one message taken, merged and answered. On
processes a keeper with an empty disk catches up with two that hold as much, under load. Exit 1 where an aim
is missed: 3 times the bytes of what differs, 2 s and 5 ms a turn for 100,000 entries, 5% of a limit wherever
the demand is, no more than the limit with a third cut off, 1 us a request, or a promise broken by chance.
"""

import argparse
import gc
import random
import sys
import tempfile
import threading
import time
import timeit
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # run as a file, from anywhere

import psutil
from msgspec import msgpack

from barleybarrow.overrides import ActiveOverrides, Override
from barleybarrow.rate_limiter import RateLimit, RateLimiter, RateLimiterSettings
from barleybarrow.replica import Message, Ready, Replica, StoredReplica
from barleybarrow.shares import LimitShares, SharedRateLimiter
from barleybarrow.version_vectors import Entry, VersionedState
from brackenusher.group.replica_store import ReplicaStore
from testbed.copies import Copies
from testbed.portions import Portions
from testbed.processes.grouped import Grouped
from testbed.processes.moves import Moves
from testbed.schedule import LinkFault, by_chance

BYTES, CATCH_UP_S, TURN_MS, NEAR, PAID_US = 3.0, 2.0, 5.0, 0.05, 1.0
ROOM = 200_000
RATE = 200.0


def entries(size: int, origin: str = "n0~0") -> list[Entry]:
    value = msgpack.encode(Override("staff", "trial", 0.0, 0.0))
    return [Entry(f"server x{n}", origin, n + 1, {}, value) for n in range(size)]


def exchange(held: int, differ: int) -> tuple[float, float, float, float]:
    """One copy lacks so many of what another holds: seconds, bytes times what differs, longest turn in ms."""
    every = entries(held)
    rng, now = random.Random(1), 0.0
    machines = {}
    for name, part in (("n0", every), ("n1", every[: held - differ])):
        vector = {"n0~0": len(part)}
        m = Replica(name, ["n0", "n1"], rng, now, StoredReplica(f"{name}~0", True, part, vector), ROOM)
        m.reachable = ["n0", "n1"]
        m.reachable.remove(name)
        m.take_ready()
        machines[name] = m
    gc.collect()
    gc.freeze()  # as the daemon does at its start
    decoder = msgpack.Decoder(Message)
    sent, turn, began = 0, 0.0, time.perf_counter()
    on_way: list[tuple[str, str, bytes]] = []

    def carry(name: str) -> None:
        nonlocal sent
        urgent, machines[name].immediate_messages = machines[name].immediate_messages, []
        ready = machines[name].take_ready()
        for to, message in [*urgent, *(ready.messages if ready is not None else ())]:
            data = msgpack.encode(message)
            sent += len(data)
            on_way.append((to, name, data))

    while machines["n1"].state.vector != machines["n0"].state.vector:
        now += 1.0
        for name, m in machines.items():
            m.tick(now)
            carry(name)
        while on_way:
            to, sender, data = on_way.pop(0)
            at = time.perf_counter()
            machines[to].receive(now, sender, decoder.decode(data))
            carry(to)
            turn = max(turn, time.perf_counter() - at)
        if now > 60_000.0:
            raise SystemExit("two copies did not come to be equal")
    span = time.perf_counter() - began
    gc.unfreeze()
    lacked = sum(len(msgpack.encode(e)) for e in every[held - differ :])
    return span, sent / max(1, lacked), turn * 1000.0, lacked


class Timed(Grouped):
    """Notes how long each answer took."""

    TENANTS = ("a",)
    PAUSE_S = 0.001

    def __init__(self, *details: Any, **more: Any) -> None:
        self.spans: list[tuple[float, float]] = []
        self.good = 0
        super().__init__(*details, **more)

    def saw(self, asked: float, number: int, tenant: str, status: int) -> None:
        self.good += status == 200
        self.spans.append((asked, time.monotonic() - asked))


def on_processes(size: int) -> tuple[float, float, float]:
    """Seconds until a keeper with an empty disk has caught up; p99 of requests without, and then, in ms."""
    settings = (
        "replica.enabled = true\nreplica.keepers = n0, n1, n2\nreplica.folder = {folder}/replica\n"
        f"replica.entries = {ROOM}\nreplica.within_s = 60\n"
    )
    with tempfile.TemporaryDirectory(prefix="replica-") as folder:
        for n in (0, 1):
            shelf_of(Path(folder) / "run" / f"p{n}" / "replica", f"n{n}~0", size)
        with Timed(Path(folder), 3, settings, log_level="info") as group:

            def stage(number: int) -> str:
                return str((group.wish(number, "replica verify") or {"stage": ""})["stage"])

            group.settle()
            group.until(lambda: all(stage(n) == "caught up" for n in range(3)), "caught up")
            group.kill(2)
            thread = threading.Thread(target=group.client, args=(0,), daemon=True)
            group.threads.append(thread)
            thread.start()
            time.sleep(6.0)
            began = time.monotonic()
            group.start(2, disk="empty")
            group.until(lambda: group.log(2).count("replica: caught up") == 2, "caught up")
            ended = time.monotonic()
            words = ("replica: behind", "replica: caught up")
            told = [line for line in group.log(2).splitlines() if any(word in line for word in words)][-2:]
            spans = list(group.spans)
    seconds = [float(line.split()[1].split(":")[2].replace(",", ".")) for line in told]
    span = (seconds[-1] - seconds[0]) % 60.0 if len(seconds) == 2 else ended - began

    def p99(first: float, last: float) -> float:
        found = sorted(s for at, s in spans if first <= at < last)
        return found[int(len(found) * 0.99)] * 1000.0 if found else 0.0

    return span, p99(began - 4.0, began), p99(began, ended)


def memory(size: int) -> tuple[float, float, float]:
    """Megabytes of a daemon without it, with replicated state that is empty, and with so many marks."""
    found = []
    on = (
        "replica.enabled = true\nreplica.keepers = n0, n1, n2\nreplica.folder = {folder}/replica\n"
        f"replica.entries = {ROOM}\n"
    )
    for settings, held in (("", 0), (on, 0), (on, size)):
        with tempfile.TemporaryDirectory(prefix="memory-") as folder:
            for n in range(3) if held else ():
                shelf_of(Path(folder) / "run" / f"p{n}" / "replica", f"n{n}~0", held)
            with Timed(Path(folder), 3, settings, log_level="warning") as group:
                group.settle()
                if settings:
                    group.until(lambda held=held: all(entries_at(group, n) == held for n in range(3)), "all")
                group.ask_times(2, 500)
                found.append(psutil.Process(group.daemons[2].life.process.pid).memory_info().rss / 1e6)
    return found[0], found[1], found[2]


def entries_at(group: Grouped, number: int) -> int:
    told = group.wish(number, "replica verify")
    return int(told["entries"]) if told and told["stage"] == "caught up" else -1


def shelf_of(path: Path, origin: str, size: int) -> None:
    """A keeper's folder, as if staff had marked so many servers."""
    path.mkdir(parents=True)
    shelf = ReplicaStore(str(path))
    keys = {e.key: [e] for e in entries(size)}
    shelf.keep(
        Ready(entries_by_key=keys, metadata=StoredReplica(origin, True, [], {"n0~0": size}, {}, 1, {}))
    )
    shelf.db.close()


def limit_on_processes(size: int) -> float:
    """Of a limit: what is admitted with all demand at the last of so many daemons."""
    settings = (
        "replica.enabled = true\nreplica.keepers = n0, n1, n2\nreplica.folder = {folder}/replica\n"
        f"door.enabled = true\ndoor.rate.a = {RATE:g}\ndoor.burst.a = 50\n"
    )
    with tempfile.TemporaryDirectory(prefix="limit-") as folder:
        with Timed(Path(folder), size, settings, log_level="warning") as group:
            group.settle()
            group.until(lambda: (group.wish(size - 1, "replica verify") or {}).get("warden"), "a warden")
            thread = threading.Thread(target=group.client, args=(size - 1,), daemon=True)
            group.threads.append(thread)
            thread.start()
            time.sleep(4.0)
            began, before = time.monotonic(), group.good
            time.sleep(6.0)
            return (group.good - before) / (time.monotonic() - began) / RATE


def double_runs(moves: int, more: str) -> tuple[int, int]:
    """Moves whose proxy is killed while they run, repeated at another: how many ran at two; of all."""
    with tempfile.TemporaryDirectory(prefix="moves-") as folder:
        with Moves(Path(folder), more) as group:
            keys = [f"slow{n}" for n in range(moves)]
            first = [threading.Thread(target=group.move, args=(0, key), daemon=True) for key in keys]
            for thread in first:
                thread.start()
            group.until(lambda: len({k for _, k in group.ran}) >= min(moves, 3), "some at their servers")
            time.sleep(0.2)
            out = [key for key in keys if group.places(key)]
            group.kill(0)
            again = [threading.Thread(target=group.move, args=(1, key), daemon=True) for key in out]
            for thread in again:
                thread.start()
            for thread in again:
                thread.join(8.0)
            return sum(len(set(group.places(key))) > 1 for key in out), len(out)


def limits(size: int) -> tuple[float, float, float]:
    """Of a limit: what is admitted with all demand at one, then at another; and with a third cut off."""
    p = Portions(size, 3, 1, RATE, RATE)
    p.run(5000.0)
    found = []
    for one in (size - 1, 0):
        p.demand = [0.0] * size
        p.demand[one] = 3 * RATE
        p.run(p.now + 10_000.0)
        found.append(p.rate_between(p.now - 7000.0, p.now) / RATE)
    p.demand = [3 * RATE / size] * size
    away = list(range(size - size // 3, size))
    p.origin = p.now
    p.faults = [LinkFault(at=0, lasts=1e5, of=away, lost=1.0), LinkFault(at=0, lasts=1e5, to=away, lost=1.0)]
    cut = p.now
    p.run(p.now + 20_000.0)
    return found[0], found[1], max(p.most_between(0.0, p.now), p.rate_between(cut, p.now) / RATE)


def paid() -> tuple[float, float]:
    """Microseconds that a request pays for marks, and a limit over all beside one's own."""
    effect, state = ActiveOverrides(), VersionedState()
    for entry in entries(100):
        state.merge(entry)
    effect.update(state, list(state.slots))
    shares = LimitShares("n0", ["n0"], random.Random(1), 0.0, 9, lambda key: 1e6)
    shared, own = (
        kind(RateLimiterSettings(tenant=RateLimit(1e9, 1e9))) for kind in (SharedRateLimiter, RateLimiter)
    )
    assert isinstance(shared, SharedRateLimiter)
    shared.shares = shares
    shares.grants["t"] = (0.5, 1e12)

    def least(call: object) -> float:
        return min(timeit.repeat(call, number=100_000, repeat=5)) * 10.0  # type: ignore[arg-type]

    nothing = least(lambda: None)
    marks = least(lambda: "t" in effect.tenants) - nothing
    return marks, least(lambda: shared.acquire("t", 1.0)) - least(lambda: own.acquire("t", 1.0))


def storm(seed: int) -> tuple[int, list[str]]:
    """One schedule by chance, of copies and of shares."""
    size, keepers = ((3, 3), (5, 3), (5, 5), (7, 5), (9, 3))[seed % 5]
    schedule = by_chance(seed, size, calm=5.0, quiet=30.0)
    c = Copies(size, keepers, seed)
    c.run(2000.0)
    c.play(schedule, every=1.0, disks=0.4)
    c.run(c.now + 6000.0)
    found = c.breaches()
    if sum(c.up[:keepers]) > keepers // 2:
        found += c.unlike()
    p = Portions(size, 3, seed, RATE, RATE)
    p.run(4000.0)
    p.demand = [p.rng.choice([0.0, 50.0, 600.0]) for _ in range(size)]
    p.run(p.plan(schedule))
    lives = sum(len(a.who) for a in schedule.acts if a.do in ("kill", "leave"))
    if p.most_between(0.0, p.now) > 1.0 + lives / size + 1e-9:
        found.append(f"parts: {p.most_between(0.0, p.now):.3f} of a limit in use")
    return seed, found


def main(argv: Sequence[str] | None = None) -> int:
    top = argparse.ArgumentParser(description="Replicated state: catch-up, limits over all, and their price.")
    top.add_argument("--quick", action="store_true", help="within a minute")
    top.add_argument("--catch-up", action="store_true", help="a keeper with an empty disk, and no more")
    top.add_argument("--schedules", type=int, default=None)
    top.add_argument("--first", type=int, default=50_000)
    args = top.parse_args(argv)
    broken: list[str] = []

    def judge(good: bool, what: str) -> None:
        if not good:
            broken.append(what)

    if args.catch_up:
        for _ in range(3):
            span, without, meanwhile = on_processes(100_000)
            print(f"{span:.2f} s; p99 {without:.1f} ms, {meanwhile:.1f} ms meanwhile", flush=True)
        return 0
    print("| held | differ | seconds | bytes, times what differs | longest turn ms |")
    print("| --- | --- | --- | --- | --- |")
    sizes = [(10_000, 10), (10_000, 10_000)] if args.quick else []
    sizes = sizes or [(100_000, 10), (100_000, 1000), (100_000, 10_000), (100_000, 100_000)]
    for held, differ in sizes:
        span, times, turn, lacked = exchange(held, differ)
        print(f"| {held} | {differ} | {span:.2f} | {times:.2f} | {turn:.1f} |", flush=True)
        judge(times <= BYTES or lacked < 10_000, f"{differ} of {held}: {times:.2f} times the bytes")
        judge(span <= CATCH_UP_S and turn <= TURN_MS, f"{differ} of {held}: {span:.2f} s, {turn:.1f} ms")
    size = 5000 if args.quick else 100_000
    span, without, meanwhile = on_processes(size)
    print(f"\nan empty keeper takes {size} entries in {span:.2f} s; p99 of a teller's requests ", end="")
    print(f"{without:.1f} ms without, {meanwhile:.1f} ms meanwhile", flush=True)
    judge(span <= CATCH_UP_S, f"{size} entries on processes: {span:.2f} s")
    print("\n| proxies | demand at the last | at the first | a third cut off, at most |")
    print("| --- | --- | --- | --- |")
    for size in (3, 9) if args.quick else (3, 9, 50):
        one, other, cut = limits(size)
        print(f"| {size} | {one:.3f} | {other:.3f} | {cut:.3f} |", flush=True)
        judge(
            min(one, other) >= 1 - NEAR and cut <= 1.02, f"a limit at {size}: {one:.3f} {other:.3f} {cut:.3f}"
        )
    size = 5 if args.quick else 9
    share = limit_on_processes(size)
    print(f"\n{size} processes, all demand at the last: {share:.3f} of the limit", flush=True)
    judge(1 - NEAR <= share <= 1 + NEAR, f"a limit at {size} processes: {share:.3f}")
    rounds = 2 if args.quick else 6
    told = [double_runs(9, "") for _ in range(rounds)]
    untold = [double_runs(9, "replica.fates = false\n") for _ in range(rounds)]
    twice, of = sum(t for t, _ in told), sum(n for _, n in told)
    print(f"moves at a crash of their proxy that ran at two servers: {twice} of {of}; without fates ", end="")
    print(f"{sum(t for t, _ in untold)} of {sum(n for _, n in untold)}", flush=True)
    judge(not twice and of > 0, f"{twice} moves ran at two servers")
    marks, shared = paid()
    print(f"\na request pays {marks:.2f} us for marks, {shared:.2f} us for a limit over all (aim {PAID_US})")
    judge(marks + shared <= PAID_US, f"a request pays {marks + shared:.2f} us")
    size = 2000 if args.quick else 20_000
    off, on, held = memory(size)
    print(
        f"memory of a daemon: {off:.1f} MB off, {on:.1f} on and empty, {held:.1f} with {size} marks",
        flush=True,
    )
    schedules = args.schedules if args.schedules is not None else 100 if args.quick else 1000
    with ProcessPoolExecutor() as pool:
        jobs = range(args.first, args.first + schedules)
        found = [(seed, why) for seed, why in pool.map(storm, jobs, chunksize=4) if why]
    print(f"{schedules} schedules by chance from {args.first}: {len(found)} with a breach")
    broken += [f"seed {seed}: {why[0]}" for seed, why in found[:10]]
    for what in broken:
        print(f"broken: {what}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
