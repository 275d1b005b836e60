"""Keyed moves through several daemons: which server ran which key, however often it was asked."""

import socket
import time
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from barleybarrow.idempotency_records import PROBE_INTERVAL_MS
from testbed.processes.grouped import NUMBERS, Grouped
from testbed.processes.several import scene
from testbed.standins import host, response


class Moves(Grouped):
    """Three daemons before servers of a cell each, that note the keys they run; a slow one takes 1.5 s."""

    def __init__(self, tmp_path: Path, more: str = "") -> None:
        text = (
            "replica.enabled = true\nreplica.keepers = n0, n1, n2\nreplica.folder = {folder}/replica\n" + more
        )
        classes = scene(3).classes
        keyed = msgspec.structs.replace(
            classes[0], name="move", effect="keyed", group="cell", window=6000.0, aim=3000.0, deadline=3000.0
        )
        self.ran: list[tuple[int, str]] = []  # server, key
        super().__init__(tmp_path, 3, text, scenario=scene(3, classes=[*classes, keyed]))

    def __enter__(self) -> "Moves":
        super().__enter__()
        self.until(
            lambda: all((self.wish(n, "replica verify") or {}).get("stage") == "caught up" for n in range(3)),
            "caught up",
        )
        time.sleep(2 * PROBE_INTERVAL_MS / 1000.0)  # each has asked the others
        return self

    def first_word(self, pipe: Any, who: str) -> Any:
        found = super().first_word(pipe, who)
        if who != "the fleet":
            return found
        for place, server in enumerate(self.servers):
            server.behave = partial(self.behave, place)
        hosts = [{**host(f"s{i}", server), "block": i} for i, server in enumerate(self.servers)]
        for agent in self.agents:
            agent.hosts = hosts
        self.hosts = hosts
        return {**found, "known": [{"seq": 0, "whole": True, "hosts": hosts}] * self.size}

    def behave(self, place: int, server: Any, message: Any) -> bytes:
        key = message[1].get("idempotency-key", "")
        self.ran.append((place, key))
        if key.startswith("slow"):
            self.stopped.wait(1.5)
        return response(200, b"moved " + key.encode())

    def move(
        self, number: int, key: str, wait: float = 5.0, owner: str = "a", board: str = "m1"
    ) -> tuple[int, bytes] | None:
        """The status and body that a client gets; None where its connection breaks."""
        name = next(NUMBERS)
        try:
            with socket.create_connection(("127.0.0.1", self.daemons[number].port), wait) as sock:
                sock.sendall(
                    f"POST /move?k={board} HTTP/1.1\r\nHost: h\r\nReq-Id: m{name}\r\nReq-Kind: move\r\n"
                    f"Req-Owner: {owner}\r\nReq-Deadline: 3000m\r\nIdempotency-Key: {key}\r\n"
                    "Content-Length: 2\r\nConnection: close\r\n\r\nhi".encode()
                )
                data = b""
                while part := sock.recv(65536):
                    data += part
        except OSError:
            return None
        head, _, body = data.partition(b"\r\n\r\n")
        return (int(head.split()[1]), body) if head else None

    def places(self, key: str) -> list[int]:
        """The servers that ran a key, in order."""
        return [place for place, k in list(self.ran) if k == key]
