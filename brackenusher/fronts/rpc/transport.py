"""httpx transports, asynchronous and synchronous, to turn servers that speak the platform's HTTP.

A request is read as the daemon reads it (class by path, method by class, `Idempotency-Key`, `Req-Owner`,
`Req-Deadline`) and answered in the daemon's words: 503 with Retry-After for a refusal, 502 for a failure.
"""

import asyncio
import itertools
import os
import secrets
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpx

from barleybarrow import interface as face
from barleybarrow.interface import Outcome
from brackenusher.core.admission import Request
from brackenusher.core.message import LONGEST_BODY, Content, Message
from brackenusher.core.transaction import Answer, Attempt, Served
from brackenusher.fronts.http import Front, Rejection, final
from brackenusher.fronts.rpc import picture as pictures
from brackenusher.fronts.rpc.config import RpcConfig, read_config
from brackenusher.fronts.rpc.host import Host
from brackenusher.fronts.rpc.lines import Trip
from brackenusher.fronts.rpc.metrics import Metrics
from brackenusher.fronts.rpc.picture import Members, Picture
from brackenusher.upstream.flow import HOP_BY_HOP
from brackenusher.upstream.pool import Member

PROTOCOL = "http"
IDLE_SHARE = 0.6  # of the time after which a server closes an idle connection; as the daemon's
MOST_CONNECTIONS = 256  # to one server: its threshold bounds them long before
DECLINED = (503, 504)  # statuses that prove that nothing ran, with Srv-Declined: 1


@dataclass(slots=True, eq=False)
class Order(Message):
    """A request as it is passed on; the message of its transaction."""

    scheme: str = "http"


class ServerPool:
    """The line to one server: httpx's own transport, which connects by itself and never repeats."""

    def __init__(self, host: Host, member: Member, inner: httpx.AsyncBaseTransport) -> None:
        self.host, self.inner = host, inner
        name, port = member.address
        self.authority = b"%s:%d" % (name.encode(), port)

    def ready(self) -> bool:
        return True

    async def connect(self) -> bool:
        return True

    async def exchange(self, attempt: Attempt, trip: Trip, left: float) -> tuple[Outcome, Served | None]:
        order = attempt.message
        assert isinstance(order, Order)

        async def trace(name: str, _: Mapping[str, Any]) -> None:
            if name.endswith("send_request_body.complete"):
                trip.written = True  # its last byte is with the system

        headers = [(name, value) for name, value in order.headers if name not in HOP_BY_HOP]
        headers.append((b"req-deadline", b"%dm" % max(1, int(left))))
        request = self.request(order.method.decode(), order.scheme, order.target, headers, order.body)
        request.extensions = {"timeout": self.limits(left), "trace": trace}
        try:
            response = await self.inner.handle_async_request(request)
            try:
                return await self.judge(response)
            finally:
                await response.aclose()
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return Outcome.CONNECT_FAILED, None
        except httpx.TimeoutException:
            return (Outcome.TIMEOUT if trip.written else Outcome.NOT_SENT), None
        except httpx.RemoteProtocolError as error:
            if not trip.written:
                return Outcome.CONNECT_FAILED, None
            ended = "disconnected" in str(error) or "closed" in str(error)  # else it could not be read
            return (Outcome.RESET if ended else Outcome.ERROR), None
        except httpx.TransportError:
            return (Outcome.RESET if trip.written else Outcome.CONNECT_FAILED), None

    def request(
        self, method: str, scheme: str, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> httpx.Request:
        if body or method != "GET":
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        url = httpx.URL(scheme=scheme, netloc=self.authority, raw_path=target)
        return httpx.Request(method, url, headers=headers, stream=httpx.ByteStream(body))

    def limits(self, left: float) -> dict[str, float]:
        """The library's limits, in seconds; the attempt's own deadline cuts them all."""
        connect = min(left, self.host.settings.connect_timeout or left) / 1000.0
        return {"connect": connect, "pool": connect, "read": left / 1000.0, "write": left / 1000.0}

    async def judge(self, response: httpx.Response) -> tuple[Outcome, Served | None]:
        """Judge an answer as the protocol says, once it is whole."""
        body = bytearray()
        async for part in response.aiter_raw():
            body += part
            if len(body) > LONGEST_BODY:
                return Outcome.ERROR, None
        if response.status_code == 200:
            kind, coding = (response.headers.get(name) for name in ("content-type", "content-encoding"))
            content = Content(bytes(body), kind and kind.encode(), coding and coding.encode())
            return Outcome.SERVED, Served(content)
        if response.status_code in DECLINED and response.headers.get("srv-declined") == "1":
            return Outcome.FULL, None
        return Outcome.ERROR, None

    async def probe(self) -> tuple[Outcome, dict[str, float] | None]:
        from brackenusher.upstream.connections import read_report  # needs epoll; most sites have no probes

        reports = bool(self.host.settings.probe_reports)
        request = self.request("GET", "http", b"/stats" if reports else b"/health/live", [], b"")
        request.extensions = {"timeout": self.limits(self.host.settings.connect_timeout or 1000.0)}
        try:
            response = await self.inner.handle_async_request(request)
            try:
                outcome, served = await self.judge(response)
            finally:
                await response.aclose()
        except httpx.ConnectError:
            return Outcome.CONNECT_FAILED, None
        except httpx.TimeoutException:
            return Outcome.TIMEOUT, None
        except httpx.TransportError:
            return Outcome.RESET, None
        return outcome, read_report(served.content.body) if served and reports else None

    async def close(self) -> None:
        await self.inner.aclose()


class Reader:
    """Reads requests as the daemon does, for the settings' classes and tenants."""

    def __init__(self, settings: face.Settings) -> None:
        self.front = Front(settings)
        self.ids = (f"{secrets.token_hex(6)}{n:04x}".encode() for n in itertools.count())

    def read(self, request: httpx.Request, body: bytes) -> tuple[Order, Request] | Rejection:
        """What is to be passed on and as what it counts; or the 4xx that says what is wrong."""
        headers = [(name.lower(), value) for name, value in request.headers.raw]
        if "req-id" not in request.headers:
            headers.append((b"req-id", next(self.ids)))
        url = request.url
        order = Order(request.method.encode(), url.raw_path, headers, body, scheme=url.scheme)
        fields = self.front.fields(headers)
        if isinstance(fields, Rejection):
            return fields
        if len(body) > LONGEST_BODY:
            return Rejection(413, "the body is too large")
        item = self.front.read(order, fields)
        if isinstance(item, Rejection):
            return item
        read = (request.extensions.get("timeout") or {}).get("read")
        if read is not None:
            item.span = min(item.span, read * 1000.0)
        return order, item


class AsyncBalancedTransport(httpx.AsyncBaseTransport):
    """A transport for `httpx.AsyncClient`; the host in the URL names nobody, the core chooses the server.

    `config`: an RpcConfig, a mapping or the path of a TOML file; its table of methods is not used. `members`:
    the first list, where the caller hands it in. `dial` replaces the making of the transport to one server;
    `options` go to `httpx.AsyncHTTPTransport` otherwise. It opens with its first request, on the loop that
    runs then; `aclose` or the client's closing closes it.

    Raises ConfigError where the configuration cannot be used.
    """

    def __init__(
        self,
        config: RpcConfig | Mapping[str, Any] | str | Path,
        *,
        members: Members | None = None,
        metrics: Metrics | None = None,
        dial: Callable[[Member], httpx.AsyncBaseTransport] | None = None,
        **options: Any,
    ) -> None:
        self.config = read_config(config)
        self.reader = Reader(self.config.settings)
        self.members, self.metrics, self.options = members, metrics, options
        self.dial = dial or self.inner
        self.entered: Picture | None = None
        self.closed = False

    def inner(self, member: Member) -> httpx.AsyncBaseTransport:
        idle = self.config.settings.conn_idle
        limits = httpx.Limits(
            max_connections=MOST_CONNECTIONS,
            max_keepalive_connections=MOST_CONNECTIONS,
            keepalive_expiry=idle * IDLE_SHARE / 1000.0 if idle else None,
        )
        return httpx.AsyncHTTPTransport(**{"limits": limits, "trust_env": False, **self.options}, retries=0)

    def line(self, picture: Picture, member: Member) -> ServerPool:
        return ServerPool(picture.host, member, self.dial(member))

    def open(self) -> None:
        """Enter the picture of the target on the running loop; in a forked child, anew."""
        if self.closed:
            raise RuntimeError("the transport is closed")
        entered = self.entered
        if entered is not None and entered.pid == os.getpid():
            if entered.loop is not asyncio.get_running_loop():
                raise RuntimeError("the transport is open on another event loop")
            return
        self.entered = pictures.enter(PROTOCOL, self.config, self.line, self.metrics)
        if self.members is not None:
            self.entered.set_members(self.members)

    @property
    def picture(self) -> Picture:
        """What is known of the servers, shared with the other transports of the target."""
        self.open()
        assert self.entered is not None
        return self.entered

    def set_members(self, members: Members) -> None:
        """Hand in a list of the servers; see `BalancedChannel.set_members`."""
        if self.entered is None:
            self.members = members
        else:
            self.picture.set_members(members)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        return await self.handle(request, await request.aread())

    async def handle(self, request: httpx.Request, body: bytes) -> httpx.Response:
        """Have a request answered; cancelling it gives it up."""
        self.open()
        item = self.reader.read(request, body)
        if isinstance(item, Rejection):
            return httpx.Response(item.status, headers=list(item.headers), content=item.text.encode() + b"\n")
        order, taken = item
        host = self.picture.host
        answered: asyncio.Future[Answer] = host.loop.create_future()

        def reply(answer: Answer) -> None:
            if not answered.done():
                answered.set_result(answer)

        ticket = host.arrive(taken.klass, taken.span, order, reply, taken.tenant, taken.repeated)
        try:
            return respond(await answered)
        except asyncio.CancelledError:
            host.leave(ticket)
            raise

    async def aclose(self) -> None:
        """Close it; with the last transport of the target, requests that are open are answered with 502."""
        if not self.closed:
            self.closed, entered = True, self.entered
            if entered is not None and entered.pid == os.getpid():
                await pictures.leave(PROTOCOL, entered)


def respond(answer: Answer) -> httpx.Response:
    status, body, headers = final(answer)
    return httpx.Response(status, headers=list(headers), content=body)


class LoopThread:
    """The one private loop of a process's synchronous transports, in a daemon thread; counted."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.pid, self.users = os.getpid(), 0
        self.thread = threading.Thread(target=self.loop.run_forever, name="brackenusher.rpc", daemon=True)
        self.thread.start()

    def run(self, coroutine: Any) -> Any:
        """Run a coroutine there and wait for what it returns; an interrupt gives it up."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        try:
            return future.result()
        except BaseException:
            future.cancel()
            raise

    def stop(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


class Threads:
    """Lends the process's private loop, started with the first user and stopped with the last."""

    def __init__(self) -> None:
        self.pid, self.lock = os.getpid(), threading.Lock()
        self.running: LoopThread | None = None


_threads = Threads()


def threads() -> Threads:
    """Those of this process: a forked child has neither its parent's thread nor a say over its lock."""
    global _threads
    if _threads.pid != os.getpid():
        _threads = Threads()
    return _threads


class BalancedTransport(httpx.BaseTransport):
    """A transport for `httpx.Client`, safe to use from many threads; see `AsyncBalancedTransport`.

    Its core runs on a private loop in one daemon thread, which all synchronous transports of a process share.
    It must be closed: `close` or the client's closing ends the thread with its last user.
    """

    def __init__(self, config: RpcConfig | Mapping[str, Any] | str | Path, **options: Any) -> None:
        self.config, self.options = read_config(config), options
        self.thread: LoopThread | None = None
        self.carrier: AsyncBalancedTransport | None = None
        self.closed = False

    def open(self) -> tuple[LoopThread, AsyncBalancedTransport]:
        """The private loop and the transport on it; made anew in a forked child."""
        own = threads()
        with own.lock:
            if self.closed:
                raise RuntimeError("the transport is closed")
            if self.thread is None or self.carrier is None or self.thread.pid != os.getpid():
                if own.running is None:
                    own.running = LoopThread()
                own.running.users += 1
                self.thread = own.running
                self.carrier = AsyncBalancedTransport(self.config, **self.options)
            return self.thread, self.carrier

    def set_members(self, members: Members) -> None:
        """Hand in a list of the servers; see `BalancedChannel.set_members`."""

        async def hand_in() -> None:
            carrier.picture.set_members(members)

        thread, carrier = self.open()
        self.options["members"] = members
        thread.run(hand_in())

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        body = request.read()
        thread, carrier = self.open()
        response: httpx.Response = thread.run(carrier.handle(request, body))
        return response

    def close(self) -> None:
        own = threads()
        with own.lock:
            closed, self.closed = self.closed, True
            thread, carrier = self.thread, self.carrier
            if closed or thread is None or carrier is None or thread.pid != os.getpid():
                return
            thread.run(carrier.aclose())
            thread.users -= 1
            if not thread.users:
                own.running = None
                thread.stop()
