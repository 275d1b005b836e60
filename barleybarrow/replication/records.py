"""What is known of servers, as plain values: no I/O, no clock.

A server is known by the id of one incarnation (one start of it). Times are milliseconds.
"""

from dataclasses import dataclass, field
from enum import IntEnum


class InstanceState(IntEnum):
    """State of one incarnation; the numbers are those of the internal protocol."""

    UNKNOWN = 0
    READY = 1
    DRAINING = 2  # final but for GONE
    GONE = 3  # deregistered: final
    SILENT = 4  # no heartbeat for long; a later heartbeat brings it back


FINALITY = {
    InstanceState.UNKNOWN: 0,
    InstanceState.READY: 0,
    InstanceState.SILENT: 0,
    InstanceState.DRAINING: 1,
    InstanceState.GONE: 2,
}


@dataclass(slots=True)
class InstanceModel:
    """A model that a server holds."""

    name: str
    generation: int = 0
    adapters: list[str] = field(default_factory=list)


@dataclass(slots=True)
class InstanceRecord:
    """What one incarnation of a server told of itself, and the state that it is in."""

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
        """Whether nothing but state, sequence and the time that it stays cold differs."""
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
    """A heartbeat that changed nothing but the sequence."""

    id: str
    sequence: int
