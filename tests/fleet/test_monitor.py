"""Membership: choice of ping targets, decision by a majority of monitors, and distribution of the list."""

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
from tests.fleet.virtual_time import run_virtual

DATAGRAM_LOSS_RATIO = 0.1  # of datagrams


class PeerMonitorTest(unittest.TestCase):
    """The pings of one process."""

    def test_missed_pings_are_reported_once_and_a_later_answer_too(self) -> None:
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

    def test_answers_to_older_pings_are_ignored(self) -> None:
        monitor = PeerMonitor("me")
        monitor.set_members(["a"])
        first = monitor.tick(0.0)[0]
        monitor.tick(PING_INTERVAL_MS)
        monitor.on_answer("a", first.number, PING_INTERVAL_MS)
        self.assertEqual(monitor.take_reports(), [])

    def test_stalled_process_reports_no_peer_unreachable(self) -> None:
        monitor = PeerMonitor("me")
        monitor.set_members(["a"])
        now = 0.0
        for _ in range(MISSED_PINGS_LIMIT):
            monitor.tick(now)
            now += PING_INTERVAL_MS
        monitor.tick(now + STALL_THRESHOLD_MS)
        self.assertEqual(monitor.take_reports(), [])

    def test_members_have_similar_numbers_of_monitors(self) -> None:
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


def proxy_member(incarnation: int = 1) -> Member:
    return Member("proxy", "n", "z", incarnation)


class MemberTableTest(unittest.TestCase):
    """How control processes merge reports."""

    def test_majority_of_monitors_decides(self) -> None:
        table = MemberTable()
        table.on_connected("a", proxy_member())
        for monitor, reachable in (("x", False), ("y", True), ("z", True)):
            table.on_report(monitor, ReachabilityReport("a", reachable), 0.0)
        self.assertFalse(table.statuses(1.0)[0].suspected)
        table.on_report("y", ReachabilityReport("a", False), 1.0)
        self.assertTrue(table.statuses(1.0)[0].suspected)
        table.on_report("y", ReachabilityReport("a", True), 2.0)
        self.assertFalse(table.statuses(2.0)[0].suspected)

    def test_expired_reports_are_ignored(self) -> None:
        table = MemberTable()
        table.on_connected("a", proxy_member())
        table.on_report("x", ReachabilityReport("a", False), 0.0)
        self.assertFalse(table.statuses(REPORT_TTL_MS)[0].suspected)

    def test_restart_clears_reports_on_the_earlier_incarnation(self) -> None:
        table = MemberTable()
        table.on_connected("a", proxy_member())
        table.on_report("x", ReachabilityReport("a", False), 0.0)
        table.on_connected("a", proxy_member(2))
        self.assertFalse(table.statuses(0.0)[0].suspected)

    def test_changes_are_returned_once_and_absent_members_removed(self) -> None:
        table = MemberTable()
        table.on_connected("a", proxy_member())
        table.on_connected("b", proxy_member())
        self.assertEqual(len(table.take_changes(0.0)), 2)
        self.assertEqual(table.take_changes(1.0), [])
        table.on_disconnected("a", 0.0)
        self.assertEqual([v.suspected for v in table.take_changes(DISCONNECTED_SUSPECT_MS)], [True])
        self.assertEqual([v.removed for v in table.take_changes(DISCONNECTED_REMOVAL_MS)], [True])
        self.assertEqual(table.take_changes(DISCONNECTED_REMOVAL_MS + 1.0), [])


def member_status(address: str, suspected: bool = False, removed: bool = False) -> MemberStatus:
    return MemberStatus(address, "proxy", "n", "z", 1, suspected, removed)


class MergedMemberListsTest(unittest.TestCase):
    """How a member merges the lists of two control processes."""

    def test_list_after_a_reconnect_replaces_the_previous_one(self) -> None:
        merged = MergedMemberLists()
        merged.on_connected("c")
        merged.apply_update("c", [member_status("a"), member_status("b")])
        merged.apply_update("c", [member_status("a", removed=True)])
        self.assertEqual(set(merged.members()), {"b"})
        merged.on_connected("c")
        merged.apply_update("c", [member_status("d")])
        self.assertEqual(set(merged.members()), {"d"})

    def test_incomplete_list_of_a_starting_control_process_removes_nobody(self) -> None:
        merged = MergedMemberLists()
        merged.apply_update("c", [member_status("a"), member_status("b")])
        merged.on_connected("e")
        merged.apply_update("e", [member_status("a", suspected=True)])
        self.assertEqual(set(merged.members()), {"a", "b"})
        self.assertFalse(merged.members()["a"].suspected)
        merged.retain_sources(["e", "f"])
        self.assertEqual(set(merged.members()), {"a"})
        merged.retain_sources(["f"])
        self.assertEqual(set(merged.members()), {"a"})


class FakeDatagramNetwork:
    """Delivers datagrams between monitors; drops some at random."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.monitors: dict[str, Monitor] = {}
        self.unreachable: set[str] = set()

    def transmit(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        target = f"{address[0]}:{address[1]}"
        if (
            self.rng.random() < DATAGRAM_LOSS_RATIO
            or {sender, target} & self.unreachable
            or target not in self.monitors
        ):
            return
        receive = self.monitors[target].datagram_received
        asyncio.get_running_loop().call_later(0.002, receive, data, ("", 0))


class FakeDatagramTransport:
    """The datagram transport of one process."""

    def __init__(self, datagrams: FakeDatagramNetwork, own: str) -> None:
        self.network, self.own = datagrams, own

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.network.transmit(self.own, data, address)

    def is_closing(self) -> bool:
        return False


class MonitoredFleet:
    """Control processes and proxies that monitor each other, over fake links and datagrams."""

    def __init__(self) -> None:
        self.rng = random.Random(3)
        self.network = FakeNetwork(self.rng)
        self.datagram_network = FakeDatagramNetwork(self.rng)
        self.voters = [f"10.0.0.{i}:{CONTROL_PORT}" for i in range(3)]
        self.control_addresses: dict[str, set[str]] = {}
        self.tasks: list[asyncio.Task[None]] = []
        for address in self.voters:
            self.start(address, "control")
        for i in range(6):
            self.start(f"10.1.0.{i}:{PROXY_PORT}", "proxy")

    def start(self, address: str, role: str, linked: bool = True) -> Monitor:
        hello = messages.Hello(address=address, role=role, incarnation=self.rng.getrandbits(40) + 1)
        links: Any = self.network.add_process(hello)
        monitor = Monitor(make_settings(address.partition(":")[0], []), links, self.rng)
        monitor.connection_made(
            cast(asyncio.BaseTransport, FakeDatagramTransport(self.datagram_network, address))
        )
        self.datagram_network.monitors[address] = monitor
        self.control_addresses[address] = set()
        monitor.on_control_addresses.append(self.control_addresses[address].update)
        if role == "control":
            links.on_change(lambda peer, hello: self._send_members(links, peer, hello))
        for voter in self.voters if linked else ():
            links.connect(voter)
        self.tasks.append(asyncio.create_task(self._tick(links, monitor)))
        return monitor

    def _send_members(self, links: Any, peer: str, hello: messages.Hello | None) -> None:
        if hello is not None:
            links.send(peer, messages.Members([links.own], self.voters, 1, ""))

    async def _tick(self, links: Any, monitor: Monitor) -> None:
        while links.alive:
            monitor.tick()
            await asyncio.sleep(0.1)

    def suspected_by_address(self, address: str) -> dict[str, bool]:
        """Returns for each member whether it is suspected."""
        return {a: v.suspected for a, v in self.datagram_network.monitors[address].members.items()}


def in_fleet(
    scenario: Callable[["MonitorTest", MonitoredFleet], Awaitable[None]],
) -> Callable[["MonitorTest"], None]:
    """Decorates a test to run in a new fleet, in virtual time."""

    def run(self: "MonitorTest") -> None:
        async def run_scenario() -> None:
            fleet = MonitoredFleet()
            await asyncio.sleep(6.0)
            await scenario(self, fleet)
            self.assertEqual(fleet.network.errors, [])

        run_virtual(run_scenario())

    return run


class MonitorTest(unittest.TestCase):
    """The monitors of a whole fleet."""

    @in_fleet
    async def test_every_process_learns_all_members(self, fleet: MonitoredFleet) -> None:
        for address, monitor in fleet.datagram_network.monitors.items():
            self.assertEqual(
                fleet.suspected_by_address(address),
                dict.fromkeys(fleet.datagram_network.monitors, False),
                address,
            )
            self.assertEqual(monitor.count_proxies(), 6)

    @in_fleet
    async def test_lost_datagrams_cause_no_suspicion(self, fleet: MonitoredFleet) -> None:
        for _ in range(60):
            await asyncio.sleep(1.0)
            for address in fleet.datagram_network.monitors:
                self.assertFalse(any(fleet.suspected_by_address(address).values()))

    @in_fleet
    async def test_unreachable_process_is_suspected_until_it_recovers(self, fleet: MonitoredFleet) -> None:
        target = next(
            a
            for a in fleet.datagram_network.monitors
            if sum(a in other._peer_monitor.targets for other in fleet.datagram_network.monitors.values()) > 1
        )
        fleet.datagram_network.unreachable.add(target)
        await asyncio.sleep(8.0)
        for address in fleet.datagram_network.monitors:
            self.assertTrue(fleet.suspected_by_address(address)[target], address)
        fleet.datagram_network.unreachable.clear()
        await asyncio.sleep(4.0)
        for address in fleet.datagram_network.monitors:
            self.assertFalse(fleet.suspected_by_address(address)[target], address)

    @in_fleet
    async def test_stopped_process_is_suspected_and_then_removed(self, fleet: MonitoredFleet) -> None:
        stopped = f"10.1.0.2:{PROXY_PORT}"
        fleet.network.kill(stopped, silent=True)
        del fleet.datagram_network.monitors[stopped]
        await asyncio.sleep(8.0)
        for address, monitor in fleet.datagram_network.monitors.items():
            self.assertTrue(fleet.suspected_by_address(address)[stopped], address)
            self.assertEqual(monitor.count_proxies(), 5)
        await asyncio.sleep(40.0)
        for address in fleet.datagram_network.monitors:
            self.assertNotIn(stopped, fleet.suspected_by_address(address))

    @in_fleet
    async def test_process_without_seeds_learns_voters_from_pings(self, fleet: MonitoredFleet) -> None:
        address = f"10.1.0.2:{PROXY_PORT}"
        fleet.network.kill(address, silent=False)
        del fleet.datagram_network.monitors[address]
        await asyncio.sleep(1.0)
        fleet.start(address, "proxy", linked=False)
        await asyncio.sleep(4.0)
        self.assertEqual(fleet.control_addresses[address], set(fleet.voters))

    @in_fleet
    async def test_corrupt_datagrams_are_ignored(self, fleet: MonitoredFleet) -> None:
        monitor = fleet.datagram_network.monitors[fleet.voters[0]]
        for size in (0, 1, 4, 5, 9, 200, 3000):
            monitor.datagram_received(fleet.rng.randbytes(size), ("", 0))


if __name__ == "__main__":
    unittest.main()
