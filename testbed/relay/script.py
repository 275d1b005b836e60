"""The relay's script: hops, and rules that say which bytes meet which fault. It must never do I/O but read a
file.

Times are in milliseconds, sizes in bytes, offsets counted from a link's first byte in one direction. `up` is
the direction from who connected toward the target, `down` the way back.
"""

import tomllib
from pathlib import Path
from typing import Literal

import msgspec

Way = Literal["up", "down"]
Act = Literal["delay", "hold", "throttle", "split", "merge", "garble", "cut", "half_close", "reset"]

UP: Way = "up"
DOWN: Way = "down"
ENDINGS = (
    "cut",
    "half_close",
    "reset",
)  # the others change how bytes pass, these end a link or one way of it
MOST_RULES = 10_000  # of a script: each is looked at for each new link
NEEDS = {  # which parameter an act cannot do without
    "delay": "ms",
    "throttle": "bytes_per_s",
    "split": "size",
    "merge": "size",
}


class ScriptError(ValueError):
    """The script cannot be used; the text names the key in one line."""


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One fault: on which links and bytes, when, and what.

    At most one of `offset`, `pattern`, `after_ms` and `each_byte` says when; without any it is the link's
    opening. An offset is reached as soon as so many bytes have come, not when the next one does.
    """

    do: Act
    hop: str = ""  # its name; every hop where left out
    way: Way = "down"  # whose bytes it concerns
    watch: Way | None = None  # the direction in which it waits for its moment; `way` where left out
    links: tuple[int, int] | None = None  # the first and the last link, numbered from 0 as they were accepted
    chance: float = 1.0  # that a link has this rule at all, drawn from the seed and the link's number

    offset: int | None = None  # bytes
    pattern: str | None = (
        None  # one character a byte, U+0000 to U+00FF; its moment is right after its last byte
    )
    nth: int = 1  # the first match that counts
    plus: int = 0  # so many bytes after the pattern
    after_ms: float | None = None  # since the link's opening
    each_byte: float | None = None  # chance of each byte, drawn from the seed alone, however the bytes come

    times: int = 1  # on one link; 0 for as often as its moment comes
    in_all: int = 0  # on all links together; 0 for no limit
    at_once: bool = False  # an ending drops what is held back and waits for none of it; after_ms always does

    bytes: int = 0  # for how many bytes it lasts, 0 for all that follow; garble: 1 where left out
    ms: float | None = None  # delay, hold (none: for good), merge (longest wait, 20 where left out)
    jitter_ms: float = 0.0  # delay: up to so much more, drawn from the seed by offset
    bytes_per_s: float | None = None  # throttle
    size: int | None = None  # split: of each piece; merge: gathered at least
    gap_ms: float = 1.0  # split: between two pieces
    put: str | None = None  # garble: what stands there instead, repeated; drawn from the seed where left out
    side: Literal["client", "server", "both"] = "both"  # reset: who is told

    def __post_init__(self) -> None:
        moments = (self.offset, self.pattern, self.after_ms, self.each_byte)
        if sum(moment is not None for moment in moments) > 1:
            raise ValueError("offset, pattern, after_ms and each_byte exclude each other")
        if (need := NEEDS.get(self.do)) and getattr(self, need) is None:
            raise ValueError(f"{self.do} needs {need}")
        least = {
            "offset": (self.offset, 0),
            "nth": (self.nth, 1),
            "plus": (self.plus, 0),
            "after_ms": (self.after_ms, 0),
            "times": (self.times, 0),
            "in_all": (self.in_all, 0),
            "bytes": (self.bytes, 0),
            "ms": (self.ms, 0),
            "jitter_ms": (self.jitter_ms, 0),
            "bytes_per_s": (self.bytes_per_s, 1),
            "size": (self.size, 1),
            "gap_ms": (self.gap_ms, 0),
            "chance": (self.chance, 0),
            "each_byte": (self.each_byte, 0),
        }
        for name, (value, lowest) in least.items():
            if value is not None and not value >= lowest:
                raise ValueError(f"{name} must be {lowest} at least, not {value}")
        for name, share in (("chance", self.chance), ("each_byte", self.each_byte)):
            if share is not None and share > 1:
                raise ValueError(f"{name} must be 1 at most, not {share}")
        for name, text in (("pattern", self.pattern), ("put", self.put)):
            if text is not None and (not text or max(text) > "\xff"):
                raise ValueError(f"{name} must hold characters from U+0000 to U+00FF, one at least")
        if self.links is not None and not 0 <= self.links[0] <= self.links[1]:
            raise ValueError("links must name a first and a last number")

    @property
    def watched(self) -> Way:
        return self.watch or self.way

    def describe(self) -> str:
        """What it does and what it waits for, in a few words."""
        moment = "the opening"
        if self.pattern is not None:
            moment = f"pattern {self.pattern.encode('latin-1')!r}"
        elif self.offset is not None:
            moment = f"offset {self.offset}"
        elif self.after_ms is not None:
            moment = f"{self.after_ms:g} ms"
        elif self.each_byte is not None:
            moment = f"chance {self.each_byte:g} a byte"
        return f"{self.do} {self.way} at {moment}"


class Hop(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One listener and where its links lead."""

    target: str  # host:port
    listen: str = "127.0.0.1:0"  # host:port; port 0 takes a free one
    name: str = ""


class Script(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All hops and rules, and the seed of whatever is drawn."""

    name: str = ""
    seed: int = 1
    hops: tuple[Hop, ...] = ()
    rules: tuple[Rule, ...] = ()

    def __post_init__(self) -> None:
        names = [hop.name for hop in self.hops]
        if len(set(names)) < len(names):
            raise ValueError("hops: two of one name")
        if len(self.rules) > MOST_RULES:
            raise ValueError(f"rules: {MOST_RULES} at most")
        for number, rule in enumerate(self.rules):
            if rule.hop and rule.hop not in names:
                raise ValueError(f"rules[{number}].hop: there is no hop {rule.hop!r}")
        for hop in self.hops:
            read_address(hop.target)
            read_address(hop.listen)


def read_address(text: str) -> tuple[str, int]:
    """Take ``host:port`` apart; ValueError where it is none."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"host:port expected, not {text!r}")
    return host, int(port)


def parse(text: str, what: str = "script") -> Script:
    """Read a script; ScriptError names the key that is wrong."""
    try:
        return msgspec.convert(tomllib.loads(text), Script, strict=True)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScriptError(f"{what}: {' '.join(str(error).split())}") from error


def load(path: str) -> Script:
    """Read a script's file."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise ScriptError(f"{path}: {error}") from error
    return parse(text, path)
