"""Weeks of failures: the plan, what it shrinks to, the same in virtual time and on processes, its report."""

import json

import pytest
from msgspec.structs import replace

from barleybarrow.policy import parse_policy
from barleybarrow.policy_gate import PolicyGate
from testbed.cli import main
from testbed.schedule import LinkFault, ScheduleError
from testbed.week import virtual
from testbed.week.plan import drawn, kept, pieces, shrunk, with_only
from testbed.week.processes import Week
from testbed.week.report import page

JOINT_LEFT_OUT = """
from barleybarrow.policy_gate import PolicyGate
from barleybarrow.policy import parse_policy
PolicyGate.effective_rules = lambda self: parse_policy(self.rollout_state.text(self.rollout_state.force))
"""


def test_a_plan_is_its_seed_s_and_shrinks_to_what_breaks():
    plan = drawn(7, 5)
    assert plan == drawn(7, 5) != drawn(8, 5) and with_only(plan, pieces(plan)) == plan
    needed = [pieces(plan)[0], plan.hands[len(plan.hands) // 2]]
    least, played = shrunk(plan, lambda p: all(piece in pieces(p) for piece in needed))
    assert pieces(least) == needed and 1 < played < 100


@pytest.mark.parametrize("first", range(2000, 2012, 3))
def test_weeks_by_chance_in_virtual_time_break_no_promise(first):
    for seed in range(first, first + 3):
        assert virtual.play(drawn(seed, 5)) == [], seed


def test_a_bug_that_is_planted_is_found_in_a_week_of_virtual_time(monkeypatch):
    monkeypatch.setattr(
        PolicyGate,
        "effective_rules",
        lambda self: parse_policy(self.rollout_state.text(self.rollout_state.force)),
    )
    assert any(virtual.of_policy(drawn(seed, 5)) for seed in range(2000, 2008))


@pytest.mark.parametrize("seed", [4, 9])
def test_weeks_by_chance_on_processes_break_no_promise_and_can_be_read(seed, tmp_path):
    plan = drawn(seed, 5)
    with Week(tmp_path, plan) as group:
        assert group.play_week() == []
        assert len(group.forced()) >= 2 and group.left_out == 0 and group.work
        group.journal_of_week(tmp_path / "journal.json", [])
    journal = json.loads((tmp_path / "journal.json").read_text(encoding="utf-8"))
    assert kept(tmp_path / "journal.json") == plan
    shown = page(journal)
    assert shown == page(journal) and shown.count("image/svg+xml") == 2 and "No promise was broken" in shown
    assert {who for _, who, *_ in journal["versions"]} == set(range(5))


@pytest.mark.parametrize("bug", ["", JOINT_LEFT_OUT])
def test_a_bug_that_is_planted_is_found_in_a_week_on_processes(bug, tmp_path):
    # what is agreed on reaches the last late: without a joint phase it acts upon the old rules meanwhile
    plan = drawn(4, 5)
    slow = LinkFault(at=0.0, lasts=1e6, of=[0, 1, 2, 3], to=[4], carries="stream", delay=2.5)
    plan = replace(plan, faults=replace(plan.faults, links=[slow], acts=[]))
    group = Week(tmp_path, plan)
    group.planted = bug
    with group:
        found = group.play_week()
    broken = [what for what in found if what.startswith(("everywhere_or_nowhere", "decided_first"))]
    assert bool(broken) == bool(bug) and (bug or not found), found[:3]


def test_what_cannot_be_played_is_one_line_and_exit_2(tmp_path, capsys):
    (tmp_path / "journal.json").write_text('{"plan": {"hands": 3}}', encoding="utf-8")
    with pytest.raises(ScheduleError):
        kept(tmp_path / "journal.json")
    for arguments in ([str(tmp_path / "journal.json")], ["--seed", "x"], ["--size", "99"]):
        assert main(["week", *arguments]) == 2
        assert capsys.readouterr().err.count("\n") == 1
    assert main(["week", "--virtual", "--seed", "2000..2001"]) == 0
    assert "2 played, 0 with a breach" in capsys.readouterr().out
