"""Waits until a majority of a replica group has confirmed a change."""

import asyncio
from dataclasses import dataclass, field

CONFIRM_TIMEOUT_S = 0.7  # callers try the next control process after 1 s


@dataclass(slots=True)
class Confirmation:
    """A change that waits for confirmation by a majority of its replica group."""

    number: int  # identifies the change in messages; never 0
    group: frozenset[str]
    done: asyncio.Future[bool]
    confirmed_by: set[str] = field(default_factory=set)

    @property
    def needed(self) -> int:
        """The size of a majority."""
        return len(self.group) // 2 + 1

    def confirm(self, address: str) -> None:
        """Count a process that has stored the change, if it is a member of the group."""
        if address in self.group:
            self.confirmed_by.add(address)
        if len(self.confirmed_by) >= self.needed and not self.done.done():
            self.done.set_result(True)


class PendingConfirmations:
    """All changes of this process that wait for confirmation. `first`: see `cluster.lives`."""

    def __init__(self, first: int) -> None:
        self._number = first - 1
        self._waiting: dict[int, Confirmation] = {}

    def open(self, group: list[str]) -> Confirmation:
        """Register a new change; `wait` removes it."""
        self._number += 1
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        confirmation = Confirmation(self._number, frozenset(group), done)
        self._waiting[self._number] = confirmation
        return confirmation

    def on_confirm(self, number: int, address: str) -> None:
        """Handle a peer's confirmation of a change."""
        confirmation = self._waiting.get(number)
        if confirmation is not None:
            confirmation.confirm(address)

    async def wait(self, confirmation: Confirmation, recipients: set[str]) -> bool:
        """Whether a majority confirms in time; False at once if it was sent to less than a majority."""
        try:
            if len(confirmation.group & recipients) < confirmation.needed:
                return False
            return await asyncio.wait_for(confirmation.done, CONFIRM_TIMEOUT_S)
        except TimeoutError:
            return False
        finally:
            del self._waiting[confirmation.number]
