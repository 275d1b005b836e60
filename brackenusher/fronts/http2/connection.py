"""One client connection of HTTP/2: a machine that is fed bytes and told the time, and knows no socket.

A stream's life, as kept here (h2 keeps the states of RFC 9113 5.1 beside it):

    COMING     its head is here, its body is not whole          -> ASKED, SENDING, gone
    ASKED      its request was handed out with `Asked`          -> SENDING, gone
    SENDING    its answer waits for the client's windows        -> gone

What goes out is made in `output` alone: first what h2 has to say, then frames of answers, one a stream in
turn, the more urgent first. An answer is given once; a stream that ends without one is told of with `Gone`,
if it was handed out. Nothing here waits for ever: `due` says when `expire` is to be called.
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
from brackenusher.core.message import LONGEST_BODY
from brackenusher.fronts.http import Front, Headers, Rejection
from brackenusher.fronts.http2.frames import END_STREAM, PREFACE, Frame, Gate, Http2Error, Kind
from brackenusher.fronts.http2.heads import (
    USUAL_URGENCY,
    malformed,
    read_head,
    read_trailers,
    urgency,
)
from brackenusher.fronts.http2.streams import Asked, Counts, Gone, Held, Library, Reader, State, Stream

WINDOW = 4 * 1024  # bytes a stream may send before there is room for its whole body: a turn takes far less
STREAM = WINDOW  # bytes counted for a stream from its head on; what it is made of takes about as much
EARNED = 2.0  # frames that ask for nothing and come with an answer: windows, or a reset that crosses it
CONNECTION_GRANT = 16 * 1024  # the same of the connection, whose window is 65,535 at the start (6.9.2)
FRAME = 16 * 1024  # bytes of an answer that one stream sends in its turn: the least that every client takes
REQUEST_TIME = 2_500.0  # ms in which a request must be whole, a frame too, and a connection's first must come
POLL = 50.0  # ms after which it is looked again whether there is room to take more
HARDLY = 1_000.0  # ms: an answer that waits longer than this may be dropped where others need its room
PARTING_TIME = 250.0  # ms without a stream after the first GOAWAY: longer than what it crossed is on its way
HIGHEST = 2**31 - 1  # the highest id of a stream
MOST_EARLY = 16  # PRIORITY_UPDATE frames kept for streams that are to come
SHARE_OF_BLOCK = 2  # an encoded header block may be so many times as long as the list that is taken
SPARE_LIST = 4  # a list so many times too long is still answered 431; beyond, the connection ends
Event = Asked | Gone


class Connection:
    """One client connection. All times are in milliseconds of one clock."""

    def __init__(
        self,
        front: Front,
        ready: Callable[[], bool],
        settings: Http2Settings,
        held: Held,
        counts: Counts,
        now: float,
    ) -> None:
        self.front, self.ready, self.settings = front, ready, settings
        self.held, self.counts, self.own = held, counts, 0  # `own`: bytes held for this connection
        self.most_own = settings.connection_kb * 1024
        self.aside, self.most_aside = 0, max(self.most_own - settings.streams * STREAM, LONGEST_BODY)
        self.gate = Gate(settings.frames, SHARE_OF_BLOCK * settings.head_bytes, now)
        self.out = bytearray()
        self.streams: dict[int, Stream] = {}
        self.coming: dict[int, Stream] = {}  # whose request is not whole; the oldest first
        self.sending: dict[int, Stream] = {}  # whose answer is not sent; the oldest first
        self.waiting: dict[int, Stream] = {}  # whose window is to be opened, the first first
        self.queues: list[dict[int, Stream]] = [{} for _ in range(8)]  # whose turn it is, by urgency
        self.early: dict[int, int] = {}  # urgencies of streams that are to come
        self.owed = 0  # bytes taken, for which the connection's window was not opened again
        self.events: list[Event] = []
        self.asked = False  # a request came
        self.announced = self.closing = self.parting = False  # GOAWAY sent, the last one sent, one received
        self.over = False  # nothing more is read; what is in `out` is the last
        self.rested_at: float | None = now  # since when there is no stream
        self.cut_at: float | None = None  # since when a frame is not whole
        self.polled_at = now  # when it is looked next whether there is room
        self.h2 = Library(
            H2Configuration(
                client_side=False,
                validate_inbound_headers=False,
                normalize_inbound_headers=False,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        self.reader = Reader(SPARE_LIST * settings.head_bytes)
        self.h2.decoder = self.reader
        self.begin()

    def begin(self) -> None:
        """Send our settings, and have h2 know what it needs of them.

        What it would do at too many streams, end the connection, is done here with REFUSED_STREAM. The
        windows count as set once the client has acknowledged them: it may have sent more before.
        """
        self.h2.initiate_connection()
        self.h2.clear_outbound_data_buffer()
        local = self.h2.local_settings
        local.max_concurrent_streams = HIGHEST
        local.max_header_list_size = SPARE_LIST * self.settings.head_bytes
        local.acknowledge()
        local.initial_window_size = WINDOW
        frame = SettingsFrame(0)
        frame.settings = {
            SettingCodes.MAX_CONCURRENT_STREAMS: self.settings.streams,
            SettingCodes.INITIAL_WINDOW_SIZE: WINDOW,
            SettingCodes.MAX_HEADER_LIST_SIZE: self.settings.head_bytes,
            0x9: 1,  # no priorities of old (RFC 9218 2.1)
        }
        self.out += frame.serialize()
        self.h2.receive_data(PREFACE)

    # what comes in

    def receive(self, data: bytes | memoryview, now: float) -> list[Event]:
        """Take bytes; what became whole by them, in order. Nothing is taken once the connection is over."""
        if self.over:
            return []
        try:
            for frame in self.gate.feed(data, now):
                self.take(frame, now)
        except Http2Error as fault:
            self.fail(fault.code, fault.why)
        except ProtocolError as error:  # h2 has made its GOAWAY already
            self.collect()
            self.end(int(error.error_code))
        self.open_window()
        self.collect()
        if self.gate.between:
            self.cut_at = None
        elif self.cut_at is None:
            self.cut_at = now
        self.settle(now)
        return self.told()

    def told(self) -> list[Event]:
        """What is to be told. A request that was reset in the same read was never taken: it costs nobody."""
        events, self.events = self.events, []
        gone = {event.stream for event in events if isinstance(event, Gone)}
        if gone:
            moot = gone & {event.stream for event in events if isinstance(event, Asked)}
            events = [event for event in events if event.stream not in moot]
        return events

    def take(self, frame: Frame, now: float) -> None:
        kind, number = frame.kind, frame.stream
        stream = self.streams.get(number)
        if kind == Kind.PRIORITY:
            if len(frame.payload) != 5:
                self.stream_error(number, ErrorCodes.FRAME_SIZE_ERROR)
            return
        if kind == Kind.PRIORITY_UPDATE:
            self.reprioritize(frame.payload)
            return
        if kind == Kind.GOAWAY:  # h2 would send nothing any more, though answers are still due
            self.parting = True
            return
        if kind == Kind.RST_STREAM and self.idle(number):
            raise Http2Error(ErrorCodes.PROTOCOL_ERROR, "a stream that never was is reset")
        if kind == Kind.WINDOW_UPDATE and number and not int.from_bytes(frame.payload, "big") & HIGHEST:
            self.stream_error(number, ErrorCodes.PROTOCOL_ERROR)
            return
        if kind == Kind.DATA and stream is None and not self.idle(number):
            self.surplus(now)
        if kind == Kind.HEADERS and stream is not None and not stream.ended and not frame.flags & END_STREAM:
            frame.flags |= END_STREAM  # malformed: h2 would end the connection for it (8.1)
            stream.fault = True
        for event in self.h2.receive_data(frame.serialize()):
            self.act(event, now)

    def idle(self, number: int) -> bool:
        """Whether a stream has never been opened: by the client, and we open none."""
        return number % 2 == 0 or number > self.h2.highest_inbound_stream_id

    def surplus(self, now: float) -> None:
        """Count a DATA frame on a stream that is gone, which h2 answers with RST_STREAM."""
        if not self.gate.allowance.take(now):
            raise Http2Error(ErrorCodes.ENHANCE_YOUR_CALM, "too much comes on streams that are gone")

    def act(self, event: LibraryEvent, now: float) -> None:
        if isinstance(event, RequestReceived):
            self.open(event.stream_id, event.stream_ended is not None, now)
        elif isinstance(event, DataReceived):
            self.grow(event, now)
        elif isinstance(event, TrailersReceived):
            self.trail(event.stream_id)
        elif isinstance(event, StreamEnded):
            self.whole(event.stream_id, now)
        elif isinstance(event, StreamReset):
            if event.remote_reset and event.stream_id in self.streams:
                self.counts.reset += 1
            self.drop(event.stream_id)
        elif isinstance(event, WindowUpdated):
            if event.stream_id in self.sending:
                self.queue(self.sending[event.stream_id])
        elif isinstance(event, RemoteSettingsChanged):
            for stream in self.sending.values():
                self.queue(stream)

    def open(self, number: int, ended: bool, now: float) -> None:
        """A head has come; `ended` where no body follows."""
        self.counts.streams += 1
        if self.closing or len(self.streams) >= self.settings.streams or not self.fits(STREAM):
            self.refuse(number)
            return
        self.asked, self.rested_at = True, None
        stream = Stream(number, now, self.early.pop(number, USUAL_URGENCY), ended=ended)
        self.streams[number] = self.coming[number] = stream
        self.hold(stream, STREAM)
        head = read_head(self.reader.block, self.front, self.settings.head_bytes)
        if isinstance(head, Rejection):
            stream.fault = head.fatal
            self.reject(stream, head, now)
            return
        stream.head = head
        if stream.urgency == USUAL_URGENCY:
            stream.urgency = head.urgency
        if head.waits:
            message = head.message
            message.headers = [pair for pair in message.headers if pair[0] != b"expect"]
            if not ended:
                self.h2.send_headers(number, [HeaderTuple(b":status", b"100")])

    def grow(self, event: DataReceived, now: float) -> None:
        """A part of a body has come; what it takes of the windows is given back as there is room."""
        taken, data = event.flow_controlled_length or 0, event.data or b""
        self.owed += taken
        stream = self.coming.get(event.stream_id)
        if stream is None:  # answered already: its client was told, or will be
            return
        stream.owed += taken
        stream.ended = event.stream_ended is not None
        stream.body += data
        size, length = len(stream.body), stream.head.length if stream.head else None
        if size > LONGEST_BODY:
            self.reject(stream, Rejection(413, "the body is too large"), now)
        elif length is not None and size > length:
            stream.fault = True
            self.reject(stream, malformed("the body has another length"), now)
        elif size > WINDOW and not self.make_roomy(stream):  # it does not know yet how much it may send
            self.refuse(stream.id)
        elif not stream.ended and stream.owed >= WINDOW // 2:
            self.waiting.setdefault(stream.id, stream)

    def trail(self, number: int) -> None:
        stream = self.coming.get(number)
        if stream is not None and read_trailers(self.reader.block) is not None:
            stream.fault = True

    def whole(self, number: int, now: float) -> None:
        """The client has sent all of a stream."""
        stream = self.streams.get(number)
        if stream is None:
            return
        stream.ended = True
        self.waiting.pop(number, None)
        if stream.state is not State.COMING or stream.head is None:
            return
        del self.coming[number]
        head = stream.head
        if stream.fault:
            self.reject(stream, malformed("the trailers are malformed"), now)
        elif head.length is not None and head.length != len(stream.body):
            self.reject(stream, malformed("the body has another length"), now)
        else:
            head.message.body = bytes(stream.body)
            stream.body = bytearray()
            self.hold(stream, STREAM + len(head.message.body) - stream.held)
            self.set_aside(stream, -stream.aside)
            item = self.front.take(head.message, head.fields, self.ready)
            if isinstance(item, Rejection):
                self.reject(stream, item, now)
            else:
                stream.state = State.ASKED
                self.events.append(Asked(number, item))

    def reprioritize(self, payload: bytes) -> None:
        """PRIORITY_UPDATE (RFC 9218 7.1)."""
        number = int.from_bytes(payload[:4], "big") & HIGHEST
        if number == 0 or number % 2 == 0:
            raise Http2Error(ErrorCodes.PROTOCOL_ERROR, "a PRIORITY_UPDATE names no stream of the client's")
        stream = self.streams.get(number)
        if stream is not None:
            queued = self.queues[stream.urgency].pop(number, None)
            stream.urgency = urgency(payload[4:])
            if queued:
                self.queue(stream)
        elif self.idle(number) and (number in self.early or len(self.early) < MOST_EARLY):
            self.early[number] = urgency(payload[4:])

    # room

    @property
    def short(self) -> bool:
        """Whether so much is held that nothing more is taken."""
        return self.own >= self.most_own or self.held.size >= self.held.most

    def fits(self, size: int) -> bool:
        return self.own + size <= self.most_own and self.held.size + size <= self.held.most

    def make_roomy(self, stream: Stream) -> bool:
        """Set room for a whole body aside, if there is any: who has it can end, so nobody waits in a ring."""
        if not stream.roomy and stream.head is not None:
            size = LONGEST_BODY if stream.head.length is None else stream.head.length
            size = len(stream.body) if stream.ended else size
            more = max(size - WINDOW, 0)
            room = min(self.most_aside - self.aside, self.held.most_aside - self.held.aside)
            if more > room or not self.fits(more):
                return False
            self.hold(stream, more)
            self.set_aside(stream, more)
            stream.roomy = True
            stream.owed += LONGEST_BODY
        return True

    def set_aside(self, stream: Stream, size: int) -> None:
        stream.aside += size
        self.aside += size
        self.held.aside += size

    def hold(self, stream: Stream, size: int) -> None:
        stream.held += size
        self.own += size
        self.held.add(size)

    def open_window(self) -> None:
        """Let the client send on: what a connection may send is bounded by what its streams may."""
        if self.over:
            return
        if self.owed >= CONNECTION_GRANT:
            self.h2.increment_flow_control_window(self.owed)
            self.owed = 0
        while self.waiting:
            number, stream = next(iter(self.waiting.items()))
            if not self.make_roomy(stream):
                return
            self.h2.increment_flow_control_window(stream.owed, number)
            stream.owed = 0
            del self.waiting[number]

    # what goes out

    def answer(self, number: int, status: int, body: bytes, headers: Headers, now: float) -> None:
        """Give a stream its one answer; nothing happens where the stream is gone."""
        stream = self.streams.get(number)
        if self.over or stream is None or stream.state is State.SENDING:
            return
        self.coming.pop(number, None)
        self.waiting.pop(number, None)
        stream.state, stream.since, stream.body = State.SENDING, now, bytearray()
        plain = [HeaderTuple(b":status", b"%d" % status)]
        plain += [
            (NeverIndexedHeaderTuple if name == b"retry-after" else HeaderTuple)(name, value)
            for name, value in headers
        ]
        # figures that hardly come twice would push what does out of the table
        plain.append(NeverIndexedHeaderTuple(b"content-length", b"%d" % len(body)))
        if stream.head is not None and stream.head.message.method == b"HEAD":
            body = b""
        self.h2.send_headers(number, plain, end_stream=not body)
        if not body:
            self.done(stream)
            return
        stream.answer = memoryview(body)
        self.hold(stream, len(body))
        self.sending[number] = stream
        self.queue(stream)

    def reject(self, stream: Stream, rejection: Rejection, now: float) -> None:
        """Answer what takes no decision."""
        self.answer(stream.id, rejection.status, rejection.text.encode() + b"\n", rejection.headers, now)

    def make_room(self, now: float) -> None:
        """Drop answers that their client does not take, the oldest first, where too much is held."""
        while self.short and self.sending:
            stream = next(iter(self.sending.values()))
            if stream.since + HARDLY > now:
                return
            self.counts.stuck += 1
            self.stream_error(stream.id, ErrorCodes.ENHANCE_YOUR_CALM)

    def queue(self, stream: Stream) -> None:
        self.queues[stream.urgency].setdefault(stream.id, stream)

    def output(self, most: int, now: float) -> bytes:
        """What is to be written next: some `most` bytes, or fewer where windows or answers end."""
        self.collect()
        if not self.over:
            for queue in self.queues:
                while queue and len(self.out) < most and self.h2.outbound_flow_control_window > 0:
                    self.turn(queue)
            self.settle(now)
        data = bytes(self.out[:most])
        del self.out[:most]
        return data

    def turn(self, queue: dict[int, Stream]) -> None:
        """Send one frame of the answer whose turn it is, if its stream's window lets it."""
        number = next(iter(queue))
        stream = queue.pop(number)
        size = min(self.h2.local_flow_control_window(number), FRAME, len(stream.answer))
        if size <= 0:
            return  # it is queued again when its window opens
        part, stream.answer = stream.answer[:size], stream.answer[size:]
        self.h2.send_data(number, bytes(part), end_stream=not stream.answer)
        self.collect()
        if stream.answer:
            queue[number] = stream
        else:
            self.done(stream)

    def done(self, stream: Stream) -> None:
        """The answer is sent; who is still sending is told that he need not go on (8.1)."""
        self.gate.allowance.earn(EARNED)
        if not stream.ended:
            code = ErrorCodes.PROTOCOL_ERROR if stream.fault else ErrorCodes.NO_ERROR
            self.h2.reset_stream(stream.id, code)
        self.drop(stream.id)

    def collect(self) -> None:
        self.out += self.h2.data_to_send()

    # how it ends

    def drop(self, number: int) -> None:
        """Forget a stream."""
        stream = self.streams.pop(number, None)
        if stream is None:
            return
        self.hold(stream, -stream.held)
        self.set_aside(stream, -stream.aside)
        for table in (self.coming, self.sending, self.waiting, self.queues[stream.urgency]):
            table.pop(number, None)
        if stream.state is State.ASKED:
            self.events.append(Gone(number))

    def stream_error(self, number: int, code: ErrorCodes) -> None:
        if self.idle(number):
            raise Http2Error(code, "a frame on a stream that never was")
        try:
            self.h2.reset_stream(number, code)
        except StreamClosedError:
            pass  # it is over anyway
        self.drop(number)

    def refuse(self, number: int) -> None:
        """Tell the client that a stream never ran, so that it may send it again elsewhere (8.7)."""
        self.counts.refused += 1
        self.h2.reset_stream(number, ErrorCodes.REFUSED_STREAM)
        self.drop(number)

    def goaway(self, last: int, code: int = ErrorCodes.NO_ERROR, why: str = "") -> None:
        """h2 would take nothing more after a GOAWAY, so it is written past it."""
        self.collect()
        self.out += GoAwayFrame(0, last, code, why.encode()).serialize()

    def announce(self, now: float) -> None:
        """Ask the client to open no more streams; those that it opens meanwhile are served (6.8)."""
        if not self.announced and not self.over:
            self.announced = True
            if self.rested_at is not None:
                self.rested_at = now
            self.goaway(HIGHEST)

    def close(self, now: float) -> None:
        """Take no more streams; the connection is over once those that are open have their answers."""
        if not self.closing and not self.over:
            self.announced = self.closing = True
            self.goaway(self.h2.highest_inbound_stream_id)
            self.settle(now)

    def hurry(self, now: float) -> None:
        """Turn away the requests that are not whole: they have not run."""
        if not self.over:
            for number in list(self.coming):
                self.refuse(number)
            self.settle(now)

    def settle(self, now: float) -> None:
        """Note whether anything is open still."""
        if self.streams:
            self.rested_at = None
            return
        if self.rested_at is None:
            self.rested_at = now
        if (self.closing or self.parting) and not self.over:
            self.collect()
            if not self.closing:
                self.goaway(self.h2.highest_inbound_stream_id)
            self.over = True

    def fail(self, code: int, why: str) -> None:
        """The connection cannot go on."""
        if code == ErrorCodes.ENHANCE_YOUR_CALM:
            self.counts.floods += 1
            self.counts.faults -= 1
        self.goaway(self.h2.highest_inbound_stream_id, code, why)
        self.end(code)

    def end(self, code: int) -> None:
        self.counts.faults += 1
        self.over, self.gate.buffer = True, bytearray()
        self.forget()

    def forget(self) -> None:
        """Drop every stream, as the connection is gone."""
        for number in list(self.streams):
            self.drop(number)

    # time

    def due(self) -> float:
        """When `expire` is to be called at the latest."""
        if self.over:
            return float("inf")
        times = [next(iter(self.coming.values())).since + REQUEST_TIME] if self.coming else []
        if self.sending:
            times.append(next(iter(self.sending.values())).since + self.settings.answer_ms)
        if self.cut_at is not None:
            times.append(self.cut_at + REQUEST_TIME)
        if self.rested_at is not None:
            times.append(self.rested_at + self.patience)
        if self.waiting or self.sending and self.short:
            times.append(self.polled_at)
        return min(times, default=float("inf"))

    @property
    def patience(self) -> float:
        """How long the connection is kept without a stream."""
        if self.announced:
            return PARTING_TIME
        return self.settings.idle_ms if self.asked else REQUEST_TIME

    def expire(self, now: float) -> list[Event]:
        """Do what is due."""
        if self.over:
            return self.told()
        while self.coming and (stream := next(iter(self.coming.values()))).since + REQUEST_TIME <= now:
            self.counts.late += 1
            self.reject(stream, Rejection(408, "the request took too long"), now)
        limit = now - self.settings.answer_ms
        while self.sending and (stream := next(iter(self.sending.values()))).since <= limit:
            self.counts.stuck += 1
            self.stream_error(stream.id, ErrorCodes.CANCEL)
        self.make_room(now)
        self.open_window()
        self.polled_at = now + POLL
        if self.cut_at is not None and self.cut_at + REQUEST_TIME <= now:
            self.fail(ErrorCodes.PROTOCOL_ERROR, "a frame takes too long")
        elif self.rested_at is not None and self.rested_at + self.patience <= now:
            self.close(now)
        self.settle(now)
        return self.told()
