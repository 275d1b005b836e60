"""Metrics of a proxy process."""

from collections.abc import Callable, Mapping

from brackenusher.cluster.key_leases import KeyLease
from brackenusher.data_plane.announcer import Announcer
from brackenusher.data_plane.feed_client import FeedClient
from brackenusher.data_plane.proxy import Proxy
from brackenusher.runtime.metrics import Metrics


def add_proxy_metrics(
    metrics: Metrics,
    proxy: Proxy,
    feed: FeedClient,
    is_ready: Callable[[], bool],
    decisions: Callable[[], Mapping[str, int]],
    key_lease: KeyLease,
    announcer: Announcer,
) -> None:
    """Register the metrics of the data plane; `decisions` returns the dispatcher's counters by name."""

    def decided() -> dict[str, float]:
        return {name: float(count) for name, count in decisions().items()}

    metrics.gauge_function(
        "configuration_version", "Version in force here; 0 for none.", lambda: feed.version
    )
    metrics.gauge_function("ready", "1 while the proxy calls itself ready.", lambda: float(is_ready()))
    metrics.gauge_function(
        "key_lease_seconds", "How much longer API keys hold with StrictRevocation.", key_lease.remaining_s
    )
    metrics.gauge_function("requests_in_flight", "Requests under way.", lambda: float(proxy.in_flight()))
    metrics.gauge_function(
        "client_connections", "Open to clients.", lambda: float(len(proxy.client_connections))
    )
    metrics.sampled("counter", "decisions_total", "What the dispatcher decided.", "decision", decided)
    metrics.sampled(
        "counter", "announcement_datagrams_total", "News between proxies.", "what", announcer.counts
    )
    client_end = metrics.histogram(
        "client_end_seconds", "From a client's end to the end of its request.", "sign"
    )
    proxy.observe_client_end = lambda sign, seconds: client_end.labels(sign).observe(seconds)
    metrics.counter_function(
        "server_connections_opened_total", "Opened to servers.", lambda: float(proxy.pool.opened)
    )
