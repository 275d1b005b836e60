"""Keeps what is known: looks on at the transactions, numbers what is worth telling, tells the module more.

It holds no socket and no timer: whoever drives it says when, and carries what it tells to others.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from barleybarrow import interface as face
from barleybarrow.knowledge import FADE, Absurd, Book, Evidence, Sightings, Teller, first_hand
from brackenusher.core.transaction import Transactions
from brackenusher.membership.frames import decode, encode, worth_most
from brackenusher.upstream.pool import Pool

EACH = 32  # words in one event to the module: its line in a capture stays under 4 KiB
SLIGHT = 0.1  # in log: a lowering that says less changes no ranking, as the module's ties are wider
MOST_SENT = 4096  # requests whose attempts are remembered; those that were given up stay until then
GATHER = 1000.0  # milliseconds between two looks at what was seen, and at most one a millisecond a backend


class Keeper:
    """The knowledge of one proxy. Times are in milliseconds on its clock."""

    def __init__(self, name: str, epoch: int, transactions: Transactions, pool: Pool) -> None:
        self.name, self.epoch, self.transactions, self.pool = name, epoch, transactions, pool
        self.book, self.sightings, self.teller = Book(), Sightings(), Teller()
        self.sent: dict[int, list[str]] = {}  # where the attempts of requests that are not served yet went
        self.posted: dict[
            str, tuple[float, float, float]
        ] = {}  # by backend: start, when, how much it lowered
        self.listed: Callable[[], object] = lambda: None  # called where the list has changed
        self.told = self.rejected = 0  # words told to the module; records that were none

    def handled(self, now: float, event: face.Event, actions: Sequence[Any]) -> None:
        """An observer of the transactions: note how an attempt ended."""
        if isinstance(event, face.Finished):
            sent = self.sent.get(event.request, ())
            if event.attempt < len(sent):
                self.sightings.ended(now, sent[event.attempt], event.outcome)
            if event.complete:
                self.sent.pop(event.request, None)
        elif isinstance(event, face.ListChanged):
            self.listed()
        for action in actions:
            if isinstance(action, face.Send):
                self.sent.setdefault(action.request, []).append(action.backend)
                if len(self.sent) > MOST_SENT:
                    del self.sent[next(iter(self.sent))]

    def lives(self) -> dict[str, float]:
        """The backends on the list, with when each was born."""
        return {m.name: m.born_ms for m in self.pool.members.values() if m.left_at is None}

    def span(self) -> float:
        """Milliseconds until it is worth looking again."""
        return max(GATHER, float(len(self.pool.members)))

    def gather(self, now: float) -> list[Evidence]:
        """What this proxy saw at first hand since the last time and is worth telling."""
        backends = self.transactions.balancer.backends
        seen = first_hand(backends, self.sightings, self.lives(), self.name, self.epoch)
        news = self.teller.news(seen, now)
        for e in news:
            self.book.merge(e, now)
        self.book.prune(now)
        return news

    def take(self, now: float, records: Iterable[bytes]) -> list[Evidence]:
        """Take up what others tell; what of it was news."""
        news = []
        for record in records:
            try:
                e = decode(record, now)
            except Absurd:
                self.rejected += 1
                continue
            if e.origin == self.name and e.epoch >= self.epoch:
                continue  # nobody knows better what this proxy has seen
            if self.book.merge(e, now):
                news.append(e)
        return news

    def dump(self, now: float, most: int | None = None) -> list[bytes]:
        """All that is held, or what of it tells most, with ages."""
        held: Iterable[Evidence] = self.book.all()
        return [encode(e, now) for e in (held if most is None else worth_most(held, now, most))]

    def advise(self, now: float, anew: bool = False) -> None:
        """Tell the module what others say, where it differs from what it was told; `anew` of all backends."""
        lives = self.lives()
        names = lives if anew else [name for name in self.book.changed if name in lives]
        said = self.book.hearsay(now, {name: lives[name] for name in names}, (self.name, self.epoch))
        self.book.changed.clear()
        self.posted = {name: last for name, last in self.posted.items() if name in lives}
        words = []
        for name, (slower, weight) in said.items():
            started = self.pool.module_time(lives[name])
            of, when, before = self.posted.get(name, (started, now, 0.0))
            left = before * (1 - FADE) ** ((now - when) / 1000.0) if of == started else 0.0
            lowers = max(0.0, slower) * weight
            if abs(lowers - left) > SLIGHT:
                words.append(face.Hearsay(name, started, slower, weight))
                self.posted[name] = started, now, lowers
        self.told += len(words)
        for first in range(0, len(words), EACH):
            self.transactions.post(face.Told(words[first : first + EACH]))
