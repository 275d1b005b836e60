"""Dispatcher components: hashing, prefix cache, latency estimates, limits, ejection, silence, streams."""

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
from barleybarrow.routing.outliers import BASE_EJECTION_MS, MAX_EJECTION_MS, ServerHealth
from barleybarrow.routing.prefix_cache import PrefixCache
from barleybarrow.routing.profiles import RouteProfile, servers_for_streams
from barleybarrow.routing.rendezvous import HashRing, stable_hash, weight
from barleybarrow.routing.speed import PrefillModel, ServerOverhead
from barleybarrow.routing.thresholds import AdaptiveConcurrencyLimit

SHORT_STREAM_ROUTE = Route("v", "h", "/v/", "streaming", 2_000.0, 200.0, 1, "llm", gap_aim_ms=200.0)
RESUMABLE_ROUTE = Route(
    "c", "h", "/c/", "streaming", 15_000.0, 150.0, 0, "llm", [], 2, False, True, True, 200.0
)
SAFE_ROUTE = Route("l", "h", "/l/", "safe", 1_000.0, 100.0, 2, "app", max_attempts=2)
UNSAFE_ROUTE = Route("o", "h", "/o/", "unsafe", 1_000.0, 100.0, 2, "app")


class RendezvousTests(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = {name: stable_hash(name) for name in "abcdefgh"}
        self.keys = [stable_hash(f"key{number}") for number in range(4_000)]

    def first_ranked(self, key: int, servers: dict[str, int]) -> str:
        return max(servers, key=lambda name: weight(key, servers[name]))

    def test_keys_spread_evenly_over_servers(self) -> None:
        counts = Counter(self.first_ranked(key, self.servers) for key in self.keys)
        self.assertEqual(len(counts), 8)
        self.assertLess(max(counts.values()), 1.3 * min(counts.values()))

    def test_lost_server_moves_only_its_own_keys_to_all_others(self) -> None:
        remaining = {name: value for name, value in self.servers.items() if name != "c"}
        moved = Counter(
            self.first_ranked(key, remaining)
            for key in self.keys
            if self.first_ranked(key, self.servers) == "c"
        )
        for key in self.keys:
            before = self.first_ranked(key, self.servers)
            if before != "c":
                self.assertEqual(self.first_ranked(key, remaining), before)
        self.assertEqual(len(moved), 7)

    def test_ring_successors_are_distinct_and_unaffected_by_another_server(self) -> None:
        names = [f"s{number}" for number in range(100)]
        full_ring, reduced_ring = HashRing(names), HashRing(names[1:])
        unaffected = 0
        for key in self.keys[:500]:
            found = full_ring.successors(key, 3)
            self.assertEqual(len(set(found)), 3)
            unaffected += "s0" in found or found == reduced_ring.successors(key, 3)
        self.assertEqual(unaffected, 500)


class PrefixCacheTests(unittest.TestCase):
    def test_least_recently_sent_segments_are_evicted(self) -> None:
        cache = PrefixCache(1_000)
        for name in "abc":
            cache.insert(((name, 400),))
        self.assertEqual(["a" in cache, "b" in cache, "c" in cache], [False, True, True])
        self.assertEqual(cache.tokens, 800)

    def test_segment_sent_again_is_not_evicted(self) -> None:
        cache = PrefixCache(1_000)
        for name in "abac":
            cache.insert(((name, 400),))
        self.assertEqual(["a" in cache, "b" in cache], [True, False])

    def test_cached_prefix_ends_at_the_first_missing_segment(self) -> None:
        cache = PrefixCache(1_000)
        cache.insert((("a", 100), ("b", 100)))
        self.assertEqual(cache.cached_tokens((("a", 100), ("x", 100), ("b", 100))), 100)

    def test_anonymous_tokens_evict_segments(self) -> None:
        cache = PrefixCache(1_000)
        cache.insert((("a", 400),))
        cache.insert_anonymous(700)
        self.assertNotIn("a", cache)


class LatencyEstimateTests(unittest.TestCase):
    def test_prefill_time_per_token_is_separated_from_fixed_overhead(self) -> None:
        prefill, rng = PrefillModel(), random.Random(1)
        for _ in range(400):
            tokens = rng.randrange(500, 12_000)
            prefill.observe(tokens, 15.0 + tokens / 300 + rng.expovariate(1 / 10))
        self.assertAlmostEqual(prefill.ms_per_token, 1 / 300, delta=0.001)

    def test_slow_server_is_detected_and_its_estimate_decays(self) -> None:
        overhead = ServerOverhead(10.0, 0.0)
        for turn in range(20):
            overhead.observe(turn * 100.0, 200.0, 10.0)
        self.assertGreater(overhead.above_mean_ms(2_000.0, 10.0), 100.0)
        self.assertLess(overhead.above_mean_ms(40_000.0, 10.0), 1.0)

    def test_variance_of_a_normal_server_is_not_taken_for_slowness(self) -> None:
        overhead, rng = ServerOverhead(10.0, 0.0), random.Random(3)
        above_mean = []
        for turn in range(400):
            overhead.observe(turn * 100.0, rng.expovariate(1 / 10), 10.0)
            above_mean.append(overhead.above_mean_ms(turn * 100.0, 10.0))
        self.assertLess(sum(above_mean) / len(above_mean), 2.0)


class ConcurrencyLimitTests(unittest.TestCase):
    def test_limit_grows_on_fast_responses_and_decreases_once_on_late_ones(self) -> None:
        concurrency = AdaptiveConcurrencyLimit(2.0, 12.0)
        for turn in range(50):
            concurrency.observe(float(turn), float(turn), int(concurrency.limit), 20.0, 20.0, 200.0)
        grown = concurrency.limit
        self.assertGreater(grown, 4.0)
        concurrency.observe(100.0, 90.0, 5, 190.0, 20.0, 200.0)
        concurrency.observe(101.0, 91.0, 5, 190.0, 20.0, 200.0)
        self.assertAlmostEqual(concurrency.limit, 0.75 * grown)

    def test_limit_stays_within_its_bounds(self) -> None:
        concurrency = AdaptiveConcurrencyLimit(0.1, 3.0)
        self.assertEqual(concurrency.limit, 1.0)
        for turn in range(100):
            concurrency.observe(float(turn), float(turn), 9, 20.0, 20.0, 200.0)
        self.assertEqual(concurrency.limit, 3.0)


class ServerHealthTests(unittest.TestCase):
    def test_ejection_time_grows_to_its_maximum_and_resets(self) -> None:
        health, now, ejections_ms = ServerHealth(), 0.0, []
        for _ in range(8):
            health.eject(now)
            ejections_ms.append(health.ejected_until - now)
            now = health.ejected_until + 1.0
        self.assertEqual(ejections_ms[0], BASE_EJECTION_MS)
        self.assertEqual(ejections_ms[-1], MAX_EJECTION_MS)
        health.record_response(now, failed=False)
        health.record_response(now + 60_000.0, failed=False)
        health.eject(now + 60_001.0)
        self.assertEqual(health.ejected_until, now + 60_001.0 + BASE_EJECTION_MS)

    def test_repeatable_requests_are_the_first_trial(self) -> None:
        health = ServerHealth()
        health.eject(0.0)
        at = health.ejected_until
        self.assertFalse(health.allows_trial(at - 1, repeatable=True))
        self.assertTrue(health.allows_trial(at, repeatable=True))
        self.assertFalse(health.allows_trial(at, repeatable=False))
        self.assertTrue(health.allows_trial(at + BASE_EJECTION_MS, repeatable=False))


class RouteProfileTests(unittest.TestCase):
    def test_long_streams_are_distinguished_from_long_prompts(self) -> None:
        long_streams, short_streams = RouteProfile(), RouteProfile()
        for _ in range(8):
            long_streams.prefill_ms.observe(1.0)
            long_streams.stream_ms.observe(2_000.0)
            short_streams.prefill_ms.observe(25.0)
            short_streams.stream_ms.observe(40.0)
        self.assertTrue(long_streams.is_streaming)
        self.assertFalse(short_streams.is_streaming)

    def test_number_of_servers_reserved_for_streams(self) -> None:
        self.assertEqual(
            [servers_for_streams(n, 12, 9) for n in (0.0, 3.0, 9.0, 10.0, 500.0)], [0, 1, 1, 2, 4]
        )
        self.assertEqual(servers_for_streams(5.0, 12, 1), 0)


class FailureDetectionTests(unittest.TestCase):
    def setUp(self) -> None:
        self.dispatcher = Dispatcher(DispatchSettings("z", 3), random.Random(4), 0.0, lambda _: True)
        services = {"llm": Service("llm", engine=Engine(12, 100_000, stride=40)), "app": Service("app")}
        self.dispatcher.configure(0.0, services, [])
        for service in services:
            self.dispatcher.update_servers(0.0, service, [ServerInfo(name, name, "z", 6) for name in "abcd"])
        self.next_id = 0

    def send(self, now: float, route: Route, deadline_ms: float | None = None) -> Send:
        self.next_id += 1
        segments = (("f0", 100), ("5a", 100), (f"{self.next_id:x}", 100)) if route.service == "llm" else ()
        deadline_at = now + (deadline_ms or route.timeout_ms)
        request = DispatchRequest(
            self.next_id, route, route.service, "t", route.priority, now, deadline_at, 300, 80, segments, "m"
        )
        action = self.dispatcher.request_arrived(now, request)[0]
        assert isinstance(action, Send)
        return action

    def test_silent_resumable_stream_moves_within_two_seconds(self) -> None:
        send = self.send(0.0, RESUMABLE_ROUTE)
        wakeup_at = self.dispatcher.next_wakeup()
        self.assertLessEqual(wakeup_at, 2_000.0)
        moved = self.dispatcher.tick(wakeup_at)[0]
        assert isinstance(moved, Send)
        self.assertNotEqual(moved.server_id, send.server_id)

    def test_stream_that_stalls_midway_moves_to_another_server(self) -> None:
        send = self.send(0.0, RESUMABLE_ROUTE)
        self.dispatcher.first_event(20.0, send.request_id, send.server_id)
        for now in range(50, 1_000, 50):
            self.dispatcher.event(float(now), send.request_id, send.server_id, 40)
            self.assertEqual(self.dispatcher.tick(float(now)), [])
        moved = self.dispatcher.tick(950.0 + 2_000.0)
        self.assertIsInstance(moved[0], Send)

    def test_silent_unsafe_request_is_not_moved_but_its_server_is_ejected(self) -> None:
        send = self.send(0.0, SHORT_STREAM_ROUTE)
        self.assertEqual(self.dispatcher.tick(self.dispatcher.next_wakeup()), [])
        self.assertNotEqual(self.send(400.0, SHORT_STREAM_ROUTE).server_id, send.server_id)

    def test_silent_safe_request_moves_within_its_attempts(self) -> None:
        self.send(0.0, SAFE_ROUTE)
        moved = self.dispatcher.tick(self.dispatcher.next_wakeup())
        self.assertIsInstance(moved[0], Send)
        self.assertEqual(self.dispatcher.tick(self.dispatcher.next_wakeup()), [])

    def test_error_status_is_retried_for_safe_requests_only(self) -> None:
        safe, unsafe = self.send(0.0, SAFE_ROUTE), self.send(0.0, UNSAFE_ROUTE)
        retried = self.dispatcher.finished(5.0, safe.request_id, safe.server_id, Outcome.ERROR_STATUS)
        self.assertIsInstance(retried[0], Send)
        forwarded = self.dispatcher.finished(5.0, unsafe.request_id, unsafe.server_id, Outcome.ERROR_STATUS)
        self.assertEqual(forwarded, [])

    def test_at_most_half_of_the_servers_are_ejected(self) -> None:
        for number in range(40):
            send = self.send(float(number), UNSAFE_ROUTE)
            self.dispatcher.finished(float(number), send.request_id, send.server_id, Outcome.BROKEN)
        ejected = [s.health.ejected_until > 40.0 for s in self.dispatcher.pools["app"].ready]
        self.assertLessEqual(sum(ejected), 2)

    def test_backlog_estimate_alone_does_not_refuse_a_request(self) -> None:
        for name in "abcd":
            self.dispatcher.pools["llm"].servers[name].prefill_until = 60_000.0
        self.send(0.0, SHORT_STREAM_ROUTE)

    def test_first_events_bound_an_overestimated_backlog(self) -> None:
        server = self.dispatcher.pools["llm"].servers["a"]
        for turn in range(100):
            now = turn * 20.0
            server.add_prefill(now, 100.0)  # five times the real duration
            server.complete_prefill(now + 15.0, server.uncorrected_prefill_until)
            self.assertLessEqual(server.backlog_ms(now + 15.0), 100.0)

    def test_backlog_correction_is_applied_once(self) -> None:
        server = self.dispatcher.pools["llm"].servers["a"]
        server.add_prefill(0.0, 100.0)
        first = server.uncorrected_prefill_until
        server.add_prefill(0.0, 100.0)
        second = server.uncorrected_prefill_until
        server.complete_prefill(40.0, first)
        self.assertEqual(server.prefill_until, 140.0)
        server.complete_prefill(140.0, second)
        self.assertEqual(server.prefill_until, 140.0)

    def test_request_that_cannot_meet_its_deadline_is_refused(self) -> None:
        self.dispatcher.pools["llm"].first_event_ms.observe(1_500.0)
        for name in "abcd":
            self.dispatcher.pools["llm"].servers[name].prefill_until = 60_000.0
        self.next_id += 1
        request = DispatchRequest(99, SHORT_STREAM_ROUTE, "llm", "t", 1, 0.0, 2_000.0, 300, 80, (), "m")
        action = self.dispatcher.request_arrived(0.0, request)[0]
        assert isinstance(action, Refuse)
        self.assertEqual(action.reason, "overloaded")

    def test_retry_after_is_at_most_a_third_of_the_remaining_time(self) -> None:
        request = DispatchRequest(1, SHORT_STREAM_ROUTE, "llm", "t", 1, 0.0, 90.0)
        for seed in range(50):
            self.assertLessEqual(refuse(0.0, request, "x", random.Random(seed)).retry_after_ms, 30.0)

    def test_large_fleet_keeps_a_shared_segment_on_its_preferred_servers(self) -> None:
        names = [f"s{number}" for number in range(200)]
        self.dispatcher.update_servers(0.0, "llm", [ServerInfo(name, name, "z", 12) for name in names])
        sent = set()
        for turn in range(8):
            send = self.send(turn * 1_000.0, SHORT_STREAM_ROUTE)
            self.dispatcher.first_event(turn * 1_000.0 + 20.0, send.request_id, send.server_id)
            self.dispatcher.finished(turn * 1_000.0 + 40.0, send.request_id, send.server_id, Outcome.SERVED)
            sent.add(send.server_id)
        self.assertLessEqual(len(sent), 3)


if __name__ == "__main__":
    unittest.main()
