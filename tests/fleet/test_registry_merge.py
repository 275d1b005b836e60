"""Merging of registries: any order, loss and repetition of records leads to one state; drains are final."""

import random
import unittest
from unittest import mock

from barleybarrow.replication import registry as registry_module
from barleybarrow.replication.records import InstanceModel, InstanceRecord, InstanceState, Renewal
from barleybarrow.replication.registry import Registry
from barleybarrow.replication.rendezvous import SHARD_COUNT, replica_group, shard_of
from brackenusher.control_plane.replica_groups import ReplicaGroups
from brackenusher.settings.local import FaultTolerance

CASES = 300
READY, DRAINING, GONE, SILENT = (
    InstanceState.READY,
    InstanceState.DRAINING,
    InstanceState.GONE,
    InstanceState.SILENT,
)
Report = InstanceRecord | Renewal


def make_record(
    sequence: int, state: InstanceState = READY, slots: int = 1, instance_id: str = "i"
) -> InstanceRecord:
    return InstanceRecord(instance_id, "s", "10.0.0.1:80", "z", "v1", slots, state, sequence)


def apply_report(registry: Registry, report: Report, now: float = 0.0) -> None:
    if isinstance(report, Renewal):
        registry.renew(report, now)
    else:
        registry.merge(report, now)


def exchange(one: Registry, other: Registry) -> None:
    """Exchange all records in both directions, as two processes do when a link comes up."""
    for source, target in ((one, other), (other, one)):
        for shard in source.records_by_shard(0.0):
            for record in shard:
                target.merge(record, 0.0)
                target.renew(Renewal(record.id, source.entries[record.id].last_sequence), 0.0)


def summary(registry: Registry) -> dict[str, tuple[InstanceState, int, int]]:
    return {
        instance_id: (entry.state, entry.last_sequence, entry.details.slots)
        for instance_id, entry in registry.entries.items()
    }


def random_reports(rng: random.Random) -> list[Report]:
    """Random reports on one incarnation: its own heartbeats, and silences found by the owner of its shard."""
    reports: list[Report] = []
    slots = 1
    ends = rng.random() < 0.5
    for sequence in range(1, 8):
        if rng.random() < 0.4:
            slots += 1
        last = ends and sequence == 7
        reports.append(make_record(sequence, DRAINING if last else READY, slots))
        if rng.random() < 0.3:
            reports.append(make_record(sequence, SILENT, slots))
        if rng.random() < 0.5:
            reports.append(Renewal("i", sequence))
    if ends and rng.random() < 0.5:
        reports.append(make_record(7, GONE, slots))
    return reports


def expected_state(reports: list[Report]) -> InstanceState:
    """The state that follows from all reports, whatever their order."""
    records = [report for report in reports if isinstance(report, InstanceRecord)]
    states = {report.state for report in records}
    if GONE in states:
        return GONE
    if DRAINING in states:
        return DRAINING
    silent_sequence = max((report.sequence for report in records if report.state is SILENT), default=-1)
    last_sequence = max(report.sequence for report in reports)
    return SILENT if silent_sequence >= last_sequence else READY


class RegistryMergeTest(unittest.TestCase):
    """Merging of records and renewals."""

    def test_any_order_and_repetition_leads_to_the_same_state(self) -> None:
        for seed in range(CASES):
            rng = random.Random(seed)
            reports = random_reports(rng)
            registry = Registry()
            registry.merge(make_record(0), 0.0)  # since renewals of unknown ids are ignored
            deliveries = reports + rng.sample(reports, 3)
            rng.shuffle(deliveries)
            for report in deliveries:
                apply_report(registry, report)
            self.assertIs(registry.entries["i"].state, expected_state(reports), f"seed {seed}")
            own_records = [
                candidate
                for candidate in reports
                if isinstance(candidate, InstanceRecord) and candidate.state in (READY, DRAINING)
            ]
            newest = max(own_records, key=lambda report: report.sequence)
            self.assertEqual(registry.entries["i"].details.slots, newest.slots, f"seed {seed}")

    def test_registries_with_losses_agree_after_an_exchange(self) -> None:
        for seed in range(CASES):
            rng = random.Random(seed)
            reports = random_reports(rng)
            registries = [Registry() for _ in range(3)]
            for registry in registries:
                received = [report for report in reports if rng.random() < 0.6]
                rng.shuffle(received)
                for report in received:
                    apply_report(registry, report)
            for one, other in ((0, 1), (1, 2), (0, 1)):
                exchange(registries[one], registries[other])
            summaries = [summary(registry) for registry in registries]
            self.assertEqual(summaries[0], summaries[1], f"seed {seed}")
            self.assertEqual(summaries[0], summaries[2], f"seed {seed}")

    def test_merging_by_sequence_alone_is_found(self) -> None:
        class BySequence(Registry):
            def merge(self, record: InstanceRecord, now: float) -> bool:
                entry = self.entries.get(record.id)
                if entry is not None and record.sequence >= entry.last_sequence:
                    del self.entries[record.id]
                return super().merge(record, now)

        wrong = 0
        for seed in range(CASES):
            reports = random_reports(random.Random(seed))
            registry = BySequence()
            random.Random(seed).shuffle(reports)
            for report in reports:
                apply_report(registry, report)
            wrong += "i" in registry.entries and registry.entries["i"].state is not expected_state(reports)
        self.assertGreater(wrong, 0)

    def test_late_and_newer_heartbeats_do_not_undo_a_drain_or_deregistration(self) -> None:
        for state in (DRAINING, GONE):
            registry = Registry()
            registry.merge(make_record(5), 0.0)
            self.assertTrue(registry.merge(make_record(6, state), 0.0))
            for late in (make_record(4), make_record(9), make_record(10, SILENT)):
                registry.merge(late, 0.0)
                registry.renew(Renewal("i", 12), 0.0)
                self.assertIs(registry.entries["i"].state, state)

    def test_a_deregistration_of_an_unknown_server_gets_its_details_later(self) -> None:
        registry = Registry()
        self.assertTrue(registry.merge(registry.gone_record("i"), 0.0))
        registry.merge(make_record(3), 0.0)
        entry = registry.entries["i"]
        self.assertEqual((entry.state, entry.details.service), (GONE, "s"))

    def test_a_renewal_or_a_shorter_cold_start_is_no_change(self) -> None:
        registry = Registry()
        cold = make_record(1)
        cold.cold_remaining_ms = 4000
        self.assertTrue(registry.merge(cold, 0.0))
        warmer = make_record(2)
        warmer.cold_remaining_ms = 3000
        self.assertFalse(registry.merge(warmer, 1000.0))
        self.assertEqual(registry.entries["i"].record(2000.0).cold_remaining_ms, 2000)
        changed = make_record(3)
        changed.models = [InstanceModel("m", 2)]
        self.assertTrue(registry.merge(changed, 2000.0))

    def test_a_silence_is_ended_only_by_a_newer_heartbeat(self) -> None:
        registry = Registry()
        registry.merge(make_record(5), 0.0)
        self.assertEqual(registry.overdue({shard_of("s")}, 1.0), ["i"])
        self.assertIs(registry.mark_silent("i", 10.0).state, SILENT)
        self.assertFalse(registry.renew(Renewal("i", 5), 10.0))
        self.assertTrue(registry.renew(Renewal("i", 6), 10.0))
        self.assertIs(registry.entries["i"].state, READY)

    def test_gone_entries_expire_only_after_their_retention(self) -> None:
        registry = Registry()
        registry.merge(make_record(1, GONE), 0.0)
        self.assertEqual(registry.expire(registry_module.FINAL_RETENTION_MS - 1.0), set())
        self.assertEqual(registry.expire(registry_module.FINAL_RETENTION_MS + 1.0), {shard_of("s")})

    def test_the_number_of_gone_entries_is_bounded(self) -> None:
        registry = Registry()
        for number in range(registry_module.MAX_ENTRIES + 100):
            registry.merge(make_record(1, GONE, instance_id=f"i{number}"), float(number))
        registry.expire(0.0)
        self.assertEqual(len(registry.entries), registry_module.MAX_ENTRIES)
        self.assertNotIn("i0", registry.entries)


class ReplicaGroupTest(unittest.TestCase):
    """Assignment of shards to voters."""

    def test_removing_a_voter_moves_only_its_own_shards(self) -> None:
        voters = [f"10.0.0.{i}:7000" for i in range(7)]
        for shard in range(SHARD_COUNT):
            before = replica_group(shard, voters, 1)
            after = replica_group(shard, [v for v in voters if v != voters[3]], 1)
            self.assertEqual(len(before), 3)
            self.assertLessEqual(set(before) - {voters[3]}, set(after))
            self.assertEqual(before, replica_group(shard, reversed(voters), 1))

    def test_with_zone_tolerance_all_voters_hold_each_shard(self) -> None:
        voters = [f"10.0.0.{i}:7000" for i in range(6)]
        links = mock.Mock()
        links.own.address = voters[0]
        for tolerance, size in ((FaultTolerance(1), 3), (FaultTolerance(1, 1), 6), (FaultTolerance(2), 5)):
            groups = ReplicaGroups(links, lambda: voters, tolerance)
            self.assertEqual({len(groups.group(shard)) for shard in range(SHARD_COUNT)}, {size})


if __name__ == "__main__":
    unittest.main()
