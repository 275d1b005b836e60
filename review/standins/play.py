"""Plays a case: time limit, exit code and record."""

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from review.standins.platform import CannotRunError, Fleet, Record

LIMIT_S = 110
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def _stop(number: int, _frame: object) -> None:
    raise CannotRunError(f"ended by signal {number}")


def play(folder: Path, case: Callable[[Fleet, bool], bool]) -> None:
    """Play a case, which says whether the rule was broken, and exit."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _stop)
    signal.alarm(LIMIT_S)
    record.add("case", f"{folder.name}, {'with' if trouble else 'without'} the disruption")
    code = CANNOT_RUN
    try:
        with Fleet(record) as fleet:
            code = BROKEN if case(fleet, trouble) else HELD
    except (CannotRunError, OSError) as error:
        record.add("case", f"could not run: {error}")
    record.add("case", {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(code, "no result"))
    sys.exit(code)
