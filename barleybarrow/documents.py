"""The operator's configuration as typed values, shared by the control plane and the data plane.

Plain data: no checks and no I/O here. `brackenusher.settings.documents` reads and checks what an operator
sends (keys in Pascal case) and makes a `Configuration` of it; feeds carry it as JSON with these field names.
"""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What may be repeated: `safe` requests may run more than once, the others at most once for each try."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class QuotaUnit(StrEnum):
    """What `rate_per_s` and `burst` of a tenant count."""

    REQUESTS = "request_rate"
    TOKENS = "token_rate"


@dataclass(slots=True)
class WeightedService:
    """One part of a traffic split."""

    service: str
    weight: float


@dataclass(slots=True)
class Route:
    """Which requests go to which service, and under what terms. Times are milliseconds."""

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
    """A model that the engines of a service hold."""

    name: str
    generation: int = 0


@dataclass(slots=True)
class Engine:
    """What the operator tells about the engines of a service."""

    slots: int = 0
    kv_capacity_tokens: int = 0
    kv_token_bytes: int = 0
    link_mbps: float = 0.0
    stride: int = 1  # tokens in one event of a stream
    models: list[EngineModel] = field(default_factory=list)


@dataclass(slots=True)
class Service:
    """A group of servers that answer the same requests."""

    name: str
    health_path: str = "/health"
    max_connections: int = 0  # that one server accepts from all callers together; 0: not stated
    protocol: str = "h1"
    tls: bool = False
    engine: Engine | None = None


@dataclass(slots=True)
class ClientLimits:
    """Bounds on what a client may send and how long it may take. 0: none."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: float = 0.0
    idle_timeout_ms: float = 0.0


@dataclass(slots=True)
class Tenant:
    """Who pays: its keys and its quota over all proxies. A rate of 0 means no limit."""

    name: str
    api_keys: list[str] = field(default_factory=list)
    priority: int | None = None
    unit: str = QuotaUnit.REQUESTS
    plain_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(slots=True)
class Configuration:
    """One version of the whole configuration; versions rise by uneven steps."""

    generation: int
    routes: list[Route] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    limits: ClientLimits = field(default_factory=ClientLimits)
    tenants: list[Tenant] = field(default_factory=list)


@dataclass(slots=True)
class ConfigurationDelta:
    """What turns one version into another: whole items by name, and names to remove."""

    base_generation: int
    generation: int
    routes: list[Route] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    tenants: list[Tenant] = field(default_factory=list)
    limits: ClientLimits | None = None
    removed_routes: list[str] = field(default_factory=list)
    removed_services: list[str] = field(default_factory=list)
    removed_tenants: list[str] = field(default_factory=list)
