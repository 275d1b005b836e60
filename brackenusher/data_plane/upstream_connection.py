"""One HTTP/1.1 connection to a server: sends one request at a time and reports its response as it arrives.

Makes no decisions on requests. A connection is reused only after a complete response with no byte behind it.
"""

import asyncio
import logging
import select
import socket
from collections.abc import Callable
from typing import Protocol

import h11

from brackenusher.data_plane.headers import (
    REQUEST_ID,
    Header,
    first_value,
    has_two_lengths,
    keep_alive_seconds,
)

log = logging.getLogger(__name__)

USER_TIMEOUT_MS = 2000  # TCP_USER_TIMEOUT: a network partition sends no reset
KEEP_ALIVE_IDLE_S = 1  # then probes detect a dead peer while a response is awaited
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
MAX_HEAD_BYTES = 64 * 1024  # of a response head
DEFAULT_IDLE_TIMEOUT_S = 5.0  # of a server that sends no Keep-Alive header
IDLE_CLOSE_MARGIN_S = 1.0  # before the server's idle timeout, lest a request meet its close


class ResponseReceiver(Protocol):
    """Receives a response; the last call is `response_end`, `response_broken` or `request_not_written`."""

    request_id: bytes | None  # that the response has to echo

    def response_head(self, status: int, headers: list[Header]) -> None:
        """Status and headers of the response."""

    def response_body(self, data: bytes) -> None:
        """A chunk of the response body."""

    def response_end(self) -> None:
        """The response is complete."""

    def response_broken(self, reason: str) -> None:
        """The response ended prematurely."""

    def request_not_written(self, reason: str) -> None:
        """No byte of the request was written: the server cannot have executed it."""


class UpstreamConnection(asyncio.Protocol):
    """A connection to one server; `on_idle` and `on_closed` are callbacks of its pool."""

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
        self._receiver: ResponseReceiver | None = None
        self._request: h11.Request | None = None
        self._discarding = False  # the response to an earlier request is being read and dropped
        self._write_pending = False  # the kernel has not taken all of the request yet
        self._write_failed = False  # the kernel refused the request's first write
        self._reusable = True
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S

    @property
    def busy(self) -> bool:
        """Whether a request is in flight on it."""
        return self._receiver is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle an established connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # `resume_writing` is called once everything is written
        sock = transport.get_extra_info("socket")
        configure_socket(sock)
        self._poll.register(sock.fileno(), select.POLLIN)

    def send(
        self, method: bytes, target: bytes, headers: list[Header], body: bytes, receiver: ResponseReceiver
    ) -> None:
        """Send a complete request. Raises h11.LocalProtocolError, before any byte is sent, if malformed."""
        assert self._transport is not None and self._receiver is None
        try:
            request = h11.Request(method=method, target=target, headers=headers)
            data = self._encode(request, body)
        except h11.LocalProtocolError:
            self.close()
            raise
        self._request = request
        self._receiver = receiver
        self._discarding = False
        self.used = True
        self._write_pending = False
        self._transport.write(data)
        # A write that fails immediately closes the transport; `connection_lost` follows.
        self._write_failed = self._transport.is_closing()

    def _encode(self, request: h11.Request, body: bytes) -> bytes:
        head = self._http.send(request) or b""
        encoded_body = (self._http.send(h11.Data(data=body)) or b"") if body else b""
        return head + encoded_body + (self._http.send(h11.EndOfMessage()) or b"")

    def pause_writing(self) -> None:
        """Part of the request could not be written immediately."""
        self._write_pending = True

    def resume_writing(self) -> None:
        """The request is written completely."""
        self._write_pending = False

    def pause(self) -> None:
        """Stop reading until `resume`."""
        if self._transport is not None and not self.closed:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if self._transport is not None and not self.closed:
            self._transport.resume_reading()

    def has_unread(self) -> bool:
        """Whether data or an end of stream has arrived that the event loop has not processed yet."""
        return bool(self._poll.poll(0))

    def initial_idle_s(self) -> float:
        """How long it may stay idle before its first request, in seconds."""
        return self._idle_timeout_s - IDLE_CLOSE_MARGIN_S

    def release(self) -> None:
        """Drop the receiver and close the connection, which makes the server stop its work."""
        self._receiver = None
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        if self.closed:
            return
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
        self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Handle data of the server."""
        if self._receiver is None:
            self.close()  # unsolicited data
            return
        self._http.receive_data(data)
        self._read_events()

    def eof_received(self) -> bool:
        """Handle the server's end of stream."""
        if self._receiver is None:
            self.close()
            return False
        self._http.receive_data(b"")
        self._read_events()
        return False

    def connection_lost(self, exception: Exception | None) -> None:
        """Handle the end of the connection."""
        self._fail(f"connection lost: {exception}" if exception else "connection closed")

    def _fail(self, reason: str) -> None:
        receiver, self._receiver = self._receiver, None
        self.close()
        if receiver is None:
            return
        if self._write_failed:
            receiver.request_not_written(reason)
        else:
            receiver.response_broken(reason)

    def _read_events(self) -> None:
        """Process the available h11 events; body chunks that arrived together are forwarded together."""
        body: list[bytes] = []
        try:
            while self._receiver is not None:
                event = self._http.next_event()
                if type(event) is h11.Data:
                    body.append(event.data)
                    continue
                self._forward_body(body)
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if self._receiver is not None:
                    self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._forward_body(body)
            self._fail(f"malformed response: {error}")

    def _forward_body(self, body: list[bytes]) -> None:
        if body and self._receiver is not None and not self._discarding:
            self._receiver.response_body(bytes(body[0]) if len(body) == 1 else b"".join(body))
        body.clear()

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Response):
            self._handle_head(event)
        elif isinstance(event, h11.EndOfMessage):
            self._handle_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("connection closed before the response")

    def _handle_head(self, response: h11.Response) -> None:
        assert self._receiver is not None
        headers = list(response.headers)
        echoed = first_value(headers, REQUEST_ID)
        if echoed is not None and echoed != self._receiver.request_id:
            self._start_discarding()
            return
        stated_timeout_s = keep_alive_seconds(headers)
        if stated_timeout_s is not None:
            self._idle_timeout_s = stated_timeout_s
        if has_two_lengths(headers):
            self._reusable = False  # the server may count bytes to it that are read as the next response
        self._receiver.response_head(response.status_code, headers)

    def _start_discarding(self) -> None:
        """Drop a response to an earlier request; the one awaited may follow, but not after a second one."""
        if not self._reusable:
            self._fail("second response to another request")
            return
        self._reusable = False
        self._discarding = True

    def _handle_end(self) -> None:
        if self._discarding:
            self._read_next_response()
            return
        receiver, self._receiver = self._receiver, None
        assert receiver is not None
        trailing, ended = self._http.trailing_data
        reusable = (
            self._reusable
            and not self._write_pending
            and not trailing
            and not ended
            and self._http.our_state is h11.DONE
        )
        if reusable:
            self._http.start_next_cycle()
            self.idle_until = self._clock() + max(0.0, self._idle_timeout_s - IDLE_CLOSE_MARGIN_S)
            self.resume()
            self._on_idle(self)  # first, as the receiver may need a connection in turn
        else:
            self.close()
        receiver.response_end()

    def _read_next_response(self) -> None:
        """Read on after a dropped response, with the parser as if the request had just been sent."""
        assert self._request is not None
        trailing, ended = self._http.trailing_data
        if ended or self._http.our_state is not h11.DONE:
            self._fail("connection closed after a response to another request")
            return
        self._discarding = False
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        headers = [header for header in self._request.headers if header[0] != b"content-length"]
        self._encode(
            h11.Request(method=self._request.method, target=self._request.target, headers=headers), b""
        )
        if trailing:
            self._http.receive_data(trailing)


def configure_socket(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, and make TCP detect an unreachable peer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
