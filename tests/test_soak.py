"""Long days, large fleets and sudden changes before the module alone, in virtual time."""

import pytest
from helpers import SAFE, UNSAFE, Proxy
from soak import Soak

from barleybarrow import interface as face
from barleybarrow.interface import ListScope, Outcome, State


def off(costs, truth):
    return max(max(c / t, t / c) for c, t in zip(costs, truth, strict=True))


def served_costs(soak, share=1 / 5):
    """What the last answers took, by class: the truth that the costs are an estimate of."""
    last = soak.attempts[-int(len(soak.attempts) * share) :]
    return [
        sum(took for klass, took in last if klass == k) / sum(klass == k for klass, _ in last) for k in (0, 1)
    ]


def test_a_day_of_churn_leaves_the_costs_where_they_are():
    # guards against a picture that drifts: only the sum of a class's cost and a server's mean is ever seen
    soak = Soak(life=20_000.0)
    soak.run(50_000)
    assert off(soak.costs(), served_costs(soak)) < 1.5
    assert soak.refused() < 0.001


@pytest.mark.parametrize("changes", [{"life": 12_000.0}, {"servers": 30}, {"breaks": 0.05}, {"load": 0.8}])
def test_costs_hold_and_nothing_jams_on_other_days(changes):
    soak = Soak(**changes)
    soak.run(12_000)
    assert off(soak.costs(), served_costs(soak)) < 1.5
    assert soak.refused() < 0.01


def test_costs_that_truly_change_tenfold_are_followed():
    soak = Soak(life=1e9, load=0.3, scale=lambda now: 0.1 if now < 3_000 else min(1.0, now / 30_000))
    soak.run(23_000)  # arrivals slow down as the work grows
    assert soak.now > 32_000
    assert off(soak.costs(), served_costs(soak)) < 1.5
    assert soak.refused(1 / 10) < 0.05


def test_a_class_asked_for_alone_and_one_that_comes_back_later():
    soak = Soak(life=1e9)
    soak.mix = 0.0
    soak.run(8_000)
    soak.mix = 0.44
    soak.run(4_000)
    assert off(soak.costs(), served_costs(soak)) < 1.5


def test_a_jam_gives_way_once_servers_answer_again():
    # guards against rests that only answers could end, which then do not come
    soak = Soak(life=1e9)
    soak.run(3_000)
    soak.breaks = 1.0
    soak.run(500)
    soak.breaks = 0.0
    since = soak.now
    soak.run(3_000)
    late = [took for arrived, took, _ in soak.answers if arrived > since + 2_000]
    assert late and sum(took is None for took in late) / len(late) < 0.01


def test_a_server_that_turns_one_class_away_rests_for_that_class_alone():
    # guards against shutting a server for what it serves well: half of a fleet stood idle, half was refused
    proxy = Proxy(("a", "b"), proxies=1)
    proxy.warm_up(40)
    for _ in range(30):
        for klass in (SAFE, UNSAFE):
            r = proxy.arrive(klass)
            full = klass == UNSAFE and proxy.backend(r) == "a"
            proxy.now += 20
            proxy.finish(r, Outcome.FULL if full else Outcome.SERVED)
            if full:
                proxy.finish(r, attempt=1)
    sent = [(proxy.brain.requests, b) for r, b in proxy.sent[-40:]]
    a = proxy.brain.backends["a"]
    assert a.rests[UNSAFE] > proxy.now and a.busy_until <= proxy.now and a.limit >= 2.0
    assert {b for _, b in sent} == {"a", "b"}


def test_an_attempt_that_later_ones_overtook_by_far_holds_no_place():
    proxy = Proxy(("a",), proxies=1)
    proxy.warm_up(40)
    proxy.arrive(UNSAFE)  # its connection is silent
    for _ in range(8):
        r = proxy.arrive()
        proxy.now += 20
        proxy.finish(r)
    a = proxy.brain.backends["a"]
    assert (a.inflight, a.stuck) == (0, 1) and a.lost[UNSAFE] > 0
    proxy.now += 100
    proxy.finish(1 + 40, Outcome.TIMEOUT, elapsed=260.0)
    assert (a.inflight, a.stuck, proxy.brain.pool.total) == (0, 0, 0)


def entries(names, state=State.LIVE, started=0.0):
    return [face.Entry(name, state, started) for name in names]


def test_sums_and_ranking_stay_true_through_lists_of_every_kind():
    # a whole list that swaps all, a server replaced while requests are out, one that flaps, 500 changes at
    # once, and a server named twice in one message, whose last word counts
    proxy = Proxy([f"s{n}" for n in range(40)], proxies=1)
    out = [proxy.arrive(SAFE) for _ in range(60)]
    proxy.list(*entries([f"t{n}" for n in range(40)], started=proxy.now))
    for n in range(40):
        proxy.now += 100
        proxy.list(*entries(["t0"], (State.GONE, State.LIVE)[n % 2]), scope=ListScope.CHANGES)
    proxy.list(*entries([f"u{n}" for n in range(500)], started=proxy.now), scope=ListScope.CHANGES)
    twice = [*entries(["u1"], State.LIVE, 5.0), *entries(["u1"], State.DRAINING, 5.0)]
    proxy.list(*twice, scope=ListScope.CHANGES)
    for r in out:
        proxy.finish(r)
    proxy.sweep(12_000, step=5)
    brain = proxy.brain
    assert "u1" not in brain.backends and len(brain.live) == len(brain.backends) == 539
    assert [b.position for b in brain.live] == list(range(539))
    assert brain.pool.total == sum(b.inflight for b in brain.live) == 0
    assert brain.pool.limit_sum == pytest.approx(sum(b.limit for b in brain.live))
    assert brain.pool.warm_count == sum(b.warmth == 1 for b in brain.live) == 539
    assert all(
        len(order) == 539 and order == sorted(order, key=lambda e: e[:2]) for order in brain.idle.orders
    )


def test_a_fleet_that_is_new_and_cold_as_a_whole_is_not_pushed_over():
    proxy = Proxy((), proxies=1)
    proxy.warm_up(1)
    proxy.list(*entries([f"s{n}" for n in range(5)], started=proxy.now))
    for _ in range(200):
        r = proxy.arrive()
        if proxy.backend(r):
            proxy.finish(r, elapsed=20.0)
        proxy.sweep(40)
    per_window = len(proxy.sent) / 5 * 20.0 / (proxy.now - 1000.0) * 1500.0  # work a server in a tip window
    assert 0 < per_window < 3 * 0.2 * 1500.0 / 2


def test_a_large_fleet_in_back_off_still_finds_the_few_that_are_idle():
    proxy = Proxy([f"s{n}" for n in range(2_000)], proxies=1)
    brain = proxy.brain
    for b in brain.live[10:]:
        b.busy_until = proxy.now + 5_000
        brain.update_rank(b)
    idle = {b.name for b in brain.live[:10]}
    assert {proxy.backend(proxy.arrive()) for _ in range(20)} <= idle
    proxy.sweep(6_000, step=100)
    assert len(brain.idle.orders[0]) == 1_990  # the ten have all that they may


def test_thousands_held_when_one_comes_free_are_sent_one_by_one():
    proxy = Proxy(("a",), proxies=1)
    first = proxy.arrive()
    held = [proxy.arrive() for _ in range(3_000)]
    before = len(proxy.sent)
    proxy.now += 20
    proxy.finish(first)
    assert len(proxy.sent) == before + 1
    proxy.sweep(900)
    assert all(r in proxy.answers or proxy.backend(r) for r in held)


def test_proxies_do_not_sweep_a_fleet_in_step():
    # guards against sweeps in the list's order: what they had looked at ranked first, at every proxy alike
    names = [f"s{n}" for n in range(400)]
    orders = [[b.name for b in Proxy(names, seed=seed).brain.live] for seed in (1, 2)]
    assert sorted(orders[0]) == sorted(orders[1]) == sorted(names)
    assert sum(a == b for a, b in zip(*orders, strict=True)) < 10
    assert sum(a == b for a, b in zip(names, orders[0], strict=True)) < 10
