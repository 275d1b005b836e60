"""Connects a proxy's limits to its links: carries the messages of the machine and wakes it when it is due."""

import asyncio
from collections.abc import Callable

import betterproto

from barleybarrow.limits.limits import Limits
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links

MACHINE = "shares"  # name of the machine in MachineMessage
SHORTEST_PAUSE_S = 0.001


class LimitsDriver:
    """Runs a `Limits` machine on the event loop. `now` gives monotonic milliseconds."""

    def __init__(self, limits: Limits, links: Links, now: Callable[[], float]) -> None:
        self.limits, self.links, self.now = limits, links, now
        self._timer: asyncio.TimerHandle | None = None
        self._running = False

    def start(self) -> None:
        """Begin to take messages and to wake the machine. Needs a running event loop."""
        self._running = True
        self.links.on_message(messages.MachineMessage, self._received)
        self.links.on_change(lambda address, hello: self._links_changed())
        self._links_changed()

    def stop(self) -> None:
        """Wake the machine no more."""
        self._running = False
        if self._timer is not None:
            self._timer.cancel()

    def voters_changed(self, voters: list[str]) -> None:
        """The voters of the configuration shard keep the limits."""
        self.limits.keepers_changed(self.now(), voters)
        self._links_changed()

    def _links_changed(self) -> None:
        self.limits.links_changed(self.now(), list(self.links.connected()))
        self._run()

    def _received(self, sender: str, message: betterproto.Message) -> None:
        if isinstance(message, messages.MachineMessage) and message.machine == MACHINE:
            self.limits.receive(self.now(), sender, message.payload)
            self._run()

    def _wake(self) -> None:
        self.limits.tick(self.now())
        self._run()

    def _run(self) -> None:
        """Send what the machine wants sent, and set the timer anew."""
        for address, payload in self.limits.outbox():
            self.links.send(address, messages.MachineMessage(machine=MACHINE, payload=payload))
        if self._timer is not None:
            self._timer.cancel()
        if self._running:
            pause_s = max(SHORTEST_PAUSE_S, (self.limits.next_wakeup() - self.now()) / 1000.0)
            self._timer = asyncio.get_running_loop().call_later(pause_s, self._wake)
