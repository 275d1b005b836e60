"""The operator of a fleet on loopback: a configuration with tenants and keys, and changes of it."""

import asyncio
import json
from typing import Any

from testbed.fleet.http_calls import ANSWER_FAILURES, HttpAnswer, HttpCall, call

HOST = "fleet.example"
SERVICE = "engines"
TENANTS = ("tenant-a", "tenant-b", "tenant-c")
ANSWER_S = 5.0
PAUSE_S = 0.1  # between two tries of the same order
BASE_VERSION = "X-Brackenusher-Base-Version"


def key_of(tenant: str) -> str:
    """The key of a tenant."""
    return f"key-of-{tenant}"


def route(name: str, prefix: str, kind: str) -> dict[str, Any]:
    """A route to the one service."""
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 15000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "Service": SERVICE,
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": kind == "streaming",
        "Resumable": False,
        "gap_aim_ms": 200,
    }


def document(generation: int) -> dict[str, Any]:
    """A whole configuration: a route for streams, one for plain requests, a key for each tenant."""
    return {
        "Generation": generation,
        "Routes": [route("chat", "/chat/", "streaming"), route("lookup", "/lookup/", "unsafe")],
        "Services": [
            {
                "Name": SERVICE,
                "HealthPath": "/health",
                "MaxConnections": 200,
                "Protocol": "h1",
                "Tls": False,
                "Engine": {"Slots": 12, "KvCapacityTokens": 300000, "stride": 40, "Models": [{"Name": "m"}]},
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": tenant, "ApiKeys": [key_of(tenant)]} for tenant in TENANTS],
    }


def new_route_patch(generation: int) -> dict[str, Any]:
    """A change: one more route, /added-GENERATION/."""
    added = route(f"added-{generation}", f"/added-{generation}/", "unsafe")
    return {"Generation": generation, "Upsert": {"Routes": [added]}}


class Operator:
    """Sends orders to control processes, one after the other, until one gives a clear answer."""

    def __init__(self, controls: list[str]) -> None:
        self.controls = controls
        self.version = 0  # newest that was acknowledged

    async def replace(self, whole: dict[str, Any], timeout_s: float) -> HttpAnswer:
        """Put a whole configuration in force. Raises TimeoutError."""
        return await self._order("Config.Replace", whole, timeout_s)

    async def patch(self, change: dict[str, Any], timeout_s: float) -> HttpAnswer:
        """Change the configuration in force. Raises TimeoutError."""
        return await self._order("Config.Patch", change, timeout_s)

    async def _order(self, name: str, body: dict[str, Any], timeout_s: float) -> HttpAnswer:
        headers = {BASE_VERSION: str(self.version), "Content-Type": "application/json"}
        request = HttpCall("POST", f"/-/{name}", headers, json.dumps(body).encode())
        async with asyncio.timeout(timeout_s):
            while True:
                for address in self.controls:
                    try:
                        answer = await call(address, request, ANSWER_S)
                    except ANSWER_FAILURES:
                        continue
                    if answer.status < 500:
                        if answer.status == 200:
                            self.version = body["Generation"]
                        return answer
                await asyncio.sleep(PAUSE_S)
