"""Route lookup by host and longest path prefix. A table is immutable and built per configuration version."""

import zlib
from collections.abc import Iterable

from barleybarrow.documents import Route

HASH_RANGE = 1 << 32  # of CRC-32


class RouteTable:
    """The routes of one configuration, by host and path prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.hostname.lower(), {})[route.path_prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """The matching route or None; `host` and `target` are as sent by the client."""
        routes_by_prefix = self._routes_by_host.get(host_name(host))
        if routes_by_prefix is None:
            return None
        path = target_path(target)
        slash = path.rfind("/")
        while slash >= 0:
            route = routes_by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind("/", 0, slash)
        return None


def host_name(host: str) -> str:
    """The lower-case host name of a Host header, without the port."""
    name, colon, port = host.strip().lower().rpartition(":")
    return name if colon and port.isdigit() else host.strip().lower()


def target_path(target: str) -> str:
    """The path of a request target in origin form or absolute form, without the query; else empty."""
    path = target.partition("?")[0]
    if path.startswith("/"):
        return path
    scheme, separator, remainder = path.partition("://")
    if not separator or scheme.lower() not in ("http", "https"):
        return ""
    slash = remainder.find("/")
    return remainder[slash:] if slash >= 0 else "/"


def choose_service(route: Route, request_id: str) -> str:
    """The service of the route, or one of its traffic split by weight and a hash of the request id."""
    if not route.traffic_split:
        return route.service
    total = sum(part.weight for part in route.traffic_split)
    point = zlib.crc32(request_id.encode()) / HASH_RANGE * total
    for part in route.traffic_split:
        point -= part.weight
        if point < 0:
            return part.service
    return max(route.traffic_split, key=lambda part: part.weight).service
