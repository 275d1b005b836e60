"""Slopes of what was measured: least squares over runs of several sizes, printed with the runs themselves."""

import os
from collections.abc import Sequence
from dataclasses import dataclass

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through the runs."""

    title: str
    unit: str  # of the value
    per: str  # of the size
    rise: float
    rest: float  # the value at size 0
    fit: float  # share of the variance that the line explains: 1 is a perfect fit
    runs: tuple[tuple[float, float], ...]

    def line(self) -> str:
        """One line: the slope, the rest, the fit, and the runs."""
        runs = ", ".join(f"{size:g}: {value:.4g}" for size, value in self.runs)
        return (
            f"{self.title}: {self.rise:.4g} {self.unit} a {self.per} + {self.rest:.4g} {self.unit}"
            f" (r2 {self.fit:.3f}; runs {runs})"
        )


def fit(title: str, unit: str, per: str, runs: Sequence[tuple[float, float]]) -> Slope:
    """The line through runs of (size, value)."""
    mean_size = sum(size for size, _ in runs) / len(runs)
    mean_value = sum(value for _, value in runs) / len(runs)
    spread = sum((size - mean_size) ** 2 for size, _ in runs)
    rise = sum((size - mean_size) * (value - mean_value) for size, value in runs) / spread
    rest = mean_value - rise * mean_size
    off = sum((value - rest - rise * size) ** 2 for size, value in runs)
    variance = sum((value - mean_value) ** 2 for _, value in runs)
    return Slope(title, unit, per, rise, rest, 1.0 - off / variance if variance else 1.0, tuple(runs))


def show(title: str, unit: str, per: str, runs: Sequence[tuple[float, float]]) -> Slope:
    """Fit and print."""
    slope = fit(title, unit, per, runs)
    print(slope.line(), flush=True)
    return slope


def processor_seconds(pid: int) -> float:
    """Processor time of a process so far, in steps of 10 ms."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(pid: int) -> int:
    """Resident memory of a process."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES
