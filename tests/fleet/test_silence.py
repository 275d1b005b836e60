"""When an owner may call a server silent: not for what it could not have heard itself."""

import unittest

from barleybarrow.replication.silence import (
    HEARTBEAT_SLACK_MS,
    MISSED_HEARTBEATS,
    STALL_THRESHOLD_MS,
    SilenceWatch,
)

HEARTBEAT_MS = 1000.0
PATIENCE_MS = MISSED_HEARTBEATS * HEARTBEAT_MS + HEARTBEAT_SLACK_MS


class SilenceWatchTest(unittest.TestCase):
    """The patience of one owner."""

    def setUp(self) -> None:
        self.watch = SilenceWatch(HEARTBEAT_MS, 0.0)

    def watched(self, owned: set[int], since: float, until: float) -> bool:
        """Ticks in time up to a moment; whether shard 3 may be looked at then."""
        now = since
        while now < until:
            now += 500.0
            self.watch.ticked(now)
            overdue = self.watch.overdue(owned, now)
        return 3 in overdue.shards

    def test_a_new_owner_waits_for_as_many_heartbeats_as_an_old_one(self) -> None:
        self.assertTrue(self.watched({3}, 0.0, 60_000.0))
        self.assertFalse(self.watched({4}, 60_000.0, 70_000.0))
        self.assertFalse(self.watched({3}, 70_000.0, 70_000.0 + PATIENCE_MS - 500.0))
        self.assertTrue(self.watched({3}, 70_000.0 + PATIENCE_MS - 500.0, 72_000.0 + PATIENCE_MS))

    def test_an_owner_that_stood_still_begins_anew(self) -> None:
        self.assertTrue(self.watched({3}, 0.0, 60_000.0))
        self.watch.ticked(60_000.0 + STALL_THRESHOLD_MS + 1.0)
        self.assertNotIn(3, self.watch.overdue({3}, 60_000.0 + STALL_THRESHOLD_MS + 1.0).shards)

    def test_servers_heard_within_the_patience_are_not_overdue(self) -> None:
        self.watched({3}, 0.0, 60_000.0)
        self.assertEqual(self.watch.overdue({3}, 60_000.0).heard_before, 60_000.0 - PATIENCE_MS)


if __name__ == "__main__":
    unittest.main()
