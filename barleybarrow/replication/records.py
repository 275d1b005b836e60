"""Value types for the state of servers: no I/O, no clock.

An instance id identifies one incarnation of a server, that is one start of its process. Times are
in milliseconds.
"""

from dataclasses import dataclass, field
from enum import IntEnum


class InstanceState(IntEnum):
    """State of one incarnation; the values are those of the internal protocol."""

    UNKNOWN = 0
    READY = 1
    DRAINING = 2  # final, except that GONE may follow
    GONE = 3  # deregistered: final
    SILENT = 4  # heartbeats are missing; a later heartbeat makes it ready again


FINALITY = {
    InstanceState.UNKNOWN: 0,
    InstanceState.READY: 0,
    InstanceState.SILENT: 0,
    InstanceState.DRAINING: 1,
    InstanceState.GONE: 2,
}


@dataclass(slots=True)
class InstanceModel:
    """A model that a server has loaded."""

    name: str
    generation: int = 0
    adapters: list[str] = field(default_factory=list)


@dataclass(slots=True)
class InstanceRecord:
    """The details that one incarnation of a server reported, and its state."""

    id: str
    service: str = ""
    address: str = ""
    zone: str = ""
    generation: str = ""
    slots: int = 0
    state: InstanceState = InstanceState.READY
    sequence: int = 0
    cold_remaining_ms: int = 0
    stage: str = ""
    models: list[InstanceModel] = field(default_factory=list)

    def same_details(self, other: "InstanceRecord") -> bool:
        """Whether the records differ at most in state, sequence and remaining cold-start time."""
        return (
            self.service == other.service
            and self.address == other.address
            and self.zone == other.zone
            and self.generation == other.generation
            and self.slots == other.slots
            and self.stage == other.stage
            and self.models == other.models
        )


@dataclass(slots=True, frozen=True)
class Renewal:
    """A heartbeat that changes only the sequence."""

    id: str
    sequence: int
