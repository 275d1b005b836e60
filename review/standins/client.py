"""A client that keeps its connection: sends one request after the other, and reads each answer to its end."""

import socket
from dataclasses import dataclass

from review.standins.operator import HOST, KEY
from review.standins.platform import Record

ANSWER_S = 20.0


@dataclass(slots=True)
class Answer:
    """What a client got for one request."""

    request_id: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0  # 0: not even a head
    complete: bool = False  # ended as the protocol ends a whole answer
    keeps: bool = False  # the connection may be used again
    body: bytes = b""

    @property
    def events(self) -> int:
        """Whole events in the body."""
        return self.body.count(b"\n\n")


class Client:
    """One connection of a client."""

    def __init__(self, record: Record, name: str, address: tuple[str, int]) -> None:
        self.name = name
        self._record = record
        self._socket = socket.create_connection(address, timeout=ANSWER_S)
        self._file = self._socket.makefile("rb")

    def ask(self, request_id: str, path: str, deadline_ms: int = 15000) -> Answer:
        """Send one request for a stream and read its answer."""
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Brackenusher-Request-Id: {request_id}\r\n"
            "X-Brackenusher-Model: m\r\nX-Brackenusher-Token-Counts: 141,3420\r\n"
            f"X-Brackenusher-Prompt-Prefix: 5c1e07a2:47,{request_id}:94\r\n"
            f"X-Brackenusher-Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
        )
        answer = Answer(request_id, self._record.add(self.name, f"sends {request_id} {path}"))
        try:
            self._socket.sendall(head.encode())
            self._read(answer)
        except (OSError, ValueError, EOFError):
            answer.complete = False
        what = "complete" if answer.complete else "NOT complete: the connection ended"
        answer.ended_at = self._record.add(
            self.name, f"{request_id}: status {answer.status}, {answer.events} events, {what}"
        )
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._file.close()
        self._socket.close()

    def _line(self) -> bytes:
        line = self._file.readline(65536)
        if not line.endswith(b"\n"):
            raise EOFError
        return line.rstrip(b"\r\n")

    def _read(self, answer: Answer) -> None:
        answer.status = int(self._line().split(b" ")[1])
        headers = {}
        while line := self._line():
            name, _, value = line.partition(b":")
            headers[name.lower()] = value.strip().lower()
        if headers.get(b"transfer-encoding") == b"chunked":
            while size := int(self._line(), 16):
                answer.body += self._exactly(size)
                self._line()
            self._line()
        else:
            answer.body = self._exactly(int(headers[b"content-length"]))
        answer.complete = True
        answer.keeps = headers.get(b"connection") != b"close"

    def _exactly(self, size: int) -> bytes:
        data = self._file.read(size)
        if len(data) < size:
            raise EOFError
        return data
