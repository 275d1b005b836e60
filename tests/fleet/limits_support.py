"""Support for tests of the limits: tenants, a single-process system, links without sockets."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from barleybarrow.documents import Service, Tenant
from barleybarrow.limits.bounds import LimitBounds
from barleybarrow.limits.limits import Limits
from brackenusher.cluster import messages as cluster_messages
from brackenusher.cluster.limits_driver import LIMITS_MACHINE

TOKEN_BOUNDS = LimitBounds(quota_slack=72_000.0)


def make_tenant(name: str, rate: float = 0.0, **fields: Any) -> Tenant:
    return Tenant(name, [f"{name}-1", f"{name}-2"], rate_per_s=rate, burst=rate, **fields)


def single_node(tenants: list[Tenant], bounds: LimitBounds = TOKEN_BOUNDS) -> tuple[Limits, float]:
    """A process that is a proxy and the only acceptor, after its election as the credit server."""
    limits = Limits("a", ["a"], random.Random(1), 0.0, bounds, bootstrap=True)
    limits.configure(0.0, tenants, [Service("s")])
    now = 0.0
    while now < 4000.0:
        now = max(now + 1.0, limits.next_wakeup())
        limits.tick(now)
    return limits, now


class FakeLinks:
    """Links of one process that deliver messages on the same event loop."""

    def __init__(self, address: str, network: dict[str, "FakeLinks"]) -> None:
        self.address, self.network = address, network
        self.handler: Callable[[str, Any], None] = lambda sender, message: None
        network[address] = self

    def connected(self) -> dict[str, object]:
        return {name: object() for name in self.network if name != self.address}

    def on_message(self, kind: type, handler: Callable[[str, Any], None]) -> None:
        self.handler = handler

    def on_change(self, handler: Callable[[str, Any], None]) -> None:
        pass

    def send(self, address: str, message: Any) -> bool:
        assert isinstance(message, cluster_messages.MachineMessage) and message.machine == LIMITS_MACHINE
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: self.network[address].handler(self.address, message))
        return True
