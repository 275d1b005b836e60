"""The retry budget of each service at one proxy.

The rule, over all proxies: in no window of RetryWindowS are there more arrivals beyond each request's
first than RetryBudgetRatio times the requests of that window plus RetryBudgetMin. Two parts keep it:

- the ratio of the requests that this proxy itself has seen in a window; as each proxy keeps to its own
  requests, the sum keeps to the sum. A proxy that lives shorter than a window counts from its start;
- this proxy's part of RetryBudgetMin. Parts add up to one.

Both are used only to MARGIN, for requests are counted here when they are read and by the rule when sent.
"""

from collections import deque

from barleybarrow.limits.bounds import LimitBounds

MARGIN = 0.85  # of the budget; the rest covers what is counted here and there at different times
MOST_SERVICES = 4096


class ServiceBudget:
    """Requests and repeats of one service in the last window."""

    __slots__ = ("repeats", "requests")

    def __init__(self) -> None:
        self.requests: deque[tuple[float, int]] = deque()
        self.repeats: deque[float] = deque()


class RetryBudget:
    """Allows repeats of requests while each service's budget lasts."""

    def __init__(self, bounds: LimitBounds) -> None:
        self.bounds = bounds
        self.window_ms = bounds.retry_window_s * 1000.0
        self.services: dict[str, ServiceBudget] = {}

    def keep_only(self, names: set[str]) -> None:
        """Forget services that the configuration no longer has."""
        for name in [name for name in self.services if name not in names]:
            del self.services[name]

    def _service(self, name: str) -> ServiceBudget:
        found = self.services.get(name)
        if found is None:
            found = self.services[name] = ServiceBudget()
        return found

    def requested(self, now: float, service: str) -> None:
        """Count a client's request."""
        requests = self._service(service).requests
        bucket_at = now - now % 100.0
        if requests and requests[-1][0] == bucket_at:
            requests[-1] = (bucket_at, requests[-1][1] + 1)
        else:
            requests.append((bucket_at, 1))
            while requests[0][0] < now - self.window_ms:
                requests.popleft()

    def take(self, now: float, service: str, part: float) -> bool:
        """Take one repeat, given this proxy's part of RetryBudgetMin; False where none is left."""
        budget = self._service(service)
        start = now - self.window_ms
        while budget.repeats and budget.repeats[0] <= start:
            budget.repeats.popleft()
        requests = sum(count for at, count in budget.requests if at > start)
        allowed = self.bounds.retry_budget_ratio * requests + self.bounds.retry_budget_min * part
        if len(budget.repeats) + 1 > MARGIN * allowed:
            return False
        budget.repeats.append(now)
        return True
