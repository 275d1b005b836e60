"""State that a proxy keeps of the servers of one service and of the service as a whole.

Holds data only; the dispatcher and its components make the decisions.
"""

from collections import OrderedDict
from collections.abc import Iterable
from math import inf
from typing import Protocol

from barleybarrow.documents import Service
from barleybarrow.routing.actions import RequestId, ServerInfo, ServerState
from barleybarrow.routing.outliers import ServerHealth
from barleybarrow.routing.prefix_cache import PrefixCache
from barleybarrow.routing.profiles import RouteProfile, StreamCount, servers_for_streams
from barleybarrow.routing.rendezvous import HashRing, stable_hash, weight
from barleybarrow.routing.speed import OVERHEAD_WEIGHT, MovingAverage, PrefillModel, ServerOverhead
from barleybarrow.routing.thresholds import AdaptiveConcurrencyLimit

MAX_TRACKED_SEGMENTS = 4096  # shared prompt segments whose last use is remembered
MAX_FULL_SCAN_SERVERS = 64  # in a larger fleet only a few servers are evaluated per request

SERVICE_FAILURE_RATE_WEIGHT = 1 / 64  # of one response: a far slower average than that of a single server
PREFILL_PAUSE_MS = 10.0  # in a pause this long between prefills streams catch up by some ten tokens
PEER_STREAMS_TTL_MS = 10_000.0  # a stream count that a peer has not restated since then is dropped
STREAM_RANKING_KEY = stable_hash("long streams")  # makes all proxies reserve the same servers


class PendingRequest(Protocol):
    """The fields of a request without a first event that its server's record needs."""

    sent_at: float
    expected_first_event_ms: float  # time to the first event, estimated at sending


class ServerRecord:
    """One server: its registration and the estimates of this proxy."""

    __slots__ = (
        "info",
        "hash",
        "in_flight",
        "pending",
        "pending_prefill_ms",
        "prefill_until",
        "prefill_since",
        "correction_ms",
        "reserved_for_streams",
        "streams",
        "peer_streams",
        "_streams_by_peer",
        "last_event_at",
        "abandoned_wait_ms",
        "_abandoned_until",
        "cold_start_until",
        "health",
        "overhead",
        "concurrency",
        "prefix_cache",
        "listed",
    )

    def __init__(
        self,
        info: ServerInfo,
        initial_limit: float,
        cache_capacity_tokens: float,
        mean_overhead_ms: float,
        now: float,
    ) -> None:
        self.info = info
        self.hash = stable_hash(info.id)
        self.in_flight = 0  # requests of this proxy
        # Requests of this proxy without a first event, oldest first.
        self.pending: dict[RequestId, PendingRequest] = {}
        self.pending_prefill_ms = 0.0  # estimated prefill time of the pending requests
        self.prefill_until = 0.0  # end of all known prefills, those of other proxies included
        self.prefill_since = 0.0  # start of the current run of prefills without a long pause
        self.cold_start_until = now + info.cold_remaining_ms
        self.last_event_at = now  # of any of its streams
        # How long clients that left before any event had waited since the last event.
        self.abandoned_wait_ms = 0.0
        self._abandoned_until = now  # waits up to then are counted
        self.correction_ms = 0.0  # sum of all corrections of `prefill_until`
        self.reserved_for_streams = False
        self.streams = 0  # long streams of this proxy
        self.peer_streams = 0  # long streams of other proxies, as announced
        self._streams_by_peer: dict[str, tuple[int, float]] = {}  # (streams, time of the announcement)
        self.health = ServerHealth()
        self.overhead = ServerOverhead(mean_overhead_ms, now)
        self.concurrency = AdaptiveConcurrencyLimit(initial_limit, max(info.slots, 1))
        self.prefix_cache = PrefixCache(cache_capacity_tokens)
        self.listed = True

    def update_peer_streams(self, now: float, peer: str, streams: int) -> None:
        """Set the number of long streams that another proxy has on this server."""
        self._streams_by_peer[peer] = streams, now
        current = {
            name: (n, at) for name, (n, at) in self._streams_by_peer.items() if now - at < PEER_STREAMS_TTL_MS
        }
        self._streams_by_peer = current
        self.peer_streams = sum(n for n, _ in current.values())

    def record_event(self, now: float) -> None:
        """Record an event of any stream: the server is not silent."""
        self.last_event_at = now
        self.abandoned_wait_ms = 0.0

    def record_abandoned(self, now: float, sent_at: float) -> None:
        """Record that a client left which had waited since `sent_at`; common waits count once."""
        since = max(sent_at, self.last_event_at, self._abandoned_until)
        self.abandoned_wait_ms += max(0.0, now - since)
        self._abandoned_until = now

    @property
    def stream_occupancy(self) -> float:
        """Share of the slots that known long streams hold."""
        return (self.streams + self.peer_streams) / max(1, self.info.slots)

    def add_prefill(self, now: float, prefill_ms: float) -> None:
        """Add the prefill of a prompt that was sent to this server."""
        if now > self.prefill_until + PREFILL_PAUSE_MS:
            self.prefill_since = now
        self.prefill_until = max(now, self.prefill_until) + prefill_ms

    def complete_prefill(self, now: float, uncorrected_until: float) -> None:
        """Correct the estimate: the prefill expected by `uncorrected_until` and all earlier ones are done."""
        early_ms = uncorrected_until - self.correction_ms - now
        if early_ms > 0:
            self.prefill_until -= early_ms
            self.correction_ms += early_ms

    @property
    def uncorrected_prefill_until(self) -> float:
        """End of all known prefills on a time scale that later corrections do not move."""
        return self.prefill_until + self.correction_ms

    def continuous_prefill_ms(self, now: float, prefill_ms: float) -> float:
        """Length of the uninterrupted run of prefills at the end of a prompt that is sent now."""
        if now > self.prefill_until + PREFILL_PAUSE_MS:
            return prefill_ms
        return max(now, self.prefill_until) + prefill_ms - self.prefill_since

    def backlog_ms(self, now: float) -> float:
        """Wait for the known prefills ahead of a new request.

        If the oldest pending request of this proxy is overdue, unknown requests are ahead of it, and the
        overdue time is added.
        """
        known_ms = self.prefill_until - now
        if not self.pending:
            return known_ms if known_ms > 0 else 0.0
        oldest = next(iter(self.pending.values()))
        overdue_ms = now - oldest.sent_at - oldest.expected_first_event_ms
        return max(known_ms, self.pending_prefill_ms + (overdue_ms if overdue_ms > 0 else 0.0))


class ServicePool:
    """The servers of one service and the estimates that they share."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.proxies = 1  # number of proxies that send to these servers, including this one
        self.servers: dict[str, ServerRecord] = {}
        self.ready: list[ServerRecord] = []
        self.prefill = PrefillModel()
        self.overhead = MovingAverage(OVERHEAD_WEIGHT)
        self.announcing_share = 0.0  # share of all proxies whose announcements arrive
        self.first_event_ms = MovingAverage(OVERHEAD_WEIGHT)  # over all routes
        self.failure_rate = MovingAverage(SERVICE_FAILURE_RATE_WEIGHT)  # over all servers
        self.degraded = False  # some server may be overloaded, ejected or on trial after an ejection
        self.ring: HashRing | None = None
        self.profiles: dict[str, RouteProfile] = {}  # by route name
        self.segment_sent_at: OrderedDict[str, float] = OrderedDict()  # most recent last
        self._stream_ranking: list[ServerRecord] = []  # the same in all proxies
        self._stream_server_count = 0
        self._stream_count = StreamCount()

    def update(self, now: float, servers: Iterable[ServerInfo], proxies: int) -> list[ServerRecord]:
        """Replace the list of servers; returns the records of the removed ones."""
        self.proxies = max(1, proxies)
        capacity_tokens = self._known_capacity_tokens(proxies)
        previous, self.servers = self.servers, {}
        for info in servers:
            record = previous.pop(info.id, None)
            if record is None:
                slots = max(info.slots, 1)
                record = ServerRecord(
                    info, slots / max(proxies, 1), capacity_tokens, self.overhead.value, now
                )
            record.info = info
            record.cold_start_until = now + info.cold_remaining_ms
            self.servers[info.id] = record
        self.ready = [record for record in self.servers.values() if record.info.state == ServerState.READY]
        self.ring = (
            HashRing(r.info.id for r in self.ready) if len(self.ready) > MAX_FULL_SCAN_SERVERS else None
        )
        self._stream_ranking = sorted(
            self.ready, key=lambda record: weight(STREAM_RANKING_KEY, record.hash), reverse=True
        )
        self._reserve_stream_servers()
        for record in previous.values():
            record.listed = False
        return list(previous.values())

    def _known_capacity_tokens(self, proxies: int) -> float:
        """Cache capacity per server for known prompts; those of unannounced sends fill the rest."""
        engine = self.service.engine
        if engine is None:
            return 0.0
        return engine.kv_capacity_tokens * max(self.announcing_share, 1 / max(proxies, 1))

    def set_announcing_share(self, share: float, proxies: int) -> None:
        """Set the share of all proxies, including this one, whose announcements arrive."""
        self.proxies = max(1, proxies)
        if share == self.announcing_share:
            return
        self.announcing_share = share
        for record in self.servers.values():
            record.prefix_cache.capacity_tokens = self._known_capacity_tokens(proxies)

    def record_segment(self, now: float, segment_id: str) -> None:
        """Record that a prompt with this shared segment was sent to some server."""
        self.segment_sent_at[segment_id] = now
        self.segment_sent_at.move_to_end(segment_id)
        if len(self.segment_sent_at) > MAX_TRACKED_SEGMENTS:
            self.segment_sent_at.popitem(last=False)

    def was_segment_sent(self, segment_id: str, since: float) -> bool:
        """Whether a prompt with this shared segment is known to have been sent since then."""
        return self.segment_sent_at.get(segment_id, -inf) >= since

    def profile(self, route: str) -> RouteProfile:
        """The profile of a route, created on first use."""
        profile = self.profiles.get(route)
        if profile is None:
            profile = self.profiles[route] = RouteProfile()
        return profile

    def add_streams(self, now: float, server: ServerRecord, change: int) -> None:
        """Record the start (1) or the end (-1) of a long stream of this proxy."""
        server.streams += change
        self._update_stream_count(now)

    def update_peer_streams(self, now: float, server: ServerRecord, peer: str, streams: int) -> None:
        """Set the number of long streams that another proxy has on a server."""
        previous = server.peer_streams
        server.update_peer_streams(now, peer, streams)
        if server.peer_streams != previous:
            self._update_stream_count(now)

    def _update_stream_count(self, now: float) -> None:
        self._stream_count.observe(now, sum(r.streams + r.peer_streams for r in self.servers.values()))
        self.update_stream_servers(now)

    def update_stream_servers(self, now: float) -> None:
        """Recompute how many servers are reserved for long streams, so that long prompts stay off them.

        Proxies without announcements are assumed to have as many streams on average as the others.
        """
        target_count = 0
        if self.ready and any(not profile.is_streaming for profile in self.profiles.values()):
            known_share = max(self.announcing_share, 1 / self.proxies)
            streams = self._stream_count.mean(now) / known_share
            target_count = servers_for_streams(streams, self.ready[0].info.slots, len(self.ready))
        if target_count != self._stream_server_count:
            self._stream_server_count = target_count
            self._reserve_stream_servers()

    def _reserve_stream_servers(self) -> None:
        for rank, record in enumerate(self._stream_ranking):
            record.reserved_for_streams = rank < self._stream_server_count
