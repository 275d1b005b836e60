"""Typed messages of the shared limits and their encoding (msgpack arrays).

Amounts are totals since an entry was opened, never differences, so lost, late or duplicated messages do no
harm. Pure; a message that can't be decoded raises `MessageError`.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from barleybarrow.limits.spans import SHARE_LIFETIME_MS
from barleybarrow.limits.warden_lease import CreditServerHeartbeat, LeaseRequest, Promise, UInt62

MAX_REPORT_ITEMS = 200  # the rest follows in the next report
MAX_MEMBERS = 4096
MAX_ACCEPTORS = 64
MAX_DRAINED_KEYS = 1000  # with more, all keys count as drained
MAX_SHARE_LIFETIME_MS = 600_000.0

Key = Annotated[str, Meta(max_length=200)]
Amount = Annotated[float, Meta(ge=0.0, le=1e15)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]


class EntryReport(Struct, array_like=True, frozen=True):
    """A proxy's use of one entry, and the credit that it asks for."""

    key: Key
    entry_number: UInt62  # grows within an incarnation
    spent: Amount
    returned: Amount
    needed: Amount  # cost of all pending requests, including credit already held
    first_cost: Amount  # cost of the first pending request; of a mean request if none is pending
    prefetch_target: Amount  # credit to hold in total, beyond pending requests


class CreditReport(Struct, array_like=True, frozen=True, tag=6):
    """A proxy's report to the credit server; also its keep-alive."""

    incarnation: UInt62
    term: UInt62
    sequence: UInt62  # grows by one with each report of an incarnation
    applied_sequence: UInt62  # newest report that was replied to in this term; 0: none
    fallback_share: Fraction  # share of each limit that it uses while disconnected
    items: Annotated[list[EntryReport], Meta(max_length=MAX_REPORT_ITEMS)]
    leaving: bool = False  # final report: the proxy uses neither credit nor fallback share any more
    released: bool = False  # and no peer remembers its share for the next incarnation of its name


class Grant(Struct, array_like=True, frozen=True):
    """The credit server's reply on one entry."""

    entry_number: UInt62
    granted: Amount  # in total
    wait_ms: Amount = 0.0  # above 0: the need was not granted; ask again after this time
    awaiting_reports: bool = False  # waits for reports of credit that others have spent, not for the rate
    report_soon: bool = False  # much credit is outstanding: report spent credit early


class CreditReply(Struct, array_like=True, frozen=True, tag=7):
    """The credit server's reply to the report of this sequence number."""

    term: UInt62
    sequence: UInt62
    fallback_share: Fraction
    grants: Annotated[list[Grant], Meta(max_length=MAX_REPORT_ITEMS)]
    # Counts from the moment at which the report was sent.
    share_lifetime_ms: Annotated[float, Meta(gt=0.0, le=MAX_SHARE_LIFETIME_MS)] = SHARE_LIFETIME_MS


class RosterEntry(Struct, array_like=True, frozen=True):
    """The largest fallback share that one proxy may hold."""

    name: Key
    incarnation: UInt62
    fallback_share: Fraction


class DrainedKeys(Struct, array_like=True, frozen=True):
    """Keys whose bucket may be below its floor; all other buckets are at their floor or above."""

    all_keys: bool = True
    keys: Annotated[list[Key], Meta(max_length=MAX_DRAINED_KEYS)] = []


class RosterUpdate(Struct, array_like=True, frozen=True, tag=8):
    """Has an acceptor store the share that each proxy may hold; the highest version is valid."""

    version: UInt62
    entries: Annotated[list[RosterEntry], Meta(max_length=MAX_MEMBERS)]
    drained: DrainedKeys = DrainedKeys()
    term: UInt62 = 0  # of the credit server


class RosterAck(Struct, array_like=True, frozen=True, tag=9):
    """An acceptor has stored this version.

    The term is needed because two successive credit servers of one name may use one version for different
    rosters.
    """

    version: UInt62
    term: UInt62 = 0  # of the credit server that sent the roster


class RosterRequest(Struct, array_like=True, frozen=True, tag=10):
    """A new credit server requests an acceptor's stored roster."""

    term: UInt62


class RosterReply(Struct, array_like=True, frozen=True, tag=11):
    """An acceptor's stored roster; `known` is False if it may have lost a version that it had accepted."""

    term: UInt62
    known: bool
    version: UInt62
    entries: Annotated[list[RosterEntry], Meta(max_length=MAX_MEMBERS)]
    drained: DrainedKeys = DrainedKeys()


class AcceptorState(Struct, array_like=True, frozen=True):
    """State that an acceptor stores; `known` is False if it may have lost a version that it had accepted."""

    known: bool
    version: UInt62
    entries: Annotated[list[RosterEntry], Meta(max_length=MAX_MEMBERS)]
    promised_to: Key = ""  # candidate of the newest promise
    acceptors: Annotated[list[Key], Meta(max_length=MAX_ACCEPTORS)] = []  # at the time of that promise
    drained: DrainedKeys = DrainedKeys()


Message = (
    LeaseRequest
    | Promise
    | CreditServerHeartbeat
    | CreditReport
    | CreditReply
    | RosterUpdate
    | RosterAck
    | RosterRequest
    | RosterReply
)


class MessageError(ValueError):
    """Bytes that are no valid message of the shared limits."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_acceptor_state_decoder = msgspec.msgpack.Decoder(AcceptorState)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """Decode a message. Raises MessageError."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from error


def encode_acceptor_state(state: AcceptorState) -> bytes:
    """Encode an acceptor's state for storage."""
    return _encoder.encode(state)


def decode_acceptor_state(stored: bytes) -> AcceptorState:
    """Decode an acceptor's stored state. Raises MessageError."""
    try:
        return _acceptor_state_decoder.decode(stored)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from error


def compact_number(amount: float) -> float:
    """The amount as an integer where it is one, which takes fewer bytes in msgpack."""
    return int(amount) if amount == int(amount) else amount
