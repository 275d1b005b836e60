"""The role `proxy`: feeds from control, routing decisions, and the data plane between clients and servers."""

import asyncio
import os
import random

from barleybarrow.documents import Configuration
from barleybarrow.limits.limits import Limits
from barleybarrow.replication.records import InstanceRecord, InstanceState
from barleybarrow.routing.actions import DispatchSettings, ServerInfo, ServerState
from barleybarrow.routing.dispatcher import Dispatcher
from brackenusher.assembly.process import limit_bounds, own_hello, run
from brackenusher.cluster import messages
from brackenusher.cluster.base_exchange import FallbackShareExchange
from brackenusher.cluster.key_leases import KeyLease
from brackenusher.cluster.limits_driver import LimitsDriver
from brackenusher.cluster.link_metrics import add_link_metrics
from brackenusher.cluster.links import Links, split_address
from brackenusher.cluster.monitor import Monitor
from brackenusher.cluster.status_calls import StatusResponder
from brackenusher.control_plane.http_server import HttpServer
from brackenusher.control_plane.ready_api import ReadyApi
from brackenusher.data_plane.announcer import Announcer
from brackenusher.data_plane.feed_client import FeedClient
from brackenusher.data_plane.proxy import Proxy
from brackenusher.data_plane.proxy_metrics import add_proxy_metrics
from brackenusher.data_plane.server import DataPlaneServer
from brackenusher.runtime.metrics import Metrics
from brackenusher.runtime.process_metrics import add_process_metrics
from brackenusher.runtime.request_journal import RequestJournal
from brackenusher.settings.local import LocalSettings

TICK_INTERVAL_S = 0.1
PROXY_ROLE = "proxy"
STATUS_INTERVAL_S = 1.0  # between status messages to the voters while nothing changes


def server_info(record: InstanceRecord) -> ServerInfo:
    """Converts a record of the registry for the dispatcher; only a READY server gets new requests."""
    state = ServerState.READY if record.state is InstanceState.READY else ServerState.DRAINING
    return ServerInfo(
        id=record.id,
        address=record.address,
        zone=record.zone,
        slots=record.slots,
        state=state,
        cold_remaining_ms=float(record.cold_remaining_ms),
        models=tuple(model.name for model in record.models),
    )


class ProxyProcess:
    """One proxy process."""

    def __init__(self, settings: LocalSettings) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(os.urandom(16))
        self.settings = settings
        self.links = Links(own_hello(settings, "proxy", settings.proxy_internal_port, rng), rng)
        now = loop.time() * 1000.0
        self.limits = Limits(
            self.links.own.address, [], rng, now, limit_bounds(settings), bootstrap=settings.bootstrap
        )
        self.limits_driver = LimitsDriver(self.limits, self.links, lambda: loop.time() * 1000.0)
        self.dispatcher = Dispatcher(
            DispatchSettings(zone=settings.zone, recompute_window_ms=settings.bounds.again_s * 1000.0),
            rng,
            now,
            lambda service: self.limits.may_retry(loop.time() * 1000.0, service),
        )
        self.key_lease = KeyLease(settings.bounds, self.links, lambda: loop.time() * 1000.0)
        self.journal = RequestJournal(loop.time)
        StatusResponder(self.links, self.journal.status_document)
        self.proxy = Proxy(
            loop,
            self.dispatcher,
            self.limits,
            settings.limits.memory_mb,
            check_quota=self.limits_driver.admit,
            configuration_is_current=lambda: self.feed.is_current,
            keys_valid=lambda: self.key_lease.is_valid,
            journal=self.journal,
        )
        self.feed = FeedClient(settings, self.links, self._apply_configuration, self._set_servers)
        self.feed.on_voters.append(self.limits_driver.set_voters)
        self.announcer = Announcer(loop, self.dispatcher, settings.ip, settings.internal_port_range[0])
        self.monitor = Monitor(settings, self.links, rng)
        self.monitor.on_control_addresses.append(self.feed.add_control_addresses)
        self.monitor.on_peer_version.append(self.feed.record_peer_version)
        self.monitor.applied_version = lambda: self.feed.version
        self.share_exchange = self.monitor.share_exchange = FallbackShareExchange(self.limits)
        self.monitor.key_lease = self.key_lease
        self.monitor.on_members.append(lambda members: self._update_peers())
        self._tick_task: asyncio.Task[None] | None = None
        self.server = DataPlaneServer(self.proxy, settings.limits.max_fds, self._is_ready)
        host, port = split_address(settings.listen.ready)
        metrics = Metrics()
        self.ready_server = HttpServer(host, port, ReadyApi(self.server.is_ready, metrics).handle)
        add_process_metrics(metrics)
        add_link_metrics(metrics, self.links)
        add_proxy_metrics(
            metrics,
            self.proxy,
            self.feed,
            self.server.is_ready,
            lambda: self.dispatcher.counters.counts,
            self.key_lease,
            self.announcer,
        )
        self._last_status: messages.ProxyStatus | None = None
        self._next_status_at = 0.0

    def _is_ready(self) -> bool:
        return self.feed.ready and self.key_lease.is_valid

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.proxy.configure(configuration)
        self.key_lease.on_applied(configuration.generation)

    def _update_peers(self) -> None:
        proxy_count = self.monitor.count_proxies()
        if proxy_count != self.proxy.proxy_count:
            self.proxy.set_proxy_count(proxy_count)
            self.dispatcher.proxies_changed(asyncio.get_running_loop().time() * 1000.0, proxy_count)
        members = self.monitor.members.values()
        self.announcer.set_peers({view.address: view.zone for view in members if view.role == PROXY_ROLE})

    def _set_servers(self, service: str, records: list[InstanceRecord]) -> None:
        self.proxy.set_servers(service, [server_info(record) for record in records])

    async def start(self) -> None:
        """Opens the listeners and starts all services. Raises OSError if an address can't be bound."""
        await self.links.start()
        await self.ready_server.start()
        await self.server.start(self.settings.listen.front)
        self.limits_driver.start()
        await self.feed.start()
        await self.monitor.start()
        await self.announcer.start()
        self._tick_task = asyncio.get_running_loop().create_task(self._run_ticks())

    async def _run_ticks(self) -> None:
        while True:
            self.monitor.tick()
            self.key_lease.tick(self.feed.sources)
            self._send_status()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _send_status(self) -> None:
        """Sends the status of this proxy to the voters: on each change, and periodically."""
        now = asyncio.get_running_loop().time()
        status = messages.ProxyStatus(
            config_version=self.feed.version,
            requests_in_flight=self.proxy.in_flight(),
            ready=self.server.is_ready(),
        )
        last = self._last_status
        unchanged = last is not None and (last.config_version, last.ready) == (
            status.config_version,
            status.ready,
        )
        if unchanged and now < self._next_status_at:
            return
        self._last_status, self._next_status_at = status, now + STATUS_INTERVAL_S
        for voter in self.feed.voters:
            self.links.send(voter, status)

    def reload(self, settings: LocalSettings) -> None:
        """Applies a changed settings file: new seeds are used."""
        self.feed.configure(settings)

    async def stop(self) -> None:
        """Keeps serving until the platform has noticed the shutdown, completes all requests, then stops."""
        self.share_exchange.shutting_down = True
        await self.server.shut_down(self.settings.bounds.grace_s)
        await self.ready_server.stop()
        if self._tick_task is not None:
            self._tick_task.cancel()
        self.announcer.stop()
        await self.monitor.stop()
        await self.feed.stop()
        self.limits_driver.stop(self.share_exchange.is_released(asyncio.get_running_loop().time() * 1000.0))
        await self.links.stop()


async def create_process(settings: LocalSettings) -> ProxyProcess:
    """Creates a proxy process; needs a running event loop."""
    return ProxyProcess(settings)


def main() -> int:
    """Runs a proxy process until it is stopped by a signal. Returns the exit code."""
    return run(create_process)
