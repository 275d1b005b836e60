"""Picks the server of each request and decides what follows a failure; one for each proxy.

A request goes to the fastest idle server by estimated time to its first event: the wait this proxy sees
there, what the server takes beyond reading, and the part of the prompt that it is not believed to keep.
Servers that are not idle are used once no idle one is left. Near-ties go by rendezvous of the prompt's last
shared part, so that proxies agree without talking, else by chance. It does no I/O and is told the time in
milliseconds.
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
from barleybarrow.routing.announcements import Announcement, AnnouncementBox
from barleybarrow.routing.exchange import Choice, Exchange
from barleybarrow.routing.pool import ServerRecord, ServicePool
from barleybarrow.routing.selection import Selector, subject_of
from barleybarrow.routing.silence import SilenceWatch, may_eject, silent_at
from barleybarrow.routing.speed import FEWEST_SAMPLES

BAD_GATEWAY, GATEWAY_TIMEOUT = 502, 504
MISDIRECTED = 421
FOREMOST, LAST = 0, 9  # priorities that a server knows
FULL_SHARE_OF_AIM = 1 / 4  # a server that said it is full is busy for this share of the aim of the request
SLOW_SHARE_OF_AIM = 0.5  # a connection that failed after so long met silence: one more try costs as much
CONNECTION_TRIES = 3  # servers to which no connection could be opened; nothing was sent to them


def _no_repeats(_service: str) -> bool:
    return False


class Dispatcher:
    """The routing decisions of one proxy."""

    def __init__(
        self,
        settings: DispatchSettings,
        rng: random.Random,
        now: float,
        may_repeat: Callable[[str], bool] = _no_repeats,
        selector: Selector | None = None,
    ) -> None:
        self.settings = settings
        self.counters = Counters()
        self.news = AnnouncementBox()  # set its `on_first` to be told when there is something to fetch
        self._rng = rng
        self._may_repeat = may_repeat
        self.pools: dict[str, ServicePool] = {}
        self._lists: dict[str, list[ServerInfo]] = {}
        self._exchanges: dict[RequestId, Exchange] = {}
        self._silence = SilenceWatch()
        self._selector = selector or Selector(rng, settings.again_ms)

    def configure(self, now: float, services: Mapping[str, Service], routes: Sequence[Route]) -> None:
        """Take a new configuration."""
        for name in [name for name in self.pools if name not in services]:
            del self.pools[name]
        for name, service in services.items():
            pool = self.pools.get(name)
            if pool is None:
                pool = self.pools[name] = ServicePool(service)
                pool.update(now, self._lists.get(name, ()), self.settings.proxies)
            pool.service = service

    def servers(self, now: float, service: str, servers: Sequence[ServerInfo]) -> None:
        """Take a new list of the servers of a service."""
        self._lists[service] = list(servers)
        if pool := self.pools.get(service):
            pool.update(now, servers, self.settings.proxies)

    def arrived(self, now: float, request: DispatchRequest) -> list[Action]:
        """Send a new request to a server, or refuse it."""
        exchange = self._exchanges[request.id] = Exchange(request)
        return self._send(now, exchange, RefusalReason.NO_SERVER)

    def connection_failed(self, now: float, request_id: RequestId, server_id: str) -> list[Action]:
        """No connection could be had, so nothing was sent: another server may be tried."""
        found = self._take(now, request_id, server_id)
        if found is None:
            return []
        exchange, server = found
        slow = now - exchange.sent_at > SLOW_SHARE_OF_AIM * exchange.request.route.target_latency_ms
        self._broke(now, exchange, server, for_sure=slow)
        exchange.attempts -= 1
        exchange.unreached += 1
        if exchange.unreached >= CONNECTION_TRIES:
            return self._refuse(now, exchange, RefusalReason.ATTEMPTS_SPENT)
        return self._send(now, exchange, RefusalReason.ALL_EJECTED)

    def rejected(
        self, now: float, request_id: RequestId, server_id: str, status: int, retry_after_ms: float | None
    ) -> list[Action]:
        """The server said that it did not run the request."""
        found = self._take(now, request_id, server_id)
        if found is None:
            return []
        exchange, server = found
        request = exchange.request
        if pool := self.pools.get(request.service):
            pool.troubled = True
        if status == MISDIRECTED:  # another server has its address, or it carries other weights
            server.health.eject(now)
        else:
            pause_ms = retry_after_ms or request.route.target_latency_ms * FULL_SHARE_OF_AIM
            server.health.full_until = now + pause_ms
        self.counters.add("rejected")
        if exchange.attempts >= max(request.route.max_attempts, 1) or not self._may_repeat(request.service):
            return self._refuse(now, exchange, RefusalReason.ATTEMPTS_SPENT)
        return self._send(now, exchange, RefusalReason.OVERLOADED)

    def first_event(self, now: float, request_id: RequestId, server_id: str) -> list[Action]:
        """The head of the answer, or the first event of its stream, has come."""
        exchange = self._exchanges.get(request_id)
        if exchange is None or exchange.server is None or exchange.server.info.id != server_id:
            return []
        exchange.server.heard_at = now
        if exchange.first_event_at is None:
            exchange.first_event_at = exchange.last_event_at = now
            self._learn(now, exchange, exchange.server)
        return []

    def event(self, now: float, request_id: RequestId, server_id: str, tokens: int) -> list[Action]:
        """A further event of a stream has come."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None and exchange.server is not None and exchange.server.info.id == server_id:
            exchange.last_event_at = exchange.server.heard_at = now
        return []

    def finished(self, now: float, request_id: RequestId, server_id: str, outcome: Outcome) -> list[Action]:
        """The attempt at this server has ended."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None and outcome in (Outcome.SERVED, Outcome.ERROR_STATUS):
            self.first_event(now, request_id, server_id)
        found = self._take(now, request_id, server_id)
        if found is None:
            return []
        exchange, server = found
        if outcome in (Outcome.SERVED, Outcome.ERROR_STATUS):
            failed = outcome is Outcome.ERROR_STATUS
            self._judge(now, exchange, server, failed)
            if failed and self._may_move(exchange):
                exchange.may_have_run = True
                return self._send(now, exchange, RefusalReason.ALL_EJECTED)
            self._learn_stream(now, exchange)
            self.counters.add(outcome.value)
            del self._exchanges[request_id]
            return []
        if outcome is Outcome.CANCELLED:
            del self._exchanges[request_id]
            return []
        if outcome is not Outcome.TIMED_OUT or server.heard_at <= exchange.sent_at:
            self._broke(now, exchange, server)
        exchange.may_have_run = True
        if self._may_move(exchange):
            return self._send(now, exchange, RefusalReason.ALL_EJECTED)
        return self._fail(exchange, outcome)

    def abandoned(self, now: float, request_id: RequestId) -> list[Action]:
        """The client has left."""
        exchange = self._exchanges.pop(request_id, None)
        if exchange is not None and exchange.server is not None:
            self._release(now, exchange, exchange.server)
        return []

    def proxies_changed(self, now: float, proxies: int) -> None:
        """Take the number of proxies that send to the same servers, this one among them."""
        self.settings.proxies = max(1, proxies)
        known = self.news.proxies(now) - 1
        for pool in self.pools.values():
            pool.inform(
                min(1.0, (known + 1) / self.settings.proxies) if known else 0.0, self.settings.proxies
            )

    def announcements(self) -> list[Announcement]:
        """What other proxies should be told now; each is given once."""
        return self.news.take()

    def standing(self) -> list[Announcement]:
        """What was announced before and still holds: the streams that this proxy has at servers."""
        return [
            Announcement(service, server.info.id, "", 0, 0, server.streams)
            for service, pool in self.pools.items()
            for server in pool.servers.values()
            if server.streams
        ]

    def heard(self, now: float, peer: str, announcements: Sequence[Announcement]) -> None:
        """Another proxy tells what it has sent where."""
        self.news.heard_from(now, peer)
        known = self.news.proxies(now)
        self.settings.proxies = max(self.settings.proxies, known)
        for pool in self.pools.values():
            pool.inform(known / self.settings.proxies, self.settings.proxies)
        for news in announcements:
            service = self.pools.get(news.service)
            server = service.servers.get(news.server_id) if service else None
            if service is None or server is None:
                continue
            service.hear_streams(now, server, peer, news.streams)
            if news.tokens_to_read == 0:
                continue
            server.will_read(now, news.tokens_to_read * service.reading.ms_per_token)
            if news.subject:
                server.cache.fill(max(0, news.tokens_to_read - news.subject_tokens))
                server.cache.sent(((news.subject, news.subject_tokens),))
                service.used(now, news.subject)

    def tick(self, now: float) -> list[Action]:
        """Do what has fallen due: requests whose server keeps silent go on elsewhere where they may."""
        actions: list[Action] = []
        for exchange in self._silence.due(now):
            actions += self._look_at(now, exchange)
        return actions

    def next_wakeup(self) -> float:
        """When `tick` is to be called; infinity: not at all."""
        return self._silence.next()

    def _look_at(self, now: float, exchange: Exchange) -> list[Action]:
        pool, server = self.pools.get(exchange.request.service), exchange.server
        if pool is None or server is None:
            return []
        if silent_at(exchange, pool) > now:
            self._silence.watch(exchange, pool)
            return []
        self.counters.add("silent")
        self._eject(now, pool, server)
        if not self._may_move(exchange, spend=False) or not self._selector.others(pool, exchange):
            return []
        if not self._may_repeat(exchange.request.service):
            return []
        exchange.may_have_run = True
        self._release(now, exchange, server)
        self.counters.add("moved")
        return self._send(now, exchange, RefusalReason.ALL_EJECTED)

    def _send(self, now: float, exchange: Exchange, reason: RefusalReason) -> list[Action]:
        """Send to the best server that has not been tried, or give the request up."""
        request = exchange.request
        if now >= request.deadline_at:
            return self._give_up(now, exchange, RefusalReason.DEADLINE)
        pool = self.pools.get(request.service)
        if pool is not None:
            if pool.reading.samples < FEWEST_SAMPLES:
                pool.reading.guess(request.route.target_latency_ms, request.prompt_tokens)
            if not exchange.tried:
                pool.profile(request.route.name).declare(request.prompt_tokens, request.output_tokens)
        choice = self._selector.pick(now, pool, exchange) if pool else None
        if pool is None or choice is None:
            return self._give_up(now, exchange, reason)
        overdue = choice.expected_ms > request.deadline_at - now
        if overdue and pool.first.value > request.route.target_latency_ms and not exchange.may_have_run:
            return self._refuse(now, exchange, RefusalReason.OVERLOADED)
        server = choice.server
        exchange.start(now, choice)
        server.in_flight += 1
        server.waiting[request.id] = exchange
        server.waiting_ms += choice.reading_ms
        server.will_read(now, choice.reading_ms)
        exchange.read_until = server.unshifted_until
        server.cache.sent(request.prompt_parts)
        if subject := subject_of(request):
            pool.used(now, subject)
        profile = pool.profile(request.route.name)
        exchange.is_stream = profile.is_streaming
        if exchange.is_stream:
            pool.change_streams(now, server, 1)
        self._tell(request, server, choice)
        profile.reading.learn(choice.reading_ms)
        priority = min(max(request.priority, FOREMOST), LAST) if pool.service.engine else None
        self.counters.add("sent")
        self._silence.watch(exchange, pool)
        return [Send(request.id, server.info.id, priority)]

    def _tell(self, request: DispatchRequest, server: ServerRecord, choice: Choice) -> None:
        subject, tokens = request.prompt_parts[-2] if len(request.prompt_parts) >= 2 else ("", 0)
        if choice.tokens_to_read > 0:
            read = choice.tokens_to_read
            news = Announcement(request.service, server.info.id, subject, tokens, read, server.streams)
            self.news.tell(news)

    def _give_up(self, now: float, exchange: Exchange, reason: RefusalReason) -> list[Action]:
        if exchange.may_have_run:
            return self._fail(exchange, Outcome.BROKEN)
        return self._refuse(now, exchange, reason)

    def _refuse(self, now: float, exchange: Exchange, reason: RefusalReason) -> list[Action]:
        del self._exchanges[exchange.request.id]
        self.counters.add(f"refused_{reason.value}")
        return [admission.refuse(now, exchange.request, reason.value, self._rng)]

    def _fail(self, exchange: Exchange, outcome: Outcome) -> list[Action]:
        del self._exchanges[exchange.request.id]
        reason = FailureReason.CONNECTION_BROKEN
        status = BAD_GATEWAY
        if outcome is Outcome.BROKEN_STREAM:
            reason = FailureReason.STREAM_BROKEN
        elif outcome is Outcome.TIMED_OUT:
            reason, status = FailureReason.SERVER_SILENT, GATEWAY_TIMEOUT
        self.counters.add(f"failed_{reason.value}")
        return [Fail(exchange.request.id, status, reason.value)]

    def _may_move(self, exchange: Exchange, spend: bool = True) -> bool:
        """Whether a request that may have run may go elsewhere; `spend` takes from the retry budget."""
        route = exchange.request.route
        if not route.resumable and route.kind != RouteKind.SAFE:
            return False
        if exchange.attempts >= max(route.max_attempts, 1):
            return False
        return not spend or self._may_repeat(exchange.request.service)

    def _take(
        self, now: float, request_id: RequestId, server_id: str
    ) -> tuple[Exchange, ServerRecord] | None:
        """The exchange and its server, with the attempt ended; None if it is no longer out there."""
        exchange = self._exchanges.get(request_id)
        if exchange is None or exchange.server is None or exchange.server.info.id != server_id:
            return None
        server = exchange.server
        self._release(now, exchange, server)
        return exchange, server

    def _release(self, now: float, exchange: Exchange, server: ServerRecord) -> None:
        server.in_flight -= 1
        self._began(exchange, server)
        exchange.server = None
        if not exchange.is_stream:
            return
        service = exchange.request.service
        if pool := self.pools.get(service):
            pool.change_streams(now, server, -1)
        self.news.tell(Announcement(service, server.info.id, "", 0, 0, server.streams))

    def _began(self, exchange: Exchange, server: ServerRecord) -> None:
        """Its prompt is read, or will never be: it no longer waits there."""
        if server.waiting.pop(exchange.request.id, None) is not None:
            server.waiting_ms = server.waiting_ms - exchange.reading_ms if server.waiting else 0.0

    def _broke(self, now: float, exchange: Exchange, server: ServerRecord, for_sure: bool = False) -> None:
        self.counters.add("broke")
        pool = self.pools.get(exchange.request.service)
        if pool is not None and (server.health.broke(now) or for_sure):
            self._eject(now, pool, server)

    def _eject(self, now: float, pool: ServicePool, server: ServerRecord) -> None:
        if server.health.ejected_until <= now and may_eject(pool, server, now):
            server.health.eject(now)
            pool.troubled = True
            self.counters.add("ejected")

    def _learn(self, now: float, exchange: Exchange, server: ServerRecord) -> None:
        """Take the time to a first event into the estimates."""
        self._began(exchange, server)
        server.health.answered(now, failed=False)
        pool = self.pools.get(exchange.request.service)
        if pool is None:
            return
        taken_ms = now - exchange.sent_at
        server.has_read(now, exchange.read_until)
        pool.first.learn(taken_ms)
        pool.reading.learn(exchange.tokens_to_read, taken_ms - exchange.backlog_ms)
        excess_ms = taken_ms - exchange.backlog_ms - exchange.reading_ms
        server.speed.learn(now, excess_ms, pool.excess.value)
        pool.excess.learn(excess_ms)
        aim_ms = exchange.request.route.target_latency_ms
        server.idle.learn(now, exchange.sent_at, server.in_flight, taken_ms, exchange.expected_ms, aim_ms)

    def _judge(self, now: float, exchange: Exchange, server: ServerRecord, failed: bool) -> None:
        """Take how an answer ended into the server's record, and leave it alone if it fails far too often."""
        server.health.answered(now, failed)
        pool = self.pools.get(exchange.request.service)
        if pool is None:
            return
        pool.failures.learn(float(failed))
        if failed and server.health.is_grey(pool.failures.value):
            self._eject(now, pool, server)

    def _learn_stream(self, now: float, exchange: Exchange) -> None:
        """Take the length of a whole stream into the route's profile."""
        pool = self.pools.get(exchange.request.service)
        if pool is None or pool.service.engine is None or exchange.first_event_at is None:
            return
        pool.profile(exchange.request.route.name).streaming.learn(now - exchange.first_event_at)
        pool.separate_streams(now)
