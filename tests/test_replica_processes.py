"""Replicated state on several daemons: marks through faults between them, disks that fail, limits over all.

Clients ask every proxy all the time; an oracle reads what became of what was acknowledged. They wait for
stated conditions, never for a time.
"""

import random
import shutil
import sqlite3
import threading
import time
from dataclasses import replace

import pytest
from msgspec import msgpack

from barleybarrow.overrides import Override
from barleybarrow.replica import Ready
from barleybarrow.version_vectors import Entry
from brackenusher.group.replica_store import ReplicaStore, sum_of
from testbed.processes.replicated import Replicated
from testbed.schedule import LinkFault, by_chance

RATE, BURST = 60, 20


OWN_DISK_IS_ENOUGH = """
from barleybarrow.replica import Replica
Replica.majority = property(lambda self: 1)
"""


@pytest.mark.parametrize("bug", ["", OWN_DISK_IS_ENOUGH])
def test_a_keeper_that_was_alone_and_loses_its_disk_has_promised_nothing(tmp_path, bug):
    group = Replicated(tmp_path)
    group.planted = bug
    with group:
        assert group.mark(0, "s1") == 0
        group.all_hold({"server s1": 1})
        group.cut([0], [1, 2, 3, 4])
        group.cut([1, 2, 3, 4], [0])
        group.mark(0, "s0")
        group.kill(0)
        group.links.mend()
        group.start(0, disk="empty")
        group.caught_up(range(5))
        group.equal()
        found = group.judge_marks()
        assert bool(found) == bool(bug), found[:3]


@pytest.mark.parametrize("seed", [11, 12])
def test_by_chance_what_staff_were_told_is_what_all_show(tmp_path, seed):
    with Replicated(tmp_path, seed=seed) as group:
        rng, done = random.Random(seed), threading.Event()

        def staff():
            while not done.is_set():
                verb = rng.choice(["mark", "clear"])
                group.write(rng.randrange(3), verb, "server", f"x{rng.randrange(3)}")
                done.wait(rng.uniform(0.0, 0.3))

        thread = threading.Thread(target=staff, daemon=True)
        thread.start()
        group.carry_out(by_chance(seed, 5, calm=3.0, quiet=5.0))
        done.set()
        thread.join(30)
        for n in range(5):
            if n not in group.running():
                group.start(n)
        group.caught_up(range(5))
        group.equal()
        assert sum(d.acknowledged for d in group.deeds) > 3 and group.judge_marks() == []


def test_a_mark_takes_hold_everywhere_and_a_tenant_is_stopped_and_let_in_again(tmp_path):
    with Replicated(tmp_path) as group:
        group.ask_all()
        began = time.monotonic()
        group.until(lambda: all(group.status_at(n, 200, began) for n in range(5)), "served")
        assert group.mark(0, "a", "tenant") == 0
        group.all_hold({"tenant a": 1})
        began = time.monotonic()
        group.until(lambda: all(group.status_at(n, 503, began) for n in range(5)), "stopped")
        assert not any(at > began and s == 200 for at, _, s in list(group.seen))
        assert group.replica("clear", 1, "tenant", "a").returncode == 0
        group.all_hold({})
        began = time.monotonic()
        group.until(lambda: all(group.status_at(n, 200, began) for n in range(5)), "served again")
        for name in ("s0", "s1"):
            assert group.mark(2, name) == 0
        group.all_hold({"server s0": 1, "server s1": 1})
        time.sleep(0.6)  # nothing new to one that is out after 500 ms
        counts = [len(server.requests) for server in group.servers]
        began = time.monotonic()
        group.until(lambda: all(group.status_at(n, 200, began) for n in range(5)), "served by the last")
        after = [len(server.requests) for server in group.servers]
        assert after[:2] == counts[:2] and after[2] > counts[2]
        refused = group.replica("mark", 4, "server", "s2")
        assert refused.returncode == 2 and "keeps nothing: ask one of n0 n1 n2" in refused.stderr
        bad = group.replica("clear", 0, "block", "x")
        assert bad.returncode == 2 and "is no name of one" in bad.stderr
        again = group.replica("clear", 0, "server", "s9")
        assert again.returncode == 2 and "is not marked" in again.stderr
        shown = group.replica("show", 3)
        assert "server s0" in shown.stdout and "by me" in shown.stdout and "it burns" in shown.stdout
        assert group.replica("verify", 3).returncode == 0
        assert group.replica("diff", 3, group.address(4)).returncode == 0
        assert group.breaches() == []


def test_two_halves_that_knew_nothing_of_each_other_agree_and_show_the_conflict(tmp_path):
    with Replicated(tmp_path, keepers=5) as group:
        assert group.mark(0, "s0") == 0
        group.all_hold({"server s0": 1})
        group.cut([0, 1], [2, 3, 4])
        group.cut([2, 3, 4], [0, 1])
        lesser = group.replica("clear", 0, "server", "s0")
        assert lesser.returncode == 4  # two of five disks promise nothing
        assert group.mark(3, "s0") == 0
        group.all_hold({"server s0": 1}, [2, 3, 4])
        group.all_hold({}, [0, 1])
        group.links.mend()
        group.all_hold({"server s0": 2})
        group.equal()
        shown = group.replica("conflicts", 4)
        assert shown.returncode == 1 and "CONFLICT: the mark stands" in shown.stdout
        assert group.replica("resolve", 1, "server", "s0").returncode == 0
        group.all_hold({"server s0": 1})
        assert group.replica("conflicts", 4).returncode == 0
        assert group.breaches() == []


def test_a_one_sided_link_holds_up_no_mark_and_loss_is_borne(tmp_path):
    with Replicated(tmp_path) as group:
        group.cut([1], [0], carries="stream")  # its word never reaches the first
        assert group.mark(0, "s0") == 0
        group.all_hold({"server s0": 1})
        group.cut([2], [0], carries="stream")
        assert group.replica("mark", 0, "server", "s1").returncode == 4
        group.links.mend()
        group.links.put(LinkFault(at=0, lasts=1e6, carries="datagram", lost=0.2, doubled=0.2, late=0.2))
        group.all_hold({"server s0": 1, "server s1": 1})
        assert group.mark(1, "s2") == 0
        group.links.mend()
        group.equal()
        assert group.breaches() == []


@pytest.mark.parametrize("point", ["before-keep", "after-keep", "after-tell"])
@pytest.mark.parametrize("who", [0, 1])
def test_a_keeper_killed_on_the_way_loses_nothing_that_was_acknowledged(tmp_path, point, who):
    script = tmp_path / "points"
    with Replicated(tmp_path) as group:
        group.environ[who] = {"BRACKENUSHER_POINTS": str(script)}
        group.leave(who)
        group.start(who)
        group.caught_up(range(5))
        assert group.mark(2, "s0") == 0
        group.all_hold({"server s0": 1})
        script.write_text(f"kill {point}\n")
        done = group.replica("mark", 0, "server", "s1")
        group.until(lambda: who not in group.running(), "killed")
        script.write_text("")
        group.daemons[who].life.stopped_at = time.monotonic()
        held = group.marks(2)
        assert done.returncode in (0, 2, 4) and "server s0" in held
        if done.returncode == 0:
            group.all_hold({"server s0": 1, "server s1": 1})
        group.start(who)
        group.caught_up(range(5))
        group.equal()
        marks = group.marks(who)
        assert "server s0" in marks and (done.returncode != 0 or "server s1" in marks)
        assert group.breaches() == []


def test_one_that_was_away_comes_back_with_its_disk_an_old_one_an_empty_one_and_a_damaged_one(tmp_path):
    with Replicated(tmp_path) as group:
        assert group.mark(1, "s0") == 0
        group.all_hold({"server s0": 1})
        group.leave(1)
        yesterday = tmp_path / "yesterday"
        shutil.copytree(group.folder(1), yesterday)
        assert group.replica("clear", 0, "server", "s0").returncode == 0
        assert group.mark(0, "s1") == 0
        group.start(1)
        group.caught_up([1])
        group.all_hold({"server s1": 1})  # what was cleared meanwhile does not rise
        assert group.mark(1, "s2") == 0
        group.equal()

        group.kill(1)
        shutil.rmtree(group.folder(1))
        shutil.copytree(yesterday, group.folder(1))
        group.start(1)
        group.caught_up([1])
        assert "others know of more than its store holds" in group.log(1)
        group.all_hold({"server s1": 1, "server s2": 1})

        group.kill(1)
        group.start(1, disk="empty")
        group.caught_up([1])
        group.all_hold({"server s1": 1, "server s2": 1})
        assert group.mark(1, "s0") == 0

        group.kill(1)
        path = group.folder(1) / "replica" / "replica.db"
        with sqlite3.connect(path) as db:
            db.execute("UPDATE slots SET data = x'90'")
        db.close()
        group.start(1)
        group.caught_up([1])
        assert "does not hold together" in group.log(1)
        group.all_hold({"server s0": 1, "server s1": 1, "server s2": 1})

        group.leave(1)
        operator = tmp_path / "run" / "operator1.properties"
        operator.write_text(operator.read_text() + "replica.from_empty = true\n")
        group.start(1)
        group.caught_up([1])
        assert "replica: left aside as" in group.log(1)
        group.all_hold({"server s0": 1, "server s1": 1, "server s2": 1})
        group.equal()
        assert group.breaches() == []


def test_a_keeper_with_an_empty_disk_waits_for_a_majority_of_the_others(tmp_path):
    with Replicated(tmp_path, settings="replica.behind = refuse\n") as group:
        group.ask_all()
        assert group.mark(0, "s0") == 0
        group.kill(1)
        group.kill(2)
        group.start(1, disk="empty")
        group.until(lambda: group.verify(1)["stage"] == "behind", "behind")
        began = time.monotonic()
        group.until(lambda: group.status_at(1, 503, began), "refuses")
        group.until(lambda: "n0" in group.verify(1).get("others", {}), "has heard the first")
        assert group.verify(1)["stage"] == "behind"
        assert not any(at > began and n == 1 and s == 200 for at, n, s in list(group.seen))
        group.start(2)
        group.caught_up([1, 2])
        group.all_hold({"server s0": 1})
        group.until(lambda: group.status_at(1, 200, began), "serves")
        assert group.breaches() == []


def test_a_full_disk_promises_nothing_and_goes_on_serving(tmp_path):
    script = tmp_path / "points"
    with Replicated(tmp_path) as group:
        for n in (1, 2):
            group.environ[n] = {"BRACKENUSHER_POINTS": str(script)}
            group.leave(n)
            group.start(n)
            group.caught_up([n])
        group.ask_all()
        script.write_text("disk full\n")
        assert group.replica("mark", 0, "server", "s0").returncode == 4
        began = time.monotonic()
        group.until(lambda: all(group.status_at(n, 200, began) for n in range(5)), "serve")
        script.write_text("disk slow 0.5\n")
        group.all_hold({"server s0": 1})
        assert group.mark(0, "s1") == 0
        group.until(lambda: "the disk takes what is stored again" in group.log(1), "back")
        group.equal()
        assert group.breaches() == []


def test_copies_of_one_vector_that_differ_are_found_and_mended_from_the_majority(tmp_path):
    with Replicated(tmp_path) as group:
        for name in ("s0", "s1"):
            assert group.mark(0, name) == 0
        group.all_hold({"server s0": 1, "server s1": 1})
        group.leave(1)
        path = group.folder(1) / "replica" / "replica.db"
        with sqlite3.connect(path) as db:  # a copy that was tampered with, check sum and all
            (data,) = db.execute("SELECT data FROM slots WHERE key = 'server s0'").fetchone()
            data = data.replace(b"it burns", b"all fine")
            db.execute(
                "UPDATE slots SET data = ?, sum = ? WHERE key = 'server s0'",
                (data, sum_of("server s0", data)),
            )
        db.close()
        group.start(1)
        group.until(
            lambda: "set aside, as a majority holds something else: server s0" in group.log(1), "found"
        )
        group.equal()
        assert group.replica("diff", 1, group.address(0)).returncode == 0
        assert group.breaches() == []


def test_a_copy_that_is_slow_or_broken_on_its_way_goes_on_where_it_was(tmp_path):
    size = 3000
    with Replicated(tmp_path) as group:
        group.leave(0)
        group.leave(1)
        for n in (0, 1):  # as if staff had been busy
            folder = group.folder(n) / "replica"
            shelf = ReplicaStore(str(folder))
            kept = shelf.load()
            mark = msgpack.encode(Override("me", "it burns" * 20, 0.0, 0.0))
            many = {f"server x{i}": [Entry(f"server x{i}", "n0~0", i + 1, {}, mark)] for i in range(size)}
            shelf.keep(Ready(entries_by_key=many, metadata=replace(kept, vector={"n0~0": size})))
            shelf.db.close()
        group.links.put(LinkFault(at=0, lasts=1e6, to=[4], carries="stream", bytes_per_s=4000.0))
        for n in (0, 1):
            group.start(n)
        group.caught_up([0, 1, 2, 3])  # the slow one holds nobody up
        entries = lambda n: group.verify(n).get("entries", 0)  # noqa: E731
        group.until(lambda: 0 < entries(4) < size, "some of it")  # though a whole part takes eight seconds
        some = entries(4)
        group.until(lambda: some < entries(4) < size, "more of it")
        assert group.mark(0, "s0") == 0
        group.links.put(LinkFault(at=0, lasts=1e6, to=[4], carries="stream", reset=True))
        before = entries(4)
        group.links.mend()
        group.until(lambda: entries(4) == size + 1, "all of it")
        group.equal()
        assert before > 0 and group.verify(4)["counts"].get("entries_news", 0) <= 1.2 * size
        assert group.breaches() == []


CLOCKS = """
import os, time
right, ahead = time.time, float(os.environ.get("AHEAD", "0"))
time.time = lambda: right() + ahead
"""


def test_clocks_that_differ_by_hours_and_jump_decide_nothing(tmp_path):
    group = Replicated(tmp_path)
    group.planted, group.environ = CLOCKS, {1: {"AHEAD": "3600"}, 2: {"AHEAD": "-3600"}}
    with group:
        assert group.mark(1, "s0") == 0  # an hour from now
        group.all_hold({"server s0": 1})
        assert group.replica("clear", 0, "server", "s0").returncode == 0
        assert group.mark(2, "s1") == 0  # an hour ago
        group.all_hold({"server s1": 1})
        for n, ahead in ((1, "-3600"), (2, "3600")):
            group.kill(n)
            group.environ[n] = {"AHEAD": ahead}
            group.start(n)
            group.caught_up(range(5))
        group.settle()
        assert group.replica("clear", 1, "server", "s1").returncode == 0
        group.all_hold({})
        group.equal()
        assert group.judge_marks() == []


def test_a_mark_for_a_span_lapses_whoever_is_there(tmp_path):
    with Replicated(tmp_path, size=3) as group:
        assert group.replica("mark", 0, "server", "s0", "--for", "3").returncode == 0
        group.all_hold({"server s0": 1})
        group.kill(0)
        group.all_hold({}, [1, 2])
        group.start(0)
        group.caught_up([0])
        group.all_hold({})
        assert group.breaches() == []


def test_a_limit_is_one_over_all_and_a_cut_admits_no_more(tmp_path):
    more = f"door.enabled = true\ndoor.rate.a = {RATE}\ndoor.burst.a = {BURST}\n"
    with Replicated(tmp_path, settings=more) as group:
        group.until(lambda: all(group.verify(n).get("warden") for n in range(5)), "a warden")
        began = time.monotonic()
        group.ask_all()

        def served(first, last):
            return sum(first <= at < last and s == 200 for at, _, s in list(group.seen))

        def wait(span):
            end = time.monotonic() + span
            group.until(lambda: time.monotonic() >= end, "time")
            return end

        middle = wait(4.0)
        end = wait(4.0)
        assert 0.85 * RATE * 4.0 <= served(middle, end) <= RATE * (end - middle) + BURST + 5
        group.cut([3, 4], [0, 1, 2])
        group.cut([0, 1, 2], [3, 4])
        cut_at = time.monotonic()
        end = wait(6.0)
        assert served(cut_at, end) <= RATE * (end - cut_at) + BURST + 5
        holder = next(n for n in range(5) if group.verify(n).get("warden") == f"n{n}")
        group.links.mend()
        group.pause(holder)
        paused_at = time.monotonic()
        end = wait(4.0)
        group.wake(holder)
        assert served(paused_at, end) <= RATE * (end - paused_at) + BURST + 5
        wardens = lambda: {group.verify(n).get("warden") for n in range(5)}  # noqa: E731
        group.until(lambda: len(wardens()) == 1 and "" not in wardens(), "one warden")
        assert served(began, time.monotonic()) <= RATE * (time.monotonic() - began) + 2 * BURST + 5
        assert group.breaches() == []
