"""What is counted of a run: what became of requests, second by second, and each tenant's share."""

import numpy as np

from testbed import scenario as config
from testbed.results import MANY, QUANTILES, Series, Tally

SECOND = 1_000_000  # microseconds
IN_AIM, LATE, REFUSED, FAILED, LEFT = range(5)  # what becomes of a client's request


def booked(tally: Tally, how: int, worth: float) -> None:
    """Note in a tally what became of a request that is worth so much when answered within its aim."""
    if how == IN_AIM:
        tally.in_aim += 1
        tally.worth_in_aim += worth
    elif how == LATE:
        tally.late += 1
    elif how == REFUSED:
        tally.refused += 1
    elif how == FAILED:
        tally.failed += 1
    else:
        tally.left += 1


class Quota:
    """A tenant's share: what it asks beyond, over a second, is worth little."""

    __slots__ = ("rate", "level", "at")

    def __init__(self, rate: float) -> None:
        self.rate, self.level, self.at = (
            rate / SECOND,
            rate,
            0,
        )  # requests a second; a second's worth saved up

    def take(self, at: int) -> bool:
        full = self.rate * SECOND
        self.level = min(full, self.level + self.rate * max(0, at - self.at))
        self.at = max(self.at, at)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class SecondBySecond:
    """Fills the series of a result."""

    def __init__(self, scenario: config.Scenario) -> None:
        self.series = Series(
            asked={c.name: [] for c in scenario.classes}, in_aim={c.name: [] for c in scenario.classes}
        )
        s = self.series
        self.names = [c.name for c in scenario.classes]
        self.ints = [*s.asked.values(), *s.in_aim.values(), s.refused, s.failed, s.attempts]
        self.asked_of = [s.asked[name] for name in self.names]
        self.in_aim_of = [s.in_aim[name] for name in self.names]
        self.length = 0

    def grow(self, second: int) -> None:
        while self.length <= second:
            self.length += 1
            for line in self.ints:
                line.append(0)
            self.series.worth_asked.append(0.0)
            self.series.worth_in_aim.append(0.0)

    def asked(self, at: int, klass: int, worth: float) -> None:
        second = at // SECOND
        if second >= self.length:
            self.grow(second)
        self.asked_of[klass][second] += 1
        self.series.worth_asked[second] += worth

    def finished(self, at: int, klass: int, how: int, worth: float) -> None:
        second = at // SECOND
        if how == IN_AIM:
            self.in_aim_of[klass][second] += 1
            self.series.worth_in_aim[second] += worth
        elif how == REFUSED:
            self.series.refused[second] += 1
        elif how == FAILED:
            self.series.failed[second] += 1

    def attempt(self, at: int) -> None:
        second = at // SECOND
        if second >= self.length:
            self.grow(second)
        self.series.attempts[second] += 1

    def sample(self, held: int, counts: list[float], names: list[str]) -> None:
        """Take down what is held by the proxies and by each server at the end of a second."""
        s = self.series
        s.held.append(float(held))
        if len(counts) > MANY:
            values = np.quantile(np.array(counts), QUANTILES).tolist()
            for q, value in zip(QUANTILES, values, strict=True):
                s.in_flight.setdefault(f"q{q:g}", []).append(value)
            return
        for name, value in zip(names, counts, strict=True):
            line = s.in_flight.setdefault(name.partition(".")[0], [])
            line.append(value)
