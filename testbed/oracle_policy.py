"""Checks that a policy took hold everywhere or nowhere, from what clients saw: docs/design/policy.md.

It knows the versions that came into force, when the first process acted upon each alone, and whom each stops;
and for each request that was served when it was asked, when answered, where, and for whom. All times are of
one clock, the clients'.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Version:
    number: int
    at: float  # when it was first in force anywhere
    stops: frozenset[str]


@dataclass(frozen=True)
class Asked:
    """A request that was served."""

    asked: float
    answered: float
    where: int
    tenant: str


def breaches(versions: Sequence[Version], served: Iterable[Asked]) -> list[str]:
    """Requests that no order of the versions explains.

    Each is given the earliest version that lets it pass and is no earlier than that of any request answered
    before it was asked. One that needs a version in force nowhere yet, or has none left, is a breach.
    """
    found: list[str] = []
    events: list[tuple[float, int, int]] = []
    asked = list(served)
    for n, a in enumerate(asked):
        events.append((a.asked, 1, n))
        events.append((a.answered, 0, n))  # at one instant an answer counts as before a question
    least = [0] * len(asked)  # position in `versions`: no earlier one explains it
    given = [0] * len(asked)
    floor = 0
    done = [False] * len(asked)
    for _, kind, n in sorted(events, key=lambda e: (e[0], e[1])):
        a = asked[n]
        if kind == 1:
            least[n] = floor
            at = next((i for i in range(floor, len(versions)) if a.tenant not in versions[i].stops), None)
            if at is None:
                found.append(f"everywhere_or_nowhere: {a.tenant} was served at {a.where} at {a.asked:.1f}")
                at = floor
            elif versions[at].at > a.answered:
                text = f"decided_first: {a.tenant} at {a.where} at {a.asked:.1f} needs {versions[at].number}"
                found.append(text)
                at = floor
            given[n], done[n] = at, True
            if a.asked == a.answered:
                floor = max(floor, at)
        elif done[n]:
            floor = max(floor, given[n])
    return found
