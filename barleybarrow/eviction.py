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


class Place(Enum):
    """The state of a client connection that is owed no answer."""

    SPENT = "spent"
    SILENT = "silent"
    PARTIAL = "partial"
    RESTING = "resting"


EVICTION_ORDER = (
    (Place.SPENT, 0.0),
    (Place.SILENT, 100.0),
    (Place.PARTIAL, 700.0),
    (Place.RESTING, 100.0),
    (Place.SILENT, 0.0),
    (Place.PARTIAL, 200.0),
    (Place.RESTING, 0.0),
)


def choose(idle_ms: Mapping[Place, float]) -> Place | None:
    """The state from which to evict a connection; `idle_ms` has no entry for states without connections."""
    return next(
        (state for state, min_idle_ms in EVICTION_ORDER if idle_ms.get(state, -1.0) >= min_idle_ms), None
    )
