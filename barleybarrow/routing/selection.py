"""Picks the fastest idle server for one request; it changes nothing.

All servers of a small fleet are weighed; of a large one a few: the neighbours of the prompt's last shared
part on a ring, where it is likely kept, and some drawn by chance.
"""

import random
from typing import NamedTuple

from barleybarrow.routing.actions import DispatchRequest, DispatchSettings
from barleybarrow.routing.exchange import Choice, Exchange
from barleybarrow.routing.pool import ServerRecord, ServicePool
from barleybarrow.routing.rendezvous import stable_hash, weight

TIE_SHARE = 0.1  # estimates this near to the best are a tie: less than the spread left after smoothing
TIE_MS = 1.0  # and so near in any case: less than a hop between zones
HOMES_WEIGHED = 3  # in a large fleet: the home of a part and where it spills over
DRAWN = 5  # in a large fleet: drawn by chance, of which some are idle
ELSEWHERE_SHARE = 0.5  # of the shared tokens that other proxies are thought to have sent to the home already


class _Weighed(NamedTuple):
    idle: bool
    expected_ms: float
    rank: int
    choice: Choice


def subject_of(request: DispatchRequest) -> str | None:
    """The last shared part of the prompt; the part after it is the request's own."""
    parts = request.prompt_parts
    return parts[-2][0] if len(parts) >= 2 else None


class Selector:
    """Weighs servers for a request."""

    def __init__(self, settings: DispatchSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng

    def pick(self, now: float, pool: ServicePool, exchange: Exchange) -> Choice | None:
        """The server to send to now; None if none may be tried."""
        request = exchange.request
        subject = subject_of(request)
        key = stable_hash(subject) if subject else self._rng.getrandbits(64)
        candidates = self._candidates(now, pool, exchange, key)
        if not candidates:
            return None
        home = max(candidates, key=lambda server: weight(key, server.hash)) if subject else None
        weighed = [self._weigh(now, pool, request, server, key, server is home) for server in candidates]
        if any(entry.idle for entry in weighed):
            weighed = [entry for entry in weighed if entry.idle]
        best_ms = min(entry.expected_ms for entry in weighed)
        within = best_ms + max(TIE_MS, TIE_SHARE * best_ms)
        tied = [entry for entry in weighed if entry.expected_ms <= within]
        return max(tied, key=lambda entry: entry.rank).choice

    def _candidates(self, now: float, pool: ServicePool, exchange: Exchange, key: int) -> list[ServerRecord]:
        """Servers that may be tried: those neither ejected nor full first, then any."""
        servers = self._sample(pool, key)
        untried = [server for server in servers if server.info.id not in exchange.tried]
        well = [server for server in untried if server.health.ejected_until <= now]
        well = [server for server in well if not server.health.trial or not server.in_flight]
        free = [server for server in well if server.health.full_until <= now]
        return free or well or untried

    def _sample(self, pool: ServicePool, key: int) -> list[ServerRecord]:
        ready = pool.ready
        if pool.ring is None:
            return ready
        found = [pool.servers[name] for name in pool.ring.neighbours(key, HOMES_WEIGHED)]
        size = len(ready)
        found += [ready[int(self._rng.random() * size)] for _ in range(DRAWN)]
        return found

    def _weigh(
        self,
        now: float,
        pool: ServicePool,
        request: DispatchRequest,
        server: ServerRecord,
        key: int,
        home: bool,
    ) -> _Weighed:
        parts = request.prompt_parts
        kept = server.cache.kept_tokens(parts)
        shared = request.prompt_tokens - parts[-1][1] if home and parts else 0
        if shared > kept:
            kept += int((shared - kept) * ELSEWHERE_SHARE)
        tokens_to_read = max(0, request.prompt_tokens - kept)
        reading_ms = tokens_to_read * pool.reading.ms_per_token
        backlog_ms = max(0.0, server.reading_until - now)
        excess_ms = max(0.0, server.speed.at(now, pool.excess.value))
        expected_ms = reading_ms + backlog_ms + excess_ms
        idle = server.in_flight < server.idle.limit
        choice = Choice(server, tokens_to_read, reading_ms, backlog_ms, expected_ms)
        return _Weighed(idle, expected_ms, weight(key, server.hash), choice)
