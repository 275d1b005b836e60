"""Control processes with different sets of voters: acknowledged drains survive losses.

Majorities of different sets of voters need not overlap for a drain to hold: records merge, each change is
sent to every connected control process, and all records are exchanged when a link comes up. The guarantee is
that F+1 disks of remaining machines hold the drain by the time that a further disk may be lost.
"""

import asyncio
import random
import unittest
from unittest import mock

from barleybarrow.replication.records import InstanceState
from brackenusher.control_plane.final_records import FinalRecords
from tests.fleet.feed_world import FeedSimulation
from tests.fleet.virtual_time import run_virtual

CATCH_UP_S = 4.0  # CatchUpS: after it, a further disk may be lost


async def drained_server_returns(simulation: FeedSimulation) -> bool:
    """Whether a new proxy still uses a server whose drain was acknowledged by former voters.

    A drain is confirmed by the first two of the old voters. Then the first is lost for good, and after the
    catch-up time of the new voter the second loses its disk and the third its power.
    """
    await asyncio.sleep(3.0)
    first, second, third, fourth = simulation.controls
    server = simulation.start_server("s0")
    await asyncio.sleep(3.0)
    server.crash()
    server.state = InstanceState.DRAINING
    simulation.controls[first].shard.voters = lambda: [first, second, third]  # type: ignore[method-assign]
    simulation.voters, simulation.voters_index = [second, third, fourth], 2
    simulation.network.partition(first, third)
    simulation.network.partition(second, third)
    assert await simulation.call(first, "heartbeat", server.record())
    simulation.kill_control(first, silent=True)
    simulation.network.heal(second, third)
    await asyncio.sleep(CATCH_UP_S)
    simulation.kill_control(second)
    simulation.kill_control(third, silent=True)
    simulation.kill_control(fourth, silent=True)
    del simulation.stores[second]
    for name in (second, third, fourth):
        simulation.start_control(name)
    proxy = simulation.start_proxy("10.1.0.9:7001")
    late = server.record()
    late.state = InstanceState.READY
    await asyncio.sleep(1.0)
    await simulation.call(third, "heartbeat", late)
    await asyncio.sleep(4.0)
    return proxy.offers(server.id)


def run_case(seed: int) -> bool:
    """Run the case with this seed."""

    async def play_case() -> bool:
        simulation = FeedSimulation(random.Random(seed), control_count=4, voter_count=3)
        simulation.start()
        return await drained_server_returns(simulation)

    return run_virtual(play_case())


class DivergingVotersTest(unittest.TestCase):
    def test_a_drain_survives_the_loss_of_the_voters_that_confirmed_it(self) -> None:
        self.assertEqual([run_case(seed) for seed in range(6)], [False] * 6)

    def test_drains_that_are_confirmed_but_not_stored_are_found(self) -> None:
        async def keep(self: FinalRecords, record: object) -> bool:
            return True

        with mock.patch.object(FinalRecords, "persist", keep):
            self.assertIn(True, [run_case(seed) for seed in range(6)])


if __name__ == "__main__":
    unittest.main()
