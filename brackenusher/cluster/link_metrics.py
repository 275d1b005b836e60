"""Metrics of the links of a process."""

from collections import Counter as CountByName

from brackenusher.cluster.links import Links
from brackenusher.runtime.metrics import Metrics


def add_link_metrics(metrics: Metrics, links: Links) -> None:
    """Registers the number of links and their traffic."""

    def links_by_role() -> dict[str, float]:
        counts = CountByName(hello.role for hello in links.connected().values())
        return {role: float(count) for role, count in counts.items()}

    def bytes_by_message() -> dict[str, float]:
        return {kind: float(size) for kind, size in links.counters.bytes_by_message.items()}

    def frames_by_event() -> dict[str, float]:
        counters = links.counters
        return {
            "sent": float(counters.frames_sent),
            "received": float(counters.frames_received),
            "dropped": float(counters.frames_dropped),
        }

    def connects_by_outcome() -> dict[str, float]:
        return {
            "tried": float(links.counters.connect_attempts),
            "failed": float(links.counters.connect_failures),
        }

    metrics.sampled("gauge", "links", "Links to peers that are up.", "role", links_by_role)
    metrics.sampled("counter", "link_sent_bytes_total", "Bytes sent by message.", "message", bytes_by_message)
    metrics.sampled("counter", "link_frames_total", "Frames on links.", "event", frames_by_event)
    metrics.sampled(
        "counter", "link_connects_total", "Connections opened to peers.", "outcome", connects_by_outcome
    )
