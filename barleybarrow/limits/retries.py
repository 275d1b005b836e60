"""The retry budget of each service at one proxy: what this proxy's own requests allow.

The rule, over all proxies: in no window of RetryWindowS are there more arrivals beyond each request's first
than RetryBudgetRatio times the requests of that window plus RetryBudgetMin. The ratio of its own requests
is safe at each proxy, for the sum keeps to the sum. RetryBudgetMin is shared as credit (`credit_client`) by
all proxies. The ratio is used only to RATIO_MARGIN: the requests that pay for a repeat may lie
in part before the window that the rule looks at.
"""

from collections import deque

from barleybarrow.limits.bounds import LimitBounds

RATIO_MARGIN = 0.75  # of the ratio's part
SLOT_MS = 100.0  # requests are counted in slots of this length


class ServiceBudget:
    """Requests of one service in the last window, and the repeats that they paid for."""

    __slots__ = ("retries", "requests", "total")

    def __init__(self) -> None:
        self.requests: deque[tuple[float, int]] = deque()  # end of the slot, count
        self.total = 0
        self.retries: deque[float] = deque()


class RetryBudget:
    """Allows repeats that the requests of a window pay for."""

    def __init__(self, bounds: LimitBounds) -> None:
        self.ratio = bounds.retry_budget_ratio * RATIO_MARGIN
        self.window_ms = bounds.retry_window_s * 1000.0
        self.services: dict[str, ServiceBudget] = {}

    def retain(self, names: set[str]) -> None:
        """Forget services that the configuration no longer has."""
        for name in [name for name in self.services if name not in names]:
            del self.services[name]

    def service_budget(self, name: str) -> ServiceBudget:
        budget = self.services.get(name)
        if budget is None:
            budget = self.services[name] = ServiceBudget()
        return budget

    def record_request(self, now: float, service: str) -> None:
        """Count a client's request."""
        budget = self.service_budget(service)
        slot = now - now % SLOT_MS
        if budget.requests and budget.requests[-1][0] == slot:
            budget.requests[-1] = slot, budget.requests[-1][1] + 1
        else:
            budget.requests.append((slot, 1))
            self.expire(now, budget)
        budget.total += 1

    def expire(self, now: float, budget: ServiceBudget) -> None:
        start = now - self.window_ms
        while budget.requests and budget.requests[0][0] < start:
            budget.total -= budget.requests.popleft()[1]
        while budget.retries and budget.retries[0] <= start:
            budget.retries.popleft()

    def try_take(self, now: float, service: str) -> bool:
        """Take one repeat that own requests pay for; False where none is left."""
        budget = self.service_budget(service)
        self.expire(now, budget)
        if len(budget.retries) + 1 > self.ratio * budget.total:
            return False
        budget.retries.append(now)
        return True
