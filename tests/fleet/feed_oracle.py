"""What may never happen to lists and versions at proxies, read from histories alone.

DRAIN: later than DrainMs after an acknowledged drain or end, no proxy that was in touch offers the server.
BACK: a proxy that has once been told that a server drains or is gone never offers it again.
REGRESSION: the version of the configuration at one proxy never falls.
UNCONFIRMED: a proxy that gets ready soon after its start has what was committed before that.
DROPPED: a proxy in touch does not stop offering a server that runs and whose heartbeats are acknowledged.
EMPTY: a proxy that offered servers of a service keeps offering some while one of them runs and its
heartbeats arrive.
LOST, STALE, OLD: in calm at the end every proxy offers all servers that run, none that ended or crashed
beside
running ones, and has the newest version, and is ready.
"""

from barleybarrow.replication.records import InstanceState
from tests.fleet.feed_world import CONTACT_S, DRAIN_S, ProxyProcess, World

LOOK_S, LOOKS = 0.5, 20  # how often and how many times an acknowledged drain is looked at
HEARD_RECENTLY_S = 2.5
READY_WITHOUT_CORE_S = 3.95  # just less than the time after which a proxy serves unconfirmed


def offered_at(proxy: ProxyProcess, instance_id: str, at: float) -> bool:
    """Whether a proxy offered a server at a moment."""
    current = False
    for seen in proxy.history:
        if seen.at > at:
            break
        if instance_id in seen.states:
            current = seen.states[instance_id] is InstanceState.READY
        elif any(instance_id in other.states and other.service == seen.service for other in proxy.history):
            current = False
    return current


def drains(world: World, ends: float) -> list[str]:
    """Breaches of DRAIN."""
    found = []
    for ack in world.acks:
        for proxy in world.proxies.values():
            due = ack.at + DRAIN_S
            moments = [due + LOOK_S * step for step in range(LOOKS)]
            moments += [seen.at for seen in proxy.history if seen.at > due]
            for at in moments:
                if at <= ends and in_touch(world, proxy, at) and offered_at(proxy, ack.instance_id, at):
                    found.append(f"DRAIN: {ack.instance_id} at {proxy.address}, {at:.2f}")
                    break
    return found


def unconfirmed(world: World, proxy: ProxyProcess) -> list[str]:
    """Breaches of UNCONFIRMED."""
    if proxy.first_ready is None or proxy.first_ready[0] - proxy.started_at >= READY_WITHOUT_CORE_S:
        return []
    version = proxy.first_ready[1]
    before = [committed for at, committed in world.commit_times if at < proxy.started_at]
    if before and version < before[-1]:
        return [f"UNCONFIRMED: {version}, not {before[-1]}, at {proxy.address}"]
    return []


def dropped(world: World, proxy: ProxyProcess) -> list[str]:
    """Breaches of DROPPED."""
    found = []
    last: dict[str, set[str]] = {}
    for seen in proxy.history:
        ready = {i for i, state in seen.states.items() if state is InstanceState.READY}
        believed = in_touch(world, proxy, seen.at)
        for instance_id in last.get(seen.service, set()) - ready:
            if believed and _alive(world.servers[instance_id], seen.at):
                found.append(f"DROPPED: {instance_id} at {proxy.address}, {seen.at:.2f}")
        last[seen.service] = ready
    return found


def _cut_off(world: World, proxy: ProxyProcess, at: float) -> bool:
    """Whether a cut between the proxy and a control process was in force at a moment."""
    in_force: frozenset[tuple[str, str]] = frozenset()
    for since, cuts in world.cuts:
        if since <= at:
            in_force = cuts
    return any(proxy.address in cut for cut in in_force)


def calm(world: World, proxy: ProxyProcess, at: float) -> bool:
    """Whether most of the core runs, and neither it nor the proxy had trouble for ContactMs."""
    running = 0
    for since, count in world.running_voters:
        if since <= at:
            running = count
    if running * 2 <= len(world.voters):
        return False
    return not any(
        at - CONTACT_S < when <= at and whom in ("core", proxy.address) for when, whom in world.troubles
    )


def in_touch(world: World, proxy: ProxyProcess, at: float) -> bool:
    """Whether the rules with a bound of time hold for a proxy at a moment."""
    return calm(world, proxy, at) and not _cut_off(world, proxy, at)


def returns(proxy: ProxyProcess) -> list[str]:
    """Breaches of BACK."""
    found, ended = [], set()
    for seen in proxy.history:
        for instance_id, state in seen.states.items():
            if state is InstanceState.DRAINING:
                ended.add(instance_id)
            elif instance_id in ended:
                found.append(f"BACK: {instance_id} at {proxy.address}, {seen.at:.2f}")
    return found


def regressions(proxy: ProxyProcess) -> list[str]:
    """Breaches of REGRESSION."""
    versions = [version for _, version in proxy.versions]
    if versions != sorted(set(versions)):
        return [f"REGRESSION: {versions} at {proxy.address}"]
    return []


def emptied(world: World, proxy: ProxyProcess) -> list[str]:
    """Breaches of EMPTY."""
    found, had = [], set()
    for seen in proxy.history:
        ready = any(state is InstanceState.READY for state in seen.states.values())
        alive = [s for s in world.servers.values() if s.service == seen.service and _alive(s, seen.at)]
        if not ready and seen.service in had and alive:
            found.append(f"EMPTY: {seen.service} at {proxy.address}, {seen.at:.2f}")
        if ready:
            had.add(seen.service)
    return found


def _alive(server: object, at: float) -> bool:
    times: list[float] = server.acknowledged_times  # type: ignore[attr-defined]
    ready_until: float = server.ready_until  # type: ignore[attr-defined]
    return at < ready_until and any(at - HEARD_RECENTLY_S < t < at - 0.5 for t in times)


def settled_state(world: World) -> list[str]:
    """Breaches of LOST, STALE and OLD, in calm at the end."""
    found = []
    newest = world.commits[-1].generation if world.commits else 0
    for proxy in world.proxies.values():
        if newest and (proxy.client.version != newest or not proxy.client.ready):
            found.append(f"OLD: {proxy.client.version} is not {newest} at {proxy.address}")
        for server in world.servers.values():
            ready = server.running and server.state is InstanceState.READY
            if ready and not proxy.uses(server.id):
                found.append(f"LOST: {server.id} at {proxy.address}")
            if not ready and proxy.uses(server.id) and _others_run(world, server.service):
                found.append(f"STALE: {server.id} at {proxy.address}")
    return found


def _others_run(world: World, service: str) -> bool:
    return any(
        other.running and other.state is InstanceState.READY and other.service == service
        for other in world.servers.values()
    )


def breaches(world: World, ends: float) -> list[str]:
    """All that the histories show."""
    found = drains(world, ends) + settled_state(world)
    for proxy in world.proxies.values():
        found += returns(proxy) + regressions(proxy) + emptied(world, proxy)
        found += unconfirmed(world, proxy) + dropped(world, proxy)
    return found + [f"ERROR: {error!r}" for error in world.network.errors]
