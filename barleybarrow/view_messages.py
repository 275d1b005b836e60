"""Messages by which members agree on the next view; each is encoded as an array."""

from typing import Annotated

from msgspec import Meta, Struct

from barleybarrow.views import MAX_MEMBERS, GroupMember, Name, NonNegativeInt, ViewChange

MAX_REPORTED_MEMBERS = 64  # in one report; what fits into a datagram

MemberIndex = Annotated[int, Meta(ge=0, lt=MAX_MEMBERS)]


class Prepare(Struct, array_like=True, frozen=True, tag=1):
    """Asks to reject lower rounds and to report on links; with group 0, asks for a vote to found a group."""

    round: NonNegativeInt
    joiners: Annotated[list[Name], Meta(max_length=64)] = []  # to be probed by the receiver


class Promise(Struct, array_like=True, frozen=True, tag=2):
    round: NonNegativeInt
    granted: bool
    promised_round: NonNegativeInt  # highest round promised so far
    accepted: tuple[NonNegativeInt, Name, ViewChange] | None = None
    down: Annotated[list[MemberIndex], Meta(max_length=MAX_REPORTED_MEMBERS)] = []
    doubtful: Annotated[list[MemberIndex], Meta(max_length=MAX_REPORTED_MEMBERS)] = []
    reached: Annotated[list[Name], Meta(max_length=64)] = []


class Accept(Struct, array_like=True, frozen=True, tag=3):
    round: NonNegativeInt
    change: ViewChange


class Accepted(Struct, array_like=True, frozen=True, tag=4):
    round: NonNegativeInt
    granted: bool
    promised_round: NonNegativeInt


class Decided(Struct, array_like=True, frozen=True, tag=5):
    """A decided change, which leads to the view with this number."""

    group: NonNegativeInt
    number: NonNegativeInt
    change: ViewChange


class ViewPage(Struct, array_like=True, frozen=True, tag=6):
    """Part of a complete view."""

    group: NonNegativeInt
    number: NonNegativeInt
    size: NonNegativeInt
    members: Annotated[list[GroupMember], Meta(max_length=MAX_MEMBERS)]
    removed: Annotated[list[tuple[Name, NonNegativeInt]], Meta(max_length=64)] = []  # recent: (name, epoch)


class ViewRequest(Struct, array_like=True, frozen=True, tag=7):
    """Asks the receiver for its view."""


class EpochEnded(Struct, array_like=True, frozen=True, tag=8):
    """Tells the receiver that its epoch is no longer accepted, and that it has to continue with a later one.

    Its epoch was removed, or is lower than that of a member with its name because its clock went back. The
    receiver may never have learned that it was a member.
    """

    epoch: NonNegativeInt


AgreementMessage = Prepare | Promise | Accept | Accepted | Decided | ViewPage | ViewRequest | EpochEnded
