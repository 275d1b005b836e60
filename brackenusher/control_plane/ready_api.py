"""The calls at a Ready address: GET /-/readiness for the platform, GET /-/metrics for scrapers."""

from collections.abc import Callable

from brackenusher.control_plane.http_server import TEXT_TYPE, HttpRequest, HttpResponse
from brackenusher.runtime.metrics import CONTENT_TYPE, Metrics


class ReadyApi:
    """Request handler of the `HttpServer` at a Ready address."""

    def __init__(self, is_ready: Callable[[], bool], metrics: Metrics) -> None:
        self.is_ready = is_ready
        self.metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """The readiness (200 while the process accepts connections, else 503) or the metrics."""
        if request.method not in ("GET", "HEAD"):
            return HttpResponse(405, headers=[("Allow", "GET")])
        match request.path:
            case "/-/readiness":
                if self.is_ready():
                    return HttpResponse(200, b"ready\n", TEXT_TYPE)
                return HttpResponse(503, b"not ready\n", TEXT_TYPE)
            case "/-/metrics":
                return HttpResponse(200, self.metrics.render(), CONTENT_TYPE)
        return HttpResponse(404, b"ask for /-/readiness or /-/metrics\n", TEXT_TYPE)
