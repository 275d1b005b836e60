"""What happens in a week: faults between and upon processes, and what staff do meanwhile; and how it shrinks.

One form for processes and for virtual time. Times are in periods, as in `testbed.schedule`. It does no I/O
but to read a journal.
"""

import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from testbed.schedule import Act, LinkFault, Schedule, ScheduleError, by_chance

Work = Literal[
    "propose", "withdraw", "mark", "clear", "voters", "disk slow", "disk full", "drop", "replace", "late"
]
PARTS = ("a", "b", "c")  # of a week's names: what staff mark
OFTEN = {"propose": 8, "withdraw": 1, "mark": 4, "clear": 3, "voters": 1, "disk slow": 1, "disk full": 1}
SELDOM = ("drop", "replace", "replace", "late")
MEAN = 2.0  # periods between two things that staff do
MEAN_SELDOM = 12.0  # and between two that concern the fleet or the roster
FIXED = 3  # the first so many keep marks, and vote at first


class Hand(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """What staff do through one proxy, or what its disk does for a while.

    `drop`: it is killed, taken off the roster, and comes back. `replace`: a turn server goes without a word,
    and another comes; `late`: discovery's news wait for a while.
    """

    at: Annotated[float, Meta(ge=0.0, le=1e6)]
    do: Work
    who: Annotated[int, Meta(ge=0, lt=1024)]
    what: list[Annotated[str, Meta(max_length=64)]] = []  # of a mark, the server; of voters, their names
    lasts: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One week."""

    faults: Schedule
    hands: Annotated[list[Hand], Meta(max_length=10_000)]
    fence: bool = False

    @property
    def seed(self) -> int:
        return self.faults.seed

    @property
    def size(self) -> int:
        return self.faults.size


def drawn(seed: int, size: int, calm: float = 3.0, quiet: float = 5.0) -> Plan:
    """A week by chance: the same from the same seed."""
    faults = by_chance(seed, size, calm, quiet)
    rng, hands, at = random.Random(f"hands {seed}"), list[Hand](), 0.0
    end = faults.periods - quiet
    while (at := at + rng.expovariate(1.0 / MEAN)) < end:
        anybody, keeper = rng.randrange(size), rng.randrange(min(FIXED, size))
        do = rng.choices(list(OFTEN), list(OFTEN.values()))[0]
        if do in ("mark", "clear"):
            hands.append(Hand(at=at, do=do, who=keeper, what=[f"x{rng.choice(PARTS)}"]))  # type: ignore[arg-type]
        elif do == "voters":
            names = [f"n{i}" for i in sorted(rng.sample(range(size), min(FIXED, size)))]
            hands.append(Hand(at=at, do="voters", who=anybody, what=names))
        elif do in ("propose", "withdraw"):
            hands.append(Hand(at=at, do=do, who=anybody))  # type: ignore[arg-type]
        else:
            hands.append(Hand(at=at, do=do, who=keeper, lasts=rng.choice([2.0, 5.0])))  # type: ignore[arg-type]
    rng, at = random.Random(f"seldom {seed}"), 0.0
    while (at := at + rng.expovariate(1.0 / MEAN_SELDOM)) < end:
        do, lasts = rng.choice(SELDOM), rng.choice([3.0, 8.0])
        hands.append(Hand(at=at, do=do, who=rng.randrange(size), lasts=0.0 if do == "replace" else lasts))  # type: ignore[arg-type]
    hands.sort(key=lambda hand: hand.at)
    return Plan(faults=faults, hands=hands, fence=seed % 2 == 1)


def kept(path: str | Path) -> Plan:
    """The plan of a journal. Raises ScheduleError."""
    try:
        return msgspec.convert(json.loads(Path(path).read_text(encoding="utf-8"))["plan"], Plan)
    except (OSError, ValueError, KeyError, TypeError, msgspec.ValidationError) as error:
        raise ScheduleError(f"{path}: {error}") from error


Piece = LinkFault | Act | Hand


def pieces(plan: Plan) -> list[Piece]:
    return [*plan.faults.links, *plan.faults.acts, *plan.hands]


def with_only(plan: Plan, left: list[Piece]) -> Plan:
    faults = msgspec.structs.replace(
        plan.faults,
        links=[p for p in left if isinstance(p, LinkFault)],
        acts=[p for p in left if isinstance(p, Act)],
    )
    return msgspec.structs.replace(plan, faults=faults, hands=[p for p in left if isinstance(p, Hand)])


def shrunk(plan: Plan, breaks: Callable[[Plan], bool], most: int = 200) -> tuple[Plan, int]:
    """The least of it that still breaks, and how often it was played (Zeller and Hildebrandt's ddmin, 2002).

    No piece that is left can be spared alone, unless `most` plays were too few to find out.
    """
    left, parts, played = pieces(plan), 2, 0
    while len(left) > 1 and played < most:
        size = max(1, len(left) // parts)
        for first in range(0, len(left), size):
            fewer = left[:first] + left[first + size :]
            played += 1
            if breaks(with_only(plan, fewer)):
                left, parts = fewer, max(2, parts - 1)
                break
            if played >= most:
                break
        else:
            if size == 1:
                break
            parts = min(len(left), 2 * parts)
    return with_only(plan, left), played
