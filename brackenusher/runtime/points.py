"""Failpoints: named places in the code where the testbed can kill the process or make its disk fail.

BRACKENUSHER_POINTS names a file whose lines are `kill NAME`, `disk full` or `disk slow SECONDS`.
"""

import os
import signal
import time

SCRIPT_PATH = os.environ.get("BRACKENUSHER_POINTS", "")


def read_script() -> list[list[str]]:
    try:
        with open(SCRIPT_PATH, encoding="utf-8") as file:
            return [line.split() for line in file]
    except OSError:
        return []


def failpoint(name: str) -> None:
    """Kill the process if the failpoint of this name is armed."""
    if SCRIPT_PATH and ["kill", name] in read_script():
        os.kill(os.getpid(), signal.SIGKILL)


def disk_failpoint() -> None:
    """Called before each write to disk: delays it, or raises OSError if the disk is to be full."""
    if not SCRIPT_PATH:
        return
    for line in read_script():
        if line[:2] == ["disk", "full"]:
            raise OSError(28, "No space left on device")
        if line[:2] == ["disk", "slow"] and len(line) == 3:
            time.sleep(float(line[2]))
