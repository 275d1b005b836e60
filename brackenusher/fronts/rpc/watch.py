"""The driver toward discovery's agent on asyncio: the daemon's machine, round asyncio's streams."""

import asyncio
import logging
import random
from collections.abc import Callable

from brackenusher.membership.discovery import Discovery, DiscoveryError
from brackenusher.runtime.driver import Address
from brackenusher.runtime.log import fault, say
from brackenusher.upstream.listing import Listing

log = logging.getLogger("brackenusher.rpc")

SILENCE = 3500.0  # milliseconds; discovery sends a line every 2 s
FIRST_WORD = 1500.0  # milliseconds; the agent is on this machine and answers at once, if at all
BACK_OFF, LONGEST_BACK_OFF = 100.0, 1000.0  # milliseconds; as the daemon's
PIECE = 64 * 1024


class Watch:
    """Keeps a list up to date: `take` gets each listing, `lost` is called when a connection ends."""

    def __init__(
        self,
        address: Address,
        take: Callable[[Listing], None],
        lost: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.address, self.take, self.lost, self.rng = address, take, lost, rng
        self.seq: int | None = None
        self.back_off = BACK_OFF
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Watch from now on, unless that is done already."""
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.run())

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        while True:
            try:
                await self.connection()
                why = "closed"
            except TimeoutError:
                why = "silent"
            except (OSError, DiscoveryError) as error:
                why = str(error)
            except asyncio.CancelledError:
                raise
            except Exception:
                fault(log, "discovery_failed", "discovery: failed in an unforeseen way")
                why = "failed"
            say(log, logging.WARNING, "discovery_lost", "discovery: %(why)s", why=why)
            self.lost()
            wait = self.back_off * (0.5 + self.rng.random())
            self.back_off = min(2 * self.back_off, LONGEST_BACK_OFF)
            await asyncio.sleep(wait / 1000.0)

    async def connection(self) -> None:
        """One connection, until it ends."""
        host, port = self.address
        async with asyncio.timeout(FIRST_WORD / 1000.0):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            machine = Discovery(f"{host}:{port}", self.seq)
            writer.write(machine.start())
            limit = FIRST_WORD
            while True:
                async with asyncio.timeout(limit / 1000.0):
                    data = await reader.read(PIECE)
                limit = SILENCE
                listings, call = machine.receive(data)
                self.back_off = BACK_OFF
                for listing in listings:
                    self.seq = listing.seq
                    self.take(listing)
                if call:
                    writer.write(call)
                if not data:
                    return
        finally:
            writer.close()
