"""The plug-in's configuration: a mapping or a TOML file, the settings as the operators word them, checked.

What is wrong is one `ConfigError` that names the key; nothing that is not known is passed over.
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

MOST_OPEN = 1000  # calls at once where the settings name no `limits.mostHeld`: some 3 MB
MOST_MEMBERS = 10_000  # in a fixed list
KEY = "idempotency-key"  # metadata or header that carries the key of a keyed call
NAMES = "names"  # kinds of values, beside Python's own types: a list of texts
OPEN = "open"  # an object whose keys are not ours to know

# The platform's settings, as the configuration of the daemon holds them; most are read by the module alone.
CLASS = {
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
SETTINGS: dict[str, Any] = {
    "classes": [CLASS],
    "clients": OPEN,
    "countedBy": str,
    "familyInfo": OPEN,
    "goal": {"whole": float, "worstClass": float, "worstTenant": float, "worstWindow": float},
    "instances": int,
    "layers": NAMES,
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
    "localities": NAMES,
    "me": int,
    "membershipMode": str,
    "myZone": int,
    "overShareWorth": float,
    "prices": OPEN,
    "report": {"fields": NAMES, "how": str},
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
    "shapes": NAMES,
    "stage": int,
    "tenants": [{"name": str, "portion": float, "quotaPerS": float}],
    "tick": float,
    "weightKind": str,
}
CONFIG: dict[str, Any] = {
    "target": str,
    "seed": str,
    "settings": SETTINGS,
    "members": {"discovery": str, "fixed": NAMES},
    "methods": OPEN,
}
METHOD = {"class": str, "key": str, "tenant": str}


@dataclass(frozen=True)
class Method:
    """How a method is treated."""

    klass: int
    effect: Effect
    key: str = ""  # metadata that must carry the call's key; for keyed classes
    tenant: str = ""  # metadata that names the tenant


@dataclass(frozen=True)
class RpcConfig:
    """The configuration, checked.

    `target` names the servers: channels of one target share one picture of them. `discovery`, or `fixed`, or
    neither, where the caller hands the members in. `methods` is by path, "*" stands for all others.
    """

    target: str
    settings: face.Settings
    seed: int
    most_open: int
    discovery: Address | None = None
    fixed: tuple[str, ...] = ()
    methods: Mapping[str, Method] = field(default_factory=dict)
    worded: Mapping[str, Any] = field(default_factory=dict, repr=False)  # as it was given

    def method(self, path: str) -> Method | None:
        """How the method of that path is treated; None where the table has no word on it."""
        return self.methods.get(path) or self.methods.get("*")

    def same_servers(self, other: "RpcConfig") -> bool:
        """Whether both can share a picture."""
        return all(self.worded.get(key) == other.worded.get(key) for key in ("seed", "settings", "members"))


def read_config(source: "RpcConfig | Mapping[str, Any] | str | Path") -> RpcConfig:
    """Read a mapping, or the TOML file of that path.

    Raises ConfigError, which names the key.
    """
    if isinstance(source, RpcConfig):
        return source
    if isinstance(source, Mapping):
        return read(source)
    try:
        document = tomllib.loads(Path(source).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{source}: {error}") from error
    try:
        return read(document)
    except ConfigError as error:
        raise ConfigError(f"{source}: {error}") from error


def read(document: Mapping[str, Any]) -> RpcConfig:
    check(document, CONFIG, "")
    target = need(document, "target")
    settings = read_module_settings(need(document, "settings"))
    members = document.get("members", {})
    if "discovery" in members and "fixed" in members:
        raise ConfigError("members: discovery and fixed exclude each other")
    fixed = tuple(members.get("fixed", ()))
    if len(fixed) > MOST_MEMBERS or len(set(fixed)) != len(fixed):
        raise ConfigError(f"members.fixed: at most {MOST_MEMBERS} different addresses expected")
    for address in fixed:
        read_address(address, "members.fixed")
    discovery = read_address(members["discovery"], "members.discovery") if "discovery" in members else None
    most_open = document["settings"].get("limits", {}).get("mostHeld", MOST_OPEN)
    if most_open < 1:
        raise ConfigError("settings.limits.mostHeld: 1 or more expected")
    return RpcConfig(
        target=target,
        settings=settings,
        seed=read_seed(document.get("seed")),
        most_open=most_open,
        discovery=discovery,
        fixed=fixed,
        methods=read_methods(document.get("methods", {}), settings),
        worded=dict(document),
    )


def need(document: Mapping[str, Any], key: str) -> Any:
    if not document.get(key):
        raise ConfigError(f"{key}: is missing")
    return document[key]


def read_seed(text: str | None) -> int:
    """Processes that share servers must not draw the same numbers: each draws its own if none is given."""
    if text is None:
        return secrets.randbits(64)
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: hexadecimal digits expected, not {text!r}") from None


def read_module_settings(conf: Mapping[str, Any]) -> face.Settings:
    for i, c in enumerate(conf.get("classes") or ()):
        for key in ("name", "slo", "deadline", "repeat"):
            if key not in c:
                raise ConfigError(f"settings.classes[{i}].{key}: is missing")
        if c["repeat"] not in EFFECTS:
            raise ConfigError(f"settings.classes[{i}].repeat: one of {', '.join(EFFECTS)} expected")
        if c.get("group") not in (None, "", "all", "zone", "cell"):
            raise ConfigError(f"settings.classes[{i}].group: all, zone or cell expected")
    if not conf.get("classes"):
        raise ConfigError("settings.classes: is missing")
    settings = read_settings(dict(conf))
    try:
        settings.check()
    except face.SettingsError as error:
        raise ConfigError(f"settings: {error}") from error
    names = [c.name for c in settings.classes]
    if len(set(names)) != len(names):
        raise ConfigError("settings.classes: a name is there twice")
    return settings


def read_methods(table: Mapping[str, Any], settings: face.Settings) -> dict[str, Method]:
    classes = {c.name: (i, c.effect) for i, c in enumerate(settings.classes)}
    methods = {}
    for path, entry in table.items():
        where = f'methods."{path}"'
        if path != "*" and not (path.startswith("/") and path.count("/") == 2):
            raise ConfigError(f"{where}: a path such as /package.Service/Method, or *, expected")
        entry = {"class": entry} if isinstance(entry, str) else entry
        if not isinstance(entry, Mapping):
            raise ConfigError(f"{where}: a class's name or a table expected")
        check(entry, METHOD, where)
        if entry.get("class") not in classes:
            raise ConfigError(f"{where}.class: {entry.get('class')!r} is no class of the settings")
        klass, effect = classes[entry["class"]]
        keyed = effect is Effect.KEYED
        if "key" in entry and not keyed:
            raise ConfigError(f"{where}.key: the class {entry['class']} is not guarded by a key")
        key = entry.get("key", KEY).lower() if keyed else ""
        methods[path] = Method(klass, effect, key, entry.get("tenant", "").lower())
    return methods


def check(value: Any, shape: Any, where: str) -> None:
    """Compare a value with the shape it should have."""
    if isinstance(shape, dict):
        if not isinstance(value, Mapping):
            raise ConfigError(f"{where or 'configuration'}: a table expected")
        for key, each in value.items():
            name = f"{where}.{key}" if where else str(key)
            if key not in shape:
                raise ConfigError(f"{name}: is not known")
            check(each, shape[key], name)
    elif isinstance(shape, list):
        for i, each in enumerate(listed(value, where)):
            check(each, shape[0], f"{where}[{i}]")
    elif shape is NAMES:
        if not all(isinstance(each, str) for each in listed(value, where)):
            raise ConfigError(f"{where}: a list of texts expected")
    elif shape is OPEN:
        if not isinstance(value, Mapping):
            raise ConfigError(f"{where}: a table expected")
    elif shape is float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
            raise ConfigError(f"{where}: a number, 0 or more, expected, not {value!r}")
    elif not isinstance(value, shape) or (shape is int and isinstance(value, bool)):
        word = {str: "a text", int: "a whole number", bool: "true or false"}[shape]
        raise ConfigError(f"{where}: {word} expected, not {value!r}")


def listed(value: Any, where: str) -> Sequence[Any]:
    if isinstance(value, str) or not isinstance(value, Sequence):
        raise ConfigError(f"{where}: a list expected")
    return value
