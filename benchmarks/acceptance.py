"""What the journal says of the operators' days: by program and site, how each kind of day went.

    python benchmarks/acceptance.py [--since YYYYMMDDTHHMMSS] [--panel TEXT]

Prints tables for `docs/acceptance.md`. It plays nothing: each figure is one that a file in `journal/` holds.
"""

import argparse
import json
import re
from collections import defaultdict
from pathlib import Path
from statistics import median

JOURNAL = Path(__file__).resolve().parent.parent / "journal"
LINE = re.compile(
    r"^(?P<day>\S+) +G +\S+ .*served (?P<served>\S+) \(gate (?P<gate>\S+)\)(?P<rest>.*)", re.MULTILINE
)


def entries(since: str, panel: str) -> list[dict]:
    """Scores of all days of a panel, oldest first."""
    found = []
    for path in sorted(JOURNAL.glob("*.json")):
        if path.name >= since:
            entry = json.loads(path.read_text(encoding="utf-8"))
            if entry["cmd"] == "real-score" and panel in (entry["panel"] or ""):
                found.append(entry)
    return found


def kind(day: str) -> str:
    """A day's name without its number."""
    return day.rpartition("-")[0] or day


def table(runs: list[dict]) -> list[str]:
    """A row for each kind of day, and one for the runs."""
    days: dict[str, list[tuple[float, float, bool]]] = defaultdict(list)
    for run in runs:
        for match in LINE.finditer(run["digest"]):
            broken = "BROKEN" in match["rest"]
            days[kind(match["day"])].append((float(match["served"]), float(match["gate"]), broken))
    rows = ["| day | plays | rule broken | served, least / middle | gate of a large day, least / middle |"]
    rows.append("| --- | --- | --- | --- | --- |")
    for name, plays in days.items():
        served, gate = [each[0] for each in plays], [each[1] for each in plays]
        figures = f"{min(served):.3f} / {median(served):.3f} | {min(gate):.3f} / {median(gate):.3f}"
        rows.append(f"| `{name}` | {len(plays)} | {sum(each[2] for each in plays)} | {figures} |")
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--since", default="")
    parser.add_argument("--panel", default="brink")
    options = parser.parse_args()
    groups: dict[tuple[str, str], list[dict]] = defaultdict(list)
    for entry in entries(options.since, options.panel):
        groups[entry["node_sha"][:8], entry["site"]].append(entry)
    for (node, site), runs in groups.items():
        seeds = [run["panel"].split(":")[2] for run in runs]
        passed = sum(run["figures"].get("gate") == 1.0 for run in runs)
        scores = [run["figures"]["real_score"] for run in runs]
        print(f"\n{site}, program {node}: {passed} of {len(runs)} passed, seeds {', '.join(seeds)};")
        print(f"score {min(scores):.3f} to {max(scores):.3f}, middle {median(scores):.3f}\n")
        print("\n".join(table(runs)))


if __name__ == "__main__":
    main()
