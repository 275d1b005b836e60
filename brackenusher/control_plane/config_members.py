"""Membership of the control plane: gossips the control processes over links, and keeps links to all."""

import asyncio

import betterproto

from barleybarrow.consensus.config_node import ConfigNode
from barleybarrow.consensus.voter_selection import ControlProcess
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.settings.local import LocalSettings

CONTROL_ROLE = "control"
GOSSIP_INTERVAL_S = 1.0  # between control processes
# Gossip rounds between messages to proxies; these get changes at once, this repairs losses.
PROXY_GOSSIP_INTERVAL_ROUNDS = 5
MEMBER_EXPIRY_S = 30.0  # a process to which no process has had a link for this time is dropped


def seed_names(settings: LocalSettings) -> list[str]:
    """The internal addresses of the seed nodes."""
    port = settings.control_internal_port
    return [f"{seed.rpartition(':')[0]}:{port}" for seed in settings.seed_nodes]


def failure_domain(settings: LocalSettings, zone: str) -> str:
    """The failure domain over which voters are spread: the region if the loss of one is to be tolerated, else
    the zone.
    """
    return settings.zones.get(zone, zone) if settings.fault_tolerance.regions else zone


def control_process(settings: LocalSettings, hello: messages.Hello) -> ControlProcess:
    """A Hello as the voter selection needs it."""
    domain = failure_domain(settings, hello.zone)
    counts = hello.counts_for_quorum and hello.has_disk
    return ControlProcess(hello.address, domain, counts, hello.incarnation)


class ConfigMembers:
    """Exchanges the known control processes, voters and leader with other processes."""

    def __init__(self, links: Links, node: ConfigNode, seeds: list[str]) -> None:
        self._links, self._node, self._seeds = links, node, seeds
        self._loop = asyncio.get_running_loop()
        self._last_seen: dict[str, float] = {}  # by address: when it was last connected or reported by a peer
        self._round = 0
        self._timer: asyncio.TimerHandle | None = None
        self._last_sent: tuple[list[str], int, str] = ([], 0, "")

    def start(self) -> None:
        """Connect to the seeds and the voters, and start the gossip."""
        for name in (*self._seeds, *self._node.voters[0]):
            self._links.connect(name)
        self._gossip()

    def close(self) -> None:
        """Stop the gossip."""
        if self._timer is not None:
            self._timer.cancel()

    def message(self) -> messages.Members:
        """The members known to this process, as a message."""
        controls = [hello for hello in self._links.connected().values() if hello.role == CONTROL_ROLE]
        voters, index = self._node.voters
        return messages.Members([self._links.own, *controls], voters, index, self._node.leader)

    def on_link_up(self, address: str) -> None:
        """Send the known members over a new link."""
        self._links.send(address, self.message())

    def on_members(self, message: betterproto.Message) -> None:
        """Merge the members known to another process."""
        assert isinstance(message, messages.Members)
        now = self._loop.time()
        for hello in message.controls:
            if hello.role == CONTROL_ROLE and hello.address:
                self._last_seen[hello.address] = now
                self._links.connect(hello.address)
        for name in message.voters:
            self._last_seen[name] = now
            self._links.connect(name)
        self._node.learn_voters(list(message.voters), message.voters_index)

    def send_changes(self) -> None:
        """Notify all connected processes at once if the voters or the leader have changed."""
        voters, index = self._node.voters
        current = (voters, index, self._node.leader)
        if (current[0], current[2]) == (self._last_sent[0], self._last_sent[2]):
            return
        self._last_sent = current
        for name in voters:
            self._links.connect(name)
        self._send_to_connected(include_proxies=True)

    def _send_to_connected(self, include_proxies: bool) -> None:
        message = self.message()
        for address, hello in self._links.connected().items():
            if include_proxies or hello.role == CONTROL_ROLE:
                self._links.send(address, message)

    def _gossip(self) -> None:
        self._timer = self._loop.call_later(GOSSIP_INTERVAL_S, self._gossip)
        self._round += 1
        self._send_to_connected(include_proxies=self._round % PROXY_GOSSIP_INTERVAL_ROUNDS == 0)
        self._expire_members()

    def _expire_members(self) -> None:
        now = self._loop.time()
        retained = {*self._seeds, *self._node.voters[0], *self._node.raft.voters}
        for name in self._links.connected():
            self._last_seen[name] = now
        for name, last_seen in list(self._last_seen.items()):
            if name not in retained and now - last_seen > MEMBER_EXPIRY_S:
                del self._last_seen[name]
                self._links.disconnect(name)
