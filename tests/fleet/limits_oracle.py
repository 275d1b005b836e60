"""Invariants of the shared limits, checked on the state of a simulated fleet and on the admitted requests."""

from bisect import bisect_right
from dataclasses import dataclass, field

from barleybarrow.documents import Tenant
from barleybarrow.limits.bounds import KeyLimit, LimitBounds
from barleybarrow.limits.credit_client import CreditClient
from barleybarrow.limits.limits import Limits
from barleybarrow.limits.predecessors import PredecessorShares

Clients = dict[str, tuple[float, CreditClient]]  # by proxy: time on its clock, client


@dataclass
class TenantStats:
    """Outcomes of a tenant's requests."""

    requested: int = 0
    refused: int = 0
    requested_cost: float = 0.0
    admitted: list[tuple[float, float]] = field(default_factory=list)  # time, cost
    waits_ms: list[float] = field(default_factory=list)

    @property
    def refused_share(self) -> float:
        return self.refused / max(1, self.requested)


class Process:
    """A simulated process with its own clock."""

    def __init__(self, name: str, starts_at: float, clock_rate: float) -> None:
        self.name, self.offset, self.clock_rate = name, -starts_at + 1e6 * clock_rate, clock_rate
        self.limits: Limits | None = None
        self.predecessor_shares: PredecessorShares | None = None
        self.incarnation = 0
        self.leaving = False  # shuts down as planned soon, and releases its fallback share
        self.wake_at = 0.0

    def clock_time(self, now: float) -> float:
        return now * self.clock_rate + self.offset

    def real_time(self, clock: float) -> float:
        return (clock - self.offset) / self.clock_rate


class LimitsOracle:
    """The checks of a simulation; the subclass runs it."""

    now: float
    bounds: LimitBounds
    proxies: list[str]
    processes: dict[str, Process]
    tenants: dict[str, Tenant]
    stats: dict[str, TenantStats]
    request_times: list[float]
    retry_times: list[float]

    def check_invariants(self) -> None:
        """Check the invariants of the state machines, apart from the quota itself. Raises AssertionError."""
        clients: Clients = {}
        for name in self.proxies:
            process = self.processes[name]
            if process.limits is not None and process.limits.client is not None:
                clients[name] = process.clock_time(self.now), process.limits.client
        assigned = sum(c.fallback_share for at, c in clients.values() if at < c.fallback_share_until)
        assert assigned <= 1.0 + 1e-6, f"fallback shares add up to {assigned}"
        holders = self.credit_servers()
        assert len(holders) <= 1, f"credit servers: {holders}"
        for name in holders:
            self.check_credit_server(self.processes[name], clients)

    def check_credit_server(self, process: Process, clients: Clients) -> None:
        assert process.limits is not None and process.limits.credit_machine.term_state is not None
        machine, clock = process.limits.credit_machine, process.clock_time(self.now)
        state = process.limits.credit_machine.term_state
        state.lent_share.advance(clock)
        fallback = sum(
            c.fallback_share for at, c in clients.values() if c.fallback_at <= at < c.fallback_share_until
        )
        total = state.lent_share.value + fallback
        assert total <= 1.0 + 1e-6, f"lent and used shares add up to {total}"
        for key, account in state.ledger.accounts.items():
            limit = machine.limit_of(key)
            if limit is None:
                continue
            level = state.ledger.refreshed_account(clock, key, limit).level
            granted = carried = 0.0
            for at, client in clients.values():
                entry = client.entries.get(key)
                if entry is None:
                    continue
                carried += entry.carried if at < entry.carried_until else 0.0
                if at < client.credit_valid_until and client.term == machine.term:
                    granted += entry.credit
            outstanding = account.outstanding
            assert granted <= outstanding + 1e-6, f"{key}: credit of {granted} held, {outstanding} known"
            assert outstanding <= limit.max_credit + 1e-6, f"{key}: outstanding {outstanding}"
            spendable = level + granted + carried + self.fallback_level(key, limit, clients)
            assert spendable <= limit.capacity * (1 + 1e-6), f"{key}: spendable {spendable}"

    def fallback_level(self, key: str, limit: KeyLimit, clients: Clients) -> float:
        """Total that disconnected proxies may spend now from their fallback buckets."""
        total = 0.0
        for at, client in clients.values():
            entry = client.entries.get(key)
            if entry is not None and client.fallback_at <= at < client.fallback_share_until:
                filled_from = max(entry.fallback_level_at, client.fallback_at)
                level = entry.fallback_level if entry.fallback_level_at >= client.fallback_at else 0.0
                gained = client.fallback_share * limit.rate * (at - filled_from) / 1000.0
                total += min(level + gained, client.fallback_share * limit.capacity)
        return total

    def max_in_window(self, tenant: str, window_ms: float) -> float:
        """Maximum that was admitted in any window of this length."""
        admitted = self.stats[tenant].admitted
        max_total = total = 0.0
        first = 0
        for at, cost in admitted:
            total += cost
            while admitted[first][0] <= at - window_ms:
                total -= admitted[first][1]
                first += 1
            max_total = max(max_total, total)
        return max_total

    def allowed_in_window(self, tenant: Tenant) -> float:
        """Amount that the quota allows in one window."""
        bounds = self.bounds
        steady = tenant.rate_per_s * bounds.quota_window_s + tenant.burst
        return steady * (1 + bounds.quota_overshoot) + bounds.quota_slack

    def excess_share(self, name: str) -> float:
        """Relative excess of the worst window over the quota's bound; negative if the bound holds."""
        max_total = self.max_in_window(name, 1000.0 * self.bounds.quota_window_s)
        return max_total / self.allowed_in_window(self.tenants[name]) - 1.0

    def excess_retries(self) -> float:
        """Largest excess of the retries in a window over the budget, in arrivals; negative if it holds.

        Only requests within the window count, which is stricter than the rule: that one also counts earlier
        requests.
        """
        window, worst = 1000.0 * self.bounds.retry_window_s, -float("inf")
        for first, at in enumerate(self.retry_times):
            retries = bisect_right(self.retry_times, at + window) - first
            requests = bisect_right(self.request_times, at + window) - bisect_right(self.request_times, at)
            allowed = self.bounds.retry_budget_ratio * requests + self.bounds.retry_budget_min
            worst = max(worst, retries - allowed)
        return worst

    def lent_share(self) -> float:
        """The share of each limit that the credit server may grant."""
        for name in self.credit_servers():
            limits = self.processes[name].limits
            if limits is not None and limits.credit_machine.term_state is not None:
                return limits.credit_machine.term_state.lent_share.value
        return 0.0

    def credit_servers(self) -> list[str]:
        """Processes that hold the lease by their own clocks; more than one is a fault."""
        holders = []
        for name, process in self.processes.items():
            if process.limits is not None and process.limits.credit_machine.term_state is not None:
                if process.clock_time(self.now) < process.limits.credit_machine.lease_expires_at:
                    holders.append(name)
        return holders
