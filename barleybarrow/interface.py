"""The interface of the routing policy: settings, events, actions and outcomes.

All times are in milliseconds: clock times, durations and time-outs; rates are per millisecond.
Zones, machine kinds, tenants and request classes are indices; backends are opaque names.
"""

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a request of a class may be executed twice: always, if deduplicated by its key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The backends that share the deduplication of a keyed request."""

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
    """State of a listed backend."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What a list event holds: changes, the complete list, or the loss of the subscription."""

    CHANGES = "changes"
    COMPLETE = "complete"
    LOST = "lost"


class SettingsError(ValueError):
    """The settings are invalid."""


class UnknownEventError(TypeError):
    """The event has none of the types of this interface."""


@dataclass(slots=True)
class RequestClass:
    """A class of requests. The target latency and the deadline count from the arrival."""

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
    """Settings of a proxy, given at its start."""

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
        """Raise SettingsError for settings that the policy cannot work with."""
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
    """One listed backend; started is a clock time, 0 for long ago."""

    backend: str
    state: State
    started: float = 0.0
    cell: int = 0
    zone: int = 0
    kind: int = 0


@dataclass(slots=True)
class ListChanged:
    """The list of backends, changes to it, or the failure of a subscription."""

    scope: ListScope
    entries: list[Entry]
    version: int = 0  # as discovery numbers them


@dataclass(slots=True)
class Arrived:
    """A request arrived; deadline is the clock time at which this try is given up."""

    request: int
    klass: int
    deadline: float
    tenant: int = 0
    repeated: bool = False
    bound: str | None = None  # the backend that may have run it already; if empty, none may get it
    window_end: float = 0.0  # clock time until which that backend, and its group, drop a repeat


@dataclass(slots=True)
class Finished:
    """An attempt ended; complete if the request needs no further answer."""

    request: int
    attempt: int
    outcome: Outcome
    elapsed: float
    complete: bool
    report: dict[str, float] | None = None


@dataclass(slots=True)
class Began:
    """A streamed answer has begun: from now on the client sees this attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Left:
    """The client disconnected, or the request was closed otherwise."""

    request: int


@dataclass(slots=True)
class TimerDue:
    """A timer expired."""

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
    """Weighted estimate of other proxies for one incarnation of a backend; see `barleybarrow.knowledge`."""

    backend: str
    started: float  # as in its Entry: the estimate does not apply to another incarnation
    slower: float  # log of its latency relative to the fleet's usual one; below 0 it is faster
    weight: float  # 0 to 1: how far it counts now if this proxy has measured nothing itself


@dataclass(slots=True)
class Told:
    """Estimates of other proxies. They can only lower a backend's rank, and they decay."""

    hearsay: list[Hearsay]


@dataclass(slots=True)
class Send:
    """Start an attempt; timeout is a duration, 0 for as long as the client waits."""

    request: int
    backend: str
    timeout: float = 0.0


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; the client may safely retry after the given duration."""

    request: int
    retry_after: float


@dataclass(slots=True)
class Fail:
    """Final answer: failed; it may have taken effect."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Abandon an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Disconnect:
    """Close the idle connections to a backend."""

    backend: str


@dataclass(slots=True)
class SetTimer:
    """Request a TimerDue at a clock time."""

    at: float
    token: int


@dataclass(slots=True)
class Watch:
    """Subscribe to list changes."""


@dataclass(slots=True)
class Probe:
    """Request a load report from a backend."""

    backend: str


Event = ListChanged | Arrived | Finished | Began | Left | TimerDue | Probed | Told
Action = Send | Refuse | Fail | Cancel | Disconnect | SetTimer | Watch | Probe
