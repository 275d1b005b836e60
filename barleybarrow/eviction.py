"""Chooses the client connection to evict when there is no room for another.

It does no I/O. For each state, it is told for how many milliseconds the connection that has been inactive
longest has been so. Connections that are owed an answer are in none of the states.

    order  state     inactive  why
    1      spent     0         it has had its last answer and is only waiting for its close
    2      silent    100       it has sent nothing since it was accepted
    3      partial   700       it stopped within a request
    4      resting   100       it is idle between requests
    5      silent    0         it was only just accepted, and no request is lost
    6      partial   200       it is still sending a request, slowly
    7      resting   0         it became idle a moment ago

A client that takes 2 s to send a request head, or sends a body at 64 kB/s, is never inactive for 700 ms.
"""

from collections.abc import Mapping
from enum import Enum


class ClientState(Enum):
    """The state of a client connection that is owed no answer."""

    CLOSING = "spent"
    NO_REQUEST = "silent"
    PARTIAL_REQUEST = "partial"
    KEEP_ALIVE = "resting"


EVICTION_ORDER = (
    (ClientState.CLOSING, 0.0),
    (ClientState.NO_REQUEST, 100.0),
    (ClientState.PARTIAL_REQUEST, 700.0),
    (ClientState.KEEP_ALIVE, 100.0),
    (ClientState.NO_REQUEST, 0.0),
    (ClientState.PARTIAL_REQUEST, 200.0),
    (ClientState.KEEP_ALIVE, 0.0),
)


def choose_victim(idle_ms: Mapping[ClientState, float]) -> ClientState | None:
    """The state from which to evict a connection; `idle_ms` has no entry for states without connections."""
    return next(
        (state for state, min_idle_ms in EVICTION_ORDER if idle_ms.get(state, -1.0) >= min_idle_ms), None
    )
