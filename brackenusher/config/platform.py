"""The platform's configuration of a proxy: the variables GW_* and the JSON file named by GW_CONFIG."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from barleybarrow import interface as face
from barleybarrow.settings import read_settings
from brackenusher.runtime.driver import Address

MIN_SOCKETS = 64


class ConfigError(ValueError):
    """The configuration is invalid."""


@dataclass(slots=True)
class PlatformConfig:
    """The validated configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known_servers: dict[str, Any]
    settings: face.Settings
    raw_settings: dict[str, Any]  # the settings as written in the file
    cores: float = 1.0  # CPU limit of the process
    memory_mb: float = 64.0  # memory limit of the process
    control: Address | None = None  # address of the control interface; older deployments have none


def read_address(text: Any, what: str) -> Address:
    """Parse ``host:port``."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{what}: host:port expected, not {text!r}")
    return host, int(port)


def load(environ: Mapping[str, str]) -> PlatformConfig:
    """Read the configuration; variables take precedence over entries of the file."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    try:
        document = ujson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError(f"{path}: an object expected")
    try:
        return parse(document, environ)
    except ConfigError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from error


def reload_config(environ: Mapping[str, str]) -> PlatformConfig:
    """Read the configuration at a reload, with the discovery address of the file.

    GW_DISCOVERY still has the address from the start of the process.
    """
    return load({name: value for name, value in environ.items() if name != "GW_DISCOVERY"})


def parse(document: dict[str, Any], environ: Mapping[str, str]) -> PlatformConfig:
    """Convert and validate the parsed JSON object."""
    settings = read_settings(document["settings"])
    settings.check()
    if not all(c.name for c in settings.classes):
        raise ConfigError("settings: a class without a name")
    sockets = int(document.get("limits", {}).get("sockets", 1024))
    if sockets < MIN_SOCKETS:
        raise ConfigError(f"limits: {sockets} sockets are too few, {MIN_SOCKETS} are needed")
    cores = float(document.get("limits", {}).get("cores", 1.0))
    if not cores > 0:
        raise ConfigError(f"limits: {cores} cores are too few")
    memory_mb = float(document.get("limits", {}).get("memory_mb", 64.0))
    if not memory_mb > 0:
        raise ConfigError(f"limits: {memory_mb} memory_mb are too few")
    known = document.get("known") or {}
    if not isinstance(known, dict):
        raise ConfigError("known: an object expected")
    control = environ.get("GW_CONTROL") or document.get("control")
    return PlatformConfig(
        name=str(environ.get("GW_NAME") or document.get("name", "")),
        listen=read_address(environ.get("GW_LISTEN") or document.get("listen"), "listen"),
        discovery=read_address(environ.get("GW_DISCOVERY") or document.get("discovery"), "discovery"),
        seed=int(str(document.get("seed", "0")), 16),
        sockets=sockets,
        known_servers=known,
        settings=settings,
        raw_settings=document["settings"],
        cores=cores,
        memory_mb=memory_mb,
        control=read_address(control, "control") if control else None,
    )
