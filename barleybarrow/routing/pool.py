"""The servers of one service as this proxy knows them, and what it has learned of the service as a whole.

Records only; decisions are made by the dispatcher and its parts.
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
from barleybarrow.routing.speed import EXCESS_WEIGHT, ReadingTime, ServerSpeed, Smoothed
from barleybarrow.routing.thresholds import IdleThreshold

MOST_SUBJECTS = 4096  # shared parts of prompts whose last use is remembered
LARGE_FLEET = 64  # servers: up to here all are looked at for each request, beyond only a few


FAILURES_WEIGHT = 1 / 64  # of an answer in the share that fails everywhere: far slower than one server's own
RESPITE_MS = 10.0  # without a prompt to read, streams catch up: some ten tokens
STREAMS_TOLD_MS = 10_000.0  # a number of streams that was not told again for so long counts no more
STREAMS_KEY = stable_hash("long streams")  # by which all proxies keep the same servers for them


class WaitingRequest(Protocol):
    """A request without a first event, as its server's record needs it."""

    sent_at: float
    expected_ms: float  # to the first event, when it was sent


class ServerRecord:
    """One server: what it says of itself and what this proxy learned."""

    __slots__ = (
        "info",
        "hash",
        "in_flight",
        "waiting",
        "waiting_ms",
        "reading_until",
        "reading_since",
        "shifted_ms",
        "for_streams",
        "streams",
        "streams_elsewhere",
        "_streams_of",
        "heard_at",
        "cold_until",
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
        self.waiting: dict[
            RequestId, WaitingRequest
        ] = {}  # own requests there without a first event, oldest first
        self.waiting_ms = 0.0  # to read the prompts of those
        self.reading_until = 0.0  # when it will have read all prompts that are known of, also other proxies'
        self.reading_since = 0.0  # since when it has hardly paused in that
        self.cold_until = now + info.cold_remaining_ms
        self.heard_at = now  # the last event of any of its streams
        self.shifted_ms = 0.0  # by which first events have proved `reading_until` too late, in all
        self.for_streams = False  # kept for long streams
        self.streams = 0  # own long streams there
        self.streams_elsewhere = 0  # long streams there of other proxies, as they told
        self._streams_of: dict[str, tuple[int, float]] = {}  # by proxy, and when it told
        self.health = ServerHealth()
        self.speed = ServerSpeed(mean_ms, now)
        self.idle = IdleThreshold(first_limit, max(info.slots, 1))
        self.cache = PrefixCache(kept_tokens)
        self.listed = True

    def hear_streams(self, now: float, peer: str, streams: int) -> None:
        """Another proxy tells how many long streams it has there."""
        self._streams_of[peer] = streams, now
        told = {name: (n, at) for name, (n, at) in self._streams_of.items() if now - at < STREAMS_TOLD_MS}
        self._streams_of = told
        self.streams_elsewhere = sum(n for n, _ in told.values())

    @property
    def held_share(self) -> float:
        """The part of its slots that long streams hold, as far as is known."""
        return (self.streams + self.streams_elsewhere) / max(1, self.info.slots)

    def will_read(self, now: float, reading_ms: float) -> None:
        """Note a prompt that is on its way there."""
        if now > self.reading_until + RESPITE_MS:
            self.reading_since = now
        self.reading_until = max(now, self.reading_until) + reading_ms

    def has_read(self, now: float, read_until: float) -> None:
        """A prompt is read that was thought to be read by `read_until`: so is all that came before it."""
        early_ms = read_until - self.shifted_ms - now
        if early_ms > 0:
            self.reading_until -= early_ms
            self.shifted_ms += early_ms

    @property
    def unshifted_until(self) -> float:
        """When all that is known of will be read, on a scale that later proofs do not move."""
        return self.reading_until + self.shifted_ms

    def reading_span_ms(self, now: float, reading_ms: float) -> float:
        """For how long it will have read without a pause once a prompt that is sent now is read."""
        if now > self.reading_until + RESPITE_MS:
            return reading_ms
        return max(now, self.reading_until) + reading_ms - self.reading_since

    def backlog_ms(self, now: float) -> float:
        """The wait for what is known to be read there first.

        Where the oldest own request is later than expected, others are ahead that nothing is known of.
        """
        known_ms = self.reading_until - now
        if not self.waiting:
            return known_ms if known_ms > 0 else 0.0
        oldest = next(iter(self.waiting.values()))
        overdue_ms = now - oldest.sent_at - oldest.expected_ms
        return max(known_ms, self.waiting_ms + (overdue_ms if overdue_ms > 0 else 0.0))


class ServicePool:
    """The servers of one service."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.proxies = 1  # that send to these servers, this one among them
        self.servers: dict[str, ServerRecord] = {}
        self.ready: list[ServerRecord] = []
        self.reading = ReadingTime()
        self.excess = Smoothed(EXCESS_WEIGHT)
        self.informed_share = 0.0  # of the proxies, those whose sends are known
        self.first = Smoothed(EXCESS_WEIGHT)  # time to the first event, of all routes
        self.failures = Smoothed(FAILURES_WEIGHT)  # share of answers that fail, over all servers
        self.troubled = False  # some server may be full, or left alone after failures
        self.ring: HashRing | None = None
        self.profiles: dict[str, RouteProfile] = {}  # by the route's name
        self.subjects: OrderedDict[str, float] = OrderedDict()  # when each was last sent, latest last
        self._stream_order: list[ServerRecord] = []  # the same in every proxy
        self._stream_servers = 0
        self._streams = StreamCount()

    def update(self, now: float, servers: Iterable[ServerInfo], proxies: int) -> list[ServerRecord]:
        """Take a new list; returns the records of those that are no longer on it."""
        self.proxies = max(1, proxies)
        kept_tokens = self._known_capacity(proxies)
        before, self.servers = self.servers, {}
        for info in servers:
            record = before.pop(info.id, None)
            if record is None:
                slots = max(info.slots, 1)
                record = ServerRecord(info, slots / max(proxies, 1), kept_tokens, self.excess.value, now)
            record.info = info
            record.cold_until = now + info.cold_remaining_ms
            self.servers[info.id] = record
        self.ready = [record for record in self.servers.values() if record.info.state == ServerState.READY]
        self.ring = HashRing(r.info.id for r in self.ready) if len(self.ready) > LARGE_FLEET else None
        self._stream_order = sorted(
            self.ready, key=lambda record: weight(STREAMS_KEY, record.hash), reverse=True
        )
        self._mark_for_streams()
        for record in before.values():
            record.listed = False
        return list(before.values())

    def _known_capacity(self, proxies: int) -> float:
        """Tokens that what this proxy knows of may fill at a server: the others' sends fill the rest."""
        engine = self.service.engine
        if engine is None:
            return 0.0
        return engine.kv_capacity_tokens * max(self.informed_share, 1 / max(proxies, 1))

    def inform(self, share: float, proxies: int) -> None:
        """Note which share of all proxies tells what it sends, this one among them."""
        self.proxies = max(1, proxies)
        if share == self.informed_share:
            return
        self.informed_share = share
        for record in self.servers.values():
            record.cache.capacity_tokens = self._known_capacity(proxies)

    def used(self, now: float, subject: str) -> None:
        """Note that a prompt with this subject was sent to some server."""
        self.subjects[subject] = now
        self.subjects.move_to_end(subject)
        if len(self.subjects) > MOST_SUBJECTS:
            self.subjects.popitem(last=False)

    def was_used(self, subject: str, since: float) -> bool:
        """Whether a prompt with this subject is known to have been sent since then."""
        return self.subjects.get(subject, -inf) >= since

    def profile(self, route: str) -> RouteProfile:
        """What is known of the requests of a route."""
        profile = self.profiles.get(route)
        if profile is None:
            profile = self.profiles[route] = RouteProfile()
        return profile

    def change_streams(self, now: float, server: ServerRecord, change: int) -> None:
        """Note that a long stream of this proxy began at a server (1) or has ended (-1)."""
        server.streams += change
        self._count_streams(now)

    def hear_streams(self, now: float, server: ServerRecord, peer: str, streams: int) -> None:
        """Another proxy tells how many long streams it has at a server."""
        before = server.streams_elsewhere
        server.hear_streams(now, peer, streams)
        if server.streams_elsewhere != before:
            self._count_streams(now)

    def _count_streams(self, now: float) -> None:
        self._streams.observe(now, sum(r.streams + r.streams_elsewhere for r in self.servers.values()))
        self.separate_streams(now)

    def separate_streams(self, now: float) -> None:
        """Decide anew how many servers are kept for long streams, away from long prompts.

        Proxies that tell nothing are thought to have as many as those that do.
        """
        wanted = 0
        if self.ready and any(not profile.is_streaming for profile in self.profiles.values()):
            known_share = max(self.informed_share, 1 / self.proxies)
            streams = self._streams.mean(now) / known_share
            wanted = servers_for_streams(streams, self.ready[0].info.slots, len(self.ready))
        if wanted != self._stream_servers:
            self._stream_servers = wanted
            self._mark_for_streams()

    def _mark_for_streams(self) -> None:
        for place, record in enumerate(self._stream_order):
            record.for_streams = place < self._stream_servers
