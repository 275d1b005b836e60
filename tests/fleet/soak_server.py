"""The servers of a soak: they answer at once, late, or pause within a stream, and some answers are spoilt.

Some streams have no length, and some of these are torn in the middle of an event, as by a crash. Some answers
state a length that does not fit what they send, and some are long and flow all the time.
"""

import asyncio
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import NoReturn

import h11

from testbed.fleet.model_server import ModelServer, ServerRequest, send_whole
from tests.fleet.client_soak_oracle import ServerRun, SoakHistory

HOLD_POLL_S = 0.005
QUICK_S = (0.005, 0.04)  # time to the answer of a quick server
UNFRAMED_SHARE = 0.5  # of the streams: they end with their connection
TORN_SHARE = 0.5  # of these: it ends in the middle of an event
TEAR_AFTER_S = 0.02  # so that the half of an event arrives by itself
MISSTATED_SHARE = 0.05  # of the answers: they state a length that does not fit
PLAIN_BODY = b"done"
LONG_SHARE = 0.2  # of the answers that are no streams: they are longer than what a proxy buffers
LONG_PIECES, LONG_PIECE = 20, b"x" * 10_000
PATHS = {"safe": "/safe/x", "unsafe": "/lookup/x", "stream": "/chat/x", "resume": "/resume/x"}


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What a soak is about; times are seconds."""

    grace_s: float
    client_deadline_s: float
    late_s: tuple[float, float]  # time to the answer of a late server
    late_share: float
    events: int  # of a stream
    pauses_between_events: bool  # else before the first event, or after it
    behaviours: dict[str, float]  # of clients, with their shares
    kill_share: float  # of the ends of proxies

    @property
    def max_signal_effect_s(self) -> float:
        """From a SIGTERM to the end of its process, with a margin."""
        return self.grace_s + 2.0


@dataclass(slots=True)
class Exchange:
    """A request and what is needed to answer it."""

    request: ServerRequest
    headers: dict[str, str]  # of the answer
    connection: h11.Connection
    writer: asyncio.StreamWriter
    run: ServerRun

    @property
    def first_event(self) -> int:
        """The number of the first event that the caller lacks."""
        return int(self.request.headers.get("last-event-id", "0")) + 1

    def chunked_head(self) -> bytes:
        """The head of an answer in chunks."""
        fields = {**self.headers, "Transfer-Encoding": "chunked"}
        return self.encode(h11.Response(status_code=200, headers=list(fields.items())))

    def encode(self, event: h11.Event) -> bytes:
        """The bytes of an event of the answer."""
        return self.connection.send(event) or b""


class HoldingServer(ModelServer):
    """Holds each request for a drawn time, and stops at once when its connection is closed."""

    plan: SoakPlan
    history: SoakHistory
    rng: random.Random

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.reader = reader  # type: ignore[attr-defined]
        await super()._serve(reader, writer)

    async def _run(
        self,
        request: ServerRequest,
        headers: dict[str, str],
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
    ) -> None:
        now = time.monotonic()
        late = self.rng.random() < self.plan.late_share
        hold_s = self.rng.uniform(*(self.plan.late_s if late else QUICK_S))
        run = ServerRun(request.request_id, now, now + hold_s)
        self.history.runs.append(run)
        headers["X-Brackenusher-Response-Stamp"] = f"{self.id}.{len(self.history.runs)}"
        exchange = Exchange(request, headers, connection, writer, run)
        self.running += 1
        try:
            await self._respond(exchange)
        finally:
            run.ended_at = time.monotonic()
            self.running -= 1

    async def _respond(self, exchange: Exchange) -> None:
        misstated = self.rng.random() < MISSTATED_SHARE
        if exchange.request.target in (PATHS["safe"], PATHS["unsafe"]):
            await self._respond_plain(exchange, misstated)
            return
        exchange.headers = {**exchange.headers, "Content-Type": "text/event-stream"}
        if misstated:
            await self._stream_misstated(exchange)
        elif self.rng.random() < UNFRAMED_SHARE:
            await self._stream_until_close(exchange)
        else:
            await self._stream_in_chunks(exchange)

    async def _respond_plain(self, exchange: Exchange, misstated: bool) -> None:
        if self.rng.random() < LONG_SHARE:
            await self._send_long(exchange)
            return
        await self._hold(exchange.writer, exchange.run.planned_end)
        if misstated:
            self._send_two_lengths(exchange, PLAIN_BODY)
        else:
            send_whole(exchange.connection, exchange.writer, 200, exchange.headers, PLAIN_BODY)

    async def _send_long(self, exchange: Exchange) -> None:
        """A long answer that flows at an even pace until the run is to end."""
        exchange.writer.write(exchange.chunked_head())
        pause_s = exchange.run.planned_s / LONG_PIECES
        for _ in range(LONG_PIECES):
            await self._hold(exchange.writer, time.monotonic() + pause_s)
            exchange.writer.write(exchange.encode(h11.Data(LONG_PIECE)))
        exchange.writer.write(exchange.encode(h11.EndOfMessage()))

    async def _stream_in_chunks(self, exchange: Exchange) -> None:
        head = exchange.chunked_head()
        async for number in self._paced_events(exchange):
            exchange.writer.write(head + exchange.encode(h11.Data(soak_event(number))))
            head = b""
        exchange.writer.write(head + exchange.encode(h11.EndOfMessage()))

    async def _stream_misstated(self, exchange: Exchange) -> None:
        """A stream that states a wrong length; one that may be resumed breaks off before its last event."""
        first = exchange.first_event
        if exchange.request.target == PATHS["resume"] and first < self.plan.events:
            await self._stream_that_breaks_off(exchange)
        await self._hold(exchange.writer, exchange.run.planned_end)
        body = b"".join(map(soak_event, range(first, self.plan.events + 1)))
        self._send_two_lengths(exchange, body)

    def _send_two_lengths(self, exchange: Exchange, body: bytes) -> None:
        """A response in chunks that also states another length; its connection stays open."""
        stated = self.rng.choice((0, len(body) + 100))
        fields = {**exchange.headers, "Content-Length": str(stated), "Transfer-Encoding": "chunked"}
        exchange.writer.write(raw_head(fields) + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
        exchange.encode(h11.Response(status_code=204, headers=[]))  # as if it had sent the response
        exchange.encode(h11.EndOfMessage())

    async def _stream_that_breaks_off(self, exchange: Exchange) -> NoReturn:
        """A stream with a wrong length that ends after an event. Raises ConnectionAbortedError."""
        exchange.run.broke_off = True
        last = self.rng.randint(exchange.first_event, self.plan.events - 1)
        stated = {"Content-Length": str(self.rng.choice((1, 100)) * len(self.history.whole_stream))}
        head = raw_head({**exchange.headers, **stated})
        async for number in self._paced_events(exchange):
            exchange.writer.write(head + soak_event(number))
            head = b""
            if number == last:
                break
        await exchange.writer.drain()
        raise ConnectionAbortedError

    async def _stream_until_close(self, exchange: Exchange) -> NoReturn:
        """A stream without a length; if it is torn, the end comes in the middle of an event."""
        first = exchange.first_event
        torn_at = self.rng.randint(first, self.plan.events) if self.rng.random() < TORN_SHARE else 0
        head = raw_head(exchange.headers)
        async for number in self._paced_events(exchange):
            event = soak_event(number)
            if number == torn_at:
                await self._tear(exchange, head, event)
            exchange.writer.write(head + event)
            head = b""
        await exchange.writer.drain()
        raise ConnectionAbortedError  # ends the connection, and with it the response

    async def _tear(self, exchange: Exchange, head: bytes, event: bytes) -> NoReturn:
        """Send a part of an event, then end the connection."""
        exchange.run.broke_off = True
        exchange.writer.write(head + event[: self.rng.randint(1, len(event) - 1)])
        await exchange.writer.drain()
        await asyncio.sleep(TEAR_AFTER_S)
        raise ConnectionAbortedError

    async def _paced_events(self, exchange: Exchange) -> AsyncIterator[int]:
        """The number of each event when it is due; the whole takes as long as the run is planned."""
        writer, run, first = exchange.writer, exchange.run, exchange.first_event
        if self.plan.pauses_between_events:
            pause_s = run.planned_s / self.plan.events
            for number in range(first, self.plan.events + 1):
                await self._hold(writer, time.monotonic() + pause_s)
                yield number
            return
        pause_before_first = self.rng.random() < 0.5
        if pause_before_first:
            await self._hold(writer, run.planned_end)
        for number in range(first, self.plan.events + 1):
            yield number
            if number == first and not pause_before_first:
                await self._hold(writer, run.planned_end)

    async def _hold(self, writer: asyncio.StreamWriter, end: float) -> None:
        """Wait; raises ConnectionError once the caller has closed its connection."""
        reader: asyncio.StreamReader = writer.reader  # type: ignore[attr-defined]
        while time.monotonic() < end:
            if reader.at_eof() or reader.exception() or writer.transport.is_closing():
                raise ConnectionResetError
            await asyncio.sleep(HOLD_POLL_S)


def soak_event(number: int) -> bytes:
    """One event of a stream."""
    return f"id: {number}\ndata: x\n\n".encode()


def raw_head(headers: dict[str, str]) -> bytes:
    """The head of a successful answer, with these fields as they are."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode()
