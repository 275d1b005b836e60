"""Snapshots: knowledge in a file, so that a restart begins with it.

A line that names the form, a line with a checksum, and the body. It is written aside, synced and renamed, so
that a reader finds the old one or the new one whole. A file that cannot be used is set aside, never a crash.
"""

import os
from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from barleybarrow.knowledge import MAX_EVIDENCE
from brackenusher.membership.frames import ENCODER, Record

FORM = 1
MAGIC = b"brackenusher snapshot %d\n"
DIGEST = 32  # bytes of BLAKE2b
MOST = 16 * 1024 * 1024  # bytes: all that a book can hold, with long names
AHEAD = 300_000.0  # milliseconds that a file's clock may be ahead of ours: it may have been set back since


class SnapshotError(ValueError):
    """The file cannot be used; the text says why."""


class Snapshot(Struct, array_like=True, frozen=True):
    """What a file holds; records are as proxies tell them, aged at `saved`."""

    saved: Annotated[float, Meta(ge=0, le=1e15)]  # Unix milliseconds
    name: Annotated[str, Meta(max_length=128)]
    epoch: int
    records: Annotated[list[Record], Meta(max_length=MAX_EVIDENCE)] = []


DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode(snapshot: Snapshot) -> bytes:
    body = ENCODER.encode(snapshot)
    return MAGIC % FORM + blake2b(body, digest_size=DIGEST).hexdigest().encode() + b"\n" + body


def decode(data: bytes, now: float) -> Snapshot:
    """Read a file's bytes at a time in Unix milliseconds; raises SnapshotError."""
    head = MAGIC % FORM
    if not data.startswith(head):
        other = data.startswith(MAGIC.split(b"%")[0])
        raise SnapshotError("written in another form" if other else "no snapshot")
    begin = len(head) + 2 * DIGEST + 1
    digest, body = data[len(head) : begin], data[begin:]
    if digest != blake2b(body, digest_size=DIGEST).hexdigest().encode() + b"\n":
        raise SnapshotError("cut short or changed: its checksum does not hold")
    try:
        snapshot = DECODER.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise SnapshotError(str(error)) from error
    if snapshot.saved > now + AHEAD:
        raise SnapshotError("written in the future")
    return snapshot


def read(path: str, now: float) -> Snapshot:
    """Read a file; raises SnapshotError, or FileNotFoundError where there is none."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST + 1)
    except FileNotFoundError:
        raise
    except OSError as error:
        raise SnapshotError(str(error)) from error
    if len(data) > MOST:
        raise SnapshotError(f"over {MOST} bytes")
    return decode(data, now)


def set_aside(path: str) -> str:
    """Move a file that cannot be used out of the way; where to. The last one set aside is replaced."""
    aside = f"{path}.unusable"
    os.replace(path, aside)
    return aside


def write(path: str, data: bytes) -> None:
    """Write aside, sync, rename, and sync the folder. Raises OSError, and leaves the old file as it was."""
    target = Path(path)
    aside = target.with_name(target.name + ".new")
    fd = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o640)
    try:
        with os.fdopen(fd, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(aside, target)
    except OSError:
        aside.unlink(missing_ok=True)
        raise
    folder = os.open(target.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
