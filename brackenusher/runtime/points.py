"""Named points in the code at which the testbed may end the process, or have its disk fail.

The environment variable names a file; its lines are `kill NAME`, `disk full` and `disk slow SECONDS`.
"""

import os
import signal
import time

SCRIPT = os.environ.get("BRACKENUSHER_POINTS", "")


def lines() -> list[list[str]]:
    try:
        with open(SCRIPT, encoding="utf-8") as file:
            return [line.split() for line in file]
    except OSError:
        return []


def reach(name: str) -> None:
    """The process has come to a point of this name."""
    if SCRIPT and ["kill", name] in lines():
        os.kill(os.getpid(), signal.SIGKILL)


def disk() -> None:
    """Something is about to be made durable. Raises OSError where the disk is to be full."""
    if not SCRIPT:
        return
    for line in lines():
        if line[:2] == ["disk", "full"]:
            raise OSError(28, "No space left on device")
        if line[:2] == ["disk", "slow"] and len(line) == 3:
            time.sleep(float(line[2]))
