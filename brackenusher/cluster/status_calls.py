"""Status queries between processes, for the operator's command line.

Every process replies with a `StatusResponder`; control processes send the queries. Replies are JSON.
"""

import asyncio
import json
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import betterproto

from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.cluster.lives import first_request_number

log = logging.getLogger(__name__)

MAX_REPLY_BYTES = 1024 * 1024  # read by a person; a larger reply would delay other messages of the link


class StatusResponder:
    """Replies to each query with the document of a function; None is sent as an empty reply."""

    def __init__(self, links: Links, get_status: Callable[[str], object | None]) -> None:
        self._links = links
        self._get_status = get_status
        links.on_message(messages.StatusRequest, self._handle_request)

    def _handle_request(self, sender: str, request: betterproto.Message) -> None:
        assert isinstance(request, messages.StatusRequest)
        document = self._get_status(request.topic)
        data = b"" if document is None else json.dumps(document, separators=(",", ":")).encode()
        if len(data) > MAX_REPLY_BYTES:
            log.warning("status reply too large: topic=%s bytes=%d", request.topic, len(data))
            data = b""
        self._links.send(sender, messages.StatusReply(id=request.id, document=data))


@dataclass(slots=True)
class _PendingQuery:
    """One query to several processes."""

    pending: set[str]
    done: "asyncio.Future[None]"
    replies: dict[str, object] = field(default_factory=dict)


class StatusClient:
    """Queries processes that this one has links to."""

    def __init__(self, links: Links) -> None:
        self._links = links
        self._pending_queries: dict[int, _PendingQuery] = {}
        self._last_id = first_request_number(links.own)
        links.on_message(messages.StatusReply, self._handle_reply)
        links.on_change(self._handle_link_change)

    async def query(self, addresses: Iterable[str], topic: str, timeout_s: float) -> dict[str, object]:
        """Returns the documents of the processes that reply in time and have one, by address."""
        self._last_id += 1
        request = messages.StatusRequest(id=self._last_id, topic=topic)
        recipients = {address for address in addresses if self._links.send(address, request)}
        if not recipients:
            return {}
        pending_query = _PendingQuery(recipients, asyncio.get_running_loop().create_future())
        self._pending_queries[request.id] = pending_query
        try:
            await asyncio.wait_for(pending_query.done, timeout_s)
        except TimeoutError:
            pass  # slow or disconnected processes are left out
        finally:
            del self._pending_queries[request.id]
        return pending_query.replies

    def _handle_reply(self, sender: str, reply: betterproto.Message) -> None:
        assert isinstance(reply, messages.StatusReply)
        query = self._pending_queries.get(reply.id)
        if query is None or sender not in query.pending:
            return
        if reply.document:
            try:
                query.replies[sender] = json.loads(reply.document)
            except ValueError:
                log.warning("status reply is not valid JSON: peer=%s", sender)
        self._stop_waiting_for(query, sender)

    def _handle_link_change(self, address: str, hello: messages.Hello | None) -> None:
        if hello is None:
            for query in self._pending_queries.values():
                self._stop_waiting_for(query, address)

    def _stop_waiting_for(self, query: _PendingQuery, address: str) -> None:
        query.pending.discard(address)
        if not query.pending and not query.done.done():
            query.done.set_result(None)
