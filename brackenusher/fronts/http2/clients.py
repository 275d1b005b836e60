"""HTTP/2 client connections: the listener, and the socket I/O around the protocol state machine."""

import socket
from collections.abc import Callable
from functools import partial

from brackenusher.config.operators import Http2Settings
from brackenusher.core.admission import Admission, Denial, DenialReason
from brackenusher.core.transaction import Answer, Transaction
from brackenusher.fronts.http import RequestClassifier, final_response, rejection_for
from brackenusher.fronts.http2.connection import Event, Http2Protocol
from brackenusher.fronts.http2.streams import Counters, MemoryBudget, RequestReady
from brackenusher.fronts.listener import ConnectionLimit, Listener
from brackenusher.runtime.buffers import BufferPool
from brackenusher.runtime.driver import write
from brackenusher.runtime.loop import READ, WRITE, Coroutine, EventLoop, clock
from brackenusher.runtime.timers import Timer

MAX_UNSENT_BYTES = 64 * 1024  # bytes waiting for the socket's send buffer; input is not read above this
LINGER_MS = 500.0  # input is discarded before the close, so that no TCP reset destroys the responses


class Http2Listener(Listener):
    """Accepts HTTP/2 connections and tracks their states for eviction and shutdown."""

    def __init__(
        self,
        loop: EventLoop,
        settings: Http2Settings,
        classifier: RequestClassifier,
        admission: Admission,
        is_ready: Callable[[], bool],
        connection_limit: ConnectionLimit,
        buffers: BufferPool,
    ) -> None:
        super().__init__(loop, connection_limit)
        self.settings, self.classifier, self.admission, self.is_ready = (
            settings,
            classifier,
            admission,
            is_ready,
        )
        self.buffers, self.counters, self.memory = buffers, Counters(), MemoryBudget(settings.held_kb * 1024)
        self.connections: set[Http2Connection] = set()
        self.idle: dict[Http2Connection, None] = {}  # without open streams; longest idle first
        self.lingering: dict[Http2Connection, None] = {}  # closed for writing, remaining input is discarded

    def open_connection(self, sock: socket.socket, address: str) -> "Http2Connection":
        return Http2Connection(self, sock, address)

    def evict_one(self) -> bool:
        """Close a connection without open streams: a lingering one, an unused one, or the longest idle."""
        connection = next(iter(self.lingering), None)
        connection = connection or next(
            (each for each in self.idle if not each.protocol.had_request and each.no_unread_data()), None
        )
        connection = connection or next((each for each in self.idle if each.no_unread_data()), None)
        if connection is not None:
            connection.close_now()
        return connection is not None

    def announce_shutdown(self) -> None:
        """Send a first GOAWAY; streams that clients open all the same are served."""
        for connection in self.connections:
            connection.protocol.announce_shutdown(clock())
            connection.task.wake()

    def drain(self, idle: bool) -> None:
        for connection in self.connections:
            if not connection.protocol.closing:
                # final GOAWAY: open streams are answered, clients reconnect for others
                connection.protocol.close(clock())
                connection.task.wake()

    def resume(self) -> None:
        pass  # a GOAWAY cannot be taken back; new connections are served as usual

    def reject_incomplete(self) -> None:
        for connection in self.connections:
            if connection.protocol.receiving:
                connection.protocol.refuse_incomplete(clock())
                connection.task.wake()


class Http2Connection:
    """One client connection."""

    def __init__(self, listener: Http2Listener, sock: socket.socket, address: str) -> None:
        self.listener, self.sock, self.address = listener, sock, address
        self.protocol = Http2Protocol(
            listener.classifier,
            listener.is_ready,
            listener.settings,
            listener.memory,
            listener.counters,
            clock(),
        )
        self.transactions: dict[int, Transaction] = {}  # by stream id
        # final answers not yet passed to the state machine
        self.pending_answers: list[tuple[int, Answer]] = []
        # encoded and not written yet; when the socket last accepted data
        self.unsent, self.written_at = b"", clock()
        self.timer: Timer | None = None
        self.peer_closed = False
        listener.connections.add(self)
        self.over_limit = listener.register_connection()  # accepted only to be refused
        self.task = listener.loop.spawn(self.run(), sock)

    def no_unread_data(self) -> bool:
        """Whether the socket has no unread data."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def close_now(self) -> None:
        """Close a connection without streams at once; GOAWAY tells the client what was not processed."""
        self.protocol.close(clock())
        try:
            write(self.sock, self.unsent + self.protocol.output(MAX_UNSENT_BYTES, clock()))
        except OSError:
            pass
        self.task.stop()

    def run(self) -> Coroutine:
        protocol = self.protocol
        try:
            while True:
                self.deliver_answers()
                blocked = self.flush()
                if protocol.finished and not self.unsent and not protocol.out:
                    break
                self.update_idle_state()
                self.set_timer()
                events = yield (WRITE if self.unsent else 0) | (0 if blocked else READ)
                now = clock()
                if self.unsent and now >= self.written_at + self.listener.settings.answer_ms:
                    self.listener.counters.stalled += len(protocol.sending)
                    return
                if events & ~WRITE:
                    self.read()
                if self.peer_closed:
                    return
                self.handle_events(protocol.expire(now))
            yield from self.linger()
        except OSError:
            pass  # the client broke the connection
        finally:
            self.listener.loop.timers.remove(self.timer)
            self.listener.idle.pop(self, None)
            self.listener.lingering.pop(self, None)
            self.listener.connections.discard(self)
            self.listener.unregister_connection()
            protocol.remove_all_streams()
            for transaction in self.transactions.values():
                self.listener.admission.client_left(transaction)

    def read(self) -> None:
        try:
            if not self.listener.buffers.receive(self.sock, self.receive):
                self.peer_closed = True
        except BlockingIOError:
            pass

    def receive(self, data: memoryview) -> None:
        self.handle_events(self.protocol.receive(data, clock()))

    def handle_events(self, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, RequestReady):
                self.serve(event)
            elif event.stream_id in self.transactions:
                self.listener.admission.client_left(self.transactions.pop(event.stream_id))

    def serve(self, ready: RequestReady) -> None:
        """Pass a request to admission control; answer it at once if it is rejected."""
        stream_id, request = ready.stream_id, ready.request
        request.address, request.over_connection_limit = self.address, self.over_limit
        admitted = self.listener.admission.admit(request, partial(self.on_answer, stream_id))
        if not isinstance(admitted, Denial):
            self.transactions[stream_id] = admitted
            return
        rejection, now = rejection_for(admitted), clock()
        body = rejection.text.encode() + b"\n"
        self.protocol.answer(stream_id, rejection.status, body, rejection.headers, now)
        if admitted.reason is DenialReason.CONNECTION_LIMIT:  # descriptors are short
            self.protocol.close(now)

    def on_answer(self, stream_id: int, answer: Answer) -> None:
        """Queue a final answer; may be called while the request is still being admitted."""
        self.pending_answers.append((stream_id, answer))
        self.task.wake()

    def deliver_answers(self) -> None:
        """Pass queued final answers to the state machine."""
        answers, self.pending_answers = self.pending_answers, []
        for stream_id, answer in answers:
            transaction = self.transactions.pop(stream_id, None)
            if transaction is not None:  # else the stream ended while the answer was queued
                self.listener.admission.answer_sent(transaction, answer)
                self.protocol.answer(stream_id, *final_response(answer), clock())

    def flush(self) -> bool:
        """Write what the socket accepts; True if so much is left that reading is paused."""
        protocol = self.protocol
        while True:
            now, capacity = clock(), MAX_UNSENT_BYTES - len(self.unsent)
            data = self.unsent + (protocol.output(capacity, now) if capacity > 0 else b"")
            self.unsent = write(self.sock, data) if data else b""
            if not data or len(self.unsent) < len(data):
                self.written_at = now
            if not data or self.unsent:
                return len(self.unsent) + len(protocol.out) >= MAX_UNSENT_BYTES

    def update_idle_state(self) -> None:
        """Update the membership in the listener's idle connections."""
        if self.protocol.streams:
            self.listener.idle.pop(self, None)
        else:
            self.listener.idle.setdefault(self)

    def set_timer(self) -> None:
        """Set the timer. A timer that fires too early is kept, as deadlines are mostly moved later."""
        deadline = self.protocol.next_deadline()
        if self.unsent:
            deadline = min(deadline, self.written_at + self.listener.settings.answer_ms)
        if self.timer is None or self.timer[0] > deadline:
            timers = self.listener.loop.timers
            timers.remove(self.timer)
            self.timer = timers.add(deadline, self.on_timer) if deadline < float("inf") else None

    def on_timer(self) -> None:
        self.timer = None
        self.task.wake()

    def linger(self) -> Coroutine:
        """Shut down the write side and discard input, so that no TCP reset destroys the responses."""
        self.sock.shutdown(socket.SHUT_WR)
        self.listener.idle.pop(self, None)
        self.listener.lingering[self] = None
        end = clock() + LINGER_MS
        self.listener.loop.timers.remove(self.timer)
        self.timer = self.listener.loop.timers.add(end, self.on_timer)
        while clock() < end:
            yield READ
            try:
                if not self.listener.buffers.receive(self.sock, len):
                    return
            except BlockingIOError:
                pass
