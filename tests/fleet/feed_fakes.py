"""Fakes for `feed_world`: a store and its writer, and a configuration shard."""

import asyncio
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, Protocol

from barleybarrow.documents import Configuration
from brackenusher.cluster import messages
from brackenusher.storage.slot_store import StorageError


class ControlGroup(Protocol):
    """The parts of a simulation that its fake shards read."""

    voters: list[str]
    voters_index: int
    commits: list[Configuration]


class FakeStore:
    """In-memory slot store that outlives its process and can refuse writes."""

    def __init__(self) -> None:
        self.snapshot: bytes | None = None
        self.records: list[bytes] = []
        self.refuses = False

    def load(self) -> Any:
        return SimpleNamespace(snapshot=self.snapshot, records=list(self.records), damaged=False)

    def append(self, records: list[bytes]) -> None:
        self._check()
        if self.snapshot is None:
            raise StorageError("append before the first snapshot")
        self.records += records

    def replace(self, snapshot: bytes) -> None:
        self._check()
        self.snapshot, self.records = snapshot, []

    def _check(self) -> None:
        if self.refuses:
            raise StorageError("refused")


class FakeWriter:
    """Executes work after a delay, like a disk; discards the work of a process that has ended."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.delay_s, self.alive = rng, 0.002, True

    def submit(self, work: Callable[[], Any]) -> "asyncio.Future[Any]":
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Any] = loop.create_future()
        loop.call_later(self.delay_s * self.rng.uniform(0.5, 2.0), self._do, work, future)
        return future

    def _do(self, work: Callable[[], Any], future: "asyncio.Future[Any]") -> None:
        if not self.alive or future.done():
            return
        try:
            future.set_result(work())
        except StorageError as error:
            future.set_exception(error)


class FakeShard:
    """Fake of the configuration shard: commits arrive late, and reads need a connected majority."""

    def __init__(self, simulation: ControlGroup, links: Any) -> None:
        self.simulation, self.links = simulation, links
        self.on_committed: list[Callable[[Configuration], None]] = []
        self.on_voters: list[Callable[[list[str], int], None]] = []
        self.committed: Configuration | None = None
        self.lag_s = 0.0
        links.on_change(self._on_link_change)

    def _on_link_change(self, address: str, hello: messages.Hello | None) -> None:
        if hello is not None:
            controls = [peer for peer in self.links.connected().values() if peer.role == "control"]
            self.links.send(
                address,
                messages.Members(
                    [self.links.own, *controls], self.voters(), self.simulation.voters_index, ""
                ),
            )

    def document(self) -> dict[str, Any] | None:
        return None if self.committed is None else {"Generation": self.committed.generation}

    def configuration(self) -> Configuration | None:
        return self.committed

    def voters(self) -> list[str]:
        return list(self.simulation.voters)

    def leader(self) -> str:
        return ""

    @property
    def is_leaderless(self) -> bool:
        return self.committed is not None and not self.has_majority()

    def has_majority(self) -> bool:
        connected = {self.links.own.address, *self.links.connected()}
        return len(connected & set(self.simulation.voters)) * 2 > len(self.simulation.voters)

    async def confirm(self, timeout_s: float) -> bool:
        newest = self.simulation.commits[-1] if self.simulation.commits else None
        await asyncio.sleep(0.03 + self.lag_s)
        if not self.has_majority() or 0.03 + self.lag_s > timeout_s:
            await asyncio.sleep(max(0.0, timeout_s - 0.03 - self.lag_s))
            return False
        self.commit(newest)
        return True

    def commit(self, newest: Configuration | None) -> None:
        if newest is None or (self.committed is not None and self.committed.generation >= newest.generation):
            return
        self.committed = newest
        for handler in self.on_committed:
            handler(newest)
