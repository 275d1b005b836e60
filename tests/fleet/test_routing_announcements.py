"""Announcements between proxies: encoding, use by the dispatcher, and the announcer with fake sockets."""

import asyncio
import random
import unittest
from collections.abc import Callable

import msgspec

from barleybarrow.documents import Engine, Route, Service
from barleybarrow.routing.actions import DispatchRequest, DispatchSettings, Outcome, Send, ServerInfo
from barleybarrow.routing.announcement_relay import MAX_DIRECT_PROXIES, AnnouncementUpdate, ForwardingScope
from barleybarrow.routing.announcements import Announcement
from barleybarrow.routing.dispatcher import Dispatcher
from barleybarrow.routing.pool import MAX_TRACKED_SEGMENTS, PEER_STREAMS_TTL_MS
from brackenusher.data_plane.announcement_datagrams import MAX_DATAGRAM_BYTES, decode, encode
from brackenusher.data_plane.announcer import (
    ACKNOWLEDGE_INTERVAL_S,
    RELAY_BATCH_DELAY_S,
    RESTATE_INTERVAL_S,
    Announcer,
)

ROUTE = Route("r", "h", "/p/", "streaming", 2_000.0, 200.0, 1, "llm", gap_aim_ms=150.0)


def make_dispatcher(seed: int = 1, settings: DispatchSettings | None = None) -> Dispatcher:
    dispatcher = Dispatcher(settings or DispatchSettings("z", 3), random.Random(seed), 0.0)
    dispatcher.configure(0.0, {"llm": Service("llm", engine=Engine(12, 100_000, stride=40))}, [ROUTE])
    dispatcher.update_servers(0.0, "llm", [ServerInfo(name, name, "z", 12) for name in "abc"])
    return dispatcher


def request(number: int, shared_segment: str = "5a", now: float = 0.0) -> DispatchRequest:
    segments = (("f0", 2_000), (shared_segment, 3_000), (f"{number:x}", 1_000))
    return DispatchRequest(number, ROUTE, "llm", "t", 1, now, now + 2_000.0, 6_000, 80, segments, "m")


class EncodingTests(unittest.TestCase):
    def test_encoding_round_trip(self) -> None:
        updates = [
            AnnouncementUpdate(
                "10.0.0.1",
                1,
                [Announcement("llm", "a", "5a", 3_000, 4_000), Announcement("llm", "b", "", 0, 12)],
            ),
            AnnouncementUpdate("10.0.0.2", 2, []),
        ]
        for scope in ForwardingScope:
            self.assertEqual([decode(data) for data in encode(scope, updates)], [(scope, updates)])

    def test_updates_larger_than_a_packet_are_split(self) -> None:
        rows = [Announcement("llm", f"server-{number}", "5a" * 8, 3_000, number) for number in range(70)]
        updates = [AnnouncementUpdate("10.0.0.1", n, rows[n : n + 5]) for n in range(0, 60, 5)]
        updates.append(AnnouncementUpdate("10.0.0.2", 1, rows[60:]))
        packets = encode(ForwardingScope.GROUP, updates)
        self.assertGreater(len(packets), 2)
        self.assertLessEqual(max(map(len, packets)), MAX_DATAGRAM_BYTES)
        found: dict[str, list[Announcement]] = {}
        for data in packets:
            scope, decoded = decode(data)
            self.assertIs(scope, ForwardingScope.GROUP)
            for update in decoded:
                found.setdefault(update.origin, []).extend(update.announcements)
        self.assertEqual(found, {"10.0.0.1": rows[:60], "10.0.0.2": rows[60:]})

    def test_announcement_larger_than_a_packet_is_dropped(self) -> None:
        too_long = AnnouncementUpdate(
            "10.0.0.1", 1, [Announcement("llm", "x" * MAX_DATAGRAM_BYTES, "", 0, 1)]
        )
        short = AnnouncementUpdate("10.0.0.1", 2, [Announcement("llm", "a", "", 0, 1)])
        packets = encode(ForwardingScope.RECEIVER, [too_long, short])
        self.assertEqual([decode(data)[1] for data in packets], [[short]])

    def test_malformed_datagrams_raise_value_error(self) -> None:
        def packed(*fields: object, scope: object = 0) -> bytes:
            return msgspec.msgpack.encode([scope, [["10.0.0.1", 1, [list(fields)]]]])

        decode(packed("a", "b", "c", 1, 2, 0))
        rows = [b"", b"\xff", msgspec.msgpack.encode({}), msgspec.msgpack.encode([0, 1])]
        rows += [packed("a"), packed("a", "b", "c", 1.5, 2, 0), packed("a", "b", "c", 1, 2)]
        rows += [packed("a", "b", "c", -1, 2, 0), packed("a", "b", "c", 1, 2, -1)]
        rows += [packed("a", "b", "c", True, 2, 0), packed("a", "b", "c", 1, 2, 0, 0)]
        rows += [packed("a", "b", "c", 1, 2, 0, scope=value) for value in (-1, 3, "0", True)]
        for data in rows:
            self.assertRaises(ValueError, decode, data)


class DispatcherAnnouncementTests(unittest.TestCase):
    def test_each_send_is_announced_once(self) -> None:
        dispatcher = make_dispatcher()
        send = dispatcher.request_arrived(0.0, request(1))[0]
        assert isinstance(send, Send)
        announcements = dispatcher.take_announcements()
        self.assertEqual(
            [(item.server_id, item.shared_segment, item.shared_segment_tokens) for item in announcements],
            [(send.server_id, "5a", 3_000)],
        )
        self.assertEqual(dispatcher.take_announcements(), [])

    def test_prefill_announced_by_a_peer_counts_as_backlog(self) -> None:
        dispatcher = make_dispatcher()
        first = dispatcher.request_arrived(0.0, request(1))[0]
        assert isinstance(first, Send)
        dispatcher.request_cancelled(0.0, 1)
        dispatcher.receive_announcements(
            1_000.0, "p2", [Announcement("llm", first.server_id, "77", 9_000, 60_000)]
        )
        other = dispatcher.request_arrived(1_001.0, request(2, now=1_001.0))[0]
        assert isinstance(other, Send)
        self.assertNotEqual(other.server_id, first.server_id)

    def test_announcements_of_unknown_services_and_servers_are_ignored(self) -> None:
        dispatcher = make_dispatcher()
        dispatcher.receive_announcements(
            0.0, "p2", [Announcement("x", "a", "", 0, 1), Announcement("llm", "x", "", 0, 1)]
        )
        self.assertEqual(len(dispatcher.request_arrived(0.0, request(1))), 1)

    def test_proxies_without_announcements_are_no_longer_counted(self) -> None:
        dispatcher = make_dispatcher()
        dispatcher.receive_announcements(0.0, "p2", [])
        self.assertEqual(dispatcher.announcement_queue.count_proxies(1.0), 2)
        self.assertEqual(dispatcher.announcement_queue.count_proxies(60_000.0), 1)


class RecomputePenaltyTests(unittest.TestCase):
    """A shared segment whose server has a longer backlog than its prefill on another server would take."""

    def first_and_second_server(self, recompute_window_ms: float, now: float = 100.0) -> tuple[str, str]:
        """The servers of a first prompt with a shared segment and of a later one."""
        dispatcher = make_dispatcher(settings=DispatchSettings("z", 3, recompute_window_ms))
        first = dispatcher.request_arrived(0.0, request(1))[0]
        assert isinstance(first, Send)
        dispatcher.finished(30.0, 1, first.server_id, Outcome.SERVED)
        server = dispatcher.pools["llm"].servers[first.server_id]
        server.add_prefill(now, 40.0)
        second = dispatcher.request_arrived(now, request(2, now=now))[0]
        assert isinstance(second, Send)
        return first.server_id, second.server_id

    def test_request_waits_for_the_server_with_its_segment(self) -> None:
        first, second = self.first_and_second_server(recompute_window_ms=3_000.0)
        self.assertEqual(second, first)

    def test_request_without_recompute_penalty_goes_to_another_server(self) -> None:
        first, second = self.first_and_second_server(recompute_window_ms=0.0)
        self.assertNotEqual(second, first)

    def test_recompute_penalty_ends_after_its_window(self) -> None:
        first, second = self.first_and_second_server(recompute_window_ms=3_000.0, now=4_000.0)
        self.assertNotEqual(second, first)

    def test_segments_announced_by_peers_are_tracked(self) -> None:
        dispatcher = make_dispatcher()
        dispatcher.receive_announcements(0.0, "p2", [Announcement("llm", "b", "5a", 3_000, 4_000)])
        self.assertTrue(dispatcher.pools["llm"].was_segment_sent("5a", 0.0))
        self.assertFalse(dispatcher.pools["llm"].was_segment_sent("5b", 0.0))

    def test_number_of_tracked_segments_is_bounded(self) -> None:
        pool = make_dispatcher().pools["llm"]
        for number in range(MAX_TRACKED_SEGMENTS + 10):
            pool.record_segment(float(number), str(number))
        self.assertEqual(len(pool.segment_sent_at), MAX_TRACKED_SEGMENTS)
        self.assertFalse(pool.was_segment_sent("0", 0.0))


class PeerStreamTests(unittest.TestCase):
    """Long streams hold slots of a server for seconds; proxies announce how many they have there."""

    def setUp(self) -> None:
        self.dispatcher = make_dispatcher()
        self.pool = self.dispatcher.pools["llm"]

    def announce(self, now: float, peer: str, server: str, streams: int) -> None:
        self.dispatcher.receive_announcements(now, peer, [Announcement("llm", server, "", 0, 0, streams)])

    def make_streaming(self) -> None:
        profile = self.pool.profile(ROUTE.name)
        for _ in range(10):
            profile.stream_ms.observe(2_000.0)
            profile.prefill_ms.observe(1.0)

    def test_latest_announcement_of_each_peer_counts(self) -> None:
        self.announce(0.0, "p2", "a", 3)
        self.announce(1.0, "p3", "a", 4)
        self.announce(2.0, "p2", "a", 1)
        self.assertEqual(self.pool.servers["a"].peer_streams, 5)

    def test_outdated_stream_counts_are_dropped(self) -> None:
        self.announce(0.0, "p2", "a", 3)
        self.announce(PEER_STREAMS_TTL_MS, "p3", "a", 4)
        self.assertEqual(self.pool.servers["a"].peer_streams, 4)

    def test_start_and_end_of_a_stream_are_announced(self) -> None:
        self.make_streaming()
        send = self.dispatcher.request_arrived(0.0, request(1))[0]
        assert isinstance(send, Send)
        self.assertEqual([announcement.streams for announcement in self.dispatcher.take_announcements()], [1])
        self.dispatcher.finished(10.0, 1, send.server_id, Outcome.SERVED)
        announcements = self.dispatcher.take_announcements()
        self.assertEqual([(item.streams, item.prefill_tokens) for item in announcements], [(0, 0)])
        self.assertEqual(self.pool.servers[send.server_id].streams, 0)

    def test_stream_goes_to_the_server_with_the_fewest_streams(self) -> None:
        self.make_streaming()
        self.announce(0.0, "p2", "a", 9)
        self.announce(0.0, "p2", "b", 2)
        self.announce(0.0, "p2", "c", 7)
        for number in range(5):
            send = self.dispatcher.request_arrived(0.0, request(number, shared_segment=f"{number:x}"))[0]
            assert isinstance(send, Send)
            self.assertEqual(send.server_id, "b")
            self.dispatcher.finished(1.0, number, send.server_id, Outcome.SERVED)

    def test_prompt_avoids_a_server_whose_slots_hold_streams(self) -> None:
        first = self.dispatcher.request_arrived(0.0, request(1))[0]
        assert isinstance(first, Send)
        self.dispatcher.request_cancelled(0.0, 1)
        self.announce(0.0, "p2", first.server_id, 12)
        second = self.dispatcher.request_arrived(1.0, request(2, now=1.0))[0]
        assert isinstance(second, Send)
        self.assertNotEqual(second.server_id, first.server_id)


class ReservedStreamServerTests(unittest.TestCase):
    """Servers reserved for long streams: the same in all proxies with the same announcements."""

    CHAT_ROUTE = Route(
        "chat", "h", "/c/", "streaming", 9_000.0, 200.0, 0, "llm", resumable=True, gap_aim_ms=150.0
    )

    def dispatcher_of_large_fleet(self, seed: int) -> Dispatcher:
        dispatcher = Dispatcher(DispatchSettings("z", 40), random.Random(seed), 0.0)
        engine = Engine(12, 100_000, stride=40)
        dispatcher.configure(0.0, {"llm": Service("llm", engine=engine)}, [ROUTE, self.CHAT_ROUTE])
        dispatcher.update_servers(0.0, "llm", [ServerInfo(name, name, "z", 12) for name in "abcdefgh"])
        self.receive_from_all(dispatcher, 0.0)
        return dispatcher

    def receive_from_all(self, dispatcher: Dispatcher, now: float) -> None:
        for number in range(39):
            dispatcher.receive_announcements(now, f"p{number}", [])

    def chat_request(self, number: int, now: float, output_tokens: int = 4_000) -> DispatchRequest:
        segments = (("c0", 40), ("c1", 30), (f"own{number}", 130))
        deadline_at = now + 9_000.0
        return DispatchRequest(
            number, self.CHAT_ROUTE, "llm", "t", 0, now, deadline_at, 200, output_tokens, segments, "m"
        )  # fmt: skip

    def reserved(self, dispatcher: Dispatcher) -> set[str]:
        return {
            name for name, record in dispatcher.pools["llm"].servers.items() if record.reserved_for_streams
        }

    def announce(self, dispatcher: Dispatcher, now: float, streams: int) -> None:
        """One peer announces streams on three servers; all others send empty updates."""
        self.receive_from_all(dispatcher, now)
        dispatcher.receive_announcements(
            now, "p1", [Announcement("llm", name, "", 0, 0, streams) for name in "abc"]
        )

    def test_first_request_counts_as_a_stream_by_its_declared_tokens(self) -> None:
        dispatcher = self.dispatcher_of_large_fleet(1)
        dispatcher.request_arrived(0.0, request(1))
        send = dispatcher.request_arrived(0.0, self.chat_request(2, 0.0))[0]
        assert isinstance(send, Send)
        self.assertEqual(dispatcher.pools["llm"].servers[send.server_id].streams, 1)

    def test_measured_stream_times_override_declared_tokens(self) -> None:
        dispatcher = self.dispatcher_of_large_fleet(1)
        profile = dispatcher.pools["llm"].profile(self.CHAT_ROUTE.name)
        for number in range(4):
            dispatcher.request_arrived(0.0, self.chat_request(number, 0.0))
            profile.stream_ms.observe(10.0)
            profile.prefill_ms.observe(20.0)
        self.assertFalse(profile.is_streaming)

    def test_requests_without_declared_tokens_are_not_streams(self) -> None:
        dispatcher = self.dispatcher_of_large_fleet(1)
        dispatcher.request_arrived(0.0, self.chat_request(1, 0.0, output_tokens=0))
        self.assertFalse(dispatcher.pools["llm"].profile(self.CHAT_ROUTE.name).is_streaming)

    def test_proxies_without_own_streams_reserve_the_same_servers(self) -> None:
        reserved = []
        for seed in range(4):
            dispatcher = self.dispatcher_of_large_fleet(seed)
            dispatcher.request_arrived(0.0, request(1))
            self.announce(dispatcher, 0.0, 8)
            self.announce(dispatcher, 60_000.0, 7)
            reserved.append(self.reserved(dispatcher))
        self.assertEqual(len(reserved[0]), 3)  # 24 streams, with 9 of 12 slots used per server
        self.assertEqual(reserved, [reserved[0]] * 4)

    def test_servers_are_released_after_the_streams_end(self) -> None:
        dispatcher = self.dispatcher_of_large_fleet(1)
        dispatcher.request_arrived(0.0, request(1))
        for now, streams in ((0.0, 8), (30_000.0, 9), (30_001.0, 0)):
            self.announce(dispatcher, now, streams)
        self.assertTrue(self.reserved(dispatcher))
        self.receive_from_all(dispatcher, 60_000.0)
        dispatcher.pools["llm"].update_stream_servers(60_000.0)
        self.assertEqual(self.reserved(dispatcher), set())

    def test_streams_of_a_removed_server_are_not_counted(self) -> None:
        dispatcher = self.dispatcher_of_large_fleet(1)
        dispatcher.request_arrived(0.0, request(1))
        self.announce(dispatcher, 0.0, 12)
        dispatcher.update_servers(1.0, "llm", [ServerInfo(name, name, "z", 12) for name in "defgh"])
        for now, streams in ((2.0, 1), (3.0, 0)):
            dispatcher.receive_announcements(now, "p2", [Announcement("llm", "d", "", 0, 0, streams)])
        self.receive_from_all(dispatcher, 60_000.0)
        dispatcher.pools["llm"].update_stream_servers(60_000.0)
        self.assertEqual(self.reserved(dispatcher), set())

    def test_streams_of_silent_proxies_are_extrapolated(self) -> None:
        announced, unannounced = (
            self.dispatcher_of_large_fleet(1),
            Dispatcher(DispatchSettings("z", 40), random.Random(1), 0.0),
        )
        unannounced.configure(0.0, {"llm": Service("llm", engine=Engine(12, 1))}, [ROUTE, self.CHAT_ROUTE])
        unannounced.update_servers(0.0, "llm", [ServerInfo(name, name, "z", 12) for name in "abcdefgh"])
        for dispatcher in (announced, unannounced):
            dispatcher.request_arrived(0.0, request(1))
            dispatcher.request_arrived(0.0, self.chat_request(2, 0.0))
            dispatcher.pools["llm"].update_stream_servers(60_000.0)
        self.assertEqual((len(self.reserved(announced)), len(self.reserved(unannounced))), (1, 4))


class _FakeTimer:
    def __init__(self, at: float, callback: Callable[[], None]) -> None:
        self.at, self.callback, self.cancelled = at, callback, False

    def cancel(self) -> None:
        self.cancelled = True


class _FakeLoop:
    """The two event loop methods that the announcer calls; tests advance the time."""

    def __init__(self) -> None:
        self.now = 1.0
        self.timers: list[_FakeTimer] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[[], None]) -> _FakeTimer:
        timer = _FakeTimer(self.now + delay, callback)
        self.timers.append(timer)
        return timer

    def advance(self, duration: float) -> None:
        end = self.now + duration
        while due := [timer for timer in self.timers if timer.at <= end]:
            timer = min(due, key=lambda timer: timer.at)
            self.timers.remove(timer)
            if not timer.cancelled:
                self.now = timer.at
                timer.callback()
        self.now = end


class _FakeTransport(asyncio.DatagramTransport):
    def __init__(self) -> None:
        super().__init__()
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def close(self) -> None:
        """Nothing to close."""

    def sendto(self, data: bytes, addr: tuple[str, int] | None = None) -> None:  # type: ignore[override]
        assert addr is not None
        self.sent.append((data, addr))


class AnnouncerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.loop, self.transport = _FakeLoop(), _FakeTransport()
        self.dispatcher = make_dispatcher()
        self.announcer = Announcer(self.loop, self.dispatcher, "10.0.0.1", 7000)  # type: ignore[arg-type]
        self.announcer.connection_made(self.transport)
        self.announcer.set_peers({f"10.0.0.{number}:7001": "z" for number in (1, 2, 3)})

    def test_sends_close_together_share_one_datagram_per_receiver(self) -> None:
        for number in range(3):
            self.dispatcher.request_arrived(0.0, request(number))
        self.assertEqual(len(self.loop.timers), 1)
        self.loop.advance(0.1)
        self.assertEqual({addr for _, addr in self.transport.sent}, {("10.0.0.2", 7002), ("10.0.0.3", 7002)})
        self.assertEqual(len(self.transport.sent), 2)
        scope, updates = decode(self.transport.sent[0][0])
        self.assertIs(scope, ForwardingScope.RECEIVER)
        self.assertEqual(
            [(update.origin, len(update.announcements)) for update in updates], [("10.0.0.1", 3)]
        )

    def test_datagrams_of_unknown_senders_are_ignored(self) -> None:
        [data] = encode(
            ForwardingScope.RECEIVER,
            [AnnouncementUpdate("10.0.0.2", 2, [Announcement("llm", "a", "5a", 3_000, 4_000)])],
        )
        self.announcer.datagram_received(data, ("10.0.0.2", 7002))
        self.announcer.datagram_received(data, ("10.9.9.9", 7002))
        self.announcer.datagram_received(b"?", ("10.0.0.3", 7002))
        self.assertEqual((self.announcer.received, self.announcer.unreadable), (1, 1))
        self.assertEqual(self.dispatcher.announcement_queue.count_proxies(1_000.0), 2)

    def test_nothing_is_sent_after_stop(self) -> None:
        self.dispatcher.request_arrived(0.0, request(1))
        self.announcer.stop()
        self.loop.advance(3 * RESTATE_INTERVAL_S)
        self.assertEqual(self.transport.sent, [])

    def test_stream_counts_are_restated_even_when_there_are_none(self) -> None:
        self.announcer._restate()
        self.dispatcher.pools["llm"].servers["b"].streams = 2
        self.loop.advance(RESTATE_INTERVAL_S)
        restated = [
            decode(data)[1][0].announcements for data, addr in self.transport.sent if addr[0] == "10.0.0.2"
        ]
        self.assertEqual(restated, [[], [Announcement("llm", "b", "", 0, 0, 2)]])


class RelayingAnnouncerTests(AnnouncerTests):
    """The same in a fleet large enough to use relays."""

    def setUp(self) -> None:
        super().setUp()
        self.zones = {f"10.{zone}.0.{n}:7001": f"z{zone}" for zone in (0, 1) for n in range(1, 40)}
        self.assertGreater(len(self.zones), MAX_DIRECT_PROXIES)
        self.announcer.set_peers(self.zones)

    def test_sends_close_together_share_one_datagram_per_receiver(self) -> None:
        for number in range(3):
            self.dispatcher.request_arrived(0.0, request(number))
        self.loop.advance(0.1)
        [(data, (relay, _))] = self.transport.sent
        self.assertTrue(relay.startswith("10.0."))
        scope, [update] = decode(data)
        self.assertEqual(
            (scope, update.origin, len(update.announcements)), (ForwardingScope.FLEET, "10.0.0.1", 3)
        )

    def test_stream_counts_are_restated_even_when_there_are_none(self) -> None:
        self.announcer._restate()
        self.dispatcher.pools["llm"].servers["b"].streams = 2
        self.loop.advance(RESTATE_INTERVAL_S)
        restated = [decode(data)[1][0].announcements for data, _ in self.transport.sent]
        self.assertEqual(restated, [[], [Announcement("llm", "b", "", 0, 0, 2)]])

    def test_updates_are_batched_and_forwarded_to_group_and_remote_relay(self) -> None:
        for origin in ("10.0.0.2", "10.0.0.3"):
            [data] = encode(
                ForwardingScope.FLEET,
                [AnnouncementUpdate(origin, 1, [Announcement("llm", "a", "5a", 3_000, 4_000)])],
            )
            self.announcer.datagram_received(data, (origin, 7002))
        self.assertEqual(self.dispatcher.announcement_queue.count_proxies(1_000.0), 3)
        self.assertEqual(self.transport.sent, [])
        self.loop.advance(RELAY_BATCH_DELAY_S)
        scopes = [decode(data)[0] for data, _ in self.transport.sent]
        self.assertEqual(
            (scopes.count(ForwardingScope.RECEIVER), scopes.count(ForwardingScope.GROUP)), (2, 1)
        )
        origins = {
            origin for data, _ in self.transport.sent for origin in (n.origin for n in decode(data)[1])
        }
        self.assertEqual(origins, {"10.0.0.2", "10.0.0.3"})

    def test_remote_relay_is_acknowledged_and_its_updates_stay_in_the_group(self) -> None:
        [data] = encode(ForwardingScope.GROUP, [AnnouncementUpdate("10.1.0.7", 7, [])])
        for _ in range(20):
            self.announcer.datagram_received(data, ("10.1.0.5", 7002))
            self.loop.advance(ACKNOWLEDGE_INTERVAL_S / 10)
        acknowledgements = [decode(data) for data, addr in self.transport.sent if addr[0] == "10.1.0.5"]
        self.assertEqual(acknowledgements, [(ForwardingScope.RECEIVER, [])] * 2)
        self.assertEqual({decode(data)[0] for data, _ in self.transport.sent}, {ForwardingScope.RECEIVER})


if __name__ == "__main__":
    unittest.main()
