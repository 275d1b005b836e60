"""Derives deployments that nobody has seen from a site file of the operators' bench.

    python benchmarks/site_variants.py SITE_FILE FOLDER

By plain changes of its text, it writes zone_loss.toml (a whole zone may be lost), five.toml (five
counted machines, two may be lost), diskless.toml (no machine has a disk), renamed.toml (other names of
zones) and strict.toml (StrictRevocation), and copies the files beside the site file that it names.
"""

import re
import shutil
import sys
from pathlib import Path

COUNTED = re.compile(r"^.*counted = true.*$", re.MULTILINE)


def zone_loss(text: str) -> str:
    """A zone may be lost, with its disks, in place of a machine."""
    return re.sub(r"(\[tolerate\]\n)machines = \d+\nzones = \d+", r"\1machines = 0\nzones = 1", text)


def five(text: str) -> str:
    """Two zones have a counted machine more, and two machines may be lost."""
    rows = COUNTED.findall(text)
    for row in rows[:2]:
        text = text.replace(row, row.replace("count = 1,", "count = 2,", 1))
    return re.sub(r"(\[tolerate\]\n)machines = \d+", r"\1machines = 2", text)


def diskless(text: str) -> str:
    """No machine counts or has a disk."""
    return re.sub(r", counted = true, disk = \{[^}]*\}", "", text)


def renamed(text: str) -> str:
    """Other names of zones."""
    names = re.findall(r'\{ name = "([^"]+)", region', text)
    for number, name in enumerate(names):
        text = text.replace(f'"{name}"', f'"hall-{number + 1}"')
    return text


def strict(text: str) -> str:
    """No key may be used for long after it was taken away, on any machine."""
    return text.replace("\nclosed = false\n", "\nclosed = true\n")


def main(site: Path, folder: Path) -> None:
    """Write all variants."""
    folder.mkdir(parents=True, exist_ok=True)
    text = site.read_text()
    for variant in (zone_loss, five, diskless, renamed, strict):
        made = re.sub(r'^name = "([^"]+)"', rf'name = "\1-{variant.__name__}"', variant(text), count=1)
        (folder / f"{variant.__name__}.toml").write_text(made)
    for other in site.parent.iterdir():
        if other.suffix != ".toml" and not (folder / other.name).exists():
            shutil.copy(other, folder / other.name)


if __name__ == "__main__":
    main(Path(sys.argv[1]), Path(sys.argv[2]))
