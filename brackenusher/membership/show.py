"""`brackenusher knowledge`: prints the evidence in a snapshot or a running proxy. Uses blocking I/O."""

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
    MembersRequest,
    Reader,
    Told,
    Wish,
    decode,
    pack,
    unpack,
)

ANSWER_TIMEOUT_S = 2.0
MIN_SPEED_RATIO = 1.1  # a comparison treats speeds within this factor as equal
TABLE_HEADER = (
    f"{'server':<20} {'born':>14} {'origin':<12} {'speed':>6} {'weight':>6} {'fails':>5} {'limit':>6} "
    f"{'warm':>5} {'age s':>7} {'answered':>9} {'failed':>9} {'silent':>9}"
)


def ask(address: str, settings: PeersSettings, request: Asked | MembersRequest | Wish) -> Frame:
    """Send a request to a running proxy and return its reply. Raises ConfigError."""
    if not settings.keys or not settings.sign:
        raise ConfigError("peers.key.<kid> and peers.sign are needed to ask a proxy")
    reader, body = Reader(), None
    try:
        with closing(
            socket.create_connection(read_address(address, "the proxy"), timeout=ANSWER_TIMEOUT_S)
        ) as sock:
            sock.sendall(pack(request, settings.keys[settings.sign], settings.sign))
            while body is None:
                data = sock.recv(65_536)
                if not data:
                    raise FrameError("it closed the connection: its keys may be others")
                body = reader.feed(data)
        reply = unpack(settings.keys, body)
    except (OSError, FrameError) as error:
        raise ConfigError(f"{address}: {error}") from error
    if not isinstance(reply, Told | Members | Granted) or reply.nonce != request.nonce:
        raise ConfigError(f"{address}: not an answer to what was asked")
    return reply


def fetch_records(address: str, settings: PeersSettings) -> tuple[str, list[bytes]]:
    """Return the name of a running proxy and its records. Raises ConfigError."""
    reply = ask(address, settings, Asked(secrets.randbits(64)))
    if not isinstance(reply, Told):
        raise ConfigError(f"{address}: not an answer to what was asked")
    return reply.name, reply.records


def load_evidence(source: str, settings: PeersSettings | None) -> tuple[str, list[Evidence]]:
    """Load the evidence of a file or, with settings, of a running proxy; times are Unix milliseconds."""
    now = time.time() * 1000.0
    if settings is not None and is_address(source):
        name, records = fetch_records(source, settings)
        head = f"{source}: {name}, running"
    else:
        try:
            held = snapshot.read(source, now)
        except (snapshot.SnapshotError, OSError) as error:
            raise ConfigError(f"{source}: {error}") from error
        records = held.records
        head = f"{source}: saved by {held.name} {max(0.0, now - held.saved_at_ms) / 1000.0:.1f} s ago"
        now = min(now, held.saved_at_ms)
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


def format_lag(lag: float, e: Evidence, now: float) -> str:
    return "never" if lag == NEVER else format_seconds(now - e.at + lag)


def format_seconds(span: float) -> str:
    return f"{span / 1000.0:.1f}" if isfinite(span) else "-"


def format_row(e: Evidence, now: float) -> str:
    born = f"{e.born:.0f}" if e.born else "-"
    return (
        f"{e.backend:<20} {born:>14} {e.origin:<12} {exp(e.slower):>6.2f} {e.remaining_weight(now):>6.2f} "
        f"{e.failing:>5.2f} {e.limit:>6.2f} {e.warm:>5.2f} {format_seconds(now - e.at):>7} "
        f"{format_lag(e.answered, e, now):>9} {format_lag(e.failed, e, now):>9} "
        f"{format_lag(e.silent, e, now):>9}"
    )


def show(source: str, settings: PeersSettings | None, out: TextIO) -> int:
    """Print all pieces of evidence. Speeds are multiples of the origin's median, ages are seconds."""
    head, found = load_evidence(source, settings)
    print(f"# {head}", file=out)
    print(TABLE_HEADER, file=out)
    for e in found:
        print(format_row(e, time.time() * 1000.0), file=out)
    return 0


def diff(one: str, other: str, settings: PeersSettings | None, out: TextIO) -> int:
    """Print evidence that is in only one source or differs in speed or failure share; 1 if there is any."""
    (head, before), (other_head, after) = load_evidence(one, settings), load_evidence(other, settings)
    print(f"# < {head}\n# > {other_head}", file=out)
    print(f"  {TABLE_HEADER}", file=out)
    now = time.time() * 1000.0
    old, new = index_evidence(before), index_evidence(after)
    differs = False
    for key in sorted(old.keys() | new.keys()):
        one_evidence, other_evidence = old.get(key), new.get(key)
        if (
            one_evidence is not None
            and other_evidence is not None
            and is_similar(one_evidence, other_evidence)
        ):
            continue
        differs = True
        for mark, e in (("<", one_evidence), (">", other_evidence)):
            if e is not None:
                print(f"{mark} {format_row(e, now)}", file=out)
    return int(differs)


def index_evidence(found: Iterable[Evidence]) -> dict[tuple[str, float, str], Evidence]:
    return {(e.backend, e.born, e.origin): e for e in found}


def is_similar(a: Evidence, b: Evidence) -> bool:
    return max(exp(a.slower - b.slower), exp(b.slower - a.slower)) < MIN_SPEED_RATIO and (
        abs(a.failing - b.failing) < MIN_SPEED_RATIO - 1
    )
