"""One process's part in the limits that all proxies share: proxy, keeper or warden.

The warden holds the lease of a majority of the keepers (`WardenLease`); it answers the reports of proxies
with credit (`credit_ledger`, `members`). A proxy spends credit, or its base when it is out of touch
(`credit_client`). A machine without I/O; told the time in milliseconds of its own monotonic clock.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random

import msgspec

from barleybarrow.limits import spans
from barleybarrow.limits.bounds import KeyLimit
from barleybarrow.limits.credit_client import CreditClient
from barleybarrow.limits.credit_ledger import CreditLedger
from barleybarrow.limits.lent import LentFraction
from barleybarrow.limits.members import Members
from barleybarrow.limits.messages import (
    CreditAnswer,
    CreditReport,
    Drained,
    KeptRoster,
    Message,
    RosterAsk,
    RosterEntry,
    RosterReply,
    RosterTaken,
    RosterUpdate,
)
from barleybarrow.limits.warden_lease import DRIFT, Here, Promise, Role, Seek, WardenLease

CLEAN_EVERY = 2000.0  # milliseconds between two looks for entries that nobody uses


class Term:
    """What a warden keeps for one term."""

    def __init__(self, now: float, limit_of: Callable[[str], KeyLimit | None], base_life: float) -> None:
        self.lent = LentFraction(now)
        self.members = Members(now, self.lent, base_life)
        self.ledger = CreditLedger(self.lent, limit_of)
        self.replies: dict[str, RosterReply] = {}
        self.began_at = now
        self.version = 0
        self.gathering = False  # the first proxies are waited for, so that their first bases are even
        self.first = False  # whether the plan that is pending is the first of the system
        self.pending: dict[str, float] | None = None  # the plan that keepers are to remember
        self.entries: list[RosterEntry] = []
        self.drained = Drained()
        self.taken: set[str] = set()
        self.roster_at = now
        self.plan_at = now


Word = RosterTaken | RosterReply | Promise


@dataclass(frozen=True, slots=True)
class GivenReply:
    """The newest roster that this keeper has told a new warden."""

    name: str = ""
    reply: RosterReply = RosterReply(0, False, 0, [])


@dataclass(frozen=True, slots=True)
class Untold:
    """Word to a warden or seeker that waits until what it says is stored."""

    name: str
    word: Word
    revision: int


class CreditMachine(WardenLease):
    """All parts of one process. `asks`: it is a proxy. `fresh`: this is the first start of the system."""

    def __init__(
        self,
        name: str,
        keepers: list[str],
        rng: Random,
        now: float,
        limit_of: Callable[[str], KeyLimit | None],
        asks: bool = True,
        fresh: bool = False,
    ) -> None:
        super().__init__(name, keepers, rng, now, spans.LEASE_TIMES)
        self.limit_of = limit_of
        self.may_lead = fresh  # else not before it knows the limits
        self.kept = KeptRoster(fresh, 0, [])
        self.durable = False  # what this keeper remembers is stored before it says so
        self.revision = 0  # of what this keeper remembers: rises with each change in this process
        self.stored_revision = 0
        self.promise_revision = 0  # the revision that first held the newest promise
        self.last_reply = GivenReply()
        self.to_tell: list[Untold] = []  # who is to hear once a revision is stored
        self.client = CreditClient(self.run, now, limit_of) if asks else None
        self.books: Term | None = None
        self.heard: dict[str, float] = {}  # proxies, and when they reported last
        self.clean_at = now + CLEAN_EVERY

    def keepers_changed(self, now: float, keepers: list[str]) -> None:
        """Other keepers. One that is new promises nobody anything for as long as an older lease may last."""
        joins = self.name in keepers and self.name not in self.keepers
        self.keepers = list(keepers)
        if joins:
            self.promised_until = max(self.promised_until, now + self.times.lease * DRIFT)
            self.seek_again(now)
        elif self.name not in keepers and self.role is not Role.PROXY:
            self.give_back()
            self.step_down(now)

    def limits_known(self, now: float) -> None:
        """A configuration is here: without one a warden could grant nothing, while others may have it."""
        if not self.may_lead:
            self.may_lead = True
            self.seek_at = min(self.seek_at, now + self.rng.uniform(0.0, spans.SEEK_AGAIN))

    # The lease

    def elected(self, now: float) -> None:
        base_life = spans.BASE_LIFE_STORED if self.durable else spans.BASE_LIFE
        self.books = Term(now, self.limit_of, base_life)
        self.books.version = self.kept.version
        self.heard.clear()
        self.ask_rosters(now, self.books)
        if self.client is not None:
            self.client.warden_changed(now, self.term)

    def stepped_down(self, now: float) -> None:
        self.books = None
        self.seek_soon(now)

    def freed(self, now: float) -> None:
        if self.role is Role.PROXY:
            self.warden_at = -inf
            self.seek_soon(now)

    def seek_again(self, now: float) -> None:
        """Where the process before this one was the warden, nobody else can be: seek at once."""
        if self.role is Role.PROXY and not self.warden and self.is_remembered(self.name):
            self.warden_at = -inf
            self.seek_at = now

    def seek_soon(self, now: float) -> None:
        """As a keeper: seek when the promise to the warden that went is over."""
        own = self.promised == self.name or (not self.promised and self.is_remembered(self.name))
        free_at = now if own else max(now, self.promised_until)
        self.seek_at = free_at + self.rng.uniform(0.0, spans.SEEK_AGAIN)

    def warden_changed(self, now: float) -> None:
        if self.client is not None:
            self.client.warden_changed(now, self.term)

    def listeners(self, now: float) -> list[str]:
        keepers = set(self.keepers)
        return [
            name
            for name in self.reach
            if name in keepers or now - self.heard.get(name, -inf) > spans.SILENT_HERE
        ]

    def reach_changed(self, now: float, reach: list[str]) -> None:
        """Links came up or went down. A warden greets those that are new; keepers miss one that went."""
        before, self.reach = set(self.reach), list(reach)
        new = set(reach) - before
        if self.books is not None:
            self.books.taken -= new  # one that comes back may have lost what it stored
        lost = self.warden in before and self.warden not in self.reach
        if lost and self.role is Role.PROXY and self.name in self.keepers:
            self.warden_at = -inf
            self.seek_soon(now)
        if self.role is Role.WARDEN and now < self.lease_end:
            self.out.extend((name, Here(self.term)) for name in sorted(new))
        elif self.role is Role.SEEKING:
            self.out.extend((name, Seek(self.run, self.token)) for name in sorted(new & set(self.keepers)))

    def resign(self, now: float, released: bool = False) -> None:
        """Planned end: another warden may follow at once, and others may use what this proxy held.

        `released`: at once; else once no process of its name can have taken it up.
        """
        if self.client is not None and self.warden and self.warden != self.name:
            self.out.append((self.warden, self.client.leave(now, released)))
        if self.role is Role.WARDEN:
            self.give_back()
            self.step_down(now)

    # Time

    def next(self) -> float:
        """When `tick` is to be called."""
        found = min(self.next_of_lease(), self.clean_at)
        if self.client is not None:
            found = min(found, self.client.next(bool(self.warden)))
        if self.books is not None:
            found = min(found, self.books.plan_at)
        return found

    def tick(self, now: float) -> None:
        """Do what is due."""
        self.tick_lease(now)
        if self.books is not None and now >= self.books.plan_at:
            self.tick_books(now, self.books)
        if self.client is not None:
            self.client.tick(now)
            if self.warden and now >= self.client.report_at:
                self.send_report(now, self.client)
            if now >= self.clean_at:
                self.client.clean(now)
        if now >= self.clean_at:
            self.clean_at = now + CLEAN_EVERY

    def send_report(self, now: float, client: CreditClient) -> None:
        report = client.report(now)
        if self.warden != self.name:
            self.out.append((self.warden, report))
            return
        answer = self.answer(now, self.name, report)
        if answer is not None:
            client.answer(now, answer)

    def tick_books(self, now: float, books: Term) -> None:
        books.plan_at = now + spans.PLAN_EVERY
        for name in books.members.silent(now):
            books.ledger.write_off(name)
        books.members.forget(now)
        if now >= books.began_at + spans.CREDIT_LIFE:  # by then all proxies in touch have reported
            books.ledger.floors.lent_changed(books.lent.value)
        books.ledger.clean(now)
        if books.pending is None:
            self.make_plan(now, books)
        elif now >= books.roster_at:
            self.send_roster(now, books)
        if books.pending is None and now >= books.roster_at:
            self.send_to_missing(now, books)
        if not books.members.is_known(now):
            self.ask_rosters(now, books)
            self.read_rosters(now, books)  # other keepers may be a majority since
            answered = sum(name in books.replies for name in self.keepers)
            late = now >= books.began_at + spans.ROSTER_PATIENCE
            books.ledger.floors.unchecked |= late and answered >= self.majority

    # The roster: as the warden

    def ask_rosters(self, now: float, books: Term) -> None:
        if self.name not in books.replies:
            self.reply_roster(now, self.name, self.term)
        for name in self.keepers:
            if name != self.name and name not in books.replies:
                self.out.append((name, RosterAsk(self.term)))

    def read_rosters(self, now: float, books: Term) -> None:
        """A majority that has forgotten nothing knows the most that anybody may hold."""
        replies = [reply for name, reply in books.replies.items() if name in self.keepers]
        books.version = max([books.version, *(reply.version for reply in replies)])
        known = [reply for reply in replies if reply.known]
        if books.members.is_known(now) or len(known) < self.majority:
            return
        version = max(reply.version for reply in known)
        entries: dict[tuple[str, int], RosterEntry] = {}
        for reply in known:
            for entry in reply.entries if reply.version == version else []:
                old = entries.get((entry.name, entry.run))
                if old is None or entry.base > old.base:
                    entries[entry.name, entry.run] = entry
        books.members.adopt(now, list(entries.values()))
        drained = [reply.drained for reply in known if reply.version == version]
        books.ledger.begin_floors(drained[0] if version else Drained(False))
        if version == 0:
            books.gathering = True
            self.commit(now, books, {})  # nobody has granted anything before: buckets may begin full then

    def make_plan(self, now: float, books: Term) -> None:
        if books.gathering and now < books.began_at + spans.GATHER:
            return
        plan = books.members.plan(now)
        if plan is not None:
            self.commit(now, books, plan)
        else:
            self.remember_drained(now, books)

    def remember_drained(self, now: float, books: Term) -> None:
        """Have the keepers remember at once which buckets are needed below their floors."""
        if books.ledger.floors.changed and books.pending is None and books.members.is_known(now):
            self.commit(now, books, books.members.planned)

    def commit(self, now: float, books: Term, plan: dict[str, float]) -> None:
        """Have a majority of the keepers remember a plan before anybody is told of it."""
        books.members.raising = False
        books.first = books.version == 0
        books.pending, books.version = plan, books.version + 1
        books.entries = books.members.roster(plan)
        books.drained = books.ledger.floors.to_remember()
        books.taken = set()
        self.send_roster(now, books)

    def send_roster(self, now: float, books: Term) -> None:
        books.roster_at = now + spans.ROSTER_REPEAT
        self.keep(now, self.name, RosterUpdate(books.version, books.entries, books.drained, self.term))
        for name in self.keepers:
            if name != self.name and name not in books.taken:
                self.out.append((name, RosterUpdate(books.version, books.entries, books.drained, self.term)))

    def send_to_missing(self, now: float, books: Term) -> None:
        """Have keepers that a majority did not wait for, or that came later, remember the roster as well."""
        if not books.taken:
            return  # nothing was planned in this term yet
        books.roster_at = now + spans.ROSTER_REPEAT
        for name in self.keepers:
            if name != self.name and name not in books.taken:
                self.out.append((name, RosterUpdate(books.version, books.entries, books.drained, self.term)))

    def roster_taken(self, now: float, books: Term, name: str, m: RosterTaken) -> None:
        if (m.term, m.version) != (self.term, books.version) or name not in self.keepers:
            return
        books.taken.add(name)
        if books.pending is not None and len(books.taken) >= self.majority:
            books.members.planned, books.members.raising = books.pending, True
            books.pending = None
            books.ledger.floors.remembered()
            if books.first:
                books.ledger.fresh = True

    # The roster: as a keeper

    def reply_roster(self, now: float, name: str, term: int) -> None:
        """Tell a new warden what is kept. From then on it may drain buckets: that is remembered first."""
        kept, last = self.kept, self.last_reply
        if (last.name, last.reply.term, last.reply.version) == (name, term, kept.version):
            reply = last.reply  # asked again: what was kept when the term began
        else:
            reply = RosterReply(term, kept.known, kept.version, kept.entries, kept.drained)
            self.last_reply = GivenReply(name, reply)
        if not kept.drained.all:
            self.remember(msgspec.structs.replace(kept, drained=Drained()))
        self.tell_when_stored(name, reply)
        self.tell_what_is_stored(now)

    def restore(self, now: float, kept: KeptRoster) -> None:
        """Before the start: what an earlier process of this keeper has stored."""
        self.kept, self.remembered = kept, kept.promised
        self.may_lead = self.may_lead or kept.promised == self.name  # nobody else can follow sooner
        if self.name in self.keepers:
            self.seek_again(now)

    def is_remembered(self, name: str) -> bool:
        """A stored promise says something only while the keepers are those of its time."""
        return super().is_remembered(name) and set(self.kept.keepers) == set(self.keepers)

    def promise_made(self, now: float, name: str, token: int) -> None:
        """A new promise is stored before it counts; one that is renewed need not be stored again."""
        if not self.durable:
            self.confirm_promise(now, name, token)
            return
        if self.kept.promised != name or self.kept.keepers != self.keepers:
            self.remember(msgspec.structs.replace(self.kept, promised=name, keepers=list(self.keepers)))
            self.promise_revision = self.revision
        if self.stored_revision >= self.promise_revision:
            self.confirm_promise(now, name, token)
        else:
            self.tell_when_stored(name, Promise(token, True))

    def keep(self, now: float, warden: str, m: RosterUpdate) -> None:
        """Remember a roster, and tell the warden, once it is stored where this keeper stores anything."""
        changed = msgspec.structs.replace(
            self.kept, known=True, version=m.version, entries=m.entries, drained=m.drained
        )
        if changed != self.kept:
            self.remember(changed)
        self.tell_when_stored(warden, RosterTaken(m.version, m.term))
        self.tell_what_is_stored(now)

    def remember(self, kept: KeptRoster) -> None:
        self.kept = kept
        self.revision += 1

    def tell_when_stored(self, name: str, word: Word) -> None:
        others = [old for old in self.to_tell if (old.name, type(old.word)) != (name, type(word))]
        self.to_tell = [*others, Untold(name, word, self.revision)]

    def tell_what_is_stored(self, now: float) -> None:
        if not self.durable or self.stored_revision >= self.revision:
            self.stored(now, self.revision)

    def stored(self, now: float, revision: int) -> None:
        """What this keeper remembers is stored, up to this revision."""
        self.stored_revision = max(self.stored_revision, revision)
        ready = [untold for untold in self.to_tell if untold.revision <= revision]
        self.to_tell = [untold for untold in self.to_tell if untold.revision > revision]
        for untold in ready:
            self.tell(now, untold.name, untold.word)

    def tell(self, now: float, name: str, word: Word) -> None:
        if isinstance(word, Promise):
            self.confirm_promise(now, name, word.token)
        elif name != self.name:
            self.out.append((name, word))
        else:
            self.receive_roster(now, name, word)

    # Messages

    def receive(self, now: float, sender: str, m: Message) -> None:
        """Take a message of another process."""
        if isinstance(m, CreditReport):
            answer = self.answer(now, sender, m)
            if answer is not None:
                self.out.append((sender, answer))
        elif isinstance(m, CreditAnswer):
            if sender == self.warden and self.client is not None:
                self.client.answer(now, m)
        elif isinstance(m, RosterUpdate):
            if sender == self.promised and m.version >= self.kept.version:
                self.keep(now, sender, m)
        elif isinstance(m, RosterAsk):
            self.reply_roster(now, sender, m.term)
        elif isinstance(m, RosterTaken | RosterReply):
            self.receive_roster(now, sender, m)
        else:
            self.receive_lease(now, sender, m)

    def receive_roster(self, now: float, sender: str, m: RosterTaken | RosterReply) -> None:
        books = self.books
        if books is None or now >= self.lease_end:
            return
        if isinstance(m, RosterTaken):
            self.roster_taken(now, books, sender, m)
        elif m.term == self.term:
            books.replies[sender] = m
            self.read_rosters(now, books)

    def answer(self, now: float, sender: str, m: CreditReport) -> CreditAnswer | None:
        """As the warden: book and answer a report; None where it is of another term or too late."""
        books = self.books
        if books is None or now >= self.lease_end or m.term != self.term:
            return None
        if m.leaving:
            if books.members.leave(now, sender, m.run, m.released):
                books.ledger.write_off(sender)
            return None
        heard = books.members.hear(now, sender, m)
        if heard is None:
            return None
        self.heard[sender] = now
        member, new_run = heard
        if new_run:
            books.ledger.write_off(sender)
        void_at = member.answered_at + spans.CREDIT_LIFE * DRIFT
        books.ledger.old_credit_is_over = books.members.old_credit_is_over(now)
        grants = [books.ledger.take(now, sender, item, void_at) for item in m.items]
        self.remember_drained(now, books)
        base = books.members.tell(now, sender, member, m.number)
        given = [grant for grant in grants if grant is not None]
        return CreditAnswer(m.term, m.number, base, given, self.base_life(books))

    def base_life(self, books: Term) -> float:
        """How long a base that is told now counts: longer where every keeper has stored the roster."""
        if self.durable and books.taken.issuperset(self.keepers):
            return spans.BASE_LIFE_STORED
        return spans.BASE_LIFE
