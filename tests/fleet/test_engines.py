"""The emulated engines and the emulated fleet: figures, order, memory, faults, and that a seed tells all."""

import tomllib
import unittest
from copy import deepcopy
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from testbed.engines.clock import Clock
from testbed.engines.engine import QUEUE_FULL, TOO_LARGE, Engine, EngineFigures, Job
from testbed.engines.fleet import Fleet
from testbed.engines.memory import KvMemory
from testbed.engines.plain import PlainFigures, PlainJob, PlainServer
from testbed.engines.policies import POLICIES
from testbed.engines.scenario import Fault, Scenario, example, from_document, from_site
from testbed.engines.variants import drawn

FIGURES = EngineFigures(
    batch=2,
    queue=1,
    step_ms=1.0,
    step_ms_per_slot=0.0,
    context_ms_per_k=0.0,
    prefill_tokens_per_ms=100.0,
    pairs_ms_per_m=0.0,
    first_ms=5.0,
    stride=10,
    chunk=1_000,
    kv_tokens=10_000,
    report_lag_ms=50.0,
)


class EngineCase(unittest.TestCase):
    """One engine, and the times at which events of its jobs came."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.engine = Engine(self.clock, FIGURES)
        self.events: dict[str, list[tuple[float, int, bool]]] = {}

    def job(
        self, name: str, prompt: int = 1_000, output: int = 1, priority: int = 5, shared: str = ""
    ) -> Job:
        own = self.events.setdefault(name, [])
        parts = ((shared, 500), (name, prompt - 500)) if shared else ((name, prompt),)
        return Job(parts, output, priority, lambda n, last: own.append((round(self.clock.now, 6), n, last)))


class EngineTests(EngineCase):
    def test_the_first_token_comes_after_the_prompt_is_read(self) -> None:
        self.engine.submit(self.job("a", prompt=2_000))
        self.clock.run_until(1_000.0)
        # Two chunks of 10 ms and a step of 1 ms each, then the delay of a first token.
        self.assertEqual(self.events["a"], [(27.0, 1, True)])

    def test_an_event_holds_a_stride_of_tokens(self) -> None:
        self.engine.submit(self.job("a", output=21))
        self.clock.run_until(1_000.0)
        self.assertEqual(self.events["a"], [(16.0, 1, False), (26.0, 11, False), (36.0, 21, True)])

    def test_reading_slows_the_streams_beside_it(self) -> None:
        self.engine.submit(self.job("a", output=11))
        self.clock.run_until(12.0)
        self.engine.submit(self.job("b", prompt=3_000))
        self.clock.run_until(1_000.0)
        # Of ten steps three read a chunk and take 11 ms each.
        self.assertEqual(self.events["a"][-1], (56.0, 11, True))

    def test_a_kept_part_is_not_read_again(self) -> None:
        self.engine.submit(self.job("a", shared="s"))
        self.clock.run_until(100.0)
        self.engine.submit(self.job("b", shared="s"))
        self.clock.run_until(200.0)
        self.assertEqual(self.events["b"], [(111.0, 1, True)])
        self.assertEqual(self.engine.counters.tokens_kept, 500)

    def test_a_full_queue_and_a_request_beyond_its_memory_are_turned_away(self) -> None:
        self.assertEqual(self.engine.submit(self.job("big", prompt=10_001)), TOO_LARGE)
        self.assertEqual(
            [self.engine.submit(self.job(name)) for name in "abcd"], [None, None, None, QUEUE_FULL]
        )

    def test_the_more_urgent_is_admitted_first(self) -> None:
        engine = Engine(self.clock, replace(FIGURES, queue=9))
        for name, priority in (("a", 5), ("b", 5), ("late", 9), ("urgent", 0)):
            engine.submit(self.job(name, priority=priority))
        self.clock.run_until(1_000.0)
        self.assertLess(self.events["urgent"][0][0], self.events["late"][0][0])

    def test_the_newest_of_the_least_urgent_is_preempted_and_goes_on(self) -> None:
        engine = Engine(self.clock, replace(FIGURES, kv_tokens=2_040))
        engine.submit(self.job("a", output=31, priority=0))
        engine.submit(self.job("b", output=31, priority=5))
        self.clock.run_until(2_000.0)
        self.assertGreater(engine.counters.preemptions, 0)
        self.assertEqual([event[1] for event in self.events["b"]], [1, 11, 21, 31])
        self.assertLess(self.events["a"][-1][0], self.events["b"][-1][0])

    def test_a_cancelled_request_makes_room(self) -> None:
        first = self.job("a", output=500)
        self.engine.submit(first)
        self.engine.submit(self.job("b", output=500))
        self.engine.submit(self.job("c"))
        self.clock.run_until(50.0)
        self.assertEqual(self.events["c"], [])
        self.engine.cancel(first)
        self.clock.run_until(100.0)
        self.assertEqual(len(self.events["c"]), 1)

    def test_a_crashed_engine_says_nothing(self) -> None:
        self.engine.submit(self.job("a"))
        self.engine.crash()
        self.clock.run_until(1_000.0)
        self.assertEqual(self.events["a"], [])

    def test_a_report_is_late(self) -> None:
        self.clock.run_until(100.0)
        self.engine.submit(self.job("a", output=500))
        self.clock.run_until(120.0)
        self.assertEqual(self.engine.report().running, 0)
        self.clock.run_until(151.0)
        self.assertEqual(self.engine.report().running, 1)


class MemoryTests(unittest.TestCase):
    def test_the_parts_unused_longest_give_way_but_never_those_in_use(self) -> None:
        memory = KvMemory(1_000)
        memory.pin((("a", 400),))
        memory.pin((("b", 400),))
        memory.unpin((("b", 400),))
        memory.pin((("c", 400),))
        self.assertTrue(memory.make_room())
        self.assertEqual([memory.kept_tokens(((name, 400),)) for name in "abc"], [400, 0, 400])
        memory.pin((("d", 400),))
        self.assertFalse(memory.make_room())

    def test_a_part_counts_only_after_all_before_it(self) -> None:
        memory = KvMemory(1_000)
        memory.pin((("b", 100),))
        self.assertEqual(memory.kept_tokens((("a", 100), ("b", 100))), 0)


class PlainServerTests(unittest.TestCase):
    def test_slots_then_queue_then_rejection(self) -> None:
        clock, done = Clock(), list[float]()
        server = PlainServer(clock, PlainFigures(slots=1, queue=1))
        taken = [server.submit(PlainJob(10.0, lambda: done.append(clock.now))) for _ in range(3)]
        clock.run_until(100.0)
        self.assertEqual(taken, [True, True, False])
        self.assertEqual(done, [10.0, 20.0])


class FleetTests(unittest.TestCase):
    def scenario(self, *faults: Fault) -> Scenario:
        scenario = example()
        scenario.length_ms = 4_000.0
        scenario.faults = list(faults)
        return scenario

    def test_a_seed_tells_all(self) -> None:
        first, second = (Fleet(self.scenario(), POLICIES["shipped"], 3).play() for _ in range(2))
        self.assertEqual((first.share, first.counters), (second.share, second.counters))

    def test_a_calm_run_serves_nearly_all_in_time(self) -> None:
        scenario = self.scenario()
        scenario.news_ms = 10.0
        results = Fleet(scenario, POLICIES["shipped"], 1).play()
        self.assertGreater(results.share, 0.95)

    def test_without_announcements_less_is_in_time_but_nothing_is_lost(self) -> None:
        results = Fleet(self.scenario(), POLICIES["shipped"], 1).play()
        self.assertGreater(results.share, 0.9)
        self.assertEqual(sum(kind.owed for kind in results.kinds.values()), results.counters["served"])

    def test_all_requests_end_under_every_policy(self) -> None:
        for name, policy in POLICIES.items():
            fleet = Fleet(self.scenario(Fault("crash", 1_000.0, 1_000.0, 0.2, service="llm")), policy, 2)
            fleet.play()
            self.assertEqual([len(proxy.out) for proxy in fleet.proxies], [0] * len(fleet.proxies), name)
            in_flight = [
                server.in_flight
                for proxy in fleet.proxies
                for pool in proxy.dispatcher.pools.values()
                for server in pool.servers.values()
            ]
            self.assertEqual(set(in_flight), {0}, name)

    def test_a_crash_costs_little_of_the_worth(self) -> None:
        crash = Fault("crash", 1_000.0, 1_500.0, 0.2, service="llm")
        results = Fleet(self.scenario(crash), POLICIES["shipped"], 1).play()
        self.assertGreater(results.share, 0.85)

    def test_a_server_gone_dark_is_left_alone(self) -> None:
        dark = Fault("dark", 1_000.0, 3_000.0, 0.2, service="llm")
        results = Fleet(self.scenario(dark), POLICIES["shipped"], 1).play()
        self.assertGreater(results.share, 0.8)
        self.assertGreater(results.counters["ejected"], 0)


SITE = """
name = "small"
zones = [{ name = "a", region = "r" }]
machines = [{ class = "front", zone = "a", count = 2 }]
services = [{ name = "app", servers = [{ zone = "a", count = 3 }], slots = 4, queue = 8 }]
traffic = [{ zone = "a", mix = { lookup = 3.0, other = 1.0 }, per_s = 40.0, clients = 5 }]

[[classes]]
name = "lookup"
aim_ms = 100.0
deadline_ms = 900.0
worth = 1.0
late_worth = 0.1
priority = 0
service = "app"

[timing]
catch_up_s = 6.0

[net]
in_zone_ms = 0.2
cross_zone_ms = 0.9
client_ms = 1.0

[discovery]
beat_ms = 1200
"""


class SiteFileTests(unittest.TestCase):
    """Site files as the operators write them."""

    def read(self, text: str) -> Scenario:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "site.toml"
            path.write_text(text)
            return from_site(path)

    def test_a_site_that_prices_no_part_read_again_is_read(self) -> None:
        scenario = self.read(SITE)
        self.assertEqual(scenario.again_ms, 0.0)
        self.assertEqual([(kind.name, kind.per_s) for kind in scenario.kinds], [("lookup", 30.0)])

    def test_a_site_that_prices_them_tells_for_how_long(self) -> None:
        self.assertEqual(self.read(SITE.replace("[timing]", "[timing]\nagain_s = 5.7")).again_ms, 5_700.0)


class DrawnVariantTests(unittest.TestCase):
    """Deployments drawn by seed from a known one."""

    def site(self) -> dict[str, Any]:
        """A deployment of three zones, nine proxies and three servers in each."""
        site = tomllib.loads(SITE)
        zones = "abc"
        site["zones"] = [{"name": zone} for zone in zones]
        site["machines"] = [{"class": "front", "zone": zone, "count": 9} for zone in zones]
        site["services"][0]["servers"] = [{"zone": zone, "count": 3} for zone in zones]
        return site

    def test_a_seed_tells_all_and_the_known_one_stays_as_it_is(self) -> None:
        site = self.site()
        before = deepcopy(site)
        self.assertEqual(drawn(site, 3), drawn(site, 3))
        self.assertNotEqual(drawn(site, 3), drawn(site, 4))
        self.assertEqual(site, before)

    def test_zones_that_are_left_out_leave_nothing_behind_and_their_servers_stay(self) -> None:
        counts = set()
        for seed in range(20):
            variant = drawn(self.site(), seed)
            zones = {zone["name"] for zone in variant["zones"]}
            counts.add(len(zones))
            scenario = from_document(variant)
            self.assertLessEqual(set(scenario.proxies) | set(scenario.clients), zones)
            servers = scenario.services[0].servers
            self.assertLessEqual(set(servers), zones)
            self.assertLessEqual(abs(sum(servers.values()) - 9), len(zones))
        self.assertEqual(counts, {2, 3})


class NewsTests(unittest.TestCase):
    """Announcements between the proxies of the emulated fleet."""

    def test_news_takes_longer_to_other_zones_and_what_lasts_is_told_again(self) -> None:
        scenario = example(0.3)
        scenario.length_ms, scenario.news_ms, scenario.news_far_ms = 3_000.0, 14.0, 12.0
        heard: dict[str, list[float]] = {"near": [], "far": []}
        fleet = Fleet(scenario, POLICIES["shipped"], 1)
        teller = fleet.proxies[0]
        for proxy in fleet.proxies[1:]:
            distance = "near" if proxy.zone == teller.zone else "far"
            hear = proxy.dispatcher.receive_announcements

            def note(now: float, peer: str, news: Any, hear: Any = hear, distance: str = distance) -> None:
                if peer == "0" and news and news[0].prefill_tokens:
                    heard[distance].append(now)
                hear(now, peer, news)

            proxy.dispatcher.receive_announcements = note  # type: ignore[method-assign]
        fleet.play()
        self.assertTrue(heard["near"])
        self.assertAlmostEqual(heard["far"][0] - heard["near"][0], 12.0)
        proxies = fleet.proxies[1].dispatcher.announcement_queue.count_proxies(scenario.length_ms)
        self.assertEqual(proxies, len(fleet.proxies))


if __name__ == "__main__":
    unittest.main()
