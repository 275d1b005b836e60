"""One self-contained page on a set of runs: figures, plots, faults and breaches.

Nothing is fetched: plots stand in the page as SVG. The same results give the same page.
"""

import base64
import io
from collections.abc import Callable, Sequence
from html import escape
from statistics import fmean
from typing import Any

import matplotlib
import numpy as np
from hdrh.histogram import HdrHistogram
from matplotlib.axes import Axes
from matplotlib.colors import PowerNorm
from matplotlib.figure import Figure

from testbed.results import Acted, Live, Result, histogram

# Okabe and Ito's palette: told apart by colour-blind readers too; the module is black.
COLOURS = ["#0072b2", "#d55e00", "#009e73", "#cc79a7", "#56b4e9", "#e69f00", "#999933"]
SHARES = 1 - np.logspace(0, -3.3, 120)  # percentiles that a latency plot joins, up to 99.95
ROWS = 40  # faults and breaches shown of one run
WIDE, NARROW = 9.5, 4.6  # inches of a plot over the page, and of one of two side by side
MAPS = 4  # policies of a scenario whose servers are drawn

STYLE = """
body{font:15px/1.5 system-ui,sans-serif;color:#222;max-width:1080px;margin:2em auto;padding:0 1em}
h1{font-size:1.5em}h2{font-size:1.2em;margin-top:2.2em;border-bottom:1px solid #ccc}h3{font-size:1em}
table{border-collapse:collapse;margin:.6em 0;font-size:.88em}
th,td{padding:.18em .7em;text-align:right;border-bottom:1px solid #e4e4e4}
th:first-child,td:first-child{text-align:left}th{background:#f4f4f4}
td.text,th.text{text-align:left}code{font-size:.85em}
.bad{color:#b00020;font-weight:600}figure{margin:.8em 0}figcaption{font-size:.88em;color:#555}
img{width:100%;height:auto}.pair{display:flex;gap:12px}.pair figure{flex:1}
details{margin:.6em 0}summary{cursor:pointer;color:#0050a0}
"""


def page(found: Sequence[Result]) -> str:
    """The page as HTML; runs of one scenario stand together, by policy and seed."""
    runs = sorted(found, key=lambda r: (r.scenario, r.policy != "module", r.policy, r.seed))
    names = list(dict.fromkeys(r.scenario for r in runs))
    parts = [
        "<!doctype html>",
        '<html lang="en"><meta charset="utf-8"><title>Testbed report</title>',
        f"<style>{STYLE}</style><h1>Testbed report</h1>",
        f"<p>{len(runs)} runs of {len(names)} scenarios. Goodput is the worth answered within the aim over "
        f"the worth asked for. {times(runs)} Of several seeds, plots over time show the first, and bars "
        "have a whisker from the least to the most.</p>",
    ]
    if len(names) > 1:
        parts.append(overview(runs, names))
    for name in names:
        parts.append(section(name, [r for r in runs if r.scenario == name]))
    parts.append("</html>")
    return "\n".join(parts)


def overview(runs: Sequence[Result], names: Sequence[str]) -> str:
    policies = list(dict.fromkeys(r.policy for r in runs))
    rows = []
    for name in names:
        cells: list[Any] = [f'<a href="#{escape(name)}">{escape(name)}</a>']
        for policy in policies:
            of = [r.goodput() for r in runs if (r.scenario, r.policy) == (name, policy)]
            cells.append(f"{fmean(of):.3f}" if of else "-")
        rows.append(cells)
    return "<h2>Goodput by scenario and policy</h2>" + table(["scenario", *policies], rows)


def section(name: str, runs: Sequence[Result]) -> str:
    firsts = list({r.policy: r for r in reversed(runs)}.values())[::-1]  # the first seed of each policy
    colours = {r.policy: colour(r.policy, n) for n, r in enumerate(firsts)}
    parts = [f'<h2 id="{escape(name)}">{escape(name)}</h2>', figures(runs)]
    classes, tenants = runs[0].classes(), runs[0].tenants()
    parts.append('<div class="pair">')
    parts.append(plot(NARROW, 3.2, lambda a: bars(a, runs, classes, "klass", colours), "Goodput by class"))
    parts.append(plot(NARROW, 3.2, lambda a: tails(a, runs, colours), "Latency of what was served"))
    parts.append("</div>")
    if tenants:
        draw = lambda a: bars(a, runs, tenants, "tenant", colours)  # noqa: E731
        parts.append(plot(WIDE, 2.8, draw, "Goodput by tenant, mean of the seeds"))
    parts.append(over_time(firsts, colours))
    seen = [r for r in firsts[:MAPS] if r.series.in_flight]
    top = max([1.0] + [max(map(max, r.series.in_flight.values())) for r in seen])
    parts += [servers(r, top) for r in seen]
    parts += [troubles(r) for r in firsts[:1]]
    parts += [on_sockets(r.live, r.seed) for r in runs if r.live is not None]
    parts += [breaches(r) for r in runs if r.breaches]
    return "\n".join(parts)


def times(runs: Sequence[Result]) -> str:
    real = sum(r.live is not None for r in runs)
    if not real:
        return "Times are virtual."
    return "Runs on sockets: times are real." if real == len(runs) else "Times of runs on sockets are real."


def on_sockets(live: Live, seed: int) -> str:
    """What only a run on sockets has: the daemons' cost, and whether the testbed kept up."""
    rows = [
        [
            f"n{p.proxy}",
            f"{p.cpu_s:.2f}",
            f"{p.cpu_worst:.2f}",
            f"{p.memory_mb:.0f}",
            p.descriptors,
            p.lives,
            escape(p.ended),
        ]
        for p in live.processes
    ]
    head = ["proxy", "CPU s", "of a core in the worst second", "MB", "descriptors", "lives", "ended"]
    notes = "".join(f"<li>{escape(line)}</li>" for line in live.behind)
    late = HdrHistogram.decode(live.lateness).get_value_at_percentile(99.0) / 1000.0
    kept = f"<p>99% of the requests were written within {late:.1f} ms of their time.</p><ul>{notes}</ul>"
    return f"<h3>On sockets, seed {seed}</h3>" + table(head, rows, texts=(6,)) + kept


def colour(policy: str, n: int) -> str:
    return "#000000" if policy == "module" else COLOURS[n % len(COLOURS)]


def table(head: Sequence[str], rows: Sequence[Sequence[Any]], texts: Sequence[int] = ()) -> str:
    """A table; cells are HTML already, and those of the columns in `texts` stand to the left."""

    def line(tag: str, cells: Sequence[Any]) -> str:
        marked = [
            f"<{tag}{' class=text' if n in texts else ''}>{cell}</{tag}>" for n, cell in enumerate(cells)
        ]
        return f"<tr>{''.join(marked)}</tr>"

    return f"<table>{line('th', head)}{''.join(line('td', row) for row in rows)}</table>"


def figures(runs: Sequence[Result]) -> str:
    """A line a policy, means over its seeds; and each run by itself, folded away where there are several."""
    head = ["goodput", "p50 ms", "p99 ms", "asked", "refused", "failed", "attempts a request", "work wasted"]
    means, each = [], []
    for policy in dict.fromkeys(r.policy for r in runs):
        of = [r for r in runs if r.policy == policy]
        lines = [
            (
                r.goodput(),
                r.percentile(0.5),
                r.percentile(0.99),
                r.total("asked"),
                r.total("refused"),
                r.total("failed"),
                r.attempts_a_request(),
                r.wasted(),
            )
            for r in of
        ]
        broken = [len(r.breaches) + r.breaches_dropped for r in of]
        mean = [fmean(column) for column in zip(*lines, strict=True)]
        means.append([escape(policy), len(of), *worded(mean), counted(sum(broken))])
        for r, line, count in zip(of, lines, broken, strict=True):
            digest = f"<code>{escape(r.digest[:12])}</code>"
            each.append([escape(policy), r.seed, *worded(line), counted(count), digest])
    first = table(["policy", "runs", *head, "breaches"], means)
    all_ = table(["policy", "seed", *head, "breaches", "digest"], each)
    return f"{first}<details{' open' if len(runs) <= 8 else ''}><summary>each run</summary>{all_}</details>"


def worded(line: Sequence[float]) -> list[str]:
    formats = [".4f", ".0f", ".0f", ".0f", ".0f", ".0f", ".3f", ".3f"]
    return [format(value, how) for value, how in zip(line, formats, strict=True)]


def counted(breaches: int) -> str:
    return f'<span class="bad">{breaches}</span>' if breaches else "0"


def plot(wide: float, high: float, draw: Callable[[Axes], None], caption: str) -> str:
    """One pair of axes as a figure of the page."""
    figure = Figure(figsize=(wide, high), layout="constrained")
    draw(figure.add_subplot())
    return shown(figure, caption)


def shown(figure: Figure, caption: str) -> str:
    out = io.BytesIO()
    with matplotlib.rc_context({"svg.hashsalt": "testbed", "svg.fonttype": "path"}):
        figure.savefig(out, format="svg", metadata={"Date": None})
    text = base64.b64encode(out.getvalue()).decode("ascii")
    alt = escape(caption, quote=True)
    return (
        f'<figure><img alt="{alt}" src="data:image/svg+xml;base64,{text}">'
        f"<figcaption>{escape(caption)}</figcaption></figure>"
    )


def plain(axes: Axes) -> None:
    axes.spines[["top", "right"]].set_visible(False)
    axes.grid(axis="y", color="#e6e6e6", linewidth=0.8)
    axes.set_axisbelow(True)


def bars(
    axes: Axes, runs: Sequence[Result], names: Sequence[str], what: str, colours: dict[str, str]
) -> None:
    """Goodput of each class or tenant, a bar a policy, with a whisker from the least to the most seed."""
    width = 0.8 / len(colours)
    for n, (policy, tint) in enumerate(colours.items()):
        of = [[r.goodput(**{what: name}) for r in runs if r.policy == policy] for name in names]
        means = np.array([fmean(values) for values in of])
        spread = [means - [min(v) for v in of], [max(v) for v in of] - means]
        at = np.arange(len(names)) + (n - (len(colours) - 1) / 2) * width
        axes.bar(at, means, width * 0.92, color=tint, label=policy, yerr=spread, ecolor="#888888")
    axes.set_xticks(range(len(names)), names, rotation=0 if len(names) < 4 else 20, fontsize=8)
    axes.set_ylim(0, 1.02)
    axes.set_ylabel("goodput")
    plain(axes)
    legend(axes, len(colours))


def legend(axes: Axes, entries: int) -> None:
    if entries > 1:
        axes.legend(fontsize=7, frameon=False, ncols=4, loc="lower center", bbox_to_anchor=(0.5, 1.0))


def tails(axes: Axes, runs: Sequence[Result], colours: dict[str, str]) -> None:
    """Latency by percentile, the axis stretched toward 100%; all seeds together."""
    for policy, tint in colours.items():
        whole = histogram()
        for r in runs:
            if r.policy == policy:
                whole.add(r.latency())
        if not whole.total_count:
            continue
        of = [whole.get_value_at_percentile(100.0 * float(share)) / 1000.0 for share in SHARES]
        axes.plot(1 / (1 - SHARES), of, color=tint, label=policy, linewidth=1.4)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xticks([1, 2, 10, 100, 1000], ["0", "50", "90", "99", "99.9"])
    axes.minorticks_off()
    low, high = axes.get_ylim()
    ticks = [t for t in (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000) if low <= t <= high]
    axes.set_yticks(ticks, [str(t) for t in ticks])
    axes.set_xlabel("percentile")
    axes.set_ylabel("ms")
    plain(axes)
    legend(axes, len(colours))


def over_time(runs: Sequence[Result], colours: dict[str, str]) -> str:
    """Goodput, refusals and what is held, second by second, above the faults that acted."""
    faults = runs[0].acted
    kinds = list(dict.fromkeys(f.kind for f in faults))
    heights = [2.2, 1.5, 1.5] + ([0.3 + 0.22 * len(kinds)] if kinds else [])
    figure = Figure(figsize=(WIDE, sum(heights) + 0.6), layout="constrained")
    rows = figure.subplots(len(heights), 1, sharex=True, height_ratios=heights, squeeze=False)[:, 0]
    for r in runs:
        s, tint = r.series, colours[r.policy]
        asked, won = np.array(s.worth_asked), np.array(s.worth_in_aim)
        share = np.divide(won, asked, out=np.full(len(asked), np.nan), where=asked > 0)
        rows[0].plot(np.arange(len(share)) + 0.5, share, color=tint, label=r.policy, linewidth=1.3)
        rows[1].plot(np.arange(len(s.refused)) + 0.5, s.refused, color=tint, linewidth=1.1)
        rows[2].plot(np.arange(len(s.held)) + 1.0, s.held, color=tint, linewidth=1.1)
    if len(runs) == 1:  # room for each class on its own
        by_class(rows[0], runs[0])
    rows[0].set_ylim(0, 1.02)
    for axes, what in zip(rows, ["goodput", "refused/s", "held"], strict=False):
        axes.set_ylabel(what)
        plain(axes)
        shade(axes, faults)
    if len(runs) > 1 or runs[0].series.in_aim:
        rows[0].legend(fontsize=7, frameon=False, ncols=7, loc="lower center", bbox_to_anchor=(0.5, 1.0))
    if kinds:
        timeline(rows[3], faults, kinds)
    rows[-1].set_xlabel("seconds")
    rows[-1].set_xlim(0, max(len(r.series.worth_asked) for r in runs) or 1)
    return shown(figure, f"Over time, seed {runs[0].seed}; grey: a fault acts")


def by_class(axes: Axes, r: Result) -> None:
    for n, (name, asked) in enumerate(r.series.asked.items()):
        won, of = np.array(r.series.in_aim.get(name, [0] * len(asked))), np.array(asked)
        share = np.divide(won, of, out=np.full(len(of), np.nan), where=of > 0)
        axes.plot(np.arange(len(of)) + 0.5, share, color=COLOURS[n % len(COLOURS)], label=name, linewidth=0.9)


def shade(axes: Axes, faults: Sequence[Acted]) -> None:
    for f in faults:
        axes.axvspan(f.at / 1000, max(f.until, f.at + 50) / 1000, color="#000000", alpha=0.06, linewidth=0)


def timeline(axes: Axes, faults: Sequence[Acted], kinds: Sequence[str]) -> None:
    """When each fault acted, a line a kind."""
    for n, kind in enumerate(kinds):
        spans = [(f.at / 1000, max(f.until - f.at, 50) / 1000) for f in faults if f.kind == kind]
        axes.broken_barh(spans, (n - 0.35, 0.7), facecolors="#b00020", alpha=0.55)
    axes.set_yticks(range(len(kinds)), kinds, fontsize=8)
    axes.set_ylim(len(kinds) - 0.4, -0.6)
    axes.spines[["top", "right"]].set_visible(False)


def servers(r: Result, top: float) -> str:
    """What each server held, second by second; by quantile where there are too many for a row each."""
    held = r.series.in_flight
    grid = np.array(list(held.values()), dtype=float)
    by_quantile = all(name.startswith("q") for name in held)
    caption = f"In flight by server, {r.policy}, seed {r.seed}"

    def draw(axes: Axes) -> None:
        if by_quantile:
            for n, (name, values) in enumerate(held.items()):
                axes.plot(np.arange(len(values)) + 1.0, values, color=COLOURS[n % len(COLOURS)], label=name)
            axes.set_ylabel("in flight")
            axes.set_ylim(0, top * 1.05)
            plain(axes)
            axes.legend(fontsize=7, frameon=False, ncols=5, loc="lower center", bbox_to_anchor=(0.5, 1.0))
        else:
            image = axes.imshow(
                grid,
                aspect="auto",
                interpolation="nearest",
                cmap="magma_r",
                norm=PowerNorm(0.6, 0, top),
                extent=(0, grid.shape[1], len(held) - 0.5, -0.5),
            )
            axes.set_yticks(range(len(held)), list(held), fontsize=6)
            axes.figure.colorbar(image, ax=axes, pad=0.01, label="in flight")
        axes.set_xlabel("seconds")
        shade(axes, r.acted if by_quantile else [])

    return plot(WIDE, 2.6 if by_quantile else 0.9 + 0.15 * max(len(held), 6), draw, caption)


def troubles(r: Result) -> str:
    if not r.acted:
        return "<p>No fault acted.</p>"
    rows = [
        [escape(f.kind), f"{f.at / 1000:.1f}", f"{f.until / 1000:.1f}", escape(f.text)]
        for f in r.acted[:ROWS]
    ]
    more = f"<p>and {len(r.acted) - ROWS} more</p>" if len(r.acted) > ROWS else ""
    head = ["fault", "from s", "to s", "on"]
    return f"<h3>Faults, seed {r.seed}</h3>" + table(head, rows, texts=(3,)) + more


def breaches(r: Result) -> str:
    rows = [[escape(b.promise), f"{b.at:.3f}", b.proxy, b.request, escape(b.text)] for b in r.breaches[:ROWS]]
    count = len(r.breaches) + r.breaches_dropped
    head = ["promise", "at ms", "proxy", "request", "what"]
    title = f'<h3 class="bad">Breaches: {count}, {escape(r.policy)}, seed {r.seed}</h3>'
    return title + table(head, rows, texts=(4,))
