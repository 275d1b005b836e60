"""The slot store keeps all that it said it kept, whatever the disk does."""

import errno
import random
import unittest
from typing import Any

from brackenusher.storage.files import StorageError, StorageFullError
from brackenusher.storage.slot_store import SlotStore
from tests.fleet.emulated_disk import EmulatedDisk, PowerLossError

State = tuple[bytes | None, tuple[bytes, ...]]  # a snapshot and the records behind it
EMPTY: State = (None, ())
MOST_OPERATIONS = 200  # more than any script below needs


class Script:
    """A caller that appends and replaces, and knows which states its store may be in."""

    def __init__(self, store: SlotStore, state: State, rng: random.Random) -> None:
        self.store, self.rng = store, rng
        self.state, self.attempted = state, [state]

    def step(self, number: int) -> None:
        """One call; until it returns, the state before and each state on the way may be found."""
        label = f"{number}-{self.rng.randrange(10**6)}-".encode()
        if self.state[0] is None or self.rng.random() < 0.25:
            snapshot = label + self.rng.randbytes(self.rng.randrange(300))
            self.attempted.append((snapshot, ()))
            self.store.replace(snapshot)
        else:
            records = [
                label + self.rng.randbytes(self.rng.randrange(60)) for _ in range(self.rng.randint(1, 3))
            ]
            for i in range(len(records)):
                self.attempted.append((self.state[0], (*self.state[1], *records[: i + 1])))
            self.store.append(records)
        self.state = self.attempted[-1]
        self.attempted = [self.state]


def load(disk: EmulatedDisk) -> tuple[SlotStore, State, bool]:
    """A store as a new process finds it."""
    store = SlotStore("folder", "state", disk)
    loaded = store.load()
    return store, (loaded.snapshot, tuple(loaded.records)), loaded.damaged


class PowerLossTest(unittest.TestCase):
    def test_power_lost_at_each_operation_in_turn(self) -> None:
        for seed in range(8):
            for operation in range(1, 60):
                with self.subTest(seed=seed, operation=operation):
                    self.lose_power_at(seed, operation)

    def lose_power_at(self, seed: int, operation: int) -> None:
        """Lose power at one operation and twice more later; after each start go on from what was found."""
        rng = random.Random(seed)
        disk = EmulatedDisk(random.Random(seed * 1000 + operation))
        disk.power_loss_at = operation
        found = EMPTY
        for _ in range(3):
            try:
                store, state, damaged = load(disk)
            except PowerLossError:  # also while the store is read
                disk.lose_power()
                store, state, damaged = load(disk)
            self.assertEqual(state, found)
            script = Script(store, state, rng)
            try:
                for number in range(25):
                    script.step(number)
            except PowerLossError:
                pass
            disk.lose_power()
            _, found, damaged = load(disk)
            self.assertIn(found, script.attempted)
            if damaged:
                self.assertEqual(
                    script.attempted[0], EMPTY, "only a store that kept nothing yet may be damaged"
                )
            disk.power_loss_at = disk.operations + rng.randint(1, 40)

    def test_a_process_that_is_killed_loses_nothing_it_kept(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            disk = EmulatedDisk(rng)
            disk.power_loss_at = rng.randint(1, 50)
            script = Script(load(disk)[0], EMPTY, rng)
            with self.assertRaises(PowerLossError):
                for number in range(MOST_OPERATIONS):
                    script.step(number)
            disk.power_loss_at = 0  # the process is gone, and its files are as they were
            self.assertIn(load(disk)[1], script.attempted)


class ReadingTest(unittest.TestCase):
    """What a start relies on: it is read whatever the disk refuses, and what was read stays."""

    def test_a_torn_tail_is_read_over_on_a_disk_that_refuses_each_write(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load(disk)[0]
        store.replace(b"snapshot")
        store.append([b"first"])
        disk.files[store.paths[0]].current += b"torn"
        disk.full = True
        refusing = RefusingFiles(disk)
        store = SlotStore("folder", "state", refusing)
        loaded = store.load()
        self.assertEqual((loaded.snapshot, loaded.records), (b"snapshot", [b"first"]))
        with self.assertRaises(StorageFullError):
            store.append([b"second"])
        disk.full = refusing.refuses = False
        store.append([b"second"])
        disk.lose_power()
        self.assertEqual(load(disk)[1], (b"snapshot", (b"first", b"second")))

    def test_what_was_read_outlives_a_loss_of_power(self) -> None:
        for seed in range(40):
            disk = EmulatedDisk(random.Random(seed))
            store = load(disk)[0]
            store.replace(b"snapshot")
            disk.power_loss_at = disk.operations + 2  # written, and killed before its sync
            with self.assertRaises(PowerLossError):
                store.append([b"record"])
            disk.power_loss_at = 0
            read = load(disk)[1]
            disk.lose_power()
            self.assertEqual(load(disk)[1], read, f"seed {seed}")

    def test_the_slot_and_the_log_torn_at_each_byte(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load(disk)[0]
        store.replace(b"before")
        store.replace(b"snapshot")
        store.append([b"one", b"two"])
        whole, known = bytes(disk.files[store.paths[1]].current), set()
        for length in range(len(whole) + 1):
            disk.files[store.paths[1]].current[:] = whole[:length]
            state = load(disk)[1]
            known.add(state)
            self.assertIn(state[0], (b"before", b"snapshot"))
            self.assertEqual(state[1], (b"one", b"two")[: len(state[1])])
        self.assertEqual(len(known), 4)


class RefusingFiles:
    """Files of a disk that refuses writes of every kind; what is there can be read and synced."""

    def __init__(self, disk: EmulatedDisk) -> None:
        self.disk, self.refuses = disk, True

    def __getattr__(self, name: str) -> Any:
        if self.refuses and name in ("write", "truncate", "make_folder"):
            return self.refuse
        return getattr(self.disk, name)

    def refuse(self, *arguments: Any) -> None:
        raise OSError(errno.ENOSPC, "no space left on device")


class RefusalTest(unittest.TestCase):
    def test_each_operation_in_turn_is_refused_once_and_the_call_made_again(self) -> None:
        for code, kind in ((errno.ENOSPC, StorageFullError), (errno.EIO, StorageError)):
            for operation in range(1, 40):
                with self.subTest(errno=code, operation=operation):
                    self.refuse_at(operation, code, kind)

    def refuse_at(self, operation: int, code: int, kind: type[StorageError]) -> None:
        rng = random.Random(operation)
        disk = EmulatedDisk(rng)
        disk.errno_at = {operation: code}
        script = Script(load(disk)[0], EMPTY, rng)
        refused = 0
        for number in range(30):
            try:
                script.step(number)
            except kind:
                refused += 1
                self.assertIn(load(disk)[1], script.attempted)
                script.attempted = [script.state]
        self.assertEqual(refused, 1)
        self.assertEqual(load(disk)[1], script.state)
        disk.lose_power()
        self.assertEqual(load(disk)[1], script.state)

    def test_a_full_disk_is_told_apart_and_gives_room_again(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load(disk)[0]
        store.replace(b"snapshot")
        disk.full = True
        with self.assertRaises(StorageFullError):
            store.append([b"one"])
        with self.assertRaises(StorageFullError):
            store.replace(b"other")
        disk.full = False
        store.append([b"two"])
        disk.lose_power()
        self.assertEqual(load(disk)[1], (b"snapshot", (b"two",)))

    def test_a_disk_that_fills_up_within_a_write(self) -> None:
        for seed in range(30):
            disk = EmulatedDisk(random.Random(seed), capacity=3000)
            script = Script(load(disk)[0], EMPTY, random.Random(seed))
            for number in range(60):
                try:
                    script.step(number)
                except StorageFullError:
                    script.attempted = [script.state]
            self.assertEqual(load(disk)[1], script.state)


class DamageTest(unittest.TestCase):
    def test_a_damaged_tail_is_cut_and_never_comes_back(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load(disk)[0]
        store.replace(b"snapshot")
        store.append([b"first"])
        end = store.end
        store.append([b"second"])
        store.append([b"third!"])
        disk.files[store.paths[0]].current[end + 9] ^= 1
        store, state, _ = load(disk)
        self.assertEqual(state, (b"snapshot", (b"first",)))
        store.append([b"longer than both that were there"])
        self.assertEqual(load(disk)[1], (b"snapshot", (b"first", b"longer than both that were there")))

    def test_records_of_an_earlier_use_of_a_slot_are_never_read(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load(disk)[0]
        store.replace(b"snapshot one")
        store.append([b"record one"])
        old = bytes(disk.files[store.paths[0]].current)
        store.replace(b"snapshot two")
        store.replace(b"snapshot 3rd")
        file = disk.files[store.paths[0]]
        file.current[len(file.current) :] = old[len(file.current) :]  # the cut of the length was lost
        self.assertEqual(load(disk)[1], (b"snapshot 3rd", ()))

    def test_a_damaged_snapshot_gives_way_to_the_one_before(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load(disk)[0]
        store.replace(b"snapshot one")
        store.replace(b"snapshot two")
        disk.files[store.paths[1]].current[-1] ^= 1
        self.assertEqual(load(disk)[1], (b"snapshot one", ()))

    def test_no_whole_slot_is_told_apart_from_an_empty_folder(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        self.assertFalse(load(disk)[2])
        store = load(disk)[0]
        store.replace(b"snapshot")
        disk.files[store.paths[0]].current[3] ^= 1
        self.assertTrue(load(disk)[2])

    def test_random_bytes_are_never_taken_for_a_store(self) -> None:
        rng = random.Random(1)
        disk = EmulatedDisk(rng)
        for _ in range(300):
            store = SlotStore("folder", "state", disk)
            for path in store.paths:
                disk.wipe()
                disk.write(path, 0, rng.choice([b"", b"BRKS"]) + rng.randbytes(rng.randrange(80)))
            self.assertIsNone(store.load().snapshot)


class SyncTest(unittest.TestCase):
    def test_an_append_syncs_once(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load(disk)[0]
        store.replace(b"snapshot")
        before = disk.sync_count
        store.append([b"one", b"two"])
        self.assertEqual(disk.sync_count - before, 1)

    def test_append_before_a_snapshot_is_refused(self) -> None:
        with self.assertRaises(StorageError):
            load(EmulatedDisk(random.Random(1)))[0].append([b"one"])
