"""Each fault of the testbed does what its name says, and the module keeps every promise through it."""

import msgspec
import pytest

from testbed import faults, world
from testbed import scenario as config
from testbed.model.arrivals import Arrivals
from testbed.scenario import FaultKind

BASE = """
name = "one"
seconds = 5.0
servers = 6
[load]
of_capacity = 0.4
[discovery]
add_ms = 300.0
gone_ms = 400.0
drain_notice_ms = 900.0
[[classes]]
name = "read"
work_ms = 40.0
aim = 400.0
deadline = 900.0
[[classes]]
name = "pay"
share = 0.3
work_ms = 40.0
aim = 400.0
deadline = 900.0
effect = "unsafe"
[[tenants]]
name = "t0"
[[tenants]]
name = "t1"
"""
DRAIN = config.Fault(kind="drain", at=1500.0, lasts=2000.0)


def play(*faults):
    scenario = msgspec.structs.replace(config.parse(BASE), faults=list(faults))
    done = world.World(scenario, 5)
    done.run()
    return done, done.result()


def outcomes(done, field):
    return sum(getattr(host.server.tally, field) for host in done.all_hosts)


def told_between(done, begin, end):
    return [at for proxy in done.proxies for at in proxy.told.times if begin <= at / 1000.0 < end]


def asked(result, tenant=None):
    return result.total("asked", tenant=tenant)


def hot_share(done):
    swells = faults.swells(done.scenario, done.occurrences)
    rows = [row for row in Arrivals(done.scenario, done.seed, swells) if 1_000_000 <= row.sent < 3_000_000]
    return sum(row.key == done.scenario.keys.count for row in rows) / len(rows)


SIGNS = {  # what can be seen of a fault (part 0.5, from 1,000 to 3,000 ms), next to a calm run
    "slow": lambda w, r, calm: r.percentile(0.99) > 1.2 * calm.percentile(0.99),
    "hang": lambda w, r, calm: r.total("failed") + r.total("refused") > calm.total("refused"),
    "quick_errors": lambda w, r, calm: outcomes(w, "errors") > 10,
    "crash": lambda w, r, calm: outcomes(w, "starts") == 6 + 3,
    "drain": lambda w, r, calm: all(
        [h for _, h in line] == ["draining", "gone", "ready"] for line in w.away.values()
    ),
    "replace": lambda w, r, calm: sum("." in name for name in w.registry.current) == 3,
    "partition": lambda w, r, calm: any(proxy.failures for proxy in w.proxies),
    "discovery_silent": lambda w, r, calm: (
        not told_between(w, 1000.0, 3000.0) and told_between(w, 3000.0, 4000.0)
    ),
    "discovery_stale": lambda w, r, calm: (
        not told_between(w, 1000.0, 2500.0) and told_between(w, 2500.0, 4000.0)
    ),
    "discovery_whole": lambda w, r, calm: told_between(w, 1500.0, 3000.0),
    "late_answers": lambda w, r, calm: r.percentile(0.95) > calm.percentile(0.95) + 5.0,
    "lost_answers": lambda w, r, calm: r.wasted() > calm.wasted() + 0.02,
    "resets": lambda w, r, calm: r.total("failed") > calm.total("failed"),
    "proxy_restart": lambda w, r, calm: [proxy.life for proxy in w.proxies] == [1, 1],
    "hot_key": lambda w, r, calm: 0.4 < hot_share(w) < 0.6,
    "tenant_flood": lambda w, r, calm: asked(r, "t1") > 1.5 * asked(r, "t0"),
    "load": lambda w, r, calm: asked(r) > 1.15 * asked(calm),
}
SIZES = {"slow": 4.0, "late_answers": 60.0, "discovery_stale": 1000.0, "tenant_flood": 5.0, "load": 2.0}


@pytest.fixture(scope="module")
def calm():
    return play()[1]


def test_every_fault_has_a_sign():
    assert set(SIGNS) == set(FaultKind.__args__)


@pytest.mark.parametrize("kind", SIGNS)
def test_a_fault_does_what_its_name_says(kind, calm):
    more = {"tenant": "t1"} if kind == "tenant_flood" else {}
    fault = config.Fault(
        kind=kind, at=1000.0, lasts=2000.0, part=0.5, size=SIZES.get(kind, 0.5), gap_ms=100.0, **more
    )
    done, result = play(fault, DRAIN) if kind.startswith("discovery") else play(fault)
    assert SIGNS[kind](done, result, calm)
    assert result.breaches == []
    assert result.acted[0].kind == kind and result.acted[0].until - result.acted[0].at == 2000.0
