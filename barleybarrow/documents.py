"""The operator's configuration as typed values, shared by the control plane and the data plane.

Plain data, without validation or I/O. `brackenusher.settings.documents` parses and validates what an operator
sends (keys in Pascal case) into a `Configuration`; feeds carry it as JSON with these field names.
"""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """Whether requests may be retried: `safe` ones may run more than once, others once for each attempt."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class QuotaUnit(StrEnum):
    """The unit of a tenant's `rate_per_s` and `burst`."""

    REQUESTS = "request_rate"
    TOKENS = "token_rate"


@dataclass(slots=True)
class WeightedService:
    """One service of a traffic split and its weight."""

    service: str
    weight: float


@dataclass(slots=True)
class Route:
    """Maps requests to a service, with their time-outs and retry rules. Times are in milliseconds."""

    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    priority: int = 5
    service: str = ""
    traffic_split: list[WeightedService] = field(default_factory=list)
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


@dataclass(slots=True)
class EngineModel:
    """A model that the engines of a service have loaded."""

    name: str
    generation: int = 0


@dataclass(slots=True)
class Engine:
    """The operator's description of the engines of a service."""

    slots: int = 0
    kv_capacity_tokens: int = 0
    kv_token_bytes: int = 0
    link_mbps: float = 0.0
    stride: int = 1  # tokens per event of a stream
    models: list[EngineModel] = field(default_factory=list)


@dataclass(slots=True)
class Service:
    """A group of interchangeable servers."""

    name: str
    health_path: str = "/health"
    max_connections: int = 0  # that one server accepts from all callers together; 0: unspecified
    protocol: str = "h1"
    tls: bool = False
    engine: Engine | None = None


@dataclass(slots=True)
class ClientLimits:
    """Limits on the size and duration of client requests. 0: no limit."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: float = 0.0
    idle_timeout_ms: float = 0.0


@dataclass(slots=True)
class Tenant:
    """A tenant with its API keys and its quota over all proxies. A rate of 0 means no limit."""

    name: str
    api_keys: list[str] = field(default_factory=list)
    priority: int | None = None
    unit: str = QuotaUnit.REQUESTS
    plain_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(slots=True)
class Configuration:
    """One version of the whole configuration; generations increase, with gaps."""

    generation: int
    routes: list[Route] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    limits: ClientLimits = field(default_factory=ClientLimits)
    tenants: list[Tenant] = field(default_factory=list)


@dataclass(slots=True)
class ConfigurationDelta:
    """The difference between two versions: complete items to set by name, and names to remove."""

    base_generation: int
    generation: int
    routes: list[Route] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    tenants: list[Tenant] = field(default_factory=list)
    limits: ClientLimits | None = None
    removed_routes: list[str] = field(default_factory=list)
    removed_services: list[str] = field(default_factory=list)
    removed_tenants: list[str] = field(default_factory=list)
