"""Stored drains: writes wait for the load of earlier records, and failed writes are repeated."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from barleybarrow.replication.records import InstanceRecord, InstanceState
from brackenusher.control_plane.final_records import FinalRecords
from brackenusher.storage.slot_store import SlotStore, StorageError
from tests.fleet.emulated_disk import EmulatedDisk
from tests.fleet.feed_fakes import FakeWriter
from tests.fleet.virtual_time import run_virtual


class UnreadableStore(SlotStore):
    """Fails the first `refusals` reads."""

    refusals = 0

    def load(self) -> Any:
        if self.refusals:
            self.refusals -= 1
            raise StorageError("refused")
        return super().load()


def draining_record(name: str) -> InstanceRecord:
    """The record of a draining server."""
    return InstanceRecord(name, "s0", "10.9.0.1:80", "z", "v1", 4, InstanceState.DRAINING, 7)


class Disk:
    """A disk, and the records known to the process that uses it."""

    def __init__(self) -> None:
        self.files = EmulatedDisk(random.Random(1))
        self.known: dict[str, InstanceRecord] = {}

    def start(self, refusals: int = 0) -> FinalRecords:
        """Start a new process on the disk."""
        store = UnreadableStore("data", "registry", self.files)
        store.refusals = refusals
        writer: Any = FakeWriter(random.Random(1))
        self.known = {}
        return FinalRecords(store, writer, lambda: list(self.known.values()))

    async def persist_drain(self, records: FinalRecords, name: str) -> bool:
        """Write the record of a draining server."""
        self.known[name] = draining_record(name)
        return await records.persist(self.known[name])

    async def stored_ids(self) -> set[str]:
        """The ids that another start loads from the disk."""
        return {record.id for record in await self.start().load(first_start=True)}


class FinalRecordsTest(unittest.TestCase):
    def scenario(self, scenario: Callable[[Disk], Awaitable[None]]) -> None:
        run_virtual(scenario(Disk()))  # type: ignore[arg-type]

    def test_writes_wait_until_stored_records_are_loaded(self) -> None:
        async def scenario(disk: Disk) -> None:
            first = disk.start()
            await first.load(first_start=True)
            self.assertTrue(await disk.persist_drain(first, "one"))
            second = disk.start(refusals=3)
            loading = asyncio.create_task(second.load(first_start=True))
            writing = asyncio.create_task(disk.persist_drain(second, "two"))
            await asyncio.sleep(0.3)
            self.assertFalse(second.loaded or writing.done())
            self.assertEqual([record.id for record in await loading], ["one"])
            disk.known["one"] = draining_record("one")
            self.assertTrue(await writing)
            self.assertEqual(await disk.stored_ids(), {"one", "two"})

        self.scenario(scenario)

    def test_a_torn_write_on_a_full_disk_loses_no_earlier_records(self) -> None:
        async def scenario(disk: Disk) -> None:
            first = disk.start()
            await first.load(first_start=True)
            for name in ("one", "two"):
                await disk.persist_drain(first, name)
            path = max(disk.files.files, key=lambda path: len(disk.files.files[path].current))
            disk.files.files[path].current += b"torn"
            disk.files.full = True
            second = disk.start()
            self.assertEqual({record.id for record in await second.load(first_start=True)}, {"one", "two"})

        self.scenario(scenario)

    def test_records_refused_by_a_full_disk_are_written_again(self) -> None:
        async def scenario(disk: Disk) -> None:
            records = disk.start()
            await records.load(first_start=True)
            await disk.persist_drain(records, "one")
            disk.files.full = True
            self.assertFalse(await disk.persist_drain(records, "two"))
            self.assertTrue(records.write_failed)
            await records.persist_all()
            self.assertTrue(records.write_failed)
            disk.files.full = False
            await records.persist_all()
            self.assertFalse(records.write_failed)
            self.assertEqual(await disk.stored_ids(), {"one", "two"})

        self.scenario(scenario)


if __name__ == "__main__":
    unittest.main()
