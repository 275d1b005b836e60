"""`brackenusher group`: how a whole group stands; backups, and what to do where a majority is gone for good.

Files are changed only while their proxy is stopped, and nothing is without naming what may be lost. Why it is
so: docs/design/recovery.md; the run-book: docs/recovery.md.
"""

import hashlib
import json
import os
import shutil
import sqlite3
import time
from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any, TextIO

from barleybarrow.recovery import Objection, StoreContents, missing_versions, objections, recovered_state
from barleybarrow.replica import Ready
from brackenusher.config.operators import OperatorSettings, PeersSettings, load_operator_settings
from brackenusher.config.platform import ConfigError
from brackenusher.group.database import DatabaseDamagedError, F, K
from brackenusher.group.policies import wish
from brackenusher.group.replica_store import ReplicaStore
from brackenusher.group.store import Store

DONE, WRONG, REFUSED = 0, 1, 3  # exit codes
NOTE = "backup.json"
MOST_SHOWN = 50  # lines of what may be lost; the rest is counted


def worded(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def asked(address: str, settings: PeersSettings, verb: str, **facts: Any) -> Any:
    """What a proxy says; None where it does not answer, or has no part in it."""
    try:
        return wish(address, settings, verb, **facts)
    except ConfigError:
        return None


# Files


@contextmanager
def copied(path: Path) -> Iterator[Path]:
    """A folder with a whole copy of a store that may be in use: SQLite's own backup. Raises ConfigError."""
    import tempfile

    with tempfile.TemporaryDirectory(prefix="group-") as folder:
        into = Path(folder) / path.name
        copy_store(path, into)
        yield Path(folder)


def copy_store(path: Path, into: Path) -> None:
    try:
        source = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
        with closing(source), closing(sqlite3.connect(into)) as target:
            source.backup(target)
        with into.open("rb") as file:
            os.fsync(file.fileno())
    except (OSError, sqlite3.Error) as error:
        raise ConfigError(f"{path}: {error}") from error


def read_file(kind: type[F], path: Path, load: Callable[[F], K]) -> K:
    """What a store holds, as it is. Raises ConfigError, also where it does not hold together."""
    with copied(path) as folder:
        try:
            file = kind(str(folder))
            with closing(file.db):
                return load(file)
        except (DatabaseDamagedError, sqlite3.Error) as error:
            raise ConfigError(f"{path}: does not hold together: {error}") from error


def held_in(path: Path, name: str, named: tuple[str, ...]) -> StoreContents:
    kept = read_file(Store, path, Store.load)
    return StoreContents(name, kept.term, kept.snapshot, kept.entries, named)


def folders_of(operator: OperatorSettings) -> dict[str, Path]:
    """Where a proxy keeps what it must not forget, by the file's name."""
    parts = ((operator.policy, Store), (operator.replica, ReplicaStore))
    return {kind.NAME: Path(part.folder) for part, kind in parts if part is not None and part.folder}


def stores_of(operator: OperatorSettings) -> dict[str, Path]:
    """The files that are there."""
    found = {file: folder / file for file, folder in folders_of(operator).items()}
    return {file: path for file, path in found.items() if path.exists()}


def loaded(name: str) -> tuple[OperatorSettings, PeersSettings]:
    operator = load_operator_settings(name)
    if operator.peers is None:
        raise ConfigError(f"{name}: peers.enabled: a group needs peers")
    return operator, operator.peers


def stopped(peers: PeersSettings) -> None:
    """Raises ConfigError where the proxy of this file runs."""
    import socket

    try:
        with closing(socket.create_connection(peers.listen, timeout=2.0)):
            pass
    except ConnectionRefusedError:
        return
    except OSError as error:
        raise ConfigError(f"{worded(peers.listen)}: it cannot be told whether it runs: {error}") from error
    raise ConfigError(f"{worded(peers.listen)}: a proxy runs there: stop it first")


# Who answers


def heard(operator: OperatorSettings, peers: PeersSettings) -> dict[str, dict[str, Any]]:
    """What the seeds that answer say of themselves, by name: status, history, marks, where these are on."""
    found = {}
    for seed in peers.seeds:
        if seed in (peers.listen, peers.advertised_address):
            continue
        at = worded(seed)
        status, shown = asked(at, peers, "status"), asked(at, peers, "replica show")
        if status is not None or shown is not None:
            name = (status or shown)["name"]
            history = asked(at, peers, "history") if status is not None else None
            found[name] = {
                "status": status,
                "history": history or [],
                "marks": (shown or {}).get("marks", []),
            }
    return found


def lost(answers: dict[str, dict[str, Any]], held: StoreContents | None, marks: set[str] | None) -> list[str]:
    """What proxies that answer know of, and the files at hand lack."""
    found: dict[str, None] = {}
    mine = []
    if held is not None:
        mine = [
            {"number": v.number, "id": v.id, "phase": v.phase} for v in held.rollout_state().versions.values()
        ]
    for answer in answers.values():
        found |= dict.fromkeys(missing_versions(mine, answer["history"]))
        if marks is not None:
            found |= dict.fromkeys(
                f"the mark of {m['key']}" for m in answer["marks"] if m["key"] not in marks
            )
    return list(found)


def say_lost(lines: list[str], answers: dict[str, Any], out: TextIO) -> None:
    if not answers:
        print("nobody else answers: what was acknowledged and is not here cannot be listed", file=out)
    for line in lines[:MOST_SHOWN]:
        print(f"not here: {line}", file=out)
    if len(lines) > MOST_SHOWN:
        print(f"not here: {len(lines) - MOST_SHOWN} more", file=out)


def allowed(found: list[Objection], know: bool, out: TextIO) -> bool:
    """Whether it may be done; says why not, and what `--i-know` would claim."""
    for objection in found:
        print(f"refused: {objection.reason}", file=out)
        if objection.assertion:
            print(f"    --i-know says: {objection.assertion}", file=out)
    return all(o.assertion for o in found) and (know or not found)


# The verbs


def status(addresses: list[str], settings: PeersSettings, out: TextIO) -> int:
    """How proxies stand to each other; 1 where any is silent, behind, or of another group."""
    lines, groups, versions, wrong = [], set(), set(), False
    for address in addresses:
        s, copy = asked(address, settings, "status"), asked(address, settings, "replica verify")
        if s is None and copy is None:
            lines.append(f"{address:<22} silent")
            wrong = True
            continue
        words = []
        if s is not None:
            words.append(f"{s['role']} in term {s['term']}, leader {s['leader'] or 'unknown'}")
            words.append(
                f"version {s['force']}" + (f", {s['pending']} is {s['phase']}" if s["pending"] else "")
            )
            words.append(f"applied {s['applied']}")
            words.append("admits" if s["admits"] else f"admits nothing: {s['why']}")
            groups.add((s["leader"], tuple(sorted(s["voters"]))))
            versions.add(s["force"])
            wrong |= not s["admits"]
        if copy is not None:
            words.append(f"copy {copy['stage']}" + (", DIFFERS" if copy["differs"] else ""))
            wrong |= copy["differs"] or copy["stage"] != "caught up"
        lines.append(f"{address:<22} {(s or copy)['name']}: {'; '.join(words)}")
    print("\n".join(lines), file=out)
    if len(groups) > 1:
        print(
            "they do not follow one leader of the same voters: two groups, or one that is being elected",
            file=out,
        )
    if len(versions) > 1:
        print("they act upon different versions", file=out)
    return WRONG if wrong or len(groups) > 1 or len(versions) > 1 else DONE


def backup(properties: str, name: str, to: Path, out: TextIO) -> int:
    """Copy a proxy's stores, running or not, whole and checked."""
    operator, _ = loaded(properties)
    stores = stores_of(operator)
    if not stores:
        raise ConfigError(f"{properties}: it keeps nothing on disk: back up a voter or a keeper")
    try:
        to.mkdir(parents=True)
    except OSError as error:
        raise ConfigError(f"{to}: {error}") from error
    sums = {}
    for file, path in stores.items():
        copy_store(path, to / file)
        sums[file] = hashlib.sha256((to / file).read_bytes()).hexdigest()
    note = {"name": name, "at": time.time(), "files": sums}
    (to / NOTE).write_text(json.dumps(note, indent=1) + "\n", encoding="utf-8")
    return verify([to], out)


def verify(paths: list[Path], out: TextIO) -> int:
    """Check stores, or the folders of backups, and say what they hold; 1 where one does not hold together."""
    code = DONE
    for path in paths:
        note = path / NOTE
        files = (
            [path]
            if path.is_file()
            else [f for f in (path / Store.NAME, path / ReplicaStore.NAME) if f.exists()]
        )
        if not files:
            raise ConfigError(f"{path}: no store and no backup is there")
        sums = json.loads(note.read_text(encoding="utf-8"))["files"] if note.exists() else {}
        for file in files:
            try:
                if file.name in sums and hashlib.sha256(file.read_bytes()).hexdigest() != sums[file.name]:
                    raise ConfigError(f"{file}: is not what was backed up")
                print(f"{file}: {said_of(file)}", file=out)
            except ConfigError as error:
                print(f"DAMAGED {error}", file=out)
                code = WRONG
    return code


def said_of(file: Path) -> str:
    if file.name == ReplicaStore.NAME:
        kept = read_file(ReplicaStore, file, ReplicaStore.load)
        marks = sum(e.value is not None for e in kept.entries)
        return f"{marks} marks, {len(kept.entries) - marks} removals, started {kept.store_opens} times"
    held = held_in(file, "", ())
    book = held.rollout_state()
    pending = f", {book.pending} is {book.versions[book.pending].phase}" if book.pending else ""
    voters = " ".join(held.voters) or "by the operators' file"
    return (
        f"term {held.term}, log to {held.last_index}, "
        f"version {book.force} is in force{pending}; voters {voters}"
    )


def recover(properties: str, name: str, without: list[str], seen: list[str], know: bool, out: TextIO) -> int:
    """Have one store go on as the only voter."""
    operator, peers = loaded(properties)
    path = stores_of(operator).get(Store.NAME)
    if operator.policy is None or path is None:
        raise ConfigError(f"{properties}: policy.folder: no voter's store is there")
    stopped(peers)
    mine = held_in(path, name, operator.policy.voters)
    others = []
    for text in seen:
        other, _, folder = text.partition("=")
        if not folder:
            raise ConfigError(f"--seen {text}: must be NAME=FOLDER")
        others.append(held_in(Path(folder) / Store.NAME, other, operator.policy.voters))
    answers = heard(operator, peers)
    applied = {n: a["status"]["applied"] for n, a in answers.items() if a["status"] is not None}
    found = objections(mine, others, without, applied)
    print(f"{name}: {said_of(path)}", file=out)
    say_lost(lost(answers, mine, None), answers, out)
    book = mine.rollout_state()
    if book.pending:
        print(f"version {book.pending} is on its way here: it goes on, and ends as it ends", file=out)
    if not allowed(found, know, out):
        return REFUSED
    store = Store(str(path.parent))
    with closing(store.db):
        store.keep(recovered_state(mine, others))
    print(
        f"{name} votes alone from now on. Start it, and wait until `policy status` says that it leads;",
        file=out,
    )
    print(
        "then start all others, with empty folders, and name voters: brackenusher policy voters --set",
        file=out,
    )
    return DONE


def restore(properties: str, source: Path, know: bool, out: TextIO) -> int:
    """Put a backup where its proxy's stores are."""
    operator, peers = loaded(properties)
    if verify([source], out) != DONE:
        return REFUSED
    stopped(peers)
    folders = {file: folder for file, folder in folders_of(operator).items() if (source / file).exists()}
    answers, found, held, marks = heard(operator, peers), list[Objection](), None, None
    if Store.NAME in folders and operator.policy is not None:
        held = held_in(source / Store.NAME, "", operator.policy.voters)
    if ReplicaStore.NAME in folders:
        marks = {
            e.key
            for e in read_file(ReplicaStore, source / ReplicaStore.NAME, ReplicaStore.load).entries
            if e.value is not None
        }
    if answers:
        why = f"{' '.join(sorted(answers))} answer: start with an empty folder, and all is told to it"
        found.append(Objection(why, "what the backup says is wanted in place of what they say"))
    for file, folder in folders.items():
        if (folder / file).exists():
            found.append(Objection(f"{folder / file} is there", "it may be set aside"))
    say_lost(lost(answers, held, marks), answers, out)
    if not allowed(found, know, out):
        return REFUSED
    for file, folder in folders.items():
        folder.mkdir(parents=True, exist_ok=True)
        aside = folder / f"{file}.aside-{int(time.time())}"
        for end in ("", "-wal", "-shm"):
            if (folder / (file + end)).exists():
                os.replace(folder / (file + end), f"{aside}{end}")
        beside = folder / "restoring"  # it comes to its place marked and synced, or not at all
        shutil.rmtree(beside, ignore_errors=True)
        beside.mkdir()
        copy_store(source / file, beside / file)
        as_old(beside, file)
        os.replace(beside / file, folder / file)
        shutil.rmtree(beside)
        print(f"restored {folder / file}", file=out)
    return DONE


def as_old(folder: Path, file: str) -> None:
    """Count no start of a restored store: whoever has met a later one says so, and it has to catch up."""
    if file == Store.NAME:
        store = Store(str(folder))
        with closing(store.db):
            store.facts(lives=0)
    else:
        shelf = ReplicaStore(str(folder))
        with closing(shelf.db):
            shelf.keep(Ready(metadata=replace(shelf.load(), entries=[], store_opens=0)))


def run(options: Any, load: Callable[[str], PeersSettings], out: TextIO) -> int:
    """Carry out one verb of the command line. Raises ConfigError."""
    if options.verb == "status":
        return status(options.addresses, load(options.properties), out)
    if options.verb == "verify":
        return verify(options.paths, out)
    if options.verb == "backup":
        return backup(options.properties, options.name, options.to, out)
    if options.verb == "restore":
        return restore(options.properties, options.source, options.i_know, out)
    names = [n for n in options.without.replace(",", " ").split() if n]
    return recover(options.properties, options.name, names, options.seen, options.i_know, out)
