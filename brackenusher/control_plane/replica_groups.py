"""Who holds which shard of the registry, and which of them are in touch with this process."""

from collections.abc import Callable

from barleybarrow.consensus.voter_selection import MAX_VOTERS
from barleybarrow.replication.rendezvous import SHARD_COUNT, replica_group
from brackenusher.cluster.links import Links
from brackenusher.settings.local import FaultTolerance

CONTROL = "control"


class ReplicaGroups:
    """The replica groups of all shards, as this process sees them."""

    def __init__(self, links: Links, voters: Callable[[], list[str]], tolerance: FaultTolerance) -> None:
        self.own = links.own.address
        self._links = links
        self._voters = voters
        # A zone may hold most of a small group: where zones may be lost, all voters hold each shard.
        whole_places = tolerance.zones > 0 or tolerance.regions > 0
        self._tolerated = MAX_VOTERS // 2 if whole_places else tolerance.machines

    def peers(self) -> list[str]:
        """The other control processes that are in touch."""
        connected = self._links.connected()
        return [a for a, hello in connected.items() if hello.role == CONTROL and a != self.own]

    def group(self, shard: int) -> list[str]:
        """The voters that hold a shard, first choice for its owner first."""
        return replica_group(shard, self._voters(), self._tolerated)

    def reaches_majority(self, shard: int) -> bool:
        """Whether most of a replica group is in touch, this process included if it belongs."""
        group = self.group(shard)
        return len({self.own, *self.peers()}.intersection(group)) * 2 > len(group)

    def reaches_most_voters(self) -> bool:
        """Whether most voters are in touch: what is known here is then not that of a cut-off minority."""
        voters = self._voters()
        return len({self.own, *self.peers()}.intersection(voters)) * 2 > len(voters)

    def owned(self) -> set[int]:
        """The shards of whose replica group this process is the first that it is in touch with."""
        in_touch = {self.own, *self.peers()}
        owners = {
            shard: next((member for member in self.group(shard) if member in in_touch), "")
            for shard in range(SHARD_COUNT)
        }
        return {shard for shard, owner in owners.items() if owner == self.own}

    def reach_voters(self) -> None:
        """Keep links to all voters."""
        for voter in self._voters():
            if voter != self.own:
                self._links.connect(voter)
