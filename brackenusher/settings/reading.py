"""Parses a process's settings file (TOML) into `LocalSettings`. Every process imports this: keep it cheap.

Unknown keys are ignored. An invalid or missing key yields a one-line `SettingsError` with the key, its value
and the remedy; the caller prints it and exits with `EXIT_BAD_SETTINGS`.
"""

import dataclasses
import tomllib
from pathlib import Path
from typing import Any, get_args, get_origin

from returns.result import Failure, Result, Success

from brackenusher.settings.local import LocalSettings

EXIT_BAD_SETTINGS = 2
SETTINGS_ENV_VAR = "BRACKENUSHER_CONFIG"
DEFAULT_SETTINGS_PATH = "/etc/brackenusher/local.toml"
MAX_PORT = 65535
LOG_LEVELS = ("debug", "info", "warning", "error")  # those of `runtime.fleet_log`
LOWER_CASE_KEYS = frozenset({"pass_ms", "again_s"})  # spelled as the field; all others are in Pascal case
MAX_NUMBER = 2.0**63  # larger numbers make no sense; also excludes infinity
MAX_SHOWN_VALUE_CHARS = 60  # of an invalid value in a message


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """Why the settings can't be used; `str` gives one line."""

    path: str
    key: str  # empty if the error concerns the whole file
    value: str
    remedy: str

    def __str__(self) -> str:
        key = f" {self.key} = {self.value}:" if self.key else ""
        return f"{self.path}:{key} {self.remedy}"


class _InvalidKeyError(Exception):
    """An invalid or missing key; converted to a `SettingsError` of the file."""

    def __init__(self, key: str, value: object, remedy: str) -> None:
        super().__init__(key, value, remedy)
        self.key, self.remedy = key, remedy
        shown = "(missing)" if value is dataclasses.MISSING else ascii(value)
        self.value = shown if len(shown) <= MAX_SHOWN_VALUE_CHARS else shown[:MAX_SHOWN_VALUE_CHARS] + "..."


def load_settings(path: str) -> Result[LocalSettings, SettingsError]:
    """Reads, parses and validates a settings file."""
    try:
        text = Path(path).read_bytes().decode("utf-8")
    except OSError as error:
        remedy = f"can't be read ({error.strerror}): name a readable file in {SETTINGS_ENV_VAR}"
        return Failure(SettingsError(path, "", "", remedy))
    except UnicodeDecodeError:
        return Failure(SettingsError(path, "", "", "is not UTF-8: write the file anew"))
    return parse_settings(text, path)


def parse_settings(text: str, path: str = "settings") -> Result[LocalSettings, SettingsError]:
    """Parses and validates the text of a settings file; the path is only used in messages."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure(SettingsError(path, "", "", f"is not TOML ({error}): mend that line"))
    try:
        settings = _read_table(LocalSettings, table, "")
        _validate(settings)
    except _InvalidKeyError as invalid:
        return Failure(SettingsError(path, invalid.key, invalid.value, invalid.remedy))
    return Success(settings)


def settings_key(name: str) -> str:
    """Returns the key in the file for a field of `LocalSettings` or of its nested tables."""
    if name in LOWER_CASE_KEYS:
        return name
    return "".join(part.capitalize() for part in name.split("_"))


def _read_table(table_type: type, table: dict[str, Any], prefix: str) -> Any:
    """Reads a table into a dataclass; keys without a field are ignored."""
    values: dict[str, Any] = {}
    for field in dataclasses.fields(table_type):
        key = settings_key(field.name)
        value = table.get(key, dataclasses.MISSING)
        optional = not _is_required(field)
        if optional and (value is dataclasses.MISSING or value == "" or value == []):
            continue  # a deployment may leave optional keys empty
        if value is dataclasses.MISSING:
            raise _InvalidKeyError(prefix + key, value, "add this key")
        values[field.name] = _read_value(field.type, value, prefix + key)
    return table_type(**values)


def _is_required(field: "dataclasses.Field[Any]") -> bool:
    return field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING


def _read_value(value_type: Any, value: object, key: str) -> Any:
    if dataclasses.is_dataclass(value_type) and isinstance(value_type, type):
        if not isinstance(value, dict):
            raise _InvalidKeyError(key, value, f"make it a table [{key}]")
        return _read_table(value_type, value, key + ".")
    origin = get_origin(value_type)
    if origin is list:
        return _read_list(get_args(value_type)[0], value, key)
    if origin is dict:
        return _read_string_table(value, key)
    return _read_scalar(value_type, value, key)


def _read_list(item_type: type, value: object, key: str) -> list[Any]:
    if not isinstance(value, list):
        raise _InvalidKeyError(key, value, "make it a list")
    for item in value:
        if type(item) is not item_type:
            raise _InvalidKeyError(key, item, f"make each item {_TYPE_DESCRIPTIONS[item_type]}")
    return list(value)


def _read_string_table(value: object, key: str) -> dict[str, str]:
    if not isinstance(value, dict) or not all(isinstance(item, str) for item in value.values()):
        raise _InvalidKeyError(key, value, f"make it a table [{key}] of strings")
    return dict(value)


_TYPE_DESCRIPTIONS: dict[type, str] = {
    str: "a string",
    bool: "true or false",
    int: "a whole number",
    float: "a number",
}


def _read_scalar(scalar_type: Any, value: object, key: str) -> Any:
    if scalar_type in (int, float):
        if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) <= MAX_NUMBER:
            raise _InvalidKeyError(key, value, f"make it {_TYPE_DESCRIPTIONS[scalar_type]}")
        if value < 0:
            raise _InvalidKeyError(key, value, "make it 0 or more")
        return scalar_type(value)  # an integer field truncates fractions
    if type(value) is not scalar_type:
        raise _InvalidKeyError(key, value, f"make it {_TYPE_DESCRIPTIONS[scalar_type]}")
    return value


def _validate(settings: LocalSettings) -> None:
    """Checks constraints beyond types; raises _InvalidKeyError."""
    ports = settings.internal_port_range
    if len(ports) != 2 or not 0 < ports[0] < ports[1] <= MAX_PORT:
        raise _InvalidKeyError("InternalPortRange", ports, "give the first and last of two or more ports")
    for key, address in _configured_addresses(settings):
        if not _is_address(address):
            raise _InvalidKeyError(key, address, 'write "IP:PORT"')
    if settings.log_level not in LOG_LEVELS:
        raise _InvalidKeyError("LogLevel", settings.log_level, f"say one of {', '.join(LOG_LEVELS)}")
    for key, name in (("NodeName", settings.node_name), ("Ip", settings.ip), ("Zone", settings.zone)):
        if not name:
            raise _InvalidKeyError(key, name, "give it a value")


def _configured_addresses(settings: LocalSettings) -> list[tuple[str, str]]:
    listen = settings.listen
    addresses = [
        ("Listen.Front", listen.front),
        ("Listen.Ready", listen.ready),
        ("Listen.Control", listen.control),
    ]
    return [(key, address) for key, address in addresses if address] + [
        ("SeedNodes", address) for address in settings.seed_nodes
    ]


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    digits = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    return bool(host) and digits and 0 < int(port) <= MAX_PORT
