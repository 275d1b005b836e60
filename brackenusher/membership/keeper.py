"""Observes attempts, publishes the evidence from them, and passes peers' estimates to the policy.

It has no sockets and no timers: the driver calls it at intervals and sends what it returns to the peers.
"""

from collections.abc import Callable, Iterable, Sequence
from itertools import islice
from math import inf
from typing import Any

from barleybarrow import interface as face
from barleybarrow.knowledge import (
    BACKENDS_PER_PASS,
    DECAY_PER_S,
    AttemptOutcomes,
    Evidence,
    EvidencePublisher,
    EvidenceStore,
    InvalidEvidenceError,
    first_hand_evidence,
)
from brackenusher.core.transaction import Transactions
from brackenusher.membership.frames import MAX_REPLY_RECORDS, decode, encode, most_informative
from brackenusher.upstream.pool import Pool

ESTIMATES_PER_EVENT = 32  # keeps the event's line in a capture under 4 KiB
MIN_LOG_CHANGE = 0.1  # natural log; smaller changes alter no ranking, as the policy's ties are wider
MAX_TRACKED_REQUESTS = 4096  # abandoned requests stay until they are evicted
GATHER_INTERVAL_MS = 1000.0
CLEANUP_INTERVAL_MS = 10_000.0  # a clean-up iterates over all evidence


class Keeper:
    """Shared knowledge of one proxy. Times are milliseconds of its clock."""

    def __init__(self, name: str, epoch: int, transactions: Transactions, pool: Pool) -> None:
        self.name, self.epoch, self.transactions, self.pool = name, epoch, transactions, pool
        self.store, self.outcomes, self.publisher = EvidenceStore(), AttemptOutcomes(), EvidencePublisher()
        self.attempts: dict[int, list[str]] = {}  # backends of the attempts of unfinished requests
        # by backend: its start time, when the estimate was posted, and the log cost posted
        self.last_estimates: dict[str, tuple[float, float, float]] = {}
        self.on_list_changed: Callable[[], object] = lambda: None  # called if a new list requires estimates
        self.dump_encoded_at, self.encoded_dump, self.next_cleanup_at = -inf, list[bytes](), -inf
        self.estimates_posted = self.invalid_records = 0

    def on_event(self, now: float, event: face.Event, actions: Sequence[Any]) -> None:
        """Observe a transaction: record the outcomes of attempts."""
        if isinstance(event, face.Finished):
            sent = self.attempts.get(event.request, ())
            if event.attempt < len(sent):
                self.outcomes.on_attempt_end(now, sent[event.attempt], event.outcome)
            if event.complete:
                self.attempts.pop(event.request, None)
        elif isinstance(event, face.ListChanged):
            for entry in event.entries:  # the policy has no estimate yet for new entries
                held = entry.state is face.State.LIVE and entry.backend in self.store.by_backend
                if held and self.last_estimates.get(entry.backend, (None,))[0] != entry.started:
                    self.store.changed_backends[entry.backend] = None
            if self.store.changed_backends:
                self.on_list_changed()
        for action in actions:
            if isinstance(action, face.Send):
                self.attempts.setdefault(action.request, []).append(action.backend)
                if len(self.attempts) > MAX_TRACKED_REQUESTS:
                    del self.attempts[next(iter(self.attempts))]

    def birth_times(self) -> dict[str, float]:
        """Start times of the listed backends."""
        return {m.name: m.born_ms for m in self.pool.members.values() if m.left_at is None}

    def gather(self, now: float) -> list[Evidence]:
        """Return this proxy's own observations since the last call that are significant."""
        backends = self.transactions.balancer.backends
        observed = first_hand_evidence(backends, self.outcomes, self.birth_times(), self.name, self.epoch)
        updates = self.publisher.take_updates(observed, now)
        for e in updates:
            self.store.merge(e, now)
        if now >= self.next_cleanup_at:
            self.next_cleanup_at = now + CLEANUP_INTERVAL_MS
            self.store.prune(now)
            self.publisher.retain(backends)
            self.last_estimates = {
                name: last for name, last in self.last_estimates.items() if name in backends
            }
        return updates

    def take(self, now: float, records: Iterable[bytes]) -> list[Evidence]:
        """Merge records of peers; return the evidence that was new."""
        updates = []
        for record in records:
            try:
                e = decode(record, now)
            except InvalidEvidenceError:
                self.invalid_records += 1
                continue
            if e.origin == self.name and e.epoch >= self.epoch:
                continue  # an echo of this proxy's own evidence
            if self.store.merge(e, now):
                updates.append(e)
        return updates

    def dump(self, now: float, max_records: int = MAX_REPLY_RECORDS) -> list[bytes]:
        """The most informative evidence as records; cached for a second, as encoding is slow."""
        if now >= self.dump_encoded_at + GATHER_INTERVAL_MS:
            self.dump_encoded_at, self.encoded_dump = (
                now,
                [encode(e, now) for e in most_informative(self.store.all_evidence(), now)],
            )
        return self.encoded_dump[:max_records]

    def advise(self, now: float) -> bool:
        """Pass changed estimates of one batch of backends to the policy; return whether more remain."""
        changed, members = self.store.changed_backends, self.pool.members
        names = list(islice(changed, BACKENDS_PER_PASS))
        for name in names:
            del changed[name]
        on_list = (members[name] for name in names if name in members)
        births = {m.name: m.born_ms for m in on_list if m.left_at is None}
        estimates_by_backend = self.store.peer_estimates(now, births, (self.name, self.epoch))
        estimates = []
        for name, (slower, weight) in estimates_by_backend.items():
            started = self.pool.policy_time(births[name])
            estimated_start, when, before = self.last_estimates.get(name, (started, now, 0.0))
            remaining = (
                before * (1 - DECAY_PER_S) ** ((now - when) / 1000.0) if estimated_start == started else 0.0
            )
            log_cost = max(0.0, slower) * weight
            if abs(log_cost - remaining) > MIN_LOG_CHANGE:
                estimates.append(face.Hearsay(name, started, slower, weight))
                self.last_estimates[name] = started, now, log_cost
        self.estimates_posted += len(estimates)
        for first in range(0, len(estimates), ESTIMATES_PER_EVENT):
            self.transactions.post(face.Told(estimates[first : first + ESTIMATES_PER_EVENT]))
        return bool(changed)
