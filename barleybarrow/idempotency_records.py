"""Idempotency records shared among proxies: where a keyed request may have run, and its response if small.

A state machine without I/O. It must never direct a key to a server while it may have run at another, nor
after the server may have forgotten the key. Each proxy numbers its reports; a later report of a proxy
replaces its earlier one for the same key, and reports of several proxies are kept side by side. Best effort:
a report binds no other proxy until it has arrived, which takes the batching delay and one message delay.

Clocks are never compared. A report carries its age. It cannot have been made before the last probe of ours
that its sender had received by then, as the sender's probe replies and reports arrive in order.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from math import inf
from typing import Annotated

from msgspec import Meta, Struct

BATCH_DELAY_MS = 20.0  # milliseconds that reports are batched for
PROBE_INTERVAL_MS = 500.0  # milliseconds between probes
MAX_CLOCK_RATE_RATIO = 1.05  # bound on the rates of two monotonic clocks over a window
RETENTION_WINDOWS = 2.0  # retention time of a record, in units of its window
MAX_RECORDS = 20_000
MAX_TOTAL_BODY_BYTES = 8 * 1024 * 1024
MAX_BODY_BYTES = 2048  # bytes of a response body
MAX_KEY_BYTES = 32  # the driver passes a digest of the client's key
MAX_REPORTS_PER_MESSAGE = 200
MAX_QUEUED_REPORTS = 5000
MAX_GROUP_SIZE = 10  # larger groups send no reports, as every proxy would receive one for each attempt
MAX_ORIGINS = 64  # proxies whose reports are kept per record

Number = Annotated[int, Meta(ge=0, le=2**53)]


class SavedResponse(Struct, array_like=True, frozen=True):
    """A server's response."""

    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]
    content_type: bytes | None = None
    content_encoding: bytes | None = None


class KeyReport(Struct, array_like=True, frozen=True):
    """One proxy's report on a key. Without servers and response, the request has not run anywhere."""

    key: Annotated[bytes, Meta(min_length=1, max_length=MAX_KEY_BYTES)]
    number: Number
    age: Annotated[float, Meta(ge=0.0)]  # milliseconds since the first attempt was sent
    window: Annotated[float, Meta(ge=0.0, le=1e7)]  # milliseconds that servers remember the key
    servers: Annotated[list[str], Meta(max_length=8)]
    response: SavedResponse | None = None


class Probe(Struct, array_like=True, frozen=True, tag=1):
    """Asks for a reply, which bounds the age of the reports that follow it."""

    token: Number


class KeyReports(Struct, array_like=True, frozen=True, tag=2):
    """Reports, and the last probe that was received before them, 0 for none. Also the reply to a probe."""

    token: Number
    reports: Annotated[list[KeyReport], Meta(max_length=MAX_REPORTS_PER_MESSAGE)]


Message = Probe | KeyReports


@dataclass(slots=True)
class HeldReport:
    """One proxy's report as held; `until`, on this proxy's clock, is when the servers may forget the key."""

    number: int
    servers: frozenset[str]
    until: float


@dataclass(slots=True)
class IdempotencyRecord:
    """All that is known of one key."""

    reports: dict[str, HeldReport] = field(default_factory=dict)  # by proxy
    response: SavedResponse | None = None
    expires_at: float = 0.0


@dataclass(slots=True)
class OpenRequest:
    """A keyed request of this proxy that is not finished."""

    key: bytes
    window: float
    first_sent_at: float = inf  # when its first attempt was sent
    attempts_in_flight: dict[int, str] = field(default_factory=dict)  # by attempt: its server
    attempt_count: int = 0
    possible_servers: set[str] = field(default_factory=set)  # where ended attempts may have run


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is known of a key: its response, or the one server it may go to until a time, or neither.

    Without response and server, the request may go to no server.
    """

    response: SavedResponse | None = None
    server: str = ""
    until: float = 0.0


class IdempotencyRecords:
    """One proxy's records. Times are milliseconds on its own monotonic clock."""

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.records: OrderedDict[bytes, IdempotencyRecord] = OrderedDict()
        self.open_requests: dict[int, OpenRequest] = {}
        self.last_report_number = 0
        self.body_bytes = 0
        self.queued_reports: OrderedDict[bytes, KeyReport] = OrderedDict()
        self.queued_at: dict[bytes, float] = {}
        self.flush_at = inf
        self.next_probe_at = now
        self.last_probe = 0
        self.probe_sent_at: dict[int, float] = {}  # by probe token
        self.last_probe_heard: dict[str, int] = {}  # by proxy: the last probe received from it
        self.reachable: list[str] = []
        self.outgoing: list[tuple[str, Message]] = []
        self.counts: Counter[str] = Counter()

    # Queries

    def lookup(self, key: bytes, now: float, shared: bool) -> Verdict | None:
        """What is known of a repeated key; None if it may go to any server.

        `shared`: the servers deduplicate among themselves, so the request may go to any of several servers
        at which it may have run.
        """
        record = self.records.get(key)
        if record is None or now >= record.expires_at:
            return None
        if record.response is not None:
            return Verdict(response=record.response)
        servers = {server for report in record.reports.values() for server in report.servers}
        if not servers:
            return None
        until = min(report.until for report in record.reports.values() if report.servers)
        if len(servers) > 1 and not shared:
            return Verdict()
        return Verdict(server=min(servers), until=until)

    # This proxy's requests

    def on_request(self, request: int, key: bytes, window: float) -> None:
        self.open_requests[request] = OpenRequest(key, window)

    def on_attempt_sent(self, now: float, request: int, server: str) -> None:
        """Record an attempt; called before it is sent."""
        open_request = self.open_requests.get(request)
        if open_request is None:
            return
        open_request.first_sent_at = min(open_request.first_sent_at, now)
        open_request.attempts_in_flight[open_request.attempt_count] = server
        open_request.attempt_count += 1
        self.publish(now, open_request)

    def on_attempt_ended(self, now: float, request: int, attempt: int, not_executed: bool) -> None:
        """Record the end of an attempt; `not_executed`: it is known not to have run."""
        open_request = self.open_requests.get(request)
        if open_request is None or attempt not in open_request.attempts_in_flight:
            return
        server = open_request.attempts_in_flight.pop(attempt)
        if not not_executed:
            open_request.possible_servers.add(server)
        self.publish(now, open_request)

    def on_request_done(self, now: float, request: int, response: SavedResponse | None) -> None:
        """Record the final response, or that the client left; attempts in flight may still run."""
        open_request = self.open_requests.pop(request, None)
        if open_request is not None and open_request.attempt_count:
            open_request.possible_servers.update(open_request.attempts_in_flight.values())
            self.publish(now, open_request, response)

    def publish(self, now: float, open_request: OpenRequest, response: SavedResponse | None = None) -> None:
        """Apply a new report on a request of this proxy, and queue it for the other proxies."""
        self.last_report_number += 1
        servers = sorted({*open_request.possible_servers, *open_request.attempts_in_flight.values()})[:8]
        report = KeyReport(
            open_request.key,
            self.last_report_number,
            now - open_request.first_sent_at,
            open_request.window,
            servers,
            response,
        )
        self.apply_report(self.name, report, now, now - open_request.first_sent_at)
        if len(self.reachable) >= MAX_GROUP_SIZE:
            self.counts["group"] += 1
            return
        if open_request.key not in self.queued_reports and len(self.queued_reports) >= MAX_QUEUED_REPORTS:
            self.queued_at.pop(self.queued_reports.popitem(last=False)[0], None)
            self.counts["waiting"] += 1
        self.queued_reports[open_request.key] = report
        self.queued_at[open_request.key] = now
        self.flush_at = min(self.flush_at, now + BATCH_DELAY_MS)

    # Records

    def apply_report(self, origin: str, report: KeyReport, now: float, age: float) -> None:
        """Merge a proxy's report; `age`: an upper bound on the time since the first attempt was sent."""
        record = self.records.get(report.key)
        if record is None or now >= record.expires_at:
            self.remove(report.key)
            record = self.records[report.key] = IdempotencyRecord()
            while len(self.records) > MAX_RECORDS:
                self.remove(next(iter(self.records)))
                self.counts["fates"] += 1
        before = record.reports.get(origin)
        if before is not None and report.number <= before.number:
            return
        if before is None and len(record.reports) >= MAX_ORIGINS:
            self.counts["origins"] += 1
            return
        record.reports[origin] = HeldReport(
            report.number, frozenset(report.servers), now - age + report.window / MAX_CLOCK_RATE_RATIO
        )
        record.expires_at = max(record.expires_at, now + RETENTION_WINDOWS * report.window)
        if report.response is not None and record.response is None:
            record.response = report.response
            self.body_bytes += len(report.response.body)
            while self.body_bytes > MAX_TOTAL_BODY_BYTES:
                self.evict_oldest_body()

    def remove(self, key: bytes) -> None:
        """Remove a key's record, if there is one."""
        record = self.records.pop(key, None)
        if record is not None and record.response is not None:
            self.body_bytes -= len(record.response.body)

    def evict_oldest_body(self) -> None:
        """Drop the oldest response; the record keeps the servers at which its key may have run."""
        record = next(f for f in self.records.values() if f.response is not None)
        assert record.response is not None
        self.body_bytes -= len(record.response.body)
        record.response = None
        self.counts["answers"] += 1

    # Other proxies

    def next_wakeup(self) -> float:
        """When `tick` has to be called next."""
        return min(self.flush_at, self.next_probe_at)

    def tick(self, now: float) -> None:
        if now >= self.flush_at:
            self.flush(now)
        if now >= self.next_probe_at:
            self.next_probe_at = now + PROBE_INTERVAL_MS
            if len(self.reachable) < MAX_GROUP_SIZE:
                self.last_probe += 1
                self.probe_sent_at[self.last_probe] = now
                while len(self.probe_sent_at) > 64:
                    del self.probe_sent_at[next(iter(self.probe_sent_at))]
                self.outgoing += [(name, Probe(self.last_probe)) for name in self.reachable]
            while self.records and now >= next(iter(self.records.values())).expires_at:
                self.remove(next(iter(self.records)))

    def flush(self, now: float) -> None:
        """Send the queued reports."""
        self.flush_at = inf
        batch: list[KeyReport] = []
        while self.queued_reports:
            key, report = self.queued_reports.popitem(last=False)
            age = report.age + now - self.queued_at.pop(key)
            batch.append(KeyReport(key, report.number, age, report.window, report.servers, report.response))
            if len(batch) == MAX_REPORTS_PER_MESSAGE or not self.queued_reports:
                self.outgoing += [
                    (name, KeyReports(self.last_probe_heard.get(name, 0), batch)) for name in self.reachable
                ]
                batch = []

    def receive(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, Probe):
            self.last_probe_heard[sender] = message.token
            while len(self.last_probe_heard) > 4 * MAX_GROUP_SIZE:
                del self.last_probe_heard[next(iter(self.last_probe_heard))]
            self.outgoing.append((sender, KeyReports(message.token, [])))
            return
        # The reports were made after that probe was sent.
        not_before = self.probe_sent_at.get(message.token, -inf)
        for report in message.reports:
            self.apply_report(sender, report, now, now - not_before + report.age)
