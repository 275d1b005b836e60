"""Deltas between configurations: computes, applies and composes them. No I/O.

Items are identified by name; a changed item is included in full.
"""

from collections.abc import Iterable
from typing import Protocol, TypeVar

from barleybarrow.documents import Configuration, ConfigurationDelta


class NamedItem(Protocol):
    """A configuration item that is identified by its name."""

    name: str


Item = TypeVar("Item", bound=NamedItem)


class DeltaMismatchError(Exception):
    """The delta does not start from this version; a snapshot has to be fetched instead."""


def diff(before: Configuration, after: Configuration) -> ConfigurationDelta:
    """The delta that turns `before` into `after`."""
    return ConfigurationDelta(
        base_generation=before.generation,
        generation=after.generation,
        routes=_changed_items(before.routes, after.routes),
        services=_changed_items(before.services, after.services),
        tenants=_changed_items(before.tenants, after.tenants),
        limits=after.limits if after.limits != before.limits else None,
        removed_routes=_removed_names(before.routes, after.routes),
        removed_services=_removed_names(before.services, after.services),
        removed_tenants=_removed_names(before.tenants, after.tenants),
    )


def apply(configuration: Configuration, delta: ConfigurationDelta) -> Configuration:
    """Return the configuration with the delta applied. Raises DeltaMismatchError."""
    if configuration.generation != delta.base_generation:
        raise DeltaMismatchError(
            f"version {configuration.generation} is not the delta's base version {delta.base_generation}"
        )
    return Configuration(
        generation=delta.generation,
        routes=_merge_items(configuration.routes, delta.routes, delta.removed_routes),
        services=_merge_items(configuration.services, delta.services, delta.removed_services),
        limits=configuration.limits if delta.limits is None else delta.limits,
        tenants=_merge_items(configuration.tenants, delta.tenants, delta.removed_tenants),
    )


def compose(first: ConfigurationDelta, second: ConfigurationDelta) -> ConfigurationDelta:
    """Combine two consecutive deltas into one. Raises DeltaMismatchError."""
    if first.generation != second.base_generation:
        raise DeltaMismatchError(
            f"cannot compose a delta to version {first.generation} with one from {second.base_generation}"
        )
    return ConfigurationDelta(
        base_generation=first.base_generation,
        generation=second.generation,
        routes=_merge_items(first.routes, second.routes, second.removed_routes),
        services=_merge_items(first.services, second.services, second.removed_services),
        tenants=_merge_items(first.tenants, second.tenants, second.removed_tenants),
        limits=first.limits if second.limits is None else second.limits,
        removed_routes=_merge_removals(first.removed_routes, second.removed_routes, second.routes),
        removed_services=_merge_removals(first.removed_services, second.removed_services, second.services),
        removed_tenants=_merge_removals(first.removed_tenants, second.removed_tenants, second.tenants),
    )


def item_count(delta: ConfigurationDelta) -> int:
    """Number of items that a delta upserts or removes."""
    carried = len(delta.routes) + len(delta.services) + len(delta.tenants)
    removed = len(delta.removed_routes) + len(delta.removed_services) + len(delta.removed_tenants)
    return carried + removed


def _changed_items(before: Iterable[Item], after: Iterable[Item]) -> list[Item]:
    items_by_name = {item.name: item for item in before}
    return [item for item in after if items_by_name.get(item.name) != item]


def _removed_names(before: Iterable[Item], after: Iterable[Item]) -> list[str]:
    remaining_names = {item.name for item in after}
    return [item.name for item in before if item.name not in remaining_names]


def _merge_items(items: Iterable[Item], upserted: Iterable[Item], removed: Iterable[str]) -> list[Item]:
    """Apply removals, then upserts; replaced items keep their position and new ones are appended."""
    merged = {item.name: item for item in items}
    for name in removed:
        merged.pop(name, None)
    for item in upserted:
        merged[item.name] = item
    return list(merged.values())


def _merge_removals(first: Iterable[str], second: Iterable[str], readded: Iterable[NamedItem]) -> list[str]:
    readded_names = {item.name for item in readded}
    return [name for name in dict.fromkeys([*first, *second]) if name not in readded_names]
