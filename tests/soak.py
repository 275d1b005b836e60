"""A small fleet of model servers in virtual time, for long days of the module alone."""

import heapq
import random

from helpers import settings

from barleybarrow import interface as face
from barleybarrow.brain import Balancer
from barleybarrow.interface import Effect, Group, ListScope, Outcome, State

WORK = (20.0, 34.0)  # milliseconds of work of the two classes, on the mean
CORES = 2


def classes():
    return [
        face.RequestClass(aim=290, deadline=700, worth=2, effect=Effect.SAFE),
        face.RequestClass(aim=375, deadline=950, worth=8, effect=Effect.KEYED, group=Group.ALL, window=3000),
    ]


class Server:
    """Cores that each work on one request, and a queue without end."""

    def __init__(self, name, speed=1.0):
        self.name, self.speed, self.free_at, self.alive = name, speed, [0.0] * CORES, True

    def take(self, now, work):
        """When a request that comes now is answered."""
        core = min(range(CORES), key=self.free_at.__getitem__)
        start = max(now, self.free_at[core])
        self.free_at[core] = start + work / self.speed
        return self.free_at[core]


class Soak:
    """One module before a fleet; plays arrivals at a rate for a while, replaces servers as they age."""

    def __init__(self, servers=9, life=20_000.0, load=0.5, seed=1, breaks=0.0, scale=None, **changes):
        values = {"classes": classes(), "proxies": 1, "tick": 5, "cold": 4000, "cold_from": 0.32}
        self.conf = settings(**(values | changes))
        self.rng = random.Random(seed)
        self.now, self.serial, self.heap, self.fleet = 0.0, 0, [], {}
        self.life, self.breaks, self.scale = life, breaks, scale or (lambda now: 1.0)
        self.mean = sum(WORK) / len(WORK)
        self.gap = self.mean / (servers * CORES * load)
        self.brain = Balancer(self.conf, seed, 0.0)
        self.open, self.answers = {}, []  # id: [class, arrived]; then (arrived, took or None, class)
        self.attempts = []  # (class, took) of each one that was served
        self.mix = 0.44  # share of the second class
        entries = [self.newcomer(0.0) for _ in range(servers)]
        self.give(face.ListChanged(ListScope.COMPLETE, entries))
        for i, name in enumerate(list(self.fleet)):
            self.at(life * (i + 0.5) / servers, "replace", name)

    def newcomer(self, started):
        self.serial += 1
        name = f"s{self.serial}"
        self.fleet[name] = Server(name, self.rng.choice((0.8, 1.0, 1.7)))
        return face.Entry(name, State.LIVE, started, kind=0)

    def at(self, when, *what):
        self.serial += 1
        heapq.heappush(self.heap, (when, self.serial, *what))

    def give(self, event):
        for action in self.brain.handle(self.now, event):
            self.act(action)

    def act(self, action):
        if isinstance(action, face.Send):
            entry = self.open[action.request]
            number, entry[2] = entry[2], entry[2] + 1
            server, sent = self.fleet[action.backend], self.now
            if not server.alive:
                self.at(self.now + 0.2, "end", action.request, number, Outcome.FULL, sent)
            elif self.rng.random() < self.breaks:
                self.at(self.now + 1.0, "end", action.request, number, Outcome.RESET, sent)
            else:
                work = self.scale(self.now) * WORK[entry[0]] * self.rng.uniform(0.5, 1.5)
                done, limit = server.take(self.now, work), self.now + action.timeout
                outcome = Outcome.SERVED if done <= limit else Outcome.TIMEOUT
                self.at(min(done, limit), "end", action.request, number, outcome, sent)
        elif isinstance(action, face.Refuse | face.Fail):
            klass, arrived, _ = self.open.pop(action.request)
            self.answers.append((arrived, None, klass))
        elif isinstance(action, face.SetTimer):
            self.at(action.at, "timer")

    def replace(self, name):
        """A server goes, another comes; the module hears of it a little later."""
        self.fleet[name].alive = False
        new = self.newcomer(self.now)
        self.at(self.now + 150.0, "list", [face.Entry(name, State.GONE), new])
        self.at(self.now + self.life, "replace", new.backend)

    def run(self, arrivals):
        """Play so many arrivals; all that is due in between happens in its order."""
        next_at = self.now + self.gap
        while arrivals:
            if self.heap and self.heap[0][0] <= next_at:
                self.now, _, what, *rest = heapq.heappop(self.heap)
                getattr(self, "on_" + what)(*rest)
            else:
                self.now, arrivals = next_at, arrivals - 1
                next_at += self.rng.expovariate(1 / (self.gap * self.scale(self.now)))
                self.serial += 1
                request, klass = self.serial, int(self.rng.random() < self.mix)
                self.open[request] = [klass, self.now, 0]
                deadline = self.now + self.conf.classes[klass].deadline
                self.give(face.Arrived(request, klass, deadline))

    def on_timer(self):
        self.give(face.TimerDue(0))

    def on_list(self, entries):
        self.give(face.ListChanged(ListScope.CHANGES, entries))

    def on_replace(self, name):
        self.replace(name)

    def on_end(self, request, number, outcome, sent):
        entry = self.open.get(request)
        served = outcome is Outcome.SERVED and entry is not None
        if served:
            self.attempts.append((entry[0], self.now - sent))
            del self.open[request]
            self.answers.append((entry[1], self.now - entry[1], entry[0]))
        self.give(face.Finished(request, number, outcome, self.now - sent, served))

    def refused(self, share=1 / 3):
        """The share without an answer among the last ones."""
        last = self.answers[-int(len(self.answers) * share) :]
        return sum(took is None for _, took, _ in last) / len(last)

    def costs(self):
        return [c.cost for c in self.brain.classes]
