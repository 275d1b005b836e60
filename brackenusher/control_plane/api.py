"""Routes the calls at the Control address to their handlers; makes no decisions and keeps no state.

POST /-/Instances.Heartbeat/ID, /-/Instances.Deregister/ID, /-/Config.Replace, /-/Config.Patch; GET
/-/Config.Get; and for the command line GET /-/status/TOPIC, with the topics summary, members, servers,
history and explain/REQUEST-ID, and GET /-/metrics.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import unquote

from brackenusher.control_plane.config_api import ConfigApi, ConfigurationShard
from brackenusher.control_plane.heartbeat_api import HeartbeatApi, InstanceRegistry
from brackenusher.control_plane.http_server import HttpRequest, HttpResponse
from brackenusher.control_plane.responses import error_response, unavailable
from brackenusher.runtime.metrics import CONTENT_TYPE, Metrics

STATUS_TOPICS = ("summary", "members", "servers", "history")
EXPLAIN_PREFIX = "explain/"

# Returns the JSON document of a topic ("summary", ..., "explain:REQUEST-ID"), or None if there is none.
StatusProvider = Callable[[str], Awaitable[object | None]]


class Api:
    """Request handler of the `HttpServer` at the Control address."""

    def __init__(
        self,
        config_shard: ConfigurationShard,
        registry: InstanceRegistry,
        status: StatusProvider | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.config = ConfigApi(config_shard)
        self.instances = HeartbeatApi(registry)
        self.status = status
        self.metrics = metrics or Metrics()
        self._calls = self.metrics.counter("calls_total", "Calls at the Control address.", "call", "status")
        self._call_seconds = self.metrics.histogram("call_seconds", "Time that calls took.", "call")

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """The response to a request; never raises because of a request's content."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        call = _find_call(request.path)
        if call is None:
            name, response = "unknown", error_response(404, "no such call: see the page of the protocol")
        elif request.method != call.method and (request.method, call.method) != ("HEAD", "GET"):
            name, response = call.name, error_response(405, f"{call.name} is called with {call.method}")
            response.headers.append(("Allow", call.method))
        else:
            name, response = call.name, await self._dispatch(call, request)
        self._calls.labels(name, str(response.status)).inc()
        self._call_seconds.labels(name).observe(loop.time() - started)
        return response

    async def _dispatch(self, call: "_Call", request: HttpRequest) -> HttpResponse:
        match call.name:
            case "heartbeat":
                return await self.instances.heartbeat(call.argument, request)
            case "deregister":
                return await self.instances.deregister(call.argument)
            case "replace" | "patch":
                return await self.config.order(call.name, request)
            case "get":
                return await self.config.get()
            case "metrics":
                return HttpResponse(200, self.metrics.render(), CONTENT_TYPE)
        return await self._status_response(call.argument)

    async def _status_response(self, topic: str) -> HttpResponse:
        known = topic in STATUS_TOPICS or (topic.startswith(EXPLAIN_PREFIX) and topic != EXPLAIN_PREFIX)
        if not known:
            return error_response(
                404, f"no such topic: ask for {', '.join(STATUS_TOPICS)} or {EXPLAIN_PREFIX}REQUEST-ID"
            )
        if self.status is None:
            return unavailable("the status is not told here: ask again later")
        document = await self.status(topic.replace(EXPLAIN_PREFIX, "explain:", 1))
        if document is None:
            return error_response(404, f"nothing is known of {topic}: ask another process, or sooner")
        return HttpResponse(200, json.dumps(document, separators=(",", ":")).encode())


@dataclass(slots=True, frozen=True)
class _Call:
    """A call found by path; the argument is the decoded rest of the path."""

    name: str
    method: str
    argument: str = ""


_EXACT_PATHS = {
    "/-/Config.Replace": _Call("replace", "POST"),
    "/-/Config.Patch": _Call("patch", "POST"),
    "/-/Config.Get": _Call("get", "GET"),
    "/-/metrics": _Call("metrics", "GET"),
}
_PATH_PREFIXES = (
    ("/-/Instances.Heartbeat/", "heartbeat", "POST"),
    ("/-/Instances.Deregister/", "deregister", "POST"),
    ("/-/status/", "status", "GET"),
)


def _find_call(path: str) -> _Call | None:
    exact = _EXACT_PATHS.get(path)
    if exact is not None:
        return exact
    for prefix, name, method in _PATH_PREFIXES:
        if path.startswith(prefix):
            return _Call(name, method, unquote(path.removeprefix(prefix)))
    return None
