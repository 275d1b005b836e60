"""The oracle finds what it is there to find: bugs planted in the shipped code, each seen by its promise.

Every scenario is also played with the code as it stands, which keeps all promises: the bug is what fires.
"""

import pytest

from barleybarrow.brain import Balancer
from barleybarrow.interface import Outcome, State
from brackenusher.core.transaction import Transactions
from brackenusher.upstream.pool import Pool
from testbed import scenario as config
from testbed import world
from testbed.proxy import Carry

BASE = """
name = "planted"
seconds = 4.0
proxies = 2
servers = 6
[load]
of_capacity = 0.5
[discovery]
add_ms = 200.0
gone_ms = 300.0
[network]
idle_ms = 2000.0
[rules]
tip_multiple = 2.0
tip_after = 500.0
[[kinds]]
name = "k"
cores = 2
cold_from = 0.1
cold_ms = 3000.0
"""
CLASS = """
[[classes]]
name = "c"
work_ms = 40.0
aim = 300.0
deadline = 700.0
effect = "{effect}"
window = 3000.0
group = "{group}"
"""
FAULT = """
[[faults]]
kind = "{kind}"
at = 1000.0
lasts = {lasts}
part = {part}
size = 0.5
"""
SEED = 3


def scene(effect="safe", group="all", kind="", lasts=1500.0, part=0.5, load=0.5):
    text = BASE.replace("of_capacity = 0.5", f"of_capacity = {load}")
    text += CLASS.format(effect=effect, group=group)
    return config.parse(text + (FAULT.format(kind=kind, lasts=lasts, part=part) if kind else ""))


def repeat_without_proof(patch):
    patch.setattr(Balancer, "may_send", lambda self, r: len(r.attempts) < self.conf.max_attempts)


def repeat_outside_the_group(patch):
    patch.setattr(Balancer, "same_group", lambda self, r, b, klass: True)


def drop_answers(patch):
    real = Transactions.answer

    def answer(self, request, content):
        transaction = self.open.get(request)
        if transaction is not None and not transaction.closed and request % 20 == 0:
            self.close(transaction)  # and nobody is told
        else:
            real(self, request, content)

    patch.setattr(Transactions, "answer", answer)


def answer_late(patch):
    real = Transactions.accept

    def accept(self, name, klass, span, *rest, **more):
        return real(self, name, klass, span + 200.0, *rest, **more)

    patch.setattr(Transactions, "accept", accept)


def forget_drains(patch):
    real = Balancer.on_list_changed

    def on_list_changed(self, event):
        for entry in event.entries:
            entry.state = State.LIVE if entry.state is State.DRAINING else entry.state
        real(self, event)

    patch.setattr(Balancer, "on_list_changed", on_list_changed)
    patch.setattr(Pool, "mark_leaving", lambda self, member: None)


def answer_twice(patch):
    real = Transactions.answer

    def answer(self, request, content):
        transaction = self.open.get(request)
        twice = transaction is not None and not transaction.closed and request % 20 == 0
        real(self, request, content)
        if twice:
            transaction.reply(content)

    patch.setattr(Transactions, "answer", answer)


def answer_with_anothers(patch):
    real, last = Transactions.finished, {}

    def finished(self, attempt, outcome, served=None):
        if served is not None and attempt.transaction.id % 20 == 0:
            served = last.get(self, served)
        if served is not None:
            last[self] = served
        real(self, attempt, outcome, served)

    patch.setattr(Transactions, "finished", finished)


def burst_on_cold(patch):
    def update_warmth(self, b):
        b.warmth = 1.0

    def pick(self, r):  # an idle server is a fast one: all that comes goes to who has least
        return min(self.live, key=lambda b: b.inflight, default=None)

    patch.setattr(Balancer, "update_warmth", update_warmth)
    patch.setattr(Balancer, "pick", pick)


def refuse_what_may_have_run(patch):
    patch.setattr(Balancer, "may_refuse", lambda self, r: True)


def send_nothing(patch):
    patch.setattr(Balancer, "pick", lambda self, r: None)


def call_an_error_proof(patch):
    """The carrier's bug: every record at the proxy says that it may repeat, and only what ran can tell."""
    real = Carry.end

    def end(self, outcome, served=None):
        real(self, Outcome.CONNECT_FAILED if outcome is Outcome.ERROR else outcome, served)

    patch.setattr(Carry, "end", end)


PLANTED = [
    ("second_effect", repeat_without_proof, scene("unsafe", kind="quick_errors")),
    ("second_effect", repeat_outside_the_group, scene("keyed", "cell", kind="quick_errors")),
    ("second_effect", call_an_error_proof, scene("unsafe", kind="quick_errors")),
    ("refused_ran", call_an_error_proof, scene("unsafe", kind="quick_errors", part=1.0)),
    ("in_time", drop_answers, scene()),
    ("in_time", answer_late, scene("unsafe", kind="hang", part=1.0)),
    ("drain", forget_drains, scene(kind="drain")),
    ("one_answer", answer_twice, scene()),
    ("one_answer", answer_with_anothers, scene()),
    ("cold", burst_on_cold, scene(kind="crash", part=0.5, lasts=500.0, load=0.7)),
    ("refused_ran", refuse_what_may_have_run, scene("unsafe", kind="lost_answers", part=1.0)),
    ("idle", send_nothing, scene()),
]
NAMES = [f"{promise}-{bug.__name__}" for promise, bug, _ in PLANTED]


@pytest.mark.parametrize(("promise", "bug", "scenario"), PLANTED, ids=NAMES)
def test_a_planted_bug_is_found(promise, bug, scenario, monkeypatch):
    assert world.run(scenario, SEED).breaches == []
    with monkeypatch.context() as patch:
        bug(patch)
        found = [b for b in world.run(scenario, SEED).breaches if b.promise == promise]
        assert found
        first = found[0]
        assert f"seed {SEED}" in first.text and first.proxy in (0, 1) and first.request > 0
        stopped = world.run(scenario, SEED, until=first.at)
        assert stopped.seconds * 1000.0 < first.at
        assert [b for b in stopped.breaches if b.promise == promise] == []
