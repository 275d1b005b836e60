"""Many proxies before a fleet, in virtual time under the oracle: what the fleet days showed."""

import pytest

from benchmarks.fleet import resized
from testbed import experiments, scenario
from testbed.experiments import Job
from testbed.model.discovery import Desk

SIZE = 16, 24  # proxies and servers


def played(name, policy="module", size=SIZE):
    return experiments.play(Job(resized(scenario.load(name), *size), policy, 5))


LEAST = [
    ("herd", 0.7),
    ("lost_zone", 0.75),
    ("mass_replacement", 0.75),
    ("rolling_fleet", 0.85),
    ("split_fleet", 0.9),
]


@pytest.mark.parametrize(("name", "least"), LEAST)
def test_a_fleet_in_trouble_keeps_its_promises_and_does_better_than_random_choice(name, least):
    own, random = played(name), played(name, "random")
    assert own.breaches == [] and own.cold_peak < 3.0
    assert own.goodput() >= least and own.goodput() > random.goodput() + 0.05


def test_a_fleet_without_a_fault_carries_a_burst():
    result = played("steady_fleet")
    assert result.breaches == [] and result.goodput() >= 0.9


@pytest.mark.parametrize("size", [(1, 60), (40, 9)])
def test_one_proxy_before_sixty_servers_and_forty_before_nine(size):
    result = played("mass_replacement", size=size)
    assert result.breaches == [] and result.goodput() > 0.7


def test_an_overbooked_discovery_fails_calls_that_wait_too_long_and_works_for_none_of_them():
    desk = Desk(scenario.Discovery(mode="ask", lines_per_s=100.0, patience_ms=2000.0))
    done = [desk.call(0, 60) for _ in range(6)]
    assert done == [(600_000 * n, True) for n in (1, 2, 3, 4)] + [(2_000_000, False)] * 2
    assert desk.call(2_400_000, 60) == (600_000, True) and desk.failed == 2
