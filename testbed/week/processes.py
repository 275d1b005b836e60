"""A week on processes: daemons with a policy and replicated state, faults, staff at work, clients at each.

One oracle reads what all saw: policy and marks by what clients and staff were told, views and faults by the
logs. All has to come together once the last fault is over.
"""

import contextlib
import io
import json
import re
import threading
import time
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from brackenusher.config.platform import ConfigError
from brackenusher.group import policies
from testbed.processes.governing import Governed
from testbed.processes.grouped import NUMBERS
from testbed.processes.replicated import Replicated
from testbed.standins import TurnServer, host
from testbed.week.plan import Hand, Plan

STAFF_S = 6.0  # a proposal is waited for no longer
FAULTS = ("Traceback", "stood unanswered at its deadline", "could not be carried out", "the module failed")
ACTED = re.compile(r"policy: at ([\d.]+) version (\d+) is in force; on its way: \d+ (\w+)")
LONGEST_WORK = 64  # things that staff have begun and not ended; more are left out, and counted


class Week(Governed, Replicated):
    """One week, from its plan."""

    TENANTS = ("a", "b", "c")

    def __init__(self, folder: Path, plan: Plan, **more: Any) -> None:
        self.plan_of_week = plan
        self.work: list[threading.Thread] = []
        self.left_out = self.number = self.late = 0
        self.news: list[dict[str, Any]] = []  # of discovery, that nobody was told yet
        self.ends: list[tuple[str, int]] = []  # of proposals: id and exit code
        self.answers: list[tuple[float, int, int, float]] = []  # when, proxy, status, seconds
        unreachable = "fence" if plan.fence else "wait"
        super().__init__(folder, plan.size, unreachable=unreachable, within=8, seed=plan.seed, **more)
        for number in range(plan.size):
            self.environ[number] = {"BRACKENUSHER_POINTS": str(self.points(number))}

    def points(self, number: int) -> Path:
        return self.tmp_path / f"points{number}"

    def begin(self) -> None:
        for number in range(self.size):
            self.points(number).write_text("", encoding="utf-8")
        super().begin()

    def saw(self, asked: float, number: int, tenant: str, status: int) -> None:
        self.answers.append((asked, number, status, time.monotonic() - asked))
        super().saw(asked, number, tenant, status)

    # Staff

    def steps(self, schedule: Any) -> Any:
        found = super().steps(schedule)
        for hand in self.plan_of_week.hands:
            found.append((hand.at, partial(self.hand, hand)))
            if hand.lasts:
                found.append((hand.at + hand.lasts, partial(self.undo, hand)))
        return sorted(found, key=lambda step: step[0])

    def hand(self, hand: Hand) -> None:
        self.note(hand.do, who=hand.who, of=hand.what)
        if hand.do == "drop":
            self.kill(hand.who)
        if hand.do == "disk slow":
            self.disk(hand.who, "disk slow 0.3\n")
        elif hand.do == "disk full":
            self.disk(hand.who, "disk full\n")
        elif hand.do == "replace":
            self.replace(hand.who % len(self.hosts))
        elif hand.do == "late":
            self.late += 1
        elif sum(t.is_alive() for t in self.work) >= LONGEST_WORK:
            self.left_out += 1
        else:
            thread = threading.Thread(target=self.do_it, args=(hand,), daemon=True)
            self.work.append(thread)
            thread.start()

    def undo(self, hand: Hand) -> None:
        """What lasts for a while is over."""
        if hand.do == "drop":
            self.start(hand.who)
        elif hand.do == "late":
            self.late -= 1
            self.tell()
        else:
            self.disk(hand.who, "")

    def replace(self, place: int) -> None:
        """A turn server goes without a word, and another takes its place."""
        gone, server = self.hosts[place], TurnServer()
        self.servers[place].close()
        self.servers[place] = server
        self.hosts[place] = host(f"r{next(NUMBERS)}", server)
        self.news += [{**gone, "health": "gone"}, self.hosts[place]]
        self.tell()

    def tell(self) -> None:
        """Discovery's news, unless they are late."""
        if not self.late and self.news:
            news, self.news = self.news, []
            for agent in self.agents:
                agent.tell(news)

    def disk(self, number: int, script: str) -> None:
        self.points(number).write_text(script, encoding="utf-8")

    def do_it(self, hand: Hand) -> None:
        """One thing that staff do, to its end; what they are told of it is kept for the oracle."""
        with contextlib.suppress(ConfigError):  # nobody answers there: nothing was begun, or it is unknown
            if hand.do == "propose":
                self.number += 1
                id = f"p{self.number}"
                code = self.put(hand.who, self.document(self.number), id, STAFF_S)
                self.ends.append((id, code))
                self.note("proposed", id=id, code=code)
            elif hand.do == "drop":
                other = self.address((hand.who + 1) % self.size)
                policies.wish(other, self.peers, "drop", id=f"n{hand.who}", who="staff")
            elif hand.do == "withdraw":
                policies.wish(self.address(hand.who), self.peers, "withdraw", who="staff")
            elif hand.do == "voters":
                out = io.StringIO()
                policies.voters(self.address(hand.who), self.peers, hand.what, "staff", out, STAFF_S)
            else:
                told = self.write(hand.who, hand.do, "server", hand.what[0])
                self.note("written", verb=hand.do, of=hand.what, code=told)

    # The week

    def play_week(self) -> list[str]:
        """Play it, have all come together, and judge: what was broken."""
        try:
            self.until(lambda: self.put(0, self.document(1), "first", STAFF_S) == 0, "the first version")
            self.until(lambda: self.same(range(self.size)), "the first version, everywhere")
            self.number = 1
            self.ask_all()
            self.carry_out(self.plan_of_week.faults)
            self.come_together()
        except AssertionError as error:
            return ["settles: " + " / ".join(str(error).splitlines()), *self.judge_week(False)]
        return self.judge_week(True)

    def come_together(self) -> None:
        self.late = 0
        self.tell()
        for number in range(self.size):
            self.disk(number, "")
            if number in self.paused:
                self.wake(number)
            if number not in self.running():
                self.start(number)
        self.until(lambda: all(d.ready() for d in self.daemons), "a start of all")
        for thread in self.work:
            thread.join(2 * STAFF_S)
        self.settle()
        self.until(lambda: self.same(range(self.size)), "one policy")
        self.caught_up(range(self.size))
        self.equal()

    def judge_week(self, settled: bool) -> list[str]:
        found = self.breaches()
        for number in range(self.size):
            text = self.log(number)
            found += [f"n{number}: {fault}" for fault in FAULTS[1:] if fault in text]
        if settled:
            found += self.judge(1) + self.kept() + self.judge_words()
        return found

    def judge_words(self) -> list[str]:
        """What staff were told of a proposal is what all say of it, for ever."""
        found, ended = [], {"in force": 0, "withdrawn": 3}
        histories = {n: {v["id"]: v for v in self.wish(n, "history") or ()} for n in range(self.size)}
        for id, code in self.ends:
            for number, history in histories.items():
                if code in (0, 3) and (id not in history or ended.get(history[id]["phase"]) != code):
                    said = history[id]["phase"] if id in history else "nothing"
                    found.append(f"one_word: staff were told {code} of {id}, n{number} says {said}")
        return found

    def versions(self) -> list[tuple[float, int, int, str]]:
        """When which process came to act upon what: the version in force, and what is on its way."""
        found = []
        for n in range(self.size):
            for at, force, phase in ACTED.findall(self.log(n)):
                found.append((float(at) / 1000.0, n, int(force), phase.replace("none", "")))
        return sorted(found)

    def journal_of_week(self, path: Path, found: list[str]) -> None:
        """What was planned, done, seen and broken; the plan plays again from it."""
        origin = self.links.origin if self.links else 0.0
        whole = {
            "plan": msgspec.to_builtins(self.plan_of_week),
            "period_ms": self.period_ms,
            "origin": origin,
            "done": self.journal,
            "broken": found,
            "versions": [[round(at - origin, 3), *rest] for at, *rest in self.versions()],
            "answers": [[round(at - origin, 3), *rest] for at, *rest in self.answers],
            "views": [[round(h.at, 2), h.by[0], h.number, len(h.members)] for h in self.history()],
        }
        path.write_text(json.dumps(whole) + "\n", encoding="utf-8")
