"""A tenant's limit over all proxies, in virtual time: what all admit together, whatever fails."""

import random

import pytest

from barleybarrow.rate_limiter import Limit, RateLimiterSettings
from barleybarrow.shares import (
    GRANT,
    LEASE,
    CreditServerHeartbeat,
    LeaseRequest,
    Parts,
    Promise,
    Report,
    Role,
    SharedRateLimiter,
    Shares,
)
from testbed.cluster import PERIOD
from testbed.portions import Portions
from testbed.schedule import LinkFault, by_chance

RATE = 200.0
NEARLY = 1.0 + 1e-9


def group(size, seed=1, **more):
    p = Portions(size, 3, seed, RATE, RATE, **more)
    p.run(5000.0)
    assert [s.role for s in p.shares].count(Role.CREDIT_SERVER) == 1
    return p


@pytest.mark.parametrize("size", [3, 9])
def test_the_limit_is_one_wherever_the_demand_is(size):
    p = group(size)
    for demand in ([600.0] + [0.0] * (size - 1), [0.0] * (size - 1) + [600.0], [600.0 / size] * size):
        p.demand = demand
        p.run(p.now + 5000.0)
        assert 0.95 * RATE <= p.rate_between(p.now - 3000.0, p.now) <= 1.05 * RATE
    p.demand = [RATE / 2] + [RATE * 0.3 / size] * (size - 1)  # enough for all: nobody is turned away
    p.run(p.now + 4000.0)
    refused = p.refused
    p.run(p.now + 3000.0)
    assert p.refused - refused <= 0.02 * RATE * 3.0
    assert p.most_between(0.0, p.now) <= NEARLY


def test_a_third_that_is_cut_off_uses_its_own_part_and_no_more_comes_of_it():
    p = group(9)
    p.demand = [0.0] * 6 + [600.0] * 3
    p.run(p.now + 5000.0)
    away = [6, 7, 8]
    links = [LinkFault(at=0, lasts=1e4, of=away, lost=1.0), LinkFault(at=0, lasts=1e4, to=away, lost=1.0)]
    p.faults, p.origin = links, p.now
    p.run(p.now + 8000.0)
    assert p.rate_between(p.now - 3000.0, p.now) == pytest.approx(RATE / 3, rel=0.1)
    assert p.most_between(0.0, p.now) <= NEARLY
    for i in away:  # the group's view takes them out: their parts are given to others after a while
        for s in p.shares:
            s.reachable = [n for n in s.reachable if n != f"n{i}"]
    p.faults = []
    p.run(p.now + 4000.0)
    assert p.rate_between(p.now - 2000.0, p.now) >= 0.95 * RATE


def test_one_that_holds_much_dies_or_is_paused_and_comes_back():
    for deed in ("crash", "pause"):
        p = group(5, seed=2)
        holder = next(i for i, s in enumerate(p.shares) if s.role is not Role.CREDIT_SERVER)
        p.demand[holder] = 600.0
        p.run(p.now + 4000.0)
        assert p.shares[holder].part("t", p.clock(holder)) > 0.9
        if deed == "crash":
            p.crash(holder)
        else:
            p.paused_until[holder] = p.now + 8000.0
        p.demand[(holder + 1) % 5] = 600.0
        p.run(p.now + 7000.0)
        assert p.rate_between(p.now - 3000.0, p.now) >= 0.75 * RATE  # all but the part that is its own
        if deed == "crash":
            p.start(holder)
        p.run(p.now + 5000.0)
        assert p.rate_between(p.now - 2000.0, p.now) == pytest.approx(RATE, rel=0.06)
        assert p.most_between(0.0, p.now) <= NEARLY + 0.2 * (deed == "crash")  # a new life adds its own part


# 311: a first part that was never heard of; 1075, 1201: an answer to an old question; 1108: a give-back that
# came late; 1233: a part that was over, used on the way back to one's own
FOUND = [311, 1075, 1108, 1201, 1233]


@pytest.mark.parametrize("seed", [*FOUND, *range(300, 310), *range(9000, 9010)])
def test_whatever_fails_the_parts_add_up_to_one(seed):
    size = (3, 5, 9)[seed % 3]
    p = Portions(size, 3, seed, RATE, RATE)
    p.run(4000.0)
    rng = random.Random(seed)
    p.demand = [rng.choice([0.0, 50.0, 600.0]) for _ in range(size)]
    schedule = by_chance(seed, size, calm=2.0, quiet=20.0)
    end, crashed = p.plan(schedule), any(a.do in ("kill", "leave") for a in schedule.acts)
    p.run(end)
    p.faults = []
    p.run(p.now + 8000.0)
    wardens = sum(s.role is Role.CREDIT_SERVER and p.up[i] for i, s in enumerate(p.shares))
    assert wardens == (sum(p.up[:3]) >= 2)
    assert p.most_between(0.0, p.now) <= NEARLY or crashed
    if not crashed:
        admitted, span = len(p.admitted), p.now / 1000.0
        assert admitted <= RATE * span + RATE + size


def test_wardens_of_one_time_are_one():
    for seed in range(20):
        p = Portions(5, 3, seed, RATE, RATE)
        p.origin = 0.0
        p.faults = [LinkFault(at=0, lasts=400, of=[0], to=[1], lost=1.0, every=5.0)]
        p.faults += [LinkFault(at=20, lasts=60, lost=0.3), LinkFault(at=90, lasts=30, of=[1], lost=1.0)]
        most = 0
        while p.now < 150 * PERIOD:
            p.run(p.now + 50.0)
            holds = [
                s.role is Role.CREDIT_SERVER and p.clock(i) < s.lease_expires_at
                for i, s in enumerate(p.shares)
            ]
            most = max(most, sum(holds))
        assert most == 1


def test_a_lease_and_a_part_count_from_the_question():
    s = Shares("n0", ["n0", "n1", "n2"], random.Random(1), 0.0, 3, lambda key: RATE)
    s.promised_until = 0.0
    s.role, s.reachable = Role.CANDIDATE, ["n1", "n2"]
    s.send_lease_requests(100.0)
    s.receive(2000.0, "n1", Promise(s.ballot, True))
    assert s.role is Role.CREDIT_SERVER and s.lease_expires_at == 100.0 + LEASE
    late = Shares("n0", ["n0", "n1", "n2"], random.Random(1), 0.0, 3, lambda key: RATE)
    late.promised_until = 0.0
    late.role = Role.CANDIDATE
    late.send_lease_requests(100.0)
    late.receive(101.0 + LEASE, "n1", Promise(late.ballot, True))
    assert late.role is Role.CANDIDATE  # it is over before it begins
    p = Shares("n5", ["n0", "n1", "n2"], random.Random(1), 0.0, 4, lambda key: RATE)
    p.receive(0.0, "n0", CreditServerHeartbeat(9))
    p.report(50.0)
    assert p.outgoing[-1] == ("n0", Report(9, 1, 0, 0.25, []))
    p.receive(1500.0, "n0", Parts(9, 1, 1, 0.25, [("t", 0.9)]))
    assert p.part("t", 50.0 + GRANT - 1.0) == 0.9 and p.part("t", 50.0 + GRANT) == 0.25
    p.receive(1600.0, "n1", Parts(9, 1, 2, 0.25, [("t", 1.0)]))
    p.receive(1600.0, "n0", Parts(8, 1, 3, 0.25, [("t", 1.0)]))
    assert p.applied == 1  # not of another, nor of another time
    p.receive(1700.0, "n1", LeaseRequest(7, 5))
    assert p.outgoing[-1][1] != Promise(5, True)  # it keeps nothing


def test_a_keeper_that_starts_promises_nobody_anything_for_as_long_as_it_may_have_before():
    s = Shares("n1", ["n0", "n1", "n2"], random.Random(1), 0.0, 3, lambda key: RATE)
    s.receive(LEASE, "n0", LeaseRequest(7, 1))
    assert s.outgoing.pop() == ("n0", Promise(1, False))
    s.receive(1.06 * LEASE, "n0", LeaseRequest(7, 2))
    assert s.outgoing.pop() == ("n0", Promise(2, True))
    s.receive(1.07 * LEASE, "n2", LeaseRequest(7, 3))
    assert s.outgoing.pop() == ("n2", Promise(3, False))
    # of a question before the last: it changes nothing
    s.receive(1.075 * LEASE, "n0", LeaseRequest(7, 1, True))
    s.receive(1.08 * LEASE, "n2", LeaseRequest(7, 3))
    assert s.outgoing.pop() == ("n2", Promise(3, False))
    s.receive(1.08 * LEASE, "n0", LeaseRequest(7, 2, True))
    s.receive(1.09 * LEASE, "n2", LeaseRequest(7, 4))
    assert s.outgoing.pop() == ("n2", Promise(4, True))


def test_a_door_takes_up_its_part_and_gains_nothing_by_the_change():
    door = SharedRateLimiter(RateLimiterSettings(tenant=Limit(100.0, 100), table=2))
    shares = Shares("n0", ["n0"], random.Random(1), 0.0, 4, lambda key: 100.0)
    door.shares = shares
    assert sum(door.ask("t", 0.0) == 0.0 for _ in range(100)) == 25
    shares.grants["t"] = (1.0, 1e9)
    assert sum(door.ask("t", 0.0) == 0.0 for _ in range(100)) == 0  # no more at once
    assert sum(door.ask("t", 1000.0) == 0.0 for _ in range(200)) == 100
    shares.grants["t"] = (0.001, 1e9)
    door.ask("t", 2000.0)
    assert door.buckets["t"].limit.burst == 1.0
    for key in ("a", "b", "c"):
        door.ask(key, 2000.0)
    assert len(door.buckets) == 2 and len(door.parts) <= 3
    assert shares.asked["t"] == 401
