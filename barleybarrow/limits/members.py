"""The proxies that a warden knows, and the base of each: a fixed part of every limit; they add up to one.

A base is only raised once a majority of the keepers remembers the new roster, so that the next warden knows
the most that anybody may hold, also of those it can't reach. It is lowered by telling the proxy; what is
freed counts only when the proxy has said that it heard. A base belongs to a name for its whole life: a
proxy that starts anew out of touch may take up what the process before it held (`predecessors`), so that a
part which was held within that time stays reserved for its name. No I/O; told the time in milliseconds.
"""

from dataclasses import dataclass, field

from barleybarrow.limits import spans
from barleybarrow.limits.lent import LentFraction
from barleybarrow.limits.messages import CreditReport, RosterEntry
from barleybarrow.limits.warden_lease import DRIFT

MOST_TOLD = 64  # answers that a proxy may still apply; it keeps as many questions
SAME_BASE = 0.02  # of a base: a smaller change is not worth a new roster
ROUNDING = 1e-9


@dataclass(slots=True)
class Told:
    """One answer to a proxy."""

    at: float
    base: float


@dataclass(slots=True)
class Member:
    """One proxy."""

    run: int
    answered_at: float  # when it was answered last; nothing that it holds counts from later
    held: float = 0.0  # the most that its base may be
    floor: float = 0.0  # the most that a process of this name held within the life of a base
    floor_until: float = 0.0
    left: bool = False  # it has ended in order; what it held may be taken up by the next of its name
    base: float = 0.0  # as it said itself
    number: int = 0
    applied: int = 0
    heard_at: float = 0.0
    told: dict[int, Told] = field(default_factory=dict)
    retired: set[int] = field(default_factory=set)  # earlier runs: their reports come too late
    written_off: bool = False

    @property
    def reserve(self) -> float:
        """The part of each limit that no other name may be given."""
        return max(self.held, self.floor)


class Members:
    """All proxies of one term."""

    def __init__(self, now: float, lent: LentFraction, base_life: float) -> None:
        self.lent, self.base_life = lent, base_life
        # Nobody unknown holds a base from then on: one lasts longer only while all keepers know the roster.
        self.known_at = now + spans.BASE_LIFE * DRIFT
        self.members: dict[str, Member] = {}
        self.held = 0.0  # reserved for all together
        self.left: dict[str, int] = {}  # runs that have said that they end
        self.planned: dict[str, float] = {}  # bases that may be told
        self.raising = False  # whether a base may be raised to what is planned
        self.credit_over_at = now + spans.CREDIT_LIFE * DRIFT  # then no credit of the term before is left
        self.may_hold_credit: set[str] | None = None  # proxies that may hold such credit; None: not known

    def is_known(self, now: float) -> bool:
        """Whether everybody who may hold a base is a member."""
        return now >= self.known_at

    def old_credit_is_over(self, now: float) -> bool:
        """Whether all credit of the term before is spent or void: its time is over, or its holders ended.

        A proxy that joined within the last moments of that term is not in the roster; the margin of the
        bounds covers the little that it may hold.
        """
        return now >= self.credit_over_at or self.may_hold_credit == set()

    def adopt(self, now: float, entries: list[RosterEntry]) -> None:
        """Take what a majority of the keepers remembers; it is complete."""
        self.may_hold_credit = {entry.name for entry in entries if not self.has_restarted(entry)}
        for entry in entries:
            member = self.members.get(entry.name)
            if member is None:
                member = self.members[entry.name] = Member(entry.run, now)
                self.set_held(member, entry.base)
            elif member.run == entry.run:
                self.set_held(member, max(member.held, entry.base))
            else:
                self.keep_floor(member, entry.base, now + self.base_life * DRIFT)
        self.known_at = now
        self.refresh_free(now)

    def has_restarted(self, entry: RosterEntry) -> bool:
        member = self.members.get(entry.name)
        return member is not None and member.run != entry.run

    def ended(self, name: str) -> None:
        """The process of this name that the term before knew has ended."""
        if self.may_hold_credit is not None:
            self.may_hold_credit.discard(name)

    def set_held(self, member: Member, held: float, now: float | None = None) -> None:
        """The most that this process may hold. What it held before stays reserved where `now` is given."""
        before = member.reserve
        if now is not None and held < member.held:
            member.floor = before
            member.floor_until = now + self.base_life * DRIFT
        member.held = held
        self.held += member.reserve - before

    def keep_floor(self, member: Member, floor: float, until: float) -> None:
        """Processes of this name may hold so much until then."""
        before = member.reserve
        member.floor, member.floor_until = max(member.floor, floor), max(member.floor_until, until)
        self.held += member.reserve - before

    def refresh_free(self, now: float) -> None:
        free = max(0.0, 1.0 - self.held) if self.is_known(now) else 0.0
        if abs(free - self.lent.free) > ROUNDING:
            self.lent.set_free(now, free)

    # Reports

    def hear(self, now: float, name: str, m: CreditReport) -> tuple[Member, bool] | None:
        """Book a report; the member and whether it is another run than before. None: it comes too late."""
        if self.left.get(name) == m.run:
            return None
        member = self.members.get(name)
        new_run = member is not None and member.run != m.run
        if member is None:
            member = self.members[name] = Member(m.run, now, held=0.0)
        elif new_run:
            if m.run in member.retired:
                return None
            member = self.restarted(now, name, member, m.run)
        if m.number <= member.number:
            return None
        member.number, member.heard_at, member.base = m.number, now, m.base
        member.written_off = False
        self.apply(now, name, member, m)
        return member, new_run

    def leave(self, now: float, name: str, run: int, released: bool) -> bool:
        """A process ends and uses nothing more; whether it was a member.

        `released`: no peer remembers what it held, so the next process of its name can't take it up.
        """
        member = self.members.get(name)
        if member is None or member.run != run:
            return False
        self.left[name] = run
        self.ended(name)
        self.lent.drop(now, name)
        self.planned.pop(name, None)
        if released:
            self.held -= member.reserve
            del self.members[name]
        else:
            self.set_held(member, 0.0, now)
            member.left = True
        self.refresh_free(now)
        return True

    def restarted(self, now: float, name: str, old: Member, run: int) -> Member:
        """The process before has ended; what it held may have been taken up by one of its name."""
        self.ended(name)
        self.lent.drop(now, name)
        self.held -= old.reserve
        member = self.members[name] = Member(run, now)
        self.keep_floor(member, old.reserve, max(old.floor_until, old.answered_at + self.base_life * DRIFT))
        member.retired = {*old.retired, old.run}
        return member

    def apply(self, now: float, name: str, member: Member, m: CreditReport) -> None:
        """It has applied an answer: what it was told before counts no longer."""
        told = member.told.get(m.applied)
        if told is not None and m.applied >= member.applied:
            member.applied = m.applied
            for number in [number for number in member.told if number < m.applied]:
                del member.told[number]
            later = [other.base for number, other in member.told.items() if number > m.applied]
            self.set_held(member, max([m.base, *later]), now)
            self.lent.lend(now, name, member.reserve, told.at + spans.FALL / DRIFT)
        else:
            self.set_held(member, max(member.held, m.base))
        self.refresh_free(now)

    def base_for(self, member: Member, name: str) -> float:
        """What a proxy is to be told."""
        planned = self.planned.get(name, 0.0 if self.planned else member.base)
        return planned if self.raising else min(planned, member.reserve)

    def tell(self, now: float, name: str, member: Member, number: int) -> float:
        """The base that goes with the answer to this report."""
        base = self.base_for(member, name)
        member.told[number] = Told(now, base)
        member.answered_at = now
        while len(member.told) > MOST_TOLD:
            del member.told[next(iter(member.told))]
        if base > member.held:
            # It has no base to use until it has been without an answer for FALL, unless it may take one up.
            unused = member.held <= 0.0 and member.floor <= 0.0
            self.set_held(member, base)
            if unused:
                self.lent.lend(now, name, member.reserve, now + spans.FALL / DRIFT)
            self.refresh_free(now)
        return base

    # Time

    def silent(self, now: float) -> list[str]:
        """Proxies whose credit is over because they were not answered for so long; each is named once."""
        found = []
        for name, member in self.members.items():
            if not member.written_off and now > member.answered_at + spans.CREDIT_LIFE * DRIFT:
                member.written_off = True
                found.append(name)
        return found

    def forget(self, now: float) -> None:
        """A base is void after its life; so is what is known of its holder."""
        for name, member in list(self.members.items()):
            if member.floor and now >= member.floor_until:
                self.end_floor(now, name, member)
            if now > member.answered_at + self.base_life * DRIFT and not member.floor:
                self.held -= member.reserve
                self.lent.drop(now, name)
                del self.members[name]
                self.planned.pop(name, None)
        self.refresh_free(now)

    def end_floor(self, now: float, name: str, member: Member) -> None:
        """What earlier processes of this name held is void: the name lends only what is held now."""
        before, member.floor = member.reserve, 0.0
        self.held += member.reserve - before
        loan = self.lent.lent.get(name)
        if loan is not None:
            self.lent.lend(now, name, member.reserve, loan[1])

    # Plans

    def plan(self, now: float) -> dict[str, float] | None:
        """Even bases, as far as others have given up theirs; None where nothing is to change."""
        if not self.is_known(now) or not self.members:
            return None
        there_to_stay = {name: member for name, member in self.members.items() if not member.left}
        target = 1.0 / max(1, len(there_to_stay))
        plan: dict[str, float] = {}
        growing = []
        for name, member in there_to_stay.items():
            plan[name] = min(member.reserve, target)
            if member.reserve < target and not member.written_off:
                growing.append((name, member))
        there = max(0.0, 1.0 - self.held)
        for at, (name, member) in enumerate(growing):
            more = min(target - member.reserve, there / (len(growing) - at))
            plan[name] = member.reserve + more
            there -= more
        return plan if self.differs(plan) else None

    def differs(self, plan: dict[str, float]) -> bool:
        if plan.keys() != self.planned.keys():
            return True
        return any(abs(base - self.planned[name]) > SAME_BASE * base for name, base in plan.items())

    def roster(self, plan: dict[str, float]) -> list[RosterEntry]:
        """The most that each may hold while this plan is carried out."""
        return [
            RosterEntry(name, member.run, min(1.0, max(member.reserve, plan.get(name, 0.0))))
            for name, member in self.members.items()
        ]
