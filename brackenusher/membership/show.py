"""`brackenusher knowledge`: prints what a snapshot or a running proxy holds. Serving nobody, it may wait."""

import secrets
import socket
import time
from collections.abc import Iterable
from contextlib import closing
from math import exp, isfinite
from typing import TextIO

from barleybarrow.knowledge import NEVER, Evidence, InvalidEvidenceError
from brackenusher.config.operators import PeersSettings
from brackenusher.config.platform import ConfigError, read_address
from brackenusher.membership import snapshot
from brackenusher.membership.frames import (
    Asked,
    Frame,
    FrameError,
    Granted,
    Members,
    Reader,
    Told,
    Who,
    Wish,
    decode,
    pack,
    unpack,
)

WAIT = 2.0  # seconds that a proxy may take for its answer
DIFFERENT = 1.1  # times slower or faster: below this two speeds are printed as one in a comparison
HEAD = (
    f"{'server':<20} {'born':>14} {'origin':<12} {'speed':>6} {'weight':>6} {'fails':>5} {'limit':>6} "
    f"{'warm':>5} {'age s':>7} {'answered':>9} {'failed':>9} {'silent':>9}"
)


def ask(address: str, settings: PeersSettings, question: Asked | Who | Wish) -> Frame:
    """Put a question to a running proxy. Raises ConfigError."""
    if not settings.keys or not settings.sign:
        raise ConfigError("peers.key.<kid> and peers.sign are needed to ask a proxy")
    reader, body = Reader(), None
    try:
        with closing(socket.create_connection(read_address(address, "the proxy"), timeout=WAIT)) as sock:
            sock.sendall(pack(question, settings.keys[settings.sign], settings.sign))
            while body is None:
                data = sock.recv(65_536)
                if not data:
                    raise FrameError("it closed the connection: its keys may be others")
                body = reader.feed(data)
        told = unpack(settings.keys, body)
    except (OSError, FrameError) as error:
        raise ConfigError(f"{address}: {error}") from error
    if not isinstance(told, Told | Members | Granted) or told.nonce != question.nonce:
        raise ConfigError(f"{address}: not an answer to what was asked")
    return told


def fetch(address: str, settings: PeersSettings) -> tuple[str, list[bytes]]:
    """What a running proxy holds, and its name. Raises ConfigError."""
    told = ask(address, settings, Asked(secrets.randbits(64)))
    if not isinstance(told, Told):
        raise ConfigError(f"{address}: not an answer to what was asked")
    return told.name, told.records


def read(source: str, settings: PeersSettings | None) -> tuple[str, list[Evidence]]:
    """What a file or, where settings are given, a proxy holds; times are Unix milliseconds."""
    now = time.time() * 1000.0
    if settings is not None and is_address(source):
        name, records = fetch(source, settings)
        head = f"{source}: {name}, running"
    else:
        try:
            held = snapshot.read(source, now)
        except (snapshot.SnapshotError, OSError) as error:
            raise ConfigError(f"{source}: {error}") from error
        records = held.records
        head = f"{source}: saved by {held.name} {max(0.0, now - held.saved) / 1000.0:.1f} s ago"
        now = min(now, held.saved)
    found = []
    for record in records:
        try:
            found.append(decode(record, now))
        except InvalidEvidenceError:
            continue
    return f"{head}, {len(found)} pieces", sorted(found, key=lambda e: (e.backend, e.born, e.origin))


def is_address(source: str) -> bool:
    host, _, port = source.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit()


def ago(lag: float, e: Evidence, now: float) -> str:
    return "never" if lag == NEVER else seconds(now - e.at + lag)


def seconds(span: float) -> str:
    return f"{span / 1000.0:.1f}" if isfinite(span) else "-"


def line(e: Evidence, now: float) -> str:
    born = f"{e.born:.0f}" if e.born else "-"
    return (
        f"{e.backend:<20} {born:>14} {e.origin:<12} {exp(e.slower):>6.2f} {e.remaining_weight(now):>6.2f} "
        f"{e.failing:>5.2f} {e.limit:>6.2f} {e.warm:>5.2f} {seconds(now - e.at):>7} "
        f"{ago(e.answered, e, now):>9} {ago(e.failed, e, now):>9} {ago(e.silent, e, now):>9}"
    )


def show(source: str, settings: PeersSettings | None, out: TextIO) -> int:
    """Print all pieces of evidence. Speeds are multiples of the origin's median, ages are seconds."""
    head, found = read(source, settings)
    print(f"# {head}", file=out)
    print(HEAD, file=out)
    for e in found:
        print(line(e, time.time() * 1000.0), file=out)
    return 0


def diff(one: str, other: str, settings: PeersSettings | None, out: TextIO) -> int:
    """Print what only one holds, or holds with another speed or share of failures; 1 where there is any."""
    (head, before), (other_head, after) = read(one, settings), read(other, settings)
    print(f"# < {head}\n# > {other_head}", file=out)
    print(f"  {HEAD}", file=out)
    now = time.time() * 1000.0
    old, new = by_key(before), by_key(after)
    differs = False
    for key in sorted(old.keys() | new.keys()):
        a, b = old.get(key), new.get(key)
        if a is not None and b is not None and alike(a, b):
            continue
        differs = True
        for mark, e in (("<", a), (">", b)):
            if e is not None:
                print(f"{mark} {line(e, now)}", file=out)
    return int(differs)


def by_key(found: Iterable[Evidence]) -> dict[tuple[str, float, str], Evidence]:
    return {(e.backend, e.born, e.origin): e for e in found}


def alike(a: Evidence, b: Evidence) -> bool:
    return max(exp(a.slower - b.slower), exp(b.slower - a.slower)) < DIFFERENT and (
        abs(a.failing - b.failing) < DIFFERENT - 1
    )
