"""Random days find no breach; with a planted bug they do."""

import logging
import unittest

from tests.fleet.feed_schedules import play_day

DAYS = 12


class FeedSchedulesTest(unittest.TestCase):
    """Registration and feeds under arbitrary schedules."""

    def setUp(self) -> None:
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_no_day_shows_a_breach(self) -> None:
        found = {seed: play_day(seed) for seed in range(DAYS)}
        self.assertEqual({seed: breaches for seed, breaches in found.items() if breaches}, {})


if __name__ == "__main__":
    unittest.main()
