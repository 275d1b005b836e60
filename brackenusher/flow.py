"""The server-side flow on the wire: one attempt after another on a connection to a pool member."""

from collections.abc import Sequence
from dataclasses import dataclass

import h11

from barleybarrow.interface import Outcome
from brackenusher.transaction import Served

LONGEST_BODY = 64 * 1024
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"req-deadline",
    )
)


@dataclass(slots=True)
class Message:
    """A request as it is passed on; names of headers are in lower case."""

    method: bytes
    target: bytes
    headers: Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b""


@dataclass(slots=True)
class Content:
    """What a pool member answered."""

    body: bytes
    kind: bytes | None = None


@dataclass(slots=True)
class Reply:
    """What an attempt came to."""

    outcome: Outcome
    served: Served | None = None


class Flow:
    """The client's side of HTTP on one connection; it is fed bytes and knows no socket."""

    def __init__(self, authority: bytes) -> None:
        self.authority = authority  # for a request that names no host, as HTTP/1.0 allows
        self.machine = h11.Connection(h11.CLIENT)
        self.reset()

    def reset(self) -> None:
        self.status, self.declined, self.kind = 0, False, None
        self.body = bytearray()

    def request(self, message: Message, wait: float) -> bytes:
        """The bytes of a request; `wait` tells the server how many milliseconds it has."""
        headers = [(n, v) for n, v in message.headers if n not in HOP_BY_HOP]
        headers.append((b"req-deadline", b"%dm" % max(1, int(wait))))
        if not any(name == b"host" for name, _ in headers):
            headers.insert(0, (b"host", self.authority))
        if message.body or message.method != b"GET":
            headers.append((b"content-length", b"%d" % len(message.body)))
        send = self.machine.send
        data = send(h11.Request(method=message.method, target=message.target, headers=headers))
        if message.body:
            data += send(h11.Data(data=message.body))
        return data + send(h11.EndOfMessage())

    def receive(self, data) -> Reply | None:
        """Take bytes, b"" at the end of the stream; return what the attempt came to once that is known."""
        ended = not data
        try:
            self.machine.receive_data(data)
            while True:
                event = self.machine.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                    self.note(event.headers)
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > LONGEST_BODY:
                        return Reply(Outcome.ERROR)
                elif isinstance(event, h11.EndOfMessage):
                    return self.whole()
                elif isinstance(event, h11.ConnectionClosed):
                    return Reply(Outcome.RESET)
        except h11.RemoteProtocolError:
            return Reply(Outcome.RESET if ended else Outcome.ERROR)

    def note(self, headers) -> None:
        for name, value in headers:
            if name == b"srv-declined":
                self.declined = value.strip() == b"1"
            elif name == b"content-type":
                self.kind = value

    def whole(self) -> Reply:
        """Judge an answer that has come whole."""
        if self.status == 200:
            return Reply(Outcome.SERVED, Served(Content(bytes(self.body), self.kind)))
        if self.status in (503, 504) and self.declined:
            return Reply(Outcome.FULL)
        return Reply(Outcome.ERROR)

    def renew(self) -> bool:
        """Get ready for the next attempt; False where the connection can carry none."""
        machine = self.machine
        if machine.our_state is not h11.DONE or machine.their_state is not h11.DONE:
            return False
        if machine.trailing_data[0]:
            return False  # bytes that nobody asked for: what follows could be taken for another's answer
        machine.start_next_cycle()
        self.reset()
        return True
