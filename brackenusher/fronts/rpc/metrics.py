"""Metrics of the RPC plug-in: a small protocol, and its implementation with prometheus-client.

Collectors observe and change nothing; their exceptions are logged and do not affect calls.
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

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)  # seconds


class Metrics(Protocol):
    """Interface of a metrics collector. Times are in milliseconds; labels are from small fixed sets."""

    def answered(self, target: str, klass: str, answer: str, span: float, attempts: int) -> None:
        """A call has ended: served, refused, failed, or left (cancelled by the caller)."""

    def attempted(self, target: str, klass: str, outcome: str, span: float) -> None:
        """An attempt has ended, with an outcome of the policy's interface."""

    def turned_away(self, target: str, reason: str) -> None:
        """A call was rejected: room (too many are open) or list (no list of servers arrived in time)."""


def transaction_observers(metrics: Metrics, config: RpcConfig, transactions: Transactions) -> Observers:
    """Observers that report the ends of transactions to the collector."""
    names, target = [c.name for c in config.settings.classes], config.target

    def answered(transaction: Transaction, answer: Answer | None) -> None:
        label = "left" if answer is None else "failed"
        if isinstance(answer, Served):
            label = "served"
        elif isinstance(answer, Refused):
            label = "refused"
        duration_ms = transactions.clock() - transaction.arrived
        metrics.answered(
            target, names[transaction.class_index], label, duration_ms, len(transaction.attempts)
        )

    def turned_away(request: Any, verdict: str) -> None:
        metrics.turned_away(target, verdict.partition(" ")[0])

    return Observers(on_answer=(answered,), on_denial=(turned_away,))


def attempt_observer(
    metrics: Metrics, config: RpcConfig, clock: Callable[[], float]
) -> Callable[[Attempt, Outcome], None]:
    """Callback for the end of each attempt."""
    names, target = [c.name for c in config.settings.classes], config.target

    def attempted(attempt: Attempt, outcome: Outcome) -> None:
        metrics.attempted(
            target, names[attempt.transaction.class_index], outcome.value, clock() - attempt.sent_at
        )

    return attempted


class PrometheusMetrics:
    """Metrics as counters and histograms of prometheus-client.

    Create one per registry: prometheus-client rejects duplicate names. Labels are the target, the class and
    values from fixed sets, so the configuration bounds their cardinality.
    """

    def __init__(self, registry: Any = None, prefix: str = "brackenusher_rpc") -> None:
        import prometheus_client

        options: dict[str, Any] = {} if registry is None else {"registry": registry}
        counter: Callable[..., Any] = prometheus_client.Counter
        self.calls = counter(
            f"{prefix}_calls", "Calls by their answer", ["target", "class", "answer"], **options
        )
        self.attempts = counter(
            f"{prefix}_attempts", "Attempts by outcome", ["target", "class", "outcome"], **options
        )
        self.rejections = counter(
            f"{prefix}_turned_away", "Calls that were not taken", ["target", "reason"], **options
        )
        self.durations = prometheus_client.Histogram(
            f"{prefix}_call_seconds",
            "From call to answer",
            ["target", "class"],
            buckets=LATENCY_BUCKETS_S,
            **options,
        )

    def answered(self, target: str, klass: str, answer: str, span: float, attempts: int) -> None:
        self.calls.labels(target, klass, answer).inc()
        self.durations.labels(target, klass).observe(span / 1000.0)

    def attempted(self, target: str, klass: str, outcome: str, span: float) -> None:
        self.attempts.labels(target, klass, outcome).inc()

    def turned_away(self, target: str, reason: str) -> None:
        self.rejections.labels(target, reason).inc()
