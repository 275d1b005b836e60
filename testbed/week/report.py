"""A week as one page: a lane for each process, faults shaded, versions as bands, what clients met."""

import base64
import io
from collections.abc import Mapping
from html import escape
from typing import Any

import matplotlib
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from testbed.report import COLOURS, STYLE

PART = 0.2  # seconds of one point in a line
WIDE = 9.5  # inches
FAULTS = {
    "pause": "#bbbbbb",
    "down": "#444444",
    "out": "#e7a29a",
    "in": "#f3d3a5",
    "disk": "#b9a5d8",
}
WORDS = {
    "pause": "stands still",
    "down": "down",
    "out": "its words are lost",
    "in": "it hears little",
    "disk": "its disk fails or is slow",
}
MARKS = {"propose": "^", "withdraw": "x", "mark": "s", "clear": "D", "voters": "*"}


def page(week: Mapping[str, Any]) -> str:
    """A journal as HTML, whole in itself; the same journal gives the same page."""
    plan = week["plan"]
    broken = "".join(f'<li class="bad">{escape(str(what))}</li>' for what in week["broken"])
    codes = [d["code"] for d in week["done"] if d["what"] == "proposed"]
    found = [
        "<!doctype html>",
        f'<html lang="en"><meta charset="utf-8"><title>A week</title><style>{STYLE}</style>',
        f"<h1>Week {plan['faults']['seed']}, {plan['faults']['size']} processes</h1>",
        f"<p>{len(week['answers'])} answers to clients; {len(codes)} changes of policy proposed, "
        f"{codes.count(0)} in force; {'fence' if plan.get('fence') else 'wait'}. "
        f"{'No promise was broken.' if not broken else 'Broken:'}</p><ul>{broken}</ul>",
        figure("Processes", lanes(week)),
        figure("What clients met", lines(week)),
        "</html>",
    ]
    return "\n".join(found)


def figure(caption: str, drawn: Figure) -> str:
    out = io.BytesIO()
    with matplotlib.rc_context({"svg.hashsalt": "week", "font.size": 9}):
        drawn.savefig(out, format="svg", metadata={"Date": None})
    data = base64.b64encode(out.getvalue()).decode()
    return f'<h2>{caption}</h2><figure><img alt="{caption}" src="data:image/svg+xml;base64,{data}"></figure>'


def spans(week: Mapping[str, Any]) -> list[tuple[int, str, float, float]]:
    """What was wrong with which process, from when to when in seconds."""
    period, size = week["period_ms"] / 1000.0, week["plan"]["faults"]["size"]
    found = []
    for fault in week["plan"]["faults"].get("links", ()):
        at, until = fault["at"] * period, (fault["at"] + fault["lasts"]) * period
        for kind, who in (("out", fault.get("of")), ("in", fault.get("to"))):
            found += [(n, kind, at, until) for n in who or (range(size) if not fault.get("of") else ())]
    for hand in week["plan"]["hands"]:
        if hand["do"].startswith("disk"):
            found.append((hand["who"], "disk", hand["at"] * period, (hand["at"] + hand["lasts"]) * period))
    begun: dict[tuple[int, str], float] = {}
    ends = {"wake": "pause", "start": "down"}
    for deed in week["done"]:
        what, who, at = deed["what"], deed.get("who"), deed["at"] * period
        if what in ("pause", "kill", "leave"):
            begun.setdefault((who, "pause" if what == "pause" else "down"), at)
        elif what in ends and (who, ends[what]) in begun:
            found.append((who, ends[what], begun.pop((who, ends[what])), at))
    return found


def lanes(week: Mapping[str, Any]) -> Figure:
    size, period = week["plan"]["faults"]["size"], week["period_ms"] / 1000.0
    end = max((a[0] for a in week["answers"]), default=1.0)
    drawn = Figure(figsize=(WIDE, 1.2 + 0.55 * size), layout="constrained")
    axes: Axes = drawn.subplots()
    named = set()
    for who, kind, at, until in spans(week):
        low = who - 0.05 if kind in ("pause", "down") else who + {"out": 0.05, "in": 0.2, "disk": 0.35}[kind]
        height = 0.5 if kind in ("pause", "down") else 0.13
        label = None if kind in named else WORDS[kind]
        named.add(kind)
        axes.broken_barh([(at, min(until, end) - at)], (low, height), color=FAULTS[kind], label=label)
    for who in range(size):
        changes = [v for v in week["versions"] if v[1] == who]
        for n, (since, _, force, pending) in enumerate(changes):
            until = changes[n + 1][0] if n + 1 < len(changes) else end
            colour, alpha = COLOURS[force % len(COLOURS)], 0.5 if pending else 1.0
            axes.broken_barh([(since, until - since)], (who - 0.35, 0.2), color=colour, alpha=alpha)
            if until - since > end / 40 and not pending:
                axes.text(since + end / 400, who - 0.33, str(force), fontsize=7, color="white")
    for do, mark in MARKS.items():
        hands = [h for h in week["plan"]["hands"] if h["do"] == do]
        if hands:
            when = [h["at"] * period for h in hands]
            axes.scatter(when, [size - 0.3] * len(when), marker=mark, s=22, color="black", label=do)
    axes.set(xlim=(0, end), ylim=(-0.6, size), xlabel="seconds", yticks=range(size))
    axes.set_yticklabels([f"n{n}" for n in range(size)])
    drawn.legend(loc="outside upper center", ncols=6, fontsize=8, frameon=False)
    return drawn


def lines(week: Mapping[str, Any]) -> Figure:
    end = max((a[0] for a in week["answers"]), default=1.0)
    parts: list[list[list[Any]]] = [[] for _ in range(int(end / PART) + 1)]
    for answer in week["answers"]:
        if answer[0] >= 0:
            parts[int(answer[0] / PART)].append(answer)
    at = [n * PART for n in range(len(parts))]
    drawn = Figure(figsize=(WIDE, 3.6), layout="constrained")
    upper, lower = drawn.subplots(2, sharex=True)
    for status, colour, label in ((200, COLOURS[0], "served"), (503, COLOURS[1], "refused")):
        upper.plot(at, [sum(a[2] == status for a in p) / PART for p in parts], color=colour, label=label)
    upper.set(ylabel="answers a second", ylim=(0, None))
    upper.legend(fontsize=8, frameon=False, loc="upper right")
    for share, colour in ((0.5, COLOURS[2]), (0.99, COLOURS[3])):
        spent = [sorted(a[3] * 1000.0 for a in p if a[2] == 200) for p in parts]
        value = [s[int(len(s) * share)] if s else float("nan") for s in spent]
        lower.plot(at, value, color=colour, label=f"p{share * 100:.0f}")
    lower.set(ylabel="ms, served", xlabel="seconds", yscale="log")
    lower.legend(fontsize=8, frameon=False, loc="upper right")
    return drawn
