"""The rivals: each chooses by what its paper or documentation says, and by nothing else."""

from bisect import bisect_right, insort
from collections import deque
from math import exp, inf

from barleybarrow import interface as face
from barleybarrow.interface import Outcome
from testbed.policies.base import Request, Rival, Server
from testbed.policies.view import View


class UniformRandom(Rival):
    """Any server that fits, each as likely.

    M. Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, IEEE TPDS 12(10), 2001: its d = 1.
    """

    def choose(self, r: Request) -> Server | None:
        found = self.some(1, r)
        return found[0] if found else None


class RoundRobin(Rival):
    """The next server that fits, in the order of the list.

    Nginx documentation, ngx_http_upstream_module: the default method, all weights equal. Each proxy begins
    at a random place, so that several do not go round in step.
    """

    def __init__(self, settings: face.Settings, seed: int, now: float, view: View | None = None) -> None:
        super().__init__(settings, seed, now, view)
        self.next = -1

    def choose(self, r: Request) -> Server | None:
        if self.next < 0 and self.live:
            self.next = self.rng.randrange(len(self.live))
        for step in range(len(self.live)):
            server = self.live[(self.next + step) % len(self.live)]
            if self.fits(server, r):
                self.next = (self.next + step + 1) % len(self.live)
                return server
        return None


class LeastInFlight(Rival):
    """The server with the fewest own requests in flight, ties at random.

    HAProxy configuration manual, `balance leastconn`, counting requests rather than connections, as Envoy's
    LEAST_REQUEST does; but over all servers and not over two.
    """

    def __init__(self, settings: face.Settings, seed: int, now: float, view: View | None = None) -> None:
        super().__init__(settings, seed, now, view)
        self.levels: list[list[Server]] = [[]]  # servers by the number in flight, each in no order
        self.spot: dict[Server, tuple[int, int]] = {}  # level, and place within it

    def joined(self, server: Server) -> None:
        self.put(server, server.inflight)

    def parted(self, server: Server) -> None:
        level, place = self.spot.pop(server)
        last = self.levels[level].pop()
        if last is not server:
            self.levels[level][place] = last
            self.spot[last] = (level, place)

    def changed(self, server: Server) -> None:
        if server in self.spot:
            self.parted(server)
            self.put(server, server.inflight)

    def put(self, server: Server, level: int) -> None:
        while len(self.levels) <= level:
            self.levels.append([])
        self.spot[server] = (level, len(self.levels[level]))
        self.levels[level].append(server)

    def choose(self, r: Request) -> Server | None:
        for level in self.levels:
            if level:
                first = int(self.rng.random() * len(level))
                for n in range(len(level)):
                    server = level[(first + n) % len(level)]
                    if self.fits(server, r):
                        return server
        return None


class PeakEwma(Rival):
    """Of two servers drawn at random, the one with less of mean latency x (in flight + 1).

    Finagle user guide, "Power of Two Choices: Peak EWMA", and linkerd's documentation on load balancing. The
    mean decays over 10 s and goes up to a longer latency at once. A server not yet heard of counts as slow
    while something is in flight there, else as fast: it gets a first request and then waits for its answer.
    """

    DECAY = 10_000.0  # milliseconds: both projects' default

    def __init__(self, settings: face.Settings, seed: int, now: float, view: View | None = None) -> None:
        super().__init__(settings, seed, now, view)
        self.known: dict[Server, tuple[float, float]] = {}  # mean latency, and when it was last moved

    def parted(self, server: Server) -> None:
        self.known.pop(server, None)

    def ended(self, server: Server, outcome: Outcome, elapsed: float) -> None:
        if self.servers.get(server.name) is server:  # whatever the outcome, as in Finagle
            mean, at = self.known.get(server, (0.0, self.now))
            keep = exp(-(self.now - at) / self.DECAY)
            mean = elapsed if elapsed > mean else mean * keep + elapsed * (1 - keep)
            self.known[server] = (mean, self.now)

    def cost(self, server: Server) -> float:
        if server not in self.known:
            return inf if server.inflight else 0.0
        mean, at = self.known[server]
        return mean * exp(-(self.now - at) / self.DECAY) * (server.inflight + 1)

    def choose(self, r: Request) -> Server | None:
        found = self.some(2, r)
        return min(found, key=self.cost) if found else None


class Sample:
    """One probe's answer in Prequal's pool."""

    __slots__ = ("at", "inflight", "latency", "server", "uses")

    def __init__(self, server: Server, at: float, inflight: float, latency: float, uses: float) -> None:
        self.server, self.at, self.inflight, self.latency, self.uses = server, at, inflight, latency, uses


class Prequal(Rival):
    """Probes a few random servers a request; among the cold ones in its pool of answers takes the fastest.

    B. Wydrowski et al., Load is not what you should balance: Introducing Prequal, NSDI 2024; constants are
    those of its evaluation. Hot is a server whose requests in flight lie above the quantile Q_RIF of what
    probes told lately; are all hot, the one with the fewest in flight is taken. It needs probes that tell
    `inflight` and `latency`, and goes by chance while its pool holds fewer than two.
    """

    POOL = 16  # samples; half the servers where there are fewer than twice as many
    PROBES = 3.0  # a request
    REMOVED = 1.0  # samples taken out a request, the oldest and the worst in turn
    Q_RIF = 2**-0.25
    DELTA = 1.0  # net growth of the pool that the reuse of samples reckons with
    OLDEST = 1000.0  # milliseconds that a sample counts
    RECENT = 128  # answers of which the quantile is taken: a choice of ours, the paper names none

    def __init__(self, settings: face.Settings, seed: int, now: float, view: View | None = None) -> None:
        super().__init__(settings, seed, now, view)
        self.pool: list[Sample] = []  # oldest first
        self.asked: dict[str, float] = {}  # probes out, and since when
        self.recent: deque[float] = deque()
        self.sorted: list[float] = []
        self.owed, self.worst_next = 0.0, False

    def size(self) -> int:
        return max(2, min(self.POOL, len(self.live) // 2))

    def parted(self, server: Server) -> None:
        self.pool = [s for s in self.pool if s.server is not server]
        self.asked.pop(server.name, None)

    def probed(self, event: face.Probed) -> None:
        self.asked.pop(event.backend, None)
        server = self.servers.get(event.backend)
        if server is None or event.outcome is not Outcome.SERVED or not event.report:
            return
        inflight, latency = event.report.get("inflight", 0.0), event.report.get("latency", 0.0)
        insort(self.sorted, inflight)
        self.recent.append(inflight)
        if len(self.recent) > self.RECENT:
            del self.sorted[bisect_right(self.sorted, self.recent.popleft()) - 1]
        self.pool = [s for s in self.pool if s.server is not server]
        self.pool.append(Sample(server, self.now, inflight, latency, self.reuse()))
        if len(self.pool) > self.size():
            del self.pool[0]

    def reuse(self) -> float:
        """How often a sample may be used, so that the pool does not run dry; the paper's equation 1."""
        growth = (1 - self.size() / max(len(self.live), 1)) * self.PROBES - self.REMOVED
        return max(1.0, (1 + self.DELTA) / growth) if growth > 0 else inf

    def hot(self) -> float:
        """Requests in flight beyond which a server is hot.

        Where nothing lies above the quantile, as with short waiting rooms under load, the most that was told
        is hot itself: the paper's servers queue without bound, and a full one would pass for cold here.
        """
        limit, top = self.sorted[int(self.Q_RIF * (len(self.sorted) - 1))], self.sorted[-1]
        return limit if limit < top else top - 1

    def choose(self, r: Request) -> Server | None:
        self.pool = [s for s in self.pool if self.now - s.at <= self.OLDEST]
        fitting = [s for s in self.pool if self.fits(s.server, r)]
        if len(fitting) < 2:
            found = self.some(1, r)
            return found[0] if found else None
        limit = self.hot()
        cold = [s for s in fitting if s.inflight <= limit]
        best = min(cold, key=lambda s: s.latency) if cold else min(fitting, key=lambda s: s.inflight)
        best.inflight += 1  # what is sent there since the probe counts
        best.uses -= 1
        if best.uses < 1:
            self.pool.remove(best)
        return best.server

    def arrived(self, event: face.Arrived) -> None:
        super().arrived(event)
        self.thin()
        self.owed += self.PROBES if self.conf.probing else 0.0
        lost = [name for name, at in self.asked.items() if self.now - at > self.OLDEST]
        for name in lost:
            del self.asked[name]
        while self.owed >= 1:
            self.owed -= 1
            if self.live:
                server = self.live[int(self.rng.random() * len(self.live))]
                if server.name not in self.asked and self.now >= server.out_until:
                    self.asked[server.name] = self.now
                    self.actions.append(face.Probe(server.name))

    def thin(self) -> None:
        """Take out one sample a request, so that none grows too old and no bad one stays."""
        if len(self.pool) <= 2:
            return
        if self.worst_next:
            limit = self.hot()
            hot = [s for s in self.pool if s.inflight > limit]
            worst = max(hot, key=lambda s: s.inflight) if hot else max(self.pool, key=lambda s: s.latency)
            self.pool.remove(worst)
        else:
            del self.pool[0]
        self.worst_next = not self.worst_next


class AllKnowing(Rival):
    """Sees the true state: sends to the fastest idle core, holds a request while no core is idle.

    The upper bound of what a choice can do. Not optimal: it knows neither a request's work nor what comes
    next, and the proxies do not confer. The rule is that of the fastest idle server (M. N. Katehakis, A Note
    on the Hypercube Model, Operations Research Letters 3(6), 1985) with sight in place of estimates.
    """

    MOST = 64  # servers looked at for a request; where there are more, a random so many are
    SOUND = 0.1  # share of errors up to which a server is used: a repeat costs more than a short wait
    LOOK = 0.5  # ticks between two looks while a request is held: others free cores unseen
    WAY = 3.0  # milliseconds for which an own request may be under way, and not yet be seen there

    def __init__(self, settings: face.Settings, seed: int, now: float, view: View | None = None) -> None:
        super().__init__(settings, seed, now, view)
        self.sweep = self.LOOK * settings.tick
        self.under_way: dict[Server, list[float]] = {}  # when what may be under way was sent

    def send(self, r: Request, server: Server) -> None:
        super().send(r, server)
        self.under_way[server] = [t for t in self.under_way.get(server, []) if t > self.now - self.WAY]
        self.under_way[server].append(self.now)

    def parted(self, server: Server) -> None:
        self.under_way.pop(server, None)

    def idle(self, view: View, server: Server) -> bool:
        """Whether a core is idle there and none of this proxy's requests is on its way to it."""
        cores = view.idle(server.name)
        if cores and server in self.under_way:
            cores -= sum(t > self.now - self.WAY for t in self.under_way[server])
        return cores > 0

    def choose(self, r: Request) -> Server | None:
        view = self.view
        if view is None:
            raise ValueError("the upper bound needs a view of the servers")
        few = self.live if len(self.live) <= self.MOST else self.some(self.MOST, r)
        best, most = None, 0.0
        for server in few:
            name = server.name
            if not self.idle(view, server) or not view.alive(name) or view.fails(name) > self.SOUND:
                continue
            if not self.fits(server, r):
                continue
            pace = view.one_core(name)
            if pace > most:
                best, most = server, pace
        return best

    def allowed(self, server: Server) -> float:
        return inf  # it only sends to an idle core: nothing can be pushed over
