"""One HTTP/1.1 connection of a client: reads complete requests, one at a time, and writes their responses.

Handles the protocol and its limits; the handler interprets the requests. After a client error the connection
lingers: it sends one response and discards what still arrives, so that no reset destroys the response.
"""

import asyncio
import logging
import select
from collections.abc import Iterable, Iterator
from http import HTTPStatus
from typing import Protocol

import h11

from barleybarrow.documents import ClientLimits
from brackenusher.data_plane.headers import Header, parse_request_metadata
from brackenusher.data_plane.request_head import LocalReply, RequestHead, head_error, max_head_bytes
from brackenusher.runtime.driver import reset_on_close

log = logging.getLogger(__name__)

MAX_PIPELINED_BYTES = 64 * 1024  # of later requests; beyond it, reading pauses until the response is sent
WRITE_HIGH_WATERMARK_BYTES = 64 * 1024  # unsent response bytes; above it, the upstream is not read
FLUSH_TIMEOUT_S = 5.0  # for a client to read the last bytes of a response while its connection closes
LINGER_TIMEOUT_S = 1.0  # for which data of a client that got an error is discarded
NO_DEADLINE_S = float("inf")
HTTP_1_0 = b"1.0"
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class RequestInProgress(Protocol):
    """The interface of a request being handled to its client's connection."""

    def client_disconnected(self) -> None:
        """The client's connection is closed."""

    def pause(self) -> None:
        """The client's write buffer is full."""

    def resume(self) -> None:
        """The client's write buffer has drained."""

    def client_half_closed(self) -> None:
        """The client has half-closed: it waits for its response, or it is gone."""


class RequestHandler(Protocol):
    """The proxy's interface to a client's connection."""

    def client_limits(self) -> ClientLimits:
        """Limits on what a client may send; 0 stands for none."""

    def is_draining(self) -> bool:
        """Whether connections are to be closed after their response."""

    def is_intake_closed(self) -> bool:
        """Whether connections are to be closed as soon as nothing is read or sent on them."""

    def check_head(self, head: RequestHead) -> LocalReply | None:
        """The error reply to this request as far as its head tells, or None."""

    def reserve_buffer(self, size: int) -> bool:
        """Reserve memory for so many bytes of bodies; False if there is not enough."""

    def release_buffer(self, size: int) -> None:
        """Release so many reserved bytes."""

    def handle(
        self, connection: "ClientConnection", head: RequestHead, body: bytes
    ) -> RequestInProgress | None:
        """Handle a complete request. Returns None if it has its response already."""

    def client_connected(self, connection: "ClientConnection") -> None:
        """A client has connected."""

    def client_closed(self, connection: "ClientConnection") -> None:
        """A client's connection is closed."""


class ClientConnection(asyncio.Protocol):
    """A client's connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handler: RequestHandler) -> None:
        self.expires_at = NO_DEADLINE_S  # seconds on the loop's clock: when `expire` is to be called
        self.idle_since = 0.0  # seconds on the loop's clock: end of the last request
        self._loop = loop
        self._handler = handler
        self._limits = handler.client_limits()
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_bytes(self._limits))
        self._transport: asyncio.Transport | None = None
        self._head: RequestHead | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._pending_reply: LocalReply | None = None  # to a request that is read to its end first
        self._request: RequestInProgress | None = None
        self._responding = False  # a request was handed to the handler and its response is not complete
        self._reading = False  # inside `_read_events`, which must not be re-entered
        self._client_half_closed = False
        self._reading_paused = False  # too many pipelined bytes; the transport then reports no end either
        self._lingering = False
        self._between_requests = True  # no byte of the next request has arrived
        self._closing = False  # nothing more is written
        self._closed = False

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATERMARK_BYTES)
        self._become_idle()
        self._handler.client_connected(self)

    def data_received(self, data: bytes) -> None:
        """Handle data of the client."""
        if self._lingering or self._closed:
            return
        self._http.receive_data(data)
        if self._responding:
            self._limit_pipelined()
        else:
            self._read_events()

    def eof_received(self) -> bool:
        """Handle a half-close of the client, which still gets the response that it waits for."""
        self._client_half_closed = True
        if self._lingering or self._closed:
            return False
        self._http.receive_data(b"")
        if not self._responding:
            self._read_events()
        else:
            self._report_half_close()
        return self._responding

    def _report_half_close(self) -> None:
        self._client_half_closed = True
        if self._request is not None:
            self._request.client_half_closed()

    def connection_lost(self, exception: Exception | None) -> None:
        """Handle the end of the connection."""
        self._closed = True
        self.expires_at = NO_DEADLINE_S
        self._release_body()
        request, self._request = self._request, None
        self._handler.client_closed(self)
        if request is not None:
            request.client_disconnected()

    def pause_writing(self) -> None:
        """The client's write buffer is full."""
        if self._request is not None:
            self._request.pause()

    def resume_writing(self) -> None:
        """The client's write buffer has drained."""
        if self._request is not None:
            self._request.resume()

    # Called by the proxy

    @property
    def idle(self) -> bool:
        """Whether no request is being read or its response sent."""
        return self._lingering or (self._between_requests and not self._responding and self._head is None)

    def poll_client_end(self) -> None:
        """Notice the client's end while reading is paused; to be called a few times a second."""
        if not self._reading_paused or self._client_half_closed or self._closed or self._transport is None:
            return
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), select.POLLRDHUP)
        for _, events in poll.poll(0):
            if events & (select.POLLERR | select.POLLHUP):
                self._transport.abort()
            else:
                self._report_half_close()

    def close(self) -> None:
        """Close once everything written has been sent."""
        if self._transport is not None and not self._closed and not self._closing:
            self._lingering = self._closing = True
            self._transport.close()
            self.expires_at = self._loop.time() + FLUSH_TIMEOUT_S

    def expire(self) -> None:
        """Handle a timeout of the client."""
        self.expires_at = NO_DEADLINE_S
        request_started = self._head is not None or bool(self._http.trailing_data[0])
        if self._closing:
            self.abort()
        elif self._lingering or not request_started or self._responding:
            self.close()
        else:
            self._reply_and_linger(LocalReply(408, "the request was not sent in time"))

    # Called by the exchange (ResponseWriter)

    def send_head(self, status: int, headers: list[Header]) -> None:
        """Send the head of a response whose body follows."""
        self._send(self._head_events(status, headers))

    def send_body(self, data: bytes) -> None:
        """Send a chunk of the body."""
        self._send((h11.Data(data=data),))

    def send_end(self) -> None:
        """Complete the response."""
        if self._send((h11.EndOfMessage(),)):
            self._response_complete()

    def send_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete response."""
        if self._send(self._response_events(status, headers, body)):
            self._response_complete()

    def send_local_reply(self, status: int, reason: str, retry_after_ms: float | None = None) -> None:
        """Send a complete response made by the proxy itself."""
        body = reason.encode() + b"\n"
        headers: list[Header] = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(body))]
        if retry_after_ms is not None:
            headers.append((b"retry-after", b"%.3f" % (max(0.0, retry_after_ms) / 1000.0)))
        is_head = self._head is not None and self._head.method == b"HEAD"
        self.send_response(status, headers, b"" if is_head else body)

    def close_at_once(self) -> None:
        """Close; a response that is not sent completely by now is cut."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        if unsent or self._responding:
            self.abort()
        else:
            self.close()

    def abort(self) -> None:
        """Close the connection at once, so that the client sees that the response is incomplete."""
        self._request = None
        self._cut()

    def _cut(self) -> None:
        """Close the connection at once; `connection_lost` ends a request in progress."""
        if self._transport is None or self._closed:
            return
        if self._http.their_http_version == HTTP_1_0:
            # Its responses end with the connection: an ordinary close would complete this one.
            reset_on_close(self._transport.get_extra_info("socket"))
        self._transport.abort()

    # Reading

    def _read_events(self) -> None:
        if self._reading:
            return
        self._reading = True
        try:
            while not self._responding and not self._lingering and not self._closed:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._set_read_deadline()
                    break
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reply_and_linger(LocalReply(error.error_status_hint or 400, str(error)))
        finally:
            self._reading = False

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._handle_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._handle_end()
        elif isinstance(event, h11.ConnectionClosed):
            self.close()

    def _handle_head(self, request: h11.Request) -> None:
        headers = list(request.headers)
        metadata = parse_request_metadata(headers)
        self._head = RequestHead(request.method, request.target, headers, metadata, self._loop.time())
        error_reply = head_error(request, metadata, self._limits)
        if error_reply is not None:
            self._reply_and_linger(error_reply)
            return
        self._pending_reply = self._handler.check_head(self._head)
        if self._http.they_are_waiting_for_100_continue:
            if self._pending_reply is not None:
                self._reply_and_linger(self._pending_reply)
            else:
                self._write(self._http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")

    def _handle_body(self, data: bytes) -> None:
        if self._pending_reply is not None:
            return
        limit = self._limits.max_body_bytes
        if limit and self._body_size + len(data) > limit:
            self._reply_and_linger(LocalReply(413, "the body exceeds MaxBodyBytes"))
        elif not self._handler.reserve_buffer(len(data)):
            self._release_body()
            self._pending_reply = LocalReply(503, "no memory for the body", 1000.0)
        else:
            self._body.append(data)
            self._body_size += len(data)

    def _handle_end(self) -> None:
        assert self._head is not None
        head, reply = self._head, self._pending_reply
        body = b"".join(self._body)
        self._body.clear()  # its size stays reserved until the response is complete
        self._responding = True
        self.expires_at = NO_DEADLINE_S
        if reply is not None:
            self.send_local_reply(reply.status, reply.reason, reply.retry_after_ms)
            return
        request = self._handler.handle(self, head, body)
        if self._responding:
            self._request = request

    def _set_read_deadline(self) -> None:
        """Set the time by which the client has to send more."""
        now = self._loop.time()
        if self._head is not None:  # within a body, the idle timeout applies between its chunks
            self.expires_at = now + (self._limits.idle_timeout_ms / 1000.0 or NO_DEADLINE_S)
        elif self._http.trailing_data[0]:
            if self.expires_at == NO_DEADLINE_S or self._between_requests:
                self._between_requests = False
                self.expires_at = now + (self._limits.header_timeout_ms / 1000.0 or NO_DEADLINE_S)

    def _become_idle(self) -> None:
        """Wait for the next request within the idle timeout."""
        self._between_requests = True
        self._limits = self._handler.client_limits()
        self.idle_since = self._loop.time()
        self.expires_at = self.idle_since + (self._limits.idle_timeout_ms / 1000.0 or NO_DEADLINE_S)

    def _limit_pipelined(self) -> None:
        if len(self._http.trailing_data[0]) > MAX_PIPELINED_BYTES and self._transport is not None:
            self._transport.pause_reading()
            self._reading_paused = True

    # Writing

    def _head_events(self, status: int, headers: list[Header]) -> Iterator[h11.Event]:
        headers = list(headers)
        if self._client_half_closed or self._closes_for_drain():
            headers.append((b"connection", b"close"))
        elif self._limits.idle_timeout_ms >= 1000:
            headers.append((b"keep-alive", b"timeout=%d" % (self._limits.idle_timeout_ms // 1000)))
        yield h11.Response(status_code=status, headers=headers, reason=reason_phrase(status))

    def _response_events(self, status: int, headers: list[Header], body: bytes) -> Iterator[h11.Event]:
        yield from self._head_events(status, headers)
        if body:
            yield h11.Data(data=body)
        yield h11.EndOfMessage()

    def _send(self, events: Iterable[h11.Event]) -> bool:
        """Write these events; False if they do not fit the response's head, which cuts the connection."""
        if self._http.our_state is h11.ERROR:
            return False  # it is cut already
        try:
            data = b"".join([self._http.send(event) or b"" for event in events])
        except h11.LocalProtocolError as error:
            log.error("response cut: it does not fit its head: %s", error)
            self._cut()
            return False
        self._write(data)
        return True

    def _closes_for_drain(self) -> bool:
        """Whether to announce the close: not while a later request waits, which is owed a response too."""
        return self._handler.is_draining() and not self._http.trailing_data[0]

    def _write(self, data: bytes) -> None:
        if data and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _response_complete(self) -> None:
        """Go on with the next request after a complete response, or closes."""
        self._request = None
        self._responding = False
        self._head = None
        self._pending_reply = None
        self._release_body()
        if (
            self._client_half_closed
            or self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            self._linger()
            return
        self._http.start_next_cycle()
        if self._transport is not None and not self._closed:
            self._transport.resume_reading()
            self._reading_paused = False
        self._become_idle()
        self._read_events()
        self._close_after_intake()

    def _close_after_intake(self) -> None:
        """Close though the response did not announce it. A request that crosses the close stays unread, so
        that its client may send it again.
        """
        next_request_arrived = bool(self._http.trailing_data[0])
        if self.idle and not next_request_arrived and self._handler.is_intake_closed():
            self._linger()
            if self._transport is not None:
                self._transport.pause_reading()

    def _reply_and_linger(self, reply: LocalReply) -> None:
        """Reply before the request was read completely, after which the connection has to be closed."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = reply.reason.encode() + b"\n"
            headers: list[Header] = [
                (b"content-type", b"text/plain"),
                (b"content-length", b"%d" % len(body)),
                (b"connection", b"close"),
            ]
            if reply.retry_after_ms is not None:
                headers.append((b"retry-after", b"%.3f" % (reply.retry_after_ms / 1000.0)))
            head = h11.Response(status_code=reply.status, headers=headers, reason=reason_phrase(reply.status))
            for event in (head, h11.Data(data=body), h11.EndOfMessage()):
                self._write(self._http.send(event) or b"")
        self._linger()

    def _linger(self) -> None:
        self._lingering = True
        self._head = None
        self._release_body()
        self.expires_at = self._loop.time() + LINGER_TIMEOUT_S
        if self._transport is None or self._closed:
            return
        if self._client_half_closed:
            self.close()
        elif self._transport.can_write_eof():
            self._transport.write_eof()

    def _release_body(self) -> None:
        self._handler.release_buffer(self._body_size)
        self._body.clear()
        self._body_size = 0


def reason_phrase(status: int) -> bytes:
    """The standard reason phrase of a status."""
    return REASON_PHRASES.get(status, b"Unknown")
