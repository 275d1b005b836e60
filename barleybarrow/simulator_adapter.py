"""Adapter to a simulator: reads batches of events, passes them to policy instances, writes their actions.

Run as ``python -m barleybarrow.simulator_adapter``. It translates only; all decisions are the policy's.
"""

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from barleybarrow import interface as face
from barleybarrow.brain import Balancer
from barleybarrow.settings import REPORT_FIELDS, read_settings

OUTCOMES = {
    "S": face.Outcome.SERVED,
    "E": face.Outcome.ERROR,
    "F": face.Outcome.FULL,
    "T": face.Outcome.TIMEOUT,
    "C": face.Outcome.CONNECT_FAILED,
    "R": face.Outcome.RESET,
    "X": face.Outcome.CANCELLED,
    "N": face.Outcome.NOT_SENT,
}
STATES = {"live": face.State.LIVE, "quiescing": face.State.DRAINING, "dead": face.State.GONE}
SCOPES = {
    "incr": face.ListScope.CHANGES,
    "total": face.ListScope.COMPLETE,
    "warm_copy": face.ListScope.COMPLETE,
    "lost": face.ListScope.LOST,
}
REPEATED_FLAG = 2


class MalformedLineError(Exception):
    """An input line cannot be parsed."""


def read_report(text: str) -> dict[str, float] | None:
    """Parse a load report; unknown names are ignored."""
    if text == "-":
        return None
    pairs = (pair.partition(":") for pair in text.split(","))
    return {REPORT_FIELDS[name]: float(value) for name, _, value in pairs if name in REPORT_FIELDS}


def read_arrived(fields: list[str]) -> face.Arrived:
    """DEMAND i job clientGroup resource grade deadline options workHint."""
    tenant = 0 if fields[3] == "-" else int(fields[3])
    repeated = len(fields) > 7 and fields[7] != "-" and bool(int(fields[7]) & REPEATED_FLAG)
    return face.Arrived(int(fields[2]), int(fields[5]), float(fields[6]), tenant, repeated)


def read_finished(fields: list[str]) -> face.Finished:
    """SETTLED i job roundNo backend how timeTaken complete stats."""
    report = read_report(fields[8]) if len(fields) > 8 else None
    return face.Finished(
        int(fields[2]), int(fields[3]), OUTCOMES[fields[5]], float(fields[6]), fields[7] == "1", report
    )


def read_probed(fields: list[str]) -> face.Probed:
    """STATUS_BACK i backend how timeTaken stats."""
    report = read_report(fields[5]) if len(fields) > 5 else None
    return face.Probed(fields[2], OUTCOMES[fields[3]], float(fields[4]), report)


def read_entry(line: str) -> face.Entry:
    """ROW backend readiness readyAt cluster scale hw dc."""
    fields = line.split()
    if len(fields) < 8 or fields[0] != "ROW":
        raise ValueError("a list entry was expected")
    started = 0.0 if fields[3] == "-" else float(fields[3])
    cell, kind, zone = (0 if x == "-" else int(x) for x in (fields[4], fields[6], fields[7]))
    return face.Entry(fields[1], STATES[fields[2]], started, cell, zone, kind)


READERS: dict[str, Callable[[list[str]], face.Event]] = {
    "DEMAND": read_arrived,
    "SETTLED": read_finished,
    "STATUS_BACK": read_probed,
    "CANCELLED_BY_CLIENT": lambda p: face.Left(int(p[2])),
    "WAKEUP": lambda p: face.TimerDue(int(p[2])),
    "FIRST": lambda p: face.Began(int(p[2]), int(p[4])),
}
WRITERS: dict[type, Callable[[int, Any], str]] = {
    face.Send: lambda i, a: f"SUBMIT_TO {i} {a.request} {a.backend} {a.timeout or '-'}\n",
    face.Refuse: lambda i, a: f"DECLINE {i} {a.request} {a.retry_after or '-'}\n",
    face.Fail: lambda i, a: f"RESPOND_ERROR {i} {a.request}\n",
    face.Cancel: lambda i, a: f"CANCEL {i} {a.request} {a.attempt}\n",
    face.Disconnect: lambda i, a: f"DISCONNECT {i} {a.backend}\n",
    face.SetTimer: lambda i, a: f"NOTIFY_ME {i} {a.at} {a.token}\n",
    face.Watch: lambda i, a: f"OBSERVE {i} 1\n",
    face.Probe: lambda i, a: f"PROBE {i} {a.backend}\n",
}


class SimulatorAdapter:
    """Hosts the policy instances, one per simulated proxy, and translates their events and actions."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.instances: dict[int, Balancer] = {}

    def run(self, lines: Iterable[str]) -> None:
        """Process batches until the input ends."""
        source = iter(lines)
        for line in source:
            if not line.strip():
                continue
            head = line.split()
            if head[0] != "TICK" or len(head) < 3:
                raise MalformedLineError(f"TICK expected: {line.strip()[:80]}")
            try:
                now = float(head[1])
            except ValueError as error:
                raise MalformedLineError(f"no clock time: {line.strip()[:80]}") from error
            reply = self.run_batch(now, source)
            reply.append(f"NEXT {head[2]}\n")
            self.out.write("".join(reply))
            self.out.flush()

    def run_batch(self, now: float, source: Iterable[str]) -> list[str]:
        """Process one batch and return the lines of the reply."""
        reply: list[str] = []
        for line in source:
            command, _, _ = line.partition(" ")
            if command.rstrip() == "EOF_BATCH":
                return reply
            try:
                self.handle_event(now, command, line, source, reply)
            except (ValueError, KeyError, IndexError, TypeError, StopIteration) as error:
                raise MalformedLineError(f"cannot read: {line.strip()[:80]} ({error})") from error
        raise MalformedLineError("input ended inside a batch")

    def handle_event(
        self, now: float, command: str, line: str, source: Iterable[str], reply: list[str]
    ) -> None:
        """Parse one event and pass it to its instance."""
        if command == "ATTACH":
            _, inst, seed, conf = line.split(" ", 3)
            settings, i = read_settings(json.loads(conf)), int(inst)
            self.write_actions(i, reply, lambda: self.start_instance(i, settings, int(seed), now))
        elif command == "MEMBERS":
            fields = line.split()
            entries = [
                read_entry(next(iter(source))) for _ in range(int(fields[4]) if len(fields) > 4 else 0)
            ]
            self.dispatch(int(fields[1]), now, face.ListChanged(SCOPES[fields[2]], entries), reply)
        elif command == "HALT":
            self.instances.pop(int(line.split()[1]), None)
        elif command in READERS:
            fields = line.split()
            self.dispatch(int(fields[1]), now, READERS[command](fields), reply)

    def start_instance(self, i: int, settings: face.Settings, seed: int, now: float) -> list[face.Action]:
        """Start an instance, without state of an earlier one."""
        self.instances[i] = Balancer(settings, seed, now)
        return self.instances[i].begin()

    def dispatch(self, i: int, now: float, event: face.Event, reply: list[str]) -> None:
        """Pass an event to its instance, if it is running."""
        instance = self.instances.get(i)
        if instance is not None:
            self.write_actions(i, reply, lambda: instance.handle(now, event))

    def write_actions(self, i: int, reply: list[str], decide: Callable[[], list[face.Action]]) -> None:
        """Write the resulting actions, or report that the policy failed."""
        try:
            actions = decide()
        except Exception as error:  # any fault of the policy is reported to the operators
            text = " ".join(f"{type(error).__name__}: {error}".split())
            reply.append(f"GIVE_IN {i} {text}\n")
            return
        for action in actions:
            reply.append(WRITERS[type(action)](i, action))


def main() -> int:
    """Process standard input until it ends."""
    try:
        SimulatorAdapter(sys.stdout).run(sys.stdin)
    except MalformedLineError as error:
        print(f"simulator adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
