"""Figures of the links of a process."""

from collections import Counter as CountByName

from brackenusher.cluster.links import Links
from brackenusher.runtime.metrics import Metrics


def add_link_metrics(metrics: Metrics, links: Links) -> None:
    """Add how many links there are and what goes over them."""

    def peers() -> dict[str, float]:
        roles = CountByName(hello.role for hello in links.connected().values())
        return {role: float(count) for role, count in roles.items()}

    def bytes_sent() -> dict[str, float]:
        return {kind: float(size) for kind, size in links.counters.bytes_by_kind.items()}

    def events() -> dict[str, float]:
        counters = links.counters
        return {
            "sent": float(counters.frames_sent),
            "received": float(counters.frames_received),
            "dropped": float(counters.dropped),
        }

    def connects() -> dict[str, float]:
        return {"tried": float(links.counters.connects), "failed": float(links.counters.failures)}

    metrics.readings("gauge", "links", "Links to peers that are up.", "role", peers)
    metrics.readings("counter", "link_sent_bytes_total", "Bytes sent by message.", "message", bytes_sent)
    metrics.readings("counter", "link_frames_total", "Frames on links.", "event", events)
    metrics.readings("counter", "link_connects_total", "Connections opened to peers.", "outcome", connects)
