"""Selects the idle server with the lowest cost for one request, without side effects on servers.

A prompt with a shared segment is first evaluated on the few servers that rank highest for this segment, the
same in all proxies. If none of them is idle and cheap enough, all servers are evaluated. In a large fleet
only a sample is.
"""

import random
from dataclasses import dataclass
from math import inf

from barleybarrow.documents import RouteKind
from barleybarrow.routing.actions import DispatchRequest
from barleybarrow.routing.exchange import Choice, RequestState
from barleybarrow.routing.pool import ServerRecord, ServicePool
from barleybarrow.routing.prefix_cache import PromptSegments
from barleybarrow.routing.rendezvous import HASH_BITS, rank_by_weight, stable_hash

TIE_RATIO = 0.1  # of the lowest cost: estimates this close differ by less than their noise
MIN_TIE_MS = 1.0  # less than the latency between two zones
PREFERRED_SERVER_COUNT = 3  # per shared segment: a single one is often busy, more repeat more prefill
RANDOM_SERVER_COUNT = 5  # sampled in a large fleet, so that some are idle
# Of the target latency: at a higher cost the wait outweighs a cached segment, and all servers are evaluated.
MAX_PREFERRED_COST_RATIO = 0.5
UNRESERVED_PENALTY_RATIO = 1 / 4  # of the target latency, for a stream on a server not reserved for streams
OCCUPANCY_EXPONENT = 4  # slots held by streams cost little until few are free
# Of the target latency: makes a new stream prefer the server with the fewest streams.
STREAM_OCCUPANCY_WEIGHT = 0.5
SAFE_PREFILL_GAP_RATIO = 0.4  # of the permitted gap between events: a prefill run this long delays no stream
STALL_WEIGHT = 0.5  # cost per ms of prefill beyond that: every server may have short streams
STREAMS_STALL_WEIGHT = 2.0  # the same on a server reserved for long streams
OWN_STALL_WEIGHT = 0.3  # cost per ms of any prefill for each request of this proxy past its first event
COLD_START_FACTOR = 2.0  # assumed slowdown of a server that reports a cold start
RECOMPUTE_PENALTY_RATIO = 1 / 4  # of the target latency: cost of repeating a recent prefill on another server
# Share of a shared segment's tokens that proxies without announcements are assumed to have cached on the
# server that ranks first for it.
UNANNOUNCED_CACHED_SHARE = 0.5


@dataclass(slots=True)
class _Query:
    """One request to be evaluated on several servers, with the values that all of them share."""

    now: float
    request: DispatchRequest
    is_streaming: bool
    ms_per_token: float
    mean_overhead_ms: float  # mean of the service
    # To prefill where nothing is cached; the segments before the shared one are cached everywhere.
    common_tokens: int
    unannounced_tokens: int  # of the shared segment, assumed cached on its first-ranked server
    safe_prefill_ms: float  # longest prefill run that delays no stream
    unreserved_penalty_ms: float  # for a long stream on a server not reserved for streams
    recompute_penalty_ms: float  # for repeating the prefill of the shared segment, beyond its time


@dataclass(slots=True)
class _Evaluation:
    cost_ms: float
    choice: Choice
    idle: bool


def shared_segment_id(request: DispatchRequest) -> str | None:
    """Id of the last shared segment of the prompt; only the segment unique to the request follows it."""
    segments = request.prompt_segments
    return segments[-2][0] if len(segments) >= 2 else None


class Selector:
    """Evaluates servers for a request and selects one."""

    def __init__(self, rng: random.Random, recompute_window_ms: float = 0.0) -> None:
        self._rng = rng
        self.recompute_window_ms = recompute_window_ms

    def select(self, now: float, pool: ServicePool, state: RequestState) -> Choice | None:
        """The server to send to now, or None if none may be tried."""
        request = state.request
        shared_segment = shared_segment_id(request)
        key = stable_hash(shared_segment) if shared_segment else self._rng.getrandbits(HASH_BITS)
        candidates = self._candidates(now, pool, state, key)
        if not candidates:
            return None
        ranking = rank_by_weight(key, candidates)
        query = self._query(now, pool, request)
        if shared_segment and not query.is_streaming and len(ranking) > PREFERRED_SERVER_COUNT:
            best = self._cheapest(query, ranking[:PREFERRED_SERVER_COUNT])
            if best.idle and best.cost_ms <= MAX_PREFERRED_COST_RATIO * request.route.target_latency_ms:
                return best.choice
        return self._cheapest(query, ranking).choice

    def has_untried(self, pool: ServicePool, state: RequestState) -> bool:
        """Whether a ready server has not been tried yet."""
        return any(server.info.id not in state.tried for server in pool.ready)

    def _query(self, now: float, pool: ServicePool, request: DispatchRequest) -> _Query:
        route, segments = request.route, request.prompt_segments
        common_tokens = segments[-1][1] + segments[-2][1] if len(segments) >= 2 else request.prompt_tokens
        unannounced_tokens = (
            UNANNOUNCED_CACHED_SHARE * (1 - pool.announcing_share) * segments[-2][1]
            if len(segments) >= 2
            else 0.0
        )
        return _Query(
            now,
            request,
            pool.profile(route.name).is_streaming,
            pool.prefill.ms_per_token,
            pool.overhead.value,
            common_tokens,
            int(unannounced_tokens),
            SAFE_PREFILL_GAP_RATIO * route.gap_aim_ms or inf,
            UNRESERVED_PENALTY_RATIO * route.target_latency_ms,
            self._recompute_penalty_ms(now, pool, request),
        )

    def _recompute_penalty_ms(self, now: float, pool: ServicePool, request: DispatchRequest) -> float:
        shared_segment = shared_segment_id(request)
        if shared_segment is None or not pool.was_segment_sent(
            shared_segment, now - self.recompute_window_ms
        ):
            return 0.0
        return RECOMPUTE_PENALTY_RATIO * request.route.target_latency_ms

    def _cheapest(self, query: _Query, ranking: list[ServerRecord]) -> _Evaluation:
        """The cheapest idle server, or the cheapest if none is idle; ties go to the first in rank order."""
        first = ranking[0]
        evaluations = [self._evaluate(query, server, server is first) for server in ranking]
        evaluations = [entry for entry in evaluations if entry.idle] or evaluations
        lowest_ms = min([entry.cost_ms for entry in evaluations])
        tie_limit_ms = lowest_ms + max(MIN_TIE_MS, TIE_RATIO * lowest_ms)
        return next(entry for entry in evaluations if entry.cost_ms <= tie_limit_ms)

    def _candidates(self, now: float, pool: ServicePool, state: RequestState, key: int) -> list[ServerRecord]:
        """Servers that may be tried: neither ejected nor overloaded; else not ejected; else any untried."""
        tried = state.tried
        if not tried and not pool.degraded:
            return self._sample(pool, key)
        untried = [server for server in self._sample(pool, key) if server.info.id not in tried]
        route = state.request.route
        repeatable = route.resumable or route.kind == RouteKind.SAFE
        not_ejected = [
            server
            for server in untried
            if not server.health.on_trial
            or (server.health.allows_trial(now, repeatable) and not server.in_flight)
        ]
        available = [server for server in not_ejected if server.health.overloaded_until <= now]
        if len(available) == len(pool.ready) and not any(server.health.on_trial for server in available):
            pool.degraded = False
        return available or not_ejected or untried

    def _sample(self, pool: ServicePool, key: int) -> list[ServerRecord]:
        ready = pool.ready
        if pool.ring is None:
            return ready
        sample = [pool.servers[name] for name in pool.ring.successors(key, PREFERRED_SERVER_COUNT)]
        size = len(ready)
        sample += [ready[int(self._rng.random() * size)] for _ in range(RANDOM_SERVER_COUNT)]
        return sample

    def _evaluate(self, query: _Query, server: ServerRecord, is_first_ranked: bool) -> _Evaluation:
        now = query.now
        tokens = query.common_tokens - cached_tail_tokens(query.request.prompt_segments, server)
        recompute_ms = 0.0
        if tokens == query.common_tokens:  # the shared segment is not known to be cached here
            recompute_ms = query.recompute_penalty_ms
            tokens -= query.unannounced_tokens if is_first_ranked else 0
        prefill_ms = tokens * query.ms_per_token
        expected_first_event_ms = prefill_ms + query.mean_overhead_ms + server.backlog_ms(now)
        expected_first_event_ms += server.overhead.above_mean_ms(now, query.mean_overhead_ms)
        if server.cold_start_until > now:
            expected_first_event_ms *= COLD_START_FACTOR
        cost_ms = (
            expected_first_event_ms
            + recompute_ms
            + OWN_STALL_WEIGHT * prefill_ms * (server.in_flight - len(server.pending))
        )
        target_ms, occupancy = query.request.route.target_latency_ms, server.stream_occupancy
        cost_ms += target_ms * occupancy**OCCUPANCY_EXPONENT
        if query.is_streaming:
            cost_ms += STREAM_OCCUPANCY_WEIGHT * target_ms * occupancy
            cost_ms += 0.0 if server.reserved_for_streams else query.unreserved_penalty_ms
        else:
            stall_ms = server.continuous_prefill_ms(now, prefill_ms) - query.safe_prefill_ms
            if stall_ms > 0:  # a long prefill run delays the streams on the same server
                cost_ms += stall_ms * (STREAMS_STALL_WEIGHT if server.reserved_for_streams else STALL_WEIGHT)
        choice = Choice(server, tokens, prefill_ms, server.pending_prefill_ms, expected_first_event_ms)
        return _Evaluation(cost_ms, choice, server.in_flight < server.concurrency.limit)


def cached_tail_tokens(segments: PromptSegments, server: ServerRecord) -> int:
    """Tokens of the last two segments that are probably cached, from the prompts known to be sent there.

    Earlier segments are assumed to be cached on every server.
    """
    cache = server.prefix_cache
    if len(segments) < 2:
        return cache.cached_tokens(segments)
    shared, own = segments[-2], segments[-1]
    if shared[0] not in cache:
        return 0
    return shared[1] + own[1] if own[0] in cache else shared[1]
