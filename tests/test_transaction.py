"""The owner of transactions, with a real module or a scripted one and a carrier that keeps notes."""

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
from brackenusher.core.pipe import Budget, End, Pipe
from brackenusher.core.transaction import RESERVE, Failed, Observers, Refused, Served, Transactions
from brackenusher.records.tally import Tally


class Carrier:
    def __init__(self):
        self.started, self.cancelled = [], []
        self.on_start = lambda attempt: None

    def start(self, attempt):
        self.started.append(attempt)
        self.on_start(attempt)

    def cancel(self, attempt):
        self.cancelled.append(attempt)


class Script:
    """A module that answers each event as it is told."""

    def __init__(self, **replies):
        self.replies, self.seen = replies, []

    def handle(self, now, event):
        self.seen.append(event)
        reply = self.replies.get(type(event).__name__, lambda e: [])
        return reply(event)


class World:
    def __init__(self, module=None):
        self.now, self.deadlines, self.carrier, self.answers = 1000.0, Deadlines(), Carrier(), []
        self.count = 0
        module = module or Balancer(settings(), 1, self.now)
        self.owner = Transactions(module, lambda: self.now, self.deadlines, self.carrier)
        self.owner.post(face.ListChanged(ListScope.COMPLETE, [face.Entry("a", State.LIVE)]))

    def arrive(self, span=800.0, klass=0, name=None):
        self.count += 1
        name = name or b"%d" % self.count
        return self.owner.arrive(name, klass, span, Message(b"GET", b"/r"), self.answers.append)

    def pass_time(self, span):
        end = self.now + span
        while self.now < end:
            self.now += 1.0
            self.deadlines.sweep(self.now)


SEND = {"Arrived": lambda e: [face.Send(e.request, "a")]}


def test_a_served_attempt_is_the_final_answer_and_leaves_nothing_behind():
    world = World()
    world.arrive()
    world.owner.finished(world.carrier.started[0], Outcome.SERVED, Served(Content(b"board")))
    world.owner.finished(world.carrier.started[0], Outcome.TIMEOUT)
    assert world.answers == [Served(Content(b"board"))]
    assert not world.owner.open and not world.owner.balancer.requests


def test_each_transaction_is_answered_once_whatever_the_module_says():
    twice = {"Arrived": lambda e: [face.Fail(e.request), face.Refuse(e.request, 5.0)]}
    world = World(Script(**twice))
    world.arrive()
    assert world.answers == [Failed()] and not world.owner.open


def test_the_name_of_an_open_transaction_is_not_taken_a_second_time():
    # guards against two requests that pool members know as one: the answer to one would serve the other
    world = World()
    first = world.arrive(name=b"a")
    assert first and world.arrive(name=b"a") is None and len(world.carrier.started) == 1
    world.owner.finished(world.carrier.started[0], Outcome.SERVED, Served(Content(b"board")))
    assert world.answers == [Served(Content(b"board"))] and world.arrive(name=b"a")
    assert world.owner.open_ids == {b"a"}


def test_an_outcome_that_comes_while_acting_waits_its_turn():
    # guards against the module being entered a second time from inside an action
    world = World(Script(**SEND))
    world.carrier.on_start = lambda attempt: world.owner.finished(attempt, Outcome.CONNECT_FAILED)
    world.arrive()
    assert [type(e) for e in world.owner.balancer.seen[1:]] == [face.Arrived, face.Finished]
    world.now += 800
    world.deadlines.sweep(world.now)
    assert world.answers == [Failed()]


def test_a_held_request_is_refused_at_once_when_the_module_gives_it_up():
    world = World()
    world.owner.post(face.ListChanged(ListScope.COMPLETE, []))
    world.arrive()
    world.pass_time(799.0)
    assert [type(a) for a in world.answers] == [Refused] and not world.owner.unanswered


def test_the_last_guard_answers_and_logs_what_nobody_answered(caplog):
    world = World(Script())
    world.arrive(800.0)
    world.pass_time(799.0)
    assert world.answers == []
    world.pass_time(1.0)
    assert world.answers == [Failed()] and world.owner.unanswered == 1
    assert "unanswered" in caplog.text
    assert type(world.owner.balancer.seen[-1]) is face.Left


def test_the_modules_deadline_leaves_time_for_the_answers_way():
    world = World(Script())
    world.arrive(800.0)
    assert world.owner.balancer.seen[-1].deadline == world.now + 800.0 - RESERVE


def test_an_attempt_ends_no_later_than_its_own_time_out():
    world = World(Script(Arrived=lambda e: [face.Send(e.request, "a", 30.0), face.Send(e.request, "a")]))
    world.arrive(800.0)
    assert [a.deadline - world.now for a in world.carrier.started] == [30.0, 800.0 - RESERVE]


def test_a_client_that_left_has_its_attempts_cancelled_and_gets_no_answer():
    world = World()
    transaction = world.arrive(klass=KEYED)
    world.owner.left(transaction)
    assert world.carrier.cancelled == world.carrier.started != []
    assert world.answers == [] and not world.owner.open and not world.owner.balancer.requests


def test_a_send_for_what_is_over_is_not_carried_out():
    # guards against sending for a client whose leaving still waits to be told to the module
    world = World(Script(TimerDue=lambda e: [face.Send(1, "a")]))
    transaction = world.arrive()
    world.owner.dispatching = True
    world.owner.left(transaction)
    world.owner.dispatching = False
    world.owner.events.appendleft(face.TimerDue(0))
    world.owner.post(face.TimerDue(0))
    outcomes = [e.outcome for e in world.owner.balancer.seen if isinstance(e, face.Finished)]
    assert outcomes == [Outcome.NOT_SENT, Outcome.NOT_SENT] and world.carrier.started == []


@pytest.mark.parametrize("where", ["module", "carrier"])
def test_an_exception_is_logged_with_its_trace_and_costs_its_transaction_only(where, caplog):
    script = Script(**SEND)
    world = World(script)
    first = world.arrive()
    if where == "module":
        script.replies["Arrived"] = lambda e: 1 / 0
    else:
        world.carrier.on_start = lambda attempt: 1 / 0
    with caplog.at_level(logging.ERROR):
        world.arrive()
    assert "ZeroDivisionError" in caplog.text
    if where == "carrier":  # the module hears that nothing was sent, and decides
        assert script.seen[-1].outcome is Outcome.NOT_SENT
        world.deadlines.sweep(world.now + 800.0)
    assert world.answers[0] == Failed()
    assert first.over is (where == "carrier")


class Weighed(Message):
    __slots__ = ("__weakref__",)


def test_what_a_request_held_goes_with_its_end_and_waits_for_no_collection():
    # guards against long bodies kept in a circle of transaction and attempts: dozens of MB until it is looked
    world = World()
    gc.disable()
    try:
        message = Weighed(b"POST", b"/r", body=b"move")
        seen = weakref.ref(message)
        world.owner.arrive(b"x", 0, 800.0, message, world.answers.append)
        world.owner.finished(world.carrier.started.pop(), Outcome.SERVED, Served(Content(b"board")))
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
        st.tuples(st.just("drip"), st.sampled_from([*End])),
    ),
    max_size=60,
)


@hypothesis.given(STEPS)
def test_the_figures_add_up_at_every_moment(steps):
    # guards against a request counted twice, or never: what came is what ended and what is in hand
    world = World()
    world.owner.balancer.conf.classes[0].name = "c"
    tally = Tally(settings(), lambda: world.now, lambda now: (1, 0), lambda: world.owner.taken, lambda: 0)
    world.owner.observers = Observers(answered=(tally.answered,), turned_away=(tally.turned_away,))
    pipes, taken, away = [], [], 0
    for what, how in steps:
        out = [attempt for attempt in world.carrier.started if attempt.outcome is None]
        if what == "arrive":
            taken.append(world.arrive(klass=how))
        elif what == "away":
            away += 1
            world.owner.turn_away(Request(b"x", 0, 1.0, 0, False, Message(b"GET", b"/")), "door" + how)
        elif what == "finish" and out:
            served = Served(Content(b"board")) if how is Outcome.SERVED else None
            world.owner.finished(out[0], how, served)
        elif what == "drip" and out:
            pipes.append((Pipe(Budget(1)), how))
            world.owner.finished(out[0], Outcome.SERVED, Served(Content(b"", rest=pipes[-1][0])))
        elif what == "leave" and taken:
            world.owner.left(taken[how % len(taken)])
        elif what == "wait":
            world.pass_time(how)
        ended = sum(tally.success) + sum(tally.busy) + sum(tally.failure) + sum(tally.abandoned)
        assert world.owner.taken + away == ended + tally.inflight
        pouring = sum(pipe.end is None for pipe, _ in pipes)
        assert tally.inflight == sum(not t.over for t in taken) + pouring
    for pipe, end in pipes:
        pipe.stop(end)
    assert tally.inflight == sum(not t.over for t in taken)
