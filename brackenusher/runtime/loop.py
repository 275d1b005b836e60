"""The event loop: epoll, with generators as coroutines.

A coroutine owns one socket. It yields the epoll mask that it waits for, and is resumed with the events that
occurred, or with 0 if it was woken. When it ends, its socket is closed.
"""

import logging
import select
import socket
import time
from collections import deque
from collections.abc import Generator
from inspect import GEN_RUNNING, getgeneratorstate

from brackenusher.runtime.log import log_exception
from brackenusher.runtime.timers import Timers

log = logging.getLogger(__name__)

READ, WRITE = select.EPOLLIN, select.EPOLLOUT
HANGUP = select.EPOLLRDHUP
MAX_WAIT_MS = 1000.0
MAX_EVENTS_PER_ITERATION = 64  # per iteration, so that priority tasks are polled every few milliseconds

Coroutine = Generator[int, int, None]


def clock() -> float:
    """Monotonic time in milliseconds; the only clock of the daemon."""
    return time.monotonic() * 1000.0


class Task:
    """A running coroutine with its socket."""

    __slots__ = (
        "loop",
        "epoll",
        "coroutine",
        "sock",
        "fd",
        "mask",
        "woken",
        "stopped",
        "ended",
        "spawned_in",
    )

    def __init__(
        self, loop: "EventLoop", coroutine: Coroutine, sock: socket.socket, epoll: select.epoll
    ) -> None:
        self.loop, self.coroutine, self.sock, self.fd = loop, coroutine, sock, sock.fileno()
        self.epoll = epoll  # where the socket is registered
        # Events polled in this iteration belong to an earlier socket with the same descriptor.
        self.spawned_in = loop.iterations
        self.mask, self.woken, self.stopped, self.ended = 0, False, False, False

    def wake(self) -> None:
        """Resume the coroutine in this iteration although its socket has no events."""
        if not self.woken and not self.ended:
            self.woken = True
            self.loop.woken_tasks.append(self)

    def stop(self) -> None:
        """Close the coroutine where it waits; one that is running is closed at its next yield."""
        if getgeneratorstate(self.coroutine) is GEN_RUNNING:
            self.stopped = True
        elif not self.ended:
            self.coroutine.close()
            self.loop.close_task(self)


class EventLoop:
    """Runs the tasks and the due timers, one iteration after the other."""

    def __init__(self, timers: Timers) -> None:
        self.epoll = select.epoll()
        self.timers = timers
        self.tasks: dict[int, Task] = {}
        self.woken_tasks: deque[Task] = deque()
        self.running = True
        self.iterations = 0
        # polled first in each iteration; created for the first priority task
        self.priority_epoll: select.epoll | None = None

    def spawn(self, coroutine: Coroutine, sock: socket.socket, priority: bool = False) -> Task:
        """Start a coroutine that owns a socket, and run it to its first yield.

        With `priority`, its events are handled before all others of an iteration.
        """
        epoll = self.epoll
        if priority:
            if self.priority_epoll is None:
                self.priority_epoll = select.epoll()
                self.epoll.register(self.priority_epoll.fileno(), READ)
            epoll = self.priority_epoll
        task = Task(self, coroutine, sock, epoll)
        self.tasks[task.fd] = task
        epoll.register(task.fd, 0)
        self.resume(task, None)
        return task

    def close_task(self, task: Task) -> None:
        task.ended = True
        if self.tasks.pop(task.fd, None) is not None:
            task.epoll.unregister(task.fd)
        task.sock.close()

    def resume(self, task: Task, events: int | None) -> None:
        try:
            mask = next(task.coroutine) if events is None else task.coroutine.send(events)
        except StopIteration:
            self.close_task(task)
        except Exception:  # an error ends only the connection on which it occurred
            log_exception(log, "coroutine_failed", "a coroutine failed")
            self.close_task(task)
        else:
            if task.stopped:
                task.stop()
            elif mask != task.mask:
                task.mask = mask
                task.epoll.modify(task.fd, mask)

    def run_once(self) -> None:
        """Poll for events, resume their tasks, then run the due timers."""
        self.iterations += 1
        due = self.timers.next_due()
        wait = MAX_WAIT_MS if due is None else min(max(due - clock(), 0.0), MAX_WAIT_MS)
        polled = self.epoll.poll(0 if self.woken_tasks else wait / 1000.0, MAX_EVENTS_PER_ITERATION)
        if self.priority_epoll is not None and polled:
            polled = self.priority_epoll.poll(0) + polled
        for fd, events in polled:
            task = self.tasks.get(fd)
            if task is not None and task.spawned_in != self.iterations:
                self.resume(task, events)
        self.resume_woken()
        self.timers.run_due(clock())
        self.resume_woken()

    def resume_woken(self) -> None:
        while self.woken_tasks:
            task = self.woken_tasks.popleft()
            task.woken = False
            if not task.ended:
                self.resume(task, 0)

    def run(self) -> None:
        while self.running:
            self.run_once()
