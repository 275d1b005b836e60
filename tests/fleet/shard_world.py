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
DISK_LATENCY_S = 0.002


class VirtualWriter(StorageWriter):
    """Runs the jobs of the storage thread on the virtual clock."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.free_at = 0.0
        self.stalled_until = 0.0

    def submit(self, operation: Callable[[], Any]) -> "asyncio.Future[Any]":
        future: asyncio.Future[Any] = self.loop.create_future()
        self.free_at = max(self.loop.time(), self.free_at, self.stalled_until) + DISK_LATENCY_S
        self.loop.call_at(self.free_at, self.run, operation, future)
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


def validate(raw: dict[str, Any]) -> Result[Configuration, ValueError]:
    """Stub for the validation of documents: one with the key `Invalid` is invalid."""
    if raw.get("Invalid"):
        return Failure(ValueError("Invalid: take it out"))
    return Success(Configuration(raw["Generation"]))


def document_body(generation: int, **more: Any) -> bytes:
    """A complete configuration document."""
    return json.dumps({"Generation": generation, "Routes": [], **more}).encode()


class ControlHarness:
    """One machine with a control process."""

    def __init__(self, simulation: "ShardSimulation", number: int, counts: bool) -> None:
        self.simulation, self.counts_for_quorum = simulation, counts
        self.address = f"10.0.0.{number}:{PORT}"
        self.zone = f"zone-{number % 3}"
        self.disk = EmulatedDisk(random.Random(number))
        self.writers: list[VirtualWriter] = []
        self.committed_generations: list[int] = []
        self.shard: ConfigShard | None = None
        self.incarnation = 0

    @property
    def running_shard(self) -> ConfigShard:
        assert self.shard is not None
        return self.shard

    async def start(self, bootstrap: bool = False) -> None:
        self.incarnation += 1
        hello = messages.Hello(
            self.address,
            "control",
            self.address,
            self.zone,
            self.incarnation,
            self.counts_for_quorum,
            self.counts_for_quorum,
            self.address,
        )
        settings = LocalSettings(
            self.address,
            "control",
            self.address.split(":")[0],
            self.zone,
            internal_port_range=[PORT, PORT + 15],
            seed_nodes=self.simulation.seeds,
            bootstrap=bootstrap,
            counts_for_quorum=self.counts_for_quorum,
            data_dir="data" if self.counts_for_quorum else "",
            fault_tolerance=FaultTolerance(machines=1),
        )
        links: Any = self.simulation.network.add_process(hello)
        rng = random.Random(self.simulation.rng.getrandbits(32))
        self.shard = ConfigShard(settings, links, validate, rng, self.make_writer, self.disk)
        self.shard.on_committed.append(lambda found: self.committed_generations.append(found.generation))
        await self.shard.start()

    def make_writer(self) -> VirtualWriter:
        self.writers.append(VirtualWriter())
        return self.writers[-1]

    def kill(self, silent: bool = False) -> None:
        self.simulation.network.kill(self.address, silent)
        self.running_shard._stopped = True
        assert self.running_shard._storage is not None and self.running_shard._members is not None
        self.running_shard._storage.close()
        self.running_shard._members.close()
        self.shard = None

    def stall(self, seconds: float) -> None:
        storage = self.writers[-1]  # the first writer is the one that validates documents
        storage.stalled_until = asyncio.get_running_loop().time() + seconds

    async def submit_replacement(
        self, generation: int, base: int, timeout_s: float = 4.0, **more: Any
    ) -> OrderOutcome:
        return await self.running_shard.submit("replace", base, document_body(generation, **more), timeout_s)


class ShardSimulation:
    """All control processes. The first `quorum_count` of them have disks, and the first three are seeds."""

    def __init__(self, quorum_count: int = 3, diskless_count: int = 1, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.network = FakeNetwork(self.rng)
        self.controls = [
            ControlHarness(self, i + 1, i < quorum_count) for i in range(quorum_count + diskless_count)
        ]
        self.seeds = [f"10.0.0.{i + 1}:8665" for i in range(min(3, quorum_count))]

    async def start(self) -> None:
        """First start of all processes, within 0.3 s."""

        async def start_later(control: ControlHarness) -> None:
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            await control.start(bootstrap=True)

        await asyncio.gather(*(start_later(control) for control in self.controls))

    def leader(self) -> ControlHarness:
        """The leader, or of several the one with the highest term."""
        leading = [c for c in self.controls if c.shard is not None and c.shard.is_leader]
        return max(leading, key=lambda c: int(str(c.running_shard.status()["term"])))

    def followers(self) -> list[ControlHarness]:
        """All running processes except the leader."""
        leader = self.leader()
        return [c for c in self.controls if c.shard is not None and c is not leader]


async def wait_until(condition: Callable[[], bool], seconds: float) -> float:
    """Wait for a condition and return how long it took. Raises TimeoutError."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not condition():
        if loop.time() - started_at > seconds:
            raise TimeoutError
        await asyncio.sleep(0.005)
    return loop.time() - started_at
