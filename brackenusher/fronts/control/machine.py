"""A request to the control address as a sans-I/O state machine on h11.

A connection carries one request; any data after it is ignored.
"""

from collections.abc import Callable, Mapping

import h11

from brackenusher.fronts.http import REASON_PHRASES

MAX_HEAD_BYTES = 16 * 1024  # bytes
MAX_BODY_BYTES = 64 * 1024  # no request needs a body; one up to this size is read and ignored

Response = tuple[int, bytes]  # status and body: JSON or a line of text
Handlers = Mapping[bytes, tuple[bytes, Callable[[], Response]]]  # by path: the allowed method and the handler


class ControlProtocol:
    """Protocol state of a connection; `out` holds the complete response once there is one."""

    def __init__(self, handlers: Handlers) -> None:
        self.handlers, self.out = handlers, b""
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.body_received = 0  # bytes received of the body
        self.input_ended = False  # the client closed before its request was complete, and awaits no response

    @property
    def done(self) -> bool:
        """Whether no more input is needed."""
        return bool(self.out) or self.input_ended

    def receive(self, data: bytes) -> bytes:
        """Feed bytes, b"" at the end of the stream; returns what to write now."""
        if self.done:
            return b""
        try:
            self.connection.receive_data(data)
            return self.process_events()
        except h11.RemoteProtocolError as error:
            if not data:
                self.input_ended = True
            else:
                self.respond(error.error_status_hint, str(error).encode() + b"\n")
            return self.out

    def process_events(self) -> bytes:
        while not self.done:
            event = self.connection.next_event()
            if isinstance(event, h11.Request):
                self.request = event
                length = dict(event.headers).get(b"content-length", b"0")
                if event.http_version not in (b"1.0", b"1.1"):
                    self.respond(505, b"HTTP/1.1 is spoken here\n")
                elif sum(len(name) + len(value) + 4 for name, value in event.headers) > MAX_HEAD_BYTES:
                    self.respond(431, b"the head is too large\n")
                elif int(length) > MAX_BODY_BYTES:
                    self.respond(413, b"no body is expected\n")
                elif self.connection.they_are_waiting_for_100_continue:
                    return self.connection.send(h11.InformationalResponse(status_code=100, headers=[]))
            elif isinstance(event, h11.Data):
                self.body_received += len(event.data)
                if self.body_received > MAX_BODY_BYTES:
                    self.respond(413, b"no body is expected\n")
            elif isinstance(event, h11.EndOfMessage):
                self.run_handler()
            elif isinstance(event, h11.ConnectionClosed):
                self.input_ended = True
            else:
                return b""
        return self.out

    def run_handler(self) -> None:
        """The request is complete: run its handler."""
        assert self.request is not None
        entry = self.handlers.get(self.request.target.partition(b"?")[0])
        if entry is None:
            return self.respond(404, b"no such call\n")
        method, handler = entry
        if self.request.method != method:
            return self.respond(405, b"another method is expected\n", [("Allow", method.decode())])
        self.respond(*handler())

    def time_out(self) -> bytes:
        """The request was not complete in time; returns the response."""
        if not self.done:
            self.respond(408, b"no whole call came in time\n")
        return self.out

    def respond(self, status: int, body: bytes, headers: list[tuple[str, str]] | None = None) -> None:
        content_type = "application/json" if body[:1] == b"{" else "text/plain"
        fields = [
            *(headers or []),
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if self.request is not None and self.request.method == b"HEAD":
            body = b""
        head = h11.Response(status_code=status, headers=fields, reason=REASON_PHRASES[status])
        self.out = (self.connection.send(head) or b"") + body
