"""Tests of the status documents, the status calls to all proxies, and the request journal."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any, cast

import betterproto

from barleybarrow.replication.records import InstanceModel, InstanceRecord, InstanceState
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.cluster.status_calls import MAX_REPLY_BYTES, StatusClient, StatusResponder
from brackenusher.control_plane.fleet_status import EXPLAIN_TIMEOUT_S, FleetStatus
from brackenusher.runtime.request_journal import MAX_EVENTS_PER_REQUEST, RequestJournal
from tests.fleet.virtual_time import run_virtual

Handler = Callable[[str, betterproto.Message], None]


class Network:
    """Delivers messages between processes at once, except to partitioned ones."""

    def __init__(self) -> None:
        self.processes: dict[str, MemoryLinks] = {}
        self.partitioned: set[str] = set()

    def add(self, address: str, role: str) -> "MemoryLinks":
        hello = messages.Hello(address=address, role=role, node_name=f"node-{address}", zone="z")
        self.processes[address] = MemoryLinks(self, hello)
        return self.processes[address]


class MemoryLinks:
    """The methods of `Links` used here, in memory."""

    def __init__(self, network: Network, own: messages.Hello) -> None:
        self.network, self.own = network, own
        self.handlers: dict[type, list[Handler]] = {}
        self.change_handlers: list[Callable[[str, messages.Hello | None], None]] = []

    def on_message(self, kind: type, handler: Handler) -> None:
        self.handlers.setdefault(kind, []).append(handler)

    def on_change(self, handler: Callable[[str, messages.Hello | None], None]) -> None:
        self.change_handlers.append(handler)

    def connected(self) -> dict[str, messages.Hello]:
        return {a: links.own for a, links in self.network.processes.items() if links is not self}

    def send(self, address: str, message: betterproto.Message) -> bool:
        peer = self.network.processes.get(address)
        if peer is None:
            return False
        if address not in self.network.partitioned:
            received = type(message)().parse(bytes(message))
            for handler in peer.handlers.get(type(message), []):
                asyncio.get_running_loop().call_soon(handler, self.own.address, received)
        return True


def as_links(links: MemoryLinks) -> Links:
    return cast(Links, links)


class FakeShard:
    def status(self) -> dict[str, object]:
        return {"version": 7, "leader": "c:1"}

    def history(self) -> list[dict[str, object]]:
        return [{"version": 7, "digest": "ab", "at_ms": 5}]


class FakeRegistry:
    def __init__(self) -> None:
        self.records = [
            InstanceRecord("i-2", "s", "a:2", "z", "v1", 4, InstanceState.DRAINING),
            InstanceRecord("i-1", "s", "a:1", "z", "v1", 4, models=[InstanceModel("m")]),
        ]

    def status(self) -> dict[str, object]:
        return {"settled": True}

    def feed_records(self, shard: int, ids: None) -> list[Any]:
        return self.records if shard == 1 else []


class FakeFeeds:
    def __init__(self) -> None:
        self.statuses = {
            "p:1": messages.ProxyStatus(config_version=7, requests_in_flight=3, ready=True),
            "p:2": messages.ProxyStatus(config_version=5, ready=False),
        }


class FakeMonitor:
    def __init__(self) -> None:
        views = (
            messages.MemberView("p:1", "proxy", "n-1", "z", 1, False),
            messages.MemberView("c:1", "control", "n-2", "z", 1, True),
        )
        self.members = {view.address: view for view in views}


class StatusTest(unittest.TestCase):
    """The documents of the status topics."""

    def setUp(self) -> None:
        self.network = Network()
        self.control = self.network.add("c:1", "control")
        for number in (1, 2, 3):
            self.network.add(f"p:{number}", "proxy")
        self.status = FleetStatus(
            as_links(self.control), FakeShard(), FakeRegistry(), FakeFeeds(), FakeMonitor()
        )

    def tell(self, topic: str) -> Any:
        return run_virtual(self.status.tell(topic))

    def test_summary(self) -> None:
        summary = self.tell("summary")
        self.assertEqual(summary["configuration"]["version"], 7)
        self.assertEqual(summary["links"], {"control": 0, "proxy": 3})
        expected = {"following": 2, "ready": 1, "requests_in_flight": 3, "versions": [5, 7]}
        self.assertEqual(summary["proxies"], expected)

    def test_members(self) -> None:
        control, proxy = self.tell("members")
        self.assertEqual(
            (control["role"], control["suspected"], "version" in control), ("control", True, False)
        )
        self.assertEqual((proxy["address"], proxy["version"], proxy["ready"]), ("p:1", 7, True))

    def test_servers(self) -> None:
        first, second = self.tell("servers")
        self.assertEqual((first["id"], first["state"], first["models"]), ("i-1", "ready", ["m"]))
        self.assertEqual((second["id"], second["state"]), ("i-2", "draining"))

    def test_history_and_unknown_topics(self) -> None:
        self.assertEqual(self.tell("history")[0]["version"], 7)
        self.assertIsNone(self.tell("weather"))

    def journal(self, address: str) -> RequestJournal:
        journal = RequestJournal(lambda: 1.0)
        StatusResponder(as_links(self.network.processes[address]), journal.status_document)
        return journal

    def test_explain_asks_all_proxies(self) -> None:
        self.journal("p:1")
        self.journal("p:2").record("r-1", "sent", "i-1")
        self.journal("p:3")
        expected = [{"proxy": "p:2", "events": [{"after_ms": 0.0, "event": "sent", "details": "i-1"}]}]
        self.assertEqual(self.tell("explain:r-1"), expected)
        self.assertIsNone(self.tell("explain:r-2"))

    def test_explain_waits_a_limited_time_for_partitioned_proxies(self) -> None:
        self.journal("p:1").record("r-1", "arrived")
        self.network.partitioned = {"p:2", "p:3"}

        async def scenario() -> tuple[object, float]:
            return await self.status.tell("explain:r-1"), asyncio.get_running_loop().time()

        found, elapsed_s = run_virtual(scenario())
        self.assertEqual(elapsed_s, EXPLAIN_TIMEOUT_S)
        self.assertEqual([entry["proxy"] for entry in cast(list[dict[str, object]], found)], ["p:1"])


class StatusCallsTest(unittest.TestCase):
    """Status calls over links."""

    def setUp(self) -> None:
        self.network = Network()
        self.control, self.peer = self.network.add("c:1", "control"), self.network.add("p:1", "proxy")
        self.caller = StatusClient(as_links(self.control))

    def ask(self, topic: str = "t") -> dict[str, object]:
        return run_virtual(self.caller.query(["p:1", "p:9"], topic, 1.0))

    def test_processes_that_are_not_connected_are_skipped(self) -> None:
        async def scenario() -> float:
            self.assertEqual(await self.caller.query(["p:9"], "t", 1.0), {})
            return asyncio.get_running_loop().time()

        self.assertEqual(run_virtual(scenario()), 0.0)

    def test_empty_replies_are_omitted_and_end_the_wait(self) -> None:
        StatusResponder(as_links(self.peer), lambda topic: None)

        async def scenario() -> float:
            self.assertEqual(await self.caller.query(["p:1"], "t", 1.0), {})
            return asyncio.get_running_loop().time()

        self.assertEqual(run_virtual(scenario()), 0.0)

    def test_a_new_link_does_not_end_the_wait(self) -> None:
        async def scenario() -> float:
            loop = asyncio.get_running_loop()
            loop.call_later(0.25, self.control.change_handlers[0], "p:1", self.peer.own)
            await self.caller.query(["p:1"], "t", 1.0)
            return loop.time()

        self.assertEqual(run_virtual(scenario()), 1.0)

    def test_replies_of_any_json_type(self) -> None:
        documents: dict[str, object] = {"t-1": {"a": [1]}, "t-2": [], "t-3": 0, "t-4": "text"}
        StatusResponder(as_links(self.peer), documents.get)
        for topic, document in documents.items():
            with self.subTest(topic):
                self.assertEqual(self.ask(topic), {"p:1": document})

    def test_oversized_replies_are_omitted(self) -> None:
        StatusResponder(as_links(self.peer), lambda topic: "x" * MAX_REPLY_BYTES)
        with self.assertLogs("brackenusher.cluster.status_calls", "WARNING"):
            self.assertEqual(self.ask(), {})

    def test_a_link_that_goes_down_ends_the_wait(self) -> None:
        async def scenario() -> float:
            loop = asyncio.get_running_loop()
            loop.call_later(0.25, self.control.change_handlers[0], "p:1", None)
            self.assertEqual(await self.caller.query(["p:1"], "t", 1.0), {})
            return loop.time()

        self.assertEqual(run_virtual(scenario()), 0.25)

    def test_late_replies_and_those_of_other_peers_are_ignored(self) -> None:
        async def scenario() -> None:
            reply = messages.StatusReply(id=1, document=b"1")
            for sender in ("p:1", "x:1"):
                for handler in self.control.handlers[messages.StatusReply]:
                    handler(sender, reply)
            pending_call = asyncio.get_running_loop().create_task(self.caller.query(["p:1"], "t", 1.0))
            await asyncio.sleep(0)
            for handler in self.control.handlers[messages.StatusReply]:
                handler("x:1", reply)
            self.assertEqual(await pending_call, {})

        run_virtual(scenario())


class RequestJournalTest(unittest.TestCase):
    """The journal of requests."""

    def setUp(self) -> None:
        self.now = 10.0
        self.journal = RequestJournal(lambda: self.now, max_requests=3)

    def test_events_are_in_order(self) -> None:
        self.journal.record("r", "arrived", "route", "r-1")
        self.now += 0.0125
        self.journal.record("r", "sent", "i-1", 2)
        expected = [
            {"after_ms": 0.0, "event": "arrived", "details": "route r-1"},
            {"after_ms": 12.5, "event": "sent", "details": "i-1 2"},
        ]
        self.assertEqual(self.journal.explain("r"), expected)
        self.assertEqual(self.journal.status_document("explain:r"), expected)
        self.journal.record("summary", "arrived")
        self.assertIsNone(self.journal.status_document("summary"))

    def test_the_oldest_requests_are_evicted(self) -> None:
        for number in range(5):
            self.journal.record(f"r-{number}", "arrived")
        known = [self.journal.explain(f"r-{number}") is not None for number in range(5)]
        self.assertEqual(known, [False, False, True, True, True])

    def test_events_of_one_request_are_limited(self) -> None:
        for _ in range(MAX_EVENTS_PER_REQUEST + 5):
            self.journal.record("r", "sent")
        rows = self.journal.explain("r")
        assert rows is not None
        self.assertEqual((len(rows), rows[-1]["details"]), (MAX_EVENTS_PER_REQUEST + 1, "5"))
