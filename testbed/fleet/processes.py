"""Starts the processes of a fleet and ends every one of them, whatever happens."""

import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from testbed.fleet.layout import FleetLayout, Machine, settings_text

ROOT = Path(__file__).parents[2]
END_S = 12.0  # after SIGTERM, before SIGKILL
SETTINGS_VARIABLE = "BRACKENUSHER_CONFIG"


@dataclass(slots=True)
class RoleProcess:
    """One process of the fleet; its log is a file in the fleet's folder."""

    machine: Machine
    role: str
    popen: "subprocess.Popen[bytes]"
    log_path: Path

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.popen.poll() is None

    def terminate(self) -> None:
        """Send SIGTERM."""
        if self.running:
            self.popen.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Its exit code. Raises subprocess.TimeoutExpired."""
        return self.popen.wait(timeout_s)

    def log_tail(self, lines: int = 20) -> str:
        """The last lines of its log."""
        with contextlib.suppress(OSError):
            return "\n".join(
                self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()[-lines:]
            )
        return ""


class FleetProcesses:
    """All processes of one fleet. Use as a context manager: the end ends them."""

    def __init__(self, layout: FleetLayout, folder: Path) -> None:
        self.layout = layout
        self.folder = folder
        self.processes: list[RoleProcess] = []

    def __enter__(self) -> "FleetProcesses":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start_all(self) -> None:
        """Start every process of the layout."""
        for machine, role in self.layout.roles():
            self.start(machine, role, first_start=True)

    def start(self, machine: Machine, role: str, first_start: bool = False) -> RoleProcess:
        """Start one process; `first_start`: of the whole fleet, on empty disks."""
        name = f"{role}-{machine.number}"
        if machine.has_disk:
            (self.folder / f"disk-{machine.number}").mkdir(exist_ok=True)
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            settings_text(machine, role, self.layout, self.folder, first_start), encoding="utf-8"
        )
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log:
            popen = run_role(role, settings, log.fileno())
        process = RoleProcess(machine, role, popen, log_path)
        self.processes.append(process)
        return process

    def of_role(self, role: str) -> Iterator[RoleProcess]:
        """The running processes of a role."""
        return (process for process in self.processes if process.role == role and process.running)

    def ended(self) -> list[RoleProcess]:
        """Processes that are not running."""
        return [process for process in self.processes if not process.running]

    def stop(self) -> list[int]:
        """End all, in order first and by force after `END_S`; their exit codes."""
        for process in self.processes:
            process.terminate()
        codes = []
        for process in self.processes:
            try:
                codes.append(process.wait(END_S))
            except subprocess.TimeoutExpired:
                process.popen.kill()
                codes.append(process.wait(END_S))
        return codes


def run_role(role: str, settings: Path, log: int) -> "subprocess.Popen[bytes]":
    """Start a role with a settings file; what it prints goes to the descriptor."""
    environment = {**os.environ, SETTINGS_VARIABLE: str(settings)}
    return subprocess.Popen(
        [sys.executable, "-m", "brackenusher", role],
        cwd=ROOT,
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=log,
        stderr=log,
    )
