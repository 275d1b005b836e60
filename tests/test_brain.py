"""Tests of the routing policy: one per rule, and one per fault found in it."""

import pytest
from helpers import KEYED, SAFE, UNSAFE, Proxy, settings

from barleybarrow import interface as face
from barleybarrow.brain import Balancer
from barleybarrow.interface import Effect, Group, ListScope, Outcome, State


def test_fastest_idle_backend_is_chosen():
    proxy = Proxy(("a", "b"))
    for _ in range(30):
        first, second = proxy.arrive(), proxy.arrive()
        for r in (first, second):
            proxy.finish(r, elapsed=10.0 if proxy.backend(r) == "b" else 60.0)
    assert {proxy.backend(serve_one(proxy)) for _ in range(5)} == {"b"}


def serve_one(proxy):
    r = proxy.arrive()
    proxy.finish(r, elapsed=10.0 if proxy.backend(r) == "b" else 60.0)
    return r


def test_request_is_held_while_all_backends_are_busy():
    proxy = Proxy(("a",))
    first, second = proxy.arrive(), proxy.arrive()
    assert proxy.backend(second) is None and second not in proxy.answers
    proxy.finish(first)
    assert proxy.backend(second) == "a"


def test_held_request_is_refused_with_retry_after_before_its_deadline():
    proxy = Proxy(())
    r = proxy.arrive(UNSAFE, span=100)
    proxy.sweep(100)
    assert isinstance(proxy.answers[r], face.Refuse)
    assert 0 < proxy.answers[r].retry_after <= 1000


def test_retry_is_refused_once_its_target_latency_has_passed():
    # else the client waits until its deadline (800) for an answer without value
    proxy = Proxy(("a",))
    r = proxy.arrive()
    proxy.now += 10
    proxy.finish(r, Outcome.CONNECT_FAILED, elapsed=10.0)
    assert r not in proxy.answers
    proxy.sweep(190)
    assert isinstance(proxy.answers[r], face.Refuse)


@pytest.mark.parametrize("late_worth", [0.0, 0.5])
def test_attempt_times_out_when_its_answer_has_no_value_left(late_worth):
    # else an attempt on a silent connection occupies a slot of the server, and the client's connection, until
    # the deadline (800), or a further attempt is made though its answer has no value any more
    classes = [face.RequestClass(aim=200, deadline=800, late_worth=late_worth, effect=Effect.SAFE)]
    proxy = Proxy(("a", "b"), classes=classes)
    proxy.ids += 1
    (send,) = [a for a in proxy.give(face.Arrived(1, 0, proxy.now + 800)) if isinstance(a, face.Send)]
    assert send.timeout == (0.0 if late_worth else 200.0)
    proxy.now += 200
    proxy.finish(1, Outcome.TIMEOUT, elapsed=200.0)
    assert len(proxy.sent) == (2 if late_worth else 1)
    assert (1 in proxy.answers) is not bool(late_worth)


def test_broken_connection_does_not_count_as_latency():
    # breaks were taken for congestion: limits were cut while the servers were idle
    proxy = Proxy(("a",))
    proxy.warm_up(40)
    a = proxy.brain.backends["a"]
    before = (a.mean, a.limit)
    for _ in range(8):
        proxy.finish(proxy.arrive(UNSAFE), Outcome.RESET, elapsed=1.0)
        proxy.sweep(400)
    assert a.mean < before[0] + 0.1 and a.limit >= before[1] and a.lost[UNSAFE] > 0


def test_rare_connection_breaks_do_not_count_as_a_dead_process():
    # breaks were summed up at a server with little traffic: its back-off grew longer and longer
    proxy = Proxy(("a",))
    proxy.warm_up(40)
    for _ in range(4):
        proxy.finish(proxy.arrive(UNSAFE), Outcome.RESET, elapsed=1.0)
        proxy.sweep(1500)
    assert proxy.brain.backends["a"].warmth == 1


def test_request_at_its_deadline_is_answered_at_once():
    proxy = Proxy()
    assert proxy.arrive(UNSAFE, span=0) in proxy.answers


def test_request_with_less_time_than_the_margin_is_answered():
    proxy = Proxy(())
    r = proxy.arrive(SAFE, span=1)
    proxy.sweep(8)
    assert r in proxy.answers


MAY_HAVE_RUN = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
NOT_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
@pytest.mark.parametrize(("klass", "again"), [(SAFE, True), (KEYED, True), (UNSAFE, False)])
def test_request_that_may_have_run_is_retried_only_if_its_class_allows(klass, again, outcome):
    proxy = Proxy()
    r = proxy.arrive(klass)
    proxy.now += 20
    proxy.finish(r, outcome)
    assert (len(proxy.sent) == 2) is again
    assert isinstance(proxy.answers.get(r), face.Fail) is not again


@pytest.mark.parametrize("outcome", NOT_EXECUTED)
@pytest.mark.parametrize("klass", [SAFE, KEYED, UNSAFE])
def test_request_that_never_ran_is_retried_on_another_backend(klass, outcome):
    proxy = Proxy()
    r = proxy.arrive(klass)
    proxy.finish(r, outcome, elapsed=1.0)
    first, second = (b for x, b in proxy.sent if x == r)
    assert first != second


def test_keyed_request_is_retried_only_within_its_deduplication_group():
    proxy = Proxy(())
    proxy.list(*(face.Entry(b, State.LIVE, zone=z) for b, z in (("a", 0), ("b", 1))))
    r = proxy.arrive(KEYED)
    proxy.finish(r, Outcome.RESET, elapsed=1.0)
    assert len(proxy.sent) == 1
    proxy.sweep(900)
    assert isinstance(proxy.answers[r], face.Fail)


def test_keyed_request_is_not_retried_after_its_window():
    proxy = Proxy()
    r = proxy.arrive(KEYED)
    proxy.now += 500
    proxy.finish(r, Outcome.RESET, elapsed=500.0)
    assert isinstance(proxy.answers[r], face.Fail)


def test_keyed_request_held_past_its_window_is_not_retried():
    proxy = Proxy(())
    proxy.list(*(face.Entry(b, State.LIVE) for b in ("a", "b")))
    r, other = proxy.arrive(KEYED), proxy.arrive(UNSAFE)
    proxy.finish(r, Outcome.RESET, elapsed=1.0)
    blocked = len(proxy.sent)
    proxy.now += 510
    proxy.finish(other, elapsed=510.0)
    assert len(proxy.sent) == blocked
    assert isinstance(proxy.answers[r], face.Fail)


def test_keyed_request_of_group_all_may_be_refused_after_it_may_have_run():
    classes = [face.RequestClass(aim=200, deadline=800, effect=Effect.KEYED, group=Group.ALL, window=500)]
    proxy = Proxy(("a",), classes=classes, max_attempts=1)
    r = proxy.arrive(0)
    proxy.finish(r, Outcome.ERROR)
    assert isinstance(proxy.answers[r], face.Refuse)


@pytest.mark.parametrize("state", [State.DRAINING, State.GONE])
def test_nothing_is_sent_to_a_draining_or_removed_backend(state):
    proxy = Proxy(("a",))
    proxy.list(face.Entry("a", state), scope=ListScope.CHANGES)
    proxy.arrive()
    proxy.sweep(100)
    assert proxy.sent == []


def test_complete_list_removes_omitted_backends():
    proxy = Proxy(("a", "b"))
    proxy.list(face.Entry("b", State.LIVE))
    assert proxy.backend(proxy.arrive()) == "b"


def test_late_outcome_of_an_earlier_incarnation_frees_no_slot_of_the_new_one():
    proxy = Proxy(("a",))
    old = proxy.arrive()
    proxy.list(face.Entry("a", State.LIVE, started=proxy.now - 1), scope=ListScope.CHANGES)
    proxy.sweep(3000)
    new, waiting = proxy.arrive(), proxy.arrive()
    proxy.finish(old)
    assert proxy.backend(new) == "a" and proxy.backend(waiting) is None


def test_cold_backend_is_paced_below_its_capacity():
    proxy = Proxy(())
    proxy.list(face.Entry("a", State.LIVE, started=proxy.now))
    for _ in range(150):
        r = proxy.arrive()
        if proxy.backend(r):
            proxy.finish(r, elapsed=2.0)
        proxy.sweep(20)
    assert 1 <= len(proxy.sent) <= 10


def test_backend_that_only_errs_is_ejected():
    proxy = Proxy(("a", "b"))
    for _ in range(60):
        r = proxy.arrive(UNSAFE)
        bad = proxy.backend(r) == "a"
        proxy.finish(r, Outcome.ERROR if bad else Outcome.SERVED, elapsed=1.0 if bad else 20.0)
        proxy.now += 20
    recent = [b for _, b in proxy.sent[-40:]]
    assert recent.count("a") == 0


def test_backend_with_an_overdue_attempt_gets_no_unsafe_requests():
    proxy = Proxy(("a", "b", "c"))
    proxy.warm_up()
    stuck = proxy.arrive()
    hung = proxy.backend(stuck)
    proxy.sweep(400)
    for _ in range(20):
        r = proxy.arrive(UNSAFE)
        assert proxy.backend(r) != hung
        proxy.finish(r)


def test_last_backend_is_retried_after_timeouts():
    proxy = Proxy(("a",))
    for _ in range(5):
        r = proxy.arrive(UNSAFE)
        proxy.now += 800
        proxy.finish(r, Outcome.TIMEOUT, elapsed=800.0)
    proxy.sweep(2500)
    assert proxy.backend(proxy.arrive(UNSAFE)) == "a"


def test_backend_that_fails_one_class_loses_only_that_class():
    proxy = Proxy(("a", "b"))
    for _ in range(40):
        for klass in (SAFE, UNSAFE):
            r = proxy.arrive(klass)
            bad = klass == UNSAFE and proxy.backend(r) == "a"
            proxy.now += 100
            proxy.finish(r, Outcome.TIMEOUT if bad else Outcome.SERVED, elapsed=700.0 if bad else 20.0)
    a = proxy.brain.backends["a"]
    assert a.lost[UNSAFE] > 0.05 and a.lost[SAFE] == 0.0
    recent = [proxy.backend(r) for r in range(41, 81) if r % 2 == 0]
    assert recent.count("a") <= 2


@pytest.mark.parametrize("later", [Outcome.RESET, Outcome.CONNECT_FAILED])
def test_backend_whose_connections_broke_is_treated_as_cold(later):
    proxy = Proxy(("a",), proxies=1)
    proxy.warm_up(40)
    proxy.brain.pool.set_limit(proxy.brain.backends["a"], 3.0)
    proxy.brain.update_capacity()
    attempts = [proxy.arrive(UNSAFE) for _ in range(3)]
    for r, outcome in zip(attempts, (Outcome.RESET, later, later), strict=True):
        assert proxy.brain.backends["a"].warmth == 1
        proxy.finish(r, outcome, elapsed=1.0)
    proxy.sweep(400)
    assert proxy.brain.backends["a"].warmth < 1


def test_known_service_rate_survives_an_idle_period():
    # the pace of cold backends came from what warm ones served at the time: the fewer were in use, the less
    # the others got, so that the fleet stayed cold and most requests were refused
    proxy = Proxy(("a",), proxies=1)
    proxy.warm_up(60)
    before = proxy.brain.rate
    proxy.sweep(3000)
    assert proxy.brain.rate > before / 2 > 0


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.CONNECT_FAILED])
def test_occasional_connection_breaks_eject_no_backend(outcome):
    # one broken connection was taken for a dead process: with 3% of them broken, every backend counted as
    # cold nearly all the time, the fleet was idle and 60% of the requests were refused
    proxy = Proxy(("a",))
    proxy.warm_up(40)
    for _ in range(12):
        proxy.finish(proxy.arrive(UNSAFE), outcome, elapsed=1.0)
        proxy.sweep(400)
        proxy.warm_up(10)
    a = proxy.brain.backends["a"]
    assert a.warmth == 1 and a.busy_until <= proxy.now and proxy.backend(proxy.arrive(UNSAFE))


def test_failing_backends_are_each_probed_again_in_time():
    proxy = Proxy(("a", "b"))
    ended = 0
    for _ in range(250):
        proxy.arrive(UNSAFE)
        for r, _ in proxy.sent[ended:]:
            ended += 1
            proxy.finish(r, Outcome.ERROR, elapsed=1.0)
        proxy.sweep(16)
    assert 8 <= len(proxy.sent) <= 25
    assert {b for _, b in proxy.sent[-4:]} == {"a", "b"}


def test_backend_that_often_errs_gets_few_requests():
    proxy = Proxy(("a", "b"))
    for n in range(120):
        r = proxy.arrive(UNSAFE)
        bad = proxy.backend(r) == "a" and n % 3
        proxy.finish(r, Outcome.ERROR if bad else Outcome.SERVED, elapsed=1.0 if bad else 20.0)
        proxy.sweep(20)
    recent = [b for _, b in proxy.sent[-60:]]
    assert recent.count("a") <= 6


def test_lost_subscription_is_renewed_after_a_delay():
    proxy = Proxy(must_ask=True)
    assert not any(isinstance(a, face.Watch) for a in proxy.give(face.ListChanged(ListScope.LOST, [])))
    asked = []
    for _ in range(200):
        proxy.now += 4
        asked += [a for a in proxy.give(face.TimerDue(0)) if isinstance(a, face.Watch)]
    assert len(asked) == 1


def test_events_for_unknown_ids_are_ignored():
    proxy = Proxy()
    assert proxy.give(face.Finished(99, 0, Outcome.SERVED, 1.0, True)) == []
    assert proxy.give(face.Left(99)) == []
    assert proxy.give(face.Probed("nowhere", Outcome.SERVED, 1.0)) == []


def test_invalid_settings_and_unknown_events_raise():
    with pytest.raises(face.SettingsError):
        Balancer(settings(classes=[]), 1, 0.0)
    with pytest.raises(face.SettingsError):
        Balancer(settings(cold=-1), 1, 0.0)
    with pytest.raises(face.UnknownEventError):
        Proxy().give("surprise")


def test_idle_proxy_sets_no_timer():
    proxy = Proxy()
    assert proxy.finish(proxy.arrive()) == []
    assert proxy.give(face.TimerDue(0)) == []


def probes(actions):
    return [a.backend for a in actions if isinstance(a, face.Probe)]


def test_request_is_held_until_a_probe_reports_an_idle_backend():
    proxy = Proxy(("a", "b"), probing=True, probe_reports=["inflight"])
    actions = proxy.give(face.Arrived(1, SAFE, proxy.now + 800))
    assert sorted(probes(actions)) == ["a", "b"]
    proxy.give(face.Probed("a", Outcome.SERVED, 1.0, {"inflight": 2.0}))
    assert proxy.backend(1) is None
    proxy.give(face.Probed("b", Outcome.SERVED, 1.0, {"inflight": 0.0}))
    assert proxy.backend(1) == "b"


def test_probes_back_off_while_no_backend_is_idle():
    proxy = Proxy([f"b{n}" for n in range(40)], proxies=80, probing=True, probe_reports=["inflight"])
    sent = probes(proxy.give(face.Arrived(1, UNSAFE, proxy.now + 800)))
    for _ in range(100):
        for name in sent[-3:]:
            sent += probes(proxy.give(face.Probed(name, Outcome.SERVED, 1.0, {"inflight": 9.0})))
        proxy.now += 1
        sent += probes(proxy.give(face.TimerDue(0)))
    assert 6 <= len(sent) <= 24


def test_backend_that_fails_a_probe_is_backed_off():
    proxy = Proxy(("a", "b"), probing=True, probe_reports=["inflight"])
    proxy.arrive()
    proxy.give(face.Probed("a", Outcome.TIMEOUT, 50.0))
    proxy.give(face.Probed("b", Outcome.SERVED, 1.0, {"inflight": 0.0}))
    proxy.give(face.Probed("b", Outcome.SERVED, 1.0, {"inflight": 3.0}))
    assert proxy.backend(1) == "b" and proxy.backend(proxy.arrive()) is None


def disconnects(actions):
    return [a.backend for a in actions if isinstance(a, face.Disconnect)]


def test_idle_connections_to_a_draining_backend_are_closed_at_once_and_after_the_last_outcome():
    proxy = Proxy(("a",), hang_up_within=1000)
    done, late = proxy.arrive(), proxy.arrive()
    drained = face.Entry("a", State.DRAINING)
    proxy.finish(done)
    assert disconnects(proxy.list(drained, scope=ListScope.CHANGES)) == ["a"]
    assert disconnects(proxy.list(drained, scope=ListScope.CHANGES)) == []
    assert disconnects(proxy.finish(late, Outcome.TIMEOUT, 800.0)) == ["a"]
    assert not proxy.brain.sent_to  # no entry for each name that ever was listed


def test_nothing_is_closed_without_sends_or_without_the_setting():
    drained = face.Entry("a", State.DRAINING)
    assert disconnects(Proxy(("a",), hang_up_within=1000).list(drained, scope=ListScope.CHANGES)) == []
    proxy = Proxy(("a",))
    proxy.finish(proxy.arrive())
    assert disconnects(proxy.list(drained, scope=ListScope.CHANGES)) == [] and not proxy.brain.sent_to


def test_restarted_backend_keeps_its_connections_when_an_earlier_incarnation_answers():
    proxy = Proxy(("a", "b"), hang_up_within=1000)
    r = proxy.arrive()
    name = proxy.backend(r)
    proxy.list(face.Entry(name, State.DRAINING), scope=ListScope.CHANGES)
    proxy.list(face.Entry(name, State.LIVE, started=proxy.now), scope=ListScope.CHANGES)
    assert disconnects(proxy.finish(r)) == []


def test_connection_of_an_earlier_incarnation_is_closed_too():
    proxy = Proxy(("a",), hang_up_within=1000)
    proxy.finish(proxy.arrive())
    proxy.list(face.Entry("a", State.LIVE, started=proxy.now), scope=ListScope.CHANGES)
    assert disconnects(proxy.list(face.Entry("a", State.DRAINING), scope=ListScope.CHANGES)) == ["a"]


def test_many_proxies_use_one_limit_for_the_fleet():
    proxy = Proxy([f"b{n}" for n in range(8)], proxies=400)
    for _ in range(40):
        requests = [proxy.arrive() for _ in range(8)]
        for r in requests:
            if proxy.backend(r):
                proxy.finish(r)
    burst = [proxy.arrive() for _ in range(4)]
    assert all(proxy.backend(r) for r in burst)


def one_of_forty(servers, **changes):
    """One of forty proxies, with this number of servers."""
    return Proxy([f"b{n}" for n in range(servers)], proxies=40, **changes)


def sent_at_once(proxy, arrivals):
    """How many of this number of simultaneous requests are sent."""
    return sum(proxy.backend(proxy.arrive()) is not None for _ in range(arrivals))


def test_initial_limit_of_one_of_many_proxies_allows_for_random_bursts():
    # else forty proxies start by holding and refusing requests while the fleet is idle
    assert 4 <= sent_at_once(one_of_forty(60), 20) <= 6
    assert sent_at_once(one_of_forty(20), 20) <= 3  # else 800 requests at once reach twenty backends


def test_capacity_follows_the_size_of_the_list():
    proxy = one_of_forty(60)
    names = [f"b{n}" for n in range(60)]
    before = proxy.brain.capacity
    for size, share in ((20, 1 / 3), (60, 1.0), (0, 0.0), (60, 1.0)):
        proxy.list(*(face.Entry(b, State.LIVE) for b in names[:size]), scope=ListScope.COMPLETE)
        assert proxy.brain.capacity == pytest.approx(max(before * share, 1 / 40))
    asked = [proxy.arrive() for _ in range(8)]  # also with requests held
    held = [r for r in asked if proxy.backend(r) is None]
    for size in (20, 60):
        proxy.list(*(face.Entry(b, State.LIVE) for b in names[:size]), scope=ListScope.COMPLETE)
        proxy.now += 5
    assert held and not any(r in proxy.answers for r in asked)
    for r in asked:
        proxy.finish(r)
    assert [r for r, _ in proxy.sent] == asked  # each once, in order


def test_fast_failing_backend_gets_less_than_its_share():
    # else a fast failure attracts the traffic of forty proxies, as each of them meets it rarely
    proxy = one_of_forty(60)
    for n in range(60):
        proxy.brain.backends[f"b{n}"].opened = True  # all are connected
        proxy.brain.update_rank(proxy.brain.backends[f"b{n}"])
    for n in range(1200):
        r = proxy.arrive(UNSAFE)
        bad = proxy.backend(r) == "b0"
        proxy.finish(r, Outcome.ERROR if bad else Outcome.SERVED, elapsed=1.0 if bad else 10.0 + n % 4)
        proxy.now += 50
    assert 1 <= [b for _, b in proxy.sent].count("b0") <= 10


def test_backed_off_backends_add_no_capacity():
    # else all proxies at once send the survivors the traffic of a lost zone
    proxy = one_of_forty(60)
    for n in range(60):
        if n % 3:
            b = proxy.brain.backends[f"b{n}"]
            b.busy_until = proxy.now + 10_000
            proxy.brain.update_rank(b)
    assert sent_at_once(proxy, 20) <= 2


def test_fleet_capacity_is_cut_once_per_congested_period():
    # else every few answers of one congested period cut it again, and the fleet is idle afterwards
    proxy = one_of_forty(60)
    for _ in range(200):
        proxy.finish(proxy.arrive(UNSAFE), elapsed=10.0)
        proxy.now += 20
    capacity = proxy.brain.capacity
    for _ in range(24):
        proxy.finish(proxy.arrive(UNSAFE), elapsed=150.0)
        proxy.now += 60
    assert 0.5 * capacity < proxy.brain.capacity < 0.9 * capacity


def test_fleet_capacity_keeps_one_request_per_backend_for_all_proxies_together():
    # else requests are held after a disturbance while hundreds of servers are idle
    proxy = one_of_forty(60)
    for n in range(600):
        served = n < 100
        took = 10.0 if served else 200.0
        proxy.finish(proxy.arrive(UNSAFE), Outcome.SERVED if served else Outcome.TIMEOUT, elapsed=took)
        proxy.now += 300
    assert proxy.brain.capacity == pytest.approx(60 / 40)


def test_request_that_never_ran_is_retried_without_retry_budget():
    # else requests are refused during a release that the next backend would serve
    proxy = one_of_forty(60)
    proxy.brain.retry_budget = 0.0
    r = proxy.arrive()
    proxy.finish(r, Outcome.CONNECT_FAILED, elapsed=1.0)
    assert r not in proxy.answers and len(proxy.sent) == 2


def test_new_backend_gets_its_budget_though_congested_ones_rank_higher():
    # else a replaced fleet is idle: each of forty proxies knew a backend better than the average of its kind
    proxy = one_of_forty(60)
    for n in range(400):
        r = proxy.arrive(UNSAFE)
        proxy.finish(r, elapsed=10.0 if n < 200 else 30.0 * (1 + n % 3))
        proxy.now += 20
    proxy.list(face.Entry("new", State.LIVE, started=proxy.now), scope=ListScope.CHANGES)
    new = proxy.brain.backends["new"]
    new.budget = proxy.brain.max_cost  # the budget it has by now
    proxy.brain.update_rank(new)
    assert proxy.backend(proxy.arrive(UNSAFE)) == "new"


def test_proxies_start_with_different_budgets_for_a_cold_backend():
    budgets = []
    for seed in range(20):
        proxy = Proxy([f"b{n}" for n in range(8)], proxies=400, seed=seed)
        proxy.list(face.Entry("b0", State.LIVE, started=proxy.now), scope=ListScope.CHANGES)
        budgets.append(proxy.brain.backends["b0"].budget)
    assert len(set(budgets)) == 20
    assert max(budgets) < 50.0


def test_second_outcome_of_an_attempt_is_ignored():
    proxy = Proxy(("a",))
    r = proxy.arrive(UNSAFE)
    proxy.give(face.Left(r))
    proxy.finish(r, Outcome.ERROR)
    proxy.finish(r, Outcome.ERROR)
    assert proxy.brain.backends["a"].inflight == 0


def test_client_retry_waits_behind_first_tries():
    proxy = Proxy(("a",))
    first = proxy.arrive(UNSAFE)
    proxy.give(face.Arrived(101, UNSAFE, proxy.now + 800, repeated=True))
    proxy.give(face.Arrived(102, UNSAFE, proxy.now + 800))
    proxy.finish(first)
    assert proxy.backend(102) == "a" and proxy.backend(101) is None
    proxy.finish(102)
    assert proxy.backend(101) == "a"


def test_held_request_without_late_value_is_refused_before_its_target():
    proxy = Proxy(("a",))
    proxy.warm_up()
    proxy.arrive(UNSAFE)
    held = proxy.arrive(SAFE)
    proxy.sweep(190)
    assert isinstance(proxy.answers[held], face.Refuse)


def test_priced_zone_crossing_is_used_only_when_the_own_zone_is_full():
    proxy = Proxy((), cross_zone_price=0.06)
    proxy.list(*(face.Entry(b, State.LIVE, zone=z) for b, z in (("home", 0), ("away", 1))))
    assert [proxy.backend(proxy.arrive(UNSAFE)) for _ in range(2)] == ["home", "away"]


def test_congestion_cuts_the_limit_below_one_and_the_sum_caps_attempts():
    proxy = Proxy(("a", "b"), proxies=10)
    proxy.warm_up(40)
    while proxy.brain.fleet.limit >= 1 and len(proxy.sent) < 100:
        proxy.warm_up(1, latency={"a": 400.0, "b": 400.0})
    assert proxy.brain.capacity < 1
    proxy.sweep(8)
    first, second = proxy.arrive(), proxy.arrive()
    assert proxy.backend(first) and proxy.backend(second) is None


def test_lowest_class_uses_a_capacity_below_one_part_of_the_time():
    proxy = Proxy([f"b{n}" for n in range(4)], proxies=40)
    proxy.brain.fleet.limit = 0.5
    proxy.brain.update_capacity()
    proxy.finish(proxy.arrive(SAFE), elapsed=40.0)
    costly = proxy.arrive(UNSAFE)
    assert proxy.backend(costly) is not None
    proxy.finish(costly)
    waiting = proxy.arrive(SAFE)
    assert proxy.backend(waiting) is None
    proxy.sweep(50)
    assert proxy.backend(waiting) is not None
