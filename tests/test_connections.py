"""Connections to pool members: unit tests of the planner and of subsets, then tests of the whole program."""

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

from barleybarrow.connection_records import CloseReason, ConnectionSettings, ConnectionState
from barleybarrow.connections import LIFETIME_SPREAD, MAX_PRECONNECT_CAPACITY_SHARE, Planner
from barleybarrow.interface import ListScope, Outcome
from barleybarrow.settings import read_settings
from barleybarrow.subsets import Subset
from brackenusher.core.deadlines import Deadlines
from brackenusher.membership.discovery import read_listing
from brackenusher.runtime.buffers import BufferPool
from brackenusher.runtime.loop import EventLoop, clock
from brackenusher.upstream import connections
from brackenusher.upstream.flow import Message
from brackenusher.upstream.pool import Pool

IDLE = 15_000.0  # milliseconds, as in the platform's settings
AHEAD = ConnectionSettings(
    preconnect=True, spare_connections=1, peak_window_ms=6_000.0, preconnects_per_s=10.0
)


class Harness:
    """A planner with a simulated clock and a driver that carries out its decisions."""

    def __init__(self, settings=None, room=1000, **more):
        self.now = 1_000_000.0
        self.planner = Planner(settings or ConnectionSettings(), room, 7, IDLE, cold_start=8_800.0, **more)
        self.server = self.planner.add_server("a", self.now)
        self.opened, self.closed_by_cause = Counter(), Counter()

    def open(self, server=None, ahead=False, handshake=1.0):
        connection = self.planner.begin_connect(server or self.server, None, self.now, ahead)
        self.now += handshake
        assert self.planner.on_connected(connection, self.now)
        return connection

    def acquire(self, server=None, safe=True):
        return self.planner.acquire(server or self.server, self.now, safe) or self.open(server)

    def serve(self, connection, duration=20.0):
        self.now += duration
        self.planner.on_answer(connection, self.now)
        return self.release(connection)

    def release(self, connection):
        cause = self.planner.release(connection, self.now)
        if cause is not None:
            self.planner.on_closed(connection, self.now, cause)
        return cause

    def open_idle(self, count, server=None):
        """Open `count` connections, use each once and leave them idle."""
        opened = [self.open(server) for _ in range(count)]
        for each in opened:
            self.serve(each, 0.0)
        return opened

    def fail_request(self, connection, reset=True, after=0.1):
        """A request was written completely and met a reset or a timeout."""
        wrote, self.now = self.now, self.now + after
        self.planner.on_request_lost(connection, self.now, wrote, reset)
        self.planner.on_closed(connection, self.now, CloseReason.RESET if reset else CloseReason.GIVEN_UP)

    def sweep(self):
        """Run one sweep; preconnects succeed before the next one."""
        due, to_preconnect = self.planner.sweep(self.now)
        for connection, cause in due:
            self.planner.on_closed(connection, self.now, cause)
            self.closed_by_cause[cause] += 1
        connecting = [
            self.planner.begin_connect(server, None, self.now, preconnect=True) for server in to_preconnect
        ]
        self.opened.update(server.name for server in to_preconnect)
        self.now += self.planner.sweep_interval_ms
        for connection in connecting:
            if connection.state is ConnectionState.OPENING:
                self.planner.on_connected(connection, self.now)

    def run_sweeps(self, span):
        end = self.now + span
        while self.now < end:
            self.sweep()


def test_silent_idle_timeout_is_learned_after_a_few_resets():
    # guards against one ambiguous reset after another because the configured idle timeout is 15 s
    harness, lost = Harness(), 0
    for span in (8_000.0, 5_000.0, 3_000.0, 2_500.0, 1_000.0) * 20:
        harness.serve(harness.acquire())
        harness.run_sweeps(span)
        connection = harness.acquire()
        if connection.idle_before_use > 2_000.0:
            harness.fail_request(connection)
            lost += 1
        else:
            harness.serve(connection)
    assert lost <= 4


def test_limit_learned_from_two_members_applies_to_members_without_one():
    harness = Harness()
    servers = [harness.planner.add_server(name, harness.now) for name in "bcd"]
    for server in servers[:2]:
        harness.serve(harness.acquire(server), 0.0)
        harness.now += 6_000.0
        harness.fail_request(harness.acquire(server))
    assert harness.planner.idle_limit_of(servers[2]) == 3_000.0
    connection = harness.open_idle(1)[0]  # unless a longer idle time worked elsewhere
    harness.now += 5_000.0
    assert (
        harness.planner.acquire(harness.server, harness.now, True) is None
    )  # the limit applies to this one as well
    harness.planner.mark_in_use(connection, harness.now)
    harness.serve(connection)
    assert harness.planner.idle_limit_of(servers[2]) > 3_900.0
    harness.planner.sweep(harness.now + 300_001.0)  # and it expires
    assert harness.planner.idle_limit_of(servers[2]) == 0.6 * IDLE


def test_process_end_does_not_shorten_the_idle_limit_and_restarts_cold():
    # guards against the end of a process halving the idle limit of its next incarnation
    harness = Harness(AHEAD)
    busy, old = harness.open_idle(3), harness.open_idle(1)[0]
    for _ in busy:
        assert harness.planner.acquire(harness.server, harness.now, True) is not None
    harness.now += 7_000.0
    assert (
        harness.planner.acquire(harness.server, harness.now, True) is old or old.state is ConnectionState.BUSY
    )
    connection = next(each for each in (*busy, old) if each.idle_before_use > 100.0)
    harness.fail_request(connection)
    for other in (*busy, old):
        if other is not connection:
            harness.planner.on_closed(other, harness.now, CloseReason.RESET)
    assert harness.planner.idle_limit_of(harness.server) == 0.6 * IDLE
    back = harness.open()
    assert harness.now + 8_000.0 < harness.server.cold_until <= back.state_since + 8_800.0


def test_timeout_shortens_the_limit_only_if_the_member_answers_other_requests():
    # guards against shortening the limit because a server hangs for all requests
    harness = Harness()
    first, other = harness.open_idle(2)
    harness.now += 6_000.0
    connection = harness.acquire()
    harness.fail_request(connection, reset=False, after=600.0)
    assert harness.planner.idle_limit_of(harness.server) == 0.6 * IDLE
    (connection,) = [each for each in (first, other) if each.state is ConnectionState.IDLE]
    assert harness.acquire() is connection
    wrote = harness.now
    harness.serve(harness.open(), 20.0)
    harness.planner.on_request_lost(connection, harness.now + 500.0, wrote, False)
    assert harness.planner.idle_limit_of(harness.server) < 0.6 * IDLE


def test_idle_timeout_is_learned_from_two_closes_but_not_from_a_process_end():
    harness = Harness()
    for _ in range(2):
        connection = harness.open_idle(1)[0]
        harness.now += 4_000.0
        harness.planner.on_closed(connection, harness.now, CloseReason.ENDED)
        harness.now += 500.0
    assert harness.planner.idle_limit_of(harness.server) == pytest.approx(3_200.0)
    other = harness.planner.add_server("b", harness.now)
    pair = harness.open_idle(2, other)
    harness.now += 4_000.0
    for connection in pair:
        harness.planner.on_closed(connection, harness.now, CloseReason.ENDED)
    assert other.idle_limit == math.inf


def test_learned_limit_is_retried_with_safe_requests_and_grows():
    # guards against a limit that one accident shortens for ever, and against trying it with an unsafe request
    harness = Harness()
    connection = harness.open_idle(1)[0]
    harness.now += 2_000.0
    harness.fail_request(harness.acquire())
    assert harness.server.idle_limit == 1_000.0 and connection.state is ConnectionState.CLOSED
    harness.now += 10_000.0
    kept = harness.open_idle(1)[0]
    harness.run_sweeps(1_500.0)
    assert kept.state is ConnectionState.IDLE
    assert harness.planner.acquire(harness.server, harness.now, False) is None
    assert harness.planner.acquire(harness.server, harness.now, True) is kept
    harness.serve(kept)
    assert harness.server.idle_limit > 1_400.0


def test_announced_idle_timeout_is_respected():
    harness = Harness()
    connection = harness.open_idle(1)[0]
    harness.planner.on_idle_timeout_announced(connection, 5_000.0)
    harness.now += 4_500.0
    assert harness.planner.acquire(harness.server, harness.now, True) is None


def test_connections_opened_together_are_not_closed_together():
    # guards against a fleet closing and reopening all its connections in the same second
    harness = Harness(ConnectionSettings(max_age_ms=60_000.0), room=400)
    servers = [harness.planner.add_server(f"s{n}", harness.now) for n in range(20)]
    for server in servers:
        harness.open_idle(10, server)
    fullest, last = 0, 0
    for _ in range(1_200):
        for server in servers:  # each is used, so none reaches its idle limit
            for connection in list(server.idle):
                connection.state_since = harness.now
        before = harness.planner.closed_by_cause[CloseReason.AGE]
        harness.sweep()
        fullest = max(fullest, harness.planner.closed_by_cause[CloseReason.AGE] - before)
        last = harness.planner.closed_by_cause[CloseReason.AGE]
    assert last == 200 and fullest <= 200 / 16
    harness = Harness(room=400)
    harness.open_idle(200)
    start = harness.now
    while harness.planner.connection_count:
        harness.sweep()
    assert start + 0.6 * IDLE <= harness.now + 500 and len(harness.closed_by_cause) == 1


def test_request_limits_of_connections_are_jittered():
    harness = Harness(ConnectionSettings(max_requests=100))
    counts = set()
    for _ in range(10):
        connection = harness.open()
        while harness.serve(connection, 1.0) is None:
            assert harness.planner.acquire(harness.server, harness.now, True) is connection
        counts.add(connection.request_count)
    assert max(counts) <= 100 and min(counts) >= 100 * (1 - LIFETIME_SPREAD) and len(counts) > 4


def test_request_limit_that_is_lowered_holds_for_idle_connections_too():
    # guards against one request too many on each connection that was idle when the limit came into force
    harness = Harness()
    used, unused = harness.open_idle(1)[0], harness.open(ahead=True)
    harness.planner.settings = replace(harness.planner.settings, max_requests=1)
    assert harness.planner.acquire(harness.server, harness.now, True) is unused
    assert harness.planner.acquire(harness.server, harness.now, True) is None
    harness.sweep()
    assert harness.closed_by_cause == {CloseReason.REQUESTS: 1} and used.state is ConnectionState.CLOSED


def burst(harness, count, span):
    """Send `count` concurrent requests; returns how many found an open connection."""
    before = harness.planner.reused
    in_use = [harness.acquire() for _ in range(count)]
    found = harness.planner.reused - before
    harness.now += span
    for each in in_use:
        harness.serve(each, 0.0)
    return found


@pytest.mark.parametrize("ahead", [True, False])
def test_second_burst_finds_open_connections(ahead):
    # guards against handshakes in each burst because all connections went idle in between
    harness = Harness(replace(AHEAD, preconnect=ahead, peak_window_ms=30_000.0))
    burst(harness, 20, 50.0)
    burst(harness, 60, 50.0)
    for _ in range(3):
        harness.run_sweeps(12_000.0)
        found = burst(harness, 60, 50.0)
        assert found >= 50 if ahead else not found
    harness.run_sweeps(90_000.0)  # connections no longer needed are closed in the end
    assert harness.planner.connection_count == 0 and not harness.planner.active_servers


def test_preconnects_are_paced_and_avoid_cold_members():
    # guards against handshakes that use up the budget of a newly started server
    harness = Harness(replace(AHEAD, peak_window_ms=60_000.0), proxies=2)
    cold = harness.server = harness.planner.add_server("cold", harness.now, started=harness.now - 1_000.0)
    burst(harness, 40, 50.0)
    for connection in list(cold.idle):
        harness.planner.on_closed(connection, harness.now, CloseReason.ROOM)
    harness.run_sweeps(7_000.0)
    assert harness.opened["cold"] == 0
    start = harness.now = max(harness.now, cold.cold_until)
    harness.run_sweeps(3_000.0)
    assert (
        5 < harness.opened["cold"] <= AHEAD.preconnects_per_s / 2 * (harness.now - start) / 1000.0 / 0.5 + 1
    )


def test_connection_cap_is_learned_from_refusals_and_retried_with_backoff():
    # guards against a futile connect for each request, and against never retrying
    harness = Harness()
    harness.open_idle(5)
    refusals = []
    for n in range(700):  # a little over a minute
        harness.now += 100.0
        for connection in list(harness.server.idle):
            harness.planner.mark_in_use(connection, harness.now)
            harness.serve(connection, 0.0)
        if harness.planner.may_open(harness.server, harness.now):
            if n < 500:
                harness.planner.on_connect_refused(harness.server, harness.now)
                refusals.append(n)
            else:
                harness.serve(harness.open(), 0.0)
    assert (
        4 <= len(refusals) <= 8 and harness.server.connection_cap > 5 and harness.planner.blocked_by_cap > 400
    )


def test_refusal_by_an_ending_process_is_not_a_connection_cap():
    # guards against skipping attempts for seconds: 587 in one benchmark, because processes had ended
    harness = Harness()
    busy = harness.acquire()
    harness.open_idle(3)
    harness.now += 10.0
    harness.planner.on_connect_refused(harness.server, harness.now)
    harness.serve(busy, 5.0)  # an answer sent before its end
    assert harness.planner.may_open(harness.server, harness.now)
    harness.now += 200.0
    harness.serve(harness.open(), 5.0)  # restarted, so the connection is new
    assert harness.planner.may_open(harness.server, harness.now) and harness.server.connection_cap == math.inf


def test_departed_members_leave_no_state_behind():
    # guards against memory that grows with member names, and a handshake storm when members return
    harness = Harness(AHEAD, room=4_000)
    for _ in range(3):
        servers = [
            harness.planner.add_server(f"s{n}", harness.now, started=harness.now) for n in range(1_000)
        ]
        for server in servers:
            harness.open_idle(2, server)
        harness.run_sweeps(1_000.0)
        assert not harness.opened and harness.planner.connection_count == 2_000
        for server in servers:
            for connection in harness.planner.remove_server(server):
                harness.planner.on_closed(connection, harness.now, CloseReason.LEFT)
        harness.sweep()
        assert harness.planner.connection_count == 0 and not harness.planner.active_servers


def serve_with_early_closes(harness, closes, answers):
    """Members close `closes` connections 5 ms after an answer, out of `answers` answers."""
    for n in range(answers):
        server = harness.servers[n % 3]
        connection = harness.acquire(server)
        harness.serve(connection, 10.0)
        if n < closes:
            harness.now += 5.0
            harness.planner.on_closed(connection, harness.now, CloseReason.ENDED)
        else:
            harness.now += 200.0


@pytest.mark.parametrize(("closes", "answers", "rests"), [(6, 400, True), (1, 400, False), (0, 10, False)])
def test_reuse_is_delayed_when_members_close_soon_after_answers(closes, answers, rests):
    harness = Harness(ConnectionSettings(delay_reuse=True))
    harness.servers = [harness.planner.add_server(name, harness.now) for name in "bcd"]
    serve_with_early_closes(harness, closes, answers)
    server = harness.servers[0]
    connection = harness.acquire(server)
    harness.serve(connection, 0.0)
    harness.now += 2.0
    assert (harness.planner.acquire(server, harness.now, True) is None) is rests
    harness.now += 20.0
    assert not rests or harness.planner.acquire(server, harness.now, True) is connection


class Life(RuleBasedStateMachine):
    """Whatever happens in whatever order, what is held stays within its bounds."""

    ROOM = 12

    def __init__(self):
        super().__init__()
        self.now = 1_000.0
        settings = ConnectionSettings(
            preconnect=True,
            delay_reuse=True,
            max_age_ms=3_000.0,
            max_requests=9,
            spare_connections=2,
            peak_window_ms=2_000.0,
        )
        self.planner = Planner(settings, self.ROOM, 3, IDLE, cold_start=1_000.0, proxies=2)
        self.lines = [self.planner.add_server(name, self.now) for name in "abc"]
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
        held = self.planner.acquire(line, now, safe)
        if held is not None:
            assert (
                held.server is line
                and not line.removed
                and held.state is ConnectionState.BUSY
                and held.idle_before_use >= 0
            )
            limit = self.planner.idle_limit_of(line)
            assert held.idle_before_use < (2 * limit if safe else limit)
        elif not line.removed and self.planner.may_open(line, now):
            if self.planner.connection_count >= self.ROOM:
                spare = self.planner.eviction_candidate()
                if spare is None:
                    return
                self.planner.on_closed(spare, now, CloseReason.ROOM)
            self.held.append(self.planner.begin_connect(line, None, now))

    @rule(number=st.integers(0, 99), up=st.booleans())
    def connected(self, number, up):
        held = self.some(number, ConnectionState.OPENING)
        if held is not None and not (up and self.planner.on_connected(held, self.now)):
            self.planner.on_closed(held, self.now, CloseReason.LEFT if up else CloseReason.REFUSED)

    @rule(number=st.integers(0, 99))
    def served(self, number):
        held = self.some(number, ConnectionState.BUSY)
        if held is not None:
            self.planner.on_answer(held, self.now)
            cause = self.planner.release(held, self.now)
            assert (cause is None) is (held.state is ConnectionState.IDLE) and (cause is None) <= (
                not held.server.removed
            )
            if cause is not None:
                self.planner.on_closed(held, self.now, cause)

    @rule(
        number=st.integers(0, 99),
        cause=st.sampled_from([CloseReason.RESET, CloseReason.GIVEN_UP, CloseReason.UNWRITTEN]),
    )
    def broke(self, number, cause):
        held = self.some(number, ConnectionState.BUSY)
        if held is not None:
            if cause is not CloseReason.UNWRITTEN:
                self.planner.on_request_lost(held, self.now, self.now - 1.0, cause is CloseReason.RESET)
            self.planner.on_closed(held, self.now, cause)
            self.planner.on_closed(held, self.now, CloseReason.FAULT)

    @rule(number=st.integers(0, 99))
    def ended(self, number):
        held = self.some(number, ConnectionState.IDLE)
        if held is not None:
            self.planner.on_closed(held, self.now, CloseReason.ENDED)

    @rule(n=st.integers(0, 2))
    def leaves(self, n):
        for held in self.planner.remove_server(self.lines[n]):
            self.planner.on_closed(held, self.now, CloseReason.LEFT)

    @precondition(lambda self: any(line.removed for line in self.lines))
    @rule()
    def comes_back(self):
        for n, line in enumerate(self.lines):
            if line.removed:
                self.lines[n] = self.planner.add_server(line.name, self.now, self.now)

    @rule()
    def sweep(self):
        before = self.planner.connection_count
        due, wanted = self.planner.sweep(self.now)
        for held, cause in due:
            assert held.state is ConnectionState.IDLE
            self.planner.on_closed(held, self.now, cause)
        assert len(set(wanted)) == len(wanted) <= max(0, self.ROOM * MAX_PRECONNECT_CAPACITY_SHARE - before)
        for line in wanted:
            assert not line.removed and not line.preconnecting and self.now >= line.cold_until
            self.held.append(self.planner.begin_connect(line, None, self.now, preconnect=True))

    @invariant()
    def bounds(self):
        self.held = [held for held in self.held if held.state is not ConnectionState.CLOSED]
        assert self.planner.connection_count == len(self.held) <= self.ROOM
        for line in {held.server for held in self.held} | set(self.lines):
            mine = [held for held in self.held if held.server is line]
            assert line.connection_count == len(mine)
            assert sorted(map(id, line.idle)) == sorted(
                id(h) for h in mine if h.state is ConnectionState.IDLE
            )
            assert line.preconnecting == sum(held.is_preconnect for held in mine) <= 1
            assert line.in_use == line.connection_count - line.preconnecting - len(line.idle)
            assert not mine or line in self.planner.active_servers
        assert len(self.planner.active_servers) <= len(self.held) + len(self.lines) + 30


TestLife = Life.TestCase
TestLife.settings = hypothesis_settings(
    derandomize=True, max_examples=60, stateful_step_count=60, deadline=None
)


def assignments(size, proxies, names):
    """Pairs of a proxy and a member that it sees."""
    return {(n, name) for n in range(proxies) for name in Subset(size, n, proxies).choose(names)}


@pytest.mark.parametrize(
    ("size", "proxies", "servers"), [(20, 40, 200), (20, 37, 333), (100, 4, 50), (3, 2, 60)]
)
def test_subsets_cover_members_evenly_with_minimal_movement(size, proxies, servers):
    names = [f"s-{n:08x}" for n in range(servers)]
    pairs = assignments(size, proxies, names)
    counts = Counter(name for _, name in pairs)
    assert set(counts) == set(names) and max(counts.values()) <= min(counts.values()) + 1
    without = assignments(size, proxies, names[1:])
    assert pairs - without == {pair for pair in pairs if pair[1] == names[0]} and without <= pairs
    fewer = assignments(size, proxies - 1, names)
    lost = {pair for pair in pairs - fewer if pair[0] != proxies - 1}
    assert len(lost) <= len(pairs) / 4


def test_fluctuating_list_size_keeps_the_subset():
    # guards against list sizes near a change of the number of rounds, where each update would move nearly all
    subset, names = Subset(20, 5, 40), [f"s{n}" for n in range(400)]
    kept = subset.choose(names)
    for count in (330, 400, 280, 400):
        assert subset.choose(names[:count]) <= kept
    assert subset.choose(names) == kept


class Address:
    address = "127.0.0.1:9"


def test_policy_sees_exactly_the_subset_through_list_changes():
    # guards against requests to a member that left the subset, and against members that join it unannounced
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
        for pool, known in zip(pools, seen, strict=True):
            event = pool.apply(read_listing({"seq": seq, "whole": whole, "hosts": hosts}))
            if event.scope is ListScope.COMPLETE:
                known.clear()
            for entry in event.entries:
                known[entry.backend] = entry.state.value
                if entry.state.value == "gone":
                    del known[entry.backend]
            assert set(known) == set(pool.members) == pool.subset.choose(listed)
    assert set().union(*seen) == set(listed)
    assert all(len(known) < len(listed) for known in seen)


class Driver:
    """Runs the upstream driver in this process, with probes as attempts."""

    def __init__(self, *servers, room=50):
        settings = read_settings(SETTINGS)
        self.loop = EventLoop(Deadlines())
        self.pool = Pool(settings, clock, 0.0)
        self.upstream = connections.Upstream(self.loop, self.pool, settings, room, BufferPool())
        hosts = [host(f"s{n}", server) for n, server in enumerate(servers)]
        self.pool.apply(read_listing({"seq": 1, "whole": True, "hosts": hosts}))

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
        until(lambda: condition() or self.loop.run_once(), "the event")


def test_unsent_request_moves_to_another_connection_without_a_failure(monkeypatch):
    # guards against a failed attempt and an ejected member because of a harmless close
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
        assert (
            planner.moved_requests,
            planner.closed_by_cause[CloseReason.UNWRITTEN],
            len(server.requests),
        ) == (1, 1, 2)
        breaks += [
            BrokenPipeError(),
            BrokenPipeError(),
        ]  # the new connection fails as well: the member's fault
        assert driver.ask() is Outcome.CONNECT_FAILED
        assert planner.connection_count == 0 and len(server.requests) == 2


def test_completely_written_request_is_never_resent():
    # guards against submitting a turn twice: a reset without an answer does not prove that it never ran
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
        assert (planner.moved_requests, planner.closed_by_cause[CloseReason.RESET], len(server.requests)) == (
            0,
            1,
            2,
        )


def test_close_detected_before_the_write_does_not_fail_the_request():
    with TurnServer() as server:
        driver = Driver(server)
        assert driver.ask() is Outcome.SERVED
        (connection,) = driver.pool.members["s0"].line.idle
        server.connections[-1].shutdown(socket.SHUT_RDWR)
        until(
            lambda: connection.link.sock.recv(1, socket.MSG_PEEK) == b"", "the end"
        )  # the loop has not noticed it
        assert driver.ask() is Outcome.SERVED
        planner = driver.upstream.planner
        assert (
            planner.moved_requests,
            planner.closed_by_cause[CloseReason.ENDED],
            len(server.connections),
        ) == (1, 1, 2)


def test_connection_frees_its_slot_while_its_coroutine_runs():
    # guards against counting the connection as open while its answer is handled: a new attempt then fails
    with TurnServer() as first, TurnServer() as second:
        driver, ends = Driver(first, second, room=1), []
        driver.start("s0", lambda outcome: (ends.append(outcome), driver.start("s1", ends.append)))
        driver.turn_until(lambda: len(ends) == 2)
        assert ends == [Outcome.SERVED, Outcome.SERVED] and driver.upstream.planner.connection_count == 1
        assert driver.upstream.planner.closed_by_cause == {CloseReason.ROOM: 1}


class SilentTimeoutServer(TurnServer):
    """Times out idle connections after 0.2 s without closing them: a request on one is reset unread."""

    def __init__(self):
        self.reset_count = 0
        super().__init__()

    def serve(self, sock):
        since = math.inf
        while sock.recv(65536):
            if time.monotonic() - since > 0.2:
                self.reset_count += 1
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
                return
            sock.sendall(response(200, b"board"))
            since = time.monotonic()


@pytest.mark.parametrize("learn", [True, False])
def test_silent_early_idle_timeout_is_learned(tmp_path, learn):
    # guards against reusing stale connections up to the configured idle timeout, each time in vain
    operator = f"connections.enabled = true\nconnections.learn = {str(learn).lower()}\n"
    with SilentTimeoutServer() as server, Program(tmp_path, server, operator=operator) as program:
        for n in range(9):
            program.ask(read_request(n))
            time.sleep(0.3)
        assert server.reset_count <= 2 if learn else server.reset_count > 2


@pytest.mark.parametrize("cold", [False, True])
def test_program_preconnects_only_to_warm_members(tmp_path, cold):
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
def test_invalid_setting_is_reported_in_one_line(tmp_path, line, complaint):
    path = tmp_path / "operator.properties"
    path.write_text(f"connections.enabled = true\n{line}\n", encoding="utf-8")
    config = tmp_path / "config.json"
    config.write_text(CONFIG, encoding="utf-8")
    done = command("check-config", "--operator", str(path), GW_CONFIG=str(config))
    assert done.returncode == 2 and complaint in done.stderr and done.stderr.count("\n") == 1


CONFIG = json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS})


def test_closes_are_counted_by_cause_in_metrics(tmp_path):
    path = tmp_path / "figures"
    path.touch()
    operator = f"figures.enabled = true\nfigures.target = file:{path}\nfigures.flush_ms = 50\n"
    with Program(tmp_path, TurnServer(), operator=operator) as program:
        assert program.ask(read_request())[0] == 200
        until(lambda: "connections_idle:1|g" in path.read_text(encoding="utf-8"), "the gauge")
        program.servers[0].connections[-1].shutdown(socket.SHUT_RDWR)
        until(lambda: "connections_closed:1|c|#cause:ended" in path.read_text(encoding="utf-8"), "the cause")
        assert "connections_opened:1|c\n" in path.read_text(encoding="utf-8")
