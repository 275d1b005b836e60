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
from brackenusher.config.operators import Operator
from brackenusher.config.platform import ConfigError
from brackenusher.records.capture import FORM, HEAD, HEALTH, module_digest

LINE = re.compile(
    r"(?P<words>list -?\d+ \S+ \S+|\S+ \S+ \S+ k=\S+ \S+ \S+ \S+ \S+)(?P<pairs>(?: [a-z]+=\S*)*) n=\d+$"
)
STANDING = re.compile(r"list -?\d+ \S+ \S+ entry=\S+ standing=1$")
STATES = {word: state for state, word in HEALTH.items()}


@dataclass
class Line:
    """A line of the capture."""

    place: int  # line number in the file
    words: list[str]
    pairs: dict[str, list[str]]

    def one(self, name: str) -> list[str]:
        """The comma-separated fields of a pair that occurs once."""
        return self.pairs[name][0].split(",")

    @property
    def decisions(self) -> list[str]:
        """The recorded decisions on a request, in order."""
        sent = [f"forward {unquote(value.partition(',')[0])}" for value in self.pairs.get("try", [])]
        return sent + ([" ".join(self.words[5:7])] if "by" in self.pairs else [])


@dataclass
class Run:
    """The capture of one process."""

    head: dict[str, Any]
    standing: list[face.Entry] = field(default_factory=list)
    lines: list[Line] = field(default_factory=list)


def read_entry(words: list[str], parts: list[str]) -> face.Entry:
    started, cell, zone, kind = parts
    return face.Entry(unquote(words[2]), STATES[words[3]], float(started), int(cell), int(zone), int(kind))


def pairs_of(text: str) -> dict[str, list[str]]:
    pairs = defaultdict(list)
    for pair in text.split():
        name, _, value = pair.partition("=")
        pairs[name].append(value)
    return pairs


def read_runs(lines: Iterable[str]) -> tuple[list[Run], int]:
    """Parse a capture; also returns the number of other lines, such as log lines.

    Files of a ring may follow each other in any order: the earliest header of a process counts.
    """
    runs: dict[tuple[str, str], Run] = {}
    run: Run | None = None
    opening, others = False, 0
    for place, text in enumerate(lines, 1):
        text = text.rstrip("\n")
        if text.startswith(HEAD + "{"):
            head = ujson.loads(text[len(HEAD) :])
            if head["capture"] != FORM:
                raise ValueError(f"line {place}: written in form {head['capture']}, this reads {FORM}")
            run = runs.setdefault((head["seed"], head["began"]), Run(head))
            opening = head["event"] < run.head["event"] or run.head is head
            if opening:
                run.head, run.standing = head, []
        elif STANDING.match(text):
            if opening and run is not None:
                words = text.split()
                run.standing.append(read_entry(words, words[4].removeprefix("entry=").split(",")))
        elif run is not None and (match := LINE.match(text)):
            run.lines.append(Line(place, match["words"].split(), pairs_of(match["pairs"])))
        else:
            others += 1
    return list(runs.values()), others


class Replay:
    """One run, replayed on a balancer of its own."""

    def __init__(self, run: Run, door: RateLimiterSettings | None) -> None:
        self.run, self.head, self.door = run, run.head, RateLimiter(door) if door else None
        self.events: dict[
            int, tuple[float, Any]
        ] = {}  # by event number: clock time, and the event or a call that replays it
        self.expected: dict[int, list[tuple[int, str]]] = defaultdict(
            list
        )  # by event number: request, decision
        self.made: dict[int, list[str]] = defaultdict(list)  # by request: the decisions of the replay
        self.out: dict[int, list[tuple[int, str]]] = defaultdict(
            list
        )  # by request: attempts in flight, with their hosts
        self.over: set[int] = set()
        self.apart: dict[int, int] = {}  # by request: the event with the first difference
        self.at_door: dict[int, str] = {}  # by line number: the rate limiter's decision in the replay
        self.parted: int | None = None  # the event with the first difference of all
        self.missing: list[tuple[int, int]] = []
        conf = read_settings(self.head["settings"])
        self.balancer = Balancer(conf, int(self.head["seed"], 16), float(self.head["began"]))
        self.balancer.begin()

    # ordering the events

    def lay_out(self) -> None:
        lists: dict[int, list[Line]] = defaultdict(list)
        for line in self.run.lines:
            if line.words[0] == "list" and "told" in line.pairs:
                self.lay_out_hearsay(line)
            elif line.words[0] == "list":
                lists[int(line.one("at")[0])].append(line)
            elif "event" in line.pairs:
                self.events[int(line.one("event")[0])] = (0.0, partial(self.ask_door, line))
            else:
                self.lay_out_request(line)
            for value in ";".join(line.pairs.get("timers", [])).split(";"):
                if value:
                    which, now, token = value.split(",")
                    self.events[int(which)] = (float(now), face.TimerDue(int(token)))
            for value in ";".join(line.pairs.get("probes", [])).split(";"):
                if value:
                    self.lay_out_probe(*value.split(",", 5))
        for number, lines in lists.items():
            self.lay_out_list(number, lines)

    def lay_out_list(self, number: int, lines: list[Line]) -> None:
        first, many = lines[0], int(lines[0].one("part")[0].partition("/")[2])
        entries = [read_entry(line.words, line.one("entry")) for line in lines if "entry" in line.pairs]
        if len(entries) < many:
            self.missing.append((number, number))
        scope = face.ListScope(first.one("scope")[0])
        self.events[number] = (
            float(first.one("at")[1]),
            face.ListChanged(scope, entries, int(first.words[1])),
        )

    def lay_out_hearsay(self, line: Line) -> None:
        words = []
        for value in line.pairs["told"][0].split(";"):
            name, *numbers = value.split(",")
            words.append(face.Hearsay(unquote(name), *map(float, numbers)))
        self.events[int(line.one("at")[0])] = (float(line.one("at")[1]), face.Told(words))

    def lay_out_probe(
        self, number: str, now: str, host: str, outcome: str, elapsed: str, report: str
    ) -> None:
        values = (pair.partition(":") for pair in report.split(",") if pair)
        told = {name: float(value) for name, _, value in values} or None
        event = face.Probed(unquote(host), face.Outcome(outcome), float(elapsed), told)
        self.events[int(number)] = (float(now), event)

    def lay_out_request(self, line: Line) -> None:
        if "at" not in line.pairs:
            return  # rejected before it reached the balancer
        number, now = line.one("at")
        name, klass, tenant, repeated, deadline = line.one("req")
        request = int(name)
        arrived = face.Arrived(request, int(klass), float(deadline), int(tenant), repeated == "1")
        if "bound" in line.pairs:
            server, until = line.one("bound")
            arrived.bound, arrived.window_end = unquote(server), float(until)
        self.events[int(number)] = (float(now), partial(self.arrive, line, arrived))
        last = int(number)
        for n, value in enumerate(line.pairs.get("try", [])):
            host, chosen, *end = value.split(",")
            self.expected[int(chosen)].append((request, f"forward {unquote(host)}"))
            if end:
                ended, now, outcome, elapsed, *complete = end
                event = face.Finished(request, n, face.Outcome(outcome), float(elapsed), bool(complete))
                self.events[int(ended)] = (float(now), partial(self.finish, event, unquote(host)))
                last = max(last, int(ended))
        if "by" in line.pairs:
            by = int(line.one("by")[0])
            self.expected[by].append((request, line.decisions[-1]))
            last = max(last, by)
        if "left" in line.pairs:
            number, now = line.one("left")
            self.events[int(number)] = (float(now), partial(self.leave, face.Left(request)))
            last = max(last, int(number))
        if line.words[7] != "open":
            self.expected[last].append((request, ""))  # the request is closed

    # replaying

    def play(self) -> None:
        self.lay_out()
        next_number = self.head["event"] + 1
        if self.head["event"] and self.run.standing:
            self.feed(float(self.head["began"]), face.ListChanged(face.ListScope.COMPLETE, self.run.standing))
        for number in sorted(number for number in self.events if number >= next_number):
            if number > next_number:
                self.missing.append((next_number, number - 1))
            next_number = number + 1
            self.play_event(number, *self.events[number])

    def play_event(self, number: int, now: float, event: Any) -> None:
        actions = event(now) if isinstance(event, partial) else self.feed(now, event)
        recorded = [pair for pair in self.expected[number] if pair[1]]
        if sorted(actions) != sorted(recorded):
            self.parted = self.parted or number
            for request, _ in set(actions) ^ set(recorded):
                self.apart.setdefault(request, number)
        for request, decision in self.expected[number]:
            if not decision and request in self.apart:
                self.let_go(number, now, request)

    def feed(self, now: float, event: face.Event) -> list[tuple[int, str]]:
        """Pass an event to the balancer; return its decisions."""
        try:
            actions = self.balancer.handle(now, event)
        except Exception:  # as in service, where the error is logged and the request fails
            return []
        made = []
        for action in actions:
            if isinstance(action, face.Send):
                self.out[action.request].append((self.sent(action.request), action.backend))
                made.append((action.request, f"forward {action.backend}"))
            elif isinstance(action, face.Refuse):
                made.append((action.request, f"refuse {action.retry_after:.3f}"))
                self.over.add(action.request)
            elif isinstance(action, face.Fail):
                made.append((action.request, "fail -"))
                self.over.add(action.request)
            else:
                continue
            self.made[action.request].append(made[-1][1])
        return made

    def sent(self, request: int) -> int:
        return sum(decision.startswith("forward") for decision in self.made[request])

    def arrive(self, line: Line, event: face.Arrived, now: float) -> list[tuple[int, str]]:
        self.ask_door(line, now)
        return self.feed(now, event)

    def ask_door(self, line: Line, now: float) -> list[tuple[int, str]]:
        """Replay the rate limiter's decision, if there was one."""
        if self.door is not None and "door" in line.pairs:
            clock, key = line.one("door")
            wait = self.door.ask(unquote(key), float(clock))
            self.at_door[line.place] = f"door {wait:.0f}" if wait else "let in"
        return []

    def finish(self, event: face.Finished, host: str, now: float) -> list[tuple[int, str]]:
        """Replay the end of an attempt, as a cancellation if the replay chose another server."""
        request = event.request
        here = next((place for place in self.out[request] if place[0] == event.attempt), None)
        if here is None:
            if event.complete and request not in self.over and not self.out[request]:
                self.over.add(request)
                return self.feed(now, face.Left(request))
            return []
        self.out[request].remove(here)
        if here[1] != host:
            event = face.Finished(request, event.attempt, face.Outcome.CANCELLED, event.elapsed, True)
        if event.complete:
            self.over.add(request)
        return self.feed(now, event)

    def leave(self, event: face.Left, now: float) -> list[tuple[int, str]]:
        self.over.add(event.request)
        return self.feed(now, event)

    def let_go(self, number: int, now: float, request: int) -> None:
        """End a request that is still open in the replay but was closed in the capture."""
        out, self.out[request] = self.out[request], []
        events: list[face.Event] = [
            face.Finished(request, n, face.Outcome.CANCELLED, 0.0, True) for n, _ in out
        ]
        if not out and request not in self.over:
            events = [face.Left(request)]
        self.over.add(request)
        for event in events:
            for other, _ in self.feed(now, event):
                self.apart.setdefault(other, number)

    # reporting

    def mark(self, number: int, parted: int | None) -> str:
        """How reliable a difference at an event is."""
        if self.head["event"] or any(first <= number for first, _ in self.missing):
            return "guess: input is missing before it"
        return "exact" if number == parted else "follows from an earlier difference"

    def differences(self) -> Iterable[tuple[Line, str, str, str]]:
        """The differing lines: recorded decision, replayed decision and reliability."""
        door_parted = None
        for line in sorted(self.run.lines, key=number_of):
            number = number_of(line)
            if number <= self.head["event"]:
                continue  # a list change, or from before the start of this capture
            if line.place in self.at_door:
                recorded = " ".join(line.words[5:7]) if line.words[5] == "door" else "let in"
                if recorded != self.at_door[line.place]:
                    door_parted = door_parted or number
                    yield line, recorded, self.at_door[line.place], self.mark(number, door_parted)
            if "req" in line.pairs:
                request = int(line.one("req")[0])
                made = self.made[request]
                if made != line.decisions:
                    before, now = (", ".join(decisions) or "hold -" for decisions in (line.decisions, made))
                    yield line, before, now, self.mark(self.apart.get(request, number), self.parted)

    def moments(self) -> int:
        """The number of requests with the same decisions at other events."""
        alike = {
            int(line.one("req")[0])
            for line in self.run.lines
            if "req" in line.pairs and line.decisions == self.made[int(line.one("req")[0])]
        }
        return len(alike & self.apart.keys())


def number_of(line: Line) -> int:
    """The event at which a request was first decided; 0 for other lines."""
    if line.words[0] == "list" or not {"event", "at"} & line.pairs.keys():
        return 0
    return int(line.one("event" if "event" in line.pairs else "at")[0])


def replay_capture(path: str, operator: Operator, out: TextIO) -> int:
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


def replay_run(run: Run, operator: Operator, out: TextIO) -> int:
    replay = Replay(run, operator.door)
    replay.play()
    differences = list(replay.differences())
    for line, recorded, now, mark in differences:
        request = " ".join(line.words[:5])
        print(f"line {line.place}: {request}: recorded {recorded}, replayed {now} [{mark}]", file=out)
    for note in notes(replay, operator):
        print(f"# {note}", file=out)
    requests = sum(line.words[0] != "list" for line in run.lines)
    print(f"# {requests} requests, {len(differences)} differing lines", file=out)
    return 1 if differences else 0


def notes(replay: Replay, operator: Operator) -> Iterable[str]:
    """Remarks on how complete and comparable the replay is."""
    run = replay.run
    for first, last in sorted(set(replay.missing)):
        which = f"event {first} is" if first == last else f"events {first} to {last} are"
        yield f"{which} missing, wholly or in part: all that comes after is a guess"
    if run.head["event"]:
        yield f"the start is missing: {run.head['event']} events came before, so all of this is a guess"
    if run.head["module"] != module_digest():
        yield "another text of the module decided then"
    words = [line.words for line in run.lines if line.words[0] != "list"]
    if operator.door is None and any("door" in line.pairs for line in run.lines):
        yield "door limits are off in the properties: the door's verdicts are taken as they stand"
    tokens = sum(each[5] == "token" for each in words)
    if tokens:
        yield f"{tokens} verdicts on tokens are taken as they stand: tokens are not kept"
    if replay.moments():
        yield f"{replay.moments()} requests were decided on alike at another moment"
