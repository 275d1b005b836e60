"""The routing policy stays small enough to be audited."""

from pathlib import Path

POLICY = Path(__file__).parent.parent / "barleybarrow" / "brain.py"


def test_policy_is_at_most_550_lines_of_110_columns():
    lines = [line for line in POLICY.read_text(encoding="utf-8").splitlines() if line.strip()]
    # limits set by the operators
    assert len(lines) <= 550
    assert max(len(line) for line in lines) <= 110
