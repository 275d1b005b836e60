"""`brackenusher group`: status of a whole group, backups, and recovery after a permanent loss of a majority.

Files are changed only while their proxy is stopped, and only after listing what may be lost. Rationale:
docs/design/recovery.md; runbook: docs/recovery.md.
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
from brackenusher.group.database import ContentsT, DatabaseDamagedError, FileT
from brackenusher.group.policies import wish
from brackenusher.group.replica_store import ReplicaStore
from brackenusher.group.store import Store

EXIT_OK, EXIT_UNHEALTHY, EXIT_REFUSED = 0, 1, 3  # exit codes
MANIFEST_NAME = "backup.json"
MAX_MISSING_SHOWN = 50  # the rest is only counted


def format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def query_proxy(address: str, settings: PeersSettings, verb: str, **facts: Any) -> Any:
    """Asks a proxy; returns None if it does not answer or the feature is off there."""
    try:
        return wish(address, settings, verb, **facts)
    except ConfigError:
        return None


# Files


@contextmanager
def temporary_copy(path: Path) -> Iterator[Path]:
    """Yields a folder with a copy, by SQLite's backup, of a store that may be in use. Raises ConfigError."""
    import tempfile

    with tempfile.TemporaryDirectory(prefix="group-") as folder:
        target = Path(folder) / path.name
        copy_store(path, target)
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


def read_file(kind: type[FileT], path: Path, load: Callable[[FileT], ContentsT]) -> ContentsT:
    """Reads the contents of a store without changing it. Raises ConfigError, also if it is corrupt."""
    with temporary_copy(path) as folder:
        try:
            file = kind(str(folder))
            with closing(file.db):
                return load(file)
        except (DatabaseDamagedError, sqlite3.Error) as error:
            raise ConfigError(f"{path}: does not hold together: {error}") from error


def read_voter_store(path: Path, name: str, configured_voters: tuple[str, ...]) -> StoreContents:
    stored = read_file(Store, path, Store.load)
    return StoreContents(name, stored.term, stored.snapshot, stored.entries, configured_voters)


def store_folders(operator: OperatorSettings) -> dict[str, Path]:
    """Folders of a proxy's stores by file name."""
    parts = ((operator.policy, Store), (operator.replica, ReplicaStore))
    return {kind.NAME: Path(part.folder) for part, kind in parts if part is not None and part.folder}


def existing_stores(operator: OperatorSettings) -> dict[str, Path]:
    """The store files that exist, by file name."""
    found = {file: folder / file for file, folder in store_folders(operator).items()}
    return {file: path for file, path in found.items() if path.exists()}


def load_group_settings(name: str) -> tuple[OperatorSettings, PeersSettings]:
    operator = load_operator_settings(name)
    if operator.peers is None:
        raise ConfigError(f"{name}: peers.enabled: a group needs peers")
    return operator, operator.peers


def require_stopped(peers: PeersSettings) -> None:
    """Raises ConfigError if the proxy with these settings runs."""
    import socket

    try:
        with closing(socket.create_connection(peers.listen, timeout=2.0)):
            pass
    except ConnectionRefusedError:
        return
    except OSError as error:
        raise ConfigError(
            f"{format_address(peers.listen)}: it cannot be told whether it runs: {error}"
        ) from error
    raise ConfigError(f"{format_address(peers.listen)}: a proxy runs there: stop it first")


# Reachable proxies


def query_seeds(operator: OperatorSettings, peers: PeersSettings) -> dict[str, dict[str, Any]]:
    """Status, history and overrides of the seeds that answer, by name; empty for features that are off."""
    found = {}
    for seed in peers.seeds:
        if seed in (peers.listen, peers.advertised_address):
            continue
        at = format_address(seed)
        status, shown = query_proxy(at, peers, "status"), query_proxy(at, peers, "replica show")
        if status is not None or shown is not None:
            name = (status or shown)["name"]
            history = query_proxy(at, peers, "history") if status is not None else None
            found[name] = {
                "status": status,
                "history": history or [],
                "marks": (shown or {}).get("marks", []),
            }
    return found


def find_missing(
    answers: dict[str, dict[str, Any]], local: StoreContents | None, marks: set[str] | None
) -> list[str]:
    """Versions and overrides known to proxies that answer and missing in the local files."""
    found: dict[str, None] = {}
    local_versions = []
    if local is not None:
        local_versions = [
            {"number": v.number, "id": v.id, "phase": v.phase}
            for v in local.rollout_state().versions.values()
        ]
    for answer in answers.values():
        found |= dict.fromkeys(missing_versions(local_versions, answer["history"]))
        if marks is not None:
            found |= dict.fromkeys(
                f"the mark of {m['key']}" for m in answer["marks"] if m["key"] not in marks
            )
    return list(found)


def print_missing(lines: list[str], answers: dict[str, Any], out: TextIO) -> None:
    if not answers:
        print("nobody else answers: what was acknowledged and is not here cannot be listed", file=out)
    for line in lines[:MAX_MISSING_SHOWN]:
        print(f"not here: {line}", file=out)
    if len(lines) > MAX_MISSING_SHOWN:
        print(f"not here: {len(lines) - MAX_MISSING_SHOWN} more", file=out)


def is_allowed(found: list[Objection], acknowledged: bool, out: TextIO) -> bool:
    """Returns whether to proceed; prints the objections and what `--i-know` would assert."""
    for objection in found:
        print(f"refused: {objection.reason}", file=out)
        if objection.assertion:
            print(f"    --i-know says: {objection.assertion}", file=out)
    return all(o.assertion for o in found) and (acknowledged or not found)


# Commands


def status(addresses: list[str], settings: PeersSettings, out: TextIO) -> int:
    """Prints the state of proxies; returns 1 if any is silent, behind, or in another group."""
    lines, groups, versions, unhealthy = [], set(), set(), False
    for address in addresses:
        s, replica = (
            query_proxy(address, settings, "status"),
            query_proxy(address, settings, "replica verify"),
        )
        if s is None and replica is None:
            lines.append(f"{address:<22} silent")
            unhealthy = True
            continue
        states = []
        if s is not None:
            states.append(f"{s['role']} in term {s['term']}, leader {s['leader'] or 'unknown'}")
            states.append(
                f"version {s['force']}" + (f", {s['pending']} is {s['phase']}" if s["pending"] else "")
            )
            states.append(f"applied {s['applied']}")
            states.append("admits" if s["admits"] else f"admits nothing: {s['why']}")
            groups.add((s["leader"], tuple(sorted(s["voters"]))))
            versions.add(s["force"])
            unhealthy |= not s["admits"]
        if replica is not None:
            states.append(f"copy {replica['stage']}" + (", DIFFERS" if replica["differs"] else ""))
            unhealthy |= replica["differs"] or replica["stage"] != "caught up"
        lines.append(f"{address:<22} {(s or replica)['name']}: {'; '.join(states)}")
    print("\n".join(lines), file=out)
    if len(groups) > 1:
        print(
            "they do not follow one leader of the same voters: two groups, or one that is being elected",
            file=out,
        )
    if len(versions) > 1:
        print("they act upon different versions", file=out)
    return EXIT_UNHEALTHY if unhealthy or len(groups) > 1 or len(versions) > 1 else EXIT_OK


def backup(properties: str, name: str, to: Path, out: TextIO) -> int:
    """Copies and checks the stores of a proxy, running or not."""
    operator, _ = load_group_settings(properties)
    stores = existing_stores(operator)
    if not stores:
        raise ConfigError(f"{properties}: it keeps nothing on disk: back up a voter or a keeper")
    try:
        to.mkdir(parents=True)
    except OSError as error:
        raise ConfigError(f"{to}: {error}") from error
    checksums = {}
    for file, path in stores.items():
        copy_store(path, to / file)
        checksums[file] = hashlib.sha256((to / file).read_bytes()).hexdigest()
    manifest = {"name": name, "at": time.time(), "files": checksums}
    (to / MANIFEST_NAME).write_text(json.dumps(manifest, indent=1) + "\n", encoding="utf-8")
    return verify([to], out)


def verify(paths: list[Path], out: TextIO) -> int:
    """Checks and describes stores, or the folders of backups; returns 1 if one is corrupt."""
    code = EXIT_OK
    for path in paths:
        manifest = path / MANIFEST_NAME
        files = (
            [path]
            if path.is_file()
            else [f for f in (path / Store.NAME, path / ReplicaStore.NAME) if f.exists()]
        )
        if not files:
            raise ConfigError(f"{path}: no store and no backup is there")
        checksums = json.loads(manifest.read_text(encoding="utf-8"))["files"] if manifest.exists() else {}
        for file in files:
            try:
                if (
                    file.name in checksums
                    and hashlib.sha256(file.read_bytes()).hexdigest() != checksums[file.name]
                ):
                    raise ConfigError(f"{file}: is not what was backed up")
                print(f"{file}: {describe_store(file)}", file=out)
            except ConfigError as error:
                print(f"DAMAGED {error}", file=out)
                code = EXIT_UNHEALTHY
    return code


def describe_store(file: Path) -> str:
    if file.name == ReplicaStore.NAME:
        stored = read_file(ReplicaStore, file, ReplicaStore.load)
        marks = sum(e.value is not None for e in stored.entries)
        return f"{marks} marks, {len(stored.entries) - marks} removals, started {stored.store_opens} times"
    contents = read_voter_store(file, "", ())
    rollout_state = contents.rollout_state()
    pending = (
        f", {rollout_state.pending} is {rollout_state.versions[rollout_state.pending].phase}"
        if rollout_state.pending
        else ""
    )
    voters = " ".join(contents.voters) or "by the operators' file"
    return (
        f"term {contents.term}, log to {contents.last_index}, "
        f"version {rollout_state.force} is in force{pending}; voters {voters}"
    )


def recover(
    properties: str, name: str, without: list[str], seen: list[str], acknowledged: bool, out: TextIO
) -> int:
    """Makes one store continue as the only voter."""
    operator, peers = load_group_settings(properties)
    path = existing_stores(operator).get(Store.NAME)
    if operator.policy is None or path is None:
        raise ConfigError(f"{properties}: policy.folder: no voter's store is there")
    require_stopped(peers)
    own = read_voter_store(path, name, operator.policy.voters)
    others = []
    for text in seen:
        other, _, folder = text.partition("=")
        if not folder:
            raise ConfigError(f"--seen {text}: must be NAME=FOLDER")
        others.append(read_voter_store(Path(folder) / Store.NAME, other, operator.policy.voters))
    answers = query_seeds(operator, peers)
    applied = {n: a["status"]["applied"] for n, a in answers.items() if a["status"] is not None}
    found = objections(own, others, without, applied)
    print(f"{name}: {describe_store(path)}", file=out)
    print_missing(find_missing(answers, own, None), answers, out)
    rollout_state = own.rollout_state()
    if rollout_state.pending:
        print(
            f"version {rollout_state.pending} is on its way here: it goes on, and ends as it ends", file=out
        )
    if not is_allowed(found, acknowledged, out):
        return EXIT_REFUSED
    store = Store(str(path.parent))
    with closing(store.db):
        store.keep(recovered_state(own, others))
    print(
        f"{name} votes alone from now on. Start it, and wait until `policy status` says that it leads;",
        file=out,
    )
    print(
        "then start all others, with empty folders, and name voters: brackenusher policy voters --set",
        file=out,
    )
    return EXIT_OK


def restore(properties: str, source: Path, acknowledged: bool, out: TextIO) -> int:
    """Restores a backup to the folders of its proxy's stores."""
    operator, peers = load_group_settings(properties)
    if verify([source], out) != EXIT_OK:
        return EXIT_REFUSED
    require_stopped(peers)
    folders = {file: folder for file, folder in store_folders(operator).items() if (source / file).exists()}
    answers, found, contents, marks = query_seeds(operator, peers), list[Objection](), None, None
    if Store.NAME in folders and operator.policy is not None:
        contents = read_voter_store(source / Store.NAME, "", operator.policy.voters)
    if ReplicaStore.NAME in folders:
        marks = {
            e.key
            for e in read_file(ReplicaStore, source / ReplicaStore.NAME, ReplicaStore.load).entries
            if e.value is not None
        }
    if answers:
        reason = f"{' '.join(sorted(answers))} answer: start with an empty folder, and all is told to it"
        found.append(Objection(reason, "what the backup says is wanted in place of what they say"))
    for file, folder in folders.items():
        if (folder / file).exists():
            found.append(Objection(f"{folder / file} is there", "it may be set aside"))
    print_missing(find_missing(answers, contents, marks), answers, out)
    if not is_allowed(found, acknowledged, out):
        return EXIT_REFUSED
    for file, folder in folders.items():
        folder.mkdir(parents=True, exist_ok=True)
        aside_path = folder / f"{file}.aside-{int(time.time())}"
        for end in ("", "-wal", "-shm"):
            if (folder / (file + end)).exists():
                os.replace(folder / (file + end), f"{aside_path}{end}")
        staging = folder / "restoring"  # moved into place only once reset and synced
        shutil.rmtree(staging, ignore_errors=True)
        staging.mkdir()
        copy_store(source / file, staging / file)
        reset_open_count(staging, file)
        os.replace(staging / file, folder / file)
        shutil.rmtree(staging)
        print(f"restored {folder / file}", file=out)
    return EXIT_OK


def reset_open_count(folder: Path, file: str) -> None:
    """Resets the open count of a restored store: peers that recorded more report it; it must catch up."""
    if file == Store.NAME:
        store = Store(str(folder))
        with closing(store.db):
            store.facts(lives=0)
    else:
        replica_store = ReplicaStore(str(folder))
        with closing(replica_store.db):
            replica_store.keep(Ready(metadata=replace(replica_store.load(), entries=[], store_opens=0)))


def run(options: Any, load: Callable[[str], PeersSettings], out: TextIO) -> int:
    """Runs one command of the command line. Raises ConfigError."""
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
