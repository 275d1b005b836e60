"""All decisions of the proxy; the types, events and actions are in interface.py.

1. A request goes to the fastest backend seen as idle: own attempts there under a learned threshold, which
   is the fleet's where proxies outnumber backends; what probes tell of others there counts against it.
2. When none is idle it is held, by worth still to be earned per work, and refused when its time runs short.
3. Whatever goes wrong at a backend leaves it alone for a while; what it leaves unanswered makes it slower.
4. One table says what may be sent again or refused. A cold backend gets a paced share of a warm one's work.
"""

import random
from collections import deque
from heapq import heappop, heappush
from math import exp, inf, log

from barleybarrow import interface as face
from barleybarrow.interface import Effect, Group, ListScope, Outcome, State

SMOOTH = 1 / 16  # weight of a new latency: some 16 answers tell a change from the spread of work
COST_SMOOTH = 1 / 64  # a class's usual cost, and a kind's speed, change slowly and are shared by many
FAILED = 4.0  # a failure counts as an answer that took this multiple of the usual cost, or more
TIE = 0.2  # costs this near to the best are a tie: less than the spread left after smoothing
FAR = log(2.5)  # latency over this multiple of its best, or half of what the aim allows, cuts a threshold
NEAR = 0.6  # and under this share of that (in logs) lets it grow
GROWTH = 0.25  # a full threshold served adds so much, over all proxies: crowding has to show in between
CUT = 0.75  # a cut leaves this share of the threshold
AGE = 0.02  # a second moves the best latency this far toward the present one
FEW = 4  # growth is slowed by the number of proxies up to this: beyond, each serves too little
FORGET = 0.02  # a second moves a backend's own latency this far toward that of its kind: trials may be rare
START = 2.0  # first threshold, of all proxies together: one at work and one on its way
HOPE = 3.0  # usual latencies that must be left to the aim of a held request, half the aim at most
BREAK, LONGEST = 4.0, 8.0  # aims that a backend whose process went is left alone; the longest back-off
BREAKS = 3  # connections broken within an aim and no answer between tell that a process went; fewer do not
CALM = 0.05  # a second takes this share off what a warm backend is known to serve, unless it serves more
RETRY_SHARE, RETRY_DEPTH = 0.2, 10.0  # repeats per arrival, and how many can be saved up
COLD_SHARE = 0.5  # of the tip multiple: the other half is for class mix, guesses and chance
SWEEP_TICKS = 4  # a sweep takes several batches, so that its cost stays small beside theirs
FRESH = 1 / 16  # of the tightest aim: a report of what is at a backend counts so long, many come and go after
ASKED = 3  # probes sent at once for a held request: of three, one is mostly idle
LOST = 1 / 8  # weight of an answer, twice for none, in the share of a class that a backend leaves unanswered
OPENING = 1.5  # a connection yet to be opened counts as so much slower, where proxies outnumber backends
PROVEN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))  # it never ran


class Gauge:
    """Smoothed log of latency / class cost, and the threshold that is learned from it."""

    def __init__(self, mean=0.0, limit=1.0):
        self.mean = self.best = mean
        self.ratio, self.seen = exp(mean), 0  # exp(mean), and how many answers it stands on
        self.limit, self.cut_at = limit, 0.0

    def take(self, sample, weight):
        self.seen += 1
        self.mean += weight * (sample - self.mean)
        self.ratio = exp(self.mean)


class Backend(Gauge):
    """What this proxy knows of one life of one backend."""

    def __init__(self, entry, kind, far, share, classes, now):
        super().__init__(kind.mean, START * share)
        self.name, self.started, self.cell = entry.backend, entry.started, entry.cell
        self.zone, self.kind, self.far, self.others = entry.zone, kind, far, 0
        self.inflight, self.open = 0, False  # a connection is likely to be open
        self.warm_from, self.lost = entry.started, [0.0] * classes  # share unanswered, by class
        self.heard_at, self.asked = -inf, False  # when a probe told what others have there; one is out
        self.busy_until = self.busy_for = 0.0  # back-off after failures
        self.breaks, self.broke_at = 0, -inf  # connections broken in a row, and when the last one was
        self.pace, self.paced_at = 0.0, now  # cold budget
        self.served, self.cold = 0.0, 1.0  # work served lately; share warm


class Request:
    """A request that this proxy has taken, until it is answered and no attempt is out."""

    def __init__(self, event, now):
        self.id, self.klass, self.deadline, self.arrived = event.request, event.klass, event.deadline, now
        self.attempts, self.out, self.repeated = [], 0, event.repeated
        self.closed = self.held = self.may_run = False
        self.bound, self.window_end = None, 0.0  # first backend that may have run it; end of its memory


class Class:
    """A request class with what was learned of it and those of it that are held."""

    def __init__(self, conf):
        self.conf, self.cost, self.count, self.asked, self.won = conf, conf.aim / 4, 0, 1.0, 1.0
        self.log, self.patience = log(self.cost), conf.aim / 2
        self.fresh, self.late = deque(), deque()
        self.out, self.ready_at, self.above = 0, 0.0, [self]  # above: what ranks before it, and itself


class Balancer:
    """The decisions of one proxy."""

    def __init__(self, settings, seed, now):
        settings.check()
        self.conf, self.rng = settings, random.Random(seed)
        self.classes = [Class(c) for c in settings.classes]
        self.aim = min(c.aim for c in settings.classes)
        self.sweep_every = max(SWEEP_TICKS * settings.tick, self.aim / 50)
        self.margin = 2 * self.sweep_every  # before a deadline, to be sure of a batch in time
        self.backends, self.requests, self.live, self.kinds, self.sent_to = {}, {}, [], {}, {}
        self.retry, self.agenda, self.entered, self.wake_at = deque(), [], 0, inf
        self.budget, self.watch_at, self.watch_backoff = RETRY_DEPTH, inf, 0.0
        self.total, self.room, self.far, self.least = 0, 1.0, FAR, 1 / max(settings.proxies, 1)
        self.fleet, self.many = Gauge(), False  # more proxies than backends: each sees little of one
        self.crossed, self.ask_at, self.pause = -inf, now, FRESH * self.aim / 4
        self.light, self.rate, self.queues = self.aim / 4, 0.0, []
        self.held, self.actions, self.now, self.swept, self.news = False, [], now, now, 0
        self.handlers = {face.Arrived: self.arrived, face.Finished: self.finished, face.Left: self.left,
                         face.TimerDue: self.timer, face.ListChanged: self.listed, face.Began: self.began,
                         face.Probed: self.probed}
        self.asks = settings.probing and "inflight" in settings.probe_reports
        self.share = 1 / self.least / START if self.asks else 1.0  # with what others have it is the fleet's
        self.rank_queues()

    def begin(self):  # ask for the list where it must be asked for
        return [face.Watch()] if self.conf.must_ask else []

    def handle(self, now, event):  # take one event, return the actions it calls for
        handler = self.handlers.get(type(event))
        if handler is None:
            raise face.UnknownEvent(type(event).__name__)
        self.now, self.actions, self.news = now, [], self.news + 1
        span = now - self.swept
        if span >= self.sweep_every and (4 * self.news >= len(self.live) or span > self.aim):
            self.tend(span)
        handler(event)
        self.plan()
        return self.actions

    def plan(self):
        """Ask to be woken when the next thing falls due that no other event would bring."""
        while self.agenda and not self.agenda[0][2].held:
            heappop(self.agenda)
        at = min(self.watch_at, self.agenda[0][0] if self.agenda else inf)
        if self.held or self.retry:
            at = min(at, self.now + self.sweep_every)
        if at < self.wake_at:
            self.wake_at = at
            self.actions.append(face.SetTimer(max(at, self.now), 0))

    def listed(self, event):
        if event.scope is ListScope.LOST:
            self.watch_backoff = min(max(2 * self.watch_backoff, self.aim), self.conf.ask_within / 4)
            self.watch_at = self.now + self.watch_backoff * (0.5 + self.rng.random())
            return
        self.watch_backoff = 0.0
        before = self.backends
        kept = {} if event.scope is ListScope.COMPLETE else dict(before)
        for entry in event.entries:
            old = before.get(entry.backend)
            if entry.state is not State.LIVE:
                kept.pop(entry.backend, None)
            elif old is not None and old.started == entry.started:
                kept[entry.backend] = old
            else:  # a new life: what was in flight there and what was thought of it are void
                kept[entry.backend] = self.newcomer(entry)
        self.backends, self.live = kept, list(kept.values())
        for b in before.values():
            self.hang_up(b)
        self.total, self.many = sum(b.inflight for b in self.live), self.conf.proxies > len(self.live) > 0
        self.sweep_every = max(SWEEP_TICKS * self.conf.tick, self.aim / (8 if self.many else 50))
        self.add_up()
        self.dispatch()

    def hang_up(self, b):
        """Close what is idle toward a backend that is left, where that is asked for."""
        if b.name in self.sent_to and b.name not in self.backends:
            self.actions.append(face.Disconnect(b.name))
            if not b.inflight:  # names come and go without end
                del self.sent_to[b.name]

    def add_up(self):
        """The sum of the thresholds is the room for what is out; probes tell more than it can."""
        limit = self.fleet.limit if self.many else sum(b.limit for b in self.live)
        self.room = inf if self.asks else limit
        self.each = 0.0  # one threshold for every backend, where proxies outnumber them
        if self.many:
            self.each = max(1.0, limit if self.asks else limit / len(self.live))

    def probed(self, event):
        """Note what other proxies have at a backend; one that does not tell is left alone for a while."""
        b = self.backends.get(event.backend)
        if b is not None:
            b.asked, b.heard_at = False, self.now
            b.others = max(0.0, (event.report or {}).get("inflight", 0.0) - b.inflight)
            if event.outcome is not Outcome.SERVED:
                b.busy_until = self.now + self.aim / 4
            self.dispatch()

    def newcomer(self, entry):
        far = self.conf.cross_zone_price if entry.zone != self.conf.zone else 0.0
        kind = self.kinds.setdefault(entry.kind, Gauge())
        new = Backend(entry, kind, far, self.least, len(self.classes), self.now)
        self.warm(new)
        if self.many:  # one request may be worth minutes of budget here: proxies must not save up in step
            new.pace = self.rng.random() * self.light
        return new

    def warm(self, b):
        """Guess low how warm it is and allow that share of what a warm one serves here: it may fall over.

        The rates of all proxies add up to the fleet's own, so none needs to know the others.
        """
        conf, age, span = self.conf, self.now - b.warm_from, self.now - b.paced_at
        b.cold, b.paced_at = 1.0, self.now
        if b.warm_from <= 0 or age >= conf.cold:
            return
        b.cold = conf.cold_from + (1 - conf.cold_from) * max(age, 0.0) / conf.cold
        rate = self.rate * b.cold * conf.tip_multiple * COLD_SHARE
        rate = max(rate, self.light / (max(conf.tip_after, 1.0) * conf.proxies))  # one such a window from all
        b.pace = min(b.pace + rate * span, max(rate * conf.tip_after / 4, self.light))

    def arrived(self, event):
        r = self.requests[event.request] = Request(event, self.now)
        self.ask_at = self.now
        self.classes[r.klass].asked += 1
        self.budget = min(self.budget + RETRY_SHARE, RETRY_DEPTH)
        self.hold(r)

    def hold(self, r):
        if self.now >= r.deadline - self.margin:  # it may even come at its deadline
            self.end(r)
            return
        r.held, klass = True, self.classes[r.klass]
        if r.attempts:
            self.retry.append(r)
        elif r.repeated:  # a client's repeat has little of its aim left, if any
            klass.late.append(r)
        else:
            klass.fresh.append(r)
        self.dispatch()
        if r.held:
            self.entered += 1
            heappush(self.agenda, (r.deadline - self.margin, self.entered, r))

    def dispatch(self):
        """Send held requests to idle backends: repeats first, then by worth per expected work."""
        for r in [self.retry.popleft() for _ in range(len(self.retry))]:  # its window or aim may have passed
            if r.held and (self.lapsed(r) or not self.may_send(r)):
                self.end(r)
            elif r.held and not self.send(r):
                self.retry.append(r)
        for klass, queue in self.queues:
            while queue and self.settle(queue[0], klass, queue is klass.fresh):
                queue.popleft()
        self.held = any(c.fresh or c.late for c in self.classes)

    def lapsed(self, r):
        """Whether an answer is worth nothing any more."""
        conf = self.classes[r.klass].conf
        return conf.late_worth <= 0 and self.now >= r.arrived + conf.aim

    def settle(self, r, klass, fresh):
        """Whether the first of a queue has left it: closed, sent, or its aim out of reach."""
        if r.held and fresh and self.now > r.arrived + klass.patience:
            if klass.conf.late_worth > 0:  # late worth is queued for behind the rest, no worth is let go
                klass.late.append(r)
            else:
                self.end(r)
            return True
        return not r.held or self.send(r)

    def send(self, r):
        """Send a request to the fastest idle backend, if there is one that it may go to."""
        b, klass = self.pick(r), self.classes[r.klass]
        r.held = b is None
        if b is None:
            return False
        b.open = True
        if self.conf.hang_up_within > 0:
            self.sent_to[b.name] = True
        if b.far * klass.conf.aim > TIE * klass.cost:
            self.crossed = self.now  # a crossing asks for room at home
        r.attempts.append((b, self.now))
        r.out += 1
        self.total += 1
        klass.out += 1
        b.inflight += 1
        if b.cold < 1:
            b.pace -= klass.cost
        self.pause = FRESH * self.aim / 4
        wait = max(r.arrived + klass.conf.aim - self.now, self.margin)  # later, an answer is worth less
        self.actions.append(face.Send(r.id, b.name, 0.0 if klass.conf.late_worth > 0 else wait))
        return True

    def pick(self, r):
        """Fastest idle first: one pass over the backends, near-ties at random."""
        total = self.total
        if self.many:  # a room of one or two must not be filled by what is worth less for its work
            total = sum(c.out for c in self.classes[r.klass].above)
        if total >= max(1.0, self.room) or self.now < self.classes[r.klass].ready_at:
            return None
        klass, now, each, fresh = self.classes[r.klass], self.now, self.each, self.now - FRESH * self.aim
        cost, aim, found, best = klass.cost, klass.conf.aim, [], inf
        tried = [b for b, _ in r.attempts] if r.attempts else ()
        for b in self.live:
            n, limit = b.inflight, each or b.limit * self.share
            if b.heard_at > fresh:
                n += b.others
            if n and n + 1 > limit or now < b.busy_until:
                continue
            if b.cold < 1:
                self.warm(b)
                if b.pace < cost or n + 1 > max(1.0, limit * b.cold):
                    continue
            if tried and (b in tried or r.bound is not None and not self.same_group(r, b, klass)):
                continue
            value = cost * (b.ratio if b.seen else b.kind.ratio) + (b.far + b.lost[r.klass]) * aim
            if each and not b.open:
                value *= OPENING
            found.append((value, b))
            if value < best:
                best = value
        if not found:
            return None
        near = [b for value, b in found if value <= best * (1 + TIE)]
        if self.asks:
            near = self.heard(near, fresh)
        return near[int(self.rng.random() * len(near))] if near else None

    def heard(self, near, fresh):
        """Those known to be idle; if none is, probe some: the request is held until they tell."""
        known = [b for b in near if b.heard_at > fresh]
        unknown = [b for b in near if not b.asked]
        if not known and (self.now >= self.ask_at if self.many else len(near) - len(unknown) < ASKED):
            self.ask_at = self.now + self.pause  # rounds that found none idle come less and less often
            self.pause = min(2 * self.pause, self.aim / 8)
            for b in self.rng.sample(unknown, min(ASKED, len(unknown))):
                b.asked = True
                self.actions.append(face.Probe(b.name))
        return known

    def same_group(self, r, b, klass):
        group, first = klass.conf.group, r.bound
        return group is Group.ALL or (b.zone == first.zone if group is Group.ZONE else b.cell == first.cell)

    def may_send(self, r):
        """Whether another attempt can have no second effect: class x what may have run."""
        if len(r.attempts) >= self.conf.max_attempts or (r.out and not self.conf.parallel):
            return False
        keyed = self.classes[r.klass].conf.effect is Effect.KEYED
        return self.harmless(r) or keyed and self.now < r.window_end - self.conf.tick

    def may_refuse(self, r):
        conf = self.classes[r.klass].conf
        return self.harmless(r) or conf.effect is Effect.KEYED and conf.group is Group.ALL

    def harmless(self, r):
        return not r.may_run and not r.out or self.classes[r.klass].conf.effect is Effect.SAFE

    def end(self, r):
        """Give the final answer: a refusal where it is harmless, else a failure."""
        if self.may_refuse(r):
            conf = self.classes[r.klass].conf  # with no late worth left, coming back at once earns nothing
            span = self.aim / 2 if conf.late_worth > 0 else conf.deadline
            span = min(self.conf.max_retry_after, span * (0.5 + self.rng.random()))
            self.actions.append(face.Refuse(r.id, span))
        else:
            self.actions.append(face.Fail(r.id))
        self.close(r)

    def close(self, r):
        r.closed, r.held = True, False
        if not r.out:
            self.requests.pop(r.id, None)

    def left(self, event):
        r = self.requests.get(event.request)
        if r is not None and not r.closed:
            if self.conf.cancelling and r.out:
                self.actions.extend(face.Cancel(r.id, n) for n in range(len(r.attempts)))
            self.close(r)

    def began(self, event):
        if event.request in self.requests:
            self.close(self.requests[event.request])

    def finished(self, event):
        r = self.requests.get(event.request)
        if r is None or not 0 <= event.attempt < len(r.attempts) or r.attempts[event.attempt][1] is None:
            return
        b, sent = r.attempts[event.attempt]
        r.attempts[event.attempt] = (b, None)  # its one outcome has come
        klass, outcome, r.out = self.classes[r.klass], event.outcome, r.out - 1
        if outcome not in PROVEN and not r.may_run:
            r.may_run, r.bound, r.window_end = True, b, sent + klass.conf.window
        self.learn(b, r.klass, outcome, event.elapsed)
        if not b.inflight:
            self.hang_up(b)
        if event.complete:
            klass.won += outcome is Outcome.SERVED and self.now <= r.arrived + klass.conf.aim
        if event.complete or r.closed:
            self.close(r)
        elif not r.held and not r.out:
            price = 0 if outcome in PROVEN and not self.many else 1
            if self.budget >= price and not self.lapsed(r) and self.may_send(r):
                self.budget -= price
                self.hold(r)
            else:
                self.end(r)
        self.dispatch()

    def learn(self, b, k, outcome, elapsed):
        """Take from an outcome what it tells of the backend."""
        klass = self.classes[k]
        b.inflight -= 1
        klass.out -= 1
        self.total -= self.backends.get(b.name) is b
        if self.many and self.room < 1 and len(klass.above) == len(self.classes):  # the last in rank
            klass.ready_at = self.now + min(elapsed, klass.conf.aim) * (1 / self.room - 1)
        if outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return
        if outcome is Outcome.SERVED:
            b.busy_for /= 2  # one that fails now and then stays on probation
            b.breaks = 0
            b.served += klass.cost
            b.lost[k] -= LOST * b.lost[k]
            sample = log(max(elapsed, self.conf.tick / 4))
            gauge = self.fleet if self.many else b
            if gauge.mean - gauge.best < self.far / 2 or klass.count < 1 / SMOOTH:  # crowding evens out
                klass.count += 1
                klass.log += max(COST_SMOOTH, 1 / klass.count) * (sample - gauge.mean - klass.log)
                klass.cost = exp(klass.log)
        else:  # an error is no proof of speed, a time-out took at least the time waited
            sample = log(max(elapsed, FAILED * klass.cost))
            self.leave(b, klass, outcome)
            if outcome is Outcome.FULL:
                return
            b.lost[k] += 2 * LOST * (1 - b.lost[k])
            if 0 < b.breaks < BREAKS and outcome is not Outcome.TIMEOUT:
                return  # a connection that broke tells nothing of latency
            if self.many:  # lost answers must not pass for crowding, nor a fleet that answers none for idle
                if outcome is Outcome.TIMEOUT:
                    self.fleet.take(log(FAILED), SMOOTH)
                    self.threshold(self.fleet, b, klass, outcome)
                return
        sample -= klass.log
        if not b.seen:
            b.mean = b.kind.mean
        b.take(sample, SMOOTH)
        b.kind.take(sample, max(COST_SMOOTH, 1 / (b.kind.seen + 2)))
        self.fleet.take(sample, max(SMOOTH, 1 / (self.fleet.seen + 2)))
        self.threshold(self.fleet if self.many else b, b, klass, outcome)

    def threshold(self, g, b, klass, outcome):
        """Grow while latency stays near its best, cut when it leaves it."""
        g.best = min(g.best, g.mean) if g.seen > 1 / SMOOTH else g.mean
        crowding = g.mean - g.best
        bound = self.far / (1 + b.far * klass.conf.aim / klass.cost)  # a crossing has to find real room
        filled = self.asks or self.total + 2 > self.room if self.many else b.inflight + 2 > b.limit
        if crowding < bound * NEAR and outcome is Outcome.SERVED:
            if filled and (self.held or self.now - self.crossed <= self.sweep_every):
                g.limit += GROWTH * max(self.least, 1 / FEW) / (1.0 if self.many else max(g.limit, 1.0))
        elif crowding > bound and self.now >= g.cut_at:
            g.limit = max(1.0 if self.asks else self.least, g.limit * CUT)
            g.cut_at = self.now + (1.0 if self.many else g.limit) * self.aim / 4
        if self.many:
            self.add_up()

    def leave(self, b, klass, outcome):
        """Leave a backend that failed alone for a while that doubles: it errs, is full, hangs or is gone."""
        first = self.aim if self.many else klass.cost
        broke = outcome is Outcome.RESET or outcome is Outcome.CONNECT_FAILED and (b.open or b.breaks > 0)
        if broke:
            b.breaks = b.breaks + 1 if self.now < b.broke_at + self.aim else 1
            b.broke_at = self.now
            if b.breaks >= BREAKS:
                first = BREAK * self.aim
                b.warm_from = self.now  # its process went: it may be back, and cold, before the list tells
                b.cold = min(b.cold, self.conf.cold_from)
        elif outcome is not Outcome.TIMEOUT:
            b.breaks = 0
        b.open = b.open and outcome is not Outcome.CONNECT_FAILED
        if self.now >= b.busy_until:
            b.busy_for = min(max(2 * b.busy_for, first), LONGEST * self.aim)
            b.busy_until = self.now + b.busy_for * (0.5 + self.rng.random())
        if outcome in PROVEN and not broke:
            b.limit = max(self.least, b.limit * CUT)

    def timer(self, event):
        self.wake_at = inf
        if self.now >= self.watch_at:
            self.watch_at = inf
            self.actions.append(face.Watch())
        while self.agenda and self.agenda[0][0] <= self.now:
            r = heappop(self.agenda)[2]
            if r.held:
                self.end(r)
        self.dispatch()

    def tend(self, span):
        """Note the warmth, age what was learned, and rank anew; called after enough events."""
        self.swept, self.news = self.now, 0
        self.light = min(c.cost for c in self.classes)
        keep, served, warm = 0.5 ** (span / (4 * max(c.conf.aim for c in self.classes))), 0.0, 0
        age, forget = AGE * span / 1000, min(1.0, FORGET * span / 1000)
        self.fleet.best += (self.fleet.mean - self.fleet.best) * age / 4  # a long overload is not usual
        for b in self.live:
            if b.seen:
                b.best += (b.mean - b.best) * age
                b.mean += (b.kind.mean - b.mean) * forget
                b.ratio = exp(b.mean)
                b.lost = [x * (1 - forget) for x in b.lost]
            if b.cold < 1:
                self.warm(b)
            else:
                warm += 1
                served += b.served
            b.served *= keep
        rate = served * (1 - keep) / max(span, self.conf.tick) / warm if warm else 0.0
        self.rate = max(rate, self.rate * (1 - min(1.0, CALM * span / 1000)))  # idle ones could serve as much
        self.add_up()
        hope = log(min(c.conf.aim / c.cost for c in self.classes))
        self.far = max(NEAR, hope - log(4) if self.many else min(FAR, hope - log(2)))
        self.rank_queues()

    def rank_queues(self):
        """Order the queues by what one more answer adds to the goal, per expected work."""
        total = sum(c.asked * c.conf.worth for c in self.classes)
        worst = min(self.classes, key=lambda c: c.won / c.asked)
        gains, ranked = [], []
        for c in self.classes:
            c.patience = c.conf.aim - min(HOPE * self.fleet.ratio * c.cost, c.conf.aim / 2)
            gain = self.conf.whole_weight * c.conf.worth / total
            gain = (gain + self.conf.worst_class_weight / c.asked * (c is worst)) / c.cost
            gains.append((gain, c))
            ranked += [(gain, c, c.fresh), (gain * c.conf.late_worth, c, c.late)]
        for gain, c in gains:
            c.above = [other for more, other in gains if more >= gain]
        self.queues = [(c, queue) for _, c, queue in sorted(ranked, key=lambda entry: -entry[0])]
