"""The registry as a join: any order, loss and repetition leads to one state, and drains are final."""

import random
import unittest
from unittest import mock

from barleybarrow.replication import registry as registry_module
from barleybarrow.replication.records import InstanceModel, InstanceRecord, InstanceState, Renewal
from barleybarrow.replication.registry import Registry
from barleybarrow.replication.rendezvous import SHARDS, replica_group, shard_of
from brackenusher.control_plane.replica_groups import ReplicaGroups
from brackenusher.settings.local import FaultTolerance

WORLDS = 300
READY, DRAINING, GONE, SILENT = (
    InstanceState.READY,
    InstanceState.DRAINING,
    InstanceState.GONE,
    InstanceState.SILENT,
)
Word = InstanceRecord | Renewal


def record(
    sequence: int, state: InstanceState = READY, slots: int = 1, instance_id: str = "i"
) -> InstanceRecord:
    return InstanceRecord(instance_id, "s", "10.0.0.1:80", "z", "v1", slots, state, sequence)


def tell(registry: Registry, word: Word, now: float = 0.0) -> None:
    if isinstance(word, Renewal):
        registry.renew(word, now)
    else:
        registry.merge(word, now)


def exchange(one: Registry, other: Registry) -> None:
    """What two processes tell each other when a link comes up."""
    for source, target in ((one, other), (other, one)):
        for shard in source.by_shard(0.0):
            for told in shard:
                target.merge(told, 0.0)
                target.renew(Renewal(told.id, source.entries[told.id].heard), 0.0)


def summary(registry: Registry) -> dict[str, tuple[InstanceState, int, int]]:
    return {
        instance_id: (entry.state, entry.heard, entry.details.slots)
        for instance_id, entry in registry.entries.items()
    }


def random_words(rng: random.Random) -> list[Word]:
    """What one server says in its life, and what an owner may say of it."""
    words: list[Word] = []
    slots = 1
    ending = rng.random() < 0.5
    for sequence in range(1, 8):
        if rng.random() < 0.4:
            slots += 1
        last = ending and sequence == 7
        words.append(record(sequence, DRAINING if last else READY, slots))
        if rng.random() < 0.3:
            words.append(record(sequence, SILENT, slots))
        if rng.random() < 0.5:
            words.append(Renewal("i", sequence))
    if ending and rng.random() < 0.5:
        words.append(record(7, GONE, slots))
    return words


def expected_state(words: list[Word]) -> InstanceState:
    """The state that all words together say, whatever their order."""
    records = [word for word in words if isinstance(word, InstanceRecord)]
    states = {word.state for word in records}
    if GONE in states:
        return GONE
    if DRAINING in states:
        return DRAINING
    silent = max((word.sequence for word in records if word.state is SILENT), default=-1)
    heard = max(word.sequence for word in words)
    return SILENT if silent >= heard else READY


class RegistryMergeTest(unittest.TestCase):
    """Merging."""

    def test_any_order_and_repetition_gives_the_same_state(self) -> None:
        for seed in range(WORLDS):
            rng = random.Random(seed)
            words = random_words(rng)
            registry = Registry()
            registry.merge(record(0), 0.0)  # renewals of ids that are not known are ignored
            told = words + rng.sample(words, 3)
            rng.shuffle(told)
            for word in told:
                tell(registry, word)
            self.assertIs(registry.entries["i"].state, expected_state(words), f"seed {seed}")
            own = [w for w in words if isinstance(w, InstanceRecord) and w.state in (READY, DRAINING)]
            newest = max(own, key=lambda word: word.sequence)
            self.assertEqual(registry.entries["i"].details.slots, newest.slots, f"seed {seed}")

    def test_processes_that_missed_much_agree_after_an_exchange(self) -> None:
        for seed in range(WORLDS):
            rng = random.Random(seed)
            words = random_words(rng)
            registries = [Registry() for _ in range(3)]
            for registry in registries:
                heard = [word for word in words if rng.random() < 0.6]
                rng.shuffle(heard)
                for word in heard:
                    tell(registry, word)
            for one, other in ((0, 1), (1, 2), (0, 1)):
                exchange(registries[one], registries[other])
            summaries = [summary(registry) for registry in registries]
            self.assertEqual(summaries[0], summaries[1], f"seed {seed}")
            self.assertEqual(summaries[0], summaries[2], f"seed {seed}")

    def test_a_planted_order_by_sequence_alone_is_found(self) -> None:
        class BySequence(Registry):
            def merge(self, record: InstanceRecord, now: float) -> bool:
                entry = self.entries.get(record.id)
                if entry is not None and record.sequence >= entry.heard:
                    del self.entries[record.id]
                return super().merge(record, now)

        wrong = 0
        for seed in range(WORLDS):
            words = random_words(random.Random(seed))
            registry = BySequence()
            random.Random(seed).shuffle(words)
            for word in words:
                tell(registry, word)
            wrong += "i" in registry.entries and registry.entries["i"].state is not expected_state(words)
        self.assertGreater(wrong, 0)

    def test_late_and_later_heartbeats_do_not_undo_a_drain_or_an_end(self) -> None:
        for state in (DRAINING, GONE):
            registry = Registry()
            registry.merge(record(5), 0.0)
            self.assertTrue(registry.merge(record(6, state), 0.0))
            for late in (record(4), record(9), record(10, SILENT)):
                registry.merge(late, 0.0)
                registry.renew(Renewal("i", 12), 0.0)
                self.assertIs(registry.entries["i"].state, state)

    def test_an_end_of_an_unknown_server_gets_its_details_later(self) -> None:
        registry = Registry()
        self.assertTrue(registry.merge(registry.gone("i"), 0.0))
        registry.merge(record(3), 0.0)
        entry = registry.entries["i"]
        self.assertEqual((entry.state, entry.details.service), (GONE, "s"))

    def test_a_renewal_and_a_time_to_warm_up_are_no_change(self) -> None:
        registry = Registry()
        cold = record(1)
        cold.cold_remaining_ms = 4000
        self.assertTrue(registry.merge(cold, 0.0))
        warmer = record(2)
        warmer.cold_remaining_ms = 3000
        self.assertFalse(registry.merge(warmer, 1000.0))
        self.assertEqual(registry.entries["i"].record(2000.0).cold_remaining_ms, 2000)
        changed = record(3)
        changed.models = [InstanceModel("m", 2)]
        self.assertTrue(registry.merge(changed, 2000.0))

    def test_only_a_newer_heartbeat_ends_a_silence(self) -> None:
        registry = Registry()
        registry.merge(record(5), 0.0)
        self.assertEqual(registry.overdue({shard_of("s")}, 1.0), ["i"])
        self.assertIs(registry.silence("i", 10.0).state, SILENT)
        self.assertFalse(registry.renew(Renewal("i", 5), 10.0))
        self.assertTrue(registry.renew(Renewal("i", 6), 10.0))
        self.assertIs(registry.entries["i"].state, READY)

    def test_ends_are_remembered_for_long_and_not_for_ever(self) -> None:
        registry = Registry()
        registry.merge(record(1, GONE), 0.0)
        self.assertEqual(registry.forget(registry_module.FINAL_RETENTION_MS - 1.0), set())
        self.assertEqual(registry.forget(registry_module.FINAL_RETENTION_MS + 1.0), {shard_of("s")})

    def test_the_number_of_ended_entries_is_bounded(self) -> None:
        registry = Registry()
        for number in range(registry_module.MAX_ENTRIES + 100):
            registry.merge(record(1, GONE, instance_id=f"i{number}"), float(number))
        registry.forget(0.0)
        self.assertEqual(len(registry.entries), registry_module.MAX_ENTRIES)
        self.assertNotIn("i0", registry.entries)


class ReplicaGroupTest(unittest.TestCase):
    """Who holds a shard."""

    def test_a_voter_that_leaves_moves_only_its_own_places(self) -> None:
        voters = [f"10.0.0.{i}:7000" for i in range(7)]
        for shard in range(SHARDS):
            before = replica_group(shard, voters, 1)
            after = replica_group(shard, [v for v in voters if v != voters[3]], 1)
            self.assertEqual(len(before), 3)
            self.assertLessEqual(set(before) - {voters[3]}, set(after))
            self.assertEqual(before, replica_group(shard, reversed(voters), 1))

    def test_where_zones_may_be_lost_all_voters_hold_each_shard(self) -> None:
        voters = [f"10.0.0.{i}:7000" for i in range(6)]
        links = mock.Mock()
        links.own.address = voters[0]
        for tolerance, size in ((FaultTolerance(1), 3), (FaultTolerance(1, 1), 6), (FaultTolerance(2), 5)):
            groups = ReplicaGroups(links, lambda: voters, tolerance)
            self.assertEqual({len(groups.group(shard)) for shard in range(SHARDS)}, {size})


if __name__ == "__main__":
    unittest.main()
