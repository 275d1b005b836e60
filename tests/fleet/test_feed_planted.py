"""Planted bugs that the random days of `feed_schedules` find; others are planted in `test_feed_paths`."""

import logging
import unittest
from typing import Any
from unittest import mock

from barleybarrow.replication.feed_view import FeedView
from barleybarrow.replication.records import InstanceState
from brackenusher.control_plane.feed_source import FeedSource
from brackenusher.control_plane.registry_service import RegistryService
from tests.fleet.feed_schedules import play_day

MOST_DAYS = 40


def nothing(*_: Any, **__: Any) -> None:
    """Does not do what it should."""


def shows(breach: str, patch: Any, first_day: int) -> bool:
    """Whether a day shows a breach of this name (empty: of any) while a bug is planted."""
    with patch:
        for seed in range(first_day, first_day + MOST_DAYS):
            if any(found.startswith(breach) for found in play_day(seed)):
                return True
    return False


def any_silence(self: FeedView, instance_id: str, now: float) -> None:
    """A judgement that believes each source on its own."""
    known = self.instances[instance_id]
    told = [self._source_record(source, known) for source in self.sources.values() if source.connected]
    silent = any(record is not None and record.state is InstanceState.SILENT for record in told)
    if silent != known.silent:
        known.silent, known.silent_since, known.changed_at = silent, now, now
        self.changed_services.add(known.record.service)


def patience_of_none(self: RegistryService, now: float) -> None:
    """Marks silent whatever was not heard of lately, from the first moment on."""
    overdue = self.registry.overdue(self._groups.owned(), now - 600.0)
    self._tell_silence([self.registry.silence(instance_id, now) for instance_id in overdue])


class PlantedBugsTest(unittest.TestCase):
    """Each bug, and the breach that it must lead to. Starting days are such that the search is short."""

    def setUp(self) -> None:
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    def found(self, breach: str, owner: type, name: str, bug: Any, first_day: int = 0) -> None:
        self.assertTrue(shows(breach, mock.patch.object(owner, name, bug), first_day), "no day shows it")

    def test_believing_one_source_on_silence_is_found(self) -> None:
        self.found("", FeedView, "_update_silence", any_silence, first_day=4)

    def test_marking_servers_silent_too_soon_is_found(self) -> None:
        self.found("", RegistryService, "_mark_silent", patience_of_none)

    def test_changes_that_are_not_pushed_are_found(self) -> None:
        self.found("", FeedSource, "_registry_changed", nothing)

    def test_an_offer_that_nobody_confirmed_is_found(self) -> None:
        async def confirm(self: FeedSource) -> bool:
            return True

        self.found("UNCONFIRMED", FeedSource, "_confirm", confirm)


if __name__ == "__main__":
    unittest.main()
