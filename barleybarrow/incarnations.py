"""How often others' stores were opened, as one proxy remembers it: whether a store that comes is the latest.

A proxy that shows a count that was shown before by another run of it has an old copy of its store, or an
empty one. The same run may show its count many times: streams break and are opened anew.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Life:
    """The greatest count that one has shown, the run that showed it, and the greatest before it."""

    lives: int = 0
    run: int = 0
    before: int = 0


@dataclass
class Incarnations:
    """What is remembered; `kept` makes it so once it is on disk."""

    met: dict[str, Life] = field(default_factory=dict)

    def shown(self, name: str, lives: int, run: int) -> tuple[int, Life | None]:
        """What one is to be answered: the greatest count known from before its run. And what is to be stored.

        `run` is a number of the process, 0 where its release has none.
        """
        known = self.met.get(name, Life())
        if run and run == known.run and lives == known.lives:
            return known.before, None
        if lives <= known.lives:
            return known.lives, None
        return known.lives, Life(lives, run, known.lives)

    def kept(self, name: str, life: Life) -> None:
        if life.lives > self.met.get(name, Life()).lives:
            self.met[name] = life
