"""Selects the server of each request and decides how to handle failures; each proxy has one dispatcher.

A request goes to the idle server with the lowest estimated time to the first event. The estimate adds the
backlog that this proxy knows of, the server's overhead beyond prefill, and the prefill of the prompt segments
that are probably not in the server's prefix cache. Busy servers are used only when no server is idle.
Near-ties are broken by rendezvous hashing of the prompt's last shared segment, so that all proxies prefer the
same server without coordination, or by a random key if there is no such segment.

Performs no I/O. Callers pass in the time in milliseconds.
"""

import random
from collections.abc import Callable, Mapping, Sequence

from barleybarrow.documents import Route, RouteKind, Service
from barleybarrow.routing import admission
from barleybarrow.routing.actions import (
    Action,
    Counters,
    DispatchRequest,
    DispatchSettings,
    Fail,
    FailureReason,
    Outcome,
    RefusalReason,
    RequestId,
    Send,
    ServerInfo,
)
from barleybarrow.routing.announcements import Announcement, AnnouncementQueue
from barleybarrow.routing.exchange import Choice, RequestState
from barleybarrow.routing.pool import ServerRecord, ServicePool
from barleybarrow.routing.selection import Selector, shared_segment_id
from barleybarrow.routing.silence import (
    SilenceDetector,
    is_ejection_allowed,
    max_silence_ms,
    silence_deadline,
)
from barleybarrow.routing.speed import MIN_REGRESSION_SAMPLES

BAD_GATEWAY, GATEWAY_TIMEOUT = 502, 504
MISDIRECTED_REQUEST = 421
HIGHEST_PRIORITY, LOWEST_PRIORITY = 0, 9  # range of X-Brackenusher-Priority
OVERLOAD_BACKOFF_RATIO = 1 / 4  # back-off of an overloaded server without Retry-After, in target latencies
# Of the target latency: a connection attempt that fails this late met a silent server. It is ejected at once,
# as one more attempt would cost as much time.
SLOW_CONNECTION_RATIO = 0.5
MAX_CONNECTION_ATTEMPTS = 3  # per request, of those that fail before anything is sent


def _deny_retry(_service: str) -> bool:
    return False


class Dispatcher:
    """Makes the routing decisions of one proxy.

    The methods that handle events return the actions which the caller is to carry out.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        rng: random.Random,
        now: float,
        acquire_retry: Callable[[str], bool] = _deny_retry,
        selector: Selector | None = None,
    ) -> None:
        self.settings = settings
        self.counters = Counters()
        # Its `on_nonempty` may be set to learn when there is something to send.
        self.announcement_queue = AnnouncementQueue()
        self._rng = rng
        self._acquire_retry = acquire_retry
        self.pools: dict[str, ServicePool] = {}
        self._listed_servers: dict[str, list[ServerInfo]] = {}
        self._requests: dict[RequestId, RequestState] = {}
        self._silence_detector = SilenceDetector()
        self._selector = selector or Selector(rng, settings.recompute_window_ms)

    def configure(self, now: float, services: Mapping[str, Service], routes: Sequence[Route]) -> None:
        """Apply a new configuration."""
        for name in [name for name in self.pools if name not in services]:
            del self.pools[name]
        for name, service in services.items():
            pool = self.pools.get(name)
            if pool is None:
                pool = self.pools[name] = ServicePool(service)
                pool.update(now, self._listed_servers.get(name, ()), self.settings.proxies)
            pool.service = service

    def update_servers(self, now: float, service: str, servers: Sequence[ServerInfo]) -> None:
        """Replace the list of servers of a service."""
        self._listed_servers[service] = list(servers)
        if pool := self.pools.get(service):
            pool.update(now, servers, self.settings.proxies)

    def request_arrived(self, now: float, request: DispatchRequest) -> list[Action]:
        """Handle a new request: send it to a server or refuse it."""
        state = self._requests[request.id] = RequestState(request)
        return self._send(now, state, RefusalReason.NO_SERVER)

    def connection_failed(self, now: float, request_id: RequestId, server_id: str) -> list[Action]:
        """Handle a failure to connect. Nothing was sent, so any request may be tried on another server."""
        ended = self._end_attempt(now, request_id, server_id)
        if ended is None:
            return []
        state, server = ended
        is_slow = now - state.sent_at > SLOW_CONNECTION_RATIO * state.request.route.target_latency_ms
        self._record_connection_failure(now, state, server, force_ejection=is_slow)
        state.attempts -= 1
        state.failed_connections += 1
        if state.failed_connections >= MAX_CONNECTION_ATTEMPTS:
            return self._refuse(now, state, RefusalReason.ATTEMPTS_SPENT)
        return self._send(now, state, RefusalReason.ALL_EJECTED)

    def rejected(
        self, now: float, request_id: RequestId, server_id: str, status: int, retry_after_ms: float | None
    ) -> list[Action]:
        """Handle a response which states that the server did not run the request."""
        ended = self._end_attempt(now, request_id, server_id)
        if ended is None:
            return []
        state, server = ended
        request = state.request
        if pool := self.pools.get(request.service):
            pool.degraded = True
        # The address belongs to another server now, or the server has other model weights.
        if status == MISDIRECTED_REQUEST:
            server.health.eject(now)
        else:
            backoff_ms = retry_after_ms or request.route.target_latency_ms * OVERLOAD_BACKOFF_RATIO
            server.health.overloaded_until = now + backoff_ms
        self.counters.add("rejected")
        if state.attempts >= max(request.route.max_attempts, 1) or not self._acquire_retry(request.service):
            return self._refuse(now, state, RefusalReason.ATTEMPTS_SPENT)
        return self._send(now, state, RefusalReason.OVERLOADED)

    def first_event(self, now: float, request_id: RequestId, server_id: str) -> list[Action]:
        """Handle the response head, or the first event of a stream."""
        state = self._requests.get(request_id)
        if state is None or state.server is None or state.server.info.id != server_id:
            return []
        state.server.record_event(now)
        if state.first_event_at is None:
            state.first_event_at = state.last_event_at = now
            self._record_first_event(now, state, state.server)
        return []

    def event(self, now: float, request_id: RequestId, server_id: str, tokens: int) -> list[Action]:
        """Handle a further event of a stream."""
        state = self._requests.get(request_id)
        if state is not None and state.server is not None and state.server.info.id == server_id:
            state.last_event_at = now
            state.server.record_event(now)
        return []

    def response_progress(
        self, now: float, request_id: RequestId, server_id: str, may_move: bool
    ) -> list[Action]:
        """Handle a part of a response: its server is not silent. `may_move`: another may still respond."""
        state = self._requests.get(request_id)
        if state is not None and state.server is not None and state.server.info.id == server_id:
            state.may_move = may_move
            state.last_event_at = now
            state.server.record_event(now)
        return []

    def finished(self, now: float, request_id: RequestId, server_id: str, outcome: Outcome) -> list[Action]:
        """Handle the end of the attempt at this server."""
        state = self._requests.get(request_id)
        if state is not None and outcome in (Outcome.SERVED, Outcome.ERROR_STATUS):
            self.first_event(now, request_id, server_id)
        ended = self._end_attempt(now, request_id, server_id)
        if ended is None:
            return []
        state, server = ended
        if outcome in (Outcome.SERVED, Outcome.ERROR_STATUS):
            failed = outcome is Outcome.ERROR_STATUS
            self._record_response(now, state, server, failed)
            if failed and self._may_retry(state):
                state.may_have_run = True
                return self._send(now, state, RefusalReason.ALL_EJECTED)
            self._record_stream_duration(now, state)
            self.counters.add(outcome.value)
            del self._requests[request_id]
            return []
        if outcome is Outcome.CANCELLED:
            del self._requests[request_id]
            return []
        if outcome is not Outcome.TIMED_OUT or server.last_event_at <= state.sent_at:
            self._record_connection_failure(now, state, server)
        state.may_have_run = True
        if self._may_retry(state):
            return self._send(now, state, RefusalReason.ALL_EJECTED)
        return self._fail(state, outcome)

    def request_cancelled(self, now: float, request_id: RequestId) -> list[Action]:
        """Handle the disconnection of the client."""
        state = self._requests.pop(request_id, None)
        if state is not None and state.server is not None:
            self._record_abandoned(now, state, state.server)
            self._release(now, state, state.server)
        return []

    def _record_abandoned(self, now: float, state: RequestState, server: ServerRecord) -> None:
        """Eject a server on which clients have waited in vain, even if none of them waited for long."""
        pool = self.pools.get(state.request.service)
        server.record_abandoned(now, state.sent_at)
        if pool is not None and server.abandoned_wait_ms >= max_silence_ms(state, pool):
            server.abandoned_wait_ms = 0.0
            self.counters.add("silent")
            self._eject(now, pool, server)

    def proxies_changed(self, now: float, proxies: int) -> None:
        """Set the number of proxies that send to the same servers, including this one."""
        self.settings.proxies = max(1, proxies)
        announcing_peers = self.announcement_queue.count_proxies(now) - 1
        for pool in self.pools.values():
            pool.set_announcing_share(
                min(1.0, (announcing_peers + 1) / self.settings.proxies) if announcing_peers else 0.0,
                self.settings.proxies,
            )

    def take_announcements(self) -> list[Announcement]:
        """Remove and return the announcements to send to the other proxies."""
        return self.announcement_queue.take_all()

    def restated_announcements(self) -> list[Announcement]:
        """Announcements that restate the streams which this proxy has open on each server."""
        return [
            Announcement(service, server.info.id, "", 0, 0, server.streams)
            for service, pool in self.pools.items()
            for server in pool.servers.values()
            if server.streams
        ]

    def receive_announcements(self, now: float, peer: str, announcements: Sequence[Announcement]) -> None:
        """Apply the announcements of another proxy: which prompts and streams it sent to which servers."""
        self.announcement_queue.record_sender(now, peer)
        announcing_proxies = self.announcement_queue.count_proxies(now)
        self.settings.proxies = max(self.settings.proxies, announcing_proxies)
        for pool in self.pools.values():
            pool.set_announcing_share(announcing_proxies / self.settings.proxies, self.settings.proxies)
        for announcement in announcements:
            service_pool = self.pools.get(announcement.service)
            server = service_pool.servers.get(announcement.server_id) if service_pool else None
            if service_pool is None or server is None:
                continue
            service_pool.update_peer_streams(now, server, peer, announcement.streams)
            if announcement.prefill_tokens == 0:
                continue
            server.add_prefill(now, announcement.prefill_tokens * service_pool.prefill.ms_per_token)
            if announcement.shared_segment:
                server.prefix_cache.insert_anonymous(
                    max(0, announcement.prefill_tokens - announcement.shared_segment_tokens)
                )
                server.prefix_cache.insert(
                    ((announcement.shared_segment, announcement.shared_segment_tokens),)
                )
                service_pool.record_segment(now, announcement.shared_segment)

    def tick(self, now: float) -> list[Action]:
        """Check the requests that are due: those with a silent server move to another where permitted."""
        actions: list[Action] = []
        for state in self._silence_detector.take_due(now):
            actions += self._check_silence(now, state)
        return actions

    def next_wakeup(self) -> float:
        """The time of the next call of `tick`; infinity if none is needed."""
        return self._silence_detector.next_check_at()

    def _check_silence(self, now: float, state: RequestState) -> list[Action]:
        pool, server = self.pools.get(state.request.service), state.server
        if pool is None or server is None:
            return []
        if silence_deadline(state, pool) > now:
            self._silence_detector.watch(state, pool)
            return []
        self.counters.add("silent")
        self._eject(now, pool, server)
        if not self._may_retry(state, acquire=False) or not self._selector.has_untried(pool, state):
            return []
        if not self._acquire_retry(state.request.service):
            return []
        state.may_have_run = True
        self._release(now, state, server)
        self.counters.add("moved")
        return self._send(now, state, RefusalReason.ALL_EJECTED)

    def _send(self, now: float, state: RequestState, reason: RefusalReason) -> list[Action]:
        """Send to the best untried server, or refuse or fail the request."""
        request = state.request
        if now >= request.deadline_at:
            return self._refuse_or_fail(now, state, RefusalReason.DEADLINE)
        pool = self.pools.get(request.service)
        if pool is not None:
            if pool.prefill.samples < MIN_REGRESSION_SAMPLES:
                pool.prefill.set_initial(request.route.target_latency_ms, request.prompt_tokens)
            if not state.tried:
                pool.profile(request.route.name).record_declared(request.prompt_tokens, request.output_tokens)
        choice = self._selector.select(now, pool, state) if pool else None
        if pool is None or choice is None:
            return self._refuse_or_fail(now, state, reason)
        overdue = choice.expected_first_event_ms > request.deadline_at - now
        if overdue and pool.first_event_ms.value > request.route.target_latency_ms and not state.may_have_run:
            return self._refuse(now, state, RefusalReason.OVERLOADED)
        server = choice.server
        state.start(now, choice)
        server.in_flight += 1
        server.pending[request.id] = state
        server.pending_prefill_ms += choice.prefill_ms
        server.add_prefill(now, choice.prefill_ms)
        state.uncorrected_prefill_until = server.uncorrected_prefill_until
        server.prefix_cache.insert(request.prompt_segments)
        if shared_segment := shared_segment_id(request):
            pool.record_segment(now, shared_segment)
        profile = pool.profile(request.route.name)
        state.is_long_stream = profile.is_streaming
        if state.is_long_stream:
            pool.add_streams(now, server, 1)
        self._announce(request, server, choice)
        profile.prefill_ms.observe(choice.prefill_ms)
        priority = (
            min(max(request.priority, HIGHEST_PRIORITY), LOWEST_PRIORITY) if pool.service.engine else None
        )
        self.counters.add("sent")
        self._silence_detector.watch(state, pool)
        return [Send(request.id, server.info.id, priority)]

    def _announce(self, request: DispatchRequest, server: ServerRecord, choice: Choice) -> None:
        shared_segment, tokens = request.prompt_segments[-2] if len(request.prompt_segments) >= 2 else ("", 0)
        if choice.prefill_tokens > 0:
            prefill_tokens = choice.prefill_tokens
            announcement = Announcement(
                request.service, server.info.id, shared_segment, tokens, prefill_tokens, server.streams
            )
            self.announcement_queue.add(announcement)

    def _refuse_or_fail(self, now: float, state: RequestState, reason: RefusalReason) -> list[Action]:
        if state.may_have_run:
            return self._fail(state, Outcome.BROKEN)
        return self._refuse(now, state, reason)

    def _refuse(self, now: float, state: RequestState, reason: RefusalReason) -> list[Action]:
        del self._requests[state.request.id]
        self.counters.add(f"refused_{reason.value}")
        return [admission.refuse(now, state.request, reason.value, self._rng)]

    def _fail(self, state: RequestState, outcome: Outcome) -> list[Action]:
        del self._requests[state.request.id]
        reason = FailureReason.CONNECTION_BROKEN
        status = BAD_GATEWAY
        if outcome is Outcome.BROKEN_STREAM:
            reason = FailureReason.STREAM_BROKEN
        elif outcome is Outcome.TIMED_OUT:
            reason, status = FailureReason.SERVER_SILENT, GATEWAY_TIMEOUT
        self.counters.add(f"failed_{reason.value}")
        return [Fail(state.request.id, status, reason.value)]

    def _may_retry(self, state: RequestState, acquire: bool = True) -> bool:
        """Whether a request that may have run may be sent again; `acquire` takes from the retry budget."""
        route = state.request.route
        if not state.may_move or (not route.resumable and route.kind != RouteKind.SAFE):
            return False
        if state.attempts >= max(route.max_attempts, 1):
            return False
        return not acquire or self._acquire_retry(state.request.service)

    def _end_attempt(
        self, now: float, request_id: RequestId, server_id: str
    ) -> tuple[RequestState, ServerRecord] | None:
        """End the attempt; returns the request and its server, or None if no such attempt is active."""
        state = self._requests.get(request_id)
        if state is None or state.server is None or state.server.info.id != server_id:
            return None
        server = state.server
        self._release(now, state, server)
        return state, server

    def _release(self, now: float, state: RequestState, server: ServerRecord) -> None:
        server.in_flight -= 1
        self._remove_pending(state, server)
        state.server = None
        if not state.is_long_stream:
            return
        service = state.request.service
        if pool := self.pools.get(service):
            pool.add_streams(now, server, -1)
        self.announcement_queue.add(Announcement(service, server.info.id, "", 0, 0, server.streams))

    def _remove_pending(self, state: RequestState, server: ServerRecord) -> None:
        """Remove from the pending requests: its prefill is done or will not take place."""
        if server.pending.pop(state.request.id, None) is not None:
            server.pending_prefill_ms = (
                server.pending_prefill_ms - state.prefill_ms if server.pending else 0.0
            )

    def _record_connection_failure(
        self, now: float, state: RequestState, server: ServerRecord, force_ejection: bool = False
    ) -> None:
        self.counters.add("broke")
        pool = self.pools.get(state.request.service)
        if pool is not None and (server.health.record_connection_failure(now) or force_ejection):
            self._eject(now, pool, server)

    def _eject(self, now: float, pool: ServicePool, server: ServerRecord) -> None:
        if server.health.ejected_until <= now and is_ejection_allowed(pool, server, now):
            server.health.eject(now)
            pool.degraded = True
            self.counters.add("ejected")

    def _record_first_event(self, now: float, state: RequestState, server: ServerRecord) -> None:
        """Update the estimates with the time to the first event."""
        self._remove_pending(state, server)
        server.health.record_response(now, failed=False)
        pool = self.pools.get(state.request.service)
        if pool is None:
            return
        elapsed_ms = now - state.sent_at
        server.complete_prefill(now, state.uncorrected_prefill_until)
        pool.first_event_ms.observe(elapsed_ms)
        pool.prefill.observe(state.prefill_tokens, elapsed_ms - state.backlog_ms)
        overhead_ms = elapsed_ms - state.backlog_ms - state.prefill_ms
        server.overhead.observe(now, overhead_ms, pool.overhead.value)
        pool.overhead.observe(overhead_ms)
        target_ms = state.request.route.target_latency_ms
        server.concurrency.observe(
            now, state.sent_at, server.in_flight, elapsed_ms, state.expected_first_event_ms, target_ms
        )

    def _record_response(self, now: float, state: RequestState, server: ServerRecord, failed: bool) -> None:
        """Record the outcome of a response and eject a server that fails far more often than the others."""
        server.health.record_response(now, failed)
        pool = self.pools.get(state.request.service)
        if pool is None:
            return
        pool.failure_rate.observe(float(failed))
        if failed and server.health.has_gray_failure(pool.failure_rate.value):
            self._eject(now, pool, server)

    def _record_stream_duration(self, now: float, state: RequestState) -> None:
        """Record the duration of a complete stream in the profile of its route."""
        pool = self.pools.get(state.request.service)
        if pool is None or pool.service.engine is None or state.first_event_at is None:
            return
        pool.profile(state.request.route.name).stream_ms.observe(now - state.first_event_at)
        pool.update_stream_servers(now)
