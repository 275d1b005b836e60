"""Item-by-item comparison of two raw configuration documents."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

SECTIONS_BY_NAME = ("Routes", "Services", "Tenants")
SECRET_KEYS = frozenset({"ApiKeys"})  # only their number is shown


@dataclass(frozen=True, slots=True)
class Change:
    """One item that differs; `fields` lists "Key: old -> new" for an item in both documents."""

    sign: str  # "+" only in the second, "-" only in the first, "~" in both
    item: str  # "Routes r-1", "Generation"
    fields: tuple[str, ...] = ()

    def __str__(self) -> str:
        return f"{self.sign} {self.item}" + (f" ({'; '.join(self.fields)})" if self.fields else "")


def differences(first: dict[str, Any], second: dict[str, Any]) -> list[Change]:
    """Returns the changes that turn the first document into the second."""
    changes: list[Change] = []
    for section in [*first, *(key for key in second if key not in first)]:
        old, new = first.get(section), second.get(section)
        if section in SECTIONS_BY_NAME:
            changes.extend(_named_changes(section, old or [], new or []))
        elif old != new:
            changes.append(Change("~", section, (f"{_display(section, old)} -> {_display(section, new)}",)))
    return changes


def _named_changes(section: str, old: list[Any], new: list[Any]) -> Iterator[Change]:
    before, after = _items_by_name(old), _items_by_name(new)
    for name in before:
        if name not in after:
            yield Change("-", f"{section} {name}")
    for name, item in after.items():
        if name not in before:
            yield Change("+", f"{section} {name}")
        elif before[name] != item:
            yield Change("~", f"{section} {name}", tuple(_field_changes(before[name], item)))


def _items_by_name(items: list[Any]) -> dict[str, dict[str, Any]]:
    return {str(item.get("Name")): item for item in items if isinstance(item, dict)}


def _field_changes(old: dict[str, Any], new: dict[str, Any]) -> Iterator[str]:
    for key in [*old, *(key for key in new if key not in old)]:
        if old.get(key) != new.get(key):
            yield f"{key}: {_display(key, old.get(key))} -> {_display(key, new.get(key))}"


def _display(key: str, value: object) -> str:
    if key in SECRET_KEYS and isinstance(value, list):
        return f"{len(value)} keys"
    return "absent" if value is None else repr(value)
