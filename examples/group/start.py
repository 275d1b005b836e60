"""Five proxies of one group on loopback, with turn servers and discovery, until Ctrl-C.

python examples/group/start.py [FOLDER] [--config CONFIG] [--serve PORT] [--peers PORT]

FOLDER (a new one under the system's temporary folder where left out) gets each proxy's files, log and disk.
Started again with the same FOLDER, the group goes on where it was.
"""

import argparse
import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
NAMES = ["p1", "p2", "p3", "p4", "p5"]  # the first three vote and keep
READY_S = 30.0


def host(number: int) -> str:
    return f"127.0.1.{number + 1}"


def properties(folder: Path, number: int, key: str, port: int) -> str:
    """One proxy's operators' file."""
    seeds = ", ".join(f"{host(n)}:{port}" for n in range(3))
    voters = ", ".join(NAMES[:3])
    return (
        f"peers.enabled = true\npeers.listen = {host(number)}:{port}\npeers.seeds = {seeds}\n"
        f"peers.key.k1 = {key}\n"
        f"policy.enabled = true\npolicy.voters = {voters}\npolicy.folder = {folder}/policy\n"
        f"replica.enabled = true\nreplica.keepers = {voters}\nreplica.folder = {folder}/replica\n"
        "door.enabled = true\ndoor.rate.kente-wars = 200\n"
    )


def write(path: Path, text: str) -> Path:
    """Write a file that holds a key: for its owner alone."""
    with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "w", encoding="utf-8") as file:
        file.write(text)
    return path


def prepare(folder: Path, config: Path, serve: int, peers: int) -> list[list[str]]:
    """Write all files; the command line of each process, the world's first."""
    folder.mkdir(parents=True, exist_ok=True)
    kept = folder / "key"
    key = kept.read_text(encoding="utf-8").strip() if kept.exists() else secrets.token_hex(16)
    write(kept, key + "\n")
    whole = json.loads(config.read_text(encoding="utf-8"))
    whole["settings"]["instances"] = len(NAMES)
    lines = [[sys.executable, str(ROOT / "examples" / "world.py"), str(config)]]
    for number, name in enumerate(NAMES):
        own = folder / name
        own.mkdir(exist_ok=True)
        whole |= {"name": name, "listen": f"{host(number)}:{serve}"}
        (own / "config.json").write_text(json.dumps(whole), encoding="utf-8")
        operator = write(own / "operator.properties", properties(own, number, key, peers))
        lines.append([sys.executable, "-m", "brackenusher", "serve", "--operator", str(operator)])
    return lines


def start(line: list[str], folder: Path) -> "subprocess.Popen[bytes]":
    environ = {**os.environ, "PYTHONPATH": str(ROOT), "GW_CONFIG": str(folder / "config.json")}
    with (folder / "log").open("ab") as log:
        return subprocess.Popen(line, cwd=folder, env=environ, stdout=log, stderr=log)


def ready(number: int, port: int) -> bool:
    with contextlib.suppress(OSError), socket.create_connection((host(number), port), 1.0) as sock:
        sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        return sock.recv(64).startswith(b"HTTP/1.1 200")
    return False


def main() -> int:
    top = argparse.ArgumentParser(description="Five proxies of one group on loopback.")
    top.add_argument("folder", nargs="?", type=Path)
    top.add_argument("--config", type=Path, default=ROOT / "examples" / "config.json")
    top.add_argument("--serve", type=int, default=8080, help="port for clients, at 127.0.1.1 to 5")
    top.add_argument("--peers", type=int, default=7946, help="port for the other proxies and staff")
    args = top.parse_args()
    folder = (args.folder or Path(tempfile.mkdtemp(prefix="group-"))).resolve()
    lines = prepare(folder, args.config.resolve(), args.serve, args.peers)
    (folder / "world").mkdir(exist_ok=True)
    running: list[subprocess.Popen[bytes]] = []
    told: list[int] = []
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda got, frame: told.append(got))
    try:
        for line, own in zip(lines, ["world", *NAMES], strict=True):
            running.append(start(line, folder / own))
        end = time.monotonic() + READY_S
        while not all(ready(n, args.serve) for n in range(len(NAMES))):
            ended = [p.args for p in running if p.poll() is not None]
            if ended or told or time.monotonic() > end:
                print(f"the group did not start; its logs are in {folder}", file=sys.stderr)
                return 1
            time.sleep(0.1)
        for number, (name, process) in enumerate(zip(NAMES, running[1:], strict=True)):
            where = f"clients {host(number)}:{args.serve}, staff {host(number)}:{args.peers}"
            print(f"{name}: process {process.pid}, {where}")
        print(f"for the command line: --properties {folder}/p1/operator.properties", flush=True)
        while not told:
            time.sleep(0.2)
    finally:
        for process in running:
            with contextlib.suppress(ProcessLookupError):
                process.terminate()
        for process in running:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(20)
                continue
            process.kill()
    return 0


if __name__ == "__main__":
    sys.exit(main())
