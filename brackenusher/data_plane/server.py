"""The client listener and the lifecycle of the data plane: start, timeouts, readiness, graceful shutdown."""

import asyncio
import logging
from collections.abc import Callable

from brackenusher.data_plane.front_connection import ClientConnection
from brackenusher.data_plane.proxy import Proxy

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024  # a full accept queue drops SYNs, which are retransmitted only after a second or more
SWEEP_INTERVAL_S = 0.25  # between checks of connection timeouts
UNREADY_NOTICE_S = 2.5  # the platform needs two failed readiness probes, one second apart
SHUTDOWN_MARGIN_S = 0.7  # reserved at the end of the grace period, but no more than the part below
MAX_MARGIN_PART = 1 / 6  # a cut is excused only in the last sixth of the grace period (rule LOST)
FINAL_WRITE_TIMEOUT_S = (
    0.3  # of that margin, for responses that are still in write buffers: half of it at most
)
DRAIN_POLL_INTERVAL_S = 0.05  # between checks for unfinished requests
RESERVED_FDS = 200  # of the descriptor limit, for files and other sockets
CLIENT_FD_FRACTION = 0.6  # the rest is for upstream connections and links


class DataPlaneServer:
    """Listens for clients at one address."""

    def __init__(self, proxy: Proxy, max_fds: int, feed_ready: Callable[[], bool]) -> None:
        self._proxy = proxy
        self._feed_ready = feed_ready
        self._loop = asyncio.get_running_loop()
        self._max_client_connections = max(16, int((max_fds - RESERVED_FDS) * CLIENT_FD_FRACTION))
        self._listener: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, address: str) -> None:
        """Listen at "ip:port". Raises OSError."""
        host, _, port = address.rpartition(":")
        self._listener = await self._loop.create_server(
            lambda: ClientConnection(self._loop, self._proxy),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def port(self) -> int:
        """The listening port."""
        assert self._listener is not None
        port = self._listener.sockets[0].getsockname()[1]
        assert isinstance(port, int)
        return port

    @property
    def listening(self) -> bool:
        """Whether new clients can connect."""
        return self._listener is not None and self._listener.is_serving()

    def is_ready(self) -> bool:
        """Whether new clients should be sent here."""
        return (
            self._feed_ready() and not self._proxy.drain.announced and self._proxy.configuration is not None
        )

    async def shut_down(self, grace_s: float) -> None:
        """Report not ready, serve until the platform has noticed, then finish the requests in flight."""
        self._proxy.drain.announce()
        started = self._loop.time()
        margin_s = min(SHUTDOWN_MARGIN_S, max(0.0, grace_s) * MAX_MARGIN_PART)
        end = started + max(0.0, grace_s) - margin_s
        await self._wait_until(min(started + UNREADY_NOTICE_S, end))
        if self._listener is not None:
            self._listener.close()
        self._proxy.drain.close_intake(end)
        self._log_phase("intake_closed", started)
        await self._drain(end, self._proxy.busy)
        self._log_phase("ended", started)
        self._proxy.finish_all()
        writes_end = self._loop.time() + min(FINAL_WRITE_TIMEOUT_S, margin_s / 2)
        await self._drain(writes_end, lambda: bool(self._proxy.client_connections))
        self.close()

    def _log_phase(self, phase: str, started: float) -> None:
        """Log how far the shutdown is; what is in flight when it has ended is cut."""
        log.info(
            "shutdown: phase=%s after_ms=%d connections=%d in_flight=%d",
            phase,
            (self._loop.time() - started) * 1000.0,
            len(self._proxy.client_connections),
            self._proxy.in_flight(),
        )

    async def _drain(self, end: float, unfinished: Callable[[], bool]) -> None:
        self._close_idle()
        while unfinished() and self._loop.time() < end:
            await self._wait_until(min(self._loop.time() + DRAIN_POLL_INTERVAL_S, end))
            self._close_idle()

    def close(self) -> None:
        """Close everything at once."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._proxy.client_connections):
            connection.close_at_once()
        self._proxy.pool.close_all()

    async def _wait_until(self, moment: float) -> None:
        await asyncio.sleep(max(0.0, moment - self._loop.time()))

    def _close_idle(self) -> None:
        for connection in list(self._proxy.client_connections):
            if connection.idle:
                connection.close()

    def _sweep(self) -> None:
        now = self._loop.time()
        for connection in list(self._proxy.client_connections):
            connection.poll_client_end()
            if connection.expires_at <= now:
                connection.expire()
        self._close_excess_idle()
        self._proxy.pool.close_expired()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _close_excess_idle(self) -> None:
        excess = len(self._proxy.client_connections) - self._max_client_connections
        if excess <= 0:
            return
        idle = sorted(
            (connection for connection in self._proxy.client_connections if connection.idle),
            key=lambda front: front.idle_since,
        )
        for front in idle[:excess]:
            front.close()
