"""Random simulations of the configuration shard: the oracle must find no violation in any history."""

import unittest

from tests.fleet.config_schedules import SimulationRun

SEEDS_PER_TEST = 20  # per test; `python -m tests.fleet.play_config_histories` runs further seeds


class HistoriesTest(unittest.TestCase):
    def check_seeds(self, first: int) -> None:
        """Run consecutive seeds."""
        for seed in range(first, first + SEEDS_PER_TEST):
            with self.subTest(seed=seed):
                self.assertEqual(SimulationRun(seed).run(), [])

    def test_seeds_from_0(self) -> None:
        self.check_seeds(0)

    def test_seeds_from_1000(self) -> None:
        self.check_seeds(1000)

    def test_seeds_from_2000(self) -> None:
        self.check_seeds(2000)

    def test_seeds_from_3000(self) -> None:
        self.check_seeds(3000)
