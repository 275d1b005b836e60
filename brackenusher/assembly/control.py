"""The role `control`: configuration shard, service shards, feeds, and the HTTP API for operators."""

import asyncio
import os
import random
from typing import Any

from returns.result import Result

from barleybarrow.documents import Configuration
from barleybarrow.limits.limits import Limits
from brackenusher.assembly.process import limit_bounds, own_hello, run
from brackenusher.cluster.link_metrics import add_link_metrics
from brackenusher.cluster.links import Links, split_address
from brackenusher.cluster.monitor import Monitor
from brackenusher.control_plane.api import Api
from brackenusher.control_plane.config_shard import ConfigShard
from brackenusher.control_plane.control_metrics import add_control_metrics
from brackenusher.control_plane.feed_source import FeedSource
from brackenusher.control_plane.fleet_status import FleetStatus
from brackenusher.control_plane.http_server import HttpServer
from brackenusher.control_plane.registry_service import RegistryService
from brackenusher.control_plane.shares_driver import LIMITS_STORE, SharesDriver
from brackenusher.control_plane.version_confirmations import VersionConfirmations
from brackenusher.runtime.metrics import Metrics
from brackenusher.runtime.process_metrics import add_process_metrics
from brackenusher.settings.local import LocalSettings
from brackenusher.storage.slot_store import SlotStore
from brackenusher.storage.writer import StorageWriter

REGISTRY_STORE = "registry"
TICK_INTERVAL_S = 0.1


def validate_configuration(document: dict[str, Any]) -> Result[Configuration, Exception]:
    """Validates a document. Imports pyserde late, as that takes a quarter of a second."""
    from brackenusher.settings.documents import validate_document

    return validate_document(document)


class ControlProcess:
    """One control process."""

    def __init__(self, settings: LocalSettings) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(os.urandom(16))
        self.settings = settings
        self.links = Links(own_hello(settings, "control", settings.control_internal_port, rng), rng)
        self.storage_writer = StorageWriter() if settings.data_dir else None
        registry_store = SlotStore(settings.data_dir, REGISTRY_STORE) if settings.data_dir else None
        self.config_shard = ConfigShard(settings, self.links, validate_configuration, rng)
        self.registry = RegistryService(
            settings,
            self.links,
            registry_store,
            self.storage_writer,
            self.config_shard.voters,
            lambda: loop.time() * 1000.0,
        )
        self.feeds = FeedSource(self.links, self.config_shard, self.registry)
        self.confirmations = VersionConfirmations(self.links, self.config_shard, lambda: loop.time() * 1000.0)
        own_address = self.links.own.address
        self.limits = Limits(
            own_address,
            [],
            rng,
            loop.time() * 1000.0,
            limit_bounds(settings),
            is_proxy=False,
            bootstrap=settings.bootstrap,
        )
        limits_store = SlotStore(settings.data_dir, LIMITS_STORE) if settings.data_dir else None
        self.limits_driver = SharesDriver(
            self.limits, self.links, lambda: loop.time() * 1000.0, limits_store, self.storage_writer
        )
        self.config_shard.on_committed.append(self._configure_limits)
        self.config_shard.on_voters.append(self.limits_driver.set_voters)
        self.monitor = Monitor(settings, self.links, rng)
        self._tick_task: asyncio.Task[None] | None = None
        fleet_status = FleetStatus(self.links, self.config_shard, self.registry, self.feeds, self.monitor)
        metrics = Metrics()
        api = Api(self.config_shard, self.registry, status=fleet_status.tell, metrics=metrics)
        host, port = split_address(settings.listen.control)
        self.server = HttpServer(host, port, api.handle)
        add_process_metrics(metrics)
        add_link_metrics(metrics, self.links)
        add_control_metrics(metrics, self.config_shard, self.registry, self.feeds, self.server)

    def _configure_limits(self, configuration: Configuration) -> None:
        now = asyncio.get_running_loop().time() * 1000.0
        self.limits.configure(now, configuration.tenants, configuration.services)

    async def start(self) -> None:
        """Opens the listeners and starts all services. Raises OSError if an address can't be bound."""
        await self.links.start()
        await self.monitor.start()
        await self.server.start()  # before stores are read: a stalled disk delays no call beyond its timeout
        self.limits_driver.start()
        await self.config_shard.start()
        self._tick_task = asyncio.get_running_loop().create_task(self._run_ticks())
        await self.registry.start()

    async def _run_ticks(self) -> None:
        while True:
            self.limits.credit_machine.defers_candidacy = self.config_shard.is_leader
            self.registry.tick()
            self.monitor.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def reload(self, settings: LocalSettings) -> None:
        """Applies a changed settings file: connects to new seeds."""
        for seed in settings.seed_nodes:
            host, _ = split_address(seed)
            self.links.connect(f"{host}:{settings.control_internal_port}")

    async def stop(self) -> None:
        """Hands over leadership, then stops all services."""
        await self.config_shard.stop()
        await self.server.stop()
        self.limits_driver.stop()
        if self._tick_task is not None:
            self._tick_task.cancel()
        await self.feeds.stop()
        await self.confirmations.stop()
        await self.monitor.stop()
        await self.links.stop()
        if self.storage_writer is not None:
            self.storage_writer.close()


async def create_process(settings: LocalSettings) -> ControlProcess:
    """Creates a control process; needs a running event loop."""
    return ControlProcess(settings)


def main() -> int:
    """Runs a control process until it is stopped by a signal. Returns the exit code."""
    return run(create_process)
