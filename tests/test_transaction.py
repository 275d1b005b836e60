"""Transactions with the real policy or a scripted one, and a transport that records attempts."""

import gc
import logging
import weakref

import hypothesis
import pytest
from helpers import KEYED, settings
from hypothesis import strategies as st

from barleybarrow import interface as face
from barleybarrow.brain import Balancer
from barleybarrow.interface import ListScope, Outcome, State
from brackenusher.core.admission import Request
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.message import Content, Message
from brackenusher.core.pipe import Pipe, PipeBudget, PipeEnd
from brackenusher.core.transaction import (
    RESPONSE_RESERVE_MS,
    Failed,
    Observers,
    Refused,
    Served,
    Transactions,
)
from brackenusher.records.tally import RequestCounts


class FakeTransport:
    def __init__(self):
        self.started, self.cancelled = [], []
        self.on_start = lambda attempt: None

    def start(self, attempt):
        self.started.append(attempt)
        self.on_start(attempt)

    def cancel(self, attempt):
        self.cancelled.append(attempt)


class ScriptedPolicy:
    """A policy with a fixed reaction to each kind of event."""

    def __init__(self, **replies):
        self.replies, self.events = replies, []

    def handle(self, now, event):
        self.events.append(event)
        make_actions = self.replies.get(type(event).__name__, lambda e: [])
        return make_actions(event)


class Harness:
    def __init__(self, policy=None):
        self.now, self.deadlines, self.transport, self.answers = 1000.0, Deadlines(), FakeTransport(), []
        self.last_id = 0
        policy = policy or Balancer(settings(), 1, self.now)
        self.owner = Transactions(policy, lambda: self.now, self.deadlines, self.transport)
        self.owner.post(face.ListChanged(ListScope.COMPLETE, [face.Entry("a", State.LIVE)]))

    def accept(self, timeout_ms=800.0, class_index=0, request_id=None):
        self.last_id += 1
        request_id = request_id or b"%d" % self.last_id
        return self.owner.accept(
            request_id, class_index, timeout_ms, Message(b"GET", b"/r"), self.answers.append
        )

    def advance(self, duration_ms):
        end = self.now + duration_ms
        while self.now < end:
            self.now += 1.0
            self.deadlines.run_due(self.now)


SEND_ON_ARRIVAL = {"Arrived": lambda e: [face.Send(e.request, "a")]}


def test_served_attempt_is_final_and_frees_all_state():
    harness = Harness()
    harness.accept()
    harness.owner.finished(harness.transport.started[0], Outcome.SERVED, Served(Content(b"board")))
    harness.owner.finished(harness.transport.started[0], Outcome.TIMEOUT)
    assert harness.answers == [Served(Content(b"board"))]
    assert not harness.owner.open and not harness.owner.balancer.requests


def test_each_transaction_is_answered_once():
    twice = {"Arrived": lambda e: [face.Fail(e.request), face.Refuse(e.request, 5.0)]}
    harness = Harness(ScriptedPolicy(**twice))
    harness.accept()
    assert harness.answers == [Failed()] and not harness.owner.open


def test_id_of_open_transaction_is_not_accepted_again():
    # guards against two requests with one id: pool members could answer one with the response to the other
    harness = Harness()
    first = harness.accept(request_id=b"a")
    assert first and harness.accept(request_id=b"a") is None and len(harness.transport.started) == 1
    harness.owner.finished(harness.transport.started[0], Outcome.SERVED, Served(Content(b"board")))
    assert harness.answers == [Served(Content(b"board"))] and harness.accept(request_id=b"a")
    assert harness.owner.open_ids == {b"a"}


def test_outcome_during_an_action_is_queued():
    # guards against re-entering the policy from within an action
    harness = Harness(ScriptedPolicy(**SEND_ON_ARRIVAL))
    harness.transport.on_start = lambda attempt: harness.owner.finished(attempt, Outcome.CONNECT_FAILED)
    harness.accept()
    assert [type(e) for e in harness.owner.balancer.events[1:]] == [face.Arrived, face.Finished]
    harness.now += 800
    harness.deadlines.run_due(harness.now)
    assert harness.answers == [Failed()]


def test_held_request_is_refused_when_policy_gives_it_up():
    harness = Harness()
    harness.owner.post(face.ListChanged(ListScope.COMPLETE, []))
    harness.accept()
    harness.advance(799.0)
    assert [type(a) for a in harness.answers] == [Refused] and not harness.owner.unanswered_count


def test_unanswered_request_is_failed_and_logged_at_deadline(caplog):
    harness = Harness(ScriptedPolicy())
    harness.accept(800.0)
    harness.advance(799.0)
    assert harness.answers == []
    harness.advance(1.0)
    assert harness.answers == [Failed()] and harness.owner.unanswered_count == 1
    assert "unanswered" in caplog.text
    assert type(harness.owner.balancer.events[-1]) is face.Left


def test_policy_deadline_reserves_time_for_the_response():
    harness = Harness(ScriptedPolicy())
    harness.accept(800.0)
    assert harness.owner.balancer.events[-1].deadline == harness.now + 800.0 - RESPONSE_RESERVE_MS


def test_attempt_deadline_is_bounded_by_its_timeout():
    harness = Harness(
        ScriptedPolicy(Arrived=lambda e: [face.Send(e.request, "a", 30.0), face.Send(e.request, "a")])
    )
    harness.accept(800.0)
    assert [a.deadline - harness.now for a in harness.transport.started] == [
        30.0,
        800.0 - RESPONSE_RESERVE_MS,
    ]


def test_client_disconnect_cancels_attempts():
    harness = Harness()
    transaction = harness.accept(class_index=KEYED)
    harness.owner.client_left(transaction)
    assert harness.transport.cancelled == harness.transport.started != []
    assert harness.answers == [] and not harness.owner.open and not harness.owner.balancer.requests


def test_send_for_closed_transaction_is_not_carried_out():
    # guards against sending for a disconnected client while the event is still queued for the policy
    harness = Harness(ScriptedPolicy(TimerDue=lambda e: [face.Send(1, "a")]))
    transaction = harness.accept()
    harness.owner.dispatching = True
    harness.owner.client_left(transaction)
    harness.owner.dispatching = False
    harness.owner.events.appendleft(face.TimerDue(0))
    harness.owner.post(face.TimerDue(0))
    outcomes = [e.outcome for e in harness.owner.balancer.events if isinstance(e, face.Finished)]
    assert outcomes == [Outcome.NOT_SENT, Outcome.NOT_SENT] and harness.transport.started == []


@pytest.mark.parametrize("where", ["module", "carrier"])
def test_exception_is_logged_and_fails_its_transaction_only(where, caplog):
    script = ScriptedPolicy(**SEND_ON_ARRIVAL)
    harness = Harness(script)
    first = harness.accept()
    if where == "module":
        script.replies["Arrived"] = lambda e: 1 / 0
    else:
        harness.transport.on_start = lambda attempt: 1 / 0
    with caplog.at_level(logging.ERROR):
        harness.accept()
    assert "ZeroDivisionError" in caplog.text
    if where == "carrier":  # the policy learns that nothing was sent, and decides
        assert script.events[-1].outcome is Outcome.NOT_SENT
        harness.deadlines.run_due(harness.now + 800.0)
    assert harness.answers[0] == Failed()
    assert first.closed is (where == "carrier")


class WeakReferenceableMessage(Message):
    __slots__ = ("__weakref__",)


def test_finished_request_is_freed_without_garbage_collection():
    # guards against long bodies kept by a reference cycle of transaction and attempts: dozens of MB until the
    # next garbage collection
    harness = Harness()
    gc.disable()
    try:
        message = WeakReferenceableMessage(b"POST", b"/r", body=b"move")
        seen = weakref.ref(message)
        harness.owner.accept(b"x", 0, 800.0, message, harness.answers.append)
        harness.owner.finished(harness.transport.started.pop(), Outcome.SERVED, Served(Content(b"board")))
        del message
        assert seen() is None
    finally:
        gc.enable()


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("arrive"), st.sampled_from([0, 1, 2])),
        st.tuples(st.just("away"), st.sampled_from([" refused", " rejected"])),
        st.tuples(st.just("finish"), st.sampled_from([*Outcome])),
        st.tuples(st.just("leave"), st.integers(0, 50)),
        st.tuples(st.just("wait"), st.integers(1, 900)),
        st.tuples(st.just("drip"), st.sampled_from([*PipeEnd])),
    ),
    max_size=60,
)


@hypothesis.given(STEPS)
def test_metrics_add_up_at_every_step(steps):
    # guards against a request counted twice or never: arrived = ended + in flight
    harness = Harness()
    harness.owner.balancer.conf.classes[0].name = "c"
    tally = RequestCounts(
        settings(), lambda: harness.now, lambda now: (1, 0), lambda: harness.owner.accepted_count, lambda: 0
    )
    harness.owner.observers = Observers(on_answer=(tally.on_answer,), on_denial=(tally.on_denial,))
    pipes, accepted, denied = [], [], 0
    for what, how in steps:
        in_flight = [attempt for attempt in harness.transport.started if attempt.outcome is None]
        if what == "arrive":
            accepted.append(harness.accept(class_index=how))
        elif what == "away":
            denied += 1
            harness.owner.record_denial(Request(b"x", 0, 1.0, 0, False, Message(b"GET", b"/")), "door" + how)
        elif what == "finish" and in_flight:
            served = Served(Content(b"board")) if how is Outcome.SERVED else None
            harness.owner.finished(in_flight[0], how, served)
        elif what == "drip" and in_flight:
            pipes.append((Pipe(PipeBudget(1)), how))
            harness.owner.finished(in_flight[0], Outcome.SERVED, Served(Content(b"", body_pipe=pipes[-1][0])))
        elif what == "leave" and accepted:
            harness.owner.client_left(accepted[how % len(accepted)])
        elif what == "wait":
            harness.advance(how)
        ended = sum(tally.success) + sum(tally.busy) + sum(tally.failure) + sum(tally.abandoned)
        assert harness.owner.accepted_count + denied == ended + tally.inflight
        streaming = sum(pipe.end is None for pipe, _ in pipes)
        assert tally.inflight == sum(not t.closed for t in accepted) + streaming
    for pipe, end in pipes:
        pipe.close(end)
    assert tally.inflight == sum(not t.closed for t in accepted)
