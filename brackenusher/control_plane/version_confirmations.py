"""Tells proxies which version a majority confirmed last, and how long ago: their leases on API keys need it.

One read of the leader serves all that ask: an answer carries its age, so it need not be new. Nothing is done
while nobody asks, as where `StrictRevocation` is false.
"""

import asyncio
from collections.abc import Callable

import betterproto

from barleybarrow.replication.revocation_lease import NO_CONFIRMATION, Confirmation
from brackenusher.cluster import messages
from brackenusher.cluster.key_leases import confirmation_fields
from brackenusher.cluster.links import Links
from brackenusher.control_plane.config_shard import ConfigShard

CONFIRM_TIMEOUT_S = 1.0
FRESH_MS = 200.0  # one that is no older is told at once; five reads a second are cheap for a leader


class VersionConfirmations:
    """The part of one control process. Times are milliseconds of its monotonic clock."""

    def __init__(self, links: Links, config_shard: ConfigShard, now: Callable[[], float]) -> None:
        self.held = NO_CONFIRMATION
        self._links = links
        self._config_shard = config_shard
        self._now = now
        self._waiting: dict[str, int] = {}  # the newest question of each link
        self._confirming: asyncio.Task[None] | None = None
        links.on_message(messages.VersionQuestion, self._asked)
        links.on_change(self._link_changed)

    async def stop(self) -> None:
        """Confirm no more."""
        if self._confirming is not None:
            self._confirming.cancel()

    def _asked(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.VersionQuestion)
        if self.held.age(self._now()) <= FRESH_MS:
            self._answer(sender, message.number)
            return
        self._waiting[sender] = message.number
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.get_running_loop().create_task(self._confirm())

    def _link_changed(self, address: str, hello: messages.Hello | None) -> None:
        self._waiting.pop(address, None)

    async def _confirm(self) -> None:
        """Ask a majority; whoever waits is answered also where it does not answer, with what is held."""
        began_at = self._now()
        if await self._config_shard.confirm(CONFIRM_TIMEOUT_S):
            document = self._config_shard.document()
            version = 0 if document is None else int(document.get("Generation", 0))
            self.held = Confirmation(version, began_at)
        waiting, self._waiting = self._waiting, {}
        for sender, number in waiting.items():
            self._answer(sender, number)

    def _answer(self, sender: str, number: int) -> None:
        if self.held is not NO_CONFIRMATION:
            version, age_ms = confirmation_fields(self.held, self._now())
            self._links.send(sender, messages.VersionAnswer(number, version, age_ms))
