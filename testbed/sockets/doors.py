"""Listeners and connections of the emulated servers, one listener for each proxy and place."""

import asyncio
import contextlib
import socket
import struct
from typing import Any, Protocol, cast

from testbed.model import jobs
from testbed.model import server as model
from testbed.oracle import Pressed
from testbed.sockets import http

BACKLOG = 256
HARD = struct.pack("ii", 1, 0)  # SO_LINGER: close with a reset


class Place:
    """Where a server runs, and what goes wrong on the way there."""

    def __init__(self, index: int, zone: int, kind: int, cell: int) -> None:
        self.index, self.zone, self.kind, self.cell = index, zone, kind, cell
        self.host: Host
        self.doors: list[Door] = []  # by proxy
        self.late: list[float] = []
        self.lost: list[float] = []
        self.resets: list[float] = []
        self.of_sockets: dict[str, list[float]] = {}


class Host:
    """A server under one id, over all lives of its process."""

    def __init__(self, name: str, place: Place, server: model.Server) -> None:
        self.name, self.place, self.server = name, place, server
        self.life, self.health = 0, "ready"
        self.conns: set[Conn] = set()
        self.listed_at = self.told_born_at = 0
        self.slows: list[float] = []
        self.errors: list[float] = []
        self.hangs = self.leaves = 0
        self.wake: asyncio.TimerHandle | None = None
        self.born_unix_ms = 0.0
        self.pressed: Pressed | None = None

    def group(self, how: str) -> int:
        return -1 if how == "all" else self.place.zone if how == "zone" else self.place.cell


class Reached:
    """One attempt that has come whole to a server."""

    __slots__ = ("conn", "begun", "at", "proxy", "host", "op", "number", "job", "declined", "over_at")

    def __init__(
        self, conn: "Conn", begun: int, at: int, proxy: int, host: str, op: int, number: int
    ) -> None:
        self.conn: Conn | None = conn
        self.begun, self.at, self.proxy, self.host = begun, at, proxy, host
        self.op, self.number = op, number
        self.job: jobs.Job | None = None
        self.declined, self.over_at = False, -1


class DoorOwner(Protocol):
    """What doors and connections ask of the fleet that they belong to."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...

    def now(self) -> int:
        """Microseconds since the run's start."""

    def spawn(self, work: Any) -> None:
        """Run a coroutine to its end; its errors are nobody's fault."""

    def draws(self, sizes: list[float] | None) -> bool:
        """Whether a fault of one of these chances happens now."""

    def request(self, conn: "Conn", begun: int, first: bytes, head: bytes) -> None:
        """A request has come whole."""

    def given_up(self, conn: "Conn") -> None:
        """The other side has closed the connection."""


class Door:
    """One proxy's listener for one place. Its port stays; it is closed while no process runs there."""

    def __init__(self, fleet: DoorOwner, place: Place, proxy: int) -> None:
        self.fleet, self.place, self.proxy = fleet, place, proxy
        self.sock: socket.socket | None = None
        self.port, self.cut, self.full = 0, 0, 0
        self.reading = False
        self.filler: list[socket.socket] = []
        self.open()

    def open(self) -> None:
        """Begin to listen, at the port of before."""
        if self.sock is not None:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        sock.listen(BACKLOG)
        self.sock, self.port = sock, sock.getsockname()[1]
        self.regulate()

    def close(self) -> None:
        while self.filler:
            self.filler.pop().close()
        if self.sock is not None:
            self.read(False)
            self.sock.close()
            self.sock = None

    def regulate(self) -> None:
        """Accept, or leave who knocks without a word while it is cut off or its queue is to be full."""
        if self.sock is None:
            return
        shut = bool(self.cut or self.full)
        self.sock.listen(0 if shut else BACKLOG)
        self.read(not shut)
        while self.filler and not shut:
            self.filler.pop().close()
        if shut and not self.filler:  # fill the queue, so that a connect gets no answer
            for _ in range(3):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
                filler.connect_ex(("127.0.0.1", self.port))
                self.filler.append(filler)

    def read(self, wanted: bool) -> None:
        if self.sock is not None and wanted != self.reading:
            self.reading = wanted
            if wanted:
                self.fleet.loop.add_reader(self.sock.fileno(), self.accept)
            else:
                self.fleet.loop.remove_reader(self.sock.fileno())

    def accept(self) -> None:
        for _ in range(64):
            if self.sock is None:
                return
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            server = self.place.host.server
            if not server.connect():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, HARD)
                sock.close()
                continue
            conn = Conn(self, self.place.host)
            self.fleet.spawn(self.fleet.loop.connect_accepted_socket(lambda conn=conn: conn, sock))  # type: ignore[misc]


class Conn(asyncio.Protocol):
    """A proxy's connection to a server."""

    transport: asyncio.Transport

    def __init__(self, door: Door, host: Host) -> None:
        self.door, self.fleet, self.host, self.life = door, door.fleet, host, host.life
        self.proxy = door.proxy
        self.reader = http.Reader()
        self.fresh, self.begun, self.open = True, -1, False
        self.reached: Reached | None = None
        self.idle_from = 0.0
        self.endless: asyncio.TimerHandle | None = None
        host.conns.add(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.open = cast(asyncio.Transport, transport), True  # uvloop's is of no such class
        self.idle_from = self.fleet.loop.time()
        if self not in self.host.conns:  # its process went meanwhile
            self.reset()
        elif self.door.cut:
            self.transport.pause_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        if self.endless is not None:
            self.endless.cancel()
        if self in self.host.conns:
            self.host.conns.discard(self)
            if self.life == self.host.life:
                self.host.server.disconnect()
                self.fleet.given_up(self)

    def data_received(self, data: bytes) -> None:
        fleet = self.fleet
        if self.begun < 0:
            self.begun = fleet.now()
            if fleet.draws(self.host.place.of_sockets.get("closes_on_write")):
                self.reset()
                return
        try:
            messages = self.reader.feed(data)
        except http.UnreadableMessageError:
            self.reset()
            return
        for first, head, _ in messages:
            begun, self.begun = self.begun, -1
            if self.reached is not None:  # one request at a time goes on a connection
                self.reset()
                return
            fleet.request(self, begun, first, head)

    def write(self, data: bytes) -> None:
        if self.open:
            self.transport.write(data)

    def reset(self) -> None:
        if self.open:
            with contextlib.suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, HARD)
            self.transport.abort()
