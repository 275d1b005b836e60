"""How long it takes to recover by hand, by the run-book's own commands, five processes on loopback.

    python benchmarks/recovery.py [--quick]

From the first command on: until the one that goes on leads, until all admit under one policy, until a change
holds, until all hold the marks. Exit 1 where any takes over 20 s, or what was kept is not there again.
"""

import argparse
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # run as a file, from anywhere

from testbed.processes.whole import Whole

AIM_S = 20.0
Spans = list[float]


def timed(group: Whole, first: int, marks: dict[str, int]) -> Callable[[float], Spans]:
    """Have all begin again from one that is recovered; seconds since the first command."""

    def found(began: float) -> Spans:
        group.begin_again(first)
        spans = [time.monotonic() - began]
        group.everywhere(1)
        spans.append(time.monotonic() - began)
        assert group.propose(4, 2).returncode == 0
        spans.append(time.monotonic() - began)
        group.all_hold(marks)
        spans.append(time.monotonic() - began)
        return spans

    return found


def majority_gone(group: Whole) -> Spans:
    """Two of three voters and keepers are gone with their disks."""
    group.lose(0, 1)
    began = time.monotonic()
    for n in (2, 3, 4):
        group.leave(n)
    assert group.by_hand("recover", 2, "--name", "n2", "--without", "n0,n1").returncode == 0
    return timed(group, 2, {"server s0": 1})(began)


def all_disks_gone(group: Whole) -> Spans:
    """All disks are gone; there is a backup of one."""
    source = group.tmp_path / "backup"
    assert group.by_hand("backup", 0, "--name", "n0", "--to", str(source)).returncode == 0
    group.lose(0, 1, 2)
    began = time.monotonic()
    for n in (3, 4):
        group.leave(n)
    assert group.by_hand("restore", 0, str(source), "--i-know").returncode == 0
    assert group.by_hand("recover", 0, "--name", "n0", "--without", "n1,n2").returncode == 0
    return timed(group, 0, {"server s0": 1})(began)


def one_disk_gone(group: Whole) -> Spans:
    """One voter and keeper starts with an empty disk: nothing is done by hand."""
    group.lose(1)
    began = time.monotonic()
    group.start(1)
    group.everywhere(1)
    spans = [time.monotonic() - began] * 2
    assert group.propose(4, 2).returncode == 0
    spans.append(time.monotonic() - began)
    group.all_hold({"server s0": 1})
    return [*spans, time.monotonic() - began]


def main(argv: Sequence[str] | None = None) -> int:
    top = argparse.ArgumentParser(description="How long recovery by hand takes.")
    top.add_argument("--quick", action="store_true", help="each once")
    args = top.parse_args(argv)
    broken = []
    print("| disaster | leads s | all under one policy | a change holds | marks everywhere |")
    print("| --- | --- | --- | --- | --- |")
    for disaster in (one_disk_gone, majority_gone, all_disks_gone):
        found = []
        for _ in range(1 if args.quick else 5):
            with tempfile.TemporaryDirectory(prefix="recovery-") as folder:
                with Whole(Path(folder)) as group:
                    assert group.propose(0, 1).returncode == 0
                    group.everywhere(1)
                    assert group.mark(0, "s0") == 0
                    group.all_hold({"server s0": 1})
                    found.append(disaster(group))
        spans = [median(span) for span in zip(*found, strict=True)]
        name = disaster.__name__.replace("_", " ")
        print(f"| {name} | " + " | ".join(f"{span:.1f}" for span in spans) + " |", flush=True)
        if max(spans) > AIM_S:
            broken.append(f"{name}: {max(spans):.1f} s")
    for what in broken:
        print(f"broken: {what}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
