"""Distribution of announcements through relays: delivery, duplicates, unresponsive relays and loops."""

import unittest
from collections import Counter

from barleybarrow.routing.announcement_relay import (
    ACTIVE_FORWARDING_MS,
    KEEPALIVE_FORWARDING_MS,
    MAX_ANNOUNCEMENTS_PER_UPDATE,
    MAX_DIRECT_PROXIES,
    MAX_PENDING_UPDATES,
    RELAY_BACKOFF_MS,
    RELAY_TIMEOUT_MS,
    TARGET_GROUP_SIZE,
    AnnouncementRelay,
    AnnouncementUpdate,
    ForwardingScope,
    OutgoingMessage,
)
from barleybarrow.routing.announcements import Announcement

BATCH_INTERVAL_MS = 10.0
HOP_MS = 1.0


def make_announcements(number: int) -> list[Announcement]:
    return [Announcement("llm", f"s{number}", "5a", 1, number)]


class Fleet:
    """Simulation of the proxies of several zones that exchange datagrams in virtual time."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.zones = {f"{zone}.{number}": zone for zone, count in zones.items() for number in range(count)}
        self.relays = {proxy: AnnouncementRelay(proxy) for proxy in self.zones}
        self.received_updates: dict[str, list[AnnouncementUpdate]] = {proxy: [] for proxy in self.zones}
        self.unresponsive: set[str] = set()
        self.sent = Counter[str]()
        self.now = 0.0
        for relay in self.relays.values():
            relay.set_proxies(self.zones)

    def send(self, proxy: str, number: int) -> None:
        """Send an announcement of one proxy and deliver all datagrams that follow."""
        self._deliver(
            [
                (proxy, message)
                for message in self.relays[proxy].messages_for(self.now, make_announcements(number))
            ]
        )

    def send_from_all(self) -> None:
        """Send from all proxies at once, so that relays forward to all of them; clears what they receive."""
        due = [
            (name, message)
            for name, relay in self.relays.items()
            if name not in self.unresponsive
            for message in relay.messages_for(self.now, make_announcements(0))
        ]
        self._deliver(due)
        for updates in self.received_updates.values():
            updates.clear()

    def _deliver(self, due: list[tuple[str, OutgoingMessage]]) -> None:
        for _ in range(4):
            self.now += HOP_MS
            arrived, due = due, []
            for sender, message in arrived:
                due += self._receive(sender, message)
            self.now += BATCH_INTERVAL_MS
            for name, relay in self.relays.items():
                if relay.has_pending and name not in self.unresponsive:
                    due += [(name, message) for message in relay.take_forwards(self.now)]

    def _receive(self, sender: str, message: OutgoingMessage) -> list[tuple[str, OutgoingMessage]]:
        self.sent[sender] += 1
        if message.receiver in self.unresponsive:
            return []
        relay = self.relays[message.receiver]
        self.received_updates[message.receiver] += relay.receive(
            self.now, sender, message.scope, message.updates
        )
        if message.scope is ForwardingScope.GROUP:  # the announcer acknowledges to the sender
            return [(message.receiver, OutgoingMessage(sender, ForwardingScope.RECEIVER, []))]
        return []

    def take_receive_counts(self, origin: str) -> Counter[str]:
        """How many updates of `origin` each proxy received since the last call."""
        counts = Counter(
            {
                name: sum(update.origin == origin for update in updates)
                for name, updates in self.received_updates.items()
            }
        )
        for updates in self.received_updates.values():
            updates.clear()
        return counts


class RelayTests(unittest.TestCase):
    def assert_received_once(self, fleet: Fleet, origin: str) -> None:
        counts = fleet.take_receive_counts(origin)
        self.assertEqual(counts.pop(origin), 0)
        self.assertEqual({name: n for name, n in counts.items() if n != 1}, {})

    def test_small_fleet_sends_directly(self) -> None:
        fleet = Fleet({"a": MAX_DIRECT_PROXIES // 2, "b": MAX_DIRECT_PROXIES // 2})
        fleet.send("a.0", 1)
        self.assert_received_once(fleet, "a.0")
        self.assertEqual(set(fleet.sent), {"a.0"})
        self.assertFalse(fleet.relays["a.0"].uses_relays)

    def test_every_proxy_of_a_large_fleet_receives_each_update_once(self) -> None:
        fleet = Fleet({"a": 33, "b": 30, "c": 27})
        for origin in fleet.zones:
            fleet.send_from_all()
            fleet.send(origin, 7)
            self.assert_received_once(fleet, origin)

    def test_large_zone_is_split_among_several_relays(self) -> None:
        fleet = Fleet({"a": 4 * TARGET_GROUP_SIZE})
        fleet.send_from_all()
        fleet.sent.clear()
        fleet.send("a.5", 1)
        self.assert_received_once(fleet, "a.5")
        self.assertGreater(len([name for name, sent in fleet.sent.items() if sent > 5]), 2)
        self.assertLess(max(fleet.sent.values()), 2 * TARGET_GROUP_SIZE)

    def test_proxy_without_peers_sends_nothing(self) -> None:
        relay = AnnouncementRelay("a.0")
        self.assertEqual(relay.messages_for(0.0, make_announcements(1)), [])
        relay.set_proxies({"a.0": "a"})
        self.assertEqual(relay.messages_for(0.0, make_announcements(1)), [])
        self.assertFalse(relay.has_pending)

    def test_unlisted_proxy_sends_nothing_but_forwards(self) -> None:
        fleet = Fleet({"a": 40})
        relay = AnnouncementRelay("a.new")
        relay.set_proxies(fleet.zones)
        self.assertEqual(relay.messages_for(0.0, make_announcements(1)), [])
        relay.receive(
            0.0, "a.1", ForwardingScope.FLEET, [AnnouncementUpdate("a.1", 1, make_announcements(1))]
        )
        messages = relay.take_forwards(1.0)
        self.assertEqual(
            [message.scope for message in messages], [ForwardingScope.RECEIVER, ForwardingScope.GROUP]
        )
        self.assertEqual(messages[0].receiver, "a.1")

    def relay_of(self, fleet: Fleet, proxy: str) -> str:
        messages = fleet.relays[proxy].messages_for(fleet.now, make_announcements(0))
        return messages[0].receiver if messages else proxy

    def test_next_relay_replaces_a_silent_one_of_the_own_group(self) -> None:
        fleet = Fleet({"a": 40, "b": 40})
        relay = self.relay_of(fleet, "a.0")
        origin = next(name for name in fleet.zones if name.startswith("a.") and name != relay)
        fleet.unresponsive.add(relay)
        fleet.send(origin, 1)
        self.assertEqual(sum(fleet.take_receive_counts(origin).values()), 0)
        fleet.send_from_all()
        fleet.now += RELAY_TIMEOUT_MS
        fleet.send_from_all()
        fleet.send(origin, 2)
        counts = fleet.take_receive_counts(origin)
        self.assertEqual({name for name, n in counts.items() if n != 1}, {origin, relay})

    def test_next_relay_replaces_a_silent_one_of_another_group(self) -> None:
        fleet = Fleet({"a": 40, "b": 40})
        relay = self.relay_of(fleet, "b.0")
        fleet.unresponsive.add(relay)
        fleet.send("a.0", 1)
        fleet.now += RELAY_TIMEOUT_MS
        fleet.take_receive_counts("a.0")
        fleet.send_from_all()
        fleet.now += RELAY_TIMEOUT_MS
        fleet.send_from_all()
        fleet.send("a.0", 2)
        counts = fleet.take_receive_counts("a.0")
        self.assertEqual({name for name, n in counts.items() if n != 1}, {"a.0", relay})

    def test_relay_is_used_again_after_its_backoff(self) -> None:
        fleet = Fleet({"a": 40, "b": 40})
        relay = self.relay_of(fleet, "a.0")
        origin = next(name for name in fleet.zones if name.startswith("a.") and name != relay)
        fleet.unresponsive.add(relay)
        fleet.send(origin, 1)
        fleet.now += RELAY_TIMEOUT_MS
        self.assertNotEqual(self.relay_of(fleet, origin), relay)
        fleet.unresponsive.clear()
        fleet.now += RELAY_BACKOFF_MS
        self.assertEqual(self.relay_of(fleet, origin), relay)

    def test_relay_that_responds_is_never_replaced(self) -> None:
        fleet = Fleet({"a": 40, "b": 40})
        relay = self.relay_of(fleet, "a.0")
        origin = next(name for name in fleet.zones if name.startswith("a.") and name != relay)
        for number in range(20):
            fleet.send(origin, number)
            fleet.now += 10 * RELAY_TIMEOUT_MS
            self.assertEqual(self.relay_of(fleet, origin), relay)
            fleet.send(origin, number)

    def test_proxy_without_recent_requests_gets_acknowledgements_only(self) -> None:
        fleet = Fleet({"a": 40})
        relay = fleet.relays[self.relay_of(fleet, "a.0")]
        relay.take_forwards(0.0)
        relay.receive(0.0, "a.1", ForwardingScope.FLEET, [AnnouncementUpdate("a.1", 1, [])])
        self.assertEqual(
            [message.receiver for message in relay.take_forwards(KEEPALIVE_FORWARDING_MS)], ["a.1"]
        )
        relay.receive(
            KEEPALIVE_FORWARDING_MS,
            "a.2",
            ForwardingScope.FLEET,
            [AnnouncementUpdate("a.2", 1, make_announcements(1))],
        )
        self.assertEqual([message.receiver for message in relay.take_forwards(ACTIVE_FORWARDING_MS)], ["a.2"])
        relay.receive(
            ACTIVE_FORWARDING_MS,
            "a.3",
            ForwardingScope.GROUP,
            [AnnouncementUpdate("b.1", 1, make_announcements(1))],
        )
        self.assertEqual(relay.take_forwards(ACTIVE_FORWARDING_MS + KEEPALIVE_FORWARDING_MS + 1), [])

    def test_duplicates_through_two_relays_are_dropped(self) -> None:
        relay = AnnouncementRelay("a.0")
        relay.set_proxies({f"a.{number}": "a" for number in range(40)})
        first, second = (
            AnnouncementUpdate("a.3", 5, make_announcements(1)),
            AnnouncementUpdate("a.3", 6, make_announcements(2)),
        )
        accepted = [
            relay.receive(1.0, sender, ForwardingScope.RECEIVER, list(updates))
            for sender, updates in (("a.1", [first]), ("a.2", [first, second]), ("a.1", [second]))
        ]
        self.assertEqual(accepted, [[first], [second], []])

    def test_updates_of_unlisted_proxies_are_dropped(self) -> None:
        relay = AnnouncementRelay("a.0")
        relay.set_proxies({"a.0": "a", "a.1": "a"})
        updates = [AnnouncementUpdate(origin, 1, make_announcements(1)) for origin in ("a.0", "a.1", "a.2")]
        self.assertEqual(relay.receive(1.0, "a.1", ForwardingScope.RECEIVER, updates), [updates[1]])

    def test_restarted_proxy_with_other_sequence_numbers_is_accepted(self) -> None:
        relay = AnnouncementRelay("a.0")
        relay.set_proxies({"a.0": "a", "a.1": "a"})
        for sequence in (900, 901, 3, 4):
            self.assertEqual(
                len(
                    relay.receive(
                        1.0, "a.1", ForwardingScope.RECEIVER, [AnnouncementUpdate("a.1", sequence, [])]
                    )
                ),
                1,
            )

    def test_many_announcements_are_split_into_updates(self) -> None:
        relay = AnnouncementRelay("a.0")
        relay.set_proxies({"a.0": "a", "a.1": "a"})
        [message] = relay.messages_for(0.0, make_announcements(1) * (2 * MAX_ANNOUNCEMENTS_PER_UPDATE + 1))
        self.assertEqual(
            [len(update.announcements) for update in message.updates],
            [MAX_ANNOUNCEMENTS_PER_UPDATE, MAX_ANNOUNCEMENTS_PER_UPDATE, 1],
        )
        self.assertEqual(len({update.sequence for update in message.updates}), 3)

    def test_pending_updates_are_bounded(self) -> None:
        fleet = Fleet({"a": 40})
        relay = fleet.relays["a.0"]
        relay.receive(0.0, "a.2", ForwardingScope.FLEET, [AnnouncementUpdate("a.2", 7, [])])
        relay.receive(
            0.0, "a.1", ForwardingScope.GROUP, [AnnouncementUpdate("a.1", 1, [])] * (2 * MAX_PENDING_UPDATES)
        )
        relay.receive(0.0, "a.1", ForwardingScope.GROUP, [AnnouncementUpdate("a.1", 2, [])] * 5)
        self.assertEqual(len(relay.take_forwards(1.0)[0].updates), MAX_PENDING_UPDATES + 1)

    def test_differing_views_cause_no_forwarding_loop(self) -> None:
        fleet = Fleet({"a": 40, "b": 40, "c": 40})
        for number, relay in enumerate(fleet.relays.values()):
            known = {name: zone for i, (name, zone) in enumerate(fleet.zones.items()) if (i + number) % 5}
            relay.set_proxies(known)
        for origin in list(fleet.zones)[:30]:
            fleet.send(origin, 1)
            self.assertFalse(any(relay.has_pending for relay in fleet.relays.values()))
            self.assertLess(max(fleet.take_receive_counts(origin).values()), 5)


if __name__ == "__main__":
    unittest.main()
