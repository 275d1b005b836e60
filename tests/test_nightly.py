"""The nightly command goes on where it stopped, plays again what failed, and begins anew once all passed."""

import shutil
import subprocess
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "nightly"
STUB = """#!/usr/bin/env bash
echo "$*" >> "$PLAYED"
[ "$*" != "$FAILS" ]
"""  # stands for python: notes the piece, and fails one
PIECES = 1 + 40 + 20 + 20
FAILING = "-m tests.fleet.play_feed_days 1100 100"


@pytest.fixture
def folder(tmp_path):
    (tmp_path / ".ci").mkdir()
    shutil.copy(SCRIPT, tmp_path / ".ci" / "nightly")
    (tmp_path / "bin").mkdir()
    stub = tmp_path / "bin" / "python"
    stub.write_text(STUB)
    stub.chmod(0o755)
    return tmp_path


def call(folder, fails="", **variables):
    """The exit code, the last line, and the pieces that were played."""
    played = folder / "played"
    played.write_text("")
    path = f"{folder / 'bin'}:/usr/bin:/bin"
    env = {"PATH": path, "PLAYED": str(played), "FAILS": fails, "FIRST": "1000", **variables}
    done = subprocess.run([folder / ".ci" / "nightly"], env=env, capture_output=True, text=True, timeout=60)
    assert done.stderr == ""
    return done.returncode, done.stdout.splitlines()[-1], played.read_text().splitlines()


def test_all_pieces_are_played_once_and_the_next_call_begins_anew(folder):
    code, last, played = call(folder)
    assert (code, len(played), len(set(played))) == (0, PIECES, PIECES)
    assert last == f"nightly: first seed 1000, {PIECES} pieces passed, 0 left"
    code, last, played = call(folder, FIRST="5000")
    assert (code, len(played)) == (0, PIECES)
    assert "first seed 5000" in last


def test_a_piece_that_fails_is_named_and_played_again(folder):
    code, last, played = call(folder, fails=FAILING)
    assert (code, len(played)) == (1, PIECES)
    assert last == f"nightly: failed: {FAILING.removeprefix('-m ')}"
    code, last, played = call(folder, FIRST="9000")
    assert (code, played) == (0, [FAILING])
    assert last.endswith(f"first seed 1000, {PIECES} pieces passed, 0 left")


def test_without_time_it_begins_nothing_and_forgets_nothing(folder):
    code, last, played = call(folder, MINUTES="0")
    assert (code, played) == (0, [])
    assert last == f"nightly: first seed 1000, 0 pieces passed, {PIECES} left"
    code, last, played = call(folder)
    assert (code, len(played)) == (0, PIECES)
