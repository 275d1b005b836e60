"""Recent requests and their events for `explain`, by request id; bounded and kept in memory only.

Cheap enough for the request path: one look-up and one append per event.
"""

from collections.abc import Callable

MAX_REQUESTS = 1000  # the oldest are evicted; about 1 KB each
MAX_EVENTS_PER_REQUEST = 24  # per request; further ones are only counted
EXPLAIN_TOPIC_PREFIX = "explain:"

Event = tuple[float, str, tuple[object, ...]]


class RequestJournal:
    """Events of requests. `clock` returns seconds."""

    def __init__(self, clock: Callable[[], float], max_requests: int = MAX_REQUESTS) -> None:
        self._clock = clock
        self._max_requests = max_requests
        self._events: dict[str, list[Event]] = {}  # oldest request first
        self._omitted_events: dict[str, int] = {}

    def record(self, request_id: str, event: str, *details: object) -> None:
        """Record an event such as "arrived", "sent" or "refused", with its details."""
        events = self._events.get(request_id)
        if events is None:
            events = self._events[request_id] = []
            if len(self._events) > self._max_requests:
                oldest = next(iter(self._events))
                del self._events[oldest]
                self._omitted_events.pop(oldest, None)
        if len(events) < MAX_EVENTS_PER_REQUEST:
            events.append((self._clock(), event, details))
        else:
            self._omitted_events[request_id] = self._omitted_events.get(request_id, 0) + 1

    def explain(self, request_id: str) -> list[dict[str, object]] | None:
        """The events of a request, in milliseconds after the first; None if it is unknown."""
        events = self._events.get(request_id)
        if not events:
            return None
        start = events[0][0]
        rows: list[dict[str, object]] = [
            {
                "after_ms": round((at - start) * 1000.0, 1),
                "event": event,
                "details": " ".join(map(str, details)),
            }
            for at, event, details in events
        ]
        omitted = self._omitted_events.get(request_id)
        if omitted:
            rows.append({"after_ms": None, "event": "further events", "details": str(omitted)})
        return rows

    def status_document(self, topic: str) -> object | None:
        """The status document of the topic explain:REQUEST-ID; for a StatusResponder."""
        return (
            self.explain(topic.removeprefix(EXPLAIN_TOPIC_PREFIX))
            if topic.startswith(EXPLAIN_TOPIC_PREFIX)
            else None
        )
