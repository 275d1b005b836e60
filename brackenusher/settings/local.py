"""The settings of one process as typed values; `brackenusher.settings.reading` parses and validates them.

Names, units and meanings are those of the settings file (TOML, keys in Pascal case; here in snake case).
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class ListenAddresses:
    """Listen addresses "ip:port"; empty where the process has no such listener."""

    front: str = ""
    ready: str = ""
    control: str = ""


@dataclass(slots=True)
class MachineLimits:
    """Resources of the machine that the process may use."""

    cpu_share: float = 1.0
    cpu_cores: int = 1
    memory_mb: int = 256
    max_fds: int = 1024
    link_mbps: float = 1000.0
    disk_mb: int = 0


@dataclass(slots=True)
class FaultTolerance:
    """Simultaneous failures tolerated without breaking any guarantee: quorum machines, zones, regions."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@dataclass(slots=True)
class Bounds:
    """Bounds of the guarantees; the suffix of a name is its unit (seconds or milliseconds)."""

    seed_lag_s: float = 3.0
    addr_reuse_s: float = 2.0
    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    catch_up_s: float = 4.0
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2000.0
    rollback_slack_ms: float = 250.0
    max_skew_ms: float = 5000.0
    strict_revocation: bool = False
    revoke_ms: float = 5000.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_budget_min: float = 60.0
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0
    recover_s: float = 12.0
    pass_ms: float = 120.0
    again_s: float = 3.0


@dataclass(slots=True)
class LocalSettings:
    """All settings of one process."""

    node_name: str
    role: str
    ip: str
    zone: str
    region: str = ""
    machine_class: str = ""
    serves: list[str] = field(default_factory=list)
    internal_port_range: list[int] = field(default_factory=lambda: [0, 0])
    seed_nodes: list[str] = field(default_factory=list)  # control addresses "ip:port"
    bootstrap: bool = False  # true only for the first start of a new system, on empty disks
    counts_for_quorum: bool = False
    data_dir: str = ""  # empty: diskless
    heartbeat_ms: float = 1000.0
    log_level: str = "info"  # of this project's loggers: "debug", "info", "warning" or "error"
    contracts: list[str] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)
    listen: ListenAddresses = field(default_factory=ListenAddresses)
    limits: MachineLimits = field(default_factory=MachineLimits)
    fault_tolerance: FaultTolerance = field(default_factory=FaultTolerance)
    bounds: Bounds = field(default_factory=Bounds)

    @property
    def control_internal_port(self) -> int:
        """The port on which a control process listens for peers; the same on all machines."""
        return self.internal_port_range[0]

    @property
    def proxy_internal_port(self) -> int:
        """The port on which a proxy process listens for peers; the same on all machines."""
        return self.internal_port_range[0] + 1
