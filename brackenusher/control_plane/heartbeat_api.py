"""The servers' calls: Instances.Heartbeat and Instances.Deregister. It keeps nothing: the registry does."""

import asyncio
import json
from collections.abc import Awaitable
from typing import Any, Protocol

from barleybarrow.replication.records import InstanceModel, InstanceRecord, InstanceState
from brackenusher.control_plane.http_server import HttpRequest, HttpResponse
from brackenusher.control_plane.responses import error_response, unavailable

MAX_HEARTBEAT_BYTES = 4 * 1024
MAX_ID_CHARACTERS = 200
WRONG_ID = f"the id is not 1 to {MAX_ID_CHARACTERS} characters: put it in the path"
MAX_PORT = 65535
TIMEOUT_S = 0.9  # servers go elsewhere after a second of silence
LARGEST_UINT32 = 2**32 - 1
LARGEST_UINT64 = 2**64 - 1
STATES = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}


class InstanceRegistry(Protocol):
    """What these calls need of the registry; see `registry_service.RegistryService`."""

    async def heartbeat(self, record: InstanceRecord) -> bool: ...

    async def deregister(self, instance_id: str) -> bool: ...


class HeartbeatError(ValueError):
    """A heartbeat that can't be read: one line with the field and the remedy."""


class HeartbeatApi:
    """Carries out the servers' calls."""

    def __init__(self, registry: InstanceRegistry) -> None:
        self.registry = registry

    async def heartbeat(self, instance_id: str, request: HttpRequest) -> HttpResponse:
        """200 once the registry holds what the server says; 503 where that takes too long."""
        if len(request.body) > MAX_HEARTBEAT_BYTES:
            return error_response(413, f"a heartbeat is at most {MAX_HEARTBEAT_BYTES} bytes: shorten it")
        try:
            record = read_heartbeat(instance_id, request.body)
        except HeartbeatError as error:
            return error_response(400, str(error))
        return await _acknowledged(self.registry.heartbeat(record))

    async def deregister(self, instance_id: str) -> HttpResponse:
        """200 once the registry holds that the server is gone; 503 where that takes too long."""
        if not _is_id(instance_id):
            return error_response(400, WRONG_ID)
        return await _acknowledged(self.registry.deregister(instance_id))


async def _acknowledged(call: Awaitable[bool]) -> HttpResponse:
    try:
        async with asyncio.timeout(TIMEOUT_S):
            done = await call
    except TimeoutError:
        done = False
    if done:
        return HttpResponse(200, b"{}")
    return unavailable("not acknowledged by a majority in time: send it again, here or elsewhere")


def read_heartbeat(instance_id: str, body: bytes) -> InstanceRecord:
    """The record that a heartbeat describes. Raises HeartbeatError."""
    if not _is_id(instance_id):
        raise HeartbeatError(WRONG_ID)
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise HeartbeatError("the body is not JSON: send it whole") from None
    if not isinstance(fields, dict):
        raise HeartbeatError("the body is not a JSON object: send the fields of the heartbeat")
    return InstanceRecord(
        id=instance_id,
        service=_text(fields, "Service", required=True),
        address=_address(fields),
        zone=_text(fields, "Zone"),
        generation=_text(fields, "Generation"),
        slots=_number(fields, "Slots", LARGEST_UINT32),
        state=_state(fields),
        sequence=_number(fields, "Sequence", LARGEST_UINT64),
        cold_remaining_ms=_number(fields, "ColdRemainingMs", LARGEST_UINT32),
        stage=_text(fields, "Stage"),
        models=_models(fields.get("Models")),
    )


def _is_id(text: str) -> bool:
    return 0 < len(text) <= MAX_ID_CHARACTERS and text.isprintable() and "/" not in text


def _shown(value: object) -> str:
    return ascii(value)[:60]


def _text(fields: dict[str, Any], key: str, required: bool = False) -> str:
    value = fields.get(key)
    if value is None and not required:
        return ""
    if isinstance(value, int | float) and not isinstance(value, bool):
        return str(value)  # a Generation may be a number
    if not isinstance(value, str) or (required and not value):
        raise HeartbeatError(f"{key} is {_shown(value)}: make it a string")
    return value


def _state(fields: dict[str, Any]) -> InstanceState:
    name = _text(fields, "State") or "ready"
    if name not in STATES:
        raise HeartbeatError(f"State is {_shown(name)}: say one of {', '.join(STATES)}")
    return STATES[name]


def _address(fields: dict[str, Any]) -> str:
    address = _text(fields, "Address", required=True)
    host, _, port = address.rpartition(":")
    digits = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not host or not digits or not 0 < int(port) <= MAX_PORT:
        raise HeartbeatError(f'Address is {_shown(address)}: write "IP:PORT"')
    return address


def _number(fields: dict[str, Any], key: str, largest: int) -> int:
    value = fields.get(key)
    if value is None:
        return 0
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= largest:
        raise HeartbeatError(f"{key} is {_shown(value)}: make it a number from 0 to {largest}")
    return int(value)


def _models(value: object) -> list[InstanceModel]:
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise HeartbeatError(f"Models is {_shown(value)}: make it a list of objects")
    return [
        InstanceModel(
            name=_text(item, "Name"),
            generation=_number(item, "Generation", LARGEST_UINT64),
            adapters=_adapters(item.get("Adapters")),
        )
        for item in value
    ]


def _adapters(value: object) -> list[str]:
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise HeartbeatError(f"Adapters is {_shown(value)}: make it a list of strings")
    return list(value)
