"""Tests that are known to fail, as KNOWN-RED.txt at the root lists them: both runners pass over just these.

It must never match more than the one test that a line names.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the file: a test that fails, why, and the issue under which it is mended."""

    test: str  # pytest's node id, or the dotted name that nose2 prints (tests.fleet.test_x.Class.test_y)
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"known red, passed over: {self.test} ({self.cause}; issue {self.issue})"


class KnownRedError(ValueError):
    """A line of the file is not "test, cause, issue"."""


def parse_known_red(text: str) -> list[KnownRed]:
    """The entries of a text, one a line: test, cause and issue with commas between; a cause may hold more.

    Raises KnownRedError for a line with an empty or missing part.
    """
    entries = []
    for line in filter(None, map(str.strip, text.splitlines())):
        test, _, rest = line.partition(",")
        cause, _, issue = rest.rpartition(",")
        entry = KnownRed(test.strip(), cause.strip(), issue.strip())
        if not (entry.test and entry.cause and entry.issue):
            raise KnownRedError(f"not 'test, cause, issue': {line}")
        entries.append(entry)
    return entries


def read_known_red(path: Path = KNOWN_RED_FILE) -> list[KnownRed]:
    """The entries of the file; none where there is no file."""
    return parse_known_red(path.read_text(encoding="utf-8")) if path.exists() else []


def matching(entries: Iterable[KnownRed], test: str) -> KnownRed | None:
    """The entry that names this very test: the whole function where the entry has no parameters."""
    return next((entry for entry in entries if test == entry.test or test.startswith(entry.test + "[")), None)
