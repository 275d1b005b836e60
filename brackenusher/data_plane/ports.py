"""Interfaces of the data plane to the dispatcher and the limits."""

from collections.abc import Sequence
from typing import Protocol

from barleybarrow.documents import Route, Service, Tenant
from barleybarrow.routing.actions import Action, DispatchRequest, Outcome, ServerInfo


class DispatcherPort(Protocol):
    """Chooses servers. Takes the time in milliseconds and returns the actions to carry out."""

    def configure(
        self, now: float, services: dict[str, Service], routes: list[Route]
    ) -> Sequence[Action] | None:
        """Apply a configuration."""

    def update_servers(self, now: float, service: str, servers: list[ServerInfo]) -> Sequence[Action] | None:
        """Replace a service's server list."""

    def request_arrived(self, now: float, request: DispatchRequest) -> Sequence[Action]:
        """Choose a server for a new request."""

    def connection_failed(self, now: float, request_id: int, server_id: str) -> Sequence[Action]:
        """Handle that no connection could be had; nothing was sent."""

    def rejected(
        self, now: float, request_id: int, server_id: str, status: int, retry_after_ms: float | None
    ) -> Sequence[Action]:
        """Handle that the server stated that it did not execute the request."""

    def first_event(self, now: float, request_id: int, server_id: str) -> Sequence[Action] | None:
        """Handle the first event of a stream."""

    def event(self, now: float, request_id: int, server_id: str, tokens: int) -> Sequence[Action] | None:
        """Handle a later event of a stream."""

    def response_progress(
        self, now: float, request_id: int, server_id: str, may_move: bool
    ) -> Sequence[Action] | None:
        """Handle a part of a response; `may_move`: another server may still respond to the request."""

    def finished(self, now: float, request_id: int, server_id: str, outcome: Outcome) -> Sequence[Action]:
        """Handle the end of an attempt; with no action for the request, its response is forwarded."""

    def request_cancelled(self, now: float, request_id: int) -> Sequence[Action]:
        """Handle that the request has ended and needs no server any more."""

    def tick(self, now: float) -> Sequence[Action]:
        """Do what is due now."""

    def next_wakeup(self) -> float:
        """The next time at which something is due, or inf."""


class LimitsPort(Protocol):
    """Authenticates tenants and enforces their quotas. Takes the time in milliseconds."""

    def configure(self, now: float, tenants: list[Tenant], services: list[Service]) -> None:
        """Apply a configuration."""

    def authenticate(self, key: str | None) -> Tenant | None:
        """The tenant with this API key, or None."""

    def admit(self, now: float, tenant: Tenant, cost: float) -> bool:
        """Whether a request of this cost is within the quota; charges it if so."""

    def retry_after_ms(self, tenant: Tenant, cost: float) -> float:
        """The Retry-After of a request that exceeds the quota."""

    def record_request(self, now: float, service: str) -> None:
        """Count a client's request."""
