"""How news of one proxy reaches all others: directly in a small fleet, over relays in a large one.

In a large fleet each zone's proxies form groups. A proxy sends its news to the relay of its own group. The
relay gathers for a moment, then tells the proxies of its group that had requests of late, and the relay of
each other group, which tells its own. Any proxy relays what it is asked to, so nothing has to be agreed on:
the sender picks the relay by rendezvous hashing, and the next one in that order when the first keeps silent.
What is passed on is marked with how far it may still go, so it never travels in circles. News may be lost;
what comes twice, over two relays, is taken once.

No I/O; times are milliseconds of one monotonic clock.
"""

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import count
from math import ceil, inf

from barleybarrow.routing.announcements import Announcement
from barleybarrow.routing.rendezvous import stable_hash, weight

MOST_DIRECT_PROXIES = 32  # up to here each tells all others itself: more take over 2% of a small core
MOST_AT_ONCE = 8  # announcements in one piece of news: the longest names fit into one packet
SERIALS_REMEMBERED = 16  # of each proxy: two relays differ by one or two gatherings
MOST_IN_GROUP = 48  # proxies that one relay tells: its datagrams take some 2% of a small core
SILENT_RELAY_MS = 400.0  # a relay answers within some 30 ms, a busy one a little later
MOST_GATHERED = 512  # parts of news passed on at once, some 10 ms of a large fleet's: more are dropped
ANSWERED_MS = 200.0  # a proxy that only says that it is there is told so much more, as an answer
LISTENING_MS = 3_000.0  # since it last told of a request: a proxy without requests needs no news
AVOIDED_MS = 5_000.0  # by then membership knows of a relay that is gone


class Reach(IntEnum):
    """How far a datagram's news may still travel."""

    RECEIVER = 0
    GROUP = 1  # the receiver tells its group
    FLEET = 2  # and a relay of each other group


@dataclass(slots=True)
class News:
    """What one proxy told at one time; empty where it only says that it is there."""

    origin: str  # the proxy's IP address
    serial: int  # of this piece of news, among those of its process
    announcements: list[Announcement]


@dataclass(slots=True)
class Parcel:
    """News to be sent to one proxy."""

    receiver: str
    reach: Reach
    news: list[News]


@dataclass(slots=True)
class _RelayState:
    """Whether a relay has been heard since something was sent to it."""

    unanswered_since: float = inf
    avoided_until: float = -inf


@dataclass(slots=True)
class _Gathered:
    """What this proxy, as a relay, is to pass on next."""

    to_group: list[News] = field(default_factory=list)
    to_fleet: list[News] = field(default_factory=list)


class AnnouncementRelay:
    """Where the news of one proxy goes, and what it passes on for others."""

    def __init__(self, own: str, first_serial: int = 0) -> None:
        self.own = own
        self._serials = count(first_serial)
        self._seen: dict[str, deque[int]] = {}  # serials of the last news of each proxy
        self._groups: dict[str, list[str]] = {}  # by name, members in the order in which they relay
        self._own_group = ""
        self._others: frozenset[str] = frozenset()
        self._direct: list[str] = []  # all others, where the fleet is small
        self._relays: dict[str, _RelayState] = defaultdict(_RelayState)
        self._gathered = _Gathered()
        self._listening_until: dict[str, float] = {}  # proxies of this group that choose servers of late

    def set_proxies(self, zones: dict[str, str]) -> None:
        """Take the zones of all proxies by IP address; this one may be among them."""
        everyone = dict(zones)
        others = [proxy for proxy in everyone if proxy != self.own]
        self._others = frozenset(others)
        self._direct = others if len(others) < MOST_DIRECT_PROXIES else []
        groups = _grouped(everyone) if others and not self._direct else {}
        self._groups = {name: _relay_order(name, members) for name, members in groups.items()}
        self._own_group = next((name for name, members in groups.items() if self.own in members), "")
        self._relays = defaultdict(
            _RelayState, {name: state for name, state in self._relays.items() if name in everyone}
        )
        self._seen = {name: serials for name, serials in self._seen.items() if name in everyone}

    @property
    def relays(self) -> bool:
        """Whether the fleet is so large that news goes over relays."""
        return bool(self._groups)

    def own_news(self, now: float, announcements: list[Announcement]) -> list[Parcel]:
        """What to send at once for news of this proxy; what it relays itself comes with `passed_on`."""
        news = self._pieces(announcements)
        if self._direct:
            return [Parcel(proxy, Reach.RECEIVER, news) for proxy in self._direct]
        if not self._own_group:
            return []
        relay = self._relay_of(now, self._own_group)
        if relay == self.own:
            self._gather(self._gathered.to_fleet, news)
            return []
        return [Parcel(relay, Reach.FLEET, news)]

    def received(self, now: float, sender: str, reach: Reach, news: list[News]) -> list[News]:
        """Take a datagram; returns what it tells this proxy and keeps what is to be passed on."""
        self._relays[sender].unanswered_since = inf
        if reach is Reach.FLEET:
            self._gather(self._gathered.to_fleet, news)
            listens_ms = LISTENING_MS if any(told.announcements for told in news) else ANSWERED_MS
            self._listening_until[sender] = max(self._listening_until.get(sender, now), now + listens_ms)
        elif reach is Reach.GROUP:
            self._gather(self._gathered.to_group, news)
        return [told for told in news if told.origin in self._others and self._is_new(told)]

    def _pieces(self, announcements: list[Announcement]) -> list[News]:
        starts = range(0, max(1, len(announcements)), MOST_AT_ONCE)
        return [
            News(self.own, next(self._serials), announcements[start : start + MOST_AT_ONCE])
            for start in starts
        ]

    def _is_new(self, news: News) -> bool:
        seen = self._seen.setdefault(news.origin, deque(maxlen=SERIALS_REMEMBERED))
        if news.serial in seen:
            return False
        seen.append(news.serial)
        return True

    def _gather(self, into: list[News], news: list[News]) -> None:
        into += news[: max(0, MOST_GATHERED - len(into))]

    @property
    def has_gathered(self) -> bool:
        """Whether there is something to pass on."""
        return bool(self._gathered.to_fleet or self._gathered.to_group)

    def passed_on(self, now: float) -> list[Parcel]:
        """All that was gathered, to each of its receivers."""
        gathered, self._gathered = self._gathered, _Gathered()
        to_group = gathered.to_fleet + gathered.to_group
        listening = {proxy: until for proxy, until in self._listening_until.items() if until >= now}
        self._listening_until = listening
        parcels = [Parcel(member, Reach.RECEIVER, to_group) for member in listening]
        if gathered.to_fleet:
            far = [self._relay_of(now, name) for name in self._groups if name != self._own_group]
            parcels += [Parcel(relay, Reach.GROUP, gathered.to_fleet) for relay in far]
        return parcels

    def _relay_of(self, now: float, group: str) -> str:
        """The first of a group's relays that is not known to be silent; notes that it is asked."""
        members = self._groups[group]
        for member in members:
            if member == self.own:
                return member
            state = self._relays[member]
            if now - state.unanswered_since > SILENT_RELAY_MS:
                state.unanswered_since, state.avoided_until = inf, now + AVOIDED_MS
            if state.avoided_until <= now:
                state.unanswered_since = min(state.unanswered_since, now)
                return member
        return members[0]


def _grouped(zones: dict[str, str]) -> dict[str, list[str]]:
    """The proxies of each zone, in as many groups as their number asks for; the same in all proxies."""
    by_zone: dict[str, list[str]] = defaultdict(list)
    for proxy, zone in zones.items():
        by_zone[zone].append(proxy)
    groups: dict[str, list[str]] = defaultdict(list)
    for zone, members in by_zone.items():
        parts = ceil(len(members) / MOST_IN_GROUP)
        for member in members:
            groups[f"{zone}/{stable_hash(member) % parts}"].append(member)
    return groups


def _relay_order(group: str, members: Iterable[str]) -> list[str]:
    key = stable_hash(group)
    return sorted(members, key=lambda member: weight(key, stable_hash(member)), reverse=True)
