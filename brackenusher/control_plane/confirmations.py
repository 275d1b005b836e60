"""Waits for a majority of a replica group to confirm that it holds a change."""

import asyncio
from dataclasses import dataclass, field

TIMEOUT_S = 0.7  # the caller gives up after 1 s and goes to the next control process


@dataclass(slots=True)
class Confirmation:
    """A change that waits for a majority of its replica group."""

    number: int  # names the change in messages; never 0
    group: frozenset[str]
    done: asyncio.Future[bool]
    held_by: set[str] = field(default_factory=set)

    @property
    def needed(self) -> int:
        """How many members have to hold the change."""
        return len(self.group) // 2 + 1

    def confirm(self, address: str) -> None:
        """This process holds the change; it counts if it is a member of the group."""
        if address in self.group:
            self.held_by.add(address)
        if len(self.held_by) >= self.needed and not self.done.done():
            self.done.set_result(True)


class Confirmations:
    """All changes of this process that wait. `first`: see `cluster.lives`."""

    def __init__(self, first: int) -> None:
        self._number = first - 1
        self._waiting: dict[int, Confirmation] = {}

    def open(self, group: list[str]) -> Confirmation:
        """A new change; `wait` closes it."""
        self._number += 1
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        confirmation = Confirmation(self._number, frozenset(group), done)
        self._waiting[self._number] = confirmation
        return confirmation

    def confirmed(self, number: int, address: str) -> None:
        """A process says that it holds a change."""
        confirmation = self._waiting.get(number)
        if confirmation is not None:
            confirmation.confirm(address)

    async def wait(self, confirmation: Confirmation, reached: set[str]) -> bool:
        """Whether a majority confirms in time; at once False where too few members were reached at all."""
        try:
            if len(confirmation.group & reached) < confirmation.needed:
                return False
            return await asyncio.wait_for(confirmation.done, TIMEOUT_S)
        except TimeoutError:
            return False
        finally:
            del self._waiting[confirmation.number]
