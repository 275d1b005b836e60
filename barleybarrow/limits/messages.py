"""What processes say to each other about limits: typed messages and their encoding (msgpack arrays).

Amounts are totals since an entry was opened, never differences: a message that is lost, late or doubled
does no harm. Pure; a message that can't be read raises `MessageError`.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from barleybarrow.limits.spans import SHARE_LIFETIME_MS
from barleybarrow.limits.warden_lease import Here, Promise, Seek, Token

MAX_REPORT_ITEMS = 200  # entries in one report; the others go with the next
MAX_MEMBERS = 4096
MAX_ACCEPTORS = 64
MAX_DRAINED_KEYS = 1000  # keys; where more are, all count
MAX_SHARE_LIFETIME_MS = 600_000.0  # milliseconds

Key = Annotated[str, Meta(max_length=200)]
Amount = Annotated[float, Meta(ge=0.0, le=1e15)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]


class EntryReport(Struct, array_like=True, frozen=True):
    """What a proxy has done with one entry, and what it would have."""

    key: Key
    entry_number: Token  # number of the entry; numbers of one process rise
    spent: Amount
    returned: Amount
    needed: Amount  # credit that requests wait for, what is held included
    first_cost: Amount  # the cost of the first of them; where none waits, of a usual request
    prefetch_target: Amount  # credit that it would hold beside


class CreditReport(Struct, array_like=True, frozen=True, tag=6):
    """A proxy's report to the warden; it also asks to stay in touch."""

    incarnation: Token
    term: Token
    number: Token  # rises by one with each report of a process
    applied_sequence: Token  # number of the newest report whose answer has come in this term; 0: none
    fallback_share: Fraction  # part of each limit that it uses when it is out of touch
    items: Annotated[list[EntryReport], Meta(max_length=MAX_REPORT_ITEMS)]
    leaving: bool = False  # its last report: it uses neither credit nor base any more
    released: bool = False  # and no peer remembers its base for the next process of its name


class Grant(Struct, array_like=True, frozen=True):
    """The warden's word on one entry."""

    entry_number: Token
    granted: Amount  # in total
    wait_ms: Amount = 0.0  # above 0: what is needed was not granted; worth asking again after so long
    awaiting_reports: bool = False  # it waits for reports of what others have spent, not for the rate
    report_soon: bool = False  # much is outstanding: report soon what is spent


class CreditReply(Struct, array_like=True, frozen=True, tag=7):
    """The warden's answer to the report of this number."""

    term: Token
    sequence: Token
    fallback_share: Fraction
    grants: Annotated[list[Grant], Meta(max_length=MAX_REPORT_ITEMS)]
    share_lifetime_ms: Annotated[float, Meta(gt=0.0, le=MAX_SHARE_LIFETIME_MS)] = (
        SHARE_LIFETIME_MS  # milliseconds from the question on
    )


class RosterEntry(Struct, array_like=True, frozen=True):
    """The most that one proxy may hold as its base."""

    name: Key
    incarnation: Token
    fallback_share: Fraction


class DrainedKeys(Struct, array_like=True, frozen=True):
    """Keys whose bucket may be below its floor; those of all others are above it."""

    all_keys: bool = True
    keys: Annotated[list[Key], Meta(max_length=MAX_DRAINED_KEYS)] = []


class RosterUpdate(Struct, array_like=True, frozen=True, tag=8):
    """The warden has keepers remember who may hold how much; the greater version holds."""

    version: Token
    entries: Annotated[list[RosterEntry], Meta(max_length=MAX_MEMBERS)]
    drained: DrainedKeys = DrainedKeys()
    term: Token = 0  # of the warden


class RosterAck(Struct, array_like=True, frozen=True, tag=9):
    """A keeper remembers this version. Two wardens of one name may give one number to different rosters."""

    version: Token
    term: Token = 0  # of the warden that told it


class RosterRequest(Struct, array_like=True, frozen=True, tag=10):
    """A new warden asks a keeper for what it remembers."""

    term: Token


class RosterReply(Struct, array_like=True, frozen=True, tag=11):
    """What a keeper remembers; `known` is False where it may have forgotten a version that it had taken."""

    term: Token
    known: bool
    version: Token
    entries: Annotated[list[RosterEntry], Meta(max_length=MAX_MEMBERS)]
    drained: DrainedKeys = DrainedKeys()


class AcceptorState(Struct, array_like=True, frozen=True):
    """What a keeper remembers. Not known: it may have forgotten what it had taken."""

    known: bool
    version: Token
    entries: Annotated[list[RosterEntry], Meta(max_length=MAX_MEMBERS)]
    promised_to: Key = ""  # the last seeker that this keeper promised itself to
    acceptors: Annotated[list[Key], Meta(max_length=MAX_ACCEPTORS)] = []  # all keepers at that time
    drained: DrainedKeys = DrainedKeys()


Message = (
    Seek
    | Promise
    | Here
    | CreditReport
    | CreditReply
    | RosterUpdate
    | RosterAck
    | RosterRequest
    | RosterReply
)


class MessageError(ValueError):
    """Bytes that are no message of this machine."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_acceptor_state_decoder = msgspec.msgpack.Decoder(AcceptorState)


def encode(message: Message) -> bytes:
    """The bytes of a message."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """The message of some bytes. Raises MessageError."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from error


def encode_acceptor_state(state: AcceptorState) -> bytes:
    """The bytes of a roster that are stored."""
    return _encoder.encode(state)


def decode_acceptor_state(stored: bytes) -> AcceptorState:
    """The roster of stored bytes. Raises MessageError."""
    try:
        return _acceptor_state_decoder.decode(stored)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from error


def compact_number(amount: float) -> float:
    """The same amount, as an integer where it is one: that takes fewer bytes."""
    return int(amount) if amount == int(amount) else amount
