"""In-memory replacement of `cluster.links` with delays, partitions, resets, stalls and dead processes."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import betterproto

from brackenusher.cluster import messages
from brackenusher.cluster.frames import FrameDecoder, encode_frame

PEER_TIMEOUT_S = 1.6  # a partition is noticed after this time, as with real links
RECONNECT_INTERVAL_S = 0.3
MAX_DELAY_S = 0.02
MIN_TIMER_GAP_S = 1e-6  # timers due at the same time may fire in any order

AddressPair = tuple[str, str]


def address_pair(first: str, second: str) -> AddressPair:
    return (first, second) if first < second else (second, first)


@dataclass
class Session:
    """One connection between two processes."""

    alive: bool = True
    lost_data: bool = False  # a frame was lost in a partition: the session ends when it heals
    last_due_at: dict[str, float] = field(default_factory=dict)  # by receiver: keeps messages in order


class FakeLinks:
    """The links of one process."""

    def __init__(self, network: "FakeNetwork", own: messages.Hello) -> None:
        self.own, self.network = own, network
        self.alive = True
        self.stalled_until = 0.0
        self.wanted_addresses: set[str] = set()
        self.sessions: dict[str, tuple[Session, messages.Hello]] = {}
        self.sent_bytes = 0
        self.message_handlers: dict[type, list[Callable[[str, betterproto.Message], None]]] = {}
        self.change_handlers: list[Callable[[str, messages.Hello | None], None]] = []

    def connect(self, address: str) -> None:
        if address != self.own.address:
            self.wanted_addresses.add(address)

    def disconnect(self, address: str) -> None:
        self.wanted_addresses.discard(address)

    def send(self, address: str, message: betterproto.Message) -> bool:
        if address not in self.sessions or not self.alive:
            return False
        frame = encode_frame(message)
        self.sent_bytes += len(frame)
        self.network.transmit(self.own.address, address, self.sessions[address][0], frame)
        return True

    def connected(self) -> dict[str, messages.Hello]:
        return {address: hello for address, (_, hello) in self.sessions.items()}

    def on_message(self, kind: type, handler: Callable[[str, betterproto.Message], None]) -> None:
        self.message_handlers.setdefault(kind, []).append(handler)

    def on_change(self, handler: Callable[[str, messages.Hello | None], None]) -> None:
        self.change_handlers.append(handler)

    def handle_hello(self, address: str, session: Session, hello: messages.Hello) -> None:
        if self.alive and session.alive:
            self.sessions[address] = (session, hello)
            for handler in self.change_handlers:
                handler(address, hello)

    def handle_disconnect(self, address: str, session: Session) -> None:
        if self.alive and address in self.sessions and self.sessions[address][0] is session:
            del self.sessions[address]
            for handler in self.change_handlers:
                handler(address, None)

    def handle_frame(self, sender: str, session: Session, frame: bytes) -> None:
        if not self.alive or sender not in self.sessions or self.sessions[sender][0] is not session:
            return
        for message in FrameDecoder().feed(frame):
            for handler in self.message_handlers.get(type(message), ()):
                handler(sender, message)


class FakeNetwork:
    """All processes and the network between them. Exceptions of handlers are collected in `errors`."""

    def __init__(self, rng: random.Random) -> None:
        self.loop, self.rng = asyncio.get_running_loop(), rng
        self.processes: dict[str, FakeLinks] = {}
        self.sessions: dict[AddressPair, Session] = {}
        self.partitions: set[AddressPair] = set()
        self.errors: list[BaseException] = []
        self.loop.set_exception_handler(self._record_error)
        self.connect_task = self.loop.create_task(self._run_connects())

    def add_process(self, own: messages.Hello) -> FakeLinks:
        links = self.processes[own.address] = FakeLinks(self, own)
        return links

    def transmit(self, sender: str, receiver: str, session: Session, frame: bytes) -> None:
        if address_pair(sender, receiver) in self.partitions:
            session.lost_data = True
            return
        due = max(self._random_due(), session.last_due_at.get(receiver, 0.0) + MIN_TIMER_GAP_S)
        session.last_due_at[receiver] = due
        self.loop.call_at(due, self._deliver, sender, receiver, session, frame)

    def _deliver(self, sender: str, receiver: str, session: Session, frame: bytes) -> None:
        if address_pair(sender, receiver) in self.partitions:
            session.lost_data = True
        elif session.alive:
            links = self.processes[receiver]
            if links.stalled_until > self.loop.time():
                due = session.last_due_at[receiver] = (
                    max(links.stalled_until, session.last_due_at[receiver]) + MIN_TIMER_GAP_S
                )
                self.loop.call_at(due, self._deliver, sender, receiver, session, frame)
            else:
                links.handle_frame(sender, session, frame)

    def partition(self, one: str, other: str) -> None:
        """Partitions two processes; both notice after the peer timeout."""
        self.partitions.add(address_pair(one, other))
        session = self.sessions.get(address_pair(one, other))
        if session is not None:
            self.loop.call_later(PEER_TIMEOUT_S, self._end_if_partitioned, one, other, session)

    def heal(self, one: str, other: str) -> None:
        self.partitions.discard(address_pair(one, other))
        session = self.sessions.get(address_pair(one, other))
        if session is not None and session.lost_data:
            self._end(one, other)

    def reset(self, one: str, other: str) -> None:
        """Resets the connection; frames in flight are lost."""
        self._end(one, other)

    def stall(self, address: str, seconds: float) -> None:
        """Stalls a process; peers end its links if it is silent for longer than the peer timeout."""
        links = self.processes[address]
        links.stalled_until = self.loop.time() + seconds
        if seconds > PEER_TIMEOUT_S:
            for addresses, session in self.sessions.items():
                if address in addresses:
                    self.loop.call_later(PEER_TIMEOUT_S, self._end_session, *addresses, session)

    def _end_session(self, one: str, other: str, session: Session) -> None:
        if self.sessions.get((one, other)) is session:
            self._end(one, other)

    def kill(self, address: str, silent: bool) -> None:
        """Kills a process; with `silent` no RST is sent, and peers notice after the peer timeout."""
        self.processes[address].alive = False
        for (one, other), session in list(self.sessions.items()):
            if address in (one, other):
                peer = other if one == address else one
                session.alive = False
                del self.sessions[one, other]
                links = self.processes[peer]
                self.loop.call_later(
                    PEER_TIMEOUT_S if silent else 0.002, links.handle_disconnect, address, session
                )

    def _end_if_partitioned(self, one: str, other: str, session: Session) -> None:
        if (
            address_pair(one, other) in self.partitions
            and self.sessions.get(address_pair(one, other)) is session
        ):
            self._end(one, other)

    def _end(self, one: str, other: str) -> None:
        session = self.sessions.pop(address_pair(one, other), None)
        if session is not None:
            session.alive = False
            self.processes[one].handle_disconnect(other, session)
            self.processes[other].handle_disconnect(one, session)

    def _random_due(self) -> float:
        return self.loop.time() + self.rng.uniform(0.0005, MAX_DELAY_S)

    async def _run_connects(self) -> None:
        while True:
            await asyncio.sleep(RECONNECT_INTERVAL_S / 3)
            for one, links in list(self.processes.items()):
                for other in sorted(links.wanted_addresses):
                    self._connect(one, other)

    def _connect(self, one: str, other: str) -> None:
        addresses, peer = address_pair(one, other), self.processes.get(other)
        if peer is None or not peer.alive or not self.processes[one].alive:
            return
        if max(peer.stalled_until, self.processes[one].stalled_until) > self.loop.time():
            return
        if addresses in self.sessions or addresses in self.partitions or self.rng.random() < 0.5:
            return
        session = self.sessions[addresses] = Session()
        for local, remote in ((one, other), (other, one)):
            due = session.last_due_at[local] = self._random_due()  # the Hello precedes all other frames
            hello = self.processes[remote].own
            self.loop.call_at(due, self.processes[local].handle_hello, remote, session, hello)

    def _record_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        error = context.get("exception")
        if isinstance(error, BaseException):
            self.errors.append(error)
