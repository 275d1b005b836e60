"""Configuration of the RPC plug-in: reads and validates a mapping or a TOML file.

An error is raised as one `ConfigError` that names the key; unknown keys are errors.
"""

import secrets
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from barleybarrow import interface as face
from barleybarrow.interface import Effect
from barleybarrow.settings import EFFECTS, read_settings
from brackenusher.config.platform import ConfigError, read_address
from brackenusher.runtime.driver import Address

DEFAULT_MAX_OPEN_CALLS = 1000  # concurrent calls, if the settings have no `limits.mostHeld`: some 3 MB
MAX_STATIC_MEMBERS = 10_000  # in a static list
DEFAULT_KEY_METADATA = "idempotency-key"  # metadata or header that carries the idempotency key
STRING_LIST = "names"  # schema type besides Python's own: a list of strings
ANY_TABLE = "open"  # schema type: a table with arbitrary keys

# The platform's settings, as in the configuration of the proxy; most are read by the policy alone.
CLASS_SCHEMA = {
    "name": str,
    "slo": float,
    "deadline": float,
    "worth": float,
    "lateValue": float,
    "repeat": str,
    "group": str,
    "window": float,
    "streamed": bool,
    "aimStretch": float,
}
SETTINGS_SCHEMA: dict[str, Any] = {
    "classes": [CLASS_SCHEMA],
    "clients": ANY_TABLE,
    "countedBy": str,
    "familyInfo": ANY_TABLE,
    "goal": {"whole": float, "worstClass": float, "worstTenant": float, "worstWindow": float},
    "instances": int,
    "layers": STRING_LIST,
    "limits": {
        "attemptsCap": int,
        "cancelling": bool,
        "connIdle": float,
        "connectTimeout": float,
        "cpuUsPerRequest": float,
        "cpuUsPerS": float,
        "maxRetryAfter": float,
        "mostHeld": int,
        "parallelTries": bool,
        "peers": bool,
        "probes": bool,
        "retryAfter": bool,
        "streamsPerConn": int,
    },
    "localities": STRING_LIST,
    "me": int,
    "membershipMode": str,
    "myZone": int,
    "overShareWorth": float,
    "prices": ANY_TABLE,
    "report": {"fields": STRING_LIST, "how": str},
    "rules": {
        "answerSlack": float,
        "askWithin": float,
        "cold": float,
        "coldFrom": float,
        "hangUpWithin": float,
        "stopSendingWithin": float,
        "tipAfter": float,
        "tipMultiple": float,
    },
    "serviceType": str,
    "shapes": STRING_LIST,
    "stage": int,
    "tenants": [{"name": str, "portion": float, "quotaPerS": float}],
    "tick": float,
    "weightKind": str,
}
CONFIG_SCHEMA: dict[str, Any] = {
    "target": str,
    "seed": str,
    "settings": SETTINGS_SCHEMA,
    "members": {"discovery": str, "fixed": STRING_LIST},
    "methods": ANY_TABLE,
}
METHOD_SCHEMA = {"class": str, "key": str, "tenant": str}


@dataclass(frozen=True)
class MethodRule:
    """The class of a method, and where its metadata carry the key and the tenant."""

    klass: int
    effect: Effect
    key: str = ""  # metadata with the idempotency key; required for keyed classes
    tenant: str = ""  # metadata with the tenant


@dataclass(frozen=True)
class RpcConfig:
    """The validated configuration.

    `target` names the set of servers: channels of one target share their state. Members come from
    `discovery`, from `fixed`, or, with neither, from the caller. `methods` is by path; "*" stands for all
    others.
    """

    target: str
    settings: face.Settings
    seed: int
    max_open_calls: int
    discovery: Address | None = None
    fixed: tuple[str, ...] = ()
    methods: Mapping[str, MethodRule] = field(default_factory=dict)
    document: Mapping[str, Any] = field(default_factory=dict, repr=False)  # the source document

    def method(self, path: str) -> MethodRule | None:
        """The entry for a path; None if there is neither one nor a default."""
        return self.methods.get(path) or self.methods.get("*")

    def same_servers(self, other: "RpcConfig") -> bool:
        """Whether two configurations of a target agree, so that channels can share its state."""
        return all(
            self.document.get(key) == other.document.get(key) for key in ("seed", "settings", "members")
        )


def read_config(source: "RpcConfig | Mapping[str, Any] | str | Path") -> RpcConfig:
    """Read a mapping, or the TOML file at a path.

    Raises ConfigError, which names the key.
    """
    if isinstance(source, RpcConfig):
        return source
    if isinstance(source, Mapping):
        return parse(source)
    try:
        document = tomllib.loads(Path(source).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{source}: {error}") from error
    try:
        return parse(document)
    except ConfigError as error:
        raise ConfigError(f"{source}: {error}") from error


def parse(document: Mapping[str, Any]) -> RpcConfig:
    validate(document, CONFIG_SCHEMA, "")
    target = require(document, "target")
    settings = read_policy_settings(require(document, "settings"))
    members = document.get("members", {})
    if "discovery" in members and "fixed" in members:
        raise ConfigError("members: discovery and fixed exclude each other")
    fixed = tuple(members.get("fixed", ()))
    if len(fixed) > MAX_STATIC_MEMBERS or len(set(fixed)) != len(fixed):
        raise ConfigError(f"members.fixed: at most {MAX_STATIC_MEMBERS} different addresses expected")
    for address in fixed:
        read_address(address, "members.fixed")
    discovery = read_address(members["discovery"], "members.discovery") if "discovery" in members else None
    max_open_calls = document["settings"].get("limits", {}).get("mostHeld", DEFAULT_MAX_OPEN_CALLS)
    if max_open_calls < 1:
        raise ConfigError("settings.limits.mostHeld: 1 or more expected")
    return RpcConfig(
        target=target,
        settings=settings,
        seed=read_seed(document.get("seed")),
        max_open_calls=max_open_calls,
        discovery=discovery,
        fixed=fixed,
        methods=read_methods(document.get("methods", {}), settings),
        document=dict(document),
    )


def require(document: Mapping[str, Any], key: str) -> Any:
    if not document.get(key):
        raise ConfigError(f"{key}: is missing")
    return document[key]


def read_seed(text: str | None) -> int:
    """Processes must not use the same random numbers: without a configured seed each picks its own."""
    if text is None:
        return secrets.randbits(64)
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: hexadecimal digits expected, not {text!r}") from None


def read_policy_settings(document: Mapping[str, Any]) -> face.Settings:
    for i, c in enumerate(document.get("classes") or ()):
        for key in ("name", "slo", "deadline", "repeat"):
            if key not in c:
                raise ConfigError(f"settings.classes[{i}].{key}: is missing")
        if c["repeat"] not in EFFECTS:
            raise ConfigError(f"settings.classes[{i}].repeat: one of {', '.join(EFFECTS)} expected")
        if c.get("group") not in (None, "", "all", "zone", "cell"):
            raise ConfigError(f"settings.classes[{i}].group: all, zone or cell expected")
    if not document.get("classes"):
        raise ConfigError("settings.classes: is missing")
    settings = read_settings(dict(document))
    try:
        settings.check()
    except face.SettingsError as error:
        raise ConfigError(f"settings: {error}") from error
    names = [c.name for c in settings.classes]
    if len(set(names)) != len(names):
        raise ConfigError("settings.classes: a name is there twice")
    return settings


def read_methods(table: Mapping[str, Any], settings: face.Settings) -> dict[str, MethodRule]:
    classes = {c.name: (i, c.effect) for i, c in enumerate(settings.classes)}
    methods = {}
    for path, entry in table.items():
        where = f'methods."{path}"'
        if path != "*" and not (path.startswith("/") and path.count("/") == 2):
            raise ConfigError(f"{where}: a path such as /package.Service/Method, or *, expected")
        entry = {"class": entry} if isinstance(entry, str) else entry
        if not isinstance(entry, Mapping):
            raise ConfigError(f"{where}: a class's name or a table expected")
        validate(entry, METHOD_SCHEMA, where)
        if entry.get("class") not in classes:
            raise ConfigError(f"{where}.class: {entry.get('class')!r} is no class of the settings")
        klass, effect = classes[entry["class"]]
        keyed = effect is Effect.KEYED
        if "key" in entry and not keyed:
            raise ConfigError(f"{where}.key: the class {entry['class']} is not guarded by a key")
        key = entry.get("key", DEFAULT_KEY_METADATA).lower() if keyed else ""
        methods[path] = MethodRule(klass, effect, key, entry.get("tenant", "").lower())
    return methods


def validate(value: Any, schema: Any, where: str) -> None:
    """Validate a value against a schema."""
    if isinstance(schema, dict):
        if not isinstance(value, Mapping):
            raise ConfigError(f"{where or 'configuration'}: a table expected")
        for key, each in value.items():
            name = f"{where}.{key}" if where else str(key)
            if key not in schema:
                raise ConfigError(f"{name}: is not known")
            validate(each, schema[key], name)
    elif isinstance(schema, list):
        for i, each in enumerate(require_list(value, where)):
            validate(each, schema[0], f"{where}[{i}]")
    elif schema is STRING_LIST:
        if not all(isinstance(each, str) for each in require_list(value, where)):
            raise ConfigError(f"{where}: a list of texts expected")
    elif schema is ANY_TABLE:
        if not isinstance(value, Mapping):
            raise ConfigError(f"{where}: a table expected")
    elif schema is float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
            raise ConfigError(f"{where}: a number, 0 or more, expected, not {value!r}")
    elif not isinstance(value, schema) or (schema is int and isinstance(value, bool)):
        expected = {str: "a text", int: "a whole number", bool: "true or false"}[schema]
        raise ConfigError(f"{where}: {expected} expected, not {value!r}")


def require_list(value: Any, where: str) -> Sequence[Any]:
    if isinstance(value, str) or not isinstance(value, Sequence):
        raise ConfigError(f"{where}: a list expected")
    return value
