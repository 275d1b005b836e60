"""Connections to pool members: the planner and the subsets by themselves, then the real program."""

import json
import math
import random
import socket
import struct
import time
from collections import Counter
from dataclasses import replace

import pytest
from helpers import (
    SETTINGS,
    DiscoveryAgent,
    Program,
    TurnServer,
    command,
    host,
    read_request,
    response,
    until,
)
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from barleybarrow.connections import AHEAD_ROOM, LIFETIME_SPREAD, Cause, ConnectionSettings, Planner, State
from barleybarrow.interface import ListScope, Outcome
from barleybarrow.settings import read_settings
from barleybarrow.subsets import Subset
from brackenusher.core.deadlines import Deadlines
from brackenusher.membership.discovery import read_listing
from brackenusher.runtime.buffers import Buffers
from brackenusher.runtime.loop import Loop, clock
from brackenusher.upstream import connections
from brackenusher.upstream.flow import Message
from brackenusher.upstream.pool import Pool

IDLE = 15_000.0  # milliseconds, as the platform's settings say
AHEAD = ConnectionSettings(ahead=True, spare=1, hold=6_000.0, pace=10.0)


class Bench:
    """A planner with a clock, and a driver that does as it says."""

    def __init__(self, settings=None, room=1000, **more):
        self.now = 1_000_000.0
        self.planner = Planner(settings or ConnectionSettings(), room, 7, IDLE, cold=8_800.0, **more)
        self.line = self.planner.join("a", self.now)
        self.opened, self.retired = Counter(), Counter()

    def open(self, line=None, ahead=False, handshake=1.0):
        held = self.planner.opening(line or self.line, None, self.now, ahead)
        self.now += handshake
        assert self.planner.up(held, self.now)
        return held

    def take(self, line=None, safe=True):
        return self.planner.lend(line or self.line, self.now, safe) or self.open(line)

    def serve(self, held, took=20.0):
        self.now += took
        self.planner.answered(held, self.now)
        return self.give(held)

    def give(self, held):
        cause = self.planner.done(held, self.now)
        if cause is not None:
            self.planner.closed(held, self.now, cause)
        return cause

    def idle(self, count, line=None):
        """Have so many connections opened, used once and idle."""
        held = [self.open(line) for _ in range(count)]
        for each in held:
            self.serve(each, 0.0)
        return held

    def lose(self, held, reset=True, after=0.1):
        """A request on it was written whole and met a reset, or silence."""
        wrote, self.now = self.now, self.now + after
        self.planner.lost(held, self.now, wrote, reset)
        self.planner.closed(held, self.now, Cause.RESET if reset else Cause.GIVEN_UP)

    def sweep(self):
        """One sweep; what is wanted ahead comes up within the span to the next."""
        due, wanted = self.planner.sweep(self.now)
        for held, cause in due:
            self.planner.closed(held, self.now, cause)
            self.retired[cause] += 1
        coming = [self.planner.opening(line, None, self.now, ahead=True) for line in wanted]
        self.opened.update(line.name for line in wanted)
        self.now += self.planner.every
        for held in coming:
            if held.state is State.OPENING:
                self.planner.up(held, self.now)

    def wait(self, span):
        end = self.now + span
        while self.now < end:
            self.sweep()


def test_a_member_that_drops_idle_connections_unseen_is_known_after_the_first_surprises():
    # guards against resets that may have run, one after the other, because the settings say 15 s
    bench, lost = Bench(), 0
    for span in (8_000.0, 5_000.0, 3_000.0, 2_500.0, 1_000.0) * 20:
        bench.serve(bench.take())
        bench.wait(span)
        held = bench.take()
        if held.age > 2_000.0:
            bench.lose(held)
            lost += 1
        else:
            bench.serve(held)
    assert lost <= 4


def test_what_two_members_have_shown_holds_for_the_others_that_have_shown_nothing():
    bench = Bench()
    lines = [bench.planner.join(name, bench.now) for name in "bcd"]
    for line in lines[:2]:
        bench.serve(bench.take(line), 0.0)
        bench.now += 6_000.0
        bench.lose(bench.take(line))
    assert bench.planner.limit(lines[2]) == 3_000.0
    held = bench.idle(1)[0]  # unless a connection stood longer elsewhere, and was good
    bench.now += 5_000.0
    assert bench.planner.lend(bench.line, bench.now, True) is None  # for this one it holds as well
    bench.planner.mark_in_use(held, bench.now)
    bench.serve(held)
    assert bench.planner.limit(lines[2]) > 3_900.0
    bench.planner.sweep(bench.now + 300_001.0)  # and not for good
    assert bench.planner.limit(lines[2]) == 0.6 * IDLE


def test_a_process_that_goes_is_no_sign_of_an_idle_limit_and_comes_back_cold():
    # guards against a member's death that halves the limit of its next life
    bench = Bench(AHEAD)
    busy, old = bench.idle(3), bench.idle(1)[0]
    for _ in busy:
        assert bench.planner.lend(bench.line, bench.now, True) is not None
    bench.now += 7_000.0
    assert bench.planner.lend(bench.line, bench.now, True) is old or old.state is State.BUSY
    held = next(each for each in (*busy, old) if each.age > 100.0)
    bench.lose(held)
    for other in (*busy, old):
        if other is not held:
            bench.planner.closed(other, bench.now, Cause.RESET)
    assert bench.planner.limit(bench.line) == 0.6 * IDLE
    back = bench.open()
    assert bench.now + 8_000.0 < bench.line.cold_until <= back.state_since + 8_800.0


def test_silence_counts_only_where_the_member_answers_others_meanwhile():
    # guards against a server that hangs for everybody: its connections are as good as any
    bench = Bench()
    first, other = bench.idle(2)
    bench.now += 6_000.0
    held = bench.take()
    bench.lose(held, reset=False, after=600.0)
    assert bench.planner.limit(bench.line) == 0.6 * IDLE
    (held,) = [each for each in (first, other) if each.state is State.IDLE]
    assert bench.take() is held
    wrote = bench.now
    bench.serve(bench.open(), 20.0)
    bench.planner.lost(held, bench.now + 500.0, wrote, False)
    assert bench.planner.limit(bench.line) < 0.6 * IDLE


def test_a_limit_that_is_seen_is_learned_from_two_closes_and_not_from_a_process_that_ends():
    bench = Bench()
    for _ in range(2):
        held = bench.idle(1)[0]
        bench.now += 4_000.0
        bench.planner.closed(held, bench.now, Cause.ENDED)
        bench.now += 500.0
    assert bench.planner.limit(bench.line) == pytest.approx(3_200.0)
    other = bench.planner.join("b", bench.now)
    pair = bench.idle(2, other)
    bench.now += 4_000.0
    for held in pair:
        bench.planner.closed(held, bench.now, Cause.ENDED)
    assert other.idle_limit == math.inf


def test_a_learned_limit_is_tried_again_with_what_may_be_repeated_and_grows():
    # guards against a limit that one accident shortened for good, and against trying it with a turn
    bench = Bench()
    held = bench.idle(1)[0]
    bench.now += 2_000.0
    bench.lose(bench.take())
    assert bench.line.idle_limit == 1_000.0 and held.state is State.CLOSED
    bench.now += 10_000.0
    kept = bench.idle(1)[0]
    bench.wait(1_500.0)
    assert kept.state is State.IDLE
    assert bench.planner.lend(bench.line, bench.now, False) is None
    assert bench.planner.lend(bench.line, bench.now, True) is kept
    bench.serve(kept)
    assert bench.line.idle_limit > 1_400.0


def test_what_a_member_promises_is_held_to():
    bench = Bench()
    held = bench.idle(1)[0]
    bench.planner.promised(held, 5_000.0)
    bench.now += 4_500.0
    assert bench.planner.lend(bench.line, bench.now, True) is None


def test_connections_of_one_moment_are_not_retired_in_one_moment():
    # guards against a fleet's connections that all fall due, and are all opened again, in the same second
    bench = Bench(ConnectionSettings(age=60_000.0), room=400)
    lines = [bench.planner.join(f"s{n}", bench.now) for n in range(20)]
    for line in lines:
        bench.idle(10, line)
    fullest, last = 0, 0
    for _ in range(1_200):
        for line in lines:  # each is used, so none falls due by idle time
            for held in list(line.idle):
                held.state_since = bench.now
        before = bench.planner.closes[Cause.AGE]
        bench.sweep()
        fullest = max(fullest, bench.planner.closes[Cause.AGE] - before)
        last = bench.planner.closes[Cause.AGE]
    assert last == 200 and fullest <= 200 / 16
    bench = Bench(room=400)
    bench.idle(200)
    start = bench.now
    while bench.planner.total:
        bench.sweep()
    assert start + 0.6 * IDLE <= bench.now + 500 and len(bench.retired) == 1


def test_by_number_of_requests_connections_are_retired_one_by_one():
    bench = Bench(ConnectionSettings(requests=100))
    counts = set()
    for _ in range(10):
        held = bench.open()
        while bench.serve(held, 1.0) is None:
            assert bench.planner.lend(bench.line, bench.now, True) is held
        counts.add(held.request_count)
    assert max(counts) <= 100 and min(counts) >= 100 * (1 - LIFETIME_SPREAD) and len(counts) > 4


def burst(bench, count, span):
    """So many requests at once, each for a span: how many found an open connection."""
    before = bench.planner.reused
    held = [bench.take() for _ in range(count)]
    found = bench.planner.reused - before
    bench.now += span
    for each in held:
        bench.serve(each, 0.0)
    return found


@pytest.mark.parametrize("ahead", [True, False])
def test_after_a_burst_the_next_one_finds_open_connections(ahead):
    # guards against a burst that pays for its handshakes each time, as all have gone idle in between
    bench = Bench(replace(AHEAD, ahead=ahead, hold=30_000.0))
    burst(bench, 20, 50.0)
    burst(bench, 60, 50.0)
    for _ in range(3):
        bench.wait(12_000.0)
        found = burst(bench, 60, 50.0)
        assert found >= 50 if ahead else not found
    bench.wait(90_000.0)  # and what is not needed any more is not held for good
    assert bench.planner.total == 0 and not bench.planner.active


def test_openings_ahead_are_paced_and_none_go_to_a_member_that_may_be_cold():
    # guards against handshakes that spend the budget of a server that has just started
    bench = Bench(replace(AHEAD, hold=60_000.0), proxies=2)
    cold = bench.line = bench.planner.join("cold", bench.now, started=bench.now - 1_000.0)
    burst(bench, 40, 50.0)
    for held in list(cold.idle):
        bench.planner.closed(held, bench.now, Cause.ROOM)
    bench.wait(7_000.0)
    assert bench.opened["cold"] == 0
    start = bench.now = max(bench.now, cold.cold_until)
    bench.wait(3_000.0)
    assert 5 < bench.opened["cold"] <= AHEAD.pace / 2 * (bench.now - start) / 1000.0 / 0.5 + 1


def test_a_cap_shows_in_refused_connects_and_is_tried_again_less_and_less_often():
    # guards against connecting in vain with each request, and against never trying again
    bench = Bench()
    bench.idle(5)
    refusals = []
    for n in range(700):  # a little over a minute
        bench.now += 100.0
        for held in list(bench.line.idle):
            bench.planner.mark_in_use(held, bench.now)
            bench.serve(held, 0.0)
        if bench.planner.may_open(bench.line, bench.now):
            if n < 500:
                bench.planner.not_opened(bench.line, bench.now)
                refusals.append(n)
            else:
                bench.serve(bench.open(), 0.0)
    assert 4 <= len(refusals) <= 8 and bench.line.connection_cap > 5 and bench.planner.full > 400


def test_a_member_that_refuses_because_its_process_ends_is_not_taken_for_a_full_one():
    # guards against attempts left out for seconds: 587 were on a bench day, for processes that had gone
    bench = Bench()
    busy = bench.take()
    bench.idle(3)
    bench.now += 10.0
    bench.planner.not_opened(bench.line, bench.now)
    bench.serve(busy, 5.0)  # what it had sent before its end
    assert bench.planner.may_open(bench.line, bench.now)
    bench.now += 200.0
    bench.serve(bench.open(), 5.0)  # it is back: that is a new connection
    assert bench.planner.may_open(bench.line, bench.now) and bench.line.connection_cap == math.inf


def test_a_thousand_members_that_leave_and_come_back_leave_nothing_behind():
    # guards against memory that grows with the names of members, and a storm of handshakes at their return
    bench = Bench(AHEAD, room=4_000)
    for _ in range(3):
        lines = [bench.planner.join(f"s{n}", bench.now, started=bench.now) for n in range(1_000)]
        for line in lines:
            bench.idle(2, line)
        bench.wait(1_000.0)
        assert not bench.opened and bench.planner.total == 2_000
        for line in lines:
            for held in bench.planner.leave(line):
                bench.planner.closed(held, bench.now, Cause.LEFT)
        bench.sweep()
        assert bench.planner.total == 0 and not bench.planner.active


def early(bench, closes, answers):
    """Members close so many connections 5 ms after an answer, of so many answers."""
    for n in range(answers):
        line = bench.lines[n % 3]
        held = bench.take(line)
        bench.serve(held, 10.0)
        if n < closes:
            bench.now += 5.0
            bench.planner.closed(held, bench.now, Cause.ENDED)
        else:
            bench.now += 200.0


@pytest.mark.parametrize(("closes", "answers", "rests"), [(6, 400, True), (1, 400, False), (0, 10, False)])
def test_a_connection_rests_where_members_close_soon_after_answers(closes, answers, rests):
    bench = Bench(ConnectionSettings(rest=True))
    bench.lines = [bench.planner.join(name, bench.now) for name in "bcd"]
    early(bench, closes, answers)
    line = bench.lines[0]
    held = bench.take(line)
    bench.serve(held, 0.0)
    bench.now += 2.0
    assert (bench.planner.lend(line, bench.now, True) is None) is rests
    bench.now += 20.0
    assert not rests or bench.planner.lend(line, bench.now, True) is held


class Life(RuleBasedStateMachine):
    """Whatever happens in whatever order, what is held stays within its bounds."""

    ROOM = 12

    def __init__(self):
        super().__init__()
        self.now = 1_000.0
        settings = ConnectionSettings(ahead=True, rest=True, age=3_000.0, requests=9, spare=2, hold=2_000.0)
        self.planner = Planner(settings, self.ROOM, 3, IDLE, cold=1_000.0, proxies=2)
        self.lines = [self.planner.join(name, self.now) for name in "abc"]
        self.held = []

    def some(self, number, state):
        found = [held for held in self.held if held.state is state]
        return found[number % len(found)] if found else None

    @rule(span=st.sampled_from([0.1, 3.0, 60.0, 700.0, 9_000.0]))
    def time(self, span):
        self.now += span

    @rule(n=st.integers(0, 2), safe=st.booleans())
    def request(self, n, safe):
        line, now = self.lines[n], self.now
        held = self.planner.lend(line, now, safe)
        if held is not None:
            assert held.line is line and not line.left and held.state is State.BUSY and held.age >= 0
            limit = self.planner.limit(line)
            assert held.age < (2 * limit if safe else limit)
        elif not line.left and self.planner.may_open(line, now):
            if self.planner.total >= self.ROOM:
                spare = self.planner.spare()
                if spare is None:
                    return
                self.planner.closed(spare, now, Cause.ROOM)
            self.held.append(self.planner.opening(line, None, now))

    @rule(number=st.integers(0, 99), up=st.booleans())
    def connected(self, number, up):
        held = self.some(number, State.OPENING)
        if held is not None and not (up and self.planner.up(held, self.now)):
            self.planner.closed(held, self.now, Cause.LEFT if up else Cause.REFUSED)

    @rule(number=st.integers(0, 99))
    def served(self, number):
        held = self.some(number, State.BUSY)
        if held is not None:
            self.planner.answered(held, self.now)
            cause = self.planner.done(held, self.now)
            assert (cause is None) is (held.state is State.IDLE) and (cause is None) <= (not held.line.left)
            if cause is not None:
                self.planner.closed(held, self.now, cause)

    @rule(number=st.integers(0, 99), cause=st.sampled_from([Cause.RESET, Cause.GIVEN_UP, Cause.UNWRITTEN]))
    def broke(self, number, cause):
        held = self.some(number, State.BUSY)
        if held is not None:
            if cause is not Cause.UNWRITTEN:
                self.planner.lost(held, self.now, self.now - 1.0, cause is Cause.RESET)
            self.planner.closed(held, self.now, cause)
            self.planner.closed(held, self.now, Cause.FAULT)

    @rule(number=st.integers(0, 99))
    def ended(self, number):
        held = self.some(number, State.IDLE)
        if held is not None:
            self.planner.closed(held, self.now, Cause.ENDED)

    @rule(n=st.integers(0, 2))
    def leaves(self, n):
        for held in self.planner.leave(self.lines[n]):
            self.planner.closed(held, self.now, Cause.LEFT)

    @precondition(lambda self: any(line.left for line in self.lines))
    @rule()
    def comes_back(self):
        for n, line in enumerate(self.lines):
            if line.left:
                self.lines[n] = self.planner.join(line.name, self.now, self.now)

    @rule()
    def sweep(self):
        before = self.planner.total
        due, wanted = self.planner.sweep(self.now)
        for held, cause in due:
            assert held.state is State.IDLE
            self.planner.closed(held, self.now, cause)
        assert len(set(wanted)) == len(wanted) <= max(0, self.ROOM * AHEAD_ROOM - before)
        for line in wanted:
            assert not line.left and not line.opening and self.now >= line.cold_until
            self.held.append(self.planner.opening(line, None, self.now, ahead=True))

    @invariant()
    def bounds(self):
        self.held = [held for held in self.held if held.state is not State.CLOSED]
        assert self.planner.total == len(self.held) <= self.ROOM
        for line in {held.line for held in self.held} | set(self.lines):
            mine = [held for held in self.held if held.line is line]
            assert line.held == len(mine)
            assert sorted(map(id, line.idle)) == sorted(id(h) for h in mine if h.state is State.IDLE)
            assert line.opening == sum(held.ahead for held in mine) <= 1
            assert line.used == line.held - line.opening - len(line.idle)
            assert not mine or line in self.planner.active
        assert len(self.planner.active) <= len(self.held) + len(self.lines) + 30


TestLife = Life.TestCase
TestLife.settings = hypothesis_settings(
    derandomize=True, max_examples=60, stateful_step_count=60, deadline=None
)


def spread(size, proxies, names):
    """Who sees whom, as pairs."""
    return {(n, name) for n in range(proxies) for name in Subset(size, n, proxies).choose(names)}


@pytest.mark.parametrize(
    ("size", "proxies", "servers"), [(20, 40, 200), (20, 37, 333), (100, 4, 50), (3, 2, 60)]
)
def test_subsets_reach_every_member_evenly_and_move_only_what_they_must(size, proxies, servers):
    names = [f"s-{n:08x}" for n in range(servers)]
    pairs = spread(size, proxies, names)
    counts = Counter(name for _, name in pairs)
    assert set(counts) == set(names) and max(counts.values()) <= min(counts.values()) + 1
    without = spread(size, proxies, names[1:])
    assert pairs - without == {pair for pair in pairs if pair[1] == names[0]} and without <= pairs
    fewer = spread(size, proxies - 1, names)
    lost = {pair for pair in pairs - fewer if pair[0] != proxies - 1}
    assert len(lost) <= len(pairs) / 4


def test_a_list_that_goes_up_and_down_does_not_deal_the_proxies_anew():
    # guards against lists at the edge between two numbers of lots: each change would move nearly all
    subset, names = Subset(20, 5, 40), [f"s{n}" for n in range(400)]
    kept = subset.choose(names)
    for count in (330, 400, 280, 400):
        assert subset.choose(names[:count]) <= kept
    assert subset.choose(names) == kept


class Address:
    address = "127.0.0.1:9"


def test_the_module_sees_the_subset_only_whatever_the_list_does():
    # guards against a member that left the subset and is still sent to, and one that came in unannounced
    rng, names = random.Random(5), [f"s{n}" for n in range(60)]
    pools = [Pool(read_settings(SETTINGS), lambda: 1_000.0, 0.0, subset=Subset(5, n, 6)) for n in range(6)]
    listed, seen = {}, [{} for _ in pools]
    for seq in range(1, 120):
        whole, hosts = seq % 40 == 1, []
        for name in rng.sample(names, 50 if whole else 3):
            health = "gone" if name in listed and rng.random() < 0.4 and not whole else "ready"
            hosts.append(host(name, Address, health))
        if whole:
            listed = {}
        for entry in hosts:
            if entry["health"] == "gone":
                listed.pop(entry["host"])
            else:
                listed[entry["host"]] = entry
        for pool, module in zip(pools, seen, strict=True):
            event = pool.take(read_listing({"seq": seq, "whole": whole, "hosts": hosts}))
            if event.scope is ListScope.COMPLETE:
                module.clear()
            for entry in event.entries:
                module[entry.backend] = entry.state.value
                if entry.state.value == "gone":
                    del module[entry.backend]
            assert set(module) == set(pool.members) == pool.subset.choose(listed)
    assert set().union(*seen) == set(listed)
    assert all(len(module) < len(listed) for module in seen)


class Driver:
    """The driver in this process, with probes for attempts."""

    def __init__(self, *servers, room=50):
        settings = read_settings(SETTINGS)
        self.loop = Loop(Deadlines())
        self.pool = Pool(settings, clock, 0.0)
        self.upstream = connections.Upstream(self.loop, self.pool, settings, room, Buffers())
        hosts = [host(f"s{n}", server) for n, server in enumerate(servers)]
        self.pool.take(read_listing({"seq": 1, "whole": True, "hosts": hosts}))

    def start(self, name, ended):
        message, now = Message(b"GET", b"/board-read"), clock()
        attempt = connections.Probe(name, message, now, now + 20_000.0, lambda _, outcome, __: ended(outcome))
        self.upstream.start(attempt)

    def ask(self):
        ends = []
        self.start("s0", ends.append)
        self.turn_until(lambda: ends)
        return ends[0]

    def turn_until(self, condition):
        until(lambda: condition() or self.loop.turn(), "the event")


def test_a_request_that_provably_never_ran_goes_to_another_connection_and_counts_against_nobody(monkeypatch):
    # guards against a failed attempt, and a member shunned, for a close that nobody is to blame for
    with TurnServer() as server:
        driver, breaks = Driver(server), []
        write = connections.write

        def breaking(sock, data):
            if breaks:
                raise breaks.pop()
            return write(sock, data)

        monkeypatch.setattr(connections, "write", breaking)
        assert driver.ask() is Outcome.SERVED
        breaks.append(BrokenPipeError())
        assert driver.ask() is Outcome.SERVED
        planner = driver.upstream.planner
        assert (planner.rescued, planner.closes[Cause.UNWRITTEN], len(server.requests)) == (1, 1, 2)
        breaks += [
            BrokenPipeError(),
            BrokenPipeError(),
        ]  # the new one as well: that tells of the member
        assert driver.ask() is Outcome.CONNECT_FAILED
        assert planner.total == 0 and len(server.requests) == 2


def test_a_request_that_was_written_whole_is_never_sent_again_by_the_driver():
    # guards against a turn that is submitted twice: the reset proves nothing, though no answer came
    def behave(server, message):
        if len(server.requests) != 2:
            return response(200, b"board")
        server.connections[-1].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        server.connections[-1].close()
        return None

    with TurnServer(behave) as server:
        driver = Driver(server)
        assert [driver.ask(), driver.ask()] == [Outcome.SERVED, Outcome.RESET]
        planner = driver.upstream.planner
        assert (planner.rescued, planner.closes[Cause.RESET], len(server.requests)) == (0, 1, 2)


def test_a_close_that_is_seen_before_the_write_costs_nothing():
    with TurnServer() as server:
        driver = Driver(server)
        assert driver.ask() is Outcome.SERVED
        (held,) = driver.pool.members["s0"].line.idle
        server.connections[-1].shutdown(socket.SHUT_RDWR)
        until(lambda: held.link.sock.recv(1, socket.MSG_PEEK) == b"", "the end")  # the loop has not seen it
        assert driver.ask() is Outcome.SERVED
        planner = driver.upstream.planner
        assert (planner.rescued, planner.closes[Cause.ENDED], len(server.connections)) == (1, 1, 2)


def test_a_connection_makes_room_while_its_own_coroutine_runs():
    # guards against a room that is counted as taken still: what came on hearing of an answer failed on it
    with TurnServer() as first, TurnServer() as second:
        driver, ends = Driver(first, second, room=1), []
        driver.start("s0", lambda outcome: (ends.append(outcome), driver.start("s1", ends.append)))
        driver.turn_until(lambda: len(ends) == 2)
        assert ends == [Outcome.SERVED, Outcome.SERVED] and driver.upstream.planner.total == 1
        assert driver.upstream.planner.closes == {Cause.ROOM: 1}


class Forgetful(TurnServer):
    """Drops connections after 0.2 s between requests and says nothing: a request on one is reset unread."""

    def __init__(self):
        self.met = 0
        super().__init__()

    def serve(self, sock):
        since = math.inf
        while sock.recv(65536):
            if time.monotonic() - since > 0.2:
                self.met += 1
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
                return
            sock.sendall(response(200, b"board"))
            since = time.monotonic()


@pytest.mark.parametrize("learn", [True, False])
def test_a_server_that_drops_idle_connections_early_and_silently_is_found_out(tmp_path, learn):
    # guards against writing to each of its connections until the settings' time, every time in vain
    operator = f"connections.enabled = true\nconnections.learn = {str(learn).lower()}\n"
    with Forgetful() as server, Program(tmp_path, server, operator=operator) as program:
        for n in range(9):
            program.ask(read_request(n))
            time.sleep(0.3)
        assert server.met <= 2 if learn else server.met > 2


@pytest.mark.parametrize("cold", [False, True])
def test_connections_are_opened_ahead_of_need_and_none_to_a_member_that_is_cold(tmp_path, cold):
    operator = "connections.enabled = true\nconnections.ahead = true\nconnections.ahead.spare = 3\n"
    operator += "connections.ahead.pace = 100\n"
    with TurnServer() as server:
        agent = DiscoveryAgent([host("s0", server, born_ms=time.time() * 1000.0 if cold else 0)])
        with Program(tmp_path, agent=agent, operator=operator) as program:
            until(lambda: program.ask(read_request())[0] == 200, "a served request")
            if cold:
                time.sleep(0.6)
                assert len(server.connections) == 1
            else:
                until(lambda: len(server.connections) == 4, "the openings ahead")


@pytest.mark.parametrize(
    ("line", "complaint"),
    [
        (
            "connections.ahead.pace = 0",
            "connections.ahead.pace must be a whole number from 1 to 1000",
        ),
        ("connections.age_s = soon", "connections.age_s must be a whole number"),
        ("connections.rest = yes", "connections.rest must be true or false"),
        ("connections.subsets = 20", "connections.subsets is not known"),
        ("connections.subset = 20", "connections.subset.index: -1 is no number below that of the proxies, 1"),
    ],
)
def test_a_wrong_setting_is_one_line_that_names_it(tmp_path, line, complaint):
    path = tmp_path / "operator.properties"
    path.write_text(f"connections.enabled = true\n{line}\n", encoding="utf-8")
    config = tmp_path / "config.json"
    config.write_text(CONFIG, encoding="utf-8")
    done = command("check-config", "--operator", str(path), GW_CONFIG=str(config))
    assert done.returncode == 2 and complaint in done.stderr and done.stderr.count("\n") == 1


CONFIG = json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS})


def test_each_cause_of_a_close_is_counted_in_figures(tmp_path):
    path = tmp_path / "figures"
    path.touch()
    operator = f"figures.enabled = true\nfigures.target = file:{path}\nfigures.flush_ms = 50\n"
    with Program(tmp_path, TurnServer(), operator=operator) as program:
        assert program.ask(read_request())[0] == 200
        until(lambda: "connections_idle:1|g" in path.read_text(encoding="utf-8"), "the gauge")
        program.servers[0].connections[-1].shutdown(socket.SHUT_RDWR)
        until(lambda: "connections_closed:1|c|#cause:ended" in path.read_text(encoding="utf-8"), "the cause")
        assert "connections_opened:1|c\n" in path.read_text(encoding="utf-8")
