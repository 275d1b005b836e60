"""The decision module stays within what its auditors read."""

from pathlib import Path

BRAIN = Path(__file__).parent.parent / "barleybarrow" / "brain.py"


def test_brain_is_at_most_550_lines_of_110_columns():
    lines = [line for line in BRAIN.read_text(encoding="utf-8").splitlines() if line.strip()]
    # what the operators allow
    assert len(lines) <= 550
    assert max(len(line) for line in lines) <= 110
