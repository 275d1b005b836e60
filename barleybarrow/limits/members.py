"""The proxies that a warden knows, and the base of each: a fixed part of every limit; they add up to one.

A base is only raised once a majority of the keepers remembers the new roster, so that the next warden knows
the most that anybody may hold, also of those it can't reach. It is lowered by telling the proxy; what is
freed counts only when the proxy has said that it heard. A base belongs to a name for its whole life: a
proxy that starts anew out of touch may take up what the process before it held (`predecessors`), so that a
part which was held within that time stays reserved for its name. No I/O; told the time in milliseconds.
"""

from dataclasses import dataclass, field

from barleybarrow.limits import spans
from barleybarrow.limits.lent import LentShare
from barleybarrow.limits.messages import CreditReport, RosterEntry
from barleybarrow.limits.warden_lease import DRIFT

MAX_UNAPPLIED_REPLIES = 64  # answers that a proxy may still apply; it keeps as many questions
MIN_SHARE_CHANGE = 0.02  # of a base: a smaller change is not worth a new roster
ROUNDING_TOLERANCE = 1e-9


@dataclass(slots=True)
class SentShare:
    """One answer to a proxy."""

    sent_at: float
    fallback_share: float


@dataclass(slots=True)
class Member:
    """One proxy."""

    incarnation: int
    last_reply_at: float  # when it was answered last; nothing that it holds counts from later
    held_share: float = 0.0  # the most that its base may be
    predecessor_share: float = 0.0  # the most that a process of this name held within the life of a base
    predecessor_share_until: float = 0.0
    has_left: bool = False  # it has ended in order; what it held may be taken up by the next of its name
    reported_share: float = 0.0  # as it said itself
    sequence: int = 0
    applied_sequence: int = 0
    last_report_at: float = 0.0
    sent_replies: dict[int, SentShare] = field(default_factory=dict)
    retired_incarnations: set[int] = field(default_factory=set)  # earlier runs: their reports come too late
    written_off: bool = False

    @property
    def reserved_share(self) -> float:
        """The part of each limit that no other name may be given."""
        return max(self.held_share, self.predecessor_share)


class Members:
    """All proxies of one term."""

    def __init__(self, now: float, lent_share: LentShare, share_lifetime: float) -> None:
        self.lent_share, self.share_lifetime = lent_share, share_lifetime
        # Nobody unknown holds a base from then on: one lasts longer only while all keepers know the roster.
        self.complete_at = now + spans.SHARE_LIFETIME_MS * DRIFT
        self.members: dict[str, Member] = {}
        self.reserved_total = 0.0  # reserved for all together
        self.departed: dict[str, int] = {}  # runs that have said that they end
        self.planned_shares: dict[str, float] = {}  # bases that may be told
        self.may_raise = False  # whether a base may be raised to what is planned
        self.prior_credit_expires_at = (
            now + spans.CREDIT_LIFETIME_MS * DRIFT
        )  # then no credit of the term before is left
        self.prior_credit_holders: set[str] | None = (
            None  # proxies that may hold such credit; None: not known
        )

    def is_complete(self, now: float) -> bool:
        """Whether everybody who may hold a base is a member."""
        return now >= self.complete_at

    def prior_credit_expired(self, now: float) -> bool:
        """Whether all credit of the term before is spent or void: its time is over, or its holders ended.

        A proxy that joined within the last moments of that term is not in the roster; the margin of the
        bounds covers the little that it may hold.
        """
        return now >= self.prior_credit_expires_at or self.prior_credit_holders == set()

    def adopt_roster(self, now: float, entries: list[RosterEntry]) -> None:
        """Take what a majority of the keepers remembers; it is complete."""
        self.prior_credit_holders = {entry.name for entry in entries if not self.has_restarted(entry)}
        for entry in entries:
            member = self.members.get(entry.name)
            if member is None:
                member = self.members[entry.name] = Member(entry.incarnation, now)
                self.set_held_share(member, entry.fallback_share)
            elif member.incarnation == entry.incarnation:
                self.set_held_share(member, max(member.held_share, entry.fallback_share))
            else:
                self.reserve_predecessor_share(
                    member, entry.fallback_share, now + self.share_lifetime * DRIFT
                )
        self.complete_at = now
        self.update_unassigned(now)

    def has_restarted(self, entry: RosterEntry) -> bool:
        member = self.members.get(entry.name)
        return member is not None and member.incarnation != entry.incarnation

    def remove_prior_holder(self, name: str) -> None:
        """The process of this name that the term before knew has ended."""
        if self.prior_credit_holders is not None:
            self.prior_credit_holders.discard(name)

    def set_held_share(self, member: Member, share: float, now: float | None = None) -> None:
        """The most that this process may hold. What it held before stays reserved where `now` is given."""
        before = member.reserved_share
        if now is not None and share < member.held_share:
            member.predecessor_share = before
            member.predecessor_share_until = now + self.share_lifetime * DRIFT
        member.held_share = share
        self.reserved_total += member.reserved_share - before

    def reserve_predecessor_share(self, member: Member, share: float, until: float) -> None:
        """Processes of this name may hold so much until then."""
        before = member.reserved_share
        member.predecessor_share, member.predecessor_share_until = (
            max(member.predecessor_share, share),
            max(member.predecessor_share_until, until),
        )
        self.reserved_total += member.reserved_share - before

    def update_unassigned(self, now: float) -> None:
        unassigned = max(0.0, 1.0 - self.reserved_total) if self.is_complete(now) else 0.0
        if abs(unassigned - self.lent_share.unassigned) > ROUNDING_TOLERANCE:
            self.lent_share.set_unassigned(now, unassigned)

    # Reports

    def handle_report(self, now: float, name: str, report: CreditReport) -> tuple[Member, bool] | None:
        """Book a report; the member and whether it is another run than before. None: it comes too late."""
        if self.departed.get(name) == report.incarnation:
            return None
        member = self.members.get(name)
        new_run = member is not None and member.incarnation != report.incarnation
        if member is None:
            member = self.members[name] = Member(report.incarnation, now, held_share=0.0)
        elif new_run:
            if report.incarnation in member.retired_incarnations:
                return None
            member = self.replace_incarnation(now, name, member, report.incarnation)
        if report.number <= member.sequence:
            return None
        member.sequence, member.last_report_at, member.reported_share = (
            report.number,
            now,
            report.fallback_share,
        )
        member.written_off = False
        self.handle_applied_reply(now, name, member, report)
        return member, new_run

    def handle_departure(self, now: float, name: str, incarnation: int, released: bool) -> bool:
        """A process ends and uses nothing more; whether it was a member.

        `released`: no peer remembers what it held, so the next process of its name can't take it up.
        """
        member = self.members.get(name)
        if member is None or member.incarnation != incarnation:
            return False
        self.departed[name] = incarnation
        self.remove_prior_holder(name)
        self.lent_share.end_loan(now, name)
        self.planned_shares.pop(name, None)
        if released:
            self.reserved_total -= member.reserved_share
            del self.members[name]
        else:
            self.set_held_share(member, 0.0, now)
            member.has_left = True
        self.update_unassigned(now)
        return True

    def replace_incarnation(self, now: float, name: str, old: Member, incarnation: int) -> Member:
        """The process before has ended; what it held may have been taken up by one of its name."""
        self.remove_prior_holder(name)
        self.lent_share.end_loan(now, name)
        self.reserved_total -= old.reserved_share
        member = self.members[name] = Member(incarnation, now)
        self.reserve_predecessor_share(
            member,
            old.reserved_share,
            max(old.predecessor_share_until, old.last_reply_at + self.share_lifetime * DRIFT),
        )
        member.retired_incarnations = {*old.retired_incarnations, old.incarnation}
        return member

    def handle_applied_reply(self, now: float, name: str, member: Member, report: CreditReport) -> None:
        """It has applied an answer: what it was told before counts no longer."""
        reply = member.sent_replies.get(report.applied_sequence)
        if reply is not None and report.applied_sequence >= member.applied_sequence:
            member.applied_sequence = report.applied_sequence
            for number in [number for number in member.sent_replies if number < report.applied_sequence]:
                del member.sent_replies[number]
            later = [
                other.fallback_share
                for number, other in member.sent_replies.items()
                if number > report.applied_sequence
            ]
            self.set_held_share(member, max([report.fallback_share, *later]), now)
            self.lent_share.lend(
                now, name, member.reserved_share, reply.sent_at + spans.FALLBACK_DELAY_MS / DRIFT
            )
        else:
            self.set_held_share(member, max(member.held_share, report.fallback_share))
        self.update_unassigned(now)

    def share_for(self, member: Member, name: str) -> float:
        """What a proxy is to be told."""
        planned = self.planned_shares.get(name, 0.0 if self.planned_shares else member.reported_share)
        return planned if self.may_raise else min(planned, member.reserved_share)

    def assign_share(self, now: float, name: str, member: Member, sequence: int) -> float:
        """The base that goes with the answer to this report."""
        share = self.share_for(member, name)
        member.sent_replies[sequence] = SentShare(now, share)
        member.last_reply_at = now
        while len(member.sent_replies) > MAX_UNAPPLIED_REPLIES:
            del member.sent_replies[next(iter(member.sent_replies))]
        if share > member.held_share:
            # It has no base to use until it has been without an answer for FALL, unless it may take one up.
            unused = member.held_share <= 0.0 and member.predecessor_share <= 0.0
            self.set_held_share(member, share)
            if unused:
                self.lent_share.lend(now, name, member.reserved_share, now + spans.FALLBACK_DELAY_MS / DRIFT)
            self.update_unassigned(now)
        return share

    # Time

    def take_expired(self, now: float) -> list[str]:
        """Proxies whose credit is over because they were not answered for so long; each is named once."""
        expired = []
        for name, member in self.members.items():
            if not member.written_off and now > member.last_reply_at + spans.CREDIT_LIFETIME_MS * DRIFT:
                member.written_off = True
                expired.append(name)
        return expired

    def remove_expired(self, now: float) -> None:
        """A base is void after its life; so is what is known of its holder."""
        for name, member in list(self.members.items()):
            if member.predecessor_share and now >= member.predecessor_share_until:
                self.expire_predecessor_share(now, name, member)
            if now > member.last_reply_at + self.share_lifetime * DRIFT and not member.predecessor_share:
                self.reserved_total -= member.reserved_share
                self.lent_share.end_loan(now, name)
                del self.members[name]
                self.planned_shares.pop(name, None)
        self.update_unassigned(now)

    def expire_predecessor_share(self, now: float, name: str, member: Member) -> None:
        """What earlier processes of this name held is void: the name lends only what is held now."""
        before, member.predecessor_share = member.reserved_share, 0.0
        self.reserved_total += member.reserved_share - before
        loan = self.lent_share.loans.get(name)
        if loan is not None:
            self.lent_share.lend(now, name, member.reserved_share, loan[1])

    # Plans

    def plan(self, now: float) -> dict[str, float] | None:
        """Even bases, as far as others have given up theirs; None where nothing is to change."""
        if not self.is_complete(now) or not self.members:
            return None
        remaining = {name: member for name, member in self.members.items() if not member.has_left}
        target = 1.0 / max(1, len(remaining))
        plan: dict[str, float] = {}
        growing = []
        for name, member in remaining.items():
            plan[name] = min(member.reserved_share, target)
            if member.reserved_share < target and not member.written_off:
                growing.append((name, member))
        available = max(0.0, 1.0 - self.reserved_total)
        for index, (name, member) in enumerate(growing):
            increase = min(target - member.reserved_share, available / (len(growing) - index))
            plan[name] = member.reserved_share + increase
            available -= increase
        return plan if self.plan_differs(plan) else None

    def plan_differs(self, plan: dict[str, float]) -> bool:
        if plan.keys() != self.planned_shares.keys():
            return True
        return any(
            abs(base - self.planned_shares[name]) > MIN_SHARE_CHANGE * base for name, base in plan.items()
        )

    def roster(self, plan: dict[str, float]) -> list[RosterEntry]:
        """The most that each may hold while this plan is carried out."""
        return [
            RosterEntry(name, member.incarnation, min(1.0, max(member.reserved_share, plan.get(name, 0.0))))
            for name, member in self.members.items()
        ]
