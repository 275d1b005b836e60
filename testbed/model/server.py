"""A turn server that shares its cores among what is in work. It knows no clock and no socket.

It is told the time, in integer microseconds, with everything that reaches it, and says when it next has
something to say. It must never draw a request's fate from anything but its own stream of random numbers.

Work is processor sharing in virtual time (Kleinrock, "Time-shared systems", JACM 1967): every request in work
advances at the same rate, so that one counter of work done per request serves all, and a request is finished
when the counter reaches the value noted at its start.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from math import ceil, sqrt
from typing import Any

from testbed.model.jobs import (
    CANCELLED,
    DECLINED,
    ERROR,
    OVER,
    SERVED,
    WAITING,
    WORKING,
    Job,
    Operation,
    Record,
    Spec,
    Tally,
)

EPSILON = 1e-6  # microseconds of work: far over the rounding of a day's sum, far under any request
COLD_STEPS = 64  # a cold server's capacity is held for this part of its warming: 1 to 2% off at most
REPEAT_SHARE = 0.05  # of its work is what a repeat costs that is known and dropped: a look-up and the answer
ERROR_SHARE = 0.02  # of its work is what a request costs that is answered with a quick error


class Server:
    """One process on one machine. A restart is told to it; what it held is handed back as lost."""

    __slots__ = (
        "spec",
        "draw",
        "up",
        "hung",
        "draining",
        "slow",
        "quick_errors",
        "connections",
        "connects",
        "born",
        "warmth",
        "warm_done",
        "cold_until",
        "step",
        "work_at",
        "last",
        "rate",
        "working",
        "waiting",
        "backlog",
        "serial",
        "due",
        "keys",
        "pressure",
        "pressed",
        "tally",
        "ahead_finish",
    )

    def __init__(self, spec: Spec, draw: Callable[[], float], now: int = 0, cold: bool = False) -> None:
        self.spec, self.draw = spec, draw  # draw: a random number in [0, 1)
        self.connections = self.connects = 0
        self.keys: OrderedDict[Any, int] | None = None
        self.tally = Tally()
        self.slow, self.quick_errors = 1.0, 0.0
        self.serial = 0
        self.start(now, cold)

    def start(self, now: int, cold: bool = True) -> None:
        """A new process, without memory. Its troubles have ended with the old one."""
        self.up, self.hung, self.draining = True, False, False
        self.slow, self.quick_errors = 1.0, 0.0
        self.born = now if cold else 0
        cold = cold and self.spec.cold > 0 and self.spec.cold_from < 1.0
        self.warmth = self.spec.cold_from if cold else 1.0
        self.cold_until = now + self.spec.cold if cold else 0
        self.step, self.warm_done = now, 0.0
        self.work_at, self.last, self.rate = (
            0.0,
            now,
            0.0,
        )  # work done per request in work, up to when, how fast
        self.working: list[tuple[float, int, Job]] = []
        self.waiting: deque[Job] | None = None
        self.backlog: list[Job] | None = None  # what came while it hung
        self.due: int | None = None
        if self.keys:
            self.keys.clear()
        self.pressure: deque[tuple[int, float]] | None = deque() if cold else None
        self.pressed = 0.0
        self.connections = 0
        self.ahead_finish = 0.0
        self.tally.starts += 1

    # What can be seen of it

    def held(self) -> int:
        """Requests in work or waiting."""
        return len(self.working) + (len(self.waiting) if self.waiting else 0)

    def free(self) -> int:
        """Requests that could be taken at once and begun without waiting."""
        return max(0, self.spec.slots - len(self.working)) if self.serving() else 0

    def serving(self) -> bool:
        return self.up and not self.hung and not self.draining

    def capacity(self, now: int) -> float:
        """Standard microseconds of work per microsecond that all cores do, crowding and tax aside."""
        spec = self.spec
        return spec.cores * spec.speed * self.warm(now) / self.slow if self.up and not self.hung else 0.0

    def warm(self, now: int) -> float:
        """The share of its capacity that a start has reached by now."""
        if now >= self.cold_until:
            return 1.0
        spec = self.spec
        by_time = spec.cold_from + (1.0 - spec.cold_from) * (now - (self.cold_until - spec.cold)) / spec.cold
        if not spec.warm_by_work:
            return by_time
        full = spec.cores * spec.speed * spec.cold  # what a warm and busy one does in that time
        by_work = spec.cold_from + (1.0 - spec.cold_from) * self.warm_done / full
        return min(1.0, max(by_time, by_work))

    def one_core(self, now: int) -> float:
        """Standard microseconds per microsecond that one more request would be worked on with."""
        spec, held = self.spec, self.held() + 1
        if not self.up or self.hung:
            return 0.0
        shared = min(1.0, spec.cores / min(held, spec.slots))
        return spec.speed * self.warm(now) / self.slow * shared * spec.efficiency(held)

    def ahead(self) -> float:
        """Work that waits or is still to be done, in standard microseconds."""
        left = self.ahead_finish - self.work_at * len(self.working)
        if self.waiting:
            left += sum(job.work for job in self.waiting)
        return max(0.0, left)

    # What reaches it

    def arrive(self, now: int, job: Job) -> bool:
        """Take a request; False where it is over at once: its outcome is DECLINED, or a quick ERROR."""
        if self.hung:
            if self.backlog is None:
                self.backlog = []
            self.backlog.append(job)
            job.state = WAITING
            return True
        if self.pressure is not None:
            self.press(now, job.work)
            if not self.up:
                return False
        spec = self.spec
        if (
            self.draining
            or len(self.working) >= spec.slots
            and (spec.queue <= 0 or self.waiting is not None and len(self.waiting) >= spec.queue)
        ):
            return self.decline(job)
        operation = job.operation
        if operation is not None and job.record is None:
            self.note(job, operation)
        if self.quick_errors and self.draw() < self.quick_errors:
            job.state, job.outcome = OVER, ERROR
            self.tally.errors += 1
            self.tally.work += ERROR_SHARE * job.work
            if operation is not None and self.draw() < 0.5:  # an error proves nothing: half of them have run
                self.ran(job, operation)
            return False
        self.advance_to(now)
        if len(self.working) < spec.slots:
            self.begin(now, job)
        else:
            if self.waiting is None:
                self.waiting = deque()
            job.state = WAITING
            self.waiting.append(job)
        self.pace(now)
        return True

    def cancel(self, now: int, job: Job) -> None:
        """The proxy no longer waits. At most sites that stops nothing."""
        how = self.spec.cancel
        if how == "none" or not self.up or job.state == OVER:
            return
        if job.state == WAITING:
            for line in (self.waiting, self.backlog):
                if line and job in line:
                    line.remove(job)
                    job.state, job.outcome = OVER, CANCELLED
        elif job.state == WORKING and how == "all" and not self.hung:
            self.advance_to(now)
            entry = next((each for each in self.working if each[2] is job), None)
            if entry is not None and job.finish > self.work_at + EPSILON:
                self.working.remove(entry)
                heapify(self.working)
                self.ahead_finish -= job.finish
                job.state, job.outcome = OVER, CANCELLED
                self.fill(now)
            self.pace(now)

    def charge(self, now: int, work: float) -> None:
        """Work beside the requests (a probe): whatever is in work waits for it."""
        self.tally.work += work
        if self.working:
            self.advance_to(now)
            self.work_at -= work / len(self.working)
            self.pace(now)

    def connect(self) -> bool:
        """Take a connection; False where the table is full or no process listens."""
        if not self.up or self.connections >= self.spec.connections:
            return False
        self.connections += 1
        self.connects += 1
        return True

    def disconnect(self) -> None:
        self.connections -= 1

    # What befalls it

    def crash(self, now: int) -> list[Job]:
        """The process dies. What it held is handed back: it ends without an answer, and has not run."""
        self.advance_to(now)
        lost = [job for _, _, job in sorted(self.working)]
        lost += list(self.waiting or ()) + list(self.backlog or ())
        for job in lost:
            job.state, job.outcome = OVER, CANCELLED
        self.up, self.hung = False, False
        self.working, self.waiting, self.backlog = [], None, None
        self.pressure, self.due, self.connections, self.ahead_finish = None, None, 0, 0.0
        self.pace(now)
        return lost

    def hang(self, now: int) -> None:
        """The process stands still: it takes what comes and does nothing."""
        if self.up:
            self.advance_to(now)
            self.hung = True
            self.pace(now)

    def resume(self, now: int) -> list[Job]:
        """It goes on; what came meanwhile is taken in order. Handed back: what of it is over at once."""
        if not self.hung:
            return []
        self.hung, self.last = False, now
        came, self.backlog = self.backlog or [], None
        over = []
        for job in came:
            if not self.arrive(now, job):
                over.append(job)
        self.pace(now)
        return over

    def slow_down(self, now: int, factor: float) -> None:
        """All work takes so many times as long from now on."""
        self.advance_to(now)
        self.slow = factor
        self.pace(now)

    # Time

    def advance(self, now: int) -> list[Job]:
        """Go on to a time and hand back the requests that are over by then, in the order they ended."""
        over: list[Job] = []
        if not self.up or self.hung:
            return over
        self.advance_to(now)
        working, limit = self.working, self.work_at + EPSILON
        while working and working[0][0] <= limit:
            _, _, job = heappop(working)
            self.ahead_finish -= job.finish
            self.end(job)
            over.append(job)
        if self.waiting:
            over += self.fill(now)
        self.pace(now)
        return over

    def fill(self, now: int) -> list[Job]:
        """Begin what waits, as far as slots are free; handed back is what waited for too long."""
        dropped, waiting = [], self.waiting
        while waiting and len(self.working) < self.spec.slots:
            job = waiting.popleft()
            if self.spec.drops_expired and now > job.deadline:
                self.decline(job)
                dropped.append(job)
            else:
                self.begin(now, job)
        return dropped

    def settle(self) -> list[Job]:
        """Everything that it holds runs to its end, for a last look at what really ran."""
        left = (
            [job for _, _, job in sorted(self.working)] + list(self.waiting or ()) + list(self.backlog or ())
        )
        for job in left:
            if job.state != OVER:
                if job.operation is not None and job.record is None:
                    self.note(job, job.operation)
                self.end(job)
        self.working, self.waiting, self.backlog, self.due = [], None, None, None
        return left

    # Inside

    def note(self, job: Job, operation: Operation) -> None:
        """Let the group know that a request of this operation has come."""
        records = operation.records
        if records is None:
            records = operation.records = {}
        record = records.get(job.group)
        if record is None:
            record = records[job.group] = Record(job.sent)
        job.record = record

    def known(self, job: Job) -> bool:
        """Whether a request's operation has run, and is still remembered for one that came when this came."""
        record = job.record
        return record is not None and record.ran and job.sent <= record.first + job.window

    def ran(self, job: Job, operation: Operation) -> None:
        """The request takes effect, unless it is dropped as a repeat."""
        if job.window > 0 and self.known(job):
            operation.dropped += 1
            return
        operation.effects += 1
        job.counted = True
        if job.record is not None:
            job.record.ran = True

    def decline(self, job: Job) -> bool:
        job.state, job.outcome = OVER, DECLINED
        self.tally.declined += 1
        return False

    def end(self, job: Job) -> None:
        """Its work is done."""
        job.state = OVER
        if job.operation is not None:
            self.ran(job, job.operation)
        if self.spec.error_rate and self.draw() < self.spec.error_rate:
            job.outcome = ERROR
            self.tally.errors += 1
        else:
            job.outcome = SERVED
            self.tally.served += 1
        self.tally.work += job.work

    def begin(self, now: int, job: Job) -> None:
        """Put a request in work."""
        if job.window > 0 and self.known(job):
            job.work *= REPEAT_SHARE
        elif self.spec.affinity_keys and job.key is not None:
            keys = self.keys
            if keys is None:
                keys = self.keys = OrderedDict()
            seen = keys.pop(job.key, None)
            if seen is not None and now - seen <= self.spec.affinity:
                job.work *= 1.0 - self.spec.affinity_gain
            keys[job.key] = now
            if len(keys) > self.spec.affinity_keys:
                keys.popitem(last=False)
        if not self.working:
            self.work_at = self.ahead_finish = 0.0  # nobody counts on it: keep its rounding small
        job.state, job.finish = WORKING, self.work_at + job.work
        self.ahead_finish += job.finish
        self.serial += 1
        heappush(self.working, (job.finish, self.serial, job))

    def advance_to(self, now: int) -> None:
        """Bring the counter of work up to a time. What is finished stays in the heap until `advance`."""
        span = now - self.last
        if span <= 0:
            return
        if self.rate:
            done = self.rate * span
            self.work_at += done
            if self.cold_until:
                self.warm_done += done * len(self.working)
        self.last = now

    def pace(self, now: int) -> None:
        """Find the rate for what is in work now, and when something is next to be said."""
        n = len(self.working)
        if not n or self.hung or not self.up:
            self.rate, self.due = 0.0, None
            return
        spec = self.spec
        cores = spec.cores
        rate = spec.speed / self.slow
        if n > cores:
            rate *= cores / n
        if spec.thrash:
            rate *= spec.efficiency(n + len(self.waiting) if self.waiting else n)
        if spec.full_tax:
            rate *= 1.0 - spec.full_tax * min(1.0, self.connections / spec.connections)
        if self.cold_until:
            if now < self.cold_until:
                if now >= self.step:
                    self.warmth = self.warm(now)
                    self.step = now + max(1, spec.cold // COLD_STEPS)
                rate *= self.warmth
            else:
                self.cold_until, self.warmth, self.pressure = 0, 1.0, None
        self.rate = rate
        left = self.working[0][0] - self.work_at
        due = now + (ceil(left / rate) if left > EPSILON else 0)
        if self.cold_until and self.step < due:
            due = self.step
        self.due = due

    def press(self, now: int, work: float) -> None:
        """Count work that reaches a cold server; too much of it in a window pushes it over."""
        spec, pressure = self.spec, self.pressure
        if pressure is None or not spec.tip_multiple or now >= self.cold_until:
            self.pressure = None
            return
        pressure.append((now, work))
        self.pressed += work
        while pressure[0][0] <= now - spec.tip_after:
            self.pressed -= pressure.popleft()[1]
        if self.pressed > tip_budget(spec, self.warm(now)):
            self.tally.fallen += 1
            self.up, self.pressure = False, None  # the caller ends the process with `crash`


def tip_budget(spec: Spec, warmth: float) -> float:
    """Work that a cold server bears in a window, with one standard deviation of such a sum left to chance."""
    budget = spec.tip_multiple * spec.cores * spec.speed * warmth * spec.tip_after
    return budget + sqrt(budget * spec.usual_work)
