"""One attempt to send a request to one server: waits for a connection, sends, and reports to its exchange.

Makes no decisions. A cancelled attempt reports nothing more.
"""

from typing import Protocol

from brackenusher.data_plane.headers import Header
from brackenusher.data_plane.upstream_connection import UpstreamConnection


class AttemptOwner(Protocol):
    """The exchange's interface to its attempt."""

    request_id: bytes | None

    def write_request(self, attempt: "Attempt", connection: UpstreamConnection) -> bool:
        """Write the request to this connection; False if it must no longer be sent."""

    def attempt_connect_failed(self, attempt: "Attempt") -> None:
        """No connection could be had; nothing was sent."""

    def attempt_not_written(self, attempt: "Attempt", reason: str) -> None:
        """No byte of the request was written: the server cannot have executed it."""

    def attempt_head(self, attempt: "Attempt", status: int, headers: list[Header]) -> None:
        """Status and headers of the response."""

    def attempt_body(self, attempt: "Attempt", data: bytes) -> None:
        """A chunk of the response body."""

    def attempt_complete(self, attempt: "Attempt") -> None:
        """The response is complete."""

    def attempt_broken(self, attempt: "Attempt", reason: str) -> None:
        """The response ended prematurely; the server may have executed the request."""


class Attempt:
    """One attempt at one server; it implements the waiter of the pool and the receiver of the connection."""

    def __init__(self, owner: AttemptOwner, server_id: str, priority: int | None) -> None:
        self.server_id = server_id
        self.priority = priority
        self.cancelled = False
        self.sent = False  # whether any byte of the request was written
        self.events_forwarded = 0
        self.request_id = owner.request_id
        self._owner = owner
        self._connection: UpstreamConnection | None = None

    def connection_ready(self, connection: UpstreamConnection) -> None:
        """Called by the pool with a connection."""
        if self.cancelled:
            return
        self._connection = connection
        self.sent = True
        if not self._owner.write_request(self, connection):
            self.sent = False
            self._connection = None

    def connection_failed(self) -> None:
        """Called by the pool when it has no connection."""
        if not self.cancelled:
            self.cancelled = True
            self._owner.attempt_connect_failed(self)

    def cancel(self) -> None:
        """Cancel the attempt; closing the connection makes the server stop its work."""
        self.cancelled = True
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.release()

    def pause(self) -> None:
        """Stop reading from the server: the client's write buffer is full."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Read from the server again."""
        if self._connection is not None:
            self._connection.resume()

    def response_head(self, status: int, headers: list[Header]) -> None:
        """Called by the connection."""
        if not self.cancelled:
            self._owner.attempt_head(self, status, headers)

    def response_body(self, data: bytes) -> None:
        """Called by the connection."""
        if not self.cancelled:
            self._owner.attempt_body(self, data)

    def response_end(self) -> None:
        """Called by the connection, which is back in its pool by now."""
        self._connection = None
        if not self.cancelled:
            self._owner.attempt_complete(self)

    def response_broken(self, reason: str) -> None:
        """Called by the connection, which is closed by now."""
        self._connection = None
        if not self.cancelled:
            self._owner.attempt_broken(self, reason)

    def request_not_written(self, reason: str) -> None:
        """Called by the connection, which is closed by now."""
        self._connection = None
        self.sent = False
        if not self.cancelled:
            self._owner.attempt_not_written(self, reason)
