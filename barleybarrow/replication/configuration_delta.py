"""What turns one configuration into another: made, applied and joined here. No I/O.

Items are told apart by name; a changed item is carried whole.
"""

from collections.abc import Iterable
from typing import Protocol, TypeVar

from barleybarrow.documents import Configuration, ConfigurationDelta


class Named(Protocol):
    """An item of a configuration."""

    name: str


Item = TypeVar("Item", bound=Named)


class DeltaMismatchError(Exception):
    """A delta is applied to another version than the one it was made from: fetch a snapshot."""


def diff(before: Configuration, after: Configuration) -> ConfigurationDelta:
    """What makes `after` of `before`."""
    return ConfigurationDelta(
        base_generation=before.generation,
        generation=after.generation,
        routes=_changed(before.routes, after.routes),
        services=_changed(before.services, after.services),
        tenants=_changed(before.tenants, after.tenants),
        limits=after.limits if after.limits != before.limits else None,
        removed_routes=_removed(before.routes, after.routes),
        removed_services=_removed(before.services, after.services),
        removed_tenants=_removed(before.tenants, after.tenants),
    )


def apply(configuration: Configuration, delta: ConfigurationDelta) -> Configuration:
    """The configuration after a delta. Raises DeltaMismatchError."""
    if configuration.generation != delta.base_generation:
        raise DeltaMismatchError(
            f"version {configuration.generation}: the delta is from {delta.base_generation}"
        )
    return Configuration(
        generation=delta.generation,
        routes=_merged(configuration.routes, delta.routes, delta.removed_routes),
        services=_merged(configuration.services, delta.services, delta.removed_services),
        limits=configuration.limits if delta.limits is None else delta.limits,
        tenants=_merged(configuration.tenants, delta.tenants, delta.removed_tenants),
    )


def compose(first: ConfigurationDelta, second: ConfigurationDelta) -> ConfigurationDelta:
    """One delta that does what both do, one after the other. Raises DeltaMismatchError."""
    if first.generation != second.base_generation:
        raise DeltaMismatchError(
            f"a delta to {first.generation} is followed by one from {second.base_generation}"
        )
    return ConfigurationDelta(
        base_generation=first.base_generation,
        generation=second.generation,
        routes=_merged(first.routes, second.routes, second.removed_routes),
        services=_merged(first.services, second.services, second.removed_services),
        tenants=_merged(first.tenants, second.tenants, second.removed_tenants),
        limits=first.limits if second.limits is None else second.limits,
        removed_routes=_both(first.removed_routes, second.removed_routes, second.routes),
        removed_services=_both(first.removed_services, second.removed_services, second.services),
        removed_tenants=_both(first.removed_tenants, second.removed_tenants, second.tenants),
    )


def size(delta: ConfigurationDelta) -> int:
    """How many items a delta carries or removes."""
    carried = len(delta.routes) + len(delta.services) + len(delta.tenants)
    removed = len(delta.removed_routes) + len(delta.removed_services) + len(delta.removed_tenants)
    return carried + removed


def _changed(before: Iterable[Item], after: Iterable[Item]) -> list[Item]:
    old = {item.name: item for item in before}
    return [item for item in after if old.get(item.name) != item]


def _removed(before: Iterable[Item], after: Iterable[Item]) -> list[str]:
    kept = {item.name for item in after}
    return [item.name for item in before if item.name not in kept]


def _merged(items: Iterable[Item], upserted: Iterable[Item], removed: Iterable[str]) -> list[Item]:
    """Replaced items keep their place, new ones follow."""
    merged = {item.name: item for item in items}
    for name in removed:
        merged.pop(name, None)
    for item in upserted:
        merged[item.name] = item
    return list(merged.values())


def _both(first: Iterable[str], second: Iterable[str], added_again: Iterable[Named]) -> list[str]:
    again = {item.name for item in added_again}
    return [name for name in dict.fromkeys([*first, *second]) if name not in again]
