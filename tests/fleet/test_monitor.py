"""Membership: who pings whom, what a majority of monitors says, and what members are told."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, cast

from barleybarrow.replication.monitoring import (
    DISCONNECTED_REMOVAL_MS,
    DISCONNECTED_SUSPECT_MS,
    MISSED_PINGS_LIMIT,
    MONITORED_PEERS,
    PING_INTERVAL_MS,
    REPORT_TTL_MS,
    STALL_THRESHOLD_MS,
    Member,
    MemberStatus,
    MemberTable,
    MergedMemberLists,
    PeerMonitor,
    ReachabilityReport,
)
from brackenusher.cluster import messages
from brackenusher.cluster.monitor import Monitor
from tests.fleet.fake_links import FakeNetwork
from tests.fleet.feed_world import CONTROL_PORT, PROXY_PORT, make_settings
from tests.fleet.virtual_time import play

LOSS = 0.1  # of datagrams


class PeerMonitorTest(unittest.TestCase):
    """One process's pings."""

    def test_three_misses_are_reported_once_and_an_answer_after_them(self) -> None:
        monitor = PeerMonitor("me")
        monitor.set_members(["me", "a"])
        now, orders = 0.0, monitor.tick(0.0)
        self.assertEqual([order.target for order in orders], ["a"])
        monitor.on_answer("a", orders[0].number, 10.0)
        self.assertEqual(monitor.take_reports(), [ReachabilityReport("a", True)])
        for _ in range(MISSED_PINGS_LIMIT + 3):
            now += PING_INTERVAL_MS
            orders = monitor.tick(now)
        self.assertEqual(monitor.take_reports(), [ReachabilityReport("a", False)])
        monitor.on_answer("a", orders[0].number, now + 10.0)
        self.assertEqual(monitor.take_reports(), [ReachabilityReport("a", True)])

    def test_answers_to_older_pings_count_for_nothing(self) -> None:
        monitor = PeerMonitor("me")
        monitor.set_members(["a"])
        first = monitor.tick(0.0)[0]
        monitor.tick(PING_INTERVAL_MS)
        monitor.on_answer("a", first.number, PING_INTERVAL_MS)
        self.assertEqual(monitor.take_reports(), [])

    def test_a_process_that_stood_still_blames_nobody(self) -> None:
        monitor = PeerMonitor("me")
        monitor.set_members(["a"])
        now = 0.0
        for _ in range(MISSED_PINGS_LIMIT):
            monitor.tick(now)
            now += PING_INTERVAL_MS
        monitor.tick(now + STALL_THRESHOLD_MS)
        self.assertEqual(monitor.take_reports(), [])

    def test_all_members_are_monitored_by_about_as_many(self) -> None:
        names = [f"10.0.{i // 200}.{i % 200}:7001" for i in range(400)]
        monitors = dict.fromkeys(names, 0)
        for name in names:
            monitor = PeerMonitor(name)
            monitor.set_members(names)
            self.assertEqual(len(monitor.targets), MONITORED_PEERS)
            self.assertNotIn(name, monitor.targets)
            for target in monitor.targets:
                monitors[target] += 1
        self.assertEqual(sum(monitors.values()), MONITORED_PEERS * len(names))
        self.assertLess(max(monitors.values()), 5 * MONITORED_PEERS)


def member(incarnation: int = 1) -> Member:
    return Member("proxy", "n", "z", incarnation)


class MemberTableTest(unittest.TestCase):
    """What control makes of reports."""

    def test_a_majority_of_monitors_decides(self) -> None:
        table = MemberTable()
        table.on_connected("a", member())
        for monitor, reachable in (("x", False), ("y", True), ("z", True)):
            table.on_report(monitor, ReachabilityReport("a", reachable), 0.0)
        self.assertFalse(table.statuses(1.0)[0].suspected)
        table.on_report("y", ReachabilityReport("a", False), 1.0)
        self.assertTrue(table.statuses(1.0)[0].suspected)
        table.on_report("y", ReachabilityReport("a", True), 2.0)
        self.assertFalse(table.statuses(2.0)[0].suspected)

    def test_old_reports_do_not_count(self) -> None:
        table = MemberTable()
        table.on_connected("a", member())
        table.on_report("x", ReachabilityReport("a", False), 0.0)
        self.assertFalse(table.statuses(REPORT_TTL_MS)[0].suspected)

    def test_a_new_start_clears_the_reports_on_the_one_before(self) -> None:
        table = MemberTable()
        table.on_connected("a", member())
        table.on_report("x", ReachabilityReport("a", False), 0.0)
        table.on_connected("a", member(2))
        self.assertFalse(table.statuses(0.0)[0].suspected)

    def test_changes_are_told_once_and_who_is_long_gone_is_removed(self) -> None:
        table = MemberTable()
        table.on_connected("a", member())
        table.on_connected("b", member())
        self.assertEqual(len(table.take_changes(0.0)), 2)
        self.assertEqual(table.take_changes(1.0), [])
        table.on_disconnected("a", 0.0)
        self.assertEqual([v.suspected for v in table.take_changes(DISCONNECTED_SUSPECT_MS)], [True])
        self.assertEqual([v.removed for v in table.take_changes(DISCONNECTED_REMOVAL_MS)], [True])
        self.assertEqual(table.take_changes(DISCONNECTED_REMOVAL_MS + 1.0), [])


def view(address: str, suspected: bool = False, removed: bool = False) -> MemberStatus:
    return MemberStatus(address, "proxy", "n", "z", 1, suspected, removed)


class ToldMembersTest(unittest.TestCase):
    """What a member makes of the lists of two control processes."""

    def test_a_list_after_a_new_link_replaces_the_one_before(self) -> None:
        told = MergedMemberLists()
        told.on_connected("c")
        told.apply_update("c", [view("a"), view("b")])
        told.apply_update("c", [view("a", removed=True)])
        self.assertEqual(set(told.members()), {"b"})
        told.on_connected("c")
        told.apply_update("c", [view("d")])
        self.assertEqual(set(told.members()), {"d"})

    def test_a_control_process_that_starts_takes_nobody_away(self) -> None:
        told = MergedMemberLists()
        told.apply_update("c", [view("a"), view("b")])
        told.on_connected("e")
        told.apply_update("e", [view("a", suspected=True)])
        self.assertEqual(set(told.members()), {"a", "b"})
        self.assertFalse(told.members()["a"].suspected)
        told.retain_sources(["e", "f"])
        self.assertEqual(set(told.members()), {"a"})
        told.retain_sources(["f"])
        self.assertEqual(set(told.members()), {"a"})


class Datagrams:
    """Carries datagrams between monitors; some are lost."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.monitors: dict[str, Monitor] = {}
        self.dark: set[str] = set()

    def carry(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        target = f"{address[0]}:{address[1]}"
        if self.rng.random() < LOSS or {sender, target} & self.dark or target not in self.monitors:
            return
        receive = self.monitors[target].datagram_received
        asyncio.get_running_loop().call_later(0.002, receive, data, ("", 0))


class DatagramEnd:
    """The transport of one process."""

    def __init__(self, datagrams: Datagrams, own: str) -> None:
        self.datagrams, self.own = datagrams, own

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.datagrams.carry(self.own, data, address)

    def is_closing(self) -> bool:
        return False


class Fleet:
    """Control processes and proxies that monitor each other, over fake links and datagrams."""

    def __init__(self) -> None:
        self.rng = random.Random(3)
        self.network = FakeNetwork(self.rng)
        self.datagrams = Datagrams(self.rng)
        self.voters = [f"10.0.0.{i}:{CONTROL_PORT}" for i in range(3)]
        self.learnt: dict[str, set[str]] = {}
        self.tasks: list[asyncio.Task[None]] = []
        for address in self.voters:
            self.start(address, "control")
        for i in range(6):
            self.start(f"10.1.0.{i}:{PROXY_PORT}", "proxy")

    def start(self, address: str, role: str, linked: bool = True) -> Monitor:
        hello = messages.Hello(address=address, role=role, incarnation=self.rng.getrandbits(40) + 1)
        links: Any = self.network.open(hello)
        monitor = Monitor(make_settings(address.partition(":")[0], []), links, self.rng)
        monitor.connection_made(cast(asyncio.BaseTransport, DatagramEnd(self.datagrams, address)))
        self.datagrams.monitors[address] = monitor
        self.learnt[address] = set()
        monitor.on_controls.append(self.learnt[address].update)
        if role == "control":
            links.on_change(lambda peer, hello: self._greet(links, peer, hello))
        for voter in self.voters if linked else ():
            links.connect(voter)
        self.tasks.append(asyncio.create_task(self._tick(links, monitor)))
        return monitor

    def _greet(self, links: Any, peer: str, hello: messages.Hello | None) -> None:
        if hello is not None:
            links.send(peer, messages.Members([links.own], self.voters, 1, ""))

    async def _tick(self, links: Any, monitor: Monitor) -> None:
        while links.alive:
            monitor.tick()
            await asyncio.sleep(0.1)

    def views(self, address: str) -> dict[str, bool]:
        """Who is a member, and whether it is suspected."""
        return {a: v.suspected for a, v in self.datagrams.monitors[address].members.items()}


def story(test: Callable[["MonitorTest", Fleet], Awaitable[None]]) -> Callable[["MonitorTest"], None]:
    """A test that is played in a fleet of its own."""

    def run(self: "MonitorTest") -> None:
        async def whole() -> None:
            fleet = Fleet()
            await asyncio.sleep(6.0)
            await test(self, fleet)
            self.assertEqual(fleet.network.errors, [])

        play(whole())

    return run


class MonitorTest(unittest.TestCase):
    """The driver."""

    @story
    async def test_everybody_is_told_of_everybody(self, fleet: Fleet) -> None:
        for address, monitor in fleet.datagrams.monitors.items():
            self.assertEqual(fleet.views(address), dict.fromkeys(fleet.datagrams.monitors, False), address)
            self.assertEqual(monitor.count_proxies(), 6)

    @story
    async def test_lost_datagrams_make_nobody_suspected(self, fleet: Fleet) -> None:
        for _ in range(60):
            await asyncio.sleep(1.0)
            for address in fleet.datagrams.monitors:
                self.assertFalse(any(fleet.views(address).values()))

    @story
    async def test_a_process_that_its_monitors_cannot_reach_is_suspected(self, fleet: Fleet) -> None:
        dark = next(
            a
            for a in fleet.datagrams.monitors
            if sum(a in other._peer_monitor.targets for other in fleet.datagrams.monitors.values()) > 1
        )
        fleet.datagrams.dark.add(dark)
        await asyncio.sleep(8.0)
        for address in fleet.datagrams.monitors:
            self.assertTrue(fleet.views(address)[dark], address)
        fleet.datagrams.dark.clear()
        await asyncio.sleep(4.0)
        for address in fleet.datagrams.monitors:
            self.assertFalse(fleet.views(address)[dark], address)

    @story
    async def test_a_process_that_ends_is_suspected_and_then_removed(self, fleet: Fleet) -> None:
        ended = f"10.1.0.2:{PROXY_PORT}"
        fleet.network.kill(ended, silent=True)
        del fleet.datagrams.monitors[ended]
        await asyncio.sleep(8.0)
        for address, monitor in fleet.datagrams.monitors.items():
            self.assertTrue(fleet.views(address)[ended], address)
            self.assertEqual(monitor.count_proxies(), 5)
        await asyncio.sleep(40.0)
        for address in fleet.datagrams.monitors:
            self.assertNotIn(ended, fleet.views(address))

    @story
    async def test_a_process_without_seeds_learns_the_voters_by_pings(self, fleet: Fleet) -> None:
        address = f"10.1.0.2:{PROXY_PORT}"
        fleet.network.kill(address, silent=False)
        del fleet.datagrams.monitors[address]
        await asyncio.sleep(1.0)
        fleet.start(address, "proxy", linked=False)
        await asyncio.sleep(4.0)
        self.assertEqual(fleet.learnt[address], set(fleet.voters))

    @story
    async def test_damaged_datagrams_are_ignored(self, fleet: Fleet) -> None:
        monitor = fleet.datagrams.monitors[fleet.voters[0]]
        for size in (0, 1, 4, 5, 9, 200, 3000):
            monitor.datagram_received(fleet.rng.randbytes(size), ("", 0))


if __name__ == "__main__":
    unittest.main()
