"""Client of the discovery agent: the proxy's protocol state machine over asyncio streams."""

import asyncio
import logging
import random
from collections.abc import Callable

from brackenusher.membership.discovery import Discovery, DiscoveryError
from brackenusher.runtime.driver import Address
from brackenusher.runtime.log import log_event, log_exception
from brackenusher.upstream.listing import Listing

log = logging.getLogger("brackenusher.rpc")

SILENCE_TIMEOUT_MS = 3500.0  # discovery sends a line every 2 s
FIRST_RESPONSE_TIMEOUT_MS = 1500.0  # the agent is on this machine and answers at once, if at all
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 100.0, 1000.0  # same as in the proxy
READ_SIZE_BYTES = 64 * 1024


class DiscoveryWatch:
    """Watches the list of servers: `on_list` gets each update, `on_lost` is called when a connection ends."""

    def __init__(
        self,
        address: Address,
        on_list: Callable[[Listing], None],
        on_lost: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.address, self.on_list, self.on_lost, self.rng = address, on_list, on_lost, rng
        self.seq: int | None = None
        self.backoff_ms = INITIAL_BACKOFF_MS
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the watch unless it is running."""
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.run())

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        while True:
            try:
                await self.run_connection()
                reason = "closed"
            except TimeoutError:
                reason = "silent"
            except (OSError, DiscoveryError) as error:
                reason = str(error)
            except asyncio.CancelledError:
                raise
            except Exception:
                log_exception(log, "discovery_failed", "discovery: unexpected error")
                reason = "failed"
            log_event(log, logging.WARNING, "discovery_lost", "discovery: %(why)s", why=reason)
            self.on_lost()
            wait_ms = self.backoff_ms * (0.5 + self.rng.random())
            self.backoff_ms = min(2 * self.backoff_ms, MAX_BACKOFF_MS)
            await asyncio.sleep(wait_ms / 1000.0)

    async def run_connection(self) -> None:
        """Run one connection until it ends."""
        host, port = self.address
        async with asyncio.timeout(FIRST_RESPONSE_TIMEOUT_MS / 1000.0):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            protocol = Discovery(f"{host}:{port}", self.seq)
            writer.write(protocol.start())
            timeout_ms = FIRST_RESPONSE_TIMEOUT_MS
            while True:
                async with asyncio.timeout(timeout_ms / 1000.0):
                    data = await reader.read(READ_SIZE_BYTES)
                timeout_ms = SILENCE_TIMEOUT_MS
                listings, request = protocol.receive(data)
                self.backoff_ms = INITIAL_BACKOFF_MS
                for listing in listings:
                    self.seq = listing.seq
                    self.on_list(listing)
                if request:
                    writer.write(request)
                if not data:
                    return
        finally:
            writer.close()
