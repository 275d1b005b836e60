"""Timers: one sorted list that holds every deadline of the process."""

import logging
from collections.abc import Callable

from sortedcontainers import SortedList

from brackenusher.runtime.log import log_exception
from brackenusher.runtime.timers import Timer

log = logging.getLogger(__name__)


class Deadlines:
    """Calls each action when it is due, in order of time; times are in milliseconds."""

    def __init__(self) -> None:
        self.entries: SortedList[Timer] = SortedList()
        self.sequence = 0  # breaks ties, so that actions are never compared

    def add(self, due_at: float, action: Callable[[], None]) -> Timer:
        """Schedule an action; the returned entry can be passed to `remove`."""
        self.sequence += 1
        entry = (due_at, self.sequence, action)
        self.entries.add(entry)
        return entry

    def remove(self, entry: Timer | None) -> None:
        """Cancel an entry; one that has been called already, or None, is ignored."""
        if entry is not None:
            self.entries.discard(entry)

    def next_due(self) -> float | None:
        """The time at which the next action is due, or None."""
        return self.entries[0][0] if self.entries else None

    def run_due(self, now: float) -> None:
        """Call all actions that are due; those that they add wait for the next call."""
        last_sequence = self.sequence
        while self.entries and self.entries[0][0] <= now and self.entries[0][1] <= last_sequence:
            _, _, action = self.entries.pop(0)
            try:
                action()
            except Exception:  # an action that fails must not keep the others from being called
                log_exception(log, "deadline_failed", "a deadline's action failed")
