"""HTTP/1.1 client connections: the listener, and the socket I/O around the protocol state machine."""

import select
import socket
from collections import Counter
from collections.abc import Callable, Generator
from itertools import islice

from barleybarrow.eviction import ClientState, choose_victim
from barleybarrow.lifecycle import Lifecycle
from brackenusher.core.admission import Admission, Denial, Request
from brackenusher.core.message import Content
from brackenusher.core.pipe import Pipe, PipeBudget, PipeEnd, no_op
from brackenusher.core.transaction import Answer, Served, Transaction
from brackenusher.fronts.http import Rejection, RequestClassifier, rejection_for
from brackenusher.fronts.http1.virtual_server import Http1Protocol
from brackenusher.fronts.listener import ConnectionLimit, Listener, TransferConnections
from brackenusher.runtime.buffers import BufferPool
from brackenusher.runtime.driver import reset_on_close, write
from brackenusher.runtime.loop import HANGUP, READ, WRITE, Coroutine, EventLoop, clock
from brackenusher.runtime.timers import Timer
from brackenusher.upstream.pool import Pool

IDLE_TIMEOUT_MS = 2_050.0  # between requests: some clients send one request and keep the connection open
REQUEST_TIMEOUT_MS = 2_500.0  # to receive a complete request; for the first one, since the connect
EVICTION_SCAN_LIMIT = 8  # connections of each group that are examined for eviction
MIN_BODY_BYTES_PER_MS = 48.0  # a body that arrives at least this fast extends the request time-out
BODY_STALL_TIMEOUT_MS = 3_000.0  # between two reads of a body that is forwarded as a stream
RESPONSE_WRITE_TIMEOUT_MS = 10_000.0  # for the client to read the next part of a response
LINGER_MS = 500.0  # input is discarded before the close, so that no TCP reset destroys the response
TRANSFER_BATCH_SIZE = 16  # connections sent to the successor process in one message
# younger connections are not closed at shutdown: a first request may be in flight
NEW_CONNECTION_GRACE_MS = 20.0


class Http1Listener(Listener):
    """Accepts HTTP/1.1 connections and tracks their states for eviction and shutdown."""

    def __init__(
        self,
        loop: EventLoop,
        classifier: RequestClassifier,
        admission: Admission,
        pool: Pool,
        connection_limit: ConnectionLimit,
        max_idle: int,
        buffers: BufferPool,
        lifecycle: Lifecycle,
        budget: PipeBudget | None = None,
    ) -> None:
        super().__init__(loop, connection_limit)
        self.classifier, self.admission, self.pool, self.lifecycle = classifier, admission, pool, lifecycle
        self.max_idle, self.buffers = max_idle, buffers
        self.budget = budget  # for streamed bodies and responses; None disables streaming
        self.connections: set[Http1Connection] = set()
        self.awaiting_first_request: dict[Http1Connection, None] = {}  # no request so far; oldest first
        self.idle: dict[Http1Connection, None] = {}  # between requests; most recently used last
        self.receiving: dict[Http1Connection, None] = {}  # receiving a request; most recently active last
        self.lingering: dict[Http1Connection, None] = {}  # final response sent, remaining input is discarded
        self.eviction_groups = {
            ClientState.CLOSING: self.lingering,
            ClientState.NO_REQUEST: self.awaiting_first_request,
            ClientState.PARTIAL_REQUEST: self.receiving,
            ClientState.KEEP_ALIVE: self.idle,
        }
        self.evicted: Counter[ClientState] = Counter()
        self.reported_evictions: Counter[ClientState] = Counter()  # as last reported
        self.draining = False  # each response closes its connection
        # sends idle connections to the successor process during handover
        self.transfer: TransferConnections | None = None
        self.readiness_checks: list[Callable[[], bool]] = []  # further conditions of readiness
        # still waiting, for a fraction of a second, for the state known to peers
        self.awaiting_warm_state = False

    def is_ready(self) -> bool:
        """Whether load balancers should send clients here."""
        checks_pass = all(gate() for gate in self.readiness_checks)
        return self.pool.has_list and not self.awaiting_warm_state and self.lifecycle.ready and checks_pass

    def open_connection(self, sock: socket.socket, address: str) -> "Http1Connection":
        return Http1Connection(self, sock, address)

    def evict_one(self) -> bool:
        """Close a connection without a pending response, as the eviction policy says; False if none."""
        now, candidates = clock(), {}
        for place, connections in self.eviction_groups.items():
            for connection in islice(connections, EVICTION_SCAN_LIMIT):
                # else it has sent data that was not read yet
                if place is ClientState.CLOSING or connection.no_unread_data():
                    candidates[place] = connection
                    break
        chosen = choose_victim({place: now - link.active_at for place, link in candidates.items()})
        if chosen is None:
            return False
        self.evicted[chosen] += 1
        candidates[chosen].task.stop()
        return True

    def metrics(self) -> list[tuple[str, int, str, list[tuple[str, str]]]]:
        """Number of connections evicted since the last call, by state."""
        new_evictions = self.evicted - self.reported_evictions
        self.reported_evictions = self.evicted.copy()
        return [
            ("clients_evicted", count, "c", [("place", place.value)])
            for place, count in new_evictions.items()
        ]

    def drain(self, idle: bool) -> None:
        self.draining = True
        if idle:
            self.close_idle()

    def resume(self) -> None:
        self.draining = False

    def hand_over(self, transfer: TransferConnections) -> None:
        super().hand_over(transfer)
        self.transfer = transfer
        self.transfer_idle()

    def resume_accepting(self) -> None:
        super().resume_accepting()
        self.transfer = None

    def transfer_idle(self) -> None:
        idle = [
            connection
            for connection in [*self.awaiting_first_request, *self.idle]
            if connection.protocol.is_idle
        ]
        for start in range(0, len(idle), TRANSFER_BATCH_SIZE):
            batch = idle[start : start + TRANSFER_BATCH_SIZE]
            if self.transfer is None or not self.transfer([link.sock for link in batch]):
                return
            for link in batch:
                link.task.stop()  # closes only this process's descriptor

    def close_idle(self) -> None:
        """Close the connections between requests."""
        opened_before = clock() - NEW_CONNECTION_GRACE_MS
        for connection in [*self.awaiting_first_request, *self.idle]:
            if connection.idle_group is self.idle or connection.opened_at < opened_before:
                connection.close_gracefully()

    def reject_incomplete(self) -> None:
        """Time out requests that are still being received: none of them was accepted."""
        opened_before = clock() - NEW_CONNECTION_GRACE_MS
        for connection in [link for link in self.receiving if link.group_since < opened_before]:
            connection.time_out_now()


class Http1Connection:
    """One client connection."""

    def __init__(self, listener: Http1Listener, sock: socket.socket, address: str) -> None:
        self.listener, self.sock, self.address = listener, sock, address
        self.protocol = Http1Protocol(listener.classifier, listener.is_ready, listener.budget)
        self.transaction: Transaction | None = None
        self.answer: Answer | None = None
        self.timer: Timer | None = None
        self.timed_out, self.seen_body_bytes = False, 0  # body bytes received at the last check
        self.opened_at = self.active_at = clock()
        self.is_idle, self.group_since = False, 0.0
        self.closing_when_idle = False  # close once no request is being received
        self.group: dict[Http1Connection, None] | None = None  # the listener's group that it is in
        self.idle_group = listener.awaiting_first_request  # its group between requests
        listener.connections.add(self)
        self.over_limit = listener.register_connection()  # accepted only to be refused
        self.task = listener.loop.spawn(self.run(), sock)

    def close_gracefully(self) -> None:
        """Close gracefully; a request that has arrived but was not read yet is served first."""
        self.closing_when_idle = True
        self.task.wake()

    def peer_closed(self) -> bool:
        """Whether the client has closed, according to the kernel; earlier data may still be unread."""
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                return True
        except BlockingIOError:
            return False
        except OSError:
            return True
        poll = select.poll()  # the FIN is queued behind unread data
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def no_unread_data(self) -> bool:
        """Whether the socket has no unread data; called between requests."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return True

    def run(self) -> Coroutine:
        protocol = self.protocol
        try:
            while not protocol.closes_connection:
                item = protocol.next_request()
                if item is None:
                    if protocol.input_ended or protocol.closes_connection:
                        return
                    transfer = self.listener.transfer
                    if transfer is not None and protocol.is_idle and transfer([self.sock]):
                        return
                    if self.closing_when_idle and protocol.is_idle:
                        if self.idle_group is self.listener.awaiting_first_request:
                            return  # no response was sent that a reset could destroy
                        break
                    self.update_idle_state(protocol.is_idle)
                    if not (yield from self.write(protocol.continue_response())):
                        return
                    yield READ
                    self.read()
                    if not self.timed_out or self.is_idle and not protocol.is_idle:
                        continue
                    if self.is_idle:
                        self.closing_when_idle = True
                        continue
                    item = Rejection(408, "the request took too long", fatal=True)
                self.update_idle_state(None)
                if isinstance(item, Request):
                    data = yield from self.serve(item)
                else:
                    data = protocol.encode_rejection(item, self.closes_after_response)
                if data is None or not (yield from self.write(data)):
                    return
                if not protocol.pending:
                    protocol.release_budget()
            yield from self.linger()
        except OSError:
            pass  # the client broke the connection
        finally:
            self.update_idle_state(None)
            protocol.release_budget()
            if protocol.upload is not None:
                protocol.upload.fail()
            if isinstance(self.answer, Served) and self.answer.content.body_pipe is not None:
                # the answer arrived in the loop iteration in which the client disconnected
                self.answer.content.body_pipe.close()
            self.listener.connections.discard(self)
            self.listener.unregister_connection()
            if self.transaction is not None:
                self.listener.admission.client_left(self.transaction)

    def update_idle_state(self, between: bool | None) -> None:
        """Set the group and time-out: between requests (True), receiving one (False), or neither (None)."""
        if between is None:
            self.set_timer()
            self.move_to_group(None)
        elif between and not self.is_idle:
            self.set_timer(IDLE_TIMEOUT_MS)
            self.move_to_group(self.idle_group)
        elif not between and (self.is_idle or self.timer is None):
            is_first = self.idle_group is self.listener.awaiting_first_request
            self.set_timer(REQUEST_TIMEOUT_MS - (clock() - self.opened_at if is_first else 0.0))
            self.move_to_group(self.listener.receiving)
        self.is_idle = bool(between)

    def move_to_group(self, group: "dict[Http1Connection, None] | None") -> None:
        """Move to a group of evictable connections, or to none."""
        if self.group is not None:
            self.group.pop(self, None)
        self.group, self.group_since = group, clock()
        self.active_at = self.group_since
        if group is not None:
            group[self] = None
        if (
            group is self.listener.idle
            and len(group) > self.listener.max_idle
            and not self.exempt_from_idle_timeout
        ):
            next(iter(group)).close_gracefully()

    def serve(self, request: Request) -> Generator[int, int, bytes | None]:
        """Process a request; None if the client has disconnected and the connection must end at once."""
        listener = self.listener
        request.address, request.over_connection_limit, self.answer = self.address, self.over_limit, None
        # a first request shows that new connections still arrive
        is_first = self.idle_group is listener.awaiting_first_request
        request.available_connections = None if is_first else len(listener.idle)
        request.client_gone = self.peer_closed
        if request.message.body_pipe is None:  # else the deadline counts from the last byte of the body
            request.timeout_ms = max(0.0, request.timeout_ms - (clock() - request.received_at))
        admitted = listener.admission.admit(request, self.on_answer)
        if isinstance(admitted, Denial):
            return self.protocol.encode_rejection(rejection_for(admitted), self.closes_after_response)
        self.transaction, body = admitted, request.message.body_pipe
        if body is not None:
            body.wake_writer = self.task.wake
            self.set_timer(BODY_STALL_TIMEOUT_MS)
        deadline_runs = body is None  # whether its deadline is already running
        try:
            while self.answer is None:
                paused = self.protocol.read_paused
                events = yield HANGUP if paused else READ
                if events and self.answer is None:
                    if paused:
                        return None
                    self.read()
                    if self.protocol.input_ended:
                        return None
                if body is not None and (body.broken or self.timed_out):
                    return self.abort_upload(admitted)
                if body is not None and body.complete and not deadline_runs:
                    deadline_runs = True
                    listener.admission.body_complete(admitted)
        finally:
            if body is not None:
                self.set_timer()
                body.wake_writer = no_op
                body.close(PipeEnd.WHOLE if body.exhausted else PipeEnd.GIVEN_UP)
        self.transaction, self.idle_group = None, listener.idle
        listener.admission.answer_sent(admitted, self.answer)
        if isinstance(self.answer, Served) and self.answer.content.body_pipe is not None:
            return (yield from self.stream_response(self.answer.content, self.answer.content.body_pipe))
        return self.protocol.encode_answer(self.answer, self.closes_after_response)

    def abort_upload(self, transaction: Transaction) -> bytes:
        """The streamed body is malformed or has stalled; no server has executed the request."""
        self.transaction = None
        self.listener.admission.client_left(transaction)
        item = self.protocol.next_request()
        if not isinstance(item, Rejection):
            item = Rejection(408, "the body took too long", fatal=True)
        return self.protocol.encode_rejection(item, True)

    def stream_response(self, content: Content, pipe: Pipe) -> Generator[int, int, bytes | None]:
        """Write a streamed response; returns the bytes left to write, None if it cannot be completed."""
        pipe.wake_reader = self.task.wake
        try:
            data = self.protocol.encode_response_start(content, self.closes_after_response)
            while True:
                if pipe.chunks:
                    data += self.protocol.encode_chunk(pipe.read())
                complete = pipe.exhausted  # read before the write, during which it may change
                if complete and pipe.complete:
                    data += self.protocol.encode_response_end()
                if not (yield from self.write(data)):
                    return None
                data = b""
                if complete:
                    break
                if not pipe.chunks and not pipe.exhausted and (yield HANGUP):
                    return None  # the client has disconnected
            if pipe.complete:
                pipe.close(PipeEnd.WHOLE)
                return data
            pipe.close(PipeEnd.BROKEN)
            reset_on_close(
                self.sock
            )  # else a client that reads up to the FIN would take the response as complete
            return None
        finally:
            pipe.wake_reader = no_op
            pipe.close()

    @property
    def closes_after_response(self) -> bool:
        """Whether to close after the response: not while pipelined requests await theirs."""
        return self.listener.draining and self.protocol.is_idle

    def on_answer(self, answer: Answer) -> None:
        self.answer = answer
        self.task.wake()

    def read(self) -> None:
        items_before = len(self.protocol.pending)
        try:
            self.listener.buffers.receive(self.sock, self.protocol.receive)
        except BlockingIOError:
            return
        for item, *_ in islice(self.protocol.pending, items_before, None):
            if isinstance(item, Request):
                item.received_at = clock()
        if self.group is self.listener.receiving:
            self.active_at = clock()
            self.group.pop(self)
            self.group[self] = None

    def write(self, data: bytes) -> Generator[int, int, bool]:
        """Write all data; False if the client did not read it in time."""
        unsent = write(self.sock, memoryview(data)) if data else memoryview(data)
        while unsent:
            self.set_timer(RESPONSE_WRITE_TIMEOUT_MS)
            yield WRITE
            if self.timed_out:
                return False
            unsent = write(self.sock, unsent)
            if not unsent:
                self.set_timer()
        return True

    def linger(self) -> Coroutine:
        """Shut down the write side and discard input, so that no TCP reset destroys the response."""
        self.sock.shutdown(socket.SHUT_WR)
        self.set_timer(LINGER_MS)
        self.move_to_group(self.listener.lingering)
        while not self.timed_out:
            yield READ
            try:
                if not self.listener.buffers.receive(self.sock, len):
                    return
            except BlockingIOError:
                pass

    def set_timer(self, timeout_ms: float | None = None) -> None:
        """Restart the timer, or cancel it."""
        timers = self.listener.loop.timers
        timers.remove(self.timer)
        self.timed_out, self.timer = False, None
        if timeout_ms is not None:
            self.timer = timers.add(clock() + timeout_ms, self.on_timer)

    def on_timer(self) -> None:
        self.timer = None
        deadline = self.effective_deadline()
        if deadline > clock():
            self.timer = self.listener.loop.timers.add(deadline, self.on_timer)
            return
        self.timed_out = not (self.is_idle and self.exempt_from_idle_timeout)
        if self.timed_out:
            self.task.wake()

    def time_out_now(self) -> None:
        """Time out the request that is being received now."""
        self.set_timer()
        self.timed_out = True
        self.task.wake()

    def effective_deadline(self) -> float:
        """The effective deadline: a body that makes progress has it extended."""
        protocol = self.protocol
        if self.transaction is not None:
            seen_before, self.seen_body_bytes = self.seen_body_bytes, protocol.body_received
            progresses = (
                protocol.upload is None or protocol.read_paused or protocol.body_received > seen_before
            )
            return clock() + BODY_STALL_TIMEOUT_MS if progresses else 0.0
        if self.group is self.listener.receiving and protocol.body_received:
            started_at = (
                self.opened_at
                if self.idle_group is self.listener.awaiting_first_request
                else self.group_since
            )
            return started_at + REQUEST_TIMEOUT_MS + protocol.body_received / MIN_BODY_BYTES_PER_MS
        return 0.0

    @property
    def exempt_from_idle_timeout(self) -> bool:
        """Whether the idle time-out is waived: during shutdown clients cannot open another connection."""
        return self.listener.admission.shutdown is not None and self.idle_group is self.listener.idle
