"""Property test: the four rules hold for random legal events, and the checker detects violations.

The checker knows the rules only, nothing of servers: neither service times nor scores.
"""

import pytest
from helpers import settings
from hypothesis import HealthCheck, given
from hypothesis import settings as bounds
from hypothesis import strategies as st

from barleybarrow import interface as face
from barleybarrow.brain import Balancer
from barleybarrow.interface import Effect, Group, ListScope, Outcome, State

DEADLINE_TOLERANCE_MS = 20.0
NOT_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
NAMES = ("a", "b", "c", "d")


class RuleViolationError(AssertionError):
    """A rule is violated."""


class Checker:
    """Checks the events and actions of one proxy against the four rules."""

    def __init__(self, conf):
        self.conf, self.requests, self.entries = conf, {}, {}
        self.cold_sends = {}

    def arrived(self, event):
        self.requests[event.request] = {
            "class": self.conf.classes[event.klass],
            "deadline": event.deadline,
            "closed": False,
            "attempts": [],
        }

    def listed(self, now, event):
        named = {e.backend: e for e in event.entries}
        if event.scope is ListScope.COMPLETE:
            for name in list(self.entries):
                if name not in named:
                    self.entries[name] = face.Entry(name, State.GONE)
        if event.scope is not ListScope.LOST:
            self.entries.update(named)

    def settled(self, event):
        r = self.requests[event.request]
        r["attempts"][event.attempt]["outcome"] = event.outcome
        r["closed"] |= event.complete

    def action(self, now, action):
        if isinstance(action, face.Send):
            self.sent(now, action)
        elif isinstance(action, face.Refuse | face.Fail):
            self.answered(now, action)

    def may_have_run(self, r):
        return [a for a in r["attempts"] if a["outcome"] not in NOT_EXECUTED]

    def sent(self, now, action):
        r, entry = self.requests[action.request], self.entries[action.backend]
        if r["closed"]:
            raise RuleViolationError("sent after the end")
        if entry.state is not State.LIVE:
            raise RuleViolationError("sent to a backend that drains or is gone")
        running, effect = self.may_have_run(r), r["class"].effect
        if any(a["outcome"] is None for a in running) and not self.conf.parallel:
            raise RuleViolationError("two at once")
        if running and effect is Effect.UNSAFE:
            raise RuleViolationError("unsafe sent twice")
        if running and effect is Effect.KEYED:
            first = running[0]
            if now > first["at"] + r["class"].window:
                raise RuleViolationError("keyed sent after its window")
            if r["class"].group is Group.ZONE and first["entry"].zone != entry.zone:
                raise RuleViolationError("keyed sent outside its group")
        if len(r["attempts"]) >= self.conf.max_attempts:
            raise RuleViolationError("too many attempts")
        r["attempts"].append({"at": now, "entry": entry, "outcome": None})
        age = now - entry.started
        if entry.started and age < self.conf.cold:
            sends = self.cold_sends.setdefault((entry.backend, entry.started), [])
            sends.append(now)
            window = [t for t in sends if t > now - self.conf.tip_after]
            if len(window) > 12:
                raise RuleViolationError("a cold backend is pushed over")

    def answered(self, now, action):
        r = self.requests[action.request]
        if r["closed"]:
            return
        running, effect = self.may_have_run(r), r["class"].effect
        if isinstance(action, face.Refuse) and running:
            if effect is Effect.UNSAFE or effect is Effect.KEYED and r["class"].group is not Group.ALL:
                raise RuleViolationError("refused what may have run")
        r["closed"] = True
        if now > r["deadline"] + DEADLINE_TOLERANCE_MS:
            raise RuleViolationError("answered too late")

    def overdue(self, now):
        for r in self.requests.values():
            if not r["closed"] and now > r["deadline"] + DEADLINE_TOLERANCE_MS:
                raise RuleViolationError("lost")


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["arrive"] * 5 + ["settle"] * 4 + ["list", "leave", "wait"]),
        st.integers(0, 10_000),
    ),
    max_size=150,
)


class Play:
    """Turns drawn numbers into legal events for one proxy, under the checker."""

    def __init__(self, parallel):
        self.conf = settings(parallel=parallel, must_ask=True)
        self.now, self.ids, self.version = 500.0, 0, 0
        self.check = Checker(self.conf)
        self.brain = Balancer(self.conf, 3, self.now)
        self.timers = [a.at for a in self.brain.begin() if isinstance(a, face.SetTimer)]
        self.out = []
        self.entries = {n: face.Entry(n, State.LIVE, zone=i % 2) for i, n in enumerate(NAMES)}
        self.give(face.ListChanged(ListScope.COMPLETE, list(self.entries.values())))

    def give(self, event):
        if isinstance(event, face.Arrived):
            self.check.arrived(event)
        elif isinstance(event, face.Finished):
            self.check.settled(event)
        elif isinstance(event, face.ListChanged):
            self.check.listed(self.now, event)
        elif isinstance(event, face.Left):
            self.check.requests[event.request]["closed"] = True
        for action in self.brain.handle(self.now, event):
            if isinstance(action, face.SetTimer):
                self.timers.append(action.at)
            if isinstance(action, face.Send):
                number = len(self.check.requests[action.request]["attempts"])
                self.out.append((action.request, number, self.now))
            self.check.action(self.now, action)

    def settle(self, n, outcome=None):
        request, attempt, at = self.out.pop(n % len(self.out))
        outcome = outcome or list(Outcome)[n % len(Outcome)]
        closed = self.check.requests[request]["closed"] or outcome is Outcome.SERVED
        self.give(face.Finished(request, attempt, outcome, self.now - at, closed))

    def advance(self, span):
        end = self.now + span
        while self.now < end:
            self.now += 1
            for i in reversed(range(len(self.out))):
                if self.now >= self.check.requests[self.out[i][0]]["deadline"]:
                    self.settle(i, Outcome.TIMEOUT)
            due = [t for t in self.timers if t <= self.now]
            self.timers = [t for t in self.timers if t > self.now]
            for _ in due:
                self.give(face.TimerDue(0))
            self.check.overdue(self.now)

    def step(self, kind, n):
        if kind == "arrive":
            self.ids += 1
            self.give(face.Arrived(self.ids, n % 3, self.now + n % 801))
        elif kind == "settle" and self.out:
            self.settle(n)
        elif kind == "leave" and self.ids:
            request = 1 + n % self.ids
            if not self.check.requests[request]["closed"]:
                self.give(face.Left(request))
        elif kind == "list":
            self.change_list(n)
        elif kind == "wait":
            self.advance(n % 300)
        self.advance(n % 4)

    def change_list(self, n):
        name = NAMES[n % len(NAMES)]
        choice = n // 4 % 5
        if choice == 0:
            self.give(face.ListChanged(ListScope.LOST, []))
        elif choice == 1:
            self.give(face.ListChanged(ListScope.COMPLETE, [face.Entry(name, State.LIVE)]))
        else:
            state = (State.LIVE, State.DRAINING, State.GONE)[choice - 2]
            entry = face.Entry(name, state, self.now, zone=n % 2)
            self.give(face.ListChanged(ListScope.CHANGES, [entry]))


# Hypothesis derives the examples from the name and source of this function: a new wording draws others.
@bounds(
    derandomize=True, max_examples=60, deadline=None, suppress_health_check=list(HealthCheck), database=None
)
@given(steps=STEPS, parallel=st.booleans())
def test_the_four_rules_hold_for_random_legal_events(steps, parallel):
    play = Play(parallel)
    for kind, n in steps:
        play.step(kind, n)
    play.advance(900)
    assert all(r["closed"] for r in play.check.requests.values())


def without_rule(name, value):
    """A patch that disables one rule of the balancer."""

    def patch(monkeypatch):
        monkeypatch.setattr(Balancer, name, value)

    return patch


def run_steps(steps):
    driver = Play(True)
    for kind, n in steps:
        driver.step(kind, n)
    driver.advance(900)


@pytest.mark.parametrize(
    ("patch", "message", "steps"),
    [
        (
            without_rule("may_send", lambda self, r: True),
            "unsafe sent twice",
            [("arrive", 800), ("settle", 1)],
        ),
        (
            without_rule("may_refuse", lambda self, r: True),
            "refused what may have run",
            [("arrive", 800), ("settle", 1)],
        ),
        (without_rule("give_up", lambda self, r: None), "lost", [("arrive", 801)]),
    ],
)
def test_checker_detects_a_disabled_rule(monkeypatch, patch, message, steps):
    patch(monkeypatch)
    with pytest.raises(RuleViolationError, match=message):
        run_steps(steps)


def test_checker_detects_sends_to_draining_and_floods_of_cold_backends():
    check = Checker(settings())
    check.listed(0.0, face.ListChanged(ListScope.COMPLETE, [face.Entry("a", State.LIVE, started=1.0)]))
    for n in range(14):
        check.arrived(face.Arrived(n, 0, 800.0))
    with pytest.raises(RuleViolationError, match="pushed over"):
        for n in range(14):
            check.action(2.0, face.Send(n, "a"))
    check.listed(3.0, face.ListChanged(ListScope.CHANGES, [face.Entry("a", State.DRAINING)]))
    with pytest.raises(RuleViolationError, match="drains"):
        check.action(3.0, face.Send(0, "a"))
