"""Daemons under an agreed policy, and what their clients saw of it for the oracle."""

import contextlib
import io
import re
import time
from math import inf
from pathlib import Path
from typing import Any, Self

from brackenusher.group import policies
from testbed import oracle_policy as oracle
from testbed.linearizability import one_order
from testbed.processes.grouped import NUMBERS, Grouped


class Governed(Grouped):
    """The first of them vote. Clients ask for three tenants, of which each version lets one in."""

    def __init__(
        self,
        tmp_path: Path,
        size: int = 5,
        voters: int = 3,
        unreachable: str = "wait",
        within: int = 20,
        settings: str = "",
        **more: Any,
    ) -> None:
        names = ", ".join(f"n{i}" for i in range(voters))
        text = (
            f"policy.enabled = true\npolicy.voters = {names}\npolicy.folder = {{folder}}/policy\n"
            f"policy.within_s = {within}\npolicy.unreachable = {unreachable}\n"
        )
        self.served: list[oracle.Asked] = []
        self.proposals: dict[str, tuple[float, float]] = {}  # by id: when begun, when its end was told
        super().__init__(tmp_path, size, settings=text + settings, **more)

    def __enter__(self) -> Self:
        super().__enter__()
        self.until(lambda: all((self.status(n) or {}).get("admits") for n in range(self.size)), "admits")
        return self

    def document(self, number: int) -> str:
        """Lets one tenant in, another with each number."""
        tenants = enumerate(self.TENANTS)
        return "".join(f"[door.tenants.{t}]\nrate = 0\n" for i, t in tenants if i != number % 3)

    def policy(self, verb: str, number: int, *arguments: str) -> Any:
        return self.run_command("policy", verb, number, *arguments)

    def status(self, number: int) -> Any:
        return self.wish(number, "status")

    def propose(self, number: int, version: int, *more: str, id: str = "") -> Any:
        """By the program's command line, to its end."""
        path = self.tmp_path / f"version{version}-{next(NUMBERS)}.toml"
        path.write_text(self.document(version), encoding="utf-8")
        id = id or f"i{next(NUMBERS)}"
        began = time.monotonic()
        done = self.policy("propose", number, str(path), "--wait", "40", *more, "--id", id)
        self.proposed(began, id, done.returncode)
        return done

    def proposed(self, began: float, id: str, code: int) -> None:
        ended = time.monotonic() if code in (policies.IN_FORCE, policies.WITHDRAWN) else inf
        before = self.proposals.get(id, (inf, inf))  # the same again does it once
        self.proposals[id] = min(before[0], began), min(before[1], ended)

    def put(self, number: int, text: str, id: str, wait: float = 10.0) -> int:
        """Propose and wait, within this process; the exit code that staff would get."""
        out, began, code = io.StringIO(), time.monotonic(), policies.UNKNOWN
        try:
            code = policies.propose(self.address(number), self.peers, text, id, "chance", "", out, wait)
        finally:
            self.proposed(began, id, code)
        return code

    def leader(self) -> int:
        def found() -> list[int] | None:
            told = {n: self.status(n) for n in self.running()}
            leads = [n for n, s in told.items() if s and s["role"] == "leader"]
            return leads if len(leads) == 1 else None

        return self.until(found, "a leader")[0]

    def force(self, number: int) -> int | None:
        told = self.status(number)
        return told["force"] if told else None

    def same(self, numbers: Any, force: int | None = None) -> bool:
        """All are at one version, admit, and have nothing on its way."""
        told = [self.status(n) for n in numbers]
        if any(s is None or s["pending"] or not s["admits"] for s in told):
            return False
        return len({s["force"] for s in told}) == 1 and force in (None, told[0]["force"])

    def saw(self, asked: float, number: int, tenant: str, status: int) -> None:
        if status == 200:
            self.served.append(oracle.Asked(asked, time.monotonic(), number, tenant))

    def forced(self) -> dict[int, float]:
        """Each version in force, and when the first process acted upon it, by the logs."""
        found: dict[int, float] = {}
        for n in range(self.size):
            for at, force in re.findall(r"policy: at ([\d.]+) version (\d+) is in force", self.log(n)):
                found[int(force)] = min(found.get(int(force), 1e18), float(at) / 1000.0)
        return found

    def judge_order(self) -> list[str]:
        """Whether the numbers of proposals keep to when staff began them and were told of their ends."""
        for n in self.running():
            history = self.wish(n, "history")
            if history is not None:
                return one_order(self.proposals, {v["id"]: v["number"] for v in history})
        return []

    def judge(self, first: int) -> list[str]:
        """What clients saw, from the first version on that lets one tenant in at a time."""
        texts: dict[int, str] = {}
        for n in self.running():
            with contextlib.suppress(Exception):
                for number in self.forced():
                    if number >= first:
                        texts[number] = policies.text_of(self.address(n), self.peers, number)[1]
                break
        forced = self.forced()
        versions = [
            oracle.Version(n, forced[n], frozenset(t for t in self.TENANTS if f"tenants.{t}]" in texts[n]))
            for n in sorted(texts)
        ]
        begin = versions[0].at + 1.0 if versions else 0.0
        self.until(lambda: any(a.asked > begin for a in list(self.served)), "requests served")
        served = [a for a in list(self.served) if a.asked > begin]
        return oracle.breaches(versions, served) + self.judge_order()
