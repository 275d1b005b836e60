"""What the rules allow for one key over all proxies, and how the parts of the machine divide it.

Pure arithmetic. The rule for a quota of rate R and burst B: in each window W at most (R W + B) (1 + o) + S,
where o is QuotaOvershoot and S is QuotaSlack. The machine admits R W + B and, beyond that, at most its `room`
(o (R W + B) + S, less a margin), which is divided once for all:

| part | what may come beyond R W + B in one window |
| --- | --- |
| debt | the warden grants a request when its bucket is above zero, which takes it below zero once |
| extra | the warden's bucket, the credit that it granted, and the fallback buckets hold B + extra together |
"""

from dataclasses import dataclass

from barleybarrow.documents import QuotaUnit, Tenant

ROOM_MARGIN_SHARE = (
    0.2  # of the room: for requests that run twice (resumed streams), and for clocks that differ
)
DEBT_SHARE = 0.15
MAX_REQUEST_TOKENS = 32_768.0  # a debt beyond the largest request would serve nobody
RESERVE_SHARE = 0.3  # of the capacity
REQUEST_SLACK_SHARE = 0.25  # of R W + B: QuotaSlack may count tokens, so it is not taken whole for requests
RETRY_RATE_SHARE = 0.4  # of RetryBudgetMin, spread over the window
RETRY_BURST_SHARE = 0.55  # the rest is margin
RETRY_CREDIT_SHARE = 0.25  # part of the burst
CREDIT_SHARE = (
    0.65  # of the capacity: proxies hold it for the time without a warden; the rest is for who needs
)
# more than it holds, and lets the bucket of a new warden begin at its floor


@dataclass(frozen=True, slots=True)
class LimitBounds:
    """Bounds of the deployment, as in the settings file."""

    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_budget_min: float = 60.0


@dataclass(frozen=True, slots=True)
class KeyLimit:
    """What all proxies together may use of one key, in the key's own unit (tokens or requests)."""

    rate: float  # a second
    capacity: float  # of the warden's bucket, all credit outstanding, and all fallback buckets, together
    debt: float  # how far below zero one grant may take the bucket
    credit: float  # the most that may be granted and not yet known to be spent, at all proxies together
    largest: float  # request that credit ahead of need must leave room for
    reserve: float  # level of the warden's bucket below which there is no credit ahead of need


def quota_limit(tenant: Tenant, bounds: LimitBounds) -> KeyLimit | None:
    """How a tenant's quota is divided; None where it has none."""
    if tenant.rate_per_s <= 0.0:
        return None
    steady = tenant.rate_per_s * bounds.quota_window_s + tenant.burst
    slack, largest = bounds.quota_slack, MAX_REQUEST_TOKENS
    if tenant.unit != QuotaUnit.TOKENS:
        slack, largest = min(slack, REQUEST_SLACK_SHARE * steady), 1.0
    room = (bounds.quota_overshoot * steady + slack) * (1.0 - ROOM_MARGIN_SHARE)
    debt = min(DEBT_SHARE * room, largest)
    capacity = tenant.burst + room - debt
    return KeyLimit(
        tenant.rate_per_s,
        capacity,
        debt,
        min(capacity, max(CREDIT_SHARE * capacity, 2.0 * largest)),
        largest,
        RESERVE_SHARE * capacity,
    )


def retry_limit(bounds: LimitBounds) -> KeyLimit:
    """How RetryBudgetMin of one service is divided: all parts stay below it together."""
    budget_min = bounds.retry_budget_min
    return KeyLimit(
        RETRY_RATE_SHARE * budget_min / bounds.retry_window_s,
        RETRY_BURST_SHARE * budget_min,
        0.0,
        RETRY_CREDIT_SHARE * budget_min,
        0.0,
        0.0,
    )
