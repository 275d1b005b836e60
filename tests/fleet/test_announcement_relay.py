"""News of proxies over relays: who hears what and how often, and what a silent relay costs."""

import unittest
from collections import Counter

from barleybarrow.routing.announcement_relay import (
    ANSWERED_MS,
    AVOIDED_MS,
    LISTENING_MS,
    MOST_AT_ONCE,
    MOST_DIRECT_PROXIES,
    MOST_GATHERED,
    MOST_IN_GROUP,
    SILENT_RELAY_MS,
    AnnouncementRelay,
    News,
    Parcel,
    Reach,
)
from barleybarrow.routing.announcements import Announcement

GATHER_MS = 10.0
HOP_MS = 1.0


def told(number: int) -> list[Announcement]:
    return [Announcement("llm", f"s{number}", "5a", 1, number)]


class Fleet:
    """Proxies of several zones with their relays, and datagrams between them in virtual time."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.zones = {f"{zone}.{number}": zone for zone, count in zones.items() for number in range(count)}
        self.relays = {proxy: AnnouncementRelay(proxy) for proxy in self.zones}
        self.heard: dict[str, list[News]] = {proxy: [] for proxy in self.zones}
        self.frozen: set[str] = set()
        self.sent = Counter[str]()
        self.now = 0.0
        for relay in self.relays.values():
            relay.set_proxies(self.zones)

    def tell(self, proxy: str, number: int) -> None:
        """One proxy tells something; all that follows from it is played."""
        self._play([(proxy, parcel) for parcel in self.relays[proxy].own_news(self.now, told(number))])

    def tell_all(self) -> None:
        """All tell something at once, so that all listen."""
        due = [
            (name, parcel)
            for name, relay in self.relays.items()
            if name not in self.frozen
            for parcel in relay.own_news(self.now, told(0))
        ]
        self._play(due)
        for news in self.heard.values():
            news.clear()

    def _play(self, due: list[tuple[str, Parcel]]) -> None:
        for _ in range(4):
            self.now += HOP_MS
            arrived, due = due, []
            for sender, parcel in arrived:
                due += self._take(sender, parcel)
            self.now += GATHER_MS
            for name, relay in self.relays.items():
                if relay.has_gathered and name not in self.frozen:
                    due += [(name, parcel) for parcel in relay.passed_on(self.now)]

    def _take(self, sender: str, parcel: Parcel) -> list[tuple[str, Parcel]]:
        self.sent[sender] += 1
        if parcel.receiver in self.frozen:
            return []
        relay = self.relays[parcel.receiver]
        self.heard[parcel.receiver] += relay.received(self.now, sender, parcel.reach, parcel.news)
        if parcel.reach is Reach.GROUP:  # as the announcer does: the sender hears that it is there
            return [(parcel.receiver, Parcel(sender, Reach.RECEIVER, []))]
        return []

    def heard_of(self, origin: str) -> Counter[str]:
        """How often each proxy heard of another since the last call."""
        counts = Counter({name: sum(n.origin == origin for n in news) for name, news in self.heard.items()})
        for news in self.heard.values():
            news.clear()
        return counts


class RelayTests(unittest.TestCase):
    def assert_heard_once(self, fleet: Fleet, origin: str) -> None:
        counts = fleet.heard_of(origin)
        self.assertEqual(counts.pop(origin), 0)
        self.assertEqual({name: n for name, n in counts.items() if n != 1}, {})

    def test_a_small_fleet_tells_each_other_directly(self) -> None:
        fleet = Fleet({"a": MOST_DIRECT_PROXIES // 2, "b": MOST_DIRECT_PROXIES // 2})
        fleet.tell("a.0", 1)
        self.assert_heard_once(fleet, "a.0")
        self.assertEqual(set(fleet.sent), {"a.0"})
        self.assertFalse(fleet.relays["a.0"].relays)

    def test_in_a_large_fleet_each_hears_once_of_each(self) -> None:
        fleet = Fleet({"a": 33, "b": 30, "c": 27})
        for origin in fleet.zones:
            fleet.tell_all()
            fleet.tell(origin, 7)
            self.assert_heard_once(fleet, origin)

    def test_a_zone_of_many_proxies_is_told_by_several_relays(self) -> None:
        fleet = Fleet({"a": 4 * MOST_IN_GROUP})
        fleet.tell_all()
        fleet.sent.clear()
        fleet.tell("a.5", 1)
        self.assert_heard_once(fleet, "a.5")
        self.assertGreater(len([name for name, sent in fleet.sent.items() if sent > 5]), 2)
        self.assertLess(max(fleet.sent.values()), 2 * MOST_IN_GROUP)

    def test_a_proxy_alone_and_one_that_knows_nobody_tell_nothing(self) -> None:
        relay = AnnouncementRelay("a.0")
        self.assertEqual(relay.own_news(0.0, told(1)), [])
        relay.set_proxies({"a.0": "a"})
        self.assertEqual(relay.own_news(0.0, told(1)), [])
        self.assertFalse(relay.has_gathered)

    def test_one_that_is_not_yet_listed_itself_tells_nothing_and_passes_on_what_it_is_asked_to(self) -> None:
        fleet = Fleet({"a": 40})
        relay = AnnouncementRelay("a.new")
        relay.set_proxies(fleet.zones)
        self.assertEqual(relay.own_news(0.0, told(1)), [])
        relay.received(0.0, "a.1", Reach.FLEET, [News("a.1", 1, told(1))])
        parcels = relay.passed_on(1.0)
        self.assertEqual([parcel.reach for parcel in parcels], [Reach.RECEIVER, Reach.GROUP])
        self.assertEqual(parcels[0].receiver, "a.1")

    def relay_asked_by(self, fleet: Fleet, proxy: str) -> str:
        parcels = fleet.relays[proxy].own_news(fleet.now, told(0))
        return parcels[0].receiver if parcels else proxy

    def test_a_silent_relay_of_the_own_group_is_left_for_the_next(self) -> None:
        fleet = Fleet({"a": 40, "b": 40})
        relay = self.relay_asked_by(fleet, "a.0")
        origin = next(name for name in fleet.zones if name.startswith("a.") and name != relay)
        fleet.frozen.add(relay)
        fleet.tell(origin, 1)
        self.assertEqual(sum(fleet.heard_of(origin).values()), 0)
        fleet.tell_all()
        fleet.now += SILENT_RELAY_MS
        fleet.tell_all()
        fleet.tell(origin, 2)
        counts = fleet.heard_of(origin)
        self.assertEqual({name for name, n in counts.items() if n != 1}, {origin, relay})

    def test_a_silent_relay_of_another_group_is_left_for_the_next(self) -> None:
        fleet = Fleet({"a": 40, "b": 40})
        relay = self.relay_asked_by(fleet, "b.0")
        fleet.frozen.add(relay)
        fleet.tell("a.0", 1)
        fleet.now += SILENT_RELAY_MS
        fleet.heard_of("a.0")
        fleet.tell_all()
        fleet.now += SILENT_RELAY_MS
        fleet.tell_all()
        fleet.tell("a.0", 2)
        counts = fleet.heard_of("a.0")
        self.assertEqual({name for name, n in counts.items() if n != 1}, {"a.0", relay})

    def test_a_relay_that_is_back_is_asked_again(self) -> None:
        fleet = Fleet({"a": 40, "b": 40})
        relay = self.relay_asked_by(fleet, "a.0")
        origin = next(name for name in fleet.zones if name.startswith("a.") and name != relay)
        fleet.frozen.add(relay)
        fleet.tell(origin, 1)
        fleet.now += SILENT_RELAY_MS
        self.assertNotEqual(self.relay_asked_by(fleet, origin), relay)
        fleet.frozen.clear()
        fleet.now += AVOIDED_MS
        self.assertEqual(self.relay_asked_by(fleet, origin), relay)

    def test_a_relay_that_answers_is_never_avoided(self) -> None:
        fleet = Fleet({"a": 40, "b": 40})
        relay = self.relay_asked_by(fleet, "a.0")
        origin = next(name for name in fleet.zones if name.startswith("a.") and name != relay)
        for number in range(20):
            fleet.tell(origin, number)
            fleet.now += 10 * SILENT_RELAY_MS
            self.assertEqual(self.relay_asked_by(fleet, origin), relay)
            fleet.tell(origin, number)

    def test_one_without_requests_of_late_is_told_that_its_relay_is_there_and_no_more(self) -> None:
        fleet = Fleet({"a": 40})
        relay = fleet.relays[self.relay_asked_by(fleet, "a.0")]
        relay.passed_on(0.0)
        relay.received(0.0, "a.1", Reach.FLEET, [News("a.1", 1, [])])
        self.assertEqual([parcel.receiver for parcel in relay.passed_on(ANSWERED_MS)], ["a.1"])
        relay.received(ANSWERED_MS, "a.2", Reach.FLEET, [News("a.2", 1, told(1))])
        self.assertEqual([parcel.receiver for parcel in relay.passed_on(LISTENING_MS)], ["a.2"])
        relay.received(LISTENING_MS, "a.3", Reach.GROUP, [News("b.1", 1, told(1))])
        self.assertEqual(relay.passed_on(LISTENING_MS + ANSWERED_MS + 1), [])

    def test_news_that_comes_over_two_relays_is_taken_once(self) -> None:
        relay = AnnouncementRelay("a.0")
        relay.set_proxies({f"a.{number}": "a" for number in range(40)})
        first, second = News("a.3", 5, told(1)), News("a.3", 6, told(2))
        taken = [
            relay.received(1.0, sender, Reach.RECEIVER, list(news))
            for sender, news in (("a.1", [first]), ("a.2", [first, second]), ("a.1", [second]))
        ]
        self.assertEqual(taken, [[first], [second], []])

    def test_news_of_a_proxy_that_is_not_listed_is_not_taken(self) -> None:
        relay = AnnouncementRelay("a.0")
        relay.set_proxies({"a.0": "a", "a.1": "a"})
        news = [News(origin, 1, told(1)) for origin in ("a.0", "a.1", "a.2")]
        self.assertEqual(relay.received(1.0, "a.1", Reach.RECEIVER, news), [news[1]])

    def test_a_proxy_that_starts_anew_with_other_serials_is_heard(self) -> None:
        relay = AnnouncementRelay("a.0")
        relay.set_proxies({"a.0": "a", "a.1": "a"})
        for serial in (900, 901, 3, 4):
            self.assertEqual(len(relay.received(1.0, "a.1", Reach.RECEIVER, [News("a.1", serial, [])])), 1)

    def test_many_announcements_go_in_pieces_that_fit_a_packet(self) -> None:
        relay = AnnouncementRelay("a.0")
        relay.set_proxies({"a.0": "a", "a.1": "a"})
        [parcel] = relay.own_news(0.0, told(1) * (2 * MOST_AT_ONCE + 1))
        self.assertEqual([len(news.announcements) for news in parcel.news], [MOST_AT_ONCE, MOST_AT_ONCE, 1])
        self.assertEqual(len({news.serial for news in parcel.news}), 3)

    def test_what_is_gathered_is_bounded(self) -> None:
        fleet = Fleet({"a": 40})
        relay = fleet.relays["a.0"]
        relay.received(0.0, "a.2", Reach.FLEET, [News("a.2", 7, [])])
        relay.received(0.0, "a.1", Reach.GROUP, [News("a.1", 1, [])] * (2 * MOST_GATHERED))
        relay.received(0.0, "a.1", Reach.GROUP, [News("a.1", 2, [])] * 5)
        self.assertEqual(len(relay.passed_on(1.0)[0].news), MOST_GATHERED + 1)

    def test_views_that_differ_for_a_while_end_in_no_circle(self) -> None:
        fleet = Fleet({"a": 40, "b": 40, "c": 40})
        for number, relay in enumerate(fleet.relays.values()):
            known = {name: zone for i, (name, zone) in enumerate(fleet.zones.items()) if (i + number) % 5}
            relay.set_proxies(known)
        for origin in list(fleet.zones)[:30]:
            fleet.tell(origin, 1)
            self.assertFalse(any(relay.has_gathered for relay in fleet.relays.values()))
            self.assertLess(max(fleet.heard_of(origin).values()), 5)


if __name__ == "__main__":
    unittest.main()
