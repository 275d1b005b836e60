"""What members say to each other in SWIM's datagrams, and what one keeps in mind of another."""

from dataclasses import dataclass
from ipaddress import ip_address
from math import inf
from typing import Annotated

from msgspec import Meta, Struct

from barleybarrow.view_messages import AgreementMessage
from barleybarrow.views import ViewStamp

Address = tuple[str, int]
MOST_UPDATES = 128  # in one datagram; no more would fit
WINDOW = 256  # numbers behind the greatest of which it is remembered whether they came
STATES = ("alive", "suspect", "dead", "left")
PING, ACK, PING_FOR, PAGE, VIEW = 0, 1, 2, 4, 5
LONGEST_NAME = 64  # characters: two of them, in updates and outside, always fit a datagram
Name = Annotated[str, Meta(min_length=1, max_length=LONGEST_NAME)]
Number = Annotated[int, Meta(ge=0, le=2**53)]
Nonce = Annotated[int, Meta(ge=0)]


class Update(Struct, array_like=True, frozen=True):
    """What is said of a member; fields that a later form adds behind are skipped."""

    name: Name
    host: Annotated[str, Meta(max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65_535)]
    epoch: Number  # its life: Unix milliseconds on its own clock when it started
    incarnation: Number
    state: Annotated[int, Meta(ge=0, le=3)]
    by: Annotated[str, Meta(max_length=LONGEST_NAME)] = ""  # who suspects it

    @property
    def rank(self) -> tuple[int, int, int]:
        """The greater counts: a later life, then a later incarnation, then the worse news."""
        return self.epoch, self.incarnation, self.state


class Message(Struct, array_like=True, frozen=True):
    """The body of a datagram."""

    sender: Name
    epoch: Number
    serial: Number
    kind: Annotated[int, Meta(ge=0, le=255)]
    nonce: Nonce
    target: Annotated[str, Meta(max_length=LONGEST_NAME)] = (
        ""  # who is meant; of PING_FOR, who is to be pinged
    )
    joins: bool = False  # the sender knows nobody yet
    updates: Annotated[list[Update], Meta(max_length=MOST_UPDATES)] = []
    records: Annotated[list[bytes], Meta(max_length=MOST_UPDATES)] = []
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
    verified: bool = False  # this life has answered a nonce of ours
    trusts: bool = False  # and we one of its: what we tell it is heard
    heard_at: float = -inf
    top: int = -1  # greatest number that came, and which of those behind it did
    came: int = 0
    paged_at: float = -inf

    def update(self, by: str = "") -> Update:
        return Update(self.name, *self.address, self.epoch, self.incarnation, self.state, by)

    def fresh(self, serial: int) -> bool:
        """Whether a number comes for the first time, as far as the window tells; RFC 4303, 3.4.3."""
        if serial > self.top:
            self.came = (self.came << min(serial - self.top, WINDOW) | 1) & (1 << WINDOW) - 1
            self.top = serial
            return True
        bit = self.top - serial
        if bit >= WINDOW or self.came >> bit & 1:
            return False
        self.came |= 1 << bit
        return True


@dataclass(slots=True)
class Waiting:
    """A ping whose answer is awaited."""

    name: str  # empty for a seed of which only the address is known
    address: Address
    until: float
    behalf: tuple[Address, int] | None = None  # whose ping it is, and their nonce
    pages: bool = False  # it asked for the whole list, and gets it once it has answered
    counted: bool = False  # that it stays unanswered


@dataclass(slots=True)
class Probe:
    """The ping of this period."""

    name: str
    nonce: int
    ask_at: float  # when others are asked
    ends_at: float
    asked: int = 0


@dataclass(slots=True)
class News:
    """Something to be passed on, and how often it was."""

    data: bytes
    sent: int = 0


def usable(update: Update) -> bool:
    """Whether an update names an address that can be sent to; names would have to be looked up."""
    try:
        ip = ip_address(update.host)
    except ValueError:
        return False
    return not ip.is_multicast and not ip.is_unspecified and update.name.isprintable()
