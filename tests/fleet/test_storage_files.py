"""Storage on the real file system, and the storage thread."""

import asyncio
import errno
import os
import tempfile
import threading
import unittest

from brackenusher.storage.files import OsFileSystem, StorageError, StorageFullError, to_storage_error
from brackenusher.storage.slot_store import SlotStore
from brackenusher.storage.writer import StorageWriter


class OsFileSystemTest(unittest.TestCase):
    def test_state_is_loaded_by_the_next_process(self) -> None:
        with tempfile.TemporaryDirectory() as root:
            folder = os.path.join(root, "data", "deeper")
            store = SlotStore(folder, "state")
            self.assertIsNone(store.load().snapshot)
            store.replace(b"one")
            store.replace(b"two")
            store.append([b"a", b""])
            store.append([b"c"])
            store.close()
            reopened = SlotStore(folder, "state")
            loaded = reopened.load()
            self.assertEqual((loaded.snapshot, loaded.records), (b"two", [b"a", b"", b"c"]))
            reopened.close()

    def test_shorter_snapshot_truncates_a_longer_one(self) -> None:
        with tempfile.TemporaryDirectory() as root:
            store = SlotStore(root, "state")
            store.load()
            for snapshot in (b"x" * 1000, b"y", b"z"):
                store.replace(snapshot)
            self.assertLess(os.path.getsize(store.paths[0]), 100)
            store.close()

    def test_folder_that_is_a_file_raises_storage_error(self) -> None:
        with tempfile.NamedTemporaryFile() as file, self.assertRaises(StorageError):
            SlotStore(os.path.join(file.name, "below"), "state").load()

    def test_error_type_depends_on_errno(self) -> None:
        self.assertIsInstance(to_storage_error(OSError(errno.ENOSPC, "full")), StorageFullError)
        self.assertNotIsInstance(to_storage_error(OSError(errno.EIO, "broken")), StorageFullError)

    def test_files_can_be_used_after_close(self) -> None:
        with tempfile.TemporaryDirectory() as root:
            files = OsFileSystem()
            path = os.path.join(root, "file")
            files.write(path, 3, b"abc")
            files.truncate(path, 5)
            files.sync(path)
            files.sync_folder(root)
            files.close()
            self.assertEqual(files.read(path), b"\0\0\0ab")
            self.assertIsNone(files.read(path + "-absent"))


class StorageWriterTest(unittest.TestCase):
    def test_operations_run_in_order_on_one_other_thread(self) -> None:
        async def scenario() -> None:
            writer = StorageWriter()
            seen = list[tuple[int, int]]()
            futures = [writer.submit(lambda i=i: seen.append((i, threading.get_ident()))) for i in range(20)]
            await asyncio.gather(*futures)
            writer.close()
            self.assertEqual([number for number, _ in seen], list(range(20)))
            self.assertEqual(len({thread for _, thread in seen} - {threading.get_ident()}), 1)
            self.assertEqual(writer.pending_count, 0)

        asyncio.run(scenario())

    def test_exception_reaches_the_caller_and_the_thread_survives(self) -> None:
        async def scenario() -> None:
            writer = StorageWriter()

            def refuse() -> None:
                raise StorageError("refused")

            with self.assertRaises(StorageError):
                await writer.submit(refuse)
            self.assertEqual(await writer.submit(lambda: 5), 5)
            writer.close()

        asyncio.run(scenario())

    def test_event_loop_is_not_blocked_by_an_operation(self) -> None:
        async def scenario() -> None:
            writer, released = StorageWriter(), threading.Event()
            future = writer.submit(released.wait)
            steps = 0
            for _ in range(100):
                await asyncio.sleep(0)
                steps += 1
            self.assertFalse(future.done())
            released.set()
            self.assertTrue(await future)
            writer.close()
            self.assertEqual(steps, 100)

        asyncio.run(scenario())
