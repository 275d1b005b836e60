"""Status documents for the operator's command line: the fleet as this control process sees it (read-only)."""

from typing import Any, Protocol

from barleybarrow.replication.rendezvous import SHARD_COUNT
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.cluster.status_calls import StatusClient

EXPLAIN_PREFIX = "explain:"
EXPLAIN_TIMEOUT_S = 0.8  # callers try another process after 1 s without a response


class ShardStatus(Protocol):
    """The methods of the configuration shard used here."""

    def status(self) -> dict[str, object]: ...

    def history(self) -> list[dict[str, object]]: ...


class RegistryStatus(Protocol):
    """The methods of the registry used here."""

    def status(self) -> dict[str, object]: ...

    def feed_records(self, shard: int, ids: None) -> list[Any]: ...


class ProxyStatuses(Protocol):
    """The attribute of the feeds used here: each proxy's last status, by address."""

    statuses: dict[str, messages.ProxyStatus]


class MemberList(Protocol):
    """The attribute of the membership monitor used here."""

    members: dict[str, messages.MemberView]


class FleetStatus:
    """Provides the documents of the status topics of `Api` (a `StatusProvider`)."""

    def __init__(
        self,
        links: Links,
        shard: ShardStatus,
        registry: RegistryStatus,
        feeds: ProxyStatuses,
        monitor: MemberList,
    ) -> None:
        self.links, self.shard, self.registry = links, shard, registry
        self.feeds, self.monitor = feeds, monitor
        self._caller = StatusClient(links)

    async def tell(self, topic: str) -> object | None:
        """The document of a topic; None if there is none."""
        if topic.startswith(EXPLAIN_PREFIX):
            return await self._explain(topic)
        match topic:
            case "summary":
                return self._summary()
            case "members":
                return [self._member(view) for _, view in sorted(self.monitor.members.items())]
            case "servers":
                return self._servers()
            case "history":
                return self.shard.history()
        return None

    def _summary(self) -> dict[str, object]:
        hellos = self.links.connected().values()
        statuses = list(self.feeds.statuses.values())
        own = self.links.own
        return {
            "answered_by": {"node": own.node_name, "zone": own.zone, "address": own.address},
            "configuration": self.shard.status(),
            "servers": self.registry.status(),
            "links": {role: sum(hello.role == role for hello in hellos) for role in ("control", "proxy")},
            "proxies": {
                "following": len(statuses),
                "ready": sum(status.ready for status in statuses),
                "requests_in_flight": sum(status.requests_in_flight for status in statuses),
                "versions": sorted({status.config_version for status in statuses}),
            },
        }

    def _member(self, view: messages.MemberView) -> dict[str, object]:
        row: dict[str, object] = {
            "address": view.address,
            "role": view.role,
            "node": view.node_name,
            "zone": view.zone,
            "suspected": view.suspected,
        }
        status = self.feeds.statuses.get(view.address)
        if status is not None:
            row.update(version=status.config_version, ready=status.ready, in_flight=status.requests_in_flight)
        return row

    def _servers(self) -> list[dict[str, object]]:
        records = [
            record for shard in range(SHARD_COUNT) for record in self.registry.feed_records(shard, None)
        ]
        records.sort(key=lambda record: (record.service, record.id))
        return [
            {
                "service": record.service,
                "id": record.id,
                "address": record.address,
                "zone": record.zone,
                "state": record.state.name.lower(),
                "slots": record.slots,
                "generation": record.generation,
                "models": [model.name for model in record.models],
            }
            for record in records
        ]

    async def _explain(self, topic: str) -> object | None:
        """The events of a request on each proxy that has any, in order."""
        proxies = [address for address, hello in self.links.connected().items() if hello.role == "proxy"]
        replies = await self._caller.query(proxies, topic, EXPLAIN_TIMEOUT_S)
        found = [
            {"proxy": address, "events": events} for address, events in sorted(replies.items()) if events
        ]
        return found or None
