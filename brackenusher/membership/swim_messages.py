"""Messages in SWIM datagrams, and the state kept of each member."""

from dataclasses import dataclass
from ipaddress import ip_address
from math import inf
from typing import Annotated

from msgspec import Meta, Struct

from barleybarrow.view_messages import AgreementMessage
from barleybarrow.views import ViewStamp

Address = tuple[str, int]
MAX_UPDATES_PER_DATAGRAM = 128  # no more fit a datagram
REPLAY_WINDOW = 256  # sequence numbers below the highest one that are tracked
STATES = ("alive", "suspect", "dead", "left")
PING, ACK, PING_REQ, GOSSIP, VIEW = 0, 1, 2, 4, 5
MAX_NAME_LENGTH = 64  # characters; a datagram must fit two, one in an update and one outside
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Number = Annotated[int, Meta(ge=0, le=2**53)]
Nonce = Annotated[int, Meta(ge=0)]


class Update(Struct, array_like=True, frozen=True):
    """Gossip about a member; fields that newer versions append are ignored."""

    name: Name
    host: Annotated[str, Meta(max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65_535)]
    epoch: Number  # Unix milliseconds of its own clock when it started
    incarnation: Number
    state: Annotated[int, Meta(ge=0, le=3)]
    by: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""  # the member that suspects it

    @property
    def rank(self) -> tuple[int, int, int]:
        """The higher wins: by epoch, then by incarnation, then by the worse state."""
        return self.epoch, self.incarnation, self.state


class Message(Struct, array_like=True, frozen=True):
    """The body of a datagram."""

    sender: Name
    epoch: Number
    sequence: Number
    kind: Annotated[int, Meta(ge=0, le=255)]
    nonce: Nonce
    # the intended receiver; of PING_REQ, the member to be pinged
    target: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""
    wants_list: bool = False  # the sender requests the full member list
    updates: Annotated[list[Update], Meta(max_length=MAX_UPDATES_PER_DATAGRAM)] = []
    records: Annotated[list[bytes], Meta(max_length=MAX_UPDATES_PER_DATAGRAM)] = []
    stamp: ViewStamp = ViewStamp()
    body: AgreementMessage | None = None  # of VIEW


@dataclass(slots=True)
class Member:
    """Another proxy."""

    name: str
    address: Address
    epoch: int
    incarnation: int
    state: int
    state_since: float
    verified: bool = False  # this epoch has answered a nonce of ours
    trusts_us: bool = False  # we have answered one of its, so it accepts our gossip
    heard_at: float = -inf
    highest_sequence: int = -1  # received, and a bit for each lower one in the window
    received_bits: int = 0
    list_sent_at: float = -inf

    def update(self, by: str = "") -> Update:
        return Update(self.name, *self.address, self.epoch, self.incarnation, self.state, by)

    def accept_sequence(self, serial: int) -> bool:
        """Record a sequence number; return False for a replay or one below the window (RFC 4303, 3.4.3)."""
        if serial > self.highest_sequence:
            self.received_bits = (
                self.received_bits << min(serial - self.highest_sequence, REPLAY_WINDOW) | 1
            ) & (1 << REPLAY_WINDOW) - 1
            self.highest_sequence = serial
            return True
        offset = self.highest_sequence - serial
        if offset >= REPLAY_WINDOW or self.received_bits >> offset & 1:
            return False
        self.received_bits |= 1 << offset
        return True


@dataclass(slots=True)
class PendingPing:
    """A ping without an answer so far."""

    name: str  # empty for a seed, of which only the address is known
    address: Address
    expires_at: float
    on_behalf_of: tuple[Address, int] | None = None  # address and nonce of the member that requested it
    wants_list: bool = False  # send it the full list once it has answered
    miss_reported: bool = False  # to the view agreement


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    name: str
    nonce: int
    indirect_at: float  # when others are asked to ping
    ends_at: float
    indirect_sent: int = 0


@dataclass(slots=True)
class QueuedItem:
    """An encoded item queued for gossip, and how often it was sent."""

    data: bytes
    transmissions: int = 0


def is_usable(update: Update) -> bool:
    """Return whether an update has a unicast IP address (a host name would need a lookup)."""
    try:
        ip = ip_address(update.host)
    except ValueError:
        return False
    return not ip.is_multicast and not ip.is_unspecified and update.name.isprintable()
