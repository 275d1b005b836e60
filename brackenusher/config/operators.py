"""The operators' file: enabled features and their settings, in properties format."""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from barleybarrow import interface as face
from barleybarrow.connections import ConnectionSettings
from barleybarrow.rate_limiter import Limit, RateLimiterSettings
from barleybarrow.subsets import Subset
from barleybarrow.tokens import KID, TokenSettings
from brackenusher.config.platform import ConfigError, read_address
from brackenusher.runtime.driver import Address
from brackenusher.runtime.log import FORMATS

MOST_SEEDS = 32  # tried in turn until one answers
LEAST_KEY = 16  # bytes; a shorter key is accepted with a warning


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
    def known_as(self) -> Address:
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
class Operator:
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


class Entries:
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

    def take(self, key: str, read: Callable[[str], Any], default: Any = None) -> Any:
        """The value of a key, or the default if the file lacks it."""
        if key not in self.values:
            return default
        try:
            return read(self.values.pop(key).strip())
        except ValueError as error:
            raise self.error(key, str(error)) from error

    def family(self, prefix: str, read: Callable[[str], Any]) -> dict[str, Any]:
        """The values of all keys with a prefix, by the rest of the key."""
        keys = [key for key in self.values if key.startswith(prefix) and len(key) > len(prefix)]
        return {key.removeprefix(prefix): self.take(key, read) for key in keys}

    def done(self) -> None:
        for key in self.values:
            raise self.error(key, "is not known")


def switch(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(f"must be true or false, not {text!r}")
    return text == "true"


def choice(*words: str) -> Callable[[str], str]:
    def read(text: str) -> str:
        if text not in words:
            raise ValueError(f"must be {' or '.join(words)}, not {text!r}")
        return text

    return read


def whole(least: int, most: int) -> Callable[[str], int]:
    """A reader of integers within bounds."""

    def read(text: str) -> int:
        if not re.fullmatch(r"[0-9]{1,12}", text, re.ASCII) or not least <= int(text) <= most:
            raise ValueError(f"must be a whole number from {least} to {most}, not {text!r}")
        return int(text)

    return read


def rate(text: str) -> float:
    """Requests per second; 0, or large enough that the wait for a token is bounded."""
    number = float(text) if re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", text, re.ASCII) else -1.0
    if number and not 0.001 <= number <= 1_000_000:
        raise ValueError(f"must be 0 or a number from 0.001 to 1000000, not {text!r}")
    return number


BURST = whole(1, 1_000_000)


def read_door(entries: Entries) -> RateLimiterSettings:
    least = RateLimiterSettings()
    address = Limit(
        entries.take("door.rate.address", rate, least.address.rate),
        entries.take("door.burst.address", BURST, least.address.burst),
    )
    rates, bursts = entries.family("door.rate.", rate), entries.family("door.burst.", BURST)
    tenants = {
        name: Limit(rates.get(name, least.tenant.rate), bursts.get(name, least.tenant.burst))
        for name in rates | bursts
    }
    return RateLimiterSettings(
        by_address=entries.take("door.key", choice("tenant", "address"), "tenant") == "address",
        address=address,
        tenants=tenants,
        table=entries.take("door.table", whole(1, 100_000), least.table),
    )


def path(text: str) -> str:
    if not text or "\0" in text:
        raise ValueError(f"must be a path, not {text!r}")
    return text


def read_capture(entries: Entries) -> CaptureSettings:
    least = CaptureSettings()
    return CaptureSettings(
        folder=entries.take("capture.dir", path),
        files=entries.take("capture.files", whole(1, 1000), least.files),
        file_kb=entries.take("capture.file_kb", whole(16, 1_048_576), least.file_kb),
    )


def key(text: str) -> bytes:
    """A key in hexadecimal; error messages do not show it."""
    if not re.fullmatch(r"([0-9A-Fa-f]{2})+", text, re.ASCII):
        raise ValueError("must be hexadecimal, two digits a byte")
    return bytes.fromhex(text)


def read_token(entries: Entries) -> TokenSettings:
    keys = entries.family("token.key.", key)
    for kid in keys:
        if not KID.match(kid):
            raise entries.error(f"token.key.{kid}", "must end in letters, digits, _ or -, 64 at most")
    return TokenSettings(keys, entries.take("token.skew", whole(0, 86_400), TokenSettings().skew))


def target(text: str) -> Address | str | None:
    """The target of metrics: standard error (None), a file (its path), or a UDP port (its address)."""
    form, _, rest = text.partition(":")
    if text == "stderr":
        return None
    if form == "file" and rest:
        return path(rest)
    if form == "udp" and rest:
        host, port = read_address(rest, "udp")  # no host names: resolving one could block
        return str(ip_address(host.removeprefix("[").removesuffix("]"))), whole(1, 65_535)(str(port))
    raise ValueError(f"must be stderr, file:<path> or udp:<addr:port>, not {text!r}")


def read_figures(entries: Entries) -> FiguresSettings:
    least = FiguresSettings()
    return FiguresSettings(
        influx=entries.take("figures.format", choice("statsd", "influx"), "statsd") == "influx",
        target=entries.take("figures.target", target, least.target),
        flush_ms=entries.take("figures.flush_ms", whole(10, 3_600_000), least.flush_ms),
        batch_bytes=entries.take("figures.batch_bytes", whole(256, 32_768), least.batch_bytes),
    )


def ip_port(text: str) -> Address:
    """An IP address and port; host names are rejected, as resolving one could block."""
    host, port = read_address(text, "an address")
    ip = ip_address(host.removeprefix("[").removesuffix("]"))
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"must be the address of one machine, not {text!r}")
    return str(ip), whole(1, 65_535)(str(port))


def ip_ports(text: str) -> tuple[Address, ...]:
    found = tuple(ip_port(part.strip()) for part in text.split(",") if part.strip())
    if len(found) > MOST_SEEDS:
        raise ValueError(f"must name {MOST_SEEDS} at most")
    return found


def read_peers(entries: Entries) -> PeersSettings:
    least, keys = PeersSettings(), entries.family("peers.key.", key)
    for kid in keys:
        if not KID.match(kid):
            raise entries.error(f"peers.key.{kid}", "must end in letters, digits, _ or -, 64 at most")
    sign = entries.take("peers.sign", str, next(iter(keys)) if len(keys) == 1 else "")
    if sign and sign not in keys:
        raise entries.error("peers.sign", f"names no key: there is no peers.key.{sign}")
    return PeersSettings(
        listen=entries.take("peers.listen", ip_port, least.listen),
        advertise=entries.take("peers.advertise", ip_port, least.advertise),
        seeds=entries.take("peers.seeds", ip_ports, least.seeds),
        keys=keys,
        sign=sign,
        period_ms=entries.take("peers.period_ms", whole(100, 60_000), least.period_ms),
        warm_ms=entries.take("peers.warm_ms", whole(0, 900), least.warm_ms),
        ask=entries.take("peers.ask", whole(0, 8), least.ask),
    )


def voter_names(text: str) -> tuple[str, ...]:
    found = tuple(part.strip() for part in text.split(",") if part.strip())
    if len(found) not in (0, 1, 3, 4, 5, 6, 7) or len(set(found)) < len(found):
        raise ValueError("must name 1 or 3 to 7 proxies, each once")
    if any(len(name) > 64 or not name.isprintable() for name in found):
        raise ValueError("a name has 64 printable characters at most")
    return found


def read_policy(entries: Entries) -> PolicySettings:
    return PolicySettings(
        voters=entries.take("policy.voters", voter_names, ()),
        folder=entries.take("policy.folder", path, ""),
        fence=entries.take("policy.unreachable", choice("wait", "fence"), "wait") == "fence",
        within_s=entries.take("policy.within_s", whole(1, 3600), PolicySettings().within_s),
    )


def read_replica(entries: Entries) -> ReplicaSettings:
    least = ReplicaSettings()
    return ReplicaSettings(
        keepers=entries.take("replica.keepers", voter_names, ()),
        folder=entries.take("replica.folder", path, ""),
        from_empty=entries.take("replica.from_empty", switch, least.from_empty),
        refuse=entries.take("replica.behind", choice("serve", "refuse"), "serve") == "refuse",
        within_s=entries.take("replica.within_s", whole(1, 3600), least.within_s),
        limits=entries.take("replica.limits", switch, least.limits),
        fates=entries.take("replica.fates", switch, least.fates),
        entries=entries.take("replica.entries", whole(10, 1_000_000), least.entries),
    )


def read_snapshot(entries: Entries) -> SnapshotSettings:
    return SnapshotSettings(
        file=entries.take("snapshot.file", path, ""),
        every_s=entries.take("snapshot.every_s", whole(1, 3600), SnapshotSettings().every_s),
    )


def read_http2(entries: Entries) -> Http2Settings:
    least = Http2Settings(("", 0))
    return Http2Settings(
        listen=entries.take("http2.listen", lambda text: read_address(text, "http2.listen"), least.listen),
        streams=entries.take("http2.streams", whole(1, 1000), least.streams),
        head_bytes=entries.take("http2.head_bytes", whole(1024, 65_536), least.head_bytes),
        frames=entries.take("http2.frames", whole(10, 100_000), least.frames),
        connection_kb=entries.take("http2.connection_kb", whole(128, 65_536), least.connection_kb),
        held_kb=entries.take("http2.held_kb", whole(128, 1_048_576), least.held_kb),
        idle_ms=entries.take("http2.idle_ms", whole(1000, 3_600_000), least.idle_ms),
        answer_ms=entries.take("http2.answer_ms", whole(1000, 600_000), least.answer_ms),
    )


def read_connections(entries: Entries) -> ConnectionSettings:
    least = ConnectionSettings()
    return ConnectionSettings(
        learn=entries.take("connections.learn", switch, least.learn),
        rescue=entries.take("connections.rescue", switch, least.rescue),
        rest=entries.take("connections.rest", switch, least.rest),
        age=1000.0 * entries.take("connections.age_s", whole(0, 86_400), 0),
        requests=entries.take("connections.requests", whole(0, 1_000_000_000), least.requests),
        ahead=entries.take("connections.ahead", switch, least.ahead),
        spare=entries.take("connections.ahead.spare", whole(0, 1000), least.spare),
        hold=1000.0 * entries.take("connections.ahead.hold_s", whole(1, 3600), int(least.hold / 1000)),
        pace=float(entries.take("connections.ahead.pace", whole(1, 1000), int(least.pace))),
        subset=entries.take("connections.subset", whole(0, 100_000), least.subset),
        subset_index=entries.take("connections.subset.index", whole(0, 99_999), least.subset_index),
        subset_proxies=entries.take("connections.subset.proxies", whole(1, 100_000), least.subset_proxies),
    )


FEATURES: dict[str, Callable[[Entries], Any]] = {
    "door": read_door,
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


def read_operator(path: str, text: str) -> Operator:
    """Parse the whole file; settings of disabled features are validated too."""
    entries = Entries(path, text)
    on = {name: entries.take(f"{name}.enabled", switch, False) for name in FEATURES}
    features = {name: read(entries) for name, read in FEATURES.items()}
    log_format = entries.take("log.format", choice(*FORMATS), "text")
    entries.done()
    if on["token"] and not features["token"].keys:
        raise entries.error("token.key.<kid>", "is missing: tokens need a key")
    if on["peers"]:
        peers: PeersSettings = features["peers"]
        for name, value in (("listen", peers.listen[0]), ("key.<kid>", peers.keys), ("sign", peers.sign)):
            if not value:
                raise entries.error(f"peers.{name}", "is missing: peers need it")
    for what, who in (("policy", "voters"), ("replica", "keepers")):
        if not on[what]:
            continue
        if not on["peers"]:
            raise entries.error(f"{what}.enabled", "needs peers.enabled")
        for name in (who, "folder"):
            if not getattr(features[what], name):
                raise entries.error(f"{what}.{name}", f"is missing: a {what} needs it")
    if on["snapshot"] and not features["snapshot"].file:
        raise entries.error("snapshot.file", "is missing: snapshots need a file")
    if on["http2"] and not features["http2"].listen[0]:
        raise entries.error("http2.listen", "is missing: HTTP/2 needs an address of its own")
    chosen = {name: settings for name, settings in features.items() if on[name]}
    return Operator(**chosen, log_format=log_format)


def read_subset(operator: Operator, worded: Mapping[str, Any]) -> Subset | None:
    """The subset of servers that this proxy uses; index and number of proxies default to the platform's."""
    wanted = operator.connections
    if wanted is None or not wanted.subset:
        return None
    proxies = wanted.subset_proxies or int(worded.get("instances", 1))
    index = wanted.subset_index if wanted.subset_index >= 0 else int(worded.get("me", -1))
    if not 0 <= index < proxies:
        raise ConfigError(
            f"connections.subset.index: {index} is no number below that of the proxies, {proxies}"
        )
    return Subset(wanted.subset, index, proxies)


def doubts(operator: Operator, settings: face.Settings) -> list[str]:
    """Warnings on settings that are valid, as tenants come and go, but may be mistakes."""
    tenants = operator.door.tenants if operator.door and settings.tenants else ()
    keys = operator.token.keys if operator.token else {}
    found = [f"door: the settings name no tenant {name}" for name in tenants if name not in settings.tenants]
    found += [f"token: the key {kid} is short" for kid, key in keys.items() if len(key) < LEAST_KEY]
    shared = operator.peers.keys if operator.peers else {}
    return found + [f"peers: the key {kid} is short" for kid, key in shared.items() if len(key) < LEAST_KEY]


def read_text(name: str) -> str:
    try:
        return Path(name).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise ConfigError(f"{name}: {error}") from error


def load_operator(name: str | None) -> Operator:
    """Read the operators' file; without one all features are off."""
    return Operator() if name is None else read_operator(name, read_text(name))


def load_peers(name: str) -> PeersSettings:
    """The settings of peers, even if they are disabled: commands that query a proxy need them too."""
    text = read_text(name)
    read_operator(name, text)
    return read_peers(Entries(name, text))


def load_tokens(name: str) -> TokenSettings:
    """The settings of tokens, even if they are disabled: the issuer of tokens need not be a proxy."""
    text = read_text(name)
    read_operator(name, text)
    return read_token(Entries(name, text))
