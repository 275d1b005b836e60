"""`brackenusher policy`: proposes, withdraws and shows versions of the policy. Its commands may block."""

import contextlib
import difflib
import secrets
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Self, TextIO

from msgspec import json

from barleybarrow.policy import PolicyError, parse_policy
from brackenusher.config.operators import PeersSettings
from brackenusher.config.platform import ConfigError
from brackenusher.membership.frames import Granted, Wish
from brackenusher.membership.show import ask

if TYPE_CHECKING:
    from rich.status import Status

IN_FORCE, REFUSED, WITHDRAWN, UNKNOWN = 0, 2, 3, 4  # exit codes
POLL_INTERVAL_S = 0.1  # between two polls of the outcome of a proposal
PROPOSE_RETRY_INTERVAL_S = 1.0  # a proposal may get lost on its way to the leader
OUTCOME_MARGIN_S = 5.0  # beyond the given time, until the outcome is reported as unknown


class CommandRefusedError(ConfigError):
    """A proxy refused the command; retrying it is of no use."""


def wish(address: str, settings: PeersSettings, verb: str, **facts: Any) -> Any:
    """Sends a command to a proxy and returns its result. Raises ConfigError, CommandRefusedError."""
    reply = ask(address, settings, Wish(secrets.randbits(64), verb, **facts))
    if not isinstance(reply, Granted):
        raise ConfigError(f"{address}: not an answer to what was asked")
    body = json.decode(reply.body)
    if not reply.good:
        raise CommandRefusedError(f"{address}: {body}")
    return body


class ProgressLine:
    """Progress of a change: one updated line on a terminal, elsewhere a line for each update."""

    def __init__(self, out: TextIO) -> None:
        self.out, self.last_line = out, ""
        self.terminal_status: Status | None = None

    def __enter__(self) -> Self:
        if self.out.isatty():
            with contextlib.suppress(ImportError):  # plain lines instead
                from rich.console import Console

                self.terminal_status = Console(file=self.out).status("")
                self.terminal_status.start()
        return self

    def __exit__(self, *details: object) -> None:
        if self.terminal_status is not None:
            self.terminal_status.stop()

    def update(self, line: str) -> None:
        if line == self.last_line:
            return
        self.last_line = line
        if self.terminal_status is not None:
            self.terminal_status.update(escape_markup(line))
        else:
            print(line, file=self.out, flush=True)

    def print_line(self, line: str) -> None:
        """Prints a line that is not replaced by the next update."""
        if self.terminal_status is not None:
            self.terminal_status.console.print(escape_markup(line), highlight=False)
        else:
            print(line, file=self.out, flush=True)


def escape_markup(line: str) -> str:
    """Escapes text of proxies and files, which is not markup."""
    from rich.markup import escape

    return escape(line)


def progress_text(status_reply: dict[str, Any]) -> str:
    """Which members have applied the pending version, as the leader sees it; empty if unknown."""
    missing, roster = status_reply["missing"], status_reply["roster"]
    if not roster or (not missing and status_reply["role"] != "leader"):
        return ""
    have = f", taken up by {len(roster) - len(missing)} of {len(roster)}"
    return have + (f", waits for {' '.join(missing)}" if missing else "")


def leader_view(status_reply: dict[str, Any], settings: PeersSettings, id: str) -> dict[str, Any]:
    """Status from the leader, which knows the missing members; the given one if it does not answer."""
    if status_reply["role"] != "leader" and status_reply.get("leader_at"):
        with contextlib.suppress(ConfigError):
            leader_reply: dict[str, Any] = wish(status_reply["leader_at"], settings, "status", id=id)
            return leader_reply if leader_reply["asked"] is not None else status_reply
    return status_reply


def check(text: str, out: TextIO) -> int:
    """Checks that this release can enforce a document. Raises ConfigError."""
    try:
        rules = parse_policy(text)
    except PolicyError as error:
        raise ConfigError(str(error)) from error
    found = [
        f"{len(rules.tenants)} tenants limited, {len(rules.shares)} with a share",
        f"{len(rules.servers)} servers and {len(rules.blocks)} blocks out of use",
    ]
    if rules.repeats is not None:
        found.append(f"{rules.repeats.ratio:g} repeats a first try")
    if rules.age or rules.requests:
        found.append(f"connections for {rules.age / 1000.0:g} s and {rules.requests} requests (0: no end)")
    print(", ".join(found), file=out)
    return 0


def propose(
    address: str,
    settings: PeersSettings,
    text: str,
    id: str,
    who: str,
    why: str,
    out: TextIO,
    wait: float,
) -> int:
    """Proposes a version and waits until it is in force or withdrawn, as the exit code tells."""
    check(text, out)
    with ProgressLine(out) as progress:
        progress.print_line(f"proposed as {id}")
        deadline, sent_at = time.monotonic() + wait + OUTCOME_MARGIN_S, -PROPOSE_RETRY_INTERVAL_S
        while time.monotonic() < deadline:
            try:
                found = wish(address, settings, "status", id=id)
                if found["asked"] is None and time.monotonic() - sent_at >= PROPOSE_RETRY_INTERVAL_S:
                    sent_at = time.monotonic()
                    wish(address, settings, "propose", id=id, who=who, why=why, at=time.time(), text=text)
            except CommandRefusedError:
                raise
            except ConfigError as error:
                found = {"asked": None}
                progress.update(str(error))
            v = found["asked"]
            if v is not None and v["phase"] == "in force":
                progress.print_line(f"version {v['number']}: in force")
                return IN_FORCE
            if v is not None and v["phase"] == "withdrawn":
                progress.print_line(f"version {v['number']}: withdrawn\nwithdrawn: {v['ended']}")
                return WITHDRAWN
            if v is not None:
                progress.update(
                    f"version {v['number']}: {v['phase']}{progress_text(leader_view(found, settings, id))}"
                )
            time.sleep(POLL_INTERVAL_S)
        progress.print_line(f"unknown: propose it again with --id {id}, which does it once")
    return UNKNOWN


def status(address: str, settings: PeersSettings, out: TextIO) -> int:
    """Prints the status as one proxy sees it; returns 1 if it admits nothing."""
    s = wish(address, settings, "status")
    print(f"{s['name']}: {s['role']} in term {s['term']}, leader {s['leader'] or 'unknown'}", file=out)
    print(f"version {s['force']} is in force, agreed to {s['agreed']}, applied to {s['applied']}", file=out)
    if s["pending"]:
        print(f"version {s['pending']} is {s['phase']}, waits for: {' '.join(s['missing']) or '-'}", file=out)
    lease = f", lease {s['lease_left'] / 1000.0:.1f} s" if s["lease_left"] is not None else ""
    print(f"{'admits' if s['admits'] else 'admits nothing: ' + s['why']}{lease}", file=out)
    going = [n for n in s["electorate"] if n not in s["voters"]]
    coming = f", to come: {' '.join(going)}" if going else ""
    print(f"voters: {' '.join(s['voters'])}{coming}", file=out)
    for name in s["roster"]:
        applied = s["behind"].get(name)
        print(f"  {name:<20} {'' if applied is None else f'applied to {applied}'}".rstrip(), file=out)
    return 0 if s["admits"] else 1


def voters(
    address: str, settings: PeersSettings, wanted: list[str], who: str, out: TextIO, wait: float
) -> int:
    """Changes the voters one at a time and waits until all are changed, as the exit code tells."""
    deadline, sent_at, last = time.monotonic() + wait, -PROPOSE_RETRY_INTERVAL_S, ""
    while time.monotonic() < deadline:
        try:
            s = wish(address, settings, "status")
            if s["electorate"] != wanted and time.monotonic() - sent_at >= PROPOSE_RETRY_INTERVAL_S:
                sent_at = time.monotonic()
                wish(address, settings, "voters", text=" ".join(wanted), who=who)
        except CommandRefusedError:
            raise
        except ConfigError as error:
            s, line = None, str(error)
        else:
            line = f"voters: {' '.join(s['voters'])}"
        if line != last:
            print(line, file=out, flush=True)
            last = line
        if s is not None and s["electorate"] == wanted and set(s["voters"]) == set(wanted):
            return IN_FORCE
        time.sleep(POLL_INTERVAL_S)
    print("unknown: not all of it came about; whoever leads goes on with it", file=out)
    return UNKNOWN


def history(address: str, settings: PeersSettings, out: TextIO) -> int:
    for v in wish(address, settings, "history"):
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(v["at"]))
        ended = f": {v['ended']}" if v["ended"] else ""
        print(f"{v['number']:>5} {at} {v['who']:<16} {v['phase']}{ended}  {v['why']}", file=out)
    return 0


def text_of(address: str, settings: PeersSettings, number: int) -> tuple[int, str]:
    found = wish(address, settings, "show", number=number)
    return found["number"], found["text"]


def diff(address: str, settings: PeersSettings, one: int, other: int, out: TextIO) -> int:
    """Prints the difference of two versions; returns 1 if there is any."""
    (a, before), (b, after) = text_of(address, settings, one), text_of(address, settings, other)
    lines = list(
        difflib.unified_diff(
            before.splitlines(), after.splitlines(), f"version {a}", f"version {b}", lineterm=""
        )
    )
    for line in lines:
        print(line, file=out)
    return int(bool(lines))


def read_text(name: str) -> str:
    try:
        if name == "-":
            return sys.stdin.read()
        with open(name, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{name}: {error}") from error


def run(options: Any, settings: PeersSettings | None, out: TextIO) -> int:
    """Runs one command of the command line. Raises ConfigError."""
    if options.verb == "check":
        return check(read_text(options.file), out)
    assert settings is not None
    at = options.address
    verbs: dict[str, Callable[[], int]] = {
        "propose": lambda: change(read_text(options.file)),
        "roll-back": lambda: change(text_of(at, settings, options.number)[1]),
        "status": lambda: status(at, settings, out),
        "history": lambda: history(at, settings, out),
        "show": lambda: say(text_of(at, settings, options.number)[1]),
        "diff": lambda: diff(at, settings, options.number, options.other, out),
        "withdraw": lambda: say(f"version {wish(at, settings, 'withdraw', who=options.who)['number']}: told"),
        "roster": lambda: roster(),
        "voters": lambda: elect(),
    }

    def change(text: str) -> int:
        id = options.id or secrets.token_hex(8)
        return propose(at, settings, text, id, options.who, options.why, out, options.wait)

    def say(text: str) -> int:
        print(text.rstrip("\n"), file=out)
        return 0

    def elect() -> int:
        if options.set is None:
            return say("\n".join(wish(at, settings, "status")["voters"]))
        wanted = [name for name in options.set.replace(",", " ").split() if name]
        return voters(at, settings, wanted, options.who, out, options.wait)

    def roster() -> int:
        if options.drop:
            wish(at, settings, "drop", id=options.drop, who=options.who)
            return say(f"{options.drop}: told to be dropped")
        return say("\n".join(wish(at, settings, "status")["roster"]))

    return verbs[options.verb]()
