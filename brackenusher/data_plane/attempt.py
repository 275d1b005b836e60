"""One send of a request to one server: gets a connection, sends, and tells its exchange what became of it.

Nothing is decided here. An attempt that was cancelled tells nothing any more.
"""

from typing import Protocol

from brackenusher.data_plane.headers import Header
from brackenusher.data_plane.upstream_connection import UpstreamConnection


class AttemptOwner(Protocol):
    """The exchange, as an attempt sees it."""

    request_id: bytes | None

    def write_request(self, attempt: "Attempt", connection: UpstreamConnection) -> bool:
        """Send the request on this connection; False: it must not be sent any more."""

    def attempt_not_sent(self, attempt: "Attempt") -> None:
        """There is no connection; nothing was sent."""

    def attempt_unsent(self, attempt: "Attempt", reason: str) -> None:
        """Not one byte of the request was written: it cannot have run."""

    def attempt_head(self, attempt: "Attempt", status: int, headers: list[Header]) -> None:
        """The head of the answer."""

    def attempt_body(self, attempt: "Attempt", data: bytes) -> None:
        """Bytes of its body."""

    def attempt_end(self, attempt: "Attempt") -> None:
        """The answer is whole."""

    def attempt_broken(self, attempt: "Attempt", reason: str) -> None:
        """The answer ends unfinished; the request may have run."""


class Attempt:
    """One send to one server."""

    def __init__(self, owner: AttemptOwner, server_id: str, priority: int | None) -> None:
        self.server_id = server_id
        self.priority = priority
        self.cancelled = False
        self.sent = False  # whether a byte of the request was written
        self.events = 0  # of its stream, that were passed on
        self.request_id = owner.request_id
        self._owner = owner
        self._connection: UpstreamConnection | None = None

    def connection_ready(self, connection: UpstreamConnection) -> None:
        """The pool hands over a connection."""
        if self.cancelled:
            return
        self._connection = connection
        self.sent = True
        if not self._owner.write_request(self, connection):
            self.sent = False
            self._connection = None

    def connection_failed(self) -> None:
        """The pool has none."""
        if not self.cancelled:
            self.cancelled = True
            self._owner.attempt_not_sent(self)

    def cancel(self) -> None:
        """Give up: the server's work ends with the connection."""
        self.cancelled = True
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.release()

    def pause(self) -> None:
        """The client reads too slowly."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """The client has caught up."""
        if self._connection is not None:
            self._connection.resume()

    def answer_head(self, status: int, headers: list[Header]) -> None:
        """From the connection."""
        if not self.cancelled:
            self._owner.attempt_head(self, status, headers)

    def answer_body(self, data: bytes) -> None:
        """From the connection."""
        if not self.cancelled:
            self._owner.attempt_body(self, data)

    def answer_end(self) -> None:
        """From the connection, which belongs to its pool again."""
        self._connection = None
        if not self.cancelled:
            self._owner.attempt_end(self)

    def answer_broken(self, reason: str) -> None:
        """From the connection, which is closed."""
        self._connection = None
        if not self.cancelled:
            self._owner.attempt_broken(self, reason)

    def request_unsent(self, reason: str) -> None:
        """From the connection, which is closed."""
        self._connection = None
        self.sent = False
        if not self.cancelled:
            self._owner.attempt_unsent(self, reason)
