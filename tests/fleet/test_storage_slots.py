"""Durability of the slot store under power loss, disk errors and corruption."""

import errno
import random
import unittest
from typing import Any

from brackenusher.storage.files import StorageError, StorageFullError
from brackenusher.storage.slot_store import SlotStore
from tests.fleet.emulated_disk import EmulatedDisk, PowerLossError

State = tuple[bytes | None, tuple[bytes, ...]]  # a snapshot and the records after it
EMPTY: State = (None, ())
MAX_STEPS = 200  # more than any test below needs


class RandomCaller:
    """Appends and replaces at random, and tracks the states that the store may be in."""

    def __init__(self, store: SlotStore, state: State, rng: random.Random) -> None:
        self.store, self.rng = store, rng
        self.state, self.possible_states = state, [state]

    def step(self, number: int) -> None:
        """Makes one call; until it returns, the store may hold the previous or any intermediate state."""
        label = f"{number}-{self.rng.randrange(10**6)}-".encode()
        if self.state[0] is None or self.rng.random() < 0.25:
            snapshot = label + self.rng.randbytes(self.rng.randrange(300))
            self.possible_states.append((snapshot, ()))
            self.store.replace(snapshot)
        else:
            records = [
                label + self.rng.randbytes(self.rng.randrange(60)) for _ in range(self.rng.randint(1, 3))
            ]
            for i in range(len(records)):
                self.possible_states.append((self.state[0], (*self.state[1], *records[: i + 1])))
            self.store.append(records)
        self.state = self.possible_states[-1]
        self.possible_states = [self.state]


def load_store(disk: EmulatedDisk) -> tuple[SlotStore, State, bool]:
    """Opens the store as a new process does; returns it, its state and whether it is damaged."""
    store = SlotStore("folder", "state", disk)
    loaded = store.load()
    return store, (loaded.snapshot, tuple(loaded.records)), loaded.damaged


class PowerLossTest(unittest.TestCase):
    def test_power_loss_at_every_operation(self) -> None:
        for seed in range(8):
            for operation in range(1, 60):
                with self.subTest(seed=seed, operation=operation):
                    self.lose_power_at(seed, operation)

    def lose_power_at(self, seed: int, operation: int) -> None:
        """Loses power at one operation and twice more later; continues from the loaded state each time."""
        rng = random.Random(seed)
        disk = EmulatedDisk(random.Random(seed * 1000 + operation))
        disk.power_loss_at = operation
        expected = EMPTY
        for _ in range(3):
            try:
                store, state, damaged = load_store(disk)
            except PowerLossError:  # while the store is loaded
                disk.lose_power()
                store, state, damaged = load_store(disk)
            self.assertEqual(state, expected)
            script = RandomCaller(store, state, rng)
            try:
                for number in range(25):
                    script.step(number)
            except PowerLossError:
                pass
            disk.lose_power()
            _, expected, damaged = load_store(disk)
            self.assertIn(expected, script.possible_states)
            if damaged:
                self.assertEqual(
                    script.possible_states[0], EMPTY, "only a store without durable state may be damaged"
                )
            disk.power_loss_at = disk.operations + rng.randint(1, 40)

    def test_killed_process_loses_no_durable_state(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            disk = EmulatedDisk(rng)
            disk.power_loss_at = rng.randint(1, 50)
            script = RandomCaller(load_store(disk)[0], EMPTY, rng)
            with self.assertRaises(PowerLossError):
                for number in range(MAX_STEPS):
                    script.step(number)
            disk.power_loss_at = 0  # the process was killed: its files stay as they are
            self.assertIn(load_store(disk)[1], script.possible_states)


class LoadTest(unittest.TestCase):
    """Loading needs no writes, and the loaded state is durable."""

    def test_torn_tail_is_skipped_on_a_read_only_disk(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load_store(disk)[0]
        store.replace(b"snapshot")
        store.append([b"first"])
        disk.files[store.paths[0]].current += b"torn"
        disk.full = True
        read_only = ReadOnlyFiles(disk)
        store = SlotStore("folder", "state", read_only)
        loaded = store.load()
        self.assertEqual((loaded.snapshot, loaded.records), (b"snapshot", [b"first"]))
        with self.assertRaises(StorageFullError):
            store.append([b"second"])
        disk.full = read_only.read_only = False
        store.append([b"second"])
        disk.lose_power()
        self.assertEqual(load_store(disk)[1], (b"snapshot", (b"first", b"second")))

    def test_loaded_state_survives_power_loss(self) -> None:
        for seed in range(40):
            disk = EmulatedDisk(random.Random(seed))
            store = load_store(disk)[0]
            store.replace(b"snapshot")
            disk.power_loss_at = disk.operations + 2  # written, killed before the sync
            with self.assertRaises(PowerLossError):
                store.append([b"record"])
            disk.power_loss_at = 0
            loaded = load_store(disk)[1]
            disk.lose_power()
            self.assertEqual(load_store(disk)[1], loaded, f"seed {seed}")

    def test_slot_truncated_at_every_byte(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load_store(disk)[0]
        store.replace(b"before")
        store.replace(b"snapshot")
        store.append([b"one", b"two"])
        complete, states = bytes(disk.files[store.paths[1]].current), set()
        for length in range(len(complete) + 1):
            disk.files[store.paths[1]].current[:] = complete[:length]
            state = load_store(disk)[1]
            states.add(state)
            self.assertIn(state[0], (b"before", b"snapshot"))
            self.assertEqual(state[1], (b"one", b"two")[: len(state[1])])
        self.assertEqual(len(states), 4)


class ReadOnlyFiles:
    """Files of a disk that rejects all writes; existing files can be read and synced."""

    def __init__(self, disk: EmulatedDisk) -> None:
        self.disk, self.read_only = disk, True

    def __getattr__(self, name: str) -> Any:
        if self.read_only and name in ("write", "truncate", "make_folder"):
            return self.refuse
        return getattr(self.disk, name)

    def refuse(self, *arguments: Any) -> None:
        raise OSError(errno.ENOSPC, "no space left on device")


class DiskErrorTest(unittest.TestCase):
    def test_single_error_at_every_operation_and_retry(self) -> None:
        for code, error_type in ((errno.ENOSPC, StorageFullError), (errno.EIO, StorageError)):
            for operation in range(1, 40):
                with self.subTest(errno=code, operation=operation):
                    self.fail_at(operation, code, error_type)

    def fail_at(self, operation: int, code: int, error_type: type[StorageError]) -> None:
        rng = random.Random(operation)
        disk = EmulatedDisk(rng)
        disk.errno_at = {operation: code}
        script = RandomCaller(load_store(disk)[0], EMPTY, rng)
        failures = 0
        for number in range(30):
            try:
                script.step(number)
            except error_type:
                failures += 1
                self.assertIn(load_store(disk)[1], script.possible_states)
                script.possible_states = [script.state]
        self.assertEqual(failures, 1)
        self.assertEqual(load_store(disk)[1], script.state)
        disk.lose_power()
        self.assertEqual(load_store(disk)[1], script.state)

    def test_full_disk_has_its_own_error_and_recovers(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load_store(disk)[0]
        store.replace(b"snapshot")
        disk.full = True
        with self.assertRaises(StorageFullError):
            store.append([b"one"])
        with self.assertRaises(StorageFullError):
            store.replace(b"other")
        disk.full = False
        store.append([b"two"])
        disk.lose_power()
        self.assertEqual(load_store(disk)[1], (b"snapshot", (b"two",)))

    def test_disk_that_fills_up_within_a_write(self) -> None:
        for seed in range(30):
            disk = EmulatedDisk(random.Random(seed), capacity=3000)
            script = RandomCaller(load_store(disk)[0], EMPTY, random.Random(seed))
            for number in range(60):
                try:
                    script.step(number)
                except StorageFullError:
                    script.possible_states = [script.state]
            self.assertEqual(load_store(disk)[1], script.state)


class CorruptionTest(unittest.TestCase):
    def test_corrupt_tail_is_truncated_for_good(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load_store(disk)[0]
        store.replace(b"snapshot")
        store.append([b"first"])
        end = store.end
        store.append([b"second"])
        store.append([b"third!"])
        disk.files[store.paths[0]].current[end + 9] ^= 1
        store, state, _ = load_store(disk)
        self.assertEqual(state, (b"snapshot", (b"first",)))
        store.append([b"longer than both that were there"])
        self.assertEqual(load_store(disk)[1], (b"snapshot", (b"first", b"longer than both that were there")))

    def test_records_of_an_earlier_generation_are_not_accepted(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load_store(disk)[0]
        store.replace(b"snapshot one")
        store.append([b"record one"])
        old = bytes(disk.files[store.paths[0]].current)
        store.replace(b"snapshot two")
        store.replace(b"snapshot 3rd")
        file = disk.files[store.paths[0]]
        file.current[len(file.current) :] = old[len(file.current) :]  # the truncation was lost
        self.assertEqual(load_store(disk)[1], (b"snapshot 3rd", ()))

    def test_corrupt_snapshot_falls_back_to_the_previous_one(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        store = load_store(disk)[0]
        store.replace(b"snapshot one")
        store.replace(b"snapshot two")
        disk.files[store.paths[1]].current[-1] ^= 1
        self.assertEqual(load_store(disk)[1], (b"snapshot one", ()))

    def test_corrupt_store_differs_from_an_empty_folder(self) -> None:
        disk = EmulatedDisk(random.Random(1))
        self.assertFalse(load_store(disk)[2])
        store = load_store(disk)[0]
        store.replace(b"snapshot")
        disk.files[store.paths[0]].current[3] ^= 1
        self.assertTrue(load_store(disk)[2])

    def test_random_bytes_are_not_accepted(self) -> None:
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
        store = load_store(disk)[0]
        store.replace(b"snapshot")
        before = disk.sync_count
        store.append([b"one", b"two"])
        self.assertEqual(disk.sync_count - before, 1)

    def test_append_before_a_snapshot_is_rejected(self) -> None:
        with self.assertRaises(StorageError):
            load_store(EmulatedDisk(random.Random(1)))[0].append([b"one"])
