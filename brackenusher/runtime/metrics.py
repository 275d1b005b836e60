"""Metrics of a process in the Prometheus text format: counters, gauges and histograms. No I/O here.

Importing prometheus-client takes 90 ms or more, which would slow down every start on a small machine. Each
metric has a bounded number of series; label values beyond it are counted as "other".
"""

import threading
from bisect import bisect_left
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Generic, TypeVar

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_SERIES = 64  # per metric
OTHER = "other"
SECONDS_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)

LabelValues = tuple[str, ...]


class Counter:
    """A series that only increases."""

    __slots__ = ("value", "_lock")

    def __init__(self, lock: threading.Lock) -> None:
        self.value, self._lock = 0.0, lock

    def inc(self, amount: float = 1.0) -> None:
        """Add a non-negative amount."""
        with self._lock:
            self.value += amount

    def samples(self) -> Iterator[tuple[str, str, float]]:
        """Name suffix, additional label and value of each sample."""
        yield "", "", self.value


class Gauge:
    """A series that goes up and down; its value may come from a function called at each scrape."""

    __slots__ = ("value", "read", "_lock")

    def __init__(self, lock: threading.Lock, value: float = 0.0) -> None:
        self.value, self._lock = value, lock
        self.read: Callable[[], float] | None = None

    def set(self, value: float) -> None:
        """Set the value."""
        with self._lock:
            self.value = value

    def samples(self) -> Iterator[tuple[str, str, float]]:
        """Name suffix, additional label and value of each sample."""
        yield "", "", self.value if self.read is None else float(self.read())


class Histogram:
    """A series that counts observations in buckets."""

    __slots__ = ("bounds", "counts", "total", "_lock")

    def __init__(self, lock: threading.Lock, bounds: Sequence[float]) -> None:
        self.bounds, self._lock = tuple(bounds), lock
        self.counts = [0] * (len(self.bounds) + 1)  # the last one: above all bounds
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count one observation."""
        index = bisect_left(self.bounds, value)
        with self._lock:
            self.counts[index] += 1
            self.total += value

    def samples(self) -> Iterator[tuple[str, str, float]]:
        """Name suffix, additional label and value of each sample; buckets are cumulative."""
        with self._lock:
            counts, total = list(self.counts), self.total
        count = 0
        for bound, bucket in zip((*self.bounds, float("inf")), counts, strict=True):
            count += bucket
            yield "_bucket", f'le="{_number(bound)}"', count
        yield "_sum", "", total
        yield "_count", "", count


Series = Counter | Gauge | Histogram
AnySeries = TypeVar("AnySeries", Counter, Gauge, Histogram)


class Metric(Generic[AnySeries]):
    """A metric and its series; keep the result of `labels` where it is used often."""

    def __init__(self, name: str, help_text: str, names: LabelValues, make: Callable[[], AnySeries]) -> None:
        self.name, self.help_text, self.label_names = name, help_text, names
        self._make: Callable[[], AnySeries] = make
        self._series: dict[LabelValues, AnySeries] = {}
        if not names:
            self._series[()] = make()  # exported as 0 from the start

    def labels(self, *values: str) -> AnySeries:
        """The series of these label values, or of "other" once there are too many."""
        if len(values) != len(self.label_names):
            raise ValueError(f"{self.name} has the labels {self.label_names}, not {values}")
        series = self._series.get(values)
        if series is not None:
            return series
        if len(self._series) >= MAX_SERIES:
            values = (OTHER,) * len(values)
        return self._series.setdefault(values, self._make())

    def series(self) -> list[tuple[LabelValues, AnySeries]]:
        """The current series."""
        return list(self._series.items())


class SampledMetric:
    """A metric with one label whose series come from a function called at each scrape."""

    def __init__(
        self, name: str, help_text: str, names: LabelValues, read: Callable[[], Mapping[str, float]]
    ) -> None:
        self.name, self.help_text, self.label_names, self.read = name, help_text, names, read

    def series(self) -> list[tuple[LabelValues, Gauge]]:
        """The current series in order of label value; those beyond the bound are summed as "other"."""
        values = sorted(self.read().items())
        series: list[tuple[LabelValues, Gauge]] = []
        for name, value in values[:MAX_SERIES]:
            series.append(((name,), Gauge(threading.Lock(), value)))
        if len(values) > MAX_SERIES:
            rest = sum(value for _, value in values[MAX_SERIES:])
            series.append(((OTHER,), Gauge(threading.Lock(), rest)))
        return series


class Metrics:
    """The registry of one process. Registering a metric again returns the existing one."""

    def __init__(self, prefix: str = "brackenusher_") -> None:
        self.prefix = prefix
        self._lock = threading.Lock()
        self._metrics: dict[str, tuple[str, Metric[Any] | SampledMetric]] = {}

    def counter(self, name: str, help_text: str, *labels: str) -> Metric[Counter]:
        """Register a counter; its name ends in _total."""
        return self._register("counter", name, help_text, labels, lambda: Counter(self._lock))

    def gauge(self, name: str, help_text: str, *labels: str) -> Metric[Gauge]:
        """Register a gauge."""
        return self._register("gauge", name, help_text, labels, lambda: Gauge(self._lock))

    def gauge_function(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Register a gauge without labels whose value is read at each scrape."""
        self.gauge(name, help_text).labels().read = read

    def counter_function(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Register a counter without labels whose value is read at each scrape."""
        self._register("counter", name, help_text, (), lambda: Gauge(self._lock)).labels().read = read

    def histogram(
        self, name: str, help_text: str, *labels: str, bounds: Sequence[float] = SECONDS_BUCKETS
    ) -> Metric[Histogram]:
        """Register a histogram; the default buckets are in seconds."""
        return self._register("histogram", name, help_text, labels, lambda: Histogram(self._lock, bounds))

    def sampled(
        self, kind: str, name: str, help_text: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Register a "counter" or "gauge" with one label whose series are read at each scrape.

        The keys of the mapping are the label values; series beyond the bound are summed as "other".
        """
        if name in self._metrics:
            raise ValueError(f"metric {name} is registered already")
        self._metrics[name] = (kind, SampledMetric(name, help_text, (label,), read))

    def _register(
        self, kind: str, name: str, help_text: str, labels: LabelValues, make: Callable[[], Any]
    ) -> Metric[Any]:
        existing = self._metrics.get(name)
        if existing is None:
            metric: Metric[Any] = Metric(name, help_text, labels, make)
            self._metrics[name] = (kind, metric)
            return metric
        if existing[0] != kind or existing[1].label_names != labels or not isinstance(existing[1], Metric):
            raise ValueError(f"metric {name} is registered already with another type or other labels")
        return existing[1]

    def names(self) -> list[str]:
        """The names of all metrics, without the prefix."""
        return list(self._metrics)

    def render(self) -> bytes:
        """All metrics in the text format, version 0.0.4."""
        lines: list[str] = []
        for kind, metric in self._metrics.values():
            name = self.prefix + metric.name
            lines.append(f"# HELP {name} {_escape_help(metric.help_text)}")
            lines.append(f"# TYPE {name} {kind}")
            for values, series in metric.series():
                lines.extend(_series_lines(name, metric.label_names, values, series))
        return ("\n".join(lines) + "\n").encode()


def _series_lines(name: str, names: LabelValues, values: LabelValues, series: Series) -> Iterator[str]:
    own_labels = [f'{label}="{_escape_value(value)}"' for label, value in zip(names, values, strict=True)]
    for suffix, extra_label, value in series.samples():
        labels = ",".join([*own_labels, extra_label] if extra_label else own_labels)
        label_text = f"{{{labels}}}" if labels else ""
        yield f"{name}{suffix}{label_text} {_number(value)}"


def _number(value: float) -> str:
    if value == float("inf"):
        return "+Inf"
    return str(int(value)) if value == int(value) else repr(float(value))


def _escape_help(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _escape_value(text: str) -> str:
    return _escape_help(text).replace('"', '\\"')
