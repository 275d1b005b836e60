"""Discovery's agents behind listeners: one beside each proxy, which tells it what the model's agent says."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol, cast

from brackenusher.upstream.listing import Host as Listed
from testbed.model.discovery import Agent, Registry
from testbed.parts import Told
from testbed.scenario import Scenario
from testbed.sockets import http

KEEP_ALIVE_S = 2.0  # an empty line of a watch, while nothing changes


class Fleet(Protocol):
    """What an agent wants of the fleet that it speaks for."""

    scenario: Scenario
    loop: asyncio.AbstractEventLoop
    registry: Registry
    notice: Callable[[], float]
    silent: int
    wholes: int
    stale: list[float]

    def now(self) -> int: ...

    def after(self, span: int, call: Callable[..., None], *arguments: Any) -> asyncio.TimerHandle: ...

    def word(self, seq: int, whole: bool, hosts: list[Listed], proxy: int) -> bytes: ...


class AgentServer:
    """Discovery's agent beside one proxy."""

    def __init__(self, fleet: Fleet, proxy: int, agent: Agent) -> None:
        self.fleet, self.proxy, self.agent = fleet, proxy, agent
        self.told = Told()
        self.watchers: set[Watcher] = set()
        self.due: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        self.server = await self.fleet.loop.create_server(lambda: Watcher(self), "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.keep_alive()

    def keep_alive(self) -> None:
        if not self.fleet.silent:
            for watcher in self.watchers:
                watcher.line(b"\n")
        self.fleet.loop.call_later(KEEP_ALIVE_S, self.keep_alive)

    def note(self, seq: int) -> None:
        """The proxy has been told of a version."""
        if not self.told.seqs or seq > self.told.seqs[-1]:
            self.told.seqs.append(seq)
            self.told.times.append(self.fleet.now())

    def will_tell(self) -> None:
        if self.due is None and not self.fleet.silent:
            now = self.fleet.now()
            self.due = self.fleet.after(self.agent.next(now) - now, self.deliver)

    def deliver(self) -> None:
        """It is time to tell what has changed."""
        self.due = None
        fleet, agent = self.fleet, self.agent
        if fleet.silent:
            return
        if fleet.scenario.discovery.loss and fleet.notice() < fleet.scenario.discovery.loss:
            agent.lost = True
            self.will_tell()
            return
        seq = fleet.registry.seq
        if fleet.stale:
            seq = fleet.registry.seq_at(fleet.now() - int(max(fleet.stale) * 1000.0))
        listing = agent.tell(seq, fleet.wholes > 0)
        if listing is not None:
            line = fleet.word(listing.seq, listing.whole, listing.hosts, self.proxy)
            for watcher in self.watchers:
                watcher.line(line + b"\n")
            if self.watchers:
                self.note(listing.seq)
        if agent.known < fleet.registry.seq:
            self.will_tell()


class Watcher(asyncio.Protocol):
    """A proxy's connection to its agent."""

    transport: asyncio.Transport

    def __init__(self, agent: AgentServer) -> None:
        self.agent, self.reader = agent, http.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.agent.watchers.discard(self)

    def data_received(self, data: bytes) -> None:
        fleet, registry = self.agent.fleet, self.agent.fleet.registry
        try:
            messages = self.reader.feed(data)
        except http.UnreadableMessageError:
            self.transport.abort()
            return
        for first, _, _ in messages:
            if fleet.silent:
                return
            known = self.agent.agent.known
            target = first.split(b" ")[1].decode("latin-1") if first.count(b" ") >= 2 else ""
            if not target.startswith("/registry/instances"):
                self.transport.write(http.answer(404))
                continue
            if "watch=1" not in target:
                listing = registry.whole(known)
                text = fleet.word(listing.seq, True, listing.hosts, self.agent.proxy)
                self.transport.write(http.answer(200, text))
                self.agent.note(known)
                continue
            self.transport.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            since = int(target.partition("from=")[2].partition("&")[0] or "0")
            if since < known:
                changes = registry.since(since, known)
                text = fleet.word(changes.seq, False, changes.hosts, self.agent.proxy)
                self.line(text + b"\n")
                self.agent.note(known)
            self.agent.watchers.add(self)

    def line(self, text: bytes) -> None:
        self.transport.write(b"%x\r\n%s\r\n" % (len(text), text))
