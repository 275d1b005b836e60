"""Validation of the operator's configuration documents; control processes only.

`validate_document` converts a full document to a typed configuration, or names the invalid item and the
remedy. Unknown fields are ignored. Parsing orders, applying patches and checking the order of versions is up
to `barleybarrow.consensus.configuration_state`.
"""

from collections.abc import Iterator
from typing import Any

from returns.result import Failure, Result, Success

from barleybarrow.consensus.configuration_state import OrderError, generation_of
from barleybarrow.documents import ClientLimits, Configuration, Route, Service, Tenant

MAX_SHOWN_NAME_CHARS = 60  # of a name in a message
SECTION_ITEM_LABELS = {"Routes": "route", "Services": "service", "Tenants": "tenant"}


class ConfigurationError(Exception):
    """Why a document is rejected; `str` gives one line."""

    def __init__(self, item: str, problem: str, remedy: str) -> None:
        super().__init__(f"{item}: {problem}: {remedy}")
        self.item = item  # "route r-1", "the document"
        self.problem = problem
        self.remedy = remedy


def validate_document(raw: dict[str, Any]) -> Result[Configuration, ConfigurationError]:
    """Returns the configuration in a full document, or the error that makes it invalid."""
    try:
        configuration = _read_configuration(raw)
        _check_routes(configuration)
        _check_api_keys(configuration)
    except ConfigurationError as error:
        return Failure(error)
    return Success(configuration)


def _read_configuration(raw: object) -> Configuration:
    if not isinstance(raw, dict):
        raise ConfigurationError("the document", "is not an object", 'send {"Generation":...}')
    if raw.get("Routes") is None:
        raise ConfigurationError("the document", "Routes is missing", "list the routes, [] for none")
    return Configuration(
        generation=_read_generation(raw),
        routes=_read_section(Route, raw, "Routes"),
        services=_read_section(Service, raw, "Services"),
        limits=_read_item(ClientLimits, raw.get("Limits") or {}, "Limits"),
        tenants=_read_section(Tenant, raw, "Tenants"),
    )


def _read_generation(raw: dict[str, Any]) -> int:
    try:
        return generation_of(raw)
    except OrderError as error:
        raise ConfigurationError("the document", str(error), "give one above the current") from None


def _read_section(item_type: type[Any], raw: dict[str, Any], section: str) -> list[Any]:
    items = raw.get(section)
    if items is None:
        return []
    if not isinstance(items, list):
        raise ConfigurationError(section, "is not a list", "send a list")
    seen_names: set[object] = set()
    parsed: list[Any] = []
    for index, item in enumerate(items):
        label = _item_label(section, index, item)
        parsed.append(_read_item(item_type, item, label))
        if parsed[-1].name in seen_names:
            raise ConfigurationError(label, "its Name is there twice", "name each item once")
        seen_names.add(parsed[-1].name)
    return parsed


def _item_name(item: object) -> object:
    return item.get("Name") if isinstance(item, dict) else None


def _item_label(section: str, index: int, item: object) -> str:
    name = _item_name(item)
    if isinstance(name, str):
        return f"{SECTION_ITEM_LABELS[section]} {_printable(name)}"
    return f"{section}[{index}]"


def _read_item(item_type: type[Any], raw: object, label: str) -> Any:
    """Deserializes one item; raises ConfigurationError with the label."""
    if not isinstance(raw, dict):
        raise ConfigurationError(label, "is not an object", "send an object")
    from brackenusher.settings import document_fields  # late: pyserde is slow to import

    try:
        return document_fields.read_item(item_type, raw)
    except document_fields.FieldError as error:
        raise ConfigurationError(label, str(error), error.remedy) from None


def _printable(name: str) -> str:
    return ascii(name)[1:-1][:MAX_SHOWN_NAME_CHARS]


def _check_routes(configuration: Configuration) -> None:
    services = {service.name for service in configuration.services}
    names_by_match: dict[tuple[str, str], str] = {}
    for route in configuration.routes:
        label = f"route {_printable(route.name)}"
        if route.timeout_ms <= 0:
            raise ConfigurationError(label, "TimeoutMs is 0 or less", "give the longest time in milliseconds")
        for service in _referenced_services(route, label):
            if service not in services:
                problem = f"names the unknown service {_printable(service)}"
                raise ConfigurationError(label, problem, "add that service")
        first_name = names_by_match.setdefault((route.hostname.lower(), route.path_prefix), route.name)
        if first_name != route.name:
            problem = f"has the host and prefix of route {_printable(first_name)}"
            raise ConfigurationError(label, problem, "keep one of them")


def _referenced_services(route: Route, label: str) -> Iterator[str]:
    if not route.traffic_split:
        if not route.service:
            raise ConfigurationError(label, "names no service", "give it a Service or a TrafficSplit")
        yield route.service
        return
    if any(part.weight < 0 for part in route.traffic_split):
        raise ConfigurationError(label, "a Weight is below 0", "give weights of 0 and more")
    if sum(part.weight for part in route.traffic_split) <= 0:
        raise ConfigurationError(label, "its weights sum to 0", "give one part a Weight above 0")
    yield from (part.service for part in route.traffic_split)
    if route.service:
        yield route.service


def _check_api_keys(configuration: Configuration) -> None:
    tenants_by_key: dict[str, str] = {}
    for tenant in configuration.tenants:
        for key in tenant.api_keys:
            first_holder = tenants_by_key.setdefault(key, tenant.name)
            if first_holder != tenant.name:
                label = f"tenant {_printable(tenant.name)}"
                problem = f"shares a key with tenant {_printable(first_holder)}"
                raise ConfigurationError(label, problem, "give the key to one of them")
