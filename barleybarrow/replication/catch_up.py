"""Tells whether a list of servers may lack a drain that was acknowledged. No I/O; times are in milliseconds.

A drain or deregistration is acknowledged once a majority of its replica group has it on disk. So any majority
of the group knows of it, unless it counts a member that has lost its disk. Such a process is incomplete until
it has pulled the records of complete majorities, as no acknowledged drain is missing from them.

Where a majority of a group is connected, but no majority of complete members, nobody can tell which servers
have ended: the list is INCOMPLETE, and no new request may go by it. After a time it can be relied on all the
same: a server that had ended is silent by then, and none of its heartbeats is still under way.
"""

from collections.abc import Collection
from enum import IntEnum

from barleybarrow.replication.silence import silence_timeout_ms

MAX_HEARTBEAT_DELAY_MS = 15_000.0  # a heartbeat may arrive seconds after it was sent
# Of ContactMs, until a list is stated to be incomplete: processes that start one after the other are
# connected by then, and the proxies hear of it before they count as in touch.
INCOMPLETE_GRACE_RATIO = 0.4


class Coverage(IntEnum):
    """Whether a list includes each acknowledged drain; the values are those of the internal protocol."""

    NOT_STATED = 0  # not known: no majority is connected, or nothing was heard yet
    COMPLETE = 1
    INCOMPLETE = 2


class CatchUp:
    """The view of one control process: what it may have lost, and what the others say of themselves."""

    def __init__(self, own: str, heartbeat_ms: float, contact_ms: float) -> None:
        self.complete = False  # each drain that this process ever confirmed is known to it
        self._own = own
        self._grace_ms = INCOMPLETE_GRACE_RATIO * contact_ms
        self._max_incomplete_ms = MAX_HEARTBEAT_DELAY_MS + silence_timeout_ms(heartbeat_ms)
        self._coverage_of_peers: dict[str, Coverage] = {}  # of those that are connected
        self._pulled: set[str] = set()  # complete peers whose records were all received
        self._reached: frozenset[str] = frozenset()  # connected members while no majority is complete
        self._reached_since = 0.0  # when the last of these was reached
        self._incomplete_since: float | None = None

    def on_pulled(self, peer: str, coverage: Coverage) -> None:
        """Handle that a peer has sent all its records, and whether these are complete."""
        self._coverage_of_peers[peer] = coverage
        if coverage is Coverage.COMPLETE:
            self._pulled.add(peer)

    def on_link_changed(self, peer: str) -> None:
        """Handle a lost or a new connection; what was pulled stays."""
        self._coverage_of_peers.pop(peer, None)

    def tick(self, now: float, groups: Collection[frozenset[str]], connected: Collection[str]) -> Coverage:
        """Become complete where that is proven; the coverage of the list, with links to `connected`.

        `groups`: the replica groups of all shards.
        """
        if groups and all(_has_majority(group, self._pulled) for group in groups):
            self.complete = True
        reached = {self._own, *connected}
        complete = {name for name in reached if self._is_complete(name)}
        unproven = [group for group in groups if not _has_majority(group, complete)]
        incomplete = [group for group in unproven if _has_majority(group, reached)]
        if not incomplete:
            self._reached, self._incomplete_since = frozenset(), None
            return Coverage.NOT_STATED if unproven or not groups else Coverage.COMPLETE
        self._wait_incomplete(now, frozenset[str]().union(*incomplete) & reached)
        # Without any complete member, more disks were lost than the fleet tolerates: waiting helps nobody.
        if self._is_in_grace(now) or not any(group & complete for group in incomplete):
            return Coverage.NOT_STATED
        return Coverage.INCOMPLETE

    def _wait_incomplete(self, now: float, reached: frozenset[str]) -> None:
        """Note since when no majority is complete; a member that joins may bring back a server that ended."""
        if self._incomplete_since is None:
            self._incomplete_since = now
        if not reached <= self._reached:
            self._reached_since = now
        self._reached = reached
        if now - self._reached_since >= self._max_incomplete_ms:
            self.complete = True

    def _is_in_grace(self, now: float) -> bool:
        return self._incomplete_since is None or now - self._incomplete_since < self._grace_ms

    def _is_complete(self, name: str) -> bool:
        if name == self._own:
            return self.complete
        return self._coverage_of_peers.get(name) is not Coverage.INCOMPLETE


def _has_majority(group: frozenset[str], names: Collection[str]) -> bool:
    return len(group.intersection(names)) * 2 > len(group)
