"""Calls control processes over HTTP for the commands. Tries one address after the other; knows no command."""

import http.client
import json
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from brackenusher.commands.errors import CommandError, ExitCode

BASE_VERSION_HEADER = "X-Brackenusher-Base-Version"
CONNECT_AND_ANSWER_S = 2.0  # a control process answers or gives up within about a second
SLOW_BODY_BYTES_PER_S = 256 * 1024
MAX_REDIRECTS = 2
ROUNDS = 4  # over all addresses
FIRST_PAUSE_S = 0.2  # between rounds; doubles
TRY_AGAIN = frozenset({408, 429})


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer of a control process."""

    status: int
    body: bytes

    def document(self) -> Any:
        """The JSON in the body. Raises CommandError."""
        try:
            return json.loads(self.body)
        except ValueError:
            remedy = "is this the Control address of the fleet?"
            raise CommandError(ExitCode.UNREACHABLE, f"the answer is not JSON: {remedy}") from None

    def error(self) -> str:
        """What the answer says is wrong."""
        try:
            return str(json.loads(self.body)["Error"])
        except (ValueError, KeyError, TypeError):
            return self.body.decode("utf-8", "replace")[:200] or f"status {self.status}"


class ControlClient:
    """Calls whichever control process answers."""

    def __init__(self, addresses: Sequence[str], sleep: Callable[[float], None] = time.sleep) -> None:
        self.addresses = list(addresses)
        self._sleep = sleep

    def get(self, path: str) -> Answer:
        """A read. Raises CommandError where nobody answers."""
        return self._call("GET", path, b"", {})

    def order(self, call: str, base_version: int, body: bytes) -> Answer:
        """An order of the operator; the same one is sent again where there was no clear answer."""
        headers = {BASE_VERSION_HEADER: str(base_version), "Content-Type": "application/json"}
        return self._call("POST", f"/-/{call}", body, headers)

    def _call(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Answer:
        problem, pause = "", FIRST_PAUSE_S
        for turn in range(ROUNDS):
            if turn:
                self._sleep(pause)
                pause *= 2
            for address in self.addresses:
                try:
                    answer = self._call_one(address, method, path, body, headers)
                except (OSError, http.client.HTTPException) as error:
                    problem = f"{address}: {error or type(error).__name__}"
                    continue
                if answer.status < 500 and answer.status not in TRY_AGAIN:
                    return answer
                problem = f"{address}: {answer.error()}"
        remedy = "name a control process that runs with --control IP:PORT, or wait for a majority"
        raise CommandError(ExitCode.UNREACHABLE, f"no clear answer ({problem}): {remedy}")

    def _call_one(self, address: str, method: str, path: str, body: bytes, headers: dict[str, str]) -> Answer:
        for _ in range(MAX_REDIRECTS + 1):
            answer, location = _exchange(address, method, path, body, headers)
            if answer.status != 307 or not location:
                return answer
            parts = urlsplit(location)
            address, path = parts.netloc or address, parts.path or path
        raise http.client.HTTPException("too many redirects")


def _exchange(
    address: str, method: str, path: str, body: bytes, headers: dict[str, str]
) -> tuple[Answer, str]:
    """One request on a connection of its own: the answer, and its Location."""
    timeout_s = CONNECT_AND_ANSWER_S + len(body) / SLOW_BODY_BYTES_PER_S
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body if method == "POST" else None, headers)
        response = connection.getresponse()
        return Answer(response.status, response.read()), response.getheader("Location", "")
    finally:
        connection.close()
