"""Gauges of what the decision module thinks of the fleet, for a collector. It looks, and changes nothing."""

from collections.abc import Callable
from math import inf

from barleybarrow.brain import Balancer
from brackenusher.records.figures import Figure


class Insight:
    """What one module holds just now; called at each flush of the figures."""

    def __init__(self, balancer: Balancer, clock: Callable[[], float]) -> None:
        self.balancer, self.clock = balancer, clock

    def hosts(self, listed: int, now: float) -> tuple[int, int]:
        """How many servers are listed, and how many of them get nothing new at a time, whatever its class.

        Those are the ones that drain, and those left alone after failures.
        """
        live = self.balancer.live
        alone = sum(max(b.busy_until, min(b.rests)) > now for b in live)
        return listed, max(0, listed - len(live)) + alone

    def figures(self) -> list[Figure]:
        """Room for what is out (in requests; none where probes bound it), and who is left alone or cold."""
        balancer, now = self.balancer, self.clock()
        alone = sum(max(b.busy_until, *b.rests) > now for b in balancer.live)
        found = {
            "attempts_out": balancer.pool.total,
            "requests_held": sum(r.held for r in balancer.requests.values()),
            "servers_listed": len(balancer.live),
            "servers_left_alone": alone,
            "servers_cold": len(balancer.live) - balancer.pool.warm_count,
        }
        if balancer.capacity < inf:
            found["attempts_room"] = max(1, int(balancer.capacity))
        return [(name, value, "g", []) for name, value in found.items()]
