"""The operator's calls: Config.Replace, Config.Patch, Config.Get; the shard decides on the orders.

Only an order that no process can have accepted is refused here (a body that is not JSON or is too large, a
base version that is not a number). All others go to the configuration shard, which knows the orders that
were accepted before.
"""

import json
from typing import Any, Protocol

from brackenusher.control_plane.http_server import HttpRequest, HttpResponse
from brackenusher.control_plane.responses import error_response, unavailable

BASE_VERSION_HEADER = "X-Brackenusher-Base-Version"
MAX_VERSION_DIGITS = 18  # fits 64 bits
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
ORDER_TIMEOUT_S = 0.95  # callers try another process after 1 s without a response
MIN_UPLOAD_BYTES_PER_S = 256 * 1024  # extends the timeout: callers wait longer for large bodies
MAX_ORDER_TIMEOUT_S = 4.0
CONFIRM_TIMEOUT_S = 0.8
DEFINITE_STATUSES = frozenset({200, 400, 412, 413})


class OrderOutcome(Protocol):
    """Outcome of an order: 200, 400, 412, 413, or 503 if it is unknown."""

    @property
    def status(self) -> int: ...

    @property
    def error(self) -> str: ...


class ConfigurationShard(Protocol):
    """The methods of the shard used here; see `config_shard.ConfigShard`."""

    async def submit(self, kind: str, base_version: int, body: bytes, timeout_s: float) -> OrderOutcome: ...

    async def confirmed_document(self, timeout_s: float) -> dict[str, Any] | None: ...


class ConfigApi:
    """Handles the operator's calls on the configuration."""

    def __init__(self, shard: ConfigurationShard) -> None:
        self.shard = shard
        # The last document returned, and its JSON.
        self._cached_json: tuple[dict[str, Any], bytes] | None = None

    async def order(self, kind: str, request: HttpRequest) -> HttpResponse:
        """Config.Replace (kind "replace") and Config.Patch ("patch")."""
        base_version = request.headers.get(BASE_VERSION_HEADER.lower(), "").strip()
        if not (
            base_version.isascii() and base_version.isdecimal() and len(base_version) <= MAX_VERSION_DIGITS
        ):
            shown = ascii(base_version[:40]) if base_version else "missing"
            remedy = "send the version that the change builds on, 0 for the first"
            return error_response(400, f"{BASE_VERSION_HEADER} is {shown}: {remedy}")
        if len(request.body) > MAX_DOCUMENT_BYTES:
            return error_response(413, f"the body is over {MAX_DOCUMENT_BYTES} bytes: send it in parts")
        if not _is_json(request.body):
            return error_response(400, "the body is not JSON: send the whole document again")
        timeout_s = min(ORDER_TIMEOUT_S + len(request.body) / MIN_UPLOAD_BYTES_PER_S, MAX_ORDER_TIMEOUT_S)
        outcome = await self.shard.submit(kind, int(base_version), request.body, timeout_s)
        if outcome.status == 200:
            return HttpResponse(200, b"{}")
        if outcome.status in DEFINITE_STATUSES:
            return error_response(outcome.status, outcome.error)
        return unavailable(outcome.error or "no clear answer in time: send the same order again")

    async def get(self) -> HttpResponse:
        """Config.Get: the newest configuration as one document."""
        document = await self.shard.confirmed_document(CONFIRM_TIMEOUT_S)
        if document is None:
            return unavailable("no configuration that a majority confirms: ask again, here or elsewhere")
        if self._cached_json is None or self._cached_json[0] is not document:
            self._cached_json = (document, json.dumps(document, separators=(",", ":")).encode())
        return HttpResponse(200, self._cached_json[1])


def _is_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        return False
    return True
