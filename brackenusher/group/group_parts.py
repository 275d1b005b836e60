"""What the replicated policy and the replicated state share: streams and commands of administrators."""

from collections.abc import Callable
from typing import Any

from msgspec import json

from brackenusher.group.streams import Streams
from brackenusher.membership.frames import Granted, Wish


class CommandRefusedError(ValueError):
    """A command was refused; the text is one line."""


CommandHandler = Callable[[Wish], Any]


class GroupParts:
    """Receives streams and commands from the membership driver."""

    def __init__(self, streams: Streams) -> None:
        self.streams = streams
        self.command_handlers: dict[str, CommandHandler] = {}  # by verb

    def wish(self, wish: Wish) -> Granted:
        """Runs a command and returns its result or the reason of its refusal."""
        handler = self.command_handlers.get(wish.verb)
        try:
            if handler is None:
                reason = "is not on at this proxy, or not known to this release"
                raise CommandRefusedError(f"{wish.verb}: {reason}")
            return Granted(wish.nonce, True, json.encode(handler(wish)))
        except ValueError as error:
            return Granted(wish.nonce, False, json.encode(str(error)))
