"""Distribution of announcements to all proxies: directly in a small fleet, through relays in a large one.

In a large fleet the proxies of each zone form groups. A proxy sends its updates to the relay of its group.
The relay batches them briefly and forwards them to the recently active proxies of its group and to the relay
of each other group, which forwards them within that group. Any proxy relays on request, so no election is
needed: the sender picks the relay by rendezvous hashing and falls back to the next in rank when it does not
respond. Each message carries its remaining forwarding scope, which prevents loops. Updates may be lost;
duplicates that arrive through two relays are dropped.

Performs no I/O. Times are milliseconds of one monotonic clock.
"""

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import count
from math import ceil, inf

from barleybarrow.routing.announcements import Announcement
from barleybarrow.routing.rendezvous import stable_hash, weight

MAX_DIRECT_PROXIES = 32  # direct sends to more proxies take over 2% of a small core
MAX_ANNOUNCEMENTS_PER_UPDATE = 8  # fits into one packet even with the longest names
MAX_REMEMBERED_SEQUENCES = 16  # per proxy: two relays differ by one or two batches
TARGET_GROUP_SIZE = 48  # highest mean of proxies per relay, whose datagrams take some 2% of a small core
RELAY_TIMEOUT_MS = 400.0  # a relay responds within some 30 ms, a busy one a little later
MAX_PENDING_UPDATES = 512  # per forwarded batch, some 10 ms of a large fleet's updates; more are dropped
# How long a relay forwards to a proxy of its group after an empty update, as an acknowledgement.
KEEPALIVE_FORWARDING_MS = 200.0
# The same after an announcement: a proxy without requests needs no updates.
ACTIVE_FORWARDING_MS = 3_000.0
RELAY_BACKOFF_MS = 5_000.0  # membership removes a relay that is down within this time


class ForwardingScope(IntEnum):
    """How far the updates of a datagram are still to be forwarded."""

    RECEIVER = 0
    GROUP = 1  # the receiver forwards to its group
    FLEET = 2  # and to a relay of each other group


@dataclass(slots=True)
class AnnouncementUpdate:
    """Announcements that one proxy sent together; empty as a keep-alive."""

    origin: str  # the proxy's IP address
    sequence: int  # unique within the process; a restart begins at another number
    announcements: list[Announcement]


@dataclass(slots=True)
class OutgoingMessage:
    """Updates to send to one proxy."""

    receiver: str
    scope: ForwardingScope
    updates: list[AnnouncementUpdate]


@dataclass(slots=True)
class _RelayState:
    """Whether a relay has responded since something was sent to it."""

    unanswered_since: float = inf
    backoff_until: float = -inf


@dataclass(slots=True)
class _PendingUpdates:
    """Updates that this proxy forwards next as a relay."""

    to_group: list[AnnouncementUpdate] = field(default_factory=list)
    to_fleet: list[AnnouncementUpdate] = field(default_factory=list)


class AnnouncementRelay:
    """Routes the updates of one proxy and forwards those of others."""

    def __init__(self, own_address: str, first_sequence: int = 0) -> None:
        self.own_address = own_address
        self._sequences = count(first_sequence)
        self._seen_sequences: dict[str, deque[int]] = {}  # last sequence numbers of each proxy
        self._groups: dict[str, list[str]] = {}  # by group name, members in relay order
        self._own_group = ""
        self._peers: frozenset[str] = frozenset()
        self._direct_peers: list[str] = []  # all peers in a small fleet, else empty
        self._relays: dict[str, _RelayState] = defaultdict(_RelayState)
        self._pending = _PendingUpdates()
        self._forward_until: dict[str, float] = {}  # by proxy of this group

    def set_proxies(self, zones: dict[str, str]) -> None:
        """Set the zones of all proxies by IP address, with or without this proxy."""
        zone_by_proxy = dict(zones)
        peers = [proxy for proxy in zone_by_proxy if proxy != self.own_address]
        self._peers = frozenset(peers)
        self._direct_peers = peers if len(peers) < MAX_DIRECT_PROXIES else []
        groups = _build_groups(zone_by_proxy) if peers and not self._direct_peers else {}
        self._groups = {name: _relay_order(name, members) for name, members in groups.items()}
        self._own_group = next((name for name, members in groups.items() if self.own_address in members), "")
        self._relays = defaultdict(
            _RelayState, {name: state for name, state in self._relays.items() if name in zone_by_proxy}
        )
        self._seen_sequences = {
            name: sequences for name, sequences in self._seen_sequences.items() if name in zone_by_proxy
        }

    @property
    def uses_relays(self) -> bool:
        """Whether the fleet is large enough to use relays."""
        return bool(self._groups)

    def messages_for(self, now: float, announcements: list[Announcement]) -> list[OutgoingMessage]:
        """Messages to send now for this proxy's updates; if it is the relay, `take_forwards` returns them."""
        updates = self._split(announcements)
        if self._direct_peers:
            return [OutgoingMessage(proxy, ForwardingScope.RECEIVER, updates) for proxy in self._direct_peers]
        if not self._own_group:
            return []
        relay = self._select_relay(now, self._own_group)
        if relay == self.own_address:
            self._enqueue(self._pending.to_fleet, updates)
            return []
        return [OutgoingMessage(relay, ForwardingScope.FLEET, updates)]

    def receive(
        self, now: float, sender: str, scope: ForwardingScope, updates: list[AnnouncementUpdate]
    ) -> list[AnnouncementUpdate]:
        """Handle a datagram: queue what is to be forwarded, and return the updates new to this proxy."""
        self._relays[sender].unanswered_since = inf
        if scope is ForwardingScope.FLEET:
            self._enqueue(self._pending.to_fleet, updates)
            forwarding_ms = (
                ACTIVE_FORWARDING_MS
                if any(update.announcements for update in updates)
                else KEEPALIVE_FORWARDING_MS
            )
            self._forward_until[sender] = max(self._forward_until.get(sender, now), now + forwarding_ms)
        elif scope is ForwardingScope.GROUP:
            self._enqueue(self._pending.to_group, updates)
        return [update for update in updates if update.origin in self._peers and self._is_new(update)]

    def _split(self, announcements: list[Announcement]) -> list[AnnouncementUpdate]:
        starts = range(0, max(1, len(announcements)), MAX_ANNOUNCEMENTS_PER_UPDATE)
        return [
            AnnouncementUpdate(
                self.own_address,
                next(self._sequences),
                announcements[start : start + MAX_ANNOUNCEMENTS_PER_UPDATE],
            )
            for start in starts
        ]

    def _is_new(self, update: AnnouncementUpdate) -> bool:
        sequences = self._seen_sequences.setdefault(update.origin, deque(maxlen=MAX_REMEMBERED_SEQUENCES))
        if update.sequence in sequences:
            return False
        sequences.append(update.sequence)
        return True

    def _enqueue(self, queue: list[AnnouncementUpdate], updates: list[AnnouncementUpdate]) -> None:
        queue += updates[: max(0, MAX_PENDING_UPDATES - len(queue))]

    @property
    def has_pending(self) -> bool:
        """Whether updates wait to be forwarded."""
        return bool(self._pending.to_fleet or self._pending.to_group)

    def take_forwards(self, now: float) -> list[OutgoingMessage]:
        """Remove the pending updates and return them as one message per receiver."""
        pending, self._pending = self._pending, _PendingUpdates()
        to_group = pending.to_fleet + pending.to_group
        forward_until = {proxy: until for proxy, until in self._forward_until.items() if until >= now}
        self._forward_until = forward_until
        messages = [OutgoingMessage(member, ForwardingScope.RECEIVER, to_group) for member in forward_until]
        if pending.to_fleet:
            remote_relays = [
                self._select_relay(now, name) for name in self._groups if name != self._own_group
            ]
            messages += [
                OutgoingMessage(relay, ForwardingScope.GROUP, pending.to_fleet) for relay in remote_relays
            ]
        return messages

    def _select_relay(self, now: float, group: str) -> str:
        """The first relay of a group that is not backed off after a timeout; starts its response timeout."""
        members = self._groups[group]
        for member in members:
            if member == self.own_address:
                return member
            state = self._relays[member]
            if now - state.unanswered_since > RELAY_TIMEOUT_MS:
                state.unanswered_since, state.backoff_until = inf, now + RELAY_BACKOFF_MS
            if state.backoff_until <= now:
                state.unanswered_since = min(state.unanswered_since, now)
                return member
        return members[0]


def _build_groups(zones: dict[str, str]) -> dict[str, list[str]]:
    """The proxies of each zone, split into groups by hash; the same in all proxies."""
    by_zone: dict[str, list[str]] = defaultdict(list)
    for proxy, zone in zones.items():
        by_zone[zone].append(proxy)
    groups: dict[str, list[str]] = defaultdict(list)
    for zone, members in by_zone.items():
        group_count = ceil(len(members) / TARGET_GROUP_SIZE)
        for member in members:
            groups[f"{zone}/{stable_hash(member) % group_count}"].append(member)
    return groups


def _relay_order(group: str, members: Iterable[str]) -> list[str]:
    key = stable_hash(group)
    return sorted(members, key=lambda member: weight(key, stable_hash(member)), reverse=True)
