"""Retry budget of each service at one proxy, as far as the proxy's own requests allow retries.

The rule, over all proxies: no window of RetryWindowS has more retries (arrivals beyond each request's first)
than RetryBudgetRatio times the requests of that window plus RetryBudgetMin. Each proxy may apply the ratio to
its own requests, as the sums over all proxies then keep the ratio too. RetryBudgetMin is shared as credit by
all proxies (`credit_client`). The ratio is reduced by RATIO_MARGIN, since some of the requests that pay for a
retry may lie before the window that the rule considers.
"""

from collections import deque

from barleybarrow.limits.bounds import LimitBounds

RATIO_MARGIN = 0.75  # of RetryBudgetRatio
SLOT_MS = 100.0  # granularity of the request counts


class ServiceBudget:
    """Requests of one service in the last window, and the retries that they paid for."""

    __slots__ = ("retries", "requests", "total")

    def __init__(self) -> None:
        self.requests: deque[tuple[float, int]] = deque()  # start of the slot, count
        self.total = 0
        self.retries: deque[float] = deque()


class RetryBudget:
    """Allows retries in proportion to the requests of a window."""

    def __init__(self, bounds: LimitBounds) -> None:
        self.ratio = bounds.retry_budget_ratio * RATIO_MARGIN
        self.window_ms = bounds.retry_window_s * 1000.0
        self.services: dict[str, ServiceBudget] = {}

    def retain(self, names: set[str]) -> None:
        """Remove services that the configuration no longer has."""
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
        """Take one retry from the budget of this proxy's requests; False if it is used up."""
        budget = self.service_budget(service)
        self.expire(now, budget)
        if len(budget.retries) + 1 > self.ratio * budget.total:
            return False
        budget.retries.append(now)
        return True
