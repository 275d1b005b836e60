"""A run's result in words: its last lines, its breaches, and the file it is kept in."""

from collections.abc import Iterator

from testbed import results
from testbed.results import Result
from testbed.scenario import ScenarioError

BREACHES = 20  # printed in full of one run; the rest is counted


def keep(path: str | None, found: list[Result]) -> None:
    if path:
        try:
            results.save(found, path)
        except OSError as error:
            raise ScenarioError(f"{path}: {error.strerror}") from None


def figures(result: Result) -> str:
    """The last lines of a run, one figure each."""
    return "\n".join(
        [
            f"goodput {result.goodput():.4f}",
            f"p50 {result.percentile(0.5):.1f} ms",
            f"p99 {result.percentile(0.99):.1f} ms",
            f"refusals {result.total('refused'):.0f}",
            f"breaches {len(result.breaches) + result.breaches_dropped}",
            f"digest {result.digest}",
        ]
    )


def breaches(result: Result) -> Iterator[str]:
    """A line for each breach, with what finds it again."""
    for b in result.breaches[:BREACHES]:
        where = f"proxy {b.proxy} request {b.request}"
        yield f"breach {b.promise}: seed {result.seed} at {b.at:.3f} ms {where}: {b.text}"
    more = len(result.breaches) - BREACHES + result.breaches_dropped
    if more > 0:
        yield f"breaches not shown: {more}"
