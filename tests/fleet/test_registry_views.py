"""Control processes that see other voters than their peers do: what was acknowledged outlives losses.

A drain that two processes confirm by different voters needs no common member of both majorities: records
merge, every control process in touch gets each change, and all of them when a link comes up. What has to hold
is that F+1 disks of machines that stay have it by the time that a further one may be lost.
"""

import asyncio
import random
import unittest
from unittest import mock

from barleybarrow.replication.records import InstanceState
from brackenusher.control_plane.final_records import FinalRecords
from tests.fleet.feed_world import World
from tests.fleet.virtual_time import play

CATCH_UP_S = 4.0  # CatchUpS: after it, a further disk may be lost


async def acknowledged_by_an_old_view(world: World) -> bool:
    """Whether a new proxy still uses a server whose drain was acknowledged by voters of before.

    A drain is confirmed by the first two of the old voters; the first is then gone for good, and once the new
    voter has had its time the second loses its disk, while the third's power goes.
    """
    await asyncio.sleep(3.0)
    first, second, third, fourth = world.controls
    server = world.start_server("s0")
    await asyncio.sleep(3.0)
    server.crash()
    server.state = InstanceState.DRAINING
    world.controls[first].shard.voters = lambda: [first, second, third]  # type: ignore[method-assign]
    world.voters, world.voters_index = [second, third, fourth], 2
    world.network.cut(first, third)
    world.network.cut(second, third)
    assert await world.call(first, "heartbeat", server.record())
    world.kill_control(first, silent=True)
    world.network.heal(second, third)
    await asyncio.sleep(CATCH_UP_S)
    world.kill_control(second)
    world.kill_control(third, silent=True)
    world.kill_control(fourth, silent=True)
    del world.stores[second]
    for name in (second, third, fourth):
        world.start_control(name)
    proxy = world.start_proxy("10.1.0.9:7001")
    late = server.record()
    late.state = InstanceState.READY
    await asyncio.sleep(1.0)
    await world.call(third, "heartbeat", late)
    await asyncio.sleep(4.0)
    return proxy.uses(server.id)


def play_day(seed: int) -> bool:
    """One day of the above."""

    async def whole() -> bool:
        world = World(random.Random(seed), control_count=4, voter_count=3)
        world.start()
        return await acknowledged_by_an_old_view(world)

    return play(whole())


class ViewsTest(unittest.TestCase):
    def test_a_drain_outlives_the_voters_that_confirmed_it(self) -> None:
        self.assertEqual([play_day(seed) for seed in range(6)], [False] * 6)

    def test_drains_that_are_confirmed_and_not_kept_are_found(self) -> None:
        async def keep(self: FinalRecords, record: object) -> bool:
            return True

        with mock.patch.object(FinalRecords, "keep", keep):
            self.assertIn(True, [play_day(seed) for seed in range(6)])


if __name__ == "__main__":
    unittest.main()
