"""The model of a turn server, told the time: queueing theory, cold starts, and what really ran."""

import random
from itertools import count

import pytest

from testbed.model.arrivals import Arrivals
from testbed.model.jobs import DECLINED, ERROR, OVER, SERVED, Job, Operation, Spec
from testbed.model.server import Server
from testbed.scenario import Scenario

MS = 1000


def always(value=0.99):
    return lambda: value


def play(server, arrivals):
    """Feed (time, work) pairs; the time that each took, in order of arrival."""
    jobs, ends, coming = [], {}, list(arrivals)
    while coming or server.due is not None:
        if server.due is None or coming and coming[0][0] <= server.due:
            at, work = coming.pop(0)
            jobs.append((at, Job(len(jobs), work)))
            assert server.arrive(at, jobs[-1][1])
        else:
            now = server.due
            for job in server.advance(now):
                ends[job.ticket] = now
    return [ends[i] - at for i, (at, _) in enumerate(jobs)]


@pytest.mark.parametrize("load", [0.3, 0.75])
def test_one_core_shared_evenly_takes_as_long_as_theory_says(load):
    # M/G/1 processor sharing: the mean time is S / (1 - load), whatever the spread of the work
    rng, at, work, arrivals = random.Random(5), 0.0, 10.0 * MS, []
    for _ in range(20_000):
        at += rng.expovariate(load / work)
        arrivals.append((int(at), work * rng.choice((0.2, 1.8))))
    took = play(Server(Spec(cores=1, slots=10_000, queue=0), always()), arrivals)
    assert sum(took) / len(took) == pytest.approx(work / (1.0 - load), rel=0.05)


def test_requests_up_to_the_cores_do_not_slow_each_other():
    server = Server(Spec(cores=2, speed=2.0, slots=4, queue=0), always())
    assert play(server, [(0, 100.0 * MS), (0, 100.0 * MS)]) == [50 * MS, 50 * MS]
    assert play(Server(server.spec, always()), [(0, 100.0 * MS)] * 4) == [100 * MS] * 4


def test_crowding_costs_capacity():
    spec = Spec(cores=1, slots=4, queue=0, thrash=0.5, thrash_at=1.0)
    assert play(Server(spec, always()), [(0, 10.0 * MS)]) == [10 * MS]
    assert play(Server(spec, always()), [(0, 10.0 * MS)] * 4) == [80 * MS] * 4


def test_beyond_slots_and_waiting_room_a_request_is_declined_unseen():
    server, operation = Server(Spec(cores=1, slots=1, queue=1), always()), Operation()
    jobs = [Job(i, 10.0 * MS, operation=operation, window=MS) for i in range(3)]
    assert [server.arrive(0, job) for job in jobs] == [True, True, False]
    assert jobs[2].outcome == DECLINED and operation.effects == 0 and jobs[2].record is None
    assert server.due == 10 * MS


@pytest.mark.parametrize("by_work", [False, True])
def test_a_cold_server_warms_evenly(by_work):
    spec = Spec(cores=1, slots=4, cold_from=0.5, cold=1000 * MS, warm_by_work=by_work)
    server = Server(spec, always(), now=0, cold=True)
    took = play(server, [(0, 750.0 * MS)])[0]  # half a second lost to the cold, were it idle no help
    assert (950 if not by_work else 900) * MS < took < 1010 * MS
    assert server.warm(500 * MS) >= 0.75 and server.warm(1000 * MS) == 1.0


def test_a_cold_server_falls_when_sent_more_than_it_bears():
    spec = Spec(
        cores=1, slots=1, queue=0, cold_from=0.1, cold=10_000 * MS, tip_multiple=3.0, tip_after=1000 * MS
    )
    for gap, falls in ((100 * MS, False), (10 * MS, True)):
        server = Server(spec, always(), now=0, cold=True)
        for at in range(0, 1000 * MS, gap):
            server.arrive(at, Job(None, 20.0 * MS))  # what is declined presses too
        assert server.up is not falls and server.tally.fallen == falls


def test_a_repeat_in_its_window_is_dropped_and_a_later_one_runs():
    operation, spec = Operation(), Spec(cores=2)
    first, second = Server(spec, always()), Server(spec, always())
    for server, sent in ((first, 0), (second, 50 * MS), (second, 101 * MS)):
        server.arrive(sent, Job(None, 10.0 * MS, operation=operation, window=100 * MS, sent=sent))
        server.advance(sent + 20 * MS)
    assert (operation.effects, operation.dropped) == (2, 1)
    assert second.tally.work < 11.0 * MS  # what is known costs next to nothing


def test_servers_of_different_groups_know_nothing_of_each_other():
    operation = Operation()
    for group in (0, 1):
        server = Server(Spec(), always())
        server.arrive(0, Job(None, 10.0, operation=operation, window=100 * MS, group=group))
        server.advance(20)
    assert operation.effects == 2


def test_a_process_that_hangs_answers_when_it_goes_on_and_one_that_dies_never():
    server, operation = Server(Spec(cores=1), always()), Operation()
    server.arrive(0, Job("a", 10.0 * MS, operation=operation))
    server.hang(4 * MS)
    server.arrive(5 * MS, Job("b", 10.0 * MS))
    assert server.due is None and server.advance(50 * MS) == []
    assert server.resume(100 * MS) == []
    assert [job.ticket for job in server.advance(server.due)] == ["a"]  # 6 ms shared with b
    assert server.last == 112 * MS and operation.effects == 1
    assert [job.ticket for job in server.crash(113 * MS)] == ["b"]
    assert server.due is None and not server.connect()


def test_a_quick_error_proves_nothing():
    draws = iter([0.0, 0.4, 0.0, 0.6])
    server, operations = Server(Spec(), lambda: next(draws)), [Operation(), Operation()]
    server.quick_errors = 0.5
    for operation in operations:
        job = Job(None, 10.0, operation=operation)
        assert not server.arrive(0, job) and (job.outcome, job.state) == (ERROR, OVER)
    assert [operation.effects for operation in operations] == [1, 0]


@pytest.mark.parametrize(("cancel", "left"), [("none", 2), ("queued", 2), ("all", 1)])
def test_what_a_cancel_stops_hangs_on_the_site(cancel, left):
    server = Server(Spec(cores=1, slots=2, cancel=cancel), always())
    jobs = [Job(i, 10.0 * MS) for i in range(2)]
    for job in jobs:
        server.arrive(0, job)
    server.cancel(MS, jobs[0])
    assert server.held() == left
    assert [j.ticket for j in server.advance(20 * MS) if j.outcome == SERVED] == list(range(2 - left, 2))


def test_a_warm_key_costs_less_and_only_the_last_ones_are_remembered():
    spec = Spec(cores=1, affinity_gain=0.5, affinity=1000 * MS, affinity_keys=2)
    server, at, took = Server(spec, always()), count(0, 100 * MS), []
    for key in (1, 1, 2, 3, 1):
        now = next(at)
        server.arrive(now, Job(None, 10.0 * MS, key=key))
        took.append(server.due - now)
        server.advance(server.due)
    assert took == [10 * MS, 5 * MS, 10 * MS, 10 * MS, 10 * MS]


def test_arrivals_come_in_order_and_at_the_rate_that_was_asked_for():
    scenario = Scenario(name="x", seconds=60.0, servers=10)
    rows = list(Arrivals(scenario, 3))
    assert [row.at for row in rows] == sorted(row.at for row in rows)
    assert len(rows) == pytest.approx(scenario.rate() * 60.0, rel=0.15)
    work = sum(row.work / row.noise for row in rows) / len(rows)
    assert work == pytest.approx(scenario.mean_work() * 1000.0, rel=0.05)
