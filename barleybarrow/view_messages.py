"""What the members of a view say to each other to agree on the next one; each is an array on the wire."""

from typing import Annotated

from msgspec import Meta, Struct

from barleybarrow.views import MOST_MEMBERS, Belongs, Change, Name, Number

REPORTED = 64  # members named in one report: what fits a datagram

Index = Annotated[int, Meta(ge=0, lt=MOST_MEMBERS)]


class Poll(Struct, array_like=True, frozen=True, tag=1):
    """Promise to take part in nothing lower, and say what you see; with group 0, vote for who founds."""

    round: Number
    ask: Annotated[list[Name], Meta(max_length=64)] = []  # newcomers that have to be tried


class Say(Struct, array_like=True, frozen=True, tag=2):
    round: Number
    granted: bool
    highest: Number  # round that was promised
    accepted: tuple[Number, Name, Change] | None = None
    down: Annotated[list[Index], Meta(max_length=REPORTED)] = []
    doubtful: Annotated[list[Index], Meta(max_length=REPORTED)] = []
    reached: Annotated[list[Name], Meta(max_length=64)] = []


class Accept(Struct, array_like=True, frozen=True, tag=3):
    round: Number
    change: Change


class Took(Struct, array_like=True, frozen=True, tag=4):
    round: Number
    granted: bool
    highest: Number


class Told(Struct, array_like=True, frozen=True, tag=5):
    """A change that was decided: it makes this number of the sender's group."""

    group: Number
    number: Number
    change: Change


class Page(Struct, array_like=True, frozen=True, tag=6):
    """Part of a whole view."""

    group: Number
    number: Number
    size: Number
    members: Annotated[list[Belongs], Meta(max_length=MOST_MEMBERS)]
    gone: Annotated[list[tuple[Name, Number]], Meta(max_length=64)] = []  # lives that were taken out lately


class Want(Struct, array_like=True, frozen=True, tag=7):
    """Tell me of your view."""


class Over(Struct, array_like=True, frozen=True, tag=8):
    """This life of yours is over, or one that counts as later than yours: go on as a later one.

    It may never have heard that it belonged.
    """

    life: Number


Body = Poll | Say | Accept | Took | Told | Page | Want | Over
