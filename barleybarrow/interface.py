"""The interface of the decision module: settings, events, actions and outcomes.

Every time is in milliseconds: clock times, spans, time-outs and rates alike.
Zones, machine kinds, tenants and request classes are indices; backends are opaque texts.
"""

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """How far a request of a class may be repeated."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which backends drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt (or a probe) ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class State(Enum):
    """What the list says of a backend."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What a list event holds."""

    CHANGES = "changes"
    COMPLETE = "complete"
    LOST = "lost"


class SettingsError(ValueError):
    """The settings cannot be worked with."""


class UnknownEventError(TypeError):
    """The event is of no type that this interface names."""


@dataclass(slots=True)
class RequestClass:
    """A class of requests; aim and deadline are spans from the arrival."""

    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL
    window: float = 0.0
    name: str = ""


@dataclass(slots=True)
class Settings:
    """What a proxy knows when it starts."""

    classes: list[RequestClass]
    tick: float
    proxies: int = 1
    zone: int = 0
    must_ask: bool = False
    max_attempts: int = 1
    parallel: bool = False
    cancelling: bool = False
    probing: bool = False
    probe_reports: list[str] = field(default_factory=list)
    max_retry_after: float = 0.0
    conn_idle: float = 0.0
    connect_timeout: float = 0.0
    drain_grace: float = 0.0
    hang_up_within: float = 0.0
    ask_within: float = 0.0
    cold_from: float = 1.0
    cold: float = 0.0
    tip_multiple: float = 1.0
    tip_after: float = 0.0
    cross_zone_price: float = 0.0
    probe_price: float = 0.0
    whole_weight: float = 1.0
    worst_class_weight: float = 0.0
    quotas: list[float] = field(default_factory=list)
    over_quota_worth: float = 1.0
    tenants: list[str] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    kinds: list[str] = field(default_factory=list)

    def check(self) -> None:
        """Raise SettingsError where no decision could be made by these settings."""
        if not self.classes:
            raise SettingsError("no request classes")
        if type(self.proxies) is not int or self.proxies < 1:
            raise SettingsError(f"instances: a whole number above zero is wanted, not {self.proxies!r}")
        if self.tick <= 0 or min(c.aim for c in self.classes) <= 0:
            raise SettingsError("the tick and every aim must be above zero")
        spans = [self.cold, self.tip_after, self.max_retry_after]
        spans += [self.drain_grace, self.hang_up_within, self.ask_within]
        spans += [t for c in self.classes for t in (c.deadline, c.window)]
        if min(spans) < 0:
            raise SettingsError("a time is negative")


@dataclass(slots=True)
class Entry:
    """One backend of a list; started is a clock time, 0 for long ago."""

    backend: str
    state: State
    started: float = 0.0
    cell: int = 0
    zone: int = 0
    kind: int = 0


@dataclass(slots=True)
class ListChanged:
    """The list of backends, changes to it, or word that a call for it failed."""

    scope: ListScope
    entries: list[Entry]
    version: int = 0  # as discovery counts them


@dataclass(slots=True)
class Arrived:
    """A request is here; deadline is the clock time at which this try is given up."""

    request: int
    klass: int
    deadline: float
    tenant: int = 0
    repeated: bool = False
    bound: str | None = None  # the backend at which it may have run already; empty: it may go to none
    window_end: float = 0.0  # clock time until which that one, and its group, drop a repeat


@dataclass(slots=True)
class Finished:
    """An attempt ended; complete when the request needs no further answer."""

    request: int
    attempt: int
    outcome: Outcome
    elapsed: float
    complete: bool
    report: dict[str, float] | None = None


@dataclass(slots=True)
class Began:
    """A streamed answer has begun: the attempt now belongs to the client."""

    request: int
    attempt: int


@dataclass(slots=True)
class Left:
    """The client is gone, or the request was closed from outside."""

    request: int


@dataclass(slots=True)
class TimerDue:
    """A timer set earlier has fallen due."""

    token: int


@dataclass(slots=True)
class Probed:
    """The result of a probe."""

    backend: str
    outcome: Outcome
    elapsed: float
    report: dict[str, float] | None = None


@dataclass(slots=True)
class Hearsay:
    """What other proxies say of one life of a backend, weighed; see `barleybarrow.knowledge`."""

    backend: str
    started: float  # as in its Entry: another start is another life, of which this says nothing
    slower: float  # log of how many times the fleet's usual latency it takes; under 0 it is faster
    weight: float  # 0 to 1: how far this counts now, against nothing known at first hand


@dataclass(slots=True)
class Told:
    """Hearsay. It can only lower a backend in the ranking, and fades."""

    hearsay: list[Hearsay]


@dataclass(slots=True)
class Send:
    """Start an attempt; timeout is a span, 0 for until the client gives up."""

    request: int
    backend: str
    timeout: float = 0.0


@dataclass(slots=True)
class Refuse:
    """Final answer: not run, trying again is harmless after the given span."""

    request: int
    retry_after: float


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Disconnect:
    """Close the idle connections to a backend."""

    backend: str


@dataclass(slots=True)
class SetTimer:
    """Ask for TimerDue at a clock time."""

    at: float
    token: int


@dataclass(slots=True)
class Watch:
    """Ask for list changes from now on."""


@dataclass(slots=True)
class Probe:
    """Ask a backend for its report."""

    backend: str


Event = ListChanged | Arrived | Finished | Began | Left | TimerDue | Probed | Told
Action = Send | Refuse | Fail | Cancel | Disconnect | SetTimer | Watch | Probe
