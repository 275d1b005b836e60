"""Which route a request takes: by host, then by longest path prefix. A pure table, built once a version."""

import zlib
from collections.abc import Iterable

from barleybarrow.documents import Route

HASH_RANGE = 1 << 32  # of CRC-32


class RouteTable:
    """The routes of one configuration, by host and path prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._prefixes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._prefixes.setdefault(route.hostname.lower(), {})[route.path_prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """The route of a request, or None; `host` and `target` are as the client sent them."""
        prefixes = self._prefixes.get(host_name(host))
        if prefixes is None:
            return None
        path = target_path(target)
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def host_name(host: str) -> str:
    """The name in a Host header, without its port, in lower case."""
    name, colon, port = host.strip().lower().rpartition(":")
    return name if colon and port.isdigit() else host.strip().lower()


def target_path(target: str) -> str:
    """The path of a request target in origin form or absolute form, without its query."""
    path = target.partition("?")[0]
    if path.startswith("/"):
        return path
    scheme, separator, rest = path.partition("://")
    if not separator or scheme.lower() not in ("http", "https"):
        return ""
    slash = rest.find("/")
    return rest[slash:] if slash >= 0 else "/"


def choose_service(route: Route, request_id: str) -> str:
    """The service that runs this request: the route's own, or one drawn by weight from a hash of the id."""
    if not route.traffic_split:
        return route.service
    total = sum(part.weight for part in route.traffic_split)
    point = zlib.crc32(request_id.encode()) / HASH_RANGE * total
    for part in route.traffic_split:
        point -= part.weight
        if point < 0:
            return part.service
    return max(route.traffic_split, key=lambda part: part.weight).service
