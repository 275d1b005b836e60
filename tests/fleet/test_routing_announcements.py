"""What proxies tell each other: encoding, what the dispatcher makes of it, and the driver without sockets."""

import asyncio
import random
import unittest
from collections.abc import Callable

from barleybarrow.documents import Engine, Route, Service
from barleybarrow.routing.actions import DispatchRequest, DispatchSettings, Outcome, Send, ServerInfo
from barleybarrow.routing.announcements import Announcement, decode, encode
from barleybarrow.routing.dispatcher import Dispatcher
from barleybarrow.routing.pool import MOST_SUBJECTS, STREAMS_TOLD_MS
from brackenusher.data_plane.announcer import MOST_AT_ONCE, Announcer

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
        news = [Announcement("llm", "a", "5a", 3_000, 4_000), Announcement("llm", "b", "", 0, 12)]
        self.assertEqual(decode(encode(news)), news)

    def test_other_bytes_are_an_error(self) -> None:
        rows = [b"", b"\xff", b"{}", b"[1]", b'[["a"]]', b'[["a","b","c",1.5,2,0]]']
        rows += [b'[["a","b","c",1,2]]', b'[["a","b","c",-1,2,0]]', b'[["a","b","c",1,2,-1]]']
        rows.append(b'[["a","b","c",true,2,0]]')
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


class _Loop:
    """The two calls of an event loop that the announcer makes."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], None]] = []

    def time(self) -> float:
        return 1.0

    def call_later(self, _delay: float, callback: Callable[[], None]) -> None:
        self.calls.append(callback)


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
        self.announcer.set_peers(["10.0.0.1:7001", "10.0.0.2:7001", "10.0.0.3:7001"])

    def test_sends_close_together_share_one_datagram_to_each_peer(self) -> None:
        for number in range(3):
            self.dispatcher.arrived(0.0, request(number))
        self.assertEqual(len(self.loop.calls), 1)
        self.loop.calls[0]()
        self.assertEqual({addr for _, addr in self.transport.told}, {("10.0.0.2", 7002), ("10.0.0.3", 7002)})
        self.assertEqual(len(self.transport.told), 2)
        self.assertEqual(len(decode(self.transport.told[0][0])), 3)

    def test_many_sends_are_split(self) -> None:
        for number in range(MOST_AT_ONCE + 1):
            self.dispatcher.arrived(0.0, request(number))
        self.announcer.flush()
        self.assertEqual(len(self.transport.told), 4)

    def test_a_peer_is_heard_and_a_stranger_is_not(self) -> None:
        data = encode([Announcement("llm", "a", "5a", 3_000, 4_000)])
        self.announcer.datagram_received(data, ("10.0.0.2", 7002))
        self.announcer.datagram_received(data, ("10.9.9.9", 7002))
        self.announcer.datagram_received(b"?", ("10.0.0.3", 7002))
        self.assertEqual((self.announcer.received, self.announcer.unreadable), (1, 1))
        self.assertEqual(self.dispatcher.news.proxies(1_000.0), 2)

    def test_after_the_stop_nothing_is_told(self) -> None:
        self.dispatcher.arrived(0.0, request(1))
        self.announcer.stop()
        self.loop.calls[0]()
        self.assertEqual(self.transport.told, [])


if __name__ == "__main__":
    unittest.main()
