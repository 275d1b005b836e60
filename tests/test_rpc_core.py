"""The RPC plug-in's core in virtual time: the same choices as the daemon's, and what a blocked loop does."""

import asyncio
import random
import tracemalloc

import grpc
import pytest
from helpers import SETTINGS
from rpc_world import FakeSubChannel, Tape, by_channel, by_core, by_transport, config, play, until

from brackenusher.fronts.rpc import BalancedChannel, CallRefused
from examples.rpc.model import Model, Trouble

WORK = {"board-read": (20.0, 40.0), "turn-submit": (30.0, 60.0)}
BEGIN = 1_000_000.0  # milliseconds: where virtual time begins


def fleet():
    """Six servers: one is slow for a while, one silent, one fails, and a short queue makes them decline."""
    troubles = {
        1: Trouble(BEGIN + 2000, BEGIN + 6000, slow=6.0),
        2: Trouble(BEGIN + 3000, BEGIN + 6000, silent=True),
        3: Trouble(BEGIN + 1000, BEGIN + 5000, fail=0.7),
    }
    return {
        f"10.0.0.{n}:9000": Model(WORK, seed=n, queue=0, troubles=[troubles[n]] if n in troubles else [])
        for n in range(6)
    }


def arrivals(rate=0.2, count=2000, seed=7):
    rng, now, out = random.Random(seed), BEGIN, []
    for _ in range(count):
        now += rng.expovariate(rate)
        klass = rng.choice(("board-read", "turn-submit"))
        out.append((now, klass, float(rng.choice((500, 800, 1100, 1400)))))
    return out


def test_daemon_core_channel_and_transport_decide_the_same_event_for_event():
    # guards against a front that reorders, delays or adds something on the way to the module
    asked = arrivals()
    tapes = [play(fleet(), SETTINGS, 0x8C1F, asked) for play in (by_core, by_channel, by_transport)]
    lines = tapes[0]
    outcomes = {line[1][3].value for line in lines if len(line) == 3 and line[1][0] == "Finished"}
    answers = {line[1] for line in lines if len(line) == 2}
    assert {"served", "error", "full", "timeout"} <= outcomes and {"Served", "Refused"} <= answers
    assert len(lines) > 3 * len(asked)
    assert tapes[1] == lines
    assert tapes[2] == lines


class World:
    """A channel in virtual time over servers `a:1`, `b:1` and so on, one for each model."""

    def __init__(self, loop, *models, listed=True, **settings):
        self.loop = loop
        self.subs = {f"{'abc'[n]}:1": FakeSubChannel(loop, model) for n, model in enumerate(models)}
        self.channel = BalancedChannel(
            config(**settings), members=list(self.subs) if listed else None, dial=self.subs.get
        )
        self.channel.open()
        self.tape = Tape()
        self.tape.watch(self.channel.target_state.runner.transactions)
        self.stub = self.channel.unary_unary("/examples.Turns/ReadBoard")
        self.submit = self.channel.unary_unary("/examples.Turns/SubmitTurn")

    def sent(self):
        return sum(len(sub.sent) for sub in self.subs.values())

    def outcomes(self):
        return [line[1][3].value for line in self.tape.lines if line[1][0] == "Finished"]

    async def after(self, span):
        await until(self.loop, self.loop.ms + span)

    async def refused(self, call, within):
        """The call ends as a refusal within some milliseconds."""
        began = self.loop.ms
        with pytest.raises(CallRefused) as caught:
            await call
        assert self.loop.ms - began <= within
        assert int(dict(list(caught.value.trailing_metadata()))["grpc-retry-pushback-ms"]) > 0


def silent():
    return Model(WORK, troubles=[Trouble(0.0, 1e12, silent=True)])


def test_after_a_block_what_came_is_served_what_fell_due_is_answered_and_nothing_is_sent_late():
    # guards against timers that run before the answers that lay there, against servers blamed for the
    # caller's block, and against a held call that is sent when its time is over
    async def main(loop):
        world = World(loop, Model(WORK), instances=2)
        lost = World(loop, silent(), target="lost")
        served, held = world.stub(b"m", timeout=0.5), world.stub(b"n", timeout=0.5)
        late = lost.submit(b"m", timeout=0.5, metadata=(("idempotency-key", "k"),))
        await world.after(10.0)
        assert world.sent() == 1 and lost.sent() == 1
        loop.now += 1.0  # the caller computes something
        blocked_until = loop.ms
        assert await served == b"m"
        for call in (held, late):
            with pytest.raises(CallRefused):
                await call
        assert loop.ms - blocked_until < 2.0
        await world.after(1000.0)
        assert (world.sent(), lost.sent()) == (1, 1)
        assert world.outcomes() == lost.outcomes() == ["cancelled"]  # nothing is learned of the servers
        assert await world.stub(b"m", timeout=0.5) == b"m" and world.outcomes()[-1] == "served"

    play(main)


def test_a_first_call_waits_for_the_list_and_no_longer_than_its_deadline():
    async def main(loop):
        world = World(loop, Model(WORK), listed=False)
        call = world.stub(b"m", timeout=0.8)
        short = world.stub(b"m", timeout=0.2)
        await world.refused(short, 200.0)
        gone = world.stub(b"m", timeout=0.8)
        gone.cancel()
        await world.after(400.0)
        world.channel.set_members(["a:1"])
        assert await call == b"m" and world.sent() == 1

    play(main)


@pytest.mark.parametrize("timeout", [-1.0, 0.0, 0.004, 0.03])
def test_a_deadline_that_nobody_can_keep_is_refused_at_once_and_costs_no_server_its_name(timeout):
    async def main(loop):
        probes = {"probes": True} | SETTINGS["limits"]
        for settings in ({}, {"limits": probes, "report": {"how": "pull", "fields": ["busy_reqs"]}}):
            world = World(loop, Model(WORK), target=f"t{len(settings)}", **settings)
            await world.refused(world.stub(b"m", timeout=timeout), 0.1)
            assert world.sent() == 0 and world.outcomes() == []

    play(main)


def test_a_caller_that_cancels_a_keyed_call_has_it_neither_repeated_nor_held_against_the_server():
    # guards against a cancel that reads as a failure: the server's record and threshold are as they were
    async def main(loop):
        world = World(loop, Model(WORK), Model(WORK))
        key = (("idempotency-key", "k"),)
        waiter = asyncio.ensure_future(until_done(world.submit(b"m", timeout=1.0, metadata=key)))
        await world.after(5.0)
        balancer = world.channel.target_state.runner.transactions.balancer
        before = [(b.limit, b.busy_until, b.lost, b.seen) for b in balancer.live]
        waiter.cancel()
        await world.after(1000.0)
        assert world.sent() == 1 and world.outcomes() == ["cancelled"] and waiter.cancelled()
        assert [(b.limit, b.busy_until, b.lost, b.seen) for b in balancer.live] == before
        runner = world.channel.target_state.runner
        assert not runner.transactions.open and not runner.in_flight and not world.channel.open_calls

    async def until_done(call):
        return await call

    play(main)


def test_ten_thousand_calls_at_once_are_bounded_and_refused_at_once():
    async def main(loop):
        limits = SETTINGS["limits"] | {"mostHeld": 500}
        world = World(loop, Model(WORK), Model(WORK), limits=limits)
        tracemalloc.start()
        calls = [world.stub(b"m", timeout=1.0) for _ in range(10_000)]
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert sum(call.done() for call in calls) == 9_500  # before the loop has turned once
        assert size < 30_000_000
        codes = await asyncio.gather(*[call.code() for call in calls])
        assert grpc.StatusCode.OK in codes and len(codes) == 10_000
        runner = world.channel.target_state.runner
        assert not runner.transactions.open and not runner.waiting_for_list and not world.channel.open_calls

    play(main)
