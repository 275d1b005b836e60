"""Picks the fastest idle server for one request; it changes nothing.

A prompt with a shared subject is first weighed at the few servers that come first in the subject's own
order, the same in all proxies; where none of them is idle and near, all are weighed. Of a large fleet only
some are looked at.
"""

import random
from dataclasses import dataclass
from typing import NamedTuple

from barleybarrow.routing.actions import DispatchRequest
from barleybarrow.routing.exchange import Choice, Exchange
from barleybarrow.routing.pool import ServerRecord, ServicePool
from barleybarrow.routing.rendezvous import stable_hash, weight

TIE_SHARE = 0.1  # estimates this near to the best are a tie: less than the spread left after smoothing
TIE_MS = 1.0  # and so near in any case: less than a hop between zones
HOMES = 3  # servers that a subject lives on: one is often busy; more of them read more parts again
DRAWN = 5  # in a large fleet: drawn by chance, of which some are idle
FAR_SHARE_OF_AIM = 0.5  # beyond this all servers are weighed: the wait has used up what a kept part saves
APART_SHARE_OF_AIM = 1 / 4  # what a long stream loses, in time, on a server that is not kept for streams
SAFE_SHARE_OF_GAP = 0.4  # of the pause that a stream bears: reading for so long harms none of them
STALL_WEIGHT = 0.5  # what a millisecond of reading beyond that costs, for the short streams on every server
STREAMS_STALL_WEIGHT = 2.0  # and on a server that is kept for long streams
ELSEWHERE_SHARE = 0.5  # of a subject's tokens that proxies which tell nothing are thought to have sent home


class _Weighed(NamedTuple):
    idle: bool
    expected_ms: float
    rank: int
    choice: Choice


@dataclass(slots=True)
class _Query:
    """One request to be weighed at several servers."""

    now: float
    pool: ServicePool
    request: DispatchRequest
    is_streaming: bool
    key: int  # hash of the subject, by chance where there is none
    home: ServerRecord | None = None  # first in the subject's order


def subject_of(request: DispatchRequest) -> str | None:
    """The last shared part of the prompt; the part after it is the request's own."""
    parts = request.prompt_parts
    return parts[-2][0] if len(parts) >= 2 else None


class Selector:
    """Weighs servers for a request."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(self, now: float, pool: ServicePool, exchange: Exchange) -> Choice | None:
        """The server to send to now; None if none may be tried."""
        request = exchange.request
        subject = subject_of(request)
        key = stable_hash(subject) if subject else self._rng.getrandbits(64)
        candidates = self._candidates(now, pool, exchange, key)
        if not candidates:
            return None
        query = _Query(now, pool, request, pool.profile(request.route.name).is_streaming, key)
        if subject and not query.is_streaming:
            candidates.sort(key=lambda server: weight(key, server.hash), reverse=True)
            query.home = candidates[0]
            best = self._best(query, candidates[:HOMES])
            if best.idle and best.expected_ms <= FAR_SHARE_OF_AIM * request.route.target_latency_ms:
                return best.choice
        return self._best(query, candidates).choice

    def _best(self, query: _Query, servers: list[ServerRecord]) -> _Weighed:
        """The fastest idle one, or the fastest if none is idle; near-ties by the key's order."""
        weighed = [self._weigh(query, server) for server in servers]
        weighed = [entry for entry in weighed if entry.idle] or weighed
        best_ms = min(entry.expected_ms for entry in weighed)
        within = best_ms + max(TIE_MS, TIE_SHARE * best_ms)
        return max((entry for entry in weighed if entry.expected_ms <= within), key=lambda entry: entry.rank)

    def _candidates(self, now: float, pool: ServicePool, exchange: Exchange, key: int) -> list[ServerRecord]:
        """Servers that may be tried: those neither ejected nor full first, then any."""
        tried = exchange.tried
        untried = [server for server in self._sample(pool, key) if server.info.id not in tried]
        well = [
            server
            for server in untried
            if server.health.ejected_until <= now and not (server.health.trial and server.in_flight)
        ]
        free = [server for server in well if server.health.full_until <= now]
        return free or well or untried

    def _sample(self, pool: ServicePool, key: int) -> list[ServerRecord]:
        ready = pool.ready
        if pool.ring is None:
            return ready
        found = [pool.servers[name] for name in pool.ring.neighbours(key, HOMES)]
        size = len(ready)
        found += [ready[int(self._rng.random() * size)] for _ in range(DRAWN)]
        return found

    def _weigh(self, query: _Query, server: ServerRecord) -> _Weighed:
        now, pool, request = query.now, query.pool, query.request
        tokens_to_read = request.prompt_tokens - kept_tokens(request, server)
        if server is query.home and request.prompt_parts[-2][0] not in server.cache:
            unheard_share = 1 - pool.informed_share
            tokens_to_read -= int(ELSEWHERE_SHARE * unheard_share * request.prompt_parts[-2][1])
        reading_ms = tokens_to_read * pool.reading.ms_per_token
        backlog_ms = max(server.waiting_ms + server.overdue_ms(now), server.reading_until - now)
        expected_ms = reading_ms + backlog_ms + max(0.0, pool.excess.value)
        expected_ms += server.speed.slower_ms(now, pool.excess.value)
        expected_ms += self._harm_ms(query, server, reading_ms)
        choice = Choice(server, tokens_to_read, reading_ms, server.waiting_ms, expected_ms)
        idle = server.in_flight < server.idle.limit
        return _Weighed(idle, expected_ms, weight(query.key, server.hash), choice)

    def _harm_ms(self, query: _Query, server: ServerRecord, reading_ms: float) -> float:
        """What it costs, as time, that prompts which are read hold up the streams beside them."""
        route = query.request.route
        if query.is_streaming:
            return 0.0 if server.for_streams else APART_SHARE_OF_AIM * route.target_latency_ms
        over_ms = server.reading_span_ms(query.now, reading_ms) - SAFE_SHARE_OF_GAP * route.gap_aim_ms
        if over_ms <= 0 or route.gap_aim_ms <= 0:
            return 0.0
        return over_ms * (STREAMS_STALL_WEIGHT if server.for_streams else STALL_WEIGHT)


def kept_tokens(request: DispatchRequest, server: ServerRecord) -> int:
    """Tokens of the prompt that the server is thought to keep, by what is known to have been sent there."""
    parts = request.prompt_parts
    if len(parts) < 2:
        return server.cache.kept_tokens(parts)
    subject, own = parts[-2], parts[-1]
    kept = request.prompt_tokens - subject[1] - own[1]  # what comes before a subject is kept everywhere
    if subject[0] in server.cache:
        kept += subject[1]
        if own[0] in server.cache:
            kept += own[1]
    return max(0, kept)
