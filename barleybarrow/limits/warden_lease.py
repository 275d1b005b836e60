"""One warden at a time: a lease that a majority of the keepers grants (PaxosLease: Trencseni, 2009).

A machine without I/O, told the time in milliseconds of its own monotonic clock. A keeper promises itself to
one seeker for a while; who has the promises of a majority is the warden until the lease ends, which counts
from its question.

| role | what it does | leaves it |
| --- | --- | --- |
| PROXY | waits for a warden | a keeper that hears of no warden: SEEKING |
| SEEKING | asks all keepers for a lease | a majority says yes: WARDEN; it is late, or one is heard: PROXY |
| WARDEN | renews its lease | it is not renewed in time: PROXY |

Subclasses say what a warden does, and what those who hear one do.
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random
from typing import Annotated, Any

from msgspec import Meta, Struct

DRIFT = 1.05  # two monotonic clocks do not differ by more over such spans

Token = Annotated[int, Meta(ge=0, lt=2**62)]


class Seek(Struct, array_like=True, frozen=True, tag=1):
    """Promise to take nobody else for the warden for the lease's time; with `give`, take that back."""

    run: Token  # of the process; its tokens grow
    token: Token
    give: bool = False


class Promise(Struct, array_like=True, frozen=True, tag=2):
    """A keeper's answer to a Seek."""

    token: Token
    good: bool


class Here(Struct, array_like=True, frozen=True, tag=3):
    """I am the warden; each time that one becomes it has a term of its own."""

    term: Token


class Role(Enum):
    """What a process is in the lease."""

    PROXY = "proxy"
    SEEKING = "seeking"
    WARDEN = "warden"


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Spans of the lease, in milliseconds."""

    lease: float = 3000.0  # that a keeper promises itself to one warden
    renew: float = 1000.0  # between two renewals
    seek: float = 600.0  # until a seeker gives up
    here: float = 300.0  # between two words of a warden
    no_warden: float = 1200.0  # of silence, until a keeper seeks


class WardenLease:
    """A process's part in the lease: keeper, seeker, warden, or one that only hears of wardens."""

    def __init__(self, name: str, keepers: list[str], rng: Random, now: float, times: LeaseTimes) -> None:
        self.name, self.keepers, self.rng, self.times = name, keepers, rng, times
        self.reach: list[str] = []
        self.out: list[tuple[str, Any]] = []
        self.counts: Counter[str] = Counter()
        self.warden, self.term, self.warden_at = "", 0, now
        self.promised, self.promised_until = "", now + times.lease * DRIFT  # it may have before it started
        self.promised_for = (0, 0)  # run and token of the question
        self.may_lead = True  # whether this process can do what a warden does
        self.gives_way = (
            False  # another had better: this one leads something else, and both would be lost at once
        )
        self._gave_way = False  # once, since a warden was heard
        self.remembered = ""  # whom the process before this one had promised itself to; "": not known
        self.role = Role.PROXY
        self.run, self.token, self.token_at = rng.getrandbits(60), rng.getrandbits(40), -inf
        self.promises: set[str] = set()
        self.lease_end = -inf
        self.here_at = self.renew_at = -inf
        self.seek_at = now + self.patience()

    # What subclasses say

    def elected(self, now: float) -> None:
        """This process is the warden from now on."""

    def stepped_down(self, now: float) -> None:
        """This process seeks no longer, or is the warden no longer."""

    def warden_changed(self, now: float) -> None:
        """Another warden was heard, or another term of the same."""

    def freed(self, now: float) -> None:
        """As a keeper: the one that this process was promised to gave the promise back."""

    def listeners(self, now: float) -> list[str]:
        """Whom a warden tells that it is there."""
        return self.reach

    def promise_made(self, now: float, name: str, token: int) -> None:
        """As a keeper: this process has promised itself to this seeker, which may be told now."""
        self.confirm_promise(now, name, token)

    def is_remembered(self, name: str) -> bool:
        """Whether an earlier process of this keeper is known to have promised itself to nobody else."""
        return bool(name) and name == self.remembered

    # Time

    def patience(self) -> float:
        return self.times.no_warden + self.rng.uniform(0.0, self.times.no_warden)

    @property
    def majority(self) -> int:
        return len(self.keepers) // 2 + 1

    def next_of_lease(self) -> float:
        """When the lease has something to do next."""
        if self.role is Role.WARDEN:
            return min(self.seek_at, self.here_at, self.renew_at, self.lease_end)
        return self.seek_at

    def tick_lease(self, now: float) -> None:
        if self.role is Role.WARDEN:
            self.tick_warden(now)
        if now < self.seek_at:
            return
        self.seek_at = now + self.patience()
        if self.role is Role.SEEKING:
            self.step_down(now)
        elif self.role is Role.PROXY and self.name in self.keepers and self.may_lead:
            if now - self.warden_at >= self.times.no_warden:
                self.seek_now(now)

    def seek_now(self, now: float) -> None:
        """Ask for the lease, or leave it to others for a while; whoever held it before gets it soonest."""
        if self.gives_way and not self._gave_way and not self.is_remembered(self.name):
            self._gave_way = True
            self.seek_at = now + self.times.no_warden
            return
        self.role = Role.SEEKING
        self.seek_at = now + self.times.seek
        self.ask_keepers(now)

    def tick_warden(self, now: float) -> None:
        if now >= self.lease_end:
            self.counts["leases_lost"] += 1
            self.step_down(now)
            return
        if now >= self.renew_at:
            self.renew_at = now + self.times.renew
            self.ask_keepers(now)
        if now >= self.here_at:
            self.here_at = now + self.times.here
            for name in self.listeners(now):
                self.out.append((name, Here(self.term)))

    def step_down(self, now: float) -> None:
        if self.role is Role.SEEKING:
            self.give_back()
        if self.promised == self.name:
            self.promised_until = now
        self.role, self.warden = Role.PROXY, ""
        self.seek_at = now + self.patience()
        self.stepped_down(now)

    def give_back(self) -> None:
        """Free the keepers that have promised themselves to this process."""
        for name in self.keepers:
            if name != self.name:
                self.out.append((name, Seek(self.run, self.token, True)))

    # The lease

    def ask_keepers(self, now: float) -> None:
        self.token, self.token_at = self.token + 1, now
        self.promises = set()
        if self.promise(now, self.name, (self.run, self.token)):
            self.promise_made(now, self.name, self.token)
        for name in self.keepers:
            if name != self.name:
                self.out.append((name, Seek(self.run, self.token)))

    def confirm_promise(self, now: float, name: str, token: int) -> None:
        """Tell a seeker, which may be this process, that this keeper has promised itself to it."""
        if name != self.name:
            self.out.append((name, Promise(token, True)))
        elif token == self.token:
            self.promises.add(name)
            self.count(now)

    def promise(self, now: float, name: str, what: tuple[int, int]) -> bool:
        """As a keeper: whether this one is promised to nobody else; an old question changes nothing."""
        old = self.promised == name and self.promised_for[0] == what[0] and what[1] <= self.promised_for[1]
        holder = self.promised or (name if self.is_remembered(name) else "")
        if old or (now < self.promised_until and holder != name):
            return False
        self.promised, self.promised_for = name, what
        self.promised_until = now + self.times.lease * DRIFT
        return True

    def count(self, now: float) -> None:
        if len(self.promises) < self.majority or self.role is Role.PROXY:
            return
        self.lease_end = self.token_at + self.times.lease
        if self.role is Role.SEEKING and now < self.lease_end:
            self.role, self.warden = Role.WARDEN, self.name
            self.term = self.token
            self.counts["elected"] += 1
            self.renew_at, self.here_at = self.token_at + self.times.renew, now
            self.elected(now)

    # Messages

    def receive_lease(self, now: float, sender: str, m: Seek | Promise | Here) -> None:
        if isinstance(m, Seek):
            self.sought(now, sender, m)
        elif isinstance(m, Promise):
            if m.token == self.token and m.good and sender in self.keepers:
                self.promises.add(sender)
                self.count(now)
        else:
            self.heard_warden(now, sender, m.term)

    def sought(self, now: float, sender: str, m: Seek) -> None:
        if self.name not in self.keepers or sender not in self.keepers:
            return
        if not m.give:
            if self.promise(now, sender, (m.run, m.token)):
                self.promise_made(now, sender, m.token)
            else:
                self.out.append((sender, Promise(m.token, False)))
        elif self.promised == sender and self.promised_for == (m.run, m.token):
            self.promised_until = now
            self.freed(now)

    def heard_warden(self, now: float, sender: str, term: int) -> None:
        self._gave_way = False
        if self.role is Role.SEEKING:
            self.step_down(now)
        if self.role is Role.PROXY:
            if (sender, term) != (self.warden, self.term):
                self.warden, self.term = sender, term
                self.warden_changed(now)
            self.warden_at = now
