"""Invariants of the server lists and configuration versions of proxies, checked on recorded histories alone.

DRAIN: later than DrainMs after an acknowledged drain or deregistration, no connected proxy offers the server.
BACK: a proxy that has learned that a server drains or is gone never offers it again.
REGRESSION: the configuration version of a proxy never decreases.
UNCONFIRMED: a proxy that becomes ready soon after its start has every version committed before the start.
DROPPED: a connected proxy keeps offering a server that runs and whose heartbeats are acknowledged.
EMPTY: a proxy that offered servers of a service keeps offering some while one of them runs and its
heartbeats arrive. Neither holds where a voter has lost its disk and another one is away at the same time:
the service may rest until all are back.
LOST, STALE, OLD: at the end, without disruptions, every proxy offers all running servers, offers none that
ended or crashed while others of its service run, has the newest version, and is ready.
"""

import itertools
from bisect import bisect_left, bisect_right

from barleybarrow.replication.records import InstanceState
from tests.fleet.feed_world import CONTACT_S, DRAIN_S, CoreSample, FeedSimulation, ProxyProcess

CHECK_INTERVAL_S, CHECKS = 0.5, 20  # interval and number of checks after an acknowledged drain
RECENT_HEARTBEAT_S = 2.5
READY_UNCONFIRMED_S = 3.95  # just below the time after which a proxy serves an unconfirmed version


def offered_at(proxy: ProxyProcess, instance_id: str, at: float) -> bool:
    """Whether a proxy offered a server at a time."""
    offered = False
    for observation in proxy.history:
        if observation.at > at:
            break
        if instance_id in observation.states:
            offered = observation.states[instance_id] is InstanceState.READY
        elif any(
            instance_id in other.states and other.service == observation.service for other in proxy.history
        ):
            offered = False
    return offered


def drain_breaches(simulation: FeedSimulation, end: float) -> list[str]:
    """Breaches of DRAIN."""
    breaches = []
    for ack in simulation.acknowledgements:
        for proxy in simulation.proxies.values():
            due = ack.at + DRAIN_S
            check_times = [due + CHECK_INTERVAL_S * step for step in range(CHECKS)]
            check_times += [observation.at for observation in proxy.history if observation.at > due]
            for at in check_times:
                if (
                    at <= end
                    and is_connected(simulation, proxy, at)
                    and offered_at(proxy, ack.instance_id, at)
                ):
                    breaches.append(f"DRAIN: {ack.instance_id} at {proxy.address}, {at:.2f}")
                    break
    return breaches


def unconfirmed_breaches(simulation: FeedSimulation, proxy: ProxyProcess) -> list[str]:
    """Breaches of UNCONFIRMED."""
    if proxy.first_ready is None or proxy.first_ready[0] - proxy.started_at >= READY_UNCONFIRMED_S:
        return []
    version = proxy.first_ready[1]
    committed_before = [committed for at, committed in simulation.commit_times if at < proxy.started_at]
    if committed_before and version < committed_before[-1]:
        return [f"UNCONFIRMED: {version}, not {committed_before[-1]}, at {proxy.address}"]
    return []


def dropped_breaches(simulation: FeedSimulation, proxy: ProxyProcess) -> list[str]:
    """Breaches of DROPPED."""
    breaches = []
    previously_ready: dict[str, set[str]] = {}
    for observation in proxy.history:
        ready = {i for i, state in observation.states.items() if state is InstanceState.READY}
        connected = is_connected(simulation, proxy, observation.at)
        for instance_id in previously_ready.get(observation.service, set()) - ready:
            may_rest = is_rest_allowed(simulation, observation.at)
            if connected and not may_rest and _is_alive(simulation.servers[instance_id], observation.at):
                breaches.append(f"DROPPED: {instance_id} at {proxy.address}, {observation.at:.2f}")
        previously_ready[observation.service] = ready
    return breaches


def _is_cut_off(simulation: FeedSimulation, proxy: ProxyProcess, at: float) -> bool:
    """Whether a link between the proxy and a control process was cut at a time."""
    in_force: frozenset[tuple[str, str]] = frozenset()
    for since, cuts in simulation.cut_history:
        if since <= at:
            in_force = cuts
    return any(proxy.address in cut for cut in in_force)


def is_undisturbed(simulation: FeedSimulation, proxy: ProxyProcess, at: float) -> bool:
    """Whether a majority of voters runs, connected, and nothing disturbed it or the proxy for ContactMs."""
    if not _has_connected_majority(simulation, at):
        return False
    return not any(
        at - CONTACT_S < disrupted_at <= at and target in ("core", proxy.address)
        for disrupted_at, target in simulation.disruptions
    )


def _has_connected_majority(simulation: FeedSimulation, at: float) -> bool:
    """Whether more than half of the voters run and are connected with one another."""
    position = bisect_right(simulation.core_samples, at, key=_sampled_at)
    if position == 0:
        return False
    sample = simulation.core_samples[position - 1]
    majority = len(simulation.voters) // 2 + 1
    groups = itertools.combinations(sorted(sample.available), majority)
    return any(_all_in_touch(sample, set(group)) for group in groups)


def _sampled_at(sample: CoreSample) -> float:
    return sample.at


def is_connected(simulation: FeedSimulation, proxy: ProxyProcess, at: float) -> bool:
    """Whether the proxy counts as connected, so that invariants with a time limit apply."""
    return is_undisturbed(simulation, proxy, at) and not _is_cut_off(simulation, proxy, at)


def is_rest_allowed(simulation: FeedSimulation, at: float) -> bool:
    """Whether a voter has lost its disk, and since then another one was away within the last ContactMs."""
    for lost_at, voter in simulation.disk_losses:
        others = {name for name in simulation.voters if name != voter}
        first = bisect_left(simulation.core_samples, max(lost_at, at - CONTACT_S), key=_sampled_at)
        last = bisect_right(simulation.core_samples, at, key=_sampled_at)
        if any(not _all_in_touch(sample, others) for sample in simulation.core_samples[first:last]):
            return True
    return False


def _all_in_touch(sample: CoreSample, names: set[str]) -> bool:
    return names <= sample.available and not any(set(pair) <= names for pair in sample.cuts)


def back_breaches(proxy: ProxyProcess) -> list[str]:
    """Breaches of BACK."""
    breaches, ended = [], set()
    for observation in proxy.history:
        for instance_id, state in observation.states.items():
            if state is InstanceState.DRAINING:
                ended.add(instance_id)
            elif instance_id in ended:
                breaches.append(f"BACK: {instance_id} at {proxy.address}, {observation.at:.2f}")
    return breaches


def regression_breaches(proxy: ProxyProcess) -> list[str]:
    """Breaches of REGRESSION."""
    versions = [version for _, version in proxy.versions]
    if versions != sorted(set(versions)):
        return [f"REGRESSION: {versions} at {proxy.address}"]
    return []


def empty_breaches(simulation: FeedSimulation, proxy: ProxyProcess) -> list[str]:
    """Breaches of EMPTY."""
    breaches, offered_services = [], set()
    for observation in proxy.history:
        ready = any(state is InstanceState.READY for state in observation.states.values())
        alive = [
            server
            for server in simulation.servers.values()
            if server.service == observation.service and _is_alive(server, observation.at)
        ]
        may_rest = is_rest_allowed(simulation, observation.at)
        if not ready and observation.service in offered_services and alive and not may_rest:
            breaches.append(f"EMPTY: {observation.service} at {proxy.address}, {observation.at:.2f}")
        if ready:
            offered_services.add(observation.service)
    return breaches


def _is_alive(server: object, at: float) -> bool:
    times: list[float] = server.acknowledged_times  # type: ignore[attr-defined]
    ready_until: float = server.ready_until  # type: ignore[attr-defined]
    return at < ready_until and any(at - RECENT_HEARTBEAT_S < t < at - 0.5 for t in times)


def final_state_breaches(simulation: FeedSimulation) -> list[str]:
    """Breaches of LOST, STALE and OLD, at the end of a run without disruptions."""
    breaches = []
    newest = simulation.commits[-1].generation if simulation.commits else 0
    for proxy in simulation.proxies.values():
        if newest and (proxy.client.version != newest or not proxy.client.ready):
            breaches.append(f"OLD: {proxy.client.version} is not {newest} at {proxy.address}")
        for server in simulation.servers.values():
            ready = server.running and server.state is InstanceState.READY
            if ready and not proxy.offers(server.id):
                breaches.append(f"LOST: {server.id} at {proxy.address}")
            if not ready and proxy.offers(server.id) and _others_run(simulation, server.service):
                breaches.append(f"STALE: {server.id} at {proxy.address}")
    return breaches


def _others_run(simulation: FeedSimulation, service: str) -> bool:
    return any(
        other.running and other.state is InstanceState.READY and other.service == service
        for other in simulation.servers.values()
    )


def all_breaches(simulation: FeedSimulation, end: float) -> list[str]:
    """All breaches that the histories show."""
    breaches = drain_breaches(simulation, end) + final_state_breaches(simulation)
    for proxy in simulation.proxies.values():
        breaches += back_breaches(proxy) + regression_breaches(proxy) + empty_breaches(simulation, proxy)
        breaches += unconfirmed_breaches(simulation, proxy) + dropped_breaches(simulation, proxy)
    return breaches + [f"ERROR: {error!r}" for error in simulation.network.errors]
