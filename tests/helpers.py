"""What the tests share: the module with a clock, and the real program with all that it talks to."""

import contextlib
import json
import os
import resource
import socket
import subprocess
import sys
from functools import partial
from pathlib import Path

from barleybarrow import interface as face
from barleybarrow.brain import Balancer
from barleybarrow.interface import Effect, Group, ListScope, Outcome, State
from brackenusher.config.operators import OperatorSettings
from brackenusher.config.platform import load, reload_config
from brackenusher.daemon import Daemon
from brackenusher.runtime.loop import clock
from testbed.sockets.ports import free_port
from testbed.standins import (
    WAIT,
    DeafServer,
    DiscoveryAgent,
    Listener,
    TurnServer,
    host,
    read_message,
    response,
    until,
)

__all__ = ["DeafServer", "Listener", "TurnServer", "response"]  # for the tests, from the testbed

SAFE, KEYED, UNSAFE = 0, 1, 2
ROOT = Path(__file__).parent.parent


def settings(**changes):
    """Settings with one class of each effect."""
    values = {
        "classes": [
            face.RequestClass(aim=200, deadline=800, effect=Effect.SAFE),
            face.RequestClass(aim=200, deadline=800, effect=Effect.KEYED, group=Group.ZONE, window=500),
            face.RequestClass(aim=200, deadline=800, worth=4, effect=Effect.UNSAFE),
        ],
        "tick": 1,
        "proxies": 2,
        "max_attempts": 3,
        "parallel": True,
        "cancelling": True,
        "max_retry_after": 1000,
        "drain_grace": 500,
        "ask_within": 10000,
        "cold_from": 0.2,
        "cold": 10000,
        "tip_multiple": 3,
        "tip_after": 1500,
    }
    return face.Settings(**(values | changes))


class Proxy:
    """A balancer with a clock, its sent attempts and its answers."""

    def __init__(self, backends=("a", "b", "c"), seed=1, **changes):
        self.now = 1000.0
        self.brain = Balancer(settings(**changes), seed, self.now)
        self.brain.begin()
        self.sent = []
        self.answers = {}
        self.ids = 0
        self.list(*(face.Entry(b, State.LIVE) for b in backends))

    def give(self, event):
        """Hand an event over and note what comes of it."""
        actions = self.brain.handle(self.now, event)
        for action in actions:
            if isinstance(action, face.Send):
                self.sent.append((action.request, action.backend))
            elif isinstance(action, face.Refuse | face.Fail):
                self.answers[action.request] = action
        return actions

    def list(self, *entries, scope=ListScope.COMPLETE):
        return self.give(face.ListChanged(scope, list(entries)))

    def arrive(self, klass=SAFE, span=800):
        """A request arrives; returns its id."""
        self.ids += 1
        self.give(face.Arrived(self.ids, klass, self.now + span))
        return self.ids

    def finish(self, request, outcome=Outcome.SERVED, elapsed=20.0, attempt=0):
        done = outcome is Outcome.SERVED
        return self.give(face.Finished(request, attempt, outcome, elapsed, done))

    def backend(self, request):
        """Where the last attempt of a request went, if one was made."""
        return next((b for r, b in reversed(self.sent) if r == request), None)

    def sweep(self, span, step=4):
        """Let time pass, sweep by sweep."""
        end = self.now + span
        while self.now < end:
            self.now += step
            self.give(face.TimerDue(0))

    def warm_up(self, rounds=30, latency=None):
        """Serve requests one at a time; latency names those that differ from 20 ms."""
        for _ in range(rounds):
            r = self.arrive()
            took = (latency or {}).get(self.backend(r), 20.0)
            self.now += took
            self.finish(r, elapsed=took)


def command(*arguments, **environ):
    """Run the program's command line to its end."""
    return subprocess.run(
        [sys.executable, "-m", "brackenusher", *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=environ,
        timeout=60,
        check=False,
    )


SETTINGS = {
    "classes": [
        {"name": "board-read", "slo": 580.0, "deadline": 1400.0, "worth": 2.0, "repeat": "free"},
        {
            "name": "turn-submit",
            "slo": 750.0,
            "deadline": 1900.0,
            "worth": 8.0,
            "repeat": "guarded",
            "group": "all",
            "window": 6000.0,
        },
    ],
    "tick": 5.0,
    "instances": 1,
    "membershipMode": "automatic",
    "tenants": [{"name": "kente-wars", "portion": 1.0, "quotaPerS": 100.0}],
    "localities": ["accra-dc1"],
    "limits": {
        "attemptsCap": 4,
        "cancelling": True,
        "parallelTries": True,
        "connIdle": 15000.0,
        "connectTimeout": 200.0,
        "maxRetryAfter": 600.0,
        "retryAfter": True,
    },
    "rules": {"stopSendingWithin": 500.0, "cold": 8800.0, "coldFrom": 0.32, "tipAfter": 1000.0},
}

# deadlines that a busy machine does not exceed
LONG_DEADLINES = {
    "classes": [{**c, "slo": 15_000.0, "deadline": 19_000.0, "window": 60_000.0} for c in SETTINGS["classes"]]
}


def write_config(tmp_path, **changes):
    """Write a configuration's file, and return its path."""
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": SETTINGS,
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config | changes), encoding="utf-8")
    return str(path)


class Program:
    """The real program as a process, with turn servers and discovery round it."""

    def __init__(
        self,
        tmp_path,
        *servers,
        known=(),
        sockets=256,
        settings=None,
        agent=None,
        files=None,
        operator=None,
        stderr=None,
        name="n0",
        control=False,
        tmpdir=None,
        port=None,
    ):
        self.servers = servers
        hosts = [host(f"s{n}", server) for n, server in enumerate(servers)]
        self.agent = agent or DiscoveryAgent(hosts)
        self.port = port or free_port()
        self.control = free_port() if control else None
        self.log_path = tmp_path / "log"
        path = write_config(
            tmp_path,
            name=name,
            listen=f"127.0.0.1:{self.port}",
            discovery=self.agent.address,
            limits={"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            known={"seq": 0, "whole": True, "hosts": list(known)},
            settings=SETTINGS | (settings or {}),
            **({"control": f"127.0.0.1:{self.control}"} if control else {}),
        )
        arguments = ["serve"]
        if operator is not None:
            (tmp_path / "operator.properties").write_text(operator, encoding="utf-8")
            arguments += ["--operator", str(tmp_path / "operator.properties")]
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "brackenusher", *arguments],
                cwd=ROOT,
                env={
                    **os.environ,
                    "GW_CONFIG": path,
                    "GW_DISCOVERY": self.agent.address,
                    "TMPDIR": str(tmpdir or tmp_path),
                },
                stdout=log,
                stderr=stderr or log,
            )
        if files:
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (files, files))

    def __enter__(self):
        until(self.ready, "readiness")
        return self

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()
        for listener in (*self.servers, self.agent):
            listener.close()

    @property
    def log(self):
        return self.log_path.read_text(encoding="utf-8")

    def connect(self):
        return connect(self.port)

    def call(self, method, path, body=b""):
        """Call the second address: status, headers, body."""
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        with socket.create_connection(("127.0.0.1", self.control), timeout=WAIT) as sock:
            return self.ask(head.encode() + body, sock)

    def figures(self):
        return json.loads(self.call("GET", "/-/metrics")[2])

    def ready(self):
        assert self.process.poll() is None, self.log
        with contextlib.suppress(OSError), self.connect() as sock:
            return self.ask(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", sock)[0] == 200
        return False

    def ask(self, data, sock=None):
        """Send bytes and read one answer: status, headers, body."""
        own = sock or self.connect()
        try:
            own.sendall(data)
            first, headers, body = read_message(own.makefile("rb"))
            return int(first.split()[1]), headers, body
        finally:
            if sock is None:
                own.close()


class Stepped:
    """The daemon in this process, on real sockets: the test says when its loop takes a turn, and so what has
    queued up before it.
    """

    def __init__(self, tmp_path, *servers, settings=None, agent=None, known=True, sockets=256):
        self.servers = servers
        hosts = [host(f"s{n}", server) for n, server in enumerate(servers)]
        self.agent = agent or DiscoveryAgent(hosts)
        self.port = free_port()
        path = write_config(
            tmp_path,
            listen=f"127.0.0.1:{self.port}",
            discovery=self.agent.address,
            limits={"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            known={"seq": 1, "whole": True, "hosts": hosts if known else []},
            settings=SETTINGS | (settings or {}),
        )
        self.environ = {"GW_CONFIG": path}
        self.daemon = Daemon(load(self.environ), partial(reload_config, self.environ), OperatorSettings())
        self.loop = self.daemon.loop

    def __enter__(self):
        self.daemon.start()
        self.turn_until(lambda: self.agent.calls, "the call")
        return self

    def __exit__(self, *_):
        self.loop.running = False
        for task in list(self.loop.tasks.values()):
            task.stop()
        for listener in (*self.servers, self.agent):
            listener.close()

    def turn_until(self, condition, what="the event"):
        """Take turns until something is so; none comes later than the next 20 ms."""

        def turned():
            if not (value := condition()):
                self.loop.timers.add(clock() + 20.0, lambda: None)
                self.loop.run_once()
            return value

        return until(turned, what)

    def turns(self, span):
        """Take turns for some milliseconds."""
        end = clock() + span
        self.turn_until(lambda: clock() >= end)

    def connect(self):
        return connect(self.port)

    def hear(self, sock):
        """One whole answer, with turns meanwhile: status, headers, body."""
        sock.setblocking(False)
        data = bytearray()

        def read():
            with contextlib.suppress(BlockingIOError):
                part = sock.recv(65536)
                data.extend(part)
                return not part or answer_in(data)
            return None

        self.turn_until(read, "the answer")
        return answer_in(data)

    def ask(self, request):
        with self.connect() as sock:
            sock.sendall(request)
            return self.hear(sock)


def answer_in(data):
    """Status, headers and body of the first answer in some bytes; None where it is not whole."""
    head, _, rest = bytes(data).partition(b"\r\n\r\n")
    if b"\r\n\r\n" not in data:
        return None
    first, *lines = head.decode().split("\r\n")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
    status, body = int(first.split()[1]), b""
    if "content-length" in headers:
        whole = len(rest) >= int(headers["content-length"])
        return (status, headers, rest[: int(headers["content-length"])]) if whole else None
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if size and not int(size, 16):
            return status, headers, body
        body, rest = body + rest[: int(size or b"0", 16)], rest[int(size or b"0", 16) + 2 :]
    return None


def connect(port):
    sock = socket.create_connection(("127.0.0.1", port), timeout=WAIT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read_request(number=1, target="/board-read?k=m1", extra="", span="1400m"):
    return (
        f"GET {target} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: id{number}\r\nReq-Kind: board-read\r\n"
        f"Req-Owner: kente-wars\r\nReq-Deadline: {span}\r\n{extra}\r\n"
    ).encode()


def submit_request(number=1, body=b"move", extra=""):
    head = (
        f"POST /turn-submit?k=m1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: id{number}\r\n"
        f"Req-Kind: turn-submit\r\nReq-Owner: kente-wars\r\nReq-Deadline: 1900m\r\n"
        f"Idempotency-Key: key{number}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    )
    return head.encode() + body
