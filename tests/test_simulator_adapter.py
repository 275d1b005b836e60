"""The wire adapter, as a process on a hand-written transcript and piece by piece."""

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
    """Split what was written into batches, by sequence number."""
    batches, lines = {}, []
    for line in text.splitlines():
        if line.startswith("NEXT "):
            batches[int(line.split()[1])] = lines
            lines = []
        else:
            lines.append(line)
    assert lines == []
    return batches


def test_a_transcript_is_answered_batch_by_batch():
    done = run(TRANSCRIPT)
    assert (done.returncode, done.stderr) == (0, "")
    got = replies(done.stdout)
    assert list(got) == [1, 2, 3, 4, 5, 6, 7]
    assert got[1] == []
    assert got[2] == ["OBSERVE 0 1"]
    assert got[3] == ["SUBMIT_TO 0 11 10.0.0.1:5000 96.0", "NOTIFY_ME 0 1033.0 0"]
    assert got[4] == ["NOTIFY_ME 0 1045.0 0"]
    assert got[5] == ["RESPOND_ERROR 0 11"]
    assert got[6] == got[7] == []


def test_the_same_events_give_the_same_actions_under_any_hash_seed():
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
def test_malformed_input_gets_one_plain_line_and_a_failing_exit(text):
    done = run(text)
    assert done.returncode == 1
    assert done.stderr.startswith("simulator adapter: ") and done.stderr.count("\n") == 1
    assert "Traceback" not in done.stderr


def test_no_input_is_a_clean_end():
    done = run("")
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")


def test_an_exception_in_the_brain_is_given_in_with_its_text(monkeypatch):
    def broken(self, now, event):
        raise RuntimeError("out of\nideas")

    monkeypatch.setattr(simulator_adapter.Balancer, "handle", broken)
    out = io.StringIO()
    simulator_adapter.SimulatorAdapter(out).run(
        io.StringIO("".join(TRANSCRIPT.splitlines(keepends=True)[:7]))
    )
    assert "GIVE_IN 0 RuntimeError: out of ideas\n" in out.getvalue()


def test_impossible_settings_are_given_in():
    done = run('TICK 1.0 1\nATTACH 0 7 {"classes":[]}\nEOF_BATCH\n')
    assert done.returncode == 0
    assert done.stdout.startswith("GIVE_IN 0 SettingsError: no request classes\n")


def test_interleaved_instances_decide_as_they_would_alone():
    both = []
    for line in TRANSCRIPT.splitlines():
        p = line.split(" ", 2)
        both.append(line)
        if p[0] not in ("TICK", "EOF_BATCH", "ROW", "MEMBERS"):
            both.append(f"{p[0]} 1 {p[2]}" if len(p) > 2 else f"{p[0]} 1")
        elif p[0] == "ROW":
            both += ["MEMBERS 1 warm_copy 1 1", line]
    alone, mixed = replies(run(TRANSCRIPT).stdout), replies(run("\n".join(both) + "\n").stdout)
    for seq, lines in alone.items():
        assert [x for x in mixed[seq] if x.split()[1] == "0"] == lines
        second = [x for x in mixed[seq] if x.split()[1] == "1"]
        assert [f"{x.split()[0]} 0 {x.split(' ', 2)[2]}" for x in second] == lines
