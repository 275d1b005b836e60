"""Incarnation counts of peers' stores, remembered to detect a store that was replaced by an older copy.

Each store counts how many times it was opened. A peer that presents a count already presented by another of
its runs has an old copy of its store, or an empty one. The same run may present its count many times, as
streams break and are reopened.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Incarnation:
    """The highest count that a peer has presented, the run that presented it, and the highest before that."""

    count: int = 0
    run_id: int = 0
    previous_count: int = 0


@dataclass
class Incarnations:
    """The latest incarnation of each peer. An update takes effect once it is on disk."""

    latest: dict[str, Incarnation] = field(default_factory=dict)

    def on_shown(self, name: str, count: int, run_id: int) -> tuple[int, Incarnation | None]:
        """Handle a count presented by a peer.

        Returns the highest count known from before its run, which is the reply, and the incarnation to store
        if it is a new one. `run_id` identifies the process; 0 if the peer's release has no such number.
        """
        known = self.latest.get(name, Incarnation())
        if run_id and run_id == known.run_id and count == known.count:
            return known.previous_count, None
        if count <= known.count:
            return known.count, None
        return known.count, Incarnation(count, run_id, known.count)

    def on_stored(self, name: str, incarnation: Incarnation) -> None:
        """Take over an incarnation that is on disk."""
        if incarnation.count > self.latest.get(name, Incarnation()).count:
            self.latest[name] = incarnation
