"""What a link's machine asks its driver to do."""

from dataclasses import dataclass

from testbed.relay.script import Way

MOST_HELD = 256 * 1024  # bytes in one direction; beyond, its sender is not read until some have left


@dataclass(slots=True)
class Write:
    """Write these bytes to the far side of a direction."""

    way: Way
    data: bytes


@dataclass(slots=True)
class End:
    """End the sending to the far side of a direction."""

    way: Way


@dataclass(slots=True)
class Close:
    """End the sending to both sides and let go of the link once what was written is out."""


@dataclass(slots=True)
class Reset:
    """Reset one side or both; the other one is closed."""

    side: str


Deed = Write | End | Close | Reset
