"""Elections with pre-vote and check-quorum. Raft, 5.2; Ongaro's thesis (2014), 6.2 and 9.6.

A process must never cast two votes in one term, nor any while its store may lack an earlier vote.
"""

from math import inf
from random import Random
from typing import Any

from barleybarrow.agreement_log import Role
from barleybarrow.agreement_messages import Entry, EntryKind, RequestVote, VoteResponse
from barleybarrow.agreement_reads import ReadIndex
from barleybarrow.agreement_replication import Progress

ELECTION_TIMEOUT_MS = 600.0  # plus a random extra of up to the same length
BROKEN_LINK_TIMEOUT_MS = (150.0, 450.0)  # shorter election timeout after the link to the leader broke
LEARNER_EXPIRY_MS = 30_000.0  # the leader drops a learner that has been silent for this long


class Elections(ReadIndex):
    """Leader election of one process."""

    def __init__(self, rng: Random, now: float, quarantined: bool, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.rng = rng
        self.leader_heard_at = -inf
        self.quarantined = quarantined  # the store may have lost promises: no votes, and no part in a quorum
        self.votes: set[str] = set()
        self.election_due_at = now + self.random_election_timeout()
        self.heartbeat_due_at = self.quorum_check_due_at = now
        self.leader_since = -inf

    def random_election_timeout(self) -> float:
        return ELECTION_TIMEOUT_MS + self.rng.uniform(0.0, ELECTION_TIMEOUT_MS)

    def on_stall(self, now: float) -> None:
        """Restart the timers after this process was stalled: it cannot tell who was silent meanwhile."""
        self.election_due_at = now + self.random_election_timeout()
        self.leader_heard_at = -inf
        if self.role is Role.LEADER:
            self.become_follower(now, self.term, "")

    def end_quarantine(self) -> None:
        """Vote and count in quorums again, now that the log holds all that was lost.

        The vote this process may have cast in the current term is unknown, so it records one for the leader
        or, if no leader is known, for itself: no other candidate of this term can get a second vote.
        """
        self.quarantined = False
        if not self.vote:
            self.set_hard_state(self.term, self.leader or self.name)

    def become_follower(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self.set_hard_state(term, "")
        self.role = Role.FOLLOWER if self.name in self.voters else Role.LEARNER
        self.leader = leader
        self.votes.clear()
        self.pending_reads.clear()
        self.progress.clear()
        self.election_due_at = now + self.random_election_timeout()

    def campaign(self, now: float, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Start a pre-vote, or an election in a new term; a single voter wins at once."""
        self.leader = ""
        self.votes = {self.name}
        if pre_vote:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self.set_hard_state(self.term + 1, self.name)
        if len(self.votes) >= self.majority:
            self.on_vote_majority(now, pre_vote)
            return
        request = RequestVote(
            self.term + pre_vote,
            self.last_index,
            self.term_at(self.last_index),
            pre_vote,
            leadership_transfer,
        )
        for name in self.voters:
            if name != self.name:
                self.send(name, request)

    def on_vote_majority(self, now: float, pre_vote: bool) -> None:
        """After a majority of grants: start the election that follows a pre-vote, or become leader."""
        if pre_vote:
            self.campaign(now, pre_vote=False)
            return
        self.role, self.leader, self.leader_since = Role.LEADER, self.name, now
        self.progress = {name: Progress(self.last_index + 1) for name in self.voters if name != self.name}
        for p in self.progress.values():
            p.last_heard_at = now
        self.quorum_check_due_at = now + ELECTION_TIMEOUT_MS
        self.append(Entry(self.term, EntryKind.NOOP))
        self.counters["led"] += 1
        self.broadcast_heartbeat(now)

    def handle_vote_request(self, now: float, sender: str, request: RequestVote) -> None:
        """Handle a vote or pre-vote request."""
        up_to_date = (request.last_term, request.last_index) >= (
            self.term_at(self.last_index),
            self.last_index,
        )
        has_leader = now - self.leader_heard_at < ELECTION_TIMEOUT_MS or self.role is Role.LEADER
        if self.quarantined or self.name not in self.voters:
            return
        if request.pre_vote:
            granted = up_to_date and request.term > self.term and not has_leader
            self.send(sender, VoteResponse(request.term if granted else self.term, granted, True))
            return
        if has_leader and request.term > self.term and not request.leadership_transfer:
            return  # a process that cannot hear the leader must not depose one that this process hears
        if request.term > self.term:
            self.become_follower(now, request.term, "")
        granted = request.term == self.term and up_to_date and self.vote in ("", sender)
        if granted:
            self.set_hard_state(self.term, sender)
            self.election_due_at = now + self.random_election_timeout()
        self.send(sender, VoteResponse(self.term, granted, False))

    def handle_vote_response(self, now: float, sender: str, response: VoteResponse) -> None:
        """Count a vote or pre-vote."""
        if response.pre_vote:
            if self.role is Role.PRE_CANDIDATE and response.term == self.term + 1 and response.granted:
                self.votes.add(sender)
            elif not response.granted and response.term > self.term:
                self.become_follower(now, response.term, "")
                return
        elif response.term > self.term:
            self.become_follower(now, response.term, "")
            return
        elif self.role is Role.CANDIDATE and response.term == self.term and response.granted:
            self.votes.add(sender)
        if (
            self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
            and len(self.votes & {*self.voters}) >= self.majority
        ):
            self.on_vote_majority(now, self.role is Role.PRE_CANDIDATE)

    def choose_successor(self, now: float) -> str:
        """The recently heard voter with the longest matching log, to transfer leadership to; "" if none."""
        candidates = [
            (p.match_index, name)
            for name, p in self.progress.items()
            if name in self.voters and now - p.last_heard_at < ELECTION_TIMEOUT_MS
        ]
        return max(candidates)[1] if candidates else ""

    def on_link_down(self, now: float, name: str) -> None:
        """Shorten the election timeout if the broken link leads to the leader."""
        if self.leader == name and self.role is not Role.LEADER:
            self.leader_heard_at = -inf
            self.election_due_at = min(self.election_due_at, now + self.rng.uniform(*BROKEN_LINK_TIMEOUT_MS))

    def check_quorum(self, now: float) -> None:
        """Step down if no majority was heard within an election timeout; thesis, 6.2."""
        self.quorum_check_due_at = now + ELECTION_TIMEOUT_MS / 2
        heard = sum(
            now - self.progress[n].last_heard_at < ELECTION_TIMEOUT_MS
            for n in self.voters
            if n in self.progress
        )
        if heard + (self.name in self.voters) < self.majority:
            self.counters["stepped_down"] += 1
            self.become_follower(now, self.term, "")
            return
        for name in [n for n, p in self.progress.items() if n not in self.voters]:
            if now - self.progress[name].last_heard_at > LEARNER_EXPIRY_MS:
                del self.progress[name]
