"""Replica groups of the registry's shards, and which of their members are connected to this process."""

from collections.abc import Callable

from barleybarrow.consensus.voter_selection import MAX_VOTERS
from barleybarrow.replication.rendezvous import SHARD_COUNT, distinct_replica_groups, replica_group
from brackenusher.cluster.links import Links
from brackenusher.settings.local import FaultTolerance

CONTROL_ROLE = "control"


class ReplicaGroups:
    """The replica groups of all shards, as this process sees them."""

    def __init__(self, links: Links, voters: Callable[[], list[str]], tolerance: FaultTolerance) -> None:
        self.own = links.own.address
        self._links = links
        self._voters = voters
        # A zone may hold most of a small group: where zone loss is tolerated, all voters hold each shard.
        domain_loss_tolerated = tolerance.zones > 0 or tolerance.regions > 0
        self._tolerated_failures = MAX_VOTERS // 2 if domain_loss_tolerated else tolerance.machines

    def peers(self) -> list[str]:
        """The connected control processes without this one."""
        connected = self._links.connected()
        return [a for a, hello in connected.items() if hello.role == CONTROL_ROLE and a != self.own]

    def all_groups(self) -> frozenset[frozenset[str]]:
        """The replica groups of all shards, each once; none while no voters are known."""
        voters = tuple(self._voters())
        return distinct_replica_groups(voters, self._tolerated_failures) if voters else frozenset()

    def group(self, shard: int) -> list[str]:
        """The voters that hold a shard, in order of preference for its owner."""
        return replica_group(shard, self._voters(), self._tolerated_failures)

    def reaches_majority(self, shard: int) -> bool:
        """Whether a majority of a replica group is connected, counting this process if it is a member."""
        group = self.group(shard)
        return len({self.own, *self.peers()}.intersection(group)) * 2 > len(group)

    def reaches_voter_majority(self) -> bool:
        """Whether a majority of the voters is connected: this process is not in a partitioned minority."""
        voters = self._voters()
        return len({self.own, *self.peers()}.intersection(voters)) * 2 > len(voters)

    def owned(self) -> set[int]:
        """The shards this process owns: it is the first connected member of their replica groups."""
        connected = {self.own, *self.peers()}
        owners = {
            shard: next((member for member in self.group(shard) if member in connected), "")
            for shard in range(SHARD_COUNT)
        }
        return {shard for shard, owner in owners.items() if owner == self.own}

    def connect_voters(self) -> None:
        """Request links to all voters."""
        for voter in self._voters():
            if voter != self.own:
                self._links.connect(voter)
