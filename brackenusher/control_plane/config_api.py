"""The operator's calls: Config.Replace, Config.Patch, Config.Get. It never decides whether an order is taken.

Only what can't have been taken by anyone is refused here (a body that is not JSON or is over the bound, a
base version that is no number). All else goes to the configuration shard, which knows the orders taken
before.
"""

import json
from typing import Any, Protocol

from brackenusher.control_plane.http_server import HttpRequest, HttpResponse
from brackenusher.control_plane.responses import error_response, unavailable

BASE_VERSION_HEADER = "X-Brackenusher-Base-Version"
MAX_VERSION_DIGITS = 18  # fits 64 bits
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
ORDER_TIMEOUT_S = 0.95  # callers go elsewhere after a second of silence
SLOW_BODY_BYTES_PER_S = 256 * 1024  # callers wait longer for large bodies
LONGEST_ORDER_TIMEOUT_S = 4.0
CONFIRM_TIMEOUT_S = 0.8
CLEAR_STATUSES = frozenset({200, 400, 412, 413})


class OrderOutcome(Protocol):
    """What became of an order: 200, 400, 412, 413, or 503 where that is not known."""

    @property
    def status(self) -> int: ...

    @property
    def error(self) -> str: ...


class ConfigurationShard(Protocol):
    """What these calls need of the shard; see `config_shard.ConfigShard`."""

    async def submit(self, kind: str, base_version: int, body: bytes, timeout_s: float) -> OrderOutcome: ...

    async def confirmed_document(self, timeout_s: float) -> dict[str, Any] | None: ...


class ConfigApi:
    """Carries out the operator's calls on the configuration."""

    def __init__(self, shard: ConfigurationShard) -> None:
        self.shard = shard
        self._rendered: tuple[dict[str, Any], bytes] | None = None  # the document last asked for, as JSON

    async def order(self, kind: str, request: HttpRequest) -> HttpResponse:
        """Config.Replace (kind "replace") and Config.Patch ("patch")."""
        text = request.headers.get(BASE_VERSION_HEADER.lower(), "").strip()
        if not (text.isascii() and text.isdecimal() and len(text) <= MAX_VERSION_DIGITS):
            shown = ascii(text[:40]) if text else "missing"
            remedy = "send the version that the change builds on, 0 for the first"
            return error_response(400, f"{BASE_VERSION_HEADER} is {shown}: {remedy}")
        if len(request.body) > MAX_DOCUMENT_BYTES:
            return error_response(413, f"the body is over {MAX_DOCUMENT_BYTES} bytes: send it in parts")
        if not _is_json(request.body):
            return error_response(400, "the body is not JSON: send the whole document again")
        timeout_s = min(ORDER_TIMEOUT_S + len(request.body) / SLOW_BODY_BYTES_PER_S, LONGEST_ORDER_TIMEOUT_S)
        outcome = await self.shard.submit(kind, int(text), request.body, timeout_s)
        if outcome.status == 200:
            return HttpResponse(200, b"{}")
        if outcome.status in CLEAR_STATUSES:
            return error_response(outcome.status, outcome.error)
        return unavailable(outcome.error or "no clear answer in time: send the same order again")

    async def get(self) -> HttpResponse:
        """Config.Get: the newest configuration, whole."""
        document = await self.shard.confirmed_document(CONFIRM_TIMEOUT_S)
        if document is None:
            return unavailable("no configuration that a majority confirms: ask again, here or elsewhere")
        if self._rendered is None or self._rendered[0] is not document:
            self._rendered = (document, json.dumps(document, separators=(",", ":")).encode())
        return HttpResponse(200, self._rendered[1])


def _is_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        return False
    return True
