"""Gauges of the balancer's view of its servers. Read only."""

from collections.abc import Callable
from math import inf

from barleybarrow.brain import Balancer
from brackenusher.records.figures import Sample


class BalancerGauges:
    """The state of one balancer, read at each flush of metrics."""

    def __init__(self, balancer: Balancer, clock: Callable[[], float]) -> None:
        self.balancer, self.clock = balancer, clock

    def count_servers(self, listed: int, now: float) -> tuple[int, int]:
        """The number of servers listed, and of those that get no new requests of any class.

        The latter are draining, or ejected after failures.
        """
        live = self.balancer.live
        ejected = sum(max(b.busy_until, min(b.rests)) > now for b in live)
        return listed, max(0, listed - len(live)) + ejected

    def samples(self) -> list[Sample]:
        """Gauges: attempts, their capacity (absent while probes limit it), ejected and cold servers."""
        balancer, now = self.balancer, self.clock()
        ejected = sum(max(b.busy_until, *b.rests) > now for b in balancer.live)
        gauges = {
            "attempts_out": balancer.pool.total,
            "requests_held": sum(r.held for r in balancer.requests.values()),
            "servers_listed": len(balancer.live),
            "servers_left_alone": ejected,
            "servers_cold": len(balancer.live) - balancer.pool.warm_count,
        }
        if balancer.capacity < inf:
            gauges["attempts_room"] = max(1, int(balancer.capacity))
        return [(name, value, "g", []) for name, value in gauges.items()]
