"""A thread that runs blocking disk operations of the process in the order of their submission."""

import asyncio
import queue
import threading
from collections.abc import Callable
from typing import Any, TypeVar

T = TypeVar("T")


class StorageWriter:
    """Runs functions one by one on a dedicated thread. Needs a running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._queue: queue.SimpleQueue[tuple[Callable[[], Any], asyncio.Future[Any]] | None] = (
            queue.SimpleQueue()
        )
        self._thread = threading.Thread(target=self._run, name="storage", daemon=True)
        self._thread.start()
        self.pending_count = 0  # operations submitted and not completed

    def submit(self, operation: Callable[[], T]) -> "asyncio.Future[T]":
        """Runs a function on the thread; the future gets its result or exception."""
        future: asyncio.Future[T] = self._loop.create_future()
        self.pending_count += 1
        self._queue.put((operation, future))
        return future

    def close(self) -> None:
        """Ends the thread after all submitted operations. Does not wait."""
        self._queue.put(None)

    def _run(self) -> None:
        while (item := self._queue.get()) is not None:
            operation, future = item
            result: Any = None
            error: BaseException | None = None
            try:
                result = operation()
            except BaseException as caught:  # passed on to the caller, whatever it is
                error = caught
            try:
                self._loop.call_soon_threadsafe(self._complete, future, result, error)
            except RuntimeError:  # the loop is closed: nobody waits for the result
                return

    def _complete(self, future: "asyncio.Future[Any]", result: Any, error: BaseException | None) -> None:
        self.pending_count -= 1
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)
