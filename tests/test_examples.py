"""The configuration under examples/ works as it stands, but for its ports, which may be taken here."""

import json
import os
import socket
import subprocess
import sys

from helpers import ROOT, command, read_message, read_request, until

from brackenusher.config.operators import load_operator_settings
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
    assert load_operator_settings(operator).features == ["door", "figures"]
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


def test_the_group_of_the_example_starts_takes_a_policy_and_goes_on_where_it_was(tmp_path):
    config = json.loads((EXAMPLES / "config.json").read_text(encoding="utf-8"))
    config["discovery"] = f"127.0.0.1:{free_port()}"
    for entry in config["known"]["hosts"]:
        entry["dial"] = f"127.0.0.1:{free_port()}"
    path, folder, peers = tmp_path / "config.json", tmp_path / "group", free_port()
    path.write_text(json.dumps(config), encoding="utf-8")
    (tmp_path / "rules.toml").write_text("[door.tenants.kente-wars]\nrate = 100\n", encoding="utf-8")
    line = [sys.executable, str(EXAMPLES / "group" / "start.py"), str(folder), "--config", str(path)]
    ports = ["--serve", str(free_port()), "--peers", str(peers)]
    for life in range(2):
        group = subprocess.Popen([*line, *ports], stdout=subprocess.PIPE, text=True)
        try:
            said = [group.stdout.readline() for _ in range(6)]
            assert f"staff 127.0.1.5:{peers}" in said[4], said
            told = "--properties", said[5].split()[-1]
            if life == 0:
                done = command("policy", "propose", f"127.0.1.1:{peers}", str(tmp_path / "rules.toml"), *told)
                assert done.returncode == 0, done
                marked = command("replica", "mark", f"127.0.1.1:{peers}", "server", "s1", *told)
                assert marked.returncode == 0, marked
            else:
                shown = command("policy", "show", f"127.0.1.5:{peers}", *told)
                assert "rate = 100" in shown.stdout, shown
                assert "server s1" in command("replica", "show", f"127.0.1.2:{peers}", *told).stdout
        finally:
            group.terminate()
            assert group.wait(40) == 0
            group.stdout.close()
