"""Table of the tenants of the configuration in force, by name and by API key.

Pure: no I/O and no time. It is replaced as a whole by each configuration that changes a tenant.
"""

from collections.abc import Iterable

from barleybarrow.documents import QuotaUnit, Tenant

REQUEST_COST = 1.0  # for tenants whose quota counts requests


class TenantTable:
    """Looks up tenants by API key and by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, Tenant] = {}
        self.by_key: dict[str, Tenant] = {}

    def replace(self, tenants: Iterable[Tenant]) -> set[str]:
        """Replace all tenants; returns the names of those whose quota has changed.

        Cheap where most tenants are the same objects as before.
        """
        previous, self.by_name = self.by_name, {tenant.name: tenant for tenant in tenants}
        changed = {name for name in previous if name not in self.by_name}
        updated = []
        for name, tenant in self.by_name.items():
            old = previous.get(name)
            if old is tenant:
                continue
            if old is None or quota_of(old) != quota_of(tenant):
                changed.add(name)
            updated.append((old, tenant))
        self._drop_keys(previous[name] for name in changed if name not in self.by_name)
        self._drop_keys(old for old, _ in updated if old is not None)
        for _, tenant in updated:
            self.by_key.update(dict.fromkeys(tenant.api_keys, tenant))
        return changed

    def _drop_keys(self, tenants: Iterable[Tenant]) -> None:
        for tenant in tenants:
            for key in tenant.api_keys:
                self.by_key.pop(key, None)

    def authenticate(self, key: str | None) -> Tenant | None:
        """The tenant of an API key; None for an unknown key."""
        return self.by_key.get(key) if key is not None else None


def quota_of(tenant: Tenant) -> tuple[str, float, float]:
    """Unit, rate per second and burst of a tenant's quota; a rate of 0 means no limit."""
    return tenant.unit, tenant.rate_per_s, tenant.burst


def request_cost(tenant: Tenant, token_counts: str | None) -> float:
    """Cost of one request in its tenant's quota.

    `token_counts` is the value of X-Brackenusher-Token-Counts (two integers separated by a comma), or None
    without that header. A malformed value counts as absent.
    """
    if tenant.unit != QuotaUnit.TOKENS:
        return REQUEST_COST
    prompt, separator, generated = (token_counts or "").partition(",")
    try:
        cost = int(prompt) + int(generated)
    except ValueError:
        return float(tenant.plain_tokens)
    return float(cost) if separator and cost >= 0 else float(tenant.plain_tokens)
