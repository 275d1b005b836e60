"""Deserializes items of a configuration document into `barleybarrow.documents` with pyserde.

Import this late: with pyserde it takes a second or more on a small machine. Used by
`documents.validate_document`.
"""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import fields
from functools import partial
from types import MappingProxyType
from typing import Any, get_args, get_origin

from serde import SerdeError, deserialize, disabled, from_dict

from barleybarrow.documents import (
    ClientLimits,
    Engine,
    EngineModel,
    Route,
    Service,
    Tenant,
    WeightedService,
)

LOWER_CASE_KEYS = frozenset({"gap_aim_ms", "stride"})  # spelled as the field; all others are in Pascal case
MAX_NUMBER = 2.0**63  # larger numbers make no sense; also excludes infinity
MAX_SHOWN_VALUE_CHARS = 60  # of an invalid value in a message


class FieldError(Exception):
    """A missing or invalid value of a field, with the remedy."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(problem)
        self.remedy = remedy


def _field_error(key: str, value: object, remedy: str) -> FieldError:
    shown = ascii(value)
    shown = shown if len(shown) <= MAX_SHOWN_VALUE_CHARS else shown[:MAX_SHOWN_VALUE_CHARS] + "..."
    return FieldError(f"{key} is {shown}", remedy)


def read_item(item_type: type[Any], raw: dict[str, Any]) -> Any:
    """Deserializes one item into a dataclass of `barleybarrow.documents`. Raises FieldError."""
    try:
        return from_dict(item_type, _without_nulls(raw))
    except SerdeError as error:
        cause: BaseException = error
        while isinstance(cause, SerdeError) and cause.args and isinstance(cause.args[0], BaseException):
            cause = cause.args[0]
        if isinstance(cause, FieldError):
            raise cause from None
        raise FieldError(str(cause).partition(" while ")[0], "add it") from None


def _without_nulls(raw: dict[str, Any]) -> dict[str, Any]:
    """Drops nulls, which mean the same as absence."""
    return {key: value for key, value in raw.items() if value is not None}


# Readers of fields. The key is for the error message.


def _read_string(key: str, value: object) -> str:
    if not isinstance(value, str):
        raise _field_error(key, value, "make it a string")
    return value


def _read_bool(key: str, value: object) -> bool:
    if not isinstance(value, bool):
        raise _field_error(key, value, "make it true or false")
    return value


def _read_number(key: str, value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) <= MAX_NUMBER:
        raise _field_error(key, value, "make it a number")
    return float(value)


def _read_int(key: str, value: object) -> int:
    number = _read_number(key, value)
    if number != int(number):
        raise _field_error(key, value, "make it a whole number")
    return int(number)


def _read_list(item_type: type[Any], key: str, value: object) -> list[Any]:
    if not isinstance(value, list):
        raise _field_error(key, value, "make it a list")
    return [_read_value(item_type, key, item) for item in value]


def _read_value(value_type: type[Any], key: str, value: object) -> Any:
    reader = _SCALAR_READERS.get(value_type)
    if reader is not None:
        return reader(key, value)
    if not isinstance(value, dict):
        raise _field_error(key, value, "make it an object")
    return from_dict(value_type, _without_nulls(value))


_SCALAR_READERS: dict[Any, Callable[[str, object], Any]] = {
    str: _read_string,
    bool: _read_bool,
    float: _read_number,
    int: _read_int,
}


def _field_reader(field_type: Any, key: str) -> Callable[[object], Any]:
    """Returns the reader for a field of this type: a list, or a single and possibly optional value."""
    if get_origin(field_type) is list:
        return partial(_read_list, get_args(field_type)[0], key)
    alternatives = [part for part in get_args(field_type) if part is not type(None)] or [field_type]
    return partial(_read_value, alternatives[0], key)


def _document_key(name: str) -> str:
    if name in LOWER_CASE_KEYS:
        return name
    return "".join(word.capitalize() for word in name.split("_"))


def _register_dataclass(item_type: type[Any]) -> None:
    """Makes a dataclass deserializable; `barleybarrow.documents` itself must not depend on pyserde."""
    for field in fields(item_type):
        key = _document_key(field.name)
        metadata = {"serde_rename": key, "serde_deserializer": _field_reader(field.type, key)}
        field.metadata = MappingProxyType(metadata)
    deserialize(item_type, type_check=disabled)


@contextmanager
def _numpy_import_blocked() -> Iterator[None]:
    """Blocks the import of numpy: pyserde imports it if installed, at a cost of 0.15 s and 10 MB."""
    if "numpy" in sys.modules:
        yield
        return
    sys.modules["numpy"] = None  # type: ignore[assignment]  # the documented way to make an import fail
    try:
        yield
    finally:
        del sys.modules["numpy"]


with _numpy_import_blocked():
    for _item_type in (WeightedService, Route, EngineModel, Engine, Service, ClientLimits, Tenant):
        _register_dataclass(_item_type)
