"""HTTP client for control processes. Tries the addresses in turn and retries inconclusive replies."""

import http.client
import json
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from brackenusher.commands.errors import CommandError, ExitCode

BASE_VERSION_HEADER = "X-Brackenusher-Base-Version"
REQUEST_TIMEOUT_S = 2.0  # a control process replies or times out within about a second
MIN_UPLOAD_BYTES_PER_S = 256 * 1024
MAX_REDIRECTS = 2
MAX_ROUNDS = 4  # a round tries every address
INITIAL_BACKOFF_S = 0.2  # between rounds; doubles each time
RETRYABLE_STATUSES = frozenset({408, 429})


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """The response of a control process."""

    status: int
    body: bytes

    def document(self) -> Any:
        """Decodes the JSON body. Raises CommandError."""
        try:
            return json.loads(self.body)
        except ValueError:
            remedy = "is this the Control address of the fleet?"
            raise CommandError(ExitCode.UNREACHABLE, f"the answer is not JSON: {remedy}") from None

    def error_message(self) -> str:
        """Returns the error in the body, or the start of the body, or the status."""
        try:
            return str(json.loads(self.body)["Error"])
        except (ValueError, KeyError, TypeError):
            return self.body.decode("utf-8", "replace")[:200] or f"status {self.status}"


class ControlClient:
    """Calls the first control process that replies conclusively."""

    def __init__(self, addresses: Sequence[str], sleep: Callable[[float], None] = time.sleep) -> None:
        self.addresses = list(addresses)
        self._sleep = sleep

    def get(self, path: str) -> ControlResponse:
        """Sends a read. Raises CommandError if no control process replies."""
        return self._request("GET", path, b"", {})

    def submit_order(self, operation: str, base_version: int, body: bytes) -> ControlResponse:
        """Sends an order; it is resent unchanged after an inconclusive reply."""
        headers = {BASE_VERSION_HEADER: str(base_version), "Content-Type": "application/json"}
        return self._request("POST", f"/-/{operation}", body, headers)

    def _request(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> ControlResponse:
        last_error, backoff_s = "", INITIAL_BACKOFF_S
        for round_number in range(MAX_ROUNDS):
            if round_number:
                self._sleep(backoff_s)
                backoff_s *= 2
            for address in self.addresses:
                try:
                    response = self._request_with_redirects(address, method, path, body, headers)
                except (OSError, http.client.HTTPException) as error:
                    last_error = f"{address}: {error or type(error).__name__}"
                    continue
                if response.status < 500 and response.status not in RETRYABLE_STATUSES:
                    return response
                last_error = f"{address}: {response.error_message()}"
        remedy = "name a control process that runs with --control IP:PORT, or wait for a majority"
        raise CommandError(ExitCode.UNREACHABLE, f"no clear answer ({last_error}): {remedy}")

    def _request_with_redirects(
        self, address: str, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> ControlResponse:
        for _ in range(MAX_REDIRECTS + 1):
            response, location = _send_request(address, method, path, body, headers)
            if response.status != 307 or not location:
                return response
            location_parts = urlsplit(location)
            address, path = location_parts.netloc or address, location_parts.path or path
        raise http.client.HTTPException("too many redirects")


def _send_request(
    address: str, method: str, path: str, body: bytes, headers: dict[str, str]
) -> tuple[ControlResponse, str]:
    """Sends one request on a new connection; returns the response and its Location header."""
    timeout_s = REQUEST_TIMEOUT_S + len(body) / MIN_UPLOAD_BYTES_PER_S
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body if method == "POST" else None, headers)
        response = connection.getresponse()
        return ControlResponse(response.status, response.read()), response.getheader("Location", "")
    finally:
        connection.close()
