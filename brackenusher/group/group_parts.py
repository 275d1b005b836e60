"""The parts of a group that share streams and staff's wishes: a policy, replicated state, or both."""

from collections.abc import Callable
from typing import Any

from msgspec import json

from brackenusher.group.streams import Streams
from brackenusher.membership.frames import Granted, Wish


class CommandRefusedError(ValueError):
    """Why a wish is not carried out; one line."""


Deed = Callable[[Wish], Any]


class GroupParts:
    """What the peers' driver hands streams and wishes to."""

    def __init__(self, streams: Streams) -> None:
        self.streams = streams
        self.deeds: dict[str, Deed] = {}  # by verb

    def wish(self, wish: Wish) -> Granted:
        """Carry out what staff want, or say why not."""
        deed = self.deeds.get(wish.verb)
        try:
            if deed is None:
                reason = "is not on at this proxy, or not known to this release"
                raise CommandRefusedError(f"{wish.verb}: {reason}")
            return Granted(wish.nonce, True, json.encode(deed(wish)))
        except ValueError as error:
            return Granted(wish.nonce, False, json.encode(str(error)))
