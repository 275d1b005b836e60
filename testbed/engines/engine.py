"""An emulated model server: continuous batching, prompts read in chunks between tokens, prefix cache,
preemption.

A step yields one token of every running stream and reads at most one chunk of one prompt. Spans without a
prompt to read are taken in one go. Times are milliseconds.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from heapq import heappop, heappush
from math import ceil

from testbed.engines.clock import Clock, Timer
from testbed.engines.memory import KvMemory, PromptParts

QUEUE_FULL, TOO_LARGE = "full", "too_large"


@dataclass(slots=True)
class EngineFigures:
    """How an engine behaves; names as in a site file's `llm` table."""

    batch: int = 12
    queue: int = 36
    step_ms: float = 0.6
    step_ms_per_slot: float = 0.002
    context_ms_per_k: float = 0.0015
    prefill_tokens_per_ms: float = 300.0
    pairs_ms_per_m: float = 0.13
    first_ms: float = 5.0
    stride: int = 40
    chunk: int = 1024
    kv_tokens: int = 300_000
    report_lag_ms: float = 200.0

    def slowed(self, times: float) -> "EngineFigures":
        """The same engine, so many times slower."""
        return replace(
            self,
            step_ms=self.step_ms * times,
            prefill_tokens_per_ms=self.prefill_tokens_per_ms / times,
            pairs_ms_per_m=self.pairs_ms_per_m * times,
        )


@dataclass(slots=True)
class Job:
    """One generation at an engine. `on_event(tokens, last)` is called for each event of its stream."""

    parts: PromptParts
    output_tokens: int
    priority: int
    on_event: Callable[[int, bool], None]
    serial: int = 0
    read: int = 0  # tokens of the prompt that are read
    prompt: int = 0
    produced: int = 0
    started: bool = False  # has had its first token
    ended: bool = False
    read_again: int = 0  # tokens that were not kept when it was admitted
    on_admitted: Callable[[int], None] | None = None


@dataclass(slots=True)
class Report:
    """What an engine tells of itself, late."""

    at: float
    queued: int
    running: int
    kv_used: int


@dataclass(slots=True)
class EngineCounters:
    """What an engine has done."""

    tokens_read: int = 0
    tokens_kept: int = 0
    preemptions: int = 0
    rejected: int = 0
    busy_ms: float = 0.0


class Engine:
    """One model server."""

    def __init__(self, clock: Clock, figures: EngineFigures) -> None:
        self.figures = figures
        self.counters = EngineCounters()
        self.alive = True
        self._clock = clock
        self._memory = KvMemory(figures.kv_tokens)
        self._waiting: list[tuple[int, int, Job]] = []
        self._reading: deque[Job] = deque()
        self._running: dict[int, Job] = {}  # admitted: reading or generating
        self._due: list[tuple[int, int, Job]] = []  # (step at which its next event is whole, serial, job)
        self._steps = 0
        self._serial = 0
        self._timer: Timer | None = None
        self._span: tuple[float, float, int] | None = (
            None  # start, length of a step, steps: no prompt to read
        )
        self._reports: deque[Report] = deque([Report(0.0, 0, 0, 0)])

    def submit(self, job: Job) -> str | None:
        """Take a request; a reason when it is turned away."""
        job.prompt = sum(tokens for _, tokens in job.parts)
        if job.prompt + job.output_tokens > self.figures.kv_tokens:
            self.counters.rejected += 1
            return TOO_LARGE
        if len(self._waiting) >= self.figures.queue:
            self.counters.rejected += 1
            return QUEUE_FULL
        self._serial += 1
        job.serial = self._serial
        heappush(self._waiting, (job.priority, job.serial, job))
        self._admit()
        self._wake()
        return None

    def cancel(self, job: Job) -> None:
        """Drop a request: nobody waits for it."""
        if not job.ended:
            job.ended = True
            self._leave(job)
            self._wake()

    def crash(self) -> None:
        """End without a word."""
        self.alive = False
        if self._timer is not None:
            self._timer.cancel()

    def load(self) -> tuple[int, int, int]:
        """Queued, running, and tokens still to be read: the truth, for an all-seeing policy."""
        waiting = [job for _, _, job in self._waiting if not job.ended]
        to_read = sum(job.prompt - job.read for job in self._reading if not job.ended)
        to_read += sum(job.prompt - self._memory.kept_tokens(job.parts) for job in waiting)
        return len(waiting), len(self._running), to_read

    def kept_tokens(self, parts: PromptParts) -> int:
        """Tokens of a prompt that are kept: the truth, for an all-seeing policy."""
        return self._memory.kept_tokens(parts)

    def report(self) -> Report:
        """The newest state that is old enough to be told."""
        until = self._clock.now - self.figures.report_lag_ms
        while len(self._reports) > 1 and self._reports[1].at <= until:
            self._reports.popleft()
        return self._reports[0]

    def _note(self) -> None:
        report = Report(self._clock.now, len(self._waiting), len(self._running), self._memory.used_tokens)
        self._reports.append(report)
        self.report()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.figures.batch:
            job = self._waiting[0][2]
            if job.ended:
                heappop(self._waiting)
                continue
            if self._memory.pinned_tokens() + job.prompt > self.figures.kv_tokens and self._running:
                break
            heappop(self._waiting)
            self._start_reading(job)
        self._note()

    def _start_reading(self, job: Job) -> None:
        kept = self._memory.kept_tokens(job.parts)
        job.read = min(kept, job.prompt - 1)  # the last token is always read: it yields the first one out
        job.read_again = job.prompt - kept
        self.counters.tokens_kept += kept
        self._memory.pin(job.parts)
        self._running[job.serial] = job
        self._reading.append(job)
        self._find_room()
        if job.on_admitted is not None:
            job.on_admitted(kept)

    def _find_room(self) -> None:
        """Preempt the newest of the least urgent until all fits."""
        while not self._memory.make_room() and len(self._running) > 1:
            victim = max(self._running.values(), key=lambda job: (job.priority, job.serial))
            self.counters.preemptions += 1
            self._remove(victim)
            victim.read = 0
            heappush(self._waiting, (victim.priority, victim.serial, victim))

    def _remove(self, job: Job) -> None:
        if self._running.pop(job.serial, None) is None:
            return
        self._memory.unpin(job.parts)
        self._memory.generated -= job.produced
        if job in self._reading:
            self._reading.remove(job)
        self._due = [entry for entry in self._due if entry[2] is not job]

    def _leave(self, job: Job) -> None:
        self._remove(job)
        self._admit()

    def _step_ms(self) -> float:
        figures, running = self.figures, self._running
        context = sum(job.read + job.produced for job in running.values() if job.started)
        return (
            figures.step_ms
            + figures.step_ms_per_slot * len(running)
            + figures.context_ms_per_k * context / 1_000
        )

    def _wake(self) -> None:
        """Begin the next step, or cut a long span short at the end of the step under way."""
        if not self.alive:
            return
        if self._timer is None:
            self._begin()
        elif self._span is not None and self._reading:
            start, step_ms, steps = self._span
            done = min(steps, max(1, ceil((self._clock.now - start) / step_ms)))
            self._timer.cancel()
            self._span = (start, step_ms, done)
            self._timer = self._clock.at(start + done * step_ms, self._end_span)

    def _begin(self) -> None:
        self._timer = self._span = None
        if self._reading:
            job = self._reading[0]
            chunk = min(self.figures.chunk, job.prompt - job.read)
            pairs = chunk * (job.read + chunk / 2)
            took = self._step_ms() + chunk / self.figures.prefill_tokens_per_ms
            took += pairs / 1e6 * self.figures.pairs_ms_per_m
            self.counters.busy_ms += took
            self._timer = self._clock.after(took, lambda: self._end_chunk(job, chunk))
        elif self._due:
            steps = max(1, self._due[0][0] - self._steps)
            step_ms = self._step_ms()
            self._span = (self._clock.now, step_ms, steps)
            self._timer = self._clock.after(steps * step_ms, self._end_span)

    def _end_chunk(self, job: Job, chunk: int) -> None:
        self._steps += 1
        if not job.ended and job.serial in self._running:
            job.read += chunk
            self.counters.tokens_read += chunk
            if job.read >= job.prompt:
                self._reading.remove(job)
                self._first_token(job)
        self._emit()
        self._begin()

    def _end_span(self) -> None:
        assert self._span is not None
        self._steps += self._span[2]
        self._emit()
        self._begin()

    def _first_token(self, job: Job) -> None:
        job.started = True
        if job.produced:  # it was preempted before: its stream goes on
            self._memory.generated += job.produced
            self._schedule(job)
            return
        job.produced = 1
        self._memory.generated += 1
        last = job.produced >= job.output_tokens
        self._clock.after(self.figures.first_ms, lambda: self._tell(job, last))
        if last:
            self._finish(job)
        else:
            self._schedule(job)

    def _schedule(self, job: Job) -> None:
        tokens = min(self.figures.stride, job.output_tokens - job.produced)
        heappush(self._due, (self._steps + max(tokens, 1), job.serial, job))

    def _emit(self) -> None:
        while self._due and self._due[0][0] <= self._steps:
            _, _, job = heappop(self._due)
            tokens = min(self.figures.stride, job.output_tokens - job.produced)
            job.produced += tokens
            self._memory.generated += tokens
            last = job.produced >= job.output_tokens
            self._clock.after(self.figures.first_ms, partial(self._tell, job, last))
            if last:
                self._finish(job)
            else:
                self._schedule(job)
                self._find_room()

    def _finish(self, job: Job) -> None:
        job.ended = True
        self._leave(job)

    def _tell(self, job: Job, last: bool) -> None:
        if self.alive:
            job.on_event(job.produced, last)
