"""Machines of a simulated fleet and the event queue that drives them. Times are in milliseconds."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from math import inf

from barleybarrow.consensus.config_node import ConfigNode, Work
from barleybarrow.consensus.configuration_state import OrderOutcome
from brackenusher.storage.slot_store import SlotStore
from tests.fleet.emulated_disk import EmulatedDisk


@dataclass
class Session:
    """One connection between two processes."""

    alive: bool = True
    lossy: bool = False
    free_at: dict[str, float] = field(default_factory=dict)


@dataclass
class Machine:
    """One machine with a control process, which may be down (`node` is None)."""

    name: str
    zone: str
    counts_for_quorum: bool
    disk: EmulatedDisk
    node: ConfigNode | None = None
    store: SlotStore | None = None
    incarnation: int = 0  # of the process; callbacks of earlier ones are ignored
    sessions: dict[str, Session] = field(default_factory=dict)
    wanted_peers: set[str] = field(default_factory=set)
    waiting_orders: dict[int, Callable[[OrderOutcome], None]] = field(default_factory=dict)  # by ticket
    forwarded_orders: dict[int, Callable[[OrderOutcome], None]] = field(default_factory=dict)  # by id
    work_in_progress: Work | None = None
    tick_at: float = inf
    disk_slowdown: float = 1.0
    extra_delay_ms: float = 0.0  # extra delay of each message
    bytes_per_ms: float = inf  # bandwidth of its links
    disk_stalled_until: float = 0.0
    paused_until: float = 0.0
    removed: bool = False
    wiped: bool = False  # lost its disk and has not caught up since


class EventQueue:
    """Event queue ordered by time; events of the same time run in the order they were scheduled."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = count()

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        heapq.heappush(self.events, (self.now + delay, next(self.sequence), action))

    def run_until(self, end: float) -> None:
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def schedule_on(self, machine: Machine, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action of a process: skipped if that has ended by then, deferred while it is paused."""
        incarnation = machine.incarnation

        def run() -> None:
            if machine.incarnation != incarnation:
                return
            if machine.paused_until > self.now:
                self.schedule(machine.paused_until - self.now, run)
                return
            action()

        self.schedule(delay, run)
