"""What proxies tell each other: encoding, what the dispatcher makes of it, and the driver without sockets."""

import asyncio
import random
import unittest
from collections.abc import Callable

import msgspec

from barleybarrow.documents import Engine, Route, Service
from barleybarrow.routing.actions import DispatchRequest, DispatchSettings, Outcome, Send, ServerInfo
from barleybarrow.routing.announcement_relay import MOST_DIRECT_PROXIES, News, Reach
from barleybarrow.routing.announcements import Announcement
from barleybarrow.routing.dispatcher import Dispatcher
from barleybarrow.routing.pool import MOST_SUBJECTS, STREAMS_TOLD_MS
from brackenusher.data_plane.announcement_datagrams import MAX_DATAGRAM_BYTES, decode, encode
from brackenusher.data_plane.announcer import ACKNOWLEDGE_S, RELAY_GATHER_S, RESTATE_S, Announcer

ROUTE = Route("r", "h", "/p/", "streaming", 2_000.0, 200.0, 1, "llm", gap_aim_ms=150.0)


def make_dispatcher(seed: int = 1, settings: DispatchSettings | None = None) -> Dispatcher:
    dispatcher = Dispatcher(settings or DispatchSettings("z", 3), random.Random(seed), 0.0)
    dispatcher.configure(0.0, {"llm": Service("llm", engine=Engine(12, 100_000, stride=40))}, [ROUTE])
    dispatcher.servers(0.0, "llm", [ServerInfo(name, name, "z", 12) for name in "abc"])
    return dispatcher


def request(number: int, subject: str = "5a", now: float = 0.0) -> DispatchRequest:
    parts = (("f0", 2_000), (subject, 3_000), (f"{number:x}", 1_000))
    return DispatchRequest(number, ROUTE, "llm", "t", 1, now, now + 2_000.0, 6_000, 80, parts, "m")


class EncodingTests(unittest.TestCase):
    def test_what_is_encoded_is_decoded(self) -> None:
        news = [
            News(
                "10.0.0.1",
                1,
                [Announcement("llm", "a", "5a", 3_000, 4_000), Announcement("llm", "b", "", 0, 12)],
            ),
            News("10.0.0.2", 2, []),
        ]
        for reach in Reach:
            self.assertEqual([decode(data) for data in encode(reach, news)], [(reach, news)])

    def test_news_too_long_for_a_packet_is_split(self) -> None:
        rows = [Announcement("llm", f"server-{number}", "5a" * 8, 3_000, number) for number in range(70)]
        news = [News("10.0.0.1", n, rows[n : n + 5]) for n in range(0, 60, 5)]
        news.append(News("10.0.0.2", 1, rows[60:]))
        packets = encode(Reach.GROUP, news)
        self.assertGreater(len(packets), 2)
        self.assertLessEqual(max(map(len, packets)), MAX_DATAGRAM_BYTES)
        found: dict[str, list[Announcement]] = {}
        for data in packets:
            reach, parts = decode(data)
            self.assertIs(reach, Reach.GROUP)
            for part in parts:
                found.setdefault(part.origin, []).extend(part.announcements)
        self.assertEqual(found, {"10.0.0.1": rows[:60], "10.0.0.2": rows[60:]})

    def test_news_too_long_for_any_packet_is_left_out(self) -> None:
        long = News("10.0.0.1", 1, [Announcement("llm", "x" * MAX_DATAGRAM_BYTES, "", 0, 1)])
        short = News("10.0.0.1", 2, [Announcement("llm", "a", "", 0, 1)])
        packets = encode(Reach.RECEIVER, [long, short])
        self.assertEqual([decode(data)[1] for data in packets], [[short]])

    def test_other_bytes_are_an_error(self) -> None:
        def packed(*fields: object, reach: object = 0) -> bytes:
            return msgspec.msgpack.encode([reach, [["10.0.0.1", 1, [list(fields)]]]])

        decode(packed("a", "b", "c", 1, 2, 0))
        rows = [b"", b"\xff", msgspec.msgpack.encode({}), msgspec.msgpack.encode([0, 1])]
        rows += [packed("a"), packed("a", "b", "c", 1.5, 2, 0), packed("a", "b", "c", 1, 2)]
        rows += [packed("a", "b", "c", -1, 2, 0), packed("a", "b", "c", 1, 2, -1)]
        rows += [packed("a", "b", "c", True, 2, 0), packed("a", "b", "c", 1, 2, 0, 0)]
        rows += [packed("a", "b", "c", 1, 2, 0, reach=value) for value in (-1, 3, "0", True)]
        for data in rows:
            self.assertRaises(ValueError, decode, data)


class DispatcherNewsTests(unittest.TestCase):
    def test_each_send_is_told_once(self) -> None:
        dispatcher = make_dispatcher()
        send = dispatcher.arrived(0.0, request(1))[0]
        assert isinstance(send, Send)
        news = dispatcher.announcements()
        self.assertEqual([(item.server_id, item.subject, item.subject_tokens) for item in news], [
            (send.server_id, "5a", 3_000)
        ])  # fmt: skip
        self.assertEqual(dispatcher.announcements(), [])

    def test_what_another_proxy_sent_is_waited_for(self) -> None:
        dispatcher = make_dispatcher()
        home = dispatcher.arrived(0.0, request(1))[0]
        assert isinstance(home, Send)
        dispatcher.abandoned(0.0, 1)
        dispatcher.heard(1_000.0, "p2", [Announcement("llm", home.server_id, "77", 9_000, 60_000)])
        other = dispatcher.arrived(1_001.0, request(2, now=1_001.0))[0]
        assert isinstance(other, Send)
        self.assertNotEqual(other.server_id, home.server_id)

    def test_news_of_unknown_services_and_servers_is_ignored(self) -> None:
        dispatcher = make_dispatcher()
        dispatcher.heard(0.0, "p2", [Announcement("x", "a", "", 0, 1), Announcement("llm", "x", "", 0, 1)])
        self.assertEqual(len(dispatcher.arrived(0.0, request(1))), 1)

    def test_proxies_that_tell_nothing_are_forgotten(self) -> None:
        dispatcher = make_dispatcher()
        dispatcher.heard(0.0, "p2", [])
        self.assertEqual(dispatcher.news.proxies(1.0), 2)
        self.assertEqual(dispatcher.news.proxies(60_000.0), 1)


class ReadingAgainTests(unittest.TestCase):
    """A subject whose server has a wait that is longer than reading it anew elsewhere would take."""

    def second_choice(self, again_ms: float, now: float = 100.0) -> tuple[str, str]:
        """The servers of the first prompt with a subject, and of one that comes later."""
        dispatcher = make_dispatcher(settings=DispatchSettings("z", 3, again_ms))
        first = dispatcher.arrived(0.0, request(1))[0]
        assert isinstance(first, Send)
        dispatcher.finished(30.0, 1, first.server_id, Outcome.SERVED)
        server = dispatcher.pools["llm"].servers[first.server_id]
        server.will_read(now, 40.0)
        second = dispatcher.arrived(now, request(2, now=now))[0]
        assert isinstance(second, Send)
        return first.server_id, second.server_id

    def test_it_waits_where_it_is_kept(self) -> None:
        first, second = self.second_choice(again_ms=3_000.0)
        self.assertEqual(second, first)

    def test_it_goes_elsewhere_where_reading_again_costs_time_alone(self) -> None:
        first, second = self.second_choice(again_ms=0.0)
        self.assertNotEqual(second, first)

    def test_it_goes_elsewhere_once_it_was_not_used_for_long(self) -> None:
        first, second = self.second_choice(again_ms=3_000.0, now=4_000.0)
        self.assertNotEqual(second, first)

    def test_what_another_proxy_sent_counts(self) -> None:
        dispatcher = make_dispatcher()
        dispatcher.heard(0.0, "p2", [Announcement("llm", "b", "5a", 3_000, 4_000)])
        self.assertTrue(dispatcher.pools["llm"].was_used("5a", 0.0))
        self.assertFalse(dispatcher.pools["llm"].was_used("5b", 0.0))

    def test_subjects_remembered_are_bounded(self) -> None:
        pool = make_dispatcher().pools["llm"]
        for number in range(MOST_SUBJECTS + 10):
            pool.used(float(number), str(number))
        self.assertEqual(len(pool.subjects), MOST_SUBJECTS)
        self.assertFalse(pool.was_used("0", 0.0))


class StreamsElsewhereTests(unittest.TestCase):
    """Long streams hold a server's slots for seconds; proxies tell each other how many they have there."""

    def setUp(self) -> None:
        self.dispatcher = make_dispatcher()
        self.pool = self.dispatcher.pools["llm"]

    def tell(self, now: float, peer: str, server: str, streams: int) -> None:
        self.dispatcher.heard(now, peer, [Announcement("llm", server, "", 0, 0, streams)])

    def make_streaming(self) -> None:
        profile = self.pool.profile(ROUTE.name)
        for _ in range(10):
            profile.streaming.learn(2_000.0)
            profile.reading.learn(1.0)

    def test_the_newest_word_of_each_proxy_counts(self) -> None:
        self.tell(0.0, "p2", "a", 3)
        self.tell(1.0, "p3", "a", 4)
        self.tell(2.0, "p2", "a", 1)
        self.assertEqual(self.pool.servers["a"].streams_elsewhere, 5)

    def test_an_old_word_counts_no_more(self) -> None:
        self.tell(0.0, "p2", "a", 3)
        self.tell(STREAMS_TOLD_MS, "p3", "a", 4)
        self.assertEqual(self.pool.servers["a"].streams_elsewhere, 4)

    def test_streams_are_told_as_they_begin_and_end(self) -> None:
        self.make_streaming()
        send = self.dispatcher.arrived(0.0, request(1))[0]
        assert isinstance(send, Send)
        self.assertEqual([news.streams for news in self.dispatcher.announcements()], [1])
        self.dispatcher.finished(10.0, 1, send.server_id, Outcome.SERVED)
        news = self.dispatcher.announcements()
        self.assertEqual([(item.streams, item.tokens_to_read) for item in news], [(0, 0)])
        self.assertEqual(self.pool.servers[send.server_id].streams, 0)

    def test_a_stream_goes_where_the_fewest_are(self) -> None:
        self.make_streaming()
        self.tell(0.0, "p2", "a", 9)
        self.tell(0.0, "p2", "b", 2)
        self.tell(0.0, "p2", "c", 7)
        for number in range(5):
            send = self.dispatcher.arrived(0.0, request(number, subject=f"{number:x}"))[0]
            assert isinstance(send, Send)
            self.assertEqual(send.server_id, "b")
            self.dispatcher.finished(1.0, number, send.server_id, Outcome.SERVED)

    def test_a_prompt_stays_away_from_a_server_whose_slots_are_held(self) -> None:
        first = self.dispatcher.arrived(0.0, request(1))[0]
        assert isinstance(first, Send)
        self.dispatcher.abandoned(0.0, 1)
        self.tell(0.0, "p2", first.server_id, 12)
        second = self.dispatcher.arrived(1.0, request(2, now=1.0))[0]
        assert isinstance(second, Send)
        self.assertNotEqual(second.server_id, first.server_id)


class StreamServersTests(unittest.TestCase):
    """Which servers are kept for long streams: the same in all proxies that heard the same."""

    CHAT = Route("chat", "h", "/c/", "streaming", 9_000.0, 200.0, 0, "llm", resumable=True, gap_aim_ms=150.0)

    def make(self, seed: int) -> Dispatcher:
        dispatcher = Dispatcher(DispatchSettings("z", 40), random.Random(seed), 0.0)
        engine = Engine(12, 100_000, stride=40)
        dispatcher.configure(0.0, {"llm": Service("llm", engine=engine)}, [ROUTE, self.CHAT])
        dispatcher.servers(0.0, "llm", [ServerInfo(name, name, "z", 12) for name in "abcdefgh"])
        self.hear_all(dispatcher, 0.0)
        return dispatcher

    def hear_all(self, dispatcher: Dispatcher, now: float) -> None:
        for number in range(39):
            dispatcher.heard(now, f"p{number}", [])

    def chat(self, number: int, now: float, tokens_out: int = 4_000) -> DispatchRequest:
        parts = (("c0", 40), ("c1", 30), (f"own{number}", 130))
        deadline_at = now + 9_000.0
        return DispatchRequest(
            number, self.CHAT, "llm", "t", 0, now, deadline_at, 200, tokens_out, parts, "m"
        )  # fmt: skip

    def kept(self, dispatcher: Dispatcher) -> set[str]:
        return {name for name, record in dispatcher.pools["llm"].servers.items() if record.for_streams}

    def tell(self, dispatcher: Dispatcher, now: float, streams: int) -> None:
        """Another proxy tells of streams at three servers, all others that they are there."""
        self.hear_all(dispatcher, now)
        dispatcher.heard(now, "p1", [Announcement("llm", name, "", 0, 0, streams) for name in "abc"])

    def test_the_first_chat_of_a_proxy_counts_as_a_stream_by_what_it_declares(self) -> None:
        dispatcher = self.make(1)
        dispatcher.arrived(0.0, request(1))
        send = dispatcher.arrived(0.0, self.chat(2, 0.0))[0]
        assert isinstance(send, Send)
        self.assertEqual(dispatcher.pools["llm"].servers[send.server_id].streams, 1)

    def test_a_route_that_declares_far_more_than_it_makes_is_known_by_what_it_made(self) -> None:
        dispatcher = self.make(1)
        profile = dispatcher.pools["llm"].profile(self.CHAT.name)
        for number in range(4):
            dispatcher.arrived(0.0, self.chat(number, 0.0))
            profile.streaming.learn(10.0)
            profile.reading.learn(20.0)
        self.assertFalse(profile.is_streaming)

    def test_requests_that_declare_nothing_are_no_streams_until_some_were_measured(self) -> None:
        dispatcher = self.make(1)
        dispatcher.arrived(0.0, self.chat(1, 0.0, tokens_out=0))
        self.assertFalse(dispatcher.pools["llm"].profile(self.CHAT.name).is_streaming)

    def test_proxies_that_never_saw_a_chat_keep_the_same_servers_for_the_streams_of_others(self) -> None:
        kept = []
        for seed in range(4):
            dispatcher = self.make(seed)
            dispatcher.arrived(0.0, request(1))
            self.tell(dispatcher, 0.0, 8)
            self.tell(dispatcher, 60_000.0, 7)
            kept.append(self.kept(dispatcher))
        self.assertEqual(len(kept[0]), 3)  # 24 streams, of 12 slots 9 are used
        self.assertEqual(kept, [kept[0]] * 4)

    def test_they_are_given_back_once_the_streams_have_ended(self) -> None:
        dispatcher = self.make(1)
        dispatcher.arrived(0.0, request(1))
        for now, streams in ((0.0, 8), (30_000.0, 9), (30_001.0, 0)):
            self.tell(dispatcher, now, streams)
        self.assertTrue(self.kept(dispatcher))
        self.hear_all(dispatcher, 60_000.0)
        dispatcher.pools["llm"].separate_streams(60_000.0)
        self.assertEqual(self.kept(dispatcher), set())

    def test_streams_of_a_server_that_is_gone_count_no_more(self) -> None:
        dispatcher = self.make(1)
        dispatcher.arrived(0.0, request(1))
        self.tell(dispatcher, 0.0, 12)
        dispatcher.servers(1.0, "llm", [ServerInfo(name, name, "z", 12) for name in "defgh"])
        for now, streams in ((2.0, 1), (3.0, 0)):
            dispatcher.heard(now, "p2", [Announcement("llm", "d", "", 0, 0, streams)])
        self.hear_all(dispatcher, 60_000.0)
        dispatcher.pools["llm"].separate_streams(60_000.0)
        self.assertEqual(self.kept(dispatcher), set())

    def test_proxies_that_tell_nothing_are_thought_to_have_as_many_streams(self) -> None:
        informed, alone = self.make(1), Dispatcher(DispatchSettings("z", 40), random.Random(1), 0.0)
        alone.configure(0.0, {"llm": Service("llm", engine=Engine(12, 1))}, [ROUTE, self.CHAT])
        alone.servers(0.0, "llm", [ServerInfo(name, name, "z", 12) for name in "abcdefgh"])
        for dispatcher in (informed, alone):
            dispatcher.arrived(0.0, request(1))
            dispatcher.arrived(0.0, self.chat(2, 0.0))
            dispatcher.pools["llm"].separate_streams(60_000.0)
        self.assertEqual((len(self.kept(informed)), len(self.kept(alone))), (1, 4))


class _Timer:
    def __init__(self, at: float, callback: Callable[[], None]) -> None:
        self.at, self.callback, self.cancelled = at, callback, False

    def cancel(self) -> None:
        self.cancelled = True


class _Loop:
    """The two calls of an event loop that the announcer makes; time passes where a test says so."""

    def __init__(self) -> None:
        self.now = 1.0
        self.timers: list[_Timer] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[[], None]) -> _Timer:
        timer = _Timer(self.now + delay, callback)
        self.timers.append(timer)
        return timer

    def run_for(self, span: float) -> None:
        end = self.now + span
        while due := [timer for timer in self.timers if timer.at <= end]:
            timer = min(due, key=lambda timer: timer.at)
            self.timers.remove(timer)
            if not timer.cancelled:
                self.now = timer.at
                timer.callback()
        self.now = end


class _Transport(asyncio.DatagramTransport):
    def __init__(self) -> None:
        super().__init__()
        self.told: list[tuple[bytes, tuple[str, int]]] = []

    def close(self) -> None:
        """Nothing is open."""

    def sendto(self, data: bytes, addr: tuple[str, int] | None = None) -> None:  # type: ignore[override]
        assert addr is not None
        self.told.append((data, addr))


class AnnouncerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.loop, self.transport = _Loop(), _Transport()
        self.dispatcher = make_dispatcher()
        self.announcer = Announcer(self.loop, self.dispatcher, "10.0.0.1", 7000)  # type: ignore[arg-type]
        self.announcer.connection_made(self.transport)
        self.announcer.set_peers({f"10.0.0.{number}:7001": "z" for number in (1, 2, 3)})

    def test_sends_close_together_share_one_datagram_to_each_peer(self) -> None:
        for number in range(3):
            self.dispatcher.arrived(0.0, request(number))
        self.assertEqual(len(self.loop.timers), 1)
        self.loop.run_for(0.1)
        self.assertEqual({addr for _, addr in self.transport.told}, {("10.0.0.2", 7002), ("10.0.0.3", 7002)})
        self.assertEqual(len(self.transport.told), 2)
        reach, news = decode(self.transport.told[0][0])
        self.assertIs(reach, Reach.RECEIVER)
        self.assertEqual([(part.origin, len(part.announcements)) for part in news], [("10.0.0.1", 3)])

    def test_a_peer_is_heard_and_a_stranger_is_not(self) -> None:
        [data] = encode(Reach.RECEIVER, [News("10.0.0.2", 2, [Announcement("llm", "a", "5a", 3_000, 4_000)])])
        self.announcer.datagram_received(data, ("10.0.0.2", 7002))
        self.announcer.datagram_received(data, ("10.9.9.9", 7002))
        self.announcer.datagram_received(b"?", ("10.0.0.3", 7002))
        self.assertEqual((self.announcer.received, self.announcer.unreadable), (1, 1))
        self.assertEqual(self.dispatcher.news.proxies(1_000.0), 2)

    def test_after_the_stop_nothing_is_told(self) -> None:
        self.dispatcher.arrived(0.0, request(1))
        self.announcer.stop()
        self.loop.run_for(3 * RESTATE_S)
        self.assertEqual(self.transport.told, [])

    def test_streams_that_last_are_told_again_and_so_is_that_there_are_none(self) -> None:
        self.announcer._restate()
        self.dispatcher.pools["llm"].servers["b"].streams = 2
        self.loop.run_for(RESTATE_S)
        told = [
            decode(data)[1][0].announcements for data, addr in self.transport.told if addr[0] == "10.0.0.2"
        ]
        self.assertEqual(told, [[], [Announcement("llm", "b", "", 0, 0, 2)]])


class RelayingAnnouncerTests(AnnouncerTests):
    """The same in a fleet so large that news goes over relays."""

    def setUp(self) -> None:
        super().setUp()
        self.zones = {f"10.{zone}.0.{n}:7001": f"z{zone}" for zone in (0, 1) for n in range(1, 40)}
        self.assertGreater(len(self.zones), MOST_DIRECT_PROXIES)
        self.announcer.set_peers(self.zones)

    def test_sends_close_together_share_one_datagram_to_each_peer(self) -> None:
        for number in range(3):
            self.dispatcher.arrived(0.0, request(number))
        self.loop.run_for(0.1)
        [(data, (relay, _))] = self.transport.told
        self.assertTrue(relay.startswith("10.0."))
        reach, [news] = decode(data)
        self.assertEqual((reach, news.origin, len(news.announcements)), (Reach.FLEET, "10.0.0.1", 3))

    def test_streams_that_last_are_told_again_and_so_is_that_there_are_none(self) -> None:
        self.announcer._restate()
        self.dispatcher.pools["llm"].servers["b"].streams = 2
        self.loop.run_for(RESTATE_S)
        told = [decode(data)[1][0].announcements for data, _ in self.transport.told]
        self.assertEqual(told, [[], [Announcement("llm", "b", "", 0, 0, 2)]])

    def test_what_comes_to_be_passed_on_is_gathered_and_told_to_the_group_and_the_other_relay(self) -> None:
        for origin in ("10.0.0.2", "10.0.0.3"):
            [data] = encode(Reach.FLEET, [News(origin, 1, [Announcement("llm", "a", "5a", 3_000, 4_000)])])
            self.announcer.datagram_received(data, (origin, 7002))
        self.assertEqual(self.dispatcher.news.proxies(1_000.0), 3)
        self.assertEqual(self.transport.told, [])
        self.loop.run_for(RELAY_GATHER_S)
        reaches = [decode(data)[0] for data, _ in self.transport.told]
        self.assertEqual((reaches.count(Reach.RECEIVER), reaches.count(Reach.GROUP)), (2, 1))
        news = {origin for data, _ in self.transport.told for origin in (n.origin for n in decode(data)[1])}
        self.assertEqual(news, {"10.0.0.2", "10.0.0.3"})

    def test_a_relay_of_another_group_is_answered_now_and_then_and_its_news_stays_in_the_group(self) -> None:
        [data] = encode(Reach.GROUP, [News("10.1.0.7", 7, [])])
        for _ in range(20):
            self.announcer.datagram_received(data, ("10.1.0.5", 7002))
            self.loop.run_for(ACKNOWLEDGE_S / 10)
        answers = [decode(data) for data, addr in self.transport.told if addr[0] == "10.1.0.5"]
        self.assertEqual(answers, [(Reach.RECEIVER, [])] * 2)
        self.assertEqual({decode(data)[0] for data, _ in self.transport.told}, {Reach.RECEIVER})


if __name__ == "__main__":
    unittest.main()
