"""Random histories of the configuration shard: the oracle finds nothing wrong with any of them."""

import unittest

from tests.fleet.config_schedules import Schedule

HISTORIES = 20  # of each test; further seeds are played by `python -m tests.fleet.play_config_histories`


class HistoriesTest(unittest.TestCase):
    def play(self, first: int) -> None:
        """Play histories from a seed on."""
        for seed in range(first, first + HISTORIES):
            with self.subTest(seed=seed):
                self.assertEqual(Schedule(seed).play(), [])

    def test_seeds_from_0(self) -> None:
        self.play(0)

    def test_seeds_from_1000(self) -> None:
        self.play(1000)

    def test_seeds_from_2000(self) -> None:
        self.play(2000)

    def test_seeds_from_3000(self) -> None:
        self.play(3000)
