"""What goes wrong between processes, and when: one form for virtual time and for real processes.

Times are in periods of the group's pings from the beginning of the schedule, so that the same one plays at a
second in virtual time and at a fraction of it on sockets. Links are directed: a fault says whose messages to
whom it concerns. It must never do I/O but read a file.
"""

import random
import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Carries = Literal["all", "datagram", "stream"]
Deed = Literal["pause", "kill", "leave", "start"]
Disk = Literal["kept", "empty"]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Span = Annotated[float, Meta(ge=0.0, le=1e6)]
Who = Annotated[list[Annotated[int, Meta(ge=0, lt=1024)]], Meta(max_length=1024)]


class ScheduleError(ValueError):
    """The schedule cannot be used; one line that names the key."""


class LinkFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """What happens to messages from any of `of` to any of `to`; everybody where left empty."""

    at: Span
    lasts: Span
    of: Who = []
    to: Who = []
    carries: Carries = "all"
    lost: Share = 0.0  # 1 is a cut; of a stream, bytes are held until the fault is over
    doubled: Share = 0.0
    late: Share = 0.0  # of the datagrams, that come `late_by` periods later: reordered, or old
    late_by: Span = 1.0
    delay: Span = 0.0  # periods, of all
    bytes_per_s: Annotated[float, Meta(ge=0.0)] = 0.0  # of a stream; 0 is no limit
    reset: bool = False  # of streams: the open ones are reset, new ones refused
    every: Span = 0.0  # periods after which it changes sides: `of` and `to` change places

    def concerns(self, at: float, a: int, b: int) -> bool:
        """Whether it acts on messages from a to b at a time."""
        if not self.at <= at < self.at + self.lasts:
            return False
        if self.every and int((at - self.at) / self.every) % 2:
            a, b = b, a
        return (not self.of or a in self.of) and (not self.to or b in self.to)


class Act(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """What happens to processes: a pause of some periods, or an end and, where it lasts, a start after it."""

    at: Span
    do: Deed
    who: Who
    lasts: Span = 0.0  # of a kill or a leave: until the restart; 0 is for good
    disk: Disk = "kept"
    spread: Span = 0.0  # periods over which they come one after the other


class Schedule(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """One play: so many processes, so many periods, and what goes wrong."""

    size: Annotated[int, Meta(ge=1, le=1024)]
    periods: Annotated[float, Meta(gt=0.0, le=1e6)]
    links: Annotated[list[LinkFault], Meta(max_length=1000)] = []
    acts: Annotated[list[Act], Meta(max_length=1000)] = []
    seed: int = 0

    def ends(self) -> float:
        """When the last fault is over."""
        spans = [f.at + f.lasts for f in self.links]
        spans += [a.at + a.lasts + a.spread for a in self.acts]
        return max(spans, default=0.0)


def parse(text: str) -> Schedule:
    """Raises ScheduleError."""
    try:
        found = msgspec.convert(tomllib.loads(text), Schedule)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScheduleError(" ".join(str(error).split())) from error
    for i, who in enumerate([*(w for f in found.links for w in (f.of, f.to)), *(a.who for a in found.acts)]):
        if any(n >= found.size for n in who):
            raise ScheduleError(f"fault {i}: names a process that is none of the {found.size}")
    return found


def read(path: str | Path) -> Schedule:
    """Raises ScheduleError."""
    try:
        return parse(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ScheduleError(f"{path}: {error}") from error


def halves(size: int) -> tuple[list[int], list[int]]:
    return list(range(size // 2)), list(range(size // 2, size))


def by_chance(seed: int, size: int, calm: float = 8.0, quiet: float = 25.0) -> Schedule:
    """Some faults that overlap, after a calm start; then a quiet end in which all has to come right."""
    rng = random.Random(seed)
    at, links, acts = calm, list[LinkFault](), list[Act]()
    everybody = list(range(size))
    for _ in range(rng.randint(2, 5)):
        at += rng.uniform(0.0, 12.0)
        lasts = rng.choice([2.0, 5.0, 12.0, 25.0])
        some = rng.sample(everybody, rng.randint(1, max(1, size // 2)))
        rest = [n for n in everybody if n not in some]
        kind = rng.choice(["cut", "one way", "pair", "loss", "late", "turning", "pause", "kill", "restart"])
        if kind in ("cut", "one way", "turning"):
            way = rng.choice([(some, rest), (rest, some)])
            every = rng.choice([1.0, 2.0, 4.0]) if kind == "turning" else 0.0
            links.append(LinkFault(at=at, lasts=lasts, of=way[0], to=way[1], lost=1.0, every=every))
            if kind == "cut":
                links.append(LinkFault(at=at, lasts=lasts, of=way[1], to=way[0], lost=1.0))
        elif kind == "pair":
            a, b = rng.sample(everybody, 2) if size > 1 else (0, 0)
            links.append(LinkFault(at=at, lasts=lasts, of=[a], to=[b], lost=1.0))
        elif kind == "loss":
            links.append(LinkFault(at=at, lasts=lasts, lost=rng.uniform(0.05, 0.3)))
        elif kind == "late":
            links.append(
                LinkFault(at=at, lasts=lasts, doubled=0.2, late=0.2, late_by=rng.choice([0.2, 3.0, 60.0]))
            )
        elif kind == "pause":
            acts.append(Act(at=at, do="pause", who=some, lasts=rng.choice([3.0, 10.0, 30.0])))
        elif kind == "kill":
            acts.append(Act(at=at, do="kill", who=some[: max(1, (size - 1) // 4)]))
        else:
            one = rng.choice(["kill", "leave"])
            spread = rng.choice([0.0, 5.0])
            acts.append(Act(at=at, do=one, who=some, lasts=rng.choice([0.5, 3.0, 12.0]), spread=spread))  # type: ignore[arg-type]
    found = Schedule(size=size, periods=1.0, links=links, acts=acts, seed=seed)
    return Schedule(size=size, periods=found.ends() + quiet, links=links, acts=acts, seed=seed)
