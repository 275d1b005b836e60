"""The operators' file: enabled features and their settings, in properties format."""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from barleybarrow import interface as face
from barleybarrow.connection_records import ConnectionSettings
from barleybarrow.rate_limiter import RateLimit, RateLimiterSettings
from barleybarrow.subsets import Subset
from barleybarrow.tokens import KEY_ID_PATTERN, TokenSettings
from brackenusher.config.platform import ConfigError, read_address
from brackenusher.runtime.driver import Address
from brackenusher.runtime.log import FORMATS

MAX_SEEDS = 32  # tried in turn until one answers
MIN_KEY_BYTES = 16  # a shorter key is accepted with a warning


@dataclass(frozen=True)
class CaptureSettings:
    """Where captures are written; without a folder, to standard error."""

    folder: str | None = None
    files: int = 8
    file_kb: int = 512


@dataclass(frozen=True)
class FiguresSettings:
    """Format and destination of metrics; the target is an address, a path, or None for standard error."""

    influx: bool = False
    target: Address | str | None = None
    flush_ms: int = 1000
    batch_bytes: int = 1400


@dataclass(frozen=True)
class PeersSettings:
    """Peering with other proxies to share knowledge: addresses, seeds and keys."""

    listen: Address = ("", 0)  # IP address and port, for datagrams and requests of peers
    advertise: Address = ("", 0)  # address given to peers; defaults to `listen`
    seeds: tuple[Address, ...] = ()
    keys: Mapping[str, bytes] = field(default_factory=dict, repr=False)
    sign: str = ""  # id of the key that authenticates outgoing messages
    period_ms: int = 1000
    warm_ms: int = 300
    ask: int = 3

    @property
    def advertised_address(self) -> Address:
        return self.advertise if self.advertise[0] else self.listen


@dataclass(frozen=True)
class PolicySettings:
    """Policy replicated by the group: voters, storage, and what to do about unreachable proxies."""

    voters: tuple[str, ...] = ()
    folder: str = ""
    fence: bool = False
    within_s: int = 30


@dataclass(frozen=True)
class ReplicaSettings:
    """Replicated state: which proxies store it on disk, where, and what to do until caught up."""

    keepers: tuple[str, ...] = ()
    folder: str = ""
    from_empty: bool = False  # set the folder's contents aside: the disk was lost or cannot be trusted
    refuse: bool = False  # refuse requests until caught up; otherwise serve with a warning after within_s
    within_s: int = 5
    limits: bool = True  # rate limits of tenants apply to all proxies together
    fates: bool = True  # replicate idempotency records; for groups of up to ten proxies
    entries: int = 20_000


@dataclass(frozen=True)
class SnapshotSettings:
    """Where knowledge is saved, and at what interval."""

    file: str = ""
    every_s: int = 10


@dataclass(frozen=True)
class Http2Settings:
    """HTTP/2 for clients; docs/http2.md explains each default."""

    listen: Address
    streams: int = (
        100  # concurrent streams per connection; the minimum that RFC 9113, section 6.5.2, recommends
    )
    head_bytes: int = 16 * 1024  # size of a request's header list; same limit as for HTTP/1.1
    frames: int = 100  # per second, of frames that cost work but carry no request; burst of twice as many
    connection_kb: int = 1024  # buffered request and response bodies per connection
    held_kb: int = 8 * 1024  # the same for all connections together
    idle_ms: int = 30_000  # how long a connection without streams is kept
    answer_ms: int = 10_000  # time for a client to read a response, as for HTTP/1.1


@dataclass(frozen=True)
class OperatorSettings:
    """Settings of the enabled features; None if a feature is off."""

    door: RateLimiterSettings | None = None
    capture: CaptureSettings | None = None
    token: TokenSettings | None = None
    figures: FiguresSettings | None = None
    peers: PeersSettings | None = None
    snapshot: SnapshotSettings | None = None
    policy: PolicySettings | None = None
    replica: ReplicaSettings | None = None
    http2: Http2Settings | None = None
    connections: ConnectionSettings | None = None
    log_format: str = "text"

    @property
    def features(self) -> list[str]:
        return [name for name in FEATURES if getattr(self, name) is not None]


class Properties:
    """Entries of the file, each read once; those left over are unknown keys."""

    def __init__(self, path: str, text: str) -> None:
        import javaproperties  # 50 ms and 3 MB, as it imports XML and TLS: only if there is a file

        self.path = path
        self.values: dict[str, str] = {}
        try:
            for element in javaproperties.parse(text):
                if isinstance(element, javaproperties.KeyValue):
                    if element.key in self.values:
                        raise self.error(element.key, "is there twice")
                    self.values[element.key] = element.value
        except javaproperties.InvalidUEscapeError as error:
            raise ConfigError(f"{path}: {error}") from error

    def error(self, key: str, what: str) -> ConfigError:
        return ConfigError(f"{self.path}: {key} {what}")

    def get(self, key: str, read: Callable[[str], Any], default: Any = None) -> Any:
        """The value of a key, or the default if the file lacks it."""
        if key not in self.values:
            return default
        try:
            return read(self.values.pop(key).strip())
        except ValueError as error:
            raise self.error(key, str(error)) from error

    def get_prefixed(self, prefix: str, read: Callable[[str], Any]) -> dict[str, Any]:
        """The values of all keys with a prefix, by the rest of the key."""
        keys = [key for key in self.values if key.startswith(prefix) and len(key) > len(prefix)]
        return {key.removeprefix(prefix): self.get(key, read) for key in keys}

    def reject_unknown(self) -> None:
        for key in self.values:
            raise self.error(key, "is not known")


def parse_bool(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(f"must be true or false, not {text!r}")
    return text == "true"


def one_of(*words: str) -> Callable[[str], str]:
    def read(text: str) -> str:
        if text not in words:
            raise ValueError(f"must be {' or '.join(words)}, not {text!r}")
        return text

    return read


def integer(minimum: int, maximum: int) -> Callable[[str], int]:
    """A reader of integers within bounds."""

    def read(text: str) -> int:
        if not re.fullmatch(r"[0-9]{1,12}", text, re.ASCII) or not minimum <= int(text) <= maximum:
            raise ValueError(f"must be a whole number from {minimum} to {maximum}, not {text!r}")
        return int(text)

    return read


def parse_rate(text: str) -> float:
    """Requests per second; 0, or large enough that the wait for a token is bounded."""
    number = float(text) if re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", text, re.ASCII) else -1.0
    if number and not 0.001 <= number <= 1_000_000:
        raise ValueError(f"must be 0 or a number from 0.001 to 1000000, not {text!r}")
    return number


parse_burst = integer(1, 1_000_000)


def read_rate_limiter(properties: Properties) -> RateLimiterSettings:
    defaults = RateLimiterSettings()
    address = RateLimit(
        properties.get("door.rate.address", parse_rate, defaults.address.rate),
        properties.get("door.burst.address", parse_burst, defaults.address.burst),
    )
    rates, bursts = (
        properties.get_prefixed("door.rate.", parse_rate),
        properties.get_prefixed("door.burst.", parse_burst),
    )
    tenants = {
        name: RateLimit(rates.get(name, defaults.tenant.rate), bursts.get(name, defaults.tenant.burst))
        for name in rates | bursts
    }
    return RateLimiterSettings(
        by_address=properties.get("door.key", one_of("tenant", "address"), "tenant") == "address",
        address=address,
        tenants=tenants,
        max_buckets=properties.get("door.table", integer(1, 100_000), defaults.max_buckets),
    )


def parse_path(text: str) -> str:
    if not text or "\0" in text:
        raise ValueError(f"must be a path, not {text!r}")
    return text


def read_capture(properties: Properties) -> CaptureSettings:
    defaults = CaptureSettings()
    return CaptureSettings(
        folder=properties.get("capture.dir", parse_path),
        files=properties.get("capture.files", integer(1, 1000), defaults.files),
        file_kb=properties.get("capture.file_kb", integer(16, 1_048_576), defaults.file_kb),
    )


def parse_key(text: str) -> bytes:
    """A key in hexadecimal; error messages do not show it."""
    if not re.fullmatch(r"([0-9A-Fa-f]{2})+", text, re.ASCII):
        raise ValueError("must be hexadecimal, two digits a byte")
    return bytes.fromhex(text)


def read_token(properties: Properties) -> TokenSettings:
    keys = properties.get_prefixed("token.key.", parse_key)
    for kid in keys:
        if not KEY_ID_PATTERN.match(kid):
            raise properties.error(f"token.key.{kid}", "must end in letters, digits, _ or -, 64 at most")
    return TokenSettings(keys, properties.get("token.skew", integer(0, 86_400), TokenSettings().skew_s))


def parse_target(text: str) -> Address | str | None:
    """The target of metrics: standard error (None), a file (its path), or a UDP port (its address)."""
    scheme, _, rest = text.partition(":")
    if text == "stderr":
        return None
    if scheme == "file" and rest:
        return parse_path(rest)
    if scheme == "udp" and rest:
        host, port = read_address(rest, "udp")  # no host names: resolving one could block
        return str(ip_address(host.removeprefix("[").removesuffix("]"))), integer(1, 65_535)(str(port))
    raise ValueError(f"must be stderr, file:<path> or udp:<addr:port>, not {text!r}")


def read_figures(properties: Properties) -> FiguresSettings:
    defaults = FiguresSettings()
    return FiguresSettings(
        influx=properties.get("figures.format", one_of("statsd", "influx"), "statsd") == "influx",
        target=properties.get("figures.target", parse_target, defaults.target),
        flush_ms=properties.get("figures.flush_ms", integer(10, 3_600_000), defaults.flush_ms),
        batch_bytes=properties.get("figures.batch_bytes", integer(256, 32_768), defaults.batch_bytes),
    )


def parse_address(text: str) -> Address:
    """An IP address and port; host names are rejected, as resolving one could block."""
    host, port = read_address(text, "an address")
    ip = ip_address(host.removeprefix("[").removesuffix("]"))
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"must be the address of one machine, not {text!r}")
    return str(ip), integer(1, 65_535)(str(port))


def parse_addresses(text: str) -> tuple[Address, ...]:
    addresses = tuple(parse_address(item.strip()) for item in text.split(",") if item.strip())
    if len(addresses) > MAX_SEEDS:
        raise ValueError(f"must name {MAX_SEEDS} at most")
    return addresses


def read_peers(properties: Properties) -> PeersSettings:
    defaults, keys = PeersSettings(), properties.get_prefixed("peers.key.", parse_key)
    for kid in keys:
        if not KEY_ID_PATTERN.match(kid):
            raise properties.error(f"peers.key.{kid}", "must end in letters, digits, _ or -, 64 at most")
    sign = properties.get("peers.sign", str, next(iter(keys)) if len(keys) == 1 else "")
    if sign and sign not in keys:
        raise properties.error("peers.sign", f"names no key: there is no peers.key.{sign}")
    return PeersSettings(
        listen=properties.get("peers.listen", parse_address, defaults.listen),
        advertise=properties.get("peers.advertise", parse_address, defaults.advertise),
        seeds=properties.get("peers.seeds", parse_addresses, defaults.seeds),
        keys=keys,
        sign=sign,
        period_ms=properties.get("peers.period_ms", integer(100, 60_000), defaults.period_ms),
        warm_ms=properties.get("peers.warm_ms", integer(0, 900), defaults.warm_ms),
        ask=properties.get("peers.ask", integer(0, 8), defaults.ask),
    )


def parse_voters(text: str) -> tuple[str, ...]:
    names = tuple(item.strip() for item in text.split(",") if item.strip())
    if len(names) not in (0, 1, 3, 4, 5, 6, 7) or len(set(names)) < len(names):
        raise ValueError("must name 1 or 3 to 7 proxies, each once")
    if any(len(name) > 64 or not name.isprintable() for name in names):
        raise ValueError("a name has 64 printable characters at most")
    return names


def read_policy(properties: Properties) -> PolicySettings:
    return PolicySettings(
        voters=properties.get("policy.voters", parse_voters, ()),
        folder=properties.get("policy.folder", parse_path, ""),
        fence=properties.get("policy.unreachable", one_of("wait", "fence"), "wait") == "fence",
        within_s=properties.get("policy.within_s", integer(1, 3600), PolicySettings().within_s),
    )


def read_replica(properties: Properties) -> ReplicaSettings:
    defaults = ReplicaSettings()
    return ReplicaSettings(
        keepers=properties.get("replica.keepers", parse_voters, ()),
        folder=properties.get("replica.folder", parse_path, ""),
        from_empty=properties.get("replica.from_empty", parse_bool, defaults.from_empty),
        refuse=properties.get("replica.behind", one_of("serve", "refuse"), "serve") == "refuse",
        within_s=properties.get("replica.within_s", integer(1, 3600), defaults.within_s),
        limits=properties.get("replica.limits", parse_bool, defaults.limits),
        fates=properties.get("replica.fates", parse_bool, defaults.fates),
        entries=properties.get("replica.entries", integer(10, 1_000_000), defaults.entries),
    )


def read_snapshot(properties: Properties) -> SnapshotSettings:
    return SnapshotSettings(
        file=properties.get("snapshot.file", parse_path, ""),
        every_s=properties.get("snapshot.every_s", integer(1, 3600), SnapshotSettings().every_s),
    )


def read_http2(properties: Properties) -> Http2Settings:
    defaults = Http2Settings(("", 0))
    return Http2Settings(
        listen=properties.get(
            "http2.listen", lambda text: read_address(text, "http2.listen"), defaults.listen
        ),
        streams=properties.get("http2.streams", integer(1, 1000), defaults.streams),
        head_bytes=properties.get("http2.head_bytes", integer(1024, 65_536), defaults.head_bytes),
        frames=properties.get("http2.frames", integer(10, 100_000), defaults.frames),
        connection_kb=properties.get("http2.connection_kb", integer(128, 65_536), defaults.connection_kb),
        held_kb=properties.get("http2.held_kb", integer(128, 1_048_576), defaults.held_kb),
        idle_ms=properties.get("http2.idle_ms", integer(1000, 3_600_000), defaults.idle_ms),
        answer_ms=properties.get("http2.answer_ms", integer(1000, 600_000), defaults.answer_ms),
    )


def read_connections(properties: Properties) -> ConnectionSettings:
    defaults = ConnectionSettings()
    return ConnectionSettings(
        learn=properties.get("connections.learn", parse_bool, defaults.learn),
        retry_unsent=properties.get("connections.rescue", parse_bool, defaults.retry_unsent),
        delay_reuse=properties.get("connections.rest", parse_bool, defaults.delay_reuse),
        max_age_ms=1000.0 * properties.get("connections.age_s", integer(0, 86_400), 0),
        max_requests=properties.get("connections.requests", integer(0, 1_000_000_000), defaults.max_requests),
        preconnect=properties.get("connections.ahead", parse_bool, defaults.preconnect),
        spare_connections=properties.get(
            "connections.ahead.spare", integer(0, 1000), defaults.spare_connections
        ),
        peak_window_ms=1000.0
        * properties.get("connections.ahead.hold_s", integer(1, 3600), int(defaults.peak_window_ms / 1000)),
        preconnects_per_s=float(
            properties.get("connections.ahead.pace", integer(1, 1000), int(defaults.preconnects_per_s))
        ),
        subset_size=properties.get("connections.subset", integer(0, 100_000), defaults.subset_size),
        subset_index=properties.get("connections.subset.index", integer(0, 99_999), defaults.subset_index),
        subset_proxies=properties.get(
            "connections.subset.proxies", integer(1, 100_000), defaults.subset_proxies
        ),
    )


FEATURES: dict[str, Callable[[Properties], Any]] = {
    "door": read_rate_limiter,
    "capture": read_capture,
    "token": read_token,
    "figures": read_figures,
    "peers": read_peers,
    "policy": read_policy,
    "replica": read_replica,
    "snapshot": read_snapshot,
    "http2": read_http2,
    "connections": read_connections,
}


def parse_operator_settings(path: str, text: str) -> OperatorSettings:
    """Parse the whole file; settings of disabled features are validated too."""
    properties = Properties(path, text)
    enabled = {name: properties.get(f"{name}.enabled", parse_bool, False) for name in FEATURES}
    features = {name: read(properties) for name, read in FEATURES.items()}
    log_format = properties.get("log.format", one_of(*FORMATS), "text")
    properties.reject_unknown()
    if enabled["token"] and not features["token"].keys:
        raise properties.error("token.key.<kid>", "is missing: tokens need a key")
    if enabled["peers"]:
        peers: PeersSettings = features["peers"]
        for name, value in (("listen", peers.listen[0]), ("key.<kid>", peers.keys), ("sign", peers.sign)):
            if not value:
                raise properties.error(f"peers.{name}", "is missing: peers need it")
    for feature, voters_key in (("policy", "voters"), ("replica", "keepers")):
        if not enabled[feature]:
            continue
        if not enabled["peers"]:
            raise properties.error(f"{feature}.enabled", "needs peers.enabled")
        for name in (voters_key, "folder"):
            if not getattr(features[feature], name):
                raise properties.error(f"{feature}.{name}", f"is missing: a {feature} needs it")
    if enabled["snapshot"] and not features["snapshot"].file:
        raise properties.error("snapshot.file", "is missing: snapshots need a file")
    if enabled["http2"] and not features["http2"].listen[0]:
        raise properties.error("http2.listen", "is missing: HTTP/2 needs an address of its own")
    enabled_features = {name: settings for name, settings in features.items() if enabled[name]}
    return OperatorSettings(**enabled_features, log_format=log_format)


def read_subset(operator: OperatorSettings, platform_settings: Mapping[str, Any]) -> Subset | None:
    """The subset of servers that this proxy uses; index and number of proxies default to the platform's."""
    connections = operator.connections
    if connections is None or not connections.subset_size:
        return None
    proxies = connections.subset_proxies or int(platform_settings.get("instances", 1))
    index = (
        connections.subset_index if connections.subset_index >= 0 else int(platform_settings.get("me", -1))
    )
    if not 0 <= index < proxies:
        raise ConfigError(
            f"connections.subset.index: {index} is no number below that of the proxies, {proxies}"
        )
    return Subset(connections.subset_size, index, proxies)


def find_warnings(operator: OperatorSettings, settings: face.Settings) -> list[str]:
    """Warnings on settings that are valid, as tenants come and go, but may be mistakes."""
    tenants = operator.door.tenants if operator.door and settings.tenants else ()
    keys = operator.token.keys if operator.token else {}
    warnings = [
        f"door: the settings name no tenant {name}" for name in tenants if name not in settings.tenants
    ]
    warnings += [f"token: the key {kid} is short" for kid, key in keys.items() if len(key) < MIN_KEY_BYTES]
    peer_keys = operator.peers.keys if operator.peers else {}
    return warnings + [
        f"peers: the key {kid} is short" for kid, key in peer_keys.items() if len(key) < MIN_KEY_BYTES
    ]


def read_text(name: str) -> str:
    try:
        return Path(name).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise ConfigError(f"{name}: {error}") from error


def load_operator_settings(name: str | None) -> OperatorSettings:
    """Read the operators' file; without one all features are off."""
    return OperatorSettings() if name is None else parse_operator_settings(name, read_text(name))


def load_peers_settings(name: str) -> PeersSettings:
    """The settings of peers, even if they are disabled: commands that query a proxy need them too."""
    text = read_text(name)
    parse_operator_settings(name, text)
    return read_peers(Properties(name, text))


def load_token_settings(name: str) -> TokenSettings:
    """The settings of tokens, even if they are disabled: the issuer of tokens need not be a proxy."""
    text = read_text(name)
    parse_operator_settings(name, text)
    return read_token(Properties(name, text))
