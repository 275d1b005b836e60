"""What may never happen to the limits: read from the machines of a world, and from what it admitted."""

from bisect import bisect_right
from dataclasses import dataclass, field

from barleybarrow.documents import Tenant
from barleybarrow.limits.bounds import KeyLimit, LimitBounds
from barleybarrow.limits.credit_client import CreditClient
from barleybarrow.limits.limits import Limits
from barleybarrow.limits.predecessors import PredecessorBases

Clients = dict[str, tuple[float, CreditClient]]  # proxies: the time on their clock, and what they hold


@dataclass
class Tally:
    """What became of a tenant's requests."""

    asked: int = 0
    refused: int = 0
    asked_cost: float = 0.0
    admitted: list[tuple[float, float]] = field(default_factory=list)  # time, cost
    waits: list[float] = field(default_factory=list)

    @property
    def refused_share(self) -> float:
        return self.refused / max(1, self.asked)


class Process:
    """One process of the fleet, with a clock of its own."""

    def __init__(self, name: str, at: float, rate: float) -> None:
        self.name, self.offset, self.rate = name, -at + 1e6 * rate, rate
        self.machine: Limits | None = None
        self.bases: PredecessorBases | None = None
        self.life = 0
        self.leaving = False  # it ends in order soon, and gives its base up
        self.wake_at = 0.0

    def clock(self, now: float) -> float:
        return now * self.rate + self.offset

    def when(self, clock: float) -> float:
        return (clock - self.offset) / self.rate


class LimitsOracle:
    """The judging half of a world; the other half plays it."""

    now: float
    bounds: LimitBounds
    proxies: list[str]
    processes: dict[str, Process]
    tenants: dict[str, Tenant]
    tally: dict[str, Tally]
    requested: list[float]
    repeated: list[float]

    def check(self) -> None:
        """Invariants of the machines, beside the rule itself. Raises AssertionError."""
        clients: Clients = {}
        for name in self.proxies:
            process = self.processes[name]
            if process.machine is not None and process.machine.client is not None:
                clients[name] = process.clock(self.now), process.machine.client
        held = sum(c.base for at, c in clients.values() if at < c.base_until)
        assert held <= 1.0 + 1e-6, f"bases add up to {held}"
        wardens = self.wardens()
        assert len(wardens) <= 1, f"wardens: {wardens}"
        for name in wardens:
            self.check_warden(self.processes[name], clients)

    def check_warden(self, process: Process, clients: Clients) -> None:
        assert process.machine is not None and process.machine.machine.books is not None
        machine, clock = process.machine.machine, process.clock(self.now)
        books = process.machine.machine.books
        books.lent.advance(clock)
        fallen = sum(c.base for at, c in clients.values() if c.fall_at <= at < c.base_until)
        total = books.lent.value + fallen
        assert total <= 1.0 + 1e-6, f"lent and used parts add up to {total}"
        for key, account in books.ledger.accounts.items():
            limit = machine.limit_of(key)
            if limit is None:
                continue
            level = books.ledger.account(clock, key, limit).level
            granted = carried = 0.0
            for at, client in clients.values():
                entry = client.entries.get(key)
                if entry is None:
                    continue
                carried += entry.carried if at < entry.carried_until else 0.0
                if at < client.valid_until and client.term == machine.term:
                    granted += entry.credit
            known = account.outstanding
            assert granted <= known + 1e-6, f"{key}: credit of {granted} held, {known} known"
            assert known <= limit.credit + 1e-6, f"{key}: outstanding {known}"
            spendable = level + granted + carried + self.fallen_level(key, limit, clients)
            assert spendable <= limit.capacity * (1 + 1e-6), f"{key}: spendable {spendable}"

    def fallen_level(self, key: str, limit: KeyLimit, clients: Clients) -> float:
        """What proxies that are out of touch may spend at this moment."""
        total = 0.0
        for at, client in clients.values():
            entry = client.entries.get(key)
            if entry is not None and client.fall_at <= at < client.base_until:
                since = max(entry.level_at, client.fall_at)
                level = entry.level if entry.level_at >= client.fall_at else 0.0
                gained = client.base * limit.rate * (at - since) / 1000.0
                total += min(level + gained, client.base * limit.capacity)
        return total

    def most_in_window(self, tenant: str, window_ms: float) -> float:
        """The most that was admitted in any window of this length."""
        admitted = self.tally[tenant].admitted
        most = total = 0.0
        first = 0
        for at, cost in admitted:
            total += cost
            while admitted[first][0] <= at - window_ms:
                total -= admitted[first][1]
                first += 1
            most = max(most, total)
        return most

    def allowed(self, tenant: Tenant) -> float:
        """What the rule allows in one window."""
        bounds = self.bounds
        steady = tenant.rate_per_s * bounds.quota_window_s + tenant.burst
        return steady * (1 + bounds.quota_overshoot) + bounds.quota_slack

    def excess(self, name: str) -> float:
        """The share by which the worst window goes over the rule's bound; negative: it holds."""
        most = self.most_in_window(name, 1000.0 * self.bounds.quota_window_s)
        return most / self.allowed(self.tenants[name]) - 1.0

    def retry_excess(self) -> float:
        """The most by which repeats in a window go over the retry budget, in arrivals; negative: it holds.

        Requests count in the window alone: that is stricter than the rule, which also looks at those
        before.
        """
        window, worst = 1000.0 * self.bounds.retry_window_s, -float("inf")
        for first, at in enumerate(self.repeated):
            repeats = bisect_right(self.repeated, at + window) - first
            requests = bisect_right(self.requested, at + window) - bisect_right(self.requested, at)
            allowed = self.bounds.retry_budget_ratio * requests + self.bounds.retry_budget_min
            worst = max(worst, repeats - allowed)
        return worst

    def lent(self) -> float:
        """The fraction of each limit that the warden may hand out."""
        for name in self.wardens():
            machine = self.processes[name].machine
            if machine is not None and machine.machine.books is not None:
                return machine.machine.books.lent.value
        return 0.0

    def wardens(self) -> list[str]:
        """Processes that hold the lease now by their own clocks; more than one would be a fault."""
        found = []
        for name, process in self.processes.items():
            if process.machine is not None and process.machine.machine.books is not None:
                if process.clock(self.now) < process.machine.machine.lease_end:
                    found.append(name)
        return found
