"""The listener for clients and the life of the data plane: start, housekeeping, readiness, graceful end."""

import asyncio
import logging
from collections.abc import Callable

from brackenusher.data_plane.front_connection import FrontConnection
from brackenusher.data_plane.proxy import Proxy

log = logging.getLogger(__name__)

BACKLOG = (
    1024  # a full queue of new connections drops the opening packet, which comes again only after seconds
)
SWEEP_S = 0.25  # how often timeouts of connections are looked at
NOTICE_S = 2.5  # the platform notices within two missed probes, a second apart, that the proxy is not ready
END_MARGIN_S = 0.7  # kept free of the grace for closing down
LAST_WRITES_S = 0.3  # of that margin, for answers that are still in buffers
DRAIN_STEP_S = 0.05  # how often the end looks whether all is answered
RESERVED_FDS = 200  # of the descriptors, for files outside the data folder
FRONT_SHARE_OF_FDS = 0.6  # the rest is for servers and links


class DataPlaneServer:
    """Serves clients at one address."""

    def __init__(self, proxy: Proxy, max_fds: int, feed_ready: Callable[[], bool]) -> None:
        self._proxy = proxy
        self._feed_ready = feed_ready
        self._loop = asyncio.get_running_loop()
        self._most_fronts = max(16, int((max_fds - RESERVED_FDS) * FRONT_SHARE_OF_FDS))
        self._listener: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, address: str) -> None:
        """Listen at "ip:port"; raises OSError where that is not possible."""
        host, _, port = address.rpartition(":")
        self._listener = await self._loop.create_server(
            lambda: FrontConnection(self._loop, self._proxy),
            host,
            int(port),
            backlog=BACKLOG,
            reuse_address=True,
        )
        self._sweep_timer = self._loop.call_later(SWEEP_S, self._sweep)

    @property
    def port(self) -> int:
        """The port that is listened at."""
        assert self._listener is not None
        port = self._listener.sockets[0].getsockname()[1]
        assert isinstance(port, int)
        return port

    def readiness(self) -> bool:
        """Whether new clients should come here."""
        return self._feed_ready() and not self._proxy.leaving and self._proxy.configuration is not None

    async def shut_down(self, grace_s: float) -> None:
        """Not ready from now on; serve until the platform has noticed, then finish what is under way."""
        self._proxy.leaving = True
        started = self._loop.time()
        end = started + max(0.0, grace_s - END_MARGIN_S)
        await self._wait_until(min(started + NOTICE_S, end))
        if self._listener is not None:
            self._listener.close()
        await self._drain(end, self._proxy.busy)
        self._proxy.end_all()
        await self._drain(self._loop.time() + LAST_WRITES_S, lambda: bool(self._proxy.fronts))
        self.close()

    async def _drain(self, end: float, unfinished: Callable[[], bool]) -> None:
        self._close_idle()
        while unfinished() and self._loop.time() < end:
            await self._wait_until(min(self._loop.time() + DRAIN_STEP_S, end))
            self._close_idle()

    def close(self) -> None:
        """End everything at once."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for front in list(self._proxy.fronts):
            front.close()
        self._proxy.pool.close_all()

    async def _wait_until(self, moment: float) -> None:
        await asyncio.sleep(max(0.0, moment - self._loop.time()))

    def _close_idle(self) -> None:
        for front in list(self._proxy.fronts):
            if front.idle:
                front.close()

    def _sweep(self) -> None:
        now = self._loop.time()
        for front in list(self._proxy.fronts):
            if front.expires_at <= now:
                front.expire()
        self._close_surplus()
        self._proxy.pool.close_expired()
        self._sweep_timer = self._loop.call_later(SWEEP_S, self._sweep)

    def _close_surplus(self) -> None:
        surplus = len(self._proxy.fronts) - self._most_fronts
        if surplus <= 0:
            return
        idle = sorted(
            (front for front in self._proxy.fronts if front.idle), key=lambda front: front.rested_at
        )
        for front in idle[:surplus]:
            front.close()
