"""Figures of the plug-in: a small protocol, and one way to carry it out with prometheus-client.

They look on and change nothing; a fault in one is logged and costs nobody an answer.
"""

from collections.abc import Callable
from typing import Any, Protocol

from barleybarrow.interface import Outcome
from brackenusher.core.transaction import (
    Answer,
    Attempt,
    Observers,
    Refused,
    Served,
    Transaction,
    Transactions,
)
from brackenusher.fronts.rpc.config import RpcConfig

BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)  # seconds


class Metrics(Protocol):
    """What a collector of figures is told. Spans are in milliseconds; words are from small fixed sets."""

    def answered(self, target: str, klass: str, answer: str, span: float, attempts: int) -> None:
        """A call has its answer: served, refused, failed, or left (the caller gave it up)."""

    def attempted(self, target: str, klass: str, outcome: str, span: float) -> None:
        """An attempt has ended, with an outcome of the module's interface."""

    def turned_away(self, target: str, reason: str) -> None:
        """A call was not taken: room (too many open) or list (no list came in its time)."""


def look_on(metrics: Metrics, config: RpcConfig, owner: Transactions) -> Observers:
    """Observers that tell the metrics of what happens to the transactions."""
    names, target = [c.name for c in config.settings.classes], config.target

    def answered(transaction: Transaction, answer: Answer | None) -> None:
        word = "left" if answer is None else "failed"
        if isinstance(answer, Served):
            word = "served"
        elif isinstance(answer, Refused):
            word = "refused"
        span = owner.clock() - transaction.arrived
        metrics.answered(target, names[transaction.klass], word, span, len(transaction.attempts))

    def turned_away(request: Any, verdict: str) -> None:
        metrics.turned_away(target, verdict.partition(" ")[0])

    return Observers(answered=(answered,), turned_away=(turned_away,))


def look_on_attempts(
    metrics: Metrics, config: RpcConfig, clock: Callable[[], float]
) -> Callable[[Attempt, Outcome], None]:
    """What the host is to call at the end of each attempt."""
    names, target = [c.name for c in config.settings.classes], config.target

    def attempted(attempt: Attempt, outcome: Outcome) -> None:
        metrics.attempted(target, names[attempt.transaction.klass], outcome.value, clock() - attempt.sent_at)

    return attempted


class PrometheusMetrics:
    """Metrics as counters and histograms of prometheus-client.

    One for a registry: prometheus-client refuses names that are there twice. Labels are the target, the class
    and words from fixed sets, so their number is bounded by the configuration.
    """

    def __init__(self, registry: Any = None, prefix: str = "brackenusher_rpc") -> None:
        import prometheus_client

        where: dict[str, Any] = {} if registry is None else {"registry": registry}
        make: Callable[..., Any] = prometheus_client.Counter
        self.calls = make(f"{prefix}_calls", "Calls by their answer", ["target", "class", "answer"], **where)
        self.attempts = make(
            f"{prefix}_attempts", "Attempts by outcome", ["target", "class", "outcome"], **where
        )
        self.away = make(f"{prefix}_turned_away", "Calls that were not taken", ["target", "reason"], **where)
        self.spans = prometheus_client.Histogram(
            f"{prefix}_call_seconds", "From call to answer", ["target", "class"], buckets=BUCKETS, **where
        )

    def answered(self, target: str, klass: str, answer: str, span: float, attempts: int) -> None:
        self.calls.labels(target, klass, answer).inc()
        self.spans.labels(target, klass).observe(span / 1000.0)

    def attempted(self, target: str, klass: str, outcome: str, span: float) -> None:
        self.attempts.labels(target, klass, outcome).inc()

    def turned_away(self, target: str, reason: str) -> None:
        self.away.labels(target, reason).inc()
