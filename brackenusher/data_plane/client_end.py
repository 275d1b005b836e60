"""The end of a client's connection while its request is in flight: how it was noticed, and when."""

from dataclasses import dataclass
from enum import StrEnum


class EndSign(StrEnum):
    """The first sign of a client's end; the values label the metric `client_end_seconds`."""

    HALF_CLOSED = (
        "half_closed"  # the client's input has ended: it has closed its socket, or only stopped to send
    )
    DISCONNECTED = "disconnected"  # the connection is lost, by a reset or by our own close


@dataclass(frozen=True, slots=True)
class ClientEnd:
    """The first sign of a client's end, and its time in seconds on the loop's clock."""

    sign: EndSign
    noticed_at: float
