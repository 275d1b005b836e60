"""A client's complete request, and where its response goes."""

from dataclasses import dataclass
from typing import Protocol

from brackenusher.data_plane.headers import Header, RequestMetadata


@dataclass(slots=True)
class ClientRequest:
    """A complete request as read from its client."""

    method: bytes
    target: bytes
    metadata: RequestMetadata
    base_headers: list[Header]  # forwarded to every server
    body: bytes
    arrived_at: float  # seconds on the loop's clock: when the head was read


class ResponseWriter(Protocol):
    """The client connection's interface to an exchange."""

    def send_head(self, status: int, headers: list[Header]) -> None:
        """Send the head of a response whose body follows."""

    def send_body(self, data: bytes) -> None:
        """Send a chunk of the body."""

    def send_end(self) -> None:
        """Complete the response."""

    def send_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete response."""

    def send_local_reply(self, status: int, reason: str, retry_after_ms: float | None = None) -> None:
        """Send a complete response made by the proxy itself."""

    def abort(self) -> None:
        """Reset the connection, so that the client sees that the response is incomplete."""
