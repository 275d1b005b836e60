"""The warden's books: one bucket a key, and the credit that each proxy holds of it.

Why the sum holds in every window, with R, capacity and debt of `barleybarrow.limits.bounds`, and L, the
fraction of each limit that is lent to the warden. What proxies spend from t1 to t2 is what was granted
meanwhile less what was returned, plus what was outstanding at t1 less what is at t2. The bucket gains R
L a second and loses what is granted; no grant takes it below -debt, and bucket + outstanding never rises
above L times the capacity. So

    spent(t1, t2) <= R integral(L) + (bucket + outstanding)(t1) - (bucket + outstanding)(t2)
                  <= R integral(L) + L(t1) capacity + debt

`outstanding` counts all credit that a proxy may still spend, for it falls only when a proxy says that
credit is spent or returned, or when its time is over on every clock. What proxies spend without a
warden comes from R (1 - L) and their fallback buckets (`credit_client`). A new warden knows no buckets:
each begins at -debt. Where the keepers remember no draining (`floors`), it was at its floor at least, and
what lacks to that is owed to it; the warden before could have granted as much. What that one had granted
and may still be spent is not known: until it is over the most that could be, `credit`, counts as
outstanding wherever a bucket rises, be it by its rate or by what is owed.

No I/O; told the time in milliseconds.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import floor

from barleybarrow.limits import spans
from barleybarrow.limits.bounds import KeyLimit
from barleybarrow.limits.floors import FLOOR_SHARE, REFILLED_SHARE, Floors
from barleybarrow.limits.lent import LentFraction
from barleybarrow.limits.messages import Drained, Grant, Item, whole

WANT_CREDIT = 0.95  # of the credit that may be outstanding, for credit ahead of need
UNKNOWN_WAIT = 50.0  # milliseconds until a proxy asks again for a key that the warden does not know yet
FLOOR_WAIT = 8.0  # milliseconds until the keepers will remember that a bucket is drained
SETTLE_WAIT = 25.0  # milliseconds until credit of others will have been reported as spent
HURRY_ABOVE = 0.4  # of the credit that may be outstanding
CONTENTION = 0.5  # of a turn of all proxies that hold the key
CLAIM_LASTS = 8000.0  # milliseconds that the largest request of late is remembered
CLAIM_MOST = 0.6  # of the capacity: a request that is larger waits for no more
CLEAN_AT_ONCE = 300  # accounts
LEAST_FRACTION = 0.01  # lent to the warden; with less it tells no meaningful wait


@dataclass(slots=True)
class GrantedEntry:
    """What the warden knows of one proxy's entry."""

    number: int
    granted: float
    spent: float
    returned: float
    heard_at: float

    @property
    def outstanding(self) -> float:
        return self.granted - self.spent - self.returned


@dataclass(slots=True)
class KeyAccount:
    """The bucket of one key and what is outstanding of it."""

    level: float
    integral: float  # of the lent fraction, up to which the level counts
    outstanding: float = 0.0
    owed: float = 0.0  # added to the level as soon as there is room
    claim: float = 0.0  # the largest request of late
    claim_at: float = 0.0
    entries: dict[str, GrantedEntry] = field(default_factory=dict)  # by proxy
    orphaned: list[tuple[float, float]] = field(default_factory=list)  # credit of entries that went, until


class CreditLedger:
    """All accounts of one term. `limit_of` gives the limit of a key, None where there is none."""

    def __init__(self, lent: LentFraction, limit_of: Callable[[str], KeyLimit | None]) -> None:
        self.lent, self.limit_of = lent, limit_of
        self.fresh = False  # no warden before has granted anything
        self.floors = Floors()
        self.old_credit_is_over = False  # what the warden before had granted is spent or void
        self.accounts: dict[str, KeyAccount] = {}
        self.keys_of: dict[str, set[str]] = {}  # by proxy, where it has or had entries
        self.to_clean: list[str] = []

    def first_level(self, limit: KeyLimit) -> float:
        """Where a bucket begins with the term."""
        return limit.capacity if self.fresh else -limit.debt

    def account(self, now: float, key: str, limit: KeyLimit) -> KeyAccount:
        """The account of a key, with its bucket as full as it is now."""
        self.lent.advance(now)
        found = self.accounts.get(key)
        if found is None:
            found = self.accounts[key] = KeyAccount(self.first_level(limit), 0.0)
            self.owe_floor(key, found, limit)
        if found.orphaned:
            self.end_orphaned(now, found)
        gained = limit.rate * (self.lent.integral - found.integral) / 1000.0
        found.integral = self.lent.integral
        self.raise_level(found, limit, gained)
        return found

    def raise_level(self, account: KeyAccount, limit: KeyLimit, gained: float) -> None:
        """Add what the bucket has gained and what it is owed, as far as there is room beside all credit."""
        most = limit.capacity * self.lent.value - account.outstanding
        room = most if self.fresh or self.old_credit_is_over else most - limit.credit
        raised = max(account.level, min(room, account.level + gained))
        paid = max(0.0, min(account.owed, room - raised))
        account.owed -= paid
        account.level = min(most, raised + paid)

    def owe_floor(self, key: str, account: KeyAccount, limit: KeyLimit) -> None:
        """A bucket that was above its floor when the term began is to be raised to it."""
        if not self.fresh and not self.floors.was_drained(key):
            account.owed = FLOOR_SHARE * limit.capacity - self.first_level(limit)

    def begin_floors(self, drained: Drained) -> None:
        """The keepers have told which buckets were drained when the term began."""
        self.floors.before = drained
        for key, account in self.accounts.items():
            limit = self.limit_of(key)
            if limit is not None and not account.owed:
                self.owe_floor(key, account, limit)

    def end_orphaned(self, now: float, account: KeyAccount) -> None:
        account.outstanding -= sum(amount for amount, until in account.orphaned if until <= now)
        account.orphaned = [(amount, until) for amount, until in account.orphaned if until > now]

    # Reports

    def take(self, now: float, name: str, item: Item, void_at: float) -> Grant | None:
        """Book what a proxy reports of one entry, and grant what it needs.

        `void_at`: when all credit that the proxy has been granted until now is over.
        """
        limit = self.limit_of(item.key)
        if limit is None:
            return Grant(item.entry, item.spent + item.returned, UNKNOWN_WAIT, True)
        account = self.account(now, item.key, limit)
        entry = self.book(now, account, name, item, void_at)
        if entry is None:
            return None
        self.keys_of.setdefault(name, set()).add(item.key)
        self.note_claim(now, account, item)
        lowest = self.lowest_level(now, account, limit, entry, item)
        wait, settling = self.grant_need(account, limit, entry, item, lowest)
        if wait <= 0.0:
            self.grant_want(account, limit, entry, item, lowest)
        hurry = account.outstanding > HURRY_ABOVE * limit.credit
        return Grant(entry.number, whole(entry.granted), round(wait), settling, hurry)

    def book(
        self, now: float, account: KeyAccount, name: str, item: Item, void_at: float
    ) -> GrantedEntry | None:
        entry = account.entries.get(name)
        if entry is not None and item.entry < entry.number:
            return None  # of an entry that the proxy has closed since
        if entry is None or item.entry > entry.number:
            if entry is not None and entry.outstanding > 0.0:
                account.orphaned.append((entry.outstanding, void_at))
            total = item.spent + item.returned
            entry = account.entries[name] = GrantedEntry(item.entry, total, item.spent, item.returned, now)
            return entry
        spent, returned = max(entry.spent, item.spent), max(entry.returned, item.returned)
        account.outstanding -= spent - entry.spent + returned - entry.returned
        account.level += returned - entry.returned
        entry.spent, entry.returned, entry.heard_at = spent, returned, now
        return entry

    def note_claim(self, now: float, account: KeyAccount, item: Item) -> None:
        """Large requests are admitted as often as small ones: all wait for what the largest of late needs."""
        if item.need <= 0.0:
            return
        if item.first >= account.claim or now - account.claim_at > CLAIM_LASTS:
            account.claim, account.claim_at = item.first, now

    def lowest_level(
        self, now: float, account: KeyAccount, limit: KeyLimit, entry: GrantedEntry, item: Item
    ) -> float:
        """The level that the bucket may be taken to; keepers are told where that is too high for the need."""
        if self.floors.may_drain(item.key):
            return -limit.debt
        lowest = FLOOR_SHARE * limit.capacity - account.owed
        if account.level - (item.need - entry.outstanding) < lowest:
            self.floors.drain(now, item.key)
        return lowest

    def grant_need(
        self, account: KeyAccount, limit: KeyLimit, entry: GrantedEntry, item: Item, lowest: float
    ) -> tuple[float, bool]:
        """Grant what requests wait for. How long to wait for the rest, and whether for reports of others."""
        held = entry.outstanding
        short = item.need - held
        if short <= 0.0:
            return 0.0, False
        least = max(0.0, item.first - held)
        least_level = max(0.0, min(account.claim, CLAIM_MOST * limit.capacity) - limit.debt)
        there = account.level + limit.debt if account.level > least_level else 0.0
        above_floor = max(0.0, account.level - lowest)
        room = limit.credit * self.lent.value - account.outstanding
        amount = float(floor(min(short, there, room, above_floor)))
        if amount >= least:
            self.grant(account, entry, amount)
            if amount >= short:
                return 0.0, False
        if there >= least and above_floor < least:
            return FLOOR_WAIT, True
        if (there >= least and room < least) or account.owed > 0.0:
            return SETTLE_WAIT, True
        return self.wait(account, limit, item.first), False

    def wait(self, account: KeyAccount, limit: KeyLimit, cost: float) -> float:
        """Milliseconds until it is worth asking for the rate again."""
        rate = limit.rate * max(LEAST_FRACTION, self.lent.value)
        missing = max(0.0, cost - limit.debt - account.level, -account.level)
        turn = CONTENTION * len(account.entries) * cost
        return max(1.0, 1000.0 * (missing + turn) / rate)

    def grant_want(
        self, account: KeyAccount, limit: KeyLimit, entry: GrantedEntry, item: Item, lowest: float
    ) -> None:
        """Grant credit ahead of need, while there is plenty."""
        held = entry.outstanding
        short = item.want - held
        if short <= 0.0 or account.level < limit.reserve:
            return
        credit = limit.credit * self.lent.value
        most = min(WANT_CREDIT * credit, credit - limit.largest)
        fair = most / max(1, len(account.entries)) - held
        there = min(account.level, account.level - lowest)
        amount = float(floor(min(short, fair, most - account.outstanding, there)))
        if amount >= max(1.0, floor(item.first)):
            self.grant(account, entry, amount)

    def grant(self, account: KeyAccount, entry: GrantedEntry, amount: float) -> None:
        account.level -= amount
        account.outstanding += amount
        entry.granted += amount

    # Proxies that went

    def write_off(self, name: str) -> None:
        """All credit of a proxy is over: it is spent or void."""
        for key in self.keys_of.pop(name, ()):
            account = self.accounts.get(key)
            entry = account.entries.pop(name, None) if account is not None else None
            if account is not None and entry is not None:
                account.outstanding -= entry.outstanding

    def clean(self, now: float) -> None:
        """Forget entries that nobody uses, and accounts that are as good as new; a part of them at a time."""
        if not self.to_clean:
            self.to_clean = list(self.accounts)
        for key in self.to_clean[-CLEAN_AT_ONCE:]:
            if key in self.accounts:
                self.clean_account(now, key, self.accounts[key])
        del self.to_clean[-CLEAN_AT_ONCE:]

    def clean_account(self, now: float, key: str, account: KeyAccount) -> None:
        limit = self.limit_of(key)
        if limit is not None:
            self.account(now, key, limit)
            self.note_level(now, key, account, limit)
        for name, entry in list(account.entries.items()):
            if now - entry.heard_at > spans.IDLE_DROP:
                account.outstanding -= entry.outstanding
                del account.entries[name]
                self.keys_of.get(name, set()).discard(key)
        full = limit is None or account.level >= limit.capacity
        if full and not account.entries and not account.orphaned:
            del self.accounts[key]
            self.floors.forget([key])

    def note_level(self, now: float, key: str, account: KeyAccount, limit: KeyLimit) -> None:
        """Keepers are to know of buckets that are below their floor, and of those that are full again."""
        if account.level >= REFILLED_SHARE * limit.capacity:
            self.floors.refilled(now, key)
        elif account.level + account.owed < FLOOR_SHARE * limit.capacity:
            self.floors.drain(now, key)
