"""The dispatcher's parts one by one: homes, kept prompts, speed, thresholds, ejection, silence, streams."""

import random
import unittest
from collections import Counter

from barleybarrow.documents import Engine, Route, Service
from barleybarrow.routing.actions import (
    DispatchRequest,
    DispatchSettings,
    Outcome,
    Refuse,
    Send,
    ServerInfo,
)
from barleybarrow.routing.admission import refuse
from barleybarrow.routing.dispatcher import Dispatcher
from barleybarrow.routing.outliers import FIRST_EJECTION_MS, LONGEST_EJECTION_MS, ServerHealth
from barleybarrow.routing.prefix_cache import PrefixCache
from barleybarrow.routing.profiles import RouteProfile, servers_for_streams
from barleybarrow.routing.rendezvous import HashRing, stable_hash, weight
from barleybarrow.routing.speed import ReadingTime, ServerSpeed
from barleybarrow.routing.thresholds import IdleThreshold

VERDICTS = Route("v", "h", "/v/", "streaming", 2_000.0, 200.0, 1, "llm", gap_aim_ms=200.0)
CHATS = Route("c", "h", "/c/", "streaming", 15_000.0, 150.0, 0, "llm", [], 2, False, True, True, 200.0)
LOOKUPS = Route("l", "h", "/l/", "safe", 1_000.0, 100.0, 2, "app", max_attempts=2)
ORDERS = Route("o", "h", "/o/", "unsafe", 1_000.0, 100.0, 2, "app")


class RendezvousTests(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = {name: stable_hash(name) for name in "abcdefgh"}
        self.keys = [stable_hash(f"key{number}") for number in range(4_000)]

    def home(self, key: int, servers: dict[str, int]) -> str:
        return max(servers, key=lambda name: weight(key, servers[name]))

    def test_keys_are_spread_evenly(self) -> None:
        counts = Counter(self.home(key, self.servers) for key in self.keys)
        self.assertEqual(len(counts), 8)
        self.assertLess(max(counts.values()), 1.3 * min(counts.values()))

    def test_a_lost_server_moves_only_its_own_keys_and_spreads_them(self) -> None:
        left = {name: value for name, value in self.servers.items() if name != "c"}
        moved = Counter(self.home(key, left) for key in self.keys if self.home(key, self.servers) == "c")
        for key in self.keys:
            before = self.home(key, self.servers)
            if before != "c":
                self.assertEqual(self.home(key, left), before)
        self.assertEqual(len(moved), 7)

    def test_neighbours_on_the_ring_are_distinct_and_stable(self) -> None:
        names = [f"s{number}" for number in range(100)]
        whole, without = HashRing(names), HashRing(names[1:])
        same = 0
        for key in self.keys[:500]:
            found = whole.neighbours(key, 3)
            self.assertEqual(len(set(found)), 3)
            same += "s0" in found or found == without.neighbours(key, 3)
        self.assertEqual(same, 500)


class PrefixCacheTests(unittest.TestCase):
    def test_the_parts_sent_longest_ago_are_thought_gone(self) -> None:
        cache = PrefixCache(1_000)
        for name in "abc":
            cache.sent(((name, 400),))
        self.assertEqual(["a" in cache, "b" in cache, "c" in cache], [False, True, True])
        self.assertEqual(cache.tokens, 800)

    def test_what_is_used_again_stays(self) -> None:
        cache = PrefixCache(1_000)
        for name in "abac":
            cache.sent(((name, 400),))
        self.assertEqual(["a" in cache, "b" in cache], [True, False])

    def test_a_chain_counts_up_to_its_first_gap(self) -> None:
        cache = PrefixCache(1_000)
        cache.sent((("a", 100), ("b", 100)))
        self.assertEqual(cache.kept_tokens((("a", 100), ("x", 100), ("b", 100))), 100)

    def test_fillers_push_parts_out(self) -> None:
        cache = PrefixCache(1_000)
        cache.sent((("a", 400),))
        cache.fill(700)
        self.assertNotIn("a", cache)


class SpeedTests(unittest.TestCase):
    def test_the_time_of_a_token_is_found_beside_a_fixed_delay(self) -> None:
        reading, rng = ReadingTime(), random.Random(1)
        for _ in range(400):
            tokens = rng.randrange(500, 12_000)
            reading.learn(tokens, 15.0 + tokens / 300 + rng.expovariate(1 / 10))
        self.assertAlmostEqual(reading.ms_per_token, 1 / 300, delta=0.001)

    def test_a_slow_server_shows_and_is_forgiven(self) -> None:
        speed = ServerSpeed(10.0, 0.0)
        for turn in range(20):
            speed.learn(turn * 100.0, 200.0, 10.0)
        self.assertGreater(speed.slower_ms(2_000.0, 10.0), 100.0)
        self.assertLess(speed.slower_ms(40_000.0, 10.0), 1.0)

    def test_the_spread_of_a_usual_server_is_not_taken_for_slowness(self) -> None:
        speed, rng = ServerSpeed(10.0, 0.0), random.Random(3)
        slower = []
        for turn in range(400):
            speed.learn(turn * 100.0, rng.expovariate(1 / 10), 10.0)
            slower.append(speed.slower_ms(turn * 100.0, 10.0))
        self.assertLess(sum(slower) / len(slower), 2.0)


class ThresholdTests(unittest.TestCase):
    def test_it_grows_near_the_best_and_is_cut_once_when_late(self) -> None:
        idle = IdleThreshold(2.0, 12.0)
        for turn in range(50):
            idle.learn(float(turn), float(turn), int(idle.limit), 20.0, 20.0, 200.0)
        grown = idle.limit
        self.assertGreater(grown, 4.0)
        idle.learn(100.0, 90.0, 5, 190.0, 20.0, 200.0)
        idle.learn(101.0, 91.0, 5, 190.0, 20.0, 200.0)
        self.assertAlmostEqual(idle.limit, 0.75 * grown)

    def test_it_stays_within_its_bounds(self) -> None:
        idle = IdleThreshold(0.1, 3.0)
        self.assertEqual(idle.limit, 1.0)
        for turn in range(100):
            idle.learn(float(turn), float(turn), 9, 20.0, 20.0, 200.0)
        self.assertEqual(idle.limit, 3.0)


class HealthTests(unittest.TestCase):
    def test_ejections_grow_up_to_a_longest_and_are_forgiven(self) -> None:
        health, now, spans = ServerHealth(), 0.0, []
        for _ in range(8):
            health.eject(now)
            spans.append(health.ejected_until - now)
            now = health.ejected_until + 1.0
        self.assertEqual(spans[0], FIRST_EJECTION_MS)
        self.assertEqual(spans[-1], LONGEST_EJECTION_MS)
        health.answered(now, failed=False)
        health.answered(now + 60_000.0, failed=False)
        health.eject(now + 60_001.0)
        self.assertEqual(health.ejected_until, now + 60_001.0 + FIRST_EJECTION_MS)

    def test_the_first_trial_is_for_what_may_be_repeated(self) -> None:
        health = ServerHealth()
        health.eject(0.0)
        at = health.ejected_until
        self.assertFalse(health.open_to_trial(at - 1, repeatable=True))
        self.assertTrue(health.open_to_trial(at, repeatable=True))
        self.assertFalse(health.open_to_trial(at, repeatable=False))
        self.assertTrue(health.open_to_trial(at + FIRST_EJECTION_MS, repeatable=False))


class ProfileTests(unittest.TestCase):
    def test_long_streams_are_told_from_long_prompts(self) -> None:
        chats, verdicts = RouteProfile(), RouteProfile()
        for _ in range(8):
            chats.reading.learn(1.0)
            chats.streaming.learn(2_000.0)
            verdicts.reading.learn(25.0)
            verdicts.streaming.learn(40.0)
        self.assertTrue(chats.is_streaming)
        self.assertFalse(verdicts.is_streaming)

    def test_servers_for_streams(self) -> None:
        self.assertEqual(
            [servers_for_streams(n, 12, 9) for n in (0.0, 3.0, 9.0, 10.0, 500.0)], [0, 1, 1, 2, 4]
        )
        self.assertEqual(servers_for_streams(5.0, 12, 1), 0)


class SilenceTests(unittest.TestCase):
    def setUp(self) -> None:
        self.dispatcher = Dispatcher(DispatchSettings("z", 3), random.Random(4), 0.0, lambda _: True)
        services = {"llm": Service("llm", engine=Engine(12, 100_000, stride=40)), "app": Service("app")}
        self.dispatcher.configure(0.0, services, [])
        for service in services:
            self.dispatcher.servers(0.0, service, [ServerInfo(name, name, "z", 6) for name in "abcd"])
        self.next_id = 0

    def send(self, now: float, route: Route, deadline_ms: float | None = None) -> Send:
        self.next_id += 1
        parts = (("f0", 100), ("5a", 100), (f"{self.next_id:x}", 100)) if route.service == "llm" else ()
        deadline_at = now + (deadline_ms or route.timeout_ms)
        request = DispatchRequest(
            self.next_id, route, route.service, "t", route.priority, now, deadline_at, 300, 80, parts, "m"
        )
        action = self.dispatcher.arrived(now, request)[0]
        assert isinstance(action, Send)
        return action

    def test_a_silent_resumable_stream_goes_on_elsewhere_in_time(self) -> None:
        send = self.send(0.0, CHATS)
        due = self.dispatcher.next_wakeup()
        self.assertLessEqual(due, 2_000.0)
        moved = self.dispatcher.tick(due)[0]
        assert isinstance(moved, Send)
        self.assertNotEqual(moved.server_id, send.server_id)

    def test_a_stream_that_falls_silent_midway_goes_on_elsewhere(self) -> None:
        send = self.send(0.0, CHATS)
        self.dispatcher.first_event(20.0, send.request_id, send.server_id)
        for now in range(50, 1_000, 50):
            self.dispatcher.event(float(now), send.request_id, send.server_id, 40)
            self.assertEqual(self.dispatcher.tick(float(now)), [])
        moved = self.dispatcher.tick(950.0 + 2_000.0)
        self.assertIsInstance(moved[0], Send)

    def test_an_unsafe_request_is_never_moved_and_its_server_is_left_alone(self) -> None:
        send = self.send(0.0, VERDICTS)
        self.assertEqual(self.dispatcher.tick(self.dispatcher.next_wakeup()), [])
        self.assertNotEqual(self.send(400.0, VERDICTS).server_id, send.server_id)

    def test_a_safe_request_moves_within_its_attempts(self) -> None:
        self.send(0.0, LOOKUPS)
        moved = self.dispatcher.tick(self.dispatcher.next_wakeup())
        self.assertIsInstance(moved[0], Send)
        self.assertEqual(self.dispatcher.tick(self.dispatcher.next_wakeup()), [])

    def test_an_error_of_a_safe_request_is_tried_elsewhere_and_of_an_unsafe_one_passed_on(self) -> None:
        safe, unsafe = self.send(0.0, LOOKUPS), self.send(0.0, ORDERS)
        again = self.dispatcher.finished(5.0, safe.request_id, safe.server_id, Outcome.ERROR_STATUS)
        self.assertIsInstance(again[0], Send)
        passed = self.dispatcher.finished(5.0, unsafe.request_id, unsafe.server_id, Outcome.ERROR_STATUS)
        self.assertEqual(passed, [])

    def test_never_more_than_half_are_left_alone(self) -> None:
        for number in range(40):
            send = self.send(float(number), ORDERS)
            self.dispatcher.finished(float(number), send.request_id, send.server_id, Outcome.BROKEN)
        ejected = [s.health.ejected_until > 40.0 for s in self.dispatcher.pools["app"].ready]
        self.assertLessEqual(sum(ejected), 2)

    def test_an_estimate_alone_refuses_nothing(self) -> None:
        for name in "abcd":
            self.dispatcher.pools["llm"].servers[name].reading_until = 60_000.0
        self.send(0.0, VERDICTS)

    def test_first_events_correct_an_estimate_that_runs_away(self) -> None:
        server = self.dispatcher.pools["llm"].servers["a"]
        for turn in range(100):
            now = turn * 20.0
            server.will_read(now, 100.0)  # thought five times as long as it takes
            server.has_read(now + 15.0, server.unshifted_until)
            self.assertLessEqual(server.backlog_ms(now + 15.0), 100.0)

    def test_a_correction_counts_once(self) -> None:
        server = self.dispatcher.pools["llm"].servers["a"]
        server.will_read(0.0, 100.0)
        first = server.unshifted_until
        server.will_read(0.0, 100.0)
        second = server.unshifted_until
        server.has_read(40.0, first)
        self.assertEqual(server.reading_until, 140.0)
        server.has_read(140.0, second)
        self.assertEqual(server.reading_until, 140.0)

    def test_what_cannot_be_served_in_its_time_is_refused_at_once(self) -> None:
        self.dispatcher.pools["llm"].first.learn(1_500.0)
        for name in "abcd":
            self.dispatcher.pools["llm"].servers[name].reading_until = 60_000.0
        self.next_id += 1
        request = DispatchRequest(99, VERDICTS, "llm", "t", 1, 0.0, 2_000.0, 300, 80, (), "m")
        action = self.dispatcher.arrived(0.0, request)[0]
        assert isinstance(action, Refuse)
        self.assertEqual(action.reason, "overloaded")

    def test_a_time_to_come_back_is_within_what_clients_honour(self) -> None:
        request = DispatchRequest(1, VERDICTS, "llm", "t", 1, 0.0, 90.0)
        for seed in range(50):
            self.assertLessEqual(refuse(0.0, request, "x", random.Random(seed)).retry_after_ms, 30.0)

    def test_a_large_fleet_agrees_on_the_homes_of_a_subject(self) -> None:
        names = [f"s{number}" for number in range(200)]
        self.dispatcher.servers(0.0, "llm", [ServerInfo(name, name, "z", 12) for name in names])
        sent = set()
        for turn in range(8):
            send = self.send(turn * 1_000.0, VERDICTS)
            self.dispatcher.first_event(turn * 1_000.0 + 20.0, send.request_id, send.server_id)
            self.dispatcher.finished(turn * 1_000.0 + 40.0, send.request_id, send.server_id, Outcome.SERVED)
            sent.add(send.server_id)
        self.assertLessEqual(len(sent), 3)


if __name__ == "__main__":
    unittest.main()
