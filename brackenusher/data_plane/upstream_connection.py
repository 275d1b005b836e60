"""One HTTP/1.1 connection to a server: sends one request at a time and reports its answer, piece by piece.

It decides nothing about requests: it says what came, and how the exchange of bytes ended. A connection is
used again only after a whole answer with not one byte behind it.
"""

import asyncio
import logging
import select
import socket
from collections.abc import Callable
from typing import Protocol

import h11

from brackenusher.data_plane.headers import REQUEST_ID, Header, first_value, keep_alive_seconds

log = logging.getLogger(__name__)

USER_TIMEOUT_MS = 2000  # bytes that stay unacknowledged for so long end the connection: a cut says nothing
KEEP_ALIVE_IDLE_S = 1  # then probes find out about a peer that is gone while an answer is awaited
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
MAX_HEAD_BYTES = 64 * 1024  # of an answer's head; more is not an answer
ASSUMED_IDLE_LIMIT_S = 5.0  # of a server that does not state Keep-Alive
IDLE_MARGIN_S = 1.0  # idle connections are closed so long before the server does it


class AnswerReceiver(Protocol):
    """Who is told about an answer; it ends with one of `answer_end`, `answer_broken` and `request_unsent`."""

    request_id: bytes | None  # that the answer has to echo

    def answer_head(self, status: int, headers: list[Header]) -> None:
        """The head of the answer to this request."""

    def answer_body(self, data: bytes) -> None:
        """Bytes of its body."""

    def answer_end(self) -> None:
        """The answer is whole."""

    def answer_broken(self, reason: str) -> None:
        """No more will come, and the answer is not whole."""

    def request_unsent(self, reason: str) -> None:
        """Not one byte of the request was written: the server cannot have run it."""


class UpstreamConnection(asyncio.Protocol):
    """A connection to one server; `on_idle` and `on_closed` are its pool's."""

    def __init__(
        self,
        server_id: str,
        on_idle: Callable[["UpstreamConnection"], None],
        on_closed: Callable[["UpstreamConnection"], None],
        clock: Callable[[], float],
    ) -> None:
        self.server_id = server_id
        self.used = False  # whether a request was ever sent on it
        self.idle_until = 0.0  # seconds on the clock; only while idle
        self.closed = False
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._receiver: AnswerReceiver | None = None
        self._request: h11.Request | None = None
        self._skipping = False  # an answer to an earlier request is being read away
        self._unwritten = False  # bytes of the request have not reached the kernel yet
        self._refused = False  # the kernel refused the first byte of the request
        self._reusable = True
        self._idle_limit_s = ASSUMED_IDLE_LIMIT_S

    @property
    def busy(self) -> bool:
        """Whether a request is under way on it."""
        return self._receiver is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # tells as soon as all is written
        sock = transport.get_extra_info("socket")
        configure_socket(sock)
        self._poll.register(sock.fileno(), select.POLLIN)

    def send(
        self, method: bytes, target: bytes, headers: list[Header], body: bytes, receiver: AnswerReceiver
    ) -> None:
        """Send a whole request. Raises h11.LocalProtocolError, before a byte was sent, if improper."""
        assert self._transport is not None and self._receiver is None
        try:
            request = h11.Request(method=method, target=target, headers=headers)
            data = self._encode(request, body)
        except h11.LocalProtocolError:
            self.close()
            raise
        self._request = request
        self._receiver = receiver
        self._skipping = False
        self.used = True
        self._unwritten = False
        self._transport.write(data)
        self._refused = self._transport.is_closing()  # the write failed at once; `connection_lost` follows

    def _encode(self, request: h11.Request, body: bytes) -> bytes:
        head = self._http.send(request) or b""
        content = (self._http.send(h11.Data(data=body)) or b"") if body else b""
        return head + content + (self._http.send(h11.EndOfMessage()) or b"")

    def pause_writing(self) -> None:
        """Not all of the request could be written at once."""
        self._unwritten = True

    def resume_writing(self) -> None:
        """All of the request is written."""
        self._unwritten = False

    def pause(self) -> None:
        """Read no more until `resume`."""
        if self._transport is not None and not self.closed:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._transport is not None and not self.closed:
            self._transport.resume_reading()

    def has_unread(self) -> bool:
        """Whether something has come that the loop has not seen yet, as the end of the connection."""
        return bool(self._poll.poll(0))

    def unused_idle_s(self) -> float:
        """How long it may rest before its first request, in seconds."""
        return self._idle_limit_s - IDLE_MARGIN_S

    def release(self) -> None:
        """The receiver wants no more: the connection ends, and so does the server's work."""
        self._receiver = None
        self.close()

    def close(self) -> None:
        """End the connection at once."""
        if self.closed:
            return
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
        self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of the server."""
        if self._receiver is None:
            self.close()  # they belong to no request
            return
        self._http.receive_data(data)
        self._read_events()

    def eof_received(self) -> bool:
        """The server sends no more."""
        if self._receiver is None:
            self.close()
            return False
        self._http.receive_data(b"")
        self._read_events()
        return False

    def connection_lost(self, exception: Exception | None) -> None:
        """The connection is gone."""
        self._break(f"connection lost: {exception}" if exception else "connection closed")

    def _break(self, reason: str) -> None:
        receiver, self._receiver = self._receiver, None
        self.close()
        if receiver is None:
            return
        if self._refused:
            receiver.request_unsent(reason)
        else:
            receiver.answer_broken(reason)

    def _read_events(self) -> None:
        """Take what h11 has; the pieces of a body that came together are passed on together."""
        body: list[bytes] = []
        try:
            while self._receiver is not None:
                event = self._http.next_event()
                if type(event) is h11.Data:
                    body.append(event.data)
                    continue
                self._pass_body(body)
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if self._receiver is not None:
                    self._take(event)
        except h11.RemoteProtocolError as error:
            self._pass_body(body)
            self._break(f"malformed answer: {error}")

    def _pass_body(self, body: list[bytes]) -> None:
        if body and self._receiver is not None and not self._skipping:
            self._receiver.answer_body(bytes(body[0]) if len(body) == 1 else b"".join(body))
        body.clear()

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Response):
            self._take_head(event)
        elif isinstance(event, h11.EndOfMessage):
            self._take_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._break("connection closed before the answer")

    def _take_head(self, response: h11.Response) -> None:
        assert self._receiver is not None
        headers = list(response.headers)
        echoed = first_value(headers, REQUEST_ID)
        if echoed is not None and echoed != self._receiver.request_id:
            self._start_skipping()
            return
        stated = keep_alive_seconds(headers)
        if stated is not None:
            self._idle_limit_s = stated
        self._receiver.answer_head(response.status_code, headers)

    def _start_skipping(self) -> None:
        """The answer belongs to an earlier request; the one awaited may follow it, once."""
        if not self._reusable:
            self._break("a second answer to another request")
            return
        self._reusable = False
        self._skipping = True

    def _take_end(self) -> None:
        if self._skipping:
            self._read_next_answer()
            return
        receiver, self._receiver = self._receiver, None
        assert receiver is not None
        trailing, ended = self._http.trailing_data
        reusable = (
            self._reusable
            and not self._unwritten
            and not trailing
            and not ended
            and self._http.our_state is h11.DONE
        )
        if reusable:
            self._http.start_next_cycle()
            self.idle_until = self._clock() + max(0.0, self._idle_limit_s - IDLE_MARGIN_S)
            self.resume()
            self._on_idle(self)  # first: what the receiver's end sets off may need a connection
        else:
            self.close()
        receiver.answer_end()

    def _read_next_answer(self) -> None:
        """Go on behind an answer that was read away, as if the request had just been sent."""
        assert self._request is not None
        trailing, ended = self._http.trailing_data
        if ended or self._http.our_state is not h11.DONE:
            self._break("connection closed after an answer to another request")
            return
        self._skipping = False
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        headers = [header for header in self._request.headers if header[0] != b"content-length"]
        self._encode(
            h11.Request(method=self._request.method, target=self._request.target, headers=headers), b""
        )
        if trailing:
            self._http.receive_data(trailing)


def configure_socket(sock: socket.socket) -> None:
    """Small writes go out at once, and a peer behind a cut is noticed."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
