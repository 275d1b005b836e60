"""What a whole fleet of proxies did, counted by time from the captures of all of them.

    python benchmarks/fleetlog.py FOLDER [--step 1.0] [--from 0] [--to 60]

FOLDER holds one log for each proxy (`n0.log`, ...), each with capture's lines among whatever else came.
All of one clock. Columns: proxies that had something to do; requests that came; attempts
sent; most out at once; served; turned away unseen (full), no connection, broken, timed out, failed; refused
and failed requests; mean time to the first attempt and of an answer; share of the sends by the server's age:
older than the day, younger than 10 s, told to drain or gone.
"""

import argparse
import re
from collections import Counter, defaultdict
from pathlib import Path

STAMP = re.compile(r"^\d+\.\d+ ")
LISTED = re.compile(r"^list \d+ (\S+) (ready|draining|gone) entry=([^,]+),\S+ at=\d+,([\d.]+)")
ASKED = re.compile(
    r"^\S+ (\S+) \S+ k=\S+ \S+ (\S+ \S+) (served|refused|failed|left|open) at=(\d+),([\d.]+) req="
)
TRIED = re.compile(r" try=(\S+?),\d+,\d+,([\d.]+),([a-z_]+),([\d.]+)")
YOUNG = 10_000.0  # milliseconds since its start: no server is cold for longer
Event = tuple[float, str, float]  # when, what, how much
COLUMNS = "t nodes came sent out served full no-conn broken t/o err refused failed wait answer old young gone"


def read(folder: Path) -> tuple[list[Event], float]:
    """Everything that happened, as (when, what, figure), and when the first thing was."""
    found = list[Event]()
    for path in sorted(folder.glob("*.log")):
        found += read_one(path)
    found.sort()
    return found, found[0][0] if found else 0.0


def read_one(path: Path) -> list[Event]:
    found = list[Event]()
    born, state = dict[str, float](), defaultdict[str, list[tuple[float, str]]](list)
    for line in path.read_text(errors="replace").splitlines():
        line = STAMP.sub("", line)
        if listed := LISTED.match(line):
            host, health, started, at = listed.groups()
            born[host] = float(started)
            state[host].append((float(at), health))
        elif asked := ASKED.match(line):
            now = float(asked[5])
            found.append((now, "came", 0.0))
            found.append((now, f"node {path.stem}", 0.0))
            tries = [(h, float(end), how, float(took)) for h, end, how, took in TRIED.findall(line)]
            for n, (host, end, how, took) in enumerate(tries):
                sent = end - took
                healths = [health for at, health in state[host] if at <= sent]
                age = sent - born.get(host, 0.0)
                kind = "gone" if healths and healths[-1] != "ready" else "young" if age < YOUNG else "old"
                found += [(sent, "sent", 1.0), (sent, kind, 0.0), (end, "sent", -1.0), (end, how, took)]
                if n == 0:
                    found.append((sent, "wait", sent - now))
            if asked[3] in ("refused", "failed"):
                found.append((max([now, *(end for _, end, _, _ in tries)]), f"end {asked[3]}", 0.0))
    return found


def table(found: list[Event], began: float, step: float, since: float, until: float) -> list[str]:
    """A line for each step of time."""
    counts, sums = defaultdict[int, Counter[str]](Counter), defaultdict[int, Counter[str]](Counter)
    nodes, most, out = defaultdict[int, set[str]](set), Counter[int](), 0
    for at, what, figure in found:
        slot = int((at - began) / 1000 / step)
        if what.startswith("node "):
            nodes[slot].add(what)
            continue
        if what == "sent":
            out += int(figure)
            most[slot] = max(most[slot], out)
            if figure < 0:
                continue
        counts[slot][what] += 1
        sums[slot][what] += figure
    lines = ["".join(f"{word:>8}" for word in COLUMNS.split())]
    for slot in sorted(counts):
        if not since <= slot * step < until:
            continue
        c, s = counts[slot], sums[slot]
        sent = max(c["sent"], 1)
        figures: list[float] = [slot * step, len(nodes[slot]), c["came"], c["sent"], most[slot], c["served"]]
        figures += [c[w] for w in ("full", "connect_failed", "reset", "timeout", "error")]
        figures += [c["end refused"], c["end failed"]]
        figures += [s["wait"] / max(c["wait"], 1), s["served"] / max(c["served"], 1)]
        figures += [100 * c[w] / sent for w in ("old", "young", "gone")]
        lines.append("".join(f"{x:8.1f}" if isinstance(x, float) else f"{x:8d}" for x in figures))
    return lines


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("folder", type=Path)
    parser.add_argument("--step", type=float, default=1.0, help="seconds a line")
    parser.add_argument("--from", dest="since", type=float, default=0.0)
    parser.add_argument("--to", dest="until", type=float, default=3600.0)
    options = parser.parse_args()
    found, began = read(options.folder)
    if not found:
        raise SystemExit(f"{options.folder}: no capture in it")
    print("\n".join(table(found, began, options.step, options.since, options.until)))


if __name__ == "__main__":
    main()
