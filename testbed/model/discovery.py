"""What discovery knows of the servers, and what each proxy's agent has been told of it."""

from bisect import bisect_right
from dataclasses import dataclass

from brackenusher.upstream.listing import Host, Listing
from testbed import scenario as config


@dataclass(frozen=True, slots=True)
class Line:
    """One change of the list: from this version on the host is as it says here."""

    at: int  # microseconds
    host: Host


class Registry:
    """The list and all its changes; a version is the number of changes up to it."""

    def __init__(self) -> None:
        self.log: list[Line] = []
        self.times: list[int] = []
        self.current: dict[str, Host] = {}

    @property
    def seq(self) -> int:
        return len(self.log)

    def note(self, now: int, host: Host) -> int:
        """Take up a change; its version."""
        self.log.append(Line(now, host))
        self.times.append(now)
        if host.health == "gone":
            self.current.pop(host.name, None)
        else:
            self.current[host.name] = host
        return self.seq

    def seq_at(self, at: int) -> int:
        """The version that held at a time."""
        return bisect_right(self.times, at)

    def whole(self, seq: int | None = None) -> Listing:
        """The whole list, as it was at a version or as it is."""
        if seq is None or seq >= self.seq:
            return Listing(self.seq, True, list(self.current.values()))
        hosts: dict[str, Host] = {}
        for line in self.log[:seq]:
            if line.host.health == "gone":
                hosts.pop(line.host.name, None)
            else:
                hosts[line.host.name] = line.host
        return Listing(seq, True, list(hosts.values()))

    def since(self, known: int, seq: int) -> Listing:
        """What changed after a version up to another; of several changes of a host the last one."""
        changed: dict[str, Host] = {}
        for line in self.log[known:seq]:
            changed.pop(line.host.name, None)
            changed[line.host.name] = line.host
        return Listing(seq, False, list(changed.values()))


class Agent:
    """Discovery's agent beside one proxy: changes are gathered and told a little apart from the others'."""

    __slots__ = ("registry", "period", "phase", "known", "lost", "watched", "due")

    def __init__(self, registry: Registry, conf: config.Discovery, phase: float, known: int) -> None:
        self.registry, self.period = registry, max(1, int(conf.period_ms * 1000.0))
        self.phase = int(phase * conf.spread_ms * 1000.0)  # phase: a random number in [0, 1)
        self.known = known  # the version that was told last
        self.lost = False  # a message was lost since: the next one must hold the whole list
        self.watched = conf.mode == "push"
        self.due: int | None = None  # when it tells next

    def next(self, now: int) -> int:
        """When what is noted now will be told."""
        return now + self.period - now % self.period + self.phase

    def tell(self, seq: int, whole: bool) -> Listing | None:
        """What is to be told up to a version; None where it is known already."""
        if seq <= self.known and not self.lost:
            return None
        if whole or self.lost:
            listing = self.registry.whole(max(seq, self.known))
        else:
            listing = self.registry.since(self.known, seq)
        self.known, self.lost = listing.seq, False
        return listing


class Desk:
    """The one service behind all agents where the list must be asked for: calls wait in turn, and too long.

    A queue of one server, first come, first served, whose work is the lines that it writes; a call not begun
    within the patience has waited so long for nothing. Pushes to those who watch are free.
    """

    def __init__(self, conf: config.Discovery) -> None:
        self.line = int(1e6 / conf.lines_per_s) if conf.lines_per_s else 0  # microseconds
        self.patience = int(conf.patience_ms * 1000.0)
        self.free = self.failed = 0  # when it comes to the next call; calls that waited for nothing

    def call(self, now: int, lines: int) -> tuple[int, bool]:
        """Microseconds that a call for so many lines takes, and whether it is answered with them."""
        begins = max(now, self.free)
        if begins - now > self.patience:
            self.failed += 1
            return self.patience, False
        self.free = begins + self.line * lines
        return self.free - now, True
