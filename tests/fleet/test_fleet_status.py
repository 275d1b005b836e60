"""What the command line is told of the fleet, and questions about a request to all proxies."""

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
from brackenusher.runtime.request_journal import MAX_EVENTS, RequestJournal
from tests.fleet.virtual_time import run_virtual

Handler = Callable[[str, betterproto.Message], None]


class Network:
    """Carries messages between processes at once, but to those that are cut off."""

    def __init__(self) -> None:
        self.processes: dict[str, MemoryLinks] = {}
        self.cut: set[str] = set()

    def add(self, address: str, role: str) -> "MemoryLinks":
        hello = messages.Hello(address=address, role=role, node_name=f"node-{address}", zone="z")
        self.processes[address] = MemoryLinks(self, hello)
        return self.processes[address]


class MemoryLinks:
    """The part of Links that these modules use."""

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
        if address not in self.network.cut:
            carried = type(message)().parse(bytes(message))
            for handler in peer.handlers.get(type(message), []):
                asyncio.get_running_loop().call_soon(handler, self.own.address, carried)
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
    """The documents of the topics."""

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

    def test_history_and_what_is_not_known(self) -> None:
        self.assertEqual(self.tell("history")[0]["version"], 7)
        self.assertIsNone(self.tell("weather"))

    def journal(self, address: str) -> RequestJournal:
        journal = RequestJournal(lambda: 1.0)
        StatusResponder(as_links(self.network.processes[address]), journal.tell)
        return journal

    def test_explain_asks_all_proxies(self) -> None:
        self.journal("p:1")
        self.journal("p:2").note("r-1", "sent", "i-1")
        self.journal("p:3")
        expected = [{"proxy": "p:2", "events": [{"after_ms": 0.0, "event": "sent", "details": "i-1"}]}]
        self.assertEqual(self.tell("explain:r-1"), expected)
        self.assertIsNone(self.tell("explain:r-2"))

    def test_explain_waits_for_who_is_cut_off_but_not_for_long(self) -> None:
        self.journal("p:1").note("r-1", "arrived")
        self.network.cut = {"p:2", "p:3"}

        async def story() -> tuple[object, float]:
            return await self.status.tell("explain:r-1"), asyncio.get_running_loop().time()

        found, ended = run_virtual(story())
        self.assertEqual(ended, EXPLAIN_TIMEOUT_S)
        self.assertEqual([part["proxy"] for part in cast(list[dict[str, object]], found)], ["p:1"])


class CallsTest(unittest.TestCase):
    """Questions over links."""

    def setUp(self) -> None:
        self.network = Network()
        self.asker, self.peer = self.network.add("c:1", "control"), self.network.add("p:1", "proxy")
        self.caller = StatusClient(as_links(self.asker))

    def ask(self, topic: str = "t") -> dict[str, object]:
        return run_virtual(self.caller.query(["p:1", "p:9"], topic, 1.0))

    def test_nobody_can_be_asked(self) -> None:
        async def story() -> float:
            self.assertEqual(await self.caller.query(["p:9"], "t", 1.0), {})
            return asyncio.get_running_loop().time()

        self.assertEqual(run_virtual(story()), 0.0)

    def test_who_knows_nothing_is_left_out_and_not_waited_for(self) -> None:
        StatusResponder(as_links(self.peer), lambda topic: None)

        async def story() -> float:
            self.assertEqual(await self.caller.query(["p:1"], "t", 1.0), {})
            return asyncio.get_running_loop().time()

        self.assertEqual(run_virtual(story()), 0.0)

    def test_a_link_that_comes_up_anew_does_not_end_the_wait(self) -> None:
        async def story() -> float:
            loop = asyncio.get_running_loop()
            loop.call_later(0.25, self.asker.change_handlers[0], "p:1", self.peer.own)
            await self.caller.query(["p:1"], "t", 1.0)
            return loop.time()

        self.assertEqual(run_virtual(story()), 1.0)

    def test_answers_of_any_kind(self) -> None:
        documents: dict[str, object] = {"t-1": {"a": [1]}, "t-2": [], "t-3": 0, "t-4": "text"}
        StatusResponder(as_links(self.peer), documents.get)
        for topic, document in documents.items():
            with self.subTest(topic):
                self.assertEqual(self.ask(topic), {"p:1": document})

    def test_too_large_an_answer_is_left_out(self) -> None:
        StatusResponder(as_links(self.peer), lambda topic: "x" * MAX_REPLY_BYTES)
        with self.assertLogs("brackenusher.cluster.status_calls", "WARNING"):
            self.assertEqual(self.ask(), {})

    def test_a_link_that_goes_down_ends_the_wait(self) -> None:
        async def story() -> float:
            loop = asyncio.get_running_loop()
            loop.call_later(0.25, self.asker.change_handlers[0], "p:1", None)
            self.assertEqual(await self.caller.query(["p:1"], "t", 1.0), {})
            return loop.time()

        self.assertEqual(run_virtual(story()), 0.25)

    def test_late_and_foreign_replies_are_ignored(self) -> None:
        async def story() -> None:
            reply = messages.StatusReply(id=1, document=b"1")
            for sender in ("p:1", "x:1"):
                for handler in self.asker.handlers[messages.StatusReply]:
                    handler(sender, reply)
            asking = asyncio.get_running_loop().create_task(self.caller.query(["p:1"], "t", 1.0))
            await asyncio.sleep(0)
            for handler in self.asker.handlers[messages.StatusReply]:
                handler("x:1", reply)
            self.assertEqual(await asking, {})

        run_virtual(story())


class JournalTest(unittest.TestCase):
    """The memory of requests."""

    def setUp(self) -> None:
        self.now = 10.0
        self.journal = RequestJournal(lambda: self.now, max_requests=3)

    def test_events_in_their_order(self) -> None:
        self.journal.note("r", "arrived", "route", "r-1")
        self.now += 0.0125
        self.journal.note("r", "sent", "i-1", 2)
        expected = [
            {"after_ms": 0.0, "event": "arrived", "details": "route r-1"},
            {"after_ms": 12.5, "event": "sent", "details": "i-1 2"},
        ]
        self.assertEqual(self.journal.explain("r"), expected)
        self.assertEqual(self.journal.tell("explain:r"), expected)
        self.journal.note("summary", "arrived")
        self.assertIsNone(self.journal.tell("summary"))

    def test_the_oldest_requests_give_way(self) -> None:
        for number in range(5):
            self.journal.note(f"r-{number}", "arrived")
        known = [self.journal.explain(f"r-{number}") is not None for number in range(5)]
        self.assertEqual(known, [False, False, True, True, True])

    def test_events_of_one_request_are_bounded(self) -> None:
        for _ in range(MAX_EVENTS + 5):
            self.journal.note("r", "sent")
        rows = self.journal.explain("r")
        assert rows is not None
        self.assertEqual((len(rows), rows[-1]["details"]), (MAX_EVENTS + 1, "5"))
