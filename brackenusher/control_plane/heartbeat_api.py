"""The servers' calls: Instances.Heartbeat and Instances.Deregister. The state is in the registry."""

import asyncio
import json
from collections.abc import Awaitable
from typing import Any, Protocol

from barleybarrow.replication.records import InstanceModel, InstanceRecord, InstanceState
from brackenusher.control_plane.http_server import HttpRequest, HttpResponse
from brackenusher.control_plane.responses import error_response, unavailable

MAX_HEARTBEAT_BYTES = 4 * 1024
MAX_ID_CHARACTERS = 200
INVALID_ID_ERROR = f"the id is not 1 to {MAX_ID_CHARACTERS} characters: put it in the path"
MAX_PORT = 65535
ACK_TIMEOUT_S = 0.9  # servers try another process after 1 s without a response
MAX_UINT32 = 2**32 - 1
MAX_UINT64 = 2**64 - 1
STATES = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}


class InstanceRegistry(Protocol):
    """The methods of the registry used here; see `registry_service.RegistryService`."""

    async def heartbeat(self, record: InstanceRecord) -> bool: ...

    async def deregister(self, instance_id: str) -> bool: ...


class HeartbeatError(ValueError):
    """An invalid heartbeat; the message is one line with the field and the remedy."""


class HeartbeatApi:
    """Handles the servers' calls."""

    def __init__(self, registry: InstanceRegistry) -> None:
        self.registry = registry

    async def heartbeat(self, instance_id: str, request: HttpRequest) -> HttpResponse:
        """200 once the registry has acknowledged the heartbeat; 503 on a timeout."""
        if len(request.body) > MAX_HEARTBEAT_BYTES:
            return error_response(413, f"a heartbeat is at most {MAX_HEARTBEAT_BYTES} bytes: shorten it")
        try:
            record = read_heartbeat(instance_id, request.body)
        except HeartbeatError as error:
            return error_response(400, str(error))
        return await _respond(self.registry.heartbeat(record))

    async def deregister(self, instance_id: str) -> HttpResponse:
        """200 once the registry has acknowledged the deregistration; 503 on a timeout."""
        if not _is_valid_id(instance_id):
            return error_response(400, INVALID_ID_ERROR)
        return await _respond(self.registry.deregister(instance_id))


async def _respond(call: Awaitable[bool]) -> HttpResponse:
    try:
        async with asyncio.timeout(ACK_TIMEOUT_S):
            acknowledged = await call
    except TimeoutError:
        acknowledged = False
    if acknowledged:
        return HttpResponse(200, b"{}")
    return unavailable("not acknowledged by a majority in time: send it again, here or elsewhere")


def read_heartbeat(instance_id: str, body: bytes) -> InstanceRecord:
    """Parse a heartbeat. Raises HeartbeatError."""
    if not _is_valid_id(instance_id):
        raise HeartbeatError(INVALID_ID_ERROR)
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
        slots=_number(fields, "Slots", MAX_UINT32),
        state=_state(fields),
        sequence=_number(fields, "Sequence", MAX_UINT64),
        cold_remaining_ms=_number(fields, "ColdRemainingMs", MAX_UINT32),
        stage=_text(fields, "Stage"),
        models=_models(fields.get("Models")),
    )


def _is_valid_id(text: str) -> bool:
    return 0 < len(text) <= MAX_ID_CHARACTERS and text.isprintable() and "/" not in text


def _quoted(value: object) -> str:
    return ascii(value)[:60]


def _text(fields: dict[str, Any], key: str, required: bool = False) -> str:
    value = fields.get(key)
    if value is None and not required:
        return ""
    if isinstance(value, int | float) and not isinstance(value, bool):
        return str(value)  # a Generation may be a number
    if not isinstance(value, str) or (required and not value):
        raise HeartbeatError(f"{key} is {_quoted(value)}: make it a string")
    return value


def _state(fields: dict[str, Any]) -> InstanceState:
    name = _text(fields, "State") or "ready"
    if name not in STATES:
        raise HeartbeatError(f"State is {_quoted(name)}: say one of {', '.join(STATES)}")
    return STATES[name]


def _address(fields: dict[str, Any]) -> str:
    address = _text(fields, "Address", required=True)
    host, _, port = address.rpartition(":")
    digits = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not host or not digits or not 0 < int(port) <= MAX_PORT:
        raise HeartbeatError(f'Address is {_quoted(address)}: write "IP:PORT"')
    return address


def _number(fields: dict[str, Any], key: str, maximum: int) -> int:
    value = fields.get(key)
    if value is None:
        return 0
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= maximum:
        raise HeartbeatError(f"{key} is {_quoted(value)}: make it a number from 0 to {maximum}")
    return int(value)


def _models(value: object) -> list[InstanceModel]:
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise HeartbeatError(f"Models is {_quoted(value)}: make it a list of objects")
    return [
        InstanceModel(
            name=_text(item, "Name"),
            generation=_number(item, "Generation", MAX_UINT64),
            adapters=_adapters(item.get("Adapters")),
        )
        for item in value
    ]


def _adapters(value: object) -> list[str]:
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise HeartbeatError(f"Adapters is {_quoted(value)}: make it a list of strings")
    return list(value)
