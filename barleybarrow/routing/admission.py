"""Refusal of requests that no server can take, with a Retry-After time. Times are milliseconds."""

import random

from barleybarrow.routing.actions import DispatchRequest, Refuse

RETRY_AFTER_DEADLINE_RATIO = 1 / 3  # of the time to the deadline: clients do not wait longer than that
RETRY_AFTER_TARGET_RATIO = 1 / 4  # of the target latency: a retry within this time can still meet it
SERVICE_UNAVAILABLE = 503


def refuse(
    now: float, request: DispatchRequest, reason: str, rng: random.Random, min_retry_after_ms: float = 0.0
) -> Refuse:
    """A refusal with a randomized Retry-After time, so that clients do not all retry at once."""
    target_ms = request.route.target_latency_ms or request.deadline_at - request.arrived_at
    retry_after_ms = max(
        min_retry_after_ms, target_ms * RETRY_AFTER_TARGET_RATIO * (0.25 + 0.75 * rng.random())
    )
    max_retry_after_ms = max(0.0, (request.deadline_at - now) * RETRY_AFTER_DEADLINE_RATIO)
    return Refuse(request.id, SERVICE_UNAVAILABLE, min(retry_after_ms, max_retry_after_ms), reason)
