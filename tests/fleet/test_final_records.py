"""Drains and ends on disk: nothing is written before all was read, and what was refused is written again."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from barleybarrow.replication.records import InstanceRecord, InstanceState
from brackenusher.control_plane.final_records import FinalRecords
from brackenusher.storage.slot_store import SlotStore, StorageError
from tests.fleet.emulated_disk import EmulatedDisk
from tests.fleet.feed_world import FakeWriter
from tests.fleet.virtual_time import run_virtual


class UnreadableStore(SlotStore):
    """Refuses to be read a number of times."""

    refusals = 0

    def load(self) -> Any:
        if self.refusals:
            self.refusals -= 1
            raise StorageError("refused")
        return super().load()


def drained(name: str) -> InstanceRecord:
    """A server that drains."""
    return InstanceRecord(name, "s0", "10.9.0.1:80", "z", "v1", 4, InstanceState.DRAINING, 7)


class Disk:
    """A disk, and the process that keeps drains on it."""

    def __init__(self) -> None:
        self.files = EmulatedDisk(random.Random(1))
        self.known: dict[str, InstanceRecord] = {}

    def started(self, refusals: int = 0) -> FinalRecords:
        """A new process on the disk."""
        store = UnreadableStore("data", "registry", self.files)
        store.refusals = refusals
        writer: Any = FakeWriter(random.Random(1))
        self.known = {}
        return FinalRecords(store, writer, lambda: list(self.known.values()))

    async def keep(self, records: FinalRecords, name: str) -> bool:
        """Have a drain kept."""
        self.known[name] = drained(name)
        return await records.keep(self.known[name])

    async def found(self) -> set[str]:
        """The drains that a further start finds."""
        return {record.id for record in await self.started().load()}


class FinalRecordsTest(unittest.TestCase):
    def story(self, story: Callable[[Disk], Awaitable[None]]) -> None:
        run_virtual(story(Disk()))  # type: ignore[arg-type]

    def test_nothing_is_written_before_all_was_read(self) -> None:
        async def story(disk: Disk) -> None:
            first = disk.started()
            await first.load()
            self.assertTrue(await disk.keep(first, "one"))
            second = disk.started(refusals=3)
            loading = asyncio.create_task(second.load())
            keeping = asyncio.create_task(disk.keep(second, "two"))
            await asyncio.sleep(0.3)
            self.assertFalse(second.loaded or keeping.done())
            self.assertEqual([record.id for record in await loading], ["one"])
            disk.known["one"] = drained("one")
            self.assertTrue(await keeping)
            self.assertEqual(await disk.found(), {"one", "two"})

        self.story(story)

    def test_a_torn_tail_on_a_full_disk_hides_nothing(self) -> None:
        async def story(disk: Disk) -> None:
            first = disk.started()
            await first.load()
            for name in ("one", "two"):
                await disk.keep(first, name)
            path = max(disk.files.files, key=lambda path: len(disk.files.files[path].current))
            disk.files.files[path].current += b"torn"
            disk.files.full = True
            second = disk.started()
            self.assertEqual({record.id for record in await second.load()}, {"one", "two"})

        self.story(story)

    def test_what_a_full_disk_refused_is_written_again(self) -> None:
        async def story(disk: Disk) -> None:
            records = disk.started()
            await records.load()
            await disk.keep(records, "one")
            disk.files.full = True
            self.assertFalse(await disk.keep(records, "two"))
            self.assertTrue(records.refused)
            await records.keep_all()
            self.assertTrue(records.refused)
            disk.files.full = False
            await records.keep_all()
            self.assertFalse(records.refused)
            self.assertEqual(await disk.found(), {"one", "two"})

        self.story(story)


if __name__ == "__main__":
    unittest.main()
