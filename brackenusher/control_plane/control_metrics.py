"""Metrics of a control process."""

from collections import Counter as CountByName

from barleybarrow.replication.catch_up import Coverage
from barleybarrow.replication.rendezvous import SHARD_COUNT
from brackenusher.control_plane.config_shard import ConfigShard
from brackenusher.control_plane.feed_source import FeedSource
from brackenusher.control_plane.http_server import HttpServer
from brackenusher.control_plane.registry_service import RegistryService
from brackenusher.runtime.metrics import Metrics


def add_control_metrics(
    metrics: Metrics, shard: ConfigShard, registry: RegistryService, feeds: FeedSource, server: HttpServer
) -> None:
    """Register the metrics of the configuration shard, the registry, the feeds and the Control server."""

    def version() -> float:
        configuration = shard.configuration()
        return float(configuration.generation) if configuration is not None else 0.0

    def servers() -> dict[str, float]:
        records = (
            record
            for shard_index in range(SHARD_COUNT)
            for record in registry.feed_records(shard_index, None)
        )
        states = CountByName(record.state.name.lower() for record in records)
        return {state: float(count) for state, count in states.items()}

    def proxies() -> dict[str, float]:
        ready = sum(status.ready for status in feeds.statuses.values())
        return {"ready": float(ready), "not_ready": float(len(feeds.statuses) - ready)}

    metrics.gauge_function("configuration_version", "Version in force here; 0 for none.", version)
    metrics.gauge_function(
        "is_leader", "1 at the leader of the configuration.", lambda: float(shard.is_leader)
    )
    metrics.gauge_function("voters", "Voters of the configuration.", lambda: float(len(shard.voters())))
    metrics.gauge_function(
        "server_list_incomplete",
        "1 while drains may be missing from the list of servers, so that proxies send no new requests.",
        lambda: float(registry.coverage is Coverage.INCOMPLETE),
    )
    metrics.sampled("gauge", "servers", "Servers that are known.", "state", servers)
    metrics.sampled("gauge", "proxies", "Proxies that follow this process.", "state", proxies)
    metrics.counter_function(
        "connections_turned_away_total",
        "Callers beyond the bound.",
        lambda: float(server.rejected_connections),
    )
