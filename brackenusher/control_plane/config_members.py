"""Which control processes there are: gossip over links, and links to all of them."""

import asyncio

import betterproto

from barleybarrow.consensus.config_node import ConfigNode
from barleybarrow.consensus.voter_selection import ControlProcess
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.settings.local import LocalSettings

CONTROL_ROLE = "control"
GOSSIP_S = 1.0  # between control processes
PROXY_GOSSIP_ROUNDS = (
    5  # rounds between two words to proxies: they hear each change at once, this mends losses
)
FORGET_S = 30.0  # a process that nobody has a link to for so long is not looked for any more


def seed_names(settings: LocalSettings) -> list[str]:
    """The internal addresses of the control processes at the seeds."""
    port = settings.control_internal_port
    return [f"{seed.rpartition(':')[0]}:{port}" for seed in settings.seed_nodes]


def failure_domain(settings: LocalSettings, zone: str) -> str:
    """What is lost with a machine of this zone: voters spread over regions where one of those may be lost."""
    return settings.zones.get(zone, zone) if settings.fault_tolerance.regions else zone


def control_process(settings: LocalSettings, hello: messages.Hello) -> ControlProcess:
    """What the machine needs of a Hello."""
    domain = failure_domain(settings, hello.zone)
    counts = hello.counts_for_quorum and hello.has_disk
    return ControlProcess(hello.address, domain, counts, hello.incarnation)


class ConfigMembers:
    """Tells others of the control processes, the voters and the leader, and takes up what they tell."""

    def __init__(self, links: Links, node: ConfigNode, seeds: list[str]) -> None:
        self._links, self._node, self._seeds = links, node, seeds
        self._loop = asyncio.get_running_loop()
        self._seen: dict[str, float] = {}  # when each was last connected or told of
        self._round = 0
        self._timer: asyncio.TimerHandle | None = None
        self._told: tuple[list[str], int, str] = ([], 0, "")

    def start(self) -> None:
        """Keep links to the seeds and the voters, and begin to gossip."""
        for name in (*self._seeds, *self._node.voters[0]):
            self._links.connect(name)
        self._gossip()

    def close(self) -> None:
        """End the gossip."""
        if self._timer is not None:
            self._timer.cancel()

    def message(self) -> messages.Members:
        """What this process knows."""
        controls = [hello for hello in self._links.connected().values() if hello.role == CONTROL_ROLE]
        voters, index = self._node.voters
        return messages.Members([self._links.own, *controls], voters, index, self._node.leader)

    def greet(self, address: str) -> None:
        """A link came up: tell the process what is known."""
        self._links.send(address, self.message())

    def heard(self, message: betterproto.Message) -> None:
        """Take up what another process knows."""
        assert isinstance(message, messages.Members)
        now = self._loop.time()
        for hello in message.controls:
            if hello.role == CONTROL_ROLE and hello.address:
                self._seen[hello.address] = now
                self._links.connect(hello.address)
        for name in message.voters:
            self._seen[name] = now
            self._links.connect(name)
        self._node.learn_voters(list(message.voters), message.voters_index)

    def tell_changes(self) -> None:
        """Tell everybody at once where the voters or the leader have changed."""
        voters, index = self._node.voters
        current = (voters, index, self._node.leader)
        if (current[0], current[2]) == (self._told[0], self._told[2]):
            return
        self._told = current
        for name in voters:
            self._links.connect(name)
        self._tell(everybody=True)

    def _tell(self, everybody: bool) -> None:
        message = self.message()
        for address, hello in self._links.connected().items():
            if everybody or hello.role == CONTROL_ROLE:
                self._links.send(address, message)

    def _gossip(self) -> None:
        self._timer = self._loop.call_later(GOSSIP_S, self._gossip)
        self._round += 1
        self._tell(everybody=self._round % PROXY_GOSSIP_ROUNDS == 0)
        self._forget()

    def _forget(self) -> None:
        now = self._loop.time()
        keep = {*self._seeds, *self._node.voters[0], *self._node.raft.voters}
        for name in self._links.connected():
            self._seen[name] = now
        for name, seen in list(self._seen.items()):
            if name not in keep and now - seen > FORGET_S:
                del self._seen[name]
                self._links.disconnect(name)
