"""A small fleet in virtual time: control processes, proxies, servers; and an oracle that reads histories
alone.

The control processes, their registries and feeds, and the clients of the proxies are the real ones; links,
disks and the configuration shard are fakes that keep their promises and no more.
"""

import asyncio
import copy
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from barleybarrow.documents import Configuration, Route, Service
from barleybarrow.replication.records import InstanceRecord, InstanceState
from brackenusher.cluster import messages
from brackenusher.control_plane.feed_source import FeedSource
from brackenusher.control_plane.registry_service import RegistryService
from brackenusher.data_plane.feed_client import FeedClient
from brackenusher.settings.local import FaultTolerance, LocalSettings
from brackenusher.storage.slot_store import StorageError
from tests.fleet.fake_links import FakeNetwork
from tests.fleet.virtual_time import play

HEARTBEAT_MS = 1000.0
DRAIN_S = 2.0  # DrainMs: after an acknowledged drain no proxy in touch may use the server
CONTACT_S = 3.0  # ContactMs: without trouble for so long a process is in touch
ACK_TIMEOUT_S = 1.0
LATE_COPIES = 0.2  # part of the heartbeats that arrive a second time, late
CONTROL_PORT, PROXY_PORT = 7000, 7001


def settings_of(ip: str, seeds: list[str], has_disk: bool = True) -> LocalSettings:
    """The settings of a process on a machine."""
    return LocalSettings(
        node_name=ip,
        role="any",
        ip=ip,
        zone="z",
        internal_port_range=[CONTROL_PORT, CONTROL_PORT + 9],
        seed_nodes=[f"{seed}:8000" for seed in seeds],
        counts_for_quorum=has_disk,
        data_dir="/data" if has_disk else "",
        heartbeat_ms=HEARTBEAT_MS,
        fault_tolerance=FaultTolerance(machines=1),
    )


def configuration(generation: int, routes: int = 3) -> Configuration:
    """A version in which something differs from every other."""
    names = [f"r{(generation + i) % 7}" for i in range(routes)]
    return Configuration(
        generation=generation,
        routes=[
            Route(n, "h.example", f"/{n}/", "safe", 1000.0 + generation, 100.0, service="s0") for n in names
        ],
        services=[Service("s0"), Service("s1")],
    )


class FakeStore:
    """A slot store in memory that survives its process; it may refuse writes."""

    def __init__(self) -> None:
        self.snapshot: bytes | None = None
        self.records: list[bytes] = []
        self.refuses = False

    def load(self) -> Any:
        return SimpleNamespace(snapshot=self.snapshot, records=list(self.records), damaged=False)

    def append(self, records: list[bytes]) -> None:
        self._check()
        if self.snapshot is None:
            raise StorageError("append before the first snapshot")
        self.records += records

    def replace(self, snapshot: bytes) -> None:
        self._check()
        self.snapshot, self.records = snapshot, []

    def _check(self) -> None:
        if self.refuses:
            raise StorageError("refused")


class FakeWriter:
    """Does the work after a while, as a disk does; nothing of a process that has ended."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.delay_s, self.alive = rng, 0.002, True

    def submit(self, work: Callable[[], Any]) -> "asyncio.Future[Any]":
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Any] = loop.create_future()
        loop.call_later(self.delay_s * self.rng.uniform(0.5, 2.0), self._do, work, future)
        return future

    def _do(self, work: Callable[[], Any], future: "asyncio.Future[Any]") -> None:
        if not self.alive or future.done():
            return
        try:
            future.set_result(work())
        except StorageError as error:
            future.set_exception(error)


class FakeShard:
    """What a control process sees of the configuration shard: commits come late, a majority can confirm."""

    def __init__(self, world: "World", links: Any) -> None:
        self.world, self.links = world, links
        self.on_committed: list[Callable[[Configuration], None]] = []
        self.on_voters: list[Callable[[list[str], int], None]] = []
        self.here: Configuration | None = None
        self.lag_s = 0.0
        links.on_change(self._greet)

    def _greet(self, address: str, hello: messages.Hello | None) -> None:
        if hello is not None:
            controls = [h for h in self.links.connected().values() if h.role == "control"]
            self.links.send(
                address,
                messages.Members([self.links.own, *controls], self.voters(), self.world.voters_index, ""),
            )

    def document(self) -> dict[str, Any] | None:
        return None if self.here is None else {"Generation": self.here.generation}

    def configuration(self) -> Configuration | None:
        return self.here

    def voters(self) -> list[str]:
        return list(self.world.voters)

    def leader(self) -> str:
        return ""

    @property
    def is_leaderless(self) -> bool:
        return self.here is not None and not self.majority()

    def majority(self) -> bool:
        in_touch = {self.links.own.address, *self.links.connected()}
        return len(in_touch & set(self.world.voters)) * 2 > len(self.world.voters)

    async def confirm(self, timeout_s: float) -> bool:
        newest = self.world.commits[-1] if self.world.commits else None
        await asyncio.sleep(0.03 + self.lag_s)
        if not self.majority() or 0.03 + self.lag_s > timeout_s:
            await asyncio.sleep(max(0.0, timeout_s - 0.03 - self.lag_s))
            return False
        self.take(newest)
        return True

    def take(self, newest: Configuration | None) -> None:
        if newest is None or (self.here is not None and self.here.generation >= newest.generation):
            return
        self.here = newest
        for handler in self.on_committed:
            handler(newest)


@dataclass
class Control:
    """One control process."""

    address: str
    links: Any
    writer: FakeWriter
    shard: FakeShard
    registry: RegistryService
    feeds: FeedSource
    ticker: asyncio.Task[None]


@dataclass
class Seen:
    """What a proxy offered from a moment on."""

    at: float
    service: str
    states: dict[str, InstanceState]


class ProxyProcess:
    """One proxy, with the history of what it was handed."""

    def __init__(self, world: "World", address: str, links: Any, seeds: list[str]) -> None:
        self.world, self.address, self.links = world, address, links
        self.lists: dict[str, list[InstanceRecord]] = {}
        self.history: list[Seen] = []
        self.versions: list[tuple[float, int]] = []
        self.trouble_at = world.now()
        ip = address.partition(":")[0]
        self.started_at = world.now()
        self.first_ready: tuple[float, int] | None = None  # when, and with which version
        self.client = FeedClient(
            settings_of(ip, seeds), links, self.configured, self.listed, now=world.now_ms
        )

    async def run(self) -> None:
        """Follow the control processes; note when it gets ready first."""
        await self.client.start()
        while not self.client.ready:
            await asyncio.sleep(0.02)
        self.first_ready = (self.world.now(), self.client.version)

    def configured(self, value: Configuration) -> None:
        self.versions.append((self.world.now(), value.generation))

    def listed(self, service: str, records: list[InstanceRecord]) -> None:
        self.lists[service] = records
        states = {record.id: record.state for record in records}
        self.history.append(Seen(self.world.now(), service, states))

    def uses(self, instance_id: str) -> bool:
        return any(
            record.id == instance_id and record.state is InstanceState.READY
            for records in self.lists.values()
            for record in records
        )


@dataclass
class Acknowledged:
    """A drain or an end that was acknowledged."""

    at: float
    instance_id: str
    by: str


class Server:
    """One incarnation of a server; calls control processes as servers do."""

    def __init__(self, world: "World", number: int, service: str) -> None:
        self.world, self.service = world, service
        self.id = f"i{number}"
        self.address = f"10.9.0.{number % 250}:80"
        self.sequence = 0
        self.state = InstanceState.READY
        self.running = True
        self.slots = 4
        self.acknowledged_times: list[float] = []
        self.ready_until = float("inf")
        self.drain_acknowledged = False
        self.pause_s = 0.0  # before the next heartbeat
        self.task = asyncio.create_task(self._live())

    def record(self) -> InstanceRecord:
        self.sequence += 1
        return InstanceRecord(
            self.id, self.service, self.address, "z", "v1", self.slots, self.state, self.sequence
        )

    async def _live(self) -> None:
        preferred = ""
        while self.running:
            await asyncio.sleep(self.pause_s)
            self.pause_s = 0.0
            preferred = await self._beat(preferred)
            await asyncio.sleep(HEARTBEAT_MS / 1000.0 * self.world.rng.uniform(0.9, 1.1))

    async def _beat(self, preferred: str) -> str:
        """One heartbeat, tried at several control processes."""
        for _ in range(3):
            live = self.world.reachable_controls()
            if not live:
                return ""
            target = preferred if preferred in live else self.world.rng.choice(live)
            record = self.record()
            if self.world.rng.random() < LATE_COPIES:
                self.world.spawn(self.world.call_late(record))
            if await self.world.call(target, "heartbeat", record):
                self.acknowledged_times.append(self.world.now())
                if record.state is InstanceState.DRAINING:
                    self.drain_acknowledged = True
                    self.world.acknowledged(self.id, target)
                return target
            preferred = ""
            await asyncio.sleep(0.1)
        return ""

    def crash(self) -> None:
        self.running = False
        self.ready_until = min(self.ready_until, self.world.now())
        self.task.cancel()

    async def drain_and_fall_silent(self) -> None:
        """Drain, and after the acknowledgement say nothing more."""
        self.ready_until = self.world.now()
        self.state = InstanceState.DRAINING
        while not self.drain_acknowledged:
            await asyncio.sleep(0.01)
        self.crash()

    async def leave(self) -> None:
        """Drain, stay a while, deregister, end."""
        self.state = InstanceState.DRAINING
        self.ready_until = self.world.now()
        await asyncio.sleep(3.0)
        for _ in range(4):
            live = self.world.reachable_controls()
            if live:
                target = self.world.rng.choice(live)
                if await self.world.call(target, "deregister", self.id):
                    self.world.acknowledged(self.id, target)
                    break
            await asyncio.sleep(0.2)
        self.crash()


@dataclass
class World:
    """All of it."""

    rng: random.Random
    control_count: int = 3
    voter_count: int = 3
    proxy_count: int = 2
    controls: dict[str, Control] = field(default_factory=dict)
    proxies: dict[str, ProxyProcess] = field(default_factory=dict)
    servers: dict[str, Server] = field(default_factory=dict)
    stores: dict[str, FakeStore] = field(default_factory=dict)
    voters: list[str] = field(default_factory=list)
    voters_index: int = 1
    commits: list[Configuration] = field(default_factory=list)
    acks: list[Acknowledged] = field(default_factory=list)
    cuts: list[tuple[float, frozenset[tuple[str, str]]]] = field(
        default_factory=list
    )  # those in force from then
    running_voters: list[tuple[float, int]] = field(default_factory=list)  # how many from then on
    commit_times: list[tuple[float, int]] = field(default_factory=list)
    troubles: list[tuple[float, str]] = field(default_factory=list)  # when, and whom: "core" or a proxy
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    incarnations: int = 0

    def start(self) -> None:
        self.network = FakeNetwork(self.rng)
        names = [f"10.0.0.{i + 1}:{CONTROL_PORT}" for i in range(self.control_count)]
        self.voters = names[: self.voter_count]
        for name in names:
            self.start_control(name)
        for i in range(self.proxy_count):
            self.start_proxy(f"10.1.0.{i + 1}:{PROXY_PORT}")

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def now_ms(self) -> float:
        return self.now() * 1000.0

    def hello(self, address: str, role: str) -> messages.Hello:
        self.incarnations += 1
        return messages.Hello(
            address=address, role=role, incarnation=self.incarnations * 1000, node_name=address
        )

    def start_control(self, address: str) -> Control:
        links: Any = self.network.open(self.hello(address, "control"))
        for peer in self.voters:
            links.connect(peer)
        store: Any = self.stores.setdefault(address, FakeStore())
        writer: Any = FakeWriter(self.rng)
        shard: Any = FakeShard(self, links)
        settings = settings_of(address.partition(":")[0], [])
        registry = RegistryService(settings, links, store, writer, shard.voters, self.now_ms)
        feeds = FeedSource(links, shard, registry)
        ticker = asyncio.create_task(self._tick(registry, shard, links))
        self.spawn(registry.start())
        control = self.controls[address] = Control(address, links, writer, shard, registry, feeds, ticker)
        self._note_voters()
        return control

    def start_proxy(self, address: str) -> ProxyProcess:
        links = self.network.open(self.hello(address, "proxy"))
        seeds = [name.partition(":")[0] for name in self.voters]
        proxy = self.proxies[address] = ProxyProcess(self, address, links, seeds)
        self.spawn(proxy.run())
        return proxy

    def start_server(self, service: str) -> Server:
        server = Server(self, len(self.servers), service)
        self.servers[server.id] = server
        return server

    def spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def reachable_controls(self) -> list[str]:
        return [address for address, control in self.controls.items() if control.links.alive]

    async def call(self, address: str, method: str, argument: Any) -> bool:
        """A call from outside, with its delay, its time-out, and loss with the process."""
        control = self.controls[address]
        called_at = self.now()
        await asyncio.sleep(self.rng.uniform(0.001, 0.01) + max(0.0, control.links.frozen_until - called_at))
        if not control.links.alive:
            return False
        try:
            done = await asyncio.wait_for(
                getattr(control.registry, method)(copy.deepcopy(argument)), ACK_TIMEOUT_S
            )
        except TimeoutError:
            return False
        in_time = self.now() - called_at < ACK_TIMEOUT_S
        return bool(done) and in_time and control.links.alive

    async def call_late(self, record: InstanceRecord) -> None:
        """A copy of a heartbeat that arrives late, anywhere."""
        await asyncio.sleep(self.rng.uniform(0.2, 12.0))
        live = self.reachable_controls()
        if live:
            await self.call(self.rng.choice(live), "heartbeat", record)

    def acknowledged(self, instance_id: str, by: str) -> None:
        self.acks.append(Acknowledged(self.now(), instance_id, by))

    def commit(self, value: Configuration) -> None:
        """A majority has it at once, each process some time later."""
        self.commits.append(value)
        self.commit_times.append((self.now(), value.generation))
        for control in self.controls.values():
            if control.links.alive and control.shard.majority():
                delay = self.rng.uniform(0.001, 0.05)
                asyncio.get_running_loop().call_later(delay, self._committed, control, value)

    def _committed(self, control: Control, value: Configuration) -> None:
        if control.links.alive:
            control.shard.take(value)

    def kill_control(self, address: str, silent: bool = False) -> None:
        control = self.controls[address]
        self.network.kill(address, silent)
        control.writer.alive = False
        control.ticker.cancel()
        self._note_voters()

    def _note_voters(self) -> None:
        running = [v for v in self.voters if v in self.controls and self.controls[v].links.alive]
        self.running_voters.append((self.now(), len(running)))

    def trouble(self, whom: str) -> None:
        """Note that something was done to the core or to a proxy's links."""
        self.troubles.append((self.now(), whom))

    async def _tick(self, registry: RegistryService, shard: FakeShard, links: Any) -> None:
        while True:
            await asyncio.sleep(max(0.05, links.frozen_until - self.now()))
            registry.tick()
            if self.commits and shard.majority():
                shard.take(self.commits[-1])  # as agreement brings up who was cut off


def story(test: Callable[[Any, World], Awaitable[None]]) -> Callable[[Any], None]:
    """A test that is played in a world of its own, in which no handler may fail."""

    def run(self: Any) -> None:
        async def whole() -> None:
            world = World(random.Random(1))
            world.start()
            await test(self, world)
            self.assertEqual(world.network.errors, [])

        play(whole())

    return run
