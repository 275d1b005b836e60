"""An owner marks servers as silent only for heartbeats that it could have received."""

import unittest

from barleybarrow.replication.silence import (
    HEARTBEAT_SLACK_MS,
    MISSED_HEARTBEATS,
    STALL_THRESHOLD_MS,
    SilenceDetector,
)

HEARTBEAT_MS = 1000.0
TIMEOUT_MS = MISSED_HEARTBEATS * HEARTBEAT_MS + HEARTBEAT_SLACK_MS


class SilenceDetectorTest(unittest.TestCase):
    """Timeouts of one owner."""

    def setUp(self) -> None:
        self.detector = SilenceDetector(HEARTBEAT_MS, 0.0)

    def run_ticks(self, owned: set[int], since: float, until: float) -> bool:
        """Tick regularly until a time; returns whether shard 3 is checked for overdue servers by then."""
        now = since
        while now < until:
            now += 500.0
            self.detector.tick(now)
            overdue = self.detector.overdue(owned, now)
        return 3 in overdue.shards

    def test_a_new_owner_waits_for_the_full_timeout(self) -> None:
        self.assertTrue(self.run_ticks({3}, 0.0, 60_000.0))
        self.assertFalse(self.run_ticks({4}, 60_000.0, 70_000.0))
        self.assertFalse(self.run_ticks({3}, 70_000.0, 70_000.0 + TIMEOUT_MS - 500.0))
        self.assertTrue(self.run_ticks({3}, 70_000.0 + TIMEOUT_MS - 500.0, 72_000.0 + TIMEOUT_MS))

    def test_an_owner_waits_for_the_full_timeout_after_a_stall(self) -> None:
        self.assertTrue(self.run_ticks({3}, 0.0, 60_000.0))
        self.detector.tick(60_000.0 + STALL_THRESHOLD_MS + 1.0)
        self.assertNotIn(3, self.detector.overdue({3}, 60_000.0 + STALL_THRESHOLD_MS + 1.0).shards)

    def test_servers_with_recent_heartbeats_are_not_overdue(self) -> None:
        self.run_ticks({3}, 0.0, 60_000.0)
        self.assertEqual(self.detector.overdue({3}, 60_000.0).last_heartbeat_before, 60_000.0 - TIMEOUT_MS)


if __name__ == "__main__":
    unittest.main()
