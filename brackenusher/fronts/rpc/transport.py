"""httpx transports, asynchronous and synchronous, which balance requests over a target's servers.

Requests are interpreted as in the proxy (class by path, method by class, `Idempotency-Key`, `Req-Owner`,
`Req-Deadline`), and so are the responses: 503 with Retry-After for a refusal, 502 for a failure.
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
from brackenusher.core.message import MAX_BUFFERED_BODY_BYTES, Content, Message
from brackenusher.core.transaction import Answer, Attempt, Served
from brackenusher.fronts.http import Rejection, RequestClassifier, final_response
from brackenusher.fronts.rpc import picture as target_states
from brackenusher.fronts.rpc.config import RpcConfig, read_config
from brackenusher.fronts.rpc.host import TransactionRunner
from brackenusher.fronts.rpc.lines import InFlightAttempt
from brackenusher.fronts.rpc.metrics import Metrics
from brackenusher.fronts.rpc.picture import Members, TargetState
from brackenusher.upstream.flow import HOP_BY_HOP
from brackenusher.upstream.pool import Member

PROTOCOL = "http"
# share of the servers' idle time-out after which idle connections are closed; same as in the proxy
IDLE_TIMEOUT_SHARE = 0.6
MAX_CONNECTIONS = 256  # per server: its concurrency limit is reached long before
DECLINED_STATUSES = (503, 504)  # with Srv-Declined: 1 they prove that the request was not executed


@dataclass(slots=True, eq=False)
class ForwardedRequest(Message):
    """A request as forwarded; the message of its transaction."""

    scheme: str = "http"


class ServerTransport:
    """The connections to one server: an httpx transport, which connects by itself and never retries."""

    def __init__(
        self, runner: TransactionRunner, member: Member, transport: httpx.AsyncBaseTransport
    ) -> None:
        self.runner, self.transport = runner, transport
        name, port = member.address
        self.authority = b"%s:%d" % (name.encode(), port)

    def ready(self) -> bool:
        return True

    async def connect(self) -> bool:
        return True

    async def execute(
        self, attempt: Attempt, flight: InFlightAttempt, remaining_ms: float
    ) -> tuple[Outcome, Served | None]:
        forwarded = attempt.message
        assert isinstance(forwarded, ForwardedRequest)

        async def trace(name: str, _: Mapping[str, Any]) -> None:
            if name.endswith("send_request_body.complete"):
                flight.written = True  # the kernel has accepted the last byte

        headers = [(name, value) for name, value in forwarded.headers if name not in HOP_BY_HOP]
        headers.append((b"req-deadline", b"%dm" % max(1, int(remaining_ms))))
        request = self.build_request(
            forwarded.method.decode(), forwarded.scheme, forwarded.target, headers, forwarded.body
        )
        request.extensions = {"timeout": self.timeouts(remaining_ms), "trace": trace}
        try:
            response = await self.transport.handle_async_request(request)
            try:
                return await self.read_response(response)
            finally:
                await response.aclose()
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return Outcome.CONNECT_FAILED, None
        except httpx.TimeoutException:
            return (Outcome.TIMEOUT if flight.written else Outcome.NOT_SENT), None
        except httpx.RemoteProtocolError as error:
            if not flight.written:
                return Outcome.CONNECT_FAILED, None
            # else the response is malformed
            connection_closed = "disconnected" in str(error) or "closed" in str(error)
            return (Outcome.RESET if connection_closed else Outcome.ERROR), None
        except httpx.TransportError:
            return (Outcome.RESET if flight.written else Outcome.CONNECT_FAILED), None

    def build_request(
        self, method: str, scheme: str, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> httpx.Request:
        if body or method != "GET":
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        url = httpx.URL(scheme=scheme, netloc=self.authority, raw_path=target)
        return httpx.Request(method, url, headers=headers, stream=httpx.ByteStream(body))

    def timeouts(self, remaining_ms: float) -> dict[str, float]:
        """Time-outs for httpx in seconds, all within the attempt's deadline."""
        connect = min(remaining_ms, self.runner.settings.connect_timeout or remaining_ms) / 1000.0
        return {
            "connect": connect,
            "pool": connect,
            "read": remaining_ms / 1000.0,
            "write": remaining_ms / 1000.0,
        }

    async def read_response(self, response: httpx.Response) -> tuple[Outcome, Served | None]:
        """Read a complete response and map it to an outcome."""
        body = bytearray()
        async for chunk in response.aiter_raw():
            body += chunk
            if len(body) > MAX_BUFFERED_BODY_BYTES:
                return Outcome.ERROR, None
        if response.status_code == 200:
            kind, coding = (response.headers.get(name) for name in ("content-type", "content-encoding"))
            content = Content(bytes(body), kind and kind.encode(), coding and coding.encode())
            return Outcome.SERVED, Served(content)
        if response.status_code in DECLINED_STATUSES and response.headers.get("srv-declined") == "1":
            return Outcome.FULL, None
        return Outcome.ERROR, None

    async def probe(self) -> tuple[Outcome, dict[str, float] | None]:
        # imported here, as it needs epoll and most sites have no probes
        from brackenusher.upstream.connections import read_report

        reports = bool(self.runner.settings.probe_reports)
        request = self.build_request("GET", "http", b"/stats" if reports else b"/health/live", [], b"")
        request.extensions = {"timeout": self.timeouts(self.runner.settings.connect_timeout or 1000.0)}
        try:
            response = await self.transport.handle_async_request(request)
            try:
                outcome, served = await self.read_response(response)
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
        await self.transport.aclose()


class RequestReader:
    """Interprets requests as the proxy does, for the classes and tenants of the settings."""

    def __init__(self, settings: face.Settings) -> None:
        self.classifier = RequestClassifier(settings)
        self.ids = (f"{secrets.token_hex(6)}{n:04x}".encode() for n in itertools.count())

    def read(self, request: httpx.Request, body: bytes) -> tuple[ForwardedRequest, Request] | Rejection:
        """The request to forward with its classification, or a 4xx response."""
        headers = [(name.lower(), value) for name, value in request.headers.raw]
        if "req-id" not in request.headers:
            headers.append((b"req-id", next(self.ids)))
        url = request.url
        forwarded = ForwardedRequest(request.method.encode(), url.raw_path, headers, body, scheme=url.scheme)
        header_map = self.classifier.index_headers(headers)
        if isinstance(header_map, Rejection):
            return header_map
        if len(body) > MAX_BUFFERED_BODY_BYTES:
            return Rejection(413, "the body is too large")
        item = self.classifier.parse(forwarded, header_map)
        if isinstance(item, Rejection):
            return item
        read_timeout_s = (request.extensions.get("timeout") or {}).get("read")
        if read_timeout_s is not None:
            item.timeout_ms = min(item.timeout_ms, read_timeout_s * 1000.0)
        return forwarded, item


class AsyncBalancedTransport(httpx.AsyncBaseTransport):
    """A transport for `httpx.AsyncClient`; the host in the URL is ignored, the policy chooses the server.

    `config`: an RpcConfig, a mapping or the path of a TOML file; its table of methods is not used. `members`:
    an initial list of servers. `dial` replaces the creation of the transport to one server; otherwise
    `options` go to `httpx.AsyncHTTPTransport`. It opens with its first request, on the running loop;
    `aclose` or closing the client closes it.

    Raises ConfigError if the configuration is invalid.
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
        self.request_reader = RequestReader(self.config.settings)
        self.members, self.metrics, self.options = members, metrics, options
        self.dial = dial or self.create_transport
        self.acquired: TargetState | None = None
        self.closed = False

    def create_transport(self, member: Member) -> httpx.AsyncBaseTransport:
        idle_timeout_ms = self.config.settings.conn_idle
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=idle_timeout_ms * IDLE_TIMEOUT_SHARE / 1000.0 if idle_timeout_ms else None,
        )
        return httpx.AsyncHTTPTransport(**{"limits": limits, "trust_env": False, **self.options}, retries=0)

    def create_connection(self, state: TargetState, member: Member) -> ServerTransport:
        return ServerTransport(state.host, member, self.dial(member))

    def open(self) -> None:
        """Acquire the target's state on the running loop; again in a forked child."""
        if self.closed:
            raise RuntimeError("the transport is closed")
        state = self.acquired
        if state is not None and state.pid == os.getpid():
            if state.loop is not asyncio.get_running_loop():
                raise RuntimeError("the transport is open on another event loop")
            return
        self.acquired = target_states.acquire(PROTOCOL, self.config, self.create_connection, self.metrics)
        if self.members is not None:
            self.acquired.set_members(self.members)

    @property
    def picture(self) -> TargetState:
        """State of the servers, shared with the other transports of the target."""
        self.open()
        assert self.acquired is not None
        return self.acquired

    def set_members(self, members: Members) -> None:
        """Set the list of servers; see `BalancedChannel.set_members`."""
        if self.acquired is None:
            self.members = members
        else:
            self.picture.set_members(members)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        return await self.handle(request, await request.aread())

    async def handle(self, request: httpx.Request, body: bytes) -> httpx.Response:
        """Process a request; cancelling this cancels the transaction."""
        self.open()
        item = self.request_reader.read(request, body)
        if isinstance(item, Rejection):
            return httpx.Response(item.status, headers=list(item.headers), content=item.text.encode() + b"\n")
        forwarded, classified = item
        runner = self.picture.host
        answered: asyncio.Future[Answer] = runner.loop.create_future()

        def reply(answer: Answer) -> None:
            if not answered.done():
                answered.set_result(answer)

        pending = runner.start_call(
            classified.class_index,
            classified.timeout_ms,
            forwarded,
            reply,
            classified.tenant,
            classified.is_retry,
        )
        try:
            return build_response(await answered)
        except asyncio.CancelledError:
            runner.cancel_call(pending)
            raise

    async def aclose(self) -> None:
        """Close the transport; the last transport of a target answers its open requests with 502."""
        if not self.closed:
            self.closed, state = True, self.acquired
            if state is not None and state.pid == os.getpid():
                await target_states.release(PROTOCOL, state)


def build_response(answer: Answer) -> httpx.Response:
    status, body, headers = final_response(answer)
    return httpx.Response(status, headers=list(headers), content=body)


class LoopThread:
    """The event loop of a process's synchronous transports, in a daemon thread; reference-counted."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.pid, self.user_count = os.getpid(), 0
        self.thread = threading.Thread(target=self.loop.run_forever, name="brackenusher.rpc", daemon=True)
        self.thread.start()

    def run(self, coroutine: Any) -> Any:
        """Run a coroutine in the thread and wait for its result; an interrupt cancels it."""
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


class LoopThreadHolder:
    """Holds the process's loop thread, which starts with its first user and stops with its last."""

    def __init__(self) -> None:
        self.pid, self.lock = os.getpid(), threading.Lock()
        self.thread: LoopThread | None = None


_loop_thread_holder = LoopThreadHolder()


def loop_thread_holder() -> LoopThreadHolder:
    """The instance of this process: a forked child has no such thread, and its lock may be held for ever."""
    global _loop_thread_holder
    if _loop_thread_holder.pid != os.getpid():
        _loop_thread_holder = LoopThreadHolder()
    return _loop_thread_holder


class BalancedTransport(httpx.BaseTransport):
    """A transport for `httpx.Client`, safe to use from many threads; see `AsyncBalancedTransport`.

    Transactions run on a private loop in one daemon thread, shared by all such transports of a process. It
    must be closed: `close` or closing the client ends the thread with its last user.
    """

    def __init__(self, config: RpcConfig | Mapping[str, Any] | str | Path, **options: Any) -> None:
        self.config, self.options = read_config(config), options
        self.loop_thread: LoopThread | None = None
        self.async_transport: AsyncBalancedTransport | None = None
        self.closed = False

    def open(self) -> tuple[LoopThread, AsyncBalancedTransport]:
        """The loop thread and the transport on it; created again in a forked child."""
        holder = loop_thread_holder()
        with holder.lock:
            if self.closed:
                raise RuntimeError("the transport is closed")
            if (
                self.loop_thread is None
                or self.async_transport is None
                or self.loop_thread.pid != os.getpid()
            ):
                if holder.thread is None:
                    holder.thread = LoopThread()
                holder.thread.user_count += 1
                self.loop_thread = holder.thread
                self.async_transport = AsyncBalancedTransport(self.config, **self.options)
            return self.loop_thread, self.async_transport

    def set_members(self, members: Members) -> None:
        """Set the list of servers; see `BalancedChannel.set_members`."""

        async def set_on_loop() -> None:
            async_transport.picture.set_members(members)

        thread, async_transport = self.open()
        self.options["members"] = members
        thread.run(set_on_loop())

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        body = request.read()
        thread, async_transport = self.open()
        response: httpx.Response = thread.run(async_transport.handle(request, body))
        return response

    def close(self) -> None:
        holder = loop_thread_holder()
        with holder.lock:
            closed, self.closed = self.closed, True
            thread, async_transport = self.loop_thread, self.async_transport
            if closed or thread is None or async_transport is None or thread.pid != os.getpid():
                return
            thread.run(async_transport.aclose())
            thread.user_count -= 1
            if not thread.user_count:
                holder.thread = None
                thread.stop()
