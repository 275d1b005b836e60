"""The simulator adapter: as a process on a hand-written transcript, and in parts."""

import io
import os
import subprocess
import sys
from pathlib import Path

import pytest

from barleybarrow import simulator_adapter

HERE = Path(__file__).parent
TRANSCRIPT = (HERE / "transcript.txt").read_text(encoding="utf-8")


def run(text, hash_seed="0"):
    """Run the adapter as a process."""
    return subprocess.run(
        [sys.executable, "-m", "barleybarrow.simulator_adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=HERE.parent,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
        check=False,
    )


def replies(text):
    """Split the output into batches, by sequence number."""
    batches, lines = {}, []
    for line in text.splitlines():
        if line.startswith("NEXT "):
            batches[int(line.split()[1])] = lines
            lines = []
        else:
            lines.append(line)
    assert lines == []
    return batches


def test_transcript_is_answered_batch_by_batch():
    done = run(TRANSCRIPT)
    assert (done.returncode, done.stderr) == (0, "")
    batches = replies(done.stdout)
    assert list(batches) == [1, 2, 3, 4, 5, 6, 7]
    assert batches[1] == []
    assert batches[2] == ["OBSERVE 0 1"]
    assert batches[3] == ["SUBMIT_TO 0 11 10.0.0.1:5000 96.0", "NOTIFY_ME 0 1033.0 0"]
    assert batches[4] == ["NOTIFY_ME 0 1045.0 0"]
    assert batches[5] == ["RESPOND_ERROR 0 11"]
    assert batches[6] == batches[7] == []


def test_actions_do_not_depend_on_the_hash_seed():
    assert run(TRANSCRIPT, "1").stdout == run(TRANSCRIPT, "2").stdout != ""


@pytest.mark.parametrize(
    "text",
    [
        "NONSENSE\n",
        "TICK soon 1\nEOF_BATCH\n",
        "TICK 1.0 1\nDEMAND 0 eleven\nEOF_BATCH\n",
        "TICK 1.0 1\nATTACH 0 7 {broken\nEOF_BATCH\n",
        "TICK 1.0 1\nMEMBERS 0 total 1 2\nROW a:1 live - 0 1 0 0\nEOF_BATCH\n",
        "TICK 1.0 1\nSETTLED 0 1 0 a:1 Q 1.0 1 -\nEOF_BATCH\n",
        "TICK 1.0 1\nWAKEUP 0 1\n",
    ],
    ids=["no tick", "no clock", "bad number", "bad settings", "short list", "unknown outcome", "cut off"],
)
def test_malformed_input_gives_one_line_on_stderr_and_exit_code_1(text):
    done = run(text)
    assert done.returncode == 1
    assert done.stderr.startswith("simulator adapter: ") and done.stderr.count("\n") == 1
    assert "Traceback" not in done.stderr


def test_empty_input_exits_cleanly():
    done = run("")
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")


def test_exception_of_the_policy_is_reported_with_its_text(monkeypatch):
    def broken(self, now, event):
        raise RuntimeError("out of\nideas")

    monkeypatch.setattr(simulator_adapter.Balancer, "handle", broken)
    out = io.StringIO()
    simulator_adapter.SimulatorAdapter(out).run(
        io.StringIO("".join(TRANSCRIPT.splitlines(keepends=True)[:7]))
    )
    assert "GIVE_IN 0 RuntimeError: out of ideas\n" in out.getvalue()


def test_invalid_settings_are_reported():
    done = run('TICK 1.0 1\nATTACH 0 7 {"classes":[]}\nEOF_BATCH\n')
    assert done.returncode == 0
    assert done.stdout.startswith("GIVE_IN 0 SettingsError: no request classes\n")


def test_interleaved_instances_decide_as_if_alone():
    interleaved = []
    for line in TRANSCRIPT.splitlines():
        p = line.split(" ", 2)
        interleaved.append(line)
        if p[0] not in ("TICK", "EOF_BATCH", "ROW", "MEMBERS"):
            interleaved.append(f"{p[0]} 1 {p[2]}" if len(p) > 2 else f"{p[0]} 1")
        elif p[0] == "ROW":
            interleaved += ["MEMBERS 1 warm_copy 1 1", line]
    alone, mixed = replies(run(TRANSCRIPT).stdout), replies(run("\n".join(interleaved) + "\n").stdout)
    for seq, lines in alone.items():
        assert [x for x in mixed[seq] if x.split()[1] == "0"] == lines
        second = [x for x in mixed[seq] if x.split()[1] == "1"]
        assert [f"{x.split()[0]} 0 {x.split(' ', 2)[2]}" for x in second] == lines
