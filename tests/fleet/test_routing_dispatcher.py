"""The dispatcher by its events and actions: what is sent where, what is refused, what may be repeated."""

import random
import unittest

from barleybarrow.documents import Engine, Route, Service
from barleybarrow.routing.actions import (
    Action,
    DispatchRequest,
    DispatchSettings,
    Fail,
    Outcome,
    Refuse,
    Send,
    ServerInfo,
    ServerState,
)
from barleybarrow.routing.dispatcher import Dispatcher

ENGINE = Engine(slots=12, kv_capacity_tokens=100_000, stride=40)


def route(kind: str = "streaming", resumable: bool = False, max_attempts: int = 1) -> Route:
    return Route(
        "r", "h", "/p/", kind, 2_000.0, 200.0, 1, "llm", [], max_attempts, False, True, resumable, 150.0
    )


class DispatcherCase(unittest.TestCase):
    """A dispatcher with three engines, and short ways to tell it things."""

    def setUp(self) -> None:
        self.repeats_allowed = True
        self.dispatcher = Dispatcher(
            DispatchSettings("z", 4), random.Random(5), 0.0, lambda _: self.repeats_allowed
        )
        self.dispatcher.configure(0.0, {"llm": Service("llm", engine=ENGINE)}, [])
        self.list_servers(0.0, "a", "b", "c")
        self.next_id = 0

    def list_servers(self, now: float, *names: str, draining: tuple[str, ...] = ()) -> None:
        servers = [
            ServerInfo(
                name, f"{name}:80", "z", 12, ServerState.DRAINING if name in draining else ServerState.READY
            )
            for name in names
        ]
        self.dispatcher.servers(now, "llm", servers)

    def request(self, now: float, subject: str = "s", on: Route | None = None) -> DispatchRequest:
        self.next_id += 1
        parts = (("first", 2_000), (subject, 3_000), (f"own{self.next_id}", 1_000))
        return DispatchRequest(
            self.next_id, on or route(), "llm", "t", 1, now, now + 2_000.0, 6_000, 80, parts, "m"
        )

    def send(self, now: float, subject: str = "s", on: Route | None = None) -> Send:
        action = self.only(self.dispatcher.arrived(now, self.request(now, subject, on)))
        assert isinstance(action, Send)
        return action

    def only(self, actions: list[Action]) -> Action:
        self.assertEqual(len(actions), 1)
        return actions[0]

    def serve(self, send: Send, first_at: float, end_at: float) -> None:
        self.assertEqual(self.dispatcher.first_event(first_at, send.request_id, send.server_id), [])
        self.assertEqual(
            self.dispatcher.finished(end_at, send.request_id, send.server_id, Outcome.SERVED), []
        )


class SendingTests(DispatcherCase):
    def test_priority_is_passed_on(self) -> None:
        self.assertEqual(self.send(1.0).priority, 1)

    def test_a_subject_keeps_its_server(self) -> None:
        homes = set()
        for turn in range(5):
            send = self.send(turn * 1_000.0)
            self.serve(send, turn * 1_000.0 + 30.0, turn * 1_000.0 + 60.0)
            homes.add(send.server_id)
        self.assertEqual(len(homes), 1)

    def test_two_proxies_agree_on_the_server_of_a_subject(self) -> None:
        other = Dispatcher(DispatchSettings("y", 4), random.Random(77), 0.0)
        other.configure(0.0, {"llm": Service("llm", engine=ENGINE)}, [])
        other.servers(0.0, "llm", [ServerInfo(name, f"{name}:80", "z", 12) for name in "cba"])
        for number in range(20):
            mine = self.send(number * 1_000.0, f"subject{number}")
            self.serve(mine, number * 1_000.0 + 30.0, number * 1_000.0 + 60.0)
            theirs = other.arrived(number * 1_000.0, self.request(number * 1_000.0, f"subject{number}"))[0]
            assert isinstance(theirs, Send)
            other.first_event(number * 1_000.0 + 30.0, theirs.request_id, theirs.server_id)
            other.finished(number * 1_000.0 + 60.0, theirs.request_id, theirs.server_id, Outcome.SERVED)
            self.assertEqual(mine.server_id, theirs.server_id)

    def test_a_hot_subject_is_spread(self) -> None:
        self.assertEqual({self.send(0.0).server_id for _ in range(12)}, {"a", "b", "c"})

    def test_a_draining_server_gets_nothing(self) -> None:
        self.list_servers(0.0, "a", "b", "c", draining=("a", "b"))
        self.assertEqual({self.send(0.0, f"s{n}").server_id for n in range(6)}, {"c"})

    def test_no_server_is_refused_at_once_with_a_time_to_come_back(self) -> None:
        self.list_servers(0.0)
        action = self.only(self.dispatcher.arrived(5.0, self.request(5.0)))
        assert isinstance(action, Refuse)
        self.assertEqual(action.status, 503)
        self.assertGreater(action.retry_after_ms, 0)
        self.assertLessEqual(action.retry_after_ms, 2_000 / 3)


class FailureTests(DispatcherCase):
    def test_a_failed_connection_costs_no_attempt(self) -> None:
        send = self.send(0.0)
        action = self.only(self.dispatcher.connection_failed(1.0, send.request_id, send.server_id))
        assert isinstance(action, Send)
        self.assertNotEqual(action.server_id, send.server_id)

    def test_a_rejected_request_with_one_attempt_is_refused(self) -> None:
        send = self.send(0.0)
        action = self.only(self.dispatcher.rejected(1.0, send.request_id, send.server_id, 503, None))
        self.assertIsInstance(action, Refuse)

    def test_a_rejected_request_goes_on_while_attempts_and_budget_last(self) -> None:
        send = self.send(0.0, on=route(max_attempts=2))
        action = self.only(self.dispatcher.rejected(1.0, send.request_id, send.server_id, 503, None))
        assert isinstance(action, Send)
        self.assertNotEqual(action.server_id, send.server_id)
        last = self.only(self.dispatcher.rejected(2.0, action.request_id, action.server_id, 503, None))
        self.assertIsInstance(last, Refuse)

    def test_without_budget_nothing_is_repeated(self) -> None:
        self.repeats_allowed = False
        send = self.send(0.0, on=route(max_attempts=2))
        action = self.only(self.dispatcher.rejected(1.0, send.request_id, send.server_id, 503, None))
        self.assertIsInstance(action, Refuse)

    def test_a_broken_unsafe_request_fails_and_is_never_sent_again(self) -> None:
        send = self.send(0.0, on=route(max_attempts=2))
        action = self.only(self.dispatcher.finished(1.0, send.request_id, send.server_id, Outcome.BROKEN))
        assert isinstance(action, Fail)
        self.assertEqual(action.status, 502)

    def test_a_broken_resumable_stream_goes_on_elsewhere(self) -> None:
        send = self.send(0.0, on=route(resumable=True, max_attempts=2))
        self.dispatcher.first_event(10.0, send.request_id, send.server_id)
        action = self.only(
            self.dispatcher.finished(20.0, send.request_id, send.server_id, Outcome.BROKEN_STREAM)
        )
        assert isinstance(action, Send)
        self.assertNotEqual(action.server_id, send.server_id)

    def test_a_request_that_may_have_run_is_never_refused(self) -> None:
        send = self.send(0.0, on=route(resumable=True, max_attempts=2))
        self.list_servers(1.0)
        action = self.only(self.dispatcher.finished(2.0, send.request_id, send.server_id, Outcome.BROKEN))
        self.assertIsInstance(action, Fail)

    def test_a_server_that_breaks_twice_is_left_alone_and_comes_back(self) -> None:
        home = self.send(0.0).server_id
        self.dispatcher.connection_failed(1.0, 1, home)
        send = self.send(100_000.0)
        self.assertEqual(send.server_id, home)
        self.dispatcher.connection_failed(100_001.0, send.request_id, home)
        self.assertNotEqual(self.send(100_002.0).server_id, home)

    def test_a_full_server_is_busy_for_a_while(self) -> None:
        send = self.send(0.0)
        self.dispatcher.rejected(1.0, send.request_id, send.server_id, 503, None)
        self.assertNotEqual(self.send(2.0).server_id, send.server_id)

    def test_one_address_with_another_server_is_left_alone(self) -> None:
        send = self.send(0.0)
        self.dispatcher.rejected(1.0, send.request_id, send.server_id, 421, None)
        self.assertNotEqual(self.send(300.0).server_id, send.server_id)

    def test_events_of_an_abandoned_request_are_ignored(self) -> None:
        send = self.send(0.0)
        self.assertEqual(self.dispatcher.abandoned(1.0, send.request_id), [])
        self.assertEqual(self.dispatcher.first_event(2.0, send.request_id, send.server_id), [])
        self.assertEqual(self.dispatcher.finished(2.0, send.request_id, send.server_id, Outcome.BROKEN), [])


if __name__ == "__main__":
    unittest.main()
