"""Incarnation counts of peers' stores, remembered to detect a store that was replaced by an older copy.

Each store counts how many times it was opened. A peer that presents a count already presented by another of
its runs has an old copy of its store, or an empty one. The same run may present its count many times, as
streams break and are reopened.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Life:
    """The highest count that a peer has presented, the run that presented it, and the highest before that."""

    lives: int = 0
    run: int = 0
    before: int = 0


@dataclass
class Incarnations:
    """The latest incarnation of each peer. An update takes effect once it is on disk."""

    latest: dict[str, Life] = field(default_factory=dict)

    def shown(self, name: str, count: int, run_id: int) -> tuple[int, Life | None]:
        """Handle a count presented by a peer.

        Returns the highest count known from before its run, which is the reply, and the incarnation to store
        if it is a new one. `run` identifies the process; 0 if the peer's release has no such number.
        """
        known = self.latest.get(name, Life())
        if run_id and run_id == known.run and count == known.lives:
            return known.before, None
        if count <= known.lives:
            return known.lives, None
        return known.lives, Life(count, run_id, known.lives)

    def kept(self, name: str, incarnation: Life) -> None:
        """Take over an incarnation that is on disk."""
        if incarnation.lives > self.latest.get(name, Life()).lives:
            self.latest[name] = incarnation
