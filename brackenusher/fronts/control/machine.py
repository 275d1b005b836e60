"""One call to the second address as a state machine on h11, which is fed bytes and knows no socket.

A connection carries one call. What follows it is never read as another.
"""

from collections.abc import Callable, Mapping

import h11

from brackenusher.fronts.http import REASONS

LONGEST_HEAD = 16 * 1024  # bytes
LONGEST_BODY = 64 * 1024  # bytes: no call needs one, and whoever brings one is heard out so far

Reply = tuple[int, bytes]  # status, and a body: JSON, or a line of text
Deeds = Mapping[bytes, tuple[bytes, Callable[[], Reply]]]  # by path: the one method, and what a call does


class Call:
    """A caller's connection: bytes come in, and once there is an answer `out` holds all of it."""

    def __init__(self, deeds: Deeds) -> None:
        self.deeds, self.out = deeds, b""
        self.machine = h11.Connection(h11.SERVER, max_incomplete_event_size=LONGEST_HEAD)
        self.request: h11.Request | None = None
        self.come = 0  # bytes of the body
        self.ended = False  # the caller went without a whole call, and nobody waits for an answer

    @property
    def done(self) -> bool:
        """Whether nothing more is to be read."""
        return bool(self.out) or self.ended

    def receive(self, data: bytes) -> bytes:
        """Take bytes, b"" at the end of the stream; returns what is to be written at once."""
        if self.done:
            return b""
        try:
            self.machine.receive_data(data)
            return self.step()
        except h11.RemoteProtocolError as error:
            if not data:
                self.ended = True
            else:
                self.answer(error.error_status_hint, str(error).encode() + b"\n")
            return self.out

    def step(self) -> bytes:
        while not self.done:
            event = self.machine.next_event()
            if isinstance(event, h11.Request):
                self.request = event
                length = dict(event.headers).get(b"content-length", b"0")
                if event.http_version not in (b"1.0", b"1.1"):
                    self.answer(505, b"HTTP/1.1 is spoken here\n")
                elif sum(len(name) + len(value) + 4 for name, value in event.headers) > LONGEST_HEAD:
                    self.answer(431, b"the head is too large\n")
                elif int(length) > LONGEST_BODY:
                    self.answer(413, b"no body is expected\n")
                elif self.machine.they_are_waiting_for_100_continue:
                    return self.machine.send(h11.InformationalResponse(status_code=100, headers=[]))
            elif isinstance(event, h11.Data):
                self.come += len(event.data)
                if self.come > LONGEST_BODY:
                    self.answer(413, b"no body is expected\n")
            elif isinstance(event, h11.EndOfMessage):
                self.carry_out()
            elif isinstance(event, h11.ConnectionClosed):
                self.ended = True
            else:
                return b""
        return self.out

    def carry_out(self) -> None:
        """The call is whole: do what it asks for."""
        assert self.request is not None
        deed = self.deeds.get(self.request.target.partition(b"?")[0])
        if deed is None:
            return self.answer(404, b"no such call\n")
        method, do = deed
        if self.request.method != method:
            return self.answer(405, b"another method is expected\n", [("Allow", method.decode())])
        self.answer(*do())

    def late(self) -> bytes:
        """No whole call came in time: what to say to that."""
        if not self.done:
            self.answer(408, b"no whole call came in time\n")
        return self.out

    def answer(self, status: int, body: bytes, headers: list[tuple[str, str]] | None = None) -> None:
        kind = "application/json" if body[:1] == b"{" else "text/plain"
        fields = [
            *(headers or []),
            ("Content-Type", kind),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if self.request is not None and self.request.method == b"HEAD":
            body = b""
        head = h11.Response(status_code=status, headers=fields, reason=REASONS[status])
        self.out = (self.machine.send(head) or b"") + body
