"""The limits of one process: API keys, quotas and retry budgets that hold over all proxies together.

Proxies authenticate and admit requests, count them and ask for retries; control processes only serve as
acceptors and credit server. A state machine without I/O; times are monotonic milliseconds. Its driver sends
the messages of `outbox()`, passes those of other processes to `receive`, calls `tick` when it is due, and
hands decisions to pending requests.
"""

from random import Random

from barleybarrow.documents import QuotaUnit, Service, Tenant
from barleybarrow.limits.bounds import KeyLimit, LimitBounds, quota_limit, retry_limit
from barleybarrow.limits.credit_client import Verdict
from barleybarrow.limits.credit_machine import CreditMachine
from barleybarrow.limits.messages import (
    MessageError,
    decode,
    decode_acceptor_state,
    encode,
    encode_acceptor_state,
)
from barleybarrow.limits.retries import RetryBudget
from barleybarrow.limits.tenants import TenantTable

QUOTA_PREFIX, TOKENS_PREFIX = "quota:", "tokens:"  # credit of one unit must not be spent in the other
RETRY_PREFIX = "retry:"
RETRY_COST = 1.0
MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS = 350.0, 5000.0
RETRY_AFTER_JITTER = 1.0  # at most this multiple is added at random, to spread clients refused together

__all__ = ["Limits", "Verdict"]


class Limits:
    """Authenticates requests, and admits them by quota and retry budget.

    The last two parameters say whether this process is a proxy, and whether this is the first start of the
    whole system (the setting Bootstrap).
    """

    def __init__(
        self,
        name: str,
        acceptors: list[str],
        rng: Random,
        now: float,
        bounds: LimitBounds,
        is_proxy: bool = True,
        bootstrap: bool = False,
    ) -> None:
        self.bounds = bounds
        self.tenants = TenantTable()
        self.retries = RetryBudget(bounds)
        self.key_limits: dict[str, KeyLimit] = {}  # by key
        self.quota_keys: dict[str, str] = {}  # by name of the tenant
        self.credit_machine = CreditMachine(
            name, acceptors, rng, now, self.key_limits.get, is_proxy, bootstrap
        )
        self.client = self.credit_machine.client
        self.counts = {"admitted": 0, "refused": 0, "waited": 0, "repeats_refused": 0}

    def configure(self, now: float, tenants: list[Tenant], services: list[Service]) -> None:
        """Apply the tenants and services of a new configuration at once."""
        self.credit_machine.on_limits_known(now)
        for name in self.tenants.replace(tenants):
            self.update_quota(name)
        service_names = {service.name for service in services}
        self.retries.retain(service_names)
        service_limit = retry_limit(self.bounds)
        stale = [key for key in self.key_limits if key.startswith(RETRY_PREFIX)]
        for key in stale:
            if key.removeprefix(RETRY_PREFIX) not in service_names:
                del self.key_limits[key]
        for service in service_names:
            self.key_limits[RETRY_PREFIX + service] = service_limit

    def update_quota(self, name: str) -> None:
        tenant = self.tenants.by_name.get(name)
        self.key_limits.pop(self.quota_keys.pop(name, ""), None)
        limit = quota_limit(tenant, self.bounds) if tenant is not None else None
        if tenant is not None and limit is not None:
            key = (TOKENS_PREFIX if tenant.unit == QuotaUnit.TOKENS else QUOTA_PREFIX) + name
            self.key_limits[key] = limit
            self.quota_keys[name] = key

    # Requests

    def authenticate(self, key: str | None) -> Tenant | None:
        """The tenant of an API key; None for an unknown key."""
        return self.tenants.authenticate(key)

    def decide(self, now: float, tenant: Tenant, cost: float, ticket: int | None) -> Verdict:
        """Take the cost of a request from its tenant's quota.

        A pending request is decided under its ticket within `spans.CREDIT_WAIT_TIMEOUT_MS` and one tick. A
        request without a ticket does not wait.
        """
        key = self.quota_keys.get(tenant.name)
        if key is None or self.client is None:
            return Verdict.ADMITTED
        verdict = self.client.acquire(now, key, self.key_limits[key], cost, ticket)
        if verdict is Verdict.PENDING:
            self.counts["waited"] += 1
        else:
            self.counts["admitted" if verdict is Verdict.ADMITTED else "refused"] += 1
        return verdict

    def admit(self, now: float, tenant: Tenant, cost: float) -> bool:
        """Decide at once; False also where the credit server would have to be asked."""
        return self.decide(now, tenant, cost, None) is Verdict.ADMITTED

    def cancel(self, ticket: int) -> None:
        """Cancel a pending request whose client has disconnected."""
        if self.client is not None:
            self.client.cancel(ticket)

    def take_decisions(self) -> list[tuple[int, bool]]:
        """Tickets decided since the last call, and whether they are admitted."""
        if self.client is None or not self.client.decisions:
            return []
        decisions, self.client.decisions = self.client.decisions, []
        for _, admitted in decisions:
            self.counts["admitted" if admitted else "refused"] += 1
        return decisions

    def retry_after_ms(self, tenant: Tenant, cost: float) -> float:
        """Delay in milliseconds after which the client of a refused request should retry."""
        key = self.quota_keys.get(tenant.name)
        refill_ms = 1000.0 * cost / self.key_limits[key].rate if key is not None else 0.0
        spread = 1.0 + RETRY_AFTER_JITTER * self.credit_machine.rng.random()
        return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, refill_ms) * spread)

    def record_request(self, now: float, service: str) -> None:
        """Count a client's request for a service."""
        self.retries.record_request(now, service)

    def may_retry(self, now: float, service: str) -> bool:
        """Take one retry (an arrival beyond a request's first) from the budget; False if it is used up."""
        if self.retries.try_take(now, service):
            return True
        key = RETRY_PREFIX + service
        limit = self.key_limits.get(key)
        if limit is not None and self.client is not None:
            if self.client.acquire(now, key, limit, RETRY_COST, None) is Verdict.ADMITTED:
                return True
        self.counts["repeats_refused"] += 1
        return False

    # Sharing of the limits between processes

    @property
    def is_connected(self) -> bool:
        """Whether the credit server of this term has replied; a starting proxy should wait for it."""
        return self.client is not None and self.client.applied_sequence > 0

    def set_acceptors(self, now: float, acceptors: list[str]) -> None:
        """Replace the set of acceptors: the voters of the configuration shard."""
        self.credit_machine.set_acceptors(now, acceptors)

    def set_reachable(self, now: float, reachable: list[str]) -> None:
        """Set the processes that can be reached now."""
        self.credit_machine.set_reachable(now, reachable)

    def resign(self, now: float, released: bool = False) -> None:
        """Planned shutdown: another credit server may follow at once; a proxy admits nothing any more.

        `released`: no peer remembers this proxy's share (`predecessors`).
        """
        self.credit_machine.resign(now, released)

    def fallback_share(self, now: float) -> tuple[float, float]:
        """The share of each limit that this proxy may use while disconnected, and its lifetime in ms."""
        if self.client is None or now >= self.client.fallback_share_until:
            return 0.0, 0.0
        return self.client.fallback_share, self.client.fallback_share_until - now

    def inherit_fallback_share(self, now: float, share: float, until: float) -> None:
        """Inherit the share of the previous incarnation, unless a credit server has replied already."""
        if self.client is not None:
            self.client.inherit_fallback_share(now, share, until)

    @property
    def can_inherit(self) -> bool:
        """Whether no credit server has replied to this process."""
        return self.client is not None and not self.client.was_answered

    # Storage of an acceptor

    def restore(self, now: float, stored: bytes | None) -> None:
        """Enable storage and restore the state stored last, if any; called before the start."""
        self.credit_machine.durable = True
        if stored is not None:
            try:
                self.credit_machine.restore(now, decode_acceptor_state(stored))
            except MessageError:
                return

    def to_store(self) -> tuple[int, bytes] | None:
        """The revision and state to be stored, if any; the caller confirms it once it is synced."""
        machine = self.credit_machine
        if not machine.durable or machine.stored_revision >= machine.revision:
            return None
        return machine.revision, encode_acceptor_state(machine.acceptor_state)

    def on_stored(self, now: float, revision: int) -> None:
        """Confirm that a revision is stored and synced."""
        self.credit_machine.on_stored(now, revision)

    # Time and messages

    def tick(self, now: float) -> None:
        """Run the actions that are due."""
        self.credit_machine.tick(now)

    def next_wakeup(self) -> float:
        """Time at which `tick` is to be called next."""
        return self.credit_machine.next_wakeup()

    def receive(self, now: float, sender: str, payload: bytes) -> None:
        """Handle a message of another process; one that can't be decoded is dropped."""
        try:
            message = decode(payload)
        except MessageError:
            return
        self.credit_machine.receive(now, sender, message)

    def outbox(self) -> list[tuple[str, bytes]]:
        """Take the messages to send, each with the address of its receiver."""
        if not self.credit_machine.outgoing:
            return []
        messages, self.credit_machine.outgoing = self.credit_machine.outgoing, []
        return [(address, encode(message)) for address, message in messages]
