"""Random simulations of the configuration shard: the oracle must find no violation in any history."""

import unittest

from tests.fleet.config_schedules import Schedule

HISTORIES = 20  # per test; `python -m tests.fleet.play_config_histories` runs further seeds


class HistoriesTest(unittest.TestCase):
    def play(self, first: int) -> None:
        """Run consecutive seeds."""
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
