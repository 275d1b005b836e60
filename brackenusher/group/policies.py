"""`brackenusher policy`: proposes, withdraws and shows what a group of proxies has agreed on. It may wait."""

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
LOOK_S = 0.1  # seconds between two looks at what became of a proposal
AGAIN_S = 1.0  # and between two tellings of it: the first may have got lost
MORE_S = 5.0  # beyond `within`, until what became of it is unknown


class CommandRefusedError(ConfigError):
    """What a proxy says against a wish; asking again changes nothing."""


def wish(address: str, settings: PeersSettings, verb: str, **facts: Any) -> Any:
    """Have a proxy do or say something. Raises ConfigError, or CommandRefusedError with its reason."""
    told = ask(address, settings, Wish(secrets.randbits(64), verb, **facts))
    if not isinstance(told, Granted):
        raise ConfigError(f"{address}: not an answer to what was asked")
    body = json.decode(told.body)
    if not told.good:
        raise CommandRefusedError(f"{address}: {body}")
    return body


class Shown:
    """How a change stands: one line kept up to date on a terminal, elsewhere a line for each change."""

    def __init__(self, out: TextIO) -> None:
        self.out, self.last = out, ""
        self.live: Status | None = None

    def __enter__(self) -> Self:
        if self.out.isatty():
            with contextlib.suppress(ImportError):  # lines do as well
                from rich.console import Console

                self.live = Console(file=self.out).status("")
                self.live.start()
        return self

    def __exit__(self, *details: object) -> None:
        if self.live is not None:
            self.live.stop()

    def say(self, line: str) -> None:
        if line == self.last:
            return
        self.last = line
        if self.live is not None:
            self.live.update(escaped(line))
        else:
            print(line, file=self.out, flush=True)

    def keep(self, line: str) -> None:
        """Say what stays."""
        if self.live is not None:
            self.live.console.print(escaped(line), highlight=False)
        else:
            print(line, file=self.out, flush=True)


def escaped(line: str) -> str:
    """What a proxy or a file says is no markup."""
    from rich.markup import escape

    return escape(line)


def taken_up(found: dict[str, Any]) -> str:
    """Who has taken up what is on its way, as the leader sees it; empty where that is not known."""
    missing, roster = found["missing"], found["roster"]
    if not roster or (not missing and found["role"] != "leader"):
        return ""
    have = f", taken up by {len(roster) - len(missing)} of {len(roster)}"
    return have + (f", waits for {' '.join(missing)}" if missing else "")


def led(found: dict[str, Any], settings: PeersSettings, id: str) -> dict[str, Any]:
    """The same as its leader says it, who knows whom it waits for; as found where it does not answer."""
    if found["role"] != "leader" and found.get("leader_at"):
        with contextlib.suppress(ConfigError):
            told: dict[str, Any] = wish(found["leader_at"], settings, "status", id=id)
            return told if told["asked"] is not None else found
    return found


def check(text: str, out: TextIO) -> int:
    """Whether this release can act upon a document. Raises ConfigError."""
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
    """Propose, and wait until it is in force or withdrawn; the exit code says which."""
    check(text, out)
    with Shown(out) as shown:
        shown.keep(f"proposed as {id}")
        end, told_at = time.monotonic() + wait + MORE_S, -AGAIN_S
        while time.monotonic() < end:
            try:
                found = wish(address, settings, "status", id=id)
                if found["asked"] is None and time.monotonic() - told_at >= AGAIN_S:
                    told_at = time.monotonic()
                    wish(address, settings, "propose", id=id, who=who, why=why, at=time.time(), text=text)
            except CommandRefusedError:
                raise
            except ConfigError as error:
                found = {"asked": None}
                shown.say(str(error))
            asked = found["asked"]
            if asked is not None and asked["phase"] == "in force":
                shown.keep(f"version {asked['number']}: in force")
                return IN_FORCE
            if asked is not None and asked["phase"] == "withdrawn":
                shown.keep(f"version {asked['number']}: withdrawn\nwithdrawn: {asked['ended']}")
                return WITHDRAWN
            if asked is not None:
                shown.say(f"version {asked['number']}: {asked['phase']}{taken_up(led(found, settings, id))}")
            time.sleep(LOOK_S)
        shown.keep(f"unknown: propose it again with --id {id}, which does it once")
    return UNKNOWN


def status(address: str, settings: PeersSettings, out: TextIO) -> int:
    """How things stand, as one proxy sees it; 1 where it admits nothing."""
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
    """Have others vote, one after the other, and wait until they do; the exit code says whether."""
    end, told_at, last = time.monotonic() + wait, -AGAIN_S, ""
    while time.monotonic() < end:
        try:
            s = wish(address, settings, "status")
            if s["electorate"] != wanted and time.monotonic() - told_at >= AGAIN_S:
                told_at = time.monotonic()
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
        time.sleep(LOOK_S)
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
    """Print where two versions differ; 1 where they do."""
    (a, before), (b, after) = text_of(address, settings, one), text_of(address, settings, other)
    lines = list(
        difflib.unified_diff(
            before.splitlines(), after.splitlines(), f"version {a}", f"version {b}", lineterm=""
        )
    )
    for line in lines:
        print(line, file=out)
    return int(bool(lines))


def file_text(name: str) -> str:
    try:
        if name == "-":
            return sys.stdin.read()
        with open(name, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{name}: {error}") from error


def run(options: Any, settings: PeersSettings | None, out: TextIO) -> int:
    """Carry out one verb of the command line. Raises ConfigError."""
    if options.verb == "check":
        return check(file_text(options.file), out)
    assert settings is not None
    at = options.address
    verbs: dict[str, Callable[[], int]] = {
        "propose": lambda: change(file_text(options.file)),
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
