"""When a request that no server can take is refused, and when its client is told to come back.

It never picks a server. Times are milliseconds.
"""

import random

from barleybarrow.routing.actions import DispatchRequest, Refuse

HONOURED_SHARE = 1 / 3  # of the time left: clients keep no longer pause
SOON_SHARE_OF_AIM = 1 / 4  # a request refused and back within this share can still be served in its aim
UNAVAILABLE = 503


def refuse(
    now: float, request: DispatchRequest, reason: str, rng: random.Random, wait_ms: float = 0.0
) -> Refuse:
    """A refusal that says when a place is likely, spread so that not all clients come back at once."""
    aim_ms = request.route.target_latency_ms or request.deadline_at - request.arrived_at
    pause_ms = max(wait_ms, aim_ms * SOON_SHARE_OF_AIM * (0.25 + 0.75 * rng.random()))
    longest_ms = max(0.0, (request.deadline_at - now) * HONOURED_SHARE)
    return Refuse(request.id, UNAVAILABLE, min(pause_ms, longest_ms), reason)
