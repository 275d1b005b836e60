"""Daemons with all that the group's parts do: a policy, marks of staff, and recovery by hand."""

import shutil
import subprocess
from typing import Any

from testbed.processes.governing import Governed
from testbed.processes.replicated import Replicated


class Whole(Governed, Replicated):
    """The first of them vote and keep."""

    TENANTS = ("a", "b", "c")

    def by_hand(self, verb: str, number: int, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """A command of the run-book (docs/recovery.md) for one proxy's files."""
        return self.by_line("group", verb, *arguments, number=number)

    def everywhere(self, force: int) -> None:
        self.until(lambda: self.same(range(self.size), force), f"version {force} everywhere")

    def lose(self, *numbers: int) -> None:
        """Machines that are gone with their disks; they come back empty, if at all."""
        for n in numbers:
            self.kill(n)
            shutil.rmtree(self.folder(n))
            self.folder(n).mkdir()

    def begin_again(self, first: int) -> None:
        """The one that was recovered leads before anybody with an empty disk may take part."""
        self.start(first)
        self.until(lambda: (self.status(first) or {}).get("role") == "leader", "who was recovered")
        for n in range(self.size):
            if n != first:
                self.start(n, disk="empty")

    def release(self, number: int, folder: Any) -> None:
        """Which release one is of from its next start on: that in a folder, or this one."""
        self.environ[number] = {"PYTHONPATH": str(folder)} if folder else {}
