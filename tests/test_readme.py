"""What the front page and the index say is so: examples run, settings are read, links lead somewhere."""

import re
from pathlib import Path

import pytest
from returns.result import Success

from brackenusher.settings.reading import parse_settings

ROOT = Path(__file__).parent.parent
README, PROXY_PAGE, INDEX = ROOT / "README.md", ROOT / "docs" / "proxy.md", ROOT / "docs" / "README.md"


def text(page: Path) -> str:
    return page.read_text(encoding="utf-8")


@pytest.mark.parametrize("page", [README, PROXY_PAGE], ids=lambda page: page.name)
def test_the_embedding_example_runs(page):
    examples = re.findall(r"```python\n(.*?)```", text(page), re.DOTALL)
    assert len(examples) == 1
    exec(compile(examples[0], str(page), "exec"), {})


def test_ci_calls_the_test_command_that_the_readme_gives():
    # guards against the two drifting apart: CI once left out files that the README's command checks
    command = re.search(r"## Test\n\n(?:    .*\n)*    (ruff .*)\n", text(README)).group(1)
    assert text(ROOT / ".ci" / "run").splitlines()[-1] == command


def test_the_settings_on_the_front_page_can_be_read():
    (settings,) = re.findall(r"```toml\n(.*?)```", text(README), re.DOTALL)
    read = parse_settings(settings, "README.md")
    assert isinstance(read, Success), read


@pytest.mark.parametrize("page", [README, INDEX], ids=["README", "index"])
def test_links_lead_somewhere(page):
    links = re.findall(r"\]\(([^)#]+)\)", text(page))
    assert links
    for link in links:
        assert (page.parent / link).exists(), link


def test_the_index_names_every_page():
    named = {(INDEX.parent / link).resolve() for link in re.findall(r"\]\(([^)#]+)\)", text(INDEX))}
    pages = {page.resolve() for page in (ROOT / "docs").glob("*.md")} - {INDEX.resolve()}
    assert pages <= named, sorted(page.name for page in pages - named)
