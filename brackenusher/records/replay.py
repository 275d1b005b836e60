"""Replay: feeds a capture into a balancer and reports where its decisions differ.

Events are replayed at their recorded times in their recorded order, and the balancer's decisions are compared
with the recorded ones. Up to the first difference the comparison is exact. After it the balancer follows its
own decisions, while outcomes are known only of the attempts that were made at the time: lines after it are
marked so.
"""

import re
import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, TextIO
from urllib.parse import unquote

import ujson

from barleybarrow import interface as face
from barleybarrow.brain import Balancer
from barleybarrow.rate_limiter import RateLimiter, RateLimiterSettings
from barleybarrow.settings import read_settings
from brackenusher.config.operators import OperatorSettings
from brackenusher.config.platform import ConfigError
from brackenusher.records.capture import FORMAT_VERSION, HEADER_PREFIX, STATE_NAMES, source_digest

LINE_PATTERN = re.compile(
    r"(?P<words>list -?\d+ \S+ \S+|\S+ \S+ \S+ k=\S+ \S+ \S+ \S+ \S+)(?P<pairs>(?: [a-z]+=\S*)*) n=\d+$"
)
SERVER_LINE_PATTERN = re.compile(r"list -?\d+ \S+ \S+ entry=\S+ standing=1$")
STATES_BY_NAME = {word: state for state, word in STATE_NAMES.items()}


@dataclass
class CaptureLine:
    """A line of the capture."""

    line_number: int
    columns: list[str]
    pairs: dict[str, list[str]]

    def fields(self, name: str) -> list[str]:
        """The comma-separated fields of a pair that occurs once."""
        return self.pairs[name][0].split(",")

    @property
    def decisions(self) -> list[str]:
        """The recorded decisions on a request, in order."""
        sent = [f"forward {unquote(value.partition(',')[0])}" for value in self.pairs.get("try", [])]
        return sent + ([" ".join(self.columns[5:7])] if "by" in self.pairs else [])


@dataclass
class CapturedRun:
    """The capture of one process."""

    header: dict[str, Any]
    initial_servers: list[face.Entry] = field(default_factory=list)
    lines: list[CaptureLine] = field(default_factory=list)


def read_entry(columns: list[str], fields: list[str]) -> face.Entry:
    started, cell, zone, kind = fields
    return face.Entry(
        unquote(columns[2]), STATES_BY_NAME[columns[3]], float(started), int(cell), int(zone), int(kind)
    )


def parse_pairs(text: str) -> dict[str, list[str]]:
    pairs = defaultdict(list)
    for pair in text.split():
        name, _, value = pair.partition("=")
        pairs[name].append(value)
    return pairs


def read_runs(lines: Iterable[str]) -> tuple[list[CapturedRun], int]:
    """Parse a capture; also returns the number of other lines, such as log lines.

    Files of a ring may follow each other in any order: the earliest header of a process counts.
    """
    runs: dict[tuple[str, str], CapturedRun] = {}
    run: CapturedRun | None = None
    in_header, other_lines = False, 0
    for line_number, text in enumerate(lines, 1):
        text = text.rstrip("\n")
        if text.startswith(HEADER_PREFIX + "{"):
            header = ujson.loads(text[len(HEADER_PREFIX) :])
            if header["capture"] != FORMAT_VERSION:
                raise ValueError(
                    f"line {line_number}: written in form {header['capture']}, this reads {FORMAT_VERSION}"
                )
            run = runs.setdefault((header["seed"], header["began"]), CapturedRun(header))
            in_header = header["event"] < run.header["event"] or run.header is header
            if in_header:
                run.header, run.initial_servers = header, []
        elif SERVER_LINE_PATTERN.match(text):
            if in_header and run is not None:
                columns = text.split()
                run.initial_servers.append(read_entry(columns, columns[4].removeprefix("entry=").split(",")))
        elif run is not None and (match := LINE_PATTERN.match(text)):
            run.lines.append(CaptureLine(line_number, match["words"].split(), parse_pairs(match["pairs"])))
        else:
            other_lines += 1
    return list(runs.values()), other_lines


class Replay:
    """One run, replayed on a balancer of its own."""

    def __init__(self, run: CapturedRun, limiter_settings: RateLimiterSettings | None) -> None:
        self.run, self.header, self.rate_limiter = (
            run,
            run.header,
            RateLimiter(limiter_settings) if limiter_settings else None,
        )
        # by event number: clock time, and the event or a call that replays it
        self.events: dict[int, tuple[float, Any]] = {}
        # by event number: request, decision
        self.recorded_decisions: dict[int, list[tuple[int, str]]] = defaultdict(list)
        self.decisions: dict[int, list[str]] = defaultdict(list)  # by request: the decisions of the replay
        # by request: attempts in flight, with their hosts
        self.in_flight: dict[int, list[tuple[int, str]]] = defaultdict(list)
        self.closed: set[int] = set()
        self.diverged: dict[int, int] = {}  # by request: the event with the first difference
        # by line number: the rate limiter's decision in the replay
        self.limiter_decisions: dict[int, str] = {}
        self.first_difference: int | None = None  # the event with the first difference of all
        self.missing_ranges: list[tuple[int, int]] = []
        policy_settings = read_settings(self.header["settings"])
        self.balancer = Balancer(policy_settings, int(self.header["seed"], 16), float(self.header["began"]))
        self.balancer.begin()

    # ordering the events

    def schedule(self) -> None:
        lists: dict[int, list[CaptureLine]] = defaultdict(list)
        for line in self.run.lines:
            if line.columns[0] == "list" and "told" in line.pairs:
                self.schedule_evidence(line)
            elif line.columns[0] == "list":
                lists[int(line.fields("at")[0])].append(line)
            elif "event" in line.pairs:
                self.events[int(line.fields("event")[0])] = (0.0, partial(self.replay_limiter, line))
            else:
                self.schedule_request(line)
            for value in ";".join(line.pairs.get("timers", [])).split(";"):
                if value:
                    which, now, token = value.split(",")
                    self.events[int(which)] = (float(now), face.TimerDue(int(token)))
            for value in ";".join(line.pairs.get("probes", [])).split(";"):
                if value:
                    self.schedule_probe(*value.split(",", 5))
        for number, lines in lists.items():
            self.schedule_list(number, lines)

    def schedule_list(self, number: int, lines: list[CaptureLine]) -> None:
        first, entry_count = lines[0], int(lines[0].fields("part")[0].partition("/")[2])
        entries = [read_entry(line.columns, line.fields("entry")) for line in lines if "entry" in line.pairs]
        if len(entries) < entry_count:
            self.missing_ranges.append((number, number))
        scope = face.ListScope(first.fields("scope")[0])
        self.events[number] = (
            float(first.fields("at")[1]),
            face.ListChanged(scope, entries, int(first.columns[1])),
        )

    def schedule_evidence(self, line: CaptureLine) -> None:
        evidence = []
        for value in line.pairs["told"][0].split(";"):
            name, *numbers = value.split(",")
            evidence.append(face.Hearsay(unquote(name), *map(float, numbers)))
        self.events[int(line.fields("at")[0])] = (float(line.fields("at")[1]), face.Told(evidence))

    def schedule_probe(
        self, number: str, now: str, host: str, outcome: str, elapsed: str, report: str
    ) -> None:
        values = (pair.partition(":") for pair in report.split(",") if pair)
        load_report = {name: float(value) for name, _, value in values} or None
        event = face.Probed(unquote(host), face.Outcome(outcome), float(elapsed), load_report)
        self.events[int(number)] = (float(now), event)

    def schedule_request(self, line: CaptureLine) -> None:
        if "at" not in line.pairs:
            return  # rejected before it reached the balancer
        number, now = line.fields("at")
        name, klass, tenant, repeated, deadline = line.fields("req")
        request = int(name)
        arrived = face.Arrived(request, int(klass), float(deadline), int(tenant), repeated == "1")
        if "bound" in line.pairs:
            server, until = line.fields("bound")
            arrived.bound, arrived.window_end = unquote(server), float(until)
        self.events[int(number)] = (float(now), partial(self.arrive, line, arrived))
        last = int(number)
        for n, value in enumerate(line.pairs.get("try", [])):
            host, chosen, *end = value.split(",")
            self.recorded_decisions[int(chosen)].append((request, f"forward {unquote(host)}"))
            if end:
                ended, now, outcome, elapsed, *complete = end
                event = face.Finished(request, n, face.Outcome(outcome), float(elapsed), bool(complete))
                self.events[int(ended)] = (float(now), partial(self.finish, event, unquote(host)))
                last = max(last, int(ended))
        if "by" in line.pairs:
            by = int(line.fields("by")[0])
            self.recorded_decisions[by].append((request, line.decisions[-1]))
            last = max(last, by)
        if "left" in line.pairs:
            number, now = line.fields("left")
            self.events[int(number)] = (float(now), partial(self.leave, face.Left(request)))
            last = max(last, int(number))
        if line.columns[7] != "open":
            self.recorded_decisions[last].append((request, ""))  # the request is closed

    # replaying

    def run_all(self) -> None:
        self.schedule()
        next_number = self.header["event"] + 1
        if self.header["event"] and self.run.initial_servers:
            self.feed(
                float(self.header["began"]),
                face.ListChanged(face.ListScope.COMPLETE, self.run.initial_servers),
            )
        for number in sorted(number for number in self.events if number >= next_number):
            if number > next_number:
                self.missing_ranges.append((next_number, number - 1))
            next_number = number + 1
            self.replay_event(number, *self.events[number])

    def replay_event(self, number: int, now: float, event: Any) -> None:
        actions = event(now) if isinstance(event, partial) else self.feed(now, event)
        recorded = [pair for pair in self.recorded_decisions[number] if pair[1]]
        if sorted(actions) != sorted(recorded):
            self.first_difference = self.first_difference or number
            for request, _ in set(actions) ^ set(recorded):
                self.diverged.setdefault(request, number)
        for request, decision in self.recorded_decisions[number]:
            if not decision and request in self.diverged:
                self.close_request(number, now, request)

    def feed(self, now: float, event: face.Event) -> list[tuple[int, str]]:
        """Pass an event to the balancer; return its decisions."""
        try:
            actions = self.balancer.handle(now, event)
        except Exception:  # as in service, where the error is logged and the request fails
            return []
        decisions = []
        for action in actions:
            if isinstance(action, face.Send):
                self.in_flight[action.request].append((self.attempt_count(action.request), action.backend))
                decisions.append((action.request, f"forward {action.backend}"))
            elif isinstance(action, face.Refuse):
                decisions.append((action.request, f"refuse {action.retry_after:.3f}"))
                self.closed.add(action.request)
            elif isinstance(action, face.Fail):
                decisions.append((action.request, "fail -"))
                self.closed.add(action.request)
            else:
                continue
            self.decisions[action.request].append(decisions[-1][1])
        return decisions

    def attempt_count(self, request: int) -> int:
        return sum(decision.startswith("forward") for decision in self.decisions[request])

    def arrive(self, line: CaptureLine, event: face.Arrived, now: float) -> list[tuple[int, str]]:
        self.replay_limiter(line, now)
        return self.feed(now, event)

    def replay_limiter(self, line: CaptureLine, now: float) -> list[tuple[int, str]]:
        """Replay the rate limiter's decision, if there was one."""
        if self.rate_limiter is not None and "door" in line.pairs:
            clock, key = line.fields("door")
            wait = self.rate_limiter.acquire(unquote(key), float(clock))
            self.limiter_decisions[line.line_number] = f"door {wait:.0f}" if wait else "let in"
        return []

    def finish(self, event: face.Finished, host: str, now: float) -> list[tuple[int, str]]:
        """Replay the end of an attempt, as a cancellation if the replay chose another server."""
        request = event.request
        attempt = next((sent for sent in self.in_flight[request] if sent[0] == event.attempt), None)
        if attempt is None:
            if event.complete and request not in self.closed and not self.in_flight[request]:
                self.closed.add(request)
                return self.feed(now, face.Left(request))
            return []
        self.in_flight[request].remove(attempt)
        if attempt[1] != host:
            event = face.Finished(request, event.attempt, face.Outcome.CANCELLED, event.elapsed, True)
        if event.complete:
            self.closed.add(request)
        return self.feed(now, event)

    def leave(self, event: face.Left, now: float) -> list[tuple[int, str]]:
        self.closed.add(event.request)
        return self.feed(now, event)

    def close_request(self, number: int, now: float, request: int) -> None:
        """End a request that is still open in the replay but was closed in the capture."""
        attempts, self.in_flight[request] = self.in_flight[request], []
        events: list[face.Event] = [
            face.Finished(request, n, face.Outcome.CANCELLED, 0.0, True) for n, _ in attempts
        ]
        if not attempts and request not in self.closed:
            events = [face.Left(request)]
        self.closed.add(request)
        for event in events:
            for other, _ in self.feed(now, event):
                self.diverged.setdefault(other, number)

    # reporting

    def reliability(self, number: int, first_difference: int | None) -> str:
        """How reliable a difference at an event is."""
        if self.header["event"] or any(first <= number for first, _ in self.missing_ranges):
            return "guess: input is missing before it"
        return "exact" if number == first_difference else "follows from an earlier difference"

    def differences(self) -> Iterable[tuple[CaptureLine, str, str, str]]:
        """The differing lines: recorded decision, replayed decision and reliability."""
        first_limiter_difference = None
        for line in sorted(self.run.lines, key=first_event_number):
            number = first_event_number(line)
            if number <= self.header["event"]:
                continue  # a list change, or from before the start of this capture
            if line.line_number in self.limiter_decisions:
                recorded = " ".join(line.columns[5:7]) if line.columns[5] == "door" else "let in"
                if recorded != self.limiter_decisions[line.line_number]:
                    first_limiter_difference = first_limiter_difference or number
                    yield (
                        line,
                        recorded,
                        self.limiter_decisions[line.line_number],
                        self.reliability(number, first_limiter_difference),
                    )
            if "req" in line.pairs:
                request = int(line.fields("req")[0])
                replayed = self.decisions[request]
                if replayed != line.decisions:
                    before, now = (
                        ", ".join(decisions) or "hold -" for decisions in (line.decisions, replayed)
                    )
                    yield (
                        line,
                        before,
                        now,
                        self.reliability(self.diverged.get(request, number), self.first_difference),
                    )

    def count_shifted(self) -> int:
        """The number of requests with the same decisions at other events."""
        same_decisions = {
            int(line.fields("req")[0])
            for line in self.run.lines
            if "req" in line.pairs and line.decisions == self.decisions[int(line.fields("req")[0])]
        }
        return len(same_decisions & self.diverged.keys())


def first_event_number(line: CaptureLine) -> int:
    """The event at which a request was first decided; 0 for other lines."""
    if line.columns[0] == "list" or not {"event", "at"} & line.pairs.keys():
        return 0
    return int(line.fields("event" if "event" in line.pairs else "at")[0])


def replay_capture(path: str, operator: OperatorSettings, out: TextIO) -> int:
    """Replay a file and print the differences; the exit code is 1 if there are any."""
    try:
        with sys.stdin if path == "-" else open(path, encoding="utf-8", errors="replace") as file:
            runs, others = read_runs(file)
        if not runs:
            raise ValueError("holds no head of a capture")
        if others:
            print(f"# {others} other lines passed over", file=out)
        return max([replay_run(run, operator, out) for run in runs])
    except (OSError, ValueError, KeyError, TypeError, IndexError) as error:
        raise ConfigError(f"{path}: not a capture that can be replayed: {error}") from error


def replay_run(run: CapturedRun, operator: OperatorSettings, out: TextIO) -> int:
    replay = Replay(run, operator.door)
    replay.run_all()
    differences = list(replay.differences())
    for line, recorded, now, reliability in differences:
        request = " ".join(line.columns[:5])
        print(
            f"line {line.line_number}: {request}: recorded {recorded}, replayed {now} [{reliability}]",
            file=out,
        )
    for remark in remarks(replay, operator):
        print(f"# {remark}", file=out)
    requests = sum(line.columns[0] != "list" for line in run.lines)
    print(f"# {requests} requests, {len(differences)} differing lines", file=out)
    return 1 if differences else 0


def remarks(replay: Replay, operator: OperatorSettings) -> Iterable[str]:
    """Remarks on how complete and comparable the replay is."""
    run = replay.run
    for first, last in sorted(set(replay.missing_ranges)):
        which = f"event {first} is" if first == last else f"events {first} to {last} are"
        yield f"{which} missing, wholly or in part: all that comes after is a guess"
    if run.header["event"]:
        yield f"the start is missing: {run.header['event']} events came before, so all of this is a guess"
    if run.header["module"] != source_digest():
        yield "another text of the module decided then"
    request_columns = [line.columns for line in run.lines if line.columns[0] != "list"]
    if operator.door is None and any("door" in line.pairs for line in run.lines):
        yield "door limits are off in the properties: the door's verdicts are taken as they stand"
    tokens = sum(each[5] == "token" for each in request_columns)
    if tokens:
        yield f"{tokens} verdicts on tokens are taken as they stand: tokens are not kept"
    if replay.count_shifted():
        yield f"{replay.count_shifted()} requests were decided on alike at another moment"
