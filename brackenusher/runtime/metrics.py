"""Figures of a process in the text format of Prometheus: counters, gauges and histograms. No I/O here.

An own small implementation: importing prometheus-client takes 90 ms or more, which every start on a small
machine would pay. Each figure has a bounded number of series: values of labels beyond it are counted as
"other".
"""

import threading
from bisect import bisect_left
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Generic, TypeVar

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_SERIES = 64  # of one figure
OTHER = "other"
SECONDS_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)

LabelValues = tuple[str, ...]


class Counter:
    """One series that only rises."""

    __slots__ = ("value", "_lock")

    def __init__(self, lock: threading.Lock) -> None:
        self.value, self._lock = 0.0, lock

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount of 0 or more."""
        with self._lock:
            self.value += amount

    def samples(self) -> Iterator[tuple[str, str, float]]:
        """Suffix of the name, further label, value."""
        yield "", "", self.value


class Gauge:
    """One series that goes up and down; may be read from a function at the time it is asked for."""

    __slots__ = ("value", "read", "_lock")

    def __init__(self, lock: threading.Lock, value: float = 0.0) -> None:
        self.value, self._lock = value, lock
        self.read: Callable[[], float] | None = None

    def set(self, value: float) -> None:
        """Set the value."""
        with self._lock:
            self.value = value

    def samples(self) -> Iterator[tuple[str, str, float]]:
        """Suffix of the name, further label, value."""
        yield "", "", self.value if self.read is None else float(self.read())


class Histogram:
    """One series that counts observations by buckets."""

    __slots__ = ("bounds", "counts", "total", "_lock")

    def __init__(self, lock: threading.Lock, bounds: Sequence[float]) -> None:
        self.bounds, self._lock = tuple(bounds), lock
        self.counts = [0] * (len(self.bounds) + 1)  # the last: above all bounds
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count one observation."""
        place = bisect_left(self.bounds, value)
        with self._lock:
            self.counts[place] += 1
            self.total += value

    def samples(self) -> Iterator[tuple[str, str, float]]:
        """Suffix of the name, further label, value; the buckets are cumulative."""
        with self._lock:
            counts, total = list(self.counts), self.total
        count = 0
        for bound, here in zip((*self.bounds, float("inf")), counts, strict=True):
            count += here
            yield "_bucket", f'le="{_number(bound)}"', count
        yield "_sum", "", total
        yield "_count", "", count


Series = Counter | Gauge | Histogram
AnySeries = TypeVar("AnySeries", Counter, Gauge, Histogram)


class Figure(Generic[AnySeries]):
    """All series of one name; hold on to what `labels` gives where it is used often."""

    def __init__(self, name: str, help_text: str, names: LabelValues, make: Callable[[], AnySeries]) -> None:
        self.name, self.help_text, self.names = name, help_text, names
        self._make: Callable[[], AnySeries] = make
        self._series: dict[LabelValues, AnySeries] = {}
        if not names:
            self._series[()] = make()  # told as 0 from the start

    def labels(self, *values: str) -> AnySeries:
        """The series of these label values; those of "other" where there are too many already."""
        if len(values) != len(self.names):
            raise ValueError(f"{self.name} has the labels {self.names}, not {values}")
        series = self._series.get(values)
        if series is not None:
            return series
        if len(self._series) >= MAX_SERIES:
            values = (OTHER,) * len(values)
        return self._series.setdefault(values, self._make())

    def series(self) -> list[tuple[LabelValues, AnySeries]]:
        """All series as they stand."""
        return list(self._series.items())


class Readings:
    """A figure with one label that is read from a function at the time it is asked for."""

    def __init__(
        self, name: str, help_text: str, names: LabelValues, read: Callable[[], Mapping[str, float]]
    ) -> None:
        self.name, self.help_text, self.names, self.read = name, help_text, names, read

    def series(self) -> list[tuple[LabelValues, Gauge]]:
        """All series as they stand, by name; of many, those beyond the bound are added up."""
        values = sorted(self.read().items())
        series: list[tuple[LabelValues, Gauge]] = []
        for name, value in values[:MAX_SERIES]:
            series.append(((name,), Gauge(threading.Lock(), value)))
        if len(values) > MAX_SERIES:
            rest = sum(value for _, value in values[MAX_SERIES:])
            series.append(((OTHER,), Gauge(threading.Lock(), rest)))
        return series


class Metrics:
    """The figures of one process, by name. Making a figure again gives the one that is there."""

    def __init__(self, prefix: str = "brackenusher_") -> None:
        self.prefix = prefix
        self._lock = threading.Lock()
        self._figures: dict[str, tuple[str, Figure[Any] | Readings]] = {}

    def counter(self, name: str, help_text: str, *labels: str) -> Figure[Counter]:
        """A figure that only rises; its name ends in _total."""
        return self._figure("counter", name, help_text, labels, lambda: Counter(self._lock))

    def gauge(self, name: str, help_text: str, *labels: str) -> Figure[Gauge]:
        """A figure that goes up and down."""
        return self._figure("gauge", name, help_text, labels, lambda: Gauge(self._lock))

    def gauge_function(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """A figure without labels that is read at the time it is asked for."""
        self.gauge(name, help_text).labels().read = read

    def counter_function(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """A figure without labels that only rises, read at the time it is asked for."""
        self._figure("counter", name, help_text, (), lambda: Gauge(self._lock)).labels().read = read

    def histogram(
        self, name: str, help_text: str, *labels: str, bounds: Sequence[float] = SECONDS_BUCKETS
    ) -> Figure[Histogram]:
        """A figure that counts observations by buckets, of seconds if not said otherwise."""
        return self._figure("histogram", name, help_text, labels, lambda: Histogram(self._lock, bounds))

    def readings(
        self, kind: str, name: str, help_text: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """A figure of the kind "counter" or "gauge" whose series are read at the time it is asked for.

        The keys of the mapping are the values of the label; of many, those beyond the bound are added up.
        """
        if name in self._figures:
            raise ValueError(f"the figure {name} is there already")
        self._figures[name] = (kind, Readings(name, help_text, (label,), read))

    def _figure(
        self, kind: str, name: str, help_text: str, labels: LabelValues, make: Callable[[], Any]
    ) -> Figure[Any]:
        present = self._figures.get(name)
        if present is None:
            figure: Figure[Any] = Figure(name, help_text, labels, make)
            self._figures[name] = (kind, figure)
            return figure
        if present[0] != kind or present[1].names != labels or not isinstance(present[1], Figure):
            raise ValueError(f"the figure {name} is there already, of another kind or with other labels")
        return present[1]

    def names(self) -> list[str]:
        """The names of all figures, without the prefix."""
        return list(self._figures)

    def render(self) -> bytes:
        """All figures in the text format, version 0.0.4."""
        lines: list[str] = []
        for kind, figure in self._figures.values():
            name = self.prefix + figure.name
            lines.append(f"# HELP {name} {_escape_help(figure.help_text)}")
            lines.append(f"# TYPE {name} {kind}")
            for values, series in figure.series():
                lines.extend(_series_lines(name, figure.names, values, series))
        return ("\n".join(lines) + "\n").encode()


def _series_lines(name: str, names: LabelValues, values: LabelValues, series: Series) -> Iterator[str]:
    own = [f'{label}="{_escape_value(value)}"' for label, value in zip(names, values, strict=True)]
    for suffix, further, value in series.samples():
        labels = ",".join([*own, further] if further else own)
        shown = f"{{{labels}}}" if labels else ""
        yield f"{name}{suffix}{shown} {_number(value)}"


def _number(value: float) -> str:
    if value == float("inf"):
        return "+Inf"
    return str(int(value)) if value == int(value) else repr(float(value))


def _escape_help(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _escape_value(text: str) -> str:
    return _escape_help(text).replace('"', '\\"')
