"""The relay's driver: asyncio sockets round the machines, and a context manager that runs it in a thread."""

import asyncio
import contextlib
import errno
import math
import socket
import struct
import threading
import warnings
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, BinaryIO, Protocol, cast

from testbed.relay.deeds import Close, Deed, End, Reset, Write
from testbed.relay.journal import VERSION, Head, Journal, LinkPlan, PlayedLink, Record, read_plans
from testbed.relay.machine import Link, Tally
from testbed.relay.script import DOWN, UP, Hop, Rule, Script, Way, read_address

MOST_LINKS = 4096  # of one hop at a time; beyond, who connects is reset and counted
CONNECT_S = 5.0  # a target that does not answer is given up
LINGER_S = 0.2  # after a cut, what still comes is read away for so long, lest a reset overtake the end
READY_S = 20.0  # a thread's start and end are waited for no longer
BACKLOG = 1024
HARD = struct.pack("ii", 1, 0)  # SO_LINGER: close with a reset


class Machine(Protocol):
    """A link's machine, live or played."""

    def open(self, now: float) -> list[Deed]: ...
    def receive(self, now: float, way: Way, data: bytes) -> list[Deed]: ...
    def ended(self, now: float, way: Way) -> list[Deed]: ...
    def broken(self, now: float, side: str) -> list[Deed]: ...
    def tick(self, now: float) -> list[Deed]: ...
    def next_at(self) -> float: ...
    def full(self, way: Way) -> bool: ...
    def close(self, now: float) -> None: ...


@dataclass
class Report:
    """What the relay did. `never` names the rules whose moment never came, `differs` what replay found."""

    links: int = 0
    refused: int = 0  # links whose target could not be reached, or beyond the limit
    most_at_once: int = 0
    bytes_up: int = 0  # come in
    bytes_down: int = 0
    acted: dict[int, int] = field(default_factory=dict)  # by the rule's number in the script
    never: list[str] = field(default_factory=list)
    differs: list[str] = field(default_factory=list)
    journal_dropped: int = 0

    def lines(self) -> list[str]:
        """The same in words."""
        lines = [
            f"{self.links} links, {self.most_at_once} at once at most, {self.refused} refused",
            f"{self.bytes_up} bytes up, {self.bytes_down} bytes down",
        ]
        lines += [f"rule {number} acted {count} times" for number, count in sorted(self.acted.items())]
        if self.journal_dropped:
            lines.append(f"{self.journal_dropped} records did not fit into the journal")
        return lines + self.never + self.differs


class Side(asyncio.Protocol):
    """One socket of a link."""

    transport: asyncio.Transport

    def __init__(self, tunnel: "Tunnel", way: Way) -> None:
        self.tunnel, self.way = tunnel, way  # the direction whose bytes come from here
        self.open = self.stuck = self.paused = False  # stuck: it takes no more bytes just now

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.open = cast(asyncio.Transport, transport), True  # uvloop's is of no such class
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.tunnel.connected(self)

    def data_received(self, data: bytes) -> None:
        self.tunnel.received(self, data)

    def eof_received(self) -> bool:
        self.tunnel.ended(self)
        return True  # the other direction goes on

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        self.tunnel.lost(self)

    def pause_writing(self) -> None:
        self.stuck = True
        self.tunnel.regulate()

    def resume_writing(self) -> None:
        self.stuck = False
        self.tunnel.regulate()

    def pause(self, wanted: bool) -> None:
        if self.open and wanted != self.paused and not self.transport.is_closing():
            self.paused = wanted
            if wanted:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def write(self, data: bytes) -> None:
        if self.open and not self.transport.is_closing():
            self.transport.write(data)

    def finish(self) -> None:
        if self.open and not self.transport.is_closing():
            with contextlib.suppress(OSError):
                self.transport.write_eof()

    def reset(self) -> None:
        if self.open and not self.transport.is_closing():
            with contextlib.suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, HARD)
            self.transport.abort()

    def close(self) -> None:
        if self.open:
            self.transport.close()


class Tunnel:
    """The driver of one link: two sockets, a machine and a timer."""

    def __init__(self, server: "HopServer") -> None:
        self.server, self.loop = server, server.loop
        self.client, self.target = Side(self, UP), Side(self, DOWN)
        self.machine: Machine | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.over = False

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def connected(self, side: Side) -> None:
        if side is self.client:
            side.pause(True)
            self.server.opened(self)
        elif self.client.open:
            self.machine = self.server.machine(self.now())
            self.perform(self.machine.open(self.now()))
            self.client.pause(False)
        else:
            side.close()

    async def connect(self) -> None:
        host, port = self.server.target
        try:
            await asyncio.wait_for(
                self.loop.create_connection(lambda: self.target, host, port), timeout=CONNECT_S
            )
        except (OSError, TimeoutError):
            self.server.report.refused += 1
            self.client.reset()

    def received(self, side: Side, data: bytes) -> None:
        if self.machine is None or self.over:
            return
        report = self.server.report
        if side.way == UP:
            report.bytes_up += len(data)
        else:
            report.bytes_down += len(data)
        self.perform(self.machine.receive(self.now(), side.way, data))

    def ended(self, side: Side) -> None:
        if self.machine is not None and not self.over:
            self.perform(self.machine.ended(self.now(), side.way))

    def lost(self, side: Side) -> None:
        if self.machine is not None and not self.over:
            self.perform(self.machine.broken(self.now(), "client" if side is self.client else "server"))
        if not self.client.open and not self.target.open:
            self.server.closed(self)

    def perform(self, deeds: list[Deed]) -> None:
        assert self.machine is not None
        for deed in deeds:
            if isinstance(deed, Write):
                self.far(deed.way).write(deed.data)
            elif isinstance(deed, End):
                self.far(deed.way).finish()
            elif isinstance(deed, Reset):
                self.finish()
                for name, side in (("client", self.client), ("server", self.target)):
                    if deed.side in (name, "both"):
                        side.reset()
                    else:
                        side.close()
            else:
                assert isinstance(deed, Close)
                self.finish()
                for side in (self.client, self.target):
                    side.finish()
                self.loop.call_later(LINGER_S, self.let_go)
        self.regulate()
        self.arm()

    def far(self, way: Way) -> Side:
        return self.target if way == UP else self.client

    def arm(self) -> None:
        """Have the machine called when it next has something to do."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.machine is not None and not self.over:
            at = self.machine.next_at()
            if at != math.inf:
                self.timer = self.loop.call_at(at / 1000.0, self.due)

    def due(self) -> None:
        if self.machine is not None and not self.over:
            self.perform(self.machine.tick(self.now()))

    def regulate(self) -> None:
        """Read no side whose bytes find no room further on."""
        if self.machine is not None and not self.over:
            self.client.pause(self.target.stuck or self.machine.full(UP))
            self.target.pause(self.client.stuck or self.machine.full(DOWN))

    def finish(self) -> None:
        self.over = True
        for side in (self.client, self.target):
            side.pause(False)

    def let_go(self) -> None:
        for side in (self.client, self.target):
            side.close()

    def abandon(self) -> None:
        """The relay ends."""
        if self.machine is not None and not self.over:
            self.machine.close(self.now())
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        for side in (self.client, self.target):
            if side.open:
                side.transport.abort()


class HopServer:
    """The listener of one hop."""

    def __init__(self, relay: "Relaying", hop: Hop, loop: asyncio.AbstractEventLoop) -> None:
        self.relay, self.hop, self.loop, self.report = relay, hop, loop, relay.report
        self.target = read_address(hop.target)
        self.tunnels: set[Tunnel] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.links = 0
        rules = [(n, rule) for n, rule in enumerate(relay.script.rules) if rule.hop in ("", hop.name)]
        self.tally = Tally(relay.script.seed, hop.name, rules, relay.note, relay.report.acted)
        self.listener: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        host, port = read_address(self.hop.listen)
        self.listener = await self.loop.create_server(
            lambda: Tunnel(self).client, host, port, backlog=BACKLOG
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    def opened(self, tunnel: Tunnel) -> None:
        if len(self.tunnels) >= MOST_LINKS:
            self.report.refused += 1
            tunnel.client.reset()
            return
        self.tunnels.add(tunnel)
        self.report.most_at_once = max(self.report.most_at_once, len(self.tunnels))
        task = self.loop.create_task(tunnel.connect())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def machine(self, now: float) -> Machine:
        number = self.links
        self.links += 1
        self.report.links += 1
        if self.relay.plans is None:
            return Link(self.tally, number, now)
        plan = self.relay.plans.get((self.hop.name, number), LinkPlan())
        return PlayedLink(self.hop.name, number, plan, now, self.relay.differs)

    def closed(self, tunnel: Tunnel) -> None:
        self.tunnels.discard(tunnel)

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        for tunnel in list(self.tunnels):
            tunnel.abandon()


class Relaying:
    """All hops of a script on one event loop."""

    def __init__(self, script: Script, file: BinaryIO | None = None, replay: bytes | None = None) -> None:
        self.script, self.report = script, Report(acted=dict.fromkeys(range(len(script.rules)), 0))
        head = Head(
            VERSION,
            script.name,
            script.seed,
            tuple(hop.name for hop in script.hops),
            tuple(rule.describe() for rule in script.rules),
        )
        self.journal = Journal(head, file)
        self.plans = None if replay is None else read_plans(replay)
        self.servers: dict[str, HopServer] = {}

    def note(self, record: Record) -> None:
        self.journal.write(record)

    def differs(self, what: str) -> None:
        self.report.differs.append(what)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for hop in self.script.hops:
            self.servers[hop.name] = HopServer(self, hop, loop)
            await self.servers[hop.name].listen()

    async def stop(self) -> None:
        for server in self.servers.values():
            server.close()
        await asyncio.sleep(0)  # the transports tell of their end in the next turn
        self.sum_up()

    def sum_up(self) -> None:
        """Say which rules never came to act, and why as far as it is known."""
        report, script = self.report, self.script
        report.journal_dropped = self.journal.dropped
        report.never = []
        if self.plans is not None:
            missing = [key for key in self.plans if key[1] >= self.servers[key[0]].links]
            if missing:
                report.differs.append(f"{len(missing)} links of the journal never came")
            return
        for number, rule in enumerate(script.rules):
            if not report.acted[number]:
                links = sum(server.tally.watched.get(number, 0) for server in self.servers.values())
                report.never.append(f"rule {number}, {rule.describe()}: never came, on {links} links")


async def serve(relaying: Relaying, until: Callable[[], Awaitable[Any]]) -> None:
    """Run a relay until something is awaited to its end."""
    await relaying.start()
    try:
        await until()
    finally:
        await relaying.stop()


class NeverCame(UserWarning):
    """A rule of the script waited for something that did not come."""


class Relay:
    """A relay in a thread of its own, for tests.

    `Relay(rules..., target="127.0.0.1:9000")` is one hop; `Relay(script=...)` takes a whole script. `port`
    and `address` say where to connect. At the end `report` holds what was done, `journal` the bytes that
    `replay` plays again, and a rule whose moment never came is warned of (`NeverCame`), unless `lenient`.
    """

    def __init__(
        self,
        *rules: Rule,
        target: str = "",
        script: Script | None = None,
        seed: int = 1,
        replay: bytes | None = None,
        lenient: bool = False,
    ) -> None:
        self.script = script or Script(seed=seed, hops=(Hop(target=target),), rules=tuple(rules))
        self.lenient = lenient
        self.relaying = Relaying(self.script, replay=replay)
        self.ready, self.thread = threading.Event(), threading.Thread(target=self.run, daemon=True)
        self.error: BaseException | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.ends: asyncio.Event | None = None

    def run(self) -> None:
        try:
            asyncio.run(self.main())
        except BaseException as error:  # told to whoever waits for the start
            self.error = error
        finally:
            self.ready.set()

    async def main(self) -> None:
        self.loop, self.ends = asyncio.get_running_loop(), asyncio.Event()

        async def wait() -> None:
            assert self.ends is not None
            self.ready.set()
            await self.ends.wait()

        await serve(self.relaying, wait)

    def __enter__(self) -> "Relay":
        self.thread.start()
        if not self.ready.wait(READY_S):
            raise OSError(errno.ETIMEDOUT, "the relay did not start")
        if self.error is not None:
            raise self.error
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
        if not self.lenient:
            for line in self.report.never:
                warnings.warn(line, NeverCame, stacklevel=2)

    def close(self) -> None:
        """End it; a second call does nothing."""
        if self.loop is not None and self.ends is not None and self.thread.is_alive():
            with contextlib.suppress(RuntimeError):  # it ended meanwhile
                self.loop.call_soon_threadsafe(self.ends.set)
            self.thread.join(READY_S)

    @property
    def report(self) -> Report:
        return self.relaying.report

    @property
    def journal(self) -> bytes:
        return bytes(self.relaying.journal.text)

    def port(self, hop: str = "") -> int:
        """The port on which a hop listens."""
        return self.relaying.servers[hop].port

    def address(self, hop: str = "") -> str:
        return f"127.0.0.1:{self.port(hop)}"
