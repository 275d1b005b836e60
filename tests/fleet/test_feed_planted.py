"""Planted bugs: the random days of `feed_schedules` find each of them."""

import logging
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from barleybarrow.replication.feed_view import FeedView
from barleybarrow.replication.records import InstanceRecord, InstanceState
from barleybarrow.replication.registry import Entry, Registry
from brackenusher.control_plane.confirmations import Confirmation
from brackenusher.control_plane.feed_source import FeedSource
from brackenusher.control_plane.registry_service import RegistryService
from tests.fleet.feed_schedules import play_day

MOST_DAYS = 40


def nothing(*_: Any, **__: Any) -> None:
    """Does not do what it should."""


def first_breach(patch: Any, first_day: int) -> str:
    """The first breach that a planted bug leads to; empty where no day shows one."""
    with patch:
        for seed in range(first_day, first_day + MOST_DAYS):
            found = play_day(seed)
            if found:
                return found[0]
    return ""


def newest_wins(merge: Callable[..., bool]) -> Callable[..., bool]:
    """A merge that takes drains and ends back where a later heartbeat says so."""

    def broken(self: Registry, record: InstanceRecord, now: float) -> bool:
        entry = self.entries.get(record.id)
        if entry is not None and record.state is InstanceState.READY and record.sequence > 0:
            del self.entries[record.id]
        return merge(self, record, now)

    return broken


def any_silence(self: FeedView, instance_id: str, now: float) -> None:
    """A judgement that believes each source on its own."""
    known = self.known[instance_id]
    told = [self._record_of(source, known) for source in self.sources.values() if source.connected]
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
        first = first_breach(mock.patch.object(owner, name, bug), first_day)
        self.assertTrue(first.startswith(breach), first or "no day shows it")

    def test_a_majority_of_one_is_found(self) -> None:
        self.found("DRAIN", Confirmation, "needed", 1, first_day=25)

    def test_drains_that_newer_heartbeats_undo_are_found(self) -> None:
        self.found("DRAIN", Registry, "merge", newest_wins(Registry.merge), first_day=9)

    def test_believing_one_source_on_silence_is_found(self) -> None:
        self.found("", FeedView, "_judge", any_silence, first_day=2)

    def test_marking_servers_silent_too_soon_is_found(self) -> None:
        self.found("", RegistryService, "_mark_silent", patience_of_none)

    def test_changes_that_are_not_pushed_are_found(self) -> None:
        self.found("", FeedSource, "_registry_changed", nothing)

    def test_an_offer_that_nobody_confirmed_is_found(self) -> None:
        async def confirm(self: FeedSource) -> bool:
            return True

        self.found("UNCONFIRMED", FeedSource, "_confirm", confirm, first_day=14)

    def test_silence_that_a_heartbeat_does_not_end_is_found(self) -> None:
        def heard(self: Registry, entry: Entry, sequence: int, now: float) -> None:
            if entry.silent_at < entry.heard:
                plain(self, entry, sequence, now)

        plain = Registry._heard
        self.found("", Registry, "_heard", heard, first_day=25)


if __name__ == "__main__":
    unittest.main()
