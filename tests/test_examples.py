"""The configuration under examples/ works as it stands, but for its ports, which may be taken here."""

import json
import os
import socket
import subprocess
import sys

from helpers import ROOT, command, read_message, read_request, until

from brackenusher.config.operators import load_operator
from testbed.sockets.ports import free_port

EXAMPLES = ROOT / "examples"


def test_the_example_is_served_as_the_readme_has_it(tmp_path):
    config = json.loads((EXAMPLES / "config.json").read_text(encoding="utf-8"))
    port = free_port()
    config["listen"] = f"127.0.0.1:{port}"
    config["discovery"] = f"127.0.0.1:{free_port()}"
    for entry in config["known"]["hosts"]:
        entry["dial"] = f"127.0.0.1:{free_port()}"
    path, operator = tmp_path / "config.json", str(EXAMPLES / "operator.properties")
    path.write_text(json.dumps(config), encoding="utf-8")
    assert load_operator(operator).features == ["door", "figures"]
    for given in (path, EXAMPLES / "config.json"):
        done = command("check-config", "--operator", operator, GW_CONFIG=str(given))
        assert done.returncode == 0 and "2 classes, 3 known" in done.stdout
    world = subprocess.Popen([sys.executable, str(EXAMPLES / "world.py"), str(path)], stdout=subprocess.PIPE)
    served = subprocess.Popen(
        [sys.executable, "-m", "brackenusher", "serve", "--operator", operator],
        cwd=ROOT,
        env={**os.environ, "GW_CONFIG": str(path)},
        stderr=subprocess.DEVNULL,
    )
    try:
        assert b"3 turn servers" in world.stdout.readline()

        def answer():
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=20) as sock:
                    sock.sendall(read_request())
                    return read_message(sock.makefile("rb"))
            except OSError:
                return None

        first, _, body = until(answer, "an answer")
        assert "200" in first and body.startswith(b"board of s")
    finally:
        for process in (served, world):
            process.terminate()
            assert process.wait(20) == 0
        world.stdout.close()
