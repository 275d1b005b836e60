"""The rivals keep the common rules, and each chooses by its own."""

import random
from collections import Counter

import pytest

from barleybarrow import interface as face
from barleybarrow.interface import Effect, Entry, ListScope, Outcome, State
from testbed.policies import BOUND, POLICIES
from testbed.scenario import parse

RIVALS = [name for name in POLICIES if name != "module"]


class Sight:
    """A view in which servers are alike but for what a test sets."""

    def __init__(self, idle=4, dead=(), pace=None, fails=None):
        self.cores, self.dead, self.pace, self.failing = idle, dead, pace or {}, fails or {}

    def alive(self, server):
        return server not in self.dead

    def idle(self, server):
        return self.cores

    def fails(self, server):
        return self.failing.get(server, 0.0)

    def one_core(self, server):
        return self.pace.get(server, 1.0)


def settings(effect=Effect.SAFE, **more):
    klass = face.RequestClass(aim=500, deadline=1000, effect=effect, window=3000.0)
    more = {"max_attempts": 4, "max_retry_after": 600.0, "cold": 5000.0, "cold_from": 0.3} | more
    return face.Settings(classes=[klass], tick=5.0, tip_multiple=3.0, tip_after=1000.0, **more)


def ready(name, servers=4, conf=None, sight=None, started=0.0):
    policy = POLICIES[name](conf or settings(), 7, 0.0, sight or Sight())
    entries = [Entry(f"s{n}", State.LIVE, started) for n in range(servers)]
    policy.handle(0.0, face.ListChanged(ListScope.COMPLETE, entries))
    return policy


def ask(policy, request, now):
    return policy.handle(now, face.Arrived(request, 0, now + 1000.0))


def only(actions, kind):
    return [a for a in actions if isinstance(a, kind)]


def end(policy, request, now, outcome, attempt=0, elapsed=50.0):
    complete = outcome is Outcome.SERVED
    return policy.handle(now, face.Finished(request, attempt, outcome, elapsed, complete))


@pytest.mark.parametrize("name", RIVALS)
def test_a_repeat_goes_elsewhere_and_only_where_it_may(name):
    for effect, outcome, again in [
        (Effect.SAFE, Outcome.ERROR, True),
        (Effect.KEYED, Outcome.RESET, True),
        (Effect.UNSAFE, Outcome.FULL, True),
        (Effect.UNSAFE, Outcome.RESET, False),
    ]:
        policy = ready(name, conf=settings(effect))
        [first] = only(ask(policy, 1, 10.0), face.Send)
        actions = end(policy, 1, 40.0, outcome)
        sends = only(actions, face.Send)
        assert bool(sends) is again
        if again:
            assert sends[0].backend != first.backend
        else:
            assert only(actions, face.Fail) and not only(actions, face.Refuse)


@pytest.mark.parametrize("name", RIVALS)
def test_nothing_goes_to_a_server_that_drains(name):
    policy = ready(name, servers=2)
    policy.handle(5.0, face.ListChanged(ListScope.CHANGES, [Entry("s0", State.DRAINING)]))
    sent = [only(ask(policy, n, 10.0 + n), face.Send) for n in range(20)]
    assert {s.backend for sends in sent for s in sends} == {"s1"}


@pytest.mark.parametrize("name", RIVALS)
def test_what_finds_no_server_is_held_and_refused_in_time(name):
    policy = ready(name, servers=0)
    actions = ask(policy, 1, 10.0)
    now = 10.0
    while not (refused := only(actions, face.Refuse)):
        [timer] = only(actions, face.SetTimer)
        assert now < timer.at < 510.0
        now = timer.at
        actions = policy.handle(now, face.TimerDue(timer.token))
    assert refused == [face.Refuse(1, refused[0].retry_after)] and 0 < refused[0].retry_after <= 600.0
    assert policy.requests == {}


@pytest.mark.parametrize("name", [name for name in RIVALS if name != BOUND])
def test_a_cold_server_is_never_sent_what_may_push_it_over(name):
    policy, sent = ready(name, servers=1), []
    for n in range(300):  # 100 requests/s of 50 ms: the warm one does 5 ms of work a millisecond
        now = 10.0 * n
        if n == 100:
            cold = Entry("cold", State.LIVE, now)
            policy.handle(now, face.ListChanged(ListScope.CHANGES, [cold]))
        for action in only(ask(policy, n, now), face.Send):
            sent += [now] if action.backend == "cold" else []
            end(policy, n, now + 5, Outcome.SERVED)
    assert sent
    for at in sent:  # a window of `tip_after`: multiple x share x rate x window / work, and all of it is 90
        share = 0.3 + 0.7 * (at - 1000.0) / 5000.0
        assert sum(at - 1000.0 < t <= at for t in sent) <= 3.0 * share * 5.0 * 1000.0 / 50.0 / 2


@pytest.mark.parametrize("name", RIVALS)
def test_a_failing_server_is_left_alone_for_longer_and_longer(name):
    policy, failed = ready(name), []
    for n in range(400):
        now = 10.0 + 10 * n
        for action in only(ask(policy, n, now), face.Send):
            bad = action.backend == "s0"
            failed += [now] if bad else []
            end(policy, n, now + 5, Outcome.ERROR if bad else Outcome.SERVED)
    gaps = [b - a for a, b in zip(failed, failed[1:], strict=False)]
    assert failed and len(failed) < 40 and max(gaps, default=4000.0) > 1000.0


@pytest.mark.parametrize("name", RIVALS)
def test_one_seed_one_sequence(name):
    def play():
        policy, chance, lines = ready(name, conf=settings(probing=True)), random.Random(3), []
        for n in range(300):
            actions = ask(policy, n, 20.0 * n)
            for probe in only(actions, face.Probe):
                report = {"inflight": float(chance.randrange(5)), "latency": 40.0}
                policy.handle(20.0 * n + 1, face.Probed(probe.backend, Outcome.SERVED, 1.0, report))
            lines.append(repr(actions))
            for send in only(actions, face.Send):
                outcome = chance.choice([Outcome.SERVED, Outcome.SERVED, Outcome.FULL])
                lines.append(repr(end(policy, send.request, 20.0 * n + 9, outcome)))
        return lines

    assert play() == play()


def test_a_server_whose_new_life_is_on_the_list_owes_nothing_to_the_old():
    policy = ready("least", servers=2)
    for n in range(4):
        ask(policy, n, 10.0)
    policy.handle(20.0, face.ListChanged(ListScope.CHANGES, [Entry("s0", State.LIVE, 0.5)]))
    end(policy, 0, 30.0, Outcome.SERVED)
    end(policy, 1, 30.0, Outcome.SERVED)
    assert sorted(s.name for s in policy.live) == ["s0", "s1"]
    assert policy.servers["s0"].inflight == 0 and len(policy.spot) == 2


def test_round_robin_goes_round():
    policy = ready("round_robin")
    names = [only(ask(policy, n, 10.0 + n), face.Send)[0].backend for n in range(12)]
    assert names[:4] == names[4:8] == names[8:] and len(set(names)) == 4


def test_least_in_flight_fills_evenly_and_prefers_the_emptied():
    policy = ready("least")
    sent = [only(ask(policy, n, 10.0), face.Send)[0].backend for n in range(8)]
    assert set(Counter(sent).values()) == {2}
    end(policy, 0, 20.0, Outcome.SERVED)
    assert only(ask(policy, 9, 21.0), face.Send)[0].backend == sent[0]


def test_peak_ewma_leaves_the_slow_one_at_once_and_comes_back_as_it_decays():
    policy = ready("peak_ewma", servers=2)
    for n in range(40):  # both known as fast
        for _ in only(ask(policy, n, 10.0 + n), face.Send):
            end(policy, n, 10.5 + n, Outcome.SERVED, elapsed=10.0)
    slow = policy.servers["s0"]
    policy.ended(slow, Outcome.SERVED, 400.0)  # one peak is enough
    policy.now = 60.0
    assert policy.cost(slow) > 390.0 > 50.0 > policy.cost(policy.servers["s1"])
    policy.now += 3 * policy.DECAY
    assert policy.cost(slow) < 30.0


def test_prequal_takes_the_fast_among_the_cold_and_the_emptiest_when_all_are_hot():
    policy = ready("prequal", servers=16, conf=settings(probing=True))
    reports = {"s0": (9.0, 5.0), "s1": (1.0, 80.0), "s2": (1.0, 40.0), "s3": (2.0, 60.0)}
    reports |= {f"s{n}": (2.0, 70.0 + n) for n in range(4, 8)}
    for name, (inflight, latency) in reports.items():
        report = {"inflight": inflight, "latency": latency}
        policy.handle(5.0, face.Probed(name, Outcome.SERVED, 1.0, report))
    actions = ask(policy, 1, 6.0)
    assert only(actions, face.Send)[0].backend == "s2"  # s0 is faster yet hot
    assert 1 <= len(only(actions, face.Probe)) <= 3
    policy.pool = [s for s in policy.pool if s.server.name in ("s4", "s5", "s6")]
    for sample, inflight in zip(policy.pool, (30.0, 10.0, 20.0), strict=True):
        sample.inflight = inflight
    assert only(ask(policy, 2, 7.0), face.Send)[0].backend == "s5"


def test_prequal_does_not_probe_where_it_must_not():
    policy = ready("prequal", conf=settings(probing=False))
    assert not any(only(ask(policy, n, 10.0 + n), face.Probe) for n in range(20))


def test_the_bound_goes_to_the_fastest_idle_core_and_holds_else():
    sight = Sight(dead=("s3",), pace={"s1": 3.0, "s2": 2.0, "s3": 9.0}, fails={"s1": 0.9})
    policy = ready(BOUND, sight=sight)
    assert only(ask(policy, 1, 10.0), face.Send)[0].backend == "s2"
    sight.cores = 0
    assert not only(ask(policy, 2, 11.0), face.Send)
    sight.cores = 1
    assert only(policy.handle(30.0, face.TimerDue(0)), face.Send)[0].backend == "s2"


def test_in_the_world_probes_tell_of_load_and_of_a_slow_server(monkeypatch):
    from testbed.policies import rivals
    from testbed.world import run

    text = """
        name = "told"
        seconds = 4.0
        servers = 4
        rules = { probing = true, probe_reports = ["inflight", "latency"] }
        faults = [{ kind = "slow", servers = [0], size = 5.0, lasts = 9000.0 }]
    """
    told, probed = {}, rivals.Prequal.probed

    def note(self, event):
        told.setdefault(event.backend, []).append(event.report["latency"])
        probed(self, event)

    monkeypatch.setattr(rivals.Prequal, "probed", note)
    result = run(parse(text), 1, policy="prequal")
    middle = {name: sorted(seen)[len(seen) // 2] for name, seen in told.items()}
    slow = middle.pop(min(middle))
    assert result.probes > 100 and len(middle) == 3
    assert slow > 2 * max(middle.values()) > 0
