"""An event loop whose clock jumps to the next timer where nothing else is due: minutes pass in no time."""

import asyncio
import heapq
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class VirtualLoop(asyncio.SelectorEventLoop):
    """Time passes only where everything waits for a timer."""

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
                raise RuntimeError("nothing is left that could happen")
            self._virtual_now = max(self._virtual_now, scheduled[0].when())
        super()._run_once()  # type: ignore[misc]


def play(main: Coroutine[Any, Any, T]) -> T:
    """Run a story on a loop of its own, in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
