"""Whether some order of operations explains what each was answered, and keeps to when each began and ended.

Wing and Gong's search (1993), with configurations remembered (Lowe 2017). It knows nothing of the code under
test but what clients asked, when, and what they were told.
"""

from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import dataclass
from math import inf
from typing import Any

MOST = 200_000  # configurations looked at


@dataclass(frozen=True)
class Operation:
    """One that may have taken effect at any time has no end; what its answer was may be unknown (None)."""

    began: float
    ended: float
    what: Hashable
    answer: Any = None


Step = Callable[[Any, Hashable], tuple[Any, Any]]  # state and what is done: the next state, the answer


def explained(done: Sequence[Operation], step: Step, first: Hashable, most: int = MOST) -> bool | None:
    """Whether an order explains all that ended; None where the search was given up."""
    ops = sorted(done, key=lambda o: o.began)
    must = sum(1 << i for i, o in enumerate(ops) if o.ended < inf)
    seen: set[tuple[int, Any]] = set()
    stack: list[tuple[int, Any]] = [(0, first)]
    while stack:
        taken, state = stack.pop()
        if taken & must == must:
            return True
        if (taken, state) in seen:
            continue
        seen.add((taken, state))
        if len(seen) > most:
            return None
        left = [i for i in range(len(ops)) if not taken >> i & 1]
        soonest = min(ops[i].ended for i in left)
        for i in left:
            if ops[i].began > soonest:
                break  # another one ended before it began
            after, answer = step(state, ops[i].what)
            if ops[i].answer is None or ops[i].answer == answer:
                stack.append((taken | 1 << i, after))
    return False


def numbered(count: int, _: Hashable) -> tuple[int, int]:
    """Proposals, each told once: one gets the next number."""
    return count + 1, count + 1


def one_order(made: Mapping[str, tuple[float, float]], numbers: Mapping[str, int]) -> list[str]:
    """What is wrong with the numbers that proposals came to have, by when each was made and its end told.

    One that has no number never took effect; a number whose proposal is not known may be of any time.
    """
    done = [Operation(*made[id], id, number) for id, number in numbers.items() if id in made]
    rest = set(range(1, max(numbers.values(), default=0) + 1)) - {o.answer for o in done}
    done += [Operation(-inf, inf, f"#{number}", number) for number in rest]
    told = explained(done, numbered, 0)
    if told:
        return []
    some = ", ".join(f"{o.what} {o.answer} ({o.began:.2f} to {o.ended:.2f})" for o in done[:20])
    return [f"one_order: {'no order explains' if told is False else 'too many orders of'} {some}"]
