"""Daemons of a group with stand-ins for servers and discovery, and clients that ask all of them."""

import contextlib
import itertools
import socket
import subprocess
import sys
import threading
import time
from io import BufferedReader
from pathlib import Path
from typing import Any

from brackenusher.config.platform import ConfigError
from brackenusher.group.policies import wish
from testbed.processes.several import Several
from testbed.standins import DiscoveryAgent, TurnServer, host

ROOT = Path(__file__).resolve().parent.parent.parent
NUMBERS = itertools.count(1)


class Grouped(Several):
    """Whoever derives from it says what is made of each answer (`saw`)."""

    TENANTS: tuple[str, ...] = ("a", "b", "c")
    PAUSE_S = 0.005  # between two rounds of a client

    def __init__(self, tmp_path: Path, size: int, settings: str = "", **more: Any) -> None:
        self.tmp_path, self.stopped = tmp_path, threading.Event()
        self.threads: list[threading.Thread] = []
        self.servers: list[TurnServer] = []
        self.agents: list[DiscoveryAgent] = []
        super().__init__(size, tmp_path / "run", settings=settings, **more)

    def __exit__(self, *details: object) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join(10)
        super().__exit__(*details)
        for listener in (*self.servers, *self.agents):
            listener.close()

    def first_word(self, pipe: Any, who: str) -> Any:
        """Stand-ins in the fleet's place: they answer everybody at once."""
        found = super().first_word(pipe, who)
        if who != "the fleet":
            return found
        self.servers = [TurnServer() for _ in range(3)]
        self.hosts = [host(f"s{i}", server) for i, server in enumerate(self.servers)]
        self.agents = [DiscoveryAgent(self.hosts) for _ in range(self.size)]
        known = {"seq": 0, "whole": True, "hosts": self.hosts}
        return {"agents": [a.address for a in self.agents], "known": [known] * self.size}

    def run_command(
        self, what: str, verb: str, number: int, *arguments: str
    ) -> "subprocess.CompletedProcess[str]":
        """Ask a proxy by the program's command line, to its end."""
        return self.by_line(what, verb, self.address(number), *arguments)

    def by_line(self, *words: str, number: int = 0) -> "subprocess.CompletedProcess[str]":
        """The program's command line, with a proxy's operators' file."""
        properties = str(self.tmp_path / "run" / f"operator{number}.properties")
        return subprocess.run(
            [sys.executable, "-m", "brackenusher", *words, "--properties", properties],
            capture_output=True,
            text=True,
            cwd=ROOT,
            env={},
            timeout=60,
            check=False,
        )

    def wish(self, number: int, verb: str, **facts: Any) -> Any:
        """What a proxy says; None where it does not answer."""
        with contextlib.suppress(ConfigError):
            return wish(self.address(number), self.peers, verb, **facts)
        return None

    def cpu_ns(self, number: int) -> int:
        """Nanoseconds of processor time that a daemon has taken, all threads together."""
        tasks = Path(f"/proc/{self.daemons[number].life.process.pid}/task")
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks.iterdir())

    # Clients

    def ask_all(self) -> None:
        """Ask every proxy, by a thread each, until the end."""
        for daemon in self.daemons:
            thread = threading.Thread(target=self.client, args=(daemon.number,), daemon=True)
            self.threads.append(thread)
            thread.start()

    def client(self, number: int) -> None:
        while not self.stopped.is_set():
            with contextlib.suppress(OSError):
                with socket.create_connection(("127.0.0.1", self.daemons[number].port), 5.0) as sock:
                    file = sock.makefile("rb")
                    while not self.stopped.is_set():
                        for tenant in self.TENANTS:
                            self.one(sock, file, number, tenant)
                        time.sleep(self.PAUSE_S)
            time.sleep(0.02)

    def ask_times(self, number: int, times: int) -> None:
        """Ask one proxy so often, one request after the other, for the first tenant."""
        with socket.create_connection(("127.0.0.1", self.daemons[number].port), 5.0) as sock:
            file = sock.makefile("rb")
            for _ in range(times):
                self.one(sock, file, number, self.TENANTS[0])

    def one(self, sock: socket.socket, file: BufferedReader, number: int, tenant: str) -> None:
        asked = time.monotonic()
        name = next(NUMBERS)
        sock.sendall(
            f"GET /read?k=m1 HTTP/1.1\r\nHost: h\r\nReq-Id: q{name}\r\nReq-Kind: read\r\n"
            f"Req-Owner: {tenant}\r\nReq-Deadline: 2000m\r\n\r\n".encode()
        )
        status = file.readline()
        if not status:
            raise OSError("closed")
        length = 0
        while (line := file.readline().strip()) != b"":
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        file.read(length)
        self.saw(asked, number, tenant, int(status.split()[1]))

    def saw(self, asked: float, number: int, tenant: str, status: int) -> None:
        """A request of a tenant, asked at a time, was answered just now."""
