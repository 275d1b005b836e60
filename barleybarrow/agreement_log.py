"""The Raft log and hard state (term and vote) of one process.

What has been reported as persisted must never be taken back: writes and messages are collected in one
`Ready`, which is persisted first, then sent, then applied.
"""

from collections import Counter
from enum import Enum

from msgspec import msgpack

from barleybarrow.agreement_messages import AppendEntries, Entry, EntryKind, Message, Ready, Snapshot

MAX_QUEUED_MESSAGES = 4000


class Role(Enum):
    """Raft role of a process in its term; the table in `barleybarrow.agreement` lists the transitions."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "probing"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicatedLog:
    """Snapshot, the entries after it, term, vote, and the voters named by the newest membership entry."""

    def __init__(
        self,
        name: str,
        voters: list[str],
        term: int,
        vote: str,
        snapshot: Snapshot | None,
        entries: list[Entry] | None,
    ) -> None:
        self.name = name
        self.term, self.vote = term, vote
        self.snapshot = snapshot or Snapshot(0, 0, voters, b"")
        self.entries = list(entries or ())
        self.voters = self.latest_voters()
        self.persisted_index = self.last_index
        self.commit_index = self.applied_index = self.snapshot.index
        self.role = Role.FOLLOWER if name in self.voters else Role.LEARNER
        self.ready = Ready()
        self.counters: Counter[str] = Counter()

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    def term_at(self, index: int) -> int:
        """Term of the entry at an index, which may be the snapshot's last; -1 if it is not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.entries[index - self.snapshot.index - 1].term
        return -1

    def latest_voters(self) -> list[str]:
        """Voters named by the newest membership entry in the log, committed or not."""
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.VOTERS:
                return msgpack.decode(entry.data, type=list[str])
        return list(self.snapshot.voters)

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def dropped(self) -> int:
        """Messages, reads and learners' responses dropped because a limit was reached."""
        return sum(self.counters[reason] for reason in ("messages", "reads", "learners"))

    def append(self, entry: Entry) -> int:
        self.overwrite_from(self.last_index + 1, [entry])
        return self.last_index

    def overwrite_from(self, first_index: int, entries: list[Entry]) -> None:
        """Write entries from an index on, replacing whatever follows it."""
        del self.entries[first_index - self.snapshot.index - 1 :]
        self.entries += entries
        ready = self.ready
        if ready.entries and first_index <= ready.first_index + len(ready.entries):
            del ready.entries[max(0, first_index - ready.first_index) :]
            if first_index < ready.first_index:
                ready.first_index = first_index
        elif not ready.entries:
            ready.first_index = first_index
        ready.entries += entries
        self.persisted_index = min(self.persisted_index, first_index - 1)
        self.voters = self.latest_voters()
        self.update_role()

    def update_role(self) -> None:
        """Switch between learner and follower as the membership requires; a leader keeps its role."""
        if self.name not in self.voters and self.role is not Role.LEADER:
            self.role = Role.LEARNER
        elif self.name in self.voters and self.role is Role.LEARNER:
            self.role = Role.FOLLOWER

    def try_append(self, message: AppendEntries) -> int:
        """Append a leader's entries: the last index that matches its log, or -1 on a mismatch."""
        if message.prev_index < self.snapshot.index:  # entries in the snapshot are committed, so they match
            skip = self.snapshot.index - message.prev_index
            if skip >= len(message.entries):
                return max(self.snapshot.index, 0)
            prev_index, entries = self.snapshot.index, message.entries[skip:]
        else:
            prev_index, entries = message.prev_index, message.entries
            if self.term_at(prev_index) != message.prev_term:
                return -1
        for i, entry in enumerate(entries):
            if self.term_at(prev_index + 1 + i) != entry.term:
                self.overwrite_from(prev_index + 1 + i, entries[i:])
                break
        return prev_index + len(entries)

    def install_snapshot(self, snapshot: Snapshot) -> int:
        """Install a leader's snapshot unless it is outdated: the last index that matches its log."""
        if snapshot.index <= self.commit_index:
            return self.commit_index
        if self.term_at(snapshot.index) == snapshot.term:
            del self.entries[: snapshot.index - self.snapshot.index]
        else:
            self.entries = []
        self.snapshot = snapshot
        self.ready.snapshot, self.ready.entries = snapshot, list(self.entries)
        self.ready.first_index = snapshot.index + 1
        self.commit_index = self.applied_index = snapshot.index
        self.persisted_index = min(self.persisted_index, self.last_index)
        self.voters = self.latest_voters()
        self.update_role()
        return snapshot.index

    def compact(self, index: int, data: bytes) -> Snapshot | None:
        """Replace applied entries by a snapshot, which the caller has to persist.

        None if the index is not above the current snapshot's, or was not applied.
        """
        if not self.snapshot.index < index <= self.applied_index:
            return None
        voters = self.voters_at(index)
        snapshot = Snapshot(index, self.term_at(index), voters, data)
        del self.entries[: index - self.snapshot.index]
        self.snapshot = snapshot
        return snapshot

    def voters_at(self, index: int) -> list[str]:
        for i in range(index - self.snapshot.index - 1, -1, -1):
            if self.entries[i].kind == EntryKind.VOTERS:
                return msgpack.decode(self.entries[i].data, type=list[str])
        return list(self.snapshot.voters)

    # Output

    def set_hard_state(self, term: int, vote: str) -> None:
        """Set term and vote, to be persisted before any message is sent."""
        self.term, self.vote = term, vote
        self.ready.hard_state = term, vote

    def full_state(self) -> Ready:
        """The whole state, for an empty store."""
        first_index = self.snapshot.index + 1
        return Ready((self.term, self.vote), self.snapshot, first_index, list(self.entries))

    def take_ready(self) -> Ready | None:
        """The pending writes, messages and committed entries; None if there are none."""
        ready = self.ready
        ready.committed_entries = []
        while self.applied_index < min(self.commit_index, self.last_index):
            self.applied_index += 1
            ready.committed_entries.append(
                (self.applied_index, self.entries[self.applied_index - self.snapshot.index - 1])
            )
        if not (
            ready.hard_state or ready.snapshot or ready.entries or ready.messages or ready.committed_entries
        ):
            return None
        ready.last_index, ready.last_term = self.last_index, self.term_at(self.last_index)
        self.ready = Ready()
        return ready

    def send(self, to: str, message: Message) -> None:
        """Queue a message; if too many are queued, the older half is dropped."""
        self.ready.messages.append((to, message))
        if len(self.ready.messages) > MAX_QUEUED_MESSAGES:  # slow disk; Raft tolerates lost messages
            del self.ready.messages[: MAX_QUEUED_MESSAGES // 2]
            self.counters["messages"] += MAX_QUEUED_MESSAGES // 2
