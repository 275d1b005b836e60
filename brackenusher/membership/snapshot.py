"""Snapshots of shared knowledge in a file, loaded at a restart.

A line with the format version, a line with a checksum, and the body. The file is written under a temporary
name, synced and renamed, so that a reader finds either the old or the new one complete. An unusable file is
renamed and never prevents a start.
"""

import os
from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from barleybarrow.knowledge import MAX_EVIDENCE
from brackenusher.membership.frames import ENCODER, Record

FORMAT_VERSION = 1
MAGIC = b"brackenusher snapshot %d\n"
DIGEST_BYTES = 32  # of BLAKE2b
MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024  # a full evidence store with long names
MAX_CLOCK_AHEAD_MS = 300_000.0  # a file may be from the future: our clock may have been set back since


class SnapshotError(ValueError):
    """The file cannot be used; the text says why."""


class Snapshot(Struct, array_like=True, frozen=True):
    """Contents of a file; records are encoded as between proxies, with ages as of `saved_at_ms`."""

    saved_at_ms: Annotated[float, Meta(ge=0, le=1e15)]  # Unix milliseconds
    name: Annotated[str, Meta(max_length=128)]
    epoch: int
    records: Annotated[list[Record], Meta(max_length=MAX_EVIDENCE)] = []


DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode(snapshot: Snapshot) -> bytes:
    body = ENCODER.encode(snapshot)
    return (
        MAGIC % FORMAT_VERSION + blake2b(body, digest_size=DIGEST_BYTES).hexdigest().encode() + b"\n" + body
    )


def decode(data: bytes, now: float) -> Snapshot:
    """Decode the contents of a file; `now` is Unix milliseconds. Raises SnapshotError."""
    head = MAGIC % FORMAT_VERSION
    if not data.startswith(head):
        other = data.startswith(MAGIC.split(b"%")[0])
        raise SnapshotError("written in another form" if other else "no snapshot")
    begin = len(head) + 2 * DIGEST_BYTES + 1
    digest, body = data[len(head) : begin], data[begin:]
    if digest != blake2b(body, digest_size=DIGEST_BYTES).hexdigest().encode() + b"\n":
        raise SnapshotError("cut short or changed: its checksum does not hold")
    try:
        snapshot = DECODER.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise SnapshotError(str(error)) from error
    if snapshot.saved_at_ms > now + MAX_CLOCK_AHEAD_MS:
        raise SnapshotError("written in the future")
    return snapshot


def read(path: str, now: float) -> Snapshot:
    """Read a file. Raises SnapshotError, or FileNotFoundError if there is none."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_SNAPSHOT_BYTES + 1)
    except FileNotFoundError:
        raise
    except OSError as error:
        raise SnapshotError(str(error)) from error
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise SnapshotError(f"over {MAX_SNAPSHOT_BYTES} bytes")
    return decode(data, now)


def set_aside(path: str) -> str:
    """Rename an unusable file and return its new name; replaces an earlier one of that name."""
    aside = f"{path}.unusable"
    os.replace(path, aside)
    return aside


def write(path: str, data: bytes) -> None:
    """Write a temporary file, sync it, rename it, and sync the folder. On OSError the old file is intact."""
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
