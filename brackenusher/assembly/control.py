"""The role `control`: the configuration shard, the service shards, feeds, and the interface for operators."""

import asyncio
import os
import random
import time

from brackenusher.assembly.process import greeting, run
from brackenusher.cluster.links import Links, split_address
from brackenusher.cluster.monitor import Monitor
from brackenusher.control_plane.api import Api
from brackenusher.control_plane.config_shard import ConfigShard
from brackenusher.control_plane.feed_source import FeedSource
from brackenusher.control_plane.http_server import HttpServer
from brackenusher.control_plane.registry_service import RegistryService
from brackenusher.control_plane.shares_driver import SharesKeeper
from brackenusher.settings.documents import check_document
from brackenusher.settings.local import LocalSettings
from brackenusher.storage.slot_store import SlotStore
from brackenusher.storage.writer import StorageWriter

TICK_S = 0.05


def now_ms() -> float:
    """Monotonic milliseconds, the one clock that decisions are told."""
    return time.monotonic() * 1000.0


class ControlProcess:
    """One control process."""

    def __init__(self, settings: LocalSettings) -> None:
        rng = random.Random(os.urandom(16))
        self.settings = settings
        self.links = Links(greeting(settings, "control", settings.control_internal_port, rng), rng)
        self.writer = StorageWriter()
        store = SlotStore(settings.data_dir, "registry") if settings.data_dir else None
        self.shard = ConfigShard(settings, self.links, check_document, rng)
        self.registry = RegistryService(settings, self.links, store, self.writer, self.shard.voters, now_ms())
        self.feeds = FeedSource(self.links, self.shard, self.registry)
        self.shares = SharesKeeper(settings, self.links, self.shard, rng)
        self.monitor = Monitor(settings, self.links, rng)
        host, port = split_address(settings.listen.control)
        self.server = HttpServer(host, port, Api(self.shard, self.registry).handle)
        self._ticker: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await self.links.start()
        await self.shard.start()
        await self.server.start()
        await self.monitor.start()
        self._ticker = asyncio.get_running_loop().create_task(self._tick())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.registry.tick()
            self.shares.tick()
            self.monitor.tick()

    def reload(self, settings: LocalSettings) -> None:
        for seed in settings.seed_nodes:
            host, _ = split_address(seed)
            self.links.connect(f"{host}:{settings.control_internal_port}")

    async def stop(self) -> None:
        await self.shard.stop()
        await self.server.stop()
        if self._ticker is not None:
            self._ticker.cancel()
        await self.monitor.stop()
        await self.links.stop()


async def make(settings: LocalSettings) -> ControlProcess:
    return ControlProcess(settings)


def main() -> int:
    """Run a control process until it is told to end. Returns the exit code."""
    return run(make)
