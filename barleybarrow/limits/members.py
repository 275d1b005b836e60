"""The proxies known to the credit server, and the fallback share of each; all shares add up to at most one.

A share is only raised once a majority of the acceptors has stored the new roster, so that the next credit
server knows an upper bound of every share, including those of unreachable proxies. A share is lowered by
sending the lower value; the difference is free only once the proxy has applied it. A share belongs to a name
for its whole lifetime: a proxy that restarts while disconnected may inherit the share of its previous
incarnation (`predecessors`), so a share held within that time stays reserved for the name. No I/O; times are
milliseconds.
"""

from dataclasses import dataclass, field

from barleybarrow.limits import spans
from barleybarrow.limits.lent import LentShare
from barleybarrow.limits.messages import CreditReport, RosterEntry
from barleybarrow.limits.warden_lease import MAX_CLOCK_RATE_RATIO

MAX_UNAPPLIED_REPLIES = 64  # a proxy keeps as many unanswered reports
MIN_SHARE_CHANGE = 0.02  # of a share: a smaller change is not worth a new roster
ROUNDING_TOLERANCE = 1e-9


@dataclass(slots=True)
class SentShare:
    """The share sent in one reply to a proxy."""

    sent_at: float
    fallback_share: float


@dataclass(slots=True)
class Member:
    """A proxy and the shares that it may hold."""

    incarnation: int
    last_reply_at: float  # credit and share held by the proxy were sent no later
    held_share: float = 0.0  # upper bound of its fallback share
    predecessor_share: float = 0.0  # upper bound of shares held under this name that may not have expired yet
    predecessor_share_until: float = 0.0
    has_left: bool = False  # shut down as planned; its next incarnation may inherit its share
    reported_share: float = 0.0
    sequence: int = 0
    applied_sequence: int = 0
    last_report_at: float = 0.0
    sent_replies: dict[int, SentShare] = field(default_factory=dict)
    retired_incarnations: set[int] = field(default_factory=set)  # late reports of these are ignored
    written_off: bool = False

    @property
    def reserved_share(self) -> float:
        """The share of each limit that no other name may be given."""
        return max(self.held_share, self.predecessor_share)


class Members:
    """All proxies of one term."""

    def __init__(self, now: float, lent_share: LentShare, share_lifetime: float) -> None:
        self.lent_share, self.share_lifetime = lent_share, share_lifetime
        # By then unknown proxies hold no share; it lives longer only if all acceptors have stored the roster.
        self.complete_at = now + spans.SHARE_LIFETIME_MS * MAX_CLOCK_RATE_RATIO
        self.members: dict[str, Member] = {}
        self.reserved_total = 0.0
        self.departed: dict[str, int] = {}  # incarnations that have sent a final report, by name
        self.planned_shares: dict[str, float] = {}
        self.may_raise = False  # whether a share may be raised to its planned value
        # Expiry of the credit of the previous term, and proxies that may hold such credit (None: not known).
        self.prior_credit_expires_at = now + spans.CREDIT_LIFETIME_MS * MAX_CLOCK_RATE_RATIO
        self.prior_credit_holders: set[str] | None = None

    def is_complete(self, now: float) -> bool:
        """Whether every proxy that may hold a share is a member."""
        return now >= self.complete_at

    def prior_credit_expired(self, now: float) -> bool:
        """Whether no credit of the previous term is left: it has expired, or all its holders have ended.

        A proxy that joined in the last moments of that term is not in the roster; the margin of the bounds
        covers the little credit that it may hold.
        """
        return now >= self.prior_credit_expires_at or self.prior_credit_holders == set()

    def adopt_roster(self, now: float, entries: list[RosterEntry]) -> None:
        """Adopt the roster stored by a majority of the acceptors, which is complete."""
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
                    member, entry.fallback_share, now + self.share_lifetime * MAX_CLOCK_RATE_RATIO
                )
        self.complete_at = now
        self.update_unassigned(now)

    def has_restarted(self, entry: RosterEntry) -> bool:
        member = self.members.get(entry.name)
        return member is not None and member.incarnation != entry.incarnation

    def remove_prior_holder(self, name: str) -> None:
        """The incarnation of this name that was known to the previous term has ended."""
        if self.prior_credit_holders is not None:
            self.prior_credit_holders.discard(name)

    def set_held_share(self, member: Member, share: float, now: float | None = None) -> None:
        """Set the bound of a member's share; with `now`, a higher earlier bound stays reserved for a time."""
        old_reserved = member.reserved_share
        if now is not None and share < member.held_share:
            member.predecessor_share = old_reserved
            member.predecessor_share_until = now + self.share_lifetime * MAX_CLOCK_RATE_RATIO
        member.held_share = share
        self.reserved_total += member.reserved_share - old_reserved

    def reserve_predecessor_share(self, member: Member, share: float, until: float) -> None:
        """Reserve a share that earlier incarnations of this name may hold until this time."""
        old_reserved = member.reserved_share
        member.predecessor_share, member.predecessor_share_until = (
            max(member.predecessor_share, share),
            max(member.predecessor_share_until, until),
        )
        self.reserved_total += member.reserved_share - old_reserved

    def update_unassigned(self, now: float) -> None:
        unassigned = max(0.0, 1.0 - self.reserved_total) if self.is_complete(now) else 0.0
        if abs(unassigned - self.lent_share.unassigned) > ROUNDING_TOLERANCE:
            self.lent_share.set_unassigned(now, unassigned)

    # Reports

    def handle_report(self, now: float, name: str, report: CreditReport) -> tuple[Member, bool] | None:
        """Record a report; returns the member, and whether it has restarted. None for an outdated report."""
        if self.departed.get(name) == report.incarnation:
            return None
        member = self.members.get(name)
        restarted = member is not None and member.incarnation != report.incarnation
        if member is None:
            member = self.members[name] = Member(report.incarnation, now, held_share=0.0)
        elif restarted:
            if report.incarnation in member.retired_incarnations:
                return None
            member = self.replace_incarnation(now, name, member, report.incarnation)
        if report.sequence <= member.sequence:
            return None
        member.sequence, member.last_report_at, member.reported_share = (
            report.sequence,
            now,
            report.fallback_share,
        )
        member.written_off = False
        self.handle_applied_reply(now, name, member, report)
        return member, restarted

    def handle_departure(self, now: float, name: str, incarnation: int, released: bool) -> bool:
        """Handle the final report of a process; returns whether it was a member.

        `released`: no peer remembers its share, so its next incarnation can't inherit it.
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

    def replace_incarnation(self, now: float, name: str, previous: Member, incarnation: int) -> Member:
        """Replace a member by its new incarnation, which may have inherited the old one's share."""
        self.remove_prior_holder(name)
        self.lent_share.end_loan(now, name)
        self.reserved_total -= previous.reserved_share
        member = self.members[name] = Member(incarnation, now)
        self.reserve_predecessor_share(
            member,
            previous.reserved_share,
            max(
                previous.predecessor_share_until,
                previous.last_reply_at + self.share_lifetime * MAX_CLOCK_RATE_RATIO,
            ),
        )
        member.retired_incarnations = {*previous.retired_incarnations, previous.incarnation}
        return member

    def handle_applied_reply(self, now: float, name: str, member: Member, report: CreditReport) -> None:
        """Note the newest reply that a proxy has applied: shares sent before it are obsolete."""
        reply = member.sent_replies.get(report.applied_sequence)
        if reply is not None and report.applied_sequence >= member.applied_sequence:
            member.applied_sequence = report.applied_sequence
            for number in [number for number in member.sent_replies if number < report.applied_sequence]:
                del member.sent_replies[number]
            later_shares = [
                other.fallback_share
                for number, other in member.sent_replies.items()
                if number > report.applied_sequence
            ]
            self.set_held_share(member, max([report.fallback_share, *later_shares]), now)
            self.lent_share.lend(
                now,
                name,
                member.reserved_share,
                reply.sent_at + spans.FALLBACK_DELAY_MS / MAX_CLOCK_RATE_RATIO,
            )
        else:
            self.set_held_share(member, max(member.held_share, report.fallback_share))
        self.update_unassigned(now)

    def share_for(self, member: Member, name: str) -> float:
        """The share to send to a proxy."""
        planned = self.planned_shares.get(name, 0.0 if self.planned_shares else member.reported_share)
        return planned if self.may_raise else min(planned, member.reserved_share)

    def assign_share(self, now: float, name: str, member: Member, sequence: int) -> float:
        """Choose the share sent in reply to the report of this sequence number, and record it."""
        share = self.share_for(member, name)
        member.sent_replies[sequence] = SentShare(now, share)
        member.last_reply_at = now
        while len(member.sent_replies) > MAX_UNAPPLIED_REPLIES:
            del member.sent_replies[next(iter(member.sent_replies))]
        if share > member.held_share:
            # The proxy uses no share until FALLBACK_DELAY_MS after a reply, unless it may inherit one.
            unused = member.held_share <= 0.0 and member.predecessor_share <= 0.0
            self.set_held_share(member, share)
            if unused:
                self.lent_share.lend(
                    now, name, member.reserved_share, now + spans.FALLBACK_DELAY_MS / MAX_CLOCK_RATE_RATIO
                )
            self.update_unassigned(now)
        return share

    # Time

    def take_expired(self, now: float) -> list[str]:
        """Proxies whose credit has expired since their last reply; each is returned once."""
        expired = []
        for name, member in self.members.items():
            if (
                not member.written_off
                and now > member.last_reply_at + spans.CREDIT_LIFETIME_MS * MAX_CLOCK_RATE_RATIO
            ):
                member.written_off = True
                expired.append(name)
        return expired

    def remove_expired(self, now: float) -> None:
        """Remove members whose shares have expired."""
        for name, member in list(self.members.items()):
            if member.predecessor_share and now >= member.predecessor_share_until:
                self.expire_predecessor_share(now, name, member)
            if (
                now > member.last_reply_at + self.share_lifetime * MAX_CLOCK_RATE_RATIO
                and not member.predecessor_share
            ):
                self.reserved_total -= member.reserved_share
                self.lent_share.end_loan(now, name)
                del self.members[name]
                self.planned_shares.pop(name, None)
        self.update_unassigned(now)

    def expire_predecessor_share(self, now: float, name: str, member: Member) -> None:
        """Drop the expired share of earlier incarnations: the name now lends only its current share."""
        old_reserved, member.predecessor_share = member.reserved_share, 0.0
        self.reserved_total += member.reserved_share - old_reserved
        loan = self.lent_share.loans.get(name)
        if loan is not None:
            self.lent_share.lend(now, name, member.reserved_share, loan[1])

    # Plans

    def plan(self, now: float) -> dict[str, float] | None:
        """Even shares, as far as other proxies have given up theirs; None for no change."""
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
            abs(share - self.planned_shares[name]) > MIN_SHARE_CHANGE * share for name, share in plan.items()
        )

    def roster(self, plan: dict[str, float]) -> list[RosterEntry]:
        """Upper bounds of all shares while this plan is carried out."""
        return [
            RosterEntry(name, member.incarnation, min(1.0, max(member.reserved_share, plan.get(name, 0.0))))
            for name, member in self.members.items()
        ]
