"""Daemons that hold marks of staff together, and what staff were told of them for the oracle."""

import io
import time
from math import inf
from pathlib import Path
from typing import Any, Self

from barleybarrow.overrides import key_of
from brackenusher.config.platform import ConfigError
from brackenusher.group import replicas
from testbed import oracle_replica as oracle
from testbed.processes.grouped import Grouped
from testbed.schedule import LinkFault


class Replicated(Grouped):
    """The first of them keep what all hold."""

    TENANTS: tuple[str, ...] = ("a",)

    def __init__(
        self, tmp_path: Path, size: int = 5, keepers: int = 3, settings: str = "", **rest: Any
    ) -> None:
        names = ", ".join(f"n{i}" for i in range(keepers))
        text = f"replica.enabled = true\nreplica.keepers = {names}\nreplica.folder = {{folder}}/replica\n"
        self.seen: list[tuple[float, int, int]] = []  # when, proxy, status
        self.deeds: list[oracle.Deed] = []
        super().__init__(tmp_path, size, settings=text + settings, **rest)

    def __enter__(self) -> Self:
        super().__enter__()
        self.caught_up(range(self.size))
        return self

    def saw(self, asked: float, number: int, tenant: str, status: int) -> None:
        self.seen.append((time.monotonic(), number, status))

    def replica(self, verb: str, number: int, *arguments: str) -> Any:
        """By the program's command line, to its end."""
        began = time.monotonic()
        done = self.run_command("replica", verb, number, *arguments)
        if verb in ("mark", "clear", "resolve") and done.returncode in (0, 4):
            self.told(began, f"{arguments[0]} {arguments[1]}", verb != "clear", done.returncode == 0)
        return done

    def told(self, began: float, key: str, marks: bool, good: bool, answered: bool = True) -> None:
        ended = time.monotonic() if answered else inf
        self.deeds.append(oracle.Deed(began, ended, key, marks, good))

    def write(self, number: int, verb: str, kind: str, name: str) -> int | None:
        """Mark or clear, within this process: the exit code that staff would get; None where not begun."""
        began, key = time.monotonic(), key_of(kind, name)
        facts: dict[str, Any] = {"id": key}
        if verb == "mark":
            facts |= {"who": "chance", "why": "", "at": time.time(), "number": 0}
        try:
            code = replicas.written(self.address(number), self.peers, verb, io.StringIO(), **facts)
        except replicas.CommandRefusedError:
            return None
        except ConfigError:  # it may have heard of it, or still hear
            self.told(began, key, verb == "mark", False, answered=False)
            return replicas.UNKNOWN
        self.told(began, key, verb == "mark", code == replicas.ACKNOWLEDGED)
        return code

    def kept(self) -> list[str]:
        """What the oracle makes of what staff were told and what all show, after quiet."""
        return oracle.kept(self.deeds, {f"n{n}": self.marks(n) or {} for n in self.running()})

    def judge_marks(self) -> list[str]:
        return self.kept() + self.breaches()

    def verify(self, number: int) -> Any:
        return self.wish(number, "replica verify") or {"stage": "silent", "differs": False, "counts": {}}

    def caught_up(self, numbers: Any) -> None:
        self.until(lambda: all(self.verify(n)["stage"] == "caught up" for n in numbers), "caught up")

    def marks(self, number: int) -> dict[str, int] | None:
        """The marks that one holds: by key, how many words stand; None where it does not answer."""
        told = self.wish(number, "replica show")
        return {m["key"]: len(m["words"]) for m in told["marks"]} if told else None

    def all_hold(self, wanted: dict[str, int], numbers: list[int] | None = None) -> None:
        numbers = self.running() if numbers is None else numbers
        self.until(lambda: all(self.marks(n) == wanted for n in numbers), f"{wanted} at {list(numbers)}")

    def equal(self) -> None:
        """All copies hold the same, and know it."""

        def same() -> bool:
            told = [self.verify(n) for n in self.running()]
            prints = {t.get("print") for t in told}
            return len(prints) == 1 and not any(t["differs"] or t["stage"] != "caught up" for t in told)

        self.until(same, "equal copies")

    def mark(self, number: int, name: str, kind: str = "server") -> int:
        return self.replica("mark", number, kind, name, "--who", "me", "--why", "it burns").returncode

    def cut(self, of: list[int], to: list[int], **more: Any) -> None:
        assert self.links is not None
        self.links.put(LinkFault(at=0, lasts=1e6, of=of, to=to, lost=1.0, **more))

    def status_at(self, number: int, status: int, since: float) -> bool:
        """Whether one has answered so since a time."""
        return any(at > since and n == number and s == status for at, n, s in list(self.seen))
