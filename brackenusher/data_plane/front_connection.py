"""One HTTP/1.1 connection of a client: reads requests whole, one at a time, and writes their answers.

It knows the wire and the limits on it; what a request means is its handler's. After a fault of the client it
answers once and reads away what still comes, so that no reset takes the answer.
"""

import asyncio
import logging
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import h11

from barleybarrow.documents import ClientLimits, Configuration, Route, Tenant
from brackenusher.data_plane.headers import Header, RequestFacts, read_request_facts

log = logging.getLogger(__name__)

REQUEST_LINE_BYTES = 8 * 1024  # allowed beside MaxHeaderBytes, which may mean the fields alone
DEFAULT_HEAD_BYTES = 64 * 1024  # before a configuration states MaxHeaderBytes
MAX_PIPELINED_BYTES = 64 * 1024  # of later requests, kept while one is answered; then reading pauses
WRITE_HIGH_WATER_BYTES = 64 * 1024  # unsent bytes of an answer; above, the server's connection is not read
FLUSH_S = 5.0  # how long a client may take to read the last bytes of an answer once its connection closes
LINGER_S = 1.0  # how long what a refused client still sends is read away
NEVER = float("inf")
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class RequestHead:
    """A request's head as it was read, and what the handler found for it."""

    method: bytes
    target: bytes
    headers: list[Header]
    facts: RequestFacts
    arrived_at: float  # seconds on the loop's clock
    configuration: Configuration | None = None  # with which the following were found
    route: Route | None = None
    tenant: Tenant | None = None


class RequestInProgress(Protocol):
    """A request that was handed over, as its client's connection sees it."""

    def leave(self) -> None:
        """The client is gone."""

    def pause(self) -> None:
        """The client reads too slowly."""

    def resume(self) -> None:
        """The client has caught up."""

    def client_ended(self) -> None:
        """The client sends no more: it waits for its answer, or it is gone."""


@dataclass(slots=True)
class OwnAnswer:
    """An answer of the proxy's own."""

    status: int
    reason: str
    retry_after_ms: float | None = None


class RequestHandler(Protocol):
    """The proxy, as a client's connection sees it."""

    def front_limits(self) -> ClientLimits:
        """Bounds on what a client may send; 0: none."""

    def is_leaving(self) -> bool:
        """Whether connections are to be closed after their answer."""

    def check_head(self, head: RequestHead) -> OwnAnswer | None:
        """What stands against this request already, if anything."""

    def may_buffer(self, size: int) -> bool:
        """Whether there is memory for so many further bytes of bodies; counts them if so."""

    def buffered(self, size: int) -> None:
        """So many bytes of bodies are given back."""

    def handle(
        self, connection: "FrontConnection", head: RequestHead, body: bytes
    ) -> RequestInProgress | None:
        """A request was read, whole. None: it has its answer already."""

    def front_opened(self, connection: "FrontConnection") -> None:
        """A client has connected."""

    def front_closed(self, connection: "FrontConnection") -> None:
        """A client's connection is gone."""


class FrontConnection(asyncio.Protocol):
    """A client's connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handler: RequestHandler) -> None:
        self.expires_at = NEVER  # seconds on the loop's clock: when `expire` is to be called
        self.rested_at = 0.0  # seconds on the loop's clock: since when nothing was under way
        self._loop = loop
        self._handler = handler
        self._limits = handler.front_limits()
        self._max_head_bytes = most_head_bytes(self._limits)
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=self._max_head_bytes)
        self._transport: asyncio.Transport | None = None
        self._head: RequestHead | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._refusal: OwnAnswer | None = None  # what a request gets once it is read
        self._request: RequestInProgress | None = None
        self._answering = False  # a request was handed over and has not had its whole answer
        self._reading = False  # inside `_read_events`
        self._client_ended = False
        self._lingering = False
        self._resting = True  # no byte of the next request has come
        self._closing = False  # no more is written
        self._closed = False

    # From the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._rest()
        self._handler.front_opened(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of the client."""
        if self._lingering or self._closed:
            return
        self._http.receive_data(data)
        if self._answering:
            self._bound_pipelined()
        else:
            self._read_events()

    def eof_received(self) -> bool:
        """The client sends no more; it still gets the answer that it waits for."""
        self._client_ended = True
        if self._lingering or self._closed:
            return False
        self._http.receive_data(b"")
        if not self._answering:
            self._read_events()
        elif self._request is not None:
            self._request.client_ended()
        return self._answering

    def connection_lost(self, exception: Exception | None) -> None:
        """The connection is gone."""
        self._closed = True
        self.expires_at = NEVER
        self._forget_body()
        request, self._request = self._request, None
        self._handler.front_closed(self)
        if request is not None:
            request.leave()

    def pause_writing(self) -> None:
        """The client reads too slowly."""
        if self._request is not None:
            self._request.pause()

    def resume_writing(self) -> None:
        """The client has caught up."""
        if self._request is not None:
            self._request.resume()

    # From the proxy

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._lingering or (self._resting and not self._answering and self._head is None)

    def close(self) -> None:
        """Close after what was written."""
        if self._transport is not None and not self._closed and not self._closing:
            self._lingering = self._closing = True
            self._transport.close()
            self.expires_at = self._loop.time() + FLUSH_S

    def expire(self) -> None:
        """The time for what the client was to do is over."""
        self.expires_at = NEVER
        begun = self._head is not None or bool(self._http.trailing_data[0])
        if self._closing:
            self.abort()
        elif self._lingering or not begun or self._answering:
            self.close()
        else:
            self._refuse_at_once(OwnAnswer(408, "the request was not sent in time"))

    # From the exchange

    def send_head(self, status: int, headers: list[Header]) -> None:
        """The head of an answer whose body follows."""
        self._write(self._encode_head(status, headers))

    def send_body(self, data: bytes) -> None:
        """Bytes of the body."""
        self._write(self._http.send(h11.Data(data=data)) or b"")

    def send_end(self) -> None:
        """The answer is whole."""
        self._write(self._http.send(h11.EndOfMessage()) or b"")
        self._answered()

    def send_whole(self, status: int, headers: list[Header], body: bytes) -> None:
        """A whole answer at once."""
        parts = [self._encode_head(status, headers)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        self._write(b"".join(parts))
        self._answered()

    def send_own(self, status: int, reason: str, retry_after_ms: float | None = None) -> None:
        """A whole answer of the proxy's own."""
        body = reason.encode() + b"\n"
        headers: list[Header] = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(body))]
        if retry_after_ms is not None:
            headers.append((b"retry-after", b"%.3f" % (max(0.0, retry_after_ms) / 1000.0)))
        is_head = self._head is not None and self._head.method == b"HEAD"
        self.send_whole(status, headers, b"" if is_head else body)

    def abort(self) -> None:
        """Cut the connection: what was sent is not a whole answer."""
        self._request = None
        if self._transport is not None and not self._closed:
            self._transport.abort()

    # Inner steps: reading

    def _read_events(self) -> None:
        if self._reading:
            return
        self._reading = True
        try:
            while not self._answering and not self._lingering and not self._closed:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._await_more()
                    break
                self._take(event)
        except h11.RemoteProtocolError as error:
            self._refuse_at_once(OwnAnswer(error.error_status_hint or 400, str(error)))
        finally:
            self._reading = False

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._take_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._take_end()
        elif isinstance(event, h11.ConnectionClosed):
            self.close()

    def _take_head(self, request: h11.Request) -> None:
        headers = list(request.headers)
        facts = read_request_facts(headers)
        self._head = RequestHead(request.method, request.target, headers, facts, self._loop.time())
        fault = self._head_fault(request, facts)
        if fault is not None:
            self._refuse_at_once(fault)
            return
        self._refusal = self._handler.check_head(self._head)
        if self._http.they_are_waiting_for_100_continue:
            if self._refusal is not None:
                self._refuse_at_once(self._refusal)
            else:
                self._write(self._http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")

    def _head_fault(self, request: h11.Request, facts: RequestFacts) -> OwnAnswer | None:
        if facts.chunked and facts.content_length is not None:
            return OwnAnswer(400, "both Content-Length and Transfer-Encoding")
        if facts.chunked and request.http_version < b"1.1":
            return OwnAnswer(400, "Transfer-Encoding in HTTP/1.0")
        if facts.has_two_ids:
            return OwnAnswer(400, "more than one X-Brackenusher-Request-Id")
        if request.method == b"CONNECT":
            return OwnAnswer(400, "CONNECT is not served")
        size = len(request.target) + sum(len(name) + len(value) + 4 for name, value in request.headers)
        if size > self._max_head_bytes:
            return OwnAnswer(431, "the head exceeds MaxHeaderBytes")
        limit = self._limits.max_body_bytes
        if limit and facts.content_length is not None and facts.content_length > limit:
            return OwnAnswer(413, "the body exceeds MaxBodyBytes")
        return None

    def _take_body(self, data: bytes) -> None:
        if self._refusal is not None:
            return
        limit = self._limits.max_body_bytes
        if limit and self._body_size + len(data) > limit:
            self._refuse_at_once(OwnAnswer(413, "the body exceeds MaxBodyBytes"))
        elif not self._handler.may_buffer(len(data)):
            self._forget_body()
            self._refusal = OwnAnswer(503, "no memory for the body", 1000.0)
        else:
            self._body.append(data)
            self._body_size += len(data)

    def _take_end(self) -> None:
        assert self._head is not None
        head, refusal = self._head, self._refusal
        body = b"".join(self._body)
        self._body.clear()  # its size stays counted until the answer is whole
        self._answering = True
        self.expires_at = NEVER
        if refusal is not None:
            self.send_own(refusal.status, refusal.reason, refusal.retry_after_ms)
            return
        request = self._handler.handle(self, head, body)
        if self._answering:
            self._request = request

    def _await_more(self) -> None:
        """Set the time by which the client has to go on."""
        now = self._loop.time()
        if self._head is not None:  # inside a body: some of it has to come
            self.expires_at = now + (self._limits.idle_timeout_ms / 1000.0 or NEVER)
        elif self._http.trailing_data[0]:
            if self.expires_at == NEVER or self._resting:
                self._resting = False
                self.expires_at = now + (self._limits.header_timeout_ms / 1000.0 or NEVER)

    def _rest(self) -> None:
        """Nothing is under way: the client may begin a request within the idle time."""
        self._resting = True
        self._limits = self._handler.front_limits()
        self._max_head_bytes = most_head_bytes(self._limits)
        self.rested_at = self._loop.time()
        self.expires_at = self.rested_at + (self._limits.idle_timeout_ms / 1000.0 or NEVER)

    def _bound_pipelined(self) -> None:
        if len(self._http.trailing_data[0]) > MAX_PIPELINED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    # Inner steps: writing

    def _encode_head(self, status: int, headers: list[Header]) -> bytes:
        headers = list(headers)
        if self._handler.is_leaving() or self._client_ended:
            headers.append((b"connection", b"close"))
        elif self._limits.idle_timeout_ms >= 1000:
            headers.append((b"keep-alive", b"timeout=%d" % (self._limits.idle_timeout_ms // 1000)))
        return (
            self._http.send(h11.Response(status_code=status, headers=headers, reason=reason_phrase(status)))
            or b""
        )

    def _write(self, data: bytes) -> None:
        if data and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _answered(self) -> None:
        """The answer is whole: go on with the next request, or close."""
        self._request = None
        self._answering = False
        self._head = None
        self._refusal = None
        self._forget_body()
        if (
            self._client_ended
            or self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            self._linger()
            return
        self._http.start_next_cycle()
        if self._transport is not None and not self._closed:
            self._transport.resume_reading()
        self._rest()
        self._read_events()

    def _refuse_at_once(self, answer: OwnAnswer) -> None:
        """Answer before the request was read whole; then the connection can only be closed."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = answer.reason.encode() + b"\n"
            headers: list[Header] = [
                (b"content-type", b"text/plain"),
                (b"content-length", b"%d" % len(body)),
                (b"connection", b"close"),
            ]
            if answer.retry_after_ms is not None:
                headers.append((b"retry-after", b"%.3f" % (answer.retry_after_ms / 1000.0)))
            head = h11.Response(
                status_code=answer.status, headers=headers, reason=reason_phrase(answer.status)
            )
            for part in (head, h11.Data(data=body), h11.EndOfMessage()):
                self._write(self._http.send(part) or b"")
        self._linger()

    def _linger(self) -> None:
        self._lingering = True
        self._head = None
        self._forget_body()
        self.expires_at = self._loop.time() + LINGER_S
        if self._transport is None or self._closed:
            return
        if self._client_ended:
            self.close()
        elif self._transport.can_write_eof():
            self._transport.write_eof()

    def _forget_body(self) -> None:
        self._handler.buffered(self._body_size)
        self._body.clear()
        self._body_size = 0


def most_head_bytes(limits: ClientLimits) -> int:
    """How large a request's head may be, with its request line."""
    if not limits.max_header_bytes:
        return DEFAULT_HEAD_BYTES
    return limits.max_header_bytes + REQUEST_LINE_BYTES


def reason_phrase(status: int) -> bytes:
    """The usual words behind a status."""
    return REASON_PHRASES.get(status, b"Unknown")
