"""The servers of one service as this proxy knows them, and what it has learned of the service as a whole.

Records only; decisions are made by the dispatcher and its parts.
"""

from collections.abc import Iterable

from barleybarrow.documents import Service
from barleybarrow.routing.actions import ServerInfo, ServerState
from barleybarrow.routing.outliers import ServerHealth
from barleybarrow.routing.prefix_cache import PrefixCache
from barleybarrow.routing.rendezvous import HashRing, stable_hash
from barleybarrow.routing.speed import EXCESS_WEIGHT, ReadingTime, ServerSpeed, Smoothed
from barleybarrow.routing.thresholds import IdleThreshold

LARGE_FLEET = 24  # servers: up to here all are looked at for each request, beyond only a few


class ServerRecord:
    """One server: what it says of itself and what this proxy learned."""

    __slots__ = (
        "info",
        "hash",
        "in_flight",
        "reading_until",
        "streams",
        "health",
        "speed",
        "idle",
        "cache",
        "listed",
    )

    def __init__(
        self, info: ServerInfo, first_limit: float, kept_tokens: float, mean_ms: float, now: float
    ) -> None:
        self.info = info
        self.hash = stable_hash(info.id)
        self.in_flight = 0  # own requests there
        self.reading_until = 0.0  # when it will have read the prompts this proxy sent there
        self.streams = 0  # own requests there that have had their first event
        self.health = ServerHealth()
        self.speed = ServerSpeed(mean_ms, now)
        self.idle = IdleThreshold(first_limit, max(info.slots, 1))
        self.cache = PrefixCache(kept_tokens)
        self.listed = True


class ServicePool:
    """The servers of one service."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.servers: dict[str, ServerRecord] = {}
        self.ready: list[ServerRecord] = []
        self.reading = ReadingTime()
        self.excess = Smoothed(EXCESS_WEIGHT)
        self.failures = 0.0  # smoothed share of answers that fail, over all servers
        self.ring: HashRing | None = None

    def update(self, now: float, servers: Iterable[ServerInfo], proxies: int) -> list[ServerRecord]:
        """Take a new list; returns the records of those that are no longer on it."""
        engine = self.service.engine
        kept_tokens = engine.kv_capacity_tokens if engine else 0
        before, self.servers = self.servers, {}
        for info in servers:
            record = before.pop(info.id, None)
            if record is None:
                slots = max(info.slots, 1)
                record = ServerRecord(info, slots / max(proxies, 1), kept_tokens, self.excess.value, now)
            record.info = info
            self.servers[info.id] = record
        self.ready = [record for record in self.servers.values() if record.info.state == ServerState.READY]
        self.ring = HashRing(r.info.id for r in self.ready) if len(self.ready) > LARGE_FLEET else None
        for record in before.values():
            record.listed = False
        return list(before.values())
