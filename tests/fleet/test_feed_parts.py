"""The parts of feeds alone: change logs, deltas of configurations, fetches, the merged view of a proxy."""

import random
import unittest

from barleybarrow.documents import ClientLimits, Configuration, ConfigurationDelta, Route, Service, Tenant
from barleybarrow.replication import configuration_delta
from barleybarrow.replication.change_log import ChangeLog
from barleybarrow.replication.configuration_fetch import INITIAL_TIMEOUT_MS, ConfigurationFetch
from barleybarrow.replication.feed_view import CORRELATED_SILENCE_WINDOW_MS, FeedView
from barleybarrow.replication.records import InstanceRecord, InstanceState
from barleybarrow.replication.rendezvous import SHARDS, shard_of
from brackenusher.cluster.config_pieces import KEPT_DELTAS, ConfigPieces

READY, DRAINING, GONE, SILENT = (
    InstanceState.READY,
    InstanceState.DRAINING,
    InstanceState.GONE,
    InstanceState.SILENT,
)


class ChangeLogTest(unittest.TestCase):
    """A reader that tails from anywhere ends up with the truth."""

    def test_readers_that_resume_anywhere_miss_nothing(self) -> None:
        for seed in range(200):
            rng = random.Random(seed)
            log, truth, copy = ChangeLog(7), dict[str, int](), dict[str, int]()
            position = (0, 0)
            for step in range(60):
                if rng.random() < 0.05 and truth:
                    del truth[rng.choice(sorted(truth))]
                    log.restart(truth)
                else:
                    changed = f"i{rng.randrange(12)}"
                    truth[changed] = step
                    log.record([changed])
                if rng.random() < 0.3:
                    ids = log.since(*position)
                    if ids is None:
                        copy = dict(truth)
                    else:
                        copy.update({i: truth[i] for i in ids})
                    position = (log.epoch, log.offset)
                    self.assertEqual(copy, truth, f"seed {seed}, step {step}")

    def test_a_reader_of_another_life_of_the_source_needs_a_snapshot(self) -> None:
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
    """The order of items means nothing."""
    return Configuration(
        value.generation,
        sorted(value.routes, key=lambda item: item.name),
        sorted(value.services, key=lambda item: item.name),
        value.limits,
        sorted(value.tenants, key=lambda item: item.name),
    )


class ConfigurationDeltaTest(unittest.TestCase):
    """What is carried makes the same configuration."""

    def test_deltas_and_joined_deltas_make_the_newer_version(self) -> None:
        for seed in range(300):
            rng = random.Random(seed)
            versions = [random_configuration(rng, generation) for generation in (1, 4, 9)]
            first = configuration_delta.diff(versions[0], versions[1])
            second = configuration_delta.diff(versions[1], versions[2])
            self.assertEqual(canonical(configuration_delta.apply(versions[0], first)), canonical(versions[1]))
            joined = configuration_delta.compose(first, second)
            self.assertEqual(
                canonical(configuration_delta.apply(versions[0], joined)), canonical(versions[2])
            )

    def test_a_delta_from_another_version_is_refused(self) -> None:
        with self.assertRaises(configuration_delta.DeltaMismatchError):
            configuration_delta.apply(Configuration(3), ConfigurationDelta(4, 5))
        with self.assertRaises(configuration_delta.DeltaMismatchError):
            configuration_delta.compose(ConfigurationDelta(1, 2), ConfigurationDelta(3, 4))

    def test_pieces_are_deltas_for_the_recent_and_snapshots_for_others(self) -> None:
        pieces = ConfigPieces()
        routes = [Route(f"r{i}", "h", f"/{i}/", "safe", 1.0, 1.0) for i in range(50)]
        for generation in range(1, KEPT_DELTAS + 5):
            routes[0] = Route("r0", "h", "/0/", "safe", float(generation), 1.0)
            self.assertTrue(pieces.committed(Configuration(generation, list(routes))))
        newest = pieces.version
        self.assertFalse(pieces.committed(Configuration(newest - 1)))
        recent, old = pieces.piece(newest - 3), pieces.piece(1)
        assert recent is not None and old is not None
        self.assertEqual((recent.base_version, old.base_version), (newest - 3, 0))
        self.assertLess(len(recent.document) * 2, len(old.document))
        self.assertIsNone(pieces.piece(newest))


class ConfigurationFetchTest(unittest.TestCase):
    """Whom a proxy asks."""

    def test_the_next_source_is_asked_where_nothing_comes(self) -> None:
        fetch = ConfigurationFetch()
        self.assertIsNone(fetch.ask(0.0))
        fetch.offered("a", 5, confirmed=True)
        self.assertEqual(fetch.ask(0.0), "a")
        fetch.offered("b", 5, confirmed=False)
        self.assertIsNone(fetch.ask(INITIAL_TIMEOUT_MS - 1.0))
        self.assertEqual(fetch.ask(INITIAL_TIMEOUT_MS), "b")
        self.assertFalse(fetch.confirmed)
        fetch.taken(5)
        self.assertTrue(fetch.confirmed)
        self.assertIsNone(fetch.ask(10_000.0))

    def test_a_source_that_is_lost_is_not_waited_for(self) -> None:
        fetch = ConfigurationFetch()
        fetch.offered("a", 5, confirmed=True)
        fetch.offered("b", 5, confirmed=True)
        asked = fetch.ask(0.0)
        assert asked is not None
        fetch.lost(asked)
        self.assertEqual({asked, fetch.ask(1.0)}, {"a", "b"})

    def test_a_version_older_than_a_confirmed_one_is_not_confirmed(self) -> None:
        fetch = ConfigurationFetch()
        fetch.offered("a", 7, confirmed=True)
        fetch.taken(5)
        self.assertFalse(fetch.confirmed)
        fetch.taken(9)
        self.assertTrue(fetch.confirmed)

    def test_that_nothing_is_committed_yet_confirms_whatever_comes(self) -> None:
        fetch = ConfigurationFetch()
        fetch.offered("a", 0, confirmed=True)
        fetch.offered("a", 3, confirmed=False)
        fetch.taken(3)
        self.assertTrue(fetch.confirmed)


def listed(instance_id: str, state: InstanceState = READY, sequence: int = 1) -> InstanceRecord:
    return InstanceRecord(instance_id, "s", "a:1", "z", "v", 4, state, sequence)


class Feeds:
    """A view, and sources that tell it whole lists or changes."""

    def __init__(self, *sources: str) -> None:
        self.view = FeedView()
        for source in sources:
            self.subscribe(source, 0.0)

    def subscribe(self, source: str, now: float, *records: InstanceRecord, settled: bool = True) -> None:
        self.view.connected(source, now)
        for shard in range(SHARDS):
            here = records if shard == shard_of("s") else ()
            self.view.take(source, shard, (1, 0), here, snapshot=True, settled=settled, now=now)

    def push(self, source: str, now: float, *records: InstanceRecord) -> bool:
        return self.view.take(source, shard_of("s"), (1, 1), records, snapshot=False, settled=True, now=now)

    def ready(self, now: float = 0.0) -> list[str]:
        return [record.id for record in self.view.offered("s", now) if record.state is READY]


class FeedViewTest(unittest.TestCase):
    """What a proxy offers to its data plane."""

    def test_one_source_that_says_silent_is_not_believed(self) -> None:
        feeds = Feeds("a", "b")
        for source in "ab":
            feeds.push(source, 0.0, listed("i"), listed("j"))
        feeds.push("a", 1.0, listed("i", SILENT, 2))
        self.assertEqual(feeds.ready(), ["i", "j"])
        feeds.push("b", 2.0, listed("i", SILENT, 2))
        self.assertEqual(feeds.ready(), ["j"])
        feeds.push("b", 3.0, listed("i", READY, 3))
        self.assertEqual(feeds.ready(), ["i", "j"])

    def test_a_drain_that_one_source_tells_holds(self) -> None:
        feeds = Feeds("a", "b")
        for source in "ab":
            feeds.push(source, 0.0, listed("i"), listed("j"))
        feeds.push("a", 1.0, listed("i", DRAINING, 2))
        feeds.push("b", 1.0, listed("i", READY, 9))
        self.assertEqual(feeds.ready(), ["j"])
        self.assertEqual([r.state for r in feeds.view.offered("s", 1.0)], [READY, DRAINING])
        feeds.push("b", 1.0, listed("i", GONE, 9))
        self.assertEqual(len(feeds.view.offered("s", 1.0)), 1)

    def test_with_no_source_in_touch_the_last_word_holds(self) -> None:
        feeds = Feeds("a")
        feeds.push("a", 0.0, listed("i"), listed("j", SILENT))
        feeds.view.disconnected("a", 1.0)
        self.assertEqual(feeds.ready(), ["i"])
        feeds.subscribe("a", 2.0, settled=False)
        self.assertEqual(feeds.ready(), ["i"])

    def test_what_no_settled_source_knows_is_not_offered(self) -> None:
        feeds = Feeds("a")
        feeds.push("a", 0.0, listed("i"), listed("j"))
        feeds.subscribe("a", 60_000.0, listed("j"))
        self.assertEqual(feeds.ready(60_000.0), ["j"])

    def test_servers_that_fall_silent_together_stay_and_older_silences_do_not(self) -> None:
        feeds = Feeds("a")
        feeds.push("a", 0.0, listed("i"), listed("j"), listed("k"))
        feeds.push("a", 0.0, listed("i", SILENT))
        later = CORRELATED_SILENCE_WINDOW_MS + 1000.0
        feeds.push("a", later, listed("j", SILENT))
        feeds.push("a", later + 2000.0, listed("k", SILENT))
        self.assertEqual(feeds.ready(later + 2000.0), ["j", "k"])

    def test_changes_of_another_life_of_the_source_are_not_taken(self) -> None:
        feeds = Feeds("a")
        shard = shard_of("s")
        self.assertFalse(
            feeds.view.take("a", shard, (2, 4), [listed("i")], snapshot=False, settled=True, now=0.0)
        )

    def test_what_ended_long_ago_is_forgotten(self) -> None:
        feeds = Feeds("a")
        feeds.push("a", 0.0, listed("i", GONE), listed("j"))
        feeds.subscribe("a", 1.0, listed("j"))
        feeds.view.forget(1e6)
        self.assertEqual(set(feeds.view.instances), {"j"})


if __name__ == "__main__":
    unittest.main()
