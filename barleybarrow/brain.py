"""All decisions of the proxy; the types, events and actions are in interface.py, the records in state.py.

1. A request goes to the fastest backend seen as idle: own attempts there under a learned threshold, which
   is the fleet's where a proxy's part of one is small; what probes tell of others there counts against it.
2. When none is idle it is held, by worth still to be earned per work, and refused when its time runs short.
3. Whatever goes wrong at a backend leaves it alone for a while; what it leaves unanswered makes it slower.
4. One table says what may be sent again or refused. A cold backend gets a paced share of a warm one's work.

A latency is a backend's usual one times the work of a class, which is 1 on the mean of what is answered: as
only their product is seen, either could drift without bound otherwise."""

import random
from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from math import exp, inf, log, sqrt
from typing import Any

from barleybarrow import interface as face
from barleybarrow.interface import Action, Effect, Group, ListScope, Outcome, State
from barleybarrow.state import Agenda, Backend, Class, Fleet, Gauge, Ranking, Request

SMOOTH = 1 / 16  # weight of a new latency: some 16 answers tell a change from the spread of work
FLEET_SMOOTH = 1 / 32  # the fleet's: backends differ, so that one answer more or less must not move it
COST_SMOOTH = 1 / 64  # a class's work, and a kind's speed, change slowly and are shared by many
FAILED = 4.0  # a failure counts as an answer that took this multiple of the usual cost, or more
TIE = 0.2  # costs this near to the best are a tie: less than the spread left after smoothing
FAR = log(2.5)  # latency over this multiple of its best, or half of what the aim allows, cuts a threshold
NEAR, LOOSE = 0.6, 0.85  # and under this share of that (in logs) lets it grow; the fleet's, of many backends
GROWTH = 0.25  # a full threshold served adds so much, over all proxies: crowding has to show in between
CUT = 0.75  # a cut leaves this share of the threshold
AGE = 0.02  # a second moves the best latency this far toward the present one
FEW = 4  # growth is slowed by the number of proxies up to this: beyond, each serves too little
FORGET = 0.02  # a second moves a backend's own latency this far toward that of its kind: trials may be rare
START = 2.0  # first threshold, of all proxies together: one at work and one on its way
FEWEST = 0.5  # of which a proxy's part under this can't be learned by backend: one serves the fleet
HOPE = 3.0  # usual latencies that must be left to the aim of a held request, half the aim at most
BREAK, LONGEST = 4.0, 8.0  # aims that a backend whose process went is left alone; the longest back-off
BREAKS = 3  # connections broken within an aim and no answer between tell that a process went; fewer do not
BY_CHANCE, SLOW = 1e-5, 1 / 256  # unless so many are likelier than this by the share that breaks anywhere
WORSE, BETTER = 1 / 3, 1 / 4  # weight of a failure, and of an answer, in the share that fails of late
STUCK = 6.0  # usual latencies after which an attempt that a later one overtook is given up on
SOUND = 2.0  # aims for which an answer shows that a backend serves its class
REST = 2.0  # usual costs that a backend is left alone for each failure that it has to an answer
CALM = 0.05  # a second takes this share off what a warm backend is known to serve, unless it serves more
RETRY_SHARE, RETRY_DEPTH = 0.2, 10.0  # repeats per arrival, and how many can be saved up
AHEAD = 16  # held repeats that are looked at in one go: there may be thousands
COLD_SHARE = 0.5  # of the tip multiple: the other half is for class mix, guesses and chance
SWEEP_TICKS = 4  # a sweep takes several batches, so that its cost stays small beside theirs
SLICE = 24  # backends that one sweep tends, in turn: a large fleet must not cost more at a time than a small
FRESH = 1 / 16  # of the tightest aim: a report of what is at a backend counts so long, many come and go after
ASKED = 3  # probes sent at once for a held request: of three, one is mostly idle
LOST = 1 / 8  # weight of an answer, twice for none, in the share of a class that a backend leaves unanswered
OPENING = 1.5  # a connection yet to be opened counts as so much slower, with one threshold for the fleet
PROVEN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))  # it never ran


class Balancer:
    """The decisions of one proxy."""

    def __init__(self, settings: face.Settings, seed: int, now: float) -> None:
        settings.check()
        self.conf, self.rng = settings, random.Random(seed)
        self.level = sum(log(c.aim / 4) for c in settings.classes) / len(settings.classes)  # usual latency
        self.classes = [Class(c, log(c.aim / 4) - self.level, c.aim / 4) for c in settings.classes]
        self.aim = min(c.aim for c in settings.classes)
        self.memory = 4 * max(c.aim for c in settings.classes)  # half of what was served counts so long
        self.least = 1 / max(settings.proxies, 1)
        self.many = START * self.least < FEWEST  # proxies for a threshold of each backend: one for the fleet
        self.sweep_every = max(SWEEP_TICKS * settings.tick, self.aim / (8 if self.many else 50))
        self.margin = 2 * max(SWEEP_TICKS * settings.tick, self.aim / 50)  # to be sure of a batch in time
        self.pool, self.idle = Fleet(), Ranking(len(self.classes))
        self.backends, self.live = self.pool.named, self.pool.live
        self.requests, self.kinds, self.sent_to = dict[int, Request](), dict[int, Gauge](), set[str]()
        self.retry, self.agenda, self.ripe = deque[Request](), Agenda[Request](), Agenda[Backend]()
        self.entered, self.wake_at, self.turn, self.answers = 0, inf, 0, 0
        self.budget, self.watch_at, self.watch_backoff, self.breaking = RETRY_DEPTH, inf, 0.0, 0.0
        self.fleet, self.each, self.room, self.far = Gauge(self.level), 0.0, 1.0, FAR
        self.light = self.heavy = self.aim / 4
        self.crossed, self.ask_at, self.pause, self.rate, self.size = -inf, now, FRESH * self.light, 0.0, 0
        self.queues, self.actions = list[tuple[Class, deque[Request]]](), list[Action]()
        self.held, self.now, self.swept, self.news = False, now, now, 0
        self.handlers: dict[type, Callable[[Any], None]] = {
            face.Arrived: self.arrived, face.Finished: self.finished, face.Left: self.left,
            face.TimerDue: self.timer, face.ListChanged: self.listed, face.Began: self.began,
            face.Probed: self.probed, face.Told: self.told}  # fmt: skip
        self.asks = settings.probing and "inflight" in settings.probe_reports
        self.share = 1 / self.least / START if self.asks else 1.0  # with what others have it is the fleet's
        self.price()
        self.rank_queues()

    def begin(self) -> list[Action]:  # ask for the list where it must be asked for
        return [face.Watch()] if self.conf.must_ask else []

    def handle(self, now: float, event: face.Event) -> list[Action]:
        """Take one event, return the actions it calls for."""
        if (handler := self.handlers.get(type(event))) is None:
            raise face.UnknownEventError(type(event).__name__)
        self.now, self.actions, self.news = now, [], self.news + 1
        span = now - self.swept
        if span >= self.sweep_every and (4 * self.news >= min(len(self.live), SLICE) or span > self.aim):
            self.tend(span)
        for b in self.ripe.due(now) if self.ripe.heap else ():
            b.due = inf
            if b.position >= 0:
                self.place(b)
        handler(event)
        self.plan()
        return self.actions

    def plan(self) -> None:
        """Ask to be woken when the next thing falls due that no other event would bring."""
        at = min(self.watch_at, self.agenda.next())
        if self.held or self.retry:
            at = min(at, self.now + self.sweep_every)
        if at < self.wake_at:
            self.wake_at = at
            self.actions.append(face.SetTimer(max(at, self.now), 0))

    def listed(self, event: face.ListChanged) -> None:
        if event.scope is ListScope.LOST:
            self.watch_backoff = min(max(2 * self.watch_backoff, self.aim), self.conf.ask_within / 4)
            self.watch_at = self.now + self.watch_backoff * (0.5 + self.rng.random())
            return
        self.watch_backoff = 0.0
        before = list[Backend]()
        if event.scope is ListScope.COMPLETE:
            named = {entry.backend for entry in event.entries}
            before = [self.part(b) for b in self.live[:] if b.name not in named]
        for entry in event.entries:
            old = self.backends.get(entry.backend)
            if old is not None and (entry.state is not State.LIVE or old.started != entry.started):
                before.append(self.part(old))  # a new life: what is in flight and was thought of it are void
            if entry.state is State.LIVE and entry.backend not in self.backends:
                self.join(entry)
        for b in before:
            self.hang_up(b)
        size, self.size = self.size, len(self.live)
        mean = START * self.least * self.size  # its part of all, and room for more by chance
        limit = self.fleet.limit * self.size / size if size else max(mean + sqrt(mean), 1.0)
        self.fleet.limit = max(limit, self.least)
        self.add_up()
        self.dispatch()

    def join(self, entry: face.Entry) -> None:
        """Take up a backend; of what its kind does, it is thought to do the same."""
        far = self.conf.cross_zone_price if entry.zone != self.conf.zone else 0.0
        kind = self.kinds.setdefault(entry.kind, Gauge(self.level))
        self.entered += 1
        b = Backend(self.entered, entry, kind, far, START * self.least, len(self.classes), self.now)
        self.pool.add(b, int(self.rng.random() * (len(self.live) + 1)))  # proxies must not sweep in step
        self.warm(b)
        if self.many:  # one request may be worth minutes of budget here
            b.pace = self.rng.random() * self.light  # and proxies must not save up in step
        self.place(b)

    def part(self, b: Backend) -> Backend:
        self.idle.drop(b)
        self.pool.remove(b, b.served * 0.5 ** ((self.now - b.aged_at) / self.memory))
        return b

    def hang_up(self, b: Backend) -> None:
        """Close what is idle toward a backend that is left, where that is asked for."""
        if b.name in self.sent_to and b.name not in self.backends:
            self.actions.append(face.Disconnect(b.name))
            if not b.inflight + b.stuck:  # names come and go without end
                self.sent_to.discard(b.name)

    def add_up(self) -> None:
        """The sum of the thresholds is the room for what is out; probes tell more than it can."""
        limit, before = self.fleet.limit if self.many else self.pool.limits, int(self.each)
        self.room = inf if self.asks else limit
        self.each = max(1.0, limit if self.asks else limit / max(self.size, 1)) if self.many else 0.0
        if int(self.each) != before:
            for b in self.live:
                self.place(b)

    def place(self, b: Backend) -> None:
        """Rank a backend among the idle ones, or not, as it stands now; at the latest when that changes."""
        if self.asks:
            return  # what others have there changes with reports: pick looks at each
        limit = self.each or b.limit
        full = b.inflight and b.inflight + 1 > limit
        if full or self.now < b.busy_until:
            self.idle.drop(b)
            return None if full else self.await_turn(b, b.busy_until)
        usual = (b.usual if b.seen else b.kind.usual) * b.hint
        if self.many:  # a cold one is crowded by nobody yet, and slow for another reason
            usual *= exp((self.fleet.best - self.fleet.mean) / 2) if b.cold < 1 else OPENING ** (not b.open)
        shares = zip(b.lost, self.classes, strict=True)
        values: list[float | None] = [usual + (b.far + lost) * c.penalty for lost, c in shares]
        if b.resting:
            values = [None if at > self.now else v for at, v in zip(b.rests, values, strict=True)]
            b.resting = None in values
            self.await_turn(b, min((at for at in b.rests if at > self.now), default=inf))
        if b.cold < 1 and (rate := self.warm(b)):
            self.await_turn(b, b.warm_from + self.conf.cold)
            if b.inflight + 1 > max(1.0, limit * b.cold):
                values = []
            elif short := [c.cost - b.pace for c in self.classes if c.cost > b.pace]:
                values = [v if b.pace >= c.cost else None for v, c in zip(values, self.classes, strict=True)]
                self.await_turn(b, self.now + max(min(short) / rate, self.conf.tick))
        self.idle.put(b, values)

    def await_turn(self, b: Backend, at: float) -> None:  # have it placed anew at a time, or before
        if at < b.due:
            b.due = at
            self.ripe.add(at, b)

    def probed(self, event: face.Probed) -> None:
        """Note what other proxies have at a backend; one that does not tell is left alone for a while."""
        if b := self.backends.get(event.backend):
            b.asked, b.heard_at = False, self.now
            b.others = max(0.0, (event.report or {}).get("inflight", 0.0) - b.inflight)
            if event.outcome is not Outcome.SERVED:
                b.busy_until = self.now + self.aim / 4
                self.place(b)
            self.dispatch()

    def told(self, event: face.Told) -> None:  # hearsay of a life on the list lowers its rank, and no more
        for word in event.hearsay:
            if (b := self.backends.get(word.backend)) and b.started == word.started:
                b.heed(word, self.fleet.mean)
                self.place(b)

    def warm(self, b: Backend) -> float:
        """Guess low how warm it is and allow that share of what a warm one serves here: it may fall over.

        The rates of all proxies add up to the fleet's own, so none needs to know the others.
        Returns the rate at which its budget fills, in milliseconds of work a millisecond."""
        conf, age, span = self.conf, self.now - b.warm_from, self.now - b.paced_at
        b.paced_at = self.now
        if b.warm_from <= 0 or age >= conf.cold:
            self.pool.set_cold(b, 1.0)
            return 0.0
        self.pool.set_cold(b, conf.cold_from + (1 - conf.cold_from) * max(age, 0.0) / conf.cold)
        rate = self.rate * b.cold * conf.tip_multiple * COLD_SHARE
        rate = max(rate, self.light / (max(conf.tip_after, 1.0) * conf.proxies))  # one such a window from all
        b.pace = min(b.pace + rate * span, max(rate * conf.tip_after / 4, self.heavy))
        return rate

    def arrived(self, event: face.Arrived) -> None:
        r, self.ask_at = Request(event, self.now, self.backends), self.now
        self.requests[event.request] = r
        self.classes[r.klass].asked += 1
        self.budget = min(self.budget + RETRY_SHARE, RETRY_DEPTH)
        self.hold(r)

    def hold(self, r: Request) -> None:
        if self.now >= r.deadline - self.margin:
            return self.end(r)  # it may even come at its deadline
        r.held, klass = True, self.classes[r.klass]
        late = r.repeated and not r.attempts  # a client's repeat has little of its aim left, if any
        (self.retry if r.attempts or r.may_run else klass.late if late else klass.fresh).append(r)
        self.dispatch()
        if r.held:
            lapses = r.attempts and klass.conf.late_worth <= 0
            self.agenda.add(min(r.deadline - self.margin, r.arrived + klass.conf.aim if lapses else inf), r)

    def dispatch(self) -> None:
        """Send held requests to idle backends: repeats first, then by worth per expected work."""
        for _ in range(min(len(self.retry), AHEAD)):  # its window or aim may have passed
            r = self.retry.popleft()
            if r.held and (self.lapsed(r) or not self.may_send(r)):
                self.end(r)
            elif r.held and not self.send(r):
                self.retry.append(r)
        for klass, queue in self.queues:
            while queue and self.settle(queue[0], klass, queue is klass.fresh):
                queue.popleft()
        self.held = any([c.fresh or c.late for c in self.classes])

    def lapsed(self, r: Request) -> bool:
        conf = self.classes[r.klass].conf  # whether an answer is worth nothing any more
        return conf.late_worth <= 0 and self.now >= r.arrived + conf.aim

    def settle(self, r: Request, klass: Class, fresh: bool) -> bool:
        """Whether the first of a queue has left it: closed, sent, or its aim out of reach."""
        if r.held and fresh and self.now > r.arrived + klass.patience:
            (klass.late.append if klass.conf.late_worth > 0 else self.end)(r)  # behind the rest, or let go
            return True
        return not r.held or self.send(r)

    def send(self, r: Request) -> bool:
        """Send a request to the fastest idle backend, if there is one that it may go to."""
        b, klass = self.pick(r), self.classes[r.klass]
        r.held = b is None
        if b is None:
            return False
        anew, b.open = self.many and not b.open, True
        if self.conf.hang_up_within > 0:
            self.sent_to.add(b.name)
        if b.far * klass.conf.aim > TIE * klass.cost:
            self.crossed = self.now  # a crossing asks for room at home
        b.sent(r.id, len(r.attempts), self.now)
        r.attempts.append((b, self.now))
        r.out, klass.out, self.pool.total = r.out + 1, klass.out + 1, self.pool.total + 1
        if b.cold < 1:
            b.pace -= klass.cost
        if anew or b.cold < 1 or b.inflight + 1 > (self.each or b.limit):  # else it stands where it stood
            self.place(b)
        self.pause = FRESH * self.aim / 4
        wait = max(r.arrived + klass.conf.aim - self.now, self.margin)  # later, an answer is worth less
        self.actions.append(face.Send(r.id, b.name, 0.0 if klass.conf.late_worth > 0 else wait))
        return True

    def pick(self, r: Request) -> Backend | None:
        """Fastest idle first, near-ties at random."""
        klass, total = self.classes[r.klass], self.pool.total
        order, room = self.idle.orders[r.klass], self.room
        if self.many:  # a room of one or two must not be filled by what is worth less for its work
            total = sum(c.out for c in klass.above)
            usable = (len(order) + self.pool.total) / max(self.size, 1)  # no room at who is left alone
            room = room if self.asks else room * min(usable, 1.0)
        if total >= max(1.0, room) or self.now < klass.ready_at or not (order or self.asks):
            return None
        if self.asks:
            return self.look_round(r, klass)
        if not (r.attempts or r.bound):
            near = bisect_left(order, (order[0][0] * (1 + TIE),)) or 1
            return order[int(self.rng.random() * near)][2]
        tried, found, most = [b for b, _ in r.attempts], list[Backend](), inf
        for value, _, b in order:
            if value > most or len(found) >= AHEAD:
                break
            if b not in tried and (r.bound is None or self.same_group(b, r.bound, klass)):
                found.append(b)
                most = min(most, value * (1 + TIE))
        return found[int(self.rng.random() * len(found))] if found else None

    def look_round(self, r: Request, klass: Class) -> Backend | None:
        """The same in one pass over all, where idleness hangs on what probes tell."""
        now, fresh, found = self.now, self.now - FRESH * self.aim, list[tuple[float, Backend]]()
        tried = [b for b, _ in r.attempts]
        for b in self.live:
            limit, n = self.each or b.limit * self.share, b.inflight + b.others * (b.heard_at > fresh)
            if n and n + 1 > limit or now < b.busy_until or now < b.rests[r.klass]:
                continue
            if b.cold < 1 and self.warm(b) and (b.pace < klass.cost or n + 1 > max(1.0, limit * b.cold)):
                continue
            if b in tried or r.bound is not None and not self.same_group(b, r.bound, klass):
                continue
            value = (b.usual if b.seen else b.kind.usual) * b.hint + (b.far + b.lost[r.klass]) * klass.penalty
            found.append((value * (OPENING if self.many > b.open else 1.0), b))
        best = min((value for value, _ in found), default=inf)
        near = [b for value, b in found if value <= best * (1 + TIE)]
        near = self.heard(near, fresh) if self.asks and near else near
        return near[int(self.rng.random() * len(near))] if near else None

    def heard(self, near: list[Backend], fresh: float) -> list[Backend]:
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

    def same_group(self, b: Backend, first: Backend, klass: Class) -> bool:
        group = klass.conf.group
        return group is Group.ALL or (b.zone == first.zone if group is Group.ZONE else b.cell == first.cell)

    def may_send(self, r: Request) -> bool:
        """Whether another attempt can have no second effect: class x what may have run."""
        if len(r.attempts) >= self.conf.max_attempts or (r.out and not self.conf.parallel):
            return False
        keyed = self.classes[r.klass].conf.effect is Effect.KEYED
        return self.harmless(r) or keyed and self.now < r.window_end - self.conf.tick

    def may_refuse(self, r: Request) -> bool:
        conf = self.classes[r.klass].conf
        return self.harmless(r) or conf.effect is Effect.KEYED and conf.group is Group.ALL

    def harmless(self, r: Request) -> bool:
        return not r.may_run and not r.out or self.classes[r.klass].conf.effect is Effect.SAFE

    def end(self, r: Request) -> None:
        """Give the final answer: a refusal where it is harmless, else a failure."""
        if self.may_refuse(r):
            conf = self.classes[r.klass].conf  # with no late worth left, coming back at once earns nothing
            span = self.aim / 2 if conf.late_worth > 0 else conf.deadline
            span = min(self.conf.max_retry_after, span * (0.5 + self.rng.random()))
            self.actions.append(face.Refuse(r.id, span))
        else:
            self.actions.append(face.Fail(r.id))
        self.close(r)

    def close(self, r: Request) -> None:
        r.closed, r.held = True, False
        if not r.out:
            self.requests.pop(r.id, None)

    def cancel(self, r: Request) -> None:
        """Wait no longer for what is out: it holds a connection, and nobody is there to be answered."""
        if self.conf.cancelling and r.out:
            self.actions += [face.Cancel(r.id, n) for n, (_, at) in enumerate(r.attempts) if at is not None]

    def left(self, event: face.Left) -> None:
        if (r := self.requests.get(event.request)) and not r.closed:
            self.cancel(r)
            self.close(r)

    def began(self, event: face.Began) -> None:
        if r := self.requests.get(event.request):
            self.close(r)

    def finished(self, event: face.Finished) -> None:
        r = self.requests.get(event.request)
        b, sent = r.attempts[event.attempt] if r and 0 <= event.attempt < len(r.attempts) else (None, None)
        if r is None or b is None or sent is None:
            return
        r.attempts[event.attempt] = (b, None)  # its one outcome has come
        klass, outcome, r.out = self.classes[r.klass], event.outcome, r.out - 1
        if outcome not in PROVEN and not r.may_run:
            r.may_run, r.bound, r.window_end = True, b, sent + klass.conf.window
        counted = b.ended(r.id, event.attempt)
        self.pool.total -= counted and b.position >= 0
        klass.out -= 1
        if self.many and self.room < 1 and len(klass.above) == len(self.classes):  # the last in rank
            klass.ready_at = self.now + min(event.elapsed, klass.conf.aim) * (1 / self.room - 1)
        if outcome is Outcome.SERVED or counted and outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            self.learn(b, klass, r.klass, outcome, event.elapsed)  # of what got stuck it has learned
        if outcome is Outcome.SERVED and b.waiting:
            self.overtaken(b, sent)
        if b.position >= 0:
            self.place(b)
        elif not b.inflight + b.stuck:
            self.hang_up(b)
        if event.complete:
            klass.won += outcome is Outcome.SERVED and self.now <= r.arrived + klass.conf.aim
            self.cancel(r)
        if event.complete or r.closed:
            self.close(r)
        elif not r.held and not r.out:
            if self.budget >= (outcome not in PROVEN) and not self.lapsed(r) and self.may_send(r):
                self.budget -= outcome not in PROVEN
                self.hold(r)
            else:
                self.end(r)
        if self.held or self.retry:
            self.dispatch()

    def overtaken(self, b: Backend, sent: float) -> None:
        """What later attempts have overtaken by far is no work in hand: nothing more will come of it."""
        late = STUCK * b.usual * self.heavy / exp(self.level)
        for request, _ in b.overtake(min(sent, self.now - late)):
            k = self.requests[request].klass
            b.lost[k] += 2 * LOST * (1 - b.lost[k])
            self.pool.total -= b.position >= 0

    def learn(self, b: Backend, klass: Class, k: int, outcome: Outcome, elapsed: float) -> None:
        """Take from an outcome what it tells of the backend."""
        if outcome is Outcome.SERVED:
            b.failing[k], b.failing[-1] = b.failing[k] * (1 - BETTER), b.failing[-1] * (1 - BETTER)
            b.answered_at[k], b.breaks, self.breaking = self.now, 0, self.breaking * (1 - SLOW)
            self.pool.serve(b, klass.cost)
            b.lost[k] -= LOST * b.lost[k]
            sample = log(max(elapsed, self.conf.tick / 4)) - klass.log
            self.answers += 1
            if self.answers == 1:  # whatever was guessed, all are thought to be like the first
                for gauge in (self.fleet, *self.kinds.values()):
                    gauge.shift(sample - gauge.mean)
            crowd = self.fleet if self.many else b
            if crowd.mean - crowd.best < self.far / 2 or self.answers < 1 / SMOOTH:  # crowding evens out
                self.weigh(klass, sample, self.fleet.mean if self.many else b.mean if b.seen else b.kind.mean)
        else:  # an error is no proof of speed, a time-out took at least the time waited
            sample = log(max(elapsed, FAILED * klass.cost)) - klass.log
            broke = self.leave(b, klass, k, outcome)
            if outcome is not Outcome.FULL and (not broke or klass.conf.effect is Effect.UNSAFE):
                b.lost[k] += 2 * LOST * (1 - b.lost[k])  # else little is lost: it may go elsewhere at once
            if outcome is Outcome.FULL or broke:
                return  # a connection that broke tells nothing of latency
            if self.many:  # lost answers must not pass for crowding, nor a fleet that answers none for idle
                if outcome is Outcome.TIMEOUT:
                    self.fleet.take(self.level + log(FAILED), FLEET_SMOOTH)
                    self.threshold(self.fleet, b, klass, outcome)
                return
        if not b.seen:
            b.mean = b.kind.mean
        before = b.kind.mean
        b.kind.take(sample, max(COST_SMOOTH, 1 / (b.kind.seen + 1)))
        if b.kind.seen < 1 / COST_SMOOTH:  # the first ones were measured by what was hardly known then
            for other in self.live:
                other.shift((b.kind.mean - before) * (other.seen > 0 and other.kind is b.kind))
        b.take(sample, SMOOTH)
        self.fleet.take(sample, max(FLEET_SMOOTH, 1 / (self.fleet.seen + 1)))
        if outcome is Outcome.SERVED and b.alone and not b.inflight:  # nothing of ours was beside it
            b.best += SMOOTH * max(0.0, sample - b.best)
        self.threshold(self.fleet if self.many else b, b, klass, outcome)

    def weigh(self, klass: Class, sample: float, mean: float) -> None:
        """Take an answer into the usual latency and the work of its class, which is 1 on the mean of all."""
        klass.count += 1
        self.level += max(COST_SMOOTH, 1 / self.answers) * (sample - self.level)
        klass.log += max(COST_SMOOTH, 1 / (klass.count + 1)) * (sample - mean)
        centre = COST_SMOOTH * klass.log  # what one class is found to differ, all give back in part
        for c in self.classes:
            c.log -= centre
        klass.cost = exp(klass.log + self.level)

    def threshold(self, g: Gauge, b: Backend, klass: Class, outcome: Outcome) -> None:
        """Grow while latency stays near its best, cut when it leaves it."""
        g.best = min(g.best, g.mean) if g.seen > 1 / SMOOTH else g.mean
        crowding, floor = g.mean - g.best, self.least * (self.size if self.many else 1)  # one of all
        bound = self.far / (1 + b.far * klass.conf.aim / klass.cost)  # a crossing has to find real room
        filled = self.asks or self.pool.total + 2 > self.room if self.many else b.inflight + 2 > b.limit
        if crowding < bound * (LOOSE if self.many else NEAR) and outcome is Outcome.SERVED:
            if filled and (self.held or self.now - self.crossed <= self.sweep_every):
                grown = GROWTH * max(self.least, 1 / FEW) / (1.0 if self.many else max(g.limit, 1.0))
                self.pool.set_limit(g, g.limit + grown)
        elif crowding > bound and (g.seen if self.many else self.now) >= g.cut_at:
            self.pool.set_limit(g, max(1.0 if self.asks else floor, g.limit * CUT))
            g.cut_at = g.seen + 1 / FLEET_SMOOTH if self.many else self.now + g.limit * self.aim / 4
        if self.many:
            self.add_up()

    def leave(self, b: Backend, klass: Class, k: int, outcome: Outcome) -> bool:
        """Leave a backend that failed alone for a while, by its failures to an answer; whether it broke off.

        It errs, is full, hangs or is gone; while it answers other classes well, only this one rests."""
        broke = outcome is Outcome.RESET or outcome is Outcome.CONNECT_FAILED and (b.open or b.breaks > 0)
        self.breaking += SLOW * (broke - self.breaking)
        if broke:
            b.breaks, b.broke_at = b.breaks + 1 if self.now < b.broke_at + self.aim else 1, self.now
        elif outcome is not Outcome.TIMEOUT:
            b.breaks = 0
        gone = broke and b.breaks >= max(BREAKS, log(BY_CHANCE) / log(min(self.breaking, 0.3)))
        if gone and b.position >= 0:
            b.warm_from = self.now  # its process went: it may be back, and cold, before the list tells
            self.warm(b)
        b.open = b.open and outcome is not Outcome.CONNECT_FAILED
        if self.now >= max(b.busy_until, b.rests[k]):
            share = b.failing[-1 if broke else k] = WORSE + (1 - WORSE) * b.failing[-1 if broke else k]
            span = REST * (self.aim if self.many else klass.cost) * share / (1 - share)
            span = min(max(span, BREAK * self.aim if gone else 0.0), LONGEST * self.aim)
            until = self.now + span * (0.5 + self.rng.random())
            if broke or not self.sound(b, k):
                b.busy_until = until
            else:
                b.rests[k], b.resting = until, True
        if outcome in PROVEN and not broke and not self.sound(b, k):
            self.pool.set_limit(b, max(self.least, b.limit * CUT))
        return broke

    def sound(self, b: Backend, k: int) -> bool:
        """Whether a backend answers other classes than one: the fault lies with that class."""
        since, least = self.now - SOUND * self.aim, b.failing[k] / 2
        shares = enumerate(zip(b.answered_at, b.failing, strict=False))
        return any(at > since and share < least and j != k for j, (at, share) in shares)

    def timer(self, event: face.TimerDue) -> None:
        self.wake_at = inf
        if self.now >= self.watch_at:
            self.watch_at = inf
            self.actions.append(face.Watch())
        for r in self.agenda.due(self.now):
            if r.held:
                self.end(r)
        self.dispatch()

    def tend(self, span: float) -> None:
        """Note the warmth, age what was learned, and rank anew; called after enough events."""
        self.swept, self.news = self.now, 0
        self.price()
        self.fleet.best += (self.fleet.mean - self.fleet.best) * AGE * span / 4000  # no overload is usual
        self.pool.served *= 0.5 ** (span / self.memory)
        rate = self.pool.served * log(2) / self.memory / max(self.pool.warm, 1)
        self.rate = max(rate, self.rate * (1 - min(1.0, CALM * span / 1000)))  # idle ones could serve as much
        for _ in range(min(len(self.live) // 8 + 1, SLICE) if self.live else 0):
            self.turn = self.turn + 1 if self.turn + 1 < len(self.live) else 0
            b = self.live[self.turn]
            span, b.aged_at = self.now - b.aged_at, self.now
            b.fade(min(1.0, AGE * span / 1000), min(1.0, FORGET * span / 1000), 0.5 ** (span / self.memory))
            if b.cold < 1:
                self.warm(b)
            self.place(b)
        self.add_up()
        hope = log(min(c.conf.aim / c.cost for c in self.classes))
        self.far = max(NEAR, min(FAR, hope - log(4 if self.many else 2)))
        self.rank_queues()

    def price(self) -> None:  # what the classes cost by what was learned
        for c in self.classes:
            c.cost, c.penalty = exp(c.log + self.level), c.conf.aim / exp(c.log)
        self.light, self.heavy = min(c.cost for c in self.classes), max(c.cost for c in self.classes)

    def rank_queues(self) -> None:
        """Order the queues by what one more answer adds to the goal, per expected work."""
        total = sum(c.asked * c.conf.worth for c in self.classes)
        worst = min(self.classes, key=lambda c: c.won / c.asked)
        ranked = list[tuple[float, Class, deque[Request]]]()
        for c in self.classes:
            c.patience = c.conf.aim - min(HOPE * c.cost * exp(self.fleet.mean - self.level), c.conf.aim / 2)
            gain = self.conf.whole_weight * c.conf.worth / total
            c.gain = (gain + self.conf.worst_class_weight / c.asked * (c is worst)) / c.cost
            ranked += [(c.gain, c, c.fresh), (c.gain * c.conf.late_worth, c, c.late)]
        for c in self.classes:
            c.above = [other for other in self.classes if other.gain >= c.gain]
        self.queues = [(c, queue) for _, c, queue in sorted(ranked, key=lambda entry: -entry[0])]
