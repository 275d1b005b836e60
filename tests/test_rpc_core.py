"""The RPC plug-in in virtual time: the same decisions as the proxy, and the effects of a blocked loop."""

import asyncio
import random
import tracemalloc

import grpc
import pytest
from helpers import SETTINGS
from rpc_world import (
    EventRecorder,
    FakeSubChannel,
    make_config,
    run_channel,
    run_core,
    run_in_virtual_time,
    run_transport,
    wait_until,
)

from brackenusher.fronts.rpc import BalancedChannel, CallRefused
from examples.rpc.model import Model, Trouble

WORK_MS = {"board-read": (20.0, 40.0), "turn-submit": (30.0, 60.0)}
START_MS = 1_000_000.0  # start of virtual time


def fleet():
    """Six servers that queue nothing and decline excess calls; one turns slow, one silent, one fails."""
    troubles = {
        1: Trouble(START_MS + 2000, START_MS + 6000, slow=6.0),
        2: Trouble(START_MS + 3000, START_MS + 6000, silent=True),
        3: Trouble(START_MS + 1000, START_MS + 5000, fail=0.7),
    }
    return {
        f"10.0.0.{n}:9000": Model(WORK_MS, seed=n, queue=0, troubles=[troubles[n]] if n in troubles else [])
        for n in range(6)
    }


def arrivals(rate=0.2, count=2000, seed=7):
    rng, now, result = random.Random(seed), START_MS, []
    for _ in range(count):
        now += rng.expovariate(rate)
        klass = rng.choice(("board-read", "turn-submit"))
        result.append((now, klass, float(rng.choice((500, 800, 1100, 1400)))))
    return result


def test_core_channel_and_transport_produce_identical_events():
    # guards against a plug-in that reorders, delays or adds events on the way to the policy
    calls = arrivals()
    recordings = [run(fleet(), SETTINGS, 0x8C1F, calls) for run in (run_core, run_channel, run_transport)]
    core_entries = recordings[0]
    outcomes = {line[1][3].value for line in core_entries if len(line) == 3 and line[1][0] == "Finished"}
    answers = {line[1] for line in core_entries if len(line) == 2}
    assert {"served", "error", "full", "timeout"} <= outcomes and {"Served", "Refused"} <= answers
    assert len(core_entries) > 3 * len(calls)
    assert recordings[1] == core_entries
    assert recordings[2] == core_entries


class ChannelHarness:
    """A channel in virtual time with servers `a:1`, `b:1` and so on, one for each model."""

    def __init__(self, loop, *models, listed=True, **settings):
        self.loop = loop
        self.sub_channels = {f"{'abc'[n]}:1": FakeSubChannel(loop, model) for n, model in enumerate(models)}
        self.channel = BalancedChannel(
            make_config(**settings),
            members=list(self.sub_channels) if listed else None,
            dial=self.sub_channels.get,
        )
        self.channel.open()
        self.recorder = EventRecorder()
        self.recorder.watch(self.channel.picture.host.transactions)
        self.stub = self.channel.unary_unary("/examples.Turns/ReadBoard")
        self.submit = self.channel.unary_unary("/examples.Turns/SubmitTurn")

    def sent_count(self):
        return sum(len(sub.sent) for sub in self.sub_channels.values())

    def outcomes(self):
        return [entry[1][3].value for entry in self.recorder.entries if entry[1][0] == "Finished"]

    async def advance(self, duration_ms):
        await wait_until(self.loop, self.loop.ms + duration_ms)

    async def assert_refused(self, call, within_ms):
        """Check that the call is refused in time."""
        started_at = self.loop.ms
        with pytest.raises(CallRefused) as caught:
            await call
        assert self.loop.ms - started_at <= within_ms
        assert int(dict(list(caught.value.trailing_metadata()))["grpc-retry-pushback-ms"]) > 0


def silent_model():
    return Model(WORK_MS, troubles=[Trouble(0.0, 1e12, silent=True)])


def test_after_a_blocked_loop_responses_are_served_and_nothing_is_sent_late():
    # guards against timers that run before responses already received, against servers blamed for the
    # caller's block, and against a waiting call that is sent after its deadline
    async def main(loop):
        harness = ChannelHarness(loop, Model(WORK_MS), instances=2)
        lost = ChannelHarness(loop, silent_model(), target="lost")
        served, waiting = harness.stub(b"m", timeout=0.5), harness.stub(b"n", timeout=0.5)
        late = lost.submit(b"m", timeout=0.5, metadata=(("idempotency-key", "k"),))
        await harness.advance(10.0)
        assert harness.sent_count() == 1 and lost.sent_count() == 1
        loop.now += 1.0  # the caller blocks the loop
        blocked_until = loop.ms
        assert await served == b"m"
        for call in (waiting, late):
            with pytest.raises(CallRefused):
                await call
        assert loop.ms - blocked_until < 2.0
        await harness.advance(1000.0)
        assert (harness.sent_count(), lost.sent_count()) == (1, 1)
        assert harness.outcomes() == lost.outcomes() == ["cancelled"]  # servers' statistics are unchanged
        assert await harness.stub(b"m", timeout=0.5) == b"m" and harness.outcomes()[-1] == "served"

    run_in_virtual_time(main)


def test_first_call_waits_for_the_list_until_its_deadline():
    async def main(loop):
        harness = ChannelHarness(loop, Model(WORK_MS), listed=False)
        call = harness.stub(b"m", timeout=0.8)
        short = harness.stub(b"m", timeout=0.2)
        await harness.assert_refused(short, 200.0)
        cancelled = harness.stub(b"m", timeout=0.8)
        cancelled.cancel()
        await harness.advance(400.0)
        harness.channel.set_members(["a:1"])
        assert await call == b"m" and harness.sent_count() == 1

    run_in_virtual_time(main)


@pytest.mark.parametrize("timeout", [-1.0, 0.0, 0.004, 0.03])
def test_impossible_deadline_is_refused_at_once_without_blaming_a_server(timeout):
    async def main(loop):
        probes = {"probes": True} | SETTINGS["limits"]
        for settings in ({}, {"limits": probes, "report": {"how": "pull", "fields": ["busy_reqs"]}}):
            harness = ChannelHarness(loop, Model(WORK_MS), target=f"t{len(settings)}", **settings)
            await harness.assert_refused(harness.stub(b"m", timeout=timeout), 0.1)
            assert harness.sent_count() == 0 and harness.outcomes() == []

    run_in_virtual_time(main)


def test_cancelled_keyed_call_is_not_retried_and_not_counted_as_failure():
    # guards against a cancellation counted as a failure: the server's statistics and limit must not change
    async def main(loop):
        harness = ChannelHarness(loop, Model(WORK_MS), Model(WORK_MS))
        key = (("idempotency-key", "k"),)
        waiter = asyncio.ensure_future(until_done(harness.submit(b"m", timeout=1.0, metadata=key)))
        await harness.advance(5.0)
        balancer = harness.channel.picture.host.transactions.balancer
        before = [(b.limit, b.busy_until, b.lost, b.seen) for b in balancer.live]
        waiter.cancel()
        await harness.advance(1000.0)
        assert harness.sent_count() == 1 and harness.outcomes() == ["cancelled"] and waiter.cancelled()
        assert [(b.limit, b.busy_until, b.lost, b.seen) for b in balancer.live] == before
        runner = harness.channel.picture.host
        assert not runner.transactions.open and not runner.in_flight and not harness.channel.open_calls

    async def until_done(call):
        return await call

    run_in_virtual_time(main)


def test_calls_above_the_limit_are_refused_at_once():
    async def main(loop):
        limits = SETTINGS["limits"] | {"mostHeld": 500}
        harness = ChannelHarness(loop, Model(WORK_MS), Model(WORK_MS), limits=limits)
        tracemalloc.start()
        calls = [harness.stub(b"m", timeout=1.0) for _ in range(10_000)]
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert sum(call.done() for call in calls) == 9_500  # before the first loop iteration
        assert size < 30_000_000
        codes = await asyncio.gather(*[call.code() for call in calls])
        assert grpc.StatusCode.OK in codes and len(codes) == 10_000
        runner = harness.channel.picture.host
        assert not runner.transactions.open and not runner.waiting_for_list and not harness.channel.open_calls

    run_in_virtual_time(main)
