"""HTTP/2 server side of one client connection: a sans-I/O state machine that is fed bytes and the time.

States of a stream kept here (h2 keeps the states of RFC 9113 5.1 besides):

    RECEIVING  the head is received, the body is incomplete        -> PROCESSING, SENDING, removed
    PROCESSING the complete request was reported as RequestReady   -> SENDING, removed
    SENDING    the response waits for the client's flow control    -> removed

Output is produced in `output` alone: first the frames of h2, then DATA frames of responses, one frame per
stream in turn, by urgency. A stream is answered once; a reported stream that ends without a response is
reported as StreamAborted. Every wait is bounded: `next_deadline` says when to call `expire`.
"""

from collections.abc import Callable

from h2.config import H2Configuration
from h2.errors import ErrorCodes
from h2.events import (
    DataReceived,
    RemoteSettingsChanged,
    RequestReceived,
    StreamEnded,
    StreamReset,
    TrailersReceived,
    WindowUpdated,
)
from h2.events import Event as LibraryEvent
from h2.exceptions import ProtocolError, StreamClosedError
from h2.settings import SettingCodes
from hpack import HeaderTuple, NeverIndexedHeaderTuple
from hyperframe.frame import GoAwayFrame, SettingsFrame

from brackenusher.config.operators import Http2Settings
from brackenusher.core.message import MAX_BUFFERED_BODY_BYTES
from brackenusher.fronts.http import Headers, Rejection, RequestClassifier
from brackenusher.fronts.http2.frames import END_STREAM, PREFACE, Frame, FrameParser, FrameType, Http2Error
from brackenusher.fronts.http2.heads import (
    DEFAULT_URGENCY,
    check_trailers,
    malformed,
    parse_head,
    parse_urgency,
)
from brackenusher.fronts.http2.streams import (
    Counters,
    H2ServerConnection,
    MemoryBudget,
    RawHeaderDecoder,
    RequestReady,
    Stream,
    StreamAborted,
    StreamState,
)

# initial window of a stream, until memory for its whole body is reserved; a turn takes far less
INITIAL_WINDOW_BYTES = 4 * 1024
# bytes charged for an open stream; its objects take about as much
STREAM_OVERHEAD_BYTES = INITIAL_WINDOW_BYTES
TOKENS_PER_RESPONSE = 2.0  # per response: its WINDOW_UPDATE frames, or a reset that crosses it
# threshold for updating the connection window, which starts at 65,535 (6.9.2)
CONNECTION_WINDOW_UPDATE_BYTES = 16 * 1024
# bytes that a stream sends in its turn: the minimum of SETTINGS_MAX_FRAME_SIZE
MAX_DATA_FRAME_BYTES = 16 * 1024
# for a complete request, for a complete frame, and for a connection's first request
REQUEST_TIMEOUT_MS = 2_500.0
MEMORY_POLL_INTERVAL_MS = 50.0  # while streams wait for memory
STALLED_RESPONSE_MS = 1_000.0  # a response unread for longer may be dropped if others need the memory
# without streams after the first GOAWAY: longer than requests that crossed it are in flight
GOAWAY_GRACE_MS = 250.0
MAX_STREAM_ID = 2**31 - 1  # highest stream id
MAX_EARLY_PRIORITIES = 16  # PRIORITY_UPDATE frames kept for streams that are not open yet
ENCODED_BLOCK_FACTOR = 2  # maximum encoded block size, relative to the maximum header list size
# lists up to this multiple of the maximum are answered with 431; longer ones end the connection
HEADER_LIST_FACTOR = 4
Event = RequestReady | StreamAborted


class Http2Protocol:
    """Protocol state of one client connection. All times are in milliseconds of one clock."""

    def __init__(
        self,
        classifier: RequestClassifier,
        is_ready: Callable[[], bool],
        settings: Http2Settings,
        memory: MemoryBudget,
        counters: Counters,
        now: float,
    ) -> None:
        self.classifier, self.is_ready, self.settings = classifier, is_ready, settings
        # `charged`: bytes charged by this connection
        self.memory, self.counters, self.charged = memory, counters, 0
        self.charge_limit = settings.connection_kb * 1024
        self.reserved, self.reservation_limit = (
            0,
            max(self.charge_limit - settings.streams * STREAM_OVERHEAD_BYTES, MAX_BUFFERED_BODY_BYTES),
        )
        self.frame_parser = FrameParser(settings.frames, ENCODED_BLOCK_FACTOR * settings.head_bytes, now)
        self.out = bytearray()
        self.streams: dict[int, Stream] = {}
        self.receiving: dict[int, Stream] = {}  # receiving a request; oldest first
        self.sending: dict[int, Stream] = {}  # sending a response; oldest first
        self.awaiting_memory: dict[int, Stream] = {}  # whose window is to be opened, first come first served
        # streams ready to send, by urgency
        self.send_queues: list[dict[int, Stream]] = [{} for _ in range(8)]
        self.early_urgencies: dict[int, int] = {}  # urgencies of streams that are not open yet
        self.unreturned_window = 0  # bytes received and not yet returned to the connection window
        self.events: list[Event] = []
        self.had_request = False  # whether any request has arrived
        # first GOAWAY sent, final GOAWAY sent, GOAWAY received
        self.goaway_sent = self.closing = self.goaway_received = False
        self.finished = False  # input is ignored; only `out` is left to write
        self.idle_since: float | None = now  # since when there are no streams
        self.partial_frame_since: float | None = None  # since when a frame or header block is incomplete
        self.next_memory_check = now  # next check for free memory
        self.h2 = H2ServerConnection(
            H2Configuration(
                client_side=False,
                validate_inbound_headers=False,
                normalize_inbound_headers=False,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        self.header_decoder = RawHeaderDecoder(HEADER_LIST_FACTOR * settings.head_bytes)
        self.h2.decoder = self.header_decoder
        self.send_settings()

    def send_settings(self) -> None:
        """Send SETTINGS, and configure h2 with the parts that it needs.

        h2 would close the connection for too many streams; here they are reset with REFUSED_STREAM. The
        initial window applies only once the client has acknowledged it: until then it may send more.
        """
        self.h2.initiate_connection()
        self.h2.clear_outbound_data_buffer()
        local_settings = self.h2.local_settings
        local_settings.max_concurrent_streams = MAX_STREAM_ID
        local_settings.max_header_list_size = HEADER_LIST_FACTOR * self.settings.head_bytes
        local_settings.acknowledge()
        local_settings.initial_window_size = INITIAL_WINDOW_BYTES
        frame = SettingsFrame(0)
        frame.settings = {
            SettingCodes.MAX_CONCURRENT_STREAMS: self.settings.streams,
            SettingCodes.INITIAL_WINDOW_SIZE: INITIAL_WINDOW_BYTES,
            SettingCodes.MAX_HEADER_LIST_SIZE: self.settings.head_bytes,
            0x9: 1,  # SETTINGS_NO_RFC7540_PRIORITIES (RFC 9218 2.1)
        }
        self.out += frame.serialize()
        self.h2.receive_data(PREFACE)

    # input

    def receive(self, data: bytes | memoryview, now: float) -> list[Event]:
        """Feed bytes; returns the resulting events in order. Input is ignored once the connection is over."""
        if self.finished:
            return []
        try:
            for frame in self.frame_parser.feed(data, now):
                self.handle_frame(frame, now)
        except Http2Error as violation:
            self.connection_error(violation.code, violation.reason)
        except ProtocolError as error:  # h2 has already produced a GOAWAY
            self.collect_output()
            self.terminate(int(error.error_code))
        self.update_windows()
        self.collect_output()
        if self.frame_parser.is_between_frames:
            self.partial_frame_since = None
        elif self.partial_frame_since is None:
            self.partial_frame_since = now
        self.update_state(now)
        return self.take_events()

    def take_events(self) -> list[Event]:
        """Take the pending events. A request reset within the same read is dropped: it was never reported."""
        events, self.events = self.events, []
        aborted = {event.stream_id for event in events if isinstance(event, StreamAborted)}
        if aborted:
            unreported = aborted & {event.stream_id for event in events if isinstance(event, RequestReady)}
            events = [event for event in events if event.stream_id not in unreported]
        return events

    def handle_frame(self, frame: Frame, now: float) -> None:
        kind, stream_id = frame.kind, frame.stream_id
        stream = self.streams.get(stream_id)
        if kind == FrameType.PRIORITY:
            if len(frame.payload) != 5:
                self.reset_stream(stream_id, ErrorCodes.FRAME_SIZE_ERROR)
            return
        if kind == FrameType.PRIORITY_UPDATE:
            self.update_priority(frame.payload)
            return
        if kind == FrameType.GOAWAY:  # h2 would send nothing more, though responses are due
            self.goaway_received = True
            return
        if kind == FrameType.RST_STREAM and self.is_idle_stream(stream_id):
            raise Http2Error(ErrorCodes.PROTOCOL_ERROR, "a stream that never was is reset")
        if (
            kind == FrameType.WINDOW_UPDATE
            and stream_id
            and not int.from_bytes(frame.payload, "big") & MAX_STREAM_ID
        ):
            self.reset_stream(stream_id, ErrorCodes.PROTOCOL_ERROR)
            return
        if kind == FrameType.DATA and stream is None and not self.is_idle_stream(stream_id):
            self.limit_closed_stream_data(now)
        if (
            kind == FrameType.HEADERS
            and stream is not None
            and not stream.input_ended
            and not frame.flags & END_STREAM
        ):
            frame.flags |= END_STREAM  # malformed trailers, for which h2 would close the connection (8.1)
            stream.malformed = True
        for event in self.h2.receive_data(frame.serialize()):
            self.handle_event(event, now)

    def is_idle_stream(self, stream_id: int) -> bool:
        """Whether a stream was never opened; the server opens none."""
        return stream_id % 2 == 0 or stream_id > self.h2.highest_inbound_stream_id

    def limit_closed_stream_data(self, now: float) -> None:
        """Rate-limit DATA frames on closed streams, which h2 answers with RST_STREAM."""
        if not self.frame_parser.rate_limiter.take(now):
            raise Http2Error(ErrorCodes.ENHANCE_YOUR_CALM, "too much comes on streams that are gone")

    def handle_event(self, event: LibraryEvent, now: float) -> None:
        if isinstance(event, RequestReceived):
            self.open_stream(event.stream_id, event.stream_ended is not None, now)
        elif isinstance(event, DataReceived):
            self.receive_data(event, now)
        elif isinstance(event, TrailersReceived):
            self.receive_trailers(event.stream_id)
        elif isinstance(event, StreamEnded):
            self.finish_request(event.stream_id, now)
        elif isinstance(event, StreamReset):
            if event.remote_reset and event.stream_id in self.streams:
                self.counters.reset += 1
            self.remove_stream(event.stream_id)
        elif isinstance(event, WindowUpdated):
            if event.stream_id in self.sending:
                self.enqueue(self.sending[event.stream_id])
        elif isinstance(event, RemoteSettingsChanged):
            for stream in self.sending.values():
                self.enqueue(stream)

    def open_stream(self, stream_id: int, ended: bool, now: float) -> None:
        """A request head was received; `ended` if no body follows."""
        self.counters.streams += 1
        if (
            self.closing
            or len(self.streams) >= self.settings.streams
            or not self.fits_memory(STREAM_OVERHEAD_BYTES)
        ):
            self.refuse_stream(stream_id)
            return
        self.had_request, self.idle_since = True, None
        stream = Stream(
            stream_id, now, self.early_urgencies.pop(stream_id, DEFAULT_URGENCY), input_ended=ended
        )
        self.streams[stream_id] = self.receiving[stream_id] = stream
        self.charge(stream, STREAM_OVERHEAD_BYTES)
        head = parse_head(self.header_decoder.headers, self.classifier, self.settings.head_bytes)
        if isinstance(head, Rejection):
            stream.malformed = head.fatal
            self.reject(stream, head, now)
            return
        stream.head = head
        if stream.urgency == DEFAULT_URGENCY:
            stream.urgency = head.urgency
        if head.expects_continue:
            message = head.message
            message.headers = [pair for pair in message.headers if pair[0] != b"expect"]
            if not ended:
                self.h2.send_headers(stream_id, [HeaderTuple(b":status", b"100")])

    def receive_data(self, event: DataReceived, now: float) -> None:
        """Body data was received; its window is returned once memory allows."""
        flow_controlled, data = event.flow_controlled_length or 0, event.data or b""
        self.unreturned_window += flow_controlled
        stream = self.receiving.get(event.stream_id)
        if stream is None:  # already answered
            return
        stream.unreturned_window += flow_controlled
        stream.input_ended = event.stream_ended is not None
        stream.body += data
        size, length = len(stream.body), stream.head.content_length if stream.head else None
        if size > MAX_BUFFERED_BODY_BYTES:
            self.reject(stream, Rejection(413, "the body is too large"), now)
        elif length is not None and size > length:
            stream.malformed = True
            self.reject(stream, malformed("the body has another length"), now)
        elif size > INITIAL_WINDOW_BYTES and not self.reserve_body(stream):
            self.refuse_stream(stream.id)  # the client has not seen the initial window yet
        elif not stream.input_ended and stream.unreturned_window >= INITIAL_WINDOW_BYTES // 2:
            self.awaiting_memory.setdefault(stream.id, stream)

    def receive_trailers(self, stream_id: int) -> None:
        stream = self.receiving.get(stream_id)
        if stream is not None and check_trailers(self.header_decoder.headers) is not None:
            stream.malformed = True

    def finish_request(self, stream_id: int, now: float) -> None:
        """The client has ended a stream."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return
        stream.input_ended = True
        self.awaiting_memory.pop(stream_id, None)
        if stream.state is not StreamState.RECEIVING or stream.head is None:
            return
        del self.receiving[stream_id]
        head = stream.head
        if stream.malformed:
            self.reject(stream, malformed("the trailers are malformed"), now)
        elif head.content_length is not None and head.content_length != len(stream.body):
            self.reject(stream, malformed("the body has another length"), now)
        else:
            head.message.body = bytes(stream.body)
            stream.body = bytearray()
            self.charge(stream, STREAM_OVERHEAD_BYTES + len(head.message.body) - stream.charged)
            self.reserve(stream, -stream.reserved)
            item = self.classifier.classify(head.message, head.header_map, self.is_ready)
            if isinstance(item, Rejection):
                self.reject(stream, item, now)
            else:
                stream.state = StreamState.PROCESSING
                self.events.append(RequestReady(stream_id, item))

    def update_priority(self, payload: bytes) -> None:
        """PRIORITY_UPDATE (RFC 9218 7.1)."""
        stream_id = int.from_bytes(payload[:4], "big") & MAX_STREAM_ID
        if stream_id == 0 or stream_id % 2 == 0:
            raise Http2Error(ErrorCodes.PROTOCOL_ERROR, "a PRIORITY_UPDATE names no stream of the client's")
        stream = self.streams.get(stream_id)
        if stream is not None:
            queued = self.send_queues[stream.urgency].pop(stream_id, None)
            stream.urgency = parse_urgency(payload[4:])
            if queued:
                self.enqueue(stream)
        elif self.is_idle_stream(stream_id) and (
            stream_id in self.early_urgencies or len(self.early_urgencies) < MAX_EARLY_PRIORITIES
        ):
            self.early_urgencies[stream_id] = parse_urgency(payload[4:])

    # memory

    @property
    def memory_exhausted(self) -> bool:
        """Whether the memory limit is reached, of the connection or overall."""
        return self.charged >= self.charge_limit or self.memory.used >= self.memory.limit

    def fits_memory(self, size: int) -> bool:
        return self.charged + size <= self.charge_limit and self.memory.used + size <= self.memory.limit

    def reserve_body(self, stream: Stream) -> bool:
        """Reserve memory for a whole body, if available. All or nothing, so that streams cannot deadlock."""
        if not stream.body_reserved and stream.head is not None:
            size = (
                MAX_BUFFERED_BODY_BYTES if stream.head.content_length is None else stream.head.content_length
            )
            size = len(stream.body) if stream.input_ended else size
            needed = max(size - INITIAL_WINDOW_BYTES, 0)
            available = min(
                self.reservation_limit - self.reserved, self.memory.reservation_limit - self.memory.reserved
            )
            if needed > available or not self.fits_memory(needed):
                return False
            self.charge(stream, needed)
            self.reserve(stream, needed)
            stream.body_reserved = True
            stream.unreturned_window += MAX_BUFFERED_BODY_BYTES
        return True

    def reserve(self, stream: Stream, size: int) -> None:
        stream.reserved += size
        self.reserved += size
        self.memory.reserved += size

    def charge(self, stream: Stream, size: int) -> None:
        stream.charged += size
        self.charged += size
        self.memory.add(size)

    def update_windows(self) -> None:
        """Send window updates. The connection window is always returned: the stream windows are the bound."""
        if self.finished:
            return
        if self.unreturned_window >= CONNECTION_WINDOW_UPDATE_BYTES:
            self.h2.increment_flow_control_window(self.unreturned_window)
            self.unreturned_window = 0
        while self.awaiting_memory:
            stream_id, stream = next(iter(self.awaiting_memory.items()))
            if not self.reserve_body(stream):
                return
            self.h2.increment_flow_control_window(stream.unreturned_window, stream_id)
            stream.unreturned_window = 0
            del self.awaiting_memory[stream_id]

    # output

    def answer(self, stream_id: int, status: int, body: bytes, headers: Headers, now: float) -> None:
        """Answer a stream; ignored if the stream has ended."""
        stream = self.streams.get(stream_id)
        if self.finished or stream is None or stream.state is StreamState.SENDING:
            return
        self.receiving.pop(stream_id, None)
        self.awaiting_memory.pop(stream_id, None)
        stream.state, stream.phase_started_at, stream.body = StreamState.SENDING, now, bytearray()
        encoded = [HeaderTuple(b":status", b"%d" % status)]
        encoded += [
            (NeverIndexedHeaderTuple if name == b"retry-after" else HeaderTuple)(name, value)
            for name, value in headers
        ]
        # rarely repeated values would evict useful entries from the HPACK table
        encoded.append(NeverIndexedHeaderTuple(b"content-length", b"%d" % len(body)))
        if stream.head is not None and stream.head.message.method == b"HEAD":
            body = b""
        self.h2.send_headers(stream_id, encoded, end_stream=not body)
        if not body:
            self.finish_response(stream)
            return
        stream.unsent = memoryview(body)
        self.charge(stream, len(body))
        self.sending[stream_id] = stream
        self.enqueue(stream)

    def reject(self, stream: Stream, rejection: Rejection, now: float) -> None:
        """Answer with a rejection."""
        self.answer(stream.id, rejection.status, rejection.text.encode() + b"\n", rejection.headers, now)

    def drop_stalled_responses(self, now: float) -> None:
        """Drop responses that clients do not read, oldest first, while the memory limit is reached."""
        while self.memory_exhausted and self.sending:
            stream = next(iter(self.sending.values()))
            if stream.phase_started_at + STALLED_RESPONSE_MS > now:
                return
            self.counters.stalled += 1
            self.reset_stream(stream.id, ErrorCodes.ENHANCE_YOUR_CALM)

    def enqueue(self, stream: Stream) -> None:
        self.send_queues[stream.urgency].setdefault(stream.id, stream)

    def output(self, max_bytes: int, now: float) -> bytes:
        """Bytes to write next: about `max_bytes`, or fewer if windows are exhausted or all is sent."""
        self.collect_output()
        if not self.finished:
            for queue in self.send_queues:
                while queue and len(self.out) < max_bytes and self.h2.outbound_flow_control_window > 0:
                    self.send_frame(queue)
            self.update_state(now)
        data = bytes(self.out[:max_bytes])
        del self.out[:max_bytes]
        return data

    def send_frame(self, queue: dict[int, Stream]) -> None:
        """Send one DATA frame of the first stream in the queue, if its window allows."""
        stream_id = next(iter(queue))
        stream = queue.pop(stream_id)
        size = min(self.h2.local_flow_control_window(stream_id), MAX_DATA_FRAME_BYTES, len(stream.unsent))
        if size <= 0:
            return  # queued again once its window opens
        chunk, stream.unsent = stream.unsent[:size], stream.unsent[size:]
        self.h2.send_data(stream_id, bytes(chunk), end_stream=not stream.unsent)
        self.collect_output()
        if stream.unsent:
            queue[stream_id] = stream
        else:
            self.finish_response(stream)

    def finish_response(self, stream: Stream) -> None:
        """The response is sent; a client that is still sending the request is told to stop (8.1)."""
        self.frame_parser.rate_limiter.add(TOKENS_PER_RESPONSE)
        if not stream.input_ended:
            code = ErrorCodes.PROTOCOL_ERROR if stream.malformed else ErrorCodes.NO_ERROR
            self.h2.reset_stream(stream.id, code)
        self.remove_stream(stream.id)

    def collect_output(self) -> None:
        self.out += self.h2.data_to_send()

    # termination

    def remove_stream(self, stream_id: int) -> None:
        """Remove a stream."""
        stream = self.streams.pop(stream_id, None)
        if stream is None:
            return
        self.charge(stream, -stream.charged)
        self.reserve(stream, -stream.reserved)
        for table in (self.receiving, self.sending, self.awaiting_memory, self.send_queues[stream.urgency]):
            table.pop(stream_id, None)
        if stream.state is StreamState.PROCESSING:
            self.events.append(StreamAborted(stream_id))

    def reset_stream(self, stream_id: int, code: ErrorCodes) -> None:
        if self.is_idle_stream(stream_id):
            raise Http2Error(code, "a frame on a stream that never was")
        try:
            self.h2.reset_stream(stream_id, code)
        except StreamClosedError:
            pass  # already closed
        self.remove_stream(stream_id)

    def refuse_stream(self, stream_id: int) -> None:
        """Reset a stream as not processed, so that the client may retry it (8.7)."""
        self.counters.refused += 1
        self.h2.reset_stream(stream_id, ErrorCodes.REFUSED_STREAM)
        self.remove_stream(stream_id)

    def send_goaway(self, last_stream_id: int, code: int = ErrorCodes.NO_ERROR, reason: str = "") -> None:
        """Write a GOAWAY without h2, which would accept no input after sending one."""
        self.collect_output()
        self.out += GoAwayFrame(0, last_stream_id, code, reason.encode()).serialize()

    def announce_shutdown(self, now: float) -> None:
        """Send the first GOAWAY of a graceful shutdown; streams opened meanwhile are served (6.8)."""
        if not self.goaway_sent and not self.finished:
            self.goaway_sent = True
            if self.idle_since is not None:
                self.idle_since = now
            self.send_goaway(MAX_STREAM_ID)

    def close(self, now: float) -> None:
        """Refuse new streams; the connection is over once all open streams are answered."""
        if not self.closing and not self.finished:
            self.goaway_sent = self.closing = True
            self.send_goaway(self.h2.highest_inbound_stream_id)
            self.update_state(now)

    def refuse_incomplete(self, now: float) -> None:
        """Refuse the requests still being received: they were not processed."""
        if not self.finished:
            for stream_id in list(self.receiving):
                self.refuse_stream(stream_id)
            self.update_state(now)

    def update_state(self, now: float) -> None:
        """Update the idle state, and end the connection if it is closing and has no streams."""
        if self.streams:
            self.idle_since = None
            return
        if self.idle_since is None:
            self.idle_since = now
        if (self.closing or self.goaway_received) and not self.finished:
            self.collect_output()
            if not self.closing:
                self.send_goaway(self.h2.highest_inbound_stream_id)
            self.finished = True

    def connection_error(self, code: int, reason: str) -> None:
        """Close the connection for an error."""
        if code == ErrorCodes.ENHANCE_YOUR_CALM:
            self.counters.floods += 1
            self.counters.errors -= 1
        self.send_goaway(self.h2.highest_inbound_stream_id, code, reason)
        self.terminate(code)

    def terminate(self, code: int) -> None:
        self.counters.errors += 1
        self.finished, self.frame_parser.buffer = True, bytearray()
        self.remove_all_streams()

    def remove_all_streams(self) -> None:
        """Remove all streams, as the connection has ended."""
        for stream_id in list(self.streams):
            self.remove_stream(stream_id)

    # time

    def next_deadline(self) -> float:
        """When `expire` must be called at the latest."""
        if self.finished:
            return float("inf")
        times = (
            [next(iter(self.receiving.values())).phase_started_at + REQUEST_TIMEOUT_MS]
            if self.receiving
            else []
        )
        if self.sending:
            times.append(next(iter(self.sending.values())).phase_started_at + self.settings.answer_ms)
        if self.partial_frame_since is not None:
            times.append(self.partial_frame_since + REQUEST_TIMEOUT_MS)
        if self.idle_since is not None:
            times.append(self.idle_since + self.idle_timeout_ms)
        if self.awaiting_memory or self.sending and self.memory_exhausted:
            times.append(self.next_memory_check)
        return min(times, default=float("inf"))

    @property
    def idle_timeout_ms(self) -> float:
        """How long the connection is kept without streams."""
        if self.goaway_sent:
            return GOAWAY_GRACE_MS
        return self.settings.idle_ms if self.had_request else REQUEST_TIMEOUT_MS

    def expire(self, now: float) -> list[Event]:
        """Handle all deadlines that have passed."""
        if self.finished:
            return self.take_events()
        while (
            self.receiving
            and (stream := next(iter(self.receiving.values()))).phase_started_at + REQUEST_TIMEOUT_MS <= now
        ):
            self.counters.timed_out += 1
            self.reject(stream, Rejection(408, "the request took too long"), now)
        limit = now - self.settings.answer_ms
        while self.sending and (stream := next(iter(self.sending.values()))).phase_started_at <= limit:
            self.counters.stalled += 1
            self.reset_stream(stream.id, ErrorCodes.CANCEL)
        self.drop_stalled_responses(now)
        self.update_windows()
        self.next_memory_check = now + MEMORY_POLL_INTERVAL_MS
        if self.partial_frame_since is not None and self.partial_frame_since + REQUEST_TIMEOUT_MS <= now:
            self.connection_error(ErrorCodes.PROTOCOL_ERROR, "a frame takes too long")
        elif self.idle_since is not None and self.idle_since + self.idle_timeout_ms <= now:
            self.close(now)
        self.update_state(now)
        return self.take_events()
