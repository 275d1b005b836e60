"""Injected bugs that random schedules must find; `test_feed_paths` injects others."""

import logging
import unittest
from typing import Any
from unittest import mock

from barleybarrow.replication.feed_view import FeedView
from barleybarrow.replication.records import InstanceState
from brackenusher.control_plane.feed_source import FeedSource
from brackenusher.control_plane.registry_service import RegistryService
from tests.fleet.feed_schedules import run_schedule

MAX_SCHEDULES = 40


def do_nothing(*_: Any, **__: Any) -> None:
    """Injected bug: the replaced method has no effect."""


def finds_breach(breach: str, patch: Any, first_seed: int) -> bool:
    """Whether a schedule shows a breach of this name (empty: of any) with an injected bug."""
    with patch:
        for seed in range(first_seed, first_seed + MAX_SCHEDULES):
            if any(found.startswith(breach) for found in run_schedule(seed)):
                return True
    return False


def believe_any_source(self: FeedView, instance_id: str, now: float) -> None:
    """Injected bug: a server is silent as soon as one source says so."""
    instance = self.instances[instance_id]
    listed = [self._source_record(source, instance) for source in self.sources.values() if source.connected]
    silent = any(record is not None and record.state is InstanceState.SILENT for record in listed)
    if silent != instance.silent:
        instance.silent, instance.silent_since, instance.changed_at = silent, now, now
        self.changed_services.add(instance.record.service)


def mark_silent_without_timeout(self: RegistryService, now: float) -> None:
    """Injected bug: servers are marked silent without the full timeout, even by a new owner."""
    overdue = self.registry.overdue(self._groups.owned(), now - 600.0)
    self._tell_silence([self.registry.mark_silent(instance_id, now) for instance_id in overdue])


class InjectedBugsTest(unittest.TestCase):
    """Each bug, and the breach that it must cause. First seeds are chosen to keep the search short."""

    def setUp(self) -> None:
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    def assert_found(self, breach: str, owner: type, name: str, bug: Any, first_seed: int = 0) -> None:
        self.assertTrue(
            finds_breach(breach, mock.patch.object(owner, name, bug), first_seed),
            "no schedule shows a breach",
        )

    def test_trusting_a_single_source_on_silence_is_found(self) -> None:
        self.assert_found("", FeedView, "_update_silence", believe_any_source, first_seed=4)

    def test_marking_servers_silent_too_soon_is_found(self) -> None:
        self.assert_found("", RegistryService, "_mark_silent", mark_silent_without_timeout)

    def test_changes_that_are_not_pushed_to_proxies_are_found(self) -> None:
        self.assert_found("", FeedSource, "_registry_changed", do_nothing)

    def test_an_offer_without_confirmation_by_a_majority_is_found(self) -> None:
        async def confirm(self: FeedSource) -> bool:
            return True

        self.assert_found("UNCONFIRMED", FeedSource, "_confirm", confirm)


if __name__ == "__main__":
    unittest.main()
