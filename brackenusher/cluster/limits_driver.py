"""Connects a process's limits to its links: carries the messages of the state machine and runs its timer.

Requests call `LimitsDriver.admit`; if this proxy has no credit left they wait for the credit server's reply.
"""

import asyncio
import logging
from collections.abc import Callable

import betterproto

from barleybarrow.documents import Tenant
from barleybarrow.limits.limits import Limits, Verdict
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links

log = logging.getLogger(__name__)

LIMITS_MACHINE = "shares"  # name of the state machine in MachineMessage
MIN_WAKEUP_DELAY_S = 0.001


class LimitsDriver:
    """Runs a `Limits` state machine on the event loop. `now` returns monotonic milliseconds."""

    def __init__(self, limits: Limits, links: Links, now: Callable[[], float]) -> None:
        self.limits, self.links, self.now = limits, links, now
        self._timer: asyncio.TimerHandle | None = None
        self._running = False
        self._last_ticket = 0
        self._pending: dict[int, asyncio.Future[bool]] = {}
        self._credit_server = ""

    def start(self) -> None:
        """Starts to handle messages and timers. Needs a running event loop."""
        self._running = True
        self.links.on_message(messages.MachineMessage, self._handle_message)
        self.links.on_change(lambda address, hello: self._update_reachable())
        self._update_reachable()

    def stop(self, released: bool = False) -> None:
        """Planned shutdown: a credit server resigns, timers stop, and pending requests are refused.

        `released`: see `Limits.resign`.
        """
        if not self._running:
            return
        self.limits.resign(self.now(), released)
        self._process_output()
        self._running = False
        if self._timer is not None:
            self._timer.cancel()
        for future in list(self._pending.values()):
            if not future.done():
                future.set_result(False)

    def set_voters(self, voters: list[str], index: int = 0) -> None:
        """Uses the voters of the configuration shard as acceptors of the limits."""
        self.limits.set_acceptors(self.now(), voters)
        self._update_reachable()

    # Requests

    def admit(self, tenant: Tenant, cost: float) -> bool | asyncio.Future[bool]:
        """Charges the cost of a request to its tenant's quota and returns whether it is admitted.

        Returns a future if the credit server has to be asked. It completes after some milliseconds, at most
        `spans.CREDIT_WAIT_TIMEOUT_MS`; cancelling it withdraws the request.
        """
        self._last_ticket += 1
        ticket = self._last_ticket
        verdict = self.limits.decide(self.now(), tenant, cost, ticket)
        if verdict is not Verdict.PENDING:
            self._schedule_wakeup()
            return verdict is Verdict.ADMITTED
        future = self._pending[ticket] = asyncio.get_running_loop().create_future()
        future.add_done_callback(lambda done: self._forget(ticket, done))
        self._tick()
        return future

    def _forget(self, ticket: int, future: asyncio.Future[bool]) -> None:
        self._pending.pop(ticket, None)
        if future.cancelled():
            self.limits.cancel(ticket)

    # The state machine

    def _update_reachable(self) -> None:
        self.limits.set_reachable(self.now(), list(self.links.connected()))
        self._process_output()

    def _handle_message(self, sender: str, message: betterproto.Message) -> None:
        if isinstance(message, messages.MachineMessage) and message.machine == LIMITS_MACHINE:
            self.limits.receive(self.now(), sender, message.payload)
            self._process_output()

    def _tick(self) -> None:
        self.limits.tick(self.now())
        self._process_output()

    def _process_output(self) -> None:
        """Sends the outgoing messages, completes decided requests and resets the timer."""
        if self.limits.credit_machine.credit_server != self._credit_server:
            self._credit_server = self.limits.credit_machine.credit_server
            log.info("limits: warden=%s term=%d", self._credit_server, self.limits.credit_machine.term)
        for address, payload in self.limits.outbox():
            self.links.send(address, messages.MachineMessage(machine=LIMITS_MACHINE, payload=payload))
        for ticket, admitted in self.limits.take_decisions():
            future = self._pending.get(ticket)
            if future is not None and not future.done():
                future.set_result(admitted)
        self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
        if not self._running:
            return
        loop = asyncio.get_running_loop()
        delay_s = max(MIN_WAKEUP_DELAY_S, (self.limits.next_wakeup() - self.now()) / 1000.0)
        due_at = loop.time() + delay_s
        if self._timer is not None and not self._timer.cancelled():
            if self._timer.when() <= due_at and self._timer.when() > loop.time():
                return
            self._timer.cancel()
        self._timer = loop.call_later(delay_s, self._tick)
