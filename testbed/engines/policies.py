"""Other ways to pick a server, to be compared with the shipped one; all else of the dispatcher stays the
same.
"""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from barleybarrow.routing.actions import DispatchSettings
from barleybarrow.routing.dispatcher import Dispatcher
from barleybarrow.routing.exchange import Choice, RequestState
from barleybarrow.routing.pool import ServerRecord, ServicePool
from barleybarrow.routing.rendezvous import stable_hash, weight
from barleybarrow.routing.selection import Selector, shared_segment_id
from testbed.engines.engine import Engine

if TYPE_CHECKING:
    from testbed.engines.fleet import Fleet, Policy


class _Baseline(Selector):
    """Takes one of the servers that the shipped selector would look at."""

    def __init__(self, settings: DispatchSettings, rng: random.Random, fleet: "Fleet") -> None:
        super().__init__(rng)
        self._fleet = fleet

    def select(self, now: float, pool: ServicePool, state: RequestState) -> Choice | None:
        candidates = self._candidates(now, pool, state, self._rng.getrandbits(64))
        if not candidates:
            return None
        server = self.take(now, candidates, state)
        kept = server.prefix_cache.cached_tokens(state.request.prompt_segments)
        tokens = max(0, state.request.prompt_tokens - kept)
        reading_ms = tokens * pool.prefill.ms_per_token
        return Choice(server, tokens, reading_ms, server.pending_prefill_ms, reading_ms)

    def take(self, now: float, candidates: list[ServerRecord], state: RequestState) -> ServerRecord:
        """One of them."""
        raise NotImplementedError


class LeastInFlight(_Baseline):
    """Fewest own requests in flight, by chance among equals."""

    def take(self, now: float, candidates: list[ServerRecord], state: RequestState) -> ServerRecord:
        return min(candidates, key=lambda server: (server.in_flight, self._rng.random()))


class TwoChoices(_Baseline):
    """The less loaded of two drawn by chance."""

    def take(self, now: float, candidates: list[ServerRecord], state: RequestState) -> ServerRecord:
        drawn = [self._rng.choice(candidates), self._rng.choice(candidates)]
        return min(drawn, key=lambda server: server.in_flight)


class RoundRobin(_Baseline):
    """One after the other."""

    _turn = 0

    def take(self, now: float, candidates: list[ServerRecord], state: RequestState) -> ServerRecord:
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class PrefixOnly(_Baseline):
    """The home of the last shared part, whatever its load."""

    def take(self, now: float, candidates: list[ServerRecord], state: RequestState) -> ServerRecord:
        shared_segment = shared_segment_id(state.request)
        key = stable_hash(shared_segment) if shared_segment else self._rng.getrandbits(64)
        return max(candidates, key=lambda server: weight(key, server.hash))


class AllSeeing(_Baseline):
    """Knows what every engine has to read, what it keeps, and who generates there: a bound for the others."""

    def take(self, now: float, candidates: list[ServerRecord], state: RequestState) -> ServerRecord:
        return min(candidates, key=lambda server: (self._cost(server, state), self._rng.random()))

    def _cost(self, server: ServerRecord, state: RequestState) -> float:
        model = self._fleet.servers[server.info.id].model
        if not isinstance(model, Engine):
            return float(model.load())
        queued, running, to_read = model.load()
        parts = state.request.prompt_segments
        own = sum(tokens for _, tokens in parts) - model.kept_tokens(parts)
        rate = model.figures.prefill_tokens_per_ms
        if state.request.output_tokens > 10 * sum(tokens for _, tokens in parts):
            return to_read / rate - running  # long streams keep together, away from prompts to read
        return (to_read + own) / rate * (1 + running / model.figures.batch) + queued


def _with(selector: Callable[[DispatchSettings, random.Random, "Fleet"], Selector]) -> "Policy":
    def make(settings: DispatchSettings, rng: random.Random, fleet: "Fleet") -> Dispatcher:
        return Dispatcher(settings, rng, 0.0, lambda _: True, selector=selector(settings, rng, fleet))

    return make


def shipped(settings: DispatchSettings, rng: random.Random, _fleet: "Fleet") -> Dispatcher:
    """The dispatcher as it ships."""
    return Dispatcher(settings, rng, 0.0, lambda _: True)


POLICIES: dict[str, "Policy"] = {
    "shipped": shipped,
    "least-in-flight": _with(LeastInFlight),
    "two-choices": _with(TwoChoices),
    "round-robin": _with(RoundRobin),
    "prefix-only": _with(PrefixOnly),
    "all-seeing": _with(AllSeeing),
}
