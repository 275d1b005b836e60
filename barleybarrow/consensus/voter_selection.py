"""Selection of the initial voters and of single membership changes. Pure functions of the leader's view."""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

MIN_VOTERS = 3  # fewer voters tolerate no loss
MAX_VOTERS = 9  # more voters slow down every order without tolerating any further kind of loss


@dataclass(frozen=True, slots=True)
class ControlProcess:
    """A control process as described by its Hello.

    `counts_for_quorum`: its machine is configured so and has a disk.
    """

    name: str
    zone: str
    counts_for_quorum: bool
    incarnation: int = 0  # after a restart the disk may be gone


def target_voter_count(tolerated_machines: int, have_disks: bool) -> int:
    """Number of voters wanted: enough to keep a majority after the tolerated losses.

    Without any disk, all control processes are voters up to the maximum, and a majority of them must survive.
    """
    if not have_disks:
        return MAX_VOTERS
    return min(MAX_VOTERS, max(MIN_VOTERS, 2 * tolerated_machines + 1))


def eligible_processes(processes: Collection[ControlProcess]) -> list[ControlProcess]:
    """Processes that may vote: those that count for the quorum, or all of them if none does."""
    counting = [process for process in processes if process.counts_for_quorum]
    return counting or list(processes)


def choose_voters(processes: Collection[ControlProcess], preferred: list[str], target: int) -> list[str]:
    """Choose the initial voters round-robin over the zones, preferred processes first in each zone."""

    def rank(process: ControlProcess) -> tuple[int, str]:
        position = preferred.index(process.name) if process.name in preferred else len(preferred)
        return position, process.name

    remaining = sorted(processes, key=rank)
    chosen: list[ControlProcess] = []
    while remaining and len(chosen) < target:
        voters_by_zone = Counter(process.zone for process in chosen)
        best = min(remaining, key=lambda process: (voters_by_zone[process.zone], rank(process)))
        remaining.remove(best)
        chosen.append(best)
    return [process.name for process in chosen]


def rebalancing_standbys(
    voters: list[str], standbys: list[ControlProcess], zones: Mapping[str, str]
) -> list[ControlProcess]:
    """Standbys in zones that have at least two voters fewer than the fullest zone, as after a lost zone."""
    if any(name not in zones for name in voters):  # a voter not seen since this process started
        return []
    voters_by_zone = Counter(zones[name] for name in voters)
    fullest = max(voters_by_zone.values(), default=0)
    return [process for process in standbys if voters_by_zone[process.zone] + 2 <= fullest]


def next_voter_change(
    own_name: str,
    voters: list[str],
    target: int,
    reachable: Collection[str],
    standbys: list[ControlProcess],
    zones: Mapping[str, str],
) -> list[str] | None:
    """The voters after the next single change; None if no change is needed or possible.

    A standby is added before a lost voter is removed, and no change is made that the reachable voters could
    not commit.
    """
    alive = [name for name in voters if name in reachable]
    lost = [name for name in voters if name not in reachable]
    if len(voters) > target:
        voters_by_zone = Counter(zones.get(name, "") for name in voters)
        surplus = [name for name in reversed(voters) if name != own_name]
        removable = lost or sorted(surplus, key=lambda name: -voters_by_zone[zones.get(name, "")])
        remaining = [name for name in voters if name != removable[0]]
        alive_left = len(set(remaining) & set(alive))
        return remaining if alive_left >= len(remaining) // 2 + 1 else None
    if not lost and len(voters) == target:
        standbys = rebalancing_standbys(voters, standbys, zones)
    if standbys and len(voters) < MAX_VOTERS:
        if len(alive) + 1 < (len(voters) + 1) // 2 + 1:
            return None
        voters_by_zone = Counter(zones.get(name, "") for name in alive)
        best = min(standbys, key=lambda process: (voters_by_zone[process.zone], process.name))
        return [*voters, best.name]
    return None
