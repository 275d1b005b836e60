"""Event loop with a virtual clock: when nothing is ready, the clock jumps to the next timer."""

import asyncio
import heapq
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Advances the clock only while everything waits for a timer."""

    def __init__(self) -> None:
        super().__init__()
        self._virtual_now = 0.0

    def time(self) -> float:
        return self._virtual_now

    def _run_once(self) -> None:
        scheduled: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
        while scheduled and scheduled[0].cancelled():
            handle = heapq.heappop(scheduled)
            handle._scheduled = False  # type: ignore[attr-defined]
            self._timer_cancelled_count -= 1  # type: ignore[attr-defined]
        if not self._ready:  # type: ignore[attr-defined]
            if not scheduled:
                raise RuntimeError("deadlock: nothing is ready and no timer is pending")
            self._virtual_now = max(self._virtual_now, scheduled[0].when())
        super()._run_once()  # type: ignore[misc]


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine on a new event loop with a virtual clock."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
