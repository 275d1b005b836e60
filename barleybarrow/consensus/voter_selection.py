"""Who votes: the choice of the first voters, and single changes later. Pure functions over what a
leader sees.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

MIN_TARGET = 3  # below it no voter may be lost
MAX_VOTERS = 9  # more make every order slower and protect from nothing new


@dataclass(frozen=True, slots=True)
class ControlProcess:
    """A control process as its Hello tells it. `counts`: its machine counts for the quorum, and has a
    disk.
    """

    name: str
    zone: str
    counts: bool
    incarnation: int = 0  # of the process; another one may have lost its disk


def target_voters(tolerated_machines: int, disks: bool) -> int:
    """How many voters there are to be: enough for a majority after the tolerated losses.

    Without any disk all that serve `control` are the core, and more than half of them must do.
    """
    if not disks:
        return MAX_VOTERS
    return min(MAX_VOTERS, max(MIN_TARGET, 2 * tolerated_machines + 1))


def eligible(processes: Collection[ControlProcess]) -> list[ControlProcess]:
    """Those that may vote: those that count, or all where none does."""
    counting = [process for process in processes if process.counts]
    return counting or list(processes)


def choose_voters(processes: Collection[ControlProcess], preferred: list[str], target: int) -> list[str]:
    """The first voters: the zones in turn, in each the preferred first."""

    def rank(process: ControlProcess) -> tuple[int, str]:
        place = preferred.index(process.name) if process.name in preferred else len(preferred)
        return place, process.name

    waiting = sorted(processes, key=rank)
    chosen: list[ControlProcess] = []
    while waiting and len(chosen) < target:
        held = Counter(process.zone for process in chosen)
        best = min(waiting, key=lambda process: (held[process.zone], rank(process)))
        waiting.remove(best)
        chosen.append(best)
    return [process.name for process in chosen]


def evening_out(
    voters: list[str], standbys: list[ControlProcess], zones: Mapping[str, str]
) -> list[ControlProcess]:
    """The standbys whose zones lack a voter that another zone has too many of, as a lost zone leaves it."""
    if any(name not in zones for name in voters):  # one that was not met since this process started
        return []
    held = Counter(zones[name] for name in voters)
    most = max(held.values(), default=0)
    return [process for process in standbys if held[process.zone] + 2 <= most]


def next_change(
    own: str,
    voters: list[str],
    target: int,
    reachable: Collection[str],
    standbys: list[ControlProcess],
    zones: Mapping[str, str],
) -> list[str] | None:
    """The voters after the next change of one, as a leader would make it; None where nothing is to be
    changed.

    A standby comes in before a lost voter goes, and no change is made that those reachable could not commit.
    """
    alive = [name for name in voters if name in reachable]
    lost = [name for name in voters if name not in reachable]
    if len(voters) > target:
        held = Counter(zones.get(name, "") for name in voters)
        surplus = [name for name in reversed(voters) if name != own]
        leaving = lost or sorted(surplus, key=lambda name: -held[zones.get(name, "")])
        remaining = [name for name in voters if name != leaving[0]]
        left = len(set(remaining) & set(alive))
        return remaining if left >= len(remaining) // 2 + 1 else None
    if not lost and len(voters) == target:
        standbys = evening_out(voters, standbys, zones)
    if standbys and len(voters) < MAX_VOTERS:
        if len(alive) + 1 < (len(voters) + 1) // 2 + 1:
            return None
        held = Counter(zones.get(name, "") for name in alive)
        best = min(standbys, key=lambda process: (held[process.zone], process.name))
        return [*voters, best.name]
    return None
