"""Reports to proxies the version last confirmed by a majority and its age, for their leases on API keys.

One read-index request serves all proxies that ask: an answer carries its age, so it need not be new. Without
questions nothing is done, as where `StrictRevocation` is false.
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
# A confirmation up to this age is sent at once; five reads a second are cheap for a leader.
MAX_ANSWER_AGE_MS = 200.0


class VersionConfirmations:
    """Answers version questions in one control process. Times are milliseconds of its monotonic clock."""

    def __init__(self, links: Links, config_shard: ConfigShard, now: Callable[[], float]) -> None:
        self.held = NO_CONFIRMATION
        self._links = links
        self._config_shard = config_shard
        self._now = now
        self._waiting: dict[str, int] = {}  # by peer: number of its newest question
        self._confirm_task: asyncio.Task[None] | None = None
        links.on_message(messages.VersionQuestion, self._asked)
        links.on_change(self._link_changed)

    async def stop(self) -> None:
        """Cancel a confirmation in progress."""
        if self._confirm_task is not None:
            self._confirm_task.cancel()

    def _asked(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.VersionQuestion)
        if self.held.age(self._now()) <= MAX_ANSWER_AGE_MS:
            self._answer(sender, message.number)
            return
        self._waiting[sender] = message.number
        if self._confirm_task is None or self._confirm_task.done():
            self._confirm_task = asyncio.get_running_loop().create_task(self._confirm())

    def _link_changed(self, address: str, hello: messages.Hello | None) -> None:
        self._waiting.pop(address, None)

    async def _confirm(self) -> None:
        """Confirm the version with a majority, then answer all waiting peers; on failure with the last."""
        started_at = self._now()
        if await self._config_shard.confirm(CONFIRM_TIMEOUT_S):
            document = self._config_shard.document()
            version = 0 if document is None else int(document.get("Generation", 0))
            self.held = Confirmation(version, started_at)
        waiting, self._waiting = self._waiting, {}
        for sender, number in waiting.items():
            self._answer(sender, number)

    def _answer(self, sender: str, number: int) -> None:
        if self.held is not NO_CONFIRMATION:
            version, age_ms = confirmation_fields(self.held, self._now())
            self._links.send(sender, messages.VersionAnswer(number, version, age_ms))
