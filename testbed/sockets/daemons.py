"""The daemons of a run: started, watched and stopped as processes of their own."""

import contextlib
import math
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import psutil

import brackenusher
from testbed.results import Process
from testbed.sockets.children import die_with_parent


class RunError(Exception):
    """The run cannot be made; the text is one line."""


@dataclass
class Life:
    """One life of a daemon's process; instants in seconds on the monotonic clock."""

    process: "subprocess.Popen[bytes]"
    began: float
    stopped_at: float | None = None  # SIGTERM or SIGKILL was sent
    killed: bool = False
    seen: psutil.Process | None = None
    cpu: float = 0.0


@dataclass
class Daemon:
    """One proxy, over all its lives."""

    number: int
    port: int
    agent: str
    folder: Path
    options: list[str]
    lives: list[Life] = field(default_factory=list)
    facts: Process = field(default_factory=lambda: Process(proxy=0))
    of_second: dict[int, float] = field(default_factory=dict)
    environ: dict[str, str] = field(default_factory=dict)  # beside what the parent has

    @property
    def life(self) -> Life:
        return self.lives[-1]

    def start(self) -> None:
        log = (self.folder / f"proxy{self.number}.log").open("ab")
        root = str(Path(brackenusher.__file__).parent.parent)
        planted = str(self.folder.resolve())  # where a test may have put a bug to be found
        path = os.pathsep.join(p for p in (root, planted, os.environ.get("PYTHONPATH", "")) if p)
        environ = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environ |= {"PYTHONPATH": path, "GW_CONFIG": str(self.folder / f"proxy{self.number}.json")}
        environ |= self.environ
        with log:
            process = subprocess.Popen(
                [sys.executable, "-m", "brackenusher", "serve", *self.options],
                cwd=self.folder,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # Ctrl-C in the terminal goes to the parent alone, which ends it
                preexec_fn=die_with_parent,
            )
        life = Life(process, time.monotonic())
        with contextlib.suppress(psutil.Error):
            life.seen = psutil.Process(process.pid)
        self.lives.append(life)

    def ready(self) -> bool:
        if self.life.process.poll() is not None:
            raise RunError(f"proxy {self.number} ended at its start: {self.last_words()}")
        return self.health_answer().startswith(b"HTTP/1.1 200")

    def starting(self) -> bool:
        """Whether its process runs, was not stopped and doesn't answer yet: it may not catch signals."""
        life = self.life
        return life.stopped_at is None and life.process.poll() is None and not self.health_answer()

    def health_answer(self) -> bytes:
        """The first bytes that it answers to a health check; none where it doesn't listen."""
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.port), 1.0) as sock:
            sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            return sock.recv(64)
        return b""

    def last_words(self) -> str:
        text = (self.folder / f"proxy{self.number}.log").read_text(encoding="utf-8", errors="replace")
        return text.strip().splitlines()[-1] if text.strip() else "without a word"

    def sample(self, origin: float) -> None:
        """Look at what it takes of the machine."""
        life, facts = self.life, self.facts
        if life.seen is None:
            return
        with contextlib.suppress(psutil.Error, OSError):
            with life.seen.oneshot():
                times = life.seen.cpu_times()
                used = times.user + times.system
                facts.memory_mb = max(facts.memory_mb, life.seen.memory_info().rss / 1e6)
                facts.descriptors = max(facts.descriptors, life.seen.num_fds())
            second = math.floor(time.monotonic() - origin) if origin < math.inf else -1
            if second >= 0:
                self.of_second[second] = self.of_second.get(second, 0.0) + used - life.cpu
                facts.cpu_s += used - life.cpu  # its first start is not counted, a restart is
            life.cpu = used

    def stop(self, at_once: bool) -> None:
        life = self.life
        if life.process.poll() is None:
            life.stopped_at, life.killed = time.monotonic(), at_once
            life.process.send_signal(signal.SIGKILL if at_once else signal.SIGTERM)

    def again(self) -> None:
        """A new life; the old one is killed if it has not ended."""
        life = self.life
        if life.stopped_at is None:
            return
        self.end()
        self.facts.lives += 1
        self.start()

    def end(self) -> None:
        life = self.life
        if life.process.poll() is None:
            life.stopped_at, life.killed = time.monotonic(), True  # what it still owed is not held against it
            life.process.kill()
        life.process.wait()
