"""Keeps what is known: looks on at the transactions, numbers what is worth telling, tells the module more.

It holds no socket and no timer: whoever drives it says when, and carries what it tells to others.
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
from brackenusher.membership.frames import MOST_TOLD, decode, encode, worth_most
from brackenusher.upstream.pool import Pool

EACH = 32  # words in one event to the module: its line in a capture stays under 4 KiB
SLIGHT = 0.1  # in log: a lowering that says less changes no ranking, as the module's ties are wider
MOST_SENT = 4096  # requests whose attempts are remembered; those that were given up stay until then
GATHER = 1000.0  # milliseconds between two looks at what was seen
TIDY = 10_000.0  # milliseconds between two tidyings, which pass over all that is held


class Keeper:
    """The knowledge of one proxy. Times are in milliseconds on its clock."""

    def __init__(self, name: str, epoch: int, transactions: Transactions, pool: Pool) -> None:
        self.name, self.epoch, self.transactions, self.pool = name, epoch, transactions, pool
        self.book, self.sightings, self.teller = EvidenceStore(), AttemptOutcomes(), EvidencePublisher()
        self.sent: dict[int, list[str]] = {}  # where the attempts of requests that are not served yet went
        self.posted: dict[
            str, tuple[float, float, float]
        ] = {}  # by backend: start, when, how much it lowered
        self.listed: Callable[[], object] = lambda: None  # called where a new list calls for words
        self.dumped_at, self.dumped, self.tidy_at = -inf, list[bytes](), -inf
        self.told = self.rejected = 0  # words told to the module; records that were none

    def handled(self, now: float, event: face.Event, actions: Sequence[Any]) -> None:
        """An observer of the transactions: note how an attempt ended."""
        if isinstance(event, face.Finished):
            sent = self.sent.get(event.request, ())
            if event.attempt < len(sent):
                self.sightings.on_attempt_end(now, sent[event.attempt], event.outcome)
            if event.complete:
                self.sent.pop(event.request, None)
        elif isinstance(event, face.ListChanged):
            for entry in event.entries:  # those that are new on it have to be told of
                held = entry.state is face.State.LIVE and entry.backend in self.book.by_backend
                if held and self.posted.get(entry.backend, (None,))[0] != entry.started:
                    self.book.changed_backends[entry.backend] = None
            if self.book.changed_backends:
                self.listed()
        for action in actions:
            if isinstance(action, face.Send):
                self.sent.setdefault(action.request, []).append(action.backend)
                if len(self.sent) > MOST_SENT:
                    del self.sent[next(iter(self.sent))]

    def lives(self) -> dict[str, float]:
        """The backends on the list, with when each was born."""
        return {m.name: m.born_ms for m in self.pool.members.values() if m.left_at is None}

    def gather(self, now: float) -> list[Evidence]:
        """What this proxy saw at first hand since the last time and is worth telling."""
        backends = self.transactions.balancer.backends
        seen = first_hand_evidence(backends, self.sightings, self.lives(), self.name, self.epoch)
        news = self.teller.take_updates(seen, now)
        for e in news:
            self.book.merge(e, now)
        if now >= self.tidy_at:
            self.tidy_at = now + TIDY
            self.book.prune(now)
            self.teller.retain(backends)
            self.posted = {name: last for name, last in self.posted.items() if name in backends}
        return news

    def take(self, now: float, records: Iterable[bytes]) -> list[Evidence]:
        """Take up what others tell; what of it was news."""
        news = []
        for record in records:
            try:
                e = decode(record, now)
            except InvalidEvidenceError:
                self.rejected += 1
                continue
            if e.origin == self.name and e.epoch >= self.epoch:
                continue  # nobody knows better what this proxy has seen
            if self.book.merge(e, now):
                news.append(e)
        return news

    def dump(self, now: float, most: int = MOST_TOLD) -> list[bytes]:
        """What of all that is held tells most, with ages; made once a second at most, as it takes long."""
        if now >= self.dumped_at + GATHER:
            self.dumped_at, self.dumped = (
                now,
                [encode(e, now) for e in worth_most(self.book.all_evidence(), now)],
            )
        return self.dumped[:most]

    def advise(self, now: float) -> bool:
        """Tell the module what others say, where that differs from before; whether there is more to tell."""
        changed, members = self.book.changed_backends, self.pool.members
        names = list(islice(changed, BACKENDS_PER_PASS))
        for name in names:
            del changed[name]
        on_list = (members[name] for name in names if name in members)
        lives = {m.name: m.born_ms for m in on_list if m.left_at is None}
        said = self.book.peer_estimates(now, lives, (self.name, self.epoch))
        words = []
        for name, (slower, weight) in said.items():
            started = self.pool.module_time(lives[name])
            of, when, before = self.posted.get(name, (started, now, 0.0))
            left = before * (1 - DECAY_PER_S) ** ((now - when) / 1000.0) if of == started else 0.0
            lowers = max(0.0, slower) * weight
            if abs(lowers - left) > SLIGHT:
                words.append(face.Hearsay(name, started, slower, weight))
                self.posted[name] = started, now, lowers
        self.told += len(words)
        for first in range(0, len(words), EACH):
            self.transactions.post(face.Told(words[first : first + EACH]))
        return bool(changed)
