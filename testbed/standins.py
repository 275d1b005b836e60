"""Stand-ins for tests: scripted turn servers and an agent on loopback, with a thread for each connection.

They answer what a test tells them to. For servers that behave like a fleet see `testbed.sockets.fleet`.
"""

import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, BinaryIO

WAIT = 20.0  # seconds: generous, as machines are shared; nothing waits so long when all is well

Message = tuple[str, dict[str, str], bytes]  # first line, headers by lower-case name, body
Entry = dict[str, Any]  # a host in discovery's form


def until(condition: Callable[[], Any], what: str = "the condition") -> Any:
    """Wait for something to be so, and return it; AssertionError where it does not come about."""
    end = time.monotonic() + WAIT
    while not (value := condition()):
        if time.monotonic() > end:
            raise AssertionError(f"{what} did not come about")
        time.sleep(0.005)
    return value


def read_message(file: BinaryIO) -> Message | None:
    """Read one HTTP message; None at the end of the stream."""
    first = file.readline().decode().strip()
    if not first:
        return None
    headers = {}
    while line := file.readline().decode().strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers, file.read(int(headers.get("content-length", 0)))


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """The bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Listener:
    """A listening socket on a free loopback port, with a thread for each connection."""

    def __init__(self, port: int = 0) -> None:
        self.sock = socket.create_server(("127.0.0.1", port))
        self.port: int = self.sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.connections: list[socket.socket] = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.connections.append(sock)
            threading.Thread(target=self.guarded, args=(sock,), daemon=True).start()

    def __enter__(self) -> Any:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def guarded(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError):
            self.serve(sock)

    def serve(self, sock: socket.socket) -> None:
        """What happens on a connection."""

    def close(self) -> None:
        for sock in (self.sock, *self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class DeafServer(Listener):
    """Its queue of connections is full from the start: connecting to it gets no answer."""

    def __init__(self) -> None:
        self.sock, self.connections = socket.socket(), [socket.socket() for _ in range(4)]
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        for sock in self.connections:
            sock.setblocking(False)
            sock.connect_ex(self.sock.getsockname())


class TurnServer(Listener):
    """Notes each request; `behave` returns the bytes to answer, or None to close the connection."""

    def __init__(
        self,
        behave: Callable[[Any, Message], bytes | None] = lambda server, message: response(200, b"board"),
        port: int = 0,
    ) -> None:
        self.behave = behave
        self.requests: list[Message] = []
        super().__init__(port)

    def serve(self, sock: socket.socket) -> None:
        file = sock.makefile("rb")
        while message := read_message(file):
            self.requests.append(message)
            answer = self.behave(self, message)
            if answer is None:
                break
            sock.sendall(answer)
        sock.shutdown(socket.SHUT_RDWR)


class DiscoveryAgent(Listener):
    """Holds a list and tells its watchers of changes; who watches from an older version gets the whole
    list.
    """

    def __init__(self, hosts: Iterable[Entry], port: int = 0) -> None:
        self.seq, self.hosts = 1, list(hosts)
        self.calls: list[str] = []
        self.watchers: list[socket.socket] = []
        super().__init__(port)

    def listing(self, whole: bool, hosts: list[Entry]) -> bytes:
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}).encode()

    def serve(self, sock: socket.socket) -> None:
        file = sock.makefile("rb")
        while message := read_message(file):
            self.calls.append(message[0])
            if "watch=1" not in message[0]:
                sock.sendall(response(200, self.listing(True, self.hosts)))
                continue
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if f"from={self.seq} " not in message[0]:
                self.line(sock, self.listing(True, self.hosts))
            self.watchers.append(sock)

    def line(self, sock: socket.socket, text: bytes) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))

    def tell(self, hosts: list[Entry], whole: bool = False) -> None:
        self.seq += 1
        changed = {entry["host"]: entry for entry in hosts}
        kept = [] if whole else [entry for entry in self.hosts if entry["host"] not in changed]
        self.hosts = kept + [entry for entry in hosts if entry["health"] != "gone"]
        text = self.listing(whole, hosts)
        for sock in self.watchers:
            self.line(sock, text)


def host(name: str, server: Any, health: str = "ready", born_ms: float = 0) -> Entry:
    """A host in discovery's form; `server` is anything with an address."""
    entry = {"host": name, "dial": server.address, "site": "accra-dc1", "class": "dual-fast", "block": 1}
    return {**entry, "health": health, "share": 1.0, "born_ms": born_ms}
