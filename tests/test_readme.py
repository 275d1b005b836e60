"""The README's example runs as printed, and CI calls its test command."""

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_embedding_example_runs():
    examples = re.findall(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.DOTALL)
    assert len(examples) == 1
    exec(compile(examples[0], str(README), "exec"), {})


def test_ci_calls_the_test_command_that_the_readme_gives():
    # guards against the two drifting apart: CI once left out files that the README's command checks
    command = re.search(r"## Test\n\n(?:    .*\n)*    (ruff .*)\n", README.read_text(encoding="utf-8")).group(
        1
    )
    assert (README.parent / ".ci" / "run").read_text(encoding="utf-8").splitlines()[-1] == command
