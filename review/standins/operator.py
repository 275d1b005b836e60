"""The operator: one configuration, sent to any control process until one gives a clear answer."""

import json
import time
from typing import Any

from review.standins.platform import Fleet, http_call

HOST, SERVICE = "game.example", "model-pool"
KEY, TENANT = "hwrr6x73d3zji9n73hh2", "kaje80"
RETRY_PAUSE_S = 0.1


def route(name: str, prefix: str, resumable: bool) -> dict[str, Any]:
    """A route for streams, as the pages show one."""
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": prefix,
        "Kind": "streaming",
        "TimeoutMs": 15000,
        "TargetLatencyMs": 150,
        "Priority": 0,
        "Service": SERVICE,
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": True,
        "Resumable": resumable,
        "gap_aim_ms": 200,
    }


def document(generation: int) -> dict[str, Any]:
    """A whole configuration: one service of model servers, a plain and a resumable route for streams."""
    engine = {"Slots": 48, "KvCapacityTokens": 305000, "stride": 38, "Models": [{"Name": "m"}]}
    return {
        "Generation": generation,
        "Routes": [route("r-verdict", "/verdict/", False), route("r-chatter", "/chatter/", True)],
        "Services": [
            {
                "Name": SERVICE,
                "HealthPath": "/health",
                "MaxConnections": 320,
                "Protocol": "h1",
                "Tls": False,
                "Engine": engine,
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
    }


def put_configuration(fleet: Fleet, generation: int, timeout_s: float) -> float | None:
    """Send the first configuration until it is acknowledged; the time of that, or None."""
    body = json.dumps(document(generation)).encode()
    headers = {"Content-Type": "application/json", "X-Brackenusher-Base-Version": "0"}
    end = time.monotonic() + timeout_s
    tries = 0
    fleet.record.add("operator", f"Config.Replace generation={generation} is sent until it is taken")
    answers: dict[str, int] = {}
    while time.monotonic() < end:
        for address in fleet.controls():
            answer = http_call(address, "POST", "/-/Config.Replace", body, headers)
            tries += 1
            what = "no answer" if answer is None else str(answer[0])
            answers[what] = answers.get(what, 0) + 1
            if answer is not None and answer[0] == 200:
                return fleet.record.add("operator", f"acknowledged by {address} after {tries} calls")
        time.sleep(RETRY_PAUSE_S)
    fleet.record.add("operator", f"not acknowledged in {timeout_s:.0f} s: {tries} calls, answers {answers}")
    return None
