"""Routing policy of one proxy. Events and actions are defined in interface.py, state records in state.py.

1. A request goes to the fastest idle backend: own attempts there are under a learned concurrency limit, one
   for the whole fleet where a proxy's share is small. Other proxies' attempts count where probes report them.
2. While none is idle a request is held, by value per unit of work, and refused before its time is up.
3. Any failure of a backend starts a back-off; a backend that leaves requests unanswered is ranked as slower.
4. One table decides what may be retried or refused. A cold backend gets a paced share of a warm one's work.

A latency is a backend's usual latency times the work of a class, and the mean work of all answers is 1: only
the product is observed, so that either factor could drift without bound otherwise."""

import random
from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from math import exp, inf, log, sqrt
from typing import Any

from barleybarrow import interface as face
from barleybarrow.interface import Action, Effect, Group, ListScope, Outcome, State
from barleybarrow.state import Backend, BackendPool, ClassState, DueQueue, Estimate, Ranking, Request

BACKEND_WEIGHT = 1 / 16  # EWMA weight of a latency: some 16 answers tell a change from the spread of work
FLEET_WEIGHT = 1 / 32  # the same for the fleet: backends differ, and a single answer must not move it
COST_WEIGHT = 1 / 64  # the same for a class's work and a kind's speed: slow to change, and shared by many
FAILURE_COST_FACTOR = 4.0  # a failure counts as an answer that took this multiple of the usual cost, or more
TIE_TOLERANCE = 0.2  # costs within this share of the best are a tie: less than the spread after smoothing
MAX_CONGESTION = log(2.5)  # log of latency over its best that cuts a limit; half the target's room if less
LOW_CONGESTION, FLEET_LOW_CONGESTION = 0.6, 0.85  # under this share of it a limit grows; fleet: mean of many
LIMIT_INCREASE = 0.25  # per full limit served, over all proxies: congestion has to show in between
LIMIT_DECREASE = 0.75  # factor of a cut, down to one request of all proxies together
BEST_DRIFT_PER_S = 0.02  # of the best latency toward the mean; a quarter for the fleet: no overload is normal
MAX_DIVISOR = 4  # growth is divided by the number of proxies up to this: beyond, each serves too little
MEAN_DECAY_PER_S = 0.02  # of a backend's latency toward its kind's: trials may be rare
INITIAL_LIMIT = 2.0  # per backend, of all proxies together: one request in service and one on its way
MIN_BACKEND_LIMIT = 0.5  # a proxy's share under this can't be learned per backend: one limit for the fleet
MIN_LATENCIES_LEFT = 3.0  # usual latencies a held request must have left to its target, half of that at most
DEAD_BACKOFF_TARGETS, MAX_BACKOFF_TARGETS = 4.0, 8.0  # target latencies: after a dead process; the longest
DEAD_AFTER_BREAKS = 3  # connections broken within a target latency, no answer between: the process died
BREAK_P_VALUE, BREAKING_WEIGHT = 1e-5, 1 / 256  # unless likelier than this by the fleet's share of breaks
FAILURE_WEIGHT, SUCCESS_WEIGHT = 1 / 3, 1 / 4  # EWMA weights of an outcome in the recent share of failures
STUCK_AFTER_LATENCIES = 6.0  # usual latencies after which an attempt that a later one overtook is given up
HEALTHY_FOR_TARGETS = 2.0  # target latencies for which an answer shows that a backend serves its class
BACKOFF_PER_FAILURE = 2.0  # in usual costs, times the failures per answer
RATE_DECAY_PER_S = 0.05  # of the service rate a warm backend has shown, unless it serves more: idle, it could
RETRY_RATIO, RETRY_BURST = 0.2, 10.0  # retries earned per arrival, and how many can be saved up
MAX_SCANNED = 16  # held retries examined per dispatch: there may be thousands
COLD_START_SHARE = 0.5  # of the overload multiple: the other half is for class mix, estimates and chance
SWEEP_TICKS = 4  # a sweep covers several batches, so that its cost stays small beside theirs
MAX_SWEPT_BACKENDS = 24  # per sweep, in turn: a large fleet must not cost more at a time than a small one
REPORT_TTL = 1 / 16  # in tightest target latencies: after that, too many requests have come and gone
PROBES = 3  # for one held request: of three backends, one is mostly idle
LOSS_WEIGHT = 1 / 8  # EWMA weight of an answer, twice for none, in the share that a backend leaves unanswered
CONNECT_COST_FACTOR = 1.5  # cost factor of a connection yet to be opened, under one limit for the fleet
PROVEN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))  # the request never ran


class Balancer:
    """Takes the events of one proxy and decides its actions."""

    def __init__(self, settings: face.Settings, seed: int, now: float) -> None:
        settings.check()
        self.conf, self.rng = settings, random.Random(seed)
        self.level = sum(log(c.aim / 4) for c in settings.classes) / len(settings.classes)  # usual latency
        self.classes = [ClassState(c, log(c.aim / 4) - self.level, c.aim / 4) for c in settings.classes]
        self.target = min(c.aim for c in settings.classes)  # the tightest
        self.half_life = 4 * max(c.aim for c in settings.classes)  # of the work counted as served
        self.per_proxy = 1 / max(settings.proxies, 1)
        self.shared = INITIAL_LIMIT * self.per_proxy < MIN_BACKEND_LIMIT  # one limit for the fleet
        self.sweep_interval = max(SWEEP_TICKS * settings.tick, self.target / (8 if self.shared else 50))
        self.margin = 2 * max(SWEEP_TICKS * settings.tick, self.target / 50)  # so that a batch comes in time
        self.pool, self.idle = BackendPool(), Ranking(len(self.classes))
        self.backends, self.live = self.pool.by_name, self.pool.live
        self.requests, self.kinds, self.sent_to = dict[int, Request](), dict[int, Estimate](), set[str]()
        self.retries, self.expiries, self.reranks = deque[Request](), DueQueue[Request](), DueQueue[Backend]()
        self.last_serial, self.wake_at, self.sweep_index, self.answers = 0, inf, 0, 0
        self.retry_budget, self.watch_at, self.watch_backoff, self.breaking = RETRY_BURST, inf, 0.0, 0.0
        self.fleet, self.cap, self.capacity, self.max_congestion = (
            Estimate(self.level), 0.0, 1.0, MAX_CONGESTION)
        self.min_cost = self.max_cost = self.target / 4
        self.crossed_zone_at, self.probe_at, self.probe_backoff, self.rate, self.size = (
            -inf, now, REPORT_TTL * self.min_cost, 0.0, 0)
        self.queues, self.actions = list[tuple[ClassState, deque[Request]]](), list[Action]()
        self.any_held, self.now, self.swept_at, self.unswept_events = False, now, now, 0
        self.handlers: dict[type, Callable[[Any], None]] = {
            face.Arrived: self.on_arrived, face.Finished: self.on_finished,
            face.Left: self.on_client_gone, face.TimerDue: self.on_timer_due,
            face.ListChanged: self.on_list_changed, face.Began: self.on_response_started,
            face.Probed: self.on_probed, face.Told: self.on_estimates}
        self.probing = settings.probing and "inflight" in settings.probe_reports
        self.limit_scale = 1 / self.per_proxy / INITIAL_LIMIT if self.probing else 1.0  # others' load counts
        self.update_costs()
        self.rank_queues()

    def begin(self) -> list[Action]:  # subscribe to the backend list where it is not pushed
        return [face.Watch()] if self.conf.must_ask else []

    def handle(self, now: float, event: face.Event) -> list[Action]:
        """Process one event and return the resulting actions."""
        if (handler := self.handlers.get(type(event))) is None:
            raise face.UnknownEventError(type(event).__name__)
        self.now, self.actions, self.unswept_events = now, [], self.unswept_events + 1
        elapsed = now - self.swept_at
        if elapsed >= self.sweep_interval and (
                4 * self.unswept_events >= min(len(self.live), MAX_SWEPT_BACKENDS) or elapsed > self.target):
            self.sweep(elapsed)
        for b in self.reranks.pop_due(now) if self.reranks.heap else ():
            b.rank_due_at = inf
            if b.position >= 0:
                self.update_rank(b)
        handler(event)
        self.schedule_wakeup()
        return self.actions

    def schedule_wakeup(self) -> None:  # set a timer for the next deadline that no other event covers
        at = min(self.watch_at, self.expiries.next_due())
        if self.any_held or self.retries:
            at = min(at, self.now + self.sweep_interval)
        if at < self.wake_at:
            self.wake_at = at
            self.actions.append(face.SetTimer(max(at, self.now), 0))

    def on_list_changed(self, event: face.ListChanged) -> None:
        if event.scope is ListScope.LOST:
            self.watch_backoff = min(max(2 * self.watch_backoff, self.target), self.conf.ask_within / 4)
            self.watch_at = self.now + self.watch_backoff * (0.5 + self.rng.random())
            return
        self.watch_backoff = 0.0
        removed = list[Backend]()
        if event.scope is ListScope.COMPLETE:
            named = {entry.backend for entry in event.entries}
            removed = [self.remove_backend(b) for b in self.live[:] if b.name not in named]
        for entry in event.entries:
            known = self.backends.get(entry.backend)
            if known is not None and (entry.state is not State.LIVE or known.started != entry.started):
                removed.append(self.remove_backend(known))  # a new incarnation voids all state
            if entry.state is State.LIVE and entry.backend not in self.backends:
                self.add_backend(entry)
        for b in removed:
            self.close_idle(b)
        old_size, self.size = self.size, len(self.live)
        mean = INITIAL_LIMIT * self.per_proxy * self.size  # its share of all, and room for random bursts
        limit = self.fleet.limit * self.size / old_size if old_size else max(mean + sqrt(mean), 1.0)
        self.fleet.limit = max(limit, self.per_proxy)
        self.update_capacity()
        self.dispatch()

    def add_backend(self, entry: face.Entry) -> None:  # it starts with what is known of its kind
        zone_price = self.conf.cross_zone_price if entry.zone != self.conf.zone else 0.0
        kind = self.kinds.setdefault(entry.kind, Estimate(self.level))
        self.last_serial += 1
        b = Backend(self.last_serial, entry, kind, zone_price, INITIAL_LIMIT * self.per_proxy,
                    len(self.classes), self.now)
        self.pool.add(b, int(self.rng.random() * (len(self.live) + 1)))  # proxies must not sweep in step
        self.update_warmth(b)
        if self.shared:  # here a request may cost minutes of cold budget
            b.budget = self.rng.random() * self.min_cost  # so that proxies do not spend it in step
        self.update_rank(b)

    def remove_backend(self, b: Backend) -> Backend:
        self.idle.remove(b)
        self.pool.remove(b, b.served * 0.5 ** ((self.now - b.aged_at) / self.half_life))
        return b

    def close_idle(self, b: Backend) -> None:  # close the idle connections to a removed backend, if required
        if b.name in self.sent_to and b.name not in self.backends:
            self.actions.append(face.Disconnect(b.name))
            if not b.inflight + b.stuck:  # else names would pile up
                self.sent_to.discard(b.name)

    def update_capacity(self) -> None:  # the sum of all limits; where probing, load reports tell more
        limit, old_limit = self.fleet.limit if self.shared else self.pool.limit_sum, int(self.cap)
        self.capacity = inf if self.probing else limit
        self.cap = max(1.0, limit if self.probing else limit / max(self.size, 1)) if self.shared else 0.0
        if int(self.cap) != old_limit:
            for b in self.live:
                self.update_rank(b)

    def update_rank(self, b: Backend) -> None:
        """Update a backend's rank among the idle ones, and schedule the next update where time changes it."""
        if self.probing:
            return  # load of other proxies changes with each report: pick_by_reports scans all
        limit = self.cap or b.limit
        full = b.inflight and b.inflight + 1 > limit
        if full or self.now < b.busy_until:
            self.idle.remove(b)
            return None if full else self.schedule_rank(b, b.busy_until)
        latency = (b.latency if b.seen else b.kind.latency) * b.peer_factor
        if self.shared:  # a cold backend is not congested yet, but slow for another reason
            latency *= (exp((self.fleet.best - self.fleet.mean) / 2) if b.warmth < 1
                        else CONNECT_COST_FACTOR ** (not b.opened))
        by_class = zip(b.lost, self.classes, strict=True)
        costs: list[float | None] = [latency + (b.zone_price + lost) * c.penalty for lost, c in by_class]
        if b.class_backoff:
            costs = [None if at > self.now else v for at, v in zip(b.rests, costs, strict=True)]
            b.class_backoff = None in costs
            self.schedule_rank(b, min((at for at in b.rests if at > self.now), default=inf))
        if b.warmth < 1 and (rate := self.update_warmth(b)):
            self.schedule_rank(b, b.warm_from + self.conf.cold)
            if b.inflight + 1 > max(1.0, limit * b.warmth):
                costs = []
            elif missing := [c.cost - b.budget for c in self.classes if c.cost > b.budget]:
                costs = [v if b.budget >= c.cost else None for v, c in zip(costs, self.classes, strict=True)]
                self.schedule_rank(b, self.now + max(min(missing) / rate, self.conf.tick))
        self.idle.update(b, costs)

    def schedule_rank(self, b: Backend, at: float) -> None:  # at this time or earlier
        if at < b.rank_due_at:
            b.rank_due_at = at
            self.reranks.add(at, b)

    def on_probed(self, event: face.Probed) -> None:  # other proxies' load; a failed probe starts a back-off
        if b := self.backends.get(event.backend):
            b.probe_pending, b.reported_at = False, self.now
            b.others = max(0.0, (event.report or {}).get("inflight", 0.0) - b.inflight)
            if event.outcome is not Outcome.SERVED:
                b.busy_until = self.now + self.target / 4
                self.update_rank(b)
            self.dispatch()

    def on_estimates(self, event: face.Told) -> None:  # these only lower a listed backend's rank
        for estimate in event.hearsay:
            if (b := self.backends.get(estimate.backend)) and b.started == estimate.started:
                b.apply_estimate(estimate, self.fleet.mean)
                self.update_rank(b)

    def update_warmth(self, b: Backend) -> float:
        """Estimate its warmth low and pace it by that share of a warm one's rate: overload may stop it.

        Proxies' rates add up to the fleet's: none needs the others. Returns the budget rate, ms per ms."""
        conf, age, elapsed = self.conf, self.now - b.warm_from, self.now - b.budget_at
        b.budget_at = self.now
        if b.warm_from <= 0 or age >= conf.cold:
            self.pool.set_warmth(b, 1.0)
            return 0.0
        self.pool.set_warmth(b, conf.cold_from + (1 - conf.cold_from) * max(age, 0.0) / conf.cold)
        rate = self.rate * b.warmth * conf.tip_multiple * COLD_START_SHARE
        rate = max(rate, self.min_cost / (max(conf.tip_after, 1.0) * conf.proxies))  # one per window
        b.budget = min(b.budget + rate * elapsed, max(rate * conf.tip_after / 4, self.max_cost))
        return rate

    def on_arrived(self, event: face.Arrived) -> None:
        r, self.probe_at = Request(event, self.now, self.backends), self.now
        self.requests[event.request] = r
        self.classes[r.klass].asked += 1
        self.retry_budget = min(self.retry_budget + RETRY_RATIO, RETRY_BURST)
        self.hold(r)

    def hold(self, r: Request) -> None:
        if self.now >= r.deadline - self.margin:
            return self.give_up(r)  # it may arrive with no time left
        r.held, klass = True, self.classes[r.klass]
        late = r.repeated and not r.attempts  # a client's retry: most of its target has passed
        (self.retries if r.attempts or r.may_have_run else klass.late if late else klass.fresh).append(r)
        self.dispatch()
        if r.held:
            lapses = r.attempts and klass.conf.late_worth <= 0
            self.expiries.add(
                min(r.deadline - self.margin, r.arrived_at + klass.conf.aim if lapses else inf), r)

    def dispatch(self) -> None:  # send held requests to idle backends: retries first, then by value per work
        for _ in range(min(len(self.retries), MAX_SCANNED)):  # window or target may have passed
            r = self.retries.popleft()
            if r.held and (self.lapsed(r) or not self.may_send(r)):
                self.give_up(r)
            elif r.held and not self.send(r):
                self.retries.append(r)
        for klass, queue in self.queues:
            while queue and self.try_dequeue(queue[0], klass, queue is klass.fresh):
                queue.popleft()
        self.any_held = any([c.fresh or c.late for c in self.classes])

    def lapsed(self, r: Request) -> bool:
        conf = self.classes[r.klass].conf  # whether an answer has no value any more
        return conf.late_worth <= 0 and self.now >= r.arrived_at + conf.aim

    def try_dequeue(self, r: Request, klass: ClassState, is_fresh: bool) -> bool:
        """Whether the head of a queue leaves it: closed, sent, or too late to meet its target."""
        if r.held and is_fresh and self.now > r.arrived_at + klass.max_wait:
            (klass.late.append if klass.conf.late_worth > 0 else self.give_up)(r)  # behind the others
            return True
        return not r.held or self.send(r)

    def send(self, r: Request) -> bool:
        b, klass = self.pick(r), self.classes[r.klass]
        r.held = b is None
        if b is None:
            return False
        connecting, b.opened = self.shared and not b.opened, True
        if self.conf.hang_up_within > 0:
            self.sent_to.add(b.name)
        if b.zone_price * klass.conf.aim > TIE_TOLERANCE * klass.cost:
            self.crossed_zone_at = self.now  # more room in this zone is wanted
        b.add_attempt(r.id, len(r.attempts), self.now)
        r.attempts.append((b, self.now))
        r.inflight, klass.inflight, self.pool.total = r.inflight + 1, klass.inflight + 1, self.pool.total + 1
        if b.warmth < 1:
            b.budget -= klass.cost
        if connecting or b.warmth < 1 or b.inflight + 1 > (self.cap or b.limit):  # else: same rank
            self.update_rank(b)
        self.probe_backoff = REPORT_TTL * self.target / 4
        timeout = max(r.arrived_at + klass.conf.aim - self.now, self.margin)  # an answer loses value after
        self.actions.append(face.Send(r.id, b.name, 0.0 if klass.conf.late_worth > 0 else timeout))
        return True

    def pick(self, r: Request) -> Backend | None:  # the fastest idle one, near-ties at random
        klass, inflight = self.classes[r.klass], self.pool.total
        order, capacity = self.idle.orders[r.klass], self.capacity
        if self.shared:  # a capacity of one or two must not be taken up by lower-ranked classes
            inflight = sum(c.inflight for c in klass.at_or_above)
            usable = (len(order) + self.pool.total) / max(self.size, 1)  # not the backed-off
            capacity = capacity if self.probing else capacity * min(usable, 1.0)
        if inflight >= max(1.0, capacity) or self.now < klass.ready_at or not (order or self.probing):
            return None
        if self.probing:
            return self.pick_by_reports(r, klass)
        if not (r.attempts or r.bound):
            tied = bisect_left(order, (order[0][0] * (1 + TIE_TOLERANCE),)) or 1
            return order[int(self.rng.random() * tied)][2]
        tried, found, max_value = [b for b, _ in r.attempts], list[Backend](), inf
        for value, _, b in order:
            if value > max_value or len(found) >= MAX_SCANNED:
                break
            if b not in tried and (r.bound is None or self.same_group(b, r.bound, klass)):
                found.append(b)
                max_value = min(max_value, value * (1 + TIE_TOLERANCE))
        return found[int(self.rng.random() * len(found))] if found else None

    def pick_by_reports(self, r: Request, klass: ClassState) -> Backend | None:  # one scan, by load reports
        now, since, found = self.now, self.now - REPORT_TTL * self.target, list[tuple[float, Backend]]()
        tried = [b for b, _ in r.attempts]
        for b in self.live:
            limit, load = (self.cap or b.limit * self.limit_scale,
                           b.inflight + b.others * (b.reported_at > since))
            if load and load + 1 > limit or now < b.busy_until or now < b.rests[r.klass]:
                continue
            if b.warmth < 1 and self.update_warmth(b) and (
                    b.budget < klass.cost or load + 1 > max(1.0, limit * b.warmth)):
                continue
            if b in tried or r.bound is not None and not self.same_group(b, r.bound, klass):
                continue
            value = ((b.latency if b.seen else b.kind.latency) * b.peer_factor
                     + (b.zone_price + b.lost[r.klass]) * klass.penalty)
            found.append((value * (CONNECT_COST_FACTOR if self.shared > b.opened else 1.0), b))
        best = min((value for value, _ in found), default=inf)
        tied = [b for value, b in found if value <= best * (1 + TIE_TOLERANCE)]
        tied = self.known_idle(tied, since) if self.probing and tied else tied
        return tied[int(self.rng.random() * len(tied))] if tied else None

    def known_idle(self, tied: list[Backend], since: float) -> list[Backend]:  # if none is, probe some
        known = [b for b in tied if b.reported_at > since]
        unknown = [b for b in tied if not b.probe_pending]
        if not known and (self.now >= self.probe_at if self.shared else len(tied) - len(unknown) < PROBES):
            self.probe_at = self.now + self.probe_backoff  # doubles with each round that finds none idle
            self.probe_backoff = min(2 * self.probe_backoff, self.target / 8)
            for b in self.rng.sample(unknown, min(PROBES, len(unknown))):
                b.probe_pending = True
                self.actions.append(face.Probe(b.name))
        return known

    def same_group(self, b: Backend, first: Backend, klass: ClassState) -> bool:
        group = klass.conf.group
        return group is Group.ALL or (b.zone == first.zone if group is Group.ZONE else b.cell == first.cell)

    def may_send(self, r: Request) -> bool:  # whether another attempt cannot cause a second effect
        if len(r.attempts) >= self.conf.max_attempts or (r.inflight and not self.conf.parallel):
            return False
        keyed = self.classes[r.klass].conf.effect is Effect.KEYED
        return self.repeat_safe(r) or keyed and self.now < r.window_end - self.conf.tick

    def may_refuse(self, r: Request) -> bool:
        conf = self.classes[r.klass].conf
        return self.repeat_safe(r) or conf.effect is Effect.KEYED and conf.group is Group.ALL

    def repeat_safe(self, r: Request) -> bool:
        return not r.may_have_run and not r.inflight or self.classes[r.klass].conf.effect is Effect.SAFE

    def give_up(self, r: Request) -> None:  # refuse it where the client may safely retry, else fail it
        if self.may_refuse(r):
            conf = self.classes[r.klass].conf  # without late value, an early retry gains nothing
            retry_after = self.target / 2 if conf.late_worth > 0 else conf.deadline
            retry_after = min(self.conf.max_retry_after, retry_after * (0.5 + self.rng.random()))
            self.actions.append(face.Refuse(r.id, retry_after))
        else:
            self.actions.append(face.Fail(r.id))
        self.close(r)

    def close(self, r: Request) -> None:
        r.closed, r.held = True, False
        if not r.inflight:
            self.requests.pop(r.id, None)

    def cancel_attempts(self, r: Request) -> None:  # they hold connections, and nobody waits for an answer
        if self.conf.cancelling and r.inflight:
            self.actions += [face.Cancel(r.id, n) for n, (_, at) in enumerate(r.attempts) if at is not None]

    def on_client_gone(self, event: face.Left) -> None:
        if (r := self.requests.get(event.request)) and not r.closed:
            self.cancel_attempts(r)
            self.close(r)

    def on_response_started(self, event: face.Began) -> None:
        if r := self.requests.get(event.request):
            self.close(r)

    def on_finished(self, event: face.Finished) -> None:
        r = self.requests.get(event.request)
        b, sent_at = r.attempts[event.attempt] if r and 0 <= event.attempt < len(r.attempts) else (None, None)
        if r is None or b is None or sent_at is None:
            return
        r.attempts[event.attempt] = (b, None)  # exactly one outcome counts
        klass, outcome, r.inflight = self.classes[r.klass], event.outcome, r.inflight - 1
        if outcome not in PROVEN and not r.may_have_run:
            r.may_have_run, r.bound, r.window_end = True, b, sent_at + klass.conf.window
        counted = b.remove_attempt(r.id, event.attempt)
        self.pool.total -= counted and b.position >= 0
        klass.inflight -= 1
        if self.shared and self.capacity < 1 and len(klass.at_or_above) == len(self.classes):  # lowest
            klass.ready_at = self.now + min(event.elapsed, klass.conf.aim) * (1 / self.capacity - 1)
        if outcome is Outcome.SERVED or counted and outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            self.record_outcome(b, klass, r.klass, outcome, event.elapsed)  # stuck: counted before
        if outcome is Outcome.SERVED and b.pending:
            self.drop_stuck(b, sent_at)
        if b.position >= 0:
            self.update_rank(b)
        elif not b.inflight + b.stuck:
            self.close_idle(b)
        if event.complete:
            klass.won += outcome is Outcome.SERVED and self.now <= r.arrived_at + klass.conf.aim
            self.cancel_attempts(r)
        if event.complete or r.closed:
            self.close(r)
        elif not r.held and not r.inflight:
            if self.retry_budget >= (outcome not in PROVEN) and not self.lapsed(r) and self.may_send(r):
                self.retry_budget -= outcome not in PROVEN
                self.hold(r)
            else:
                self.give_up(r)
        if self.any_held or self.retries:
            self.dispatch()

    def drop_stuck(self, b: Backend, sent_at: float) -> None:  # no answer comes to what was long overtaken
        max_age = STUCK_AFTER_LATENCIES * b.latency * self.max_cost / exp(self.level)
        for request, _ in b.mark_stuck(min(sent_at, self.now - max_age)):
            k = self.requests[request].klass
            b.lost[k] += 2 * LOSS_WEIGHT * (1 - b.lost[k])
            self.pool.total -= b.position >= 0

    def record_outcome(self, b: Backend, klass: ClassState, k: int, outcome: Outcome, elapsed: float) -> None:
        if outcome is Outcome.SERVED:
            b.failing[k], b.failing[-1] = (
                b.failing[k] * (1 - SUCCESS_WEIGHT), b.failing[-1] * (1 - SUCCESS_WEIGHT))
            b.answered_at[k], b.breaks, self.breaking = self.now, 0, self.breaking * (1 - BREAKING_WEIGHT)
            self.pool.add_served(b, klass.cost)
            b.lost[k] -= LOSS_WEIGHT * b.lost[k]
            sample = log(max(elapsed, self.conf.tick / 4)) - klass.log
            self.answers += 1
            if self.answers == 1:  # replaces the initial guess for all
                for est in (self.fleet, *self.kinds.values()):
                    est.shift(sample - est.mean)
            limited = self.fleet if self.shared else b  # congestion hides how classes differ
            if limited.mean - limited.best < self.max_congestion / 2 or self.answers < 1 / BACKEND_WEIGHT:
                self.update_class_work(
                    klass, sample, self.fleet.mean if self.shared else b.mean if b.seen else b.kind.mean)
        else:  # an error proves no speed; a time-out took at least as long as was waited
            sample = log(max(elapsed, FAILURE_COST_FACTOR * klass.cost)) - klass.log
            broke = self.back_off(b, klass, k, outcome)
            if outcome is not Outcome.FULL and (not broke or klass.conf.effect is Effect.UNSAFE):
                b.lost[k] += 2 * LOSS_WEIGHT * (1 - b.lost[k])  # else it can be retried at once
            if outcome is Outcome.FULL or broke:
                return  # a broken connection says nothing about latency
            if self.shared:  # lost answers are not congestion, but a fleet that answers none is not idle
                if outcome is Outcome.TIMEOUT:
                    self.fleet.add_sample(self.level + log(FAILURE_COST_FACTOR), FLEET_WEIGHT)
                    self.update_limit(self.fleet, b, klass, outcome)
                return
        if not b.seen:
            b.mean = b.kind.mean
        old_mean = b.kind.mean
        b.kind.add_sample(sample, max(COST_WEIGHT, 1 / (b.kind.seen + 1)))
        if b.kind.seen < 1 / COST_WEIGHT:  # early samples were relative to a rough guess
            for other in self.live:
                other.shift((b.kind.mean - old_mean) * (other.seen > 0 and other.kind is b.kind))
        b.add_sample(sample, BACKEND_WEIGHT)
        self.fleet.add_sample(sample, max(FLEET_WEIGHT, 1 / (self.fleet.seen + 1)))
        if outcome is Outcome.SERVED and b.sent_alone and not b.inflight:  # unloaded by this proxy
            b.best += BACKEND_WEIGHT * max(0.0, sample - b.best)
        self.update_limit(self.fleet if self.shared else b, b, klass, outcome)

    def update_class_work(self, klass: ClassState, sample: float, mean: float) -> None:
        """Update the usual latency and the work of a class, which is relative to a mean of 1."""
        klass.count += 1
        self.level += max(COST_WEIGHT, 1 / self.answers) * (sample - self.level)
        klass.log += max(COST_WEIGHT, 1 / (klass.count + 1)) * (sample - mean)
        correction = COST_WEIGHT * klass.log  # keeps the mean work of all classes at 1
        for c in self.classes:
            c.log -= correction
        klass.cost = exp(klass.log + self.level)

    def update_limit(self, est: Estimate, b: Backend, klass: ClassState, outcome: Outcome) -> None:  # AIMD
        est.best = min(est.best, est.mean) if est.seen > 1 / BACKEND_WEIGHT else est.mean
        congestion, min_limit = est.mean - est.best, self.per_proxy * (self.size if self.shared else 1)
        bound = self.max_congestion / (1 + b.zone_price * klass.conf.aim / klass.cost)  # less across zones
        saturated = (self.probing or self.pool.total + 2 > self.capacity if self.shared
                     else b.inflight + 2 > b.limit)
        if (congestion < bound * (FLEET_LOW_CONGESTION if self.shared else LOW_CONGESTION)
                and outcome is Outcome.SERVED):
            if saturated and (self.any_held or self.now - self.crossed_zone_at <= self.sweep_interval):
                increase = (LIMIT_INCREASE * max(self.per_proxy, 1 / MAX_DIVISOR)
                            / (1.0 if self.shared else max(est.limit, 1.0)))
                self.pool.set_limit(est, est.limit + increase)
        elif congestion > bound and (est.seen if self.shared else self.now) >= est.cut_at:
            self.pool.set_limit(est, max(1.0 if self.probing else min_limit, est.limit * LIMIT_DECREASE))
            est.cut_at = (est.seen + 1 / FLEET_WEIGHT if self.shared
                          else self.now + est.limit * self.target / 4)
        if self.shared:
            self.update_capacity()

    def back_off(self, b: Backend, klass: ClassState, k: int, outcome: Outcome) -> bool:
        """Back off from a failed backend, by its failures per answer; return whether the connection broke.

        It errs, is full, hangs or died; while it answers other classes well, this class alone backs off."""
        broke = outcome is Outcome.RESET or outcome is Outcome.CONNECT_FAILED and (b.opened or b.breaks > 0)
        self.breaking += BREAKING_WEIGHT * (broke - self.breaking)
        if broke:
            b.breaks, b.broke_at = b.breaks + 1 if self.now < b.broke_at + self.target else 1, self.now
        elif outcome is not Outcome.TIMEOUT:
            b.breaks = 0
        dead = broke and b.breaks >= max(DEAD_AFTER_BREAKS, log(BREAK_P_VALUE) / log(min(self.breaking, 0.3)))
        if dead and b.position >= 0:
            b.warm_from = self.now  # the process died: it may be back, and cold, before the list says so
            self.update_warmth(b)
        b.opened = b.opened and outcome is not Outcome.CONNECT_FAILED
        if self.now >= max(b.busy_until, b.rests[k]):
            share = b.failing[-1 if broke else k] = (
                FAILURE_WEIGHT + (1 - FAILURE_WEIGHT) * b.failing[-1 if broke else k])
            backoff = BACKOFF_PER_FAILURE * (self.target if self.shared else klass.cost) * share / (1 - share)
            backoff = min(max(backoff, DEAD_BACKOFF_TARGETS * self.target if dead else 0.0),
                          MAX_BACKOFF_TARGETS * self.target)
            until = self.now + backoff * (0.5 + self.rng.random())
            if broke or not self.serves_other_classes(b, k):
                b.busy_until = until
            else:
                b.rests[k], b.class_backoff = until, True
        if outcome in PROVEN and not broke and not self.serves_other_classes(b, k):
            self.pool.set_limit(b, max(self.per_proxy, b.limit * LIMIT_DECREASE))
        return broke

    def serves_other_classes(self, b: Backend, k: int) -> bool:  # then the fault lies with this class alone
        since, max_failing = self.now - HEALTHY_FOR_TARGETS * self.target, b.failing[k] / 2
        shares = enumerate(zip(b.answered_at, b.failing, strict=False))
        return any(at > since and share < max_failing and j != k for j, (at, share) in shares)

    def on_timer_due(self, event: face.TimerDue) -> None:
        self.wake_at = inf
        if self.now >= self.watch_at:
            self.watch_at = inf
            self.actions.append(face.Watch())
        for r in self.expiries.pop_due(self.now):
            if r.held:
                self.give_up(r)
        self.dispatch()

    def sweep(self, elapsed: float) -> None:  # decay what was learned and rank again, after enough events
        self.swept_at, self.unswept_events = self.now, 0
        self.update_costs()
        self.fleet.best += (self.fleet.mean - self.fleet.best) * BEST_DRIFT_PER_S * elapsed / 4000
        self.pool.served *= 0.5 ** (elapsed / self.half_life)
        rate = self.pool.served * log(2) / self.half_life / max(self.pool.warm_count, 1)
        self.rate = max(rate, self.rate * (1 - min(1.0, RATE_DECAY_PER_S * elapsed / 1000)))
        for _ in range(min(len(self.live) // 8 + 1, MAX_SWEPT_BACKENDS) if self.live else 0):
            self.sweep_index = self.sweep_index + 1 if self.sweep_index + 1 < len(self.live) else 0
            b = self.live[self.sweep_index]
            elapsed, b.aged_at = self.now - b.aged_at, self.now
            b.decay(min(1.0, BEST_DRIFT_PER_S * elapsed / 1000), min(1.0, MEAN_DECAY_PER_S * elapsed / 1000),
                    0.5 ** (elapsed / self.half_life))
            if b.warmth < 1:
                self.update_warmth(b)
            self.update_rank(b)
        self.update_capacity()
        room = log(min(c.conf.aim / c.cost for c in self.classes))
        self.max_congestion = max(LOW_CONGESTION, min(MAX_CONGESTION, room - log(4 if self.shared else 2)))
        self.rank_queues()

    def update_costs(self) -> None:  # cost of an answer and of a lost one, by class
        for c in self.classes:
            c.cost, c.penalty = exp(c.log + self.level), c.conf.aim / exp(c.log)
        self.min_cost, self.max_cost = min(c.cost for c in self.classes), max(c.cost for c in self.classes)

    def rank_queues(self) -> None:  # by what one more answer adds to the objective, per expected work
        total = sum(c.asked * c.conf.worth for c in self.classes)
        worst = min(self.classes, key=lambda c: c.won / c.asked)
        ranked = list[tuple[float, ClassState, deque[Request]]]()
        for c in self.classes:
            c.max_wait = c.conf.aim - min(
                MIN_LATENCIES_LEFT * c.cost * exp(self.fleet.mean - self.level), c.conf.aim / 2)
            gain = self.conf.whole_weight * c.conf.worth / total
            c.gain = (gain + self.conf.worst_class_weight / c.asked * (c is worst)) / c.cost
            ranked += [(c.gain, c, c.fresh), (c.gain * c.conf.late_worth, c, c.late)]
        for c in self.classes:
            c.at_or_above = [other for other in self.classes if other.gain >= c.gain]
        self.queues = [(c, queue) for _, c, queue in sorted(ranked, key=lambda entry: -entry[0])]
