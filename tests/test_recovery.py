"""Manual recovery: which stores may continue, and every command of docs/recovery.md on processes."""

import json
import re
import shutil
import sqlite3

import pytest
from helpers import command
from msgspec import msgpack

from barleybarrow.agreement_messages import Entry, EntryKind, Snapshot
from barleybarrow.recovery import TERM_MARGIN, StoreContents, missing_versions, objections, recovered_state
from barleybarrow.rollout import IN_FORCE, JOINT, Join, Propose, Step
from testbed.processes.governing import Governed
from testbed.processes.whole import Whole

THREE = ["n0", "n1", "n2"]


def data(term, *commands):
    return [Entry(term, EntryKind.DATA, msgpack.encode(c)) for c in commands]


def held(name, term=3, count=4, last_term=None, voters=THREE):
    entries = [Entry(term if last_term is None else last_term, EntryKind.NOOP) for _ in range(count)]
    return StoreContents(name, term, Snapshot(10, 1, list(voters), b""), entries)


@pytest.mark.parametrize(
    ("others", "without", "applied", "whys"),
    [
        ([], ["n1", "n2"], {}, []),
        ([], ["n1"], {}, ["a majority", "n2 were not shown"]),
        ([held("n1")], ["n2"], {}, ["a majority"]),
        ([held("n1", count=5)], ["n0"], {}, ["itself named", "a majority", "further along", "n2 were not"]),
        ([], ["n1", "n2"], {"n7": 14}, []),
        ([], ["n1", "n2"], {"n7": 15}, ["n7 applied more"]),
    ],
)
def test_a_store_may_continue_alone_only_without_objections(others, without, applied, whys):
    found = objections(held("n0"), others, without, applied)
    assert len(found) == len(whys)
    assert all(why in o.reason for o, why in zip(found, whys, strict=True))
    claims = {"were not", "applied more"}
    assert [bool(o.assertion) for o in found] == [any(c in why for c in claims) for why in whys]


def test_the_store_with_the_later_term_is_further_along():
    five = [f"n{i}" for i in range(5)]
    late, long = held("n0", count=1, last_term=5, voters=five), held("n1", count=9, voters=five)
    assert late.log_position > long.log_position
    assert [o.reason for o in objections(late, [long], ["n2", "n3", "n4"], {})] == []
    (why,) = objections(long, [late], ["n2", "n3", "n4"], {})
    assert "n0's store is further along" in why.reason and not why.assertion
    stranger = objections(held("n9"), [held("n0")], THREE[1:], {})
    assert "does not vote by its own log" in stranger[0].reason


def test_a_recovered_store_outranks_all_others_and_is_the_only_voter():
    mine, other = held("n0"), held("n1", term=8, last_term=3)
    ready = recovered_state(mine, [other])
    assert ready.hard_state == (8 + TERM_MARGIN, "n0") and ready.first_index == mine.last_index + 1
    after = StoreContents("n0", ready.hard_state[0], mine.snapshot, [*mine.entries, *ready.entries])
    assert after.voters == ["n0"] and after.log_position > max(mine.log_position, other.log_position)


def test_missing_versions_are_listed():
    log = data(1, Join("n0"), Propose("a", "ama", "less", 0.0, ""), Step(1, JOINT), Step(1, IN_FORCE))
    book = StoreContents("n0", 1, None, log, THREE).rollout_state()
    assert book.force == 1 and list(book.roster) == ["n0"]
    mine = [{"number": 1, "id": "a", "phase": "in force"}, {"number": 2, "id": "b", "phase": "joint"}]
    told = [{**v, "who": "ama", "why": ""} for v in (mine[0], {**mine[1], "phase": "withdrawn"})]
    told += [{"number": 3, "id": "c", "phase": "in force", "who": "kofi", "why": "more"}]
    told += [{"number": 1, "id": "z", "phase": "in force", "who": "kofi", "why": ""}]
    assert missing_versions(mine, told) == [
        "version 2 by ama, withdrawn: - (here joint)",
        "version 3 by kofi, in force: more",
        "version 1 by kofi, in force: - (here it is another's)",
    ]


# On processes


@pytest.fixture
def five(tmp_path):
    with Whole(tmp_path) as group:
        assert group.propose(0, 1).returncode == 0
        group.everywhere(1)
        assert group.mark(0, "s0") == 0
        yield group
        assert group.breaches() == []
        assert all("Traceback" not in group.log(n) for n in range(5))


def test_one_voter_recovers_the_group_after_the_majority_is_lost(five):
    addresses = [five.address(n) for n in range(5)]
    whole = five.by_hand("status", 0, *addresses)
    assert whole.returncode == 0 and whole.stdout.count("admits") == 5, whole
    five.lose(0, 1)
    broken = five.by_hand("status", 0, *addresses)
    assert broken.returncode == 1 and broken.stdout.count("silent") == 2, broken
    runs = five.by_hand("recover", 2, "--name", "n2", "--without", "n0,n1")
    assert runs.returncode == 2 and "a proxy runs there: stop it first" in runs.stderr, runs
    five.leave(2)
    few = five.by_hand("recover", 2, "--name", "n2", "--without", "n0")
    assert few.returncode == 3 and "are a majority" in few.stdout, few
    done = five.by_hand("recover", 2, "--name", "n2", "--without", "n0,n1")
    assert done.returncode == 0 and "n2 votes alone from now on" in done.stdout, done
    for n in (3, 4):
        five.leave(n)
    five.begin_again(2)
    five.everywhere(1)  # without another vote
    five.caught_up(range(5))  # acceptors with empty disks count once they have the full state
    five.all_hold({"server s0": 1})
    assert five.propose(3, 2).returncode == 0
    assert five.policy("voters", 4, "--set", "n2,n3,n4").returncode == 0
    five.kill(2)
    assert five.propose(1, 3).returncode == 0
    five.start(2)
    five.everywhere(3)


def test_backups_are_verified_and_restored_only_with_acknowledged_losses(five, tmp_path):
    source = tmp_path / "backup"
    made = five.by_hand("backup", 1, "--name", "n1", "--to", str(source))  # while the proxy runs
    assert made.returncode == 0 and "version 1 is in force" in made.stdout and "1 marks" in made.stdout, made
    assert json.loads((source / "backup.json").read_text(encoding="utf-8"))["name"] == "n1"
    again = five.by_hand("backup", 1, "--name", "n1", "--to", str(source))
    assert again.returncode == 2 and "backup" in again.stderr
    assert five.propose(0, 2, "--why", "later").returncode == 0
    assert five.mark(0, "s1") == 0
    five.leave(1)
    shutil.rmtree(five.folder(1))
    five.folder(1).mkdir()
    refused = five.by_hand("restore", 1, str(source))
    assert refused.returncode == 3 and "n2 answer: start with an empty folder" in refused.stdout, refused
    assert "not here: version 2 by" in refused.stdout and "not here: the mark of server s1" in refused.stdout
    assert not any(five.folder(1).iterdir())
    done = five.by_hand("restore", 1, str(source), "--i-know")
    assert done.returncode == 0, done
    five.start(1)  # the peers recorded a later state and report it
    five.until(lambda: "no vote until caught up" in five.log(1), "an old copy is noticed")
    five.everywhere(2)
    five.caught_up(range(5))
    five.all_hold({"server s0": 1, "server s1": 1})
    five.equal()
    with sqlite3.connect(source / "agreement.db") as db:
        db.execute("UPDATE facts SET value = x'07' WHERE name = 'term'")
    db.close()
    damaged = command("group", "verify", str(source))
    assert damaged.returncode == 1 and "DAMAGED" in damaged.stdout, damaged


def test_recovery_from_an_older_backup_after_all_disks_are_lost(five, tmp_path):
    source = tmp_path / "backup"
    assert five.by_hand("backup", 0, "--name", "n0", "--to", str(source)).returncode == 0
    assert five.propose(0, 2, "--why", "later").returncode == 0
    five.everywhere(2)
    five.lose(0, 1, 2)
    five.leave(3)  # the last diskless member still has the state
    told = five.by_hand("restore", 0, str(source), "--i-know")
    assert told.returncode == 0 and "nobody else answers" in told.stdout, told
    five.leave(4)
    alone = five.by_hand("recover", 0, "--name", "n0", "--without", "n1 n2")
    assert alone.returncode == 0, alone
    five.begin_again(0)
    five.everywhere(1)
    assert five.propose(4, 3).returncode == 0
    assert re.search(r"^ +2 .*in force", five.policy("history", 3).stdout, re.M)
    assert five.policy("voters", 4, "--set", "n0,n1,n2").returncode == 0


def test_status_shows_two_groups_created_by_mistake(tmp_path):
    class TwoGroups(Whole):
        def operator(self, number):
            text = super().operator(number)
            return text.replace("policy.voters = n0, n1, n2", "policy.voters = n3") if number > 2 else text

        def __enter__(self):
            return super(Governed, self).__enter__()

    with TwoGroups(tmp_path) as group:
        group.until(lambda: all((group.status(n) or {}).get("admits") for n in range(5)), "two groups")
        both = group.by_hand("status", 0, *(group.address(n) for n in range(5)))
        assert both.returncode == 1 and "two groups" in both.stdout, both
        for n in (3, 4):  # these two restart as members of the other group
            group.leave(n)
            path = group.tmp_path / "run" / f"operator{n}.properties"
            path.write_text(Whole.operator(group, n), encoding="utf-8")
            group.start(n, disk="empty")
        group.until(lambda: group.same(range(5)), "one group")
        one = group.by_hand("status", 0, *(group.address(n) for n in range(5)))
        assert one.returncode == 0, one
