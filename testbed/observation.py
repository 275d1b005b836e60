"""The servers' true state, for the policies that may see it."""

from testbed.parts import Around, Front, Host


class Observation:
    """The servers' true state as one proxy may be shown it; a `testbed.policies.View`."""

    def __init__(self, world: Around, proxy: Front) -> None:
        self.world, self.proxy = world, proxy

    def host(self, server: str) -> Host | None:
        """The process that listens where this proxy would send."""
        named = self.world.names.get(server)
        return named if named is not None and named.place.host is named else None

    def alive(self, server: str) -> bool:
        host = self.host(server)
        return host is not None and host.server.serving() and not self.world.cut(self.proxy, host)

    def idle(self, server: str) -> int:
        host = self.host(server)
        if host is None or not host.server.serving():
            return 0
        return max(0, host.server.spec.cores - host.server.held())

    def fails(self, server: str) -> float:
        host = self.host(server)
        return host.server.quick_errors if host is not None else 0.0

    def free(self, server: str) -> int:
        host = self.host(server)
        return host.server.free() if host is not None else 0

    def ahead(self, server: str) -> float:
        host = self.host(server)
        if host is None:
            return 0.0
        host.server.advance_to(self.world.now)
        return host.server.ahead() / 1000.0

    def speed(self, server: str) -> float:
        host = self.host(server)
        if host is None:
            return 0.0
        now, spec = self.world.now, host.server.spec
        return host.server.capacity(now) * spec.efficiency(host.server.held())

    def one_core(self, server: str) -> float:
        host = self.host(server)
        return host.server.one_core(self.world.now) if host is not None else 0.0

    def warmth(self, server: str) -> float:
        host = self.host(server)
        return host.server.warm(self.world.now) if host is not None else 0.0
