"""The list of known failures: read strictly, and matched by the whole name only."""

import ast
from pathlib import Path

import pytest
from known_red import KnownRed, KnownRedError, matching, parse_known_red, read_known_red

ROOT = Path(__file__).parent.parent


def test_a_line_is_test_cause_and_issue_and_a_cause_may_hold_commas():
    text = "tests/test_a.py::test_b, late, on a busy machine, 41\n\nfleet.test_c.C.test_d, lost, 7\n"
    assert parse_known_red(text) == [
        KnownRed("tests/test_a.py::test_b", "late, on a busy machine", "41"),
        KnownRed("fleet.test_c.C.test_d", "lost", "7"),
    ]


@pytest.mark.parametrize("line", ["tests/test_a.py::test_b", "a, b", ", b, 3", "a, , 3", "a, b, "])
def test_an_incomplete_line_is_an_error(line):
    with pytest.raises(KnownRedError):
        parse_known_red(line)


def test_just_the_named_test_is_matched():
    # guards against one entry that hides its neighbours
    entries = [KnownRed("tests/test_a.py::test_b", "late", "1")]
    assert matching(entries, "tests/test_a.py::test_b") is matching(entries, "tests/test_a.py::test_b[2]")
    for other in ("tests/test_a.py::test_bc", "tests/test_a.py::test", "tests/test_a.py"):
        assert matching(entries, other) is None


def test_no_file_means_no_known_failures(tmp_path):
    assert read_known_red(tmp_path / "KNOWN-RED.txt") == []


def test_each_entry_of_the_list_names_a_test_that_exists():
    # guards against entries that stay when their test is mended, renamed or gone
    for entry in read_known_red():
        path, _, name = entry.test.partition("::")
        if not name:
            *parts, _, name = entry.test.split(".")
            path = "/".join(parts) + ".py"
        tree = ast.parse((ROOT / path).read_text(encoding="utf-8"))
        kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
        functions = {node.name for node in ast.walk(tree) if isinstance(node, kinds)}
        assert name.partition("[")[0] in functions, entry.test
