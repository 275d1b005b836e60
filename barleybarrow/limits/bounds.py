"""Bounds of one key over all proxies, and how the components of the shared limits divide them.

Pure arithmetic. The rule for a quota of rate R and burst B: in each window W at most (R W + B) (1 + o) + S,
where o is QuotaOvershoot and S is QuotaSlack. The proxies admit R W + B and, beyond that, at most the `room`
(o (R W + B) + S, less a margin), which has a fixed division:

| share | admitted beyond R W + B in one window |
| --- | --- |
| debt | a request granted while the bucket is above zero may take it below zero, once |
| extra | the server's bucket, outstanding credit and all fallback buckets hold B + extra together |
"""

from dataclasses import dataclass

from barleybarrow.documents import QuotaUnit, Tenant

ROOM_MARGIN_SHARE = 0.2  # of the room: for requests that run twice (resumed streams), and for clock drift
DEBT_SHARE = 0.15  # of the room
MAX_REQUEST_TOKENS = 32_768.0  # a debt beyond the largest request would be of no use
RESERVE_SHARE = 0.3  # of the capacity
REQUEST_SLACK_SHARE = 0.25  # of R W + B: QuotaSlack may count tokens, so it is not taken whole for requests
RETRY_RATE_SHARE = 0.4  # of RetryBudgetMin, spread over the window
RETRY_BURST_SHARE = 0.55  # the rest is margin
RETRY_CREDIT_SHARE = 0.25  # of RetryBudgetMin, within the burst
# Of the capacity. Proxies hold this much for the time without a credit server; the rest is for those that
# need more than they hold, and lets the buckets of a new credit server start at their floors.
CREDIT_SHARE = 0.65


@dataclass(frozen=True, slots=True)
class LimitBounds:
    """Bounds of the deployment, from the settings file."""

    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_budget_min: float = 60.0


@dataclass(frozen=True, slots=True)
class KeyLimit:
    """Limit of one key over all proxies, in the key's own unit (tokens or requests)."""

    rate: float  # per second
    capacity: float  # of the credit server's bucket, outstanding credit and all fallback buckets together
    debt: float  # how far below zero one grant may take the bucket
    max_credit: float  # maximum of credit granted and not yet reported as spent, over all proxies
    max_request_cost: float  # cost of a request that credit granted ahead of need must leave room for
    reserve: float  # level of the credit server's bucket below which no credit is granted ahead of need


def quota_limit(tenant: Tenant, bounds: LimitBounds) -> KeyLimit | None:
    """Divide a tenant's quota; None if it has none."""
    if tenant.rate_per_s <= 0.0:
        return None
    steady = tenant.rate_per_s * bounds.quota_window_s + tenant.burst
    slack, max_request_cost = bounds.quota_slack, MAX_REQUEST_TOKENS
    if tenant.unit != QuotaUnit.TOKENS:
        slack, max_request_cost = min(slack, REQUEST_SLACK_SHARE * steady), 1.0
    room = (bounds.quota_overshoot * steady + slack) * (1.0 - ROOM_MARGIN_SHARE)
    debt = min(DEBT_SHARE * room, max_request_cost)
    capacity = tenant.burst + room - debt
    return KeyLimit(
        tenant.rate_per_s,
        capacity,
        debt,
        min(capacity, max(CREDIT_SHARE * capacity, 2.0 * max_request_cost)),
        max_request_cost,
        RESERVE_SHARE * capacity,
    )


def retry_limit(bounds: LimitBounds) -> KeyLimit:
    """Divide RetryBudgetMin of one service; the sum of all uses stays below it."""
    budget_min = bounds.retry_budget_min
    return KeyLimit(
        RETRY_RATE_SHARE * budget_min / bounds.retry_window_s,
        RETRY_BURST_SHARE * budget_min,
        0.0,
        RETRY_CREDIT_SHARE * budget_min,
        0.0,
        0.0,
    )
