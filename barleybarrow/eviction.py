"""Which client connection is evicted where there is no room for another.

It decides and does no I/O; it is told for how many milliseconds nothing has moved on the connection that
moved longest ago, in each place where connections stand. What is owed an answer stands in none of them.

    turn  where     after    why
    1     SPENT     0        it has had its last answer, and its end is only waited for
    2     SILENT    100      it has said nothing since it came
    3     PARTIAL   700      it stopped within its request
    4     RESTING   100      it had its answers, and asks for nothing now
    5     SILENT    0        it has hardly come; but nothing is lost yet
    6     PARTIAL   200      it still writes, slowly
    7     RESTING   0        it asked a moment ago

A client that takes 2 s for a head, or sends a body at 64 kB/s, moves more often than every 700 ms.
"""

from collections.abc import Mapping
from enum import Enum


class Place(Enum):
    """Where a connection stands on which nothing is owed."""

    SPENT = "spent"
    SILENT = "silent"
    PARTIAL = "partial"
    RESTING = "resting"


TURNS = (
    (Place.SPENT, 0.0),
    (Place.SILENT, 100.0),
    (Place.PARTIAL, 700.0),
    (Place.RESTING, 100.0),
    (Place.SILENT, 0.0),
    (Place.PARTIAL, 200.0),
    (Place.RESTING, 0.0),
)


def choose(still: Mapping[Place, float]) -> Place | None:
    """From which place a connection is to go; `still` leaves out places where there is none."""
    return next((place for place, after in TURNS if still.get(place, -1.0) >= after), None)
