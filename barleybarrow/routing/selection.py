"""Picks the fastest idle server for one request; it changes nothing.

A prompt with a shared subject is first weighed at the few servers that come first in the subject's own
order, the same in all proxies; where none of them is idle and near, all are weighed. Of a large fleet only
some are looked at.
"""

import random
from dataclasses import dataclass
from math import inf

from barleybarrow.documents import RouteKind
from barleybarrow.routing.actions import DispatchRequest
from barleybarrow.routing.exchange import Choice, Exchange
from barleybarrow.routing.pool import ServerRecord, ServicePool
from barleybarrow.routing.prefix_cache import PromptParts
from barleybarrow.routing.rendezvous import HASH_BITS, ranked, stable_hash

TIE_SHARE = 0.1  # estimates this near to the best are a tie: less than the spread left after smoothing
TIE_MS = 1.0  # and so near in any case: less than a hop between zones
HOMES = 3  # servers that a subject lives on: one is often busy; more of them read more parts again
DRAWN = 5  # in a large fleet: drawn by chance, of which some are idle
FAR_SHARE_OF_AIM = 0.5  # beyond this all servers are weighed: the wait has used up what a kept part saves
APART_SHARE_OF_AIM = 1 / 4  # what a long stream loses, in time, on a server that is not kept for streams
HELD_POWER = 4  # slots that streams hold cost little until few are left
STREAM_HELD_WEIGHT = 0.5  # of the aim: a further stream goes where the fewest are
SAFE_SHARE_OF_GAP = 0.4  # of the pause that a stream bears: reading for so long harms none of them
STALL_WEIGHT = 0.5  # what a millisecond of reading beyond that costs, for the short streams on every server
STREAMS_STALL_WEIGHT = 2.0  # and on a server that is kept for long streams
OWN_STALL_WEIGHT = 0.3  # what a millisecond of reading costs beside each stream of this proxy's own
COLD_FACTOR = 2.0  # by what a server that says it is still cold is thought slower
AGAIN_SHARE_OF_AIM = 1 / 4  # what reading a subject again costs, in time, where it was read of late elsewhere
ELSEWHERE_SHARE = 0.5  # of a subject's tokens that proxies which tell nothing are thought to have sent home


@dataclass(slots=True)
class _Query:
    """One request to be weighed at several servers, with what is the same at all of them."""

    now: float
    request: DispatchRequest
    is_streaming: bool
    ms_per_token: float
    mean_excess_ms: float  # of the service
    common_tokens: (
        int  # of the prompt, to be read wherever nothing is kept: what precedes a subject always is
    )
    unheard_tokens: int  # of the subject, that others are thought to have sent to its home
    safe_ms: float  # reading in one go that harms no stream
    apart_ms: float  # what a long stream loses on a server that is not kept for streams
    again_ms: float  # what reading the subject at a server that does not keep it costs beside the time


@dataclass(slots=True)
class _Weighed:
    cost_ms: float
    choice: Choice
    idle: bool


def subject_of(request: DispatchRequest) -> str | None:
    """The last shared part of the prompt; the part after it is the request's own."""
    parts = request.prompt_parts
    return parts[-2][0] if len(parts) >= 2 else None


class Selector:
    """Weighs servers for a request."""

    def __init__(self, rng: random.Random, again_ms: float = 0.0) -> None:
        self._rng = rng
        self.again_ms = again_ms

    def pick(self, now: float, pool: ServicePool, exchange: Exchange) -> Choice | None:
        """The server to send to now; None if none may be tried."""
        request = exchange.request
        subject = subject_of(request)
        key = stable_hash(subject) if subject else self._rng.getrandbits(HASH_BITS)
        candidates = self._candidates(now, pool, exchange, key)
        if not candidates:
            return None
        in_order = ranked(key, candidates)
        query = self._query(now, pool, request)
        if subject and not query.is_streaming and len(in_order) > HOMES:
            best = self._best(query, in_order[:HOMES])
            if best.idle and best.cost_ms <= FAR_SHARE_OF_AIM * request.route.target_latency_ms:
                return best.choice
        return self._best(query, in_order).choice

    def others(self, pool: ServicePool, exchange: Exchange) -> bool:
        """Whether there is a server that has not been tried."""
        return any(server.info.id not in exchange.tried for server in pool.ready)

    def _query(self, now: float, pool: ServicePool, request: DispatchRequest) -> _Query:
        route, parts = request.route, request.prompt_parts
        common = parts[-1][1] + parts[-2][1] if len(parts) >= 2 else request.prompt_tokens
        unheard = ELSEWHERE_SHARE * (1 - pool.informed_share) * parts[-2][1] if len(parts) >= 2 else 0.0
        return _Query(
            now,
            request,
            pool.profile(route.name).is_streaming,
            pool.reading.ms_per_token,
            pool.excess.value,
            common,
            int(unheard),
            SAFE_SHARE_OF_GAP * route.gap_aim_ms or inf,
            APART_SHARE_OF_AIM * route.target_latency_ms,
            self._again_ms(now, pool, request),
        )

    def _again_ms(self, now: float, pool: ServicePool, request: DispatchRequest) -> float:
        subject = subject_of(request)
        if subject is None or not pool.was_used(subject, now - self.again_ms):
            return 0.0
        return AGAIN_SHARE_OF_AIM * request.route.target_latency_ms

    def _best(self, query: _Query, in_order: list[ServerRecord]) -> _Weighed:
        """The fastest idle one, or the fastest if none is idle; of near-ties the first in the key's order."""
        home = in_order[0]
        weighed = [self._weigh(query, server, server is home) for server in in_order]
        weighed = [entry for entry in weighed if entry.idle] or weighed
        best_ms = min([entry.cost_ms for entry in weighed])
        within = best_ms + max(TIE_MS, TIE_SHARE * best_ms)
        return next(entry for entry in weighed if entry.cost_ms <= within)

    def _candidates(self, now: float, pool: ServicePool, exchange: Exchange, key: int) -> list[ServerRecord]:
        """Servers that may be tried: those neither ejected nor full first, then any."""
        tried = exchange.tried
        if not tried and not pool.troubled:
            return self._sample(pool, key)
        untried = [server for server in self._sample(pool, key) if server.info.id not in tried]
        route = exchange.request.route
        repeatable = route.resumable or route.kind == RouteKind.SAFE
        well = [
            server
            for server in untried
            if not server.health.trial
            or (server.health.open_to_trial(now, repeatable) and not server.in_flight)
        ]
        free = [server for server in well if server.health.full_until <= now]
        if len(free) == len(pool.ready) and not any(server.health.trial for server in free):
            pool.troubled = False
        return free or well or untried

    def _sample(self, pool: ServicePool, key: int) -> list[ServerRecord]:
        ready = pool.ready
        if pool.ring is None:
            return ready
        found = [pool.servers[name] for name in pool.ring.neighbours(key, HOMES)]
        size = len(ready)
        found += [ready[int(self._rng.random() * size)] for _ in range(DRAWN)]
        return found

    def _weigh(self, query: _Query, server: ServerRecord, is_home: bool) -> _Weighed:
        now = query.now
        tokens = query.common_tokens - kept_tokens(query.request.prompt_parts, server)
        again_ms = 0.0
        if tokens == query.common_tokens:  # it does not keep the subject, as far as is known
            again_ms = query.again_ms
            tokens -= query.unheard_tokens if is_home else 0
        reading_ms = tokens * query.ms_per_token
        expected_ms = reading_ms + query.mean_excess_ms + server.backlog_ms(now)
        expected_ms += server.speed.slower_ms(now, query.mean_excess_ms)
        if server.cold_until > now:
            expected_ms *= COLD_FACTOR
        cost_ms = (
            expected_ms + again_ms + OWN_STALL_WEIGHT * reading_ms * (server.in_flight - len(server.waiting))
        )
        aim_ms, held = query.request.route.target_latency_ms, server.held_share
        cost_ms += aim_ms * held**HELD_POWER
        if query.is_streaming:
            cost_ms += STREAM_HELD_WEIGHT * aim_ms * held
            cost_ms += 0.0 if server.for_streams else query.apart_ms
        else:
            over_ms = server.reading_span_ms(now, reading_ms) - query.safe_ms
            if over_ms > 0:  # what is read in one go holds up the streams beside it
                cost_ms += over_ms * (STREAMS_STALL_WEIGHT if server.for_streams else STALL_WEIGHT)
        choice = Choice(server, tokens, reading_ms, server.waiting_ms, expected_ms)
        return _Weighed(cost_ms, choice, server.in_flight < server.idle.limit)


def kept_tokens(parts: PromptParts, server: ServerRecord) -> int:
    """Tokens of the subject and the request's own part that the server is thought to keep.

    Going by what is known to have been sent there. What comes before a subject is kept everywhere.
    """
    cache = server.cache
    if len(parts) < 2:
        return cache.kept_tokens(parts)
    subject, own = parts[-2], parts[-1]
    if subject[0] not in cache:
        return 0
    return subject[1] + own[1] if own[0] in cache else subject[1]
