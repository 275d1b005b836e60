"""The event loop: epoll, with generators as coroutines.

A coroutine owns one socket. It yields the epoll mask that it waits for, and is resumed with the events that
came, or with 0 when somebody woke it. When it ends, its socket is closed.
"""

import logging
import select
import socket
import time
from collections import deque
from collections.abc import Generator
from inspect import GEN_RUNNING, getgeneratorstate

from brackenusher.runtime.log import fault
from brackenusher.runtime.timers import Timers

log = logging.getLogger(__name__)

READ, WRITE = select.EPOLLIN, select.EPOLLOUT
HANGUP = select.EPOLLRDHUP
LONGEST_WAIT = 1000.0  # milliseconds
MOST_EVENTS = 64  # a turn takes no more, so that what comes first is looked at every few milliseconds

Coroutine = Generator[int, int, None]


def clock() -> float:
    """The one clock: monotonic milliseconds."""
    return time.monotonic() * 1000.0


class Task:
    """A running coroutine with its socket."""

    __slots__ = ("loop", "epoll", "coroutine", "sock", "fd", "mask", "woken", "stopped", "ended", "since")

    def __init__(self, loop: "Loop", coroutine: Coroutine, sock: socket.socket, epoll: select.epoll) -> None:
        self.loop, self.coroutine, self.sock, self.fd = loop, coroutine, sock, sock.fileno()
        self.epoll = epoll  # where it is registered
        self.since = loop.turns  # news of this turn is of another that had the same descriptor before
        self.mask, self.woken, self.stopped, self.ended = 0, False, False, False

    def wake(self) -> None:
        """Resume the coroutine in this turn though its socket has no news."""
        if not self.woken and not self.ended:
            self.woken = True
            self.loop.woken.append(self)

    def stop(self) -> None:
        """End the coroutine where it waits; one that runs at this moment ends where it waits next."""
        if getgeneratorstate(self.coroutine) is GEN_RUNNING:
            self.stopped = True
        elif not self.ended:
            self.coroutine.close()
            self.loop.end(self)


class Loop:
    """Runs the tasks and sweeps the deadlines, turn by turn."""

    def __init__(self, deadlines: Timers) -> None:
        self.epoll = select.epoll()
        self.deadlines = deadlines
        self.tasks: dict[int, Task] = {}
        self.woken: deque[Task] = deque()
        self.running = True
        self.turns = 0
        self.first: select.epoll | None = None  # what comes first in each turn; made for the first such task

    def spawn(self, coroutine: Coroutine, sock: socket.socket, first: bool = False) -> Task:
        """Start a coroutine that owns a socket, and run it to where it first waits.

        With `first` its events come before all others of a turn.
        """
        epoll = self.epoll
        if first:
            if self.first is None:
                self.first = select.epoll()
                self.epoll.register(self.first.fileno(), READ)
            epoll = self.first
        task = Task(self, coroutine, sock, epoll)
        self.tasks[task.fd] = task
        epoll.register(task.fd, 0)
        self.resume(task, None)
        return task

    def end(self, task: Task) -> None:
        task.ended = True
        if self.tasks.pop(task.fd, None) is not None:
            task.epoll.unregister(task.fd)
        task.sock.close()

    def resume(self, task: Task, events: int | None) -> None:
        try:
            mask = next(task.coroutine) if events is None else task.coroutine.send(events)
        except StopIteration:
            self.end(task)
        except Exception:  # a fault costs the connection on which it showed, and no other
            fault(log, "coroutine_failed", "a coroutine failed")
            self.end(task)
        else:
            if task.stopped:
                task.stop()
            elif mask != task.mask:
                task.mask = mask
                task.epoll.modify(task.fd, mask)

    def turn(self) -> None:
        """Wait for news, resume whom it concerns, then sweep the deadlines."""
        self.turns += 1
        due = self.deadlines.next()
        wait = LONGEST_WAIT if due is None else min(max(due - clock(), 0.0), LONGEST_WAIT)
        news = self.epoll.poll(0 if self.woken else wait / 1000.0, MOST_EVENTS)
        if self.first is not None and news:
            news = self.first.poll(0) + news
        for fd, events in news:
            task = self.tasks.get(fd)
            if task is not None and task.since != self.turns:
                self.resume(task, events)
        self.resume_woken()
        self.deadlines.sweep(clock())
        self.resume_woken()

    def resume_woken(self) -> None:
        while self.woken:
            task = self.woken.popleft()
            task.woken = False
            if not task.ended:
                self.resume(task, 0)

    def run(self) -> None:
        while self.running:
            self.turn()
