"""The world in virtual time: the same run to the byte, fair comparisons, and a model that is as it says."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from testbed import scenario as config
from testbed import world

ROOT = Path(__file__).parent.parent
ROUGH = """
name = "rough"
seconds = 6.0
proxies = 3
servers = 8
zones = ["a", "b"]
[load]
of_capacity = 0.6
[[classes]]
name = "read"
work_ms = 40.0
aim = 300.0
deadline = 800.0
[[classes]]
name = "submit"
share = 0.5
work_ms = 60.0
aim = 400.0
deadline = 1000.0
effect = "keyed"
window = 4000.0
[[classes]]
name = "pay"
share = 0.3
effect = "unsafe"
[clocks]
offset_ms = 500.0
drift_ppm = 100.0
[network]
loss = 0.01
[[faults]]
kind = "crash"
at = 1000.0
lasts = 1500.0
[[faults]]
kind = "hang"
at = 1000.0
lasts = 1500.0
[[faults]]
kind = "replace"
at = 2000.0
[[faults]]
kind = "partition"
at = 2500.0
lasts = 1000.0
proxies = [1]
[[faults]]
kind = "proxy_restart"
at = 3000.0
lasts = 2000.0
proxies = [0]
[[faults]]
kind = "lost_answers"
at = 1500.0
size = 0.3
"""
DIGEST = """
import sys
from testbed import scenario, world
print(world.run(scenario.parse(sys.stdin.read()), 7).digest)
"""


@pytest.fixture(scope="module")
def rough():
    return config.parse(ROUGH)


def test_the_same_seed_gives_the_same_run_whatever_the_hash_seed(rough):
    digests = []
    for hash_seed in ("1", "2"):
        done = subprocess.run(
            [sys.executable, "-c", DIGEST],
            input=ROUGH,
            capture_output=True,
            text=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            timeout=120,
            check=True,
        )
        digests.append(done.stdout)
    assert digests[0] == digests[1] == world.run(rough, 7).digest + "\n"
    assert world.run(rough, 8).digest + "\n" != digests[0]


def test_a_rough_run_keeps_every_promise_and_answers_everything(rough):
    result = world.run(rough, 7)
    assert result.breaches == []
    ends = ("in_aim", "late", "refused", "failed", "left")
    assert sum(result.total(end) for end in ends) == result.total("asked") > 500
    assert {a.kind for a in result.acted} == {f.kind for f in rough.faults}
