"""Elects at most one credit server at a time by a lease that a majority of acceptors grants.

The protocol is PaxosLease (Trencseni, 2009). A state machine without I/O; times are milliseconds of the
process's own monotonic clock. An acceptor promises the lease to one candidate for a limited time. The
candidate with promises of a majority is the credit server until the lease expires, counted from the moment
at which it sent the request.

| state | action | transitions |
| --- | --- | --- |
| follower | waits for heartbeats | an acceptor without heartbeats: candidate |
| candidate | requests the lease | promises of a majority: credit server; time-out or heartbeat: follower |
| credit server | renews the lease | not renewed in time: follower |

Subclasses implement the work of the credit server and of the processes that receive its heartbeats.
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random
from typing import Annotated, Any

from msgspec import Meta, Struct

MAX_CLOCK_RATE_RATIO = 1.05  # largest ratio between two monotonic clocks over times of this kind

UInt62 = Annotated[int, Meta(ge=0, lt=2**62)]


class LeaseRequest(Struct, array_like=True, frozen=True, tag=1):
    """Requests a promise for the duration of the lease, or releases an earlier one with `release`."""

    incarnation: UInt62  # random for each process; ballots grow within one incarnation
    ballot: UInt62
    release: bool = False


class Promise(Struct, array_like=True, frozen=True, tag=2):
    """An acceptor's reply to a request for the lease."""

    ballot: UInt62
    granted: bool


class CreditServerHeartbeat(Struct, array_like=True, frozen=True, tag=3):
    """Heartbeat of the credit server; each election begins a new term."""

    term: UInt62


class Role(Enum):
    """State of a process in the lease protocol."""

    FOLLOWER = "proxy"
    CANDIDATE = "seeking"
    CREDIT_SERVER = "warden"


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Timings of the lease, in milliseconds."""

    lease_ms: float = 3000.0  # duration of a promise
    renewal_interval_ms: float = 1000.0
    candidacy_timeout_ms: float = 600.0
    heartbeat_interval_ms: float = 300.0
    election_timeout_ms: float = 1200.0  # without a heartbeat, until an acceptor becomes a candidate


class CreditServerLease:
    """One process in the lease protocol; one that is no acceptor only follows heartbeats."""

    def __init__(self, name: str, acceptors: list[str], rng: Random, now: float, times: LeaseTimes) -> None:
        self.name, self.acceptors, self.rng, self.times = name, acceptors, rng, times
        self.reachable: list[str] = []
        self.outgoing: list[tuple[str, Any]] = []
        self.counts: Counter[str] = Counter()
        self.credit_server, self.term, self.credit_server_heard_at = "", 0, now
        self.promised_to, self.promised_until = (
            "",
            now + times.lease_ms * MAX_CLOCK_RATE_RATIO,
        )  # maybe promised before a restart
        self.promised_request = (0, 0)  # incarnation and ballot of the request
        self.can_serve = True  # whether this process is able to serve credit, and so may be a candidate
        # Lets other candidates go first: this process leads another group and would lose both roles at once.
        self.defers_candidacy = False
        self._deferred_candidacy = False  # done once since the last heartbeat
        self.recovered_promise = ""  # recipient of the promise of the previous incarnation; "": not known
        self.role = Role.FOLLOWER
        self.incarnation, self.ballot, self.ballot_sent_at = rng.getrandbits(60), rng.getrandbits(40), -inf
        self.promises: set[str] = set()
        self.lease_expires_at = -inf
        self.next_heartbeat_at = self.next_renewal_at = -inf
        self.election_timer_at = now + self.draw_election_timeout()

    # Hooks for subclasses

    def on_elected(self, now: float) -> None:
        """Called when this process becomes the credit server."""

    def on_stepped_down(self, now: float) -> None:
        """Called when this process is no longer a candidate or the credit server."""

    def on_credit_server_changed(self, now: float) -> None:
        """Called on the first heartbeat of another credit server or of a new term."""

    def on_promise_released(self, now: float) -> None:
        """Called on an acceptor whose promise was released by its holder."""

    def heartbeat_targets(self, now: float) -> list[str]:
        """Recipients of the credit server's heartbeats."""
        return self.reachable

    def on_promise(self, now: float, name: str, ballot: int) -> None:
        """Called on an acceptor that has made a promise; confirms it to the candidate."""
        self.confirm_promise(now, name, ballot)

    def matches_recovered_promise(self, name: str) -> bool:
        """Whether the acceptor's previous incarnation is known to have made its last promise to this name."""
        return bool(name) and name == self.recovered_promise

    # Time

    def draw_election_timeout(self) -> float:
        return self.times.election_timeout_ms + self.rng.uniform(0.0, self.times.election_timeout_ms)

    @property
    def majority(self) -> int:
        return len(self.acceptors) // 2 + 1

    def next_lease_wakeup(self) -> float:
        """Time of the next action of the lease."""
        if self.role is Role.CREDIT_SERVER:
            return min(
                self.election_timer_at, self.next_heartbeat_at, self.next_renewal_at, self.lease_expires_at
            )
        return self.election_timer_at

    def tick_lease(self, now: float) -> None:
        if self.role is Role.CREDIT_SERVER:
            self.tick_credit_server(now)
        if now < self.election_timer_at:
            return
        self.election_timer_at = now + self.draw_election_timeout()
        if self.role is Role.CANDIDATE:
            self.step_down(now)
        elif self.role is Role.FOLLOWER and self.name in self.acceptors and self.can_serve:
            if now - self.credit_server_heard_at >= self.times.election_timeout_ms:
                self.start_election(now)

    def start_election(self, now: float) -> None:
        """Become a candidate, or defer once to others; the previous holder never defers."""
        if (
            self.defers_candidacy
            and not self._deferred_candidacy
            and not self.matches_recovered_promise(self.name)
        ):
            self._deferred_candidacy = True
            self.election_timer_at = now + self.times.election_timeout_ms
            return
        self.role = Role.CANDIDATE
        self.election_timer_at = now + self.times.candidacy_timeout_ms
        self.send_lease_requests(now)

    def tick_credit_server(self, now: float) -> None:
        if now >= self.lease_expires_at:
            self.counts["leases_lost"] += 1
            self.step_down(now)
            return
        if now >= self.next_renewal_at:
            self.next_renewal_at = now + self.times.renewal_interval_ms
            self.send_lease_requests(now)
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + self.times.heartbeat_interval_ms
            for name in self.heartbeat_targets(now):
                self.outgoing.append((name, CreditServerHeartbeat(self.term)))

    def step_down(self, now: float) -> None:
        if self.role is Role.CANDIDATE:
            self.release_promises()
        if self.promised_to == self.name:
            self.promised_until = now
        self.role, self.credit_server = Role.FOLLOWER, ""
        self.election_timer_at = now + self.draw_election_timeout()
        self.on_stepped_down(now)

    def release_promises(self) -> None:
        """Release the promises that acceptors made to this process."""
        for name in self.acceptors:
            if name != self.name:
                self.outgoing.append((name, LeaseRequest(self.incarnation, self.ballot, True)))

    # The lease

    def send_lease_requests(self, now: float) -> None:
        self.ballot, self.ballot_sent_at = self.ballot + 1, now
        self.promises = set()
        if self.try_promise(now, self.name, (self.incarnation, self.ballot)):
            self.on_promise(now, self.name, self.ballot)
        for name in self.acceptors:
            if name != self.name:
                self.outgoing.append((name, LeaseRequest(self.incarnation, self.ballot)))

    def confirm_promise(self, now: float, name: str, ballot: int) -> None:
        """Confirm a promise to its candidate, which may be this process."""
        if name != self.name:
            self.outgoing.append((name, Promise(ballot, True)))
        elif ballot == self.ballot:
            self.promises.add(name)
            self.count_promises(now)

    def try_promise(self, now: float, name: str, request_id: tuple[int, int]) -> bool:
        """Make a promise as an acceptor; False while promised to another, or for an outdated request."""
        outdated = (
            self.promised_to == name
            and self.promised_request[0] == request_id[0]
            and request_id[1] <= self.promised_request[1]
        )
        holder = self.promised_to or (name if self.matches_recovered_promise(name) else "")
        if outdated or (now < self.promised_until and holder != name):
            return False
        self.promised_to, self.promised_request = name, request_id
        self.promised_until = now + self.times.lease_ms * MAX_CLOCK_RATE_RATIO
        return True

    def count_promises(self, now: float) -> None:
        if len(self.promises) < self.majority or self.role is Role.FOLLOWER:
            return
        self.lease_expires_at = self.ballot_sent_at + self.times.lease_ms
        if self.role is Role.CANDIDATE and now < self.lease_expires_at:
            self.role, self.credit_server = Role.CREDIT_SERVER, self.name
            self.term = self.ballot
            self.counts["elected"] += 1
            self.next_renewal_at, self.next_heartbeat_at = (
                self.ballot_sent_at + self.times.renewal_interval_ms,
                now,
            )
            self.on_elected(now)

    # Messages

    def receive_lease_message(
        self, now: float, sender: str, message: LeaseRequest | Promise | CreditServerHeartbeat
    ) -> None:
        if isinstance(message, LeaseRequest):
            self.on_lease_request(now, sender, message)
        elif isinstance(message, Promise):
            if message.ballot == self.ballot and message.granted and sender in self.acceptors:
                self.promises.add(sender)
                self.count_promises(now)
        else:
            self.on_heartbeat(now, sender, message.term)

    def on_lease_request(self, now: float, sender: str, request: LeaseRequest) -> None:
        if self.name not in self.acceptors or sender not in self.acceptors:
            return
        if not request.release:
            if self.try_promise(now, sender, (request.incarnation, request.ballot)):
                self.on_promise(now, sender, request.ballot)
            else:
                self.outgoing.append((sender, Promise(request.ballot, False)))
        elif self.promised_to == sender and self.promised_request == (request.incarnation, request.ballot):
            self.promised_until = now
            self.on_promise_released(now)

    def on_heartbeat(self, now: float, sender: str, term: int) -> None:
        self._deferred_candidacy = False
        if self.role is Role.CANDIDATE:
            self.step_down(now)
        if self.role is Role.FOLLOWER:
            if (sender, term) != (self.credit_server, self.term):
                self.credit_server, self.term = sender, term
                self.on_credit_server_changed(now)
            self.credit_server_heard_at = now
