"""A scenario: what a run of the testbed is about, read from TOML and checked.

Spans and instants are in milliseconds, the latter counted from the start of the run; rates are a second, work
is in milliseconds of one standard core. Nothing here is random: the world draws from a seed what is a spread.
"""

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

Span = Annotated[float, Meta(ge=0)]  # milliseconds
Above = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0)]
Some = Annotated[int, Meta(ge=1)]

FaultKind = Literal[
    "slow",  # servers take `size` times as long
    "hang",  # servers take work and answer nothing
    "quick_errors",  # servers answer a share `size` of requests with an error, at once
    "crash",  # processes go; each is back, cold and under its id, when the fault ends
    "drain",  # servers are marked, stop `discovery.drain_notice_ms` later and are back when the fault ends
    "replace",  # servers go for good; each is replaced under a new id at the old address, after `gap_ms`
    "partition",  # the proxies named cannot reach the servers chosen
    "discovery_silent",  # discovery tells nothing
    "discovery_stale",  # discovery tells what was so `size` milliseconds ago
    "discovery_whole",  # discovery sends the whole list each time in place of changes
    "late_answers",  # answers come `size` milliseconds late
    "lost_answers",  # a share `size` of answers never comes; the work was done
    "resets",  # a share `size` of connections breaks under a request; half of those have run it
    "proxy_restart",  # proxies stop (`size` 0: at once) and begin without memory when the fault ends
    "hot_key",  # a share `size` of traffic goes to `keys` keys
    "tenant_flood",  # the tenant named asks `size` times as often
    "load",  # everybody asks `size` times as often
]


class ScenarioError(ValueError):
    """The scenario cannot be used; the text is one line that names the key."""


class Kind(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A kind of server. Spreads are drawn once a server; a share is of all servers."""

    name: str
    share: Above = 1.0
    cores: Some = 2
    speed: Above = 1.0  # of a standard core
    speed_cv: Share = 0.1  # spread between servers of the kind, as a coefficient of variation
    slots_per_core: Above = 4.0  # requests in work at once
    queue_per_core: Span = 1.0  # waiting room; beyond it a request is declined unseen
    thrash: Share = 0.4  # capacity lost when all slots and the waiting room are taken
    thrash_at: Above = 1.5  # requests a core from which on crowding costs
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.4  # capacity at the start, as a share of the full
    cold_ms: Span = 5000.0  # until warm, evenly, by time; of work at full capacity by work
    warm_by: Literal["time", "work"] = "time"
    error_rate: Share = 0.0
    cancel_stops: bool = False  # whether a cancelled request gives its slot back
    connections_per_core: Above = 64.0  # a connection beyond is refused
    connection_tax: Share = 0.1  # capacity lost with a full table of connections
    handshake_ms: Span = 1.5  # work of a new connection


class Class(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A class of requests; `aim` and `deadline` count from the arrival."""

    name: str
    share: Above = 1.0
    work_ms: Above = 60.0
    dist: Literal["fixed", "exp", "lognormal"] = "lognormal"
    cv: Span = 1.0  # of the work, for lognormal
    attempt_noise: Span = 0.2  # spread of the work between attempts of one request
    aim: Above = 600.0
    deadline: Above = 1500.0
    worth: Above = 1.0
    late_worth: Share = 0.0  # of the worth, for an answer after the aim
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    window: Span = 0.0  # in which a keyed repeat is dropped


class Tenant(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A tenant: its share of the traffic, and the share of the fleet's capacity that it has paid for."""

    name: str
    share: Above = 1.0
    quota: Share = 1.0  # of capacity; what it asks beyond is worth `rules.over_quota_worth`


class Keys(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What requests are about. A server that lately served a key does it with less work."""

    count: Some = 500
    zipf: Span = 1.0  # exponent; 0 asks for all alike
    affinity_gain: Share = 0.0  # work saved on a warm key
    affinity_ms: Span = 5000.0  # how long a key stays warm
    affinity_keys_per_core: Above = 10.0


class Load(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Arrivals: an open loop that waits for nobody."""

    of_capacity: Span = 0.5  # work asked for, as a share of what all servers can do when warm and not crowded
    rate: Span = 0.0  # requests a second over all proxies; above 0 it stands in for `of_capacity`
    shape: Literal["steady", "bursty", "wave"] = "bursty"
    swing: Share = 0.3  # how far the rate moves about its mean
    period_ms: Above = 4000.0  # of a wave; mean length of a burst
    steps: list[tuple[Span, Span]] = []  # (from when, factor on the rate), ascending; 1 before the first


class Network(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Delays one way, and connections."""

    same_ms: Span = 0.2  # within a zone
    cross_ms: Span = 0.6
    client_ms: Span = 0.8
    jitter: Share = 0.2
    loss: Share = 0.0  # share of messages that come `retransmit_ms` later
    retransmit_ms: Span = 200.0
    handshake_rtts: Span = 2.0
    idle_ms: Above = 15000.0  # a server closes a connection idle so long
    connect_timeout: Above = 200.0


class Discovery(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How and when proxies hear of servers."""

    mode: Literal["push", "ask"] = "push"
    period_ms: Above = 300.0  # changes are gathered so long
    spread_ms: Span = 60.0  # proxies hear at different times within
    add_ms: Span = 1500.0  # until a new server is known
    drain_notice_ms: Span = 2500.0  # from word of a drain to the stop of the process
    gone_ms: Span = 8000.0  # until a process that went without a word is known as gone
    loss: Share = 0.0  # share of messages lost; the whole list follows with the next
    born_known: bool = True  # whether a server's start is told
    lines_per_s: Span = 0.0  # where it must be asked: lines of lists that it writes for all; 0 is without end
    patience_ms: Span = 2000.0  # a call that has waited its turn so long fails


class Rules(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What binds the proxies, and what they may do; told to the module."""

    tick: Above = 5.0
    max_attempts: Some = 4
    parallel: bool = True
    cancelling: bool = True
    probing: bool = False
    probe_reports: list[Literal["inflight", "queue", "util", "latency", "rate", "errors"]] = []
    probe_work_ms: Span = 1.0
    probe_timeout: Above = 250.0
    max_retry_after: Span = 600.0
    drain_grace: Span = 500.0
    hang_up_within: Span = 0.0
    ask_within: Span = 0.0
    tip_multiple: Above = 3.0
    tip_after: Above = 1000.0
    answer_slack: Span = 50.0  # a final answer may come so long after the client's deadline
    over_quota_worth: Share = 0.05
    whole_weight: Share = 1.0  # the goal that proxies are told: runs are judged by goodput alone
    worst_class_weight: Share = 0.0
    cross_zone_price: Span = 0.0
    probe_price: Span = 0.01


class Fault(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Something that goes wrong, at a set time or by chance."""

    kind: FaultKind
    at: Span = 0.0  # when it first begins
    lasts: Span = 5000.0
    every: Span = 0.0  # above 0 it begins anew so long after each beginning
    chance: Annotated[float, Meta(gt=0, le=1)] = 1.0  # that it begins, each time
    part: Share = 0.1  # of the servers, one at least, drawn anew each time
    count: Count = 0  # above 0 so many servers in place of a part
    servers: list[Count] = []  # these, by number, in place of a drawing
    proxies: list[Count] = []  # for partition and proxy_restart; none named means all
    size: Span = 1.0  # see FaultKind
    keys: Some = 1  # for hot_key
    tenant: str = ""  # for tenant_flood
    gap_ms: Span = 1000.0  # for replace: until the new process runs
    stagger_ms: Span = 0.0  # between the servers chosen, for a fault that rolls over them


class Clients(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What clients do that are refused, failed or left to wait."""

    retries: Count = 1
    backoff_ms: Span = 80.0
    backoff: Literal["fixed", "exp"] = "exp"
    honour: Share = 0.9  # share of clients that keep to Retry-After
    marks_retry: bool = False
    impatient: Share = 0.005  # share that leaves before the deadline
    try_share: tuple[Share, Share] = (0.8, 1.0)  # of the class's deadline that a try waits


SocketFaultKind = Literal[
    "spoilt",  # a share `size` of answers cannot be read, or does not fit its length; the request has run
    "surplus",  # a share `size` of answers brings more than belongs to it, or 1xx ahead of it
    "endless_head",  # a share `size` of answers is a head that goes on until the connection is closed
    "closes_on_write",  # a share `size` of requests finds its connection closed as it is written
    "full_backlog",  # servers accept no connection, and their queue for it is full
    "silence",  # servers and proxies no longer hear of each other; nothing is reset until it is over
]


class SocketFault(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Something that goes wrong only where there are sockets; virtual time passes over it."""

    kind: SocketFaultKind
    at: Span = 0.0
    lasts: Span = 5000.0
    part: Share = 0.1  # of the servers, one at least, drawn from the seed
    servers: list[Count] = []  # these, by number, in place of a drawing
    size: Share = 1.0


class Sockets(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What counts only in a run on sockets; virtual time passes over it."""

    faults: list[SocketFault] = []
    rude: Span = 0.0  # connections a second of clients that break the protocol


class Clocks(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Each proxy's own clock against the world's."""

    offset_ms: Span = 0.0  # drawn evenly within plus and minus so much
    drift_ppm: Span = 0.0


class Scenario(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All of a run but its seed and its policy."""

    name: str
    about: str = ""  # what the scenario asks, in a line
    seconds: Above = 30.0  # of arrivals; the run goes on until all is answered
    proxies: Some = 2
    servers: Some = 10
    cell_size: Some = 4  # servers of a cell, in order
    zones: Annotated[list[str], Meta(min_length=1)] = field(
        default_factory=lambda: ["a"]
    )  # servers and proxies go round them
    kinds: Annotated[list[Kind], Meta(min_length=1)] = field(default_factory=lambda: [Kind(name="usual")])
    classes: Annotated[list[Class], Meta(min_length=1)] = field(default_factory=lambda: [Class(name="read")])
    tenants: list[Tenant] = []
    keys: Keys = Keys()
    load: Load = Load()
    network: Network = Network()
    discovery: Discovery = Discovery()
    rules: Rules = Rules()
    faults: list[Fault] = []
    clients: Clients = Clients()
    clocks: Clocks = Clocks()
    sockets: Sockets = Sockets()

    def __post_init__(self) -> None:
        for what, parts in (("kinds", self.kinds), ("classes", self.classes), ("tenants", self.tenants)):
            names = [part.name for part in parts]
            if len(set(names)) < len(names):
                raise ValueError(f"`{what}`: a name is there twice")
        for i, c in enumerate(self.classes):
            if c.deadline < c.aim:
                raise ValueError(f"`classes[{i}].deadline` is under the aim")
            if c.effect == "keyed" and not c.window:
                raise ValueError(f"`classes[{i}].window` is missing: a keyed class needs one")
        if self.clients.try_share[0] > self.clients.try_share[1]:
            raise ValueError("`clients.try_share` is the wrong way round")
        if [at for at, _ in self.load.steps] != sorted(at for at, _ in self.load.steps):
            raise ValueError("`load.steps` are not in the order of time")
        for i, wrong in enumerate(self.sockets.faults):
            if wrong.servers and max(wrong.servers) >= self.servers:
                raise ValueError(f"`sockets.faults[{i}].servers` names a server that is not there")
        for i, f in enumerate(self.faults):
            here = f"`faults[{i}]"
            if f.servers and max(f.servers) >= self.servers:
                raise ValueError(f"{here}.servers` names a server that is not there")
            if f.proxies and max(f.proxies) >= self.proxies:
                raise ValueError(f"{here}.proxies` names a proxy that is not there")
            if f.kind == "tenant_flood" and f.tenant not in [t.name for t in self.tenants]:
                raise ValueError(f"{here}.tenant` is none of the tenants")
            if f.kind in ("quick_errors", "lost_answers", "resets", "hot_key") and f.size > 1:
                raise ValueError(f"{here}.size` is a share here, 1 at most")
            if f.kind == "slow" and f.size < 1:
                raise ValueError(f"{here}.size` is a multiple here, 1 at least")

    def kind_of(self) -> list[int]:
        """The kind of each server, by number: shares mixed evenly, so that any few servers hold all kinds."""
        total, given, out = sum(k.share for k in self.kinds), [0.0] * len(self.kinds), []
        for n in range(1, self.servers + 1):
            k = max(range(len(given)), key=lambda i: (self.kinds[i].share / total * n - given[i], -i))
            given[k] += 1
            out.append(k)
        return out

    def mean_work(self) -> float:
        """Milliseconds of a standard core that a request takes on the mean."""
        return sum(c.share * c.work_ms for c in self.classes) / sum(c.share for c in self.classes)

    def capacity(self) -> float:
        """Requests a second that all servers can do when warm and not crowded."""
        cores = sum(self.kinds[k].cores * self.kinds[k].speed for k in self.kind_of())
        return cores * 1000.0 / self.mean_work()

    def rate(self) -> float:
        """Requests a second over all proxies, on the mean and before steps and faults."""
        return self.load.rate or self.load.of_capacity * self.capacity()


def load(path: str | Path) -> Scenario:
    """Read a scenario; a path without a suffix names one of `testbed/scenarios/`.

    Raises ScenarioError with one line that names the file and the key.
    """
    path = Path(path)
    if not path.suffix and not path.exists():
        path = Path(__file__).parent / "scenarios" / f"{path}.toml"
    try:
        return parse(path.read_bytes())
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None


def parse(text: str | bytes) -> Scenario:
    """Read a scenario from TOML; raises ScenarioError with one line that names the key."""
    try:
        return msgspec.toml.decode(text, type=Scenario)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:  # a ValidationError is a DecodeError
        raise ScenarioError(" ".join(str(error).split())) from None


def built_in() -> list[Path]:
    """The scenarios that come with the testbed, by name."""
    return sorted((Path(__file__).parent / "scenarios").glob("*.toml"))


EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
REPORTS = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency": "svc_ms",
    "rate": "served_ps",
    "errors": "failed_ps",
}


def settings(scenario: Scenario, proxy: int) -> dict[str, Any]:
    """The platform's `settings` for one proxy, as `barleybarrow.settings.read_settings` reads them."""
    rules, capacity = scenario.rules, scenario.capacity()
    classes = [
        {
            "name": c.name,
            "slo": c.aim,
            "deadline": c.deadline,
            "worth": c.worth,
            "lateValue": c.late_worth,
            "repeat": EFFECTS[c.effect],
            "group": c.group,
            "window": c.window,
        }
        for c in scenario.classes
    ]
    tenants = [
        {"name": t.name, "quotaPerS": t.quota * capacity, "portion": t.quota} for t in scenario.tenants
    ]
    return {
        "classes": classes,
        "tick": rules.tick,
        "instances": scenario.proxies,
        "myZone": proxy % len(scenario.zones),
        "membershipMode": "subscribe" if scenario.discovery.mode == "ask" else "push",
        "limits": {
            "attemptsCap": rules.max_attempts,
            "parallelTries": rules.parallel,
            "cancelling": rules.cancelling,
            "probes": rules.probing,
            "retryAfter": rules.max_retry_after > 0,
            "maxRetryAfter": rules.max_retry_after,
            "connIdle": scenario.network.idle_ms,
            "connectTimeout": scenario.network.connect_timeout,
        },
        "rules": {
            "answerSlack": rules.answer_slack,
            "stopSendingWithin": rules.drain_grace,
            "hangUpWithin": rules.hang_up_within,
            "askWithin": rules.ask_within,
            "coldFrom": min(k.cold_from for k in scenario.kinds),
            "cold": max(k.cold_ms for k in scenario.kinds),
            "tipMultiple": rules.tip_multiple,
            "tipAfter": rules.tip_after,
        },
        "report": {
            "how": "pull" if rules.probe_reports else "none",
            "fields": [REPORTS[r] for r in rules.probe_reports],
        },
        "prices": {"crossZone": rules.cross_zone_price, "probe": rules.probe_price},
        "goal": {"whole": rules.whole_weight, "worstClass": rules.worst_class_weight},
        "tenants": tenants,
        "overShareWorth": rules.over_quota_worth,
        "localities": scenario.zones,
        "shapes": [k.name for k in scenario.kinds],
    }
