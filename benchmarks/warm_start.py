"""What a proxy that starts gains from knowledge, and what wrong knowledge costs it: in the testbed, by seed.

    python benchmarks/warm_start.py [--quick] [--seeds A..B] [--cores N]

Six proxies before 24 servers, three of which take eight times as long. One proxy is started anew, with
knowledge from nowhere, from three peers, from its own snapshot; with knowledge that is wrong, that is old and
wrong, from a liar alone, from a liar among five peers. Each seed plays the same arrivals in every case. Exit
1 where the oracle found a breach, or a fifth of goodput was lost to what is wrong.
"""

import argparse
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path
from statistics import fmean
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # run as a file, from anywhere

from barleybarrow import interface as face
from barleybarrow.knowledge import Evidence
from brackenusher.core.transaction import Observers, Served
from brackenusher.membership.frames import decode, encode
from brackenusher.membership.keeper import Keeper
from testbed.experiments import difference, seeds
from testbed.proxy import Proxy
from testbed.scenario import Class, Fault, Kind, Load, Scenario
from testbed.world import World

PROXIES, SERVERS = 6, 24
SLOW, ACCUSED = (3, 10, 17), (5, 12, 19)  # by number: slow indeed, and slow by rumour alone
TIMES = 8.0  # as long as the others
LOAD = 0.4  # of capacity, in bursts: the slow ones are not needed
START, DOWN = 12_000.0, 1_000.0  # milliseconds: when the proxy is back, after so long
FIRST = 300  # requests that are looked at
TIE = 1.2  # a peer factor within the module's tie lowers nobody any more
STEP = 250.0  # milliseconds between two looks at the peer factors
OLD = 120_000.0  # milliseconds of age of what is old and wrong
CASES = ("nowhere", "peer", "snapshot", "wrong", "old and wrong", "liar alone", "liar among five")
WRONG = CASES[3:]


@dataclass
class Outcome:
    """What came of one run."""

    case: str
    seed: int
    slow: float  # share of the first attempts that went to slow servers
    goodput: float  # share of the first second's requests answered within their aim
    later: float  # the same of seconds two to five
    overruled: int | None  # requests until the peer factors of all accused are within a tie; None: never
    breaches: int


def scene() -> Scenario:
    return Scenario(
        name="warm_start",
        seconds=START / 1000.0 + 20.0,
        proxies=PROXIES,
        servers=SERVERS,
        kinds=[Kind(name="usual", cores=2, speed_cv=0.1)],
        classes=[
            Class(name="read", share=0.6, work_ms=60.0, aim=580.0, deadline=1400.0),
            Class(name="submit", share=0.4, work_ms=80.0, aim=750.0, deadline=1900.0, worth=4.0),
        ],
        load=Load(of_capacity=LOAD),
        faults=[
            Fault(kind="slow", servers=list(SLOW), at=0.0, lasts=1e6, size=TIMES),
            Fault(kind="proxy_restart", proxies=[0], at=START - DOWN, lasts=DOWN, size=0.0),
        ],
    )


class Watch:
    """Looks on at the proxy that has started."""

    def __init__(self, proxy: Proxy, keeper: Keeper) -> None:
        self.proxy, self.keeper, self.began = proxy, keeper, proxy.now
        self.first: dict[int, float] = {}  # requests of the first seconds, with when they came
        self.arrived, self.sent, self.slow = 0, 0, 0
        self.asked, self.good = [0, 0], [0, 0]  # in the first second, in the four after it
        proxy.transactions.observers = Observers(
            on_event=(proxy.note, keeper.on_event, self.on_event), on_answer=(self.on_answer,)
        )

    def on_event(self, now: float, event: Any, actions: Sequence[Any]) -> None:
        if isinstance(event, face.Arrived):
            self.arrived += 1
            if now - self.began < 5000.0:
                self.asked[now - self.began >= 1000.0] += 1
        for action in actions:
            if isinstance(action, face.Send) and action.request <= FIRST:
                self.sent += 1
                self.slow += action.backend in SLOW_NAMES

    def on_answer(self, transaction: Any, answer: Any) -> None:
        span, since = self.proxy.now - transaction.arrived, transaction.arrived - self.began
        aim = self.proxy.settings.classes[transaction.class_index].aim
        if isinstance(answer, Served) and span <= aim and since < 5000.0:
            self.good[since >= 1000.0] += 1


def name(server: int) -> str:
    return f"s{server:05d}"


SLOW_NAMES = {name(i) for i in SLOW}


def keep(world: World, proxy: Proxy) -> Keeper:
    epoch = int(world.now / 1000.0) + proxy.life
    return Keeper(f"p{proxy.number}", epoch, proxy.transactions, proxy.pool)


def swapped(e: Evidence) -> Evidence:
    """The word on the slow servers and on the accused ones, changed over."""
    pairs = list(zip(map(name, SLOW), map(name, ACCUSED), strict=True))
    other = dict(pairs) | {b: a for a, b in pairs}
    return replace(e, backend=other.get(e.backend, e.backend), weight=1.0)


def lied(e: Evidence) -> Evidence:
    """A confused proxy: half of all servers slow, the slow ones fast, and all of it for certain."""
    slower = -2.0 if e.backend in SLOW_NAMES else 2.0 if int(e.backend[1:]) % 2 else 0.0
    return replace(e, slower=slower, weight=1.0)


def learn(
    case: str, fresh: Keeper, told: dict[int, list[Evidence]], saved: list[Evidence], now: float
) -> None:
    """Take up what the case has; evidence counts its ages from `now`."""
    found: list[Evidence] = []
    if case == "snapshot":
        found = saved
    elif case == "peer":
        found = [e for i in (1, 2, 3) for e in told[i]]
    elif case in ("wrong", "old and wrong"):
        found = [swapped(e) for i in (1, 2, 3) for e in told[i]]
        if case != "wrong":
            found = [replace(e, at=e.at - OLD) for e in found]
    elif case == "liar alone":
        found = [lied(e) for e in told[1]]
    elif case == "liar among five":
        found = [lied(e) if i == 1 else e for i in range(1, 6) for e in told[i]]
    fresh.take(now, [encode(e, now) for e in found])
    while fresh.advise(now):
        pass


def play(case: str, seed: int) -> Outcome:
    world = World(scene(), seed)
    keepers = [keep(world, proxy) for proxy in world.proxies]
    for proxy, keeper in zip(world.proxies, keepers, strict=True):
        proxy.transactions.observers = Observers(on_event=(proxy.note, keeper.on_event))
    saved: list[bytes] = []
    for second in range(1, int(START / 1000.0) + 1):
        world.run(second * 1000.0 - 1.0)
        for proxy, keeper in zip(world.proxies, keepers, strict=True):
            if proxy.alive and second * 1000.0 < START:
                proxy.enter()
                keeper.gather(proxy.now)
                if proxy.number == 0:
                    saved = keeper.dump(proxy.now)
    world.run(START + 0.01)
    proxy = world.proxies[0]
    proxy.enter()
    fresh, now = keep(world, proxy), proxy.now
    watch = Watch(proxy, fresh)
    told = {
        i: [decode(r, now) for r in keepers[i].dump(world.proxies[i].local(world.now))]
        for i in range(1, PROXIES)
    }
    learn(case, fresh, told, [decode(r, now - DOWN - 1000.0) for r in saved], now)
    proxy.rest()
    backends: dict[str, Any] = proxy.balancer.backends  # type: ignore[attr-defined]  # the module's
    accused = [backends[name(i)] for i in ACCUSED]
    overruled, until = None, START
    while until < START + 18_000.0 and not (overruled is not None and watch.arrived > 2 * FIRST):
        if overruled is None and max(b.peer_factor for b in accused) <= TIE:
            overruled = watch.arrived
        until += STEP
        world.run(until)
    return Outcome(
        case=case,
        seed=seed,
        slow=watch.slow / max(watch.sent, 1),
        goodput=watch.good[0] / max(watch.asked[0], 1),
        later=watch.good[1] / max(watch.asked[1], 1),
        overruled=overruled,
        breaches=len(world.oracle.breaches),
    )


def main(argv: Sequence[str] | None = None) -> int:
    top = argparse.ArgumentParser(description="What a proxy that starts gains from knowledge.")
    top.add_argument("--quick", action="store_true", help="three seeds, within a minute")
    top.add_argument("--seeds", help="A..B or A,B,C (1..20; quick: 1..3)")
    top.add_argument("--cores", type=int, default=None)
    args = top.parse_args(argv)
    wanted = list(seeds(args.seeds or ("1..3" if args.quick else "1..20")))
    jobs = [(case, seed) for seed in wanted for case in CASES]
    with ProcessPoolExecutor(args.cores) as pool:
        outcomes = list(pool.map(play, *zip(*jobs, strict=True)))
    base = {o.seed: o for o in outcomes if o.case == "nowhere"}
    print(f"{len(wanted)} seeds; in brackets the paired difference to `nowhere` with its 95% interval")
    print("| knowledge | first 300 to slow ones | goodput, first second | seconds 2 to 5 | overruled after |")
    print("|" + " --- |" * 5)
    for case in CASES:
        of = [o for o in outcomes if o.case == case]
        cells = [case]
        for figure in ("slow", "goodput", "later"):
            values = [getattr(o, figure) for o in of]
            text = f"{fmean(values):.3f}"
            if case != "nowhere":
                d = difference([getattr(base[o.seed], figure) for o in of], values)
                text += f" ({d.mean:+.3f} +-{d.half:.3f})"
            cells.append(text)
        known = [o.overruled for o in of if o.overruled is not None and case in WRONG]
        cells.append(f"{fmean(known):.0f}, {max(known)} at most" if known else "-")
        print(f"| {' | '.join(cells)} |")
    never = sum(o.overruled is None for o in outcomes if o.case in WRONG)
    breaches = sum(o.breaches for o in outcomes)
    print(f"\nbreaches found by the oracle: {breaches}; never overruled within 18 s: {never}")
    lost = any(base[o.seed].later - o.later > 0.2 for o in outcomes if o.case in WRONG)
    return 1 if breaches or lost else 0


if __name__ == "__main__":
    sys.exit(main())
