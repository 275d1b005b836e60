"""What the data plane needs of the parts that decide: the dispatcher and the limits, as protocols."""

from collections.abc import Sequence
from typing import Protocol

from barleybarrow.documents import Route, Service, Tenant
from barleybarrow.routing.actions import Action, DispatchRequest, Outcome, ServerInfo


class DispatcherPort(Protocol):
    """Chooses servers; told the time in milliseconds; answers with actions."""

    def configure(
        self, now: float, services: dict[str, Service], routes: list[Route]
    ) -> Sequence[Action] | None:
        """A configuration is in force."""

    def update_servers(self, now: float, service: str, servers: list[ServerInfo]) -> Sequence[Action] | None:
        """The list of a service's servers."""

    def request_arrived(self, now: float, request: DispatchRequest) -> Sequence[Action]:
        """A request wants a server."""

    def connection_failed(self, now: float, request_id: int, server_id: str) -> Sequence[Action]:
        """Nothing was sent."""

    def rejected(
        self, now: float, request_id: int, server_id: str, status: int, retry_after_ms: float | None
    ) -> Sequence[Action]:
        """The server says that it did not run the request."""

    def first_event(self, now: float, request_id: int, server_id: str) -> Sequence[Action] | None:
        """The first event of a stream came."""

    def event(self, now: float, request_id: int, server_id: str, tokens: int) -> Sequence[Action] | None:
        """A later event of a stream came."""

    def finished(self, now: float, request_id: int, server_id: str, outcome: Outcome) -> Sequence[Action]:
        """An attempt ended; no action for the request means: the answer goes to the client as it is."""

    def request_cancelled(self, now: float, request_id: int) -> Sequence[Action]:
        """The request wants no server any more."""

    def tick(self, now: float) -> Sequence[Action]:
        """What is due now."""

    def next_wakeup(self) -> float:
        """When something is due, or inf."""


class LimitsPort(Protocol):
    """Who may send how much; told the time in milliseconds."""

    def configure(self, now: float, tenants: list[Tenant], services: list[Service]) -> None:
        """A configuration is in force."""

    def authenticate(self, key: str | None) -> Tenant | None:
        """The tenant that holds a key."""

    def admit(self, now: float, tenant: Tenant, cost: float) -> bool:
        """Whether a request of this cost is within the quota; counts it if so."""

    def retry_after_ms(self, tenant: Tenant, cost: float) -> float:
        """How long a request beyond the quota had best wait."""

    def record_request(self, now: float, service: str) -> None:
        """Counts a client's request."""
