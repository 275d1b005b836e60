"""Rollout of a policy version through replicated phases.

The rollout's state is the result of applying the log of `barleybarrow.agreement`, identical on all members
that have applied the same index. Its driver runs on the leader. It acts only by appending steps to the log,
and appends none before every member of the roster has applied the previous one or is known to be down since.

| phase | rules enforced | transitions |
| --- | --- | --- |
| PROPOSED | the old | all have checked it: JOINT; rejected by a member, withdrawn or timed out: WITHDRAWN |
| JOINT | the stricter of old and new | all have applied it: IN_FORCE; withdrawn or timed out: WITHDRAWN |
| IN_FORCE | the new, until the next version is in force | - |
| WITHDRAWN | the old | - |
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from typing import Annotated

from msgspec import Meta, Struct, msgpack

from barleybarrow.policy import MAX_DOCUMENT_BYTES, PolicyError, Rules, parse_policy, stricter

MAX_VERSIONS = 200  # retained; those in force and pending are always retained
MAX_ROSTER = 1024  # limit of members
MAX_VOTERS = 7
STEP_RETRY_INTERVAL_MS = 500.0  # between appends of the same step until it is committed
DOWN_CHECK_DELAY_MS = 500.0  # from the start of a phase until unresponsive members are probed
CHECK_TIMEOUT_MS = 500.0  # with leases, how long a proposal waits for the checks of unresponsive members

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=2**53)]
PROPOSED, JOINT, IN_FORCE, WITHDRAWN = "proposed", "joint", "in force", "withdrawn"


class Propose(Struct, array_like=True, frozen=True, tag=1):
    """Proposes a new version. `id` is chosen by the proposer and makes retries idempotent."""

    id: Annotated[str, Meta(min_length=1, max_length=64)]
    who: Annotated[str, Meta(max_length=64)]
    why: Annotated[str, Meta(max_length=500)]
    at: float  # Unix seconds on the proposer's clock, for display only
    text: Annotated[str, Meta(max_length=MAX_DOCUMENT_BYTES)]


class Step(Struct, array_like=True, frozen=True, tag=2):
    """Moves a version to its next phase."""

    number: Number
    phase: str
    why: Annotated[str, Meta(max_length=500)] = ""


class Join(Struct, array_like=True, frozen=True, tag=3):
    """Adds a proxy to the roster, the members that every step waits for."""

    name: Name


class Drop(Struct, array_like=True, frozen=True, tag=4):
    """Removes a proxy from the roster."""

    name: Name
    who: Annotated[str, Meta(max_length=64)]


class Electorate(Struct, array_like=True, frozen=True, tag=5):
    """Requests a set of voters, which the leader establishes one change at a time."""

    names: Annotated[list[Name], Meta(min_length=1, max_length=MAX_VOTERS)]
    who: Annotated[str, Meta(max_length=64)]


Command = Propose | Step | Join | Drop | Electorate


class Version(Struct):
    """A proposed policy version and its phase."""

    number: int
    id: str
    who: str
    why: str
    at: float
    text: str
    phase: str
    ended: str = ""  # why it was withdrawn
    proposed_at: int = 0  # index in the log
    joint_at: int = 0


class RolloutSnapshot(Struct):
    """The rollout state as stored in a snapshot."""

    versions: list[Version]
    roster: list[str]
    force: int
    pending: int
    electorate: list[str] = []


class RolloutState:
    """The replicated state of rollouts: versions, roster and requested voters."""

    def __init__(self) -> None:
        self.versions: dict[int, Version] = {}
        self.by_id: dict[str, int] = {}
        self.roster: dict[str, None] = {}
        self.force = self.pending = 0  # version numbers; 0: the settings in the operators' files
        self.electorate: list[str] = []  # voters last requested by administrators; empty if never requested
        self.applied = 0
        self.rejected_commands = 0  # commands that were invalid, late or repeated

    # Applying the log

    def apply(self, index: int, data: bytes) -> None:
        """Apply the next entry. One that is unreadable or no longer applicable is ignored on every member."""
        self.applied = index
        if not data:
            return
        try:
            command = msgpack.decode(data, type=Command)
        except ValueError:
            self.rejected_commands += 1
            return
        if isinstance(command, Propose):
            self.apply_proposal(index, command)
        elif isinstance(command, Step):
            self.apply_step(index, command)
        elif isinstance(command, Join):
            if command.name in self.roster or len(self.roster) < MAX_ROSTER:
                self.roster[command.name] = None
            else:
                self.rejected_commands += 1
        elif isinstance(command, Electorate):
            if len(set(command.names)) == len(command.names) and all(n in self.roster for n in command.names):
                self.electorate = list(command.names)
            else:
                self.rejected_commands += 1
        else:
            self.roster.pop(command.name, None)

    def apply_proposal(self, index: int, proposal: Propose) -> None:
        """Add a version; it is withdrawn at once while another one is pending."""
        if proposal.id in self.by_id:
            return
        number = max(self.versions, default=0) + 1
        version = Version(
            number,
            proposal.id,
            proposal.who,
            proposal.why,
            proposal.at,
            proposal.text,
            PROPOSED,
            proposed_at=index,
        )
        if self.pending:
            version.phase, version.ended = WITHDRAWN, f"version {self.pending} was on its way"
        else:
            self.pending = number
        self.versions[number] = version
        self.by_id[proposal.id] = number
        for number_to_drop in sorted(self.versions)[:-MAX_VERSIONS]:
            if number_to_drop not in (self.force, self.pending):
                self.by_id.pop(self.versions.pop(number_to_drop).id, None)

    def apply_step(self, index: int, step: Step) -> None:
        version = self.versions.get(step.number)
        if version is None or step.number != self.pending:
            self.rejected_commands += 1
        elif step.phase == JOINT and version.phase == PROPOSED:
            version.phase, version.joint_at = JOINT, index
        elif step.phase == IN_FORCE and version.phase == JOINT:
            version.phase, self.force, self.pending = IN_FORCE, version.number, 0
        elif step.phase == WITHDRAWN and version.phase in (PROPOSED, JOINT):
            version.phase, version.ended, self.pending = WITHDRAWN, step.why, 0
        else:
            self.rejected_commands += 1

    # Queries and snapshots

    def text(self, number: int) -> str:
        """The document of a version; empty for version 0."""
        return self.versions[number].text if number in self.versions else ""

    def rules(self) -> Rules:
        """The rules enforced by a proxy in this state."""
        current = rules_or_default(self.text(self.force))
        version = self.versions.get(self.pending)
        return (
            stricter(current, rules_or_default(version.text))
            if version is not None and version.phase == JOINT
            else current
        )

    def rejection(self) -> tuple[int, str] | None:
        """Number of the proposed version and why this process cannot enforce it; None if it can."""
        version = self.versions.get(self.pending)
        if version is None or version.phase != PROPOSED:
            return None
        try:
            parse_policy(version.text)
        except PolicyError as error:
            return version.number, str(error)
        return None

    def save(self) -> bytes:
        versions = list(self.versions.values())
        snapshot = RolloutSnapshot(versions, list(self.roster), self.force, self.pending, self.electorate)
        return msgpack.encode(snapshot)

    def load(self, index: int, data: bytes) -> None:
        snapshot = msgpack.decode(data, type=RolloutSnapshot) if data else RolloutSnapshot([], [], 0, 0)
        self.versions = {v.number: v for v in snapshot.versions}
        self.by_id = {v.id: v.number for v in snapshot.versions}
        self.roster = dict.fromkeys(snapshot.roster)
        self.force, self.pending, self.applied = snapshot.force, snapshot.pending, index
        self.electorate = snapshot.electorate


def rules_or_default(text: str) -> Rules:
    """The rules of a document, defaults if it is invalid: then this process cannot have accepted it."""
    try:
        return parse_policy(text)
    except PolicyError:
        return Rules()


@dataclass(frozen=True)
class MemberReport:
    """The last report of one member: its applied index, and the version that it rejects."""

    applied: int
    rejected_version: int = 0  # 0 for none
    reason: str = ""
    durable: bool = False  # it has a store and may vote


@dataclass(frozen=True)
class RolloutActions:
    """Steps to append, and members to probe for being down."""

    steps: list[Step]
    probe_targets: list[str]


class RolloutDriver:
    """Drives the pending version through its phases on the leader. Times are on its own monotonic clock."""

    def __init__(self, timeout_ms: float) -> None:
        self.timeout_ms = timeout_ms  # after which a pending version is withdrawn
        self.number = 0
        self.phase = ""
        self.started_at = self.phase_started_at = self.last_step_at = 0.0
        self.down_at: dict[str, float] = {}  # by member: when it was last found to be down
        self.missing: list[str] = []

    def on_elected(self) -> None:
        """This process has become leader: discard what it knew of members in earlier terms."""
        self.number, self.phase = 0, ""
        self.down_at.clear()

    def mark_down(self, now: float, name: str) -> None:
        """Count a member as down: its address refused a connection that was started in this phase.

        A process that starts there later reads the current state before it admits requests.
        """
        self.down_at[name] = now

    def next_actions(
        self, now: float, state: RolloutState, reports: Mapping[str, MemberReport], lease_wait_ms: float
    ) -> RolloutActions:
        """The next actions; called often.

        `lease_wait_ms`: how long after the start of a phase an unresponsive member may still hold a lease
        from before it.
        """
        version = state.versions.get(state.pending)
        if version is None:
            self.number, self.missing = 0, []
            return RolloutActions([], [])
        if version.number != self.number:
            self.number, self.started_at, self.phase = version.number, now, ""
        if version.phase != self.phase:
            self.phase, self.phase_started_at, self.last_step_at = version.phase, now, -inf
            self.down_at.clear()  # a member that was down may have restarted before this phase was committed
        index = version.proposed_at if version.phase == PROPOSED else version.joint_at
        self.missing = [
            name
            for name in state.roster
            if reports.get(name, MemberReport(0)).applied < index and name not in self.down_at
        ]
        rejections = [
            (name, report)
            for name, report in reports.items()
            if report.rejected_version == version.number and name in state.roster
        ]
        wait_ms = (
            min(lease_wait_ms, CHECK_TIMEOUT_MS)
            if version.phase == PROPOSED and lease_wait_ms < inf
            else lease_wait_ms
        )
        step = None
        if rejections and version.phase == PROPOSED:
            name, report = min(rejections, key=lambda item: item[0])
            step = Step(version.number, WITHDRAWN, f"{name}: {report.reason}"[:500])
        elif not self.missing or now - self.phase_started_at >= wait_ms:
            step = Step(version.number, JOINT if version.phase == PROPOSED else IN_FORCE)
        elif now - self.started_at >= self.timeout_ms:
            step = Step(
                version.number, WITHDRAWN, ("not taken up in time by " + " ".join(self.missing))[:500]
            )
        probe_targets = self.missing if now - self.phase_started_at >= DOWN_CHECK_DELAY_MS else []
        if step is None or now - self.last_step_at < STEP_RETRY_INTERVAL_MS:
            return RolloutActions([], probe_targets)
        self.last_step_at = now
        return RolloutActions([step], probe_targets)
