"""Components of feeds in isolation: change logs, configuration deltas and fetches, merging of feeds."""

import random
import unittest

from barleybarrow.documents import ClientLimits, Configuration, ConfigurationDelta, Route, Service, Tenant
from barleybarrow.replication import configuration_delta
from barleybarrow.replication.change_log import ChangeLog
from barleybarrow.replication.configuration_fetch import INITIAL_TIMEOUT_MS, ConfigurationFetcher
from barleybarrow.replication.feed_view import CORRELATED_SILENCE_WINDOW_MS, FeedView
from barleybarrow.replication.records import InstanceRecord, InstanceState
from barleybarrow.replication.rendezvous import SHARD_COUNT, shard_of
from brackenusher.cluster.config_pieces import MAX_DELTAS, ConfigUpdates

READY, DRAINING, GONE, SILENT = (
    InstanceState.READY,
    InstanceState.DRAINING,
    InstanceState.GONE,
    InstanceState.SILENT,
)


class ChangeLogTest(unittest.TestCase):
    """Readers that resume at any offset converge to the current state."""

    def test_readers_that_resume_at_any_offset_miss_no_change(self) -> None:
        for seed in range(200):
            rng = random.Random(seed)
            log, expected, copy = ChangeLog(7), dict[str, int](), dict[str, int]()
            position = (0, 0)
            for step in range(60):
                if rng.random() < 0.05 and expected:
                    del expected[rng.choice(sorted(expected))]
                    log.start_epoch(expected)
                else:
                    changed = f"i{rng.randrange(12)}"
                    expected[changed] = step
                    log.record([changed])
                if rng.random() < 0.3:
                    ids = log.since(*position)
                    if ids is None:
                        copy = dict(expected)
                    else:
                        copy.update({changed_id: expected[changed_id] for changed_id in ids})
                    position = (log.epoch, log.offset)
                    self.assertEqual(copy, expected, f"seed {seed}, step {step}")

    def test_a_reader_of_another_epoch_needs_a_snapshot(self) -> None:
        log = ChangeLog(7)
        log.record(["a"])
        self.assertIsNone(log.since(8, 0))
        self.assertIsNone(log.since(7, 5))
        self.assertEqual(log.since(7, 1), [])


def random_configuration(rng: random.Random, generation: int) -> Configuration:
    names = rng.sample("abcdefgh", rng.randrange(1, 8))
    return Configuration(
        generation=generation,
        routes=[Route(n, "h", f"/{n}/", "safe", rng.choice((1.0, 2.0)), 1.0) for n in names],
        services=[Service(n, max_connections=rng.randrange(2)) for n in rng.sample(names, len(names) // 2)],
        limits=ClientLimits(max_header_bytes=rng.randrange(3)),
        tenants=[Tenant(n, [f"key-{n}-{rng.randrange(2)}"]) for n in rng.sample("xyz", rng.randrange(3))],
    )


def canonical(value: Configuration) -> Configuration:
    """The configuration with sorted items, since their order has no meaning."""
    return Configuration(
        value.generation,
        sorted(value.routes, key=lambda item: item.name),
        sorted(value.services, key=lambda item: item.name),
        value.limits,
        sorted(value.tenants, key=lambda item: item.name),
    )


class ConfigurationDeltaTest(unittest.TestCase):
    """Deltas reproduce the newer configuration."""

    def test_applied_and_composed_deltas_lead_to_the_newer_version(self) -> None:
        for seed in range(300):
            rng = random.Random(seed)
            versions = [random_configuration(rng, generation) for generation in (1, 4, 9)]
            first = configuration_delta.diff(versions[0], versions[1])
            second = configuration_delta.diff(versions[1], versions[2])
            self.assertEqual(canonical(configuration_delta.apply(versions[0], first)), canonical(versions[1]))
            composed = configuration_delta.compose(first, second)
            self.assertEqual(
                canonical(configuration_delta.apply(versions[0], composed)), canonical(versions[2])
            )

    def test_a_delta_from_another_version_is_rejected(self) -> None:
        with self.assertRaises(configuration_delta.DeltaMismatchError):
            configuration_delta.apply(Configuration(3), ConfigurationDelta(4, 5))
        with self.assertRaises(configuration_delta.DeltaMismatchError):
            configuration_delta.compose(ConfigurationDelta(1, 2), ConfigurationDelta(3, 4))

    def test_recent_versions_get_a_delta_and_older_ones_a_snapshot(self) -> None:
        pieces = ConfigUpdates()
        routes = [Route(f"r{i}", "h", f"/{i}/", "safe", 1.0, 1.0) for i in range(50)]
        for generation in range(1, MAX_DELTAS + 5):
            routes[0] = Route("r0", "h", "/0/", "safe", float(generation), 1.0)
            self.assertTrue(pieces.add(Configuration(generation, list(routes))))
        newest = pieces.version
        self.assertFalse(pieces.add(Configuration(newest - 1)))
        recent, old = pieces.update_from(newest - 3), pieces.update_from(1)
        assert recent is not None and old is not None
        self.assertEqual((recent.base_version, old.base_version), (newest - 3, 0))
        self.assertLess(len(recent.document) * 2, len(old.document))
        self.assertIsNone(pieces.update_from(newest))


class ConfigurationFetcherTest(unittest.TestCase):
    """Choice of the source to fetch a configuration from."""

    def test_the_next_source_is_asked_after_a_timeout(self) -> None:
        fetch = ConfigurationFetcher()
        self.assertIsNone(fetch.next_source(0.0))
        fetch.on_offer("a", 5, confirmed=True)
        self.assertEqual(fetch.next_source(0.0), "a")
        fetch.on_offer("b", 5, confirmed=False)
        self.assertIsNone(fetch.next_source(INITIAL_TIMEOUT_MS - 1.0))
        self.assertEqual(fetch.next_source(INITIAL_TIMEOUT_MS), "b")
        self.assertFalse(fetch.confirmed)
        fetch.on_applied(5)
        self.assertTrue(fetch.confirmed)
        self.assertIsNone(fetch.next_source(10_000.0))

    def test_a_disconnected_source_is_not_waited_for(self) -> None:
        fetch = ConfigurationFetcher()
        fetch.on_offer("a", 5, confirmed=True)
        fetch.on_offer("b", 5, confirmed=True)
        first_source = fetch.next_source(0.0)
        assert first_source is not None
        fetch.on_disconnected(first_source)
        self.assertEqual({first_source, fetch.next_source(1.0)}, {"a", "b"})

    def test_a_version_older_than_a_confirmed_one_does_not_count_as_confirmed(self) -> None:
        fetch = ConfigurationFetcher()
        fetch.on_offer("a", 7, confirmed=True)
        fetch.on_applied(5)
        self.assertFalse(fetch.confirmed)
        fetch.on_applied(9)
        self.assertTrue(fetch.confirmed)

    def test_any_version_counts_as_confirmed_if_none_was_committed(self) -> None:
        fetch = ConfigurationFetcher()
        fetch.on_offer("a", 0, confirmed=True)
        fetch.on_offer("a", 3, confirmed=False)
        fetch.on_applied(3)
        self.assertTrue(fetch.confirmed)


def make_record(instance_id: str, state: InstanceState = READY, sequence: int = 1) -> InstanceRecord:
    return InstanceRecord(instance_id, "s", "a:1", "z", "v", 4, state, sequence)


class FeedHarness:
    """A feed view, and sources that send it full lists or changes."""

    def __init__(self, *sources: str) -> None:
        self.view = FeedView()
        for source in sources:
            self.subscribe(source, 0.0)

    def subscribe(self, source: str, now: float, *records: InstanceRecord, settled: bool = True) -> None:
        self.view.on_connected(source, now)
        for shard in range(SHARD_COUNT):
            shard_records = records if shard == shard_of("s") else ()
            self.view.apply_update(
                source, shard, (1, 0), shard_records, snapshot=True, settled=settled, now=now
            )

    def push(self, source: str, now: float, *records: InstanceRecord) -> bool:
        return self.view.apply_update(
            source, shard_of("s"), (1, 1), records, snapshot=False, settled=True, now=now
        )

    def ready(self, now: float = 0.0) -> list[str]:
        return [record.id for record in self.view.offered_records("s", now) if record.state is READY]


class FeedViewTest(unittest.TestCase):
    """Servers that a proxy offers to its data plane."""

    def test_a_single_source_cannot_mark_a_server_silent(self) -> None:
        feeds = FeedHarness("a", "b")
        for source in "ab":
            feeds.push(source, 0.0, make_record("i"), make_record("j"))
        feeds.push("a", 1.0, make_record("i", SILENT, 2))
        self.assertEqual(feeds.ready(), ["i", "j"])
        feeds.push("b", 2.0, make_record("i", SILENT, 2))
        self.assertEqual(feeds.ready(), ["j"])
        feeds.push("b", 3.0, make_record("i", READY, 3))
        self.assertEqual(feeds.ready(), ["i", "j"])

    def test_a_drain_reported_by_one_source_is_final(self) -> None:
        feeds = FeedHarness("a", "b")
        for source in "ab":
            feeds.push(source, 0.0, make_record("i"), make_record("j"))
        feeds.push("a", 1.0, make_record("i", DRAINING, 2))
        feeds.push("b", 1.0, make_record("i", READY, 9))
        self.assertEqual(feeds.ready(), ["j"])
        self.assertEqual([r.state for r in feeds.view.offered_records("s", 1.0)], [READY, DRAINING])
        feeds.push("b", 1.0, make_record("i", GONE, 9))
        self.assertEqual(len(feeds.view.offered_records("s", 1.0)), 1)

    def test_the_last_known_state_holds_without_a_connected_source(self) -> None:
        feeds = FeedHarness("a")
        feeds.push("a", 0.0, make_record("i"), make_record("j", SILENT))
        feeds.view.on_disconnected("a", 1.0)
        self.assertEqual(feeds.ready(), ["i"])
        feeds.subscribe("a", 2.0, settled=False)
        self.assertEqual(feeds.ready(), ["i"])

    def test_servers_unknown_to_all_settled_sources_are_not_offered(self) -> None:
        feeds = FeedHarness("a")
        feeds.push("a", 0.0, make_record("i"), make_record("j"))
        feeds.subscribe("a", 60_000.0, make_record("j"))
        self.assertEqual(feeds.ready(60_000.0), ["j"])

    def test_only_the_servers_that_fell_silent_last_stay_offered(self) -> None:
        feeds = FeedHarness("a")
        feeds.push("a", 0.0, make_record("i"), make_record("j"), make_record("k"))
        feeds.push("a", 0.0, make_record("i", SILENT))
        later = CORRELATED_SILENCE_WINDOW_MS + 1000.0
        feeds.push("a", later, make_record("j", SILENT))
        feeds.push("a", later + 2000.0, make_record("k", SILENT))
        self.assertEqual(feeds.ready(later + 2000.0), ["j", "k"])

    def test_changes_from_another_epoch_are_rejected(self) -> None:
        feeds = FeedHarness("a")
        shard = shard_of("s")
        self.assertFalse(
            feeds.view.apply_update(
                "a", shard, (2, 4), [make_record("i")], snapshot=False, settled=True, now=0.0
            )
        )

    def test_gone_servers_expire(self) -> None:
        feeds = FeedHarness("a")
        feeds.push("a", 0.0, make_record("i", GONE), make_record("j"))
        feeds.subscribe("a", 1.0, make_record("j"))
        feeds.view.expire(1e6)
        self.assertEqual(set(feeds.view.instances), {"j"})


if __name__ == "__main__":
    unittest.main()
