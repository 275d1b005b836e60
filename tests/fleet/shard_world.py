"""Harness: control processes with the production `ConfigShard` on fake links and disks, in virtual time."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result, Success

from barleybarrow.consensus.configuration_state import OrderOutcome
from barleybarrow.documents import Configuration
from brackenusher.cluster import messages
from brackenusher.control_plane.config_shard import ConfigShard
from brackenusher.settings.local import FaultTolerance, LocalSettings
from brackenusher.storage.writer import StorageWriter
from tests.fleet.emulated_disk import EmulatedDisk
from tests.fleet.fake_links import FakeNetwork

PORT = 7680
DISK_S = 0.002


class VirtualWriter(StorageWriter):
    """Runs the jobs of the storage thread on the virtual clock."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.free_at = 0.0
        self.stalled_until = 0.0

    def submit(self, work: Callable[[], Any]) -> "asyncio.Future[Any]":
        future: asyncio.Future[Any] = self.loop.create_future()
        self.free_at = max(self.loop.time(), self.free_at, self.stalled_until) + DISK_S
        self.loop.call_at(self.free_at, self.run, work, future)
        return future

    def run(self, work: Callable[[], Any], future: "asyncio.Future[Any]") -> None:
        try:
            result = work()
        except Exception as error:
            future.set_exception(error)
        else:
            future.set_result(result)

    def close(self) -> None:
        pass


def check(raw: dict[str, Any]) -> Result[Configuration, ValueError]:
    """Stub for the validation of documents: one with the key `Invalid` is invalid."""
    if raw.get("Invalid"):
        return Failure(ValueError("Invalid: take it out"))
    return Success(Configuration(raw["Generation"]))


def body(generation: int, **more: Any) -> bytes:
    """A complete configuration document."""
    return json.dumps({"Generation": generation, "Routes": [], **more}).encode()


class Control:
    """One machine with a control process."""

    def __init__(self, world: "ShardWorld", number: int, counts: bool) -> None:
        self.world, self.counts = world, counts
        self.address = f"10.0.0.{number}:{PORT}"
        self.zone = f"zone-{number % 3}"
        self.disk = EmulatedDisk(random.Random(number))
        self.writers: list[VirtualWriter] = []
        self.committed: list[int] = []
        self.shard: ConfigShard | None = None
        self.lives = 0

    @property
    def up(self) -> ConfigShard:
        assert self.shard is not None
        return self.shard

    async def start(self, bootstrap: bool = False) -> None:
        self.lives += 1
        hello = messages.Hello(
            self.address,
            "control",
            self.address,
            self.zone,
            self.lives,
            self.counts,
            self.counts,
            self.address,
        )
        settings = LocalSettings(
            self.address,
            "control",
            self.address.split(":")[0],
            self.zone,
            internal_port_range=[PORT, PORT + 15],
            seed_nodes=self.world.seeds,
            bootstrap=bootstrap,
            counts_for_quorum=self.counts,
            data_dir="data" if self.counts else "",
            fault_tolerance=FaultTolerance(machines=1),
        )
        links: Any = self.world.network.open(hello)
        rng = random.Random(self.world.rng.getrandbits(32))
        self.shard = ConfigShard(settings, links, check, rng, self.make_writer, self.disk)
        self.shard.on_committed.append(lambda found: self.committed.append(found.generation))
        await self.shard.start()

    def make_writer(self) -> VirtualWriter:
        self.writers.append(VirtualWriter())
        return self.writers[-1]

    def kill(self, silent: bool = False) -> None:
        self.world.network.kill(self.address, silent)
        self.up._stopped = True
        assert self.up._storage is not None and self.up._members is not None
        self.up._storage.close()
        self.up._members.close()
        self.shard = None

    def stall(self, seconds: float) -> None:
        storage = self.writers[-1]  # the first writer is the one that validates documents
        storage.stalled_until = asyncio.get_running_loop().time() + seconds

    async def take(self, generation: int, base: int, timeout_s: float = 4.0, **more: Any) -> OrderOutcome:
        return await self.up.submit("replace", base, body(generation, **more), timeout_s)


class ShardWorld:
    """All control processes. The first `counting` of them have disks, and the first three are seeds."""

    def __init__(self, counting: int = 3, doors: int = 1, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.network = FakeNetwork(self.rng)
        self.controls = [Control(self, i + 1, i < counting) for i in range(counting + doors)]
        self.seeds = [f"10.0.0.{i + 1}:8665" for i in range(min(3, counting))]

    async def start(self) -> None:
        """First start of all processes, within 0.3 s."""

        async def later(control: Control) -> None:
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            await control.start(bootstrap=True)

        await asyncio.gather(*(later(control) for control in self.controls))

    def leader(self) -> Control:
        """The leader, or of several the one with the highest term."""
        leading = [c for c in self.controls if c.shard is not None and c.shard.is_leader]
        return max(leading, key=lambda c: int(str(c.up.status()["term"])))

    def others(self) -> list[Control]:
        """All running processes except the leader."""
        leader = self.leader()
        return [c for c in self.controls if c.shard is not None and c is not leader]


async def until(condition: Callable[[], bool], seconds: float) -> float:
    """Wait for a condition and return how long it took. Raises TimeoutError."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not condition():
        if loop.time() - began > seconds:
            raise TimeoutError
        await asyncio.sleep(0.005)
    return loop.time() - began
