"""One sorted structure that holds every deadline of the program."""

import logging
from collections.abc import Callable

from sortedcontainers import SortedList

from brackenusher.runtime.log import fault
from brackenusher.runtime.timers import Entry

log = logging.getLogger(__name__)


class Deadlines:
    """Calls each action once its time has come, in order of time; times are in milliseconds."""

    def __init__(self) -> None:
        self.entries: SortedList[Entry] = SortedList()
        self.sequence = 0  # breaks ties, so that actions are never compared

    def add(self, due_at: float, action: Callable[[], None]) -> Entry:
        """Have an action called at a time; the entry returned can be removed again."""
        self.sequence += 1
        entry = (due_at, self.sequence, action)
        self.entries.add(entry)
        return entry

    def remove(self, entry: Entry | None) -> None:
        """Forget an entry; one that has been swept already, or None, is left aside."""
        if entry is not None:
            self.entries.discard(entry)

    def next(self) -> float | None:
        """The earliest time that something falls due."""
        return self.entries[0][0] if self.entries else None

    def sweep(self, now: float) -> None:
        """Call whatever is due; what the actions add waits for the next sweep."""
        last_sequence = self.sequence
        while self.entries and self.entries[0][0] <= now and self.entries[0][1] <= last_sequence:
            _, _, action = self.entries.pop(0)
            try:
                action()
            except Exception:  # one action's fault must not keep the others from being called
                fault(log, "deadline_failed", "a deadline's action failed")
