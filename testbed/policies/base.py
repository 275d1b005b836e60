"""What all rivals share: the list, repeats, holding, refusing, back-off and the budget of cold servers.

Only `choose` differs from one rival to the next, so that a comparison tells of the choice alone. The rules
are those that the module keeps, written once more and without its code: a fault there must not hide here.
"""

import random
from collections import deque
from heapq import heappop, heappush
from math import inf

from barleybarrow import interface as face
from barleybarrow.interface import Effect, Group, ListScope, Outcome, State
from testbed.policies.view import View

SMOOTH = 1 / 16  # weight of a new latency in a class's usual one
RETRY_SHARE, RETRY_DEPTH = 0.2, 10.0  # repeats an arrival pays for, and how many can be saved up
HOPE = 3.0  # usual latencies that must be left to the aim of a held request, half the aim at most
LONGEST = 8.0  # aims that a failing server is left alone at most
COLD_SHARE = 0.5  # of the tip multiple that is used: the rest is for chance
SWEEP_TICKS = 4  # between two looks at what is held
# Of what is in flight, the limit where a server was full or silent; it grows by one a round: D.-M. Chiu and
# R. Jain, Analysis of the Increase and Decrease Algorithms, Computer Networks and ISDN Systems 17, 1989.
CUT = 0.5
DRAWS = 8  # random draws for each server wanted, before all are looked at
PROVEN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))  # it never ran


class Server:
    """What a rival knows of one life of one server."""

    __slots__ = (
        "cell", "failing", "inflight", "limit", "out_until", "pace", "paced_at", "place", "name", "started",
        "zone",
    )  # fmt: skip

    def __init__(self, entry: face.Entry, now: float) -> None:
        self.name, self.started, self.zone, self.cell = entry.backend, entry.started, entry.zone, entry.cell
        self.inflight, self.place = 0, 0  # own requests there; index in `live`
        self.limit = inf  # own requests at once, where it has ever been full
        self.failing, self.out_until = 0.0, -inf  # length of the last back-off, and its end
        self.pace, self.paced_at = 0.0, now  # milliseconds of work that may be sent to a cold one


class Request:
    """A request that was taken, until it is answered and no attempt is out."""

    __slots__ = (
        "arrived", "attempts", "bound", "closed", "deadline", "held", "id", "klass", "may_run", "out",
        "window_end",
    )  # fmt: skip

    def __init__(self, event: face.Arrived, now: float) -> None:
        self.id, self.klass, self.deadline, self.arrived = event.request, event.klass, event.deadline, now
        self.attempts: list[tuple[Server, float]] = []  # where, and when it was sent
        self.out, self.held, self.closed, self.may_run = 0, False, False, False
        self.bound: Server | None = None  # the first that may have run it
        self.window_end = 0.0


class Rival:
    """A policy behind the module's interface; a subclass says which server a request goes to."""

    def __init__(self, settings: face.Settings, seed: int, now: float, view: View | None = None) -> None:
        settings.check()
        self.conf, self.rng, self.view, self.now = settings, random.Random(seed), view, now
        self.aim = min(c.aim for c in settings.classes)
        self.usual = [c.aim / 4 for c in settings.classes]  # latency by class
        self.sweep = max(SWEEP_TICKS * settings.tick, self.aim / 50)
        self.margin = 2 * self.sweep  # before a deadline, to be sure of an answer in time
        self.servers: dict[str, Server] = {}
        self.live: list[Server] = []
        self.requests: dict[int, Request] = {}
        self.again: deque[Request] = deque()  # repeats, which go first
        self.queues: list[deque[Request]] = [deque() for _ in settings.classes]
        self.agenda: list[tuple[float, int, Request]] = []  # when what is held has to be given up
        self.holds = 0
        self.budget, self.wake_at = RETRY_DEPTH, inf
        self.watch_at, self.watch_pause = inf, 0.0
        self.warm_rate, self.warm_work, self.warm_since = (
            0.0,
            0.0,
            now,
        )  # work served by a warm one, a millisecond
        self.sent_to: set[str] = set()
        self.actions: list[face.Action] = []

    # What a subclass may say.

    def choose(self, r: Request) -> Server | None:
        """The server that a request goes to now, one for which `fits` holds; None holds the request."""
        raise NotImplementedError

    def joined(self, server: Server) -> None:
        """A server is on the list from now on."""

    def parted(self, server: Server) -> None:
        """A server is on the list no more."""

    def changed(self, server: Server) -> None:
        """The number in flight at a server has changed."""

    def ended(self, server: Server, outcome: Outcome, elapsed: float) -> None:
        """An attempt at a server has ended, after so many milliseconds."""

    def probed(self, event: face.Probed) -> None:
        """A probe is back."""

    # What they can ask.

    def fits(self, server: Server, r: Request) -> bool:
        """Whether the rules let a request go to a server now."""
        if self.now < server.out_until or server.inflight + 1 > server.limit:
            return False
        if any(server is tried for tried, _ in r.attempts):
            return False
        if r.bound is not None and not self.one_group(r.bound, server, self.conf.classes[r.klass].group):
            return False
        return server.started <= 0 or self.allowed(server) >= self.usual[r.klass]

    def some(self, count: int, r: Request) -> list[Server]:
        """Up to so many servers that fit, drawn evenly and without one twice."""
        found: list[Server] = []
        if not self.live:
            return found
        for _ in range(min(DRAWS * count, 2 * len(self.live))):
            server = self.live[int(self.rng.random() * len(self.live))]
            if server not in found and self.fits(server, r):
                found.append(server)
                if len(found) == count:
                    return found
        fitting = [s for s in self.live if self.fits(s, r)]
        return self.rng.sample(fitting, min(count, len(fitting)))

    # The interface.

    def begin(self) -> list[face.Action]:
        return [face.Watch()] if self.conf.must_ask else []

    def handle(self, now: float, event: face.Event) -> list[face.Action]:
        self.now, self.actions = now, []
        match event:
            case face.Arrived():
                self.arrived(event)
            case face.Finished():
                self.finished(event)
            case face.ListChanged():
                self.listed(event)
            case face.Left():
                self.left(event)
            case face.Began():
                if event.request in self.requests:
                    self.close(self.requests[event.request])
            case face.Probed():
                self.probed(event)
                self.dispatch()
            case face.TimerDue():
                self.wake_at = inf
                if now >= self.watch_at:
                    self.watch_at = inf
                    self.actions.append(face.Watch())
                self.dispatch()
            case _:
                raise face.UnknownEventError(type(event).__name__)
        at = min(self.watch_at, now + self.sweep if self.again or any(self.queues) else inf)
        if at < self.wake_at:
            self.wake_at = at
            self.actions.append(face.SetTimer(max(at, now), 0))
        return self.actions

    # The list.

    def listed(self, event: face.ListChanged) -> None:
        if event.scope is ListScope.LOST:
            self.watch_pause = min(max(2 * self.watch_pause, self.aim), self.conf.ask_within / 4)
            self.watch_at = self.now + self.watch_pause * (0.5 + self.rng.random())
            return
        self.watch_pause = 0.0
        named = {entry.backend for entry in event.entries if entry.state is State.LIVE}
        if event.scope is ListScope.COMPLETE:
            for name in [name for name in self.servers if name not in named]:
                self.part(name)
        for entry in event.entries:
            old = self.servers.get(entry.backend)
            if entry.state is not State.LIVE:
                self.part(entry.backend)
            elif old is None or old.started != entry.started:  # a new life
                if old is not None:
                    self.part(entry.backend, gone=False)
                server = Server(entry, self.now)
                server.place = len(self.live)
                self.servers[entry.backend] = server
                self.live.append(server)
                self.joined(server)
        self.dispatch()

    def part(self, name: str, gone: bool = True) -> None:
        server = self.servers.pop(name, None)
        if server is None:
            return
        last = self.live.pop()
        if last is not server:  # the last takes its place, so that thousands of servers cost no more than ten
            self.live[server.place], last.place = last, server.place
        self.parted(server)
        if gone and name in self.sent_to:
            self.actions.append(face.Disconnect(name))
            self.sent_to.discard(name)

    # Requests.

    def arrived(self, event: face.Arrived) -> None:
        r = self.requests[event.request] = Request(event, self.now)
        self.budget = min(self.budget + RETRY_SHARE, RETRY_DEPTH)
        self.hold(r)
        self.dispatch()

    def hold(self, r: Request) -> None:
        if self.now >= r.deadline - self.margin:
            self.end(r)
            return
        conf, give_up = self.conf.classes[r.klass], r.deadline - self.margin
        if conf.late_worth <= 0:  # a first attempt needs time to come to something, a repeat takes the rest
            hope = 0.0 if r.attempts else min(HOPE * self.usual[r.klass], conf.aim / 2)
            give_up = min(give_up, r.arrived + conf.aim - hope)
        r.held = True
        self.holds += 1
        heappush(self.agenda, (give_up, self.holds, r))
        (self.again if r.attempts else self.queues[r.klass]).append(r)

    def dispatch(self) -> None:
        """Send what is held as far as servers fit: repeats first, then what is worth most for its work."""
        while self.agenda and (self.agenda[0][0] <= self.now or not self.agenda[0][2].held):
            r = heappop(self.agenda)[2]
            if r.held:
                self.end(r)
        ranked = sorted(range(len(self.queues)), key=lambda k: -self.conf.classes[k].worth / self.usual[k])
        for queue in (self.again, *(self.queues[k] for k in ranked)):
            while queue and self.settle(queue[0]):
                queue.popleft()

    def settle(self, r: Request) -> bool:
        """Whether the first of a queue has left it: given up, or sent now."""
        if not r.held:
            return True
        server = self.choose(r)
        if server is not None:
            self.send(r, server)
        return server is not None

    def send(self, r: Request, server: Server) -> None:
        conf = self.conf.classes[r.klass]
        r.held = False
        r.attempts.append((server, self.now))
        r.out += 1
        server.inflight += 1
        if server.started > 0:
            server.pace -= self.usual[r.klass]
        if self.conf.hang_up_within > 0:
            self.sent_to.add(server.name)
        self.changed(server)
        wait = 0.0 if conf.late_worth > 0 else max(r.arrived + conf.aim - self.now, self.margin)
        self.actions.append(face.Send(r.id, server.name, wait))

    def finished(self, event: face.Finished) -> None:
        r = self.requests.get(event.request)
        if r is None or not 0 <= event.attempt < len(r.attempts):
            return
        server, sent = r.attempts[event.attempt]
        outcome, conf = event.outcome, self.conf.classes[r.klass]
        r.out -= 1
        server.inflight -= 1
        if outcome not in PROVEN and not r.may_run:
            r.may_run, r.bound, r.window_end = True, server, sent + conf.window
        self.learn(server, r.klass, outcome, event.elapsed)
        self.changed(server)
        if event.complete or r.closed:
            self.close(r)
        elif not r.held and not r.out:
            lapsed = conf.late_worth <= 0 and self.now >= r.arrived + conf.aim
            if self.budget >= 1 and not lapsed and self.may_send(r):
                self.budget -= 1
                self.hold(r)
            else:
                self.end(r)
        self.dispatch()

    def learn(self, server: Server, klass: int, outcome: Outcome, elapsed: float) -> None:
        """A class's usual latency, a failing server's back-off, and what warm servers carry."""
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        self.ended(server, outcome, elapsed)
        if outcome is Outcome.SERVED:
            server.failing /= 2
            if server.inflight + 2 > server.limit:
                server.limit += 1 / server.limit
            self.usual[klass] += SMOOTH * (max(elapsed, self.conf.tick / 4) - self.usual[klass])
            if server.started <= 0 or self.now >= server.started + self.conf.cold:
                self.warm_work += self.usual[klass]
            return
        if outcome is Outcome.FULL or outcome is Outcome.TIMEOUT:
            server.limit = max(1.0, CUT * min(server.limit, server.inflight + 1.0))
        if outcome is Outcome.FULL:  # it works: room comes as soon as it has answered one
            server.out_until = max(server.out_until, self.now + self.usual[klass] * self.rng.random())
        elif self.now >= server.out_until:
            server.failing = min(max(2 * server.failing, self.usual[klass]), LONGEST * self.aim)
            server.out_until = self.now + server.failing * (0.5 + self.rng.random())

    def left(self, event: face.Left) -> None:
        r = self.requests.get(event.request)
        if r is not None and not r.closed:
            if self.conf.cancelling and r.out:
                self.actions.extend(face.Cancel(r.id, n) for n in range(len(r.attempts)))
            self.close(r)

    # What may be done.

    def may_send(self, r: Request) -> bool:
        """Whether a further attempt can have no second effect."""
        if len(r.attempts) >= self.conf.max_attempts or r.out:
            return False
        conf = self.conf.classes[r.klass]
        if conf.effect is Effect.SAFE or not r.may_run:
            return True
        return conf.effect is Effect.KEYED and self.now < r.window_end - self.margin

    def one_group(self, a: Server, b: Server, group: Group) -> bool:
        if group is Group.ALL:
            return True
        return a.zone == b.zone if group is Group.ZONE else a.cell == b.cell

    def end(self, r: Request) -> None:
        """The final answer: a refusal where that is harmless, else a failure."""
        conf = self.conf.classes[r.klass]
        keyed_by_all = conf.effect is Effect.KEYED and conf.group is Group.ALL
        if conf.effect is Effect.SAFE or not r.may_run and not r.out or keyed_by_all:
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

    def allowed(self, server: Server) -> float:
        """Milliseconds of work that a server which may be cold can be sent now; it may fall over of more."""
        conf, age = self.conf, self.now - server.started
        if age >= conf.cold:
            return inf
        if self.now - self.warm_since >= self.aim:
            warm = sum(s.started <= 0 or self.now >= s.started + conf.cold for s in self.live)
            rate = self.warm_work / (self.now - self.warm_since) / max(warm, 1)
            self.warm_rate = max(rate, self.warm_rate * 0.95)  # calm ones could carry as much as lately
            self.warm_work, self.warm_since = 0.0, self.now
        share = conf.cold_from + (1 - conf.cold_from) * max(age, 0.0) / conf.cold
        rate = self.warm_rate * share * conf.tip_multiple * COLD_SHARE
        light = min(self.usual)
        rate = max(rate, light / (max(conf.tip_after, 1.0) * conf.proxies))
        saved = server.pace + rate * (self.now - server.paced_at)
        server.pace, server.paced_at = min(saved, max(rate * conf.tip_after / 4, light)), self.now
        return server.pace
