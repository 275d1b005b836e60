"""Starts and ends model servers, and reads what they print."""

import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from review.standins.operator import SERVICE
from review.standins.platform import ROOT, CannotRunError, Fleet, free_port

DEFAULTS: dict[str, Any] = {"service": SERVICE, "zone": "zone-a", "framing": "chunked", "halves": False}


class ServerProcess:
    """One model server. Use as a context manager."""

    def __init__(self, fleet: Fleet, server_id: str, **options: Any) -> None:
        self.id = server_id
        self._fleet = fleet
        settings = fleet.folder / f"{server_id}.json"
        values = {**DEFAULTS, **options, "id": server_id, "port": free_port(), "controls": fleet.controls()}
        settings.write_text(json.dumps(values), encoding="utf-8")
        self._out = fleet.folder / f"{server_id}.out"
        with self._out.open("wb") as out:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "review.standins.model_server", str(settings)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
            )
        fleet.record.add("platform", f"start server {server_id}")

    def __enter__(self) -> "ServerProcess":
        return self

    def __exit__(self, *_: object) -> None:
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def lines(self) -> list[tuple[float, str]]:
        """What it has printed: seconds of the record, and what."""
        rows = []
        for line in Path(self._out).read_text(encoding="utf-8").splitlines():
            at, _, what = line.partition(" ")
            rows.append((float(at) - self._fleet.record.began, what))
        return rows

    def wait_for(self, what: str, timeout_s: float = 15.0) -> float:
        """Wait for a line that begins so; its time. Raises CannotRunError."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            for at, line in self.lines():
                if line.startswith(what):
                    return at
            time.sleep(0.005)
        raise CannotRunError(f"server {self.id} did not say: {what}")

    def crash(self) -> float:
        """End it without a word."""
        self.popen.send_signal(signal.SIGKILL)
        at = self._fleet.record.add("platform", f"server {self.id} crashes")
        self.popen.wait()
        return at

    def note(self) -> None:
        """Copy what it ran into the record."""
        for at, what in self.lines():
            if not what.startswith("heartbeat"):
                self._fleet.record.add(f"server {self.id}", f"at {at:.3f}: {what}")
